//! Remembers for other hosts that they go on using an allocation which they can't renew.
//!
//! An allocation that isn't renewed in time may not be used any further until the platform must be
//! unreachable, so that a process that died is charged for the time until then only. A process that
//! is alive and can't renew its row, as while the platform is slow or away, asks its witnesses, all
//! of which have to note it. So the next process on its host needs only one of them to find out that
//! nothing was noted. This suits a load in which processes die more often than the platform is away.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

/// Time for which a note is kept.
const NOTE_TTL: Duration = Duration::from_secs(60);

/// Age of an allocation's row up to which a missing note proves something; well below the time for
/// which notes are kept, by the clocks of different hosts.
const MAX_PROVABLE_AGE: Duration = Duration::from_secs(20);

/// Maximum number of notes; no other is accepted while there are so many.
const MAX_NOTES: usize = 8192;

/// A row of an allocation, as one process wrote it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AllocationVersion {
    /// Name of the process.
    pub holder: Arc<str>,
    /// Workspace of the allocation.
    pub workspace: Arc<str>,
    /// Number of the transaction that wrote it.
    pub number: u64,
}

/// A holder and a workspace.
type Key = (Arc<str>, Arc<str>);

/// Notes of this host.
#[derive(Debug, Default)]
pub struct Notes {
    /// Highest number that was noted, by holder and workspace.
    numbers: HashMap<Key, u64>,
    /// Holders and workspaces in the order in which they were first noted.
    order: VecDeque<(Duration, Key)>,
}

impl Notes {
    /// Notes that a process goes on using allocations up to this one; returns whether that was noted.
    pub fn note(&mut self, now: Duration, version: &AllocationVersion) -> bool {
        let is_expired = |entry: &mut (Duration, Key)| now.saturating_sub(entry.0) >= NOTE_TTL;
        while let Some((_, key)) = self.order.pop_front_if(is_expired) {
            self.numbers.remove(&key);
        }
        if self.order.len() >= MAX_NOTES {
            return false;
        }
        let key = (version.holder.clone(), version.workspace.clone());
        let number = self.numbers.get(&key).copied().unwrap_or_default().max(version.number);
        // Each note is kept for the whole time, so that an earlier entry may not remove a later one.
        self.order.retain(|(_, other)| *other != key);
        self.numbers.insert(key.clone(), number);
        self.order.push_back((now, key));
        true
    }

    /// Returns whether it was noted that a process went on using an allocation; `None` if this
    /// process can't tell. `started_ms` is a time at or after the start of this process, `now_ms` the
    /// current one, and `written_ms` the one of the row, all by the platform's clock.
    pub fn find(
        &self,
        version: &AllocationVersion,
        started_ms: Option<u64>,
        now_ms: Option<u64>,
        written_ms: u64,
    ) -> Option<bool> {
        let was_here = started_ms? <= written_ms;
        let age = Duration::from_millis(now_ms?.saturating_sub(written_ms));
        if !was_here || age >= MAX_PROVABLE_AGE {
            return None;
        }
        let key = (version.holder.clone(), version.workspace.clone());
        Some(self.numbers.get(&key).is_some_and(|number| *number >= version.number))
    }
}
