//! Hybrid clock and timeline, also with wall clocks that are wrong.

use std::{collections::BTreeMap, sync::Arc};

use coordination::{
    clock::{Hybrid, MAX_SKEW_MS, Stamp},
    request::Id,
    timeline::{Entry, Event, MAX_DETAIL_BYTES, Merged, Query, Report, Ring, Step, merge},
};
use proptest::{prelude::*, test_runner::RngSeed};
use test_case::test_case;

const NOW_MS: u64 = 1_780_000_000_000;

fn stamp(wall_ms: u64, logical: u32) -> Stamp {
    Stamp { wall_ms, logical }
}

/// Receipt of a remote stamp, and the stamp that the clock returns.
struct MergeCase {
    last: Stamp,
    wall_ms: u64,
    remote: Stamp,
    expected: Stamp,
}

#[test_case(MergeCase { last: stamp(5, 0), wall_ms: 9, remote: stamp(7, 3), expected: stamp(9, 0) }; "wall clock is ahead")]
#[test_case(MergeCase { last: stamp(5, 0), wall_ms: 6, remote: stamp(7, 3), expected: stamp(7, 4) }; "remote is ahead")]
#[test_case(MergeCase { last: stamp(8, 2), wall_ms: 6, remote: stamp(7, 3), expected: stamp(8, 3) }; "last is ahead")]
#[test_case(MergeCase { last: stamp(8, 2), wall_ms: 8, remote: stamp(8, 9), expected: stamp(8, 10) }; "same millisecond")]
#[test_case(MergeCase { last: stamp(5, 0), wall_ms: 6, remote: stamp(6 + MAX_SKEW_MS, 1), expected: stamp(6 + MAX_SKEW_MS, 2) }; "remote at the maximum skew")]
#[test_case(MergeCase { last: stamp(5, 0), wall_ms: 6, remote: stamp(7 + MAX_SKEW_MS, 1), expected: stamp(6, 0) }; "remote past the maximum skew")]
#[test_case(MergeCase { last: stamp(5, 0), wall_ms: 6, remote: stamp(u64::MAX, u32::MAX), expected: stamp(6, 0) }; "greatest remote stamp")]
#[test_case(MergeCase { last: stamp(9, 4), wall_ms: 2, remote: stamp(0, 0), expected: stamp(9, 5) }; "wall clock went back")]
#[test_case(MergeCase { last: stamp(9, u32::MAX), wall_ms: 9, remote: stamp(0, 0), expected: stamp(10, 0) }; "logical counter is full")]
fn clock_merges_a_remote_stamp(case: MergeCase) {
    let mut clock = Hybrid::default();
    let before = match case.last.logical {
        0 => stamp(case.last.wall_ms.saturating_sub(1), 0),
        logical => stamp(case.last.wall_ms, logical - 1),
    };
    assert_eq!(clock.merge(case.last.wall_ms, before), case.last);
    assert_eq!(clock.merge(case.wall_ms, case.remote), case.expected);
}

/// Process whose wall clock may be wrong.
struct Process {
    clock: Hybrid,
    ring: Ring,
    host: Arc<str>,
    /// Offset of the wall clock from the true time.
    offset_ms: i64,
}

impl Process {
    fn new(number: usize, offset_ms: i64) -> Self {
        let host: Arc<str> = Arc::from(format!("h{number}"));
        Self { clock: Hybrid::default(), ring: Ring::new(host.clone(), 10_000), host, offset_ms }
    }

    fn wall_ms(&self, now: u64) -> u64 {
        now.saturating_add_signed(self.offset_ms)
    }

    fn send(&mut self, now: u64, id: u64) -> Stamp {
        let wall_ms = self.wall_ms(now);
        let stamp = self.clock.tick(wall_ms);
        self.ring.push(stamp, entry(Step::TransferSent, "", None, id));
        stamp
    }

    fn receive(&mut self, now: u64, id: u64, from: &str, cause: Stamp) {
        let wall_ms = self.wall_ms(now);
        let stamp = self.clock.merge(wall_ms, cause);
        self.ring.push(stamp, entry(Step::TransferReceived, from, Some(cause), id));
    }

