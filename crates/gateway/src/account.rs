//! One workspace's prepaid tokens at this host.
//!
//! Two kinds of rows record a budget: its totals over all hosts ([`Budget`]) and each host's
//! [`Allocation`]. A transaction moves tokens from the budget to a host's allocation before any
//! request can use them, so that total use never exceeds the prepaid amount, whatever fails.
//!
//! An allocation is large, since the host serves from it while the platform is unreachable. It must
//! not be lost when the process dies, though. So each allocation records a burst and a rate, and
//! the process uses no more than burst + rate x time since it wrote them, until so much time has
//! passed that the platform must be unreachable: then the rate is relaxed, and some seconds later
//! the whole allocation may be used. The next process on the host takes over what these limits left
//! unused at its own start, by the platform's clock; only the rest is lost. A request that exceeds
//! the burst waits for one transaction that raises it.
//!
//! The limit also pauses if the row isn't renewed in time, until other hosts, the witnesses, have
//! noted that the process goes on. So the next process claims what the one before could have used
//! only with such a note, and gets it as soon as a witness tells that there is none.
//!
//! Every transaction has the host's row as a condition and increments the number in it. A
//! transaction whose answer was lost is sent again unchanged: it then commits, or the row that
//! comes back tells whether it had been committed before. Until that is known, the process keeps to
//! both the old limit and the new one.
//!
//! If the table is restored from an older copy, which begins a new era, the process goes on with
//! what it holds and writes its allocation again. A returning transaction without a known outcome
//! counts as committed then, a granting one only if the copy shows it. Rows of a process that died
//! in an earlier era prove nothing, so that its tokens are lost. [`Budget`] tells what is withheld.

mod allocation;
mod budget;
mod environment;
mod extension;
mod outcome;
mod plan;
mod rate;
mod turnover;

use std::{sync::Arc, time::Duration};

use coordination::{
    escrow::escrow_key,
    table::{Row, Txn},
};

use self::{allocation::SpendLimit, budget::marker_key, rate::Rate};
pub use self::{
    allocation::{Allocation, Relaxed},
    budget::{Budget, COPY_MAX_AGE, Ceiling, Marker},
    environment::{Environment, Loss},
    extension::{Claim, ExtensionRequest},
    turnover::{ByProgress, Progress, Turnover},
};

/// Window over which the rate of use is averaged.
const RATE_WINDOW: Duration = Duration::from_secs(4);

/// Window over which the rate of use is averaged to size the prefetched tokens.
const SLOW_RATE_WINDOW: Duration = Duration::from_secs(12);

/// Weight of the newest request in the moving average of request sizes.
const REQUEST_SIZE_WEIGHT: f64 = 0.2;

/// Age up to which the budget's row, as last read, proves that the budget is exhausted.
const EXHAUSTION_PROOF_MAX_AGE: Duration = Duration::from_millis(500);

/// Time at the recent rate whose tokens a host keeps when another host recalls the rest.
const RECALL_RESERVE: Duration = Duration::from_secs(1);

/// Time without use after which a host that isn't a lender gives back what requests left over.
const LEFTOVER_DELAY: Duration = Duration::from_millis(200);

/// Longest time for which a request waits for the limit on use to allow its tokens.
const MAX_LIMIT_WAIT: Duration = Duration::from_millis(600);

/// Precision of that time.
const LIMIT_WAIT_STEP: Duration = Duration::from_millis(20);

/// Prefix of the rows of allocations.
const ALLOCATION_PREFIX: &str = "stake/";

/// Result of an attempt to reserve tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReserveResult {
    /// The tokens are reserved.
    Reserved,
    /// A transaction may provide them; try again once it has ended.
    Wait,
    /// The platform is unreachable, and the limit on use allows them after this time.
    WaitFor(Duration),
    /// The budget doesn't cover them, as its recently read rows prove.
    Exhausted,
    /// The platform is unreachable, and this host may not use so many tokens.
    Unavailable,
}

/// Next request of an account to the platform's table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Reads rows.
    Read(Vec<Arc<str>>),
    /// Commits a transaction.
    Commit(Txn),
}

/// How urgently an account needs a transaction, the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// The rows were just read, so that a transaction is likely to succeed now.
    JustRead,
    /// A request waits for tokens, at this host or another one.
    Requested,
    /// No request waits.
    None,
}

