//! Usual time between events of a service's engines, by which slow ones are found.

use std::time::Duration;

use super::Backends;
use crate::pace::usual_gap;

/// Interval at which the usual time is recalculated. A median over all engines costs too much for
/// each placement.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);

impl Backends {
    /// Recalculates the usual time between events of a service's engines, at most once per interval.
    ///
    /// There is none unless an engine has stated how long work takes. Others have their machines for
    /// themselves, and those that are busy with long prompts must not be taken for slow.
    pub(super) fn refresh_pace(&mut self, now: Duration, service: &str) {
        match self.pace_updated_at.get_mut(service) {
            Some(at) if now.saturating_sub(*at) < UPDATE_INTERVAL => return,
            Some(at) => *at = now,
            None => {
                self.pace_updated_at.insert(service.into(), now);
            }
        }
        let of_service = || self.backends.values().filter(|own| *own.entry.service == *service);
        let states_work_time = of_service().any(|own| own.pace.has_report());
        let gaps = of_service().filter_map(|own| own.pace.event_gap(now));
        let mut gaps: Vec<_> = gaps.filter(|_| states_work_time).collect();
        let usual_gap = usual_gap(&mut gaps);
        let of_service = self.backends.values_mut().filter(|own| *own.entry.service == *service);
        of_service.for_each(|own| own.pace.set_usual_gap(now, usual_gap));
    }
}
