//! How long engines keep parts of prompts, whether they have room, and what callers get from that.

#[path = "cache/simulation.rs"]
mod simulation;

use std::time::Duration;

use gateway::{
    cache::{Cache, Demand, FIXED_RETENTION, Memory, Traffic},
    catalog::Engine,
    request::Prompt,
};
use test_case::test_case;

use crate::simulation::{Outcome, Scenario, play};

/// Time for which a load is recorded.
const LOAD_MS: u64 = 60_000;

/// Tokens of the shared parts of a prompt, of its end and of its response.
const SHARED: u64 = 5_000;
const END: u64 = 5_000;
const OUTPUT: u64 = 500;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn prompt(session: u64, end: u64) -> Prompt {
    let (session, end) = (format!("session {session}"), format!("end {end}"));
    Prompt::new(SHARED + END, OUTPUT, [(session.as_str(), SHARED), (end.as_str(), END)])
        .with_unshared_end()
}

/// A host's part of a load.
#[derive(Debug, Clone, Copy)]
struct Load {
    interval_ms: u64,
    /// Number of sessions that take turns; 0 if none comes again.
    sessions: u64,
    request_s: u64,
}

/// Records a load and returns what is expected of it at its end.
fn demand(load: Load, memory: Memory, engines: usize) -> Demand {
    let mut traffic = Traffic::default();
    for number in 0..LOAD_MS / load.interval_ms {
        let session = number.checked_rem(load.sessions).unwrap_or(number);
        let now = at(number * load.interval_ms);
        traffic.record_sent(now, &prompt(session, number), SHARED + END);
        traffic.record_end(Duration::from_secs(load.request_s));
    }
    traffic.demand(at(LOAD_MS), memory, engines)
}

fn memory(tokens: u64, hosts: u64) -> Memory {
    Memory { tokens, slots: Some(64), hosts }
}

struct RetentionCase {
    load: Load,
    hosts: u64,
    engines: usize,
    capacity: u64,
    /// Running requests of other hosts, if known.
    others: Option<u32>,
    /// Least and greatest retention in milliseconds.
    expected_ms: (u64, u64),
}

const UNIQUE: Load = Load { interval_ms: 500, sessions: 0, request_s: 0 };

// Two prompts per second at each of ten hosts before ten engines are 20,000 tokens per second.
#[test_case(RetentionCase { load: UNIQUE, hosts: 10, engines: 10, capacity: 200_000, others: Some(0), expected_ms: (9_000, 11_000) }; "capacity over the rate")]
#[test_case(RetentionCase { load: UNIQUE, hosts: 20, engines: 10, capacity: 200_000, others: Some(0), expected_ms: (4_500, 5_500) }; "twice as many hosts")]
#[test_case(RetentionCase { load: UNIQUE, hosts: 10, engines: 20, capacity: 200_000, others: Some(0), expected_ms: (18_000, 22_000) }; "twice as many engines")]
#[test_case(RetentionCase { load: UNIQUE, hosts: 10, engines: 10, capacity: 200_000, others: Some(10), expected_ms: (4_200, 5_300) }; "running requests take half")]
#[test_case(RetentionCase { load: UNIQUE, hosts: 10, engines: 10, capacity: 200_000, others: Some(60), expected_ms: (500, 500) }; "running requests take all")]
#[test_case(RetentionCase { load: UNIQUE, hosts: 10, engines: 10, capacity: 9_000_000, others: Some(0), expected_ms: (64_000, 64_000) }; "plenty of memory")]
#[test_case(RetentionCase { load: UNIQUE, hosts: 90, engines: 2, capacity: 10_000, others: Some(0), expected_ms: (500, 500) }; "hardly any memory")]
#[test_case(RetentionCase { load: Load { interval_ms: 10_000, ..UNIQUE }, hosts: 10, engines: 10, capacity: 200_000, others: Some(0), expected_ms: (12_000, 12_000) }; "too few prompts to tell")]
// Ten sessions of one host fill 100,000 tokens in 5 s; from then on only the ends are new. With ages
// that are compared in steps, the result is somewhat below the exact 15 s.
#[test_case(RetentionCase { load: Load { sessions: 10, ..UNIQUE }, hosts: 1, engines: 1, capacity: 200_000, others: Some(0), expected_ms: (13_000, 16_000) }; "repeated sessions count once")]
// A part stays for the 8 s of its request, and then until 10,000 tokens are replaced.
#[test_case(RetentionCase { load: Load { request_s: 8, ..UNIQUE }, hosts: 10, engines: 10, capacity: 200_000, others: None, expected_ms: (9_000, 10_000) }; "parts of running requests stay")]
fn retention_follows_from_the_capacity_and_the_incoming_tokens(case: RetentionCase) {
    let demand = demand(case.load, memory(case.capacity, case.hosts), case.engines);
    let retention = Cache::default().retention(case.others, &demand);
    let (least, greatest) = case.expected_ms;
    assert!(retention >= at(least) && retention <= at(greatest), "{retention:?}");
}

