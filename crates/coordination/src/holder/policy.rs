//! How many tokens of a budget a process should hold.

use std::time::Duration;

use super::account::Account;

/// Time over which holdings are to last without the platform.
const TARGET_HORIZON_S: f64 = 14_400.0;

/// Time for which tokens are asked of peers.
const PEER_ASK_HORIZON_S: f64 = 20.0;

/// Part of a budget's unspent tokens that all holders together aim for.
const TARGET_POOL_FRACTION: f64 = 0.95;

/// Part of the target by which holdings may fall short of it, as a divisor.
const REFILL_SLACK_DIVISOR: u64 = 16;

/// Part of the target by which holdings may exceed it, as a divisor.
const RETURN_SLACK_DIVISOR: u64 = 4;

/// Share of the budget's use that is assumed until the table shows it.
const INITIAL_USAGE_FRACTION: f64 = 0.0625;

/// Time for which urgent requests are to be served from the floor.
const FLOOR_HORIZON_S: f64 = 600.0;

/// The same while the platform can't be reached, at least and at most.
const FLOOR_OUTAGE_HORIZON_S: (f64, f64) = (900.0, 2400.0);

/// Multiple of the time without the platform for which tokens may be used without a copy.
const ALLOWANCE_OUTAGE_FACTOR: f64 = 16.0;

/// Shortest such time.
const MIN_ALLOWANCE_HORIZON_S: f64 = 900.0;

/// Least part of the available tokens that may be, as a divisor.
const MIN_ALLOWANCE_DIVISOR: u64 = 8;

/// Part of the unspent tokens that the floor of one process takes at most, as a divisor.
const IDLE_FLOOR_DIVISOR: u64 = 32;

/// Time over which recent use is averaged.
const FAST_AVERAGE_S: f64 = 30.0;

/// Time over which lasting use is averaged.
const SLOW_AVERAGE_S: f64 = 600.0;

/// Time after which figures of the whole budget are read again.
pub(super) const POOL_REFRESH_INTERVAL: Duration = Duration::from_secs(300);

/// Time over which the use of the whole budget is averaged.
const POOL_AVERAGE_S: f64 = 120.0;

/// Growth above which use is taken from the short average.
const GROWTH_FACTOR: f64 = 2.0;

/// Shortest time over which the use of the whole budget is measured.
const MIN_POOL_INTERVAL: Duration = Duration::from_secs(10);

/// Tokens used in a second, averaged with exponential decay over two spans.
#[derive(Debug, Clone, Default)]
pub(super) struct UsageRate {
    fast: f64,
    slow: f64,
    at: Duration,
    /// Time of the first use.
    first_use: Option<Duration>,
}

impl UsageRate {
    /// Returns whether the budget was ever used here.
    pub fn is_used(&self) -> bool {
        self.first_use.is_some()
    }

    /// Counts tokens; below zero for those that turned out not to be used.
    pub fn add(&mut self, now: Duration, tokens: f64) {
        self.first_use.get_or_insert(now);
        self.decay(now);
        self.fast += tokens / FAST_AVERAGE_S;
        self.slow += tokens / SLOW_AVERAGE_S;
    }

    fn decay(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        if passed > 0.0 {
            self.fast *= (-passed / FAST_AVERAGE_S).exp();
            self.slow *= (-passed / SLOW_AVERAGE_S).exp();
            self.at = now;
        }
    }

    /// Returns the tokens used in a second, by the greater of the two averages.
    pub fn rate(&mut self, now: Duration) -> f64 {
        self.decay(now);
        let Some(since) = self.first_use else {
            return 0.0;
        };
        let age = now.saturating_sub(since).as_secs_f64().max(1.0);
        let fast = self.fast / (1.0 - (-age / FAST_AVERAGE_S).exp());
        fast.max(self.slow(since, now)).max(0.0)
    }

