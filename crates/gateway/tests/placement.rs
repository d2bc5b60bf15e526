//! Placement of requests, and the loads for which it is made.

use std::{collections::HashMap, sync::Arc, time::Duration};

use coordination::locate::mix64;
use gateway::{
    backend::{Entry, HealthSignal, Load},
    cache::Memory,
    placement::{Backends, Decision, Excluded, Requirements},
    request::Prompt,
};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

const ENGINES: usize = 12;
const SECOND: Duration = Duration::from_secs(1);

fn entry(id: &str, zone: &str, slots: u32) -> Entry {
    Entry {
        id: id.into(),
        service: "s".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: zone.into(),
        slots,
        draining: false,
        started_unix_ms: 1,
        sequence: 1,
        cold_until_ms: 0,
    }
}

fn new_backends(seed: u64, entries: impl IntoIterator<Item = Entry>) -> Backends {
    let mut backends = Backends::new("h0", StdRng::seed_from_u64(seed));
    backends.replace(Duration::ZERO, entries.into_iter().collect(), false);
    backends
}

fn engines() -> Vec<Entry> {
    (0..ENGINES).map(|n| entry(&format!("e{n}"), ["a", "b", "c"][n % 3], 64)).collect()
}

fn requirements<'a>(prompt: Option<&'a Prompt>, tried: &'a [Arc<str>]) -> Requirements<'a> {
    Requirements {
        service: "s",
        zone: "a",
        prompt,
        memory: None,
        tried,
        target_latency: SECOND,
        time_left: 15 * SECOND,
        priority: 0,
        stream_ranks: None,
        connected: None,
    }
}

fn placed(
    backends: &mut Backends,
    now: Duration,
    requirements: &Requirements<'_>,
) -> Option<(Arc<str>, u64)> {
    match backends.place(now, requirements) {
        Decision::Send { to, prefill_tokens, .. } => Some((to.id, prefill_tokens)),
        Decision::Refuse { .. } => None,
    }
}

fn session(number: u64) -> Prompt {
    let unique_part = format!("session {number}");
    Prompt::new(12_000, 400, [("system", 500), (unique_part.as_str(), 4900)])
}

#[test]
fn all_hosts_send_a_session_to_the_same_engine() {
    let mut hosts: Vec<Backends> = (0..7).map(|seed| new_backends(seed, engines())).collect();
    for number in 0..100 {
        let prompt = session(number);
        let mut chosen: Vec<_> = hosts
            .iter_mut()
            .map(|host| {
                placed(host, SECOND, &requirements(Some(&prompt), &[])).expect("an engine").0
            })
            .collect();
        chosen.dedup();
        assert_eq!(chosen.len(), 1, "session {number}");
    }
}

/// Requirements of a request where the capacity of the engines is stated, at one of 90 hosts.
fn with_memory<'a>(prompt: &'a Prompt, tokens: u64) -> Requirements<'a> {
    let memory = Memory { tokens, slots: Some(64), hosts: 90 };
    Requirements { memory: Some(memory), ..requirements(Some(prompt), &[]) }
}

/// Sends prompts one after the other, 3 s apart, whose requests take 6 s, and returns the time after
/// the last. At 90 hosts, these are 2.5 prompts per second at each engine.
fn send_all(backends: &mut Backends, prompts: impl Iterator<Item = Prompt>) -> Duration {
    let mut now = SECOND;
    for prompt in prompts {
        let (id, prefill_tokens) =
            placed(backends, now, &with_memory(&prompt, 561_478)).expect("an engine");
        backends.get_mut(&id).expect("listed").start_request(now, Some(&prompt), prefill_tokens);
        backends.record_prompt(now, &"s".into(), &prompt, prefill_tokens, false);
        backends.get_mut(&id).expect("listed").finish_prefill(prefill_tokens);
        backends.record_activity(now, &id);
        backends.finish_prompt(&id, prompt.max_charge(), Some(6 * SECOND));
        backends.finish_request(now, &id, HealthSignal::Healthy);
        now += 3 * SECOND;
    }
    now
}

struct WaitCase {
    name: &'static str,
    /// Sessions of the prompts that the host sends before.
    sent: fn(u64) -> u64,
    /// Tokens that wait for prefill at the preferred engine.
    waiting_tokens: u64,
    stays: bool,
    /// Whether it stays if the preferred engine is always taken to have the prompt cached.
    stays_with_fixed_time: bool,
}