    fn report(&self) -> Report {
        Report { host: self.host.clone(), events: Some(self.ring.query(&Query::all())) }
    }
}

fn entry(step: Step, peer: &str, cause: Option<Stamp>, id: u64) -> Entry {
    Entry { request: None, step, peer: peer.into(), cause, detail: id.to_string().into() }
}

/// Sends messages between processes, each given by sender, receiver and delay in milliseconds, and
/// returns the reports of the processes.
fn simulate(offsets: &[i64], messages: &[(usize, usize, u64)]) -> Vec<Report> {
    let mut processes: Vec<Process> =
        offsets.iter().enumerate().map(|(number, offset)| Process::new(number, *offset)).collect();
    let mut now = NOW_MS;
    for (id, (from, to, delay)) in messages.iter().enumerate() {
        let (from, to) = (from % processes.len(), to % processes.len());
        let cause = processes[from].send(now, id as u64);
        now += delay;
        let sender = processes[from].host.clone();
        if from != to {
            processes[to].receive(now, id as u64, &sender, cause);
        }
    }
    processes.iter().map(Process::report).collect()
}

/// Counts the receipts before their sending, and the events out of their host's order.
fn count_violations(events: &[Event]) -> usize {
    let mut sent = BTreeMap::new();
    let mut last = BTreeMap::new();
    let mut count = 0;
    for event in events {
        let before = last.insert(event.host.clone(), event.sequence);
        count += usize::from(before.is_some_and(|before| before > event.sequence));
        match event.step {
            Step::TransferSent => _ = sent.insert(event.detail.clone(), ()),
            _ => count += usize::from(!sent.contains_key(&event.detail)),
        }
    }
    count
}

/// Sorts all events by stamp, without regard to their causes.
fn sort_by_stamp(reports: Vec<Report>) -> Vec<Event> {
    let mut events: Vec<Event> =
        reports.into_iter().flat_map(|report| report.events.unwrap_or_default()).collect();
    events.sort_by_key(|event| event.stamp);
    events
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..Default::default()
    })]

    #[test]
    fn merged_events_are_in_causal_order(
        offsets in proptest::collection::vec(-7_200_000..7_200_000i64, 2..6),
        messages in proptest::collection::vec((0..6usize, 0..6usize, 0..50u64), 1..60),
    ) {
        let reports = simulate(&offsets, &messages);
        let count: usize =
            reports.iter().map(|report| report.events.as_ref().map_or(0, Vec::len)).sum();
        let merged = merge(reports);
        prop_assert_eq!(merged.events.len(), count);
        prop_assert_eq!(count_violations(&merged.events), 0);
    }

    #[test]
    fn order_by_stamp_is_causal_within_the_maximum_skew(
        offsets in proptest::collection::vec(0..MAX_SKEW_MS as i64, 2..6),
        messages in proptest::collection::vec((0..6usize, 0..6usize, 0..50u64), 1..60),
    ) {
        prop_assert_eq!(count_violations(&sort_by_stamp(simulate(&offsets, &messages))), 0);
    }
}

#[test]
fn order_by_stamp_is_not_causal_with_a_wrong_clock() {
    let reports = simulate(&[0, 3_600_000, -3_600_000], &[(1, 0, 1), (0, 2, 1), (2, 1, 1)]);
    assert!(count_violations(&sort_by_stamp(reports.clone())) > 0);
    assert_eq!(count_violations(&merge(reports).events), 0);
}

#[test]
fn clock_ignores_a_stamp_past_the_maximum_skew() {
    let mut wrong = Process::new(0, 3_600_000);
    let mut right = Process::new(1, 0);
    let cause = wrong.send(NOW_MS, 1);
    right.receive(NOW_MS + 1, 1, "h0", cause);
    assert_eq!(right.clock.tick(NOW_MS + 2), stamp(NOW_MS + 2, 0));
}

