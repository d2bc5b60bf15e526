//! Tests of the read set: the backend servers whose load reports a host reads and to which it sends
//! requests first.

#[path = "common/single_host.rs"]
mod single_host;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use coordination::{
    host::{Host, action::Action, event::Event},
    message::{Heartbeat, Member, Message, State},
    prefix,
    record::{Backend, Model, Role, Route, empty},
    request::Class,
    route::{
        Choice, Load, Query, Router, RouterAction, RouterEvent, Settings,
        subset::{EntryHost, MAX_OTHER_ZONE_READS, MAX_SAME_ZONE_READS},
    },
    table::{Op, Outcome, Row},
};
use proptest::prelude::*;

const SLOTS: u32 = 8;
const NOW: Duration = Duration::from_secs(1);

fn model() -> Model {
    Model { name: Arc::from("assess"), adapter: empty(), version: empty() }
}

fn backend(number: usize, zones: usize) -> Backend {
    Backend {
        name: format!("engine-{number:05}").into(),
        address: Arc::from("http://127.0.0.1:1"),
        zone: format!("zone-{}", number % zones).into(),
        role: Role::Engine,
        models: vec![model()],
        slots: SLOTS,
        fencing: true,
        leaving: false,
        serve_as: None,
    }
}

fn host(number: usize, zones: usize) -> EntryHost {
    EntryHost {
        host: format!("host-{number:03}").into(),
        zone: format!("zone-{}", number % zones).into(),
    }
}

fn load(running: u32) -> Load {
    Load { queued: 0, running, slots: SLOTS, leaving: false, at_ms: 0 }
}

fn query(class: Class) -> Query {
    Query { route: "chat".into(), class, starved: false, prefixes: Vec::new(), avoid: Vec::new() }
}

fn failed(name: &Arc<str>) -> RouterEvent {
    RouterEvent::Health { backend: name.clone(), served: false }
}

/// Size of a fleet with one route to all backend servers.
#[derive(Clone, Copy)]
struct Fleet {
    hosts: usize,
    backends: usize,
    zones: usize,
}

impl Fleet {
    fn hosts(self) -> Vec<EntryHost> {
        (0..self.hosts).map(|number| host(number, self.zones)).collect()
    }

    fn backends(self) -> Vec<Backend> {
        (0..self.backends).map(|number| backend(number, self.zones)).collect()
    }

    fn router(self, number: usize) -> Router {
        new_router(&host(number, self.zones), &self.hosts(), &self.backends())
    }
}

fn new_router(own: &EntryHost, hosts: &[EntryHost], backends: &[Backend]) -> Router {
    let mut router = Router::new(Settings::new(own.zone.clone(), 1));
    let route = Route {
        name: "chat".into(),
        backends: backends.iter().map(|backend| backend.name.clone()).collect(),
        model: Some(model()),
        idempotent: true,
        class: Class::Normal,
        max_tokens: 100,
        call_tokens: 0,
        timeout_ms: 1000,
    };
    for backend in backends {
        handle(&mut router, RouterEvent::Backend(backend.clone()));
    }
    handle(&mut router, RouterEvent::Route(route));
    set_hosts(&mut router, own, hosts);
    router
}

fn set_hosts(router: &mut Router, own: &EntryHost, hosts: &[EntryHost]) {
    let index = hosts.iter().position(|entry| entry == own).expect("own host") as u32;
    handle(router, RouterEvent::HostIndex { count: hosts.len() as u32, index });
    handle(router, RouterEvent::Readers { own: own.host.clone(), hosts: hosts.to_vec() });
    handle(router, RouterEvent::ChangesApplied);
}

fn handle(router: &mut Router, event: RouterEvent) -> Vec<RouterAction> {
    let mut actions = Vec::new();
    router.handle(NOW, event, &mut actions);
    actions
}

fn read_set(router: &Router, backends: &[Backend]) -> BTreeSet<Arc<str>> {
    let names = backends.iter().map(|backend| backend.name.clone());
    names.filter(|name| router.reads(name)).collect()
}

