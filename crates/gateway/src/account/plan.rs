//! Plans an account's requests to the platform's table.

use std::time::Duration;

use coordination::table::Txn;

use super::{
    Account, Allocation, Budget, Environment, LEFTOVER_DELAY, Loss, Marker, Pending, Relaxed, Step,
    allocation::SpendLimit,
};

/// Time of use at the recent rate for which a host prefetches tokens; long enough to cover an
/// outage of the platform during which the rate rises a lot.
const PREFETCH_TIME: Duration = Duration::from_secs(45);

/// Time of use for which a host that isn't a lender prefetches tokens, while it reaches none.
const STANDALONE_PREFETCH_TIME: Duration = Duration::from_secs(3);

/// Time of use at the default rate for which a host prefetches tokens, while no rate is known.
const DEFAULT_PREFETCH_TIME: Duration = Duration::from_secs(20);

/// Share of the ungranted budget that all hosts together prefetch at most, in percent.
const MAX_PREFETCH_PERCENT: u64 = 95;

/// Part of the prepaid amount that all hosts together are expected to use per second while no rate
/// of use is known, in thousandths.
const DEFAULT_RATE_PER_MILLE: u64 = 25;

/// Time for which use has to be observed before its average limits it.
const MIN_OBSERVATION_TIME: Duration = Duration::from_secs(2);

/// Limit on the rate of use, as a multiple of the average rate.
pub(super) const RATE_MARGIN: f64 = 1.15;

/// Part of the default rate below which the limit doesn't fall while little is used, as a divisor.
const MIN_RATE_DIVISOR: u64 = 4;

/// Rate once it is relaxed, in percent of the recent or the default rate, whichever is higher: an
/// outage may bring use that the average doesn't show.
const RELAXED_RATE_PERCENT: u64 = 220;

/// Time of use at the limit that a burst covers beside that of transactions.
const BURST_TIME: Duration = Duration::from_millis(100);

/// Number of transactions, each as long as the last one took, whose time of use a burst covers.
const BURST_TRANSACTIONS: u32 = 4;

/// Longest time of use that a burst covers, as after an outage of the platform.
const MAX_BURST_TIME: Duration = Duration::from_millis(600);

/// Time after an allocation was due to be renewed, from which the rate is relaxed; longer than a
/// process that died usually takes to start again.
const RESTART_TIMEOUT: Duration = Duration::from_millis(1300);

/// Time after an allocation was due to be renewed, by which the renewal is usually done.
const RENEWAL_TIME: Duration = Duration::from_millis(200);

/// Further time for which the rest of an allocation is kept for a process that starts late, as
/// after a power failure; the rate is only relaxed meanwhile.
const LATE_RESTART_GRACE: Duration = Duration::from_millis(5100);

/// Divisor of the limit on the rate that gives the rate of an idle allocation.
const IDLE_RATE_DIVISOR: u64 = 2;

/// Minimum time between two checks of an account that has nothing to do.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Part of the prepaid amount, in percent: hosts return what they don't need while less than this
/// is ungranted.
const SCARCE_PERCENT: u64 = 10;

/// Number of lenders from which on a budget's row is read before it is changed, since other hosts
/// change it all the time.
const READ_FIRST_MIN_LENDERS: u64 = 16;

/// Time for which the use of a budget is observed before its ceiling is lowered by the rate.
const RATE_OBSERVATION_TIME: Duration = Duration::from_secs(60);

/// Age up to which a budget's row is changed without reading it again.
const ESCROW_MAX_AGE: Duration = Duration::from_millis(60);

/// Number of requests of mean size whose tokens a host that isn't a lender doesn't return.
const MAX_UNUSED_REQUESTS: u64 = 1;

/// Number of requests of mean size that a prefetch must exceed to be worth a transaction.
const MIN_GRANT_REQUESTS: u64 = 2;

impl Account {
    /// Returns the limit on the rate of use, in tokens per second.
    fn max_rate(&self, now: Duration, environment: &Environment) -> u64 {
        let default_rate = self.default_rate(environment);
        match self.slow_rate.average(now, MIN_OBSERVATION_TIME) {
            Some(average) => ((average * RATE_MARGIN) as u64).max(default_rate / MIN_RATE_DIVISOR),
            None => default_rate,
        }
    }

    /// Returns the limit on the rate of use once the platform must be unreachable.
    fn relaxed_rate(&self, now: Duration, environment: &Environment) -> u64 {
        let rate = (self.rate.at(now) as u64).max(self.default_rate(environment));
        rate.max(self.max_rate(now, environment)) * RELAXED_RATE_PERCENT / 100
    }

