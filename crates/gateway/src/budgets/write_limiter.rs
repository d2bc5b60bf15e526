//! A host's part of the platform's writes.

use std::time::Duration;

use crate::account::Urgency;

/// Seconds of its part of the writes that a host saves up.
const SAVED_S: f64 = 1.5;

/// Fewest writes that a host saves up.
const SAVED_LEAST: f64 = 4.0;

/// This host's part of the platform's writes.
#[derive(Debug, Default)]
pub(super) struct WriteLimiter {
    saved: f64,
    most: f64,
    at: Duration,
}

impl WriteLimiter {
    /// Saves up what has been earned since the last call.
    pub fn refill(&mut self, now: Duration, per_s: f64) {
        let earned = now.saturating_sub(self.at).as_secs_f64() * per_s;
        self.most = (per_s * SAVED_S).max(SAVED_LEAST);
        self.saved = (self.saved + earned).min(self.most);
        self.at = now;
    }

    /// Returns whether a transaction may be made; half of what can be saved up is kept for requests
    /// that wait, which may also spend ahead.
    pub fn can_write(&self, urgency: Urgency) -> bool {
        match urgency {
            Urgency::JustRead => true,
            Urgency::Requested => self.saved > -self.most,
            Urgency::None => self.saved >= self.most / 2.0,
        }
    }

    /// Takes one transaction out.
    pub fn spend(&mut self) {
        self.saved -= 1.0;
    }
}