/// A transaction whose outcome isn't known.
#[derive(Debug, Clone)]
struct Pending {
    txn: Txn,
    /// The budget's row as the transaction writes it.
    budget: Option<Budget>,
    marker: Option<Marker>,
    allocation: Allocation,
    limit: SpendLimit,
    granting: u64,
    returning: u64,
}

/// Prepaid tokens of one workspace at this host.
#[derive(Debug)]
pub struct Account {
    workspace: Arc<str>,
    holder: Arc<str>,
    prepaid: u64,
    budget: Budget,
    escrow_row: Row,
    /// Next ceiling of the budget as last seen, and the time from which it may be used.
    next_ceiling: Option<u64>,
    ceiling_mature_at: Duration,
    marker: Option<Marker>,
    marker_row: Row,
    allocation: Allocation,
    allocation_row: Row,
    /// The rows have been read.
    is_loaded: bool,
    /// When the rows were first read in this era.
    loaded_at: Option<Duration>,
    /// When the budget's row was last read or written.
    escrow_seen_at: Option<Duration>,
    held: u64,
    /// Tokens outside the allocation: borrowed ones, and what requests left of their reservations.
    /// No row promises them to the next process, so that no limit applies to them.
    unallocated: u64,
    reserved: ByProgress,
    turnover: Turnover,
    /// Tokens that this process has taken from its allocation.
    used: u64,
    /// Limit in the row that this process wrote last; no allocated token may be used before there
    /// is one.
    limit: Option<SpendLimit>,
    /// Tokens that the largest waiting request needs.
    largest_request: u64,
    /// Tokens that all waiting requests need together.
    queued: u64,
    pending: Option<Pending>,
    in_flight: bool,
    last_step_failed: bool,
    next_step_at: Duration,
    /// Tokens used per second, averaged over a short window.
    rate: Rate,
    /// Tokens used per second, averaged over a long window.
    slow_rate: Rate,
    /// Time that the last transaction took.
    transaction_time: Duration,
    /// When tokens were last used.
    used_at: Duration,
    /// Hosts that note it if this process can't renew its row.
    witnesses: Arc<[Arc<str>]>,
    /// When they were last asked.
    extension_asked_at: Option<Duration>,
    /// What this process claims of the one before.
    claim: Option<Claim>,
    /// Moving average of request sizes in tokens.
    mean_request: f64,
    /// Another host lacks tokens.
    recalled: bool,
    /// The host is draining and no longer prefetches.
    prefetch_stopped: bool,
    /// The rows have just been read, by a read or from a conflict.
    just_read: bool,
    closing: bool,
    /// Era of the table in which the rows were read.
    era: Option<u64>,
    /// What was read of the rows in an earlier era has still to be written again in this one.
    is_restoring: bool,
    /// The budget's row is still as the table was restored.
    is_budget_restored: bool,
}

impl Account {
    /// Creates the account of a process on a host; its rows haven't been read yet.
    pub fn new(workspace: Arc<str>, host: &str, holder: Arc<str>) -> Self {
        let row = |key| Row { key, value: None, revision: 0 };
        Self {
            escrow_row: row(escrow_key(&workspace)),
            allocation_row: row(Arc::from(format!("{ALLOCATION_PREFIX}{workspace}/{host}"))),
            prepaid: 0,
            budget: Budget::default(),
            next_ceiling: None,
            ceiling_mature_at: Duration::MAX,
            marker: None,
            marker_row: row(marker_key(&workspace)),
            workspace,
            allocation: Allocation::default(),
            is_loaded: false,
            loaded_at: None,
            escrow_seen_at: None,
            held: 0,
            unallocated: 0,
            reserved: ByProgress::default(),
            turnover: Turnover::default(),
            used: 0,
            limit: None,
            largest_request: 0,
            queued: 0,
            pending: None,
            in_flight: false,
            last_step_failed: false,
            next_step_at: Duration::ZERO,
            rate: Rate::over(RATE_WINDOW),
            slow_rate: Rate::over(SLOW_RATE_WINDOW),
            transaction_time: Duration::ZERO,
            used_at: Duration::ZERO,
            witnesses: Arc::default(),
            extension_asked_at: None,
            claim: None,
            mean_request: 0.0,
            holder,
            recalled: false,
            prefetch_stopped: false,
            just_read: false,
            closing: false,
            era: None,
            is_restoring: false,
            is_budget_restored: false,
        }
    }

    /// Returns the tokens that are held and not reserved, and those that are reserved.
    pub fn balance(&self) -> (u64, u64) {
        (self.total(), self.reserved.total())
    }

