//! Reads the load and the cache changes of back ends at an interval.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use coordination::host::event::{CacheChange, Event, Load};
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};
use oxhttp::model::{Body, Request, StatusCode};
use serde::{Deserialize, de::DeserializeOwned};

use crate::{backend::http, driver::Inbound};

/// Name under which this service is found.
pub const NAME: &str = "watch";

/// Back ends that are read at once.
const WORKERS: usize = 4;

/// Longest wait for a report.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Names and base addresses of the back ends to read.
pub type Backends = Vec<(Arc<str>, Arc<str>)>;

/// A job for this service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Job {
    /// Reads these back ends from now on.
    Watch(Backends),
    /// Reads all cache changes of a back end with its next report.
    Reread(Arc<str>),
}

#[derive(Debug, Deserialize)]
struct LoadReport {
    queued: u32,
    running: u32,
    slots: u32,
    #[serde(default)]
    at_ms: u64,
    #[serde(default)]
    age_ms: u64,
    #[serde(default)]
    leaving: bool,
}

#[derive(Debug, Deserialize)]
struct CacheReport {
    events: Vec<CacheEvent>,
    next: u64,
}

#[derive(Debug, Deserialize)]
struct CacheEvent {
    seq: u64,
    model: Arc<str>,
    prefix: Arc<str>,
    cached: bool,
}

type Cursors = Arc<Mutex<BTreeMap<Arc<str>, u64>>>;

/// Reads the back ends last named on `jobs` until that channel closes.
///
/// # Errors
///
/// Returns an error if a thread can't be started.
pub fn run(jobs: &Receiver<Job>, core: &Sender<Inbound>, interval: Duration) -> eyre::Result<()> {
    let (queue, work) = bounded::<(Arc<str>, Arc<str>)>(WORKERS);
    let cursors = Cursors::default();
    for _ in 0..WORKERS {
        let (work, core, cursors) = (work.clone(), core.clone(), cursors.clone());
        thread::Builder::new().name(NAME.into()).spawn(move || {
            for (name, address) in work {
                read(&name, &address, &core, &cursors);
            }
        })?;
    }
    let mut current = Backends::new();
    let mut due = Instant::now();
    loop {
        match jobs.recv_deadline(due) {
            Ok(Job::Watch(changed)) => {
                forget(&cursors, &current, &changed);
                current = changed;
            }
            Ok(Job::Reread(backend)) => {
                lock(&cursors).remove(&backend);
                continue;
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return Ok(()),
        }
        for backend in &current {
            if queue.send(backend.clone()).is_err() {
                return Ok(());
            }
        }
        due = Instant::now() + interval;
    }
}

/// Forgets how far back ends were read that are no longer read, or have moved.
fn forget(cursors: &Cursors, current: &Backends, changed: &Backends) {
    let changed: BTreeMap<_, _> = changed.iter().map(|(name, address)| (name, address)).collect();
    let mut cursors = lock(cursors);
    for (name, address) in current {
        if changed.get(name) != Some(&address) {
            cursors.remove(name);
        }
    }
}

fn read(name: &Arc<str>, address: &str, core: &Sender<Inbound>, cursors: &Cursors) {
    let load = get::<LoadReport>(&format!("{address}/load")).map(|report| Load {
        queued: report.queued,
        running: report.running,
        slots: report.slots,
        at_ms: report.at_ms,
        age_ms: report.age_ms,
        leaving: report.leaving,
    });
    let answered = load.is_some();
    // The core goes first only when the process ends.
    let _ = core.send(Inbound::Event(Event::Load { backend: name.clone(), load }));
    if answered {
        read_cache(name, address, core, cursors);
    }
}

fn read_cache(name: &Arc<str>, address: &str, core: &Sender<Inbound>, cursors: &Cursors) {
    let after = lock(cursors).get(name).copied().unwrap_or(0);
    let Some(report) = get::<CacheReport>(&format!("{address}/cache?after={after}")) else {
        return;
    };
    advance(cursors, name, after, report.next);
    if report.events.is_empty() && report.next == after {
        return;
    }
    let changes = report.events.into_iter().map(|event| CacheChange {
        number: event.seq,
        model: event.model,
        prefix: event.prefix,
        cached: event.cached,
    });
    let event = Event::Cache {
        backend: name.clone(),
        after,
        changes: changes.collect(),
        next: report.next,
    };
    let _ = core.send(Inbound::Event(event));
}

/// Moves the cursor on, unless it was set back or moved by another reader meanwhile.
fn advance(cursors: &Cursors, name: &Arc<str>, after: u64, next: u64) {
    let mut cursors = lock(cursors);
    if cursors.get(name).copied().unwrap_or(0) == after {
        cursors.insert(name.clone(), next);
    }
}

fn lock(cursors: &Cursors) -> MutexGuard<'_, BTreeMap<Arc<str>, u64>> {
    cursors.lock().unwrap_or_else(PoisonError::into_inner)
}

fn get<T: DeserializeOwned>(uri: &str) -> Option<T> {
    let request = Request::builder().uri(uri).body(Body::empty()).ok()?;
    let response = http::client(TIMEOUT).request(request).ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    serde_json::from_slice(&http::read(response, http::MAX_DOCUMENT_BYTES)?).ok()
}
