//! Chooses a backend server for a request, or refuses the request.
//!
//! For model engines the choice goes by the predicted time to the first event: prompt tokens that
//! wait to be read, tokens of this prompt that the engine doesn't hold, requests that run there.
//! Each shared prompt has a home among the engines by rendezvous hash, so that all hosts send it to
//! the same engine without asking each other; it leaves its home only where the home's queue costs
//! more than reading the prompt again, and mostly for a second home, on which hosts agree too. This answers the load of many sessions with long shared
//! prompts. For plain services the least loaded backend server wins, the own zone first.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use coordination::locate::mix64;
use rand::{RngExt, rngs::StdRng};

use crate::{
    backend::{Backend, Entry, HealthSignal, Load},
    request::Prompt,
};

/// Prompt tokens that a model engine reads in a millisecond; only ratios of times depend on it.
const TOKENS_PER_MS: f64 = 50.0;

/// Cost of reading a token beside the time that it takes, as a part of that time: it delays all other
/// requests at the engine.
const REREAD_COST: f64 = 1.5;

/// Part of a prompt's shared tokens that its second home is expected to hold, in percent.
const SECOND_HELD_PERCENT: u64 = 50;

/// Part of a route's target within which a delay costs little.
const SLACK_PART: f64 = 0.4;

/// Cost of a delay within that part.
const SLACK_COST: f64 = 0.4;

/// Delay in milliseconds that each request at a model engine adds to the tokens of the others.
const ENGINE_SHARE_MS: f64 = 1.5;

/// Time in milliseconds that a plain service needs for a request, as far as placement goes.
const PLAIN_MS: f64 = 15.0;

/// Way to another zone and back in milliseconds, with its cost in bytes between zones.
const OTHER_ZONE_MS: f64 = 6.0;

/// Delay in milliseconds that is expected where all endings were troubled.
const TROUBLE_MS: f64 = 2000.0;

/// Delay in milliseconds that is expected where requests are under way and nothing is heard.
const SILENT_MS: f64 = 3000.0;

/// Time for which a zone is doubted after one of its backend servers could not be reached.
const ZONE_DOUBT: Duration = Duration::from_millis(2500);

/// Delay in milliseconds that is expected in a doubted zone; every attempt there costs the time of a
/// connection that doesn't come about.
const ZONE_DOUBT_MS: f64 = 1500.0;

/// Delay in milliseconds that is expected where all slots are taken, and for each that waits.
const FULL_MS: (f64, f64) = (300.0, 30.0);

/// Random part of a delay in milliseconds, so that hosts don't all choose the same among equals.
const JITTER_MS: f64 = 2.0;

/// Time to come back after where no backend server is known to work.
const NOBODY_PAUSE: Duration = Duration::from_millis(500);

/// Longest time to come back after where all backend servers are busy.
const PAUSE_LONGEST: Duration = Duration::from_secs(2);

/// What a request needs.
#[derive(Debug)]
pub struct Requirements<'a> {
    /// Service.
    pub service: &'a str,
    /// Availability zone of this host.
    pub zone: &'a str,
    /// Set for a generation.
    pub prompt: Option<&'a Prompt>,
    /// Ids of backend servers that were tried.
    pub tried: &'a [Arc<str>],
    /// Time within which an answer, or the first event, is wanted.
    pub target_latency: Duration,
    /// Time until the caller gives up.
    pub time_left: Duration,
}

/// What becomes of a request.
#[derive(Debug, PartialEq)]
pub enum Decision {
    /// To be sent to this backend server, which doesn't hold so many tokens of its prompt.
    Send {
        /// The backend server.
        to: Entry,
        /// Prompt tokens that it has to read.
        unread: u64,
        /// What the choice went by.
        estimate: Estimate,
    },
    /// Can't be served in time.
    Refuse {
        /// When to come back.
        retry_after: Duration,
        /// What the refusal went by, where any backend server could have been chosen.
        estimate: Option<Estimate>,
    },
}

/// What a choice went by.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Backend servers that could be chosen.
    pub candidates: usize,
    /// Predicted time to the answer or the first event in milliseconds.
    pub latency_ms: f64,
    /// Further time in milliseconds that is expected from doubts whether the backend server works.
    pub penalty_ms: f64,
    /// Requests that run and wait there, as far as known.
    pub load: Load,
    /// Age of its last report.
    pub report_age: Option<Duration>,
}

/// Whether the backend servers of an availability zone are reached.
#[derive(Debug, Default)]
struct Zone {
    heard: Duration,
    unreached: Option<Duration>,
}

