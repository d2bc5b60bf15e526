//! Tokens that may be used while no replica of the journal can be reached.
//!
//! The ensemble can't be changed while the platform can't be reached, so a zone of two hosts would
//! stop serving when one of them dies. Once at most one member is left, the holder sets aside
//! tokens for some time of usage, as a journaled debit to itself. As soon as that debit is durable,
//! no recovery returns these tokens, so they may be used without further acknowledgements. When the
//! platform answers and all entries are durable again, a credit undoes the debit. If the holder
//! dies before that, the allowance is stranded.

use std::{sync::Arc, time::Duration};

use super::{
    Action, Deferred, Holder,
    account::{Reservation, Stage},
    policy,
};
use crate::message::{Counterparty, Entry};

impl Holder {
    /// Sets the allowances when too few replicas are left during an outage of the platform, and
    /// cancels them when it has ended and all entries are durable.
    pub(super) fn check_replication(&mut self, now: Duration) {
        let failing = self.backoff.is_failing();
        if !self.underreplicated && failing && self.journal.is_underreplicated(now) {
            self.underreplicated = true;
            let budgets: Vec<Arc<str>> = self.accounts.keys().cloned().collect();
            for budget in budgets {
                self.raise_allowance(now, &budget);
            }
            return;
        }
        let all_durable = self.journal.durable() == self.journal.state().through();
        if self.underreplicated && !failing && all_durable {
            self.underreplicated = false;
            self.cancel_allowances();
        }
    }

    /// Journals a debit that raises the allowance of a budget to its target.
    pub(super) fn raise_allowance(&mut self, now: Duration, budget: &Arc<str>) {
        let outage = self.backoff.outage(now);
        let Some(account) = self.accounts.get_mut(budget) else {
            return;
        };
        let target = policy::allowance_target(account, now, outage);
        let tokens = target.saturating_sub(account.journaled_allowance);
        if tokens == 0 {
            return;
        }
        account.journaled_allowance += tokens;
        let party = Counterparty::Holder(self.settings.id.clone(), 0);
        let entry = Entry::Debit { budget: budget.clone(), tokens, party };
        let number = self.journal.append(entry);
        self.deferred.insert(number, Deferred::Allowance { budget: budget.clone(), tokens });
    }

    pub(super) fn add_allowance(&mut self, budget: &Arc<str>, tokens: u64) {
        if let Some(account) = self.accounts.get_mut(budget) {
            account.allowance += tokens;
        }
    }

    fn cancel_allowances(&mut self) {
        for reservation in self.reservations.values_mut() {
            reservation.from_allowance = false;
        }
        for (budget, account) in &mut self.accounts {
            account.allowance = 0;
            let tokens = std::mem::take(&mut account.journaled_allowance);
            if tokens > 0 {
                let party = Counterparty::Holder(self.settings.id.clone(), 0);
                self.journal.append(Entry::Credit { budget: budget.clone(), tokens, party });
            }
        }
    }

    /// Lets reservations and transfers proceed without a replica, as far as the allowance covers
    /// them.
    pub(super) fn use_allowance(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if !self.underreplicated || !self.journal.is_unreplicated(now) {
            return;
        }
        let eligible = |(number, deferred): (&u64, &Deferred)| match deferred {
            Deferred::Confirm(_) | Deferred::Transfer(_) => Some(*number),
            _ => None,
        };
        let numbers: Vec<u64> = self.deferred.iter().filter_map(eligible).collect();
        for number in numbers {
            if !self.take_allowance(number) {
                continue;
            }
            match self.deferred.remove(&number) {
                Some(Deferred::Confirm(request)) => self.confirm(request, actions),
                Some(Deferred::Transfer(transfer)) => self.send_transfer(now, transfer, actions),
                _ => {}
            }
        }
    }

    /// Takes the tokens of a waiting journal entry from the allowance; returns whether it covers
    /// them.
    fn take_allowance(&mut self, number: u64) -> bool {
        let (budget, tokens) = match self.deferred.get(&number) {
            Some(Deferred::Confirm(request)) => match self.reservations.get(request) {
                Some(reservation) if reservation.stage == Stage::Journaling(number) => {
                    (reservation.budget.clone(), reservation.tokens)
                }
                _ => return false,
            },
            Some(Deferred::Transfer(transfer)) => match self.outgoing.get(transfer) {
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
        if let Some(Deferred::Confirm(request)) = self.deferred.get(&number)
            && let Some(reservation) = self.reservations.get_mut(request)
        {
            reservation.from_allowance = true;
        }
        true
    }

    /// Returns the unused tokens of a reservation to the allowance that they came from.
    pub(super) fn restore_allowance(&mut self, reservation: &Reservation, unused: u64) {
        if reservation.from_allowance
            && let Some(account) = self.accounts.get_mut(&reservation.budget)
        {
            account.allowance += unused;
        }
    }
}
