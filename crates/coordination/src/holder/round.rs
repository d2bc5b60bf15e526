//! Transactions with the table.
//!
//! One round at a time reads the rows of some budgets and commits what they need: refills,
//! returns, charges, and changes of the ensemble. What a commit did is taken from how this
//! holder's rows changed since it last saw them, so a round whose answer was lost is read again
//! and can't be applied twice.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use super::{Action, Holder, Phase, Then, event::Note, policy};
use crate::{
    escrow::{self, Escrow, Grant, Registration, State},
    journal::Proposal,
    ledger::{self, Charge, Segment},
    message::{Entry, Source},
    record::Ledger,
    request,
    table::{Op, Outcome, Row, Txn},
};

/// Budgets in one round.
const BUDGETS: usize = 64;

/// Charges in one segment.
const CHARGES: usize = 256;

/// Time that a charge waits for others to be written with it.
const FLUSH_AFTER: Duration = Duration::from_secs(5);

/// Time that a holder waits for a peer before it registers without a replica.
const OPEN_WAIT: Duration = Duration::from_millis(500);

/// Time between looks at whether the platform answers while copies of the journal are few.
const PROBE_EVERY: Duration = Duration::from_secs(2);

/// Shortest pause after a conflict, doubled with each further one.
const CONFLICT_PAUSE: Duration = Duration::from_millis(4);

/// Longest pause after conflicts.
const CONFLICT_PAUSE_MAX: Duration = Duration::from_millis(250);

/// Shortest pause after a failure, doubled with each further one.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause after failures.
const FAILURE_PAUSE_MAX: Duration = Duration::from_secs(1);

/// A charge that isn't known to be in the ledger.
#[derive(Debug, Clone)]
pub(super) struct Unflushed {
    pub number: u64,
    pub at: Duration,
    pub request: request::Id,
    pub budget: Arc<str>,
    pub tokens: u64,
    /// Goes to the old ledger.
    pub old: bool,
}

/// Charges on their way to the ledger; they stay together until the segment is known to stand.
#[derive(Debug)]
pub(super) struct Flush {
    segment: u64,
    through: u64,
    charges: Vec<Unflushed>,
    totals: BTreeMap<Arc<str>, u64>,
}

/// A round at the table.
#[derive(Debug)]
pub(super) struct Round {
    id: u64,
    budgets: Vec<Arc<str>>,
    ensemble: Option<Proposal>,
    charges: Vec<Arc<str>>,
    step: Step,
}

#[derive(Debug)]
enum Step {
    /// Rows are being read.
    Read,
    /// A transaction is on its way.
    Commit(Plan),
}

/// What a transaction makes of this holder's rows.
#[derive(Debug, Default)]
struct Plan {
    registration: Option<Registration>,
    grants: Vec<(Arc<str>, Grant)>,
}

/// When the next round may start, and how large it may be.
#[derive(Debug)]
pub(super) struct Pace {
    not_before: Duration,
    /// Start of the last round.
    last: Duration,
    conflicts: u32,
    failures: u32,
    limit: usize,
    /// A commit may still take effect; its budgets are to be read and written again.
    unresolved: Vec<Arc<str>>,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            not_before: Duration::ZERO,
            last: Duration::ZERO,
            conflicts: 0,
            failures: 0,
            limit: BUDGETS,
            unresolved: Vec::new(),
        }
    }
}

impl Pace {
    /// Returns whether the last operation failed.
    pub fn failing(&self) -> bool {
        self.failures > 0
    }
}

/// Rows of a budget as read.
struct Rows<'a> {
    record: &'a Row,
    escrow: &'a Row,
    grant: &'a Row,
}

