//! Chooses the lenders of a workspace: the hosts that prefetch its tokens.
//!
//! Rendezvous hashing gives each workspace one lender in each availability zone, which lends tokens
//! to the zone's other hosts for each request. So a zone that is partitioned off continues with
//! what its lender holds, and the death of hosts strands few allocations. Hosts agree on the
//! lenders without coordination as soon as they know the same hosts; until then, a host that takes
//! itself for a lender and isn't asked merely holds tokens in vain.

use std::{collections::BTreeMap, sync::Arc};

use coordination::locate::{hash, mix64};
use serde::{Deserialize, Serialize};

/// Number of hosts in the same zone that may be asked: the lender and its standby.
const SAME_ZONE_CANDIDATES: usize = 2;

/// Name and location of a host.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Site {
    /// Name of the host.
    pub host: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
}

/// Hosts from which the lenders of each workspace are chosen.
#[derive(Debug, Default)]
pub struct Lenders {
    zones: BTreeMap<Arc<str>, Vec<(u64, Site)>>,
}

impl Lenders {
    /// Creates the set of these hosts; their order has no effect.
    pub fn new(sites: impl IntoIterator<Item = Site>) -> Self {
        let mut lenders = Self::default();
        // A process of a version that doesn't publish its location can't be a lender.
        for site in sites.into_iter().filter(|site| !site.zone.is_empty()) {
            let zone = lenders.zones.entry(site.zone.clone()).or_default();
            zone.push((hash(site.host.as_bytes()), site));
        }
        lenders
    }

    /// Returns the number of lenders of each workspace.
    pub fn count(&self) -> u64 {
        (self.zones.len() as u64).max(1)
    }

    /// Returns whether a host is a lender of a workspace.
    pub fn is_lender(&self, workspace: &str, site: &Site) -> bool {
        let first = self
            .zones
            .get(&site.zone)
            .and_then(|zone| by_descending_weight(zone, workspace).next());
        first == Some(site)
    }

    /// Returns the names of hosts that are spread over the zones, those of other zones first.
    pub fn witnesses(&self, own: &Site, max: usize) -> Vec<Arc<str>> {
        let ranked = |zone: &[(u64, Site)]| -> Vec<Arc<str>> {
            let hosts = by_descending_weight(zone, &own.host);
            hosts.filter(|site| site.host != own.host).map(|site| site.host.clone()).collect()
        };
        let mut zones: Vec<_> =
            self.zones.iter().map(|(name, zone)| (*name == own.zone, ranked(zone))).collect();
        zones.sort_by_key(|(is_own, _)| *is_own);
        let longest = zones.iter().map(|(_, hosts)| hosts.len()).max().unwrap_or_default();
        let hosts = (0..longest)
            .flat_map(|place| zones.iter().filter_map(move |(_, hosts)| hosts.get(place)));
        hosts.take(max).cloned().collect()
    }

    /// Returns the hosts to ask for tokens of a workspace: the lender in `host_zone` and its
    /// standby, then the lenders in other zones.
    pub fn rank(&self, workspace: &str, host_zone: &str) -> Vec<Site> {
        let same_zone = self.zones.get(host_zone).into_iter();
        let same_zone = same_zone
            .flat_map(|zone| by_descending_weight(zone, workspace).take(SAME_ZONE_CANDIDATES));
        let other_zones = self.zones.iter().filter(|(name, _)| ***name != *host_zone);
        let other_zones =
            other_zones.filter_map(|(_, zone)| by_descending_weight(zone, workspace).next());
        same_zone.chain(other_zones).cloned().collect()
    }
}

/// Returns the hosts of a zone by descending weight for a workspace.
fn by_descending_weight<'a>(
    zone: &'a [(u64, Site)],
    workspace: &str,
) -> impl Iterator<Item = &'a Site> {
    let key = hash(workspace.as_bytes());
    let mut ranked: Vec<_> = zone.iter().map(|(hash, site)| (mix64(hash ^ key), site)).collect();
    ranked.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    ranked.into_iter().map(|(_, site)| site)
}
