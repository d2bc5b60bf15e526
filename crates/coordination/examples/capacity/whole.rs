//! All decisions of one host at the target size.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use coordination::{
    host::{Host, Settings, action::Action, event::Event},
    member::{HostState, ListedHost},
    message::{Heartbeat, Member, Message, State},
    record::{self, Backend, Budget, LedgerFormat, Model, Record, Role, Route, Workspace},
    request::Class,
    table::Op,
};

use crate::{
    hot::table::Table,
    report::{memory, print, print_memory},
};

/// Entry hosts and their zones.
const HOSTS: usize = 350;
const ZONES: usize = 17;

/// Budgets, back ends, workspaces and models.
const BUDGETS: usize = 23_000;
const BACKENDS: usize = 12_000;
const WORKSPACES: usize = 280;
const MODELS: usize = 5;

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(50);

/// Ticks in which the host reads all records.
const TICKS: usize = 200;

/// Reads of the platform's host list.
const LISTS: usize = 10;

/// What the host knows, each step with all before it.
const STEPS: [&str; 4] = ["nothing", "budgets", "back ends", "hosts"];

/// Prints the memory of one host with so many of the [`STEPS`].
pub fn memory_of(steps: usize) {
    let mut table = records(steps);
    print_memory(|| filled(steps, &mut table));
}

/// Returns a host that knows all of so many steps.
fn filled(steps: usize, table: &mut Table) -> Host {
    let mut host = Host::new(settings());
    let mut now = Duration::ZERO;
    for tick in 0..TICKS {
        now += TICK;
        feed(&mut host, now, Event::Tick, table);
        if tick == TICKS / 2 && steps > 3 {
            (1..HOSTS).for_each(|number| feed(&mut host, now, heartbeat(number), table));
        }
    }
    if steps > 3 {
        (0..LISTS).for_each(|_| feed(&mut host, now, Event::Hosts(listed()), table));
    }
    assert!(host.stats().ready, "all records are read");
    host
}

/// Measures the memory of one host at the target size.
pub fn measure() {
    println!(
        "## whole host: {BUDGETS} budgets, {WORKSPACES} workspaces, {BACKENDS} back ends, {HOSTS} hosts"
    );
    for (number, step) in STEPS.iter().enumerate() {
        let bytes = memory("whole", number + 1);
        print(&format!("memory of a host up to {step}"), bytes / 1e6, "MB");
    }
    let mut table = records(STEPS.len());
    let mut host = filled(STEPS.len(), &mut table);
    let now = TICK * (TICKS as u32 + 1);
    let lists: Vec<_> = (0..LISTS).map(|_| listed()).collect();
    let start = Instant::now();
    lists.into_iter().for_each(|list| feed(&mut host, now, Event::Hosts(list), &mut table));
    print("host list read again", start.elapsed().as_secs_f64() * 1e3 / LISTS as f64, "ms");
    let start = Instant::now();
    (0..TICKS).for_each(|tick| feed(&mut host, now + TICK * tick as u32, Event::Tick, &mut table));
    print("tick of an idle host", start.elapsed().as_secs_f64() * 1e6 / TICKS as f64, "µs");
}

fn feed(host: &mut Host, now: Duration, event: Event, table: &mut Table) {
    let mut events = vec![event];
    while let Some(event) = events.pop() {
        let mut actions = Vec::new();
        host.handle(now, event, &mut actions);
        for action in actions {
            if let Action::Table { operation, op } = action {
                let outcome = table.run(&op, None);
                // Only the reading of records is answered with rows that the host keeps.
                let outcome = match op {
                    Op::Changes { .. } => copied(outcome),
                    _ => outcome,
                };
                events.push(Event::Table { operation, outcome });
            }
        }
    }
}

/// Returns an outcome that shares no text with the table, as one read over the network.
fn copied(outcome: coordination::table::Outcome) -> coordination::table::Outcome {
    let coordination::table::Outcome::Changes { mut rows, through } = outcome else {
        return outcome;
    };
    for row in &mut rows {
        row.key = Arc::from(&*row.key);
        row.value = row.value.as_deref().map(Arc::from);
    }
    coordination::table::Outcome::Changes { rows, through }
}

