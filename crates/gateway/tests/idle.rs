//! Tests of how long a caller's connection stays open.

use std::time::Duration;

use gateway::{catalog::Limits, idle::Timer};
use test_case::test_case;

/// What happens on a connection at a time in milliseconds.
#[derive(Debug, Clone, Copy)]
enum Event {
    Received(u64),
    Request,
    Whole(u64),
    Sent(u64),
    End(u64),
}

/// Events of a connection that is accepted at time 0, and when it is closed.
#[derive(Debug)]
struct Case {
    events: &'static [Event],
    /// Idle timeout in force during the events, and after them, in milliseconds.
    idle_ms: [u64; 2],
    deadline_ms: Option<u64>,
}

fn limits(idle_ms: u64) -> Limits {
    Limits {
        read_timeout: Duration::from_millis(300),
        idle_timeout: Duration::from_millis(idle_ms),
        ..Limits::INITIAL
    }
}

use Event::{End, Received, Request, Sent, Whole};

#[test_case(Case { events: &[], idle_ms: [1000, 1000], deadline_ms: Some(1000) }; "new")]
#[test_case(Case { events: &[], idle_ms: [1000, 5000], deadline_ms: Some(5000) }; "longer while new")]
#[test_case(Case { events: &[], idle_ms: [5000, 1000], deadline_ms: Some(5000) }; "shorter while new")]
#[test_case(Case { events: &[Received(700)], idle_ms: [1000, 1000], deadline_ms: Some(1000) }; "part of a head")]
#[test_case(Case { events: &[Received(700), Received(900)], idle_ms: [5000, 5000], deadline_ms: Some(1000) }; "head in small parts")]
#[test_case(Case { events: &[Received(700), Request], idle_ms: [1000, 1000], deadline_ms: None }; "request")]
#[test_case(Case { events: &[Received(700), Request, Received(800)], idle_ms: [1000, 1000], deadline_ms: None }; "body")]
#[test_case(Case { events: &[Received(7), Request, End(400)], idle_ms: [1000, 1000], deadline_ms: Some(1400) }; "at rest again")]
#[test_case(Case { events: &[Received(7), Request, End(400), Sent(900)], idle_ms: [1000, 1000], deadline_ms: Some(1900) }; "rest of a response to a slow caller")]
#[test_case(Case { events: &[Received(7), Request, End(400)], idle_ms: [1000, 9000], deadline_ms: Some(9400) }; "longer while at rest")]
#[test_case(Case { events: &[Received(7), Request, End(400)], idle_ms: [9000, 1000], deadline_ms: Some(9400) }; "shorter while at rest")]
#[test_case(Case { events: &[Received(7), Request, Whole(400)], idle_ms: [1000, 1000], deadline_ms: Some(30_400) }; "whole response that isn't taken")]
#[test_case(Case { events: &[Received(7), Request, Whole(400), Sent(900)], idle_ms: [1000, 1000], deadline_ms: Some(30_900) }; "whole response to a slow caller")]
#[test_case(Case { events: &[Received(7), Request, Whole(400)], idle_ms: [1000, 60_000], deadline_ms: Some(60_400) }; "whole response that isn't taken within a longer idle timeout")]
#[test_case(Case { events: &[Received(7), Request, Whole(400), Request], idle_ms: [1000, 1000], deadline_ms: None }; "request behind a whole response")]
#[test_case(Case { events: &[Received(7), Request, Request, End(400)], idle_ms: [1000, 1000], deadline_ms: None }; "next request before the end of a refused one")]
fn connection_is_closed_at_its_deadline(case: Case) {
    let [during, after] = case.idle_ms.map(limits);
    let mut timer = Timer::new(Duration::ZERO, &during);
    for event in case.events {
        match *event {
            Received(at) => timer.record_received(Duration::from_millis(at)),
            Sent(at) => timer.record_sent(Duration::from_millis(at)),
            Request => timer.record_request(),
            Whole(at) => timer.record_whole_response(Duration::from_millis(at)),
            End(at) => timer.record_end(Duration::from_millis(at), &during),
        }
    }
    assert_eq!(timer.deadline(&after), case.deadline_ms.map(Duration::from_millis), "{case:?}");
}
