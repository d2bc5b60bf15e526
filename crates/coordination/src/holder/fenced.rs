//! Charges and returns of a fenced holder.
//!
//! A holder that used its allowance knows of charges that are in no replica of its journal, so a
//! recovery can't. Once the recovery has closed the holder's row, the fenced process writes the
//! charges that its segments don't have yet, in further segments. After its last request has ended,
//! it returns the remaining tokens. It knows what it received from other holders and sent to them,
//! so it can tell from its grant rows exactly which tokens are still its own, including those that
//! the recovery stranded.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use super::{Action, Holder, Phase, account::Stage, event::Note};
use crate::{
    escrow::{self, Grant, Registration, State},
    ledger::{self, Charge, Segment},
    record::LedgerFormat,
    request,
    table::{Op, Outcome, Row, Txn},
};

/// Maximum number of budgets in one transaction.
const MAX_BUDGETS: usize = 32;

/// Maximum number of charges in one segment.
const MAX_CHARGES: usize = 256;

/// Maximum number of segments read at a time.
const SEGMENTS_PER_READ: u64 = 16;

/// Delay until the next attempt while the recovery isn't finished, and after an operation that
/// failed or conflicted.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// What a fenced holder still has to write.
#[derive(Debug)]
pub(super) struct FencedWork {
    charges: Vec<Charge>,
    /// Requests whose charge may be in no replica of the journal.
    unreplicated: BTreeSet<request::Id>,
    /// Number of the last segment that was read.
    segments_read: u64,
    /// Requests that need no charge any more: those in the segments that were read, and those whose
    /// charge was written or dropped here.
    charged: BTreeSet<request::Id>,
    /// Budgets whose remaining tokens are still to be returned; `None` until the holder drains and its
    /// last request has ended.
    budgets_to_return: Option<BTreeSet<Arc<str>>>,
    step: Step,
    /// Number of the operation in progress, or of the last one.
    operation: u64,
    not_before: Duration,
}

#[derive(Debug)]
enum Step {
    Idle,
    /// The holder's row is being read.
    Row,
    /// Segments up to this number are being read.
    Segments(u64),
    /// Rows of these budgets are being read, and the old-ledger rows of these charges.
    Rows(Vec<Arc<str>>, Vec<Charge>),
    /// A transaction is being committed.
    Commit(Effect),
}

/// Effects of a transaction.
#[derive(Debug, Default)]
struct Effect {
    budgets: Vec<Arc<str>>,
    charges: Vec<Charge>,
    /// Charges in the segment that it writes.
    segment: Segment,
}

impl FencedWork {
    /// Waits in a step for the answer to an operation.
    fn await_answer(&mut self, step: Step, operation: u64) {
        self.step = step;
        self.operation = operation;
    }

    /// Drops the charges that need not be written any more.
    fn drop_charged(&mut self) {
        self.charges.retain(|charge| !self.charged.contains(&charge.request));
        let remaining: BTreeSet<request::Id> =
            self.charges.iter().map(|charge| charge.request).collect();
        self.unreplicated.retain(|request| remaining.contains(request));
    }

    /// Returns the budgets and charges of the next transaction; budgets to return only when no
    /// charge is left.
    fn next_chunk(&self) -> (Vec<Arc<str>>, Vec<Charge>) {
        let mut budgets = BTreeSet::new();
        let mut charges = Vec::new();
        for charge in self.charges.iter().take(MAX_CHARGES) {
            if budgets.len() < MAX_BUDGETS || budgets.contains(&charge.budget) {
                budgets.insert(charge.budget.clone());
                charges.push(charge.clone());
            }
        }
        if charges.is_empty() {
            budgets.extend(self.budgets_to_return.iter().flatten().take(MAX_BUDGETS).cloned());
        }
        (budgets.into_iter().collect(), charges)
    }
}

impl Holder {
    /// Returns whether this fenced holder has charges, or open requests, whose charges would be
    /// lost with this process because no replica of the journal has them.
    pub fn has_unreplicated_charges(&self) -> bool {
        let open = || self.reservations.values().any(|reservation| reservation.from_allowance);
        self.fenced_work.as_ref().is_some_and(|work| !work.unreplicated.is_empty() || open())
    }

    /// Collects the charges that may still have to be written.
    pub(super) fn start_fenced_work(&mut self) {
        let durable = self.journal.durable();
        let flush = self.flush.take().map(|flush| flush.charges).unwrap_or_default();
        let unflushed: Vec<_> = flush.into_iter().chain(self.unflushed.drain(..)).collect();
        let unreplicated = unflushed.iter().filter(|charge| charge.number > durable);
        let unreplicated = unreplicated.map(|charge| charge.request).collect();
        let charges = unflushed.into_iter().map(|charge| Charge {
            request: charge.request,
            budget: charge.budget,
            tokens: charge.tokens,
        });
        self.fenced_work = Some(FencedWork {
            charges: charges.collect(),
            unreplicated,
            segments_read: self.segment,
            charged: BTreeSet::new(),
            budgets_to_return: None,
            step: Step::Idle,
            operation: 0,
            not_before: Duration::ZERO,
        });
    }

