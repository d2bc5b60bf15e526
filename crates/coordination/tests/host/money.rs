//! A long partition while a budget is topped up.

use std::time::Duration;

use coordination::record::LedgerFormat;
use test_case::test_case;

use crate::{
    callers::{Job, Kind, Verdict, codes},
    histories::{self, NONE, REST, ROUGH},
    records,
    world::{Faults, PLATFORM, World},
};

const SECOND: Duration = Duration::from_secs(1);

/// Seconds for which a zone is cut off.
const CUT: u32 = 600;

/// What happens during the partition.
struct Case {
    /// Tokens bought before and during it.
    bought: [u64; 2],
    /// Hosts that die, and when, in seconds from its start.
    deaths: &'static [(usize, u32)],
    /// Commits lost, late or without an answer.
    table: f64,
    /// Zones that can't reach the platform, nor the others where they are cut off.
    zones: &'static [&'static str],
}

const TOP_UP: Case = Case { bought: [8_000, 8_000], deaths: &[], table: 0.0, zones: &["c"] };

// Of the hosts, 2 and 5 are in zone c.
#[test_case(TOP_UP; "top up")]
#[test_case(Case { bought: [1_500, 1_500], ..TOP_UP }; "scarce")]
#[test_case(Case { deaths: &[(2, 100)], ..TOP_UP }; "death inside")]
#[test_case(Case { deaths: &[(2, 100), (5, 300)], ..TOP_UP }; "all die inside")]
#[test_case(Case { deaths: &[(2, 100), (0, 200)], ..TOP_UP }; "deaths on both sides")]
#[test_case(Case { table: 0.2, ..TOP_UP }; "answers lost")]
#[test_case(Case { deaths: &[(5, 100), (1, 110)], table: 0.2, bought: [2_000, 2_000], ..TOP_UP }; "deaths and answers lost")]
#[test_case(Case { zones: &["a", "b", "c"], deaths: &[(5, 200)], table: 0.2, ..TOP_UP }; "platform away from all")]
fn budget_holds_through_a_long_partition(case: Case) {
    for seed in 1..4 {
        partition(&case, seed);
    }
}

fn partition(case: &Case, seed: u64) {
    let mut world = World::open(seed, 7);
    let [first, second] = case.bought;
    records::write_budget(&mut world.table, "new", &[first], LedgerFormat::New);
    records::write_budget(&mut world.table, "old", &[first], LedgerFormat::Old);
    world.run_for(20 * SECOND);
    let kinds = [Kind::Model("review"), Kind::Status, Kind::Single("letter"), Kind::Pay];
    for n in 0..CUT {
        let budget = if n % 5 == 0 { "old" } else { "new" };
        world.add(SECOND * n, kinds[n as usize % 4], budget, 3);
    }
    world.run_for(10 * SECOND);
    world.faults = Faults { table: case.table, ..Faults::default() };
    match case.zones {
        [zone] => world.isolate(zone),
        zones => {
            for zone in zones {
                world.part_from_platform(zone);
            }
        }
    }
    for second_of_cut in 0..CUT {
        if second_of_cut == 120 {
            records::write_budget(&mut world.table, "new", &[first, second], LedgerFormat::New);
        }
        let dying = case.deaths.iter().filter(|(_, at)| *at == second_of_cut);
        dying.for_each(|(host, _)| world.kill(*host));
        world.run_for(SECOND);
    }
    world.heal();
    world.run_for(REST);
    let deaths = !case.deaths.is_empty();
    let case = histories::Case { cuts: true, deaths, bought: case.bought, ..NONE };
    histories::check(&mut world, &case, seed);
}

/// Where status checks are made, what is cut, and what fails besides.
struct Checks {
    bought: u64,
    /// Reviews and letters are asked for at the same time.
    mixed: bool,
    isolated: Option<&'static str>,
    platform_away: bool,
    faults: Faults,
}

const ISOLATED: Checks = Checks {
    bought: 1_000_000,
    mixed: false,
    isolated: Some("c"),
    platform_away: false,
    faults: Faults { link: 0.0, late: 0.0, table: 0.0, backends: 0.0 },
};

#[test_case(ISOLATED; "zone cut off")]
#[test_case(Checks { isolated: Some("a"), ..ISOLATED }; "zone of three cut off")]
#[test_case(Checks { isolated: None, platform_away: true, ..ISOLATED }; "platform away")]
#[test_case(Checks { faults: Faults { backends: 0.0, ..ROUGH }, ..ISOLATED }; "zone cut off and losses")]
#[test_case(Checks { bought: 40_000, ..ISOLATED }; "zone cut off and a budget of three times the need")]
#[test_case(Checks { mixed: true, ..ISOLATED }; "zone cut off and other requests")]
#[test_case(Checks { mixed: true, isolated: None, platform_away: true, ..ISOLATED }; "platform away and other requests")]
fn status_checks_are_not_refused_while_a_zone_is_cut_off(case: Checks) {
    for seed in [1, 2, 3, 7] {
        check_status(&case, seed);
    }
}

fn check_status(case: &Checks, seed: u64) {
    let mut world = World::open(seed, 7);
    records::write_budget(&mut world.table, "new", &[case.bought], LedgerFormat::New);
    world.run_for(20 * SECOND);
    for n in 0..2 * CUT {
        world.add(SECOND / 2 * n, Kind::Status, "new", 1);
    }
    for n in 0..if case.mixed { CUT } else { 0 } {
        world.add(SECOND * n, Kind::Single("letter"), "new", 1);
        world.add(SECOND * n, Kind::Model("review"), "new", 1);
    }
    world.run_for(10 * SECOND);
    world.faults = case.faults;
    if let Some(zone) = case.isolated {
        world.isolate(zone);
    }
    if case.platform_away {
        for zone in records::ZONES {
            world.cut_one_way(zone, PLATFORM);
        }
    }
    world.run_for(SECOND * CUT);
    world.heal();
    world.run_for(60 * SECOND);
    let checks: Vec<&Job> = world.jobs.iter().filter(|job| job.kind == Kind::Status).collect();
    let failed = |job: &&&Job| !matches!(job.verdicts[..], [(_, _, Verdict::Whole)]);
    assert_eq!(checks.iter().filter(failed).count(), 0, "seed {seed}: {:?}", codes(checks));
}
