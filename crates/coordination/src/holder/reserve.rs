//! Reservations, from the request for tokens to the charge.

use std::{sync::Arc, time::Duration};

use super::{
    Action, Deferred, Holder, RESERVE_TIMEOUT, RETRY_ELSEWHERE, RETRY_EXHAUSTED, RETRY_UNREACHABLE,
    Reason, Reserve, WAITING_LIMIT,
    account::{Reservation, Stage, Waiting},
    refuse, round,
};
use crate::{message::Entry, request};

impl Holder {
    /// Lets a request be dispatched.
    pub(super) fn confirm(&mut self, request: request::Id, actions: &mut Vec<Action>) {
        let Some(reservation) = self.reservations.get_mut(&request) else {
            return;
        };
        self.deadlines.remove(&(reservation.deadline, request));
        reservation.stage = Stage::Open;
        actions.push(Action::Reserved { request });
    }

    pub(super) fn reserve(&mut self, now: Duration, reserve: Reserve, actions: &mut Vec<Action>) {
        let request = reserve.request;
        if let Some(existing) = self.reservations.get(&request) {
            if existing.stage == Stage::Open {
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
        if account.config.is_none() {
            refuse(request, Reason::UnknownBudget, RETRY_ELSEWHERE, actions);
            return;
        }
        if account.fits(reserve.class, reserve.tokens) {
            account.record_usage(now, reserve.class, reserve.tokens as f64);
            self.set_aside(reserve, now + RESERVE_TIMEOUT);
            return;
        }
        let unaffordable = self.backoff.is_failing() && account.is_unaffordable(reserve.tokens);
        if unaffordable || account.waiting.len() >= WAITING_LIMIT {
            self.refuse_insufficient(request, &reserve.budget, actions);
            return;
        }
        self.wait_for_tokens(now, reserve, actions);
    }

    /// Takes the tokens of a reservation that fits and appends its journal entry.
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
        self.deferred.insert(number, Deferred::Confirm(reserve.request));
        self.deadlines.insert((deadline, reserve.request));
        if low {
            self.enqueue(&reserve.budget, false);
        }
        let reservation = Reservation {
            budget: reserve.budget,
            tokens: reserve.tokens,
            class: reserve.class,
            stage: Stage::Journaling(number),
            deadline,
            from_allowance: false,
        };
        self.reservations.insert(reserve.request, reservation);
    }

    /// Queues a reservation until tokens are available, and asks peers for them if the table is
    /// unlikely to cover it.
    pub(super) fn wait_for_tokens(
        &mut self,
        now: Duration,
        reserve: Reserve,
        actions: &mut Vec<Action>,
    ) {
        let (request, budget) = (reserve.request, reserve.budget.clone());
        let deadline = now + RESERVE_TIMEOUT;
        self.last_sequence += 1;
        let key = (reserve.class, self.last_sequence);
        let mut ask = true;
        let reservation = Reservation {
            budget: budget.clone(),
            tokens: reserve.tokens,
            class: reserve.class,
            stage: Stage::Waiting(key),
            deadline,
            from_allowance: false,
        };
        if let Some(account) = self.accounts.get_mut(&budget) {
            account.record_usage(now, reserve.class, reserve.tokens as f64);
            account.waiting_tokens += reserve.tokens;
            ask = !account.is_unaffordable(reserve.tokens);
            account.waiting.insert(key, Waiting { reserve });
        }
        self.reservations.insert(request, reservation);
        self.deadlines.insert((deadline, request));
        self.enqueue(&budget, true);
        if self.asking.insert(budget.clone()) && ask && self.is_short_of(&budget) {
            self.ask_peers(now, &budget, actions);
        }
    }

    /// Takes tokens for the waiting reservations of a budget that now fit.
    pub(super) fn serve_waiting(&mut self, now: Duration, budget: &Arc<str>) {
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
            self.set_aside(reserve, now + RESERVE_TIMEOUT);
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
        let Some(reservation) = self.remove_reservation(request) else {
            return;
        };
        let number = self.journal.append(Entry::Settle { request, tokens });
        let budget = reservation.budget.clone();
        self.unflushed.push_back(round::UnflushedCharge {
            number,
            settled_at: now,
            request,
            budget: budget.clone(),
            tokens,
            old_ledger: false,
        });
        self.restore_allowance(&reservation, reservation.tokens - tokens);
        self.finish_reservation(now, &reservation, reservation.tokens - tokens);
    }

    pub(super) fn release(
        &mut self,
        now: Duration,
        request: request::Id,
        actions: &mut Vec<Action>,
    ) {
        let Some(reservation) = self.remove_reservation(request) else {
            return;
        };
        let _ = actions;
        if let Stage::Waiting(key) = reservation.stage {
            if let Some(account) = self.accounts.get_mut(&reservation.budget) {
                account.remove_waiting(key);
            }
            return;
        }
        self.journal.append(Entry::Release { request });
        self.restore_allowance(&reservation, reservation.tokens);
        self.finish_reservation(now, &reservation, reservation.tokens);
    }

    /// Removes a reservation with its deadline and its deferred confirmation.
    pub(super) fn remove_reservation(&mut self, request: request::Id) -> Option<Reservation> {
        let reservation = self.reservations.remove(&request)?;
        self.deadlines.remove(&(reservation.deadline, request));
        if let Stage::Journaling(number) = reservation.stage {
            self.deferred.remove(&number);
        }
        Some(reservation)
    }

    /// Makes the unused tokens of an ended reservation available and serves waiting ones.
    pub(super) fn finish_reservation(
        &mut self,
        now: Duration,
        reservation: &Reservation,
        unused: u64,
    ) {
        let Reservation { budget, tokens: reserved, class, .. } = reservation;
        let class = *class;
        let Some(account) = self.accounts.get_mut(budget) else {
            return;
        };
        account.reserved -= *reserved;
        account.available += unused;
        account.record_usage(now, class, -(unused as f64));
        if account.config.is_none() || self.draining {
            self.enqueue(budget, false);
        }
        self.serve_waiting(now, budget);
    }

    /// Refuses a request whose tokens aren't available: as exhausted if the platform answers and
    /// the budget was read, else as the platform being unreachable.
    pub(super) fn refuse_insufficient(
        &self,
        request: request::Id,
        budget: &Arc<str>,
        actions: &mut Vec<Action>,
    ) {
        let was_read =
            self.accounts.get(budget).is_some_and(|account| account.pool.read_at.is_some());
        if self.backoff.is_failing() || !was_read {
            refuse(request, Reason::PlatformUnreachable, RETRY_UNREACHABLE, actions);
        } else {
            refuse(request, Reason::Exhausted, RETRY_EXHAUSTED, actions);
        }
    }

    /// Refuses reservations that have waited too long for tokens or for their journal entry.
    pub(super) fn expire(&mut self, now: Duration, actions: &mut Vec<Action>) {
        while let Some(&(deadline, request)) = self.deadlines.first()
            && deadline <= now
        {
            let Some(reservation) = self.remove_reservation(request) else {
                self.deadlines.remove(&(deadline, request));
                continue;
            };
            let budget = reservation.budget.clone();
            if let Stage::Waiting(key) = reservation.stage {
                if let Some(account) = self.accounts.get_mut(&budget) {
                    account.remove_waiting(key);
                }
                self.refuse_insufficient(request, &budget, actions);
                self.serve_waiting(now, &budget);
                continue;
            }
            self.journal.append(Entry::Release { request });
            self.finish_reservation(now, &reservation, reservation.tokens);
            refuse(request, Reason::Unreplicated, RETRY_ELSEWHERE, actions);
        }
    }
}
