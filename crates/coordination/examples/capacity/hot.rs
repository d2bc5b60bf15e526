//! One budget that every host draws on, as the fleet grows.

#[allow(dead_code)]
#[path = "../../tests/money/fleet.rs"]
mod fleet;
#[allow(dead_code)]
#[path = "../../tests/money/table.rs"]
pub mod table;

use std::time::{Duration, Instant};

use coordination::request::Class;
use fleet::{Fleet, ReserveResult};

use crate::report::{Series, print};

/// Numbers of hosts.
const HOSTS: [usize; 4] = [7, 50, 150, 350];

/// Time in which the hosts draw their first grants.
const WARM_UP: Duration = Duration::from_secs(20);

/// Time that is measured.
const WINDOW: Duration = Duration::from_secs(30);

/// Tokens of a request.
const TOKENS: u64 = 300;

/// Measures the platform's load by hosts that all use one budget.
pub fn measure() {
    println!("## one budget drawn on by all hosts, a request a second each");
    let mut commits = Series::new("table commits of all hosts", "hosts", "1/s");
    let mut conflicts = Series::new("table conflicts of all hosts", "hosts", "1/s");
    let mut reads = Series::new("table reads of all hosts", "hosts", "1/s");
    let mut refused = Series::new("refused", "hosts", "of 1,000");
    for hosts in HOSTS {
        let figures = run(hosts);
        commits.push(hosts, figures.commits);
        conflicts.push(hosts, figures.conflicts);
        reads.push(hosts, figures.reads);
        refused.push(hosts, figures.refused);
        print(&format!("{hosts} hosts, wall time of the run"), figures.wall, "s");
    }
    [commits, conflicts, reads, refused].iter().for_each(Series::print);
}

struct Figures {
    commits: f64,
    conflicts: f64,
    reads: f64,
    refused: f64,
    wall: f64,
}

fn run(hosts: usize) -> Figures {
    let names: Vec<(String, String)> =
        (0..hosts).map(|n| (format!("host-{n:03}"), format!("zone-{:02}", n % 17))).collect();
    let named: Vec<(&str, &str)> = names.iter().map(|(host, zone)| (&**host, &**zone)).collect();
    let start = Instant::now();
    let mut fleet = Fleet::new(1, &named);
    fleet.set_budget("hot", &[("t1", 1_000_000_000_000)], 1_000, false);
    serve(&mut fleet, hosts, WARM_UP, 0);
    let before = (fleet.table.commits, fleet.table.conflicts, fleet.table.reads);
    fleet.reserve_results.clear();
    serve(&mut fleet, hosts, WINDOW, 1_000_000);
    let refused = fleet
        .reserve_results
        .iter()
        .filter(|answer| matches!(answer.3, ReserveResult::Refused(_)))
        .count();
    let rate = |now: u64, before: u64| (now - before) as f64 / WINDOW.as_secs_f64();
    Figures {
        commits: rate(fleet.table.commits, before.0),
        conflicts: rate(fleet.table.conflicts, before.1),
        reads: rate(fleet.table.reads, before.2),
        refused: 1_000.0 * refused as f64 / fleet.reserve_results.len().max(1) as f64,
        wall: start.elapsed().as_secs_f64(),
    }
}

fn serve(fleet: &mut Fleet, hosts: usize, time: Duration, first: u64) {
    for second in 0..time.as_secs() {
        for host in 0..hosts {
            let request = first + second * hosts as u64 + host as u64;
            fleet.reserve(host, request, "hot", TOKENS, Class::Normal);
            fleet.run_for(Duration::from_secs(1) / hosts as u32);
            fleet.settle(host, request, TOKENS / 2);
        }
    }
}
