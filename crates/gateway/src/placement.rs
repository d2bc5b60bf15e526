//! Chooses a backend server for a request, or refuses the request.
//!
//! For model engines the choice minimizes the predicted time to the first event, which depends on
//! the prompt tokens that wait for prefill, the tokens of this prompt that the engine doesn't have
//! cached, and the requests that run there. Rendezvous hashing gives each shared prompt a preferred
//! engine, so that all hosts send it to the same engine without coordination. A prompt goes
//! elsewhere only if the preferred engine's queue costs more than another prefill, and then mostly
//! to a second preferred engine, on which the hosts agree too. This suits a load of many sessions
//! with long shared prompts. For plain services the least loaded backend server is chosen,
//! preferably in this host's zone. Where long prompts are kept apart ([`Group`]), others prefer
//! engines to which a connection is open: many hosts with few requests each would otherwise open one
//! for nearly every request.

mod cold;
mod limited;
mod saving;
mod separation;
mod usual_gap;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use coordination::locate::mix64;
use rand::{RngExt, rngs::StdRng};

pub use self::{limited::Limited, saving::Alternative, separation::Group};
use self::{saving::Prefill, separation::Separation};
use crate::{
    backend::{Backend, Entry, HealthSignal, Load},
    cache::{Memory, Traffic},
    catalog::{ColdStart, StreamRanks},
    limit::{ColdBound, Fleet},
    request::Prompt,
};

/// Prompt tokens that a model engine processes per millisecond; only ratios of times depend on it.
const PREFILL_TOKENS_PER_MS: f64 = 50.0;

/// Cost of the prefill of a token beside the time that it takes, as a multiple of that time: it
/// delays all other requests at the engine.
const PREFILL_COST_FACTOR: f64 = 1.5;

/// Share of a prompt's shared tokens that its second engine is expected to have cached, in percent.
const SECOND_CACHED_PERCENT: u64 = 50;

/// Fraction of a route's target latency up to which latency costs little.
const CHEAP_LATENCY_FRACTION: f64 = 0.4;

/// Cost of latency up to that fraction, as a multiple of it.
const CHEAP_LATENCY_WEIGHT: f64 = 0.4;

/// Delay in milliseconds that each request at a model engine adds to the tokens of the others.
const BATCH_DELAY_MS: f64 = 1.5;

/// Time in milliseconds that a plain service is assumed to need for a request.
const SERVICE_TIME_MS: f64 = 15.0;

/// Cost of a request to another zone in milliseconds: the round trip, and the traffic between
/// zones.
const CROSS_ZONE_MS: f64 = 6.0;

/// Delay in milliseconds that is expected if all recent attempts failed.
const FAILURE_PENALTY_MS: f64 = 2000.0;

/// Delay in milliseconds that is expected if requests are in progress and no bytes arrive.
const SILENCE_PENALTY_MS: f64 = 3000.0;

/// Time for which a zone is suspect after one of its backend servers could not be reached.
const SUSPECT_ZONE_TIME: Duration = Duration::from_millis(2500);

/// Delay in milliseconds that is expected in a suspect zone; every attempt there may cost a
/// connection timeout.
const SUSPECT_ZONE_PENALTY_MS: f64 = 1500.0;

/// Delay in milliseconds that is expected if all slots are taken, and for each waiting request.
const QUEUE_DELAY_MS: (f64, f64) = (300.0, 30.0);

/// Cost in milliseconds of a new connection: round trips, and now and then a lost packet or a backend
/// server that has no connection left.
const NEW_CONNECTION_MS: f64 = 15.0;

/// Upper bound of the random part of a cost in milliseconds, so that hosts don't all choose the
/// same among equal backend servers.
const JITTER_MS: f64 = 2.0;

/// Time after which a caller may retry if there is no candidate.
const NO_CANDIDATE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Longest time after which a caller may retry if all backend servers are in evacuated zones, which
/// lasts until the operator ends it. Callers are spread over its second half.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Longest time after which a caller may retry if all backend servers are busy.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Time after the end of the earliest rest over which callers are spread if all backend servers
/// asked for no requests, so that they don't return at the same moment.
const REST_SPREAD: Duration = Duration::from_millis(500);

