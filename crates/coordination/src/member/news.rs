//! Members whose change other hosts still have to hear of.

use std::{collections::BTreeMap, sync::Arc};

/// Rounds of heartbeats that carry a change in the own zone; differing digests mend what is missed.
const ROUNDS: u32 = 3;

/// Rounds of heartbeats that carry a change in another zone.
const ROUNDS_ABROAD: u32 = 1;

/// Place of a change in the line; those of the own zone come before those of others.
type Place = (bool, u64);

/// Changes that wait to be told.
#[derive(Debug, Default)]
pub struct News {
    next: u64,
    rounds: BTreeMap<Place, (Arc<str>, u32)>,
    places: BTreeMap<Arc<str>, Place>,
}

impl News {
    /// Adds a change, in place of an earlier one of the same host.
    pub fn push(&mut self, host: Arc<str>, abroad: bool) {
        if let Some(place) = self.places.remove(&host) {
            self.rounds.remove(&place);
        }
        let rounds = if abroad { ROUNDS_ABROAD } else { ROUNDS };
        self.insert(host, abroad, rounds);
    }

    /// Returns the hosts of the changes, those of the own zone first, and of each kind the one told
    /// longest ago.
    pub fn hosts(&self) -> impl Iterator<Item = &Arc<str>> {
        self.rounds.values().map(|(host, _)| host)
    }

    /// Counts one round of the first `count` changes.
    pub fn told(&mut self, count: usize) {
        let places: Vec<Place> = self.rounds.keys().take(count).copied().collect();
        for place in places {
            let Some((host, rounds)) = self.rounds.remove(&place) else { return };
            self.places.remove(&host);
            if rounds > 1 {
                self.insert(host, place.0, rounds - 1);
            }
        }
    }

    fn insert(&mut self, host: Arc<str>, abroad: bool, rounds: u32) {
        let place = (abroad, self.next);
        self.places.insert(host.clone(), place);
        self.rounds.insert(place, (host, rounds));
        self.next += 1;
    }
}
