//! Placement, with the loads that it answers.

use std::{collections::HashMap, sync::Arc, time::Duration};

use gateway::{
    backend::{Entry, HealthSignal, Load},
    placement::{Backends, Decision, Requirements},
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
    }
}

fn fleet(seed: u64, entries: impl IntoIterator<Item = Entry>) -> Backends {
    let mut fleet = Backends::new(StdRng::seed_from_u64(seed));
    fleet.replace(entries.into_iter().collect(), false);
    fleet
}

fn engines() -> Vec<Entry> {
    (0..ENGINES).map(|n| entry(&format!("e{n}"), ["a", "b", "c"][n % 3], 64)).collect()
}

fn want<'a>(prompt: Option<&'a Prompt>, tried: &'a [Arc<str>]) -> Requirements<'a> {
    Requirements {
        service: "s",
        zone: "a",
        prompt,
        tried,
        target_latency: SECOND,
        time_left: 15 * SECOND,
    }
}

fn placed(fleet: &mut Backends, now: Duration, want: &Requirements<'_>) -> Option<(Arc<str>, u64)> {
    match fleet.place(now, want) {
        Decision::Send { to, prefill_tokens, .. } => Some((to.id, prefill_tokens)),
        Decision::Refuse { .. } => None,
    }
}

fn session(number: u64) -> Prompt {
    let own = format!("session {number}");
    Prompt::new(12_000, 400, [("system", 500), (own.as_str(), 4900)])
}

#[test]
fn all_hosts_send_a_session_to_the_same_engine() {
    let mut hosts: Vec<Backends> = (0..7).map(|seed| fleet(seed, engines())).collect();
    for number in 0..100 {
        let prompt = session(number);
        let mut homes: Vec<_> = hosts
            .iter_mut()
            .map(|host| placed(host, SECOND, &want(Some(&prompt), &[])).expect("an engine").0)
            .collect();
        homes.dedup();
        assert_eq!(homes.len(), 1, "session {number}");
    }
}

#[test]
fn sessions_spread_over_all_engines() {
    let mut own = fleet(1, engines());
    let mut counts: HashMap<Arc<str>, u32> = HashMap::new();
    for number in 0..600 {
        let prompt = session(number);
        let (id, _) = placed(&mut own, SECOND, &want(Some(&prompt), &[])).expect("an engine");
        *counts.entry(id).or_default() += 1;
    }
    assert_eq!(counts.len(), ENGINES);
    assert!(counts.values().all(|&count| count < 100), "{counts:?}");
}

#[test]
fn sessions_of_a_busy_home_meet_at_a_second_one() {
    let mut hosts: Vec<Backends> = (0..40).map(|seed| fleet(seed, engines())).collect();
    let prompt = session(1);
    let (home, _) = placed(&mut hosts[0], SECOND, &want(Some(&prompt), &[])).expect("an engine");
    let mut seconds: HashMap<Arc<str>, u32> = HashMap::new();
    for host in &mut hosts {
        let backend = host.get_mut(&home).expect("listed");
        backend.record_load(SECOND, Load { running: 64, waiting: 30 });
        let (id, _) = placed(host, SECOND, &want(Some(&prompt), &[])).expect("an engine");
        assert_ne!(id, home);
        *seconds.entry(id).or_default() += 1;
    }
    assert_eq!(seconds.len(), 1, "{seconds:?}");
}

