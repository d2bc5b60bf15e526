//! How likely a request stands at the end of its backend server by chance.

use std::time::Duration;

/// Time for which requests count.
const MEMORY: Duration = Duration::from_secs(30);

/// Requests assumed beside those that were counted, one of which broke off.
const PRIOR_REQUESTS: f64 = 5.0;

/// Whole responses to other requests from which the chance is known.
const MIN_WHOLE: f64 = 20.0;

/// Whole responses of a host lately; older ones count less and less.
#[derive(Debug, Default)]
pub struct WholeResponses {
    count: f64,
    counted_at: Duration,
}

impl WholeResponses {
    /// Records a whole response.
    pub fn record(&mut self, now: Duration) {
        self.count = self.lately(now) + 1.0;
        self.counted_at = now;
    }

    /// Returns their number lately.
    fn lately(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.counted_at).as_secs_f64();
        self.count * (-age / MEMORY.as_secs_f64()).exp()
    }

    /// Returns the probability that a request without a part breaks off at the end of its backend
    /// server; `None` if too little is known. The part had `own_whole` whole responses, and other
    /// requests broke off at the ends `others`, given by their age and their number.
    pub fn chance(
        &self,
        now: Duration,
        own_whole: u32,
        others: impl Iterator<Item = (Duration, u32)>,
    ) -> Option<f64> {
        let whole = self.lately(now) - f64::from(own_whole);
        if whole < MIN_WHOLE {
            return None;
        }
        let recent = others.filter(|(age, _)| *age < MEMORY);
        let broken: f64 = recent.map(|(_, broken)| f64::from(broken)).sum();
        Some((broken + 1.0) / (broken + whole + PRIOR_REQUESTS))
    }
}