    /// Ends a request that was dispatched before the holder was fenced, and charges its tokens.
    pub(super) fn settle_fenced(&mut self, request: request::Id, tokens: u64) {
        let Some(reservation) = self.reservations.get(&request) else {
            return;
        };
        if reservation.stage != Stage::Open {
            return;
        }
        let Some(reservation) = self.remove_reservation(request) else {
            return;
        };
        let Some(work) = self.fenced_work.as_mut() else {
            return;
        };
        if tokens == 0 || work.charged.contains(&request) {
            return;
        }
        if reservation.from_allowance {
            work.unreplicated.insert(request);
        }
        let tokens = tokens.min(reservation.tokens);
        work.charges.push(Charge { request, budget: reservation.budget, tokens });
    }

    /// Starts the next transaction, or ends the holder once nothing is left to write.
    pub(super) fn advance_fenced(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let done = self.draining && self.reservations.is_empty();
        let Some(work) = self.fenced_work.as_mut() else {
            return;
        };
        if !matches!(work.step, Step::Idle) || now < work.not_before {
            return;
        }
        if work.charges.is_empty() {
            if !done {
                return;
            }
            let all = || self.journal.state().budgets().cloned().collect();
            if work.budgets_to_return.get_or_insert_with(all).is_empty() {
                self.end_fenced(actions);
                return;
            }
        }
        let key = escrow::holder_key(&self.settings.id);
        self.send_fenced_operation(Op::Read(vec![key]), Step::Row, actions);
    }

    fn end_fenced(&mut self, actions: &mut Vec<Action>) {
        self.fenced_work = None;
        self.phase = Phase::Drained;
        actions.push(Action::Drained);
    }

    fn send_fenced_operation(&mut self, op: Op, step: Step, actions: &mut Vec<Action>) {
        let id = self.send_operation(op, actions);
        if let Some(work) = self.fenced_work.as_mut() {
            work.await_answer(step, id);
        }
    }

    /// Handles the answer to an operation on the table.
    pub(super) fn handle_fenced_table(
        &mut self,
        now: Duration,
        id: u64,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(work) = self.fenced_work.as_mut().filter(|work| work.operation == id) else {
            return;
        };
        match (std::mem::replace(&mut work.step, Step::Idle), outcome) {
            (Step::Row, Outcome::Rows(rows)) => self.read_registration(now, &rows, actions),
            (Step::Segments(through), Outcome::Rows(rows)) => {
                let segments = rows.iter().filter_map(|row| escrow::parse::<Segment>(row).ok()?);
                let charged = segments.flat_map(|segment| segment.charges);
                work.charged.extend(charged.map(|charge| charge.request));
                work.segments_read = through;
                work.drop_charged();
            }
            (Step::Rows(budgets, charges), Outcome::Rows(rows)) => {
                self.plan_fenced(now, budgets, charges, &rows, actions);
            }
            (Step::Commit(effect), Outcome::Committed(_)) => self.apply_fenced(effect, actions),
            _ => work.not_before = now + RETRY_DELAY,
        }
    }

    /// Handles the holder's row, which the recovery has to close first: reads unread segments, or
    /// else the rows of the next transaction.
    fn read_registration(&mut self, now: Duration, rows: &[Row], actions: &mut Vec<Action>) {
        let Some(work) = self.fenced_work.as_mut() else {
            return;
        };
        let registration = match rows.first().map(escrow::parse::<Registration>) {
            Some(Ok(Some(registration))) if registration.state == State::Closed => registration,
            Some(Ok(None)) => return self.end_fenced(actions),
            _ => {
                work.not_before = now + RETRY_DELAY;
                return;
            }
        };
        if registration.segment > work.segments_read {
            let through = registration.segment.min(work.segments_read + SEGMENTS_PER_READ);
            let segments = work.segments_read + 1..=through;
            let key = |segment| ledger::segment_key(&self.settings.id, segment);
            let op = Op::Read(segments.map(key).collect());
            return self.send_fenced_operation(op, Step::Segments(through), actions);
        }
        let (budgets, charges) = work.next_chunk();
        let mut keys = vec![escrow::holder_key(&self.settings.id)];
        for budget in &budgets {
            keys.extend(escrow::budget_row_keys(budget, &self.settings.id));
        }
        let key = |charge: &Charge| escrow::charge_key(&charge.budget, charge.request);
        keys.extend(charges.iter().map(key));
        self.send_fenced_operation(Op::Read(keys), Step::Rows(budgets, charges), actions);
    }

