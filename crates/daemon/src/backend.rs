//! Client of back ends: streams of model engines and calls of plain services.
//!
//! Each exchange runs in a thread of its own and reports to the core.

use std::{
    collections::BTreeMap,
    io::{self, BufRead as _, BufReader, Read as _},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use coordination::{
    answer::Usage,
    host::{
        event::{Event, Held, Refusal, Report, Run},
        exchange::{Exchange, Stream},
    },
    order::{self, Order},
    record::Model,
    request,
};
use crossbeam::channel::{Receiver, Sender};
use oxhttp::{
    Client,
    model::{Body, Method, Request, Response, StatusCode, header},
};
use serde::Deserialize;

use crate::driver::Inbound;

/// Name under which this service is found.
pub const NAME: &str = "backend";

/// Longest line of a stream, in bytes.
const MAX_LINE_BYTES: u64 = 64 * 1024;

/// Largest answer of a plain service, in bytes.
const MAX_ANSWER_BYTES: u64 = 64 * 1024;

/// Largest copy of a stream's cache, in bytes.
const MAX_COPY_BYTES: u64 = 16 * 1024 * 1024;

/// Longest wait for a connection, in milliseconds.
const CONNECT_MS: u64 = 1_000;

/// Longest wait for the answer to a short question, in milliseconds.
const INQUIRE_MS: u64 = 2_000;

/// Longest wait for the answer to an order, in milliseconds.
const ORDER_MS: u64 = 30_000;

/// Stack of an exchange's thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;

/// Limits of the service.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Exchanges that run at once.
    pub exchanges: usize,
    /// Longest silence of a stream.
    pub stall: Duration,
}

#[derive(Debug, Deserialize)]
struct Line {
    request: Arc<str>,
    attempt: u32,
    #[serde(default)]
    offset: u64,
    #[serde(default)]
    token: Option<Arc<str>>,
    #[serde(default)]
    end: bool,
    #[serde(default)]
    tokens: u64,
    #[serde(default)]
    prompt_tokens: u64,
}

#[derive(Debug, Deserialize)]
struct Standing {
    tokens: u64,
    prompt_tokens: u64,
}

#[derive(Debug)]
struct Shared {
    core: Sender<Inbound>,
    live: Mutex<BTreeMap<Run, Arc<AtomicBool>>>,
    running: AtomicUsize,
    limits: Limits,
}

/// Takes exchanges until the channel closes.
///
/// # Errors
///
/// Never returns an error; a failed exchange is reported to the core.
pub fn run(
    exchanges: &Receiver<Exchange>,
    core: Sender<Inbound>,
    limits: Limits,
) -> eyre::Result<()> {
    let shared =
        Arc::new(Shared { core, live: Mutex::default(), running: AtomicUsize::new(0), limits });
    for exchange in exchanges {
        match exchange {
            Exchange::Abandon { run } => shared.abandon(run),
            exchange => shared.start(exchange),
        }
    }
    Ok(())
}

impl Shared {
    fn abandon(&self, run: Run) {
        let live = self.live.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(abandoned) = live.get(&run) {
            abandoned.store(true, Ordering::Relaxed);
        }
    }

    fn start(self: &Arc<Self>, exchange: Exchange) {
        let run = run_of(&exchange);
        if self.running.fetch_add(1, Ordering::Relaxed) >= self.limits.exchanges {
            self.running.fetch_sub(1, Ordering::Relaxed);
            return self.send(unstarted(&exchange, "too many exchanges"));
        }
        let abandoned = Arc::new(AtomicBool::new(false));
        if let Some(run) = run {
            let mut live = self.live.lock().unwrap_or_else(PoisonError::into_inner);
            live.insert(run, abandoned.clone());
        }
        let shared = self.clone();
        let failure = unstarted(&exchange, "no thread");
        let thread = thread::Builder::new().name("exchange".into()).stack_size(STACK_BYTES);
        let started = thread.spawn(move || {
            shared.perform(exchange, &abandoned);
            shared.finish(run);
        });
        if started.is_err() {
            self.finish(run);
            self.send(failure);
        }
    }

