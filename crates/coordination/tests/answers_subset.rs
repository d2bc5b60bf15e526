//! Tests of the back ends that a host reads and sends to first.

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

/// A fleet with one route over all back ends.
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
        open(&host(number, self.zones), &self.hosts(), &self.backends())
    }
}

fn open(own: &EntryHost, hosts: &[EntryHost], backends: &[Backend]) -> Router {
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
        tell(&mut router, RouterEvent::Backend(backend.clone()));
    }
    tell(&mut router, RouterEvent::Route(route));
    join(&mut router, own, hosts);
    router
}

fn join(router: &mut Router, own: &EntryHost, hosts: &[EntryHost]) {
    let index = hosts.iter().position(|entry| entry == own).expect("own host") as u32;
    tell(router, RouterEvent::HostIndex { count: hosts.len() as u32, index });
    tell(router, RouterEvent::Readers { own: own.host.clone(), hosts: hosts.to_vec() });
    tell(router, RouterEvent::ChangesApplied);
}

fn tell(router: &mut Router, event: RouterEvent) -> Vec<RouterAction> {
    let mut actions = Vec::new();
    router.handle(NOW, event, &mut actions);
    actions
}

fn reads(router: &Router, backends: &[Backend]) -> BTreeSet<Arc<str>> {
    let names = backends.iter().map(|backend| backend.name.clone());
    names.filter(|name| router.reads(name)).collect()
}

