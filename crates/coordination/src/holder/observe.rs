//! Updates of this holder's state from its rows in the table.

use std::{sync::Arc, time::Duration};

use super::{Action, Holder, Phase, event::Note, plan::Plan};
use crate::{
    escrow::{Grant, Registration, State},
    message::Entry,
};

impl Holder {
    /// Applies this holder's row, which is absent before the first commit; returns whether the
    /// round continues.
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

    /// Handles a row that shows that this holder is no longer open: it was closed by its own last
    /// transaction, or another host recovers it.
    pub(super) fn close(&mut self, state: State, actions: &mut Vec<Action>) {
        if state == State::Closed && self.draining && self.is_settled() {
            self.phase = Phase::Drained;
            actions.push(Action::Drained);
            return;
        }
        self.fence(actions);
    }

    /// Applies a grant row. Only this holder's own transactions change it while the holder is open,
    /// so the difference from the row as last seen is what they did.
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

    /// Ends the flush after its segment was committed. Tokens of charges that were already in the
    /// old ledger become available again.
    pub(super) fn finish_flush(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(flush) = self.flush.take() else {
            return;
        };
        let (segment, through) = (flush.segment, flush.through);
        self.journal.append(Entry::Flushed { segment, through });
        actions.push(Action::Note(Note::Flushed { segment, charges: flush.charges.len() }));
        for (budget, uncharged) in flush.totals {
            if let Some(account) = self.accounts.get_mut(&budget) {
                account.available += uncharged;
                if self.draining {
                    self.enqueue(&budget, false);
                }
                self.serve_waiting(now, &budget);
            }
        }
    }

    /// Applies the effects of a committed transaction.
    pub(super) fn apply_plan(&mut self, now: Duration, plan: Plan, actions: &mut Vec<Action>) {
        for (budget, grant) in plan.grants {
            self.observe_grant(now, &budget, grant, actions);
            let has_more = self.accounts.get(&budget).is_some_and(|account| {
                !account.waiting.is_empty() || self.draining && account.available > 0
            });
            if has_more {
                self.enqueue(&budget, true);
            }
        }
        if let Some(registration) = plan.registration {
            self.observe_registration(now, Some(&registration), actions);
        }
    }

    /// Lets tokens of a budget be requested from the table, now that a recovery would know of the
    /// budget from the journal.
    pub(super) fn budget_journaled(&mut self, budget: &Arc<str>) {
        if let Some(account) = self.accounts.get_mut(budget) {
            account.journaled = true;
            self.enqueue(budget, true);
        }
    }
}
