//! Notes on allocations that go on without a renewal.

use std::time::Duration;

use gateway::witness::{AllocationVersion, Notes};
use test_case::test_case;

const NOTED_AT: Duration = Duration::from_secs(100);
const WRITTEN_MS: u64 = 99_000;

fn version(holder: &str, workspace: &str, number: u64) -> AllocationVersion {
    AllocationVersion { holder: holder.into(), workspace: workspace.into(), number }
}

struct Case {
    asked: (&'static str, &'static str, u64),
    started_ms: Option<u64>,
    now_ms: Option<u64>,
    found: Option<bool>,
}

const CASE: Case = Case {
    asked: ("h", "w", 7),
    started_ms: Some(50_000),
    now_ms: Some(101_000),
    found: Some(true),
};

#[test_case(CASE; "the row that was noted")]
#[test_case(Case { asked: ("h", "w", 6), ..CASE }; "an earlier row, which may have been in force")]
#[test_case(Case { asked: ("h", "w", 8), found: Some(false), ..CASE }; "a later row")]
#[test_case(Case { asked: ("h", "v", 7), found: Some(false), ..CASE }; "another workspace")]
#[test_case(Case { asked: ("i", "w", 7), found: Some(false), ..CASE }; "another process")]
#[test_case(Case { started_ms: Some(99_001), found: None, ..CASE }; "the witness started after the row was written")]
#[test_case(Case { started_ms: None, found: None, ..CASE }; "the witness does not know when it started")]
#[test_case(Case { now_ms: None, found: None, ..CASE }; "the witness does not know the time")]
#[test_case(Case { now_ms: Some(119_000), found: None, ..CASE }; "long after")]
fn missing_note_proves_something_only_if_the_witness_would_have_it(case: Case) {
    let mut notes = Notes::default();
    assert!(notes.note(NOTED_AT, &version("h", "w", 7)));
    // An earlier number, as of a message that was overtaken, takes nothing back.
    assert!(notes.note(NOTED_AT, &version("h", "w", 5)));
    let (holder, workspace, number) = case.asked;
    let asked = version(holder, workspace, number);
    assert_eq!(notes.find(&asked, case.started_ms, case.now_ms, WRITTEN_MS), case.found);
}

#[test]
fn nothing_is_noted_beyond_the_bound_and_old_notes_make_room() {
    let mut notes = Notes::default();
    let noted =
        (0..10_000).filter(|number| notes.note(NOTED_AT, &version(&format!("h{number}"), "w", 1)));
    assert_eq!(noted.count(), 8192);
    assert!(notes.note(NOTED_AT + Duration::from_secs(61), &version("late", "w", 1)));
}
