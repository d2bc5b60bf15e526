//! One workspace's prepaid tokens at this host.
//!
//! The rows are those of [`coordination::escrow`]: a sum for the budget and a grant for each host.
//! One transaction moves tokens from the budget to this host before any request can use them, so
//! that the sum of all use never exceeds the prepaid amount, whatever fails. A host that dies
//! strands what it held; so a grant ahead of need is a part of what the budget has left, large while
//! the budget is ample, since the host serves from it while the platform can't be reached.
//!
//! Both rows are conditions of each transaction, and the grant's row numbers them. A transaction
//! whose answer was lost is sent again unchanged: it then commits, or the rows that come back tell
//! whether it had been committed before.

use std::{sync::Arc, time::Duration};

use coordination::{
    escrow::{Escrow, Grant, escrow_key, grant_key, parse},
    table::{Outcome, Row, Txn},
};

/// Time of use at the recent rate that a host keeps ahead; covers an outage of the platform.
const AHEAD: Duration = Duration::from_secs(10);

/// Part of the unspent budget that all hosts together keep ahead of need, in percent.
const AHEAD_PERCENT: u64 = 50;

/// Part of the prepaid amount that all hosts together keep ahead at the least, in percent, while
/// nothing is known of the rate of use.
const FLOOR_PERCENT: u64 = 25;

/// Time over which the rate of use is averaged.
const RATE_WINDOW: Duration = Duration::from_secs(4);

/// Pause after a transaction that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Least time between two transactions that only adjust what is kept ahead.
const ADJUST_PAUSE: Duration = Duration::from_millis(700);

/// Least time between two transactions that only give back, while little is left.
const RETURN_PAUSE: Duration = Duration::from_millis(250);

/// Time after which an answer of the budget's row is no proof any more of what is left.
const PROOF_AGE: Duration = Duration::from_millis(500);

/// Answer to a wish for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The tokens are set aside.
    Reserved,
    /// A transaction may bring them; to be asked again once it has ended.
    Wait,
    /// The budget doesn't cover them, as its rows have just shown.
    Exhausted,
    /// The platform can't be reached, and this host holds too few.
    Unavailable,
}

/// What a transaction under way would change.
#[derive(Debug, Clone)]
struct Pending {
    txn: Txn,
    sums: Escrow,
    grant: Grant,
    /// Tokens that leave this host.
    returning: u64,
}

/// Prepaid tokens of one workspace at this host.
#[derive(Debug)]
pub struct Account {
    workspace: Arc<str>,
    host: Arc<str>,
    prepaid: u64,
    sums: Escrow,
    sums_row: Row,
    grant: Grant,
    grant_row: Row,
    /// The rows have been read.
    known: bool,
    /// When the rows were last seen.
    seen: Option<Duration>,
    held: u64,
    reserved: u64,
    /// Tokens that requests wait for.
    wanted: u64,
    pending: Option<Pending>,
    under_way: bool,
    failed: bool,
    next: Duration,
    /// Tokens used for each second, averaged.
    rate: f64,
    rate_at: Duration,
    closing: bool,
}

impl Account {
    /// Opens an account of which nothing is known yet.
    pub fn open(workspace: Arc<str>, host: Arc<str>) -> Self {
        let row = |key| Row { key, value: None, revision: 0 };
        Self {
            sums_row: row(escrow_key(&workspace)),
            grant_row: row(grant_key(&workspace, &host)),
            workspace,
            host,
            prepaid: 0,
            sums: Escrow::default(),
            grant: Grant::default(),
            known: false,
            seen: None,
            held: 0,
            reserved: 0,
            wanted: 0,
            pending: None,
            under_way: false,
            failed: false,
            next: Duration::ZERO,
            rate: 0.0,
            rate_at: Duration::ZERO,
            closing: false,
        }
    }

    /// Returns the tokens that are held and not set aside, and those set aside.
    pub fn balance(&self) -> (u64, u64) {
        (self.held, self.reserved)
    }

    /// Takes the prepaid amount of the configuration in force.
    pub fn set_prepaid(&mut self, prepaid: u64) {
        if prepaid > self.prepaid {
            self.next = Duration::ZERO;
        }
        self.prepaid = prepaid;
    }

