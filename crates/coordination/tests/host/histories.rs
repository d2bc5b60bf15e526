//! Random histories: faults while callers send requests, then none until everything is settled,
//! then checks of answers and accounts.

use std::time::Duration;

use coordination::{
    host::event::Event,
    record::{self, LedgerFormat, Operator, Record},
};
use rand::RngExt;
use test_case::test_case;

use crate::{
    callers::{AttemptResult, Kind, count_by_code},
    records::{self, ZONES},
    simulation::{Faults, PLATFORM, Process, Simulation},
};

const SECOND: Duration = Duration::from_secs(1);

/// Time in which a fleet without faults settles all of its requests.
pub const SETTLE_TIME: Duration = Duration::from_secs(240);

/// Time in which every host applies the newest record once the faults have ended.
pub const CONVERGENCE_TIME: Duration = Duration::from_secs(18);

/// Faults that may occur in a history.
pub struct Case {
    pub faults: Faults,
    pub partitions: bool,
    pub freezes: bool,
    pub crashes: bool,
    pub engine_crashes: bool,
    /// Prepaid tokens: of the first top-up, and of a second one during the history.
    pub top_ups: [u64; 2],
}

pub const NO_FAULTS: Faults = Faults { link: 0.0, delay: 0.0, table: 0.0, backends: 0.0 };
pub const FREQUENT_FAULTS: Faults = Faults { link: 0.05, delay: 0.1, table: 0.1, backends: 0.05 };
pub const FAULT_FREE: Case = Case {
    faults: NO_FAULTS,
    partitions: false,
    freezes: false,
    crashes: false,
    engine_crashes: false,
    top_ups: [50_000, 50_000],
};

/// Guards against missing and repeated charges, repeated runs of calls with a ticket, and requests
/// or tokens that stay reserved after a random sequence of faults.
#[test_case(FAULT_FREE; "no faults")]
#[test_case(Case { faults: FREQUENT_FAULTS, ..FAULT_FREE }; "messages lost and delayed")]
#[test_case(Case { partitions: true, ..FAULT_FREE }; "partitions")]
#[test_case(Case { freezes: true, ..FAULT_FREE }; "freezes")]
#[test_case(Case { crashes: true, ..FAULT_FREE }; "crashes")]
#[test_case(Case { engine_crashes: true, ..FAULT_FREE }; "engine crashes")]
#[test_case(Case { faults: FREQUENT_FAULTS, partitions: true, freezes: true, crashes: true, engine_crashes: true, ..FAULT_FREE }; "all faults")]
#[test_case(Case { faults: FREQUENT_FAULTS, partitions: true, freezes: true, crashes: true, engine_crashes: true, top_ups: [3_000, 3_000] }; "all faults and a small budget")]
fn histories_end_with_complete_answers_and_consistent_accounts(case: Case) {
    for seed in seeds() {
        run_history(&case, seed);
    }
}

/// Returns the seeds to run: 1 up to the environment variable `SEEDS`, or else 1 to 4.
fn seeds() -> std::ops::Range<u64> {
    match std::env::var("SEEDS").ok().and_then(|seeds| seeds.parse::<u64>().ok()) {
        Some(seeds) => 1..seeds + 1,
        None => 1..5,
    }
}

fn run_history(case: &Case, seed: u64) {
    let mut simulation = Simulation::new(seed, 7);
    let [first, second] = case.top_ups;
    records::write_budget(&mut simulation.table, "new", &[first], LedgerFormat::New);
    records::write_budget(&mut simulation.table, "old", &[first], LedgerFormat::Old);
    simulation.run_for(20 * SECOND);
    let kinds = [Kind::Model("review"), Kind::KeylessModel("letter"), Kind::Status, Kind::Pay];
    for n in 0..240u32 {
        let budget = if n % 5 == 0 { "old" } else { "new" };
        simulation.add_caller(SECOND / 2 * n, kinds[n as usize % 4], budget, 4);
    }
    simulation.faults = case.faults;
    for step in 0..12 {
        if step == 5 {
            records::write_budget(
                &mut simulation.table,
                "new",
                &[first, second],
                LedgerFormat::New,
            );
        }
        write_operator(&mut simulation, step);
        inject_fault(&mut simulation, case);
        simulation.run_for(10 * SECOND);
    }
    simulation.heal();
    simulation.run_for(CONVERGENCE_TIME);
    check_revisions(&simulation, seed);
    simulation.run_for(SETTLE_TIME);
    drain_and_check(&mut simulation, case, seed);
}

