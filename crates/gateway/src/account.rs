//! One workspace's prepaid tokens at this host.
//!
//! Two kinds of rows keep a budget: its sums over all hosts ([`Escrow`]) and each host's [`Stake`].
//! A transaction moves tokens from the budget to a host's stake before any request can use them, so
//! that the sum of all use never exceeds the prepaid amount, whatever fails.
//!
//! A stake is large, since hosts are served from it while the platform can't be reached. A process
//! that dies must not take it along, though. So each stake names a burst and a rate, and the process
//! uses no more than burst + rate x time since it wrote them, until so much time has passed that the
//! platform must be away: then it may use more, and some seconds later all of the stake. The next
//! process on the host takes over what that leaves at its own start, by the platform's clock; only
//! the rest is lost. A request that exceeds the burst waits for one transaction that raises it.
//!
//! Every transaction has the host's row as a condition and numbers it. One whose answer was lost is
//! sent again unchanged: it then commits, or the row that comes back tells whether it had been
//! committed before. Until that is known, the process keeps to the old bound and the new one.

mod allocation;
mod environment;
mod outcome;
mod plan;
mod rate;

use std::{sync::Arc, time::Duration};

use coordination::{
    escrow::{Escrow, escrow_key},
    table::{Row, Txn},
};

pub use self::{allocation::Allocation, environment::Environment};
use self::{allocation::Limit, rate::Rate};

/// Time over which the rate of use is averaged.
const RATE_WINDOW: Duration = Duration::from_secs(4);

/// Time over which the rate of use is averaged for what is kept ahead.
const SLOW_RATE_WINDOW: Duration = Duration::from_secs(12);

/// Weight of the newest request in the typical size of one.
const TYPICAL_WEIGHT: f64 = 0.2;

/// Time after which an answer of the budget's row is no proof any more of what is left.
const PROOF_AGE: Duration = Duration::from_millis(500);

/// Time of use that a host keeps when it gives tokens back for another one.
const CALLED_IN_KEEP: Duration = Duration::from_secs(1);

/// Prefix of the rows of stakes.
const STAKE_PREFIX: &str = "stake/";

/// Answer to a wish for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// The tokens are set aside.
    Reserved,
    /// A transaction may bring them; to be asked again once it has ended.
    Wait,
    /// The budget doesn't cover them, as its rows have just shown.
    Exhausted,
    /// The platform can't be reached, and this host may not use so many.
    Unavailable,
}

/// What an account does with the platform's table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Reads rows.
    Read(Vec<Arc<str>>),
    /// Commits a transaction.
    Commit(Txn),
}

/// How much a transaction would help, the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// The rows were just read, so that a transaction may succeed now.
    JustRead,
    /// A request waits, here or at another host.
    Requested,
    /// Nothing waits.
    None,
}

/// A transaction whose outcome isn't known.
#[derive(Debug, Clone)]
struct Pending {
    txn: Txn,
    sums: Option<Escrow>,
    stake: Allocation,
    limit: Limit,
    granting: u64,
    returning: u64,
}

/// Prepaid tokens of one workspace at this host.
#[derive(Debug)]
pub struct Account {
    workspace: Arc<str>,
    holder: Arc<str>,
    prepaid: u64,
    sums: Escrow,
    sums_row: Row,
    stake: Allocation,
    stake_row: Row,
    /// The rows have been read.
    known: bool,
    /// When the budget's row was seen last.
    seen: Option<Duration>,
    held: u64,
    /// Tokens beside the stake: those that others lent, and what requests left of theirs. No row
    /// promises them to the next process, so that no bound holds for them.
    loose: u64,
    reserved: u64,
    /// Tokens that this process used.
    used: u64,
    /// Bound by the row that stands; nothing may be used before there is one.
    limit: Option<Limit>,
    /// Most tokens that a request waits for.
    wanted: u64,
    /// Tokens that all waiting requests need together.
    queued: u64,
    pending: Option<Pending>,
    under_way: bool,
    failed: bool,
    next: Duration,
    /// Tokens used in each second, averaged over a short time.
    rate: Rate,
    /// The same over a long time.
    slow_rate: Rate,
    /// Size of a request, averaged.
    typical: f64,
    /// Another host lacks tokens.
    called_in: bool,
    /// The host leaves; it keeps nothing ahead.
    retiring: bool,
    /// The rows have just been read, by themselves or after a conflict.
    is_fresh: bool,
    closing: bool,
}

impl Account {
    /// Opens an account of a process on a host, of which nothing is known yet.
    pub fn new(workspace: Arc<str>, host: &str, holder: Arc<str>) -> Self {
        let row = |key| Row { key, value: None, revision: 0 };
        Self {
            sums_row: row(escrow_key(&workspace)),
            stake_row: row(Arc::from(format!("{STAKE_PREFIX}{workspace}/{host}"))),
            workspace,
            prepaid: 0,
            sums: Escrow::default(),
            stake: Allocation::default(),
            known: false,
            seen: None,
            held: 0,
            loose: 0,
            reserved: 0,
            used: 0,
            limit: None,
            wanted: 0,
            queued: 0,
            pending: None,
            under_way: false,
            failed: false,
            next: Duration::ZERO,
            rate: Rate::over(RATE_WINDOW),
            slow_rate: Rate::over(SLOW_RATE_WINDOW),
            typical: 0.0,
            holder,
            called_in: false,
            retiring: false,
            is_fresh: false,
            closing: false,
        }
    }

    /// Returns the tokens that are held and not set aside, and those set aside.
    pub fn balance(&self) -> (u64, u64) {
        (self.total(), self.reserved)
    }

    /// Returns what the budget's row showed as granted to no host.
    pub fn ungranted(&self) -> u64 {
        self.sums.remaining(self.prepaid)
    }

