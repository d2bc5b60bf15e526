//! Members whose change other hosts still have to hear of.

use std::{collections::BTreeMap, sync::Arc};

/// Rounds of heartbeats that carry a change in the own zone; differing digests mend what is missed.
pub const ROUNDS: u32 = 3;

/// Rounds of heartbeats that carry a change in another zone.
pub const ROUNDS_ABROAD: u32 = 1;

/// Changes that wait to be told.
#[derive(Debug, Default)]
pub struct News {
    next: u64,
    rounds: BTreeMap<u64, (Arc<str>, u32)>,
    places: BTreeMap<Arc<str>, u64>,
}

impl News {
    /// Adds a change, in place of an earlier one of the same host.
    pub fn push(&mut self, host: Arc<str>, rounds: u32) {
        if let Some(place) = self.places.remove(&host) {
            self.rounds.remove(&place);
        }
        self.insert(host, rounds);
    }

    /// Returns the hosts of the changes, the one told longest ago first.
    pub fn hosts(&self) -> impl Iterator<Item = &Arc<str>> {
        self.rounds.values().map(|(host, _)| host)
    }

    /// Counts one round of the first `count` changes.
    pub fn told(&mut self, count: usize) {
        for _ in 0..count {
            let Some((_, (host, rounds))) = self.rounds.pop_first() else { return };
            self.places.remove(&host);
            if rounds > 1 {
                self.insert(host, rounds - 1);
            }
        }
    }

    fn insert(&mut self, host: Arc<str>, rounds: u32) {
        self.places.insert(host.clone(), self.next);
        self.rounds.insert(self.next, (host, rounds));
        self.next += 1;
    }
}
