//! Number of tokens of a budget that a process should hold.

use std::time::Duration;

use super::account::Account;

/// Seconds for which the target holdings should last without the platform.
const TARGET_HORIZON_S: f64 = 14_400.0;

/// Seconds of usage for which tokens are requested from peers beyond the shortfall.
const PEER_ASK_HORIZON_S: f64 = 20.0;

/// Fraction of a budget's unspent tokens that the targets of all holders add up to.
const TARGET_POOL_FRACTION: f64 = 0.95;

/// Divisor of the target that gives by how much available tokens may be below it without a refill.
const REFILL_SLACK_DIVISOR: u64 = 16;

/// Divisor of the target that gives by how much available tokens may exceed it without a return.
const RETURN_SLACK_DIVISOR: u64 = 4;

/// Assumed fraction of the budget's usage at this process until the table shows the usage of all.
const INITIAL_USAGE_FRACTION: f64 = 0.0625;

/// Seconds for which the floor should cover urgent requests while the platform can be reached.
const FLOOR_HORIZON_S: f64 = 600.0;

/// The same while the platform can't be reached: least and most seconds.
const FLOOR_OUTAGE_HORIZON_S: (f64, f64) = (900.0, 2400.0);

/// Multiple of the length of the outage for whose usage the allowance is set aside.
const ALLOWANCE_OUTAGE_FACTOR: f64 = 16.0;

/// Least seconds of usage for which the allowance is set aside.
const MIN_ALLOWANCE_HORIZON_S: f64 = 900.0;

/// Divisor of the available tokens that gives the least allowance.
const MIN_ALLOWANCE_DIVISOR: u64 = 8;

/// Divisor of the unspent tokens that limits the least target of a process that has used the
/// budget.
const IDLE_FLOOR_DIVISOR: u64 = 32;

/// Time constant of the average of recent usage, in seconds.
const FAST_AVERAGE_S: f64 = 30.0;

/// Time constant of the average of sustained usage, in seconds.
const SLOW_AVERAGE_S: f64 = 600.0;

/// Age at which the figures of the whole budget are read again.
pub(super) const POOL_REFRESH_INTERVAL: Duration = Duration::from_secs(300);

/// Time constant of the average usage of the whole budget, in seconds.
const POOL_AVERAGE_S: f64 = 120.0;

/// Ratio to the long average above which the greater of the two averages is used instead of it.
const GROWTH_FACTOR: f64 = 2.0;

/// Shortest interval over which the usage of the whole budget is measured.
const MIN_POOL_INTERVAL: Duration = Duration::from_secs(10);

/// Tokens used per second, as exponentially decaying averages over a short and a long time.
#[derive(Debug, Clone, Default)]
pub(super) struct UsageRate {
    fast: f64,
    slow: f64,
    updated_at: Duration,
    /// Time of the first use; `None` if the budget was never used here.
    first_use: Option<Duration>,
}

impl UsageRate {
    /// Returns whether the budget was ever used here.
    pub fn is_used(&self) -> bool {
        self.first_use.is_some()
    }

    /// Adds used tokens; a negative number corrects for tokens that were not used.
    pub fn add(&mut self, now: Duration, tokens: f64) {
        self.first_use.get_or_insert(now);
        self.decay(now);
        self.fast += tokens / FAST_AVERAGE_S;
        self.slow += tokens / SLOW_AVERAGE_S;
    }

    fn decay(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.updated_at).as_secs_f64();
        if passed > 0.0 {
            self.fast *= (-passed / FAST_AVERAGE_S).exp();
            self.slow *= (-passed / SLOW_AVERAGE_S).exp();
            self.updated_at = now;
        }
    }

    /// Returns the tokens used per second, by the greater of the two averages.
    pub fn rate(&mut self, now: Duration) -> f64 {
        self.decay(now);
        let Some(since) = self.first_use else {
            return 0.0;
        };
        let age = now.saturating_sub(since).as_secs_f64().max(1.0);
        let fast = self.fast / (1.0 - (-age / FAST_AVERAGE_S).exp());
        fast.max(self.slow(since, now)).max(0.0)
    }

    /// Returns the tokens used per second, by the long average unless usage has grown by more than
    /// [`GROWTH_FACTOR`].
    pub fn sustained(&mut self, now: Duration) -> f64 {
        let rate = self.rate(now);
        let slow = self.first_use.map_or(0.0, |since| self.slow(since, now)).max(0.0);
        if rate > slow * GROWTH_FACTOR { rate } else { slow }
    }

    fn slow(&self, since: Duration, now: Duration) -> f64 {
        let age = now.saturating_sub(since).as_secs_f64().max(1.0);
        self.slow / (1.0 - (-age / SLOW_AVERAGE_S).exp())
    }
}

/// Figures of a whole budget, as last read from the table.
#[derive(Debug, Clone, Default)]
pub(super) struct Pool {
    /// Tokens neither settled nor stranded.
    pub unspent: u64,
    /// Tokens that no holder has.
    pub remaining: u64,
    /// Time of the last read; `None` if the budget was never read.
    pub read_at: Option<Duration>,
    rate: Option<f64>,
    settled: u64,
    settled_at: Duration,
}