/// Time for which the statements of a backend server are kept that isn't listed any more, as it may
/// be listed again after an outage or from an older copy of the list.
const UNLISTED_TTL: Duration = Duration::from_secs(600);

/// Maximum number of unlisted backend servers whose statements are kept.
const MAX_UNLISTED: usize = 4096;

/// What a request needs of a backend server.
#[derive(Debug)]
pub struct Requirements<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Availability zone of this host.
    pub zone: &'a str,
    /// Prompt, if the request is a generation.
    pub prompt: Option<&'a Prompt>,
    /// Memory of the service's engines, if their capacity is stated.
    pub memory: Option<Memory>,
    /// Ids of the backend servers that were tried before.
    pub tried: &'a [Arc<str>],
    /// Time within which the response, or the first event of a stream, should arrive.
    pub target_latency: Duration,
    /// Time left until the request's deadline.
    pub time_left: Duration,
    /// Priority of the route; 0 is the most urgent.
    pub priority: u8,
    /// Ranks of the streamed routes of the service.
    pub stream_ranks: Option<StreamRanks>,
    /// Backend servers to which a connection is open that the request may use, if known.
    pub connected: Option<&'a BTreeSet<Arc<str>>>,
}

/// Result of placing a request.
#[derive(Debug, PartialEq)]
pub enum Decision {
    /// Send the request to this backend server.
    Send {
        /// The backend server.
        to: Entry,
        /// Prompt tokens that it doesn't have cached.
        prefill_tokens: u64,
        /// Estimate on which the choice is based.
        estimate: Estimate,
        /// Backend servers that couldn't be chosen by the operator's or their own statements.
        excluded: Excluded,
    },
    /// Refuse the request, since it can't be served in time.
    Refuse {
        /// Time after which the caller may retry.
        retry_after: Duration,
        /// Estimate for the best candidate; `None` if there was no candidate.
        estimate: Option<Estimate>,
        /// Backend servers that couldn't be chosen by the operator's or their own statements.
        excluded: Excluded,
    },
}

/// Numbers of a service's backend servers that get no request by the operator's or their own
/// statements.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Excluded {
    /// Their zone is evacuated.
    pub evacuated: usize,
    /// They are leaving.
    pub leaving: usize,
    /// They asked for no requests for a time.
    pub resting: usize,
    /// They named a limit, under which this host may send nothing now.
    pub limited: usize,
    /// They are cold, and this host may send nothing now.
    pub cold: usize,
}

/// Estimate for a backend server, and the facts behind it.
#[derive(Debug, Clone, PartialEq)]
pub struct Estimate {
    /// Number of backend servers that could be chosen.
    pub candidates: usize,
    /// Predicted time to the response or the first event, in milliseconds.
    pub latency_ms: f64,
    /// Further delay expected in milliseconds, since the backend server may be faulty.
    pub penalty_ms: f64,
    /// Requests that run and wait there, as far as known.
    pub load: Load,
    /// Age of its last load report.
    pub report_age: Option<Duration>,
    /// Engines that the prompt prefers, if those of the service are divided.
    pub group: Option<Group>,
    /// How long work takes there, as a multiple of the usual time.
    pub slowness: f64,
    /// Age of the newest report or event by which that is known.
    pub pace_age: Option<Duration>,
    /// What is saved there, and the wait.
    pub chosen: Alternative,
    /// The same of the backend server that would have been chosen next.
    pub alternative: Option<Alternative>,
}

/// Reachability of the backend servers in an availability zone.
#[derive(Debug, Default)]
struct Zone {
    last_heard_at: Duration,
    unreachable_at: Option<Duration>,
    /// When its backend servers were last assumed to become cold.
    cold_since: Option<Duration>,
}

impl Zone {
    /// Returns whether one of them was unreachable recently and no bytes came from any since.
    fn is_suspect(&self, now: Duration) -> bool {
        let is_recent =
            |at: Duration| now.saturating_sub(at) < SUSPECT_ZONE_TIME && self.last_heard_at <= at;
        self.unreachable_at.is_some_and(is_recent)
    }
}

