//! State that this host keeps of one backend server: its load, its health and the prompt parts that
//! it probably has cached.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use coordination::locate::hash;

use crate::{
    cache::{Cache, FIXED_RETENTION},
    limit::Limit,
    pace::Pace,
    request::Prompt,
};

/// Age from which a backend server's own report of its load is ignored.
const LOAD_REPORT_MAX_AGE: Duration = Duration::from_secs(2);

/// Time without bytes, with requests in progress, after which a backend server is suspected to be
/// down.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(600);

/// Backoff after a failed connection; doubles with each further failure in a row.
const MIN_BACKOFF: Duration = Duration::from_millis(400);

/// Longest backoff after failed connections.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Weight of the newest attempt in the failure rate.
const FAILURE_WEIGHT: f64 = 0.2;

/// Time in which the failure rate falls to about a third while no attempt ends.
const FAILURE_RATE_DECAY: Duration = Duration::from_secs(4);

/// Least difference in milliseconds by which the end of a cold time is moved to an earlier time.
const MIN_COLD_DECREASE_MS: u64 = 1000;

/// Entry of a backend server in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Id of this instance of the backend server.
    pub id: Arc<str>,
    /// Service that it provides.
    pub service: Arc<str>,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Number of requests that it runs at the same time.
    pub slots: u32,
    /// Whether it accepts no new requests.
    pub draining: bool,
    /// Unix time of its start in milliseconds; 0 if the entry doesn't say.
    pub started_unix_ms: u64,
    /// Number of the update that wrote the entry; rises with each update of one instance.
    pub sequence: u64,
    /// End of the time for which it is cold, by the platform's clock in milliseconds; 0 if it isn't.
    pub cold_until_ms: u64,
}

impl Entry {
    /// Returns whether both entries describe the same process.
    pub fn is_same_instance(&self, other: &Self) -> bool {
        self.started_unix_ms == other.started_unix_ms
            && self.address == other.address
            && self.service == other.service
    }

    /// Returns the end of the cold time by this entry and a newer one of the same instance.
    ///
    /// Each entry is read some time after it was written, so that each end is an upper bound. A
    /// slightly earlier one is no news, as each update would change it; a later one may be that of
    /// another cold time.
    pub fn newer_cold_until_ms(&self, newer: &Self) -> u64 {
        let known = self.cold_until_ms;
        let decrease_ms = known.saturating_sub(newer.cold_until_ms);
        let is_news = newer.cold_until_ms == 0 || decrease_ms >= MIN_COLD_DECREASE_MS;
        if is_news { newer.cold_until_ms } else { known.max(newer.cold_until_ms) }
    }

    /// Returns whether this is an older entry of the same instance, as in a restored copy of the
    /// list. Without a start time a lower number may come from a restart.
    pub fn is_outdated_by(&self, newest: &Self) -> bool {
        self.started_unix_ms != 0
            && self.is_same_instance(newest)
            && self.sequence < newest.sequence
    }
}

/// Load that a backend server reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
}

/// What the end of an attempt says about the health of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthSignal {
    /// It responded as it should.
    Healthy,
    /// It responded with an error, broke the response off, or stayed silent.
    Failed,
    /// It could not be reached.
    Unreachable,
    /// Nothing can be concluded, as when the caller disconnected.
    Neutral,
}

/// A backend server with its load, health and cached prompt parts.
#[derive(Debug)]
pub struct Backend {
    /// Entry in the platform's list.
    pub entry: Entry,
    /// Hash of the id.
    pub hash: u64,
    /// Limit on the requests of all hosts together.
    pub limit: Limit,
    /// How fast it works.
    pub pace: Pace,
    /// Memory of a model engine.
    pub cache: Cache,
    running: u32,
    /// Prompt tokens of this host's requests whose first event hasn't arrived.
    pending_prefill: u64,
    /// Last reported load, when it arrived, and this host's requests that ran at that time.
    last_report: Option<(Load, Duration, u32)>,
    last_heard_at: Duration,
    busy_since: Duration,
    failures: u32,
    backoff_until: Duration,
    /// Whether it stated in a response that it is leaving.
    leaving: bool,
    /// End of the time for which it asked for no requests.
    resting_until: Duration,
    /// After a rest: requests in progress until one succeeds.
    trial_requests: Option<u32>,
    recorded_failure_rate: f64,
    failure_rate_at: Duration,
}