    fn finish(&self, run: Option<Run>) {
        self.running.fetch_sub(1, Ordering::Relaxed);
        let Some(run) = run else { return };
        self.live.lock().unwrap_or_else(PoisonError::into_inner).remove(&run);
    }

    fn report(&self, run: Run, report: Report) {
        self.send(Event::Backend { run, report });
    }

    fn send(&self, event: Event) {
        // The core goes first only when the process ends.
        let _ = self.core.send(Inbound::Event(event));
    }

    fn perform(&self, exchange: Exchange, abandoned: &AtomicBool) {
        match exchange {
            Exchange::Stream { run, address, stream } => {
                let report = self.stream(run, &address, &stream, abandoned);
                if let Some(report) = report {
                    self.report(run, report);
                }
            }
            Exchange::Request { run, address, service, request, body, timeout_ms } => {
                let timeout = Duration::from_millis(timeout_ms);
                let report = call(&address, &service, request, &body, timeout);
                self.report(run, report);
            }
            Exchange::Cancel { address, stream } => self.ask(Method::DELETE, &address, stream),
            Exchange::Inquire { address, stream } => self.ask(Method::GET, &address, stream),
            Exchange::Copy { request, stream, from, address, to } => {
                let tokens = copy(&from, &address, stream);
                self.send(Event::Copied { request, stream, to, tokens });
            }
            Exchange::ReadState { address, backend, number } => {
                let state = read_state(&address);
                self.send(Event::Order(order::Event::State { backend, number, state }));
            }
            Exchange::Order { address, backend, fence, order } => {
                let outcome = give_order(&address, fence, &order);
                self.send(Event::Order(order::Event::Ordered { backend, fence, outcome }));
            }
            Exchange::Abandon { .. } => {}
        }
    }

    fn ask(&self, method: Method, address: &str, stream: request::Id) {
        let held = held(method, address, stream);
        self.send(Event::Held { address: address.into(), stream, held });
    }

    /// Carries a stream; returns its last report, or `None` once it was abandoned.
    fn stream(
        &self,
        run: Run,
        address: &str,
        stream: &Stream,
        abandoned: &AtomicBool,
    ) -> Option<Report> {
        let response = match open_stream(address, stream, self.limits.stall) {
            Ok(response) => response,
            Err(failure) => return Some(failure),
        };
        let mut lines = BufReader::new(response.into_body());
        let mut text = String::new();
        loop {
            text.clear();
            let read = (&mut lines).take(MAX_LINE_BYTES).read_line(&mut text);
            if abandoned.load(Ordering::Relaxed) {
                return None;
            }
            match read {
                Ok(0) => return Some(failed("stream ended without its end line")),
                Ok(_) => {}
                Err(error) => return Some(failed(error.to_string())),
            }
            let report = match parse(&text) {
                Ok(report) => report,
                Err(failure) => return Some(failure),
            };
            if matches!(report, Report::End { .. }) {
                return Some(report);
            }
            self.report(run, report);
        }
    }
}

/// Returns what the core hears of an exchange that was not started.
fn unstarted(exchange: &Exchange, cause: &str) -> Event {
    match exchange {
        Exchange::Stream { run, .. }
        | Exchange::Request { run, .. }
        | Exchange::Abandon { run } => Event::Backend { run: *run, report: unsent(cause) },
        Exchange::Cancel { address, stream } | Exchange::Inquire { address, stream } => {
            Event::Held { address: address.clone(), stream: *stream, held: None }
        }
        Exchange::Copy { request, stream, to, .. } => {
            Event::Copied { request: *request, stream: *stream, to: to.clone(), tokens: None }
        }
        Exchange::ReadState { backend, number, .. } => {
            let (backend, number) = (backend.clone(), *number);
            Event::Order(order::Event::State { backend, number, state: None })
        }
        Exchange::Order { backend, fence, .. } => {
            let (backend, fence, outcome) = (backend.clone(), *fence, order::Outcome::Failed);
            Event::Order(order::Event::Ordered { backend, fence, outcome })
        }
    }
}

