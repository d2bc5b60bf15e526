//! Which hosts keep a workspace's tokens, and which hosts count as alive.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use coordination::table::Row;
use gateway::{
    lender::{Lenders, Site},
    membership::LivenessTracker,
};
use test_case::test_case;

const ZONES: [&str; 3] = ["a", "b", "c"];

fn site(host: usize) -> Site {
    let zone = ZONES[host % ZONES.len()].into();
    Site { host: format!("host-{host}").into(), zone }
}

fn sites(hosts: usize) -> Vec<Site> {
    (0..hosts).map(site).collect()
}

#[test]
fn one_host_in_each_zone_keeps_a_workspace() {
    let keepers = Lenders::new(sites(90));
    assert_eq!(keepers.count(), 3);
    for workspace in 0..50 {
        let name = format!("workspace-{workspace}");
        let keeping: Vec<Site> =
            sites(90).into_iter().filter(|site| keepers.is_lender(&name, site)).collect();
        let zones: Vec<&str> = keeping.iter().map(|site| &*site.zone).collect();
        let mut sorted = zones.clone();
        sorted.sort_unstable();
        assert_eq!(sorted, ZONES, "{name}");
    }
}

#[test]
fn workspaces_are_spread_over_the_hosts_of_a_zone() {
    let keepers = Lenders::new(sites(30));
    let mut kept: BTreeMap<Arc<str>, u32> = BTreeMap::new();
    for workspace in 0..200 {
        let first = keepers.rank(&format!("workspace-{workspace}"), "a").remove(0);
        *kept.entry(first.host).or_default() += 1;
    }
    assert_eq!(kept.len(), 10, "all hosts of the zone keep some");
    assert!(kept.values().all(|count| *count <= 45), "{kept:?}");
}

struct Asked {
    own_zone: &'static str,
    hosts: usize,
    zones: &'static [&'static str],
}

#[test_case(Asked { own_zone: "a", hosts: 9, zones: &["a", "a", "b", "c"] }; "a stand-in after the own zone's host")]
#[test_case(Asked { own_zone: "c", hosts: 3, zones: &["c", "a", "b"] }; "no stand-in where the zone has one host")]
#[test_case(Asked { own_zone: "c", hosts: 2, zones: &["a", "b"] }; "other zones where the own one has none")]
fn nearest_hosts_are_asked_first(case: Asked) {
    let ranked = Lenders::new(sites(case.hosts)).rank("w", case.own_zone);
    let zones: Vec<&str> = ranked.iter().map(|site| &*site.zone).collect();
    assert_eq!(zones, case.zones);
}

#[test]
fn stand_in_follows_a_host_that_is_gone_and_other_workspaces_stay() {
    let all = Lenders::new(sites(30));
    let ranked = all.rank("w", "a");
    let fewer = Lenders::new(sites(30).into_iter().filter(|site| *site != ranked[0]));
    assert_eq!(fewer.rank("w", "a")[0], ranked[1]);
    for workspace in 0..100 {
        let name = format!("workspace-{workspace}");
        let before = all.rank(&name, "a").remove(0);
        if before != ranked[0] {
            assert_eq!(fewer.rank(&name, "a")[0], before, "{name}");
        }
    }
}

#[test]
fn host_of_unknown_zone_keeps_nothing() {
    let unknown = Site { host: "old".into(), zone: "".into() };
    let keepers = Lenders::new([unknown.clone()]);
    assert!(!keepers.is_lender("w", &unknown));
    assert!(keepers.rank("w", "a").is_empty());
}

/// A reading of the rows of two hosts.
struct Reading {
    at_s: u64,
    revisions: [u64; 2],
    alive: &'static [&'static str],
}

#[test_case(&[
    Reading { at_s: 0, revisions: [1, 2], alive: &["h0", "h1"] },
    Reading { at_s: 2, revisions: [3, 2], alive: &["h0", "h1"] },
    Reading { at_s: 4, revisions: [4, 2], alive: &["h0", "h1"] },
    Reading { at_s: 8, revisions: [5, 2], alive: &["h0", "h1"] },
    Reading { at_s: 12, revisions: [6, 2], alive: &["h0", "h1"] },
    Reading { at_s: 16, revisions: [7, 2], alive: &["h0"] },
    Reading { at_s: 18, revisions: [7, 8], alive: &["h0", "h1"] },
]; "a host that no longer writes is gone after a time")]
#[test_case(&[
    Reading { at_s: 0, revisions: [1, 2], alive: &["h0", "h1"] },
    Reading { at_s: 2, revisions: [3, 4], alive: &["h0", "h1"] },
    Reading { at_s: 60, revisions: [3, 4], alive: &["h0", "h1"] },
    Reading { at_s: 62, revisions: [5, 4], alive: &["h0", "h1"] },
]; "time without readings doesn't count")]
fn hosts_are_alive_while_their_rows_change(readings: &[Reading]) {
    let mut census = LivenessTracker::default();
    for reading in readings {
        let row = |host: usize| Row {
            key: format!("h{host}").into(),
            value: Some("".into()),
            revision: reading.revisions[host],
        };
        let alive = census.update(Duration::from_secs(reading.at_s), vec![row(0), row(1)]);
        let alive: Vec<&str> = alive.iter().map(|row| &*row.key).collect();
        assert_eq!(alive, reading.alive, "at {} s", reading.at_s);
    }
}