impl Zone {
    /// Returns whether one of them could not be reached lately and none was heard since.
    fn is_doubtful(&self, now: Duration) -> bool {
        let lately = |at: Duration| now.saturating_sub(at) < ZONE_DOUBT && self.heard <= at;
        self.unreached.is_some_and(lately)
    }
}

/// All backend servers.
#[derive(Debug)]
pub struct Backends {
    backends: BTreeMap<Arc<str>, Backend>,
    zones: HashMap<Arc<str>, Zone>,
    rng: StdRng,
}

impl Backends {
    /// Opens a fleet without backend servers.
    pub fn new(rng: StdRng) -> Self {
        Self { backends: BTreeMap::new(), zones: HashMap::new(), rng }
    }

    /// Returns a backend server that is listed.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Backend> {
        self.backends.get_mut(id)
    }

    /// Notes bytes from a backend server.
    pub fn record_activity(&mut self, now: Duration, id: &str) {
        let Some(backend) = self.backends.get_mut(id) else { return };
        backend.record_activity(now);
        match self.zones.get_mut(&backend.entry.zone) {
            Some(zone) => zone.heard = now,
            None => {
                let zone = Zone { heard: now, unreached: None };
                self.zones.insert(backend.entry.zone.clone(), zone);
            }
        }
    }

    /// Takes what an attempt says about a backend server, and about its zone.
    pub fn record_health(&mut self, now: Duration, id: &str, sign: HealthSignal) {
        let Some(backend) = self.backends.get_mut(id) else { return };
        backend.record_health(now, sign);
        if sign == HealthSignal::Unreachable {
            self.zones.entry(backend.entry.zone.clone()).or_default().unreached = Some(now);
        }
    }

    /// Notes the end of a request at a backend server.
    pub fn finish_request(&mut self, now: Duration, id: &str, sign: HealthSignal) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.finish_request();
        }
        self.record_health(now, id, sign);
    }

    /// Returns the number of backend servers that take new work.
    pub fn accepting_count(&self) -> usize {
        self.backends.values().filter(|backend| !backend.entry.draining).count()
    }

    /// Takes the newest list and returns the ids that are new, changed or gone.
    ///
    /// A backend server that started again under its id holds nothing of before. With `keep`, those
    /// that the list lacks stay, as while the list is being filled again after an outage.
    pub fn replace(&mut self, list: Vec<Entry>, keep: bool) -> Vec<Arc<str>> {
        let mut changed = Vec::new();
        let mut listed = BTreeSet::new();
        for entry in list {
            listed.insert(entry.id.clone());
            match self.backends.get_mut(&entry.id) {
                Some(known) if known.entry == entry => {}
                Some(known) if is_same_start(&known.entry, &entry) => {
                    changed.push(entry.id.clone());
                    known.entry = entry;
                }
                _ => {
                    changed.push(entry.id.clone());
                    self.backends.insert(entry.id.clone(), Backend::new(entry));
                }
            }
        }
        if !keep {
            let gone = |id: &Arc<str>| !listed.contains(id);
            changed.extend(self.backends.keys().filter(|id| gone(id)).cloned());
            self.backends.retain(|id, _| listed.contains(id));
        }
        changed
    }

    /// Returns whether a service has a backend server that wasn't tried and can be reached.
    pub fn has_other(&self, now: Duration, service: &str, tried: &[Arc<str>]) -> bool {
        self.backends.values().any(|backend| is_candidate(backend, now, service, tried))
    }

    /// Chooses a backend server, or refuses.
    pub fn place(&mut self, now: Duration, want: &Requirements<'_>) -> Decision {
        let fits = |backend: &&Backend| is_candidate(backend, now, want.service, want.tried);
        let candidates: Vec<&Backend> = self.backends.values().filter(fits).collect();
        let session = want.prompt.and_then(|prompt| prompt.shared.last());
        let weight = |backend: &Backend| session.map(|part| mix64(backend.hash ^ part.prefix_hash));
        let homes = Homes::find(candidates.iter().map(|backend| (weight(backend), backend.hash)));
        let mut best: Option<(f64, f64, f64, u64, &Backend)> = None;
        for &backend in &candidates {
            let unread = prefill_tokens(now, backend, want.prompt, homes.first);
            let expected = unread.min(homes.most_unread(backend, want.prompt));
            let jitter = self.rng.random_range(0.0..JITTER_MS);
            let zone = self.zones.get(&backend.entry.zone);
            let cut = zone.is_some_and(|zone| zone.is_doubtful(now));
            let doubt = doubt(now, backend) + if cut { ZONE_DOUBT_MS } else { 0.0 };
            let delay = delay(backend.load(now), backend, want, expected);
            let reread = expected as f64 / TOKENS_PER_MS * REREAD_COST;
            let cost = doubt + cost(delay, want) + reread + jitter;
            if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                best = Some((cost, delay, doubt, unread, backend));
            }
        }
        let Some((_, delay_ms, doubt_ms, unread, backend)) = best else {
            return Decision::Refuse { retry_after: NOBODY_PAUSE, estimate: None };
        };
        let ground = Estimate {
            candidates: candidates.len(),
            latency_ms: delay_ms,
            penalty_ms: doubt_ms,
            load: backend.load(now),
            report_age: backend.report_age(now),
        };
        // Doubts about a backend server are no proof that it would be late.
        let certain = Duration::from_secs_f64(delay_ms / 1000.0);
        if certain > want.time_left {
            let pause = (certain / 2).min(PAUSE_LONGEST);
            return Decision::Refuse { retry_after: pause, estimate: Some(ground) };
        }
        Decision::Send { to: backend.entry.clone(), unread, estimate: ground }
    }
}

