//! Limits that backend servers name for all hosts together, and the loads for which permits are
//! made.

#[path = "limit/cold.rs"]
mod cold;
#[path = "limit/cold_load.rs"]
mod cold_load;
#[path = "limit/simulation.rs"]
mod simulation;

use std::{sync::Arc, time::Duration};

use coordination::table::Row;
use gateway::{
    backend::Entry,
    dialect::Changes,
    limit::{Fleet, LIMIT_PREFIX, Limit, LimitRow, Sharing, Statement},
    placement::{Backends, Decision, Requirements},
};
use rand::{SeedableRng as _, rngs::StdRng};
use test_case::test_case;

use crate::simulation::{Fault, Load, Simulation, WINDOW_MS};

/// Time after the first statement from which a limit holds, in milliseconds.
const SETTLE_MS: u64 = 3000;

/// Time for which a load is played after that, in milliseconds.
const LOAD_MS: u64 = 40_000;

struct Case {
    hosts: usize,
    /// Requests per second of each host.
    demand_per_s: f64,
    /// Requests per second that each backend server takes.
    limits: &'static [f64],
    faults: &'static [(u64, Fault)],
    /// Least fraction of the limits that is used.
    used: f64,
}

#[test_case(Case { hosts: 7, demand_per_s: 14.0, limits: &[1.0], faults: &[], used: 0.9 }; "one in a second")]
#[test_case(Case { hosts: 7, demand_per_s: 14.0, limits: &[0.25], faults: &[], used: 0.9 }; "one in four seconds")]
#[test_case(Case { hosts: 7, demand_per_s: 14.0, limits: &[2.0, 2.0, 2.0], faults: &[], used: 0.9 }; "three servers")]
#[test_case(Case { hosts: 7, demand_per_s: 40.0, limits: &[60.0], faults: &[], used: 0.9 }; "a high limit")]
#[test_case(Case { hosts: 300, demand_per_s: 10.0, limits: &[1.0], faults: &[], used: 0.9 }; "three hundred hosts")]
#[test_case(Case { hosts: 300, demand_per_s: 10.0, limits: &[0.5, 8.0, 30.0], faults: &[], used: 0.9 }; "three hundred hosts and three servers")]
#[test_case(Case { hosts: 7, demand_per_s: 14.0, limits: &[1.0, 5.0], faults: &[
    (5_000, Fault::Kill { first: 0, count: 2 }),
    (9_000, Fault::Kill { first: 1, count: 6 }),
    (14_000, Fault::Kill { first: 0, count: 7 }),
], used: 0.6 }; "killed hosts")]
#[test_case(Case { hosts: 7, demand_per_s: 14.0, limits: &[1.0, 5.0], faults: &[
    (4_000, Fault::Remove { first: 0, count: 2 }),
    (12_000, Fault::Join { count: 3 }),
], used: 0.7 }; "hosts that go and come")]
#[test_case(Case { hosts: 7, demand_per_s: 14.0, limits: &[1.0, 5.0], faults: &[
    (4_000, Fault::Freeze { first: 0, count: 3, for_ms: 7_000 }),
    (14_000, Fault::Cut { first: 2, count: 3, for_ms: 20_000 }),
], used: 0.5 }; "frozen and cut hosts")]
#[test_case(Case { hosts: 300, demand_per_s: 10.0, limits: &[1.0, 20.0], faults: &[
    (4_000, Fault::Kill { first: 0, count: 300 }),
    (9_000, Fault::Cut { first: 100, count: 100, for_ms: 20_000 }),
    (15_000, Fault::Join { count: 50 }),
    (20_000, Fault::Freeze { first: 0, count: 60, for_ms: 5_000 }),
], used: 0.5 }; "three hundred hosts under faults")]
fn limits_hold_and_are_used(case: Case) {
    let seeds = if case.hosts > 100 { 0..1 } else { 0..4 };
    for seed in seeds {
        let load = Load { demand_per_s: case.demand_per_s, limits: case.limits };
        let mut simulation = Simulation::new(seed, case.hosts, load);
        simulation.run(SETTLE_MS + LOAD_MS, case.faults);
        for (server, per_s) in case.limits.iter().enumerate() {
            let named_ms = simulation.named_ms(server).expect("it was used");
            let arrivals = simulation.arrivals(server, named_ms + SETTLE_MS);
            let allowed = (1.2 * per_s * WINDOW_MS as f64 / 1000.0 + 3.0) as usize;
            let most = simulation::max_in_window(&arrivals);
            assert!(most <= allowed, "seed {seed} server {server}: {most} of {allowed}");
            let expected = per_s * LOAD_MS as f64 / 1000.0 * case.used;
            let used = arrivals.len() as f64;
            assert!(used >= expected.floor(), "seed {seed} server {server}: {used} of {expected}");
        }
    }
}

