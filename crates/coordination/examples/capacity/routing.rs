//! Cost of one host's routing state as the number of backend servers grows.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, Instant},
};

use coordination::{
    record::{Backend, Model, Role, Route},
    request::Class,
    route::{
        Choice, Load, Query, Router, RouterEvent, Settings,
        subset::{self, EntryHost},
    },
};

use crate::report::{Series, memory_in_subprocess, nanos_per_run, print, print_memory};

/// Numbers of backend servers to measure with.
const BACKEND_COUNTS: [usize; 3] = [30, 1_000, 12_000];

/// Numbers of backend servers to measure the division into read sets with.
const READ_SET_BACKEND_COUNTS: [usize; 4] = [30, 1_000, 4_000, 12_000];

/// Number of hosts that divide the backend servers among themselves.
const HOSTS: usize = 350;

/// Number of availability zones.
const ZONES: usize = 17;

/// Calls a second to each backend server of a read set: load and cache events, every 500 ms.
const CALLS_PER_SECOND: usize = 4;

/// Number of measured choices and load reports.
const CHOICES: usize = 50_000;

fn model() -> Model {
    Model { name: "m".into(), adapter: "".into(), version: "".into() }
}

fn backend(number: usize) -> Backend {
    Backend {
        name: format!("engine-{number:05}").into(),
        address: format!("http://10.1.{}.{}:8000", number / 256, number % 256).into(),
        zone: format!("zone-{:02}", number % ZONES).into(),
        role: Role::Engine,
        models: vec![model()],
        slots: 64,
        fencing: true,
        leaving: false,
        serve_as: None,
    }
}

fn router(backends: usize) -> Router {
    router_with_routes("zone-01", backends, 1)
}

/// Creates a router whose backend servers are divided among routes.
fn router_with_routes(zone: &str, backends: usize, routes: usize) -> Router {
    let mut router = Router::new(Settings::new(zone, 1));
    let mut actions = Vec::new();
    for number in 0..backends {
        router.handle(Duration::ZERO, RouterEvent::Backend(backend(number)), &mut actions);
    }
    for part in 0..routes {
        let numbers = (0..backends).filter(|number| number / ZONES % routes == part);
        let route = Route {
            name: if part == 0 { "chat".into() } else { format!("chat-{part}").into() },
            backends: numbers.map(|number| backend(number).name).collect(),
            model: Some(model()),
            idempotent: true,
            class: Class::Normal,
            max_tokens: 1_000,
            call_tokens: 0,
            timeout_ms: 60_000,
        };
        router.handle(Duration::ZERO, RouterEvent::Route(route), &mut actions);
    }
    router
}

/// Prints the memory that a router of `backends` backend servers uses.
pub fn memory_of(backends: usize) {
    print_memory(|| router(backends));
}

/// Measures the time of a choice and of a load report, and memory, by number of backend servers.
pub fn measure() {
    println!("## routing state");
    let mut choice = Series::new("choice of a back end and its end", "back ends", "ns");
    let mut report = Series::new("load report", "back ends", "ns");
    let mut bytes = Series::new("memory of the router", "back ends", "B");
    for backends in BACKEND_COUNTS {
        let mut router = router(backends);
        bytes.push(backends, memory_in_subprocess("routing", backends));
        let mut actions = Vec::new();
        let load = Load { queued: 0, running: 8, slots: 64, leaving: false, at_ms: 0 };
        let name = |number: usize| -> Arc<str> { format!("engine-{number:05}").into() };
        report.push(
            backends,
            nanos_per_run(CHOICES, |number| {
                let event = RouterEvent::Load(name(number % backends), load);
                router.handle(Duration::ZERO, event, &mut actions);
            }),
        );
        let query = Query {
            route: "chat".into(),
            class: Class::Normal,
            starved: false,
            prefixes: Vec::new(),
            avoid: Vec::new(),
        };
        choice.push(
            backends,
            nanos_per_run(CHOICES, |_| {
                let Choice::Backend(chosen) = router.choose(Duration::ZERO, &query) else {
                    return;
                };
                router.handle(
                    Duration::ZERO,
                    RouterEvent::Finished { backend: chosen, sent_at: Duration::ZERO },
                    &mut actions,
                );
            }),
        );
    }
    [choice, report, bytes].iter().for_each(Series::print);
}

fn entry_host(number: usize) -> EntryHost {
    EntryHost {
        host: format!("host-{number:03}").into(),
        zone: format!("zone-{:02}", number % ZONES).into(),
    }
}

/// Gives a router its host and the hosts that share the reads; returns the numbers of the backend
/// servers in the read set of the host `own`.
fn read_set(
    router: &mut Router,
    own: &EntryHost,
    hosts: &[EntryHost],
    backends: usize,
) -> BTreeSet<usize> {
    let mut actions = Vec::new();
    let count = hosts.len() as u32;
    let readers_event = RouterEvent::Readers { own: own.host.clone(), hosts: hosts.to_vec() };
    for event in
        [RouterEvent::HostIndex { count, index: 0 }, readers_event, RouterEvent::ChangesApplied]
    {
        router.handle(Duration::ZERO, event, &mut actions);
    }
    (0..backends).filter(|&number| router.reads(&backend(number).name)).collect()
}

