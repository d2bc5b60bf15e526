//! Cold backend servers: what the configuration, their entries and evacuations that end say of them.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::Backends;
use crate::{
    backend::Backend,
    catalog::ColdStart,
    limit::{ASSUMED_TIME, ColdBasis, ColdBound},
};

/// Difference between two readings of the platform's clock from which the end of an evacuation that
/// another host has seen counts as a later one.
const MIN_LATER: Duration = Duration::from_millis(500);

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
        self.assume_cold_since(now, zone, now);
    }

    /// Assumes the same since an earlier time.
    fn assume_cold_since(&mut self, now: Duration, zone: &str, since: Duration) {
        self.zones.entry(zone.into()).or_default().cold_since = Some(since);
        let in_zone = self.backends.values_mut().filter(|own| *own.entry.zone == *zone);
        let mut servers = 0;
        for backend in in_zone {
            // A process that starts may not have read the configuration yet.
            backend.limit.cold_mut().assume_since(since);
            backend.limit.refresh(now, &self.fleet, backend.hash);
            servers += usize::from(backend.limit.cold().per_s().is_some());
        }
        tracing::info!(event = "zone_assumed_cold", zone, servers);
    }

    /// Returns the zones whose backend servers are assumed to be cold now, and since when, by the
    /// platform's clock in milliseconds; without a clock there are none.
    pub fn ended_evacuations(&self, now: Duration) -> BTreeMap<Arc<str>, u64> {
        let since = |zone: &super::Zone| zone.cold_since.filter(|at| now < *at + ASSUMED_TIME);
        let ended = self.zones.iter().filter_map(|(name, zone)| Some((name, since(zone)?)));
        ended.filter_map(|(name, at)| Some((name.clone(), self.fleet.platform_ms(at)?))).collect()
    }

    /// Takes over that another host learned the end of a zone's evacuation at a time by the platform's
    /// clock, which this process may not have known, as it has just started or was paused.
    pub fn record_ended_evacuation(&mut self, now: Duration, zone: &str, ended_ms: u64) {
        let Some(platform_ms) = self.fleet.platform_ms(now) else { return };
        let age = Duration::from_millis(platform_ms.saturating_sub(ended_ms));
        let since = now.saturating_sub(age);
        let known = self.zones.get(zone).and_then(|zone| zone.cold_since);
        if age < ASSUMED_TIME && known.is_none_or(|known| known + MIN_LATER < since) {
            self.assume_cold_since(now, zone, since);
        }
    }

    /// Takes over that another host read the row of a zone's evacuation earlier than this process
    /// found none. Unless this process has seen an end, the evacuation may have just ended.
    pub fn record_former_evacuation(&mut self, now: Duration, zone: &str) {
        if self.zones.get(zone).is_none_or(|zone| zone.cold_since.is_none()) {
            self.assume_cold(now, zone);
        }
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
