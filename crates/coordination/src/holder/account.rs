//! One budget at one holder.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{
    event::Reserve,
    policy::{Pool, Use},
};
use crate::{
    escrow::Grant,
    record::Ledger,
    request::{self, Class},
};

/// A reservation that waits for tokens, by class and then by arrival.
pub(super) type Turn = (Class, u64);

/// What a budget's record says that a holder needs.
#[derive(Debug, Clone, Copy)]
pub(super) struct Terms {
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
    pub terms: Option<Terms>,
    /// The grant row as last seen.
    pub row: Grant,
    /// Tokens that may be reserved.
    pub available: u64,
    /// Tokens set aside for requests.
    pub reserved: u64,
    /// Tokens taken out of `available` by a return that isn't known to be committed.
    pub returning: u64,
    /// Holdings after the table last added to them or took from them.
    pub level: u64,
    /// Tokens that may be used without a copy of the journal; see [`super::allowance`].
    pub allowance: u64,
    /// Tokens that the journal shows as set aside for that.
    pub aside: u64,
    /// The journal names the budget in a durable entry.
    pub announced: bool,
    /// The entry that names the budget was appended.
    pub announcing: bool,
    /// Reservations that wait for tokens.
    pub waiting: BTreeMap<Turn, Waiting>,
    /// Tokens wanted by them.
    pub wanted: u64,
    /// Use of the budget at this process.
    pub used: Use,
    /// Use of the budget by urgent requests.
    pub used_urgently: Use,
    /// Tokens that urgent requests are likely to need before more can be had; `None` until use was
    /// watched long enough.
    pub urgent_need: Option<u64>,
    /// What the table last showed of the budget as a whole.
    pub pool: Pool,
    /// Holdings below which more are asked for.
    pub low_water: u64,
    /// A later check of the holdings is planned.
    pub checked: bool,
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
        let floor = self.terms.map_or(0, |terms| terms.urgent_floor);
        let unlearned = floor.min(self.level / FLOOR_SHARE);
        match self.urgent_need {
            None => unlearned,
            Some(need) => need.max(unlearned / LEARNED_SHARE),
        }
    }

    /// Returns whether a reservation fits what is available to its class.
    pub fn fits(&self, class: Class, tokens: u64) -> bool {
        tokens <= self.spare(class)
    }

    /// Returns the tokens available to a class.
    pub fn spare(&self, class: Class) -> u64 {
        match class {
            Class::Urgent => self.available,
            Class::Normal | Class::Long => self.available.saturating_sub(self.floor()),
        }
    }

    /// Counts tokens as used; below zero for those that turned out not to be.
    pub fn count(&mut self, now: Duration, class: Class, tokens: f64) {
        self.used.add(now, tokens);
        if class == Class::Urgent {
            self.used_urgently.add(now, tokens);
        }
    }

    /// Notes that the table added to the holdings, or took from them.
    pub fn relevel(&mut self) {
        self.level = self.available + self.reserved;
    }

    /// Gives up and returns the requests that wait for more than the whole budget has.
    pub fn unpayable(&mut self) -> Vec<request::Id> {
        let large = |(turn, waiting): (&Turn, &Waiting)| {
            self.can_never_pay(waiting.reserve.tokens).then_some(*turn)
        };
        let turns: Vec<Turn> = self.waiting.iter().filter_map(large).collect();
        let given_up = turns.into_iter().filter_map(|turn| self.give_up(turn));
        given_up.map(|waiting| waiting.reserve.request).collect()
    }

    /// Returns whether the whole budget had fewer tokens when the table was last read.
    pub fn can_never_pay(&self, tokens: u64) -> bool {
        self.pool.at.is_some() && tokens > self.pool.unspent
    }

    /// Returns the most urgent class that waits.
    pub fn waiting_class(&self) -> Option<Class> {
        self.waiting.keys().next().map(|turn| turn.0)
    }

    /// Returns the tokens that are missing for those that wait.
    pub fn missing(&self) -> u64 {
        if self.waiting.is_empty() {
            return 0;
        }
        let floor = match self.waiting.keys().next_back() {
            Some((Class::Urgent, _)) | None => 0,
            Some(_) => self.floor(),
        };
        (self.wanted + floor).saturating_sub(self.available)
    }

    /// Returns the tokens that are missing for the urgent ones among those that wait.
    pub fn missing_urgently(&self) -> u64 {
        let urgent = self.waiting.range(..(Class::Normal, 0));
        let wanted: u64 = urgent.map(|(_, waiting)| waiting.reserve.tokens).sum();
        wanted.saturating_sub(self.available)
    }

    /// Returns the least urgent class that waits.
    pub fn patient_class(&self) -> Option<Class> {
        self.waiting.keys().next_back().map(|turn| turn.0)
    }

    /// Returns the next waiting reservation that fits, most urgent and oldest first.
    pub fn next_fitting(&mut self) -> Option<Reserve> {
        let fits = |(turn, waiting): (&Turn, &Waiting)| {
            self.fits(turn.0, waiting.reserve.tokens).then_some(*turn)
        };
        let turn = self.waiting.iter().find_map(fits)?;
        self.give_up(turn).map(|waiting| waiting.reserve)
    }

    /// Takes a reservation out of those that wait.
    pub fn give_up(&mut self, turn: Turn) -> Option<Waiting> {
        let waiting = self.waiting.remove(&turn)?;
        self.wanted -= waiting.reserve.tokens;
        Some(waiting)
    }
}

/// Part of the holdings that the urgent floor takes at most, as a divisor.
const FLOOR_SHARE: u64 = 2;

/// Part of that floor that is left where no urgent request was seen, as a divisor.
const LEARNED_SHARE: u64 = 16;

/// Where a reservation stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// Waits for tokens.
    Waiting(Turn),
    /// Waits for the journal; holds the number of its entry.
    Copying(u64),
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
    pub covered: bool,
}