/// With another server that has room, no caller is refused.
#[test]
fn other_servers_take_what_a_limited_one_does_not() {
    let load = Load { demand_per_s: 14.0, limits: &[1.0, f64::INFINITY] };
    let mut simulation = Simulation::new(1, 7, load);
    simulation.run(20_000, &[]);
    assert_eq!(simulation.refused(), 0);
}

#[test]
fn changed_limits_hold_and_withdrawn_ones_do_not() {
    const CHANGE_MS: u64 = 12_000;
    struct Case {
        former: f64,
        next: f64,
        /// Requests in the 15 s that begin 3 s after the change.
        requests: std::ops::RangeInclusive<usize>,
    }
    let cases = [
        Case { former: 20.0, next: 1.0, requests: 13..=18 },
        Case { former: 20.0, next: 2.5, requests: 33..=42 },
        Case { former: 1.0, next: 10.0, requests: 135..=160 },
        Case { former: 1.0, next: 0.0, requests: 0..=4 },
        Case { former: 1.0, next: f64::INFINITY, requests: 1300..=1600 },
        Case { former: 0.0, next: f64::INFINITY, requests: 400..=1600 },
    ];
    for case in cases {
        for seed in 0..3 {
            let limits = vec![case.former].leak();
            let mut simulation = Simulation::new(seed, 7, Load { demand_per_s: 14.0, limits });
            let change = (CHANGE_MS, Fault::Name { server: 0, per_s: case.next });
            simulation.run(CHANGE_MS + 18_000, &[change]);
            let after = CHANGE_MS + SETTLE_MS;
            let count = simulation.arrivals_in(0, after..after + 15_000).len();
            let name = format!("{} to {}, seed {seed}", case.former, case.next);
            assert!(case.requests.contains(&count), "{name}: {count}");
        }
    }
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What happens to the knowledge of a limit, in milliseconds of the platform's clock.
#[derive(Clone, Copy)]
enum Step {
    /// A response arrived to a request that was sent at a time.
    Response { sent: u64, arrived: u64, per_s: Option<f64> },
    /// Another host has shared a statement.
    Shared { now: u64, at: u64, per_s: Option<f64> },
}

#[test]
fn newest_statement_counts() {
    use Step::{Response, Shared};
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        per_s: Option<f64>,
    }
    let cases = [
        Case {
            name: "no statement",
            steps: &[Response { sent: 1000, arrived: 1100, per_s: None }],
            per_s: None,
        },
        Case {
            name: "a limit",
            steps: &[Response { sent: 1000, arrived: 1100, per_s: Some(3.0) }],
            per_s: Some(3.0),
        },
        Case {
            name: "zero is asked now and then",
            steps: &[Response { sent: 1000, arrived: 1100, per_s: Some(0.0) }],
            per_s: Some(0.1),
        },
        Case {
            name: "no limit in a response to a later request",
            steps: &[
                Response { sent: 1000, arrived: 1100, per_s: Some(3.0) },
                Response { sent: 1300, arrived: 1400, per_s: None },
            ],
            per_s: None,
        },
        Case {
            name: "no limit in a response to an earlier request",
            steps: &[
                Response { sent: 1000, arrived: 1100, per_s: Some(3.0) },
                Response { sent: 1050, arrived: 1400, per_s: None },
            ],
            per_s: Some(3.0),
        },
        Case {
            name: "an overtaken value",
            steps: &[
                Response { sent: 1000, arrived: 1100, per_s: Some(3.0) },
                Response { sent: 900, arrived: 1200, per_s: Some(8.0) },
            ],
            per_s: Some(3.0),
        },
        Case {
            name: "a newer value of another host",
            steps: &[
                Response { sent: 1000, arrived: 1100, per_s: Some(3.0) },
                Shared { now: 1300, at: 1200, per_s: Some(2.0) },
            ],
            per_s: Some(2.0),
        },
        Case {
            name: "an older value of another host",
            steps: &[
                Response { sent: 1000, arrived: 1100, per_s: Some(3.0) },
                Shared { now: 1300, at: 1050, per_s: Some(2.0) },
            ],
            per_s: Some(3.0),
        },
        Case {
            name: "an end that another host saw",
            steps: &[
                Response { sent: 1000, arrived: 1100, per_s: Some(3.0) },
                Shared { now: 1600, at: 1500, per_s: None },
            ],
            per_s: None,
        },
        Case {
            name: "an end that this host saw of another host's limit",
            steps: &[
                Shared { now: 1300, at: 1200, per_s: Some(2.0) },
                Response { sent: 1500, arrived: 1600, per_s: None },
            ],
            per_s: None,
        },
    ];
    for case in cases {
        let mut limit = Limit::default();
        for step in case.steps {
            match *step {
                Response { sent, arrived, per_s } => {
                    limit.record_own(sent, arrived, per_s, || 0.5);
                }
                Shared { now, at, per_s } => {
                    limit.record_shared(now, Statement { per_s, at_ms: at }, || 0.5);
                }
            }
        }
        assert_eq!(limit.per_s(), case.per_s, "{}", case.name);
    }
}

