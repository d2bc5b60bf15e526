//! Chooses the hosts that keep a workspace's tokens ahead.
//!
//! One host in each availability zone keeps them, by rendezvous hash, and lends them to the others
//! for each request. So a zone that is cut off goes on with what its host holds, and the death of
//! hosts strands few stakes. Hosts agree on it without asking each other as soon as they know the
//! same hosts; while they don't, one that isn't asked only keeps tokens for nothing.

use std::{collections::BTreeMap, sync::Arc};

use coordination::locate::{hash, mix64};
use serde::{Deserialize, Serialize};

/// Hosts of the own zone that may be asked: the one that keeps the tokens, and its stand-in.
const OWN_ZONE: usize = 2;

/// Where a host is.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Site {
    /// Name of the host.
    pub host: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
}

/// Hosts among which workspaces have their keepers.
#[derive(Debug, Default)]
pub struct Lenders {
    zones: BTreeMap<Arc<str>, Vec<(u64, Site)>>,
}

impl Lenders {
    /// Opens a set of hosts; their order has no effect.
    pub fn new(sites: impl IntoIterator<Item = Site>) -> Self {
        let mut keepers = Self::default();
        // A process of a version that doesn't say where it is can't be asked to keep any.
        for site in sites.into_iter().filter(|site| !site.zone.is_empty()) {
            let zone = keepers.zones.entry(site.zone.clone()).or_default();
            zone.push((hash(site.host.as_bytes()), site));
        }
        keepers
    }

    /// Returns how many hosts keep tokens of each workspace.
    pub fn count(&self) -> u64 {
        (self.zones.len() as u64).max(1)
    }

    /// Returns whether a host keeps tokens of a workspace.
    pub fn is_lender(&self, workspace: &str, site: &Site) -> bool {
        let best = self.zones.get(&site.zone).and_then(|zone| by_weight(zone, workspace).next());
        best == Some(site)
    }

    /// Returns the hosts to ask for tokens of a workspace: the own zone's keeper and its stand-in,
    /// then the other zones' keepers.
    pub fn rank(&self, workspace: &str, own_zone: &str) -> Vec<Site> {
        let own = self.zones.get(own_zone).into_iter();
        let own = own.flat_map(|zone| by_weight(zone, workspace).take(OWN_ZONE));
        let other = self.zones.iter().filter(|(name, _)| ***name != *own_zone);
        let other = other.filter_map(|(_, zone)| by_weight(zone, workspace).next());
        own.chain(other).cloned().collect()
    }
}

/// Returns the hosts of a zone, those first that come first for a workspace.
fn by_weight<'a>(zone: &'a [(u64, Site)], workspace: &str) -> impl Iterator<Item = &'a Site> {
    let key = hash(workspace.as_bytes());
    let mut ranked: Vec<_> = zone.iter().map(|(hash, site)| (mix64(hash ^ key), site)).collect();
    ranked.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    ranked.into_iter().map(|(_, site)| site)
}
