//! Timeline of one process as its ring grows.

use std::time::Instant;

use coordination::{
    clock::Stamp,
    request::Id,
    timeline::{Entry, Query, Report, Ring, Step, merge},
};

use crate::report::{Series, memory, nanos, print_memory};

/// Events kept.
const EVENTS: [usize; 3] = [1_000, 8_192, 65_536];

/// Hosts whose events are merged.
const HOSTS: [usize; 3] = [3, 50, 350];

fn ring(events: usize, host: &str) -> Ring {
    let mut ring = Ring::new(host.into(), events);
    for number in 0..events {
        ring.push(stamp(number), entry(number));
    }
    ring
}

/// Prints the memory of a ring of so many events.
pub fn memory_of(events: usize) {
    print_memory(|| ring(events, "host-001"));
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

/// Measures memory, recording, reading and merging.
pub fn measure() {
    println!("## timeline");
    let mut bytes = Series::new("memory of a ring", "events", "B");
    let mut push = Series::new("recording one event", "events", "ns");
    let mut query = Series::new("reading one request", "events", "ns");
    let mut merged = Series::new("merging 3 hosts", "events of each", "ns");
    let mut hosts = Series::new("merging 1,000 events of each host", "hosts", "ns");
    for count in EVENTS {
        let mut full = ring(count, "host-001");
        bytes.push(count, memory("timeline", count));
        push.push(count, nanos(100_000, |number| full.push(stamp(number), entry(number))));
        let request = Some(Id(1u128.to_le_bytes()));
        let one = Query { request, ..Query::all() };
        query.push(count, nanos(50, |_| assert!(full.query(&one).len() <= count)));
        merged.push(count, merging(3, count));
    }
    for count in HOSTS {
        hosts.push(count, merging(count, 1_000));
    }
    [bytes, push, query, merged, hosts].iter().for_each(Series::print);
}

/// Returns the nanoseconds of merging the rings of some hosts.
fn merging(hosts: usize, events: usize) -> f64 {
    let report = |number: usize| {
        let host = format!("host-{number:03}");
        let events = ring(events, &host).query(&Query::all());
        Report { host: host.into(), events: Some(events) }
    };
    let reports: Vec<Report> = (0..hosts).map(report).collect();
    let start = Instant::now();
    let merged = merge(reports);
    let spent = start.elapsed().as_nanos() as f64;
    assert_eq!(merged.events.len(), hosts * events);
    spent
}
