//! Configuration followers over a network that loses, delays, repeats and reorders messages.

#[path = "common/followers.rs"]
mod followers;

use std::{sync::Arc, time::Duration};

use coordination::{
    config::{Action, Event, Follower, POLL_INTERVAL, Page},
    message::Message,
    table::{Outcome, Row},
};
use followers::{ChangeLog, ConfigFollower, NaiveFollower, Simulation, validate};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use test_case::test_case;

/// Time in which an accepted change must be in force on every host.
const CONVERGENCE_TIME: Duration = Duration::from_secs(18);

fn follower() -> Follower {
    Follower::new(validate)
}

fn new_simulation(count: usize) -> Simulation<Follower> {
    Simulation::new((0..count).map(|_| follower()).collect(), 1)
}

/// Makes random commits, platform outages, freezes and restarts over an unreliable network.
fn inject_random_faults<S: ConfigFollower>(
    simulation: &mut Simulation<S>,
    seed: u64,
    fresh: impl Fn() -> S,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    simulation.unreliable_network = true;
    for _ in 0..150 {
        let key = format!("config/budget/{}", rng.random_range(0..6));
        let number = rng.random_range(0..simulation.followers.len());
        match rng.random_range(0..12) {
            0..5 => simulation.change_log.commit(&key, Some(&rng.random_range(0..9).to_string())),
            5 => simulation.change_log.commit(&key, None),
            6 => simulation.change_log.commit(&key, Some("!")),
            7 => _ = simulation.platform_unreachable.insert(number),
            8 => _ = simulation.platform_unreachable.remove(&number),
            9 => _ = simulation.frozen.insert(number),
            10 => _ = simulation.frozen.remove(&number),
            _ => simulation.restart(number, fresh()),
        }
        simulation.run(Duration::from_millis(rng.random_range(0..4_000)));
    }
    simulation.frozen.clear();
    simulation.platform_unreachable.clear();
}

#[test]
fn followers_never_regress_and_converge_after_faults() {
    for seed in 0..40 {
        let mut simulation = Simulation::new((0..4).map(|_| follower()).collect(), seed);
        inject_random_faults(&mut simulation, seed, follower);
        assert_eq!(simulation.regressions, 0, "seed {seed}");
        simulation.unreliable_network = false;
        simulation.run(Duration::from_secs(60));
        assert_eq!(simulation.regressions, 0, "seed {seed}");
        let revision = simulation.change_log.revision;
        assert!(simulation.followers.iter().all(|follower| follower.revision() == revision));
        // Which valid row a follower has in force for a key whose newest row is invalid depends on
        // the rows that it has seen, so these keys are not compared.
        let comparable = |rows: Vec<Row>| -> Vec<Row> {
            rows.into_iter().filter(|row| !simulation.change_log.is_invalid(&row.key)).collect()
        };
        for follower in &simulation.followers {
            let rows = comparable(follower.rows().collect());
            assert_eq!(rows, comparable(simulation.change_log.in_force()), "seed {seed}");
        }
    }
}

/// Checks that the random faults are strong enough to make a follower without revision checks go
/// back to older rows.
#[test]
fn naive_follower_regresses() {
    let regressions = (0..40).map(|seed| {
        let mut simulation =
            Simulation::new((0..4).map(|_| NaiveFollower::default()).collect(), seed);
        inject_random_faults(&mut simulation, seed, NaiveFollower::default);
        simulation.regressions
    });
    assert!(regressions.sum::<usize>() > 0);
}

#[test]
fn last_valid_row_stays_in_force_after_an_invalid_one() {
    let mut simulation = new_simulation(3);
    simulation.change_log.commit("config/budget/a", Some("1"));
    simulation.run(CONVERGENCE_TIME);
    simulation.change_log.commit("config/budget/a", Some("!"));
    simulation.run(CONVERGENCE_TIME);
    assert!(simulation.is_converged());
    assert_eq!(simulation.change_log.in_force().len(), 1);
}

/// Hosts of a fleet, and those that can't reach the platform.
struct Outage {
    hosts: usize,
    unreachable: &'static [usize],
}

#[test_case(Outage { hosts: 7, unreachable: &[] }; "platform reachable")]
#[test_case(Outage { hosts: 7, unreachable: &[1, 2, 3] }; "platform unreachable from one zone")]
#[test_case(Outage { hosts: 7, unreachable: &[1, 2, 3, 4, 5, 6] }; "platform reachable from one host")]
fn accepted_change_is_in_force_within_the_convergence_time(outage: Outage) {
    let mut simulation = new_simulation(outage.hosts);
    simulation.run(Duration::from_secs(30));
    simulation.platform_unreachable.extend(outage.unreachable);
    simulation.run(Duration::from_secs(30));
    for value in 0..20 {
        simulation.change_log.commit("config/route/a", Some(&value.to_string()));
        simulation.run(CONVERGENCE_TIME);
        assert!(simulation.is_converged());
    }
}

