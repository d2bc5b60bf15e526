//! What this host knows of one backend server.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use coordination::locate::hash;

use crate::request::Prompt;

/// Age at which a backend server's own report of its load is left out of account.
const LOAD_AGE: Duration = Duration::from_secs(2);

/// Silence, with requests under way, after which a backend server is suspected.
pub const SILENCE: Duration = Duration::from_millis(600);

/// Pause in sending after a connection failed; doubles with each further failure in a row.
const AVOID_FIRST: Duration = Duration::from_millis(400);

/// Longest pause in sending after failures.
const AVOID_LONGEST: Duration = Duration::from_secs(4);

/// Weight of the newest ending in the share of troubled ones.
const TROUBLE_WEIGHT: f64 = 0.2;

/// Time in which the share of troubled endings falls to a third where nothing new is learned.
const TROUBLE_DECAY: Duration = Duration::from_secs(4);

/// Time for which a prompt part that was sent is taken to be in a model engine's memory.
const PART_KEPT: Duration = Duration::from_secs(12);

/// Number of remembered prompt parts at which the old ones are dropped.
const PARTS_SWEPT_AT: usize = 1024;

/// A backend server as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Id of this start of it.
    pub id: Arc<str>,
    /// Service that it provides.
    pub service: Arc<str>,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// It takes no new work.
    pub draining: bool,
    /// Unix time of its start in milliseconds; 0 where it doesn't say.
    pub started_unix_ms: u64,
}

/// Load that a backend server reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// How a request at a backend server ended, as far as that says something about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthSignal {
    /// Answered as it should.
    Healthy,
    /// Answered with a failure, broke off, or stayed silent.
    Failed,
    /// Could not be reached.
    Unreachable,
    /// Says nothing, as when the caller left.
    Neutral,
}

/// A backend server and what was learned of it.
#[derive(Debug)]
pub struct Backend {
    /// Its entry in the list.
    pub entry: Entry,
    /// Hash of its id.
    pub hash: u64,
    running: u32,
    /// Prompt tokens of own requests whose first event hasn't come.
    reading: u64,
    /// Reported load, when it came, and own requests that ran at that time.
    reported: Option<(Load, Duration, u32)>,
    heard: Duration,
    busy_since: Duration,
    failures: u32,
    avoid_until: Duration,
    trouble: f64,
    trouble_at: Duration,
    parts: HashMap<u64, Duration>,
}

impl Backend {
    /// Opens what is known of a backend server that was just listed.
    pub fn new(entry: Entry) -> Self {
        Self {
            hash: hash(entry.id.as_bytes()),
            entry,
            running: 0,
            reading: 0,
            reported: None,
            heard: Duration::ZERO,
            busy_since: Duration::ZERO,
            failures: 0,
            avoid_until: Duration::ZERO,
            trouble: 0.0,
            trouble_at: Duration::ZERO,
            parts: HashMap::new(),
        }
    }

    /// Notes a request that is sent to it, of whose prompt it has to read so many tokens.
    pub fn start_request(&mut self, now: Duration, prompt: Option<&Prompt>, unread: u64) {
        if self.running == 0 {
            self.busy_since = now;
        }
        self.running += 1;
        let Some(prompt) = prompt else { return };
        self.reading += unread;
        if self.parts.len() >= PARTS_SWEPT_AT {
            self.parts.retain(|_, used| now.saturating_sub(*used) < PART_KEPT);
        }
        self.parts.extend(prompt.shared.iter().map(|part| (part.prefix_hash, now)));
    }

    /// Notes that the prompt of a request was read, where it counted so many unread tokens.
    pub fn finish_prefill(&mut self, unread: u64) {
        self.reading = self.reading.saturating_sub(unread);
    }

    /// Notes bytes from it.
    pub fn record_activity(&mut self, now: Duration) {
        self.heard = now;
    }

    /// Takes its own report of its load.
    pub fn record_load(&mut self, now: Duration, load: Load) {
        self.reported = Some((load, now, self.running));
    }

    /// Notes the end of a request.
    pub fn finish_request(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Takes what an attempt says about it.
    pub fn record_health(&mut self, now: Duration, sign: HealthSignal) {
        let newest = match sign {
            HealthSignal::Neutral => return,
            HealthSignal::Healthy => 0.0,
            HealthSignal::Failed | HealthSignal::Unreachable => 1.0,
        };
        self.trouble = self.failure_rate(now) * (1.0 - TROUBLE_WEIGHT) + newest * TROUBLE_WEIGHT;
        self.trouble_at = now;
        if sign == HealthSignal::Healthy {
            self.failures = 0;
            return;
        }
        if sign == HealthSignal::Unreachable {
            self.failures += 1;
            let pause = coordination::retry::backoff(AVOID_FIRST, AVOID_LONGEST, self.failures);
            self.avoid_until = now + pause;
        }
    }

    /// Returns the recent share of troubled endings, from 0 to 1.
    pub fn failure_rate(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.trouble_at).as_secs_f64();
        self.trouble * (-age / TROUBLE_DECAY.as_secs_f64()).exp()
    }

    /// Returns whether nothing is sent to it for now, since it could not be reached.
    pub fn is_backing_off(&self, now: Duration) -> bool {
        now < self.avoid_until
    }

    /// Returns whether it has been silent for long although requests are under way.
    pub fn is_silent(&self, now: Duration) -> bool {
        self.running > 0 && now.saturating_sub(self.heard.max(self.busy_since)) > SILENCE
    }

    /// Returns own requests that are under way.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns prompt tokens of own requests that wait to be read.
    pub fn pending_prefill_tokens(&self) -> u64 {
        self.reading
    }

    /// Returns requests that run and wait, by its last report and what this host sent since.
    pub fn load(&self, now: Duration) -> Load {
        match self.reported {
            Some((load, at, then)) if now.saturating_sub(at) < LOAD_AGE => {
                let running = (load.running + self.running).saturating_sub(then);
                Load { running: running.max(self.running), waiting: load.waiting }
            }
            _ => Load { running: self.running, waiting: 0 },
        }
    }

    /// Returns the age of its last report.
    pub fn report_age(&self, now: Duration) -> Option<Duration> {
        self.reported.map(|(_, at, _)| now.saturating_sub(at))
    }

    /// Returns the tokens of a prompt that it isn't known to hold.
    pub fn uncached_tokens(&self, now: Duration, prompt: &Prompt) -> u64 {
        let mut unread = prompt.input;
        for part in &prompt.shared {
            let kept = self.parts.get(&part.prefix_hash);
            if kept.is_none_or(|used| now.saturating_sub(*used) >= PART_KEPT) {
                break;
            }
            unread = unread.saturating_sub(part.tokens);
        }
        unread
    }
}
