//! Time of one placement.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use gateway::{
    backend::{Entry, Load},
    placement::{Backends, Requirements},
    request::Prompt,
};
use rand::{SeedableRng as _, rngs::StdRng};

/// Placements in one batch, and batches of which the fastest counts.
const BATCH: (u32, u32) = (200, 25);

fn engines(count: usize, zones: &[&str]) -> Vec<Entry> {
    let entry = |number: usize| Entry {
        id: format!("e{number}").into(),
        service: "s".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: zones[number % zones.len()].into(),
        slots: 64,
        draining: false,
        started_unix_ms: 1,
        sequence: 1,
    };
    (0..count).map(entry).collect()
}

fn new_backends(count: usize) -> Backends {
    let mut backends = Backends::new("h0", StdRng::seed_from_u64(1));
    backends.replace(Duration::ZERO, engines(count, &["a", "b", "c"]), false);
    for number in 0..count {
        let backend = backends.get_mut(&format!("e{number}")).expect("listed");
        backend.record_load(Duration::from_secs(1), Load { running: 5, waiting: 0 });
    }
    backends
}

/// Returns the time of one placement in the fastest batch; time passes as at 200 requests a second.
fn placement_time(backends: &mut Backends) -> Duration {
    let prompt = Prompt::new(12_000, 400, [("system", 500), ("session", 4900)]);
    let requirements = Requirements {
        service: "s",
        zone: "a",
        prompt: Some(&prompt),
        tried: &[],
        target_latency: Duration::from_secs(1),
        time_left: Duration::from_secs(15),
    };
    let mut now = Duration::from_secs(1);
    let mut best = Duration::MAX;
    for _ in 0..BATCH.1 {
        let started = Instant::now();
        for _ in 0..BATCH.0 {
            now += Duration::from_millis(5);
            black_box(backends.place(now, &requirements));
        }
        best = best.min(started.elapsed() / BATCH.0);
    }
    best
}

#[test]
fn time() {
    for count in [90, 140, 300] {
        println!("{count} engines: {:?}", placement_time(&mut new_backends(count)));
    }
}
