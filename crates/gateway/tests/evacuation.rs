//! Tests of which zones a host takes for evacuated.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use gateway::evacuation::{Evacuations, Listing};
use test_case::test_case;

fn zones(names: &[&str]) -> BTreeSet<Arc<str>> {
    names.iter().map(|name| Arc::from(*name)).collect()
}

/// What a host learns, with seconds since its start.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// It has read the operator's rows: era, revision and zones.
    Read(u64, (u64, u64), &'static [&'static str]),
    /// The publisher has.
    Published(u64, (u64, u64), &'static [&'static str]),
    /// It has read the system's own row of an era.
    Copied(u64, u64, &'static [&'static str]),
}

use Event::{Copied, Published, Read};

/// Learns events beside a table that was restored at a time, if it was.
fn learn(restored: Option<u64>, events: &[Event]) -> Evacuations {
    let mut evacuations = Evacuations::default();
    let listing = |(era, through), names: &[&str]| Listing { era, through, zones: zones(names) };
    for event in events {
        let (Read(at, ..) | Published(at, ..) | Copied(at, ..)) = *event;
        let since_restore = restored.map(|time| Duration::from_secs(at.saturating_sub(time)));
        let at = Duration::from_secs(at);
        match *event {
            Read(_, read, names) => {
                evacuations.record_read(at, since_restore, listing(read, names));
            }
            Published(_, read, names) => evacuations.record_published(at, listing(read, names)),
            Copied(_, era, names) => evacuations.record_copy(at, since_restore, era, zones(names)),
        }
    }
    evacuations
}

#[test_case(None, &[] => zones(&[]); "nothing was read")]
#[test_case(None, &[Read(1, (1, 5), &["a", "b"])] => zones(&["a", "b"]); "rows")]
#[test_case(None, &[Read(1, (1, 5), &["a"]), Read(2, (1, 9), &[])] => zones(&[]); "a row is removed")]
#[test_case(None, &[Read(1, (1, 5), &[]), Published(2, (1, 9), &["a"])] => zones(&["a"]); "published")]
#[test_case(None, &[Read(1, (1, 5), &["a"]), Published(2, (1, 9), &[])] => zones(&[]); "its end is published")]
#[test_case(None, &[Read(1, (1, 9), &["a"]), Published(2, (1, 5), &[])] => zones(&["a"]); "an earlier read is published")]
#[test_case(None, &[Published(1, (1, 9), &["a"]), Read(2, (1, 5), &[])] => zones(&["a"]); "a late answer of an earlier read")]
#[test_case(None, &[Read(1, (0, 9), &["a"]), Read(2, (0, 5), &[])] => zones(&[]); "a table without eras falls back")]
#[test_case(Some(10), &[Read(9, (1, 90), &["a"]), Read(11, (2, 5), &[])] => zones(&["a"]); "a restore takes a row away")]
#[test_case(Some(10), &[Read(9, (1, 90), &["a"]), Published(11, (2, 5), &[])] => zones(&["a"]); "a restore takes a row away and the publisher reads that")]
#[test_case(Some(10), &[Read(9, (1, 90), &["a"]), Read(11, (2, 5), &[]), Read(19, (2, 6), &[])] => zones(&["a"]); "the operator may still write it again")]
#[test_case(Some(10), &[Read(9, (1, 90), &["a"]), Read(11, (2, 5), &[]), Read(20, (2, 6), &[])] => zones(&[]); "the operator did not write it again")]
#[test_case(Some(10), &[Read(9, (1, 90), &["a"]), Read(11, (2, 5), &[]), Published(20, (2, 6), &[])] => zones(&["a"]); "a publisher may have read before the operator wrote")]
#[test_case(Some(10), &[Read(9, (1, 90), &["a"]), Read(30, (2, 5), &[])] => zones(&[]); "a restore is noticed late")]
#[test_case(None, &[Read(9, (1, 90), &["a"]), Read(11, (2, 5), &[]), Read(20, (2, 6), &[])] => zones(&["a"]); "the time of the restore is not known")]
#[test_case(None, &[Read(9, (1, 90), &["a"]), Read(11, (2, 5), &[]), Read(21, (2, 6), &[])] => zones(&[]); "the time of the restore is never known")]
#[test_case(Some(10), &[Read(9, (1, 90), &["a"]), Read(11, (2, 5), &["a"]), Read(12, (2, 6), &[])] => zones(&[]); "it is removed after the operator wrote it again")]
#[test_case(Some(10), &[Read(9, (1, 90), &[]), Read(11, (2, 5), &["a"])] => zones(&["a"]); "a restore brings a row back")]
#[test_case(Some(10), &[Read(9, (1, 90), &["a"]), Read(11, (1, 95), &["a"]), Read(12, (1, 80), &[])] => zones(&["a"]); "an answer of the earlier era")]
#[test_case(Some(10), &[Read(9, (2, 90), &["a"]), Read(11, (3, 5), &["b"]), Read(12, (4, 1), &[])] => zones(&["a", "b"]); "restored twice")]
#[test_case(Some(10), &[Read(11, (2, 5), &["b"]), Copied(12, 2, &["a", "b"])] => zones(&["a", "b"]); "a copy")]
#[test_case(Some(10), &[Read(11, (2, 5), &[]), Copied(12, 1, &["a"])] => zones(&[]); "a copy of an earlier era")]
#[test_case(Some(10), &[Read(19, (2, 5), &[]), Copied(20, 2, &["a"])] => zones(&[]); "a copy that is left over")]
#[test_case(Some(10), &[Read(11, (2, 5), &[]), Copied(12, 2, &["a"]), Read(20, (2, 9), &[])] => zones(&[]); "a copy that the operator did not write again")]
#[test_case(Some(10), &[KEEPING[0], KEEPING[1], Copied(11, 2, &["a"]), Read(13, (2, 6), &["a"]), Read(15, (2, 7), &[]), Copied(16, 2, &["a"])] => zones(&[]); "a copy of a row that was written again and removed")]
#[test_case(Some(10), &[Read(11, (2, 5), &["a"]), Read(12, (3, 1), &[]), Copied(13, 3, &["a"])] => zones(&["a"]); "a copy of a row of the earlier era")]
fn zone_is_evacuated_by_the_latest_rows(
    restored: Option<u64>,
    events: &[Event],
) -> BTreeSet<Arc<str>> {
    learn(restored, events).zones()
}

