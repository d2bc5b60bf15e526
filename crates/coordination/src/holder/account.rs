//! Tokens and reservations of one budget at one holder.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{
    event::Reserve,
    policy::{Pool, UsageRate},
};
use crate::{
    escrow::Grant,
    record::LedgerFormat,
    request::{self, Class},
};

/// Order of waiting reservations: by class, then by sequence number.
pub(super) type WaitKey = (Class, u64);

/// Settings of a budget's record that a holder uses.
#[derive(Debug, Clone, Copy)]
pub(super) struct BudgetConfig {
    /// Tokens kept for urgent requests.
    pub urgent_floor: u64,
    /// Format of the ledger entries.
    pub ledger: LedgerFormat,
}

/// Tokens of a budget that this process holds.
///
/// Each token that was granted or received is available, reserved, settled but not yet in the
/// ledger, or being returned to the table.
#[derive(Debug, Default)]
pub(super) struct Account {
    /// Settings of the operators' record; `None` if it was deleted.
    pub config: Option<BudgetConfig>,
    /// The grant row as last seen.
    pub row: Grant,
    /// Tokens that may be reserved.
    pub available: u64,
    /// Tokens reserved for requests.
    pub reserved: u64,
    /// Tokens taken out of `available` for a return that isn't known to be committed.
    pub returning: u64,
    /// Available and reserved tokens after the last grant or return.
    pub synced_holdings: u64,
    /// Tokens that may still be used without a replica of the journal; see [`super::allowance`].
    pub allowance: u64,
    /// Tokens that the journal has as debits for the allowance.
    pub journaled_allowance: u64,
    /// A durable journal entry names the budget.
    pub journaled: bool,
    /// The entry that names the budget was appended.
    pub journaling: bool,
    /// Reservations that wait for tokens.
    pub waiting: BTreeMap<WaitKey, Waiting>,
    /// Sum of the tokens of the waiting reservations.
    pub waiting_tokens: u64,
    /// Usage of the budget at this process.
    pub usage: UsageRate,
    /// Usage of the budget by urgent requests.
    pub urgent_usage: UsageRate,
    /// Estimated tokens that urgent requests need before more can be granted; `None` until usage
    /// was observed for long enough.
    pub urgent_need: Option<u64>,
    /// Figures of the whole budget, as last read from the table.
    pub pool: Pool,
    /// Available tokens below which the budget is enqueued for a round.
    pub low_water: u64,
    /// Periodic checks of the holdings are scheduled.
    pub check_scheduled: bool,
    /// Index of the next peer to ask for tokens.
    pub next_peer: usize,
}

/// A reservation that waits for tokens.
#[derive(Debug)]
pub(super) struct Waiting {
    pub reserve: Reserve,
}

impl Account {
    /// Returns the tokens that only urgent requests may reserve.
    ///
    /// Until the need of urgent requests is known, this is the configured floor, but at most a part
    /// of the holdings; after that it is the need, but at least a small part of that floor.
    pub fn floor(&self) -> u64 {
        let floor = self.config.map_or(0, |config| config.urgent_floor);
        let default = floor.min(self.synced_holdings / FLOOR_DIVISOR);
        match self.urgent_need {
            None => default,
            Some(need) => need.max(default / MIN_FLOOR_DIVISOR),
        }
    }

    /// Returns whether enough tokens are available to a class.
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

    /// Adds to the usage of a class; a negative number corrects for tokens that were not used.
    pub fn record_usage(&mut self, now: Duration, class: Class, tokens: f64) {
        self.usage.add(now, tokens);
        if class == Class::Urgent {
            self.urgent_usage.add(now, tokens);
        }
    }

    /// Records the holdings after a grant or a return.
    pub fn mark_synced(&mut self) {
        self.synced_holdings = self.available + self.reserved;
    }

    /// Removes the waiting reservations that exceed what is left of the whole budget, and returns
    /// their requests.
    pub fn remove_unaffordable(&mut self) -> Vec<request::Id> {
        let unaffordable = |(key, waiting): (&WaitKey, &Waiting)| {
            self.is_unaffordable(waiting.reserve.tokens).then_some(*key)
        };
        let keys: Vec<WaitKey> = self.waiting.iter().filter_map(unaffordable).collect();
        let removed = keys.into_iter().filter_map(|key| self.remove_waiting(key));
        removed.map(|waiting| waiting.reserve.request).collect()
    }

    /// Returns whether the whole budget had fewer unspent tokens than these when it was last read
    /// from the table.
    pub fn is_unaffordable(&self, tokens: u64) -> bool {
        self.pool.read_at.is_some() && tokens > self.pool.unspent
    }

    /// Returns the most urgent class of the waiting reservations.
    pub fn most_urgent_waiting(&self) -> Option<Class> {
        self.waiting.keys().next().map(|key| key.0)
    }

    /// Returns the tokens that the waiting reservations need beyond those available. Counts the
    /// urgent floor as needed where some of them may not use it.
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

    /// Returns the tokens that the urgent ones among the waiting reservations need beyond those
    /// available.
    pub fn urgent_shortfall(&self) -> u64 {
        let urgent = self.waiting.range(..(Class::Normal, 0));
        let wanted: u64 = urgent.map(|(_, waiting)| waiting.reserve.tokens).sum();
        wanted.saturating_sub(self.available)
    }

    /// Returns the least urgent class of the waiting reservations.
    pub fn least_urgent_waiting(&self) -> Option<Class> {
        self.waiting.keys().next_back().map(|key| key.0)
    }

    /// Removes and returns the first waiting reservation that fits, most urgent and oldest first.
    pub fn next_fitting(&mut self) -> Option<Reserve> {
        let fits = |(key, waiting): (&WaitKey, &Waiting)| {
            self.fits(key.0, waiting.reserve.tokens).then_some(*key)
        };
        let key = self.waiting.iter().find_map(fits)?;
        self.remove_waiting(key).map(|waiting| waiting.reserve)
    }

    /// Removes a waiting reservation.
    pub fn remove_waiting(&mut self, key: WaitKey) -> Option<Waiting> {
        let waiting = self.waiting.remove(&key)?;
        self.waiting_tokens -= waiting.reserve.tokens;
        Some(waiting)
    }
}

/// Divisor of the holdings that gives the most that the urgent floor takes of them.
const FLOOR_DIVISOR: u64 = 2;

/// Divisor of the default floor that gives the least floor, where urgent requests need little or
/// none.
const MIN_FLOOR_DIVISOR: u64 = 16;

/// Progress of a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// Waits for tokens.
    Waiting(WaitKey),
    /// Waits until its journal entry, which has this number, is durable.
    Journaling(u64),
    /// May be dispatched.
    Open,
}

/// Reservation of a request, which has tokens or waits for them.
#[derive(Debug)]
pub(super) struct Reservation {
    pub budget: Arc<str>,
    pub tokens: u64,
    pub class: Class,
    pub stage: Stage,
    pub deadline: Duration,
    /// Its tokens come from the allowance, without a replica of its journal entry.
    pub from_allowance: bool,
}