// The shared parts are 5,400 tokens, whose prefill takes 108 ms and delays others.
#[test]
fn preferred_engine_is_left_when_its_wait_is_worth_more_than_the_prefill_it_saves() {
    let repeated: fn(u64) -> u64 = |number| mix64(number) % 20;
    let unique: fn(u64) -> u64 = |number| number;
    let cases = [
        WaitCase {
            name: "no wait",
            sent: repeated,
            waiting_tokens: 0,
            stays: true,
            stays_with_fixed_time: true,
        },
        WaitCase {
            name: "100 ms",
            sent: repeated,
            waiting_tokens: 5_000,
            stays: true,
            stays_with_fixed_time: true,
        },
        WaitCase {
            name: "220 ms",
            sent: repeated,
            waiting_tokens: 11_000,
            stays: true,
            stays_with_fixed_time: true,
        },
        WaitCase {
            name: "300 ms",
            sent: repeated,
            waiting_tokens: 15_000,
            stays: false,
            stays_with_fixed_time: false,
        },
        WaitCase {
            name: "never sent, no wait",
            sent: unique,
            waiting_tokens: 0,
            stays: true,
            stays_with_fixed_time: true,
        },
        WaitCase {
            name: "never sent, 100 ms",
            sent: unique,
            waiting_tokens: 5_000,
            stays: true,
            stays_with_fixed_time: true,
        },
        WaitCase {
            name: "never sent, 240 ms",
            sent: unique,
            waiting_tokens: 12_000,
            stays: false,
            stays_with_fixed_time: true,
        },
    ];
    for case in cases {
        let mut backends = new_backends(1, engines());
        let now = send_all(&mut backends, (0..300).map(|number| session((case.sent)(number))));
        let prompt = session(1_000);
        let requirements = with_memory(&prompt, 561_478);
        let (preferred, _) = placed(&mut backends, now, &requirements).expect("an engine");
        let backend = backends.get_mut(&preferred).expect("listed");
        backend.start_request(now, Some(&session(2_000)), case.waiting_tokens);
        let (id, _) = placed(&mut backends, now, &requirements).expect("an engine");
        assert_eq!(id == preferred, case.stays, "{}", case.name);
        let fixed_time = Requirements { memory: None, ..requirements };
        let (id, _) = placed(&mut backends, now, &fixed_time).expect("an engine");
        assert_eq!(id == preferred, case.stays_with_fixed_time, "{}, fixed time", case.name);
    }
}

#[test]
fn prompt_leaves_an_engine_without_room_for_it() {
    let prompt = session(1);
    let mut backends = new_backends(1, engines());
    let now = send_all(&mut backends, (0..300).map(|number| session(mix64(number) % 20)));
    // Reports of load keep the usual number of other requests out of the estimate.
    for number in 0..ENGINES {
        let backend = backends.get_mut(&format!("e{number}")).expect("listed");
        backend.record_load(now, Load { running: 0, waiting: 0 });
    }
    let (preferred, _) =
        placed(&mut backends, now, &with_memory(&prompt, 40_000)).expect("an engine");
    for number in 0..3 {
        let backend = backends.get_mut(&preferred).expect("listed");
        backend.start_request(now, Some(&session(2_000 + number)), 0);
    }
    let (id, _) = placed(&mut backends, now, &with_memory(&prompt, 561_478)).expect("an engine");
    assert_eq!(id, preferred, "three requests leave room");
    let (id, _) = placed(&mut backends, now, &with_memory(&prompt, 40_000)).expect("an engine");
    assert_ne!(id, preferred, "three requests fill the memory");
    backends.finish_prompt(&preferred, session(2_000).max_charge(), None);
    let (id, _) = placed(&mut backends, now, &with_memory(&prompt, 40_000)).expect("an engine");
    assert_eq!(id, preferred, "one of them has ended");
}

#[test]
fn placement_states_what_was_saved_the_wait_and_the_alternative() {
    for memory in [None, with_memory(&session(1), 561_478).memory] {
        let mut backends = new_backends(1, engines());
        let prompt = session(1);
        let requirements = Requirements { memory, ..requirements(Some(&prompt), &[]) };
        let (preferred, prefill_tokens) =
            placed(&mut backends, SECOND, &requirements).expect("an engine");
        let backend = backends.get_mut(&preferred).expect("listed");
        backend.start_request(SECOND, Some(&prompt), prefill_tokens);
        backends.record_activity(2 * SECOND, &preferred);
        let Decision::Send { to, estimate, .. } = backends.place(2 * SECOND, &requirements) else {
            panic!("refused");
        };
        assert_eq!((&to.id, &estimate.chosen.id), (&preferred, &preferred));
        assert_eq!(estimate.chosen.saved_tokens, 5_400);
        assert_eq!(estimate.chosen.sent_age, Some(SECOND));
        assert!(estimate.chosen.wait_ms >= prefill_tokens as f64 / 50.0, "{estimate:?}");
        let alternative = estimate.alternative.expect("eleven others");
        assert_ne!(alternative.id, preferred);
        assert_eq!(alternative.sent_age, None);
        assert!(alternative.wait_ms < estimate.chosen.wait_ms, "{alternative:?}");
    }
}

