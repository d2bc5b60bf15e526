//! Limits a host's transactions to its share of the platform's writes.

use std::time::Duration;

use crate::account::Urgency;

/// Time in seconds whose writes a host can save up at most.
const MAX_SAVED_TIME_S: f64 = 1.5;

/// Minimum number of writes that a host can save up.
const MIN_CAPACITY: f64 = 4.0;

/// Token bucket of the writes that this host may make.
#[derive(Debug, Default)]
pub(super) struct WriteLimiter {
    available: f64,
    capacity: f64,
    refilled_at: Duration,
}

impl WriteLimiter {
    /// Adds the writes earned since the last call, at `per_s` writes per second.
    pub fn refill(&mut self, now: Duration, per_s: f64) {
        let earned = now.saturating_sub(self.refilled_at).as_secs_f64() * per_s;
        self.capacity = (per_s * MAX_SAVED_TIME_S).max(MIN_CAPACITY);
        self.available = (self.available + earned).min(self.capacity);
        self.refilled_at = now;
    }

    /// Returns whether a transaction may be made. Half of the capacity is kept for waiting
    /// requests, which may also overdraw the bucket by its capacity.
    pub fn can_write(&self, urgency: Urgency) -> bool {
        match urgency {
            Urgency::JustRead => true,
            Urgency::Requested => self.available > -self.capacity,
            Urgency::None => self.available >= self.capacity / 2.0,
        }
    }

    /// Takes one write out of the bucket.
    pub fn spend(&mut self) {
        self.available -= 1.0;
    }
}