#[test]
fn merge_lists_hosts_without_a_report_once() {
    let mut reports = simulate(&[0, 0], &[(0, 1, 1)]);
    let silent = |host: &str| Report { host: host.into(), events: None };
    reports.extend([silent("z"), silent("c"), silent("z")]);
    let Merged { events, missing } = merge(reports);
    assert_eq!(events.len(), 2);
    assert_eq!(missing, [Arc::from("c"), Arc::from("z")]);
}

/// Two reports with events that name each other as cause have no causal order; none may be lost.
#[test]
fn merge_keeps_all_events_of_contradictory_reports() {
    let event = |host: &str, peer: &str| Event {
        stamp: stamp(5, 0),
        host: host.into(),
        sequence: 1,
        request: None,
        step: Step::Accepted,
        peer: peer.into(),
        cause: Some(stamp(5, 0)),
        detail: "".into(),
    };
    let report = |host: &str, peer: &str| Report {
        host: host.into(),
        events: Some(vec![event(host, peer)]),
    };
    assert_eq!(merge([report("a", "b"), report("b", "a")]).events.len(), 2);
}

#[test]
fn ring_keeps_the_newest_events() {
    let mut ring = Ring::new("a".into(), 3);
    for id in 0..10 {
        ring.push(stamp(id, 0), entry(Step::Accepted, "", None, id));
    }
    let events = ring.query(&Query::all());
    let sequences: Vec<u64> = events.iter().map(|event| event.sequence).collect();
    assert_eq!(sequences, [8, 9, 10]);
    assert_eq!(ring.len(), 3);
}

#[test]
fn long_detail_is_truncated_at_a_character_boundary() {
    let mut ring = Ring::new("a".into(), 3);
    let detail: Arc<str> = Arc::from(format!("x{}", "é".repeat(MAX_DETAIL_BYTES)));
    let entry = Entry { detail, ..entry(Step::Accepted, "", None, 0) };
    ring.push(stamp(1, 0), entry);
    let truncated = &ring.query(&Query::all())[0].detail;
    assert_eq!(truncated.len(), MAX_DETAIL_BYTES - 1);
}

/// Query, and the sequence numbers of the events that it returns.
struct QueryCase {
    query: Query,
    expected: &'static [u64],
}

fn query(request: Option<u8>, from_ms: u64, until_ms: u64, limit: usize) -> Query {
    Query { request: request.map(|byte| Id([byte; 16])), from_ms, until_ms, limit }
}

#[test_case(QueryCase { query: query(None, 0, u64::MAX, 99), expected: &[1, 2, 3, 4, 5, 6] }; "all")]
#[test_case(QueryCase { query: query(Some(1), 0, u64::MAX, 99), expected: &[2, 4, 6] }; "by request")]
#[test_case(QueryCase { query: query(None, 2, 4, 99), expected: &[3, 4, 5] }; "by time")]
#[test_case(QueryCase { query: query(Some(0), 1, 4, 99), expected: &[3, 5] }; "by request and time")]
#[test_case(QueryCase { query: query(None, 0, u64::MAX, 2), expected: &[5, 6] }; "the newest")]
#[test_case(QueryCase { query: query(Some(7), 0, u64::MAX, 99), expected: &[] }; "unknown request")]
#[test_case(QueryCase { query: query(None, 5, 2, 99), expected: &[] }; "end before start")]
fn query_selects_events_by_request_time_and_limit(case: QueryCase) {
    let mut ring = Ring::new("a".into(), 99);
    for id in 0..6u64 {
        let request = Some(Id([id as u8 % 2; 16]));
        ring.push(stamp(id, 0), Entry { request, ..entry(Step::Accepted, "", None, id) });
    }
    let events = ring.query(&case.query);
    let sequences: Vec<u64> = events.iter().map(|event| event.sequence).collect();
    assert_eq!(sequences, case.expected);
}

#[test]
fn steps_parse_from_their_displayed_names() {
    let steps = [Step::Started, Step::FirstToken, Step::TransferReceived, Step::PlatformFound];
    for step in steps {
        assert_eq!(step.to_string().parse::<Step>().ok(), Some(step));
    }
    assert_eq!(Step::FirstToken.to_string(), "first_token");
    assert!("FirstToken".parse::<Step>().is_err());
}
