//! Edge cases that random histories rarely reach.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use coordination::{
    escrow::{self, Grant},
    holder::{Action, Event, Holder, Peer, Reason, Settings},
    journal::{Replica, Writer},
    ledger::Reconciler,
    message::{Entry, Message},
    recovery,
    request::Class,
    table::Op,
};
use test_case::test_case;

use crate::{
    fleet::{Fleet, ReserveResult, budget, id},
    table::{Fault, Table},
};

const SECOND: Duration = Duration::from_secs(1);
const MILLI: Duration = Duration::from_millis(1);

fn peer(id: &str, zone: &str) -> Peer {
    let host = id.split('.').next().unwrap_or(id);
    Peer { id: id.into(), host: host.into(), zone: zone.into(), reachable: true }
}

/// Gives a writer these peers and returns the ensemble that it proposes once they have copies.
fn propose(writer: &mut Writer, now: Duration, peers: &[Peer]) -> Vec<Arc<str>> {
    writer.set_peers(peers.to_vec());
    writer.propose(now);
    writer.advance(now, &mut Vec::new());
    for peer in peers {
        writer.acknowledge(now, &peer.id, writer.state().through());
    }
    writer.propose(now).expect("an ensemble")
}

#[test]
fn entry_needs_both_ensembles_during_a_change() {
    let mut writer = Writer::new("a.1".into(), "x".into());
    let first = propose(&mut writer, MILLI, &[peer("b.1", "y")]);
    writer.set_committed(first);
    let second = propose(&mut writer, 2 * MILLI, &[peer("c.1", "y")]);
    assert_eq!(second, [Arc::from("c.1")]);
    writer.begin_change(second.clone());
    let entry = writer.append(Entry::Release { request: id(1) });
    writer.advance(3 * MILLI, &mut Vec::new());
    writer.acknowledge(3 * MILLI, &"c.1".into(), entry);
    writer.advance(SECOND, &mut Vec::new());
    assert!(writer.durable() < entry, "the committed ensemble lacks it");
    writer.set_committed(second);
    writer.advance(SECOND, &mut Vec::new());
    assert_eq!(writer.durable(), entry);
}

/// An entry is durable although `b.1` lacks it, and then the other member can't be reached. Guards
/// against an ensemble of `b.1` alone, since a recovery asks no other process.
#[test]
fn ensemble_is_not_shrunk_to_a_member_that_lacks_durable_entries() {
    let mut writer = Writer::new("a.1".into(), "x".into());
    let first = propose(&mut writer, MILLI, &[peer("b.1", "y"), peer("c.1", "x")]);
    assert_eq!(first.len(), 2);
    writer.set_committed(first);
    let entry = writer.append(Entry::Release { request: id(1) });
    writer.advance(2 * MILLI, &mut Vec::new());
    writer.acknowledge(3 * MILLI, &"c.1".into(), entry);
    writer.advance(SECOND, &mut Vec::new());
    assert_eq!(writer.durable(), entry, "the other member isn't waited for");
    writer.set_peers(vec![peer("b.1", "y")]);
    assert_eq!(writer.propose(SECOND), None);
    writer.acknowledge(SECOND, &"b.1".into(), entry);
    assert_eq!(writer.propose(SECOND), Some(vec!["b.1".into()]));
}

/// A single holder with a table and with replicas that may stop acknowledging.
struct Harness {
    holder: Holder,
    table: Table,
    replicas: BTreeMap<Arc<str>, Replica>,
    /// Hosts whose replicas don't acknowledge.
    silent: BTreeSet<&'static str>,
    /// Fault of all commits; [`Fault::Refused`] applies to reads as well.
    fault: Option<Fault>,
    now: Duration,
    /// Messages that were sent, except those to replicas.
    sent: Vec<Message>,
    /// Actions other than messages and operations on the table.
    results: Vec<Action>,
}