fn settings() -> Settings {
    Settings {
        host: "host-000".into(),
        zone: "zone-00".into(),
        incarnation: 1,
        address: address(0),
        seeds: Vec::new(),
        secret: b"secret".to_vec(),
        accepted_secret: None,
        key: [1; 32],
        seed: 1,
        max_requests: 4_096,
        drain_timeout: Duration::from_secs(10),
    }
}

fn address(number: usize) -> Arc<str> {
    format!("10.0.{}.{}:7000", number / 256, number % 256).into()
}

fn zone(number: usize) -> Arc<str> {
    format!("zone-{:02}", number % ZONES).into()
}

fn host(number: usize) -> Arc<str> {
    format!("host-{number:03}").into()
}

fn heartbeat(number: usize) -> Event {
    let member = Member {
        host: host(number),
        zone: zone(number),
        address: address(number),
        incarnation: 1,
        state: State::Alive,
        revision: 0,
        refuted: 0,
    };
    let heartbeat = Heartbeat { number: 1, revision: 0, digest: 0, members: vec![member] };
    Event::Message {
        from: format!("{}.1", host(number)).into(),
        zone: zone(number),
        address: address(number),
        message: Message::Heartbeat(heartbeat),
    }
}

/// Returns the platform's list with all hosts and back ends.
fn listed() -> Vec<ListedHost> {
    let entry = |host: Arc<str>, number| ListedHost {
        host,
        zone: zone(number),
        address: None,
        state: HostState::Live,
        incarnation: None,
    };
    let hosts = (0..HOSTS).map(|number| entry(host(number), number));
    hosts.chain((0..BACKENDS).map(|number| entry(backend(number).name, number))).collect()
}

fn budget(number: usize) -> Budget {
    Budget {
        name: format!("budget-{number:05}").into(),
        workspace: format!("workspace-{:03}", number % WORKSPACES).into(),
        top_ups: [(Arc::from("t1"), 1_000_000_000_000)].into(),
        urgent_floor: 1_000,
        ledger: LedgerFormat::New,
    }
}

fn workspace(number: usize) -> Workspace {
    let budgets = (number..BUDGETS).step_by(WORKSPACES).map(|number| budget(number).name);
    Workspace {
        name: format!("workspace-{number:03}").into(),
        token_hashes: vec![hex(number), hex(number + WORKSPACES)],
        budgets: budgets.collect(),
    }
}

fn hex(number: usize) -> Arc<str> {
    format!("{number:064x}").into()
}

fn model(number: usize) -> Model {
    let name = format!("model-{}", number % MODELS).into();
    Model { name, adapter: record::empty(), version: "1".into() }
}

fn backend(number: usize) -> Backend {
    Backend {
        name: format!("engine-{number:05}").into(),
        address: format!("http://10.1.{}.{}:8000", number / 250, number % 250).into(),
        zone: zone(number),
        role: Role::Engine,
        models: vec![model(number)],
        slots: 64,
        fencing: true,
        leaving: false,
        serve_as: None,
    }
}

fn route(number: usize) -> Route {
    let backends = (number..BACKENDS).step_by(MODELS).map(|number| backend(number).name);
    Route {
        name: format!("chat-{number}").into(),
        backends: backends.collect(),
        model: Some(model(number)),
        idempotent: true,
        class: Class::Normal,
        max_tokens: 1_000,
        call_tokens: 0,
        timeout_ms: 60_000,
    }
}

fn records(steps: usize) -> Table {
    let mut table = Table::default();
    let mut put = |record: Record| table.put(&record.key(), record::render(&record));
    if steps > 1 {
        (0..BUDGETS).for_each(|number| put(Record::Budget(budget(number))));
        (0..WORKSPACES).for_each(|number| put(Record::Workspace(workspace(number))));
    }
    if steps > 2 {
        (0..BACKENDS).for_each(|number| put(Record::Backend(backend(number))));
        (0..MODELS).for_each(|number| put(Record::Route(route(number))));
    }
    table
}
