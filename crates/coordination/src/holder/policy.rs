//! How many tokens of a budget a process should hold.

use std::time::Duration;

use super::account::Account;

/// Time over which holdings are to last without the platform.
const HORIZON_S: f64 = 14_400.0;

/// Time for which tokens are asked of peers.
const AHEAD_S: f64 = 20.0;

/// Part of a budget's unspent tokens that all holders together aim for.
const POOL_SHARE: f64 = 0.95;

/// Part of the target by which holdings may fall short of it, as a divisor.
const GAP: u64 = 16;

/// Part of the target by which holdings may exceed it, as a divisor.
const SURPLUS: u64 = 4;

/// Share of the budget's use that is assumed until the table shows it.
const FIRST_SHARE: f64 = 0.0625;

/// Time for which urgent requests are to be served from the floor.
const FLOOR_S: f64 = 600.0;

/// The same while the platform can't be reached, at least and at most.
const FLOOR_CUT_OFF_S: (f64, f64) = (900.0, 2400.0);

/// Multiple of the time without the platform for which tokens may be used without a copy.
const UNCOPIED: f64 = 16.0;

/// Shortest such time.
const UNCOPIED_S: f64 = 900.0;

/// Least part of the available tokens that may be, as a divisor.
const UNCOPIED_SHARE: u64 = 8;

/// Part of the unspent tokens that the floor of one process takes at most, as a divisor.
const IDLE_SHARE: u64 = 32;

/// Time over which recent use is averaged.
const FAST_S: f64 = 30.0;

/// Time over which lasting use is averaged.
const SLOW_S: f64 = 600.0;

/// Time after which figures of the whole budget are read again.
pub(super) const REFRESH: Duration = Duration::from_secs(300);

/// Time over which the use of the whole budget is averaged.
const POOL_S: f64 = 120.0;

/// Growth above which use is taken from the short average.
const GROWTH: f64 = 2.0;

/// Shortest time over which the use of the whole budget is measured.
const POOL_INTERVAL: Duration = Duration::from_secs(10);

/// Tokens used in a second, averaged with exponential decay over two spans.
#[derive(Debug, Clone, Default)]
pub(super) struct Use {
    fast: f64,
    slow: f64,
    at: Duration,
    /// Time of the first use.
    since: Option<Duration>,
}

impl Use {
    /// Returns whether the budget was ever used here.
    pub fn is_used(&self) -> bool {
        self.since.is_some()
    }

    /// Counts tokens; below zero for those that turned out not to be used.
    pub fn add(&mut self, now: Duration, tokens: f64) {
        self.since.get_or_insert(now);
        self.decay(now);
        self.fast += tokens / FAST_S;
        self.slow += tokens / SLOW_S;
    }

    fn decay(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        if passed > 0.0 {
            self.fast *= (-passed / FAST_S).exp();
            self.slow *= (-passed / SLOW_S).exp();
            self.at = now;
        }
    }

    /// Returns the tokens used in a second, by the greater of the two averages.
    pub fn rate(&mut self, now: Duration) -> f64 {
        self.decay(now);
        let Some(since) = self.since else {
            return 0.0;
        };
        let age = now.saturating_sub(since).as_secs_f64().max(1.0);
        let fast = self.fast / (1.0 - (-age / FAST_S).exp());
        fast.max(self.slow(since, now)).max(0.0)
    }

    /// Returns the tokens used in a second, by the long average unless use has grown a lot.
    pub fn lasting(&mut self, now: Duration) -> f64 {
        let rate = self.rate(now);
        let slow = self.since.map_or(0.0, |since| self.slow(since, now)).max(0.0);
        if rate > slow * GROWTH { rate } else { slow }
    }

    fn slow(&self, since: Duration, now: Duration) -> f64 {
        let age = now.saturating_sub(since).as_secs_f64().max(1.0);
        self.slow / (1.0 - (-age / SLOW_S).exp())
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
        if passed < POOL_INTERVAL {
            return;
        }
        let rate = settled.saturating_sub(self.settled) as f64 / passed.as_secs_f64();
        let weight = 1.0 - (-passed.as_secs_f64() / POOL_S).exp();
        self.rate = Some(self.rate.map_or(rate, |last| last + (rate - last) * weight));
        self.settled = settled;
        self.settled_at = now;
    }
}

/// Returns the tokens that should be available at this process.
pub(super) fn target(account: &mut Account, now: Duration) -> u64 {
    let rate = account.used.rate(now);
    let unspent = account.pool.unspent;
    let own = account.used.lasting(now);
    let share = match account.pool.rate {
        Some(all) if all > 0.0 => (own / all.max(own)).min(1.0),
        _ => FIRST_SHARE,
    };
    let fair = unspent as f64 * POOL_SHARE * share;
    let wanted = (rate * HORIZON_S).min(fair) as u64;
    let floor = account.terms.map_or(0, |terms| terms.urgent_floor);
    let idle = match account.used.since {
        Some(_) => (floor * 2).min(unspent / IDLE_SHARE),
        None => 0,
    };
    wanted.max(idle)
}

/// Works out what urgent requests need, for twice as long as the platform has been out of reach,
/// within limits.
pub(super) fn learn_floor(account: &mut Account, now: Duration, cut_off: Duration) {
    let Some(since) = account.used.since else {
        return;
    };
    if now.saturating_sub(since).as_secs_f64() < SLOW_S {
        return;
    }
    let rate = account.used_urgently.rate(now);
    let limit = account.terms.map_or(0, |terms| terms.urgent_floor);
    let (least, most) = FLOOR_CUT_OFF_S;
    account.urgent_need = Some(if cut_off.is_zero() || limit == 0 {
        limit.min((rate * FLOOR_S) as u64)
    } else {
        (rate * (2.0 * cut_off.as_secs_f64()).clamp(least, most)) as u64
    });
}

/// Returns the tokens to set aside for use without a copy: what is used in a multiple of the time
/// that the platform has been out of reach, but not less than a part of what is available. A
/// process that dies loses them for good.
pub(super) fn uncopied(account: &mut Account, now: Duration, cut_off: Duration) -> u64 {
    let time = (cut_off.as_secs_f64() * UNCOPIED).max(UNCOPIED_S);
    let need = (account.used.rate(now) * time) as u64;
    need.max(account.available / UNCOPIED_SHARE).min(account.available)
}

/// Returns whether holdings are so far from the target that a round is worth it by itself.
pub(super) fn is_off(account: &mut Account, now: Duration) -> bool {
    let target = target(account, now);
    account.low_water = target / 2;
    let low = account.available < account.low_water && account.pool.remaining > 0;
    low || excess(account, now) > target / 2
}

/// Returns the tokens to ask the table for in a round that takes place anyway.
pub(super) fn refill(account: &mut Account, now: Duration) -> u64 {
    let target = target(account, now);
    account.low_water = target / 2;
    let missing = account.missing();
    if account.available >= target - target / GAP && missing == 0 {
        return 0;
    }
    let wanted = target.saturating_sub(account.available).max(missing);
    wanted.min(account.pool.remaining)
}

/// Returns the tokens to ask peers for beyond what is missing.
pub(super) fn ahead(account: &mut Account, now: Duration) -> u64 {
    (account.used.rate(now) * AHEAD_S) as u64
}

/// Returns the tokens to give back to the table.
pub(super) fn excess(account: &mut Account, now: Duration) -> u64 {
    if !account.waiting.is_empty() {
        return 0;
    }
    if account.terms.is_none() {
        return account.available;
    }
    let target = target(account, now);
    if account.available <= target + target / SURPLUS {
        return 0;
    }
    account.available - target
}