    /// Returns the rate of use expected while none is known, in tokens per second.
    fn default_rate(&self, environment: &Environment) -> u64 {
        if environment.is_lender {
            self.prepaid / 1000 * DEFAULT_RATE_PER_MILLE / environment.lenders.max(1)
        } else {
            0
        }
    }

    /// Returns the tokens that this host should hold beside the reserved ones.
    fn target(&self, now: Duration, environment: &Environment) -> u64 {
        if self.closing || self.prefetch_stopped || self.is_overdrawn() {
            return 0;
        }
        let prefetch_time =
            if environment.is_lender { PREFETCH_TIME } else { STANDALONE_PREFETCH_TIME };
        let by_rate = (self.slow_rate.at(now) * prefetch_time.as_secs_f64()) as u64;
        by_rate.max(self.default_rate(environment) * DEFAULT_PREFETCH_TIME.as_secs())
    }

    /// Returns the most tokens that this host prefetches of those that no host holds.
    fn prefetch_share(&self, now: Duration, environment: &Environment) -> u64 {
        let max_prefetch = self.grantable(now) / 100 * MAX_PREFETCH_PERCENT;
        // The share follows use, since a workspace's callers may connect to only a few of the
        // hosts.
        let totals = &self.budget.totals;
        let granted = totals.granted.saturating_sub(totals.returned).max(1);
        let by_use = u128::from(max_prefetch) * u128::from(self.used) / u128::from(granted);
        (by_use as u64).max(max_prefetch / environment.lenders.max(1))
    }

    /// Returns the request to the platform's table that is due now, if any.
    pub fn plan(&mut self, now: Duration, environment: Environment) -> Option<Step> {
        if self.era != Some(environment.era) {
            self.enter_era(environment.era);
        }
        self.is_budget_restored = self.is_budget_outdated(&environment);
        if self.is_loaded && self.escrow_row.revision == 0 {
            self.budget = Budget::create(self.prepaid, &environment);
        }
        // A waiting request brings the next step forward, but not one that follows a conflict or a
        // failure.
        let is_urgent = (self.largest_request > 0 || self.recalled)
            && self.pending.is_none()
            && !self.just_read;
        if self.in_flight || (now < self.next_step_at && !is_urgent) {
            return None;
        }
        let was_just_read = std::mem::take(&mut self.just_read);
        if self.is_restoring {
            self.in_flight = true;
            return Some(self.restore_step(now, environment, was_just_read));
        }
        if let Some(pending) = &self.pending {
            self.in_flight = true;
            return Some(Step::Commit(pending.txn.clone()));
        }
        let step = self.next_step(now, environment);
        self.in_flight = step.is_some();
        if step.is_none() {
            self.next_step_at = now + IDLE_POLL_INTERVAL;
        }
        step
    }

    /// Begins to work with the rows of another era of the table.
    fn enter_era(&mut self, era: u64) {
        let has_state = self.limit.is_some() || self.pending.is_some();
        self.is_restoring = self.era.is_some() && has_state;
        if self.era.is_some() {
            // What was read in an earlier era says nothing about this one.
            self.is_loaded &= has_state;
            self.loaded_at = None;
            self.next_ceiling = None;
            self.ceiling_mature_at = Duration::MAX;
            self.escrow_seen_at = None;
            self.just_read = false;
            self.next_step_at = Duration::ZERO;
            tracing::info!(
                event = "budget_era",
                workspace = %self.workspace,
                era,
                former = self.era,
                held = self.total(),
                reserved = self.reserved.total(),
                unknown = self.pending.is_some(),
            );
        }
        self.era = Some(era);
    }

    /// Returns whether no host has yet withheld from the budget what may have been granted before the
    /// table was restored.
    fn is_budget_outdated(&self, environment: &Environment) -> bool {
        self.marker.as_ref().is_some_and(|own| own.era < environment.era)
    }

    /// Returns the next step to write this host's figures into the restored rows: they are read
    /// first, and then written on the condition that they are unchanged.
    fn restore_step(
        &mut self,
        now: Duration,
        environment: Environment,
        was_just_read: bool,
    ) -> Step {
        if !was_just_read {
            return Step::Read(self.all_keys());
        }
        Step::Commit(self.begin_transaction(now, environment, 0, 0, 0))
    }

    fn all_keys(&self) -> Vec<std::sync::Arc<str>> {
        let rows = [&self.allocation_row, &self.escrow_row, &self.marker_row];
        rows.into_iter().map(|row| row.key.clone()).collect()
    }