impl Backend {
    /// Creates the state of a backend server that was just listed.
    pub fn new(entry: Entry) -> Self {
        Self {
            hash: hash(entry.id.as_bytes()),
            entry,
            limit: Limit::default(),
            pace: Pace::default(),
            cache: Cache::default(),
            running: 0,
            pending_prefill: 0,
            last_report: None,
            last_heard_at: Duration::ZERO,
            busy_since: Duration::ZERO,
            failures: 0,
            backoff_until: Duration::ZERO,
            leaving: false,
            resting_until: Duration::ZERO,
            trial_requests: None,
            recorded_failure_rate: 0.0,
            failure_rate_at: Duration::ZERO,
        }
    }

    /// Creates the state of the same instance when it is listed again; of the former state only its
    /// own statements still hold.
    pub fn relist(self, entry: Entry) -> Self {
        let entry = Entry { draining: entry.draining || self.entry.draining, ..entry };
        let trial_requests = self.trial_requests.map(|_| 0);
        Self {
            limit: self.limit,
            leaving: self.leaving,
            resting_until: self.resting_until,
            trial_requests,
            ..Self::new(entry)
        }
    }

    /// Records a request that is sent to it; `prefill_tokens` of its prompt aren't cached there.
    pub fn start_request(&mut self, now: Duration, prompt: Option<&Prompt>, prefill_tokens: u64) {
        if self.running == 0 {
            self.busy_since = now;
        }
        self.running += 1;
        if let Some(trials) = &mut self.trial_requests {
            *trials += 1;
        }
        let Some(prompt) = prompt else { return };
        self.pending_prefill += prefill_tokens;
        self.cache.record_sent(now, prompt);
    }

    /// Records that it has processed the prompt of a request that started with `prefill_tokens`.
    pub fn finish_prefill(&mut self, prefill_tokens: u64) {
        self.pending_prefill = self.pending_prefill.saturating_sub(prefill_tokens);
    }

    /// Records that bytes arrived from it.
    pub fn record_activity(&mut self, now: Duration) {
        self.last_heard_at = now;
    }

    /// Records its own report of its load.
    pub fn record_load(&mut self, now: Duration, load: Load) {
        self.last_report = Some((load, now, self.running));
    }

    /// Records the end of a request.
    pub fn finish_request(&mut self) {
        self.running = self.running.saturating_sub(1);
        if let Some(trials) = &mut self.trial_requests {
            *trials = trials.saturating_sub(1);
        }
    }

    /// Records that it stated in a response that it is leaving; this instance gets no new requests
    /// any more, whatever its entry says.
    pub fn record_leaving(&mut self) {
        self.leaving = true;
    }

    /// Records that it asked for no requests for a time.
    pub fn record_rest(&mut self, now: Duration, rest: Duration) {
        self.resting_until = self.resting_until.max(now + rest);
        self.trial_requests = Some(0);
    }

    /// Returns whether it takes no new requests for good, by its entry or its own responses.
    pub fn is_leaving(&self) -> bool {
        self.entry.draining || self.leaving
    }

    /// Returns the end of the time for which it asked for no requests, if that is in the future.
    pub fn resting_until(&self, now: Duration) -> Option<Duration> {
        (now < self.resting_until).then_some(self.resting_until)
    }

    /// Returns whether it gets no request for now, since it asked for none, or since a first one
    /// after that time is still in progress.
    pub fn is_resting(&self, now: Duration) -> bool {
        self.resting_until(now).is_some() || self.trial_requests.is_some_and(|trials| trials > 0)
    }