impl Harness {
    fn new() -> Self {
        let settings = Settings { id: "a.1".into(), host: "a".into(), zone: "x".into(), seed: 5 };
        let mut harness = Self {
            holder: Holder::new(settings),
            table: Table::default(),
            replicas: BTreeMap::new(),
            silent: BTreeSet::new(),
            fault: None,
            now: Duration::ZERO,
            sent: Vec::new(),
            results: Vec::new(),
        };
        let record = budget("p", &[("t", 1000)], 100, false);
        let text =
            coordination::record::render(&coordination::record::Record::Budget(record.clone()));
        harness.table.put("config/budget/p", text);
        harness.handle(Event::Peers(vec![peer("b.1", "y")]));
        harness.handle(Event::Budget(record));
        harness.run_ticks(20);
        harness
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.holder.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Table { id, op } => {
                    let commit = matches!(op, Op::Commit(_));
                    let fault = self.fault.filter(|fault| commit || *fault == Fault::Refused);
                    let outcome = self.table.run(&op, fault);
                    self.handle(Event::Table { id, outcome });
                }
                Action::Send { to, message: Message::Append(append) } => {
                    if self.silent.contains(&*to) {
                        continue;
                    }
                    let message = self.replicas.entry(to.clone()).or_default().append(append);
                    let from = format!("{to}.1").into();
                    self.handle(Event::Message { from, message });
                }
                Action::Send { message, .. } => self.sent.push(message),
                action => self.results.push(action),
            }
        }
    }

    fn run_ticks(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.now += 50 * MILLI;
            self.handle(Event::Tick);
        }
    }

    fn reserve(&mut self, request: u64, tokens: u64, class: Class) {
        self.handle(Event::Reserve(coordination::holder::Reserve {
            request: id(request),
            budget: "p".into(),
            tokens,
            class,
            backend: "engine".into(),
        }));
    }

    fn is_reserved(&self, request: u64) -> bool {
        self.results.contains(&Action::Reserved { request: id(request) })
    }

    fn sent_transfers(&self) -> usize {
        self.sent.iter().filter(|message| matches!(message, Message::Transfer { .. })).count()
    }
}

#[test]
fn transfer_waits_until_its_debit_is_durable() {
    let mut harness = Harness::new();
    harness.reserve(1, 10, Class::Normal);
    harness.run_ticks(5);
    assert!(harness.is_reserved(1));
    harness.silent.insert("b");
    let message = Message::TransferAsk { budget: "p".into(), tokens: 20, class: Class::Urgent };
    harness.handle(Event::Message { from: "b.1".into(), message });
    harness.run_ticks(20);
    assert_eq!(harness.sent_transfers(), 0);
    harness.silent.clear();
    harness.run_ticks(60);
    assert!(harness.sent_transfers() > 0);
}

#[test]
fn unreplicated_reservation_is_refused_and_its_tokens_are_freed() {
    let mut harness = Harness::new();
    harness.reserve(1, 10, Class::Normal);
    harness.run_ticks(5);
    let available = harness.holder.available("p");
    harness.silent.insert("b");
    harness.reserve(2, 10, Class::Normal);
    harness.run_ticks(30);
    assert!(!harness.is_reserved(2));
    let refused = |action: &Action| matches!(action, Action::Refused { request, reason: Reason::Unreplicated, .. } if *request == id(2));
    assert!(harness.results.iter().any(refused));
    assert_eq!(harness.holder.available("p"), available);
}

/// The answer to a change of the ensemble is lost, and its new member acknowledges nothing. Guards
/// against reservations that the ensemble in the table doesn't have.
#[test]
fn ensemble_that_may_have_been_committed_has_to_acknowledge() {
    let mut harness = Harness::new();
    harness.reserve(1, 10, Class::Normal);
    harness.run_ticks(20);
    harness.handle(Event::Settle { request: id(1), tokens: 10 });
    harness.run_ticks(200);
    harness.handle(Event::Peers(vec![peer("c.1", "y")]));
    harness.fault = Some(Fault::AnswerLost);
    let epoch = |harness: &Harness| {
        let registration: Option<escrow::Registration> =
            escrow::parse(&harness.table.row("holder/a.1")).expect("a row");
        registration.map_or(0, |registration| registration.epoch)
    };
    let before = epoch(&harness);
    for _ in 0..200 {
        if epoch(&harness) == before {
            harness.run_ticks(1);
        }
    }
    assert!(epoch(&harness) > before);
    harness.fault = Some(Fault::Refused);
    harness.silent.insert("c");
    harness.reserve(2, 5, Class::Urgent);
    harness.run_ticks(40);
    assert!(!harness.is_reserved(2));
}

struct FloorCase {
    class: Class,
    reserved: bool,
}

#[test_case(FloorCase { class: Class::Urgent, reserved: true }; "urgent")]
#[test_case(FloorCase { class: Class::Normal, reserved: false }; "normal")]
#[test_case(FloorCase { class: Class::Long, reserved: false }; "long")]
fn urgent_floor_is_kept_for_urgent_requests(case: FloorCase) {
    let mut harness = Harness::new();
    harness.reserve(1, 800, Class::Normal);
    harness.run_ticks(5);
    assert!(harness.is_reserved(1));
    harness.reserve(2, 150, case.class);
    harness.run_ticks(40);
    assert_eq!(harness.is_reserved(2), case.reserved);
}

