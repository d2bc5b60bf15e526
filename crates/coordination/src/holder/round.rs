//! Transactions with the table.
//!
//! One round at a time reads the rows of some budgets and commits refills, returns, charges and
//! ensemble changes. The effects of a commit are taken from how this holder's rows changed since
//! they were last seen. So after a lost answer the rows are read again, and the commit can't be
//! applied twice.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use super::{Action, Holder, Phase, RETRY_EXHAUSTED, Reason, plan::Plan, refuse};
use crate::{
    escrow::{self, Grant, Registration, State},
    journal::Ensemble,
    record::LedgerFormat,
    request,
    table::{Op, Outcome, Row, Txn},
};

/// Maximum number of due budgets in one round.
const MAX_BUDGETS: usize = 64;

/// Maximum number of charges in one segment.
const SEGMENT_CHARGES: usize = 256;

/// Longest time that a charge waits for others to be written with it.
const FLUSH_DELAY: Duration = Duration::from_secs(5);

/// Time that a holder waits for a replica before it registers without one.
const REPLICA_WAIT: Duration = Duration::from_millis(500);

/// Time between rounds that only check whether the platform answers, while the journal has too few
/// replicas.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Shortest backoff after a conflict, doubled with each further one in a row.
const CONFLICT_BACKOFF: Duration = Duration::from_millis(4);

/// Longest backoff after conflicts.
const CONFLICT_BACKOFF_MAX: Duration = Duration::from_millis(250);

/// Shortest backoff after a failure, doubled with each further one in a row.
const FAILURE_BACKOFF: Duration = Duration::from_millis(100);

/// Longest backoff after failures.
const FAILURE_BACKOFF_MAX: Duration = Duration::from_secs(1);

/// A charge that isn't known to be in the ledger yet.
#[derive(Debug, Clone)]
pub(super) struct UnflushedCharge {
    /// Number of its journal entry.
    pub number: u64,
    /// Time of the settlement.
    pub settled_at: Duration,
    pub request: request::Id,
    pub budget: Arc<str>,
    pub tokens: u64,
    /// Whether it is written to the old ledger.
    pub old_ledger: bool,
}

/// Charges being written to the ledger. They stay together until their segment is known to be
/// committed.
#[derive(Debug)]
pub(super) struct Flush {
    pub segment: u64,
    /// Number of the last journal entry whose charge is among them.
    pub through: u64,
    pub charges: Vec<UnflushedCharge>,
    /// Tokens by budget that the grant rows do not show as settled yet.
    pub totals: BTreeMap<Arc<str>, u64>,
}

/// A round in progress.
#[derive(Debug)]
pub(super) struct Round {
    id: u64,
    budgets: Vec<Arc<str>>,
    ensemble: Option<Ensemble>,
    charge_keys: Vec<Arc<str>>,
    step: Step,
}

#[derive(Debug)]
enum Step {
    /// Rows are being read.
    Read,
    /// A transaction is being committed.
    Commit(Plan),
}

/// Limits on the start and the size of the next round.
#[derive(Debug)]
pub(super) struct Backoff {
    not_before: Duration,
    /// Start of the last round.
    last_round: Duration,
    conflicts: u32,
    failures: u32,
    /// Time of the last answer.
    last_answer: Duration,
    /// Maximum number of due budgets in the next round; halved after a conflict.
    max_budgets: usize,
    /// A commit with an unknown outcome may still take effect; its rows have to be read and written
    /// again.
    outcome_unknown: bool,
    /// Budgets of the commit with an unknown outcome.
    unresolved_budgets: Vec<Arc<str>>,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            not_before: Duration::ZERO,
            last_round: Duration::ZERO,
            conflicts: 0,
            failures: 0,
            last_answer: Duration::ZERO,
            max_budgets: MAX_BUDGETS,
            outcome_unknown: false,
            unresolved_budgets: Vec::new(),
        }
    }
}

impl Backoff {
    /// Records that no earlier commit can still take effect unnoticed.
    fn mark_resolved(&mut self) {
        self.outcome_unknown = false;
        self.unresolved_budgets.clear();
    }

    fn record_answer(&mut self, now: Duration) {
        self.failures = 0;
        self.last_answer = now;
    }

    /// Returns the time since the last answer if the platform is failing, else zero.
    pub fn outage(&self, now: Duration) -> Duration {
        if self.is_failing() { now.saturating_sub(self.last_answer) } else { Duration::ZERO }
    }

    /// Returns whether the last operation failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }
}

