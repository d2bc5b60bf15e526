//! Divides the rate that a backend server takes from all hosts together among the hosts.
//!
//! A backend server may name a limit in its responses. Each limit issues numbered permits at its
//! rate by the platform's clock, and rendezvous hashing gives each permit to one of the hosts that
//! are alive. So every permit has one holder without any message, hosts that disagree on who is
//! alive differ in few permits, and a host that dies takes only its own share along. A permit is
//! valid for a short time, so that a host with few requests can use it, and expires then.
//!
//! Hosts learn a limit from responses to their own requests and from rows that others write. Of all
//! statements about a process of a backend server the newest counts, also one that names no limit
//! any more.
//!
//! A backend server that is cold, by its entry or by assumption, takes no more than the cold rate of
//! its service. While it is cold, the lower of both rates is in force. The cold time is a state that
//! each host derives from the platform's clock.
//!
//! This suits a load of many hosts, each with requests all the time, and limits far below what the
//! hosts would send.

use std::time::Duration;

mod cold;
mod fleet;
mod permits;
mod report;
mod row;
mod sharing;
mod statement;

pub(crate) use self::cold::ASSUMED_TIME;
pub use self::{
    cold::{Cold, ColdBasis, ColdBound},
    fleet::Fleet,
    permits::{Permit, Usage},
    report::{ColdBackend, Report},
    row::{LIMIT_PREFIX, LimitRow},
    sharing::Sharing,
    statement::{Origin, Statement},
};
use self::{permits::Permits, statement::Statements};

/// Lowest rate in requests per second at which a backend server is still asked whether its limit
/// holds.
const MIN_RATE_PER_S: f64 = 0.1;

/// Highest rate in requests per second that is used of a limit; it bounds the permits that are kept.
const MAX_RATE_PER_S: f64 = 10_000.0;

/// Limit of one process of a backend server, and the permits that this host holds under it.
#[derive(Debug, Default)]
pub struct Limit {
    statements: Statements,
    cold: Cold,
    /// Whether the backend server was cold at the last refresh.
    is_cold: bool,
    permits: Permits,
}

impl Limit {
    /// Records what a response to an own request states. Times are those of the platform's clock
    /// in milliseconds; `random` returns numbers from 0 to 1.
    pub fn record_own(
        &mut self,
        sent_ms: u64,
        now_ms: u64,
        per_s: Option<f64>,
        random: impl FnMut() -> f64,
    ) {
        let former = self.per_s();
        self.statements.record_own(sent_ms, now_ms, per_s);
        self.update_permits(now_ms, former, random);
    }

    /// Records what another host has shared.
    pub fn record_shared(
        &mut self,
        now_ms: u64,
        statement: Statement,
        random: impl FnMut() -> f64,
    ) {
        let former = self.per_s();
        self.statements.record_shared(statement);
        self.update_permits(now_ms, former, random);
    }

    fn update_permits(
        &mut self,
        now_ms: u64,
        former: Option<f64>,
        mut random: impl FnMut() -> f64,
    ) {
        match (former, self.per_s()) {
            (Some(former), Some(per_s)) if per_s < former => {
                // A lower rate would have issued fewer permits.
                self.permits.retain(|| random() * former < per_s);
            }
            (Some(_), Some(_)) => {}
            (None, _) | (_, None) => self.permits.restart(now_ms),
        }
    }

    /// Returns the newest statement.
    pub fn newest(&self) -> Option<(Statement, Origin)> {
        self.statements.newest()
    }

    /// Returns the requests per second that the newest statement names, if it names a limit.
    pub fn stated_per_s(&self) -> Option<f64> {
        let (statement, _) = self.newest()?;
        statement.per_s.map(|per_s| per_s.clamp(MIN_RATE_PER_S, MAX_RATE_PER_S))
    }

    /// Returns what is known of the cold time.
    pub fn cold(&self) -> &Cold {
        &self.cold
    }

    /// Returns what is known of the cold time, to be changed; it takes effect at the next refresh.
    pub fn cold_mut(&mut self) -> &mut Cold {
        &mut self.cold
    }

    /// Returns the cold rate if it was in force at the last refresh: the backend server was cold, and
    /// named no lower limit.
    pub fn cold_per_s(&self) -> Option<f64> {
        let cold = self.cold.per_s().filter(|_| self.is_cold)?.min(MAX_RATE_PER_S);
        self.stated_per_s().is_none_or(|stated| cold < stated).then_some(cold)
    }

    /// Returns the requests per second that all hosts together may send, if there is a limit or the
    /// backend server was cold at the last refresh.
    pub fn per_s(&self) -> Option<f64> {
        self.cold_per_s().or_else(|| self.stated_per_s())
    }

    /// Adds the permits that were issued meanwhile and removes those that expired; `backend` is the
    /// hash of the backend server's id.
    pub fn refresh(&mut self, now: Duration, fleet: &Fleet, backend: u64) {
        self.refresh_cold(now, fleet);
        if let Some(per_s) = self.per_s() {
            self.permits.refresh(now, per_s, fleet, backend);
        }
    }

    /// Takes over whether the backend server is cold. A cold time that begins invalidates the permits
    /// of a higher rate.
    fn refresh_cold(&mut self, now: Duration, fleet: &Fleet) {
        if self.cold.is_unknown() && !self.is_cold {
            return;
        }
        let platform_ms = fleet.platform_ms(now);
        let is_cold = self.cold.basis(now, platform_ms).is_some();
        if is_cold == self.is_cold {
            return;
        }
        let former = self.per_s();
        self.is_cold = is_cold;
        if self.per_s() != former && (is_cold || self.per_s().is_none()) {
            self.permits.restart(platform_ms.unwrap_or_default());
        }
    }

    /// Returns how many permits this host got and used since the process started to know limits of
    /// the backend server.
    pub fn usage(&self) -> Usage {
        self.permits.usage()
    }

    /// Returns whether a request may be sent, as of the last refresh.
    pub fn allows_request(&self) -> bool {
        self.per_s().is_none() || !self.permits.is_empty()
    }

    /// Takes a permit out.
    pub fn take(&mut self) -> Option<Permit> {
        self.permits.take()
    }

    /// Puts a permit back under which nothing was sent.
    pub fn put_back(&mut self, permit: Permit) {
        self.permits.put_back(permit);
    }
}
