//! Reservations, from the request to the charge.

use std::{sync::Arc, time::Duration};

use super::{
    Action, Holder, RETRY_CUT_OFF, RETRY_ELSEWHERE, RETRY_EXHAUSTED, Reason, Reserve, Then, WAIT,
    WAITING_LIMIT,
    account::{Reservation, Stage, Waiting},
    refuse, round,
};
use crate::{message::Entry, request};

impl Holder {
    pub(super) fn dispatch(&mut self, request: request::Id, actions: &mut Vec<Action>) {
        let Some(reservation) = self.reservations.get_mut(&request) else {
            return;
        };
        self.deadlines.remove(&(reservation.deadline, request));
        reservation.stage = Stage::Open;
        actions.push(Action::Reserved { request });
    }

    pub(super) fn reserve(&mut self, now: Duration, reserve: Reserve, actions: &mut Vec<Action>) {
        let request = reserve.request;
        if let Some(standing) = self.reservations.get(&request) {
            if standing.stage == Stage::Open {
                actions.push(Action::Reserved { request });
            }
            return;
        }
        if self.draining {
            refuse(request, Reason::Draining, RETRY_ELSEWHERE, actions);
            return;
        }
        let Some(account) = self.accounts.get_mut(&reserve.budget) else {
            refuse(request, Reason::UnknownBudget, RETRY_ELSEWHERE, actions);
            return;
        };
        if account.terms.is_none() {
            refuse(request, Reason::UnknownBudget, RETRY_ELSEWHERE, actions);
            return;
        }
        if account.fits(reserve.class, reserve.tokens) {
            account.count(now, reserve.class, reserve.tokens as f64);
            self.set_aside(reserve, now + WAIT);
            return;
        }
        let unpayable = self.pace.failing() && account.can_never_pay(reserve.tokens);
        if unpayable || account.waiting.len() >= WAITING_LIMIT {
            self.refuse_short(request, &reserve.budget, actions);
            return;
        }
        self.wait(now, reserve, actions);
    }

    /// Takes the tokens of a request that fits and copies that to the journal.
    pub(super) fn set_aside(&mut self, reserve: Reserve, deadline: Duration) {
        let Some(account) = self.accounts.get_mut(&reserve.budget) else {
            return;
        };
        account.available -= reserve.tokens;
        account.reserved += reserve.tokens;
        let low = account.available < account.low_water;
        let number = self.journal.append(Entry::Reserve {
            request: reserve.request,
            budget: reserve.budget.clone(),
            tokens: reserve.tokens,
            backend: reserve.backend,
        });
        self.then.insert(number, Then::Dispatch(reserve.request));
        self.deadlines.insert((deadline, reserve.request));
        if low {
            self.make_due(&reserve.budget, false);
        }
        let reservation = Reservation {
            budget: reserve.budget,
            tokens: reserve.tokens,
            class: reserve.class,
            stage: Stage::Copying(number),
            deadline,
            covered: false,
        };
        self.reservations.insert(reserve.request, reservation);
    }

    pub(super) fn wait(&mut self, now: Duration, reserve: Reserve, actions: &mut Vec<Action>) {
        let (request, budget) = (reserve.request, reserve.budget.clone());
        let deadline = now + WAIT;
        self.turns += 1;
        let turn = (reserve.class, self.turns);
        let mut ask = true;
        let reservation = Reservation {
            budget: budget.clone(),
            tokens: reserve.tokens,
            class: reserve.class,
            stage: Stage::Waiting(turn),
            deadline,
            covered: false,
        };
        if let Some(account) = self.accounts.get_mut(&budget) {
            account.count(now, reserve.class, reserve.tokens as f64);
            account.wanted += reserve.tokens;
            ask = !account.can_never_pay(reserve.tokens);
            account.waiting.insert(turn, Waiting { reserve });
        }
        self.reservations.insert(request, reservation);
        self.deadlines.insert((deadline, request));
        self.make_due(&budget, true);
        if self.asking.insert(budget.clone()) && ask && self.short_of(&budget) {
            self.ask_peers(now, &budget, actions);
        }
    }

