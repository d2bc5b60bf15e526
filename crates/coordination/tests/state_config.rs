//! Configuration under lost, late, repeated and reordered messages.

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

/// Time in which an accepted change has to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(18);

fn follower() -> Follower {
    Follower::new(validate)
}

fn net(count: usize) -> Simulation<Follower> {
    Simulation::new((0..count).map(|_| follower()).collect(), 1)
}

/// Random commits, outages, freezes and restarts over a faulty link.
fn disturb<S: ConfigFollower>(net: &mut Simulation<S>, seed: u64, fresh: impl Fn() -> S) {
    let mut rng = StdRng::seed_from_u64(seed);
    net.unreliable_network = true;
    for _ in 0..150 {
        let key = format!("config/budget/{}", rng.random_range(0..6));
        let number = rng.random_range(0..net.followers.len());
        match rng.random_range(0..12) {
            0..5 => net.change_log.commit(&key, Some(&rng.random_range(0..9).to_string())),
            5 => net.change_log.commit(&key, None),
            6 => net.change_log.commit(&key, Some("!")),
            7 => _ = net.platform_unreachable.insert(number),
            8 => _ = net.platform_unreachable.remove(&number),
            9 => _ = net.frozen.insert(number),
            10 => _ = net.frozen.remove(&number),
            _ => net.restart(number, fresh()),
        }
        net.run(Duration::from_millis(rng.random_range(0..4_000)));
    }
    net.frozen.clear();
    net.platform_unreachable.clear();
}

#[test]
fn followers_never_go_back_and_agree_in_the_end() {
    for seed in 0..40 {
        let mut net = Simulation::new((0..4).map(|_| follower()).collect(), seed);
        disturb(&mut net, seed, follower);
        assert_eq!(net.regressions, 0, "seed {seed}");
        net.unreliable_network = false;
        net.run(Duration::from_secs(60));
        assert_eq!(net.regressions, 0, "seed {seed}");
        let revision = net.change_log.revision;
        assert!(net.followers.iter().all(|follower| follower.revision() == revision));
        // What stands before an invalid row depends on which rows a process got to see.
        let settled = |rows: Vec<Row>| -> Vec<Row> {
            rows.into_iter().filter(|row| !net.change_log.is_invalid(&row.key)).collect()
        };
        for follower in &net.followers {
            let rows = settled(follower.rows().collect());
            assert_eq!(rows, settled(net.change_log.in_force()), "seed {seed}");
        }
    }
}

#[test]
fn last_message_wins_goes_back() {
    let reverts = (0..40).map(|seed| {
        let mut net = Simulation::new((0..4).map(|_| NaiveFollower::default()).collect(), seed);
        disturb(&mut net, seed, NaiveFollower::default);
        net.regressions
    });
    assert!(reverts.sum::<usize>() > 0);
}

#[test]
fn last_valid_row_stays_in_force_on_followers_that_run_through() {
    let mut net = net(3);
    net.change_log.commit("config/budget/a", Some("1"));
    net.run(IN_FORCE);
    net.change_log.commit("config/budget/a", Some("!"));
    net.run(IN_FORCE);
    assert!(net.is_converged());
    assert_eq!(net.change_log.in_force().len(), 1);
}

struct Reach {
    hosts: usize,
    away: &'static [usize],
}

#[test_case(Reach { hosts: 7, away: &[] }; "platform reachable")]
#[test_case(Reach { hosts: 7, away: &[1, 2, 3] }; "a zone without the platform")]
#[test_case(Reach { hosts: 7, away: &[1, 2, 3, 4, 5, 6] }; "one host with the platform")]
fn accepted_change_is_in_force_in_time(reach: Reach) {
    let mut net = net(reach.hosts);
    net.run(Duration::from_secs(30));
    net.platform_unreachable.extend(reach.away);
    net.run(Duration::from_secs(30));
    for value in 0..20 {
        net.change_log.commit("config/route/a", Some(&value.to_string()));
        net.run(IN_FORCE);
        assert!(net.is_converged());
    }
}