impl Holder {
    /// Starts a round if there is need and none is under way.
    pub(super) fn start_round(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.round.is_some() || now < self.pace.not_before {
            return;
        }
        let Some(opened) = self.opened else {
            return;
        };
        let look = std::mem::take(&mut self.ensemble_due) || self.phase == Phase::Unregistered;
        let mut ensemble = if look { self.journal.propose(now) } else { None };
        if self.phase == Phase::Unregistered {
            let alone = ensemble.as_ref().is_some_and(|ensemble| ensemble.is_empty());
            if self.draining && self.holds_nothing() && !self.holds_tokens() {
                self.phase = Phase::Drained;
                actions.push(Action::Drained);
                return;
            }
            if ensemble.is_none() || (alone && now < opened + OPEN_WAIT) {
                return;
            }
        }
        if self.draining && self.phase == Phase::Registered {
            ensemble = None;
        }
        if self.phase == Phase::Registered {
            self.collect_charges(now);
        }
        let budgets = self.take_due();
        let done = self.draining && self.holds_nothing();
        let probe = self.journal.is_thin(now) && now >= self.pace.last + PROBE_EVERY;
        if budgets.is_empty() && ensemble.is_none() && !done && !probe {
            return;
        }
        self.pace.last = now;
        let charges = self.old_charges();
        let mut keys = vec![escrow::holder_key(&self.settings.id)];
        for budget in &budgets {
            keys.push(escrow::record_key(budget));
            keys.push(escrow::escrow_key(budget));
            keys.push(escrow::grant_key(budget, &self.settings.id));
        }
        keys.extend(charges.iter().cloned());
        let id = self.operate(Op::Read(keys), actions);
        self.round = Some(Round { id, budgets, ensemble, charges, step: Step::Read });
    }

    fn operate(&mut self, op: Op, actions: &mut Vec<Action>) -> u64 {
        self.operations += 1;
        actions.push(Action::Table { id: self.operations, op });
        self.operations
    }

    /// Returns the budgets of the next round: those of an unresolved one, those with charges to
    /// be written, and others in the order in which they became due.
    fn take_due(&mut self) -> Vec<Arc<str>> {
        let mut budgets: BTreeSet<Arc<str>> = self.pace.unresolved.iter().cloned().collect();
        if let Some(flush) = &self.flush {
            budgets.extend(flush.totals.keys().cloned());
        }
        if self.phase == Phase::Registered {
            while budgets.len() < self.pace.limit
                && let Some((_, _, budget)) = self.due.pop_first()
            {
                self.due_keys.remove(&budget);
                budgets.insert(budget);
            }
        }
        for budget in &budgets {
            if let Some((later, turn)) = self.due_keys.remove(budget) {
                self.due.remove(&(later, turn, budget.clone()));
            }
        }
        budgets.into_iter().collect()
    }

    /// Gathers charges for the next segment once the oldest has waited long enough.
    fn collect_charges(&mut self, now: Duration) {
        if self.flush.is_some() {
            return;
        }
        let Some(first) = self.unflushed.front() else {
            return;
        };
        let full = self.unflushed.len() >= CHARGES;
        if !full && !self.draining && now < first.at + FLUSH_AFTER {
            return;
        }
        let count = self.unflushed.len().min(CHARGES);
        let mut charges: Vec<Unflushed> = self.unflushed.drain(..count).collect();
        for charge in &mut charges {
            charge.old = self.is_old(&charge.budget);
        }
        let through = charges.last().map_or(0, |charge| charge.number);
        let mut totals = BTreeMap::new();
        for charge in &charges {
            *totals.entry(charge.budget.clone()).or_default() += charge.tokens;
        }
        self.flush = Some(Flush { segment: self.segment + 1, through, charges, totals });
    }

    /// Returns the keys of the charges that go to the old ledger.
    fn old_charges(&self) -> Vec<Arc<str>> {
        let Some(flush) = &self.flush else {
            return Vec::new();
        };
        let old = flush.charges.iter().filter(|charge| charge.old);
        old.map(|charge| escrow::charge_key(&charge.budget, charge.request)).collect()
    }

    fn is_old(&self, budget: &str) -> bool {
        let record = self.accounts.get(budget).and_then(|account| account.record.as_ref());
        record.is_some_and(|record| record.ledger == Ledger::Old)
    }

    fn holds_nothing(&self) -> bool {
        self.reservations.is_empty()
            && self.unflushed.is_empty()
            && self.flush.is_none()
            && self.due.is_empty()
            && self.outgoing.is_empty()
    }

    fn holds_tokens(&self) -> bool {
        self.accounts.values().any(|account| account.available > 0)
    }