#[test]
fn retention_is_the_fixed_time_until_the_load_is_known() {
    let mut traffic = Traffic::default();
    for number in 0..40 {
        traffic.record_sent(at(number * 100), &prompt(number, number), SHARED + END);
    }
    let demand = traffic.demand(at(4_000), memory(200_000, 10), 10);
    assert_eq!(Cache::default().retention(Some(0), &demand), FIXED_RETENTION);
}

struct AgreementCase {
    sessions: u64,
    hosts: u64,
    age_ms: u64,
    expected: (f64, f64),
}

// One host sends two prompts per second.
#[test_case(AgreementCase { sessions: 10, hosts: 1, age_ms: 60_000, expected: (0.0, 0.0) }; "no other host")]
#[test_case(AgreementCase { sessions: 10, hosts: 3, age_ms: 8_000, expected: (0.95, 1.0) }; "each session every five seconds")]
#[test_case(AgreementCase { sessions: 10, hosts: 3, age_ms: 2_000, expected: (0.0, 0.1) }; "a shorter time than that")]
#[test_case(AgreementCase { sessions: 0, hosts: 3, age_ms: 60_000, expected: (0.0, 0.05) }; "sessions that never come again")]
#[test_case(AgreementCase { sessions: 100, hosts: 90, age_ms: 60_000, expected: (0.9, 1.0) }; "each session every 50 seconds at one of 90 hosts")]
fn agreement_follows_from_the_own_repeated_prompts(case: AgreementCase) {
    let load = Load { sessions: case.sessions, ..UNIQUE };
    let agreement = demand(load, memory(200_000, case.hosts), 10).agreement(at(case.age_ms));
    let (least, greatest) = case.expected;
    assert!(agreement >= least && agreement <= greatest, "{agreement}");
}

#[test]
fn agreement_is_trusted_until_prompts_were_observed() {
    let demand = Traffic::default().demand(at(0), memory(200_000, 3), 10);
    assert_eq!(demand.agreement(FIXED_RETENTION), 1.0);
}

struct RoomCase {
    /// Number of this host's requests that run there, and of the other hosts'.
    own: u64,
    others: Option<u32>,
    cached: u64,
    /// Least and greatest wait in milliseconds.
    expected_ms: (u64, u64),
}

// A request needs 10,500 tokens of 105,000 and takes 4 s; the load runs eight at each engine.
#[test_case(RoomCase { own: 0, others: Some(0), cached: 0, expected_ms: (0, 0) }; "nothing runs")]
#[test_case(RoomCase { own: 9, others: Some(0), cached: 0, expected_ms: (0, 0) }; "the last that fits")]
#[test_case(RoomCase { own: 10, others: Some(0), cached: 0, expected_ms: (400, 400) }; "one must end before")]
#[test_case(RoomCase { own: 10, others: Some(0), cached: 5_000, expected_ms: (205, 215) }; "half of it is there")]
#[test_case(RoomCase { own: 4, others: Some(6), cached: 0, expected_ms: (390, 410) }; "others run too")]
#[test_case(RoomCase { own: 4, others: Some(60), cached: 0, expected_ms: (400, 400) }; "what runs fits")]
#[test_case(RoomCase { own: 4, others: None, cached: 0, expected_ms: (0, 0) }; "the usual number of others")]
fn lack_of_room_is_a_wait(case: RoomCase) {
    let load = Load { request_s: 4, ..UNIQUE };
    let demand = demand(load, memory(105_000, 10), 10);
    let mut cache = Cache::default();
    for number in 0..case.own {
        cache.record_sent(at(0), &prompt(number, number));
    }
    let next = prompt(99, 99);
    let wait = cache.room(&next, case.cached, case.others, &demand);
    let (least, greatest) = case.expected_ms;
    let wait_ms = (wait * 1000.0).round() as u64;
    assert!(wait_ms >= least && wait_ms <= greatest, "{wait} s");
    for _ in 0..case.own {
        cache.record_end(next.max_charge());
    }
    assert_eq!(cache.room(&next, case.cached, Some(0), &demand), 0.0, "all have ended");
}

#[test]
fn parts_are_expected_to_be_cached_from_the_beginning_of_the_prompt() {
    let mut cache = Cache::default();
    let prompt = Prompt::new(900, 10, [("a", 100), ("b", 200), ("c", 300)]);
    let beginning = Prompt::new(900, 10, [("a", 100)]);
    cache.record_sent(at(0), &prompt);
    cache.record_sent(at(5_000), &beginning);
    let cached = |now, retention| cache.expected_cached(at(now), &prompt, || at(retention));
    assert_eq!(cached(5_000, 6_000), 600);
    assert_eq!(cached(7_000, 6_000), 100, "only the beginning was sent again");
    assert_eq!(cached(12_000, 6_000), 0);
    let other = Prompt::new(900, 10, [("x", 100), ("b", 200)]);
    assert_eq!(cache.expected_cached(at(5_000), &other, || at(6_000)), 0, "another beginning");
    assert_eq!(cache.sent_age(at(7_000), &beginning), Some(at(2_000)));
    assert_eq!(cache.sent_age(at(7_000), &other), None);
}

