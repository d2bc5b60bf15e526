//! Tests of hosts that miss cache events of a backend server.

#[path = "common/single_host.rs"]
mod single_host;

use std::{sync::Arc, time::Duration};

use coordination::{
    host::{
        Host,
        action::Action,
        event::{CacheChange, Event, Load},
    },
    table::{Op, Outcome, Row},
};

const SECOND: Duration = Duration::from_secs(1);

fn rows() -> Vec<Row> {
    let backend = serde_json::json!({
        "kind": "backend", "version": 2, "name": "engine", "address": "http://127.0.0.1:1",
        "zone": "a", "slots": 8, "models": [{ "name": "assess" }],
    });
    let route = serde_json::json!({
        "kind": "route", "version": 2, "name": "chat", "backends": ["engine"], "idempotent": true,
        "class": "normal", "model": { "name": "assess" }, "max_tokens": 100, "timeout_ms": 1000,
    });
    let row = |key: &str, value: serde_json::Value| Row {
        key: key.into(),
        value: Some(value.to_string().into()),
        revision: 1,
    };
    vec![row("config/backend/engine", backend), row("config/route/chat", route)]
}

/// Handles an event and returns the backend servers whose cache events are to be read in full.
fn step(host: &mut Host, now: Duration, event: Event) -> Vec<Arc<str>> {
    let mut events = vec![event];
    let mut resyncs = Vec::new();
    while let Some(event) = events.pop() {
        let mut actions = Vec::new();
        host.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::ResyncCache { backend } => resyncs.push(backend),
                Action::Table { operation, op: Op::Changes { after: 0, .. } } => {
                    let outcome = Outcome::Changes { rows: rows(), through: 1 };
                    events.push(Event::Table { operation, outcome });
                }
                _ => {}
            }
        }
    }
    resyncs
}

fn host() -> Host {
    let mut host = single_host::new_host(&"host".into(), &"a".into());
    step(&mut host, SECOND, Event::Tick);
    host
}

fn cache(after: u64, numbers: &[u64], next: u64) -> Event {
    let change = |&number| CacheChange {
        number,
        model: "assess".into(),
        prefix: format!("{number:016x}").into(),
        cached: true,
    };
    let changes = numbers.iter().map(change).collect();
    Event::Cache { backend: "engine".into(), after, changes, next }
}

fn load() -> Event {
    let load = Load { queued: 0, running: 0, slots: 8, at_ms: 0, age_ms: 0, leaving: false };
    Event::Load { backend: "engine".into(), load: Some(load) }
}

/// After a gap or a restart, the index of cached prefixes differs from the cache of the backend
/// server until all events are read.
#[test]
fn gap_or_restart_causes_one_full_read_of_the_cache_events() {
    struct Case {
        name: &'static str,
        event: Event,
        resync: bool,
    }
    let cases = [
        Case { name: "in order", event: cache(2, &[3, 4], 4), resync: false },
        Case { name: "already received", event: cache(1, &[2], 2), resync: false },
        Case { name: "read in full", event: cache(0, &[1, 9], 9), resync: false },
        Case { name: "first lost", event: cache(2, &[4], 4), resync: true },
        Case { name: "one within lost", event: cache(2, &[3, 5], 5), resync: true },
        Case { name: "last lost", event: cache(2, &[3], 4), resync: true },
        Case { name: "all lost", event: cache(2, &[], 4), resync: true },
        Case {
            name: "read after a number not received yet",
            event: cache(6, &[7], 7),
            resync: true,
        },
        Case { name: "restarted without events", event: cache(2, &[], 0), resync: true },
        Case { name: "restarted with events", event: cache(2, &[], 1), resync: true },
    ];
    for Case { name, event, resync } in cases {
        let mut host = host();
        assert_eq!(step(&mut host, SECOND, cache(0, &[1, 2], 2)).len(), 0, "{name}");
        assert_eq!(step(&mut host, SECOND, event).len(), usize::from(resync), "{name}");
        assert_eq!(step(&mut host, SECOND, load()).len(), 0, "{name}: requested twice");
    }
}

#[test]
fn full_reads_are_spaced_if_events_keep_getting_lost() {
    let mut host = host();
    step(&mut host, SECOND, cache(0, &[1, 2], 2));
    let mut resyncs = 0;
    for second in 1..=120 {
        let now = SECOND * second;
        let last = u64::from(second) * 2;
        let (lost, full) = (cache(last, &[last + 2], last + 2), cache(0, &[last + 2], last + 2));
        let requested = step(&mut host, now, lost).len() + step(&mut host, now, load()).len();
        resyncs += requested;
        if requested > 0 {
            step(&mut host, now, full);
        }
    }
    assert_eq!(resyncs, 4, "one every 30 s");
}
