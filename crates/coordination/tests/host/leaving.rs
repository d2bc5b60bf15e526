//! Whole hosts that leave while requests come in.

use std::time::Duration;

use coordination::{host::event::Event, record::LedgerFormat};
use test_case::test_case;

use crate::{
    callers::{Kind, codes},
    histories::{CALM, ROUGH},
    records::{self, ZONES},
    world::{Faults, World},
};

const SECOND: Duration = Duration::from_secs(1);

/// How hosts leave.
struct Case {
    faults: Faults,
    /// Hosts that leave, one after the other.
    hosts: &'static [usize],
    /// The platform is away meanwhile, and comes back after a minute.
    platform_away: bool,
}

#[test_case(Case { faults: CALM, hosts: &[0], platform_away: false }; "one")]
#[test_case(Case { faults: CALM, hosts: &[0, 1, 2, 3, 4], platform_away: false }; "all but two")]
#[test_case(Case { faults: Faults { backends: 0.0, ..ROUGH }, hosts: &[2, 5], platform_away: false }; "a zone with losses")]
#[test_case(Case { faults: CALM, hosts: &[1, 4], platform_away: true }; "platform away")]
fn leaving_hosts_cut_off_no_request_and_hold_nothing(case: Case) {
    for seed in 1..6 {
        let mut world = World::open(seed, 7);
        world.token_time = SECOND / 4;
        records::write_budget(&mut world.table, "new", &[100_000], LedgerFormat::New);
        records::write_budget(&mut world.table, "old", &[100_000], LedgerFormat::Old);
        world.run_for(20 * SECOND);
        let kinds = [Kind::Model("review"), Kind::Single("letter"), Kind::Status, Kind::Pay];
        for n in 0..400u32 {
            let budget = if n % 5 == 0 { "old" } else { "new" };
            world.add_to_serving(SECOND / 10 * n, kinds[n as usize % 4], budget);
        }
        world.run_for(5 * SECOND);
        world.faults = case.faults;
        if case.platform_away {
            ZONES.into_iter().for_each(|zone| world.part_from_platform(zone));
        }
        for host in case.hosts {
            world.event(*host, Event::Drain);
            world.hosts[*host].leaving = true;
            world.run_for(2 * SECOND);
        }
        world.run_for(60 * SECOND);
        world.heal();
        world.run_for(60 * SECOND);
        for host in case.hosts {
            let process = &world.hosts[*host];
            let state = process.host.stats().state;
            assert!(process.stopped, "seed {seed}: {} is {state}", process.name);
            assert!(
                world.closed(process.host.id()),
                "seed {seed}: {} holds something",
                process.name
            );
        }
        // A request on its way to a host that begins to leave is refused there.
        let mut answered = codes(&world.jobs);
        let turned_away = answered.remove("not_ready").unwrap_or_default();
        assert!(turned_away <= case.hosts.len() as u64, "seed {seed}: {turned_away}");
        let whole = 400 - turned_away;
        assert_eq!(answered.into_iter().collect::<Vec<_>>(), [("whole", whole)], "seed {seed}");
    }
}
