//! Client of back ends: streams of model engines and calls of plain services.
//!
//! Each exchange runs in a thread of its own and reports to the core.

mod ask;
mod call;
pub(crate) mod http;
mod stream;

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Read as _},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use coordination::{
    host::{
        event::{Event, Report, Run},
        exchange::{Exchange, Stream},
    },
    order, request,
};
use crossbeam::channel::{Receiver, Sender};
use oxhttp::model::Method;

use self::http::{failed, unsent};
use crate::driver::Inbound;

/// Name under which this service is found.
pub const NAME: &str = "backend";

/// Longest line of a stream, in bytes.
const MAX_LINE_BYTES: u64 = 64 * 1024;

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
                let report = call::send(&address, &service, request, &body, timeout);
                self.report(run, report);
            }
            Exchange::Cancel { address, stream } => self.ask(Method::DELETE, &address, stream),
            Exchange::Inquire { address, stream } => self.ask(Method::GET, &address, stream),
            Exchange::Copy { request, stream, from, address, to } => {
                let tokens = ask::copy(&from, &address, stream);
                self.send(Event::CacheCopied { request, stream, to, tokens });
            }
            Exchange::ReadState { address, backend, number } => {
                let state = ask::state(&address);
                self.send(Event::Order(order::Event::State { backend, number, state }));
            }
            Exchange::Order { address, backend, fence, order } => {
                let outcome = ask::order(&address, fence, &order);
                self.send(Event::Order(order::Event::Ordered { backend, fence, outcome }));
            }
            Exchange::Abandon { .. } => {}
        }
    }

    fn ask(&self, method: Method, address: &str, stream: request::Id) {
        let held = ask::held(method, address, stream);
        self.send(Event::StreamState { address: address.into(), stream, state: held });
    }

    /// Carries a stream; returns its last report, or `None` once it was abandoned.
    fn stream(
        &self,
        run: Run,
        address: &str,
        wanted: &Stream,
        abandoned: &AtomicBool,
    ) -> Option<Report> {
        let response = match stream::open(address, wanted, self.limits.stall) {
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
            let report = match stream::parse(&text) {
                Ok(report) => report,
                Err(failure) => return Some(failure),
            };
            if matches!(report, Report::End { .. }) {
                return follow_end(&mut lines, &text, report, abandoned);
            }
            self.report(run, report);
        }
    }
}

/// Reads what follows the end line `text` of a stream; returns `end`, a failure if the stream goes
/// on, or `None` once it was abandoned.
fn follow_end(
    lines: &mut impl BufRead,
    text: &str,
    end: Report,
    abandoned: &AtomicBool,
) -> Option<Report> {
    let mut further = Vec::new();
    loop {
        further.clear();
        let read = lines.by_ref().take(MAX_LINE_BYTES).read_until(b'\n', &mut further);
        if abandoned.load(Ordering::Relaxed) {
            return None;
        }
        match read {
            Ok(0) => return Some(end),
            // A repeated line contradicts nothing.
            Ok(_) if further == text.as_bytes() => {}
            Err(error) if further.is_empty() => {
                tracing::debug!(event = "stream_not_closed", %error, reason = "end line received");
                return Some(end);
            }
            Ok(_) | Err(_) => return Some(failed("stream goes on after its end line")),
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
            Event::StreamState { address: address.clone(), stream: *stream, state: None }
        }
        Exchange::Copy { request, stream, to, .. } => {
            Event::CacheCopied { request: *request, stream: *stream, to: to.clone(), tokens: None }
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