/// Returns a fleet whose clock runs like that of the process.
fn fleet(hosts: &[&str], listed_until: Duration) -> Fleet {
    let mut fleet = Fleet::new("h0");
    let names: Vec<Arc<str>> = hosts.iter().map(|host| Arc::from(*host)).collect();
    fleet.set_clock(Duration::ZERO, 0);
    fleet.set_hosts(Duration::ZERO, &names);
    fleet.set_listed_until(Duration::ZERO, listed_until);
    fleet
}

/// Returns the number of permits that a host gets under a limit of 10 a second until a time.
fn permits(fleet: &Fleet, until: u64) -> usize {
    let mut limit = Limit::default();
    limit.record_own(0, 1, Some(10.0), || 0.5);
    let mut count = 0;
    for now in (0..until).step_by(50) {
        limit.refresh(at(now), fleet, 7);
        count += std::iter::from_fn(|| limit.take()).count();
    }
    count
}

#[test]
fn host_holds_permits_only_while_the_others_count_it() {
    struct Case {
        name: &'static str,
        hosts: &'static [&'static str],
        listed_until: u64,
        /// Permits in ten seconds.
        permits: std::ops::RangeInclusive<usize>,
    }
    let cases = [
        Case { name: "alone", hosts: &["h0"], listed_until: 60_000, permits: 70..=75 },
        Case { name: "with another", hosts: &["h0", "h1"], listed_until: 60_000, permits: 25..=50 },
        Case { name: "not listed", hosts: &["h1"], listed_until: 60_000, permits: 0..=0 },
        Case { name: "listed for a time", hosts: &["h0"], listed_until: 5000, permits: 20..=25 },
        Case { name: "never listed", hosts: &["h0"], listed_until: 0, permits: 0..=0 },
    ];
    for case in cases {
        let count = permits(&fleet(case.hosts, at(case.listed_until)), 10_000);
        assert!(case.permits.contains(&count), "{}: {count}", case.name);
    }
}