impl Holder {
    /// Starts a round if one is needed and none is in progress.
    pub(super) fn start_round(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.round.is_some() || now < self.backoff.not_before {
            return;
        }
        let Some(first_tick) = self.first_tick else {
            return;
        };
        let check_ensemble = std::mem::take(&mut self.ensemble_check_due)
            || self.phase == Phase::Unregistered
            || self.backoff.outcome_unknown;
        let mut ensemble = if check_ensemble { self.journal.propose(now) } else { None };
        if self.phase == Phase::Unregistered {
            let without_replica = ensemble.as_ref().is_some_and(|ensemble| ensemble.is_empty());
            if self.draining && self.is_idle() && !self.has_tokens() {
                self.phase = Phase::Drained;
                actions.push(Action::Drained);
                return;
            }
            if ensemble.is_none() || (without_replica && now < first_tick + REPLICA_WAIT) {
                return;
            }
        }
        if self.draining && self.phase == Phase::Registered {
            ensemble = None;
        }
        if self.phase == Phase::Registered {
            self.collect_charges(now);
        }
        let budgets = self.take_due_budgets();
        let done = self.draining && self.is_idle();
        let probe =
            self.journal.is_underreplicated(now) && now >= self.backoff.last_round + PROBE_INTERVAL;
        if budgets.is_empty() && ensemble.is_none() && !done && !probe {
            return;
        }
        self.backoff.last_round = now;
        let charge_keys = self.old_ledger_keys();
        let mut keys = vec![escrow::holder_key(&self.settings.id)];
        for budget in &budgets {
            keys.extend(escrow::budget_row_keys(budget, &self.settings.id));
        }
        keys.extend(charge_keys.iter().cloned());
        let id = self.send_operation(Op::Read(keys), actions);
        self.round = Some(Round { id, budgets, ensemble, charge_keys, step: Step::Read });
    }

    /// Sends an operation to the table and returns its number.
    pub(super) fn send_operation(&mut self, op: Op, actions: &mut Vec<Action>) -> u64 {
        self.last_operation += 1;
        actions.push(Action::Table { id: self.last_operation, op });
        self.last_operation
    }

    /// Returns the budgets of the next round: those of a commit with an unknown outcome, those of
    /// the current flush, and others in the order of the queue.
    fn take_due_budgets(&mut self) -> Vec<Arc<str>> {
        let mut budgets: BTreeSet<Arc<str>> =
            self.backoff.unresolved_budgets.iter().cloned().collect();
        if let Some(flush) = &self.flush {
            budgets.extend(flush.totals.keys().cloned());
        }
        if self.phase == Phase::Registered {
            while budgets.len() < self.backoff.max_budgets
                && let Some((_, _, budget)) = self.due.pop_first()
            {
                self.due_keys.remove(&budget);
                budgets.insert(budget);
            }
        }
        for budget in &budgets {
            if let Some((later, sequence)) = self.due_keys.remove(budget) {
                self.due.remove(&(later, sequence, budget.clone()));
            }
        }
        budgets.into_iter().collect()
    }

    /// Starts a flush once a segment is full or the oldest charge has waited long enough; at once
    /// while draining.
    fn collect_charges(&mut self, now: Duration) {
        if self.flush.is_some() {
            return;
        }
        let Some(first) = self.unflushed.front() else {
            return;
        };
        let full = self.unflushed.len() >= SEGMENT_CHARGES;
        if !full && !self.draining && now < first.settled_at + FLUSH_DELAY {
            return;
        }
        let count = self.unflushed.len().min(SEGMENT_CHARGES);
        let mut charges: Vec<UnflushedCharge> = self.unflushed.drain(..count).collect();
        for charge in &mut charges {
            charge.old_ledger = self.uses_old_ledger(&charge.budget);
        }
        let through = charges.last().map_or(0, |charge| charge.number);
        let mut totals = BTreeMap::new();
        for charge in &charges {
            *totals.entry(charge.budget.clone()).or_default() += charge.tokens;
        }
        self.flush = Some(Flush { segment: self.segment + 1, through, charges, totals });
    }

    /// Returns the row keys of the charges that are written to the old ledger.
    fn old_ledger_keys(&self) -> Vec<Arc<str>> {
        let Some(flush) = &self.flush else {
            return Vec::new();
        };
        let old = flush.charges.iter().filter(|charge| charge.old_ledger);
        old.map(|charge| escrow::charge_key(&charge.budget, charge.request)).collect()
    }

    pub(super) fn uses_old_ledger(&self, budget: &str) -> bool {
        let config = self.accounts.get(budget).and_then(|account| account.config);
        config.is_some_and(|config| config.ledger == LedgerFormat::Old)
    }

    /// Returns whether nothing is open and no budget is due for a round.
    pub(super) fn is_idle(&self) -> bool {
        self.is_settled() && self.due.is_empty()
    }

    /// Returns whether no reservation, charge or transfer is open; budgets may still be due.
    pub(super) fn is_settled(&self) -> bool {
        self.reservations.is_empty()
            && self.unflushed.is_empty()
            && self.flush.is_none()
            && self.outgoing.is_empty()
    }

    fn has_tokens(&self) -> bool {
        self.accounts.values().any(|account| account.available > 0)
    }