/// Measures how many calls each host makes, and how many hosts read each backend server.
pub fn measure_read_sets() {
    println!("## reading of back ends, {HOSTS} hosts in {ZONES} zones");
    for routes in [1, 5] {
        let mut mean = Series::new("calls a second of a host, mean", "back ends", "calls/s");
        let mut max = Series::new("calls a second of a host, most", "back ends", "calls/s");
        for backends in READ_SET_BACKEND_COUNTS {
            let (reads, readers) = all_read_sets(backends, routes);
            let total: usize = reads.iter().sum();
            mean.push(backends, (total * CALLS_PER_SECOND) as f64 / HOSTS as f64);
            max.push(backends, (reads.iter().max().unwrap_or(&0) * CALLS_PER_SECOND) as f64);
            let fewest = reads.iter().min().unwrap_or(&0) * CALLS_PER_SECOND;
            let low = readers.iter().min().unwrap_or(&0);
            let high = readers.iter().max().unwrap_or(&0);
            println!(
                "{routes} routes, {backends} back ends: fewest calls {fewest}/s, hosts of a back \
                 end {low} to {high}, mean {:.2}",
                total as f64 / backends as f64
            );
        }
        [mean, max].iter().for_each(Series::print);
    }
    measure_host_removal();
}

/// Returns the number of backend servers that each host reads, and the number of hosts that read
/// each backend server.
fn all_read_sets(backends: usize, routes: usize) -> (Vec<usize>, Vec<usize>) {
    let hosts: Vec<EntryHost> = (0..HOSTS).map(entry_host).collect();
    let mut readers = vec![0; backends];
    let mut reads = Vec::new();
    for zone in 0..ZONES {
        let mut router = router_with_routes(&entry_host(zone).zone, backends, routes);
        for own in hosts.iter().skip(zone).step_by(ZONES) {
            let read = read_set(&mut router, own, &hosts, backends);
            reads.push(read.len());
            read.iter().for_each(|&number| readers[number] += 1);
        }
    }
    (reads, readers)
}

/// Measures how much the read set of a host changes when another host is removed, and the time to
/// compute it again.
fn measure_host_removal() {
    let backends = READ_SET_BACKEND_COUNTS[READ_SET_BACKEND_COUNTS.len() - 1];
    let hosts: Vec<EntryHost> = (0..HOSTS).map(entry_host).collect();
    let mut router = router_with_routes(&hosts[1].zone, backends, 1);
    let (mut total_changed, mut max_changed) = (0, 0);
    let before = read_set(&mut router, &hosts[1], &hosts, backends);
    for removed in 2..HOSTS {
        let others: Vec<EntryHost> =
            hosts.iter().filter(|e| **e != hosts[removed]).cloned().collect();
        let after = read_set(&mut router, &hosts[1], &others, backends);
        let changed = before.symmetric_difference(&after).count();
        total_changed += changed;
        max_changed = max_changed.max(changed);
    }
    print("reads of a host, of which each other one's going moves", before.len() as f64, "");
    print("moved on average", total_changed as f64 / (HOSTS - 2) as f64, "");
    print("moved at most", max_changed as f64, "");
    let start = Instant::now();
    for removed in 2..22 {
        let own = hosts[1].host.clone();
        let others = hosts.iter().filter(|e| **e != hosts[removed]).cloned().collect();
        let mut actions = Vec::new();
        let readers_event = RouterEvent::Readers { own, hosts: others };
        router.handle(Duration::ZERO, readers_event, &mut actions);
        router.handle(Duration::ZERO, RouterEvent::ChangesApplied, &mut actions);
    }
    print("dividing anew", start.elapsed().as_secs_f64() * 1e3 / 20.0, "ms");
    measure_choice_without_backend(&mut router, backends);
    println!("wanted: {} near, {} far", subset::SAME_ZONE_READS, subset::OTHER_ZONE_READS);
}

/// Measures the time of a choice that finds no healthy backend server.
fn measure_choice_without_backend(router: &mut Router, backends: usize) {
    let mut actions = Vec::new();
    for number in 0..backends {
        let failed = RouterEvent::Health { backend: backend(number).name, served: false };
        router.handle(Duration::ZERO, failed, &mut actions);
    }
    let query = Query {
        route: "chat".into(),
        class: Class::Normal,
        starved: false,
        prefixes: Vec::new(),
        avoid: Vec::new(),
    };
    let time = nanos_per_run(200, |_| {
        let choice = router.choose(Duration::ZERO, &query);
        assert!(matches!(choice, Choice::Unavailable { .. }), "all have failed");
    });
    print("choice while all back ends fail", time / 1e3, "µs");
}