#[test]
fn sessions_spread_over_all_engines() {
    let mut backends = new_backends(1, engines());
    let mut counts: HashMap<Arc<str>, u32> = HashMap::new();
    for number in 0..600 {
        let prompt = session(number);
        let (id, _) =
            placed(&mut backends, SECOND, &requirements(Some(&prompt), &[])).expect("an engine");
        *counts.entry(id).or_default() += 1;
    }
    assert_eq!(counts.len(), ENGINES);
    assert!(counts.values().all(|&count| count < 100), "{counts:?}");
}

#[test]
fn sessions_of_a_busy_engine_share_a_second_one() {
    let mut hosts: Vec<Backends> = (0..40).map(|seed| new_backends(seed, engines())).collect();
    let prompt = session(1);
    let (preferred, _) =
        placed(&mut hosts[0], SECOND, &requirements(Some(&prompt), &[])).expect("an engine");
    let mut seconds: HashMap<Arc<str>, u32> = HashMap::new();
    for host in &mut hosts {
        let backend = host.get_mut(&preferred).expect("listed");
        backend.record_load(SECOND, Load { running: 64, waiting: 30 });
        let (id, _) = placed(host, SECOND, &requirements(Some(&prompt), &[])).expect("an engine");
        assert_ne!(id, preferred);
        *seconds.entry(id).or_default() += 1;
    }
    assert_eq!(seconds.len(), 1, "{seconds:?}");
}

/// Simulates seven hosts that share twelve engines; returns the tokens for which prefill was
/// repeated and the longest queue in tokens.
fn simulate(
    mut pick: impl FnMut(&mut Backends, Duration, &Prompt) -> (Arc<str>, u64),
) -> (u64, u64) {
    let mut rng = StdRng::seed_from_u64(5);
    let mut hosts: Vec<Backends> = (0..7).map(|seed| new_backends(seed, engines())).collect();
    let mut cached_at: HashMap<(Arc<str>, u64), Duration> = HashMap::new();
    let mut queued: HashMap<Arc<str>, u64> = HashMap::new();
    let (mut repeated, mut longest) = (0, 0);
    for request in 0..2000u64 {
        let now = SECOND + Duration::from_millis(50 * request);
        let number = rng.random_range(0..102);
        let prompt = session(number);
        let host = rng.random_range(0..hosts.len());
        let backends = &mut hosts[host];
        let (id, prefill_tokens) = pick(backends, now, &prompt);
        let backend = backends.get_mut(&id).expect("listed");
        backend.start_request(now, Some(&prompt), prefill_tokens);
        backend.finish_prefill(prefill_tokens);
        backends.record_activity(now, &id);
        backends.finish_request(now, &id, HealthSignal::Healthy);
        let known = cached_at.insert((id.clone(), number), now);
        let read = if known.is_some_and(|at| now - at < 12 * SECOND) { 6600 } else { 12_000 };
        repeated += if known.is_some() { read - 6600 } else { 0 };
        let queue = queued.entry(id).or_default();
        *queue += read;
        longest = longest.max(*queue);
        // Each engine processes 50 tokens per millisecond, and requests arrive every 50 ms.
        queued.values_mut().for_each(|queue| *queue = queue.saturating_sub(50 * 50));
    }
    (repeated, longest)
}

#[test]
fn sessions_with_long_shared_prompts_need_less_prefill_than_with_round_robin() {
    let (by_preference, queue) = simulate(|backends, now, prompt| {
        placed(backends, now, &requirements(Some(prompt), &[])).expect("an engine")
    });
    let mut turn = 0;
    let (round_robin, _) = simulate(|_, _, _| {
        turn += 1;
        (Arc::from(format!("e{}", turn % ENGINES)), 12_000)
    });
    assert!(
        by_preference * 3 < round_robin,
        "{by_preference} tokens repeated, {round_robin} with round robin"
    );
    assert!(queue < 60_000, "{queue} tokens queued at one engine");
}

