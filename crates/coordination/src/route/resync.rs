//! Paces full reads of the cache events of back ends.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Shortest time between two full reads of one back end, for engines that lose events for good.
const PAUSE: Duration = Duration::from_secs(30);

/// When each back end may be read in full again.
#[derive(Debug, Default)]
pub(super) struct Pace {
    due: BTreeMap<Arc<str>, Duration>,
}

impl Pace {
    /// Returns whether a full read may start now, and counts it.
    pub fn allow(&mut self, now: Duration, backend: &Arc<str>) -> bool {
        if self.due.get(backend).is_some_and(|due| now < *due) {
            return false;
        }
        self.due.insert(backend.clone(), now + PAUSE);
        true
    }

    /// Forgets a back end.
    pub fn forget(&mut self, backend: &str) {
        self.due.remove(backend);
    }
}