#[test]
fn memory_is_known_only_with_a_capacity() {
    let engine = |capacity_tokens| Engine { event_tokens: 1, capacity_tokens, slots: None };
    assert_eq!(Memory::new(engine(None), 3), None);
    assert_eq!(Memory::new(engine(Some(0)), 3), None);
    let memory = Memory::new(engine(Some(9)), 0).expect("memory");
    assert_eq!((memory.tokens, memory.slots, memory.hosts), (9, None, 1));
}

#[test]
fn parts_that_were_sent_before_are_known_also_when_a_retry_sends_them() {
    let mut traffic = Traffic::default();
    assert_eq!(traffic.record_sent(at(0), &prompt(1, 1), SHARED + END), 0);
    assert_eq!(traffic.record_repeat(at(10), &prompt(1, 1)), SHARED);
    assert_eq!(traffic.record_sent(at(20), &prompt(1, 2), END), SHARED);
}

struct SessionsCase {
    scenario: Scenario,
    /// Greatest mean time to the first event, and greatest time that 95 % keep to, in percent of
    /// those with the fixed time.
    max_first_percent: (u64, u64),
    /// Percent of the shared tokens that may be read again beyond those with the fixed time.
    more_read_again: f64,
}

const SCENARIO: Scenario = Scenario {
    hosts: 30,
    engines: 12,
    capacity: 561_478,
    per_s: 48.0,
    sessions: 144,
    session_requests: 20.0,
    seed: 0,
};

/// Three hosts, and sessions whose requests come every 15 s.
const SPARSE: Scenario = Scenario {
    hosts: 3,
    engines: 6,
    per_s: 24.0,
    sessions: 360,
    session_requests: 8.0,
    ..SCENARIO
};

#[test_case(SessionsCase { scenario: Scenario { capacity: 2_000_000, ..SCENARIO }, max_first_percent: (102, 102), more_read_again: 0.1 }; "plenty of memory")]
#[test_case(SessionsCase { scenario: SCENARIO, max_first_percent: (102, 102), more_read_again: 0.1 }; "enough memory")]
#[test_case(SessionsCase { scenario: Scenario { capacity: 150_000, per_s: 30.0, sessions: 90, ..SCENARIO }, max_first_percent: (95, 90), more_read_again: 4.0 }; "little memory")]
#[test_case(SessionsCase { scenario: Scenario { capacity: 2_000_000, ..SPARSE }, max_first_percent: (102, 102), more_read_again: 1.0 }; "sparse sessions and plenty of memory")]
#[test_case(SessionsCase { scenario: SPARSE, max_first_percent: (102, 102), more_read_again: 1.0 }; "sparse sessions and enough memory")]
#[test_case(SessionsCase { scenario: Scenario { capacity: 150_000, per_s: 15.0, sessions: 225, ..SPARSE }, max_first_percent: (90, 75), more_read_again: 6.0 }; "sparse sessions and little memory")]
#[test_case(SessionsCase { scenario: Scenario { per_s: 30.0, sessions: 450, ..SPARSE }, max_first_percent: (70, 70), more_read_again: 0.0 }; "more than engines can read without their caches")]
fn callers_of_sessions_wait_no_longer_than_with_the_fixed_time(case: SessionsCase) {
    const SEEDS: u64 = 3;
    let mean = |is_stated| {
        let seeds = (1..=SEEDS).map(|seed| Scenario { seed, ..case.scenario });
        let outcomes: Vec<Outcome> = seeds.map(|scenario| play(&scenario, is_stated)).collect();
        let first = outcomes.iter().map(|own| own.first_ms.0).sum::<u64>() / SEEDS;
        let late = outcomes.iter().map(|own| own.first_ms.1).sum::<u64>() / SEEDS;
        let read_again = outcomes.iter().map(|own| own.read_again_percent).sum::<f64>();
        let refused: usize = outcomes.iter().map(|own| own.refused).sum();
        let answered: usize = outcomes.iter().map(|own| own.answered).sum();
        (first, late, read_again / SEEDS as f64, refused, answered)
    };
    let (fixed, stated) = (mean(false), mean(true));
    println!("fixed time {fixed:?}, stated capacity {stated:?}");
    assert!(stated.0 * 100 <= fixed.0 * case.max_first_percent.0, "{fixed:?}, {stated:?}");
    assert!(stated.1 * 100 <= fixed.1 * case.max_first_percent.1, "{fixed:?}, {stated:?}");
    assert!(stated.2 <= fixed.2 + case.more_read_again, "{fixed:?}, {stated:?}");
    assert!(stated.3 <= fixed.3, "refused: {fixed:?}, {stated:?}");
    assert!(stated.4 * 100 >= fixed.4 * 99, "answered: {fixed:?}, {stated:?}");
}
