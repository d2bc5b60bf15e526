//! Backend servers that named a limit: what this host learns of it, and its permits.

use std::time::Duration;

use rand::RngExt as _;

use super::Backends;
use crate::{
    backend::Backend,
    limit::{Fleet, Origin, Permit, Sharing},
};

/// Longest time after which a caller may retry if all backend servers are limited. Callers beyond
/// what is served within it are spread over its second half.
const MAX_LIMITED_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Time after the end of a cold time over which callers are spread, so that they don't return at the
/// same moment.
const WARM_SPREAD: Duration = Duration::from_millis(500);

/// A limited backend server gets no request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limited;

impl Backends {
    /// Returns the hosts among which limits are divided.
    pub fn fleet_mut(&mut self) -> &mut Fleet {
        &mut self.fleet
    }

    /// Records the limit that a response to a request of this host states, or that it states none.
    /// Returns whether the limit changed.
    pub fn record_limit(
        &mut self,
        now: Duration,
        id: &str,
        sent_at: Duration,
        per_s: Option<f64>,
    ) -> bool {
        let Some(backend) = self.backends.get_mut(id) else { return false };
        let (Some(sent_ms), Some(now_ms)) =
            (self.fleet.platform_ms(sent_at), self.fleet.platform_ms(now))
        else {
            return false;
        };
        let former = backend.limit.stated_per_s();
        backend.limit.record_own(sent_ms, now_ms, per_s, || self.rng.random_range(0.0..1.0));
        let is_changed = backend.limit.stated_per_s() != former;
        if is_changed {
            log_limit(backend, former, now_ms, None);
        }
        is_changed
    }

    /// Takes over the limits that other hosts have shared.
    pub fn apply_limits(&mut self, now: Duration, sharing: &Sharing) {
        let Some(now_ms) = self.fleet.platform_ms(now).filter(|_| !sharing.is_empty()) else {
            return;
        };
        for backend in self.backends.values_mut() {
            let Some((statement, host)) = sharing.statement(&backend.entry) else { continue };
            let former = backend.limit.stated_per_s();
            backend.limit.record_shared(now_ms, statement, || self.rng.random_range(0.0..1.0));
            if backend.limit.stated_per_s() != former {
                log_limit(backend, former, now_ms, Some(&host));
            }
        }
    }

    /// Returns the backend servers about whose limits something is known.
    pub fn limited(&self) -> impl Iterator<Item = &Backend> {
        self.backends.values().filter(|backend| backend.limit.newest().is_some())
    }

    /// Takes the permit for one request out; `None` if the backend server isn't limited.
    ///
    /// # Errors
    ///
    /// Returns an error if it is limited and this host holds no permit.
    pub fn take_permit(&mut self, now: Duration, id: &str) -> Result<Option<Permit>, Limited> {
        let Some(backend) = self.backends.get_mut(id) else { return Ok(None) };
        backend.limit.refresh(now, &self.fleet, backend.hash);
        match backend.limit.per_s() {
            Some(_) => backend.limit.take().map(Some).ok_or(Limited),
            None => Ok(None),
        }
    }

    /// Puts a permit back under which nothing was sent.
    pub fn put_back_permit(&mut self, id: &str, permit: Permit) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.limit.put_back(permit);
        }
    }

    /// Brings this host's permits for the backend servers of a service up to date.
    pub(super) fn refresh_permits(&mut self, now: Duration, service: &str) {
        let of_service = self.backends.values_mut().filter(|own| *own.entry.service == *service);
        of_service.for_each(|own| own.limit.refresh(now, &self.fleet, own.hash));
    }

    /// Returns the time until the limits of a service's backend servers allow one more request than
    /// those for which callers were told to wait before, or until the first backend server without
    /// a limit isn't cold any more, plus a random part; `None` if there are no limits.
    pub(super) fn limited_retry_after(&mut self, now: Duration, service: &str) -> Option<Duration> {
        let takes_requests = |backend: &&Backend| {
            *backend.entry.service == *service
                && !backend.is_leaving()
                && !self.is_evacuated(backend)
        };
        let limited = self.backends.values().filter(takes_requests);
        let per_s: f64 = limited.clone().filter_map(|backend| backend.limit.per_s()).sum();
        if per_s <= 0.0 {
            return None;
        }
        let platform_ms = self.fleet.platform_ms(now);
        let cold = limited.filter(|own| own.limit.cold_per_s().is_some());
        let soon_warm = cold
            .filter(|own| own.limit.stated_per_s().is_none())
            .map(|own| own.limit.cold().time_left(now, platform_ms))
            .min()
            .filter(|time| *time < MAX_LIMITED_RETRY_AFTER);
        let share_per_s = per_s / self.fleet.hosts() as f64;
        let turn = Duration::from_secs_f64((1.0 / share_per_s).min(60.0));
        let told_until = self.limited_until.get(service).copied().unwrap_or_default();
        let next = told_until.max(now) + turn;
        if let Some(time) = soon_warm.filter(|time| now + *time < next) {
            let spread = WARM_SPREAD.as_secs_f64();
            return Some(time + Duration::from_secs_f64(self.rng.random_range(0.0..spread)));
        }
        let latest = now + MAX_LIMITED_RETRY_AFTER;
        self.limited_until.insert(service.into(), next.min(latest));
        if next <= latest {
            return Some(next - now);
        }
        Some(MAX_LIMITED_RETRY_AFTER.mul_f64(self.rng.random_range(0.5..1.0)))
    }
}

/// Logs a change of the limit of a backend server; `host` is the one that shared it.
fn log_limit(backend: &Backend, former: Option<f64>, now_ms: u64, host: Option<&str>) {
    let statement = backend.limit.newest();
    tracing::info!(
        event = "backend_limit",
        backend = %backend.entry.id,
        per_s = backend.limit.stated_per_s(),
        former,
        stated = statement.and_then(|(statement, _)| statement.per_s),
        source = statement.map(|(_, origin)| match origin {
            Origin::Own => "response",
            Origin::Shared => "row",
        }),
        host,
        age_ms = statement.map(|(statement, _)| now_ms.saturating_sub(statement.at_ms)),
        running = backend.running(),
    );
}