#[test]
fn grants_never_exceed_the_prepaid_tokens() {
    let mut harness = Harness::new();
    harness.reserve(1, 1001, Class::Urgent);
    harness.run_ticks(40);
    assert!(!harness.is_reserved(1));
    let escrow: escrow::Escrow =
        escrow::parse(&harness.table.row("escrow/p")).expect("a row").unwrap_or_default();
    assert!(escrow.granted - escrow.returned <= 1000);
}

/// Starts four hosts in two zones; `a` has 100 tokens reserved for request 1.
fn start_fleet() -> Fleet {
    let mut fleet = Fleet::new(7, &[("a", "x"), ("b", "x"), ("c", "y"), ("d", "y")]);
    fleet.set_budget("p", &[("t", 10_000)], 0, false);
    fleet.run_for(SECOND);
    fleet.reserve(0, 1, "p", 100, Class::Normal);
    fleet.run_for(SECOND);
    assert_eq!(fleet.reserve_result(1), Some(ReserveResult::Reserved));
    fleet
}

/// A holder dies after its ledger segment was written but before it learned of that. Guards against
/// a recovery that writes the charges again.
#[test]
fn flush_that_is_missing_from_the_journal_is_not_repeated() {
    let mut fleet = start_fleet();
    fleet.settle(0, 1, 70);
    fleet.faults.insert(0, vec![Some(Fault::AnswerLost)]);
    while fleet.table.row("ledger/a.1/0000000001").value.is_none() {
        fleet.run_for(MILLI);
    }
    fleet.kill(0);
    fleet.handle_recovery(1, recovery::Event::Dead("a.1".into()));
    fleet.run_for(10 * SECOND);
    let mut reconciler = Reconciler::default();
    fleet.table.rows().for_each(|row| reconciler.add(row));
    let balance = reconciler.finish().remove("p").expect("a balance");
    assert_eq!((balance.ledger, balance.charges), (70, 1));
    assert_eq!(balance.disagreements, Vec::new());
}

#[test]
fn delayed_grant_to_a_closed_holder_is_refused() {
    let mut fleet = start_fleet();
    fleet.set_budget("q", &[("t", 500)], 0, false);
    fleet.faults.insert(0, vec![Some(Fault::Delayed); 4]);
    fleet.reserve(0, 2, "q", 100, Class::Normal);
    fleet.run_for(SECOND / 2);
    fleet.kill(0);
    fleet.handle_recovery(1, recovery::Event::Dead("a.1".into()));
    fleet.run_for(10 * SECOND);
    fleet.table.deliver_delayed();
    let grant: Option<Grant> = escrow::parse(&fleet.table.row("grant/q/a.1")).expect("a row");
    assert_eq!(grant.map_or(0, |grant| grant.granted), 0);
}

#[test]
fn copy_at_a_process_that_was_gone_before_the_holder_died_counts_as_lost() {
    let mut fleet = start_fleet();
    let registration: escrow::Registration =
        escrow::parse(&fleet.table.row("holder/a.1")).expect("a row").expect("a holder");
    let copy = registration.ensemble[0].clone();
    let index = fleet.hosts.iter().position(|host| host.id == copy).expect("a host");
    let recoverer = (1..4).find(|other| *other != index).expect("another host");
    fleet.kill(0);
    fleet.kill(index);
    fleet.handle_recovery(recoverer, recovery::Event::Gone(copy));
    fleet.handle_recovery(recoverer, recovery::Event::Dead("a.1".into()));
    fleet.run_for(10 * SECOND);
    assert!(fleet.reports.first().expect("a report").incomplete);
}

#[test]
fn process_recovers_the_earlier_process_of_its_host() {
    let mut fleet = start_fleet();
    fleet.settle(0, 1, 70);
    fleet.kill(0);
    fleet.start("a", "x", 2);
    fleet.announce_peers();
    fleet.run_for(10 * SECOND);
    let report = fleet.reports.first().expect("a report");
    assert_eq!((&*report.holder, report.stranded), ("a.1", 0));
}