#[test]
fn reads_stay_at_the_interval() {
    let mut net = net(5);
    net.change_log.commit("config/route/a", Some("1"));
    net.run(POLL_INTERVAL * 100);
    assert!((490..=510).contains(&net.reads), "{}", net.reads);
}

#[test]
fn many_rows_are_read_in_pages() {
    let mut net = net(2);
    for number in 0..3_500 {
        net.change_log.commit(&format!("config/budget/{number}"), Some("1"));
    }
    net.platform_unreachable.insert(1);
    net.run(Duration::from_secs(10));
    assert!(net.is_converged());
}

#[test]
fn large_configuration_comes_from_a_neighbour_in_pages() {
    let mut net = net(2);
    let value = "x".repeat(10_000);
    for number in 0..200 {
        net.change_log.commit(&format!("config/budget/{number}"), Some(&value));
    }
    net.run(Duration::from_secs(10));
    net.restart(1, follower());
    net.platform_unreachable.insert(1);
    net.run(Duration::from_secs(20));
    assert!(net.is_converged());
    assert!(net.followers[1].ready());
}

#[test]
fn host_that_reaches_nobody_is_not_ready() {
    let mut net = net(3);
    net.change_log.commit("config/budget/a", Some("1"));
    net.platform_unreachable.extend([0, 1, 2]);
    net.run(Duration::from_secs(600));
    assert!(net.followers.iter().all(|follower| !follower.ready()));
    net.platform_unreachable.remove(&0);
    net.run(IN_FORCE);
    assert!(net.followers.iter().all(Follower::ready));
    assert!(net.is_converged());
}

#[test]
fn host_replaced_while_the_platform_is_away_starts_from_its_neighbours() {
    let mut net = net(3);
    for number in 0..9 {
        net.change_log.commit(&format!("config/budget/{number}"), Some("1"));
    }
    net.run(IN_FORCE);
    net.change_log.commit("config/budget/3", None);
    net.change_log.commit("config/budget/4", Some("!"));
    net.run(IN_FORCE);
    net.platform_unreachable.extend([0, 1, 2]);
    net.restart(2, follower());
    net.run(IN_FORCE);
    assert!(net.followers[2].ready());
    assert!(net.is_converged());
}

#[test]
fn host_back_from_a_long_freeze_drops_what_its_neighbours_forgot_to_be_deleted() {
    let mut net = net(3);
    net.change_log.commit("config/budget/a", Some("1"));
    net.change_log.commit("config/budget/b", Some("1"));
    net.run(IN_FORCE);
    net.frozen.insert(2);
    net.change_log.commit("config/budget/a", None);
    net.change_log.commit("config/budget/c", Some("1"));
    for number in 0..66_000 {
        net.change_log.commit(&format!("config/budget/old-{number}"), None);
    }
    net.run(IN_FORCE);
    net.platform_unreachable.extend([0, 1, 2]);
    net.frozen.clear();
    net.run(IN_FORCE);
    assert!(net.is_converged());
    assert_eq!(net.regressions, 0);
}

#[test]
fn follower_that_has_read_only_a_part_answers_nobody() {
    let mut log = ChangeLog::default();
    for number in 0..1_500 {
        log.commit(&format!("config/budget/{number}"), Some("1"));
    }
    let mut follower = follower();
    let mut actions = Vec::new();
    let part = Event::Outcome(log.changes(0, 1_000));
    follower.handle(Duration::ZERO, part, &mut actions);
    assert!(!follower.ready());
    actions.clear();
    let ask = || Event::Ask { address: "n".into(), after: 0 };
    follower.handle(Duration::ZERO, ask(), &mut actions);
    assert_eq!(actions, []);
    let rest = Event::Outcome(log.changes(1_000, 1_000));
    follower.handle(Duration::ZERO, rest, &mut actions);
    actions.clear();
    follower.handle(Duration::ZERO, ask(), &mut actions);
    assert_eq!(actions.len(), 1);
}