/// Returns whether a backend server of a service takes new work, wasn't tried and can be reached.
fn is_candidate(backend: &Backend, now: Duration, service: &str, tried: &[Arc<str>]) -> bool {
    *backend.entry.service == *service
        && !backend.entry.draining
        && !backend.is_backing_off(now)
        && !tried.contains(&backend.entry.id)
}

fn is_same_start(known: &Entry, entry: &Entry) -> bool {
    known.started_unix_ms == entry.started_unix_ms
        && known.address == entry.address
        && known.service == entry.service
}

/// Hashes of the backend servers to which all hosts send a prompt's shared parts.
#[derive(Debug, Clone, Copy, Default)]
struct Homes {
    first: Option<u64>,
    /// Takes what the first one has no room for.
    second: Option<u64>,
}

impl Homes {
    /// Finds the two greatest weights; there are no homes without weights.
    fn find(weighed: impl Iterator<Item = (Option<u64>, u64)>) -> Self {
        let mut ranked: [Option<(u64, u64)>; 2] = [None; 2];
        for (weight, hash) in weighed {
            let own = weight.map(|weight| (weight, hash));
            if own > ranked[0] {
                ranked = [own, ranked[0]];
            } else if own > ranked[1] {
                ranked[1] = own;
            }
        }
        let [first, second] = ranked.map(|found| found.map(|(_, hash)| hash));
        Self { first, second }
    }

    /// Returns the tokens that a backend server is expected to read at the most.
    fn most_unread(&self, backend: &Backend, prompt: Option<&Prompt>) -> u64 {
        match prompt {
            Some(prompt) if self.second == Some(backend.hash) => {
                let held = prompt.shared_tokens() * SECOND_HELD_PERCENT / 100;
                prompt.input.saturating_sub(held)
            }
            _ => u64::MAX,
        }
    }
}

/// Returns the tokens that a backend server has to read; the home of a prompt holds its shared part.
fn prefill_tokens(
    now: Duration,
    backend: &Backend,
    prompt: Option<&Prompt>,
    home: Option<u64>,
) -> u64 {
    let Some(prompt) = prompt else { return 0 };
    if home == Some(backend.hash) {
        return prompt.input.saturating_sub(prompt.shared_tokens());
    }
    backend.uncached_tokens(now, prompt)
}

/// Returns the delay in milliseconds that comes from doubts whether it works.
fn doubt(now: Duration, backend: &Backend) -> f64 {
    let silent = if backend.is_silent(now) { SILENT_MS } else { 0.0 };
    backend.failure_rate(now) * TROUBLE_MS + silent
}

/// Returns the predicted time in milliseconds until a backend server answers.
fn delay(load: Load, backend: &Backend, want: &Requirements<'_>, unread: u64) -> f64 {
    let slots = f64::from(backend.entry.slots.max(1));
    let mut delay = 0.0;
    if *backend.entry.zone != *want.zone {
        delay += OTHER_ZONE_MS;
    }
    let running = f64::from(load.running);
    match want.prompt {
        Some(_) => {
            delay += (backend.pending_prefill_tokens() + unread) as f64 / TOKENS_PER_MS;
            delay += running * ENGINE_SHARE_MS;
        }
        None => delay += running / slots * PLAIN_MS,
    }
    if load.waiting > 0 || running >= slots {
        delay += FULL_MS.0 + FULL_MS.1 * f64::from(load.waiting);
    }
    delay
}

/// Returns what a delay costs, in milliseconds: little while the answer is well within the target.
fn cost(delay: f64, want: &Requirements<'_>) -> f64 {
    let slack = want.target_latency.as_secs_f64() * 1000.0 * SLACK_PART;
    SLACK_COST * delay.min(slack) + (delay - slack).max(0.0)
}
