//! Routing state of one host as the back ends grow.

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

use crate::report::{Series, memory, nanos, print, print_memory};

/// Numbers of back ends.
const BACKENDS: [usize; 3] = [30, 1_000, 12_000];

/// Numbers of back ends whose reading is divided.
const DIVIDED: [usize; 4] = [30, 1_000, 4_000, 12_000];

/// Hosts that divide the reading.
const HOSTS: usize = 350;

/// Availability zones.
const ZONES: usize = 17;

/// Calls a second to a back end that is read: load and cache, every 500 ms.
const CALLS: usize = 4;

/// Choices that are measured.
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
    routed("zone-01", backends, 1)
}

/// Opens a router whose back ends are shared out among routes.
fn routed(zone: &str, backends: usize, routes: usize) -> Router {
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

/// Prints the memory of a router of so many back ends.
pub fn memory_of(backends: usize) {
    print_memory(|| router(backends));
}

/// Measures a choice, a load report and memory.
pub fn measure() {
    println!("## routing state");
    let mut choice = Series::new("choice of a back end and its end", "back ends", "ns");
    let mut report = Series::new("load report", "back ends", "ns");
    let mut bytes = Series::new("memory of the router", "back ends", "B");
    for backends in BACKENDS {
        let mut router = router(backends);
        bytes.push(backends, memory("routing", backends));
        let mut actions = Vec::new();
        let load = Load { queued: 0, running: 8, slots: 64, leaving: false, at_ms: 0 };
        let name = |number: usize| -> Arc<str> { format!("engine-{number:05}").into() };
        report.push(
            backends,
            nanos(CHOICES, |number| {
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
            nanos(CHOICES, |_| {
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

fn entry(number: usize) -> EntryHost {
    EntryHost {
        host: format!("host-{number:03}").into(),
        zone: format!("zone-{:02}", number % ZONES).into(),
    }
}

/// Divides the reading among hosts; returns the numbers of the back ends that one host reads.
fn divided(
    router: &mut Router,
    own: &EntryHost,
    hosts: &[EntryHost],
    backends: usize,
) -> BTreeSet<usize> {
    let mut actions = Vec::new();
    let count = hosts.len() as u32;
    let fleet = RouterEvent::Readers { own: own.host.clone(), hosts: hosts.to_vec() };
    for event in [RouterEvent::HostIndex { count, index: 0 }, fleet, RouterEvent::ChangesApplied] {
        router.handle(Duration::ZERO, event, &mut actions);
    }
    (0..backends).filter(|&number| router.reads(&backend(number).name)).collect()
}

/// Measures how many calls remain for each host, and by how many hosts each back end is read.
pub fn measure_divided() {
    println!("## reading of back ends, {HOSTS} hosts in {ZONES} zones");
    for routes in [1, 5] {
        let mut mean = Series::new("calls a second of a host, mean", "back ends", "calls/s");
        let mut most = Series::new("calls a second of a host, most", "back ends", "calls/s");
        for backends in DIVIDED {
            let (reads, readers) = divided_among_all(backends, routes);
            let total: usize = reads.iter().sum();
            mean.push(backends, (total * CALLS) as f64 / HOSTS as f64);
            most.push(backends, (reads.iter().max().unwrap_or(&0) * CALLS) as f64);
            let fewest = reads.iter().min().unwrap_or(&0) * CALLS;
            let low = readers.iter().min().unwrap_or(&0);
            let high = readers.iter().max().unwrap_or(&0);
            println!(
                "{routes} routes, {backends} back ends: fewest calls {fewest}/s, hosts of a back \
                 end {low} to {high}, mean {:.2}",
                total as f64 / backends as f64
            );
        }
        [mean, most].iter().for_each(Series::print);
    }
    measure_change();
}

/// Returns the back ends read by each host, and the hosts that read each back end.
fn divided_among_all(backends: usize, routes: usize) -> (Vec<usize>, Vec<usize>) {
    let hosts: Vec<EntryHost> = (0..HOSTS).map(entry).collect();
    let mut readers = vec![0; backends];
    let mut reads = Vec::new();
    for zone in 0..ZONES {
        let mut router = routed(&entry(zone).zone, backends, routes);
        for own in hosts.iter().skip(zone).step_by(ZONES) {
            let read = divided(&mut router, own, &hosts, backends);
            reads.push(read.len());
            read.iter().for_each(|&number| readers[number] += 1);
        }
    }
    (reads, readers)
}

/// Measures what a change of one host costs the others.
fn measure_change() {
    let backends = DIVIDED[DIVIDED.len() - 1];
    let hosts: Vec<EntryHost> = (0..HOSTS).map(entry).collect();
    let mut router = routed(&hosts[1].zone, backends, 1);
    let (mut moved, mut most) = (0, 0);
    let before = divided(&mut router, &hosts[1], &hosts, backends);
    for gone in 2..HOSTS {
        let others: Vec<EntryHost> = hosts.iter().filter(|e| **e != hosts[gone]).cloned().collect();
        let after = divided(&mut router, &hosts[1], &others, backends);
        let changed = before.symmetric_difference(&after).count();
        moved += changed;
        most = most.max(changed);
    }
    print("reads of a host, of which each other one's going moves", before.len() as f64, "");
    print("moved on average", moved as f64 / (HOSTS - 2) as f64, "");
    print("moved at most", most as f64, "");
    let start = Instant::now();
    for gone in 2..22 {
        let own = hosts[1].host.clone();
        let others = hosts.iter().filter(|e| **e != hosts[gone]).cloned().collect();
        let mut actions = Vec::new();
        let fleet = RouterEvent::Readers { own, hosts: others };
        router.handle(Duration::ZERO, fleet, &mut actions);
        router.handle(Duration::ZERO, RouterEvent::ChangesApplied, &mut actions);
    }
    print("dividing anew", start.elapsed().as_secs_f64() * 1e3 / 20.0, "ms");
    measure_scan(&mut router, backends);
    println!("wanted: {} near, {} far", subset::SAME_ZONE_READS, subset::OTHER_ZONE_READS);
}

/// Measures a choice while every back end has failed.
fn measure_scan(router: &mut Router, backends: usize) {
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
    let time = nanos(200, |_| {
        let choice = router.choose(Duration::ZERO, &query);
        assert!(matches!(choice, Choice::Unavailable { .. }), "all have failed");
    });
    print("choice while all back ends fail", time / 1e3, "µs");
}