fn page(rows: Vec<Row>, after: u64, through: u64) -> Page {
    Page { rows, after, through, current: through, deletions_after: 0 }
}

fn row(key: &str, value: Option<&str>, revision: u64) -> Row {
    Row { key: key.into(), value: value.map(Arc::from), revision }
}

/// Returns a follower that is complete up to 10 and has asked neighbour `n`.
fn asking() -> (Follower, Duration) {
    let mut follower = follower();
    let rows = vec![row("a", Some("1"), 4), row("b", Some("1"), 9), row("c", None, 10)];
    let outcome = Outcome::Changes { rows, through: 10 };
    follower.handle(Duration::ZERO, Event::Outcome(outcome), &mut Vec::new());
    let now = Duration::from_secs(60);
    let heard = Event::NeighbourRevision { address: "n".into(), revision: 20 };
    let mut actions = Vec::new();
    follower.handle(now, heard, &mut actions);
    let ask = Message::ConfigAsk { after: 10 };
    assert_eq!(actions, [Action::Send { to: "n".into(), message: ask }]);
    (follower, now)
}

struct Case {
    from: &'static str,
    page: Page,
    applied: Vec<Row>,
    revision: u64,
}

#[test_case(Case { from: "n", page: page(vec![row("a", Some("2"), 12)], 10, 20), applied: vec![row("a", Some("2"), 12)], revision: 20 }; "newer row")]
#[test_case(Case { from: "n", page: page(vec![row("a", None, 12)], 10, 20), applied: vec![row("a", None, 12)], revision: 20 }; "deletion")]
#[test_case(Case { from: "n", page: page(vec![row("a", Some("0"), 3)], 10, 20), applied: vec![], revision: 20 }; "older row")]
#[test_case(Case { from: "n", page: page(vec![row("c", Some("0"), 8)], 10, 20), applied: vec![], revision: 20 }; "row from before its deletion")]
#[test_case(Case { from: "n", page: page(vec![row("z", Some("0"), 8)], 10, 20), applied: vec![], revision: 20 }; "unknown row from before")]
#[test_case(Case { from: "n", page: page(vec![row("a", Some("!"), 12)], 10, 20), applied: vec![], revision: 20 }; "invalid row")]
#[test_case(Case { from: "n", page: page(vec![row("a", Some("2"), 12), row("a", Some("!"), 13)], 10, 20), applied: vec![row("a", Some("2"), 12)], revision: 20 }; "valid row before an invalid one")]
#[test_case(Case { from: "n", page: page(vec![row("a", Some("!"), 13), row("a", Some("2"), 12)], 10, 20), applied: vec![row("a", Some("2"), 12)], revision: 20 }; "valid row after a newer invalid one")]
#[test_case(Case { from: "n", page: page(vec![row("a", Some("2"), 18)], 15, 20), applied: vec![], revision: 10 }; "page that leaves a gap")]
#[test_case(Case { from: "n", page: page(vec![row("a", Some("2"), 8)], 5, 9), applied: vec![], revision: 10 }; "page of an earlier question")]
#[test_case(Case { from: "m", page: page(vec![row("a", Some("2"), 12)], 10, 20), applied: vec![], revision: 10 }; "page that nobody asked for")]
fn page_of_a_neighbour(case: Case) {
    let (mut follower, now) = asking();
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
fn late_answer_of_the_platform_changes_nothing() {
    let mut log = ChangeLog::default();
    log.commit("a", Some("1"));
    let late = log.changes(0, 10);
    log.commit("a", Some("2"));
    let mut follower = follower();
    let mut actions = Vec::new();
    follower.handle(Duration::ZERO, Event::Outcome(log.changes(0, 10)), &mut actions);
    let before = actions.len();
    follower.handle(Duration::ZERO, Event::Outcome(late), &mut actions);
    assert_eq!(actions.len(), before);
    assert_eq!(follower.revision(), 2);
}