#[test]
fn session_leaves_an_engine_whose_queue_costs_more_than_another_prefill() {
    let mut backends = new_backends(1, engines());
    let prompt = session(1);
    let (preferred, _) =
        placed(&mut backends, SECOND, &requirements(Some(&prompt), &[])).expect("an engine");
    for _ in 0..3 {
        backends.get_mut(&preferred).expect("listed").start_request(
            SECOND,
            Some(&session(2)),
            12_000,
        );
    }
    let (next, prefill_tokens) =
        placed(&mut backends, SECOND, &requirements(Some(&prompt), &[])).expect("an engine");
    assert_ne!(next, preferred);
    assert_eq!(prefill_tokens, 12_000, "it has nothing of the prompt cached");
}

struct Case {
    name: &'static str,
    disturb: fn(&mut Backends, &Arc<str>),
}

#[test]
fn disturbed_backend_servers_get_nothing_new() {
    let cases = [
        Case {
            name: "it can't be reached",
            disturb: |backends, id| {
                backends.get_mut(id).expect("listed").start_request(SECOND, None, 0);
                backends.finish_request(SECOND, id, HealthSignal::Unreachable);
            },
        },
        Case {
            name: "requests in progress receive nothing",
            disturb: |backends, id| {
                let backend = backends.get_mut(id).expect("listed");
                backend.start_request(Duration::ZERO, None, 0);
            },
        },
        Case {
            name: "it failed a request",
            disturb: |backends, id| {
                backends.get_mut(id).expect("listed").start_request(SECOND, None, 0);
                backends.finish_request(SECOND, id, HealthSignal::Failed);
            },
        },
        Case {
            name: "it is full",
            disturb: |backends, id| {
                let backend = backends.get_mut(id).expect("listed");
                backend.record_load(SECOND, Load { running: 6, waiting: 4 });
            },
        },
        Case {
            name: "it is draining",
            disturb: |backends, id| {
                let mut list = plain_services();
                for entry in &mut list {
                    entry.draining = entry.id == *id;
                }
                backends.replace(SECOND, list, false);
            },
        },
        Case {
            name: "it is gone",
            disturb: |backends, id| {
                let list = plain_services().into_iter().filter(|entry| entry.id != *id).collect();
                backends.replace(SECOND, list, false);
            },
        },
    ];
    for case in cases {
        let mut backends = new_backends(3, plain_services());
        let (first, _) =
            placed(&mut backends, SECOND, &requirements(None, &[])).expect("a backend server");
        assert_eq!(&*first, "p0", "the host's zone first");
        (case.disturb)(&mut backends, &first);
        let (next, _) =
            placed(&mut backends, SECOND, &requirements(None, &[])).expect("a backend server");
        assert_ne!(next, first, "{}", case.name);
    }
}

fn plain_services() -> Vec<Entry> {
    vec![entry("p0", "a", 6), entry("p1", "b", 6), entry("p2", "c", 6)]
}

#[test]
fn failures_are_forgotten_after_some_time() {
    let mut backends = new_backends(3, plain_services());
    backends.get_mut("p0").expect("listed").start_request(SECOND, None, 0);
    backends.finish_request(SECOND, "p0", HealthSignal::Unreachable);
    let (next, _) =
        placed(&mut backends, 40 * SECOND, &requirements(None, &[])).expect("a backend server");
    assert_eq!(&*next, "p0");
}

#[test]
fn backend_server_that_restarted_under_its_id_has_nothing_cached() {
    let mut backends = new_backends(1, engines());
    let prompt = session(1);
    let backend = backends.get_mut("e1").expect("listed");
    backend.start_request(SECOND, Some(&prompt), 12_000);
    assert_eq!(backends.get_mut("e1").expect("listed").uncached_tokens(SECOND, &prompt), 6600);
    let mut list = engines();
    list[1].started_unix_ms = 2;
    let changed = backends.replace(SECOND, list, false);
    assert_eq!(changed, [Arc::from("e1")]);
    let backend = backends.get_mut("e1").expect("listed");
    assert_eq!(backend.uncached_tokens(SECOND, &prompt), 12_000);
    assert_eq!(backend.running(), 0);
}

