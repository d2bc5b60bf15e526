//! Cold backend servers: what the configuration, their entries and evacuations that end say of them.

use std::{sync::Arc, time::Duration};

use super::Backends;
use crate::{
    backend::Backend,
    catalog::ColdStart,
    limit::{ColdBasis, ColdBound},
};

impl Backends {
    /// Sets the services that state a cold rate, and the bound that is in force for all of them.
    pub fn set_cold_starts(
        &mut self,
        bound: ColdBound,
        starts: impl IntoIterator<Item = (Arc<str>, ColdStart)>,
    ) {
        self.cold_bound = bound;
        self.cold_starts = starts.into_iter().collect();
        for backend in self.backends.values_mut() {
            let start = self.cold_starts.get(&backend.entry.service).copied();
            backend.limit.cold_mut().set_start(start, bound);
        }
    }

    /// Assumes from now on that the backend servers of a zone are cold, as after the end of its
    /// evacuation, until their entries certainly state whether they are. Those of services that
    /// state no cold rate aren't affected.
    pub fn assume_cold(&mut self, now: Duration, zone: &str) {
        self.zones.entry(zone.into()).or_default().cold_since = Some(now);
        let in_zone = self.backends.values_mut().filter(|own| *own.entry.zone == *zone);
        let mut servers = 0;
        for backend in in_zone.filter(|own| own.limit.cold().per_s().is_some()) {
            backend.limit.cold_mut().assume_since(now);
            backend.limit.refresh(now, &self.fleet, backend.hash);
            servers += 1;
        }
        tracing::info!(event = "zone_assumed_cold", zone, servers);
    }

    /// Takes over what is known of the cold time of a backend server that was listed.
    pub(super) fn update_cold(&mut self, now: Duration, id: &str, is_new: bool) {
        let Some(backend) = self.backends.get_mut(id) else { return };
        let until_ms = backend.entry.cold_until_ms;
        let cold = backend.limit.cold_mut();
        let is_changed = cold.set_stated_until(until_ms);
        if is_new {
            cold.set_start(self.cold_starts.get(&backend.entry.service).copied(), self.cold_bound);
            let zone = self.zones.get(&backend.entry.zone);
            if let Some(since) = zone.and_then(|zone| zone.cold_since) {
                cold.assume_since(since);
            }
        }
        if cold.is_unknown() {
            return;
        }
        // Permits are issued from now on, also if the next request comes later.
        backend.limit.refresh(now, &self.fleet, backend.hash);
        let cold = backend.limit.cold();
        let platform_ms = self.fleet.platform_ms(now);
        if is_changed && cold.basis(now, platform_ms) == Some(ColdBasis::Entry) {
            tracing::info!(
                event = "backend_cold",
                backend = %backend.entry.id,
                service = %backend.entry.service,
                per_s = cold.per_s(),
                left_ms = cold.time_left(now, platform_ms).as_millis() as u64,
                until_ms,
                sequence = backend.entry.sequence,
            );
        }
    }

    /// Returns the backend servers that are cold, and why.
    pub fn cold(&self, now: Duration) -> impl Iterator<Item = (&Backend, ColdBasis)> {
        let platform_ms = self.fleet.platform_ms(now);
        let basis = move |backend: &Backend| backend.limit.cold().basis(now, platform_ms);
        self.backends.values().filter_map(move |own| Some((own, basis(own)?)))
    }
}
