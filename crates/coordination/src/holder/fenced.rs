//! Charges of a fenced holder that no copy of its journal had.
//!
//! A holder that went on under its allowance knows charges that a recovery can't. Once the recovery
//! has closed the holder's row, the fenced process charges what isn't in its segments yet, in
//! further segments. When its last request has ended, it gives back what is left. It knows what it
//! got from other holders and passed to them, so its rows show exactly what is still its own,
//! including what the recovery had put out of use.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use super::{Action, Holder, Phase, account::Stage, event::Note};
use crate::{
    escrow::{self, Grant, Registration, State},
    ledger::{self, Charge, Segment},
    record::Ledger,
    request,
    table::{Op, Outcome, Row, Txn},
};

/// Budgets in one transaction.
const MAX_BUDGETS: usize = 32;

/// Charges in one segment.
const MAX_CHARGES: usize = 256;

/// Segments read at a time.
const SEGMENTS_PER_READ: u64 = 16;

/// Pause while the recovery isn't over, and after an operation that failed or conflicted.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// What a fenced holder has yet to write.
#[derive(Debug)]
pub(super) struct FencedWork {
    charges: Vec<Charge>,
    /// Requests whose charge may be in no copy.
    unreplicated: BTreeSet<request::Id>,
    /// Number of the last segment that was read.
    segments_read: u64,
    /// Requests in the segments that were read.
    charged: BTreeSet<request::Id>,
    /// Budgets whose rest is to be given back; `None` while requests are open.
    budgets_to_return: Option<BTreeSet<Arc<str>>>,
    step: Step,
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
    /// Rows of these budgets are being read, and of these charges in the old ledger.
    Rows(Vec<Arc<str>>, Vec<Charge>),
    /// A transaction is on its way.
    Commit(Effect),
}

/// What a transaction does.
#[derive(Debug, Default)]
struct Effect {
    budgets: Vec<Arc<str>>,
    charges: Vec<Charge>,
    /// Charges in the segment that it writes.
    segment: Segment,
}

impl FencedWork {
    /// Returns a step that waits for the answer to an operation.
    fn await_answer(&mut self, step: Step, operation: u64) {
        self.step = step;
        self.operation = operation;
    }

    /// Drops charges that are in the ledger, or can't be.
    fn drop_charged(&mut self) {
        self.charges.retain(|charge| !self.charged.contains(&charge.request));
        let left: BTreeSet<request::Id> =
            self.charges.iter().map(|charge| charge.request).collect();
        self.unreplicated.retain(|request| left.contains(request));
    }

    /// Returns the budgets of the next transaction and their charges.
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
    /// Returns whether a charge may be lost with this process that the ledger could still take.
    pub fn has_unreplicated_charges(&self) -> bool {
        let open = || self.reservations.values().any(|reservation| reservation.from_allowance);
        self.fenced_work.as_ref().is_some_and(|work| !work.unreplicated.is_empty() || open())
    }

    /// Keeps what is still to be charged and given back.
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

    /// Ends a request that was dispatched before the holder was fenced.
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

    /// Sends the next operation, or ends the holder once nothing is left to write.
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

    /// Takes the answer to an operation on the table.
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

    /// Takes the holder's row, which the recovery has to close first.
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

    /// Makes a transaction of the rows of some budgets.
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

    /// Charges what is still this holder's own, and gives back the rest after the last request.
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
        let old = record.is_some_and(|record| record.ledger == Ledger::Old);
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

    /// Returns the tokens of a budget that were granted to this holder or passed to it, and that
    /// were neither passed on nor charged nor given back.
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
        if let Some(rest) = work.budgets_to_return.as_mut() {
            rest.retain(|budget| !effect.budgets.contains(budget));
        }
    }
}