impl Pool {
    /// Records figures read from the table and updates the average usage.
    pub fn observe(&mut self, now: Duration, unspent: u64, remaining: u64, settled: u64) {
        self.unspent = unspent;
        self.remaining = remaining;
        if self.read_at.is_none() {
            self.settled = settled;
            self.settled_at = now;
        }
        self.read_at = Some(now);
        let passed = now.saturating_sub(self.settled_at);
        if passed < MIN_POOL_INTERVAL {
            return;
        }
        let rate = settled.saturating_sub(self.settled) as f64 / passed.as_secs_f64();
        let weight = 1.0 - (-passed.as_secs_f64() / POOL_AVERAGE_S).exp();
        self.rate = Some(self.rate.map_or(rate, |last| last + (rate - last) * weight));
        self.settled = settled;
        self.settled_at = now;
    }
}

/// Returns the tokens that should be available at this process.
///
/// This covers [`TARGET_HORIZON_S`] of usage, within this process's share of the unspent tokens. A
/// budget that was ever used here keeps at least twice its urgent floor, within limits.
pub(super) fn target(account: &mut Account, now: Duration) -> u64 {
    let rate = account.usage.rate(now);
    let unspent = account.pool.unspent;
    let own_rate = account.usage.sustained(now);
    let share = match account.pool.rate {
        Some(all) if all > 0.0 => (own_rate / all.max(own_rate)).min(1.0),
        _ => INITIAL_USAGE_FRACTION,
    };
    let fair = unspent as f64 * TARGET_POOL_FRACTION * share;
    let wanted = (rate * TARGET_HORIZON_S).min(fair) as u64;
    let floor = account.config.map_or(0, |config| config.urgent_floor);
    let idle = match account.usage.first_use {
        Some(_) => (floor * 2).min(unspent / IDLE_FLOOR_DIVISOR),
        None => 0,
    };
    wanted.max(idle)
}

/// Updates the estimate of the tokens that urgent requests need, once usage was observed for long
/// enough. During an outage of the platform it covers twice the length of the outage, within
/// limits; otherwise it covers [`FLOOR_HORIZON_S`], but at most the configured floor.
pub(super) fn update_urgent_need(account: &mut Account, now: Duration, outage: Duration) {
    let Some(since) = account.usage.first_use else {
        return;
    };
    if now.saturating_sub(since).as_secs_f64() < SLOW_AVERAGE_S {
        return;
    }
    let rate = account.urgent_usage.rate(now);
    let limit = account.config.map_or(0, |config| config.urgent_floor);
    let (least, most) = FLOOR_OUTAGE_HORIZON_S;
    account.urgent_need = Some(if outage.is_zero() || limit == 0 {
        limit.min((rate * FLOOR_HORIZON_S) as u64)
    } else {
        (rate * (2.0 * outage.as_secs_f64()).clamp(least, most)) as u64
    });
}

/// Returns the tokens to set aside for use without a replica of the journal: the usage in a
/// multiple of the length of the outage, but at least a part of the available tokens. If the
/// process dies, these tokens are stranded.
pub(super) fn allowance_target(account: &mut Account, now: Duration, outage: Duration) -> u64 {
    let seconds = (outage.as_secs_f64() * ALLOWANCE_OUTAGE_FACTOR).max(MIN_ALLOWANCE_HORIZON_S);
    let need = (account.usage.rate(now) * seconds) as u64;
    need.max(account.available / MIN_ALLOWANCE_DIVISOR).min(account.available)
}

/// Returns whether holdings are so far from the target that this alone justifies a round; updates
/// the low-water mark.
pub(super) fn needs_round(account: &mut Account, now: Duration) -> bool {
    let target = target(account, now);
    account.low_water = target / 2;
    let low = account.available < account.low_water && account.pool.remaining > 0;
    low || excess(account, now) > target / 2
}

/// Returns the tokens to request from the table in a round; updates the low-water mark.
pub(super) fn refill(account: &mut Account, now: Duration) -> u64 {
    let target = target(account, now);
    account.low_water = target / 2;
    let shortfall = account.shortfall();
    if account.available >= target - target / REFILL_SLACK_DIVISOR && shortfall == 0 {
        return 0;
    }
    let wanted = target.saturating_sub(account.available).max(shortfall);
    wanted.min(account.pool.remaining)
}

/// Returns the tokens to request from peers beyond the shortfall.
pub(super) fn peer_ask_margin(account: &mut Account, now: Duration) -> u64 {
    (account.usage.rate(now) * PEER_ASK_HORIZON_S) as u64
}

/// Returns the tokens to return to the table: none while reservations wait, all of a deleted
/// budget, else those above the target.
pub(super) fn excess(account: &mut Account, now: Duration) -> u64 {
    if !account.waiting.is_empty() {
        return 0;
    }
    if account.config.is_none() {
        return account.available;
    }
    let target = target(account, now);
    if account.available <= target + target / RETURN_SLACK_DIVISOR {
        return 0;
    }
    account.available - target
}
