//! Calls that run at most once, whichever hosts get their retries.

use std::{collections::BTreeSet, time::Duration};

use coordination::record::LedgerFormat;
use rand::RngExt;
use test_case::test_case;

use crate::{
    callers::{Verdict, codes},
    histories::{CALM, ROUGH},
    records::{self, ZONES},
    world::{Faults, World},
};

const SECOND: Duration = Duration::from_secs(1);

/// Tickets of a history.
const TICKETS: usize = 12;

/// What fails while a ticket is used.
struct Case {
    faults: Faults,
    deaths: usize,
    freezes: usize,
    cuts: usize,
    /// At least so many of the tickets' calls run.
    runs: usize,
    /// Calls may be refused for want of tokens, which uses up their tickets.
    refusals: bool,
}

const NONE: Case =
    Case { faults: CALM, deaths: 0, freezes: 0, cuts: 0, runs: TICKETS, refusals: false };

#[test_case(NONE; "calm")]
#[test_case(Case { faults: ROUGH, refusals: true, ..NONE }; "lost and late")]
#[test_case(Case { deaths: 3, runs: 1, ..NONE }; "deaths")]
#[test_case(Case { freezes: 3, runs: 1, ..NONE }; "freezes")]
#[test_case(Case { cuts: 2, runs: 1, ..NONE }; "cuts")]
#[test_case(Case { faults: ROUGH, deaths: 2, freezes: 2, cuts: 1, runs: 1, refusals: false }; "all")]
fn calls_with_a_ticket_run_at_most_once(case: Case) {
    for seed in 1..13 {
        history(&case, seed);
    }
}

fn history(case: &Case, seed: u64) {
    let mut world = World::open(seed, 7);
    records::write_budget(&mut world.table, "new", &[100_000], LedgerFormat::New);
    world.run_for(20 * SECOND);
    for _ in 0..TICKETS {
        world.add_ticket();
    }
    world.run_for(SECOND);
    for job in 0..TICKETS {
        world.add_sharers(job, 5);
    }
    world.faults = case.faults;
    world.run_for(SECOND);
    for _ in 0..case.cuts {
        let [from, to] = [(); 2].map(|()| ZONES[world.random.random_range(0..ZONES.len())]);
        world.cut_one_way(from, to);
    }
    for _ in 0..case.freezes {
        let host = world.random.random_range(0..7);
        world.hosts[host].frozen = true;
    }
    for _ in 0..case.deaths {
        world.run_for(SECOND / 2);
        let host = world.random.random_range(0..7);
        world.kill(host);
    }
    world.run_for(20 * SECOND);
    world.heal();
    world.run_for(180 * SECOND);
    let twice = world.calls.iter().filter(|(_, runs)| **runs > 1);
    assert_eq!(twice.count(), 0, "seed {seed}: {:?}", world.calls);
    let refused = if case.refusals { refused(&world).len() } else { 0 };
    assert!(world.calls.len() + refused >= case.runs, "seed {seed}: {:?}", codes(&world.jobs));
}

/// Returns the tickets of which no call ran because one was refused for want of tokens.
fn refused(world: &World) -> BTreeSet<&str> {
    let short = |verdict: &Verdict| match verdict {
        Verdict::Failed(problem) => problem.code.starts_with("budget_"),
        _ => false,
    };
    let refused = world.jobs.iter().filter(|job| job.verdicts.iter().any(|(_, _, v)| short(v)));
    let names = refused.map(|job| &*job.name);
    names.filter(|name| !world.calls.contains_key(*name)).collect()
}