/// The last host of an isolated zone serves from its allowance without any copy of its journal.
/// Guards against a recovery that returns tokens which that host used.
#[test]
fn tokens_used_by_the_last_host_of_an_isolated_zone_are_not_returned() {
    let mut fleet = start_fleet();
    fleet.partition("x", "y");
    fleet.partition("x", crate::fleet::PLATFORM);
    fleet.announce_peers();
    fleet.run_for(5 * SECOND);
    let held = fleet.hosts[0].holder.available("p");
    fleet.kill(1);
    fleet.reserve(0, 2, "p", held / 2, Class::Normal);
    fleet.run_for(2 * SECOND);
    assert_eq!(fleet.reserve_result(2), Some(ReserveResult::Reserved));
    fleet.kill(0);
    fleet.heal();
    for gone in ["a.1", "b.1"] {
        fleet.handle_recovery(2, recovery::Event::Gone(gone.into()));
    }
    fleet.handle_recovery(2, recovery::Event::Dead("a.1".into()));
    fleet.run_for(10 * SECOND);
    let escrow: escrow::Escrow =
        escrow::parse(&fleet.table.row("escrow/p")).expect("a row").unwrap_or_default();
    let unused = 10_000 - held / 2 - 100;
    assert!(escrow.remaining(10_000) <= unused, "{escrow:?} returned used tokens of {held}");
}

/// Guards against an allowance that is used before its debit is in the copy: the recovery would
/// return these tokens.
#[test]
fn allowance_is_in_the_copy_before_it_is_used() {
    let mut fleet = start_fleet();
    fleet.partition("x", "y");
    fleet.partition("x", crate::fleet::PLATFORM);
    fleet.announce_peers();
    fleet.run_for(5 * SECOND);
    let held = fleet.hosts[0].holder.available("p");
    let Message::Sealed(copy) = fleet.hosts[1].replica.seal(&"a.1".into()) else {
        panic!("a sealed copy");
    };
    let journaled: u64 = copy
        .entries
        .iter()
        .map(|entry| match entry {
            Entry::Debit { tokens, .. } => *tokens,
            _ => 0,
        })
        .sum();
    assert!(held > 0 && journaled >= held);
}

/// The ensemble is changed as soon as it can have members both in this zone, `a`, and in another.
/// Guards against losing all copies with one zone, or reaching none when the zone is isolated.
#[test_case(&["b", "c"], &["b", "c", "a"], true; "host of this zone joins")]
#[test_case(&["a", "a"], &["a", "a", "b"], true; "host of another zone joins")]
#[test_case(&["a", "b"], &["a", "b", "a"], false; "members in both")]
#[test_case(&["b", "c"], &["b", "c", "b"], false; "no host in this zone")]
fn ensemble_spans_this_and_another_zone(before: &[&str], after: &[&str], changes: bool) {
    let peers = |zones: &[&str]| -> Vec<Peer> {
        let numbered = zones.iter().enumerate();
        numbered.map(|(i, zone)| peer(&format!("h{i}.1"), zone)).collect()
    };
    let mut writer = Writer::new("h.1".into(), "a".into());
    let first = propose(&mut writer, SECOND, &peers(before));
    writer.set_committed(first.clone());
    let all = peers(after);
    writer.set_peers(all.clone());
    writer.propose(SECOND);
    writer.advance(SECOND, &mut Vec::new());
    for peer in &all {
        writer.acknowledge(SECOND, &peer.id, writer.state().through());
    }
    let next = writer.propose(SECOND);
    assert_eq!(next.is_some(), changes, "{first:?} to {next:?}");
    if let Some(next) = next {
        assert!(next.contains(&all[2].id), "{next:?}");
        assert!(next.iter().any(|id| first.contains(id)), "{next:?}");
        writer.set_committed(next);
        assert_eq!(writer.propose(SECOND), None);
    }
}

/// Guards against an ensemble that keeps a member whose heartbeats arrive although it acknowledges
/// nothing.
#[test_case(&["h0.1"]; "one is silent")]
#[test_case(&["h0.1", "h1.1"]; "both are silent")]
fn silent_member_that_is_reachable_is_replaced(silent: &[&str]) {
    let peers = [peer("h0.1", "b"), peer("h1.1", "a"), peer("h2.1", "c"), peer("h3.1", "a")];
    let mut writer = Writer::new("h.1".into(), "a".into());
    let first = propose(&mut writer, SECOND, &peers[..2]);
    writer.set_committed(first);
    writer.append(Entry::Flushed { segment: 1, through: 1 });
    writer.set_peers(peers.to_vec());
    let mut next = None;
    for second in 2..8 {
        let now = SECOND * second;
        writer.advance(now, &mut Vec::new());
        let answering = peers.iter().filter(|peer| !silent.contains(&&*peer.id));
        answering.for_each(|peer| writer.acknowledge(now, &peer.id, writer.state().through()));
        next = next.or_else(|| writer.propose(now));
    }
    let next = next.expect("another ensemble");
    assert_eq!(next.len(), 2, "{next:?}");
    assert!(!next.iter().any(|id| silent.contains(&&**id)), "{next:?}");
}