#[test]
fn extreme_limits_are_kept_within_bounds() {
    struct Case {
        per_s: f64,
        /// Permits that the only host holds after 5 s.
        permits: std::ops::RangeInclusive<usize>,
    }
    let cases = [
        Case { per_s: 0.0, permits: 0..=1 },
        Case { per_s: 1e-300, permits: 0..=1 },
        Case { per_s: 1000.0, permits: 500..=700 },
        Case { per_s: 1e9, permits: 5000..=7000 },
        Case { per_s: f64::MAX, permits: 5000..=7000 },
    ];
    for case in cases {
        let mut limit = Limit::default();
        limit.record_own(0, 1, Some(case.per_s), || 0.5);
        limit.refresh(at(5000), &fleet(&["h0"], at(60_000)), 7);
        let count = std::iter::from_fn(|| limit.take()).count();
        assert!(case.permits.contains(&count), "{}: {count}", case.per_s);
    }
}

#[test]
fn permit_of_a_former_process_is_put_back_without_harm() {
    let mut backends = Backends::new("h0", StdRng::seed_from_u64(1));
    backends.replace(Duration::ZERO, vec![entry(1)], false);
    backends.fleet_mut().set_clock(Duration::ZERO, 0);
    backends.fleet_mut().set_hosts(Duration::ZERO, &[Arc::from("h0")]);
    backends.fleet_mut().set_listed_until(Duration::ZERO, at(8000));
    backends.record_limit(at(10), "s0", at(5), Some(2.0));
    let permit = backends.take_permit(at(5000), "s0").expect("a permit").expect("limited");
    backends.replace(at(5000), vec![entry(2)], false);
    backends.put_back_permit("s0", permit);
    assert_eq!(backends.take_permit(at(5000), "s0"), Ok(None), "nothing was named");
}

/// An attempt that is abandoned for a backend server which takes no request would be lost.
#[test]
fn limited_backend_server_without_a_permit_is_no_other_one() {
    let mut backends = Backends::new("h0", StdRng::seed_from_u64(1));
    backends.replace(Duration::ZERO, vec![entry(1)], false);
    backends.fleet_mut().set_clock(Duration::ZERO, 0);
    backends.fleet_mut().set_hosts(Duration::ZERO, &[Arc::from("h0")]);
    backends.fleet_mut().set_listed_until(Duration::ZERO, at(8000));
    backends.record_limit(at(10), "s0", at(5), Some(2.0));
    assert!(!backends.has_other(at(20), "s", &[]), "no permit yet");
    assert!(backends.has_other(at(5000), "s", &[]));
    assert!(!backends.has_other(at(9000), "s", &[]), "the permits have expired");
}

#[test]
fn refused_callers_are_told_to_return_one_after_the_other() {
    let mut backends = Backends::new("h0", StdRng::seed_from_u64(1));
    backends.replace(Duration::ZERO, vec![entry(1)], false);
    backends.fleet_mut().set_clock(Duration::ZERO, 0);
    backends.record_limit(at(10), "s0", at(5), Some(2.0));
    let requirements = Requirements {
        service: "s",
        zone: "a",
        prompt: None,
        memory: None,
        tried: &[],
        target_latency: at(1000),
        time_left: at(5000),
        priority: 0,
        stream_ranks: None,
        connected: None,
    };
    let mut told: Vec<Duration> = (0..20)
        .map(|_| match backends.place(at(20), &requirements) {
            Decision::Refuse { retry_after, excluded, .. } => {
                assert_eq!(excluded.limited, 1);
                retry_after
            }
            Decision::Send { to, .. } => panic!("sent to {}", to.id),
        })
        .collect();
    let in_turn: Vec<Duration> = (1..=10).map(|turn| at(500 * turn)).collect();
    assert_eq!(told[..10], in_turn);
    let rest = told.split_off(10);
    assert!(rest.iter().all(|wait| (at(2500)..=at(5000)).contains(wait)), "{rest:?}");
}

