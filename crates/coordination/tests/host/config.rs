//! Configuration records reach every host.

use std::time::Duration;

use coordination::record::LedgerFormat;
use test_case::test_case;

use crate::{
    callers::{Kind, count_by_code},
    histories::{CONVERGENCE_TIME, FREQUENT_FAULTS, NO_FAULTS, check_revisions, write_operator},
    records::{self, ZONES},
    simulation::{Faults, Simulation},
};

const SECOND: Duration = Duration::from_secs(1);

/// Faults while records change.
struct Case {
    /// Zones that are partitioned from the platform and from every other zone.
    isolated: &'static [&'static str],
    faults: Faults,
    /// Hosts that are frozen while the records change.
    frozen: &'static [usize],
}

/// Guards against a host that keeps an old revision after it was isolated or frozen.
#[test_case(Case { isolated: &[], faults: NO_FAULTS, frozen: &[] }; "no faults")]
#[test_case(Case { isolated: &[], faults: FREQUENT_FAULTS, frozen: &[] }; "messages lost and delayed")]
#[test_case(Case { isolated: &["c"], faults: NO_FAULTS, frozen: &[] }; "zone isolated")]
#[test_case(Case { isolated: &["c"], faults: FREQUENT_FAULTS, frozen: &[0, 3] }; "zone isolated with losses and two hosts frozen")]
#[test_case(Case { isolated: &ZONES, faults: NO_FAULTS, frozen: &[1] }; "all zones isolated")]
fn every_record_is_in_force_on_all_hosts_soon_after_faults_end(case: Case) {
    for seed in 1..4 {
        let mut simulation = Simulation::new(seed, 7);
        simulation.run_for(20 * SECOND);
        simulation.faults = case.faults;
        case.isolated.iter().for_each(|zone| simulation.isolate(zone));
        for step in 0..40 {
            write_operator(&mut simulation, step);
            if step == 10 {
                case.frozen.iter().for_each(|host| simulation.hosts[*host].frozen = true);
            }
            simulation.run_for(3 * SECOND);
        }
        simulation.heal();
        simulation.run_for(CONVERGENCE_TIME);
        check_revisions(&simulation, seed);
    }
}

#[test]
fn host_that_starts_during_a_platform_outage_gets_the_records_from_its_neighbours() {
    for seed in 1..6 {
        let mut simulation = Simulation::new(seed, 6);
        records::write_budget(&mut simulation.table, "new", &[100_000], LedgerFormat::New);
        simulation.run_for(20 * SECOND);
        for n in 0..40 {
            simulation.add_caller(SECOND / 4 * n, Kind::Status, "new", 1);
        }
        simulation.run_for(20 * SECOND);
        write_operator(&mut simulation, 1);
        // Only host 3 reads the second record from the platform, so that the others and the new
        // host can get it from a neighbour only.
        for zone in ["b", "c"] {
            simulation.partition_from_platform(zone);
        }
        (0..6).filter(|host| *host != 3).for_each(|host| simulation.hosts[host].frozen = true);
        write_operator(&mut simulation, 2);
        simulation.run_for(5 * SECOND);
        simulation.partition_from_platform("a");
        (0..6).for_each(|host| simulation.unfreeze(host));
        let new_host = simulation.start(6, 1);
        simulation.run_for(CONVERGENCE_TIME);
        check_revisions(&simulation, seed);
        assert!(simulation.hosts[new_host].host.stats().ready);
        let first_job = simulation.jobs.len();
        for n in 0..20 {
            simulation.add_caller_at(SECOND / 2 * n, Kind::Status, "new", new_host);
        }
        simulation.run_for(30 * SECOND);
        let answered = count_by_code(&simulation.jobs[first_job..]);
        assert_eq!(answered.get("complete"), Some(&20), "seed {seed}: {answered:?}");
    }
}
