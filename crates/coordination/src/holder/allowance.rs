//! Tokens that may be used while no copy of the journal can be reached.
//!
//! While the platform is away the ensemble can't be changed, so a zone of two hosts would stop when
//! one of them dies. Once a single member is left, the holder has it record that tokens for
//! some time are set aside, as a debit to the holder itself. From then on no recovery gives them back,
//! so they may be used without a further acknowledgement. When the copies are whole again, a credit
//! undoes the debit. If the holder dies before, what it had set aside stays out of use.

use std::{sync::Arc, time::Duration};

use super::{
    Action, Holder, Then,
    account::{Reservation, Stage},
    policy,
};
use crate::message::{Counterparty, Entry};

impl Holder {
    /// Sets tokens aside while copies are few, and takes them back when they are whole.
    pub(super) fn watch_copies(&mut self, now: Duration) {
        let failing = self.pace.failing();
        if !self.thin && failing && self.journal.is_thin(now) {
            self.thin = true;
            let budgets: Vec<Arc<str>> = self.accounts.keys().cloned().collect();
            for budget in budgets {
                self.set_allowance(now, &budget);
            }
            return;
        }
        let whole = self.journal.durable() == self.journal.state().through();
        if self.thin && !failing && whole {
            self.thin = false;
            self.end_allowances();
        }
    }

    /// Sets aside what a budget may need without a copy and what isn't yet.
    pub(super) fn set_allowance(&mut self, now: Duration, budget: &Arc<str>) {
        let cut_off = self.pace.cut_off(now);
        let Some(account) = self.accounts.get_mut(budget) else {
            return;
        };
        let need = policy::uncopied(account, now, cut_off);
        let tokens = need.saturating_sub(account.aside);
        if tokens == 0 {
            return;
        }
        account.aside += tokens;
        let source = Counterparty::Holder(self.settings.id.clone(), 0);
        let entry = Entry::Debit { budget: budget.clone(), tokens, counterparty: source };
        let number = self.journal.append(entry);
        self.then.insert(number, Then::Allow { budget: budget.clone(), tokens });
    }

    pub(super) fn allowed(&mut self, budget: &Arc<str>, tokens: u64) {
        if let Some(account) = self.accounts.get_mut(budget) {
            account.allowance += tokens;
        }
    }

    fn end_allowances(&mut self) {
        for reservation in self.reservations.values_mut() {
            reservation.covered = false;
        }
        for (budget, account) in &mut self.accounts {
            account.allowance = 0;
            let tokens = std::mem::take(&mut account.aside);
            if tokens > 0 {
                let source = Counterparty::Holder(self.settings.id.clone(), 0);
                self.journal.append(Entry::Credit {
                    budget: budget.clone(),
                    tokens,
                    counterparty: source,
                });
            }
        }
    }

    /// Lets reservations and transfers go ahead without a copy, as far as the allowance goes.
    pub(super) fn use_allowance(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if !self.thin || !self.journal.is_alone(now) {
            return;
        }
        let covered = |(number, then): (&u64, &Then)| match then {
            Then::Dispatch(_) | Then::Transfer(_) => Some(*number),
            _ => None,
        };
        let numbers: Vec<u64> = self.then.iter().filter_map(covered).collect();
        for number in numbers {
            if !self.take_allowance(number) {
                continue;
            }
            match self.then.remove(&number) {
                Some(Then::Dispatch(request)) => self.dispatch(request, actions),
                Some(Then::Transfer(transfer)) => self.send_transfer(now, transfer, actions),
                _ => {}
            }
        }
    }

    /// Takes the tokens of a waiting entry from the allowance; returns whether they were covered.
    fn take_allowance(&mut self, number: u64) -> bool {
        let (budget, tokens) = match self.then.get(&number) {
            Some(Then::Dispatch(request)) => match self.reservations.get(request) {
                Some(reservation) if reservation.stage == Stage::Copying(number) => {
                    (reservation.budget.clone(), reservation.tokens)
                }
                _ => return false,
            },
            Some(Then::Transfer(transfer)) => match self.outgoing.get(transfer) {
                Some(outgoing) => (outgoing.budget.clone(), outgoing.tokens),
                None => return false,
            },
            _ => return false,
        };
        let Some(account) = self.accounts.get_mut(&budget) else {
            return false;
        };
        if account.allowance < tokens {
            return false;
        }
        account.allowance -= tokens;
        if let Some(Then::Dispatch(request)) = self.then.get(&number)
            && let Some(reservation) = self.reservations.get_mut(request)
        {
            reservation.covered = true;
        }
        true
    }

    /// Adds the unused tokens of a reservation that was covered to the allowance again.
    pub(super) fn regain(&mut self, reservation: &Reservation, unused: u64) {
        if reservation.covered
            && let Some(account) = self.accounts.get_mut(&reservation.budget)
        {
            account.allowance += unused;
        }
    }
}
