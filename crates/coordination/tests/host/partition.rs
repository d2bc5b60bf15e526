//! Budgets during a long network partition: top-ups, crashes, and status checks that go on.

use std::time::Duration;

use coordination::record::LedgerFormat;
use test_case::test_case;

use crate::{
    callers::{AttemptResult, Job, Kind, count_by_code},
    histories::{self, FAULT_FREE, FREQUENT_FAULTS, SETTLE_TIME},
    records,
    simulation::{Faults, PLATFORM, Simulation},
};

const SECOND: Duration = Duration::from_secs(1);

/// Length of the partition, in seconds.
const PARTITION_SECONDS: u32 = 600;

/// Events during the partition.
struct Case {
    /// Prepaid tokens of the top-ups before and during the partition.
    top_ups: [u64; 2],
    /// Hosts that crash, and when, in seconds from the start of the partition.
    crashes: &'static [(usize, u32)],
    /// Probability that a commit is refused, lost, delayed or applied without an answer.
    commit_faults: f64,
    /// Zones without the platform; a single one is also partitioned from the other zones.
    zones: &'static [&'static str],
}

const TOP_UP: Case =
    Case { top_ups: [8_000, 8_000], crashes: &[], commit_faults: 0.0, zones: &["c"] };

// Of the hosts, 2 and 5 are in zone c.
/// Guards against hosts that spend the same tokens on both sides of a partition, and against balances
/// that don't add up once it has ended.
#[test_case(TOP_UP; "top up")]
#[test_case(Case { top_ups: [1_500, 1_500], ..TOP_UP }; "small budget")]
#[test_case(Case { crashes: &[(2, 100)], ..TOP_UP }; "crash in the zone")]
#[test_case(Case { crashes: &[(2, 100), (5, 300)], ..TOP_UP }; "all hosts of the zone crash")]
#[test_case(Case { crashes: &[(2, 100), (0, 200)], ..TOP_UP }; "crashes on both sides")]
#[test_case(Case { commit_faults: 0.2, ..TOP_UP }; "commit faults")]
#[test_case(Case { crashes: &[(5, 100), (1, 110)], commit_faults: 0.2, top_ups: [2_000, 2_000], ..TOP_UP }; "crashes and commit faults")]
#[test_case(Case { zones: &["a", "b", "c"], crashes: &[(5, 200)], commit_faults: 0.2, ..TOP_UP }; "platform unreachable from all zones")]
fn budget_is_not_overspent_during_and_after_a_long_partition(case: Case) {
    for seed in 1..4 {
        run_partition(&case, seed);
    }
}

fn run_partition(case: &Case, seed: u64) {
    let mut simulation = Simulation::new(seed, 7);
    let [first, second] = case.top_ups;
    records::write_budget(&mut simulation.table, "new", &[first], LedgerFormat::New);
    records::write_budget(&mut simulation.table, "old", &[first], LedgerFormat::Old);
    simulation.run_for(20 * SECOND);
    let kinds = [Kind::Model("review"), Kind::Status, Kind::KeylessModel("letter"), Kind::Pay];
    for n in 0..PARTITION_SECONDS {
        let budget = if n % 5 == 0 { "old" } else { "new" };
        simulation.add_caller(SECOND * n, kinds[n as usize % 4], budget, 3);
    }
    simulation.run_for(10 * SECOND);
    simulation.faults = Faults { table: case.commit_faults, ..Faults::default() };
    match case.zones {
        [zone] => simulation.isolate(zone),
        zones => {
            for zone in zones {
                simulation.partition_from_platform(zone);
            }
        }
    }
    for second_of_partition in 0..PARTITION_SECONDS {
        if second_of_partition == 120 {
            records::write_budget(
                &mut simulation.table,
                "new",
                &[first, second],
                LedgerFormat::New,
            );
        }
        let crashing = case.crashes.iter().filter(|(_, at)| *at == second_of_partition);
        crashing.for_each(|(host, _)| simulation.kill(*host));
        simulation.run_for(SECOND);
    }
    simulation.heal();
    simulation.run_for(SETTLE_TIME);
    let crashes = !case.crashes.is_empty();
    let case = histories::Case { partitions: true, crashes, top_ups: case.top_ups, ..FAULT_FREE };
    histories::drain_and_check(&mut simulation, &case, seed);
}

/// Faults while callers send status checks.
struct StatusCase {
    prepaid: u64,
    /// Whether callers also request reviews and letters.
    mixed: bool,
    /// Zone that is partitioned from the platform and the other zones.
    isolated: Option<&'static str>,
    /// Whether no zone can send to the platform.
    platform_unreachable: bool,
    faults: Faults,
}

const ISOLATED: StatusCase = StatusCase {
    prepaid: 1_000_000,
    mixed: false,
    isolated: Some("c"),
    platform_unreachable: false,
    faults: Faults { link: 0.0, delay: 0.0, table: 0.0, backends: 0.0 },
};

/// Guards against refused status checks on hosts that can't get more tokens or journal replicas from
/// beyond the partition.
#[test_case(ISOLATED; "zone isolated")]
#[test_case(StatusCase { isolated: Some("a"), ..ISOLATED }; "zone of three hosts isolated")]
#[test_case(StatusCase { isolated: None, platform_unreachable: true, ..ISOLATED }; "platform unreachable")]
#[test_case(StatusCase { faults: Faults { backends: 0.0, ..FREQUENT_FAULTS }, ..ISOLATED }; "zone isolated and message losses")]
#[test_case(StatusCase { prepaid: 40_000, ..ISOLATED }; "zone isolated and a budget of three times the need")]
#[test_case(StatusCase { mixed: true, ..ISOLATED }; "zone isolated and other requests")]
#[test_case(StatusCase { mixed: true, isolated: None, platform_unreachable: true, ..ISOLATED }; "platform unreachable and other requests")]
fn status_checks_succeed_during_a_partition(case: StatusCase) {
    for seed in [1, 2, 3, 7] {
        run_status_checks(&case, seed);
    }
}

fn run_status_checks(case: &StatusCase, seed: u64) {
    let mut simulation = Simulation::new(seed, 7);
    records::write_budget(&mut simulation.table, "new", &[case.prepaid], LedgerFormat::New);
    simulation.run_for(20 * SECOND);
    for n in 0..2 * PARTITION_SECONDS {
        simulation.add_caller(SECOND / 2 * n, Kind::Status, "new", 1);
    }
    for n in 0..if case.mixed { PARTITION_SECONDS } else { 0 } {
        simulation.add_caller(SECOND * n, Kind::KeylessModel("letter"), "new", 1);
        simulation.add_caller(SECOND * n, Kind::Model("review"), "new", 1);
    }
    simulation.run_for(10 * SECOND);
    simulation.faults = case.faults;
    if let Some(zone) = case.isolated {
        simulation.isolate(zone);
    }
    if case.platform_unreachable {
        for zone in records::ZONES {
            simulation.partition_one_way(zone, PLATFORM);
        }
    }
    simulation.run_for(SECOND * PARTITION_SECONDS);
    simulation.heal();
    simulation.run_for(60 * SECOND);
    let checks: Vec<&Job> = simulation.jobs.iter().filter(|job| job.kind == Kind::Status).collect();
    let failed = |job: &&&Job| !matches!(job.results[..], [(_, _, AttemptResult::Complete)]);
    assert_eq!(checks.iter().filter(failed).count(), 0, "seed {seed}: {:?}", count_by_code(checks));
}
