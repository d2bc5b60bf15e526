//! Which hosts are the lenders of a workspace, and which hosts count as alive.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

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
fn workspace_has_one_lender_in_each_zone() {
    let lenders = Lenders::new(sites(90));
    assert_eq!(lenders.count(), 3);
    for workspace in 0..50 {
        let name = format!("workspace-{workspace}");
        let own_lenders: Vec<Site> =
            sites(90).into_iter().filter(|site| lenders.is_lender(&name, site)).collect();
        let zones: Vec<&str> = own_lenders.iter().map(|site| &*site.zone).collect();
        let mut sorted = zones.clone();
        sorted.sort_unstable();
        assert_eq!(sorted, ZONES, "{name}");
    }
}

#[test]
fn workspaces_are_spread_over_the_hosts_of_a_zone() {
    let lenders = Lenders::new(sites(30));
    let mut workspaces_by_host: BTreeMap<Arc<str>, u32> = BTreeMap::new();
    for workspace in 0..200 {
        let first = lenders.rank(&format!("workspace-{workspace}"), "a").remove(0);
        *workspaces_by_host.entry(first.host).or_default() += 1;
    }
    assert_eq!(
        workspaces_by_host.len(),
        10,
        "every host of the zone is a lender of some workspace"
    );
    assert!(workspaces_by_host.values().all(|count| *count <= 45), "{workspaces_by_host:?}");
}

struct Case {
    host_zone: &'static str,
    hosts: usize,
    zones: &'static [&'static str],
}

#[test_case(
    Case { host_zone: "a", hosts: 9, zones: &["a", "a", "b", "c"] };
    "the standby follows the lender of the same zone"
)]
#[test_case(
    Case { host_zone: "c", hosts: 3, zones: &["c", "a", "b"] };
    "no standby if the zone has one host"
)]
#[test_case(
    Case { host_zone: "c", hosts: 2, zones: &["a", "b"] };
    "only other zones if the host's zone has none"
)]
fn nearest_hosts_are_asked_first(case: Case) {
    let ranked = Lenders::new(sites(case.hosts)).rank("w", case.host_zone);
    let zones: Vec<&str> = ranked.iter().map(|site| &*site.zone).collect();
    assert_eq!(zones, case.zones);
}

#[test]
fn standby_replaces_a_dead_lender_and_other_workspaces_keep_theirs() {
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
fn host_of_unknown_zone_is_no_lender() {
    let unknown = Site { host: "old".into(), zone: "".into() };
    let lenders = Lenders::new([unknown.clone()]);
    assert!(!lenders.is_lender("w", &unknown));
    assert!(lenders.rank("w", "a").is_empty());
}

/// A read of the rows of two hosts.
struct Read {
    at_s: u64,
    revisions: [u64; 2],
    alive: &'static [&'static str],
}

#[test_case(&[
    Read { at_s: 0, revisions: [1, 2], alive: &["h0", "h1"] },
    Read { at_s: 2, revisions: [3, 2], alive: &["h0", "h1"] },
    Read { at_s: 4, revisions: [4, 2], alive: &["h0", "h1"] },
    Read { at_s: 8, revisions: [5, 2], alive: &["h0", "h1"] },
    Read { at_s: 12, revisions: [6, 2], alive: &["h0", "h1"] },
    Read { at_s: 16, revisions: [7, 2], alive: &["h0"] },
    Read { at_s: 18, revisions: [7, 8], alive: &["h0", "h1"] },
]; "a host that stops writing counts as dead after a time")]
#[test_case(&[
    Read { at_s: 0, revisions: [1, 2], alive: &["h0", "h1"] },
    Read { at_s: 2, revisions: [3, 4], alive: &["h0", "h1"] },
    Read { at_s: 60, revisions: [3, 4], alive: &["h0", "h1"] },
    Read { at_s: 62, revisions: [5, 4], alive: &["h0", "h1"] },
]; "time without reads doesn't count")]
fn hosts_are_alive_while_their_rows_change(reads: &[Read]) {
    let mut tracker = LivenessTracker::default();
    for read in reads {
        let row = |host: usize| Row {
            key: format!("h{host}").into(),
            value: Some("".into()),
            revision: read.revisions[host],
        };
        let alive =
            tracker.update(Duration::from_secs(read.at_s), vec![row(0), row(1)], &BTreeSet::new());
        let alive: Vec<&str> = alive.iter().map(|row| &*row.key).collect();
        assert_eq!(alive, read.alive, "at {} s", read.at_s);
    }
}