const KEEPING: &[Event] = &[Read(9, (1, 90), &["a"]), Read(11, (2, 5), &[])];

/// Subscribers don't read the rows themselves otherwise, and would keep an evacuation for good.
#[test_case(KEEPING, 19 => false; "the operator may still write")]
#[test_case(KEEPING, 20 => true; "the operator has had the time")]
#[test_case(&[Read(9, (1, 90), &["a"])], 20 => false; "nothing is kept")]
fn host_reads_itself_whether_a_row_is_still_missing(events: &[Event], at: u64) -> bool {
    let since_restore = Some(Duration::from_secs(at - 10));
    learn(Some(10), events).is_read_due(Duration::from_secs(at), since_restore)
}

/// A copy case: what a host knows, and the seconds since a restore, if there was one.
#[test_case(&[Read(11, (2, 5), &[])], Some(1) => Some(150); "a process that started")]
#[test_case(&[Read(11, (2, 5), &[]), Copied(11, 2, &[])], Some(1) => Some(1000); "others may write it")]
#[test_case(&[Read(11, (2, 5), &[]), Copied(11, 2, &[])], Some(10) => None; "it does not count any more")]
#[test_case(&[Read(11, (2, 5), &[])], None => None; "the first era")]
#[test_case(&[Read(9, (1, 90), &[])], Some(1) => None; "the rows of the era are not read yet")]
#[test_case(&[], Some(1) => None; "nothing is read yet")]
fn copy_is_read_while_it_counts(events: &[Event], restored_s: Option<u64>) -> Option<u128> {
    let interval =
        learn(Some(10), events).copy_read_interval(2, restored_s.map(Duration::from_secs));
    interval.map(|interval| interval.as_millis())
}

#[test_case(KEEPING, Some(1) => Some(zones(&["a"])); "the copy is not read yet")]
#[test_case(&[KEEPING[0], KEEPING[1], Copied(11, 2, &[])], Some(1) => Some(zones(&["a"])); "the copy is missing")]
#[test_case(&[KEEPING[0], KEEPING[1], Copied(11, 1, &["a"])], Some(1) => Some(zones(&["a"])); "a copy of an earlier era")]
#[test_case(&[KEEPING[0], KEEPING[1], Copied(11, 2, &["b"])], Some(1) => Some(zones(&["a", "b"])); "a copy with another zone")]
#[test_case(&[KEEPING[0], KEEPING[1], Copied(11, 2, &["a", "b"])], Some(1) => None; "another host has written it")]
#[test_case(KEEPING, Some(10) => None; "it would not count")]
#[test_case(KEEPING, None => None; "the first era")]
#[test_case(&[Read(9, (1, 90), &["a"])], Some(1) => None; "the rows of the era are not read yet")]
#[test_case(&[Read(9, (1, 90), &["a"]), Read(11, (2, 5), &["a"])], Some(1) => None; "the operator has written again")]
fn copy_is_written_by_a_host_that_knows_an_evacuation_whose_row_is_missing(
    events: &[Event],
    restored_s: Option<u64>,
) -> Option<BTreeSet<Arc<str>>> {
    learn(Some(10), events).copy_to_write(2, restored_s.map(Duration::from_secs))
}

