//! Retry budget that limits retries to a share of first attempts, and randomized exponential
//! backoff.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Thousandths that make one retry.
const MILLI_PER_RETRY: u64 = 1000;

/// Settings of a [`Budget`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Retries that each first attempt adds to the budget, in thousandths.
    pub deposit_milli: u64,
    /// Greatest number of retries that the budget holds.
    pub capacity: u64,
    /// Longest backoff before the first retry; doubles with each further one.
    pub initial_backoff: Duration,
    /// Longest backoff before any retry.
    pub max_backoff: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            deposit_milli: 100,
            capacity: 20,
            initial_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(5),
        }
    }
}

/// Token bucket that first attempts fill and retries drain.
#[derive(Debug)]
pub struct Budget {
    settings: Settings,
    balance_milli: u64,
    rng: StdRng,
}

impl Budget {
    /// Creates a full budget; `seed` determines the random backoffs.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let balance_milli = settings.capacity * MILLI_PER_RETRY;
        Self { settings, balance_milli, rng: StdRng::seed_from_u64(seed) }
    }

    /// Adds the share of a retry that a first attempt is worth, up to the capacity.
    pub fn deposit(&mut self) {
        let balance = self.balance_milli + self.settings.deposit_milli;
        self.balance_milli = balance.min(self.settings.capacity * MILLI_PER_RETRY);
    }

    /// Takes one retry from the budget; returns false if less than one is left.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(rest) = self.balance_milli.checked_sub(MILLI_PER_RETRY) else { return false };
        self.balance_milli = rest;
        true
    }

    /// Takes one retry from the budget for a hedged request; returns false, and takes none, for a
    /// request that is not idempotent.
    pub fn try_withdraw_hedge(&mut self, idempotent: bool) -> bool {
        idempotent && self.try_withdraw()
    }

    /// Returns a randomized backoff before a retry that follows this many consecutive failures.
    pub fn jittered_backoff(&mut self, failures: u32) -> Duration {
        let longest = backoff(self.settings.initial_backoff, self.settings.max_backoff, failures);
        jitter(longest, &mut self.rng)
    }
}

/// Returns the longest backoff after this many consecutive failures: `first`, doubled with each
/// further failure up to 16 times, and at most `longest`.
pub fn backoff(first: Duration, longest: Duration, failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(16);
    first.saturating_mul(1 << doublings).min(longest)
}

/// Returns a random duration between half of `backoff` and all of it.
pub fn jitter(backoff: Duration, rng: &mut StdRng) -> Duration {
    let micros = u64::try_from(backoff.as_micros()).unwrap_or(u64::MAX);
    Duration::from_micros(rng.random_range(micros / 2..=micros))
}