    fn next_step(&mut self, now: Duration, environment: Environment) -> Option<Step> {
        let target = self.target(now, &environment);
        let remaining = self.grantable(now);
        let total = self.total();
        let is_covered = self.largest_request <= total + remaining;
        let requested =
            if self.largest_request > 0 { self.largest_request.max(self.queued) } else { 0 };
        let shortfall = requested.saturating_sub(total);
        let prefetch_share = self.prefetch_share(now, &environment);
        let is_worthwhile =
            prefetch_share > (total / 4).max(self.mean_request as u64 * MIN_GRANT_REQUESTS);
        let is_low = !self.recalled && total < target / 2 + target / 4 && is_worthwhile;
        let grant = (!self.is_loaded && environment.is_lender) || shortfall > 0 || is_low;
        let spare = total.saturating_sub(target);
        let is_scarce = self.ungranted() < self.prepaid / 100 * SCARCE_PERCENT;
        let has_surplus = if environment.is_lender {
            spare > 2 * target || (is_scarce && spare > target / 4)
        } else if environment.is_lender_reachable {
            // Borrowed tokens that requests leave unused serve the next ones, or go to the lender.
            self.held > MAX_UNUSED_REQUESTS * self.mean_request as u64
                && now.saturating_sub(self.used_at) >= LEFTOVER_DELAY
        } else {
            spare > 2 * target + MAX_UNUSED_REQUESTS * self.mean_request as u64
        };
        let return_tokens = self.recalled || (spare > 0 && (self.closing || has_surplus));
        // Requests that wait for a lowered amount can't be served before the surplus is returned.
        let return_tokens = return_tokens && (requested == 0 || self.is_overdrawn());
        let is_stale = environment.lenders >= READ_FIRST_MIN_LENDERS
            && self.escrow_seen_at.is_none_or(|seen| now.saturating_sub(seen) >= ESCROW_MAX_AGE);
        let is_stale = is_stale && (self.limit.is_some() || self.held == 0);
        if (grant || return_tokens) && (!self.is_loaded || is_stale) {
            let keys =
                if self.is_loaded { vec![self.escrow_row.key.clone()] } else { self.all_keys() };
            return Some(Step::Read(keys));
        }
        if self.is_loaded && self.limit.is_none() && self.held > 0 {
            // Taking over the previous process's allocation leaves the budget's row alone: no other
            // host changes the allocation's row, so that this meets no conflict, while the budget's
            // row may change all the time.
            return Some(Step::Commit(self.begin_transaction(
                now,
                environment,
                0,
                0,
                requested.min(self.held),
            )));
        }
        self.largest_request = 0;
        let recalled = std::mem::take(&mut self.recalled);
        let (granting, returning) = if grant {
            // Waiting requests come first. If the budget doesn't cover them, nothing is granted,
            // and the rows that come back prove it.
            let prefetch = target.saturating_sub(total).min(prefetch_share);
            (if is_covered { shortfall.max(prefetch).min(remaining) } else { 0 }, 0)
        } else if return_tokens && recalled {
            (0, total.saturating_sub(self.needed_soon(now)))
        } else if return_tokens {
            (0, spare)
        } else if requested > 0
            || self.is_renewal_due(now, &environment)
            || self.is_ceiling_due(now, &environment)
        {
            (0, 0)
        } else {
            return None;
        };
        Some(Step::Commit(self.begin_transaction(now, environment, granting, returning, requested)))
    }

    /// Returns whether the allocation is due to be renewed; one without tokens needs no limit.
    fn is_renewal_due(&self, now: Duration, environment: &Environment) -> bool {
        let is_empty = self.total() == 0 && self.allocation.tokens == 0;
        match self.limit {
            Some(limit) => !is_empty && limit.is_renewal_due(now, environment),
            None => self.is_loaded && (environment.is_lender || !is_empty),
        }
    }

    /// Returns whether the rate of use has been observed for long enough to lower a ceiling by it.
    fn may_lower_ceiling(&self, now: Duration) -> bool {
        self.loaded_at.is_some_and(|at| now.saturating_sub(at) >= RATE_OBSERVATION_TIME)
    }

    /// Returns whether the ceiling of the budget is to be raised or lowered.
    fn is_ceiling_due(&self, now: Duration, environment: &Environment) -> bool {
        if !environment.is_lender || !self.is_loaded {
            return false;
        }
        let rate = self.fleet_rate(now, environment);
        let is_low =
            now >= self.ceiling_mature_at && self.budget.is_ceiling_low(self.prepaid, rate);
        let is_excessive =
            self.may_lower_ceiling(now) && self.budget.is_ceiling_excessive(self.prepaid, rate);
        is_low || is_excessive || self.budget.is_raised(self.prepaid)
    }