    /// Returns the age of what is known of the budget's row.
    pub fn escrow_age(&self, now: Duration) -> Option<Duration> {
        self.seen.map(|seen| now.saturating_sub(seen))
    }

    /// Takes the prepaid amount of the configuration in force.
    pub fn set_prepaid(&mut self, prepaid: u64) {
        if prepaid != self.prepaid {
            self.next = Duration::ZERO;
        }
        self.prepaid = prepaid;
    }

    /// Returns how much a transaction would help.
    pub fn urgency(&self) -> Urgency {
        match (self.is_fresh, self.wanted > 0 || self.called_in) {
            (true, _) => Urgency::JustRead,
            (false, true) => Urgency::Requested,
            (false, false) => Urgency::None,
        }
    }

    /// Gives back what is kept ahead, and goes on serving.
    pub fn stop_prefetching(&mut self) {
        self.retiring = true;
        self.next = Duration::ZERO;
    }

    /// Stops all use, as before the process ends.
    pub fn close(&mut self) {
        self.closing = true;
        self.next = Duration::ZERO;
    }

    /// Returns whether nothing is left to give back.
    pub fn is_closed(&self) -> bool {
        self.total() == 0 && self.pending.is_none()
    }

    /// Returns whether more is granted than the budget has, as after the prepaid amount was lowered.
    ///
    /// Nothing is used then until the hosts have given back what they keep ahead.
    fn is_overdrawn(&self) -> bool {
        self.sums.granted > self.prepaid + self.sums.returned + self.sums.refunded
    }

    /// Sets tokens aside for a request.
    ///
    /// While the platform is not reached no transaction can help.
    pub fn reserve(&mut self, now: Duration, tokens: u64, reached: bool) -> ReserveOutcome {
        self.record_request_size(tokens);
        if tokens <= self.available(now) {
            self.take(now, tokens);
            self.reserved += tokens;
            return ReserveOutcome::Reserved;
        }
        let left = self.total() + self.sums.remaining(self.prepaid);
        let proved = self.seen.is_some_and(|seen| now.saturating_sub(seen) < PROOF_AGE);
        if proved && self.known && left < tokens && self.pending.is_none() {
            return ReserveOutcome::Exhausted;
        }
        if self.failed || !reached {
            return ReserveOutcome::Unavailable;
        }
        self.wanted = self.wanted.max(tokens);
        ReserveOutcome::Wait
    }

    /// Notes the size of a request.
    pub fn record_request_size(&mut self, tokens: u64) {
        self.typical += (tokens as f64 - self.typical) * TYPICAL_WEIGHT;
    }

    /// Sets tokens aside for a request, as many of them as can be used now; returns how many.
    pub fn reserve_available(&mut self, now: Duration, tokens: u64) -> u64 {
        let tokens = self.lend(now, tokens);
        self.reserved += tokens;
        tokens
    }

    /// Notes a request that begins to wait for tokens.
    pub fn enqueue(&mut self, tokens: u64) {
        self.queued += tokens;
    }

    /// Notes that a request no longer waits.
    pub fn dequeue(&mut self, tokens: u64) {
        self.queued -= tokens;
    }

    /// Returns the tokens that a request could set aside now.
    pub fn available(&self, now: Duration) -> u64 {
        if self.is_overdrawn() || self.closing {
            return 0;
        }
        let Some(limit) = self.limit else { return self.loose };
        let pending = self.pending.as_ref().map(|pending| pending.limit);
        let allowed = pending.iter().chain([&limit]).map(|limit| limit.left(now));
        allowed.fold(self.held, u64::min) + self.loose
    }

    fn total(&self) -> u64 {
        self.held + self.loose
    }

    /// Gives tokens up to another host, at most as many as it asks for; returns how many.
    pub fn lend(&mut self, now: Duration, tokens: u64) -> u64 {
        let tokens = self.available(now).min(tokens);
        self.take(now, tokens);
        tokens
    }

    /// Gives tokens that were set aside up to another host.
    pub fn transfer_reserved(&mut self, tokens: u64) {
        self.reserved -= tokens;
    }

    /// Gives back to the budget what is not needed soon, as another host lacks tokens; returns how
    /// much is on its way there.
    pub fn recall(&mut self, now: Duration) -> u64 {
        let spare = self.total().saturating_sub(self.needed_soon(now));
        self.called_in = spare > 0;
        spare + self.pending.as_ref().map_or(0, |pending| pending.returning)
    }

    fn needed_soon(&self, now: Duration) -> u64 {
        (self.rate.at(now) * CALLED_IN_KEEP.as_secs_f64()) as u64
    }

    /// Forgets that the budget's row was seen, as after other hosts gave tokens back to it.
    pub fn forget_escrow(&mut self) {
        self.seen = None;
    }

    /// Takes tokens that another host gave up.
    pub fn add_borrowed(&mut self, tokens: u64) {
        self.loose += tokens;
    }

    /// Takes tokens out of what is held, under every bound that may be in force.
    fn take(&mut self, now: Duration, tokens: u64) {
        let loose = self.loose.min(tokens);
        self.loose -= loose;
        let tokens = tokens - loose;
        self.held -= tokens;
        self.used += tokens;
        self.rate.add(now, tokens);
        self.slow_rate.add(now, tokens);
        let pending = self.pending.as_mut().map(|pending| &mut pending.limit);
        for limit in self.limit.as_mut().into_iter().chain(pending) {
            limit.used += tokens;
        }
    }

    /// Notes what a request used of the tokens that were set aside for it.
    pub fn settle(&mut self, reserved: u64, used: u64) {
        self.reserved -= reserved;
        self.loose += reserved.saturating_sub(used);
    }
}