/// Injects a random fault, or ends some.
fn inject_fault(simulation: &mut Simulation, case: &Case) {
    let hosts = simulation.hosts.len();
    let host = simulation.rng.random_range(0..hosts);
    let zone = ZONES[simulation.rng.random_range(0..3)];
    let other = ZONES.into_iter().chain([PLATFORM]).filter(|other| *other != zone);
    let other = other.collect::<Vec<_>>()[simulation.rng.random_range(0..3)];
    match simulation.rng.random_range(0..8) {
        0 if case.partitions => simulation.isolate(zone),
        1 if case.partitions => simulation.partition_one_way(zone, other),
        2 if case.partitions => simulation.partition_one_way(other, zone),
        3 if case.partitions => simulation.partitions.clear(),
        4 if case.freezes => {
            simulation.hosts[host].frozen = true;
            simulation.hosts[host].listed_as_gone |=
                case.crashes && simulation.rng.random_bool(0.3);
        }
        5 if case.freezes => (0..hosts).for_each(|host| simulation.unfreeze(host)),
        6 if case.crashes => {
            simulation.kill(host);
            if simulation.rng.random_bool(0.5) {
                let incarnation = simulation.hosts.len() as u64 + 1;
                let number = simulation.hosts[host].name[1..].parse().expect("a number");
                let newest =
                    simulation.hosts.iter().rposition(|p| p.name == simulation.hosts[host].name);
                if newest == Some(host) {
                    simulation.start(number, incarnation);
                }
            }
        }
        7 if case.engine_crashes => {
            let engine = simulation.rng.random_range(0..3);
            simulation.kill_backend(engine);
        }
        _ => {}
    }
}

/// Writes a new operator record, so that the configuration gets a new revision.
pub fn write_operator(simulation: &mut Simulation, step: u32) {
    let name = format!("operator{step}").into();
    let operator = Operator { name, token_hashes: Vec::new() };
    records::write(&mut simulation.table, &Record::Operator(operator));
}

/// Checks that every running process has applied the newest record.
pub fn check_revisions(simulation: &Simulation, seed: u64) {
    let records = simulation.table.rows().filter(|row| row.key.starts_with(record::KEY_PREFIX));
    let newest = records.map(|row| row.revision).max().expect("records");
    for process in simulation.hosts.iter().filter(|process| process.is_running()) {
        let Process { name, revision, .. } = process;
        assert!(*revision >= newest, "seed {seed}: {name} is at {revision} of {newest}");
    }
}

/// Checks that no request is in progress, drains every host, and checks accounts and answers.
pub fn drain_and_check(simulation: &mut Simulation, case: &Case, seed: u64) {
    let running: Vec<usize> =
        (0..simulation.hosts.len()).filter(|n| simulation.hosts[*n].is_running()).collect();
    for &host in &running {
        let stats = simulation.hosts[host].host.stats();
        assert_eq!(stats.requests, 0, "seed {seed}: requests in progress at {host}");
    }
    for &host in &running {
        simulation.handle_event(host, Event::Drain);
    }
    simulation.run_for(60 * SECOND);
    for &host in &running {
        let process = &simulation.hosts[host];
        let state = process.host.stats().state;
        assert!(process.stopped, "seed {seed}: {} is {state}", process.name);
    }
    for budget in ["new", "old"] {
        let balance = simulation.balance(budget);
        assert_eq!(balance.disagreements, [], "seed {seed}: {budget}");
        let net_charged = balance.ledger + balance.old_ledger - balance.refunds;
        let accounted = net_charged + balance.remaining;
        assert!(accounted <= balance.prepaid, "seed {seed}: {budget} {balance:?}");
        // Tokens that a crashed process had reserved, or that were in transfer to it, may stay
        // stranded.
        let stranded = balance.escrow.stranded;
        let balanced = accounted + stranded == balance.prepaid && (stranded == 0 || case.crashes);
        assert!(balanced || case.crashes && case.partitions, "seed {seed}: {budget} {balance:?}");
    }
    check_jobs(simulation, case, seed);
}

fn check_jobs(simulation: &Simulation, case: &Case, seed: u64) {
    let charges = simulation.charges();
    assert!(charges.values().all(|tokens| tokens.len() == 1), "seed {seed}: charged once");
    for (name, runs) in &simulation.service_runs {
        let number: usize = name[1..].parse().expect("a number");
        let is_allowed = simulation.jobs[number].kind != Kind::Pay || *runs == 1;
        assert!(is_allowed, "seed {seed}: {name} ran {runs} times");
    }
    for job in &simulation.jobs {
        let ids = simulation.sent_requests.get(&job.name).into_iter().flatten();
        let charged_tokens: Vec<u64> =
            ids.filter_map(|id| charges.get(id)).flatten().copied().collect();
        let ran = simulation.started_jobs.contains(&job.name)
            || simulation.service_runs.contains_key(&job.name);
        // A reservation of a crashed process is charged, since the request may have been sent to a
        // backend server.
        let disconnected =
            job.results.iter().any(|(_, _, result)| *result == AttemptResult::ConnectionLost);
        let charged = !charged_tokens.is_empty();
        assert!(
            ran || !charged || case.crashes && disconnected,
            "seed {seed}: {job:?} did not run and is charged"
        );
        // Charges of a process that crashes in a partition may be lost; their tokens stay stranded.
        let answered = matches!(job.results.last(), Some((_, _, AttemptResult::Complete)));
        let charged_or_lost = charged || case.crashes && case.partitions;
        assert!(
            !answered || charged_or_lost,
            "seed {seed}: {job:?} was answered and is not charged"
        );
        if !case.crashes && matches!(job.results[..], [(_, _, AttemptResult::Complete)]) {
            assert_eq!(
                charged_tokens,
                [job.expected_charge()],
                "seed {seed}: charge of {}",
                job.name
            );
        }
    }
    println!("seed {seed}: {:?}", count_by_code(&simulation.jobs));
}