    /// Returns the rate of use by all hosts in tokens per second, as far as this one can tell.
    fn fleet_rate(&self, now: Duration, environment: &Environment) -> f64 {
        self.slow_rate.at(now) * environment.lenders.max(1) as f64
    }

    /// Returns the budget's row as a transaction writes it.
    fn next_budget(
        &self,
        now: Duration,
        environment: &Environment,
        granting: u64,
        returning: u64,
    ) -> Budget {
        let mut budget = self.budget.clone();
        let is_new = self.escrow_row.revision == 0;
        let is_restored = self.is_budget_outdated(environment);
        let mut is_mature = now >= self.ceiling_mature_at;
        if is_restored && !is_new {
            budget.restore(self.prepaid);
            is_mature = true;
        }
        budget.totals.granted += granting;
        budget.totals.returned += returning;
        if !is_new {
            let rate = self.fleet_rate(now, environment);
            budget.adjust_ceiling(self.prepaid, rate, is_mature, self.may_lower_ceiling(now));
            budget.record_raise(self.prepaid, environment.lost_rows != Loss::None);
        }
        budget
    }

    /// Returns the tokens that may be used at once beside those that requests wait for.
    fn burst(&self, max_rate: u64) -> u64 {
        let time = BURST_TIME + self.transaction_time * BURST_TRANSACTIONS;
        let time = time.min(MAX_BURST_TIME);
        max_rate * time.as_millis() as u64 / 1000
    }

    fn begin_transaction(
        &mut self,
        now: Duration,
        environment: Environment,
        granting: u64,
        returning: u64,
        requested: u64,
    ) -> Txn {
        self.held += std::mem::take(&mut self.unallocated);
        self.held -= returning;
        self.turnover.returned += returning;
        let in_use = self.limit.is_some_and(|limit| limit.used > 0) || requested > 0;
        let max_rate = self.max_rate(now, &environment);
        let (rate, renewal_interval) = if in_use {
            (max_rate, environment.renewal_interval())
        } else {
            (max_rate / IDLE_RATE_DIVISOR, environment.idle_renewal_interval())
        };
        let relax_after = renewal_interval + RESTART_TIMEOUT;
        let unlimited_after = relax_after + LATE_RESTART_GRACE;
        let has_witnesses = !self.witnesses.is_empty();
        let pause_after =
            if has_witnesses { renewal_interval + RENEWAL_TIME } else { Duration::MAX };
        let relaxed_rate = self.relaxed_rate(now, &environment);
        let burst = self.burst(max_rate);
        let allocation = Allocation {
            holder: self.holder.clone(),
            number: self.allocation.number + 1,
            tokens: self.held + granting,
            burst: requested + burst,
            rate,
            written_ms: environment.platform_ms.unwrap_or_default(),
            unlock_ms: relax_after.as_millis() as u64,
            open_ms: 0,
            relaxed: Some(Relaxed {
                rate: relaxed_rate,
                until_ms: unlimited_after.as_millis() as u64,
            }),
            pause_ms: if has_witnesses { pause_after.as_millis() as u64 } else { 0 },
            witnesses: self.witnesses.to_vec(),
            era: environment.era,
        };
        let mut txn = Txn::default();
        let needs_marker = self.marker.as_ref().is_none_or(|own| own.era < environment.era);
        let is_ceiling_due = self.is_ceiling_due(now, &environment);
        let writes_budget = granting > 0
            || returning > 0
            || !self.is_loaded
            || requested > self.held
            || needs_marker
            || is_ceiling_due;
        let budget =
            writes_budget.then(|| self.next_budget(now, &environment, granting, returning));
        if let Some(budget) = &budget {
            txn.put(&self.escrow_row, budget);
        }
        let marker = needs_marker.then_some(Marker { era: environment.era });
        match &marker {
            Some(marker) => txn.put(&self.marker_row, marker),
            None => txn.check(&self.marker_row),
        }
        txn.put(&self.allocation_row, &allocation);
        let limit = SpendLimit {
            used: 0,
            burst: allocation.burst,
            rate,
            relaxed_rate,
            relax_after,
            unlimited_after,
            pause_after,
            is_extended: false,
            written_at: now,
            idle: !in_use,
        };
        let pending =
            Pending { txn: txn.clone(), budget, marker, allocation, limit, granting, returning };
        self.pending = Some(pending);
        txn
    }
}