#[test]
fn followers_read_the_platform_once_per_poll_interval() {
    let mut simulation = new_simulation(5);
    simulation.change_log.commit("config/route/a", Some("1"));
    simulation.run(POLL_INTERVAL * 100);
    assert!((490..=510).contains(&simulation.reads), "{}", simulation.reads);
}

#[test]
fn many_rows_are_read_in_pages() {
    let mut simulation = new_simulation(2);
    for number in 0..3_500 {
        simulation.change_log.commit(&format!("config/budget/{number}"), Some("1"));
    }
    simulation.platform_unreachable.insert(1);
    simulation.run(Duration::from_secs(10));
    assert!(simulation.is_converged());
}

#[test]
fn large_configuration_is_read_from_a_neighbour_in_pages() {
    let mut simulation = new_simulation(2);
    let value = "x".repeat(10_000);
    for number in 0..200 {
        simulation.change_log.commit(&format!("config/budget/{number}"), Some(&value));
    }
    simulation.run(Duration::from_secs(10));
    simulation.restart(1, follower());
    simulation.platform_unreachable.insert(1);
    simulation.run(Duration::from_secs(20));
    assert!(simulation.is_converged());
    assert!(simulation.followers[1].ready());
}

#[test]
fn host_without_platform_and_neighbours_is_not_ready() {
    let mut simulation = new_simulation(3);
    simulation.change_log.commit("config/budget/a", Some("1"));
    simulation.platform_unreachable.extend([0, 1, 2]);
    simulation.run(Duration::from_secs(600));
    assert!(simulation.followers.iter().all(|follower| !follower.ready()));
    simulation.platform_unreachable.remove(&0);
    simulation.run(CONVERGENCE_TIME);
    assert!(simulation.followers.iter().all(Follower::ready));
    assert!(simulation.is_converged());
}

#[test]
fn host_restarted_during_a_platform_outage_gets_the_configuration_from_its_neighbours() {
    let mut simulation = new_simulation(3);
    for number in 0..9 {
        simulation.change_log.commit(&format!("config/budget/{number}"), Some("1"));
    }
    simulation.run(CONVERGENCE_TIME);
    simulation.change_log.commit("config/budget/3", None);
    simulation.change_log.commit("config/budget/4", Some("!"));
    simulation.run(CONVERGENCE_TIME);
    simulation.platform_unreachable.extend([0, 1, 2]);
    simulation.restart(2, follower());
    simulation.run(CONVERGENCE_TIME);
    assert!(simulation.followers[2].ready());
    assert!(simulation.is_converged());
}

/// A neighbour keeps a bounded number of deletions, so its page can't name all of them to a host
/// that was frozen while more rows were deleted.
#[test]
fn host_resumed_after_a_long_freeze_drops_rows_whose_deletion_its_neighbours_forgot() {
    let mut simulation = new_simulation(3);
    simulation.change_log.commit("config/budget/a", Some("1"));
    simulation.change_log.commit("config/budget/b", Some("1"));
    simulation.run(CONVERGENCE_TIME);
    simulation.frozen.insert(2);
    simulation.change_log.commit("config/budget/a", None);
    simulation.change_log.commit("config/budget/c", Some("1"));
    for number in 0..66_000 {
        simulation.change_log.commit(&format!("config/budget/old-{number}"), None);
    }
    simulation.run(CONVERGENCE_TIME);
    simulation.platform_unreachable.extend([0, 1, 2]);
    simulation.frozen.clear();
    simulation.run(CONVERGENCE_TIME);
    assert!(simulation.is_converged());
    assert_eq!(simulation.regressions, 0);
}

#[test]
fn follower_with_incomplete_rows_answers_no_request() {
    let mut change_log = ChangeLog::default();
    for number in 0..1_500 {
        change_log.commit(&format!("config/budget/{number}"), Some("1"));
    }
    let mut follower = follower();
    let mut actions = Vec::new();
    let first_page = Event::Outcome(change_log.changes(0, 1_000));
    follower.handle(Duration::ZERO, first_page, &mut actions);
    assert!(!follower.ready());
    actions.clear();
    let request = || Event::Ask { address: "n".into(), after: 0 };
    follower.handle(Duration::ZERO, request(), &mut actions);
    assert_eq!(actions, []);
    let second_page = Event::Outcome(change_log.changes(1_000, 1_000));
    follower.handle(Duration::ZERO, second_page, &mut actions);
    actions.clear();
    follower.handle(Duration::ZERO, request(), &mut actions);
    assert_eq!(actions.len(), 1);
}

fn page(rows: Vec<Row>, after: u64, through: u64) -> Page {
    Page { rows, after, through, current: through, deletions_after: 0 }
}

fn row(key: &str, value: Option<&str>, revision: u64) -> Row {
    Row { key: key.into(), value: value.map(Arc::from), revision }
}

