//! Load of many hosts on backend servers that are cold.

use test_case::test_case;

use crate::simulation::{Fault, Simulation};

/// Number of hosts.
const HOSTS: usize = 90;

/// Time for which the load is played, in milliseconds.
const PLAY_MS: u64 = 30_000;

struct Case {
    /// Requests per second of each host.
    demand_per_s: f64,
    servers: usize,
    /// Requests per second that a cold backend server takes.
    cold_per_s: f64,
    faults: &'static [(u64, Fault)],
    /// Time for which a host may not know yet that a backend server is cold, in milliseconds.
    unknown_ms: u64,
    /// Least part of the requests that cold backend servers take which is sent to them.
    used: f64,
    /// Most callers that are refused of a thousand.
    refused: usize,
}

fn max_in_second(arrivals: &[u64]) -> usize {
    let in_second = |(index, first): (usize, &u64)| {
        arrivals[index..].iter().take_while(|at| **at < first + 1000).count()
    };
    arrivals.iter().enumerate().map(in_second).max().unwrap_or(0)
}

/// More requests than the bound end a cold backend server; fewer than it takes are callers that are
/// refused without need. While all servers are down for 4 s and cold for 3 s, a quarter of the callers
/// is refused.
#[test_case(Case { demand_per_s: 10.0, servers: 6, cold_per_s: 9.9, faults: &[
    (4_000, Fault::Restart { first: 0, count: 1, after_ms: 4_000 }),
    (15_000, Fault::Restart { first: 3, count: 1, after_ms: 4_000 }),
], unknown_ms: 0, used: 0.3, refused: 1 }; "one server starts")]
#[test_case(Case { demand_per_s: 10.0, servers: 6, cold_per_s: 9.9, faults: &[
    (4_000, Fault::Restart { first: 0, count: 3, after_ms: 4_000 }),
], unknown_ms: 0, used: 0.3, refused: 1 }; "half of the servers come back together")]
#[test_case(Case { demand_per_s: 10.0, servers: 6, cold_per_s: 9.9, faults: &[
    (4_000, Fault::Restart { first: 0, count: 6, after_ms: 4_000 }),
], unknown_ms: 0, used: 0.3, refused: 300 }; "all servers come back together")]
#[test_case(Case { demand_per_s: 10.0, servers: 6, cold_per_s: 9.9, faults: &[
    (4_000, Fault::Restart { first: 0, count: 6, after_ms: 4_000 }),
    (8_100, Fault::Join { count: 10 }),
    (8_200, Fault::Kill { first: 0, count: 30 }),
], unknown_ms: 0, used: 0.2, refused: 300 }; "hosts start while all servers are cold")]
#[test_case(Case { demand_per_s: 10.0, servers: 6, cold_per_s: 9.9, faults: &[
    (4_000, Fault::Chill { first: 0, count: 2 }),
    (6_000, Fault::Chill { first: 1, count: 2 }),
], unknown_ms: 2_600, used: 0.0, refused: 1 }; "servers become cold while they run")]
#[test_case(Case { demand_per_s: 10.0, servers: 6, cold_per_s: 9.9, faults: &[
    (3_000, Fault::Evacuate { first: 0, count: 2 }),
    (9_000, Fault::EndEvacuation { first: 0, count: 2 }),
], unknown_ms: 0, used: 0.3, refused: 1 }; "an evacuation ends")]
#[test_case(Case { demand_per_s: 10.0, servers: 6, cold_per_s: 9.9, faults: &[
    (3_900, Fault::Cut { first: 0, count: 30, for_ms: 9_000 }),
    (4_000, Fault::Restart { first: 0, count: 2, after_ms: 6_000 }),
], unknown_ms: 0, used: 0.2, refused: 1 }; "hosts that can not read the entries")]
#[test_case(Case { demand_per_s: 10.0, servers: 6, cold_per_s: 9.9, faults: &[
    (4_000, Fault::Restart { first: 0, count: 2, after_ms: 1_500 }),
], unknown_ms: 0, used: 0.2, refused: 1 }; "servers that start again before their entries are gone")]
#[test_case(Case { demand_per_s: 10.0, servers: 6, cold_per_s: 60.0, faults: &[
    (4_000, Fault::Restart { first: 0, count: 6, after_ms: 4_000 }),
], unknown_ms: 0, used: 0.3, refused: 300 }; "a high cold rate")]
#[test_case(Case { demand_per_s: 10.0, servers: 6, cold_per_s: 0.5, faults: &[
    (4_000, Fault::Restart { first: 0, count: 3, after_ms: 4_000 }),
], unknown_ms: 0, used: 0.0, refused: 1 }; "a low cold rate")]
fn cold_servers_get_no_more_than_they_take(case: Case) {
    for seed in 0..3 {
        let mut simulation = Simulation::with_cold_servers(
            seed,
            HOSTS,
            case.demand_per_s,
            case.servers,
            case.cold_per_s,
        );
        simulation.run(PLAY_MS, case.faults);
        let allowed = (case.cold_per_s * 1.5 + 5.0) as usize;
        let (mut sent, mut taken) = (0, 0.0);
        for server in 0..case.servers {
            for time in simulation.cold_times(server) {
                // Nothing tells hosts that a server which runs has become cold before its entry does.
                let known = time.start + case.unknown_ms..time.end;
                let arrivals = simulation.arrivals_in(server, known);
                let most = max_in_second(&arrivals);
                println!(
                    "seed {seed} server {server}: {most} of {allowed}, {} in all",
                    arrivals.len()
                );
                assert!(most <= allowed, "seed {seed} server {server}: {most} of {allowed}");
                sent += arrivals.len();
                taken += case.cold_per_s * (time.end - time.start) as f64 / 1000.0;
            }
        }
        assert!(sent as f64 >= taken * case.used, "seed {seed}: {sent} of {taken}");
        let (served, refused) = simulation.served_and_refused(0..PLAY_MS);
        println!("seed {seed}: {served} served, {refused} refused, {sent} of {taken:.0} when cold");
        let allowed = (served + refused) * case.refused / 1000;
        assert!(refused <= allowed, "seed {seed}: {refused} refused, {served} served");
    }
}