/// A process that started beside a restored table sent requests to a zone whose row was missing.
#[test_case(&[], Some(300), 0 => true; "the copy is not read yet")]
#[test_case(&[], Some(9_999), 1499 => true; "not read yet, nearly as long as it waits at the most")]
#[test_case(&[], Some(300), 1500 => false; "as long as it waits at the most")]
#[test_case(&[Copied(11, 2, &[])], Some(300), 0 => true; "others may still write it")]
#[test_case(&[Copied(11, 2, &[])], Some(1500), 0 => false; "others have had the time to write it")]
#[test_case(&[Copied(11, 1, &[])], Some(1500), 0 => true; "only that of another era is read")]
#[test_case(&[], Some(10_000), 0 => false; "a restore long ago")]
#[test_case(&[], None, 0 => false; "the first era")]
fn process_that_starts_waits_for_the_copy(
    events: &[Event],
    restored_ms: Option<u64>,
    waited_ms: u64,
) -> bool {
    let since_restore = restored_ms.map(Duration::from_millis);
    learn(Some(10), events).is_held(2, since_restore, Duration::from_millis(waited_ms))
}

/// An unknown zone was not reported, or again with each read.
#[test]
fn unknown_zone_is_reported_once_for_each_row() {
    let steps: [(&'static [&'static str], &[&str]); 6] = [
        (&["a"], &[]),
        (&["a", "x"], &["x"]),
        (&["a", "x"], &[]),
        (&["x", "y"], &["y"]),
        (&["y"], &[]),
        (&["x", "y"], &["x"]),
    ];
    let known = zones(&["a", "b"]);
    let mut evacuations = Evacuations::default();
    for (number, (listed, reported)) in steps.into_iter().enumerate() {
        let listing = Listing { era: 1, through: number as u64, zones: zones(listed) };
        evacuations.record_read(Duration::ZERO, None, listing);
        assert_eq!(evacuations.take_unreported(&known), zones(reported), "step {number}");
    }
    assert_eq!(evacuations.unknown(&known), zones(&["x", "y"]));
    assert_eq!(evacuations.unknown(&zones(&[])), zones(&[]), "no zones are stated");
}

const SECOND: Duration = Duration::from_secs(1);

/// A host that went on after a pause sent requests by what it had read before.
#[test_case(10, None => false; "read within the time")]
#[test_case(16, None => true; "read before a pause")]
#[test_case(16, Some((12, 13)) => false; "the platform is unavailable")]
#[test_case(30, Some((12, 13)) => true; "paused while the platform was unavailable")]
#[test_case(16, Some((10, 16)) => true; "a pause ended the read")]
#[test_case(16, Some((11, 15)) => true; "a short pause ended the read")]
fn evacuations_are_outdated_after_a_pause(at: u64, failure: Option<(u32, u32)>) -> bool {
    let mut evacuations = learn(None, &[Read(10, (1, 5), &[])]);
    if let Some((started, ended)) = failure {
        evacuations.record_failure(started * SECOND, ended * SECOND);
    }
    evacuations.is_outdated(Duration::from_secs(at), 5 * SECOND)
}

/// The same beat made an older read look like a new one.
#[test]
fn beat_that_is_applied_again_renews_nothing() {
    let mut evacuations = learn(None, &[Published(10, (1, 5), &[]), Published(9, (1, 5), &[])]);
    assert_eq!(evacuations.age(16 * SECOND), Some(6 * SECOND));
    assert!(evacuations.is_outdated(16 * SECOND, 5 * SECOND));
    evacuations.record_failure(15 * SECOND, 15 * SECOND);
    assert!(!evacuations.is_outdated(16 * SECOND, 5 * SECOND));
    assert!(!Evacuations::default().is_outdated(16 * SECOND, 5 * SECOND), "nothing was read");
}