/// All backend servers.
#[derive(Debug)]
pub struct Backends {
    backends: BTreeMap<Arc<str>, Backend>,
    /// Unlisted backend servers whose statements still matter, and since when they are unlisted.
    unlisted: BTreeMap<Arc<str>, (Duration, Backend)>,
    zones: HashMap<Arc<str>, Zone>,
    /// Evacuated zones, and since when this host knows.
    evacuated: BTreeMap<Arc<str>, Duration>,
    /// Hosts among which limits are divided.
    fleet: Fleet,
    /// Until when refused callers of a service were told to wait, while its limits are used up.
    limited_until: HashMap<Arc<str>, Duration>,
    separation: Separation,
    /// What cold backend servers accept, by their service.
    cold_starts: HashMap<Arc<str>, ColdStart>,
    cold_bound: ColdBound,
    /// When the usual speed of a service's backend servers was last calculated.
    pace_updated_at: HashMap<Arc<str>, Duration>,
    /// What this host sent to the engines of each service.
    traffic: HashMap<Arc<str>, Traffic>,
    rng: StdRng,
}

impl Backends {
    /// Creates an empty set for a host; `rng` makes the random choices.
    pub fn new(host: &str, rng: StdRng) -> Self {
        Self {
            backends: BTreeMap::new(),
            unlisted: BTreeMap::new(),
            zones: HashMap::new(),
            evacuated: BTreeMap::new(),
            fleet: Fleet::new(host),
            limited_until: HashMap::new(),
            separation: Separation::default(),
            cold_starts: HashMap::new(),
            cold_bound: ColdBound::default(),
            pace_updated_at: HashMap::new(),
            traffic: HashMap::new(),
            rng,
        }
    }

    /// Returns whether a new request may be sent to a backend server now.
    pub fn accepts_requests(&self, now: Duration, id: &str) -> bool {
        let backend = self.backends.get(id).filter(|own| !self.is_evacuated(own));
        backend.is_some_and(|backend| backend.accepts_requests(now))
    }

    /// Sets the evacuated zones, to whose backend servers no request is sent.
    pub fn set_evacuated(&mut self, now: Duration, zones: impl IntoIterator<Item = Arc<str>>) {
        let zones = zones.into_iter();
        let since = |zone: &Arc<str>| self.evacuated.get(zone).copied().unwrap_or(now);
        let zones = zones.map(|zone| (zone.clone(), since(&zone))).collect();
        let former = std::mem::replace(&mut self.evacuated, zones);
        let ended = former.into_keys().filter(|zone| !self.evacuated.contains_key(zone));
        for zone in ended.collect::<Vec<_>>() {
            self.assume_cold(now, &zone);
        }
    }

    /// Returns the evacuated zones, and since when this host knows that they are.
    pub fn evacuated(&self) -> &BTreeMap<Arc<str>, Duration> {
        &self.evacuated
    }

    /// Returns the number of backend servers in each zone.
    pub fn count_by_zone(&self) -> BTreeMap<Arc<str>, usize> {
        let mut counts = BTreeMap::new();
        for backend in self.backends.values() {
            *counts.entry(backend.entry.zone.clone()).or_default() += 1;
        }
        counts
    }

    fn is_evacuated(&self, backend: &Backend) -> bool {
        self.evacuated.contains_key(&backend.entry.zone)
    }

