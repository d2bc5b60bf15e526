//! Calls with a ticket run at most once, whichever hosts get the retries.

use std::{collections::BTreeSet, time::Duration};

use coordination::record::LedgerFormat;
use rand::RngExt;
use test_case::test_case;

use crate::{
    callers::{AttemptResult, count_by_code},
    histories::{FREQUENT_FAULTS, NO_FAULTS},
    records::{self, ZONES},
    simulation::{Faults, Simulation},
};

const SECOND: Duration = Duration::from_secs(1);

/// Number of tickets in a history.
const TICKETS: usize = 12;

/// Faults while tickets are used.
struct Case {
    faults: Faults,
    crashes: usize,
    freezes: usize,
    partitions: usize,
    /// Minimum number of tickets whose call runs, or is refused where `refusals` is set.
    min_runs: usize,
    /// Whether a call may be refused because the budget lacks tokens, which spends its ticket.
    refusals: bool,
}

const FAULT_FREE: Case = Case {
    faults: NO_FAULTS,
    crashes: 0,
    freezes: 0,
    partitions: 0,
    min_runs: TICKETS,
    refusals: false,
};

/// Guards against a second run of a call whose ticket is retried at other hosts after lost messages,
/// a crash, a freeze or a partition has hidden the first run.
#[test_case(FAULT_FREE; "no faults")]
#[test_case(Case { faults: FREQUENT_FAULTS, refusals: true, ..FAULT_FREE }; "messages lost and delayed")]
#[test_case(Case { crashes: 3, min_runs: 1, ..FAULT_FREE }; "crashes")]
#[test_case(Case { freezes: 3, min_runs: 1, ..FAULT_FREE }; "freezes")]
#[test_case(Case { partitions: 2, min_runs: 1, ..FAULT_FREE }; "partitions")]
#[test_case(Case { faults: FREQUENT_FAULTS, crashes: 2, freezes: 2, partitions: 1, min_runs: 1, refusals: false }; "all faults")]
fn calls_with_a_ticket_run_at_most_once(case: Case) {
    for seed in 1..13 {
        run_history(&case, seed);
    }
}

fn run_history(case: &Case, seed: u64) {
    let mut simulation = Simulation::new(seed, 7);
    records::write_budget(&mut simulation.table, "new", &[100_000], LedgerFormat::New);
    simulation.run_for(20 * SECOND);
    for _ in 0..TICKETS {
        simulation.add_ticket_caller();
    }
    simulation.run_for(SECOND);
    for job in 0..TICKETS {
        simulation.add_ticket_users(job, 5);
    }
    simulation.faults = case.faults;
    simulation.run_for(SECOND);
    for _ in 0..case.partitions {
        let [from, to] = [(); 2].map(|()| ZONES[simulation.rng.random_range(0..ZONES.len())]);
        simulation.partition_one_way(from, to);
    }
    for _ in 0..case.freezes {
        let host = simulation.rng.random_range(0..7);
        simulation.hosts[host].frozen = true;
    }
    for _ in 0..case.crashes {
        simulation.run_for(SECOND / 2);
        let host = simulation.rng.random_range(0..7);
        simulation.kill(host);
    }
    simulation.run_for(20 * SECOND);
    simulation.heal();
    simulation.run_for(180 * SECOND);
    let repeated = simulation.service_runs.iter().filter(|(_, runs)| **runs > 1);
    assert_eq!(repeated.count(), 0, "seed {seed}: {:?}", simulation.service_runs);
    let refused = if case.refusals { refused_jobs(&simulation).len() } else { 0 };
    assert!(
        simulation.service_runs.len() + refused >= case.min_runs,
        "seed {seed}: {:?}",
        count_by_code(&simulation.jobs)
    );
}

/// Returns the jobs whose call never ran and was refused at least once because the budget lacked
/// tokens.
fn refused_jobs(simulation: &Simulation) -> BTreeSet<&str> {
    let lacks_tokens = |result: &AttemptResult| match result {
        AttemptResult::Failed(problem) => problem.code.starts_with("budget_"),
        _ => false,
    };
    let refused =
        simulation.jobs.iter().filter(|job| job.results.iter().any(|(_, _, v)| lacks_tokens(v)));
    let names = refused.map(|job| &*job.name);
    names.filter(|name| !simulation.service_runs.contains_key(*name)).collect()
}