    /// Returns whether a new request may be sent to it now.
    pub fn accepts_requests(&self, now: Duration) -> bool {
        !self.is_leaving() && !self.is_resting(now)
    }

    /// Returns whether its statements still matter once it isn't listed any more.
    pub fn has_statement(&self, now: Duration) -> bool {
        self.is_leaving() || self.resting_until(now).is_some() || self.limit.per_s().is_some()
    }

    /// Records what the end of an attempt says about its health.
    pub fn record_health(&mut self, now: Duration, signal: HealthSignal) {
        let newest = match signal {
            HealthSignal::Neutral => return,
            HealthSignal::Healthy => 0.0,
            HealthSignal::Failed | HealthSignal::Unreachable => 1.0,
        };
        self.recorded_failure_rate =
            self.failure_rate(now) * (1.0 - FAILURE_WEIGHT) + newest * FAILURE_WEIGHT;
        self.failure_rate_at = now;
        if signal == HealthSignal::Healthy {
            self.failures = 0;
            if self.resting_until(now).is_none() {
                self.trial_requests = None;
            }
            return;
        }
        if signal == HealthSignal::Unreachable {
            self.failures += 1;
            let backoff = coordination::retry::backoff(MIN_BACKOFF, MAX_BACKOFF, self.failures);
            self.backoff_until = now + backoff;
        }
    }

    /// Returns the recent share of attempts that failed, from 0 to 1.
    pub fn failure_rate(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.failure_rate_at).as_secs_f64();
        self.recorded_failure_rate * (-age / FAILURE_RATE_DECAY.as_secs_f64()).exp()
    }

    /// Returns whether it gets no requests for now, since it could not be reached.
    pub fn is_backing_off(&self, now: Duration) -> bool {
        now < self.backoff_until
    }

    /// Returns whether no bytes have arrived from it for long although requests are in progress.
    pub fn is_silent(&self, now: Duration) -> bool {
        self.running > 0
            && now.saturating_sub(self.last_heard_at.max(self.busy_since)) > SILENCE_TIMEOUT
    }

    /// Returns when bytes last arrived from it.
    pub fn last_heard_at(&self) -> Duration {
        self.last_heard_at
    }

    /// Returns the number of this host's requests in progress there.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the prompt tokens of this host's requests that wait for prefill there.
    pub fn pending_prefill_tokens(&self) -> u64 {
        self.pending_prefill
    }

    /// Returns the running and waiting requests, by its last report and what this host sent since.
    pub fn load(&self, now: Duration) -> Load {
        match self.last_report {
            Some((load, at, own_running)) if now.saturating_sub(at) < LOAD_REPORT_MAX_AGE => {
                let running = load.running.saturating_add(self.running).saturating_sub(own_running);
                Load { running: running.max(self.running), waiting: load.waiting }
            }
            _ => Load { running: self.running, waiting: 0 },
        }
    }

    /// Returns the age of its last load report.
    pub fn report_age(&self, now: Duration) -> Option<Duration> {
        self.last_report.map(|(_, at, _)| now.saturating_sub(at))
    }

    /// Returns the number of other hosts' requests in its load, if its last report is recent.
    pub fn running_of_others(&self, now: Duration, load: Load) -> Option<u32> {
        let (_, at, _) = self.last_report?;
        let is_recent = now.saturating_sub(at) < LOAD_REPORT_MAX_AGE;
        is_recent.then(|| load.running.saturating_sub(self.running))
    }

    /// Returns the tokens of a prompt that it is not assumed to have cached, if it keeps parts for
    /// the fixed time.
    pub fn uncached_tokens(&self, now: Duration, prompt: &Prompt) -> u64 {
        prompt.input - self.cache.expected_cached(now, prompt, || FIXED_RETENTION)
    }
}
