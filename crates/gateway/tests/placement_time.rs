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
use test_case::test_case;

/// Placements in one batch; reports hold for half of them.
const BATCH: u32 = 200;

/// Batches of each kind.
const BATCHES: u32 = 41;

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
        cold_until_ms: 0,
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

/// Lets all engines have an estimate and a report; a third of them are slower.
fn measure_engines(backends: &mut Backends, count: usize, now: Duration) {
    for number in 0..count {
        let backend = backends.get_mut(&format!("e{number}")).expect("listed");
        let factor = if number % 3 == 0 { 1.3 } else { 1.0 };
        for sample in 0..200 {
            let at = now.saturating_sub(Duration::from_millis(25 * (200 - sample)));
            backend.pace.record_event_gap(at, Duration::from_millis(30).mul_f64(factor));
        }
        backend.pace.record_report(now, 150.0);
    }
}

/// Returns the time of one placement in a batch; requests arrive every 5 ms.
fn batch_time(backends: &mut Backends, start: Duration) -> Duration {
    let prompt = Prompt::new(12_000, 400, [("system", 500), ("session", 4900)]);
    let requirements = Requirements {
        service: "s",
        zone: "a",
        prompt: Some(&prompt),
        memory: None,
        tried: &[],
        target_latency: Duration::from_secs(1),
        time_left: Duration::from_secs(15),
        priority: 0,
        stream_ranks: None,
        connected: None,
    };
    let started = Instant::now();
    for number in 0..BATCH {
        let now = start + Duration::from_millis(5) * number;
        black_box(backends.place(now, &requirements));
    }
    started.elapsed() / BATCH
}

/// Guards against a placement that takes noticeably longer where the speed of all engines is known.
/// Batches of both kinds take turns, and the median of their ratios counts, so that other work on the
/// machine disturbs both alike.
#[test_case(90)]
#[test_case(140)]
#[test_case(300)]
fn known_speed_of_engines_hardly_lengthens_a_placement(count: usize) {
    let (mut unknown, mut known) = (new_backends(count), new_backends(count));
    let mut ratios = Vec::new();
    for batch in 0..BATCHES {
        let now = Duration::from_secs(10 + u64::from(batch));
        measure_engines(&mut known, count, now);
        let without = batch_time(&mut unknown, now);
        let with = batch_time(&mut known, now);
        ratios.push(with.as_secs_f64() / without.as_secs_f64());
    }
    ratios.sort_unstable_by(f64::total_cmp);
    let median = ratios[ratios.len() / 2];
    println!("{count} engines: {median:.3} times as long");
    assert!(median <= 1.2, "{count} engines: {median}, {ratios:?}");
}
