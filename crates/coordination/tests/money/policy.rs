//! What is kept, for whom, and what is left alone.

use std::time::Duration;

use coordination::{holder::Reason, recovery, request::Class};
use test_case::test_case;

use crate::fleet::{Fleet, ReserveResult};

const SECOND: Duration = Duration::from_secs(1);

struct Floor {
    /// Tokens of an urgent request that each 10 s bring.
    urgent: u64,
    /// Tokens that a request that isn't urgent then wants, of about 10,000.
    wanted: u64,
    answer: ReserveResult,
}

#[test_case(Floor { urgent: 0, wanted: 7000, answer: ReserveResult::Reserved }; "unused")]
#[test_case(Floor { urgent: 1, wanted: 7000, answer: ReserveResult::Reserved }; "little used")]
#[test_case(Floor { urgent: 50, wanted: 7000, answer: ReserveResult::Refused(Reason::Exhausted) }; "used")]
fn floor_follows_what_urgent_requests_use(case: Floor) {
    let mut fleet = Fleet::new(3, &[("a", "x"), ("b", "y")]);
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
    assert_eq!(fleet.reserve_result(1000), Some(case.answer));
}

#[test_case(false, Reason::Exhausted; "with the platform")]
#[test_case(true, Reason::PlatformUnreachable; "cut off")]
fn request_that_the_budget_can_never_pay_collects_nothing(cut: bool, reason: Reason) {
    let mut fleet = Fleet::new(4, &[("a", "x"), ("b", "x"), ("c", "x")]);
    fleet.set_budget("p", &[("t", 400)], 0, false);
    for host in 0..3 {
        fleet.reserve(host, host as u64, "p", 10, Class::Normal);
        fleet.run_for(SECOND);
        fleet.settle(host, host as u64, 10);
    }
    fleet.run_for(20 * SECOND);
    if cut {
        fleet.partition("x", crate::fleet::PLATFORM);
        fleet.run_for(20 * SECOND);
        fleet.reserve(0, 3, "p", 1, Class::Normal);
        fleet.run_for(SECOND);
        fleet.settle(0, 3, 1);
        fleet.run_for(20 * SECOND);
    }
    let held = |fleet: &Fleet| [1, 2].map(|host| fleet.hosts[host].holder.available("p"));
    let before = held(&fleet);
    fleet.reserve(0, 9, "p", 401, Class::Normal);
    fleet.run_for(SECOND / 5);
    assert_eq!(fleet.reserve_result(9), Some(ReserveResult::Refused(reason)));
    assert_eq!(held(&fleet), before);
    let all: u64 = (0..3).map(|host| fleet.hosts[host].holder.available("p")).sum();
    fleet.reserve(0, 10, "p", all, Class::Normal);
    fleet.run_for(SECOND);
    assert_eq!(fleet.reserve_result(10), Some(ReserveResult::Reserved));
}

#[test]
fn death_in_a_cut_off_zone_costs_a_small_part_of_what_was_held() {
    let mut fleet = Fleet::new(5, &[("a", "x"), ("b", "x"), ("c", "y"), ("d", "y")]);
    fleet.set_budget("p", &[("t", 100_000)], 0, false);
    for step in 0..60 {
        if step == 40 {
            fleet.partition("x", "y");
            fleet.partition("x", crate::fleet::PLATFORM);
            fleet.announce_peers();
        }
        fleet.reserve(0, step, "p", 10, Class::Normal);
        fleet.run_for(SECOND);
        fleet.settle(0, step, 10);
    }
    let held = fleet.hosts[0].holder.available("p");
    fleet.kill(0);
    fleet.heal();
    fleet.handle_recovery(2, recovery::Event::Dead("a.1".into()));
    fleet.run_for(20 * SECOND);
    let returned: u64 = fleet.reports.iter().map(|report| report.returned).sum();
    assert!(held > 20_000 && returned > held / 2, "{returned} of {held}");
}