    /// Returns a listed backend server.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Backend> {
        self.backends.get_mut(id)
    }

    /// Returns whether a request that was placed at a backend server may still be sent to it.
    pub fn may_send(&self, now: Duration, id: &str) -> bool {
        let backend = self.backends.get(id).filter(|own| !self.is_evacuated(own));
        backend.is_some_and(|own| !own.is_leaving() && own.resting_until(now).is_none())
    }

    /// Returns whether a backend server is listed, hasn't announced that it leaves and is in no
    /// evacuated zone, whose machines may be switched off.
    pub fn is_in_service(&self, id: &str) -> bool {
        let backend = self.backends.get(id).filter(|own| !self.is_evacuated(own));
        backend.is_some_and(|backend| !backend.is_leaving())
    }

    /// Returns whether bytes of this instance of a backend server arrived later than a time.
    pub fn is_heard_since(&self, id: &str, started_unix_ms: u64, since: Duration) -> bool {
        let backend = self.backends.get(id);
        let backend = backend.filter(|own| own.entry.started_unix_ms == started_unix_ms);
        backend.is_some_and(|own| own.last_heard_at() > since)
    }

    /// Records that bytes arrived from a backend server.
    pub fn record_activity(&mut self, now: Duration, id: &str) {
        let Some(backend) = self.backends.get_mut(id) else { return };
        backend.record_activity(now);
        match self.zones.get_mut(&backend.entry.zone) {
            Some(zone) => zone.last_heard_at = now,
            None => {
                let zone = Zone { last_heard_at: now, ..Zone::default() };
                self.zones.insert(backend.entry.zone.clone(), zone);
            }
        }
    }

    /// Records the load that a backend server reports.
    pub fn record_load(&mut self, now: Duration, id: &str, load: Load) {
        let Some(backend) = self.backends.get_mut(id) else { return };
        backend.record_load(now, load);
        let slots = f64::from(backend.entry.slots.max(1));
        let taken = f64::from(load.running + load.waiting) / slots;
        self.separation.record_load(now, &backend.entry.service, backend.hash, taken);
    }

    /// Records what an attempt says about the health of a backend server and of its zone.
    pub fn record_health(&mut self, now: Duration, id: &str, signal: HealthSignal) {
        let Some(backend) = self.backends.get_mut(id) else { return };
        backend.record_health(now, signal);
        if signal == HealthSignal::Unreachable {
            self.zones.entry(backend.entry.zone.clone()).or_default().unreachable_at = Some(now);
        }
    }

    /// Records the end of a request at a backend server.
    pub fn finish_request(&mut self, now: Duration, id: &str, signal: HealthSignal) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.finish_request();
        }
        self.record_health(now, id, signal);
    }

    /// Returns the entries of all listed backend servers.
    pub fn entries(&self) -> Vec<Entry> {
        self.backends.values().map(|backend| backend.entry.clone()).collect()
    }

    /// Returns the number of backend servers that accept new requests.
    pub fn accepting_count(&self) -> usize {
        self.backends.values().filter(|backend| !backend.is_leaving()).count()
    }

    /// Returns whether no other backend server provides a service, apart from those that are leaving
    /// or evacuated.
    pub fn is_only(&self, service: &str, id: &str) -> bool {
        let mut others = self.backends.values().filter(|backend| *backend.entry.id != *id);
        !others.any(|other| {
            &*other.entry.service == service && !other.is_leaving() && !self.is_evacuated(other)
        })
    }

    /// Applies the newest list and returns the ids of the entries that were added, changed or
    /// removed.
    ///
    /// A backend server that restarted under the same id starts with an empty state. One instance
    /// never goes back to an older entry, nor from draining to accepting requests: the list may
    /// come from an older copy. With `keep_unlisted`, those that are missing from the list stay, as
    /// while the list is being filled again after an outage.
    pub fn replace(
        &mut self,
        now: Duration,
        list: Vec<Entry>,
        keep_unlisted: bool,
    ) -> Vec<Arc<str>> {
        let mut changed = Vec::new();
        let mut listed = BTreeSet::new();
        for entry in list {
            let id = entry.id.clone();
            let mut is_new = false;
            match self.backends.get_mut(&id) {
                Some(current) if entry.is_outdated_by(&current.entry) => {}
                Some(current) if current.entry.is_same_instance(&entry) => {
                    if update_entry(&mut current.entry, entry) {
                        changed.push(id.clone());
                    }
                }
                _ => match self.unlisted.remove(&id) {
                    // Only an update that follows its removal shows that it still runs.
                    Some(former) if entry.is_outdated_by(&former.1.entry) => {
                        self.unlisted.insert(id, former);
                        continue;
                    }
                    Some((_, former)) if former.entry.is_same_instance(&entry) => {
                        is_new = true;
                        changed.push(id.clone());
                        self.backends.insert(id.clone(), former.relist(entry));
                    }
                    _ => {
                        is_new = true;
                        changed.push(id.clone());
                        self.backends.insert(id.clone(), Backend::new(entry));
                    }
                },
            }
            self.update_cold(now, &id, is_new);
            listed.insert(id);
        }
        if !keep_unlisted {
            let is_unlisted = |id: &Arc<str>| !listed.contains(id);
            let removed: Vec<_> =
                self.backends.keys().filter(|id| is_unlisted(id)).cloned().collect();
            for id in removed {
                self.unlist(now, &id);
                changed.push(id);
            }
        }
        changed
    }

    /// Removes a backend server from the candidates and keeps what it stated.
    fn unlist(&mut self, now: Duration, id: &Arc<str>) {
        let Some(mut backend) = self.backends.remove(id) else { return };
        // An older copy of the list may contain the entry that was just removed.
        backend.entry.sequence = backend.entry.sequence.saturating_add(1);
        self.unlisted.retain(|_, (since, _)| now.saturating_sub(*since) < UNLISTED_TTL);
        if self.unlisted.len() >= MAX_UNLISTED {
            let is_idle = |(_, backend): &mut (Duration, Backend)| backend.has_statement(now);
            self.unlisted.retain(|_, kept| is_idle(kept));
        }
        if self.unlisted.len() < MAX_UNLISTED {
            self.unlisted.insert(id.clone(), (now, backend));
        }
    }

    /// Returns whether a service has a candidate that wasn't tried.
    pub fn has_other(&mut self, now: Duration, service: &str, tried: &[Arc<str>]) -> bool {
        self.refresh_permits(now, service);
        let mut candidates = self.backends.values().filter(|own| !self.is_evacuated(own));
        candidates.any(|backend| is_candidate(backend, now, service, tried))
    }

    /// Chooses a backend server for a request, or refuses the request.
    pub fn place(&mut self, now: Duration, requirements: &Requirements<'_>) -> Decision {
        self.refresh_permits(now, requirements.service);
        self.refresh_pace(now, requirements.service);
        let is_candidate_for = |backend: &&Backend| {
            !self.evacuated.contains_key(&backend.entry.zone)
                && is_candidate(backend, now, requirements.service, requirements.tried)
        };
        let candidates: Vec<&Backend> = self.backends.values().filter(is_candidate_for).collect();
        let excluded = self.excluded(now, requirements.service);
        let group = self.separation.find_group(now, requirements, candidates.len());
        let is_outside = |backend: &Backend| group.is_some_and(|own| !own.contains(backend.hash));
        let session = requirements.prompt.and_then(|prompt| prompt.shared.last());
        let weight = |backend: &Backend| {
            let weight = session.map(|part| mix64(backend.hash ^ part.prefix_hash));
            weight.map(|weight| (!is_outside(backend), weight))
        };
        let preferred = PreferredEngines::find(
            candidates.iter().map(|backend| (weight(backend), backend.hash)),
        );
        let outlook = self.outlook(now, requirements, candidates.len());
        let mut best: Option<(f64, f64, f64, Prefill, &Backend)> = None;
        let mut next: Option<(f64, Prefill, &Backend)> = None;
        for &backend in &candidates {
            let load = backend.load(now);
            let prefill =
                Prefill::estimate(now, backend, load, requirements, preferred, outlook.as_ref());
            let jitter = self.rng.random_range(0.0..JITTER_MS);
            let zone = self.zones.get(&backend.entry.zone);
            let is_suspect_zone = zone.is_some_and(|zone| zone.is_suspect(now));
            let health_penalty_ms = health_penalty_ms(now, backend)
                + if is_suspect_zone { SUSPECT_ZONE_PENALTY_MS } else { 0.0 };
            let slowness = backend.pace.slowness(now);
            let latency = predicted_latency_ms(
                load,
                backend,
                requirements,
                prefill.expected_tokens,
                slowness,
            );
            let prefill_cost =
                prefill.caused_tokens / PREFILL_TOKENS_PER_MS * slowness * PREFILL_COST_FACTOR;
            let outside_ms =
                group.filter(|_| is_outside(backend)).map_or(0.0, |own| own.outside_ms);
            let cost = health_penalty_ms
                + cost(latency + prefill.room_wait_ms, requirements)
                + prefill_cost
                + outside_ms
                + new_connection_ms(backend, requirements, group)
                + jitter;
            if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                next = best.map(|(cost, _, _, prefill, backend)| (cost, prefill, backend));
                best = Some((cost, latency, health_penalty_ms, prefill, backend));
            } else if next.as_ref().is_none_or(|(least, ..)| cost < *least) {
                next = Some((cost, prefill, backend));
            }
        }
        let Some((_, latency_ms, penalty_ms, prefill, backend)) = best else {
            let rest = self.rest_of(now, requirements);
            let limit = self.limited_retry_after(now, requirements.service);
            let evacuated = self.evacuated_retry_after(requirements.service, excluded);
            let earliest = rest.into_iter().chain(limit).chain(evacuated).min();
            let retry_after = earliest.unwrap_or(NO_CANDIDATE_RETRY_AFTER);
            return Decision::Refuse { retry_after, estimate: None, excluded };
        };
        let estimate = Estimate {
            candidates: candidates.len(),
            latency_ms,
            penalty_ms,
            load: backend.load(now),
            report_age: backend.report_age(now),
            group,
            slowness: backend.pace.slowness(now),
            pace_age: backend.pace.age(now),
            chosen: Alternative::new(now, backend, requirements, outlook.as_ref(), prefill),
            alternative: next.map(|(_, prefill, backend)| {
                Alternative::new(now, backend, requirements, outlook.as_ref(), prefill)
            }),
        };
        // The penalty is left out: that a backend server may be faulty is no proof that it is late.
        // So is the wait for room, which follows from usual sizes of requests.
        let latency = Duration::from_secs_f64(latency_ms / 1000.0);
        if latency > requirements.time_left {
            let retry_after = (latency / 2).min(MAX_RETRY_AFTER);
            return Decision::Refuse { retry_after, estimate: Some(estimate), excluded };
        }
        let prefill_tokens = prefill.tokens;
        Decision::Send { to: backend.entry.clone(), prefill_tokens, estimate, excluded }
    }

    /// Counts the backend servers of a service that get no request by the operator's or their own
    /// statements.
    fn excluded(&self, now: Duration, service: &str) -> Excluded {
        let mut excluded = Excluded::default();
        for backend in self.backends.values().filter(|own| *own.entry.service == *service) {
            if self.is_evacuated(backend) {
                excluded.evacuated += 1;
            } else if backend.is_leaving() {
                excluded.leaving += 1;
            } else if backend.is_resting(now) {
                excluded.resting += 1;
            } else if !backend.limit.allows_request() {
                match backend.limit.cold_per_s() {
                    Some(_) => excluded.cold += 1,
                    None => excluded.limited += 1,
                }
            }
        }
        excluded
    }

    /// Returns the time until the first backend server accepts requests again, plus a random part,
    /// if some asked for none.
    fn rest_of(&mut self, now: Duration, requirements: &Requirements<'_>) -> Option<Duration> {
        let serves = |backend: &&Backend| {
            *backend.entry.service == *requirements.service
                && !backend.is_leaving()
                && !self.is_evacuated(backend)
        };
        let rests = self.backends.values().filter(serves);
        let earliest = rests.filter_map(|backend| backend.resting_until(now)).min()?;
        let spread = self.rng.random_range(0.0..REST_SPREAD.as_secs_f64());
        Some(earliest - now + Duration::from_secs_f64(spread))
    }

    /// Returns when a caller may retry if all backend servers of a service that aren't leaving are in
    /// evacuated zones.
    fn evacuated_retry_after(&mut self, service: &str, excluded: Excluded) -> Option<Duration> {
        let of_service = self.backends.values().filter(|own| *own.entry.service == *service);
        let is_whole = of_service.count() == excluded.evacuated + excluded.leaving;
        (is_whole && excluded.evacuated > 0)
            .then(|| EVACUATED_RETRY_AFTER.mul_f64(self.rng.random_range(0.5..1.0)))
    }
}