#[test]
fn read_sets_are_bounded_and_cover_every_backend() {
    struct Case {
        fleet: Fleet,
        /// Minimum and maximum number of hosts that read a backend server.
        readers: (usize, usize),
        /// Whether each host reads all backend servers.
        all: bool,
    }
    let case = |hosts, backends, zones, readers, all| {
        let fleet = Fleet { hosts, backends, zones };
        Case { fleet, readers, all }
    };
    let cases = [
        case(1, 3, 1, (1, 1), true),
        case(7, 12, 3, (7, 7), true),
        case(7, 20, 1, (7, 7), true),
        case(40, 32, 4, (40, 40), true),
        case(40, 800, 4, (3, 3), false),
        case(60, 1500, 5, (2, 2), false),
    ];
    for case in cases {
        let Fleet { hosts, backends, zones } = case.fleet;
        let name = format!("{hosts} hosts, {backends} backend servers, {zones} zones");
        let records = case.fleet.backends();
        let mut readers = BTreeMap::<Arc<str>, usize>::new();
        for number in 0..hosts {
            let reads = read_set(&case.fleet.router(number), &records);
            assert!(
                reads.len() <= MAX_SAME_ZONE_READS + MAX_OTHER_ZONE_READS,
                "{name}: {}",
                reads.len()
            );
            assert_eq!(reads.len() == backends, case.all, "{name}");
            reads.into_iter().for_each(|read| *readers.entry(read).or_default() += 1);
        }
        let counts = records.iter().map(|b| readers.get(&b.name).copied().unwrap_or(0));
        let (fewest, most) = (counts.clone().min().unwrap(), counts.max().unwrap());
        assert_eq!((fewest, most), case.readers, "{name}");
    }
}

#[test]
fn read_set_of_a_single_host_is_bounded() {
    let fleet = Fleet { hosts: 1, backends: 3000, zones: 5 };
    let reads = read_set(&fleet.router(0), &fleet.backends());
    assert_eq!(reads.len(), MAX_SAME_ZONE_READS + MAX_OTHER_ZONE_READS);
}

#[test]
fn small_changes_of_the_fleet_change_few_reads() {
    let fleet = Fleet { hosts: 40, backends: 700, zones: 4 };
    let (hosts, backends) = (fleet.hosts(), fleet.backends());
    struct Case {
        name: &'static str,
        hosts: Vec<EntryHost>,
        backends: Vec<Backend>,
        /// Maximum number of changes in the read sets of all hosts together, of which each backend
        /// server is in about four.
        max_changed: usize,
    }
    let added = [backends.clone(), vec![backend(700, 4)]].concat();
    let cases = [
        Case {
            name: "host added",
            hosts: [&hosts[..], &[host(40, 4)]].concat(),
            backends: backends.clone(),
            max_changed: 200,
        },
        Case {
            name: "host gone",
            hosts: hosts[..39].to_vec(),
            backends: backends.clone(),
            max_changed: 200,
        },
        Case {
            name: "backend server added",
            hosts: hosts.clone(),
            backends: added,
            max_changed: 4,
        },
        Case {
            name: "backend server gone",
            hosts: hosts.clone(),
            backends: backends[1..].to_vec(),
            max_changed: 4,
        },
    ];
    for case in cases {
        let mut changed = 0;
        for own in &hosts[..39] {
            let before = read_set(&new_router(own, &hosts, &backends), &backends);
            let after = read_set(&new_router(own, &case.hosts, &case.backends), &case.backends);
            changed += before.symmetric_difference(&after).count();
        }
        assert!(changed > 0 && changed <= case.max_changed, "{}: {changed}", case.name);
    }
}

#[test]
fn leaving_backends_are_replaced_in_the_read_set() {
    let fleet = Fleet { hosts: 40, backends: 800, zones: 4 };
    let records = fleet.backends();
    let mut router = fleet.router(0);
    let before = read_set(&router, &records);
    for record in records.iter().take(600) {
        handle(&mut router, RouterEvent::Listed { backend: record.name.clone(), leaving: true });
    }
    assert_eq!(handle(&mut router, RouterEvent::ChangesApplied), [RouterAction::UpdateReadSet]);
    let live = &records[600..];
    let still_read = live.iter().filter(|record| before.contains(&record.name)).count();
    let after = read_set(&router, live).len();
    assert!(
        after >= 2 * still_read && after >= 40,
        "{still_read} of the previous read set are live, {after} are read now"
    );
    assert_eq!(handle(&mut router, RouterEvent::ChangesApplied), [], "no change");
}