fn run_of(exchange: &Exchange) -> Option<Run> {
    match exchange {
        Exchange::Stream { run, .. }
        | Exchange::Request { run, .. }
        | Exchange::Abandon { run } => Some(*run),
        Exchange::Cancel { .. }
        | Exchange::Inquire { .. }
        | Exchange::Copy { .. }
        | Exchange::ReadState { .. }
        | Exchange::Order { .. } => None,
    }
}

fn failed(cause: impl Into<Arc<str>>) -> Report {
    Report::Failed { unsent: false, cause: cause.into() }
}

fn parse(text: &str) -> Result<Report, Report> {
    if !text.ends_with('\n') {
        return Err(failed("line cut"));
    }
    let line: Line = serde_json::from_str(text).map_err(|error| failed(error.to_string()))?;
    let Line { request, attempt, .. } = line;
    if line.end {
        let Line { tokens, prompt_tokens, .. } = line;
        return Ok(Report::End { request, attempt, tokens, prompt_tokens });
    }
    let token = line.token.ok_or_else(|| failed("line without a token"))?;
    Ok(Report::Piece { request, attempt, offset: line.offset, token })
}

fn open_stream(address: &str, stream: &Stream, stall: Duration) -> Result<Response<Body>, Report> {
    probe(address)?;
    let body = serde_json::json!({
        "attempt": stream.attempt,
        "model": stream.model,
        "adapter": stream.adapter,
        "version": stream.version,
        "prompt": stream.prompt,
        "max_tokens": stream.max_tokens,
        "priority": stream.class,
        "offset": stream.offset,
    });
    let uri = format!("{address}/streams/{}", stream.stream);
    let request = build(Method::POST, &uri).body(Body::from(body.to_string()));
    let request = request.map_err(|error| unsent(error.to_string()))?;
    let response = client(stall).request(request).map_err(|error| failed(error.to_string()))?;
    match response.status() {
        StatusCode::OK if is_chunked(&response) => Ok(response),
        StatusCode::OK => Err(failed("answer without chunks")),
        status => Err(refused(status, &response)),
    }
}

fn is_chunked(response: &Response<Body>) -> bool {
    response.headers().contains_key(header::TRANSFER_ENCODING)
}

fn refused(status: StatusCode, response: &Response<Body>) -> Report {
    let retry_after_ms = response
        .headers()
        .get(header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse::<u64>().ok())
        .map(|seconds| seconds.saturating_mul(1_000));
    let reason = match status {
        StatusCode::CONFLICT => Refusal::Leaving,
        StatusCode::NOT_FOUND => Refusal::Model,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => Refusal::Full,
        status => return failed(format!("status {status}")),
    };
    Report::Refused { reason, retry_after_ms }
}

fn call(
    address: &str,
    service: &str,
    request: request::Id,
    body: &str,
    timeout: Duration,
) -> Report {
    if let Err(report) = probe(address) {
        return report;
    }
    let uri = format!("{address}/call/{service}");
    let id = request.to_string();
    let message = build(Method::POST, &uri)
        .header("x-request-id", &id)
        .header("idempotency-key", &id)
        .body(Body::from(body.to_owned()));
    let message = match message {
        Ok(message) => message,
        Err(error) => return unsent(error.to_string()),
    };
    match client(timeout).request(message) {
        Ok(response) => answer(response),
        Err(error) => failed(error.to_string()),
    }
}

fn answer(response: Response<Body>) -> Report {
    let status = response.status().as_u16();
    let framed = response.headers().contains_key(header::CONTENT_LENGTH) || is_chunked(&response);
    if !framed {
        return failed("answer with neither length nor chunks");
    }
    let mut body = String::new();
    let read = response.into_body().take(MAX_ANSWER_BYTES + 1).read_to_string(&mut body);
    match read {
        Ok(bytes) if bytes as u64 > MAX_ANSWER_BYTES => failed("answer too large"),
        Ok(_) => Report::Answer { status, body: body.into() },
        Err(error) => failed(error.to_string()),
    }
}

