//! What a process may use, as its row bounds it.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use super::environment::Environment;

/// Time without use after which a stake is written as idle.
const IDLE_AFTER: Duration = Duration::from_millis(1500);

/// Rate of use while the platform must be away, as a multiple of the rate before.
const LOOSE_FACTOR: u64 = 4;

/// Tokens that a process may use, as it wrote them last.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Allocation {
    /// The process.
    pub holder: Arc<str>,
    /// Number of its transactions.
    pub number: u64,
    /// Tokens that no request had set aside.
    pub tokens: u64,
    /// Tokens that it uses at once.
    pub burst: u64,
    /// Tokens that it uses in each second beside the burst.
    pub rate: u64,
    /// The platform's clock in milliseconds, at the latest when the row was written.
    pub written_ms: u64,
    /// Time in milliseconds after which it may use more than at the rate, as the platform must be
    /// away.
    pub unlock_ms: u64,
    /// Time in milliseconds after which it may use all tokens, where that is later.
    ///
    /// Processes of earlier versions know only `unlock_ms`, and take nothing over after it.
    pub open_ms: u64,
}

impl Allocation {
    /// Returns what a dead process certainly left, at a time of the platform's clock that is not
    /// before its death.
    pub fn min_unspent(&self, now_ms: u64) -> u64 {
        let elapsed = now_ms.saturating_sub(self.written_ms);
        if elapsed >= self.unlock_ms.max(self.open_ms) {
            return 0;
        }
        let weighted = weigh(elapsed, self.unlock_ms);
        let used = self.burst.saturating_add(self.rate.saturating_mul(weighted).div_ceil(1000));
        self.tokens.saturating_sub(used)
    }
}

/// Returns a time in milliseconds, with what lies beyond the start of looser use counted several
/// times.
fn weigh(elapsed_ms: u64, unlock_ms: u64) -> u64 {
    elapsed_ms + elapsed_ms.saturating_sub(unlock_ms) * (LOOSE_FACTOR - 1)
}

/// Bound that a written stake puts on use.
#[derive(Debug, Clone, Copy)]
pub(super) struct Limit {
    /// Tokens set aside since.
    pub used: u64,
    /// Tokens that are used at once.
    pub burst: u64,
    /// Tokens that are used in each second beside.
    pub rate: u64,
    /// Time after which more may be used than at the rate.
    pub unlock: Duration,
    /// Time after which all may be used.
    pub open: Duration,
    /// When the stake was written, at the latest.
    pub since: Duration,
    /// No request had used the stake before.
    pub idle: bool,
}

impl Limit {
    /// Returns whether the stake is to be written anew.
    pub fn is_due(&self, now: Duration, setting: &Environment) -> bool {
        let age = now.saturating_sub(self.since);
        match (self.used > 0, self.idle) {
            (true, _) => age >= setting.report(),
            (false, true) => age >= setting.idle_report(),
            (false, false) => age >= IDLE_AFTER,
        }
    }

    /// Returns the tokens that may be used now.
    pub fn left(&self, now: Duration) -> u64 {
        let elapsed = now.saturating_sub(self.since);
        if elapsed >= self.open {
            return u64::MAX;
        }
        let weighted = weigh(elapsed.as_millis() as u64, self.unlock.as_millis() as u64);
        let grown = self.rate.saturating_mul(weighted) / 1000;
        (self.burst + grown).saturating_sub(self.used)
    }
}