#[test]
fn entries_that_expired_in_an_outage_stay_while_the_list_is_filled_again() {
    let mut backends = new_backends(1, plain_services());
    backends.replace(SECOND, vec![entry("p1", "b", 6)], true);
    assert!(backends.get_mut("p0").is_some());
    backends.replace(SECOND, vec![entry("p1", "b", 6)], false);
    assert!(backends.get_mut("p0").is_none());
}

#[test]
fn request_that_can_only_miss_its_deadline_is_refused_at_once() {
    let mut backends = new_backends(1, engines());
    let prompt = session(1);
    for number in 0..ENGINES {
        let backend = backends.get_mut(&format!("e{number}")).expect("listed");
        for _ in 0..20 {
            backend.start_request(SECOND, Some(&prompt), 12_000);
            backend.record_activity(SECOND);
        }
    }
    let too_late = Requirements {
        time_left: 500 * Duration::from_millis(1),
        ..requirements(Some(&prompt), &[])
    };
    assert!(matches!(backends.place(SECOND, &too_late), Decision::Refuse { .. }));
    assert!(placed(&mut backends, SECOND, &requirements(Some(&prompt), &[])).is_some());
}

#[test]
fn request_never_goes_to_a_backend_server_that_was_tried() {
    let mut backends = new_backends(1, plain_services());
    let tried: Vec<Arc<str>> = vec!["p0".into(), "p1".into()];
    let (next, _) =
        placed(&mut backends, SECOND, &requirements(None, &tried)).expect("the last one");
    assert_eq!(&*next, "p2");
    let all: Vec<Arc<str>> = vec!["p0".into(), "p1".into(), "p2".into()];
    assert!(placed(&mut backends, SECOND, &requirements(None, &all)).is_none());
}

#[test]
fn one_backend_server_out_of_reach_puts_its_zone_in_doubt_until_another_is_heard() {
    let in_zone = |backends: &mut Backends, zone: &str, now| {
        let chosen = (0..100).map(|number| {
            let prompt = session(number);
            placed(backends, now, &requirements(Some(&prompt), &[])).expect("an engine").0
        });
        let chosen: Vec<Arc<str>> = chosen.collect();
        let zone_of = |id: &Arc<str>| ["a", "b", "c"][id[1..].parse::<usize>().unwrap() % 3];
        chosen.iter().filter(|id| zone_of(id) == zone).count()
    };
    let mut backends = new_backends(1, engines());
    assert!(in_zone(&mut backends, "b", SECOND) > 10);
    backends.record_health(SECOND, "e1", HealthSignal::Unreachable);
    let soon = SECOND + Duration::from_millis(10);
    assert_eq!(in_zone(&mut backends, "b", soon), 0, "zone b may be partitioned off");
    backends.record_activity(soon, "e4");
    assert!(in_zone(&mut backends, "b", 2 * soon) > 5, "bytes came from another engine there");
}

#[test]
fn backend_server_that_states_that_it_is_leaving_gets_no_new_requests() {
    struct Case {
        name: &'static str,
        list_again: fn(&mut Backends),
        accepts: bool,
    }
    let cases = [
        Case { name: "its entry still says ready", list_again: |_| {}, accepts: false },
        Case {
            name: "its entry is written again",
            list_again: |backends| {
                let mut list = plain_services();
                list[0].sequence = 9;
                backends.replace(SECOND, list, false);
            },
            accepts: false,
        },
        Case {
            name: "it was unlisted meanwhile",
            list_again: |backends| {
                backends.replace(SECOND, plain_services().split_off(1), false);
                let mut list = plain_services();
                list[0].sequence = 9;
                backends.replace(2 * SECOND, list, false);
            },
            accepts: false,
        },
        Case {
            name: "another process has started under its id",
            list_again: |backends| {
                let mut list = plain_services();
                list[0].started_unix_ms = 2;
                backends.replace(SECOND, list, false);
            },
            accepts: true,
        },
    ];
    for case in cases {
        let mut backends = new_backends(3, plain_services());
        backends.get_mut("p0").expect("listed").record_leaving();
        (case.list_again)(&mut backends);
        let (next, _) = placed(&mut backends, 3 * SECOND, &requirements(None, &[])).expect("one");
        assert_eq!(&*next == "p0", case.accepts, "{}", case.name);
        assert_eq!(backends.accepts_requests(3 * SECOND, "p0"), case.accepts, "{}", case.name);
    }
}

