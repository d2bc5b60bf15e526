//! One workspace's prepaid tokens at this host.
//!
//! Two kinds of rows keep a budget: its sums over all hosts ([`Escrow`]) and each host's [`Stake`].
//! A transaction moves tokens from the budget to a host's stake before any request can use them, so
//! that the sum of all use never exceeds the prepaid amount, whatever fails.
//!
//! A stake is large, since the host serves from it while the platform can't be reached. A process
//! that dies must not take it along, though. So each stake names a burst and a rate, and the process
//! uses no more than burst + rate x time since it wrote them, until so much time has passed that the
//! platform must be away: then all of the stake may be used. The next process on the host takes over
//! what that leaves, by the platform's clock; only the rest is lost. A request that exceeds the burst
//! waits for one transaction that raises it.
//!
//! Every transaction has the host's row as a condition and numbers it. One whose answer was lost is
//! sent again unchanged: it then commits, or the row that comes back tells whether it had been
//! committed before. Until that is known, the process keeps to the old bound and the new one.

mod rate;
mod setting;
mod stake;

use std::{sync::Arc, time::Duration};

use coordination::{
    escrow::{Escrow, escrow_key, parse},
    table::{Outcome, Row, Txn},
};

use self::{rate::Rate, stake::Limit};
pub use self::{setting::Setting, stake::Stake};

/// Time of use at the recent rate that a host keeps ahead; covers an outage of the platform in which
/// much more is used.
const AHEAD: Duration = Duration::from_secs(45);

/// Time of use that a host keeps ahead while nothing is known of the rate.
const FLOOR_AHEAD: Duration = Duration::from_secs(20);

/// Part of the unspent budget that all hosts together keep ahead, in percent.
const AHEAD_PERCENT: u64 = 95;

/// Part of the prepaid amount that all hosts together use in a second while nothing is known of the
/// rate of use, in thousandths.
const FLOOR_MILLI: u64 = 25;

/// Bound on the rate of use, as a multiple of the recent rate.
const RATE_MARGIN: f64 = 1.2;

/// Time of use at the bound that makes a burst.
const BURST: Duration = Duration::from_millis(300);

/// Requests of typical size that a burst covers at the least.
const BURST_REQUESTS: u64 = 1;

/// Time beyond the last write of a stake after which more of it may be used; longer than a process
/// that died mostly needs to start again.
const RESTART: Duration = Duration::from_millis(2400);

/// Further time for which the rest of a stake is kept for a process that starts late, as after a loss
/// of power; use is only looser meanwhile.
const LATE_RESTART: Duration = Duration::from_secs(4);

/// Part of the expected use in a second that an idle stake allows.
const IDLE_PART: u64 = 2;

/// Time over which the rate of use is averaged.
const RATE_WINDOW: Duration = Duration::from_secs(4);

/// Time over which the rate of use is averaged for what is kept ahead.
const SLOW_RATE_WINDOW: Duration = Duration::from_secs(12);

/// Pause after a transaction that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Least time between two transactions that only adjust what is kept ahead.
const ADJUST_PAUSE: Duration = Duration::from_millis(700);

/// Least time between two looks at an account for which no request waits.
const IDLE_PAUSE: Duration = Duration::from_millis(250);

/// Weight of the newest request in the typical size of one.
const TYPICAL_WEIGHT: f64 = 0.2;

/// Time after which an answer of the budget's row is no proof any more of what is left.
const PROOF_AGE: Duration = Duration::from_millis(500);

/// Time of use that a host keeps when it gives tokens back for another one.
const CALLED_IN_KEEP: Duration = Duration::from_secs(1);

/// Part of the prepaid amount below which hosts give back what they don't need, in percent.
const SCARCE_PERCENT: u64 = 10;

/// Hosts keeping tokens from which a budget's row is read before it is changed, since others change it
/// all the time.
const READ_FIRST_KEEPERS: u64 = 16;

/// Age of what is known of a budget's row up to which it is changed without reading it again.
const FRESH: Duration = Duration::from_millis(60);

