//! One budget at one holder.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{
    event::Reserve,
    policy::{Pool, UsageRate},
};
use crate::{
    escrow::Grant,
    record::Ledger,
    request::{self, Class},
};

/// A reservation that waits for tokens, by class and then by arrival.
pub(super) type WaitKey = (Class, u64);

/// What a budget's record says that a holder needs.
#[derive(Debug, Clone, Copy)]
pub(super) struct BudgetConfig {
    /// Tokens that only urgent requests may use.
    pub urgent_floor: u64,
    /// Format of the ledger entries.
    pub ledger: Ledger,
}

/// What this process holds of a budget.
///
/// Tokens granted or received are available, reserved, settled but not yet in the ledger, or on
/// their way back to the table.
#[derive(Debug, Default)]
pub(super) struct Account {
    /// What the operators' record says; `None` where it was deleted.
    pub config: Option<BudgetConfig>,
    /// The grant row as last seen.
    pub row: Grant,
    /// Tokens that may be reserved.
    pub available: u64,
    /// Tokens set aside for requests.
    pub reserved: u64,
    /// Tokens taken out of `available` by a return that isn't known to be committed.
    pub returning: u64,
    /// Holdings after the table last added to them or took from them.
    pub synced_holdings: u64,
    /// Tokens that may be used without a copy of the journal; see [`super::allowance`].
    pub allowance: u64,
    /// Tokens that the journal shows as set aside for that.
    pub journaled_allowance: u64,
    /// The journal names the budget in a durable entry.
    pub journaled: bool,
    /// The entry that names the budget was appended.
    pub journaling: bool,
    /// Reservations that wait for tokens.
    pub waiting: BTreeMap<WaitKey, Waiting>,
    /// Tokens wanted by them.
    pub waiting_tokens: u64,
    /// Use of the budget at this process.
    pub usage: UsageRate,
    /// Use of the budget by urgent requests.
    pub urgent_usage: UsageRate,
    /// Tokens that urgent requests are likely to need before more can be had; `None` until use was
    /// watched long enough.
    pub urgent_need: Option<u64>,
    /// What the table last showed of the budget as a whole.
    pub pool: Pool,
    /// Holdings below which more are asked for.
    pub low_water: u64,
    /// A later check of the holdings is planned.
    pub check_scheduled: bool,
    /// Peer to be asked next for tokens.
    pub next_peer: usize,
}

/// A reservation that waits for tokens.
#[derive(Debug)]
pub(super) struct Waiting {
    pub reserve: Reserve,
}

impl Account {
    /// Returns the tokens that only urgent requests may reserve.
    pub fn floor(&self) -> u64 {
        let floor = self.config.map_or(0, |terms| terms.urgent_floor);
        let unlearned = floor.min(self.synced_holdings / FLOOR_DIVISOR);
        match self.urgent_need {
            None => unlearned,
            Some(need) => need.max(unlearned / MIN_FLOOR_DIVISOR),
        }
    }

    /// Returns whether a reservation fits what is available to its class.
    pub fn fits(&self, class: Class, tokens: u64) -> bool {
        tokens <= self.available_to(class)
    }

    /// Returns the tokens available to a class.
    pub fn available_to(&self, class: Class) -> u64 {
        match class {
            Class::Urgent => self.available,
            Class::Normal | Class::Long => self.available.saturating_sub(self.floor()),
        }
    }

    /// Counts tokens as used; below zero for those that turned out not to be.
    pub fn record_usage(&mut self, now: Duration, class: Class, tokens: f64) {
        self.usage.add(now, tokens);
        if class == Class::Urgent {
            self.urgent_usage.add(now, tokens);
        }
    }

    /// Notes that the table added to the holdings, or took from them.
    pub fn mark_synced(&mut self) {
        self.synced_holdings = self.available + self.reserved;
    }

    /// Gives up and returns the requests that wait for more than the whole budget has.
    pub fn remove_unaffordable(&mut self) -> Vec<request::Id> {
        let large = |(turn, waiting): (&WaitKey, &Waiting)| {
            self.is_unaffordable(waiting.reserve.tokens).then_some(*turn)
        };
        let turns: Vec<WaitKey> = self.waiting.iter().filter_map(large).collect();
        let given_up = turns.into_iter().filter_map(|turn| self.remove_waiting(turn));
        given_up.map(|waiting| waiting.reserve.request).collect()
    }

    /// Returns whether the whole budget had fewer tokens when the table was last read.
    pub fn is_unaffordable(&self, tokens: u64) -> bool {
        self.pool.at.is_some() && tokens > self.pool.unspent
    }

    /// Returns the most urgent class that waits.
    pub fn most_urgent_waiting(&self) -> Option<Class> {
        self.waiting.keys().next().map(|turn| turn.0)
    }

    /// Returns the tokens that are missing for those that wait.
    pub fn shortfall(&self) -> u64 {
        if self.waiting.is_empty() {
            return 0;
        }
        let floor = match self.waiting.keys().next_back() {
            Some((Class::Urgent, _)) | None => 0,
            Some(_) => self.floor(),
        };
        (self.waiting_tokens + floor).saturating_sub(self.available)
    }

    /// Returns the tokens that are missing for the urgent ones among those that wait.
    pub fn urgent_shortfall(&self) -> u64 {
        let urgent = self.waiting.range(..(Class::Normal, 0));
        let wanted: u64 = urgent.map(|(_, waiting)| waiting.reserve.tokens).sum();
        wanted.saturating_sub(self.available)
    }

    /// Returns the least urgent class that waits.
    pub fn least_urgent_waiting(&self) -> Option<Class> {
        self.waiting.keys().next_back().map(|turn| turn.0)
    }

    /// Returns the next waiting reservation that fits, most urgent and oldest first.
    pub fn next_fitting(&mut self) -> Option<Reserve> {
        let fits = |(turn, waiting): (&WaitKey, &Waiting)| {
            self.fits(turn.0, waiting.reserve.tokens).then_some(*turn)
        };
        let turn = self.waiting.iter().find_map(fits)?;
        self.remove_waiting(turn).map(|waiting| waiting.reserve)
    }

    /// Takes a reservation out of those that wait.
    pub fn remove_waiting(&mut self, turn: WaitKey) -> Option<Waiting> {
        let waiting = self.waiting.remove(&turn)?;
        self.waiting_tokens -= waiting.reserve.tokens;
        Some(waiting)
    }
}

/// Part of the holdings that the urgent floor takes at most, as a divisor.
const FLOOR_DIVISOR: u64 = 2;

/// Part of that floor that is left where no urgent request was seen, as a divisor.
const MIN_FLOOR_DIVISOR: u64 = 16;

/// Where a reservation stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// Waits for tokens.
    Waiting(WaitKey),
    /// Waits for the journal; holds the number of its entry.
    Journaling(u64),
    /// May be dispatched.
    Open,
}

/// A request that has tokens or waits for them.
#[derive(Debug)]
pub(super) struct Reservation {
    pub budget: Arc<str>,
    pub tokens: u64,
    pub class: Class,
    pub stage: Stage,
    pub deadline: Duration,
    /// Its tokens were taken from the allowance.
    pub from_allowance: bool,
}