    /// Stops keeping tokens ahead, as before the process ends.
    pub fn close(&mut self) {
        self.closing = true;
        self.next = Duration::ZERO;
    }

    /// Returns whether nothing is left to give back.
    pub fn is_closed(&self) -> bool {
        self.held == 0 && self.pending.is_none()
    }

    /// Returns whether more is granted than the budget has, as after the prepaid amount was lowered.
    ///
    /// Nothing is used then until the hosts have given back what they keep ahead.
    fn is_overdrawn(&self) -> bool {
        self.sums.granted > self.prepaid + self.sums.returned + self.sums.refunded
    }

    /// Sets tokens aside for a request.
    pub fn reserve(&mut self, now: Duration, tokens: u64) -> Verdict {
        if let Some(held) = self.held.checked_sub(tokens)
            && !self.is_overdrawn()
        {
            self.held = held;
            self.reserved += tokens;
            return Verdict::Reserved;
        }
        let left = self.held + self.sums.remaining(self.prepaid);
        let proved = self.seen.is_some_and(|seen| now.saturating_sub(seen) < PROOF_AGE);
        if proved && self.known && left < tokens && self.pending.is_none() {
            return Verdict::Exhausted;
        }
        if self.failed {
            return Verdict::Unavailable;
        }
        self.wanted = self.wanted.max(tokens);
        Verdict::Wait
    }

    /// Notes what a request used of the tokens that were set aside for it.
    pub fn settle(&mut self, now: Duration, reserved: u64, used: u64) {
        let used = used.min(reserved);
        self.reserved -= reserved;
        self.held += reserved - used;
        self.grant.settled += used;
        let age = now.saturating_sub(self.rate_at).as_secs_f64();
        self.rate *= (-age / RATE_WINDOW.as_secs_f64()).exp();
        self.rate += used as f64 / RATE_WINDOW.as_secs_f64();
        self.rate_at = now;
    }

    /// Returns the tokens that this host should hold beyond those set aside, as one of so many.
    fn target(&self, now: Duration, hosts: u64) -> u64 {
        if self.closing || self.is_overdrawn() {
            return 0;
        }
        let age = now.saturating_sub(self.rate_at).as_secs_f64();
        let rate = self.rate * (-age / (4.0 * RATE_WINDOW.as_secs_f64())).exp();
        let by_rate = (rate * AHEAD.as_secs_f64()) as u64;
        let floor = self.prepaid / 100 * FLOOR_PERCENT / hosts;
        let unspent = self.sums.remaining(self.prepaid) + self.held;
        by_rate.max(floor).min(unspent / 100 * AHEAD_PERCENT / hosts)
    }

    /// Returns the transaction to run now, as one of so many hosts.
    pub fn plan(&mut self, now: Duration, hosts: u64) -> Option<Txn> {
        if self.under_way || now < self.next {
            return None;
        }
        if let Some(pending) = &self.pending {
            self.under_way = true;
            return Some(pending.txn.clone());
        }
        let target = self.target(now, hosts.max(1));
        let wanted = std::mem::take(&mut self.wanted).saturating_sub(self.held);
        let remaining = self.sums.remaining(self.prepaid);
        let asked = wanted.max(target.saturating_sub(self.held));
        let low = self.held < target / 2 + target / 4;
        if !self.known || wanted > 0 || (low && remaining > 0) {
            // What waits comes first; where it doesn't fit, the rows that come back prove it.
            let granted = if wanted > remaining { 0 } else { asked.min(remaining) };
            return Some(self.start(granted, 0));
        }
        let spare = self.held.saturating_sub(target);
        let scarce = remaining < self.prepaid / 10;
        if spare > 0 && (self.closing || scarce || spare > target) {
            return Some(self.start(0, spare));
        }
        self.next = now + RETURN_PAUSE;
        None
    }