/// Requests of typical size whose tokens a host that keeps none ahead doesn't give back.
const LEFTOVER_REQUESTS: u64 = 4;

/// Requests of typical size from which a part of the unspent budget is worth a transaction.
const LEAST_REQUESTS: u64 = 2;

/// Prefix of the rows of stakes.
const STAKE_PREFIX: &str = "stake/";

/// Answer to a wish for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
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
    Fresh,
    /// A request waits, here or at another host.
    Wanted,
    /// Nothing waits.
    None,
}

/// A transaction whose outcome isn't known.
#[derive(Debug, Clone)]
struct Pending {
    txn: Txn,
    sums: Option<Escrow>,
    stake: Stake,
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
    stake: Stake,
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
    pub fn open(workspace: Arc<str>, host: &str, holder: Arc<str>) -> Self {
        let row = |key| Row { key, value: None, revision: 0 };
        Self {
            sums_row: row(escrow_key(&workspace)),
            stake_row: row(Arc::from(format!("{STAKE_PREFIX}{workspace}/{host}"))),
            workspace,
            prepaid: 0,
            sums: Escrow::default(),
            stake: Stake::default(),
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
    pub fn unspent(&self) -> u64 {
        self.sums.remaining(self.prepaid)
    }

    /// Returns the age of what is known of the budget's row.
    pub fn seen_age(&self, now: Duration) -> Option<Duration> {
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
            (true, _) => Urgency::Fresh,
            (false, true) => Urgency::Wanted,
            (false, false) => Urgency::None,
        }
    }

    /// Gives back what is kept ahead, and goes on serving.
    pub fn retire(&mut self) {
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
    pub fn reserve(&mut self, now: Duration, tokens: u64, reached: bool) -> Verdict {
        self.typical += (tokens as f64 - self.typical) * TYPICAL_WEIGHT;
        if tokens <= self.available(now) {
            self.take(now, tokens);
            self.reserved += tokens;
            return Verdict::Reserved;
        }
        let left = self.total() + self.sums.remaining(self.prepaid);
        let proved = self.seen.is_some_and(|seen| now.saturating_sub(seen) < PROOF_AGE);
        if proved && self.known && left < tokens && self.pending.is_none() {
            return Verdict::Exhausted;
        }
        if self.failed || !reached {
            return Verdict::Unavailable;
        }
        self.wanted = self.wanted.max(tokens);
        Verdict::Wait
    }

    /// Sets tokens aside for a request, as many of them as can be used now; returns how many.
    pub fn reserve_part(&mut self, now: Duration, tokens: u64) -> u64 {
        let tokens = self.lend(now, tokens);
        self.reserved += tokens;
        tokens
    }

    /// Notes a request that begins to wait for tokens.
    pub fn queue(&mut self, tokens: u64) {
        self.queued += tokens;
    }

    /// Notes that a request no longer waits.
    pub fn unqueue(&mut self, tokens: u64) {
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
    pub fn hand_over(&mut self, tokens: u64) {
        self.reserved -= tokens;
    }

    /// Gives back to the budget what is not needed soon, as another host lacks tokens; returns how
    /// much that is.
    pub fn call_in(&mut self, now: Duration) -> u64 {
        let spare = self.total().saturating_sub(self.needed_soon(now));
        self.called_in = spare > 0;
        spare
    }

    fn needed_soon(&self, now: Duration) -> u64 {
        (self.rate.at(now) * CALLED_IN_KEEP.as_secs_f64()) as u64
    }

    /// Forgets that the budget's row was seen, as after other hosts gave tokens back to it.
    pub fn look_again(&mut self) {
        self.seen = None;
    }

    /// Takes tokens that another host gave up.
    pub fn borrowed(&mut self, tokens: u64) {
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

    /// Returns the bound on use in a second.
    fn bounded_rate(&self, now: Duration, setting: &Setting) -> u64 {
        ((self.rate.at(now) * RATE_MARGIN) as u64).max(self.floor(setting))
    }

    /// Returns the use in a second that is expected while nothing is known.
    fn floor(&self, setting: &Setting) -> u64 {
        if setting.keeps { self.prepaid / 1000 * FLOOR_MILLI / setting.keepers.max(1) } else { 0 }
    }

    /// Returns the tokens that this host should hold beyond those set aside.
    fn target(&self, now: Duration, setting: &Setting) -> u64 {
        if self.closing || self.retiring || self.is_overdrawn() {
            return 0;
        }
        let by_rate = (self.slow_rate.at(now) * AHEAD.as_secs_f64()) as u64;
        by_rate.max(self.floor(setting) * FLOOR_AHEAD.as_secs())
    }

    /// Returns this host's part of the tokens that no host holds, as a part of those it keeps ahead.
    fn share(&self, setting: &Setting) -> u64 {
        let most = self.unspent() / 100 * AHEAD_PERCENT;
        // A workspace's callers may come to few of the hosts.
        let granted = self.sums.granted.saturating_sub(self.sums.returned).max(1);
        let by_use = u128::from(most) * u128::from(self.used) / u128::from(granted);
        (by_use as u64).max(most / setting.keepers.max(1))
    }

    /// Returns what to do with the platform's table now.
    pub fn plan(&mut self, now: Duration, setting: Setting) -> Option<Step> {
        // A request that waits hurries what is due, but not what follows a conflict or a failure.
        let hurried =
            (self.wanted > 0 || self.called_in) && self.pending.is_none() && !self.is_fresh;
        if self.under_way || (now < self.next && !hurried) {
            return None;
        }
        self.is_fresh = false;
        if let Some(pending) = &self.pending {
            self.under_way = true;
            return Some(Step::Commit(pending.txn.clone()));
        }
        let step = self.choose(now, setting);
        self.under_way = step.is_some();
        if step.is_none() {
            self.next = now + IDLE_PAUSE;
        }
        step
    }

    fn choose(&mut self, now: Duration, setting: Setting) -> Option<Step> {
        let target = self.target(now, &setting);
        let remaining = self.unspent();
        let total = self.total();
        let fits = self.wanted <= total + remaining;
        let wanted = if self.wanted > 0 { self.wanted.max(self.queued) } else { 0 };
        let missing = wanted.saturating_sub(total);
        let share = self.share(&setting);
        let worthwhile = share > (total / 4).max(self.typical as u64 * LEAST_REQUESTS);
        let low = !self.called_in && total < target / 2 + target / 4 && worthwhile;
        let grant = (!self.known && setting.keeps) || missing > 0 || low;
        let spare = total.saturating_sub(target);
        let scarce = remaining < self.prepaid / 100 * SCARCE_PERCENT;
        let surplus = if setting.keeps {
            spare > 2 * target || (scarce && spare > target / 4)
        } else {
            // What requests leave of borrowed tokens serves the next ones.
            spare > 2 * target + LEFTOVER_REQUESTS * self.typical as u64
        };
        let give_back = self.called_in || (spare > 0 && (self.closing || surplus));
        let give_back = give_back && wanted == 0;
        let stale = setting.keepers >= READ_FIRST_KEEPERS
            && self.seen.is_none_or(|seen| now.saturating_sub(seen) >= FRESH);
        let stale = stale && (self.limit.is_some() || self.held == 0);
        if (grant || give_back) && (!self.known || stale) {
            let stake = (!self.known).then(|| self.stake_row.key.clone());
            let keys = stake.into_iter().chain([self.sums_row.key.clone()]);
            return Some(Step::Read(keys.collect()));
        }
        if self.known && self.limit.is_none() && self.held > 0 {
            // Less is left of the former process's stake with every moment, and no other host
            // changes its row.
            return Some(Step::Commit(self.start(now, setting, 0, 0, wanted.min(self.held))));
        }
        self.wanted = 0;
        let called_in = std::mem::take(&mut self.called_in);
        let (granting, returning) = if grant {
            // What waits comes first; where it doesn't fit, the rows that come back prove it.
            let ahead = target.saturating_sub(total).min(share);
            (if fits { missing.max(ahead).min(remaining) } else { 0 }, 0)
        } else if give_back && called_in {
            (0, total.saturating_sub(self.needed_soon(now)))
        } else if give_back {
            (0, spare)
        } else if wanted > 0 || self.is_stake_due(now, &setting) {
            (0, 0)
        } else {
            return None;
        };
        Some(Step::Commit(self.start(now, setting, granting, returning, wanted)))
    }

    /// Returns whether the stake is to be written anew; one without tokens needs no bound.
    fn is_stake_due(&self, now: Duration, setting: &Setting) -> bool {
        let empty = self.total() == 0 && self.stake.tokens == 0;
        match self.limit {
            Some(limit) => !empty && limit.is_due(now, setting),
            None => self.known && (setting.keeps || !empty),
        }
    }

    fn start(
        &mut self,
        now: Duration,
        setting: Setting,
        granting: u64,
        returning: u64,
        wanted: u64,
    ) -> Txn {
        self.held += std::mem::take(&mut self.loose);
        self.held -= returning;
        let used = self.limit.is_some_and(|limit| limit.used > 0) || wanted > 0;
        let floor = self.floor(&setting);
        let (rate, typical, report) = if used {
            (self.bounded_rate(now, &setting), self.typical as u64, setting.report())
        } else {
            (floor / IDLE_PART, 0, setting.idle_report())
        };
        let unlock = report + RESTART;
        let open = unlock + LATE_RESTART;
        let burst = rate.max(floor) * BURST.as_millis() as u64 / 1000;
        let burst = burst.max(typical * BURST_REQUESTS);
        let stake = Stake {
            holder: self.holder.clone(),
            number: self.stake.number + 1,
            tokens: self.held + granting,
            burst: wanted + burst,
            rate,
            written_ms: setting.platform_ms.unwrap_or_default(),
            unlock_ms: unlock.as_millis() as u64,
            open_ms: open.as_millis() as u64,
        };
        let mut txn = Txn::default();
        let sums =
            (granting > 0 || returning > 0 || !self.known || wanted > self.held).then(|| {
                let mut sums = self.sums.clone();
                sums.granted += granting;
                sums.returned += returning;
                txn.put(&self.sums_row, &sums);
                sums
            });
        txn.put(&self.stake_row, &stake);
        let limit = Limit {
            used: 0,
            burst: stake.burst,
            rate: stake.rate,
            unlock,
            open,
            since: now,
            idle: !used,
        };
        let pending = Pending { txn: txn.clone(), sums, stake, limit, granting, returning };
        self.pending = Some(pending);
        txn
    }

    /// Takes the outcome of the transaction that was planned last; `born_ms` is the platform's clock
    /// at the start of this process, at the latest.
    pub fn ended(&mut self, now: Duration, outcome: Outcome, born_ms: Option<u64>) {
        self.under_way = false;
        let Some(pending) = self.pending.take() else { return };
        self.failed = matches!(outcome, Outcome::Unavailable | Outcome::Unknown);
        self.log(now, &pending, &outcome);
        match outcome {
            Outcome::Committed(revision) => {
                self.stake_row.revision = revision;
                if pending.sums.is_some() {
                    self.sums_row.revision = revision;
                    self.seen = Some(now);
                }
                // One that was under way for long left a bound of long ago.
                self.next = now.max(pending.limit.since + ADJUST_PAUSE);
                self.adopt(pending);
            }
            Outcome::Conflict(rows) => self.resolve(now, pending, &rows, born_ms),
            // Neither answer proves that the transaction won't be done later.
            _ => {
                self.pending = Some(pending);
                self.next = now + RETRY_PAUSE;
            }
        }
    }

    /// Puts a transaction that was committed in force.
    fn adopt(&mut self, pending: Pending) {
        self.held += pending.granting;
        if let Some(sums) = pending.sums {
            self.sums = sums;
        }
        self.stake = pending.stake;
        self.limit = Some(pending.limit);
        self.known = true;
    }

    /// Reads from the rows whether a transaction had been committed by an earlier send.
    fn resolve(&mut self, now: Duration, pending: Pending, rows: &[Row], born_ms: Option<u64>) {
        // At once, while the rows that came back are still the newest.
        self.next = now;
        self.is_fresh = true;
        if let Some(pending) = self.observe(now, Some(pending), rows, born_ms) {
            self.pending = Some(pending);
            self.next = now + RETRY_PAUSE;
        }
    }

    /// Takes the outcome of a reading of the rows.
    pub fn looked(&mut self, now: Duration, outcome: &Outcome, born_ms: Option<u64>) {
        self.under_way = false;
        self.failed = !matches!(outcome, Outcome::Rows(_));
        self.next = now + RETRY_PAUSE;
        if let Outcome::Rows(rows) = outcome {
            self.next = now;
            self.is_fresh = true;
            self.observe(now, None, rows, born_ms);
        }
    }

    /// Takes the rows as they stand; gives a transaction back whose outcome they don't tell.
    fn observe(
        &mut self,
        now: Duration,
        pending: Option<Pending>,
        rows: &[Row],
        born_ms: Option<u64>,
    ) -> Option<Pending> {
        let sums_row = rows.iter().find(|row| row.key == self.sums_row.key);
        let stake_row = rows.iter().find(|row| row.key == self.stake_row.key);
        let sums = sums_row.map(parse::<Escrow>).transpose();
        let stake = stake_row.map(parse::<Stake>).transpose();
        let (sums, stake) = match (sums, stake) {
            (Ok(sums), Ok(stake)) => (sums, stake),
            (sums, stake) => {
                let faults = [sums.err(), stake.err()].into_iter().flatten();
                let fault: Vec<_> = faults.map(|fault| fault.to_string()).collect();
                tracing::error!(event = "budget_unreadable", workspace = %self.workspace, ?fault);
                return pending;
            }
        };
        if let (Some(row), Some(stake)) = (stake_row, stake) {
            let stake = stake.unwrap_or_default();
            let own = stake.holder == self.holder;
            match pending {
                Some(pending) if own && stake.number == pending.stake.number => {
                    self.adopt(pending);
                }
                Some(pending) => self.held += pending.returning,
                None => {}
            }
            if !own {
                self.inherit(&stake, born_ms);
            }
            self.known = true;
            self.stake_row.revision = row.revision;
        }
        if let (Some(row), Some(sums)) = (sums_row, sums) {
            self.sums_row.revision = row.revision;
            self.sums = sums.unwrap_or_default();
            self.seen = Some(now);
        }
        None
    }

    /// Takes over what the former process of this host left.
    ///
    /// That process used nothing after the start of this one. What is left can be used once a transaction of this process has been committed on top of that row.
    fn inherit(&mut self, stake: &Stake, born_ms: Option<u64>) {
        self.held = born_ms.map_or(0, |born| stake.left(born));
        self.stake = stake.clone();
        self.limit = None;
        if stake.tokens == 0 {
            return;
        }
        tracing::info!(
            event = "stake_taken_over",
            workspace = %self.workspace,
            former = %stake.holder,
            tokens = stake.tokens,
            held = self.held,
            age_ms = born_ms.map(|born| born.saturating_sub(stake.written_ms)),
        );
    }

    fn log(&self, now: Duration, pending: &Pending, outcome: &Outcome) {
        tracing::info!(
            event = "budget",
            workspace = %self.workspace,
            number = pending.stake.number,
            granting = pending.granting,
            returning = pending.returning,
            outcome = match outcome {
                Outcome::Committed(_) => "committed",
                Outcome::Conflict(_) => "conflict",
                Outcome::Unavailable => "unavailable",
                _ => "unknown",
            },
            prepaid = self.prepaid,
            unspent = self.sums.remaining(self.prepaid),
            held = self.total(),
            reserved = self.reserved,
            rate = self.rate.at(now) as u64,
            burst = pending.stake.burst,
            seen_ms = self.seen.map(|seen| now.saturating_sub(seen).as_millis() as u64),
        );
    }
}