    /// Handles the answer to an operation on the table.
    pub(super) fn handle_table(
        &mut self,
        now: Duration,
        id: u64,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        if self.round.as_ref().is_none_or(|round| round.id != id) {
            return;
        }
        let Some(round) = self.round.take() else {
            return;
        };
        match (round.step, outcome) {
            (Step::Read, Outcome::Rows(rows)) => {
                self.backoff.record_answer(now);
                let round = Round { step: Step::Read, ..round };
                self.plan_commit(now, round, &rows, actions);
            }
            (Step::Commit(plan), Outcome::Committed(_)) => {
                self.backoff.record_answer(now);
                self.backoff.conflicts = 0;
                self.backoff.mark_resolved();
                self.backoff.max_budgets = (self.backoff.max_budgets * 2).min(MAX_BUDGETS);
                self.apply_plan(now, plan, actions);
            }
            (Step::Commit(_), Outcome::Conflict(_)) => {
                self.backoff.record_answer(now);
                self.backoff.conflicts += 1;
                self.backoff.max_budgets = (self.backoff.max_budgets / 2).max(1);
                let pause = exponential_backoff(
                    CONFLICT_BACKOFF,
                    self.backoff.conflicts,
                    CONFLICT_BACKOFF_MAX,
                );
                self.roll_back(now, &round.budgets, pause);
            }
            (Step::Commit(_), Outcome::Unavailable) | (Step::Read, _) => {
                self.backoff.failures += 1;
                let pause = exponential_backoff(
                    FAILURE_BACKOFF,
                    self.backoff.failures,
                    FAILURE_BACKOFF_MAX,
                );
                self.roll_back(now, &round.budgets, pause);
            }
            (Step::Commit(_), _) => {
                self.backoff.failures += 1;
                let pause = exponential_backoff(
                    FAILURE_BACKOFF,
                    self.backoff.failures,
                    FAILURE_BACKOFF_MAX,
                );
                self.backoff.outcome_unknown = true;
                self.backoff.unresolved_budgets = round.budgets.clone();
                self.backoff.not_before = now + self.jitter(pause);
            }
        }
    }

    /// Undoes what was prepared for a transaction that certainly didn't take effect, and queues its
    /// budgets again. Undoes nothing while an earlier commit may still take effect.
    fn roll_back(&mut self, now: Duration, budgets: &[Arc<str>], pause: Duration) {
        self.backoff.not_before = now + self.jitter(pause);
        for budget in budgets {
            let has_waiting =
                self.accounts.get(budget).is_some_and(|account| !account.waiting.is_empty());
            self.enqueue(budget, has_waiting);
        }
        if self.backoff.outcome_unknown {
            return;
        }
        self.journal.cancel_change();
        for budget in budgets {
            let Some(account) = self.accounts.get_mut(budget) else {
                continue;
            };
            account.available += std::mem::take(&mut account.returning);
            self.serve_waiting(now, budget);
        }
    }

    /// Builds a transaction from the rows that were read, and commits it.
    fn plan_commit(
        &mut self,
        now: Duration,
        round: Round,
        rows: &[Row],
        actions: &mut Vec<Action>,
    ) {
        let expected = 1 + 3 * round.budgets.len() + round.charge_keys.len();
        if rows.len() != expected {
            self.roll_back(now, &round.budgets, FAILURE_BACKOFF_MAX);
            return;
        }
        let (holder, rest) = (&rows[0], &rows[1..]);
        let (budgets, charges) = rest.split_at(3 * round.budgets.len());
        let charged = charges.iter().filter(|row| row.value.is_some());
        let charged: BTreeSet<Arc<str>> = charged.map(|row| row.key.clone()).collect();
        let Ok(registration) = escrow::parse::<Registration>(holder) else {
            self.roll_back(now, &round.budgets, FAILURE_BACKOFF_MAX);
            return;
        };
        if let Some(registration) = &registration
            && registration.state != State::Open
        {
            self.close(registration.state, actions);
            return;
        }
        for (budget, rows) in round.budgets.iter().zip(budgets.chunks_exact(3)) {
            if let Ok(grant) = escrow::parse::<Grant>(&rows[2]) {
                self.observe_grant(now, budget, grant.unwrap_or_default(), actions);
            }
        }
        if !self.observe_registration(now, registration.as_ref(), actions) {
            return;
        }
        let mut txn = Txn::default();
        let mut plan = Plan::default();
        for (budget, rows) in round.budgets.iter().zip(budgets.chunks_exact(3)) {
            self.plan_budget(now, budget, rows, &charged, &mut txn, &mut plan);
        }
        for request in std::mem::take(&mut plan.unaffordable) {
            self.remove_reservation(request);
            refuse(request, Reason::Exhausted, RETRY_EXHAUSTED, actions);
        }
        self.plan_charges(charges, &mut txn);
        let pending = self.journal.is_changing();
        let may_commit = |ensemble: &Ensemble| pending || self.journal.holds_durable(ensemble);
        let ensemble = round.ensemble.clone().filter(may_commit);
        self.plan_registration(holder, registration, &ensemble, &mut txn, &mut plan);
        if txn.writes.is_empty() {
            self.backoff.mark_resolved();
            return;
        }
        if let Some(next) = &plan.registration
            && self.journal.ensemble() != Some(&next.ensemble[..])
        {
            self.journal.begin_change(next.ensemble.clone());
        }
        let id = self.send_operation(Op::Commit(txn), actions);
        self.round = Some(Round { id, step: Step::Commit(plan), ..round });
    }
}

fn exponential_backoff(base: Duration, times: u32, limit: Duration) -> Duration {
    base.saturating_mul(1 << times.min(16)).min(limit)
}