#[test]
fn reads_are_bounded_and_every_back_end_is_read() {
    struct Case {
        fleet: Fleet,
        /// Fewest and most readers of a back end.
        readers: (usize, usize),
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
        let name = format!("{hosts} hosts, {backends} back ends, {zones} zones");
        let records = case.fleet.backends();
        let mut readers = BTreeMap::<Arc<str>, usize>::new();
        for number in 0..hosts {
            let reads = reads(&case.fleet.router(number), &records);
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
fn lone_host_reads_a_bounded_part() {
    let fleet = Fleet { hosts: 1, backends: 3000, zones: 5 };
    let reads = reads(&fleet.router(0), &fleet.backends());
    assert_eq!(reads.len(), MAX_SAME_ZONE_READS + MAX_OTHER_ZONE_READS);
}

#[test]
fn small_changes_move_few_reads() {
    let fleet = Fleet { hosts: 40, backends: 700, zones: 4 };
    let (hosts, backends) = (fleet.hosts(), fleet.backends());
    struct Case {
        name: &'static str,
        hosts: Vec<EntryHost>,
        backends: Vec<Backend>,
        /// Most reads of all hosts that change, of about four for each back end.
        moved: usize,
    }
    let added = [backends.clone(), vec![backend(700, 4)]].concat();
    let cases = [
        Case {
            name: "host added",
            hosts: [&hosts[..], &[host(40, 4)]].concat(),
            backends: backends.clone(),
            moved: 200,
        },
        Case {
            name: "host gone",
            hosts: hosts[..39].to_vec(),
            backends: backends.clone(),
            moved: 200,
        },
        Case { name: "back end added", hosts: hosts.clone(), backends: added, moved: 4 },
        Case {
            name: "back end gone",
            hosts: hosts.clone(),
            backends: backends[1..].to_vec(),
            moved: 4,
        },
    ];
    for case in cases {
        let mut moved = 0;
        for own in &hosts[..39] {
            let before = reads(&open(own, &hosts, &backends), &backends);
            let after = reads(&open(own, &case.hosts, &case.backends), &case.backends);
            moved += before.symmetric_difference(&after).count();
        }
        assert!(moved > 0 && moved <= case.moved, "{}: {moved}", case.name);
    }
}

#[test]
fn back_ends_that_leave_are_replaced() {
    let fleet = Fleet { hosts: 40, backends: 800, zones: 4 };
    let records = fleet.backends();
    let mut router = fleet.router(0);
    let before = reads(&router, &records);
    for record in records.iter().take(600) {
        tell(&mut router, RouterEvent::Listed { backend: record.name.clone(), leaving: true });
    }
    assert_eq!(tell(&mut router, RouterEvent::ChangesApplied), [RouterAction::UpdateReadSet]);
    let live = &records[600..];
    let kept = live.iter().filter(|record| before.contains(&record.name)).count();
    let after = reads(&router, live).len();
    assert!(after >= 2 * kept && after >= 40, "{kept} of those read before, {after} now");
    assert_eq!(tell(&mut router, RouterEvent::ChangesApplied), [], "nothing new");
}

#[test]
fn others_are_reached_only_after_those_read() {
    let fleet = Fleet { hosts: 40, backends: 800, zones: 4 };
    let records = fleet.backends();
    type Spoil = fn(&Arc<str>) -> RouterEvent;
    let cases: [(&str, Spoil, bool); 4] = [
        ("idle", |name| RouterEvent::Load(name.clone(), load(0)), false),
        ("full", |name| RouterEvent::Load(name.clone(), load(100)), true),
        ("failing", failed, true),
        ("leaving", |name| RouterEvent::Listed { backend: name.clone(), leaving: true }, true),
    ];
    for (name, spoil, beyond) in cases {
        for class in [Class::Urgent, Class::Normal, Class::Long] {
            let mut router = fleet.router(0);
            let read = reads(&router, &records);
            read.iter().for_each(|backend| drop(tell(&mut router, spoil(backend))));
            let Choice::Backend(chosen) = router.choose(NOW, &query(class)) else {
                panic!("{name}, {class:?}: nowhere");
            };
            assert_eq!(!read.contains(&chosen), beyond, "{name}, {class:?}");
        }
    }
}

#[test]
fn requests_at_back_ends_not_read_are_bounded_by_the_share_of_the_host() {
    let fleet = Fleet { hosts: 40, backends: 800, zones: 4 };
    let records = fleet.backends();
    let mut router = fleet.router(0);
    let read = reads(&router, &records);
    for name in &read {
        tell(&mut router, RouterEvent::Load(name.clone(), load(100)));
    }
    let mut sent = Vec::new();
    while let Choice::Backend(name) = router.choose(NOW, &query(Class::Normal)) {
        sent.push(name);
    }
    let share = ((records.len() - read.len()) * SLOTS as usize).div_ceil(fleet.hosts);
    assert_eq!(sent.len(), share);
    assert_eq!(router.choose(NOW, &query(Class::Normal)), Choice::Full, "waits, is not refused");
    tell(&mut router, RouterEvent::Finished { backend: sent[0].clone(), sent_at: NOW });
    assert!(matches!(router.choose(NOW, &query(Class::Normal)), Choice::Backend(_)));
}

#[test]
fn prefix_hint_may_name_a_back_end_that_is_not_read() {
    let fleet = Fleet { hosts: 40, backends: 800, zones: 4 };
    let mut router = fleet.router(0);
    let hinted = fleet.backends().into_iter().find(|record| !router.reads(&record.name));
    let hinted = hinted.expect("some back end is not read").name;
    let prefixes = prefix::keys("assess", &[7; 256]);
    let events = prefixes.iter().zip(1..);
    let events = events.map(|(&key, seq)| prefix::Event { seq, key, cached: true }).collect();
    let backend = hinted.clone();
    tell(
        &mut router,
        RouterEvent::Cache { backend, after: 0, events, next: prefixes.len() as u64 },
    );
    let query = Query { prefixes, ..query(Class::Normal) };
    assert_eq!(router.choose(NOW, &query), Choice::Backend(hinted));
}

#[test]
fn report_counts_only_while_its_back_end_is_read() {
    let fleet = Fleet { hosts: 1, backends: 90, zones: 1 };
    let (own, records) = (host(0, 1), fleet.backends());
    let mut router = fleet.router(0);
    let hosts: Vec<EntryHost> = (0..40).map(|number| host(number, 1)).collect();
    for record in &records {
        tell(&mut router, RouterEvent::Load(record.name.clone(), load(100)));
    }
    assert_eq!(router.choose(NOW, &query(Class::Normal)), Choice::Full);
    join(&mut router, &own, &hosts);
    let chosen = router.choose(NOW, &query(Class::Normal));
    let Choice::Backend(chosen) = chosen else { panic!("{chosen:?}") };
    assert!(!router.reads(&chosen), "an old report is kept");
}

/// Configuration rows of the back ends and of one route over them.
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

/// Takes an event, answers what the host reads of the configuration, and returns the back ends that
/// it last named to be read.
fn step(host: &mut Host, now: Duration, event: Event, rows: &[Row]) -> Option<usize> {
    let mut events = vec![event];
    let mut watched = None;
    while let Some(event) = events.pop() {
        let mut actions = Vec::new();
        host.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::UpdateReadSet { backends } => watched = Some(backends.len()),
                Action::Table { operation, op: Op::Changes { after: 0, .. } } => {
                    let outcome = Outcome::Changes { rows: rows.to_vec(), through: 1 };
                    events.push(Event::Table { operation, outcome });
                }
                _ => {}
            }
        }
    }
    watched
}

#[test]
fn host_names_only_its_part_once_it_knows_others() {
    let fleet = Fleet { hosts: 40, backends: 800, zones: 4 };
    let own = host(0, 4);
    let mut alone = single_host::new_host(&own.host, &own.zone);
    let rows = rows(&fleet.backends());
    assert_eq!(step(&mut alone, NOW, Event::Tick, &rows), Some(800), "no other host is known");
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
    let part = reads(&fleet.router(0), &fleet.backends()).len();
    assert_eq!(step(&mut alone, NOW, event, &rows), Some(part));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..Default::default() })]

    /// While one back end of a route has room and works, no request is turned away.
    #[test]
    fn no_request_is_refused_while_a_back_end_has_room(
        hosts in 1usize..60,
        backends in 1usize..400,
        zones in 1usize..5,
        last in any::<prop::sample::Index>(),
        kinds in prop::collection::vec(0u8..3, 400),
        class in prop::sample::select(vec![Class::Urgent, Class::Normal, Class::Long]),
    ) {
        let fleet = Fleet { hosts, backends, zones };
        let mut router = fleet.router(hosts / 2);
        let good = last.index(backends);
        for (number, record) in fleet.backends().into_iter().enumerate() {
            if number == good {
                continue;
            }
            let name = record.name.clone();
            let event = match kinds[number] {
                0 => failed(&name),
                1 => RouterEvent::Listed { backend: name, leaving: true },
                _ => RouterEvent::Backend(Backend { leaving: true, ..record }),
            };
            tell(&mut router, event);
        }
        tell(&mut router, RouterEvent::ChangesApplied);
        let choice = router.choose(NOW, &query(class));
        prop_assert_eq!(choice, Choice::Backend(backend(good, zones).name));
        let again = router.choose(NOW, &query(class));
        prop_assert!(!matches!(again, Choice::Unavailable { .. }), "refused: {:?}", again);
    }
}
