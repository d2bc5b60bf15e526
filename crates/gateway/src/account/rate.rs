//! Rate of use.

use std::time::Duration;

/// Tokens used in each second, averaged with weights that fall over a window.
#[derive(Debug)]
pub(super) struct Rate {
    window: f64,
    value: f64,
    at: Duration,
}

impl Rate {
    /// Opens a rate over a window.
    pub fn over(window: Duration) -> Self {
        Self { window: window.as_secs_f64(), value: 0.0, at: Duration::ZERO }
    }

    /// Notes tokens that were used.
    pub fn add(&mut self, now: Duration, tokens: u64) {
        self.value = self.at(now) + tokens as f64 / self.window;
        self.at = now;
    }

    /// Returns the rate at a time.
    pub fn at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.value * (-age / self.window).exp()
    }
}
