//! Queue of member changes to pass on to other hosts.

use std::{collections::BTreeMap, sync::Arc};

/// Number of rounds of heartbeats that carry a change in the zone of this host. Changes that a host
/// misses all the same are repaired after digest mismatches.
pub const ROUNDS: u32 = 3;

/// Number of rounds of heartbeats that carry a change in another zone.
pub const OTHER_ZONE_ROUNDS: u32 = 1;

/// Queue of changed hosts, each with the number of rounds that still carry it.
#[derive(Debug, Default)]
pub struct Gossip {
    next: u64,
    /// Hosts and remaining rounds, by position in the queue.
    queue: BTreeMap<u64, (Arc<str>, u32)>,
    /// Positions in the queue, by host.
    positions: BTreeMap<Arc<str>, u64>,
}

impl Gossip {
    /// Adds a change; replaces an earlier one of the same host.
    pub fn push(&mut self, host: Arc<str>, rounds: u32) {
        if let Some(position) = self.positions.remove(&host) {
            self.queue.remove(&position);
        }
        self.insert(host, rounds);
    }

    /// Returns the changed hosts, the least recently sent first.
    pub fn hosts(&self) -> impl Iterator<Item = &Arc<str>> {
        self.queue.values().map(|(host, _)| host)
    }

    /// Counts one round for the first `count` changes; removes those without remaining rounds.
    pub fn count_round(&mut self, count: usize) {
        for _ in 0..count {
            let Some((_, (host, rounds))) = self.queue.pop_first() else { return };
            self.positions.remove(&host);
            if rounds > 1 {
                self.insert(host, rounds - 1);
            }
        }
    }

    fn insert(&mut self, host: Arc<str>, rounds: u32) {
        self.positions.insert(host.clone(), self.next);
        self.queue.insert(self.next, (host, rounds));
        self.next += 1;
    }
}