/// Prompt tokens read again by seven hosts that share twelve engines, and the greatest queue.
fn play(mut pick: impl FnMut(&mut Backends, Duration, &Prompt) -> (Arc<str>, u64)) -> (u64, u64) {
    let mut rng = StdRng::seed_from_u64(5);
    let mut hosts: Vec<Backends> = (0..7).map(|seed| fleet(seed, engines())).collect();
    let mut held: HashMap<(Arc<str>, u64), Duration> = HashMap::new();
    let mut queued: HashMap<Arc<str>, u64> = HashMap::new();
    let (mut again, mut longest) = (0, 0);
    for request in 0..2000u64 {
        let now = SECOND + Duration::from_millis(50 * request);
        let number = rng.random_range(0..102);
        let prompt = session(number);
        let host = rng.random_range(0..hosts.len());
        let own = &mut hosts[host];
        let (id, unread) = pick(own, now, &prompt);
        let backend = own.get_mut(&id).expect("listed");
        backend.start_request(now, Some(&prompt), unread);
        backend.finish_prefill(unread);
        own.record_activity(now, &id);
        own.finish_request(now, &id, HealthSignal::Healthy);
        let known = held.insert((id.clone(), number), now);
        let read = if known.is_some_and(|at| now - at < 12 * SECOND) { 6600 } else { 12_000 };
        again += if known.is_some() { read - 6600 } else { 0 };
        let queue = queued.entry(id).or_default();
        *queue += read;
        longest = longest.max(*queue);
        // Each engine reads 50 tokens in a millisecond.
        queued.values_mut().for_each(|queue| *queue = queue.saturating_sub(50 * 50));
    }
    (again, longest)
}

#[test]
fn sessions_with_long_shared_prompts_are_read_again_less_than_by_load_alone() {
    let (homed, queue) =
        play(|own, now, prompt| placed(own, now, &want(Some(prompt), &[])).expect("an engine"));
    let mut turn = 0;
    let (spread, _) = play(|_, _, _| {
        turn += 1;
        (Arc::from(format!("e{}", turn % ENGINES)), 12_000)
    });
    assert!(homed * 3 < spread, "{homed} tokens read again, {spread} by turns");
    assert!(queue < 60_000, "{queue} tokens queued at one engine");
}

#[test]
fn session_leaves_a_home_whose_queue_costs_more_than_reading_again() {
    let mut own = fleet(1, engines());
    let prompt = session(1);
    let (home, _) = placed(&mut own, SECOND, &want(Some(&prompt), &[])).expect("an engine");
    for _ in 0..3 {
        own.get_mut(&home).expect("listed").start_request(SECOND, Some(&session(2)), 12_000);
    }
    let (next, unread) = placed(&mut own, SECOND, &want(Some(&prompt), &[])).expect("an engine");
    assert_ne!(next, home);
    assert_eq!(unread, 12_000, "it holds nothing of the prompt");
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
            disturb: |own, id| {
                own.get_mut(id).expect("listed").start_request(SECOND, None, 0);
                own.finish_request(SECOND, id, HealthSignal::Unreachable);
            },
        },
        Case {
            name: "requests under way hear nothing",
            disturb: |own, id| {
                let backend = own.get_mut(id).expect("listed");
                backend.start_request(Duration::ZERO, None, 0);
            },
        },
        Case {
            name: "it failed a request",
            disturb: |own, id| {
                own.get_mut(id).expect("listed").start_request(SECOND, None, 0);
                own.finish_request(SECOND, id, HealthSignal::Failed);
            },
        },
        Case {
            name: "it is full",
            disturb: |own, id| {
                let backend = own.get_mut(id).expect("listed");
                backend.record_load(SECOND, Load { running: 6, waiting: 4 });
            },
        },
        Case {
            name: "it is leaving",
            disturb: |own, id| {
                let mut list = plain();
                for entry in &mut list {
                    entry.draining = entry.id == *id;
                }
                own.replace(list, false);
            },
        },
        Case {
            name: "it is gone",
            disturb: |own, id| {
                let list = plain().into_iter().filter(|entry| entry.id != *id).collect();
                own.replace(list, false);
            },
        },
    ];
    for case in cases {
        let mut own = fleet(3, plain());
        let (first, _) = placed(&mut own, SECOND, &want(None, &[])).expect("a backend server");
        assert_eq!(&*first, "p0", "the own zone first");
        (case.disturb)(&mut own, &first);
        let (next, _) = placed(&mut own, SECOND, &want(None, &[])).expect("a backend server");
        assert_ne!(next, first, "{}", case.name);
    }
}