/// Takes over a newer entry of an instance; returns whether its content changed beside its cold
/// time, which doesn't concern connections.
fn update_entry(current: &mut Entry, newer: Entry) -> bool {
    let cold_until_ms = current.newer_cold_until_ms(&newer);
    let draining = current.draining || newer.draining;
    let newer = Entry { draining, cold_until_ms, ..newer };
    let former = Entry { sequence: newer.sequence, cold_until_ms, ..current.clone() };
    let is_changed = former != newer;
    *current = newer;
    is_changed
}

/// Returns whether a backend server belongs to the service, accepts requests, isn't backing off,
/// isn't kept from this request by its limit and wasn't tried.
fn is_candidate(backend: &Backend, now: Duration, service: &str, tried: &[Arc<str>]) -> bool {
    *backend.entry.service == *service
        && backend.accepts_requests(now)
        && !backend.is_backing_off(now)
        && backend.limit.allows_request()
        && !tried.contains(&backend.entry.id)
}

/// Hashes of the backend servers to which all hosts send a shared prompt.
#[derive(Debug, Clone, Copy, Default)]
struct PreferredEngines {
    first: Option<u64>,
    /// Used while the first one is too busy.
    second: Option<u64>,
}

impl PreferredEngines {
    /// Finds the two backend servers with the greatest weights; there are none without weights.
    fn find(weighed: impl Iterator<Item = (Option<(bool, u64)>, u64)>) -> Self {
        let mut ranked: [Option<((bool, u64), u64)>; 2] = [None; 2];
        for (weight, hash) in weighed {
            let candidate = weight.map(|weight| (weight, hash));
            if candidate > ranked[0] {
                ranked = [candidate, ranked[0]];
            } else if candidate > ranked[1] {
                ranked[1] = candidate;
            }
        }
        let [first, second] = ranked.map(|found| found.map(|(_, hash)| hash));
        Self { first, second }
    }

