//! Applies the outcomes of an account's transactions and reads.

use std::time::Duration;

use coordination::{
    escrow::parse,
    table::{Outcome, Row},
};

use super::{
    Account, Allocation, Budget, Claim, Marker, Pending, budget::COPY_MAX_AGE, plan::RATE_MARGIN,
};

/// Delay after a transaction or a read that failed.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Minimum time between two transactions that only adjust the prefetched tokens.
const MIN_ADJUST_INTERVAL: Duration = Duration::from_millis(600);

impl Account {
    /// Applies the outcome of the transaction that was planned last. `process_start_ms` is the
    /// platform's clock when this process started, or later.
    pub fn finish_commit(
        &mut self,
        now: Duration,
        outcome: Outcome,
        process_start_ms: Option<u64>,
    ) {
        self.in_flight = false;
        let Some(pending) = self.pending.take() else { return };
        self.last_step_failed = matches!(outcome, Outcome::Unavailable | Outcome::Unknown);
        self.log(now, &pending, &outcome);
        match outcome {
            Outcome::Committed(revision) => {
                self.allocation_row.revision = revision;
                self.transaction_time = now.saturating_sub(pending.limit.written_at);
                if pending.budget.is_some() {
                    self.escrow_row.revision = revision;
                    self.escrow_seen_at = Some(now);
                }
                if pending.marker.is_some() {
                    self.marker_row.revision = revision;
                }
                // The limit of a transaction that took long is old already and is renewed at once.
                self.next_step_at = now.max(pending.limit.written_at + MIN_ADJUST_INTERVAL);
                self.apply_committed(pending);
                self.update_ceiling(now);
            }
            Outcome::Conflict(rows) => self.resolve_conflict(now, pending, &rows, process_start_ms),
            // Neither outcome proves that the transaction won't be committed later.
            _ => {
                self.pending = Some(pending);
                self.next_step_at = now + RETRY_DELAY;
            }
        }
    }

    /// Applies a transaction that was committed.
    fn apply_committed(&mut self, pending: Pending) {
        self.held += pending.granting;
        self.turnover.granted += pending.granting;
        if let Some(budget) = pending.budget {
            self.budget = budget;
        }
        let is_current = Some(pending.allocation.era) == self.era;
        self.is_restoring &= !is_current;
        if let Some(marker) = pending.marker.filter(|_| is_current) {
            self.marker = Some(marker);
        }
        self.allocation = pending.allocation;
        self.limit = Some(pending.limit);
        self.is_loaded = true;
    }

    /// Finds out from the rows whether an earlier send of a transaction had committed it.
    fn resolve_conflict(
        &mut self,
        now: Duration,
        pending: Pending,
        rows: &[Row],
        process_start_ms: Option<u64>,
    ) {
        // The next step follows at once, while the returned rows are likely still current.
        self.next_step_at = now;
        self.just_read = true;
        if let Some(pending) = self.apply_rows(now, Some(pending), rows, process_start_ms) {
            self.pending = Some(pending);
            self.next_step_at = now + RETRY_DELAY;
        }
    }

    /// Applies the outcome of a read of the rows.
    pub fn finish_read(&mut self, now: Duration, outcome: &Outcome, process_start_ms: Option<u64>) {
        self.in_flight = false;
        self.last_step_failed = !matches!(outcome, Outcome::Rows(_));
        self.next_step_at = now + RETRY_DELAY;
        if let Outcome::Rows(rows) = outcome {
            self.next_step_at = now;
            self.just_read = true;
            let pending = if self.is_restoring { self.pending.take() } else { None };
            let unresolved = self.apply_rows(now, pending, rows, process_start_ms);
            if let Some(pending) = unresolved {
                self.pending = Some(pending);
                self.just_read = false;
                self.next_step_at = now + RETRY_DELAY;
            }
        }
    }

