//! Division of event streams into whole events.

use bytes::Bytes;
use gateway::events::Splitter;
use test_case::test_case;

struct Case {
    pieces: &'static [&'static str],
    /// What can be passed on after each piece.
    passed: &'static [&'static str],
    count: u64,
    last: Option<u64>,
    between: bool,
}

#[test_case(Case {
    pieces: &["id: 1\ndata: a\n\n"],
    passed: &["id: 1\ndata: a\n\n"],
    count: 1,
    last: Some(1),
    between: true,
}; "one event")]
#[test_case(Case {
    pieces: &["id: 1\ndata: a\n", "\nid: 2\nda", "ta: b\n\n"],
    passed: &["", "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"],
    count: 2,
    last: Some(2),
    between: true,
}; "events cut at any place")]
#[test_case(Case {
    pieces: &["id: 7\r\ndata: a\r\n\r\nid: 8\r\n"],
    passed: &["id: 7\r\ndata: a\r\n\r\n"],
    count: 1,
    last: Some(7),
    between: false,
}; "carriage returns, and an event that breaks off")]
#[test_case(Case {
    pieces: &["weights: 3\nid: 4\ndata: x\n\n", "\n\n"],
    passed: &["weights: 3\nid: 4\ndata: x\n\n", "\n\n"],
    count: 1,
    last: Some(4),
    between: true,
}; "blank lines are no events")]
#[test_case(Case {
    pieces: &["data: no id\n\n"],
    passed: &["data: no id\n\n"],
    count: 1,
    last: Some(3),
    between: true,
}; "an event without id leaves the last one")]
fn whole_events_are_passed_on(case: Case) {
    let mut splitter = Splitter::after(Some(3));
    let mut count = 0;
    for (piece, passed) in case.pieces.iter().zip(case.passed) {
        let whole = splitter.push(Bytes::from_static(piece.as_bytes()));
        assert_eq!(str::from_utf8(&whole.bytes).expect("text"), *passed);
        count += whole.count;
    }
    assert_eq!(count, case.count);
    assert_eq!(splitter.last_id(), case.last);
    assert_eq!(splitter.is_at_boundary(), case.between);
}

#[test]
fn every_cut_of_a_stream_passes_the_same_bytes_on() {
    let text: &'static str = "id: 1\ndata: a\n\nid: 2\ndata: bb\n\n: note\nid: 3\ndata: c\n\n";
    for first in 0..text.len() {
        for second in first..text.len() {
            let mut splitter = Splitter::default();
            let mut passed = Vec::new();
            for piece in [&text[..first], &text[first..second], &text[second..]] {
                let whole = splitter.push(Bytes::from_static(piece.as_bytes()));
                passed.extend_from_slice(&whole.bytes);
            }
            assert_eq!(passed, text.as_bytes(), "cut at {first} and {second}");
            assert_eq!(splitter.last_id(), Some(3));
        }
    }
}

#[test]
fn event_that_broke_off_is_forgotten_before_another_run_goes_on() {
    let mut splitter = Splitter::default();
    splitter.push(Bytes::from_static(b"id: 1\ndata: a\n\nid: 2\nda"));
    splitter.discard();
    let whole = splitter.push(Bytes::from_static(b"id: 2\ndata: b\n\n"));
    assert_eq!(&whole.bytes[..], b"id: 2\ndata: b\n\n");
    assert_eq!(splitter.last_id(), Some(2));
}