/// Entry of a process of the backend server `s0`.
fn entry(started_unix_ms: u64) -> Entry {
    Entry {
        id: "s0".into(),
        service: "s".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "a".into(),
        slots: 8,
        draining: false,
        started_unix_ms,
        sequence: 1,
        cold_until_ms: 0,
    }
}

/// Returns a limit that an own response stated at a time.
fn own_limit(per_s: Option<f64>, at_ms: u64) -> Limit {
    let mut limit = Limit::default();
    limit.record_own(at_ms - 1000, at_ms - 900, Some(1.0), || 0.5);
    limit.record_own(at_ms, at_ms, per_s, || 0.5);
    limit
}

#[test]
fn host_writes_what_the_others_do_not_know() {
    struct Case {
        name: &'static str,
        /// Rate and time of the stored row, if there is one.
        stored: Option<(Option<f64>, u64)>,
        per_s: Option<f64>,
        is_written: bool,
    }
    let cases = [
        Case { name: "a new limit", stored: None, per_s: Some(2.0), is_written: true },
        Case { name: "no limit", stored: None, per_s: None, is_written: false },
        Case {
            name: "the stored limit",
            stored: Some((Some(2.0), 5000)),
            per_s: Some(2.0),
            is_written: false,
        },
        Case {
            name: "a small change",
            stored: Some((Some(2.0), 5000)),
            per_s: Some(2.1),
            is_written: false,
        },
        Case {
            name: "a change",
            stored: Some((Some(2.0), 5000)),
            per_s: Some(3.0),
            is_written: true,
        },
        Case {
            name: "a change soon after another",
            stored: Some((Some(2.0), 8500)),
            per_s: Some(3.0),
            is_written: false,
        },
        Case { name: "an end", stored: Some((Some(2.0), 8500)), per_s: None, is_written: true },
        Case {
            name: "a limit after an end",
            stored: Some((None, 8500)),
            per_s: Some(2.0),
            is_written: true,
        },
        Case {
            name: "older than what is stored",
            stored: Some((Some(2.0), 9500)),
            per_s: Some(3.0),
            is_written: false,
        },
    ];
    for case in cases {
        let mut sharing = Sharing::new("h0".into());
        let mut limit = own_limit(case.per_s, 9000);
        let entry = entry(1);
        let stored = case.stored.map(|(per_s, at_ms)| {
            let row = LimitRow {
                backend: entry.id.clone(),
                started_unix_ms: 1,
                per_s,
                at_ms,
                host: "h1".into(),
            };
            limit.record_shared(9000, Statement { per_s, at_ms }, || 0.5);
            stored_row(&row, 7)
        });
        let rows: Vec<Row> = stored.into_iter().collect();
        sharing.apply(&Changes { rows: rows.clone(), through: 7 }, true);
        let planned = sharing.plan(9100, [(&entry, &limit)].into_iter());
        assert_eq!(planned.is_some(), case.is_written, "{}", case.name);
        let Some(txn) = planned else { continue };
        let revision = rows.first().map_or(0, |row| row.revision);
        assert_eq!(txn.checks[0].revision, revision, "{}", case.name);
        assert!(sharing.plan(9100, [(&entry, &limit)].into_iter()).is_none(), "one at a time");
    }
}

struct LostRowCase {
    /// Rate that another host, which has ended since, had shared.
    per_s: Option<f64>,
    is_stored: bool,
    is_written: bool,
}