    /// Builds a transaction from the rows of some budgets.
    fn plan_fenced(
        &mut self,
        now: Duration,
        budgets: Vec<Arc<str>>,
        charges: Vec<Charge>,
        rows: &[Row],
        actions: &mut Vec<Action>,
    ) {
        let Some(work) = self.fenced_work.as_mut() else {
            return;
        };
        if rows.len() != 1 + 3 * budgets.len() + charges.len() {
            work.not_before = now + RETRY_DELAY;
            return;
        }
        let Ok(Some(registration)) = escrow::parse::<Registration>(&rows[0]) else {
            work.not_before = now + RETRY_DELAY;
            return;
        };
        if registration.state != State::Closed || registration.segment != work.segments_read {
            return;
        }
        let (budget_rows, charge_rows) = rows[1..].split_at(3 * budgets.len());
        let mut txn = Txn::default();
        let mut segment = Segment::default();
        for (budget, rows) in budgets.iter().zip(budget_rows.chunks_exact(3)) {
            let charges = charges.iter().zip(charge_rows);
            let charges: Vec<(&Charge, &Row)> =
                charges.filter(|(charge, _)| charge.budget == *budget).collect();
            self.plan_fenced_budget(budget, rows, &charges, &mut txn, &mut segment);
        }
        let effect = Effect { budgets, charges, segment };
        if txn.writes.is_empty() {
            return self.apply_fenced(effect, actions);
        }
        if effect.segment.charges.is_empty() {
            txn.check(&rows[0]);
        } else {
            let next = Registration { segment: registration.segment + 1, ..registration };
            let key = ledger::segment_key(&self.settings.id, next.segment);
            txn.put(&Row { key, value: None, revision: 0 }, &effect.segment);
            txn.put(&rows[0], &next);
        }
        self.send_fenced_operation(Op::Commit(txn), Step::Commit(effect), actions);
    }

    /// Plans the charges of a budget that this holder's own tokens cover, and the return of the
    /// remaining tokens after the last request.
    fn plan_fenced_budget(
        &self,
        budget: &Arc<str>,
        rows: &[Row],
        charges: &[(&Charge, &Row)],
        txn: &mut Txn,
        segment: &mut Segment,
    ) {
        let (Some(work), Some((record, mut escrow, was))) =
            (&self.fenced_work, escrow::parse_budget_rows(rows))
        else {
            return;
        };
        let old = record.is_some_and(|record| record.ledger == LedgerFormat::Old);
        let mut grant = was.clone();
        let mut own = self.own_tokens(budget, &grant);
        let mut counted = BTreeSet::new();
        for (charge, row) in charges {
            let known = row.value.is_some() || !counted.insert(charge.request);
            if known || charge.tokens > own {
                continue;
            }
            own -= charge.tokens;
            grant.settled += charge.tokens;
            ledger::settle(charge, old.then_some(*row), &mut escrow, txn, segment);
        }
        if work.budgets_to_return.is_some() {
            grant.returned += own;
            escrow.returned += own;
        }
        let taken = grant.settled - was.settled + grant.returned - was.returned;
        if taken == 0 {
            return;
        }
        let stranded = taken.min(grant.stranded);
        grant.stranded -= stranded;
        escrow.stranded -= stranded;
        grant.number += 1;
        txn.put(&rows[1], &escrow);
        txn.put(&rows[2], &grant);
    }

    /// Returns the tokens of a budget that were granted to this holder or transferred to it, and
    /// that were neither transferred on nor charged nor returned.
    fn own_tokens(&self, budget: &Arc<str>, grant: &Grant) -> u64 {
        let state = self.journal.state();
        let own = grant.open() + i128::from(grant.stranded) + state.net_received(budget);
        u64::try_from(own).unwrap_or(0)
    }

    fn apply_fenced(&mut self, effect: Effect, actions: &mut Vec<Action>) {
        let Some(work) = self.fenced_work.as_mut() else {
            return;
        };
        let charges = effect.segment.charges.len();
        if charges > 0 {
            work.segments_read += 1;
            actions.push(Action::Note(Note::Flushed { segment: work.segments_read, charges }));
        }
        work.charged.extend(effect.charges.iter().map(|charge| charge.request));
        work.drop_charged();
        if let Some(budgets) = work.budgets_to_return.as_mut() {
            budgets.retain(|budget| !effect.budgets.contains(budget));
        }
    }
}