#[test]
fn backends_outside_the_read_set_are_chosen_only_if_none_in_it_is_usable() {
    let fleet = Fleet { hosts: 40, backends: 800, zones: 4 };
    let records = fleet.backends();
    type EventFor = fn(&Arc<str>) -> RouterEvent;
    let cases: [(&str, EventFor, bool); 4] = [
        ("idle", |name| RouterEvent::Load(name.clone(), load(0)), false),
        ("full", |name| RouterEvent::Load(name.clone(), load(100)), true),
        ("failing", failed, true),
        ("leaving", |name| RouterEvent::Listed { backend: name.clone(), leaving: true }, true),
    ];
    for (name, event_for, is_outside) in cases {
        for class in [Class::Urgent, Class::Normal, Class::Long] {
            let mut router = fleet.router(0);
            let read = read_set(&router, &records);
            read.iter().for_each(|backend| drop(handle(&mut router, event_for(backend))));
            let Choice::Backend(chosen) = router.choose(NOW, &query(class)) else {
                panic!("{name}, {class:?}: none chosen");
            };
            assert_eq!(!read.contains(&chosen), is_outside, "{name}, {class:?}");
        }
    }
}

#[test]
fn requests_outside_the_read_set_are_limited_to_the_share_of_the_host() {
    let fleet = Fleet { hosts: 40, backends: 800, zones: 4 };
    let records = fleet.backends();
    let mut router = fleet.router(0);
    let read = read_set(&router, &records);
    for name in &read {
        handle(&mut router, RouterEvent::Load(name.clone(), load(100)));
    }
    let mut sent = Vec::new();
    while let Choice::Backend(name) = router.choose(NOW, &query(Class::Normal)) {
        sent.push(name);
    }
    let share = ((records.len() - read.len()) * SLOTS as usize).div_ceil(fleet.hosts);
    assert_eq!(sent.len(), share);
    assert_eq!(router.choose(NOW, &query(Class::Normal)), Choice::Full, "waits, is not refused");
    handle(&mut router, RouterEvent::Finished { backend: sent[0].clone(), sent_at: NOW });
    assert!(matches!(router.choose(NOW, &query(Class::Normal)), Choice::Backend(_)));
}

#[test]
fn prefix_hint_is_followed_outside_the_read_set() {
    let fleet = Fleet { hosts: 40, backends: 800, zones: 4 };
    let mut router = fleet.router(0);
    let hinted = fleet.backends().into_iter().find(|record| !router.reads(&record.name));
    let hinted = hinted.expect("some backend server is not read").name;
    let prefixes = prefix::keys("assess", &[7; 256]);
    let events = prefixes.iter().zip(1..);
    let events = events.map(|(&key, seq)| prefix::Event { seq, key, cached: true }).collect();
    let backend = hinted.clone();
    handle(
        &mut router,
        RouterEvent::Cache { backend, after: 0, events, next: prefixes.len() as u64 },
    );
    let query = Query { prefixes, ..query(Class::Normal) };
    assert_eq!(router.choose(NOW, &query), Choice::Backend(hinted));
}

/// The report of a backend server that left the read set is no longer updated, so a full backend
/// server would stay full in the view of this host.
#[test]
fn load_report_counts_only_while_its_backend_is_read() {
    let fleet = Fleet { hosts: 1, backends: 90, zones: 1 };
    let (own, records) = (host(0, 1), fleet.backends());
    let mut router = fleet.router(0);
    let hosts: Vec<EntryHost> = (0..40).map(|number| host(number, 1)).collect();
    for record in &records {
        handle(&mut router, RouterEvent::Load(record.name.clone(), load(100)));
    }
    assert_eq!(router.choose(NOW, &query(Class::Normal)), Choice::Full);
    set_hosts(&mut router, &own, &hosts);
    let chosen = router.choose(NOW, &query(Class::Normal));
    let Choice::Backend(chosen) = chosen else { panic!("{chosen:?}") };
    assert!(!router.reads(&chosen), "an old report is kept");
}