    /// Serves the reservations of a budget that waited and now fit.
    pub(super) fn serve(&mut self, now: Duration, budget: &Arc<str>) {
        loop {
            let Some(account) = self.accounts.get_mut(budget) else {
                return;
            };
            let Some(reserve) = account.next_fitting() else {
                break;
            };
            let Some(waited) = self.reservations.remove(&reserve.request) else {
                continue;
            };
            self.deadlines.remove(&(waited.deadline, reserve.request));
            self.set_aside(reserve, now + WAIT);
        }
        if self.accounts.get(budget).is_some_and(|account| account.waiting.is_empty()) {
            self.asking.remove(budget);
        }
    }

    pub(super) fn settle(
        &mut self,
        now: Duration,
        request: request::Id,
        tokens: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(reservation) = self.reservations.get(&request) else {
            return;
        };
        if matches!(reservation.stage, Stage::Waiting(_)) || tokens == 0 {
            self.release(now, request, actions);
            return;
        }
        let tokens = tokens.min(reservation.tokens);
        let Some(reservation) = self.remove(request) else {
            return;
        };
        let number = self.journal.append(Entry::Settle { request, tokens });
        let budget = reservation.budget.clone();
        self.unflushed.push_back(round::Unflushed {
            number,
            at: now,
            request,
            budget: budget.clone(),
            tokens,
            old: false,
        });
        self.regain(&reservation, reservation.tokens - tokens);
        self.free(now, &reservation, reservation.tokens - tokens);
    }

    pub(super) fn release(
        &mut self,
        now: Duration,
        request: request::Id,
        actions: &mut Vec<Action>,
    ) {
        let Some(reservation) = self.remove(request) else {
            return;
        };
        let _ = actions;
        if let Stage::Waiting(turn) = reservation.stage {
            if let Some(account) = self.accounts.get_mut(&reservation.budget) {
                account.give_up(turn);
            }
            return;
        }
        self.journal.append(Entry::Release { request });
        self.regain(&reservation, reservation.tokens);
        self.free(now, &reservation, reservation.tokens);
    }

    /// Removes a reservation from the indexes.
    pub(super) fn remove(&mut self, request: request::Id) -> Option<Reservation> {
        let reservation = self.reservations.remove(&request)?;
        self.deadlines.remove(&(reservation.deadline, request));
        if let Stage::Copying(number) = reservation.stage {
            self.then.remove(&number);
        }
        Some(reservation)
    }

    /// Ends a reservation, `unused` tokens of which become available.
    pub(super) fn free(&mut self, now: Duration, reservation: &Reservation, unused: u64) {
        let Reservation { budget, tokens: reserved, class, .. } = reservation;
        let class = *class;
        let Some(account) = self.accounts.get_mut(budget) else {
            return;
        };
        account.reserved -= *reserved;
        account.available += unused;
        account.count(now, class, -(unused as f64));
        if account.terms.is_none() || self.draining {
            self.make_due(budget, false);
        }
        self.serve(now, budget);
    }

    pub(super) fn refuse_short(
        &self,
        request: request::Id,
        budget: &Arc<str>,
        actions: &mut Vec<Action>,
    ) {
        let known = self.accounts.get(budget).is_some_and(|account| account.pool.at.is_some());
        if self.pace.failing() || !known {
            refuse(request, Reason::CutOff, RETRY_CUT_OFF, actions);
        } else {
            refuse(request, Reason::Exhausted, RETRY_EXHAUSTED, actions);
        }
    }

    /// Refuses what has waited too long for tokens or for the journal.
    pub(super) fn expire(&mut self, now: Duration, actions: &mut Vec<Action>) {
        while let Some(&(deadline, request)) = self.deadlines.first()
            && deadline <= now
        {
            let Some(reservation) = self.remove(request) else {
                self.deadlines.remove(&(deadline, request));
                continue;
            };
            let budget = reservation.budget.clone();
            if let Stage::Waiting(turn) = reservation.stage {
                if let Some(account) = self.accounts.get_mut(&budget) {
                    account.give_up(turn);
                }
                self.refuse_short(request, &budget, actions);
                self.serve(now, &budget);
                continue;
            }
            self.journal.append(Entry::Release { request });
            self.free(now, &reservation, reservation.tokens);
            refuse(request, Reason::Unreplicated, RETRY_ELSEWHERE, actions);
        }
    }
}
