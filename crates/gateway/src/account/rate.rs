//! Rate of use.

use std::time::Duration;

/// Weight of a rate that was observed elsewhere, against one of own observations over a window.
const PRIOR_WEIGHT: f64 = 0.5;

/// Tokens used per second, averaged with weights that decay exponentially over a window.
#[derive(Debug)]
pub(super) struct Rate {
    window_s: f64,
    value: f64,
    updated_at: Duration,
    /// Weight of what was known when the observation began, and when that was.
    prior_weight: f64,
    began_at: Option<Duration>,
}

impl Rate {
    /// Creates a rate of zero with this window.
    pub fn over(window: Duration) -> Self {
        Self {
            window_s: window.as_secs_f64(),
            value: 0.0,
            updated_at: Duration::ZERO,
            prior_weight: 0.0,
            began_at: None,
        }
    }

    /// Begins with a rate that was observed elsewhere.
    pub fn begin_with(&mut self, now: Duration, rate: f64) {
        self.value = rate * PRIOR_WEIGHT;
        self.updated_at = now;
        self.prior_weight = PRIOR_WEIGHT;
        self.began_at = Some(now);
    }

    /// Adds tokens that were used.
    pub fn add(&mut self, now: Duration, tokens: u64) {
        self.began_at.get_or_insert(now);
        self.value = self.at(now) + tokens as f64 / self.window_s;
        self.updated_at = now;
    }

    /// Returns the rate at a time; it rises from zero over the first window.
    pub fn at(&self, now: Duration) -> f64 {
        self.value * self.decay(now.saturating_sub(self.updated_at))
    }

    /// Returns the average over the time of observation, or over the window if that is shorter;
    /// `None` if it was observed for less than `min_time`.
    pub fn average(&self, now: Duration, min_time: Duration) -> Option<f64> {
        let observed = now.saturating_sub(self.began_at?);
        if self.prior_weight == 0.0 && observed < min_time {
            return None;
        }
        let weight = 1.0 - (1.0 - self.prior_weight) * self.decay(observed);
        Some(self.at(now) / weight)
    }

    fn decay(&self, time: Duration) -> f64 {
        (-time.as_secs_f64() / self.window_s).exp()
    }
}
