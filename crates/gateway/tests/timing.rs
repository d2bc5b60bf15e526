//! Times of a stream's events as they are logged.

use std::time::Duration;

use gateway::timing::Timing;

struct Case {
    name: &'static str,
    events_ms: &'static [u64],
    bound_ms: Option<u64>,
    first_ms: Option<u64>,
    max_gap_ms: Option<u64>,
    exceeds: bool,
}

/// Guards against a wait for the first event that is reported as a pause, and against pauses that are
/// hidden by later, shorter ones.
#[test]
fn pauses_are_those_between_events() {
    let cases = [
        Case {
            name: "no event",
            events_ms: &[],
            bound_ms: Some(100),
            first_ms: None,
            max_gap_ms: None,
            exceeds: false,
        },
        Case {
            name: "the wait for the only event is no pause",
            events_ms: &[900],
            bound_ms: Some(100),
            first_ms: Some(900),
            max_gap_ms: None,
            exceeds: false,
        },
        Case {
            name: "a pause as long as the bound is allowed",
            events_ms: &[50, 80, 180, 210],
            bound_ms: Some(100),
            first_ms: Some(50),
            max_gap_ms: Some(100),
            exceeds: false,
        },
        Case {
            name: "the longest pause is in the middle",
            events_ms: &[50, 80, 181, 210],
            bound_ms: Some(100),
            first_ms: Some(50),
            max_gap_ms: Some(101),
            exceeds: true,
        },
        Case {
            name: "the route states no bound",
            events_ms: &[50, 9000],
            bound_ms: None,
            first_ms: Some(50),
            max_gap_ms: Some(8950),
            exceeds: false,
        },
    ];
    let time = Duration::from_millis;
    for case in cases {
        let mut timing = Timing::default();
        case.events_ms.iter().for_each(|&at| timing.record(time(at)));
        assert_eq!(timing.first(), case.first_ms.map(time), "{}", case.name);
        assert_eq!(timing.max_gap(), case.max_gap_ms.map(time), "{}", case.name);
        assert_eq!(timing.exceeds(case.bound_ms.map(time)), case.exceeds, "{}", case.name);
    }
}
