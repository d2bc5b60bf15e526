//! What is kept, for whom, and what is left alone.

use std::time::Duration;

use coordination::{holder::Reason, request::Class};
use test_case::test_case;

use crate::fleet::{Answer, Fleet};

const SECOND: Duration = Duration::from_secs(1);

struct Floor {
    /// Tokens of an urgent request that each 10 s bring.
    urgent: u64,
    /// Tokens that a request that isn't urgent then wants, of about 10,000.
    wanted: u64,
    answer: Answer,
}

#[test_case(Floor { urgent: 0, wanted: 7000, answer: Answer::Reserved }; "unused")]
#[test_case(Floor { urgent: 1, wanted: 7000, answer: Answer::Reserved }; "little used")]
#[test_case(Floor { urgent: 50, wanted: 7000, answer: Answer::Refused(Reason::Exhausted) }; "used")]
fn floor_follows_what_urgent_requests_use(case: Floor) {
    let mut fleet = Fleet::open(3, &[("a", "x"), ("b", "y")]);
    fleet.set_budget("p", &[("t", 10_000 + 80 * case.urgent)], 5000, false);
    fleet.run_for(SECOND);
    for step in 0..80 {
        let (normal, urgent) = (2 * step, 2 * step + 1);
        fleet.reserve(0, normal, "p", 1, Class::Normal);
        if case.urgent > 0 {
            fleet.reserve(0, urgent, "p", case.urgent, Class::Urgent);
        }
        fleet.run_for(SECOND);
        fleet.settle(0, normal, 1);
        fleet.settle(0, urgent, case.urgent);
        fleet.run_for(9 * SECOND);
    }
    fleet.reserve(0, 1000, "p", case.wanted, Class::Normal);
    fleet.run_for(2 * SECOND);
    assert_eq!(fleet.answer(1000), Some(case.answer));
}
