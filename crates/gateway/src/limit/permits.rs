//! Permits that a host holds under one limit.

use std::{collections::VecDeque, time::Duration};

use super::Fleet;

/// Shortest interval between two batches of permits in milliseconds; a higher rate issues several
/// permits at once.
const MIN_INTERVAL_MS: f64 = 20.0;

/// Time in milliseconds for which a permit is valid at any rate.
const VALID_MS: f64 = 600.0;

/// Further time for which a permit is valid, as a multiple of the interval between two permits.
///
/// In any time t the hosts together send at most rate * (t + validity) + 1 requests.
const VALID_INTERVALS: f64 = 1.5;

/// Permission to send one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    issued_ms: u64,
}

/// Permits of a host, by the platform's clock in milliseconds.
#[derive(Debug, Default)]
pub struct Permits {
    held: VecDeque<Permit>,
    /// Time up to which permits were considered.
    through_ms: u64,
    /// Time of the last restart; permits from before it are invalid.
    restarted_ms: u64,
    usage: Usage,
}

/// Numbers of permits since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Permits that were issued to this host.
    pub issued: u64,
    /// Permits under which requests were sent.
    pub used: u64,
}

impl Permits {
    /// Removes all permits; only those that are issued after a time are added from now on.
    pub fn restart(&mut self, through_ms: u64) {
        self.held.clear();
        self.through_ms = through_ms;
        self.restarted_ms = through_ms;
    }

    /// Returns how many were issued and used.
    pub fn usage(&self) -> Usage {
        self.usage
    }

    /// Returns whether there is none.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Removes the permits that expired, and adds those of a rate that were issued to this host
    /// since it may hold permits.
    pub fn refresh(&mut self, now: Duration, per_s: f64, fleet: &Fleet, backend: u64) {
        let Some(now_ms) = fleet.platform_ms(now).filter(|now_ms| *now_ms > self.through_ms) else {
            return;
        };
        let interval_ms = (1000.0 / per_s).max(MIN_INTERVAL_MS);
        let valid_ms = (VALID_MS + VALID_INTERVALS * 1000.0 / per_s) as u64;
        let valid_from_ms = now_ms.saturating_sub(valid_ms);
        self.held.retain(|permit| permit.issued_ms > valid_from_ms);
        let number_at = |at_ms: u64| (at_ms as f64 / interval_ms) as u64;
        let after_ms = self.through_ms.max(valid_from_ms);
        self.through_ms = now_ms;
        let Some(member_since_ms) = fleet.member_since_ms(now) else {
            self.held.clear();
            return;
        };
        let first = number_at(after_ms.max(member_since_ms)) + 1;
        for number in first..=number_at(now_ms) {
            if fleet.is_holder(backend, number) {
                let issued_ms = (number as f64 * interval_ms) as u64;
                let count = batch_size(number, per_s * interval_ms / 1000.0);
                self.held.extend((0..count).map(|_| Permit { issued_ms }));
                self.usage.issued += count;
            }
        }
    }

    /// Takes the oldest permit out.
    pub fn take(&mut self) -> Option<Permit> {
        let permit = self.held.pop_front();
        self.usage.used += u64::from(permit.is_some());
        permit
    }

    /// Puts a permit back unless a restart has made it invalid meanwhile.
    pub fn put_back(&mut self, permit: Permit) {
        if permit.issued_ms > self.restarted_ms {
            self.held.push_front(permit);
        }
        self.usage.used = self.usage.used.saturating_sub(1);
    }

    /// Keeps each permit for which `keep` returns true.
    pub fn retain(&mut self, mut keep: impl FnMut() -> bool) {
        self.held.retain(|_| keep());
    }
}

/// Returns the number of permits in a batch if `mean` are issued on average.
fn batch_size(number: u64, mean: f64) -> u64 {
    if mean <= 1.0 {
        return 1;
    }
    let issued_before = |number: u64| (number as f64 * mean) as u64;
    issued_before(number + 1) - issued_before(number)
}
