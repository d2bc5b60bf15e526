//! Load on the platform when all hosts use the same budget, as the fleet grows.

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

/// Numbers of hosts to measure with.
const HOST_COUNTS: [usize; 4] = [7, 50, 150, 350];

/// Time before the measurement, in which the hosts draw their first grants.
const WARM_UP: Duration = Duration::from_secs(20);

/// Duration of the measurement.
const MEASURED_TIME: Duration = Duration::from_secs(30);

/// Tokens that a request reserves.
const TOKENS: u64 = 300;

/// Measures the table operations and refusals of hosts that all use one budget.
pub fn measure() {
    println!("## one budget drawn on by all hosts, a request a second each");
    let mut commits = Series::new("table commits of all hosts", "hosts", "1/s");
    let mut conflicts = Series::new("table conflicts of all hosts", "hosts", "1/s");
    let mut reads = Series::new("table reads of all hosts", "hosts", "1/s");
    let mut refused = Series::new("refused", "hosts", "of 1,000");
    for hosts in HOST_COUNTS {
        let stats = run(hosts);
        commits.push(hosts, stats.commits);
        conflicts.push(hosts, stats.conflicts);
        reads.push(hosts, stats.reads);
        refused.push(hosts, stats.refused);
        print(&format!("{hosts} hosts, wall time of the run"), stats.wall_seconds, "s");
    }
    [commits, conflicts, reads, refused].iter().for_each(Series::print);
}

/// Measurements of one run; table operations are those of all hosts per second of simulated time.
struct Stats {
    commits: f64,
    conflicts: f64,
    reads: f64,
    /// Refused reservations per 1,000.
    refused: f64,
    /// Real time of the run.
    wall_seconds: f64,
}

fn run(hosts: usize) -> Stats {
    let names: Vec<(String, String)> =
        (0..hosts).map(|n| (format!("host-{n:03}"), format!("zone-{:02}", n % 17))).collect();
    let borrowed: Vec<(&str, &str)> = names.iter().map(|(host, zone)| (&**host, &**zone)).collect();
    let start = Instant::now();
    let mut fleet = Fleet::new(1, &borrowed);
    fleet.set_budget("hot", &[("t1", 1_000_000_000_000)], 1_000, false);
    serve(&mut fleet, hosts, WARM_UP, 0);
    let before = (fleet.table.commits, fleet.table.conflicts, fleet.table.reads);
    fleet.reserve_results.clear();
    serve(&mut fleet, hosts, MEASURED_TIME, 1_000_000);
    let refused = fleet
        .reserve_results
        .iter()
        .filter(|result| matches!(result.3, ReserveResult::Refused(_)))
        .count();
    let rate = |now: u64, before: u64| (now - before) as f64 / MEASURED_TIME.as_secs_f64();
    Stats {
        commits: rate(fleet.table.commits, before.0),
        conflicts: rate(fleet.table.conflicts, before.1),
        reads: rate(fleet.table.reads, before.2),
        refused: 1_000.0 * refused as f64 / fleet.reserve_results.len().max(1) as f64,
        wall_seconds: start.elapsed().as_secs_f64(),
    }
}

/// Reserves and settles one request per host and second; `first` is the number of the first.
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