    /// Returns the tokens of a prompt that a backend server has cached if other hosts sent it.
    fn agreed_tokens(&self, backend: &Backend, prompt: &Prompt) -> u64 {
        let hash = Some(backend.hash);
        if self.first == hash {
            prompt.shared_tokens()
        } else if self.second == hash {
            prompt.shared_tokens() * SECOND_CACHED_PERCENT / 100
        } else {
            0
        }
    }
}

/// Returns the delay in milliseconds that is expected since the backend server may be faulty.
fn health_penalty_ms(now: Duration, backend: &Backend) -> f64 {
    let silent = if backend.is_silent(now) { SILENCE_PENALTY_MS } else { 0.0 };
    backend.failure_rate(now) * FAILURE_PENALTY_MS + silent
}

/// Returns the cost in milliseconds of the connection that the request needs; it counts only for
/// prompts that any engine of their group reads soon.
fn new_connection_ms(
    backend: &Backend,
    requirements: &Requirements<'_>,
    group: Option<Group>,
) -> f64 {
    let is_short = group.is_some_and(|group| !group.is_long);
    match requirements.connected {
        Some(connected) if is_short && !connected.contains(&backend.entry.id) => NEW_CONNECTION_MS,
        _ => 0.0,
    }
}

/// Returns the predicted time in milliseconds until a backend server responds; `slowness` is how long
/// work takes there as a multiple of the usual time.
fn predicted_latency_ms(
    load: Load,
    backend: &Backend,
    requirements: &Requirements<'_>,
    prefill_tokens: f64,
    slowness: f64,
) -> f64 {
    let slots = f64::from(backend.entry.slots.max(1));
    let mut latency = 0.0;
    if *backend.entry.zone != *requirements.zone {
        latency += CROSS_ZONE_MS;
    }
    let running = f64::from(load.running);
    match requirements.prompt {
        Some(_) => {
            let prefill_ms =
                (backend.pending_prefill_tokens() as f64 + prefill_tokens) / PREFILL_TOKENS_PER_MS;
            latency += (prefill_ms + running * BATCH_DELAY_MS) * slowness;
        }
        None => latency += running / slots * SERVICE_TIME_MS * slowness,
    }
    latency + queue_delay_ms(load, backend)
}

/// Returns the delay in milliseconds that is expected from requests that wait for a slot.
fn queue_delay_ms(load: Load, backend: &Backend) -> f64 {
    if load.waiting > 0 || load.running >= backend.entry.slots.max(1) {
        QUEUE_DELAY_MS.0 + QUEUE_DELAY_MS.1 * f64::from(load.waiting)
    } else {
        0.0
    }
}

/// Returns the cost of a latency in milliseconds; it is low while the latency is well within the
/// target.
fn cost(latency: f64, requirements: &Requirements<'_>) -> f64 {
    let cheap_ms = requirements.target_latency.as_secs_f64() * 1000.0 * CHEAP_LATENCY_FRACTION;
    CHEAP_LATENCY_WEIGHT * latency.min(cheap_ms) + (latency - cheap_ms).max(0.0)
}
