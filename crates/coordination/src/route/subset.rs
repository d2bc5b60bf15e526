//! Which hosts read a back end, and so send to it first.
//!
//! Each back end is read by the hosts that rank highest for it by rendezvous hash of host and back
//! end, some of its own zone and some of the others. All back ends of a route so have equally many
//! readers, and a host that comes or goes changes only the readers of the back ends it ranks high
//! for. Numbers of readers grow until a host reads about [`SAME_ZONE_READS`] and [`OTHER_ZONE_READS`] back ends of a route.

use std::sync::Arc;

use super::backend::Hosts;
use crate::locate::{hash, spread};

/// Back ends of a route in the own zone that a host reads; of fewer it reads all.
pub const SAME_ZONE_READS: usize = 32;

/// Back ends of a route in other zones that a host reads; of fewer it reads all.
pub const OTHER_ZONE_READS: usize = 32;

/// Greatest number of back ends of a route in the own zone that a host reads, as when few hosts are
/// reachable.
pub const MAX_SAME_ZONE_READS: usize = 3 * SAME_ZONE_READS;

/// Greatest number of back ends of a route in other zones that a host reads.
pub const MAX_OTHER_ZONE_READS: usize = 3 * OTHER_ZONE_READS;

/// A host that takes requests.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntryHost {
    /// Name of the host.
    pub host: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
}

/// Ranks this host among all hosts for each back end.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Ranking {
    own: Option<(u64, Arc<str>)>,
    /// Hashes of the other hosts, with their zones.
    others: Vec<(u64, Arc<str>)>,
}

impl Ranking {
    /// Opens a ranking of one host among all.
    pub fn open(own: &str, hosts: &[EntryHost]) -> Self {
        let hashed = |entry: &EntryHost| (hash(entry.host.as_bytes()), entry.zone.clone());
        let others = hosts.iter().filter(|entry| *entry.host != *own);
        Self {
            own: hosts.iter().find(|entry| *entry.host == *own).map(hashed),
            others: others.map(hashed).collect(),
        }
    }

    /// Returns how many hosts are in a zone, and outside it.
    pub fn count(&self, zone: &str) -> (usize, usize) {
        let all = self.others.iter().chain(&self.own);
        let near = all.filter(|(_, of)| **of == *zone).count();
        (near, self.others.len() + usize::from(self.own.is_some()) - near)
    }

    /// Returns the weight of this host for a back end.
    pub fn weight(&self, backend: u64) -> u64 {
        self.own.as_ref().map_or(0, |(own, _)| spread(own ^ backend))
    }

    /// Returns the place of this host among the readers of a back end; `None` where it isn't one.
    pub fn place(&self, backend: u64, zone: &str, readers: Readers) -> Option<Hosts> {
        let (_, own_zone) = self.own.as_ref()?;
        let near = **own_zone == *zone;
        let wanted = if near { readers.near } else { readers.far };
        let weight = self.weight(backend);
        let group = self.others.iter().filter(|(_, of)| (**of == *zone) == near);
        let before = group.filter(|(host, _)| spread(host ^ backend) > weight);
        let rank = before.take(wanted).count();
        if rank == wanted {
            return None;
        }
        let number = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let index = if near { rank } else { readers.near + rank };
        Some(Hosts { count: number(readers.near + readers.far), index: number(index) })
    }
}

/// Numbers of hosts that read one back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct Readers {
    /// Of its own zone.
    pub near: usize,
    /// Of other zones.
    pub far: usize,
}

impl Readers {
    /// Returns the readers that back ends of one zone need, where a route has so many back ends in
    /// that zone and in all.
    pub fn needed(hosts: (usize, usize), in_zone: usize, in_all: usize) -> Self {
        Self {
            near: needed(SAME_ZONE_READS, hosts.0, in_zone),
            far: needed(OTHER_ZONE_READS, hosts.1, in_all),
        }
    }

    /// Returns the greater number of each kind.
    pub fn max(self, other: Self) -> Self {
        Self { near: self.near.max(other.near), far: self.far.max(other.far) }
    }
}

/// Returns how many of the hosts must read each back end for each host to read about `wanted`.
/// Powers of two keep the number while few hosts or back ends come or go.
fn needed(wanted: usize, hosts: usize, backends: usize) -> usize {
    let reads = wanted * hosts.next_power_of_two();
    reads.div_ceil(backends.next_power_of_two()).min(hosts)
}
