//! Rate limit for full reads of the cache events of backend servers.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Minimum time between two full reads of one backend server; applies to engines that lose events
/// permanently.
const RESYNC_INTERVAL: Duration = Duration::from_secs(30);

/// Limits how often each backend server is read in full.
#[derive(Debug, Default)]
pub(super) struct ResyncLimiter {
    next_allowed: BTreeMap<Arc<str>, Duration>,
}

impl ResyncLimiter {
    /// Returns whether a full read may start now; if so, the next one must wait for the interval.
    pub fn try_start(&mut self, now: Duration, backend: &Arc<str>) -> bool {
        if self.next_allowed.get(backend).is_some_and(|at| now < *at) {
            return false;
        }
        self.next_allowed.insert(backend.clone(), now + RESYNC_INTERVAL);
        true
    }

    /// Forgets a backend server.
    pub fn forget(&mut self, backend: &str) {
        self.next_allowed.remove(backend);
    }
}
