//! Cost of one process's timeline as its ring grows.

use std::time::Instant;

use coordination::{
    clock::Stamp,
    request::Id,
    timeline::{Entry, Query, Report, Ring, Step, merge},
};

use crate::report::{Series, memory_in_subprocess, nanos_per_run, print_memory};

/// Capacities of the ring to measure with, in events.
const RING_CAPACITIES: [usize; 3] = [1_000, 8_192, 65_536];

/// Numbers of hosts whose events are merged.
const HOST_COUNTS: [usize; 3] = [3, 50, 350];

/// Returns a full ring of `events` events.
fn full_ring(events: usize, host: &str) -> Ring {
    let mut full_ring = Ring::new(host.into(), events);
    for number in 0..events {
        full_ring.push(stamp(number), entry(number));
    }
    full_ring
}

/// Prints the memory that a full ring of `events` events uses.
pub fn memory_of(events: usize) {
    print_memory(|| full_ring(events, "host-001"));
}

fn stamp(number: usize) -> Stamp {
    Stamp { wall_ms: 1_780_000_000_000 + number as u64, logical: 0 }
}

fn entry(number: usize) -> Entry {
    Entry {
        request: Some(Id((number as u128 / 8).to_le_bytes())),
        step: Step::Settled,
        peer: format!("engine-{:04}", number % 1_000).into(),
        cause: None,
        detail: format!("tokens={number} budget=budget-0001").into(),
    }
}

/// Measures memory, and the time to record, query and merge events.
pub fn measure() {
    println!("## timeline");
    let mut bytes = Series::new("memory of a ring", "events", "B");
    let mut push = Series::new("recording one event", "events", "ns");
    let mut query = Series::new("reading one request", "events", "ns");
    let mut merged = Series::new("merging 3 hosts", "events of each", "ns");
    let mut hosts = Series::new("merging 1,000 events of each host", "hosts", "ns");
    for count in RING_CAPACITIES {
        let mut full = full_ring(count, "host-001");
        bytes.push(count, memory_in_subprocess("timeline", count));
        push.push(count, nanos_per_run(100_000, |number| full.push(stamp(number), entry(number))));
        let request = Some(Id(1u128.to_le_bytes()));
        let one = Query { request, ..Query::all() };
        query.push(count, nanos_per_run(50, |_| assert!(full.query(&one).len() <= count)));
        merged.push(count, merge_nanos(3, count));
    }
    for count in HOST_COUNTS {
        hosts.push(count, merge_nanos(count, 1_000));
    }
    [bytes, push, query, merged, hosts].iter().for_each(Series::print);
}

/// Returns the time to merge the events of `hosts` hosts, in nanoseconds.
fn merge_nanos(hosts: usize, events: usize) -> f64 {
    let report = |number: usize| {
        let host = format!("host-{number:03}");
        let events = full_ring(events, &host).query(&Query::all());
        Report { host: host.into(), events: Some(events) }
    };
    let reports: Vec<Report> = (0..hosts).map(report).collect();
    let start = Instant::now();
    let merged = merge(reports);
    let elapsed = start.elapsed().as_nanos() as f64;
    assert_eq!(merged.events.len(), hosts * events);
    elapsed
}