    /// Takes the answer to an operation on the table.
    pub(super) fn table(
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
                self.pace.failures = 0;
                let round = Round { step: Step::Read, ..round };
                self.plan(now, round, &rows, actions);
            }
            (Step::Commit(plan), Outcome::Committed(_)) => {
                self.pace.failures = 0;
                self.pace.conflicts = 0;
                self.pace.unresolved.clear();
                self.pace.limit = (self.pace.limit * 2).min(BUDGETS);
                self.apply(now, plan, actions);
            }
            (Step::Commit(_), Outcome::Conflict(_)) => {
                self.pace.failures = 0;
                self.pace.conflicts += 1;
                self.pace.limit = (self.pace.limit / 2).max(1);
                let pause = doubled(CONFLICT_PAUSE, self.pace.conflicts, CONFLICT_PAUSE_MAX);
                self.undo(now, &round.budgets, pause);
            }
            (Step::Commit(_), Outcome::Unavailable) | (Step::Read, _) => {
                self.pace.failures += 1;
                let pause = doubled(FAILURE_PAUSE, self.pace.failures, FAILURE_PAUSE_MAX);
                self.undo(now, &round.budgets, pause);
            }
            (Step::Commit(_), _) => {
                self.pace.failures += 1;
                let pause = doubled(FAILURE_PAUSE, self.pace.failures, FAILURE_PAUSE_MAX);
                self.pace.unresolved = round.budgets.clone();
                self.pace.not_before = now + self.jitter(pause);
            }
        }
    }

    /// Takes back what was prepared for a transaction that certainly didn't take effect.
    fn undo(&mut self, now: Duration, budgets: &[Arc<str>], pause: Duration) {
        self.pace.not_before = now + self.jitter(pause);
        for budget in budgets {
            let waits =
                self.accounts.get(budget).is_some_and(|account| !account.waiting.is_empty());
            self.make_due(budget, waits);
        }
        if !self.pace.unresolved.is_empty() {
            return;
        }
        self.journal.cancel();
        for budget in budgets {
            let Some(account) = self.accounts.get_mut(budget) else {
                continue;
            };
            account.available += std::mem::take(&mut account.returning);
            self.serve(now, budget);
        }
    }

    /// Makes a transaction of the rows that were read.
    fn plan(&mut self, now: Duration, round: Round, rows: &[Row], actions: &mut Vec<Action>) {
        let expected = 1 + 3 * round.budgets.len() + round.charges.len();
        if rows.len() != expected {
            self.undo(now, &round.budgets, FAILURE_PAUSE_MAX);
            return;
        }
        let (holder, rest) = (&rows[0], &rows[1..]);
        let (budgets, charges) = rest.split_at(3 * round.budgets.len());
        let charged = charges.iter().filter(|row| row.value.is_some());
        let charged: BTreeSet<Arc<str>> = charged.map(|row| row.key.clone()).collect();
        let Ok(registration) = escrow::parse::<Registration>(holder) else {
            self.undo(now, &round.budgets, FAILURE_PAUSE_MAX);
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
                self.observe(now, budget, grant.unwrap_or_default(), actions);
            }
        }
        if !self.observe_registration(now, registration.as_ref(), actions) {
            return;
        }
        let mut txn = Txn::default();
        let mut plan = Plan::default();
        for (budget, rows) in round.budgets.iter().zip(budgets.chunks_exact(3)) {
            let rows = Rows { record: &rows[0], escrow: &rows[1], grant: &rows[2] };
            self.plan_budget(now, budget, &rows, &charged, &mut txn, &mut plan);
        }
        self.plan_charges(charges, &mut txn);
        self.plan_registration(holder, registration, &round.ensemble, &mut txn, &mut plan);
        if txn.writes.is_empty() {
            self.pace.unresolved.clear();
            return;
        }
        let id = self.operate(Op::Commit(txn), actions);
        self.round = Some(Round { id, step: Step::Commit(plan), ..round });
    }

    /// Takes this holder's row as it stands; returns whether the round goes on.
    fn observe_registration(
        &mut self,
        now: Duration,
        registration: Option<&Registration>,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(registration) = registration else {
            if self.phase == Phase::Registered {
                self.fence(actions);
            }
            return self.phase == Phase::Unregistered;
        };
        if registration.state != State::Open {
            self.close(registration.state, actions);
            return false;
        }
        if self.phase == Phase::Unregistered || registration.epoch > self.epoch {
            self.phase = Phase::Registered;
            self.epoch = registration.epoch;
            self.journal.commit(registration.ensemble.clone());
            actions.push(Action::Note(Note::Ensemble(registration.ensemble.clone())));
        }
        if registration.segment > self.segment {
            self.segment = registration.segment;
            self.flushed(now, actions);
        }
        true
    }

    /// Takes a row that says that this holder no longer is open.
    fn close(&mut self, state: State, actions: &mut Vec<Action>) {
        if state == State::Closed && self.draining && self.holds_nothing() {
            self.phase = Phase::Drained;
            actions.push(Action::Drained);
            return;
        }
        self.fence(actions);
    }

    /// Takes a grant row as it stands: what changed since it was last seen was done by this
    /// holder's own transactions.
    fn observe(&mut self, now: Duration, budget: &Arc<str>, row: Grant, actions: &mut Vec<Action>) {
        let Some(account) = self.accounts.get_mut(budget) else {
            return;
        };
        if row.number <= account.row.number {
            return;
        }
        let granted = row.granted.saturating_sub(account.row.granted);
        let returned = row.returned.saturating_sub(account.row.returned);
        let settled = row.settled.saturating_sub(account.row.settled);
        account.available += granted;
        account.returning = account.returning.saturating_sub(returned);
        let planned = self.flush.as_mut().and_then(|flush| flush.totals.get_mut(budget));
        if let Some(planned) = planned
            && settled > 0
        {
            *planned = planned.saturating_sub(settled);
        }
        account.row = row;
        if granted > 0 || returned > 0 {
            account.relevel();
        }
        let name = budget.clone();
        if granted > 0 {
            actions.push(Action::Note(Note::Granted { budget: name.clone(), tokens: granted }));
        }
        if returned > 0 {
            actions.push(Action::Note(Note::Returned { budget: name, tokens: returned }));
        }
        self.serve(now, budget);
    }

    /// Ends the flush whose segment stands. Tokens of charges that the old ledger had already
    /// become available again.
    fn flushed(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(flush) = self.flush.take() else {
            return;
        };
        let (segment, through) = (flush.segment, flush.through);
        self.journal.append(Entry::Flushed { segment, through });
        actions.push(Action::Note(Note::Flushed { segment, charges: flush.charges.len() }));
        for (budget, left) in flush.totals {
            if let Some(account) = self.accounts.get_mut(&budget) {
                account.available += left;
                if self.draining {
                    self.make_due(&budget, false);
                }
                self.serve(now, &budget);
            }
        }
    }

    /// Plans what a budget needs.
    fn plan_budget(
        &mut self,
        now: Duration,
        budget: &Arc<str>,
        rows: &Rows<'_>,
        charged: &BTreeSet<Arc<str>>,
        txn: &mut Txn,
        plan: &mut Plan,
    ) {
        let (Ok(record), Ok(escrow), Ok(grant)) = (
            escrow::budget(rows.record),
            escrow::parse::<Escrow>(rows.escrow),
            escrow::parse::<Grant>(rows.grant),
        ) else {
            return;
        };
        let mut escrow = escrow.unwrap_or_default();
        let mut grant = grant.unwrap_or_default();
        let (was_escrow, was_grant) = (escrow.clone(), grant.clone());
        self.plan_settled(budget, charged, &mut escrow, &mut grant);
        let prepaid = record.map_or(0, |record| record.prepaid());
        let Some(account) = self.accounts.get_mut(budget) else {
            return;
        };
        let spent = (escrow.settled + escrow.old_settled).saturating_sub(escrow.refunded);
        let unspent = prepaid.saturating_sub(spent + escrow.stranded);
        account.pool.observe(now, unspent, escrow.remaining(prepaid), spent);
        let excess = if self.draining { account.available } else { policy::excess(account, now) };
        if account.returning == 0 && excess > 0 {
            account.available -= excess;
            account.returning = excess;
        }
        escrow.returned += account.returning;
        grant.returned += account.returning;
        let refill = if self.draining { 0 } else { policy::refill(account, now) };
        if refill > 0 && account.announced && self.phase == Phase::Registered {
            escrow.granted += refill;
            grant.granted += refill;
        }
        if !account.announced && !account.announcing {
            account.announcing = true;
            let source = Source::Table(0);
            let entry = Entry::Credit { budget: budget.clone(), tokens: 0, source };
            let number = self.journal.append(entry);
            self.then.insert(number, Then::Announced(budget.clone()));
        }
        if escrow == was_escrow && grant == was_grant {
            return;
        }
        grant.number += 1;
        txn.check(rows.record);
        txn.put(rows.escrow, &escrow);
        txn.put(rows.grant, &grant);
        plan.grants.push((budget.clone(), grant));
    }

    /// Counts the charges of a budget that are on their way to the ledger.
    fn plan_settled(
        &self,
        budget: &Arc<str>,
        charged: &BTreeSet<Arc<str>>,
        escrow: &mut Escrow,
        grant: &mut Grant,
    ) {
        let Some(flush) = &self.flush else {
            return;
        };
        let mut counted = BTreeSet::new();
        for charge in flush.charges.iter().filter(|charge| charge.budget == *budget) {
            if !charge.old {
                escrow.settled += charge.tokens;
                grant.settled += charge.tokens;
                continue;
            }
            let key = escrow::charge_key(budget, charge.request);
            if counted.insert(charge.request) && !charged.contains(&key) {
                escrow.old_settled += charge.tokens;
                grant.settled += charge.tokens;
            }
        }
    }

    /// Writes the charges that are on their way to the ledger.
    fn plan_charges(&self, rows: &[Row], txn: &mut Txn) {
        let Some(flush) = &self.flush else {
            return;
        };
        let mut segment = Segment::default();
        for charge in &flush.charges {
            let entry = Charge {
                request: charge.request,
                budget: charge.budget.clone(),
                tokens: charge.tokens,
            };
            if !charge.old {
                segment.charges.push(entry);
                continue;
            }
            let key = escrow::charge_key(&charge.budget, charge.request);
            let row = rows.iter().find(|row| row.key == key);
            let taken = txn.writes.iter().any(|write| write.key == key);
            if let Some(row) = row
                && row.value.is_none()
                && !taken
            {
                txn.put(row, &entry);
            }
        }
        let key = ledger::segment_key(&self.settings.id, flush.segment);
        let row = Row { key, value: None, revision: 0 };
        txn.put(&row, &segment);
    }

    /// Plans this holder's own row: its first state, its ensemble, its last segment, its end.
    fn plan_registration(
        &self,
        row: &Row,
        was: Option<Registration>,
        ensemble: &Option<Proposal>,
        txn: &mut Txn,
        plan: &mut Plan,
    ) {
        let mut next = was.clone().unwrap_or_else(Registration::first);
        if let Some(ensemble) = ensemble
            && (was.is_none() || next.ensemble != *ensemble)
        {
            next.ensemble = ensemble.clone();
            next.epoch += 1;
        }
        if let Some(flush) = &self.flush {
            next.segment = flush.segment;
        }
        if self.draining && self.holds_nothing() && txn.writes.is_empty() {
            next.state = State::Closed;
            let key = escrow::claims_key(&self.settings.id);
            let claims = self.journal.state().claim_entries();
            txn.put(&Row { key, value: None, revision: 0 }, &claims);
        }
        if was.as_ref() == Some(&next) {
            if !txn.writes.is_empty() {
                txn.check(row);
            }
            return;
        }
        txn.put(row, &next);
        plan.registration = Some(next);
    }

    /// Takes the effects of a transaction that was committed.
    fn apply(&mut self, now: Duration, plan: Plan, actions: &mut Vec<Action>) {
        for (budget, grant) in plan.grants {
            self.observe(now, &budget, grant, actions);
            let waits = self.accounts.get(&budget).is_some_and(|account| {
                !account.waiting.is_empty() || self.draining && account.available > 0
            });
            if waits {
                self.make_due(&budget, true);
            }
        }
        if let Some(registration) = plan.registration {
            self.observe_registration(now, Some(&registration), actions);
        }
    }

    /// Lets a budget be asked for, now that a recovery would know of it.
    pub(super) fn announced(&mut self, budget: &Arc<str>) {
        if let Some(account) = self.accounts.get_mut(budget) {
            account.announced = true;
            self.make_due(budget, true);
        }
    }
}

fn doubled(pause: Duration, times: u32, limit: Duration) -> Duration {
    pause.saturating_mul(1 << times.min(16)).min(limit)
}
