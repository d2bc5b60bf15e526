//! Rate of use.

use std::time::Duration;

/// Tokens used per second, averaged with weights that decay exponentially over a window.
#[derive(Debug)]
pub(super) struct Rate {
    window_s: f64,
    value: f64,
    updated_at: Duration,
}

impl Rate {
    /// Creates a rate of zero with this window.
    pub fn over(window: Duration) -> Self {
        Self { window_s: window.as_secs_f64(), value: 0.0, updated_at: Duration::ZERO }
    }

    /// Adds tokens that were used.
    pub fn add(&mut self, now: Duration, tokens: u64) {
        self.value = self.at(now) + tokens as f64 / self.window_s;
        self.updated_at = now;
    }

    /// Returns the rate at a time.
    pub fn at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.value * (-age / self.window_s).exp()
    }
}
