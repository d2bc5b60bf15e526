//! Hosts that drain while requests arrive.

use std::time::Duration;

use coordination::{host::event::Event, record::LedgerFormat};
use test_case::test_case;

use crate::{
    callers::{Kind, count_by_code},
    histories::{FREQUENT_FAULTS, NO_FAULTS},
    records::{self, ZONES},
    simulation::{Faults, Simulation},
};

const SECOND: Duration = Duration::from_secs(1);

/// Hosts to drain, and faults meanwhile.
struct Case {
    faults: Faults,
    /// Indices of the hosts that drain, each told 2 s after the one before.
    hosts: &'static [usize],
    /// Whether all zones are partitioned from the platform until 62 s after the last host was told
    /// to drain.
    platform_unreachable: bool,
}

/// Guards against requests that fail because their host drains, and against hosts that stop without
/// closing their registration, which would keep their tokens from the other hosts.
#[test_case(Case { faults: NO_FAULTS, hosts: &[0], platform_unreachable: false }; "one host")]
#[test_case(Case { faults: NO_FAULTS, hosts: &[0, 1, 2, 3, 4], platform_unreachable: false }; "all hosts but two")]
#[test_case(Case { faults: Faults { backends: 0.0, ..FREQUENT_FAULTS }, hosts: &[2, 5], platform_unreachable: false }; "all hosts of a zone with message losses")]
#[test_case(Case { faults: NO_FAULTS, hosts: &[1, 4], platform_unreachable: true }; "platform unreachable")]
fn draining_hosts_complete_their_requests_and_close_their_registration(case: Case) {
    for seed in 1..6 {
        let mut simulation = Simulation::new(seed, 7);
        simulation.token_interval = SECOND / 4;
        records::write_budget(&mut simulation.table, "new", &[100_000], LedgerFormat::New);
        records::write_budget(&mut simulation.table, "old", &[100_000], LedgerFormat::Old);
        simulation.run_for(20 * SECOND);
        let kinds = [Kind::Model("review"), Kind::KeylessModel("letter"), Kind::Status, Kind::Pay];
        for n in 0..400u32 {
            let budget = if n % 5 == 0 { "old" } else { "new" };
            simulation.add_caller_to_serving_host(SECOND / 10 * n, kinds[n as usize % 4], budget);
        }
        simulation.run_for(5 * SECOND);
        simulation.faults = case.faults;
        if case.platform_unreachable {
            ZONES.into_iter().for_each(|zone| simulation.partition_from_platform(zone));
        }
        for host in case.hosts {
            simulation.handle_event(*host, Event::Drain);
            simulation.hosts[*host].draining = true;
            simulation.run_for(2 * SECOND);
        }
        simulation.run_for(60 * SECOND);
        simulation.heal();
        simulation.run_for(60 * SECOND);
        for host in case.hosts {
            let process = &simulation.hosts[*host];
            let state = process.host.stats().state;
            assert!(process.stopped, "seed {seed}: {} is {state}", process.name);
            assert!(
                simulation.is_closed(process.host.id()),
                "seed {seed}: the registration of {} is not closed",
                process.name
            );
        }
        // A request that reaches a host just after its drain began is refused there.
        let mut results = count_by_code(&simulation.jobs);
        let refused = results.remove("not_ready").unwrap_or_default();
        assert!(refused <= case.hosts.len() as u64, "seed {seed}: {refused}");
        let complete = 400 - refused;
        assert_eq!(
            results.into_iter().collect::<Vec<_>>(),
            [("complete", complete)],
            "seed {seed}"
        );
    }
}
