//! Records in force at whole hosts.

use std::time::Duration;

use coordination::record::LedgerFormat;
use test_case::test_case;

use crate::{
    callers::{Kind, codes},
    histories::{CALM, CONVERGENCE, ROUGH, check_revisions, write_operator},
    records::{self, ZONES},
    world::{Faults, World},
};

const SECOND: Duration = Duration::from_secs(1);

/// What stands between a host and the platform.
struct Case {
    /// Places that no host can reach, and that reach none.
    away: &'static [&'static str],
    faults: Faults,
    /// Hosts that are frozen while the records change.
    frozen: &'static [usize],
}

#[test_case(Case { away: &[], faults: CALM, frozen: &[] }; "calm")]
#[test_case(Case { away: &[], faults: ROUGH, frozen: &[] }; "lost and late")]
#[test_case(Case { away: &["c"], faults: CALM, frozen: &[] }; "zone cut off")]
#[test_case(Case { away: &["c"], faults: ROUGH, frozen: &[0, 3] }; "zone cut off and two frozen")]
#[test_case(Case { away: &ZONES, faults: CALM, frozen: &[1] }; "all zones cut off")]
fn records_are_in_force_everywhere_soon_after_faults_end(case: Case) {
    for seed in 1..4 {
        let mut world = World::open(seed, 7);
        world.run_for(20 * SECOND);
        world.faults = case.faults;
        case.away.iter().for_each(|zone| world.isolate(zone));
        for step in 0..40 {
            write_operator(&mut world, step);
            if step == 10 {
                case.frozen.iter().for_each(|host| world.hosts[*host].frozen = true);
            }
            world.run_for(3 * SECOND);
        }
        world.heal();
        world.run_for(CONVERGENCE);
        check_revisions(&world, seed);
    }
}

#[test]
fn a_host_that_starts_while_the_platform_is_away_takes_the_records_of_its_neighbours() {
    for seed in 1..6 {
        let mut world = World::open(seed, 6);
        records::write_budget(&mut world.table, "new", &[100_000], LedgerFormat::New);
        world.run_for(20 * SECOND);
        for n in 0..40 {
            world.add(SECOND / 4 * n, Kind::Status, "new", 1);
        }
        world.run_for(20 * SECOND);
        write_operator(&mut world, 1);
        // One host alone hears of the last record.
        for zone in ["b", "c"] {
            world.part_from_platform(zone);
        }
        (0..6).filter(|host| *host != 3).for_each(|host| world.hosts[host].frozen = true);
        write_operator(&mut world, 2);
        world.run_for(5 * SECOND);
        world.part_from_platform("a");
        (0..6).for_each(|host| world.thaw(host));
        let young = world.start(6, 1);
        world.run_for(CONVERGENCE);
        check_revisions(&world, seed);
        assert!(world.hosts[young].host.stats().ready);
        let first = world.jobs.len();
        for n in 0..20 {
            world.add_at(SECOND / 2 * n, Kind::Status, "new", young);
        }
        world.run_for(30 * SECOND);
        let answered = codes(&world.jobs[first..]);
        assert_eq!(answered.get("whole"), Some(&20), "seed {seed}: {answered:?}");
    }
}
