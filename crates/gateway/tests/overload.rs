//! Capacity of a host, and what callers get when one of them sends a small host too much.

use std::time::Duration;

use gateway::overload::{Capacity, Overload};

const SMALL: Capacity = Capacity { link_mbps: 20.0, memory_bytes: 88_000_000, descriptors: 4_100 };

#[test]
fn limits_follow_from_the_resources() {
    struct Case {
        name: &'static str,
        capacity: Capacity,
        pending: usize,
        connections: usize,
    }
    let cases = [
        Case { name: "small host", capacity: SMALL, pending: 60, connections: 1611 },
        Case {
            name: "slow link",
            capacity: Capacity { link_mbps: 1.0, ..SMALL },
            pending: 16,
            connections: 1611,
        },
        Case {
            name: "few descriptors",
            capacity: Capacity { descriptors: 1_000, ..SMALL },
            pending: 60,
            connections: 450,
        },
        Case {
            name: "hardly any memory",
            capacity: Capacity { memory_bytes: 1, ..SMALL },
            pending: 60,
            connections: 64,
        },
    ];
    for case in cases {
        let limits = (case.capacity.max_pending(), case.capacity.max_connections());
        assert_eq!(limits, (case.pending, case.connections), "{}", case.name);
    }
}

#[test]
fn host_that_goes_on_refusing_is_not_ready_for_a_while() {
    let mut overload = Overload::new(Capacity { link_mbps: 1.0, ..SMALL });
    let at = Duration::from_millis;
    for _ in 0..16 {
        assert!(overload.try_begin(at(0)));
    }
    assert!(overload.is_ready(at(0)) && !overload.sheds_connections(at(0)));
    for millis in (1000..3000).step_by(100) {
        assert!(!overload.try_begin(at(millis)));
        assert!(overload.sheds_connections(at(millis)));
        assert_eq!(overload.is_ready(at(millis)), millis < 1200, "{millis} ms");
    }
    overload.end();
    assert!(overload.try_begin(at(3000)), "one response has begun");
    assert!(!overload.sheds_connections(at(3600)), "the overload is over");
    assert!(!overload.is_ready(at(7100)), "its callers have time to find other hosts");
    assert!(overload.is_ready(at(7200)));
}

#[test]
fn host_with_too_many_connections_refuses_requests() {
    let mut overload = Overload::new(SMALL);
    for _ in 0..1611 {
        overload.open_connection();
    }
    assert!(overload.try_begin(Duration::ZERO));
    assert!(overload.sheds_connections(Duration::ZERO), "crowded");
    overload.open_connection();
    assert!(!overload.try_begin(Duration::ZERO));
    overload.close_connection();
    assert!(overload.try_begin(Duration::ZERO));
}

/// Bytes that a request moves over the link in each direction: its body, and parts of its response.
const REQUEST_BYTES: f64 = 6_000.0;

/// Time within which a response should begin.
const TARGET_MS: f64 = 500.0;

/// Time that an engine takes until its response begins.
const ENGINE_MS: f64 = 80.0;

/// Plays one caller that sends a host `per_s` requests for 10 s, over a link that carries them one
/// after the other; a refused request goes to another host, which has room. Returns the share of
/// requests whose response began in time.
fn share_in_time(capacity: Capacity, per_s: usize) -> f64 {
    let bytes_per_ms = SMALL.link_mbps * 1e6 / 8.0 / 1000.0;
    let mut overload = Overload::new(capacity);
    let mut link_free_at = 0.0_f64;
    let mut ends: Vec<f64> = Vec::new();
    let mut in_time = 0;
    let count = per_s * 10;
    for number in 0..count {
        let now_ms = number as f64 * 1000.0 / per_s as f64;
        ends.retain(|end| {
            if *end <= now_ms {
                overload.end();
            }
            *end > now_ms
        });
        let wait_ms = (link_free_at - now_ms).max(0.0);
        if !overload.try_begin(Duration::from_secs_f64(now_ms / 1000.0)) {
            // The refusal waits for the link as well, and the retry takes some milliseconds.
            let latency = wait_ms + 50.0 + ENGINE_MS;
            in_time += usize::from(latency <= TARGET_MS);
            continue;
        }
        link_free_at = link_free_at.max(now_ms) + REQUEST_BYTES / bytes_per_ms;
        let latency = link_free_at - now_ms + ENGINE_MS;
        ends.push(now_ms + latency);
        in_time += usize::from(latency <= TARGET_MS);
    }
    in_time as f64 / count as f64
}

#[test]
fn callers_of_a_small_host_are_served_in_time_whatever_one_of_them_sends() {
    let unlimited =
        Capacity { link_mbps: 1e6, memory_bytes: u64::MAX, descriptors: u64::MAX / 100 };
    for per_s in [200, 400, 600, 1000] {
        let limited = share_in_time(SMALL, per_s);
        assert!(limited > 0.99, "{per_s} requests a second: {limited}");
    }
    let naive = share_in_time(unlimited, 600);
    assert!(naive < 0.5, "without a limit all requests wait for the link: {naive}");
}

#[test]
fn refused_bodies_are_read_at_length_only_up_to_the_capacity() {
    let mut overload = Overload::new(SMALL);
    for _ in 0..SMALL.max_pending() {
        assert!(overload.can_discard(Duration::ZERO));
        overload.begin_discard();
    }
    assert!(!overload.can_discard(Duration::ZERO));
    assert!(overload.try_begin(Duration::ZERO), "requests are served as before");
    overload.end_discard();
    assert!(overload.can_discard(Duration::ZERO));
}

/// Bodies of requests exceeded the memory of a host.
#[test]
fn bodies_are_held_only_up_to_a_part_of_the_memory() {
    let mut overload = Overload::new(Capacity { memory_bytes: 10_000_000, ..SMALL });
    let held = (0..10).filter(|_| overload.try_hold_body(1_000_000)).count();
    assert_eq!((held, overload.body_bytes()), (4, 4_000_000));
    overload.release_body(1_000_000);
    assert!(!overload.try_hold_body(1_000_001));
    assert!(overload.try_hold_body(1_000_000));
    overload.release_body(4_000_000);
    assert!(overload.try_hold_body(20_000_000), "an idle host");
    assert!(!overload.try_hold_body(1));
    assert!(overload.try_hold_body(0), "a request without a body");
}