#[test]
fn older_copy_of_the_list_takes_nothing_back() {
    struct Case {
        name: &'static str,
        /// What the hosts read of p0 before the copy is restored.
        newest: fn(&mut Vec<Entry>),
        /// What the backend server writes after that.
        rewritten: fn(&mut Vec<Entry>),
        accepts: bool,
    }
    let cases = [
        Case {
            name: "it was draining",
            newest: |list| (list[0].draining, list[0].sequence) = (true, 5),
            rewritten: |list| (list[0].draining, list[0].sequence) = (true, 6),
            accepts: false,
        },
        Case {
            name: "it was removed and doesn't write again",
            newest: |list| drop(list.remove(0)),
            rewritten: |_| {},
            accepts: false,
        },
        Case {
            name: "it was removed in an outage and writes again",
            newest: |list| drop(list.remove(0)),
            rewritten: |list| list[0].sequence = 6,
            accepts: true,
        },
    ];
    for case in cases {
        let mut copy = plain_services();
        copy[0].sequence = 4;
        let mut backends = new_backends(3, copy.clone());
        let mut newest = copy.clone();
        (case.newest)(&mut newest);
        backends.replace(SECOND, newest, false);
        backends.replace(2 * SECOND, copy.clone(), false);
        assert!(!backends.accepts_requests(2 * SECOND, "p0"), "{}: restored", case.name);
        let mut rewritten = copy;
        (case.rewritten)(&mut rewritten);
        backends.replace(3 * SECOND, rewritten, false);
        assert_eq!(backends.accepts_requests(3 * SECOND, "p0"), case.accepts, "{}", case.name);
    }
}

#[test]
fn entry_with_the_greatest_sequence_may_be_removed() {
    let odd = Entry { sequence: u64::MAX, ..entry("p9", "a", u32::MAX) };
    let mut backends = new_backends(3, vec![odd, entry("p0", "a", 6)]);
    backends.replace(SECOND, vec![entry("p0", "a", 6)], false);
    assert!(!backends.accepts_requests(SECOND, "p9"));
    assert!(backends.accepts_requests(SECOND, "p0"));
}

#[test]
fn backend_server_that_asks_for_no_requests_gets_none_and_then_one_at_first() {
    let mut backends = new_backends(3, vec![entry("p0", "a", 6)]);
    let requirements = requirements(None, &[]);
    backends.get_mut("p0").expect("listed").record_rest(SECOND, 2 * SECOND);
    for millis in [0, 400, 1000, 1999] {
        let now = SECOND + Duration::from_millis(millis);
        let Decision::Refuse { retry_after, excluded, .. } = backends.place(now, &requirements)
        else {
            panic!("placed {millis} ms after its answer");
        };
        assert_eq!(excluded.resting, 1);
        let rest = 3 * SECOND - now;
        assert!(retry_after >= rest && retry_after <= rest + SECOND / 2, "{retry_after:?}");
    }
    let end = 3 * SECOND;
    assert!(placed(&mut backends, end, &requirements).is_some());
    backends.get_mut("p0").expect("listed").start_request(end, None, 0);
    assert!(placed(&mut backends, end, &requirements).is_none(), "one request at first");
    backends.finish_request(end, "p0", HealthSignal::Healthy);
    for _ in 0..5 {
        assert!(placed(&mut backends, end, &requirements).is_some());
        backends.get_mut("p0").expect("listed").start_request(end, None, 0);
    }
}

/// Engines that are busy with long prompts were avoided as slow, and their prompts read twice.
#[test]
fn events_tell_of_slow_engines_only_where_engines_state_how_long_work_takes() {
    for states_work_time in [false, true] {
        let mut backends = new_backends(3, [entry("e0", "a", 16), entry("e1", "a", 16)]);
        for tenth in 0..80 {
            let now = SECOND + tenth * SECOND / 10;
            for (id, gap) in [("e0", 40), ("e1", 60)] {
                let backend = backends.get_mut(id).expect("listed");
                backend.pace.record_event_gap(now, Duration::from_millis(gap));
            }
        }
        let now = 9 * SECOND;
        if states_work_time {
            backends.get_mut("e0").expect("listed").pace.record_report(now, 100.0);
        }
        let prompt = session(1);
        placed(&mut backends, now, &requirements(Some(&prompt), &[]));
        let slowness = |id| backends.get_mut(id).expect("listed").pace.slowness(now);
        let is_known = ["e0", "e1"].map(slowness) != [1.0, 1.0];
        assert_eq!(is_known, states_work_time);
    }
}