fn held(method: Method, address: &str, stream: request::Id) -> Option<Held> {
    let uri = format!("{address}/streams/{stream}");
    let message = build(method, &uri).body(Body::empty()).ok()?;
    let response = client(Duration::from_millis(INQUIRE_MS)).request(message).ok()?;
    match response.status() {
        StatusCode::OK => {}
        StatusCode::NOT_FOUND => return Some(Held::Nothing),
        _ => return None,
    }
    let body = response.into_body().to_vec().ok()?;
    let Standing { tokens, prompt_tokens } = serde_json::from_slice(&body).ok()?;
    Some(Held::Stream(Usage { prompt_tokens, tokens }))
}

#[derive(Debug, Deserialize)]
struct Copied {
    tokens: u64,
}

/// Copies the cache of a stream; returns the tokens that the copy holds.
fn copy(from: &str, to: &str, stream: request::Id) -> Option<u64> {
    let uri = |address: &str| format!("{address}/kv/{stream}");
    let message = build(Method::GET, &uri(from)).body(Body::empty()).ok()?;
    let response = client(Duration::from_millis(INQUIRE_MS)).request(message).ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let mut body = Vec::new();
    let read = response.into_body().take(MAX_COPY_BYTES + 1).read_to_end(&mut body).ok()?;
    if read as u64 > MAX_COPY_BYTES {
        return None;
    }
    let Copied { tokens } = serde_json::from_slice(&body).ok()?;
    let message = build(Method::PUT, &uri(to)).body(Body::from(body)).ok()?;
    let response = client(Duration::from_millis(INQUIRE_MS)).request(message).ok()?;
    response.status().is_success().then_some(tokens)
}

#[derive(Debug, Deserialize)]
struct State {
    models: Vec<Model>,
    role: Arc<str>,
}

fn read_state(address: &str) -> Option<order::State> {
    let message = build(Method::GET, &format!("{address}/state")).body(Body::empty()).ok()?;
    let response = client(Duration::from_millis(INQUIRE_MS)).request(message).ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let State { models, role } =
        serde_json::from_slice(&response.into_body().to_vec().ok()?).ok()?;
    Some(order::State { models, role })
}

fn give_order(address: &str, fence: u64, order: &Order) -> order::Outcome {
    let body = match order {
        Order::Load(model) => {
            serde_json::json!({ "fence": fence, "order": "load", "model": model })
        }
        Order::Unload(model) => {
            serde_json::json!({ "fence": fence, "order": "unload", "model": model })
        }
        Order::Role(role) => serde_json::json!({ "fence": fence, "order": "role", "role": role }),
    };
    if connect(address).is_err() {
        return order::Outcome::Failed;
    }
    let message = build(Method::POST, &format!("{address}/orders"));
    let Ok(message) = message.body(Body::from(body.to_string())) else {
        return order::Outcome::Failed;
    };
    match client(Duration::from_millis(ORDER_MS)).request(message) {
        Ok(response) if response.status() == StatusCode::OK => order::Outcome::Done,
        Ok(response) if response.status() == StatusCode::PRECONDITION_FAILED => {
            order::Outcome::Fenced
        }
        Ok(response) if response.status().is_client_error() => order::Outcome::Failed,
        Ok(_) | Err(_) => order::Outcome::Unknown,
    }
}

fn unsent(cause: impl Into<Arc<str>>) -> Report {
    Report::Failed { unsent: true, cause: cause.into() }
}

/// Proves by a connection of its own that the back end can be reached; a failure proves that
/// nothing of the request went out.
fn probe(address: &str) -> Result<(), Report> {
    connect(address).map(drop).map_err(|error| unsent(error.to_string()))
}

fn connect(address: &str) -> io::Result<TcpStream> {
    let authority = address.strip_prefix("http://").unwrap_or(address);
    let authority: SocketAddr = authority
        .parse()
        .map_err(|_| io::Error::new(io::ErrorKind::InvalidInput, "not an ip:port address"))?;
    TcpStream::connect_timeout(&authority, Duration::from_millis(CONNECT_MS))
}

fn client(timeout: Duration) -> Client {
    Client::new().with_global_timeout(timeout)
}

fn build(method: Method, uri: &str) -> oxhttp::model::request::Builder {
    Request::builder().method(method).uri(uri).header(header::CONTENT_TYPE, "application/json")
}