/// Returns a follower with all rows through revision 10 that has asked neighbour `n` for more.
fn follower_with_open_request() -> (Follower, Duration) {
    let mut follower = follower();
    let rows = vec![row("a", Some("1"), 4), row("b", Some("1"), 9), row("c", None, 10)];
    let outcome = Outcome::Changes { rows, through: 10 };
    follower.handle(Duration::ZERO, Event::Outcome(outcome), &mut Vec::new());
    let now = Duration::from_secs(60);
    let neighbour_revision = Event::NeighbourRevision { address: "n".into(), revision: 20 };
    let mut actions = Vec::new();
    follower.handle(now, neighbour_revision, &mut actions);
    let request = Message::ConfigAsk { after: 10 };
    assert_eq!(actions, [Action::Send { to: "n".into(), message: request }]);
    (follower, now)
}

/// Page that a neighbour sends, and the rows and revision in force after it.
struct PageCase {
    from: &'static str,
    page: Page,
    applied: Vec<Row>,
    revision: u64,
}

#[test_case(PageCase { from: "n", page: page(vec![row("a", Some("2"), 12)], 10, 20), applied: vec![row("a", Some("2"), 12)], revision: 20 }; "newer row")]
#[test_case(PageCase { from: "n", page: page(vec![row("a", None, 12)], 10, 20), applied: vec![row("a", None, 12)], revision: 20 }; "deletion")]
#[test_case(PageCase { from: "n", page: page(vec![row("a", Some("0"), 3)], 10, 20), applied: vec![], revision: 20 }; "older row")]
#[test_case(PageCase { from: "n", page: page(vec![row("c", Some("0"), 8)], 10, 20), applied: vec![], revision: 20 }; "row older than its deletion")]
#[test_case(PageCase { from: "n", page: page(vec![row("z", Some("0"), 8)], 10, 20), applied: vec![], revision: 20 }; "unknown row of an old revision")]
#[test_case(PageCase { from: "n", page: page(vec![row("a", Some("!"), 12)], 10, 20), applied: vec![], revision: 20 }; "invalid row")]
#[test_case(PageCase { from: "n", page: page(vec![row("a", Some("2"), 12), row("a", Some("!"), 13)], 10, 20), applied: vec![row("a", Some("2"), 12)], revision: 20 }; "valid row before an invalid one")]
#[test_case(PageCase { from: "n", page: page(vec![row("a", Some("!"), 13), row("a", Some("2"), 12)], 10, 20), applied: vec![row("a", Some("2"), 12)], revision: 20 }; "valid row after a newer invalid one")]
#[test_case(PageCase { from: "n", page: page(vec![row("a", Some("2"), 18)], 15, 20), applied: vec![], revision: 10 }; "page that leaves a gap")]
#[test_case(PageCase { from: "n", page: page(vec![row("a", Some("2"), 8)], 5, 9), applied: vec![], revision: 10 }; "page of an earlier request")]
#[test_case(PageCase { from: "m", page: page(vec![row("a", Some("2"), 12)], 10, 20), applied: vec![], revision: 10 }; "page that was not requested")]
fn page_of_a_neighbour_is_applied_or_ignored(case: PageCase) {
    let (mut follower, now) = follower_with_open_request();
    let event = Event::Rows { address: case.from.into(), page: case.page };
    let mut actions = Vec::new();
    follower.handle(now, event.clone(), &mut actions);
    let applied = |actions: &[Action]| -> Vec<Row> {
        let rows = actions.iter().filter_map(|action| match action {
            Action::Apply(row) => Some(row.clone()),
            _ => None,
        });
        rows.collect()
    };
    assert_eq!(applied(&actions), case.applied);
    assert_eq!(follower.revision(), case.revision);
    let mut again = Vec::new();
    follower.handle(now, event, &mut again);
    assert_eq!(applied(&again), []);
    assert_eq!(follower.revision(), case.revision);
}

#[test]
fn invalid_row_is_reported_once() {
    let mut follower = follower();
    let rows = vec![row("a", Some("!"), 4)];
    let outcome = Event::Outcome(Outcome::Changes { rows: rows.clone(), through: 10 });
    let mut actions = Vec::new();
    for _ in 0..3 {
        follower.handle(Duration::ZERO, outcome.clone(), &mut actions);
    }
    let invalid = Action::Invalid { row: rows[0].clone(), reason: "value".into() };
    assert_eq!(actions, [invalid, Action::Advanced(4)]);
}

#[test]
fn delayed_outcome_of_an_earlier_read_is_ignored() {
    let mut change_log = ChangeLog::default();
    change_log.commit("a", Some("1"));
    let delayed = change_log.changes(0, 10);
    change_log.commit("a", Some("2"));
    let mut follower = follower();
    let mut actions = Vec::new();
    follower.handle(Duration::ZERO, Event::Outcome(change_log.changes(0, 10)), &mut actions);
    let before = actions.len();
    follower.handle(Duration::ZERO, Event::Outcome(delayed), &mut actions);
    assert_eq!(actions.len(), before);
    assert_eq!(follower.revision(), 2);
}
