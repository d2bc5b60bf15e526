//! How holders share a budget: the urgent floor, requests that the budget can't cover, and the
//! tokens that are lost with a host of an isolated zone.

use std::time::Duration;

use coordination::{holder::Reason, recovery, request::Class};
use test_case::test_case;

use crate::fleet::{Fleet, ReserveResult};

const SECOND: Duration = Duration::from_secs(1);

struct FloorCase {
    /// Tokens of the urgent request in each period of 10 s; 0 for none.
    urgent: u64,
    /// Tokens of the normal request that follows, of about 10,000 that are left.
    normal: u64,
    /// Result of the normal request.
    result: ReserveResult,
}

/// Guards against an urgent floor of 5,000 tokens that refuses normal requests although urgent
/// requests hardly use it.
#[test_case(FloorCase { urgent: 0, normal: 7000, result: ReserveResult::Reserved }; "unused")]
#[test_case(FloorCase { urgent: 1, normal: 7000, result: ReserveResult::Reserved }; "barely used")]
#[test_case(FloorCase { urgent: 50, normal: 7000, result: ReserveResult::Refused(Reason::Exhausted) }; "used")]
fn urgent_floor_follows_the_usage_of_urgent_requests(case: FloorCase) {
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
    fleet.reserve(0, 1000, "p", case.normal, Class::Normal);
    fleet.run_for(2 * SECOND);
    assert_eq!(fleet.reserve_result(1000), Some(case.result));
}

/// Guards against a host that collects the tokens of all others for a request that the whole
/// budget can't cover, so that smaller requests are refused.
#[test_case(false, Reason::Exhausted; "platform reachable")]
#[test_case(true, Reason::PlatformUnreachable; "platform unreachable")]
fn request_above_the_whole_budget_collects_no_tokens(platform_unreachable: bool, reason: Reason) {
    let mut fleet = Fleet::new(4, &[("a", "x"), ("b", "x"), ("c", "x")]);
    fleet.set_budget("p", &[("t", 400)], 0, false);
    for host in 0..3 {
        fleet.reserve(host, host as u64, "p", 10, Class::Normal);
        fleet.run_for(SECOND);
        fleet.settle(host, host as u64, 10);
    }
    fleet.run_for(20 * SECOND);
    if platform_unreachable {
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

/// Guards against an allowance so large that most of a host's tokens are stranded when it dies in
/// an isolated zone.
#[test]
fn death_in_an_isolated_zone_strands_less_than_half_of_the_held_tokens() {
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
