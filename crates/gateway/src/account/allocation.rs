//! Tokens that a process may use, and the limit that its row puts on their use.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use super::environment::Environment;
use crate::witness::AllocationVersion;

/// Time without use after which an allocation is written as idle.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time before the accrual pauses at which the witnesses are asked.
const EXTENSION_LEAD: Duration = Duration::from_millis(80);

/// Relaxed rate of rows of earlier versions, which don't state it, as a multiple of their rate.
const UNSTATED_RELAXED_RATE_FACTOR: u64 = 4;

/// Use of an allocation while the platform must be unreachable.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relaxed {
    /// Tokens per second.
    pub rate: u64,
    /// Time since the write in milliseconds after which all tokens may be used.
    pub until_ms: u64,
}

/// Tokens that a process may use, as recorded in its row, whose key starts with `stake/`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Allocation {
    /// Name of the process.
    pub holder: Arc<str>,
    /// Number of the transaction that wrote the row.
    pub number: u64,
    /// Tokens that no request had reserved.
    pub tokens: u64,
    /// Tokens that it may use at once.
    pub burst: u64,
    /// Tokens per second that it may use beside the burst.
    pub rate: u64,
    /// The platform's clock in milliseconds when the row was written, or earlier.
    pub written_ms: u64,
    /// Time since the write in milliseconds after which it may exceed the rate, as the platform
    /// must be unreachable.
    pub unlock_ms: u64,
    /// Time since the write in milliseconds after which it may use all tokens, if later than
    /// `unlock_ms`; only in rows without `relaxed`.
    pub open_ms: u64,
    /// What it may use after `unlock_ms`; absent in rows of earlier versions. Processes of those
    /// versions take nothing over after `unlock_ms`, as `open_ms` is 0.
    pub relaxed: Option<Relaxed>,
    /// Time since the write in milliseconds after which nothing more accrues before `unlock_ms`,
    /// unless all witnesses have noted that the process goes on; 0 in rows without witnesses.
    pub pause_ms: u64,
    /// Names of the hosts that note it.
    pub witnesses: Vec<Arc<str>>,
    /// Era of the table in which the row was written. In a later one it may be outdated and proves
    /// nothing.
    pub era: u64,
}

impl Allocation {
    /// Returns what names this row as its process wrote it.
    pub fn version(&self, workspace: &Arc<str>) -> AllocationVersion {
        let holder = self.holder.clone();
        AllocationVersion { holder, workspace: workspace.clone(), number: self.number }
    }

    /// Returns the tokens that a dead process certainly left unused; `now_ms` is a time of the
    /// platform's clock at or after its death.
    pub fn min_unspent(&self, now_ms: u64) -> u64 {
        self.unspent_after(now_ms.saturating_sub(self.written_ms), u64::MAX)
    }

    /// Returns the same if no witness noted that the process went on without a renewal.
    pub fn min_unspent_unextended(&self, now_ms: u64) -> u64 {
        let elapsed = now_ms.saturating_sub(self.written_ms);
        let has_pause = self.pause_ms > 0 && elapsed < self.unlock_ms;
        self.unspent_after(elapsed, if has_pause { self.pause_ms } else { u64::MAX })
    }

    /// Returns the tokens that are certainly unused after a time, of which at most `max_accrued_ms`
    /// count for the accrual.
    fn unspent_after(&self, elapsed: u64, max_accrued_ms: u64) -> u64 {
        let relaxed = self.relaxed.unwrap_or(Relaxed {
            rate: self.rate.saturating_mul(UNSTATED_RELAXED_RATE_FACTOR),
            until_ms: self.open_ms,
        });
        if elapsed >= self.unlock_ms.max(relaxed.until_ms) {
            return 0;
        }
        let accrued_ms = elapsed.min(max_accrued_ms);
        let accrued = accrued_milli(accrued_ms, self.unlock_ms, self.rate, relaxed.rate);
        self.tokens.saturating_sub(self.burst.saturating_add(accrued.div_ceil(1000)))
    }
}

/// Returns the thousandths of tokens that may be used beside the burst after a time in
/// milliseconds, at one rate up to `relax_ms` and at another one from then on.
fn accrued_milli(elapsed_ms: u64, relax_ms: u64, rate: u64, relaxed_rate: u64) -> u64 {
    let relaxed_ms = elapsed_ms.saturating_sub(relax_ms);
    let at_rate = rate.saturating_mul(elapsed_ms - relaxed_ms);
    at_rate.saturating_add(relaxed_rate.saturating_mul(relaxed_ms))
}

/// Limit that a written allocation puts on use.
#[derive(Debug, Clone, Copy)]
pub(super) struct SpendLimit {
    /// Tokens used since the write.
    pub used: u64,
    /// Tokens that may be used at once.
    pub burst: u64,
    /// Tokens per second that may be used beside the burst.
    pub rate: u64,
    /// Tokens per second that may be used once the rate is relaxed.
    pub relaxed_rate: u64,
    /// Time since the write after which the rate is relaxed.
    pub relax_after: Duration,
    /// Time since the write after which all may be used.
    pub unlimited_after: Duration,
    /// Time since the write after which nothing more accrues before the rate is relaxed, unless it
    /// is extended.
    pub pause_after: Duration,
    /// Whether all witnesses have noted that the process goes on.
    pub is_extended: bool,
    /// When the allocation was written, or earlier.
    pub written_at: Duration,
    /// Whether no request had used the allocation before this write.
    pub idle: bool,
}

impl SpendLimit {
    /// Returns whether the allocation is due to be renewed.
    pub fn is_renewal_due(&self, now: Duration, environment: &Environment) -> bool {
        let age = now.saturating_sub(self.written_at);
        match (self.used > 0, self.idle) {
            (true, _) => age >= environment.renewal_interval(),
            (false, true) => age >= environment.idle_renewal_interval(),
            (false, false) => age >= IDLE_TIMEOUT,
        }
    }

    /// Returns whether witnesses are to note that the process goes on.
    pub fn is_extension_due(&self, now: Duration) -> bool {
        let age = now.saturating_sub(self.written_at);
        !self.is_extended && age + EXTENSION_LEAD >= self.pause_after && age < self.relax_after
    }

    /// Returns the tokens that may be used now.
    pub fn available(&self, now: Duration) -> u64 {
        let elapsed = now.saturating_sub(self.written_at);
        if elapsed >= self.unlimited_after {
            return u64::MAX;
        }
        let is_paused = !self.is_extended && elapsed < self.relax_after;
        let elapsed = if is_paused { elapsed.min(self.pause_after) } else { elapsed };
        let relax_ms = self.relax_after.as_millis() as u64;
        let elapsed_ms = elapsed.as_millis() as u64;
        let accrued = accrued_milli(elapsed_ms, relax_ms, self.rate, self.relaxed_rate) / 1000;
        (self.burst + accrued).saturating_sub(self.used)
    }
}
