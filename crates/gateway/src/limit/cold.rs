//! Cold time of one process of a backend server, in which it accepts few requests per second from
//! all hosts together.

use std::time::Duration;

use super::MIN_RATE_PER_S;
use crate::catalog::ColdStart;

/// Time for which backend servers are assumed to be cold while their entries may not state it yet:
/// entries lag by up to 2 s, and hosts read them up to 1 s later.
pub(crate) const ASSUMED_TIME: Duration = Duration::from_millis(3000);

/// Part of a second in which permits from before that second are used: their validity, and the
/// difference between the hosts' readings of the platform's clock.
const USED_LATER_S: f64 = 0.7;

/// Requests that permits allow at any rate in addition to it.
const ADDITIONAL_REQUESTS: f64 = 2.5;

/// What a cold backend server takes in any one second, by the rate that its service states.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// Requests as a multiple of the rate.
    pub over: f64,
    /// Requests in addition to that.
    pub slack: f64,
}

impl Default for ColdBound {
    fn default() -> Self {
        Self { over: 1.5, slack: 5.0 }
    }
}

impl ColdBound {
    /// Returns the rate at which permits are issued, so that the requests of one second stay within
    /// the bound although permits are valid for some time: at most the rate that the service states.
    pub fn issued_per_s(self, stated_per_s: f64) -> f64 {
        let allowed = stated_per_s * self.over + self.slack;
        let bounded = (allowed - ADDITIONAL_REQUESTS) / (1.0 + USED_LATER_S);
        bounded.min(stated_per_s).max(MIN_RATE_PER_S)
    }
}

/// Why a backend server counts as cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdBasis {
    /// Its entry states it.
    Entry,
    /// Its entry may not state it yet.
    Assumption,
}

/// What is known of the cold time of a backend server.
#[derive(Debug, Default)]
pub struct Cold {
    /// Requests per second while it is cold; `None` if its service states no cold rate.
    per_s: Option<f64>,
    /// Time for which it is cold after a start.
    start_time: Duration,
    /// End that its entry states, by the platform's clock in milliseconds.
    stated_until_ms: u64,
    /// End of an assumption by the time since the start of this process.
    assumed_until: Duration,
}

impl Cold {
    /// Sets what its service states, and the bound that is in force for it.
    pub fn set_start(&mut self, start: Option<ColdStart>, bound: ColdBound) {
        self.per_s = start.map(|start| bound.issued_per_s(start.per_s));
        self.start_time = start.map_or(Duration::ZERO, |start| start.time);
    }

    /// Sets the end that its entry states; returns whether it changed.
    pub fn set_stated_until(&mut self, until_ms: u64) -> bool {
        std::mem::replace(&mut self.stated_until_ms, until_ms) != until_ms
    }

    /// Assumes that it became cold at a time, for as long as its entry may not state this. That is
    /// no longer than the time for which it is cold after a start.
    pub fn assume_since(&mut self, since: Duration) {
        let time = if self.start_time.is_zero() {
            ASSUMED_TIME
        } else {
            ASSUMED_TIME.min(self.start_time)
        };
        self.assumed_until = self.assumed_until.max(since + time);
    }

    /// Returns the requests per second while it is cold, if its service states a cold rate.
    pub fn per_s(&self) -> Option<f64> {
        self.per_s
    }

    /// Returns why it is cold, if it is; `platform_ms` is the platform's clock. While that isn't
    /// known, no end that an entry states has passed.
    pub fn basis(&self, now: Duration, platform_ms: Option<u64>) -> Option<ColdBasis> {
        self.per_s?;
        if platform_ms.unwrap_or_default() < self.stated_until_ms {
            return Some(ColdBasis::Entry);
        }
        (now < self.assumed_until).then_some(ColdBasis::Assumption)
    }

    /// Returns whether it was never cold as far as known, or its service states no cold rate.
    pub fn is_unknown(&self) -> bool {
        self.per_s.is_none() || (self.stated_until_ms == 0 && self.assumed_until.is_zero())
    }

    /// Returns the time until it isn't cold any more.
    pub fn time_left(&self, now: Duration, platform_ms: Option<u64>) -> Duration {
        let stated_ms = self.stated_until_ms.saturating_sub(platform_ms.unwrap_or_default());
        Duration::from_millis(stated_ms).max(self.assumed_until.saturating_sub(now))
    }
}
