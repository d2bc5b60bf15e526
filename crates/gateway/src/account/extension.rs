//! Use of an allocation that can't be renewed, and what a process claims that took one over.

use std::{sync::Arc, time::Duration};

use super::Account;
use crate::witness::AllocationVersion;

/// Minimum time between two requests to the witnesses.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(250);

/// Time since the last use from which an allocation isn't extended.
const MAX_UNUSED_TIME: Duration = Duration::from_secs(2);

/// What the witnesses of an allocation are to note.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExtensionRequest {
    /// The newest row that may be in force.
    pub version: AllocationVersion,
    /// Names of the hosts, all of which have to note it.
    pub witnesses: Vec<Arc<str>>,
}

/// Tokens that the process before certainly left if no witness noted that it went on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Row of that process.
    pub version: AllocationVersion,
    /// The platform's clock in milliseconds when the row was written, or earlier.
    pub written_ms: u64,
    /// Names of the hosts of which one has to know that nothing was noted.
    pub witnesses: Vec<Arc<str>>,
    /// Number of tokens.
    pub tokens: u64,
    /// Era of the table in which the row was written.
    pub era: u64,
}

impl Account {
    /// Sets the hosts that are to note it if this process can't renew its row.
    pub fn set_witnesses(&mut self, witnesses: &Arc<[Arc<str>]>) {
        if !Arc::ptr_eq(&self.witnesses, witnesses) {
            self.witnesses = witnesses.clone();
        }
    }

    /// Returns what the witnesses are to note now, if the allocation is in use and wasn't renewed.
    pub fn extension_due(&mut self, now: Duration) -> Option<ExtensionRequest> {
        let is_in_use = self.queued > 0 || now.saturating_sub(self.used_at) < MAX_UNUSED_TIME;
        let was_asked =
            self.extension_asked_at.is_some_and(|at| now.saturating_sub(at) < MIN_REQUEST_INTERVAL);
        if !is_in_use || was_asked || !self.limit?.is_extension_due(now) {
            return None;
        }
        self.extension_asked_at = Some(now);
        let pending = self.pending.as_ref().map(|pending| &pending.allocation);
        let mut witnesses = self.allocation.witnesses.clone();
        witnesses.extend(pending.iter().flat_map(|allocation| allocation.witnesses.clone()));
        witnesses.sort();
        witnesses.dedup();
        let version = pending.unwrap_or(&self.allocation).version(&self.workspace);
        Some(ExtensionRequest { version, witnesses })
    }

    /// Records that all witnesses noted that this process goes on using rows up to this number.
    pub fn extend(&mut self, number: u64) {
        if let Some(limit) = self.limit.as_mut().filter(|_| self.allocation.number <= number) {
            limit.is_extended = true;
        }
        if let Some(pending) = &mut self.pending
            && pending.allocation.number <= number
        {
            pending.limit.is_extended = true;
        }
    }

    /// Returns what this process claims of the one before, once it has taken the rest over.
    pub fn take_claim(&mut self) -> Option<Claim> {
        self.limit?;
        self.claim.take().filter(|claim| self.era == Some(claim.era))
    }

    /// Adds the tokens of a claim that a witness has proved.
    pub fn recover(&mut self, claim: &Claim) {
        if self.era != Some(claim.era) {
            return;
        }
        self.unallocated += claim.tokens;
        self.turnover.taken_over += claim.tokens;
        tracing::info!(
            event = "stake_recovered",
            workspace = %self.workspace,
            former = %claim.version.holder,
            tokens = claim.tokens,
        );
    }
}
