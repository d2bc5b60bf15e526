//! Hosts among which the permits of limits are divided.

use std::{sync::Arc, time::Duration};

use coordination::locate::{hash, mix64};

/// Time after its start for which a process holds no permits. By then the other hosts know it, and
/// what the former process on the host may have used has expired.
const START_DELAY: Duration = Duration::from_millis(2500);

/// Hosts that are alive as this host knows them, and the platform's clock.
#[derive(Debug)]
pub struct Fleet {
    own: u64,
    /// Hashes of the names of all hosts but this one; `None` while this host isn't one of them.
    others: Option<Vec<u64>>,
    /// Time up to which no other host takes this one for dead.
    listed_until: Duration,
    /// Since when this host has been one of them without a gap.
    member_since: Duration,
    /// The platform's clock in milliseconds at a time of this process.
    clock: Option<(Duration, u64)>,
}

impl Fleet {
    /// Creates the fleet of a host that knows no other one yet.
    pub fn new(host: &str) -> Self {
        Self {
            own: hash(host.as_bytes()),
            others: None,
            listed_until: Duration::ZERO,
            member_since: START_DELAY,
            clock: None,
        }
    }

    /// Sets the names of all hosts that are alive.
    pub fn set_hosts<'a>(&mut self, now: Duration, hosts: impl IntoIterator<Item = &'a Arc<str>>) {
        let mut others: Vec<u64> = hosts.into_iter().map(|host| hash(host.as_bytes())).collect();
        let is_listed = others.contains(&self.own);
        others.retain(|host| *host != self.own);
        if self.others.is_none() {
            self.member_since = self.member_since.max(now);
        }
        self.others = is_listed.then_some(others);
    }

    /// Sets the time up to which no other host takes this one for dead.
    pub fn set_listed_until(&mut self, now: Duration, until: Duration) {
        if self.listed_until <= now {
            self.member_since = self.member_since.max(now);
        }
        self.listed_until = self.listed_until.max(until);
    }

    /// Sets the platform's clock, of which a lower bound is known; it never goes back.
    pub fn set_clock(&mut self, now: Duration, platform_ms: u64) {
        if self.platform_ms(now).is_none_or(|known| known < platform_ms) {
            self.clock = Some((now, platform_ms));
        }
    }

    /// Returns the platform's clock in milliseconds at a time of this process.
    pub fn platform_ms(&self, at: Duration) -> Option<u64> {
        let (read_at, platform_ms) = self.clock?;
        let later_ms = at.saturating_sub(read_at).as_millis() as u64;
        let earlier_ms = read_at.saturating_sub(at).as_millis() as u64;
        Some((platform_ms + later_ms).saturating_sub(earlier_ms))
    }

    /// Returns the platform's clock in milliseconds since which this host may have held permits;
    /// `None` if it holds none now.
    pub fn member_since_ms(&self, now: Duration) -> Option<u64> {
        let is_member =
            self.others.is_some() && self.member_since <= now && now < self.listed_until;
        is_member.then(|| self.platform_ms(self.member_since))?
    }

    /// Returns the number of hosts.
    pub fn hosts(&self) -> usize {
        1 + self.others.as_ref().map_or(0, Vec::len)
    }

    /// Returns whether this host is the holder of a permit among all hosts.
    pub fn is_holder(&self, backend: u64, number: u64) -> bool {
        let Some(others) = &self.others else { return false };
        let key = mix64(backend ^ mix64(number));
        let own_weight = mix64(self.own ^ key);
        others.iter().all(|other| mix64(other ^ key) < own_weight)
    }
}