    fn start(&mut self, granted: u64, returned: u64) -> Txn {
        let mut sums = self.sums.clone();
        let mut grant = self.grant.clone();
        sums.granted += granted;
        sums.returned += returned;
        grant.granted += granted;
        grant.returned += returned;
        grant.number += 1;
        self.held -= returned;
        let mut txn = Txn::default();
        txn.put(&self.sums_row, &sums);
        txn.put(&self.grant_row, &grant);
        let pending = Pending { txn: txn.clone(), sums, grant, returning: returned };
        self.pending = Some(pending);
        self.under_way = true;
        txn
    }

    /// Takes the outcome of the transaction that was planned last.
    pub fn ended(&mut self, now: Duration, outcome: Outcome) {
        self.under_way = false;
        let Some(pending) = self.pending.take() else { return };
        self.failed = matches!(outcome, Outcome::Unavailable | Outcome::Unknown);
        self.log(now, &pending, &outcome);
        match outcome {
            Outcome::Committed(revision) => {
                self.held += pending.grant.granted - self.grant.granted;
                self.adopt(pending.sums, pending.grant, revision);
                self.seen = Some(now);
                self.next = now + ADJUST_PAUSE;
            }
            Outcome::Conflict(rows) => self.resolve(now, pending, &rows),
            // Neither answer proves that the transaction won't be done later.
            _ => {
                self.pending = Some(pending);
                self.next = now + RETRY_PAUSE;
            }
        }
    }

    /// Reads from the rows whether a transaction had been committed by an earlier send.
    fn resolve(&mut self, now: Duration, pending: Pending, rows: &[Row]) {
        let [sums_row, grant_row] = rows else {
            self.pending = Some(pending);
            self.next = now + RETRY_PAUSE;
            return;
        };
        let (sums, grant) = match (parse::<Escrow>(sums_row), parse::<Grant>(grant_row)) {
            (Ok(sums), Ok(grant)) => (sums.unwrap_or_default(), grant.unwrap_or_default()),
            (sums, grant) => {
                let fault = sums.err().or(grant.err());
                let fault = fault.map(|fault| fault.to_string()).unwrap_or_default();
                tracing::error!(event = "budget_row_unreadable", workspace = %self.workspace, fault);
                self.held += pending.returning;
                self.next = now + RETRY_PAUSE;
                return;
            }
        };
        // A row that a former process of this host wrote last is the base of this one.
        let done = self.known && grant.number == pending.grant.number;
        if done {
            self.held += grant.granted.saturating_sub(self.grant.granted);
        } else {
            self.held += pending.returning;
        }
        self.sums_row.revision = sums_row.revision;
        self.grant_row.revision = grant_row.revision;
        self.sums = sums;
        let settled = if self.known { self.grant.settled } else { grant.settled };
        self.grant = Grant { settled, ..grant };
        self.known = true;
        self.seen = Some(now);
        self.next = now;
        tracing::debug!(event = "budget_rows", workspace = %self.workspace, host = %self.host,
            done, revision = sums_row.revision);
    }

    fn log(&self, now: Duration, pending: &Pending, outcome: &Outcome) {
        tracing::info!(
            event = "budget",
            workspace = %self.workspace,
            number = pending.grant.number,
            granting = pending.grant.granted - self.grant.granted,
            returning = pending.returning,
            outcome = match outcome {
                Outcome::Committed(_) => "committed",
                Outcome::Conflict(_) => "conflict",
                Outcome::Unavailable => "unavailable",
                _ => "unknown",
            },
            prepaid = self.prepaid,
            unspent = self.sums.remaining(self.prepaid),
            held = self.held,
            reserved = self.reserved,
            rate = self.rate as u64,
            seen_ms = self.seen.map(|seen| now.saturating_sub(seen).as_millis() as u64),
        );
    }

    fn adopt(&mut self, sums: Escrow, grant: Grant, revision: u64) {
        self.sums_row.revision = revision;
        self.grant_row.revision = revision;
        self.sums = sums;
        let settled = self.grant.settled;
        self.grant = Grant { settled, ..grant };
        self.known = true;
    }

    /// Returns when the next transaction may be due.
    pub fn wake_at(&self) -> Option<Duration> {
        (!self.under_way).then_some(self.next)
    }
}