#[test_case(LostRowCase { per_s: Some(2.0), is_stored: false, is_written: true }; "a limit that the restored table lacks")]
#[test_case(LostRowCase { per_s: Some(2.0), is_stored: true, is_written: false }; "a limit that the restored table has")]
#[test_case(LostRowCase { per_s: None, is_stored: false, is_written: false }; "the end of a limit")]
fn limit_of_another_host_is_written_again_after_a_restore(case: LostRowCase) {
    let mut sharing = Sharing::new("h0".into());
    let mut limit = Limit::default();
    let entry = entry(1);
    let row = LimitRow {
        backend: entry.id.clone(),
        started_unix_ms: 1,
        per_s: case.per_s,
        at_ms: 5000,
        host: "h1".into(),
    };
    limit.record_shared(5100, Statement { per_s: case.per_s, at_ms: 5000 }, || 0.5);
    sharing.apply(&Changes { rows: vec![stored_row(&row, 7)], through: 7 }, true);
    let rows = if case.is_stored { vec![stored_row(&row, 3)] } else { Vec::new() };
    sharing.apply(&Changes { rows, through: 3 }, true);
    let planned = sharing.plan(9100, [(&entry, &limit)].into_iter());
    assert_eq!(planned.is_some(), case.is_written);
    let Some(txn) = planned else { return };
    let text = txn.writes[0].value.as_ref().expect("a value");
    let written: LimitRow = serde_json::from_str(text).expect("a row");
    assert_eq!((written.per_s, written.at_ms), (case.per_s, 5000), "as it was stated");
}

#[test]
fn many_limits_that_change_are_written_more_rarely() {
    struct Case {
        rows: usize,
        age_ms: u64,
        is_written: bool,
    }
    let cases = [
        Case { rows: 40, age_ms: 2000, is_written: true },
        Case { rows: 300, age_ms: 14_000, is_written: false },
        Case { rows: 300, age_ms: 16_000, is_written: true },
    ];
    for case in cases {
        let now_ms = 100_000;
        let new_row = |number: usize| LimitRow {
            backend: format!("s{number}").into(),
            started_unix_ms: 1,
            per_s: Some(2.0),
            at_ms: now_ms - case.age_ms,
            host: "h1".into(),
        };
        let rows = (0..case.rows).map(|number| stored_row(&new_row(number), 1)).collect();
        let mut sharing = Sharing::new("h0".into());
        sharing.apply(&Changes { rows, through: 1 }, true);
        let (entry, limit) = (entry(1), own_limit(Some(4.0), now_ms));
        let planned = sharing.plan(now_ms, [(&entry, &limit)].into_iter());
        assert_eq!(planned.is_some(), case.is_written, "{} rows", case.rows);
    }
}

fn stored_row(row: &LimitRow, revision: u64) -> Row {
    let value = serde_json::to_string(row).expect("JSON");
    let key = format!("{LIMIT_PREFIX}/{:016x}", coordination::locate::hash(row.backend.as_bytes()));
    Row { key: key.into(), value: Some(value.into()), revision }
}

#[test]
fn rows_hold_for_one_process_and_are_removed_once_it_is_gone() {
    let mut sharing = Sharing::new("h0".into());
    let row = LimitRow {
        backend: "s0".into(),
        started_unix_ms: 1,
        per_s: Some(2.0),
        at_ms: 1000,
        host: "h1".into(),
    };
    sharing.apply(&Changes { rows: vec![stored_row(&row, 3)], through: 3 }, true);
    let statement = sharing.statement(&entry(1)).map(|(statement, _)| statement.per_s);
    assert_eq!(statement, Some(Some(2.0)));
    assert!(sharing.statement(&entry(2)).is_none(), "another process");
    assert!(sharing.plan(50_000, std::iter::empty()).is_none());
    let removal = sharing.plan(70_000, std::iter::empty()).expect("a removal");
    assert!(removal.writes.iter().all(|write| write.value.is_none()));
    assert_eq!(removal.writes.len(), 1);
}

#[test]
fn unreadable_rows_of_limits_say_nothing() {
    let mut sharing = Sharing::new("h0".into());
    for value in ["", "{", "[]", "{\"backend\":7}", "{\"backend\":\"s0\",\"per_s\":-1.0}"] {
        let key = format!("{LIMIT_PREFIX}/{:016x}", coordination::locate::hash(b"s0"));
        let row = Row { key: key.into(), value: Some(value.into()), revision: 1 };
        sharing.apply(&Changes { rows: vec![row], through: 1 }, false);
        assert!(sharing.statement(&entry(0)).is_none(), "{value}");
    }
}
