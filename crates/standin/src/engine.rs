//! Stand-in for a model engine with continuous batching.

mod batch;
mod cache;
mod load;
mod models;
mod reader;
mod stream;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use coordination::record::Model;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, mpsc};

pub use self::{
    batch::Counts,
    reader::Kind,
    stream::{Ask, Document, prompt_tokens, token},
};
use crate::{
    fault::Fault,
    http::{self, Answer, Call, Handle},
};

/// Lines that wait for a slow reader.
const READER_LINES: usize = 16;

/// Wait that a refusal asks for.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Settings of the stand-in engine.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address to listen on; port 0 for any free port.
    pub listen: SocketAddr,
    /// Name of the back end.
    pub name: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Streams that run at once.
    pub slots: usize,
    /// Streams that may wait for a slot.
    pub queue: usize,
    /// Time between two tokens of a stream.
    pub token_time: Duration,
    /// Time to the first token of a prompt that is not cached.
    pub first_time: Duration,
    /// Tokens of an answer, in percent of those asked for.
    pub length_percent: u64,
    /// Models loaded at the start.
    pub models: Vec<Model>,
    /// Refuses orders that carry an old fencing number.
    pub fencing: bool,
    /// Age of the load that is reported.
    pub load_lag: Duration,
    /// Time after which a change of the cache is published.
    pub cache_lag: Duration,
    /// Prompt blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// Every so many cache events one is lost; 0 for none.
    pub cache_gap: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            name: Arc::from("engine"),
            zone: Arc::from("a"),
            slots: 8,
            queue: 256,
            token_time: Duration::from_millis(5),
            first_time: Duration::from_millis(20),
            length_percent: 100,
            models: Vec::new(),
            fencing: true,
            load_lag: Duration::from_millis(500),
            cache_lag: Duration::from_millis(500),
            cache_blocks: 4096,
            cache_gap: 8,
        }
    }
}

/// Starts a stand-in engine.
///
/// # Errors
///
/// Returns an error where the address can't be bound.
pub fn spawn(settings: Settings) -> io::Result<Handle> {
    let listen = settings.listen;
    let state = State {
        batch: batch::Batch::new(&settings),
        cache: cache::Cache::new(settings.cache_blocks, settings.cache_lag, settings.cache_gap),
        load: load::Reports::new(settings.load_lag),
        models: models::Models::new(settings.models.clone(), settings.fencing),
        fault: Fault::default(),
    };
    let engine =
        Engine { start: Instant::now(), settings, state: Mutex::new(state), work: Notify::new() };
    http::spawn(listen, engine)
}

/// Number of tokens after which streams wait for a release.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Hold {
    after: u64,
}

/// Number of cache events that answers leave out.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Lose {
    events: usize,
}

#[derive(Debug)]
struct Engine {
    start: Instant,
    settings: Settings,
    state: Mutex<State>,
    work: Notify,
}

#[derive(Debug)]
struct State {
    batch: batch::Batch,
    cache: cache::Cache,
    load: load::Reports,
    models: models::Models,
    fault: Fault<Kind>,
}

impl State {
    fn leaving(&self) -> bool {
        self.fault.kind == Kind::Leaving
    }

    /// Returns the fault that meets a new reader, and counts it.
    fn reader_fault(&mut self) -> Fault<Kind> {
        let mut fault = self.fault.clone();
        if !matches!(fault.kind, Kind::Leaving | Kind::Refuse) {
            fault.kind = self.fault.take();
        }
        fault
    }

    fn report(&mut self, now: Instant) {
        let load = load::Load {
            queued: self.batch.queued(),
            running: self.batch.running(),
            leaving: self.leaving(),
        };
        self.load.push(now, load);
    }
}

impl http::Service for Engine {
    async fn call(self: Arc<Self>, call: Call) -> Answer {
        let answer = self.serve(&call).unwrap_or_else(|refusal| refusal);
        self.work.notify_one();
        answer
    }

    async fn run(self: Arc<Self>) {
        loop {
            let due = self.step();
            let work = self.work.notified();
            match due {
                Some(due) if due <= Instant::now() => tokio::task::yield_now().await,
                Some(due) => tokio::select! {
                    () = work => {}
                    () = tokio::time::sleep_until(due.into()) => {}
                },
                None => work.await,
            }
        }
    }
}

impl Engine {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes the tokens that are due and returns when the next ones are.
    fn step(&self) -> Option<Instant> {
        let now = Instant::now();
        let mut state = self.state();
        let State { batch, cache, .. } = &mut *state;
        batch.step(now, cache);
        state.report(now);
        state.batch.due()
    }

