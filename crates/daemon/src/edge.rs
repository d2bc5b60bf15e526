//! The callers' edge: HTTP/1.1 with streamed answers.

use std::{
    convert::Infallible,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use coordination::{
    host::{
        action::{Outcome, Problem},
        event::{Call, Caller, Event},
    },
    request,
};
use crossbeam::channel::Sender;
use eyre::WrapErr as _;
use http_body_util::{BodyExt as _, Either, Full, LengthLimitError, Limited};
use hyper::{
    Method, Request, Response, StatusCode,
    body::{Body, Frame, Incoming, SizeHint},
    header,
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Deserialize;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, mpsc, watch},
    time::timeout,
};

use crate::driver::Inbound;

/// Name under which this service is found.
pub const NAME: &str = "edge";

/// Pieces that wait for a slow caller before its request is given up.
const CALLER_QUEUE: usize = 4_096;

/// Header that names the request in an answer.
const REQUEST_HEADER: &str = "laburnum-request";

/// Path of service calls.
const SERVICES: &str = "/v1/services/";

/// Path of ticket requests.
const TICKETS: &str = "/v1/tickets";

/// Wait that a caller is told when the host is overloaded, in milliseconds.
const OVERLOAD_RETRY_MS: u64 = 1_000;

/// Limits of the edge.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Connections at once.
    pub connections: usize,
    /// Longest wait for a whole head, and for a whole body.
    pub read: Duration,
}

/// A part of an answer on its way to a caller.
#[derive(Debug)]
pub enum Part {
    /// A streamed answer starts.
    Begin {
        /// Request.
        request: request::Id,
    },
    /// A token.
    Token {
        /// Offset.
        offset: u64,
        /// Token.
        token: Arc<str>,
    },
    /// The streamed answer is whole.
    End {
        /// Tokens of the answer.
        tokens: u64,
        /// Tokens of the prompt.
        prompt_tokens: u64,
        /// Tokens charged.
        charged: u64,
    },
    /// A whole answer.
    Answer {
        /// Request; `None` for a ticket.
        request: Option<request::Id>,
        /// HTTP status.
        status: u16,
        /// JSON body.
        body: Arc<str>,
    },
    /// No answer, or none any more.
    Fail {
        /// Request, where it came to one.
        request: Option<request::Id>,
        /// Why.
        problem: Problem,
    },
}

/// The way back to a caller.
pub type Reply = mpsc::Sender<Part>;

type Answer = Response<Either<Full<Bytes>, Parts>>;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Document {
    #[serde(default)]
    prompt: Option<Arc<str>>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    budget: Option<Arc<str>>,
    #[serde(default)]
    input: Option<serde_json::Value>,
}

/// A bound edge.
#[derive(Debug)]
pub struct Edge {
    listener: std::net::TcpListener,
    core: Sender<Inbound>,
    limits: Limits,
}

impl Edge {
    /// Binds the callers' address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn bind(address: SocketAddr, core: Sender<Inbound>, limits: Limits) -> eyre::Result<Self> {
        let listener = std::net::TcpListener::bind(address)
            .wrap_err_with(|| format!("step=bind peer={address} callers' address"))?;
        listener.set_nonblocking(true)?;
        Ok(Self { listener, core, limits })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket has none.
    pub fn address(&self) -> eyre::Result<SocketAddr> {
        Ok(self.listener.local_addr()?)
    }

    /// Serves callers until `stop` turns true, then finishes what runs.
    ///
    /// # Errors
    ///
    /// Returns an error if the runtime can't be started.
    pub fn run(self, stop: watch::Receiver<bool>) -> eyre::Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        runtime.block_on(self.accept(stop))
    }

    async fn accept(self, mut stop: watch::Receiver<bool>) -> eyre::Result<()> {
        let listener = TcpListener::from_std(self.listener)?;
        let slots = Arc::new(Semaphore::new(self.limits.connections));
        let door = Arc::new(Door {
            core: self.core,
            limits: self.limits,
            callers: AtomicU64::new(1),
            slots: slots.clone(),
        });
        loop {
            let accepted = tokio::select! {
                () = stopped(&mut stop) => break,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, peer)) => door.admit(stream, peer, stop.clone()),
                Err(error) => {
                    tracing::warn!(event = "accept_failed", %error);
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        }
        drop(listener);
        let all = u32::try_from(self.limits.connections).unwrap_or(u32::MAX);
        let _ = slots.acquire_many(all).await;
        Ok(())
    }
}

#[derive(Debug)]
struct Door {
    core: Sender<Inbound>,
    limits: Limits,
    callers: AtomicU64,
    slots: Arc<Semaphore>,
}

impl Door {
    fn admit(self: &Arc<Self>, stream: TcpStream, peer: SocketAddr, stop: watch::Receiver<bool>) {
        let Ok(slot) = self.slots.clone().try_acquire_owned() else {
            tracing::warn!(event = "connection_refused", %peer, reason = "too many connections");
            tokio::spawn(reject(stream));
            return;
        };
        let door = self.clone();
        tokio::spawn(async move {
            door.serve(stream, peer, stop).await;
            drop(slot);
        });
    }