    /// Returns the tokens that are reserved, and all that this process got and gave.
    pub fn turnover(&self) -> (ByProgress, Turnover) {
        (self.reserved, self.turnover)
    }

    /// Returns the tokens of the budget that are granted to no host, by the row as last seen.
    pub fn ungranted(&self) -> u64 {
        self.budget.remaining(self.prepaid)
    }

    /// Returns the tokens that may be granted now.
    fn grantable(&self, now: Duration) -> u64 {
        if self.is_budget_restored {
            // The next transaction withholds what may have been granted, and grants nothing.
            return 0;
        }
        self.budget.grantable(self.prepaid, now >= self.ceiling_mature_at)
    }

    /// Returns the tokens that may have been granted before the table was restored.
    pub fn withheld(&self) -> u64 {
        self.budget.withheld
    }

    /// Returns the time since the budget's row was last seen.
    pub fn escrow_age(&self, now: Duration) -> Option<Duration> {
        self.escrow_seen_at.map(|seen| now.saturating_sub(seen))
    }

    /// Sets the prepaid amount by the configuration in force.
    pub fn set_prepaid(&mut self, prepaid: u64) {
        if prepaid != self.prepaid {
            self.next_step_at = Duration::ZERO;
        }
        self.prepaid = prepaid;
    }

    /// Returns how urgently the account needs a transaction.
    pub fn urgency(&self) -> Urgency {
        match (self.just_read, self.largest_request > 0 || self.recalled) {
            (true, _) => Urgency::JustRead,
            (false, true) => Urgency::Requested,
            (false, false) => Urgency::None,
        }
    }

    /// Returns the prefetched tokens to the budget and goes on serving.
    pub fn stop_prefetching(&mut self) {
        self.prefetch_stopped = true;
        self.next_step_at = Duration::ZERO;
    }

    /// Stops all use and returns what is held, as before the process ends.
    pub fn close(&mut self) {
        self.closing = true;
        self.next_step_at = Duration::ZERO;
    }

    /// Returns whether nothing is left to return to the budget.
    pub fn is_closed(&self) -> bool {
        self.total() == 0 && self.pending.is_none()
    }

    /// Returns whether more is granted than the budget has, as after the prepaid amount was
    /// lowered.
    ///
    /// Nothing is used then until the hosts have returned their prefetched tokens.
    fn is_overdrawn(&self) -> bool {
        let totals = &self.budget.totals;
        totals.granted > self.prepaid + totals.returned + totals.refunded
    }

    /// Reserves tokens for a request.
    ///
    /// While the platform is unreachable no transaction can help.
    pub fn reserve(&mut self, now: Duration, tokens: u64, reachable: bool) -> ReserveResult {
        self.record_request_size(tokens);
        if tokens <= self.available(now) {
            self.deduct(now, tokens);
            self.reserved.unsent += tokens;
            return ReserveResult::Reserved;
        }
        let max_available = self.total() + self.ungranted();
        let is_recent = self
            .escrow_seen_at
            .is_some_and(|seen| now.saturating_sub(seen) < EXHAUSTION_PROOF_MAX_AGE);
        if is_recent && self.is_loaded && max_available < tokens && self.pending.is_none() {
            return ReserveResult::Exhausted;
        }
        let max_granted = self.total() + self.grantable(now);
        if is_recent && self.is_loaded && max_granted < tokens && self.pending.is_none() {
            // The ceiling of the budget doesn't allow the grant yet.
            return ReserveResult::Unavailable;
        }
        if self.last_step_failed || !reachable {
            return self
                .time_until_available(now, tokens)
                .map_or(ReserveResult::Unavailable, ReserveResult::WaitFor);
        }
        self.largest_request = self.largest_request.max(tokens);
        ReserveResult::Wait
    }

    /// Adds the size of a request to the moving average.
    pub fn record_request_size(&mut self, tokens: u64) {
        self.mean_request += (tokens as f64 - self.mean_request) * REQUEST_SIZE_WEIGHT;
    }

    /// Reserves as many of a request's tokens as can be used now; returns how many.
    pub fn reserve_available(&mut self, now: Duration, tokens: u64) -> u64 {
        let tokens = self.available(now).min(tokens);
        self.deduct(now, tokens);
        self.reserved.unsent += tokens;
        tokens
    }

    /// Counts the tokens of a request that begins to wait.
    pub fn enqueue(&mut self, tokens: u64) {
        self.queued += tokens;
    }

    /// Removes the tokens of a request that no longer waits.
    pub fn dequeue(&mut self, tokens: u64) {
        self.queued -= tokens;
    }