#[test]
fn callers_of_resting_backend_servers_are_spread_over_some_time() {
    let mut backends = new_backends(3, vec![entry("p0", "a", 6)]);
    backends.get_mut("p0").expect("listed").record_rest(SECOND, SECOND);
    let mut returns: Vec<_> = (0..100)
        .map(|_| match backends.place(SECOND, &requirements(None, &[])) {
            Decision::Refuse { retry_after, .. } => retry_after,
            Decision::Send { .. } => panic!("placed"),
        })
        .collect();
    returns.sort();
    assert!(returns[0] >= SECOND);
    assert!(returns[75] - returns[25] > Duration::from_millis(100), "{returns:?}");
}

const SETTLED: Duration = Duration::from_secs(60);

/// A case of evacuated zones: servers `e0` to `e3` are in the zones a, a, b and c.
struct EvacuationCase {
    name: &'static str,
    evacuated: &'static [&'static str],
    disturb: fn(&mut Backends),
    /// Servers that may be chosen.
    candidates: &'static [&'static str],
    excluded: Excluded,
}

impl EvacuationCase {
    const NONE: Self = Self {
        name: "no zone",
        evacuated: &[],
        disturb: |_| {},
        candidates: &["e0", "e1", "e2", "e3"],
        excluded: Excluded { evacuated: 0, leaving: 0, resting: 0, limited: 0, cold: 0 },
    };
}

fn in_zones() -> Backends {
    let zones = ["a", "a", "b", "c"].into_iter().enumerate();
    new_backends(1, zones.map(|(number, zone)| entry(&format!("e{number}"), zone, 4)))
}

/// Requests reached backend servers of evacuated zones.
#[test]
fn backend_servers_of_evacuated_zones_get_nothing() {
    let cases = [
        EvacuationCase::NONE,
        EvacuationCase {
            name: "one zone",
            evacuated: &["a"],
            candidates: &["e2", "e3"],
            excluded: Excluded { evacuated: 2, ..Excluded::default() },
            ..EvacuationCase::NONE
        },
        EvacuationCase {
            name: "two zones",
            evacuated: &["a", "c"],
            candidates: &["e2"],
            excluded: Excluded { evacuated: 3, ..Excluded::default() },
            ..EvacuationCase::NONE
        },
        EvacuationCase { name: "an unknown zone", evacuated: &["d"], ..EvacuationCase::NONE },
        EvacuationCase {
            name: "one that is leaving, too",
            evacuated: &["a"],
            disturb: |backends| {
                backends.get_mut("e0").expect("listed").record_leaving();
                backends.get_mut("e2").expect("listed").record_leaving();
            },
            candidates: &["e3"],
            excluded: Excluded { evacuated: 2, leaving: 1, ..Excluded::default() },
        },
        EvacuationCase {
            name: "the others can't be reached",
            evacuated: &["a"],
            disturb: |backends| {
                for id in ["e2", "e3"] {
                    backends.record_health(SETTLED, id, HealthSignal::Unreachable);
                }
            },
            candidates: &[],
            excluded: Excluded { evacuated: 2, ..Excluded::default() },
        },
        EvacuationCase {
            name: "all zones",
            evacuated: &["a", "b", "c"],
            candidates: &[],
            excluded: Excluded { evacuated: 4, ..Excluded::default() },
            ..EvacuationCase::NONE
        },
    ];
    for case in cases {
        let mut backends = in_zones();
        (case.disturb)(&mut backends);
        backends.set_evacuated(SETTLED, case.evacuated.iter().map(|zone| Arc::from(*zone)));
        let mut chosen = Vec::new();
        for id in ["e0", "e1", "e2", "e3"] {
            let others = ["e0", "e1", "e2", "e3"].into_iter().filter(|other| *other != id);
            let tried: Vec<Arc<str>> = others.map(Arc::from).collect();
            let has_other = backends.has_other(SETTLED, "s", &tried);
            let (is_sent, excluded) = match backends.place(SETTLED, &requirements(None, &tried)) {
                Decision::Send { to, excluded, .. } => (&*to.id == id, excluded),
                Decision::Refuse { excluded, .. } => (false, excluded),
            };
            assert_eq!(excluded, case.excluded, "{}", case.name);
            assert_eq!(has_other, is_sent, "{}: {id}", case.name);
            chosen.extend(is_sent.then_some(id));
        }
        assert_eq!(chosen, case.candidates, "{}", case.name);
        for (id, zone) in [("e0", "a"), ("e1", "a"), ("e2", "b"), ("e3", "c")] {
            if case.evacuated.contains(&zone) {
                assert!(!backends.accepts_requests(SETTLED, id), "{}: {id}", case.name);
                assert!(!backends.may_send(SETTLED, id), "{}: {id}", case.name);
                assert!(!backends.is_in_service(id), "{}: {id}", case.name);
            }
        }
        backends.set_evacuated(2 * SETTLED, []);
        assert!(backends.accepts_requests(2 * SETTLED, "e1"), "{}: taken back", case.name);
        assert!(backends.may_send(2 * SETTLED, "e1"), "{}: taken back", case.name);
    }
}