/// Returns the configuration rows of backend servers and of one route to them.
fn rows(backends: &[Backend]) -> Vec<Row> {
    let row = |(key, value): (String, serde_json::Value)| Row {
        key: key.into(),
        value: Some(value.to_string().into()),
        revision: 1,
    };
    let records = backends.iter().map(|backend| {
        let value = serde_json::json!({
            "kind": "backend", "version": 2, "name": backend.name, "address": backend.address,
            "zone": backend.zone, "slots": SLOTS,
            "models": [{ "name": "assess", "adapter": "", "version": "" }],
        });
        (format!("config/backend/{}", backend.name), value)
    });
    let names: Vec<&str> = backends.iter().map(|backend| &*backend.name).collect();
    let route = serde_json::json!({
        "kind": "route", "version": 2, "name": "chat", "backends": names, "idempotent": true,
        "class": "normal", "model": { "name": "assess", "adapter": "" }, "max_tokens": 100,
        "timeout_ms": 1000,
    });
    records.chain([("config/route/chat".to_string(), route)]).map(row).collect()
}

/// Handles an event, answers reads of the configuration, and returns the size of the last read set
/// that the host requested, if any.
fn step(host: &mut Host, now: Duration, event: Event, rows: &[Row]) -> Option<usize> {
    let mut events = vec![event];
    let mut read_count = None;
    while let Some(event) = events.pop() {
        let mut actions = Vec::new();
        host.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::UpdateReadSet { backends } => read_count = Some(backends.len()),
                Action::Table { operation, op: Op::Changes { after: 0, .. } } => {
                    let outcome = Outcome::Changes { rows: rows.to_vec(), through: 1 };
                    events.push(Event::Table { operation, outcome });
                }
                _ => {}
            }
        }
    }
    read_count
}

#[test]
fn host_reads_only_its_read_set_once_it_knows_other_hosts() {
    let fleet = Fleet { hosts: 40, backends: 800, zones: 4 };
    let own = host(0, 4);
    let mut single = single_host::new_host(&own.host, &own.zone);
    let rows = rows(&fleet.backends());
    assert_eq!(step(&mut single, NOW, Event::Tick, &rows), Some(800), "no other host is known");
    let members = fleet.hosts().into_iter().enumerate().skip(1).map(|(number, entry)| Member {
        address: format!("127.0.0.1:{}", number + 1).into(),
        host: entry.host,
        zone: entry.zone,
        incarnation: 1,
        state: State::Alive,
        revision: 1,
        refuted: 0,
    });
    let heartbeat = Heartbeat { number: 1, revision: 1, digest: 0, members: members.collect() };
    let message = Message::Heartbeat(heartbeat);
    let (from, zone) = ("host-001.1".into(), fleet.hosts()[1].zone.clone());
    let event = Event::Message { from, zone, address: "127.0.0.1:2".into(), message };
    let read_count = read_set(&fleet.router(0), &fleet.backends()).len();
    assert_eq!(step(&mut single, NOW, event, &rows), Some(read_count));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..Default::default() })]

    /// A host that considered only its read set would refuse requests although a backend server
    /// outside it has free slots and works.
    #[test]
    fn no_request_is_refused_while_a_backend_has_capacity(
        hosts in 1usize..60,
        backends in 1usize..400,
        zones in 1usize..5,
        usable in any::<prop::sample::Index>(),
        kinds in prop::collection::vec(0u8..3, 400),
        class in prop::sample::select(vec![Class::Urgent, Class::Normal, Class::Long]),
    ) {
        let fleet = Fleet { hosts, backends, zones };
        let mut router = fleet.router(hosts / 2);
        let usable = usable.index(backends);
        for (number, record) in fleet.backends().into_iter().enumerate() {
            if number == usable {
                continue;
            }
            let name = record.name.clone();
            let event = match kinds[number] {
                0 => failed(&name),
                1 => RouterEvent::Listed { backend: name, leaving: true },
                _ => RouterEvent::Backend(Backend { leaving: true, ..record }),
            };
            handle(&mut router, event);
        }
        handle(&mut router, RouterEvent::ChangesApplied);
        let choice = router.choose(NOW, &query(class));
        prop_assert_eq!(choice, Choice::Backend(backend(usable, zones).name));
        let again = router.choose(NOW, &query(class));
        prop_assert!(!matches!(again, Choice::Unavailable { .. }), "refused: {:?}", again);
    }
}