fn plain() -> Vec<Entry> {
    vec![entry("p0", "a", 6), entry("p1", "b", 6), entry("p2", "c", 6)]
}

#[test]
fn trouble_is_forgotten_after_a_time() {
    let mut own = fleet(3, plain());
    own.get_mut("p0").expect("listed").start_request(SECOND, None, 0);
    own.finish_request(SECOND, "p0", HealthSignal::Unreachable);
    let (next, _) = placed(&mut own, 40 * SECOND, &want(None, &[])).expect("a backend server");
    assert_eq!(&*next, "p0");
}

#[test]
fn backend_server_that_started_again_under_its_id_holds_nothing_of_before() {
    let mut own = fleet(1, engines());
    let prompt = session(1);
    let backend = own.get_mut("e1").expect("listed");
    backend.start_request(SECOND, Some(&prompt), 12_000);
    assert_eq!(own.get_mut("e1").expect("listed").uncached_tokens(SECOND, &prompt), 6600);
    let mut list = engines();
    list[1].started_unix_ms = 2;
    let changed = own.replace(list, false);
    assert_eq!(changed, [Arc::from("e1")]);
    let backend = own.get_mut("e1").expect("listed");
    assert_eq!(backend.uncached_tokens(SECOND, &prompt), 12_000);
    assert_eq!(backend.running(), 0);
}

#[test]
fn entries_that_lapsed_in_an_outage_stay_while_the_list_is_filled_again() {
    let mut own = fleet(1, plain());
    own.replace(vec![entry("p1", "b", 6)], true);
    assert!(own.get_mut("p0").is_some());
    own.replace(vec![entry("p1", "b", 6)], false);
    assert!(own.get_mut("p0").is_none());
}

#[test]
fn request_that_can_only_be_late_is_refused_at_once() {
    let mut own = fleet(1, engines());
    let prompt = session(1);
    for number in 0..ENGINES {
        let backend = own.get_mut(&format!("e{number}")).expect("listed");
        for _ in 0..20 {
            backend.start_request(SECOND, Some(&prompt), 12_000);
            backend.record_activity(SECOND);
        }
    }
    let hopeless =
        Requirements { time_left: 500 * Duration::from_millis(1), ..want(Some(&prompt), &[]) };
    assert!(matches!(own.place(SECOND, &hopeless), Decision::Refuse { .. }));
    assert!(placed(&mut own, SECOND, &want(Some(&prompt), &[])).is_some());
}

#[test]
fn nothing_goes_to_a_backend_server_that_was_tried() {
    let mut own = fleet(1, plain());
    let tried: Vec<Arc<str>> = vec!["p0".into(), "p1".into()];
    let (next, _) = placed(&mut own, SECOND, &want(None, &tried)).expect("the last one");
    assert_eq!(&*next, "p2");
    let all: Vec<Arc<str>> = vec!["p0".into(), "p1".into(), "p2".into()];
    assert!(placed(&mut own, SECOND, &want(None, &all)).is_none());
}

#[test]
fn one_backend_server_out_of_reach_puts_its_zone_in_doubt_until_another_is_heard() {
    let in_zone = |own: &mut Backends, zone: &str, now| {
        let homes = (0..100).map(|number| {
            let prompt = session(number);
            placed(own, now, &want(Some(&prompt), &[])).expect("an engine").0
        });
        let homes: Vec<Arc<str>> = homes.collect();
        let zone_of = |id: &Arc<str>| ["a", "b", "c"][id[1..].parse::<usize>().unwrap() % 3];
        homes.iter().filter(|id| zone_of(id) == zone).count()
    };
    let mut own = fleet(1, engines());
    assert!(in_zone(&mut own, "b", SECOND) > 10);
    own.record_health(SECOND, "e1", HealthSignal::Unreachable);
    let soon = SECOND + Duration::from_millis(10);
    assert_eq!(in_zone(&mut own, "b", soon), 0, "zone b may be cut off");
    own.record_activity(soon, "e4");
    assert!(in_zone(&mut own, "b", 2 * soon) > 5, "another engine there was heard");
}