/// A case of a refusal while zones are evacuated.
struct RefusalCase {
    name: &'static str,
    evacuated: &'static [&'static str],
    disturb: fn(&mut Backends),
    /// Shortest and longest time after which the caller may retry, in milliseconds.
    retry_after_ms: (u128, u128),
}

/// Callers were sent back for the rest or limit of a server that gets nothing after it either.
#[test]
fn refusal_beside_evacuated_zones_says_when_to_retry() {
    let rest = |backends: &mut Backends, ids: &[&str]| {
        for id in ids {
            let backend = backends.get_mut(id).expect("listed");
            backend.record_rest(SETTLED, 30 * SECOND);
        }
    };
    let cases = [
        RefusalCase {
            name: "all zones",
            evacuated: &["a", "b", "c"],
            disturb: |_| {},
            retry_after_ms: (1000, 2000),
        },
        RefusalCase {
            name: "all zones, and one would rest",
            evacuated: &["a", "b", "c"],
            disturb: |backends| {
                let backend = backends.get_mut("e0").expect("listed");
                backend.record_rest(SETTLED, Duration::from_millis(10));
            },
            retry_after_ms: (1000, 2000),
        },
        RefusalCase {
            name: "all but a zone whose server is leaving",
            evacuated: &["a", "b"],
            disturb: |backends| backends.get_mut("e3").expect("listed").record_leaving(),
            retry_after_ms: (1000, 2000),
        },
        RefusalCase {
            name: "all but a zone that can't be reached",
            evacuated: &["a", "b"],
            disturb: |backends| backends.record_health(SETTLED, "e3", HealthSignal::Unreachable),
            retry_after_ms: (500, 500),
        },
    ];
    for case in cases {
        let mut backends = in_zones();
        (case.disturb)(&mut backends);
        backends.set_evacuated(SETTLED, case.evacuated.iter().map(|zone| Arc::from(*zone)));
        let decision = backends.place(SETTLED, &requirements(None, &[]));
        let Decision::Refuse { retry_after, estimate: None, .. } = decision else {
            panic!("{}: {decision:?}", case.name);
        };
        let (least, most) = case.retry_after_ms;
        let retry_after_ms = retry_after.as_millis();
        assert!((least..=most).contains(&retry_after_ms), "{}: {retry_after_ms}", case.name);
    }
    let mut backends = in_zones();
    rest(&mut backends, &["e2", "e3"]);
    backends.set_evacuated(SETTLED, [Arc::from("a")]);
    let decision = backends.place(SETTLED, &requirements(None, &[]));
    let Decision::Refuse { retry_after, .. } = decision else { panic!("{decision:?}") };
    assert!(retry_after >= 30 * SECOND, "the others rest: {retry_after:?}");
}

/// A stream waited for the confirmation of its end by a server that may not be asked.
#[test]
fn backend_server_beside_evacuated_ones_is_the_only_one() {
    let mut backends = in_zones();
    assert!(!backends.is_only("s", "e2"));
    backends.set_evacuated(SETTLED, ["a", "c"].map(Arc::from));
    assert!(backends.is_only("s", "e2"));
    assert!(!backends.is_only("s", "e0"), "e2 can be asked");
    backends.set_evacuated(SETTLED, ["a", "b", "c"].map(Arc::from));
    assert!(backends.is_only("s", "e0"), "one whose stream goes on");
    backends.set_evacuated(SETTLED, []);
    assert!(!backends.is_only("s", "e2"));
}

/// The time since when a zone is evacuated began anew with each read.
#[test]
fn evacuation_that_goes_on_keeps_its_beginning() {
    let mut backends = in_zones();
    backends.set_evacuated(SECOND, [Arc::from("a")]);
    backends.set_evacuated(2 * SECOND, ["a", "b"].map(Arc::from));
    let since: Vec<_> = backends.evacuated().values().copied().collect();
    assert_eq!(since, [SECOND, 2 * SECOND]);
}