    /// Applies the current rows; returns the transaction if they don't tell its outcome.
    fn apply_rows(
        &mut self,
        now: Duration,
        pending: Option<Pending>,
        rows: &[Row],
        process_start_ms: Option<u64>,
    ) -> Option<Pending> {
        let escrow_row = rows.iter().find(|row| row.key == self.escrow_row.key);
        let allocation_row = rows.iter().find(|row| row.key == self.allocation_row.key);
        let marker_row = rows.iter().find(|row| row.key == self.marker_row.key);
        let budget = escrow_row.map(parse::<Budget>).transpose();
        let allocation = allocation_row.map(parse::<Allocation>).transpose();
        let marker = marker_row.map(parse::<Marker>).transpose();
        let (budget, allocation, marker) = match (budget, allocation, marker) {
            (Ok(budget), Ok(allocation), Ok(marker)) => (budget, allocation, marker),
            (budget, allocation, marker) => {
                let errors = [budget.err(), allocation.err(), marker.err()];
                let fault: Vec<_> =
                    errors.into_iter().flatten().map(|error| error.to_string()).collect();
                tracing::error!(event = "budget_unreadable", workspace = %self.workspace, ?fault);
                return pending;
            }
        };
        if let (Some(row), Some(marker)) = (marker_row, marker) {
            self.marker_row.revision = row.revision;
            self.marker = marker;
        }
        if let (Some(row), Some(allocation)) = (allocation_row, allocation) {
            let allocation = allocation.unwrap_or_default();
            let is_own = allocation.holder == self.holder;
            match pending {
                Some(pending) if is_own && allocation.number == pending.allocation.number => {
                    self.apply_committed(pending);
                }
                // It may have been committed before the table was restored, and what it returned
                // may have been granted to others.
                Some(pending) if self.is_restoring => self.abandon(&pending),
                Some(pending) => {
                    self.held += pending.returning;
                    self.turnover.returned -= pending.returning;
                }
                None => {}
            }
            let has_own_figures = self.is_restoring && self.limit.is_some();
            if !is_own && !has_own_figures {
                self.take_over(now, &allocation, process_start_ms);
            }
            self.is_loaded = true;
            self.loaded_at.get_or_insert(now);
            self.allocation_row.revision = row.revision;
        }
        if let (Some(row), Some(budget)) = (escrow_row, budget) {
            self.escrow_row.revision = row.revision;
            self.budget = budget.unwrap_or_default();
            self.escrow_seen_at = Some(now);
            self.update_ceiling(now);
        }
        None
    }

    /// Notes when the next ceiling of the budget was first seen.
    fn update_ceiling(&mut self, now: Duration) {
        let next = self.budget.ceiling.map(|ceiling| ceiling.next);
        if next != self.next_ceiling {
            self.next_ceiling = next;
            self.ceiling_mature_at = now + COPY_MAX_AGE;
        }
    }

    /// Gives up a transaction of an earlier era; its number isn't used again.
    fn abandon(&mut self, pending: &Pending) {
        self.allocation.number = pending.allocation.number;
        if pending.returning > 0 {
            let tokens = pending.returning;
            tracing::warn!(event = "return_lost", workspace = %self.workspace, tokens);
        }
    }

    /// Takes over what the previous process of this host left.
    ///
    /// That process used nothing after this one started. The tokens can be used once a transaction
    /// of this process has been committed on top of that row. Its rate of use stands in for this
    /// process's own until that has been observed.
    fn take_over(&mut self, now: Duration, previous: &Allocation, process_start_ms: Option<u64>) {
        let is_current = self.era == Some(previous.era);
        let held = match process_start_ms {
            Some(start) if is_current => previous.min_unspent(start),
            _ => 0,
        };
        let unextended = match process_start_ms {
            Some(start) if is_current => previous.min_unspent_unextended(start),
            _ => 0,
        };
        self.claim = (unextended > held).then(|| Claim {
            version: previous.version(&self.workspace),
            written_ms: previous.written_ms,
            witnesses: previous.witnesses.clone(),
            tokens: unextended - held,
            era: previous.era,
        });
        // An earlier read may have taken over the same row; borrowed tokens stay.
        let others = self.held.saturating_sub(self.turnover.taken_over);
        self.turnover.taken_over = self.turnover.taken_over + others + held - self.held;
        self.held = others + held;
        self.allocation = previous.clone();
        self.limit = None;
        if previous.tokens == 0 {
            return;
        }
        if self.used == 0 {
            self.slow_rate.begin_with(now, previous.rate as f64 / RATE_MARGIN);
        }
        tracing::info!(
            event = "stake_taken_over",
            workspace = %self.workspace,
            former = %previous.holder,
            tokens = previous.tokens,
            held,
            claimed = unextended - held,
            burst = previous.burst,
            rate = previous.rate,
            era = previous.era,
            is_current,
            age_ms = process_start_ms.map(|start| start.saturating_sub(previous.written_ms)),
        );
    }

    fn log(&self, now: Duration, pending: &Pending, outcome: &Outcome) {
        tracing::info!(
            event = "budget",
            workspace = %self.workspace,
            number = pending.allocation.number,
            granting = pending.granting,
            returning = pending.returning,
            outcome = match outcome {
                Outcome::Committed(_) => "committed",
                Outcome::Conflict(_) => "conflict",
                Outcome::Unavailable => "unavailable",
                _ => "unknown",
            },
            prepaid = self.prepaid,
            unspent = self.ungranted(),
            withheld = self.withheld(),
            held = self.total(),
            reserved = self.reserved.total(),
            rate = self.rate.at(now) as u64,
            burst = pending.allocation.burst,
            seen_ms = self.escrow_seen_at.map(|seen| now.saturating_sub(seen).as_millis() as u64),
        );
    }
}
