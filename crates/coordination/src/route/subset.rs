//! Subsetting: decides which hosts read the load reports of a backend server and send to it first.
//!
//! Each backend server is read by the hosts that rank highest for it by rendezvous hashing, some in
//! its own zone and some in others. All backend servers of a route therefore have equally many
//! readers, and a host that joins or leaves changes only the readers of the backend servers for
//! which it ranks high. The number of readers is chosen so that a host reads about
//! [`SAME_ZONE_READS`] and [`OTHER_ZONE_READS`] backend servers of a route.

use std::sync::Arc;

use super::backend::HostIndex;
use crate::locate::{hash, mix64};

/// Number of backend servers of a route in its own zone that a host reads; it reads all if there
/// are fewer.
pub const SAME_ZONE_READS: usize = 32;

/// Number of backend servers of a route in other zones that a host reads; it reads all if there are
/// fewer.
pub const OTHER_ZONE_READS: usize = 32;

/// Maximum number of backend servers of a route in its own zone that a host reads, for example when
/// few hosts are reachable.
pub const MAX_SAME_ZONE_READS: usize = 3 * SAME_ZONE_READS;

/// Maximum number of backend servers of a route in other zones that a host reads.
pub const MAX_OTHER_ZONE_READS: usize = 3 * OTHER_ZONE_READS;

/// A host that accepts requests.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntryHost {
    /// Name of the host.
    pub host: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
}

/// Ranks this host among all hosts for each backend server, by rendezvous hashing.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Ranking {
    /// Hash and zone of this host; `None` if it is not in the list of hosts.
    own: Option<(u64, Arc<str>)>,
    /// Hashes and zones of the other hosts.
    others: Vec<(u64, Arc<str>)>,
}

impl Ranking {
    /// Returns a ranking of the host `own` among all hosts.
    pub fn new(own: &str, hosts: &[EntryHost]) -> Self {
        let hashed = |host: &EntryHost| (hash(host.host.as_bytes()), host.zone.clone());
        let others = hosts.iter().filter(|host| *host.host != *own);
        Self {
            own: hosts.iter().find(|host| *host.host == *own).map(hashed),
            others: others.map(hashed).collect(),
        }
    }

    /// Returns the number of hosts in a zone and the number of hosts in all other zones.
    pub fn count_by_zone(&self, zone: &str) -> (usize, usize) {
        let all = self.others.iter().chain(&self.own);
        let same_zone = all.filter(|(_, host_zone)| **host_zone == *zone).count();
        (same_zone, self.others.len() + usize::from(self.own.is_some()) - same_zone)
    }

    /// Returns the rendezvous weight of this host for the backend server with this hash.
    pub fn weight(&self, backend: u64) -> u64 {
        self.own.as_ref().map_or(0, |(own, _)| mix64(own ^ backend))
    }

    /// Returns the index of this host among the readers of a backend server, given by its hash and
    /// zone; `None` if this host is not one of them.
    pub fn reader_index(&self, backend: u64, zone: &str, readers: Readers) -> Option<HostIndex> {
        let (_, own_zone) = self.own.as_ref()?;
        let is_same_zone = **own_zone == *zone;
        let count = if is_same_zone { readers.same_zone } else { readers.other_zones };
        let weight = self.weight(backend);
        let group = self.others.iter().filter(|(_, other)| (**other == *zone) == is_same_zone);
        let ranked_higher = group.filter(|(host, _)| mix64(host ^ backend) > weight);
        let rank = ranked_higher.take(count).count();
        if rank == count {
            return None;
        }
        let number = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let index = if is_same_zone { rank } else { readers.same_zone + rank };
        Some(HostIndex {
            count: number(readers.same_zone + readers.other_zones),
            index: number(index),
        })
    }
}

/// Number of hosts that read the load reports of one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct Readers {
    /// Hosts in the zone of the backend server.
    pub same_zone: usize,
    /// Hosts in other zones.
    pub other_zones: usize,
}

impl Readers {
    /// Returns the number of readers for each backend server of a route in one zone.
    ///
    /// `hosts` is the result of [`Ranking::count_by_zone`]; `in_zone` and `in_all` are the number
    /// of backend servers of the route in the zone and in all zones.
    pub fn needed(hosts: (usize, usize), in_zone: usize, in_all: usize) -> Self {
        Self {
            same_zone: needed(SAME_ZONE_READS, hosts.0, in_zone),
            other_zones: needed(OTHER_ZONE_READS, hosts.1, in_all),
        }
    }

    /// Returns the maximum of both numbers.
    pub fn max(self, other: Self) -> Self {
        Self {
            same_zone: self.same_zone.max(other.same_zone),
            other_zones: self.other_zones.max(other.other_zones),
        }
    }
}

/// Returns how many of the hosts must read each backend server for each host to read about
/// `reads_per_host` of them.
///
/// Rounding to powers of two keeps the result stable while few hosts or backend servers are added
/// or removed.
fn needed(reads_per_host: usize, hosts: usize, backends: usize) -> usize {
    let total_reads = reads_per_host * hosts.next_power_of_two();
    total_reads.div_ceil(backends.next_power_of_two()).min(hosts)
}