    /// Returns the tokens used in a second, by the long average unless use has grown a lot.
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

/// What the table showed of a budget as a whole.
#[derive(Debug, Clone, Default)]
pub(super) struct Pool {
    /// Tokens neither settled nor stranded.
    pub unspent: u64,
    /// Tokens that no holder has.
    pub remaining: u64,
    /// When it was read; `None` for never.
    pub at: Option<Duration>,
    rate: Option<f64>,
    settled: u64,
    settled_at: Duration,
}

impl Pool {
    /// Takes figures that were read from the table.
    pub fn observe(&mut self, now: Duration, unspent: u64, remaining: u64, settled: u64) {
        self.unspent = unspent;
        self.remaining = remaining;
        if self.at.is_none() {
            self.settled = settled;
            self.settled_at = now;
        }
        self.at = Some(now);
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
pub(super) fn target(account: &mut Account, now: Duration) -> u64 {
    let rate = account.usage.rate(now);
    let unspent = account.pool.unspent;
    let own = account.usage.sustained(now);
    let share = match account.pool.rate {
        Some(all) if all > 0.0 => (own / all.max(own)).min(1.0),
        _ => INITIAL_USAGE_FRACTION,
    };
    let fair = unspent as f64 * TARGET_POOL_FRACTION * share;
    let wanted = (rate * TARGET_HORIZON_S).min(fair) as u64;
    let floor = account.config.map_or(0, |terms| terms.urgent_floor);
    let idle = match account.usage.first_use {
        Some(_) => (floor * 2).min(unspent / IDLE_FLOOR_DIVISOR),
        None => 0,
    };
    wanted.max(idle)
}

/// Works out what urgent requests need, for twice as long as the platform has been out of reach,
/// within limits.
pub(super) fn update_urgent_need(account: &mut Account, now: Duration, outage: Duration) {
    let Some(since) = account.usage.first_use else {
        return;
    };
    if now.saturating_sub(since).as_secs_f64() < SLOW_AVERAGE_S {
        return;
    }
    let rate = account.urgent_usage.rate(now);
    let limit = account.config.map_or(0, |terms| terms.urgent_floor);
    let (least, most) = FLOOR_OUTAGE_HORIZON_S;
    account.urgent_need = Some(if outage.is_zero() || limit == 0 {
        limit.min((rate * FLOOR_HORIZON_S) as u64)
    } else {
        (rate * (2.0 * outage.as_secs_f64()).clamp(least, most)) as u64
    });
}

/// Returns the tokens to set aside for use without a copy: what is used in a multiple of the time
/// that the platform has been out of reach, but not less than a part of what is available. A
/// process that dies loses them for good.
pub(super) fn allowance_target(account: &mut Account, now: Duration, outage: Duration) -> u64 {
    let time = (outage.as_secs_f64() * ALLOWANCE_OUTAGE_FACTOR).max(MIN_ALLOWANCE_HORIZON_S);
    let need = (account.usage.rate(now) * time) as u64;
    need.max(account.available / MIN_ALLOWANCE_DIVISOR).min(account.available)
}

/// Returns whether holdings are so far from the target that a round is worth it by itself.
pub(super) fn needs_round(account: &mut Account, now: Duration) -> bool {
    let target = target(account, now);
    account.low_water = target / 2;
    let low = account.available < account.low_water && account.pool.remaining > 0;
    low || excess(account, now) > target / 2
}

/// Returns the tokens to ask the table for in a round that takes place anyway.
pub(super) fn refill(account: &mut Account, now: Duration) -> u64 {
    let target = target(account, now);
    account.low_water = target / 2;
    let missing = account.shortfall();
    if account.available >= target - target / REFILL_SLACK_DIVISOR && missing == 0 {
        return 0;
    }
    let wanted = target.saturating_sub(account.available).max(missing);
    wanted.min(account.pool.remaining)
}

/// Returns the tokens to ask peers for beyond what is missing.
pub(super) fn peer_ask_margin(account: &mut Account, now: Duration) -> u64 {
    (account.usage.rate(now) * PEER_ASK_HORIZON_S) as u64
}

/// Returns the tokens to give back to the table.
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