    async fn serve(
        self: Arc<Self>,
        stream: TcpStream,
        peer: SocketAddr,
        mut stop: watch::Receiver<bool>,
    ) {
        let _ = stream.set_nodelay(true);
        let door = self.clone();
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.read)
            .max_buf_size(self.limits.head_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(
                TokioIo::new(stream),
                service_fn(move |request| door.clone().answer(request)),
            );
        tokio::pin!(connection);
        let result = tokio::select! {
            result = connection.as_mut() => result,
            () = stopped(&mut stop) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = result {
            tracing::debug!(event = "connection_ended", %peer, %error);
        }
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Result<Answer, Infallible> {
        Ok(match self.take(request).await {
            Ok((caller, parts)) => self.relay(caller, parts).await,
            Err(problem) => refuse(&problem),
        })
    }

    async fn take(
        &self,
        request: Request<Incoming>,
    ) -> Result<(Caller, mpsc::Receiver<Part>), Problem> {
        let path = request.uri().path().to_owned();
        let service = path.strip_prefix(SERVICES).map(Arc::<str>::from);
        if service.is_none() && path != TICKETS {
            return Err(bad(404, "not_found", "no such path"));
        }
        if request.method() != Method::POST {
            return Err(bad(405, "method", "expected POST"));
        }
        let token = bearer(&request)?;
        let key = key(&request)?;
        let body = self.body(request).await?;
        let caller = self.callers.fetch_add(1, Ordering::Relaxed);
        let event = match service {
            Some(service) => Event::Call(parse(caller, token, service, key, &body)?),
            None => Event::Ticket { caller, token },
        };
        let (reply, parts) = mpsc::channel(CALLER_QUEUE);
        let key = match &event {
            Event::Call(call) => call.key.clone(),
            _ => None,
        };
        let inbound = Inbound::Caller { caller, reply, event };
        self.core.try_send(inbound).map_err(|_| overloaded().of_try(key.as_ref()))?;
        Ok((caller, parts))
    }

    async fn body(&self, request: Request<Incoming>) -> Result<Bytes, Problem> {
        let limited = Limited::new(request.into_body(), self.limits.body_bytes);
        let Ok(collected) = timeout(self.limits.read, limited.collect()).await else {
            return Err(bad(408, "slow_request", "the body did not arrive in time"));
        };
        match collected {
            Ok(body) => Ok(body.to_bytes()),
            Err(error) if error.is::<LengthLimitError>() => {
                Err(bad(413, "body_too_large", "the body is too large"))
            }
            Err(_) => Err(bad(400, "body_incomplete", "the body did not arrive whole")),
        }
    }

    async fn relay(self: Arc<Self>, caller: Caller, parts: mpsc::Receiver<Part>) -> Answer {
        let mut parts = Parts { caller, parts, core: self.core.clone(), ended: false };
        match parts.next().await {
            Some(Part::Answer { request, status, body }) => {
                named(whole(status, "application/json", &body), request)
            }
            Some(Part::Fail { request, problem }) => named(refuse(&problem), request),
            Some(Part::Begin { request }) => named(stream(parts), Some(request)),
            Some(Part::Token { .. } | Part::End { .. }) | None => refuse(&lost()),
        }
    }
}

/// Smallest read buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

async fn stopped(stop: &mut watch::Receiver<bool>) {
    // A sender that is gone means the same.
    let _ = stop.wait_for(|stop| *stop).await;
}

async fn reject(mut stream: TcpStream) {
    use tokio::io::AsyncWriteExt as _;

    // The request was not read, so it may be a retry of one that ran.
    let body = document(&Problem { outcome: Outcome::NotRunHere, ..overloaded() });
    let head = format!(
        "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\nretry-after: 1\r\n\
         content-type: application/problem+json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let answer = head + &body;
    let _ = timeout(Duration::from_secs(1), stream.write_all(answer.as_bytes())).await;
}

fn bearer(request: &Request<Incoming>) -> Result<Arc<str>, Problem> {
    let value = request.headers().get(header::AUTHORIZATION);
    let token = value.and_then(|value| value.to_str().ok());
    let token = token.and_then(|value| value.strip_prefix("Bearer "));
    token
        .map(Arc::from)
        .ok_or_else(|| bad(401, "unauthorized", "expected Authorization: Bearer <token>"))
}

fn key(request: &Request<Incoming>) -> Result<Option<Arc<str>>, Problem> {
    const MAX_KEY_BYTES: usize = 256;

    let Some(value) = request.headers().get("idempotency-key") else { return Ok(None) };
    match value.to_str() {
        Ok(text) if !text.is_empty() && text.len() <= MAX_KEY_BYTES => Ok(Some(text.into())),
        _ => Err(bad(400, "bad_key", "expected an Idempotency-Key of 1 to 256 visible characters")),
    }
}

fn parse(
    caller: Caller,
    token: Arc<str>,
    service: Arc<str>,
    key: Option<Arc<str>>,
    body: &Bytes,
) -> Result<Call, Problem> {
    let text = std::str::from_utf8(body).map_err(|_| bad(400, "bad_json", "not UTF-8"))?;
    let document: Document =
        serde_json::from_str(text).map_err(|error| bad(400, "bad_json", &error.to_string()))?;
    let Document { prompt, max_tokens, budget, input } = document;
    if prompt.is_some() == input.is_some() {
        return Err(bad(400, "bad_json", "expected either `prompt` or `input`"));
    }
    let body = input.map(|input| input.to_string()).unwrap_or_default();
    Ok(Call {
        caller,
        token,
        service,
        key,
        budget,
        prompt: prompt.unwrap_or_else(|| "".into()),
        max_tokens,
        body: body.into(),
    })
}

fn bad(status: u16, code: &'static str, detail: &str) -> Problem {
    let outcome = Outcome::NotRun;
    Problem { status, code, outcome, detail: detail.into(), retry_after_ms: None }
}

fn overloaded() -> Problem {
    let retry_after_ms = Some(OVERLOAD_RETRY_MS);
    Problem { retry_after_ms, ..bad(503, "overloaded", "this host is overloaded") }
}

fn lost() -> Problem {
    let outcome = Outcome::Unknown;
    let retry_after_ms = Some(OVERLOAD_RETRY_MS);
    let detail = "this host lost the request";
    Problem { outcome, retry_after_ms, ..bad(500, "lost", detail) }
}

fn document(problem: &Problem) -> String {
    serde_json::json!({
        "type": format!("urn:laburnumcove:{}", problem.code),
        "title": problem.code.replace('_', " "),
        "status": problem.status,
        "code": problem.code,
        "outcome": problem.outcome.as_str(),
        "detail": problem.detail,
        "retry_after_ms": problem.retry_after_ms,
    })
    .to_string()
}

fn refuse(problem: &Problem) -> Answer {
    let mut answer = whole(problem.status, "application/problem+json", &document(problem));
    if let Some(wait) = problem.retry_after_ms {
        answer.headers_mut().insert(header::RETRY_AFTER, wait.div_ceil(1_000).into());
    }
    answer
}

fn whole(status: u16, kind: &'static str, body: &str) -> Answer {
    let body = Either::Left(Full::new(Bytes::copy_from_slice(body.as_bytes())));
    let mut answer = Response::new(body);
    *answer.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    answer.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static(kind));
    answer
}

/// Names the request in the head of its answer, for the time line.
fn named(mut answer: Answer, request: Option<request::Id>) -> Answer {
    let value = request.and_then(|id| header::HeaderValue::from_str(&id.to_string()).ok());
    if let Some(value) = value {
        answer.headers_mut().insert(REQUEST_HEADER, value);
    }
    answer
}

fn stream(parts: Parts) -> Answer {
    let mut answer = Response::new(Either::Right(parts));
    let headers = answer.headers_mut();
    let kind = header::HeaderValue::from_static("text/event-stream");
    headers.insert(header::CONTENT_TYPE, kind);
    headers.insert(header::CACHE_CONTROL, header::HeaderValue::from_static("no-store"));
    answer
}

/// The parts of one answer as a body of server-sent events.
#[derive(Debug)]
pub struct Parts {
    caller: Caller,
    parts: mpsc::Receiver<Part>,
    core: Sender<Inbound>,
    ended: bool,
}

impl Parts {
    async fn next(&mut self) -> Option<Part> {
        let part = self.parts.recv().await;
        self.ended = !matches!(part, Some(Part::Begin { .. } | Part::Token { .. }));
        part
    }
}

impl Body for Parts {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        self.parts.poll_recv(context).map(|part| {
            let part = part.unwrap_or_else(|| Part::Fail { request: None, problem: lost() });
            self.ended = !matches!(part, Part::Begin { .. } | Part::Token { .. });
            Some(Ok(Frame::data(event(&part))))
        })
    }

    fn is_end_stream(&self) -> bool {
        self.ended
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}

impl Drop for Parts {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        // The core goes first only when the process ends.
        let _ = self.core.send(Inbound::Event(Event::Left { caller: self.caller }));
    }
}

fn event(part: &Part) -> Bytes {
    let text = match part {
        Part::Begin { .. } => ": begin\n\n".to_owned(),
        Part::Token { offset, token } => {
            format!("data: {}\n\n", serde_json::json!({ "offset": offset, "token": token }))
        }
        Part::End { tokens, prompt_tokens, charged } => {
            let end = serde_json::json!({
                "tokens": tokens, "prompt_tokens": prompt_tokens, "charged": charged,
            });
            format!("event: end\ndata: {end}\n\n")
        }
        Part::Answer { body, .. } => format!("data: {body}\n\n"),
        Part::Fail { problem, .. } => format!("event: error\ndata: {}\n\n", document(problem)),
    };
    text.into()
}
