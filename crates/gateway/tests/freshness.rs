//! Tests of how far a configuration counts after a restore of the platform's table.

use std::time::Duration;

use gateway::freshness::{Freshness, Versions};
use test_case::test_case;

const MAX_AGE: Duration = Duration::from_millis(1800);
const JUST_BEGUN: Option<Duration> = Some(Duration::from_millis(300));
const SETTLING: Option<Duration> = Some(Duration::from_secs(9));
const SETTLED: Option<Duration> = Some(Duration::from_secs(10));
const LONG_AGO: Option<Duration> = Some(Duration::from_secs(60));

#[test_case(Some(0), None => Freshness::Newest; "the first era")]
#[test_case(Some(0), SETTLED => Freshness::Newest; "an era that began long ago")]
#[test_case(Some(0), JUST_BEGUN => Freshness::Restored; "an era that has just begun")]
#[test_case(Some(0), SETTLING => Freshness::Restored; "an era in which the operator may still write again")]
#[test_case(Some(1799), None => Freshness::Newest; "an age below the limit")]
#[test_case(Some(1800), None => Freshness::Outdated; "an age at the limit")]
#[test_case(Some(1800), JUST_BEGUN => Freshness::Outdated; "an old one in an era that has just begun")]
#[test_case(None, None => Freshness::Outdated; "never confirmed")]
fn what_is_unknown_is_refused_for_good_by_the_newest_configuration_only(
    age_ms: Option<u64>,
    restored: Option<Duration>,
) -> Freshness {
    Freshness::of(age_ms.map(Duration::from_millis), MAX_AGE, restored)
}

/// A host that has read everything in the fleet's first era.
const QUIET: Versions =
    Versions { since_restore: None, in_force: 2, operator: Some(2), copy: Some(0), published: 2 };

#[test_case(QUIET => None; "a quiet fleet")]
#[test_case(Versions { copy: None, ..QUIET } => Some(150); "not read yet")]
#[test_case(Versions { copy: None, operator: None, ..QUIET } => None; "the row of the operator is not read yet")]
#[test_case(Versions { in_force: 0, ..QUIET } => Some(150); "nothing in force")]
#[test_case(Versions { since_restore: JUST_BEGUN, ..QUIET } => Some(1000); "an era that has just begun")]
#[test_case(Versions { since_restore: SETTLING, copy: Some(2), ..QUIET } => Some(1000); "a newer copy may come")]
#[test_case(Versions { since_restore: SETTLED, ..QUIET } => Some(5000); "hosts that wake late may write it")]
#[test_case(Versions { since_restore: LONG_AGO, ..QUIET } => None; "an era that began long ago")]
#[test_case(Versions { since_restore: LONG_AGO, published: 3, ..QUIET } => Some(1000); "the publisher knows a newer one")]
#[test_case(Versions { since_restore: LONG_AGO, published: 1, ..QUIET } => None; "the publisher knows an older one")]
fn copy_is_read_while_it_may_be_newer(versions: Versions) -> Option<u128> {
    versions.read_interval().map(|interval| interval.as_millis())
}

/// A host beside a table that was restored from a copy with an older configuration.
const RESTORED: Versions = Versions {
    since_restore: JUST_BEGUN,
    in_force: 2,
    operator: Some(1),
    copy: Some(0),
    published: 0,
};

#[test_case(RESTORED => true; "the copy is missing")]
#[test_case(Versions { copy: None, ..RESTORED } => true; "the copy is not read yet")]
#[test_case(Versions { copy: Some(1), ..RESTORED } => true; "the copy is older")]
#[test_case(Versions { copy: Some(2), ..RESTORED } => false; "another host has written it")]
#[test_case(Versions { copy: Some(3), ..RESTORED } => false; "another host knew a newer one")]
#[test_case(Versions { operator: None, ..RESTORED } => false; "the row of the operator is not read yet")]
#[test_case(Versions { operator: Some(0), ..RESTORED } => true; "the row of the operator is missing")]
#[test_case(Versions { operator: Some(2), ..RESTORED } => false; "the operator has written again")]
#[test_case(Versions { operator: Some(3), ..RESTORED } => false; "the operator has written a newer one")]
#[test_case(Versions { since_restore: SETTLED, ..RESTORED } => true; "a host that was cut off until now")]
#[test_case(Versions { since_restore: None, ..RESTORED } => false; "the first era")]
#[test_case(Versions { in_force: 0, operator: Some(0), ..RESTORED } => false; "nothing in force")]
fn copy_is_written_by_a_host_that_knows_a_newer_configuration(versions: Versions) -> bool {
    versions.is_write_due()
}

/// A process that has just started beside such a table.
const STARTED: Versions = Versions {
    since_restore: JUST_BEGUN,
    in_force: 0,
    operator: Some(1),
    copy: Some(0),
    published: 0,
};

#[test_case(STARTED, 0 => true; "the copy may still be written")]
#[test_case(STARTED, 1499 => true; "nearly as long as it waits at the most")]
#[test_case(STARTED, 1500 => false; "as long as it waits at the most")]
#[test_case(Versions { copy: None, ..STARTED }, 1500 => false; "a copy that can not be read")]
#[test_case(Versions { in_force: 2, copy: Some(2), ..STARTED }, 0 => false; "the copy is in force")]
#[test_case(Versions { since_restore: None, copy: None, ..STARTED }, 0 => false; "the first era")]
#[test_case(Versions { since_restore: SETTLING, ..STARTED }, 0 => false; "hosts have had time to write a copy")]
#[test_case(Versions { since_restore: SETTLED, copy: None, ..STARTED }, 0 => true; "the copy is not read yet")]
fn older_configuration_waits_for_the_copy(versions: Versions, waited_ms: u64) -> bool {
    versions.is_held(Duration::from_millis(waited_ms))
}