    fn serve(&self, call: &Call) -> Result<Answer, Answer> {
        let (method, path) = call.route();
        match (method, path.as_slice()) {
            ("POST", ["streams", request]) => self.open(request, call.json()?),
            ("GET", ["streams", request]) => {
                let document = self.state().batch.document(request);
                document.map(|document| ok(&document)).ok_or_else(unknown_stream)
            }
            ("DELETE", ["streams", request]) => {
                let document = self.state().batch.cancel(request, Instant::now());
                document.map(|document| ok(&document)).ok_or_else(unknown_stream)
            }
            ("GET", ["load"]) => Ok(self.load()),
            ("GET", ["cache"]) => self.cache_events(&call.query),
            ("GET", ["state"]) => Ok(self.document()),
            ("POST", ["orders"]) => self.order(call),
            ("GET", ["kv", request]) => {
                let state = self.state();
                let refused = state.fault.kind == Kind::NoExport;
                let copy = state.batch.export(request).filter(|_| !refused);
                copy.map(|copy| ok(&copy)).ok_or_else(unknown_stream)
            }
            ("PUT", ["kv", request]) => self.import(request, call),
            (_, ["control", _]) => self.control(call),
            _ => Err(Answer::not_found()),
        }
    }

    fn open(&self, request: &str, ask: Ask) -> Result<Answer, Answer> {
        let now = Instant::now();
        let mut state = self.state();
        let joined = state.batch.join(request);
        let progress = match joined {
            Some(progress) => progress,
            None => Self::start(&mut state, request, &ask, now)?,
        };
        let fault = state.reader_fault();
        drop(state);
        let (sender, pieces) = mpsc::channel(READER_LINES);
        let reader = reader::Reader::new(request, &ask, progress, fault);
        tokio::spawn(reader.run(sender));
        Ok(Answer::Pieces(pieces))
    }

    fn start(
        state: &mut State,
        request: &str,
        ask: &Ask,
        now: Instant,
    ) -> Result<stream::Watch, Answer> {
        if state.leaving() {
            return Err(Answer::error(StatusCode::CONFLICT, "leaving"));
        }
        if state.fault.kind == Kind::Refuse && state.fault.take() == Kind::Refuse {
            return Err(Answer::too_many("refused", RETRY_AFTER));
        }
        if !state.models.has(&ask.model, &ask.adapter, &ask.version) {
            return Err(Answer::error(StatusCode::NOT_FOUND, "model"));
        }
        let progress = state.batch.start(request, ask, now);
        progress.ok_or_else(|| Answer::too_many("queue", RETRY_AFTER))
    }

    fn load(&self) -> Answer {
        let now = Instant::now();
        let slots = self.settings.slots;
        ok(&self.state().load.document(now, self.start, slots))
    }

    fn cache_events(&self, query: &str) -> Result<Answer, Answer> {
        let after = match query.strip_prefix("after=") {
            Some(number) => number.parse().map_err(|error| {
                Answer::error(StatusCode::BAD_REQUEST, format!("after: {error}"))
            })?,
            None => 0,
        };
        Ok(ok(&self.state().cache.events(after, Instant::now())))
    }

    fn document(&self) -> Answer {
        #[derive(Debug, Serialize)]
        struct Document<'a> {
            name: &'a str,
            zone: &'a str,
            #[serde(flatten)]
            models: models::Document<'a>,
            leaving: bool,
        }
        let state = self.state();
        ok(&Document {
            name: &self.settings.name,
            zone: &self.settings.zone,
            models: state.models.document(),
            leaving: state.leaving(),
        })
    }

    fn order(&self, call: &Call) -> Result<Answer, Answer> {
        let order = call.json()?;
        match self.state().models.order(order) {
            models::Verdict::Done(fence) => Ok(ok(&fence)),
            models::Verdict::Old(fence) => {
                Ok(Answer::json(StatusCode::PRECONDITION_FAILED, &fence))
            }
            models::Verdict::Malformed(field) => Err(Answer::error(StatusCode::BAD_REQUEST, field)),
        }
    }

    fn import(&self, request: &str, call: &Call) -> Result<Answer, Answer> {
        let copy: stream::Copy = call.json()?;
        if copy.request != request {
            return Err(Answer::error(StatusCode::BAD_REQUEST, "request"));
        }
        let mut state = self.state();
        if state.fault.kind == Kind::NoImport {
            return Err(Answer::too_many("copies", RETRY_AFTER));
        }
        state.batch.import(copy);
        Ok(Answer::status(StatusCode::NO_CONTENT))
    }

    fn control(&self, call: &Call) -> Result<Answer, Answer> {
        let (method, path) = call.route();
        let mut state = self.state();
        match (method, path.as_slice()) {
            ("POST", ["control", "fault"]) => state.fault = call.json()?,
            ("POST", ["control", "hold"]) => {
                let hold: Hold = call.json()?;
                state.batch.hold(Some(hold.after), Instant::now());
            }
            ("POST", ["control", "cache"]) => {
                let lose: Lose = call.json()?;
                state.cache.lose(lose.events);
            }
            ("POST", ["control", "release"]) => state.batch.hold(None, Instant::now()),
            ("GET", ["control", "counts"]) => return Ok(ok(state.batch.counts())),
            ("GET", ["control", "cache"]) => return Ok(ok(state.cache.counts())),
            ("GET", ["control", "orders"]) => return Ok(ok(state.models.applied())),
            _ => return Err(Answer::not_found()),
        }
        Ok(Answer::status(StatusCode::NO_CONTENT))
    }
}

fn ok(body: &(impl Serialize + ?Sized)) -> Answer {
    Answer::json(StatusCode::OK, body)
}

fn unknown_stream() -> Answer {
    Answer::error(StatusCode::NOT_FOUND, "stream")
}