    /// Returns the tokens that a request could reserve now.
    pub fn available(&self, now: Duration) -> u64 {
        if self.is_overdrawn() || self.closing {
            return 0;
        }
        let Some(limit) = self.limit else { return self.unallocated };
        let pending = self.pending.as_ref().map(|pending| pending.limit);
        let allowed = pending.iter().chain([&limit]).map(|limit| limit.available(now));
        allowed.fold(self.held, u64::min) + self.unallocated
    }

    /// Returns the time until a request could reserve tokens that are held, if nothing else is used
    /// meanwhile; `None` if that takes longer than [`MAX_LIMIT_WAIT`].
    fn time_until_available(&self, now: Duration, tokens: u64) -> Option<Duration> {
        if tokens > self.total() {
            return None;
        }
        let steps = (1..).map(|number| LIMIT_WAIT_STEP * number);
        let mut times = steps.take_while(|time| *time <= MAX_LIMIT_WAIT);
        times.find(|time| self.available(now + *time) >= tokens)
    }

    fn total(&self) -> u64 {
        self.held + self.unallocated
    }

    /// Gives tokens to another host, at most as many as it asks for; returns how many.
    pub fn lend(&mut self, now: Duration, tokens: u64) -> u64 {
        let tokens = self.available(now).min(tokens);
        self.deduct(now, tokens);
        self.turnover.lent += tokens;
        tokens
    }

    /// Takes out what requests left over at a host that isn't a lender, to give it to one: left
    /// here, it would be out of reach of requests that come to other hosts.
    pub fn take_leftover(&mut self, now: Duration) -> u64 {
        let is_in_use = self.queued > 0 || now.saturating_sub(self.used_at) < LEFTOVER_DELAY;
        if is_in_use || self.pending.is_some() || self.total() == 0 {
            return 0;
        }
        let tokens = self.available(now);
        self.take(tokens);
        self.turnover.lent += tokens;
        tokens
    }

    /// Gives reserved tokens to another host.
    pub fn transfer_reserved(&mut self, tokens: u64) {
        self.reserved.unsent -= tokens;
        self.turnover.lent += tokens;
    }

    /// Notes how far the request has come that reserved these tokens.
    pub fn note_progress(&mut self, reserved: u64, from: Progress, to: Progress) {
        *self.reserved.get_mut(from) -= reserved;
        *self.reserved.get_mut(to) += reserved;
    }

    /// Returns to the budget what is not needed soon, since another host lacks tokens; returns how
    /// many tokens are on their way to the budget.
    pub fn recall(&mut self, now: Duration) -> u64 {
        let spare = self.total().saturating_sub(self.needed_soon(now));
        self.recalled = spare > 0;
        spare + self.pending.as_ref().map_or(0, |pending| pending.returning)
    }

    fn needed_soon(&self, now: Duration) -> u64 {
        (self.rate.at(now) * RECALL_RESERVE.as_secs_f64()) as u64
    }

    /// Forgets that the budget's row was seen, as after other hosts returned tokens to it.
    pub fn forget_escrow(&mut self) {
        self.escrow_seen_at = None;
    }

    /// Adds tokens that another host lent.
    pub fn add_borrowed(&mut self, tokens: u64) {
        self.unallocated += tokens;
        self.turnover.borrowed += tokens;
    }

    /// Deducts tokens from what is held and counts them against every limit that may be in force.
    fn deduct(&mut self, now: Duration, tokens: u64) {
        let allocated = self.take(tokens);
        self.used += allocated;
        self.used_at = now;
        self.rate.add(now, allocated);
        self.slow_rate.add(now, allocated);
    }

    /// Takes tokens out of what is held; returns how many came from the allocation.
    fn take(&mut self, tokens: u64) -> u64 {
        let unallocated = self.unallocated.min(tokens);
        self.unallocated -= unallocated;
        let tokens = tokens - unallocated;
        self.held -= tokens;
        let pending = self.pending.as_mut().map(|pending| &mut pending.limit);
        for limit in self.limit.as_mut().into_iter().chain(pending) {
            limit.used += tokens;
        }
        tokens
    }

    /// Ends a reservation; tokens that the request didn't use are available again.
    pub fn settle(&mut self, reserved: u64, used: u64, progress: Progress) {
        *self.reserved.get_mut(progress) -= reserved;
        let used = used.min(reserved);
        *self.turnover.used.get_mut(progress) += used;
        self.unallocated += reserved - used;
    }
}
