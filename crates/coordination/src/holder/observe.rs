//! What the table shows of this holder.

use std::{sync::Arc, time::Duration};

use super::{Action, Holder, Phase, event::Note, plan::Plan};
use crate::{
    escrow::{Grant, Registration, State},
    message::Entry,
};

impl Holder {
    /// Takes this holder's row as it stands; returns whether the round goes on.
    pub(super) fn observe_registration(
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
            self.journal.set_committed(registration.ensemble.clone());
            actions.push(Action::Note(Note::Ensemble(registration.ensemble.clone())));
        }
        if registration.segment > self.segment {
            self.segment = registration.segment;
            self.finish_flush(now, actions);
        }
        true
    }

    /// Takes a row that says that this holder no longer is open.
    pub(super) fn close(&mut self, state: State, actions: &mut Vec<Action>) {
        if state == State::Closed && self.draining && self.is_settled() {
            self.phase = Phase::Drained;
            actions.push(Action::Drained);
            return;
        }
        self.fence(actions);
    }

    /// Takes a grant row as it stands: what changed since it was last seen was done by this
    /// holder's own transactions.
    pub(super) fn observe_grant(
        &mut self,
        now: Duration,
        budget: &Arc<str>,
        row: Grant,
        actions: &mut Vec<Action>,
    ) {
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
            account.mark_synced();
        }
        let name = budget.clone();
        if granted > 0 {
            actions.push(Action::Note(Note::Granted { budget: name.clone(), tokens: granted }));
        }
        if returned > 0 {
            actions.push(Action::Note(Note::Returned { budget: name, tokens: returned }));
        }
        self.serve_waiting(now, budget);
    }

    /// Ends the flush whose segment stands. Tokens of charges that the old ledger had already
    /// become available again.
    pub(super) fn finish_flush(&mut self, now: Duration, actions: &mut Vec<Action>) {
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
                    self.enqueue(&budget, false);
                }
                self.serve_waiting(now, &budget);
            }
        }
    }

    /// Takes the effects of a transaction that was committed.
    pub(super) fn apply_plan(&mut self, now: Duration, plan: Plan, actions: &mut Vec<Action>) {
        for (budget, grant) in plan.grants {
            self.observe_grant(now, &budget, grant, actions);
            let waits = self.accounts.get(&budget).is_some_and(|account| {
                !account.waiting.is_empty() || self.draining && account.available > 0
            });
            if waits {
                self.enqueue(&budget, true);
            }
        }
        if let Some(registration) = plan.registration {
            self.observe_registration(now, Some(&registration), actions);
        }
    }

    /// Lets a budget be asked for, now that a recovery would know of it.
    pub(super) fn budget_journaled(&mut self, budget: &Arc<str>) {
        if let Some(account) = self.accounts.get_mut(budget) {
            account.journaled = true;
            self.enqueue(budget, true);
        }
    }
}
