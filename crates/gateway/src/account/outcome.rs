//! Takes the outcomes of an account's transactions and readings.

use std::time::Duration;

use coordination::{
    escrow::{Escrow, parse},
    table::{Outcome, Row},
};

use super::{Account, Allocation, Pending};

/// Pause after a transaction that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Least time between two transactions that only adjust what is kept ahead.
const ADJUST_PAUSE: Duration = Duration::from_millis(700);

impl Account {
    /// Takes the outcome of the transaction that was planned last; `born_ms` is the platform's clock
    /// at the start of this process, at the latest.
    pub fn finish_commit(&mut self, now: Duration, outcome: Outcome, born_ms: Option<u64>) {
        self.under_way = false;
        let Some(pending) = self.pending.take() else { return };
        self.failed = matches!(outcome, Outcome::Unavailable | Outcome::Unknown);
        self.log(now, &pending, &outcome);
        match outcome {
            Outcome::Committed(revision) => {
                self.stake_row.revision = revision;
                if pending.sums.is_some() {
                    self.sums_row.revision = revision;
                    self.seen = Some(now);
                }
                // One that was under way for long left a bound of long ago.
                self.next = now.max(pending.limit.since + ADJUST_PAUSE);
                self.adopt(pending);
            }
            Outcome::Conflict(rows) => self.resolve(now, pending, &rows, born_ms),
            // Neither answer proves that the transaction won't be done later.
            _ => {
                self.pending = Some(pending);
                self.next = now + RETRY_PAUSE;
            }
        }
    }

    /// Puts a transaction that was committed in force.
    fn adopt(&mut self, pending: Pending) {
        self.held += pending.granting;
        if let Some(sums) = pending.sums {
            self.sums = sums;
        }
        self.stake = pending.stake;
        self.limit = Some(pending.limit);
        self.known = true;
    }

    /// Reads from the rows whether a transaction had been committed by an earlier send.
    fn resolve(&mut self, now: Duration, pending: Pending, rows: &[Row], born_ms: Option<u64>) {
        // At once, while the rows that came back are still the newest.
        self.next = now;
        self.is_fresh = true;
        if let Some(pending) = self.observe(now, Some(pending), rows, born_ms) {
            self.pending = Some(pending);
            self.next = now + RETRY_PAUSE;
        }
    }

    /// Takes the outcome of a reading of the rows.
    pub fn finish_read(&mut self, now: Duration, outcome: &Outcome, born_ms: Option<u64>) {
        self.under_way = false;
        self.failed = !matches!(outcome, Outcome::Rows(_));
        self.next = now + RETRY_PAUSE;
        if let Outcome::Rows(rows) = outcome {
            self.next = now;
            self.is_fresh = true;
            self.observe(now, None, rows, born_ms);
        }
    }

    /// Takes the rows as they stand; gives a transaction back whose outcome they don't tell.
    fn observe(
        &mut self,
        now: Duration,
        pending: Option<Pending>,
        rows: &[Row],
        born_ms: Option<u64>,
    ) -> Option<Pending> {
        let sums_row = rows.iter().find(|row| row.key == self.sums_row.key);
        let stake_row = rows.iter().find(|row| row.key == self.stake_row.key);
        let sums = sums_row.map(parse::<Escrow>).transpose();
        let stake = stake_row.map(parse::<Allocation>).transpose();
        let (sums, stake) = match (sums, stake) {
            (Ok(sums), Ok(stake)) => (sums, stake),
            (sums, stake) => {
                let faults = [sums.err(), stake.err()].into_iter().flatten();
                let fault: Vec<_> = faults.map(|fault| fault.to_string()).collect();
                tracing::error!(event = "budget_unreadable", workspace = %self.workspace, ?fault);
                return pending;
            }
        };
        if let (Some(row), Some(stake)) = (stake_row, stake) {
            let stake = stake.unwrap_or_default();
            let own = stake.holder == self.holder;
            match pending {
                Some(pending) if own && stake.number == pending.stake.number => {
                    self.adopt(pending);
                }
                Some(pending) => self.held += pending.returning,
                None => {}
            }
            if !own {
                self.inherit(&stake, born_ms);
            }
            self.known = true;
            self.stake_row.revision = row.revision;
        }
        if let (Some(row), Some(sums)) = (sums_row, sums) {
            self.sums_row.revision = row.revision;
            self.sums = sums.unwrap_or_default();
            self.seen = Some(now);
        }
        None
    }

    /// Takes over what the former process of this host left.
    ///
    /// That process used nothing after the start of this one. What is left can be used once a transaction of this process has been committed on top of that row.
    fn inherit(&mut self, stake: &Allocation, born_ms: Option<u64>) {
        self.held = born_ms.map_or(0, |born| stake.min_unspent(born));
        self.stake = stake.clone();
        self.limit = None;
        if stake.tokens == 0 {
            return;
        }
        tracing::info!(
            event = "stake_taken_over",
            workspace = %self.workspace,
            former = %stake.holder,
            tokens = stake.tokens,
            held = self.held,
            age_ms = born_ms.map(|born| born.saturating_sub(stake.written_ms)),
        );
    }

    fn log(&self, now: Duration, pending: &Pending, outcome: &Outcome) {
        tracing::info!(
            event = "budget",
            workspace = %self.workspace,
            number = pending.stake.number,
            granting = pending.granting,
            returning = pending.returning,
            outcome = match outcome {
                Outcome::Committed(_) => "committed",
                Outcome::Conflict(_) => "conflict",
                Outcome::Unavailable => "unavailable",
                _ => "unknown",
            },
            prepaid = self.prepaid,
            unspent = self.sums.remaining(self.prepaid),
            held = self.total(),
            reserved = self.reserved,
            rate = self.rate.at(now) as u64,
            burst = pending.stake.burst,
            seen_ms = self.seen.map(|seen| now.saturating_sub(seen).as_millis() as u64),
        );
    }
}
