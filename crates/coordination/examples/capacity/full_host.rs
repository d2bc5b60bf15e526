//! Cost of one host with all its components at the target size of a deployment.

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
    report::{memory_in_subprocess, print, print_memory},
    shared_budget::table::Table,
};

/// Number of entry hosts.
const HOSTS: usize = 350;

/// Number of availability zones.
const ZONES: usize = 17;

/// Numbers of records; there is one route for each model.
const BUDGETS: usize = 23_000;
const BACKENDS: usize = 12_000;
const WORKSPACES: usize = 280;
const MODELS: usize = 5;

/// Interval between ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Number of ticks in which the host reads all records, and number of measured idle ticks.
const TICK_COUNT: usize = 200;

/// Number of reads of the platform's host list.
const HOST_LIST_READS: usize = 10;

/// What the host knows: each step includes the steps before it.
const STEPS: [&str; 4] = ["nothing", "budgets", "back ends", "hosts"];

/// Prints the memory that a host uses that knows the first `steps` of [`STEPS`].
pub fn memory_of(steps: usize) {
    let mut table = record_table(steps);
    print_memory(|| loaded_host(steps, &mut table));
}

/// Returns a host that knows the first `steps` of [`STEPS`].
fn loaded_host(steps: usize, table: &mut Table) -> Host {
    let mut host = Host::new(settings());
    let mut now = Duration::ZERO;
    for tick in 0..TICK_COUNT {
        now += TICK_INTERVAL;
        handle(&mut host, now, Event::Tick, table);
        if tick == TICK_COUNT / 2 && steps > 3 {
            (1..HOSTS).for_each(|number| handle(&mut host, now, heartbeat(number), table));
        }
    }
    if steps > 3 {
        (0..HOST_LIST_READS).for_each(|_| handle(&mut host, now, Event::Hosts(host_list()), table));
    }
    assert!(host.stats().ready, "all records are read");
    host
}

/// Measures memory up to each step, and the time of a host list and of a tick of an idle host at
/// the target size.
pub fn measure() {
    println!(
        "## whole host: {BUDGETS} budgets, {WORKSPACES} workspaces, {BACKENDS} back ends, {HOSTS} hosts"
    );
    for (number, step) in STEPS.iter().enumerate() {
        let bytes = memory_in_subprocess("whole", number + 1);
        print(&format!("memory of a host up to {step}"), bytes / 1e6, "MB");
    }
    let mut table = record_table(STEPS.len());
    let mut host = loaded_host(STEPS.len(), &mut table);
    let now = TICK_INTERVAL * (TICK_COUNT as u32 + 1);
    let lists: Vec<_> = (0..HOST_LIST_READS).map(|_| host_list()).collect();
    let start = Instant::now();
    lists.into_iter().for_each(|list| handle(&mut host, now, Event::Hosts(list), &mut table));
    print(
        "host list read again",
        start.elapsed().as_secs_f64() * 1e3 / HOST_LIST_READS as f64,
        "ms",
    );
    let start = Instant::now();
    (0..TICK_COUNT).for_each(|tick| {
        handle(&mut host, now + TICK_INTERVAL * tick as u32, Event::Tick, &mut table)
    });
    print("tick of an idle host", start.elapsed().as_secs_f64() * 1e6 / TICK_COUNT as f64, "µs");
}

/// Lets a host handle an event and runs its table operations, until none is left.
fn handle(host: &mut Host, now: Duration, event: Event, table: &mut Table) {
    let mut events = vec![event];
    while let Some(event) = events.pop() {
        let mut actions = Vec::new();
        host.handle(now, event, &mut actions);
        for action in actions {
            if let Action::Table { operation, op } = action {
                let outcome = table.run(&op, None);
                // Only the rows of a read of the change log are kept by the host.
                let outcome = match op {
                    Op::Changes { .. } => without_shared_strings(outcome),
                    _ => outcome,
                };
                events.push(Event::Table { operation, outcome });
            }
        }
    }
}

/// Returns an outcome that shares no strings with the table, like one read over the network.
fn without_shared_strings(outcome: coordination::table::Outcome) -> coordination::table::Outcome {
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

/// Returns the platform's host list with all entry hosts and backend servers.
fn host_list() -> Vec<ListedHost> {
    let list_entry = |host: Arc<str>, number| ListedHost {
        host,
        zone: zone(number),
        address: None,
        state: HostState::Live,
        incarnation: None,
    };
    let hosts = (0..HOSTS).map(|number| list_entry(host(number), number));
    hosts.chain((0..BACKENDS).map(|number| list_entry(backend(number).name, number))).collect()
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

/// Returns a table with the records of the first `steps` of [`STEPS`].
fn record_table(steps: usize) -> Table {
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
