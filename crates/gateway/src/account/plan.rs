//! Decides what an account does with the platform's table.

use std::time::Duration;

use coordination::table::Txn;

use super::{Account, Allocation, Environment, Pending, Step, allocation::Limit};

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

/// Least time between two looks at an account for which no request waits.
const IDLE_PAUSE: Duration = Duration::from_millis(250);

/// Part of the prepaid amount below which hosts give back what they don't need, in percent.
const SCARCE_PERCENT: u64 = 10;

/// Hosts keeping tokens from which a budget's row is read before it is changed, since others change it
/// all the time.
const READ_FIRST_KEEPERS: u64 = 16;

/// Age of what is known of a budget's row up to which it is changed without reading it again.
const FRESH: Duration = Duration::from_millis(60);

/// Requests of typical size whose tokens a host that keeps none ahead doesn't give back.
const LEFTOVER_REQUESTS: u64 = 1;

/// Requests of typical size from which a part of the unspent budget is worth a transaction.
const LEAST_REQUESTS: u64 = 2;

impl Account {
    /// Returns the bound on use in a second.
    fn bounded_rate(&self, now: Duration, setting: &Environment) -> u64 {
        ((self.rate.at(now) * RATE_MARGIN) as u64).max(self.floor(setting))
    }

    /// Returns the use in a second that is expected while nothing is known.
    fn floor(&self, setting: &Environment) -> u64 {
        if setting.is_lender {
            self.prepaid / 1000 * FLOOR_MILLI / setting.lenders.max(1)
        } else {
            0
        }
    }

    /// Returns the tokens that this host should hold beyond those set aside.
    fn target(&self, now: Duration, setting: &Environment) -> u64 {
        if self.closing || self.retiring || self.is_overdrawn() {
            return 0;
        }
        let by_rate = (self.slow_rate.at(now) * AHEAD.as_secs_f64()) as u64;
        by_rate.max(self.floor(setting) * FLOOR_AHEAD.as_secs())
    }

    /// Returns this host's part of the tokens that no host holds, as a part of those it keeps ahead.
    fn share(&self, setting: &Environment) -> u64 {
        let most = self.ungranted() / 100 * AHEAD_PERCENT;
        // A workspace's callers may come to few of the hosts.
        let granted = self.sums.granted.saturating_sub(self.sums.returned).max(1);
        let by_use = u128::from(most) * u128::from(self.used) / u128::from(granted);
        (by_use as u64).max(most / setting.lenders.max(1))
    }

    /// Returns what to do with the platform's table now.
    pub fn plan(&mut self, now: Duration, setting: Environment) -> Option<Step> {
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

    fn choose(&mut self, now: Duration, setting: Environment) -> Option<Step> {
        let target = self.target(now, &setting);
        let remaining = self.ungranted();
        let total = self.total();
        let fits = self.wanted <= total + remaining;
        let wanted = if self.wanted > 0 { self.wanted.max(self.queued) } else { 0 };
        let missing = wanted.saturating_sub(total);
        let share = self.share(&setting);
        let worthwhile = share > (total / 4).max(self.typical as u64 * LEAST_REQUESTS);
        let low = !self.called_in && total < target / 2 + target / 4 && worthwhile;
        let grant = (!self.known && setting.is_lender) || missing > 0 || low;
        let spare = total.saturating_sub(target);
        let scarce = remaining < self.prepaid / 100 * SCARCE_PERCENT;
        let surplus = if setting.is_lender {
            spare > 2 * target || (scarce && spare > target / 4)
        } else {
            // What requests leave of borrowed tokens serves the next ones.
            spare > 2 * target + LEFTOVER_REQUESTS * self.typical as u64
        };
        let give_back = self.called_in || (spare > 0 && (self.closing || surplus));
        let give_back = give_back && wanted == 0;
        let stale = setting.lenders >= READ_FIRST_KEEPERS
            && self.seen.is_none_or(|seen| now.saturating_sub(seen) >= FRESH);
        let stale = stale && (self.limit.is_some() || self.held == 0);
        if (grant || give_back) && (!self.known || stale) {
            let stake = (!self.known).then(|| self.stake_row.key.clone());
            let keys = stake.into_iter().chain([self.sums_row.key.clone()]);
            return Some(Step::Read(keys.collect()));
        }
        if self.known && self.limit.is_none() && self.held > 0 {
            // No other host changes the row of the former process's stake, so that this meets no
            // conflict; the budget's row may be changed all the time.
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
    fn is_stake_due(&self, now: Duration, setting: &Environment) -> bool {
        let empty = self.total() == 0 && self.stake.tokens == 0;
        match self.limit {
            Some(limit) => !empty && limit.is_due(now, setting),
            None => self.known && (setting.is_lender || !empty),
        }
    }

    fn start(
        &mut self,
        now: Duration,
        setting: Environment,
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
        let stake = Allocation {
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
}
