//! Limits retries to a share of the work, and spreads them over time.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Thousandths of a retry.
const MILLI: u64 = 1000;

/// Settings of a [`Budget`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Setting {
    /// Retries earned by each first try, in thousandths.
    pub earn_milli: u64,
    /// Retries that can be saved up.
    pub capacity: u64,
    /// Longest pause before the first retry; doubles with each further one.
    pub pause: Duration,
    /// Longest pause before any retry.
    pub pause_max: Duration,
}

impl Default for Setting {
    fn default() -> Self {
        Self {
            earn_milli: 100,
            capacity: 20,
            pause: Duration::from_millis(50),
            pause_max: Duration::from_secs(5),
        }
    }
}

/// Token bucket that first tries fill and retries drain.
#[derive(Debug)]
pub struct Budget {
    setting: Setting,
    saved_milli: u64,
    rng: StdRng,
}

impl Budget {
    /// Opens a full budget; `seed` determines the pauses.
    pub fn open(setting: Setting, seed: u64) -> Self {
        let saved_milli = setting.capacity * MILLI;
        Self { setting, saved_milli, rng: StdRng::seed_from_u64(seed) }
    }

    /// Notes a first try.
    pub fn earn(&mut self) {
        let saved = self.saved_milli + self.setting.earn_milli;
        self.saved_milli = saved.min(self.setting.capacity * MILLI);
    }

    /// Takes one retry out; returns false where none is left.
    pub fn spend(&mut self) -> bool {
        let Some(rest) = self.saved_milli.checked_sub(MILLI) else { return false };
        self.saved_milli = rest;
        true
    }

    /// Takes one hedged request out; a request that is not idempotent is never hedged.
    pub fn hedge(&mut self, idempotent: bool) -> bool {
        idempotent && self.spend()
    }

    /// Returns the pause before a retry that follows this many failures in a row.
    pub fn pause(&mut self, failures: u32) -> Duration {
        let longest = backoff(self.setting.pause, self.setting.pause_max, failures);
        jitter(longest, &mut self.rng)
    }
}

/// Returns the longest pause after this many failures in a row.
pub fn backoff(first: Duration, longest: Duration, failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(16);
    first.saturating_mul(1 << doublings).min(longest)
}

/// Returns a random time between half of a pause and the whole of it.
pub fn jitter(pause: Duration, rng: &mut StdRng) -> Duration {
    let micros = u64::try_from(pause.as_micros()).unwrap_or(u64::MAX);
    Duration::from_micros(rng.random_range(micros / 2..=micros))
}
