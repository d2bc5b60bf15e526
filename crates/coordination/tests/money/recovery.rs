//! Hard cases of the recovery of dead holders, as docs/MONEY.md decides them.

use std::time::Duration;

use coordination::{
    escrow::{self, Escrow, Grant, Registration, State},
    holder::{Event, Reason},
    ledger::Reconciler,
    recovery,
    request::Class,
};
use test_case::test_case;

use crate::{
    fleet::{Fleet, PLATFORM, ReserveResult, id},
    table::Fault,
};

const SECOND: Duration = Duration::from_secs(1);
const PREPAID: u64 = 10_000;

/// Starts four hosts in two zones; `a` has 100 tokens reserved for request 1, has settled request 2
/// at 70 tokens and holds more.
fn start_fleet() -> Fleet {
    let mut fleet = Fleet::new(7, &[("a", "x"), ("b", "x"), ("c", "y"), ("d", "y")]);
    fleet.set_budget("p", &[("t1", PREPAID)], 0, false);
    fleet.run_for(SECOND);
    fleet.reserve(0, 1, "p", 100, Class::Normal);
    fleet.reserve(0, 2, "p", 100, Class::Normal);
    fleet.run_for(SECOND);
    assert_eq!(fleet.reserve_result(2), Some(ReserveResult::Reserved));
    fleet.settle(0, 2, 70);
    fleet.run_for(SECOND / 10);
    fleet
}

fn escrow(fleet: &Fleet) -> Escrow {
    escrow::parse(&fleet.table.row("escrow/p")).expect("a row").unwrap_or_default()
}

fn registration(fleet: &Fleet) -> Registration {
    escrow::parse(&fleet.table.row("holder/a.1")).expect("a row").expect("a holder")
}

fn grant(fleet: &Fleet) -> Grant {
    escrow::parse(&fleet.table.row("grant/p/a.1")).expect("a row").unwrap_or_default()
}

/// Returns the indexes of the processes in a holder's ensemble.
fn ensemble(fleet: &Fleet) -> Vec<usize> {
    let members = registration(fleet).ensemble;
    let index = |member| fleet.hosts.iter().position(|host| host.id == member).expect("a host");
    members.into_iter().map(index).collect()
}

/// Starts the recovery of `a` at these hosts.
fn declare_dead(fleet: &mut Fleet, recoverers: &[usize]) {
    for index in recoverers {
        fleet.handle_recovery(*index, recovery::Event::Dead("a.1".into()));
    }
}

#[test]
fn recovery_charges_the_reported_usage_and_returns_the_rest() {
    let mut fleet = start_fleet();
    fleet.kill(0);
    fleet.usage.insert(id(1), 40);
    declare_dead(&mut fleet, &[1]);
    fleet.run_for(10 * SECOND);
    let report = fleet.reports.first().expect("a report");
    assert_eq!((report.settled, report.stranded), (70 + 40, 0));
    assert_eq!(grant(&fleet).open(), 0);
    assert_eq!((escrow(&fleet).settled, escrow(&fleet).open()), (110, 0));
    assert_eq!(registration(&fleet).state, State::Closed);
}

#[test]
fn request_without_reported_usage_is_charged_its_whole_reservation() {
    let mut fleet = start_fleet();
    fleet.kill(0);
    declare_dead(&mut fleet, &[1]);
    fleet.run_for(10 * SECOND);
    assert_eq!(escrow(&fleet).settled, 70 + 100);
}

#[test]
fn concurrent_recoveries_charge_once() {
    let mut fleet = start_fleet();
    fleet.kill(0);
    declare_dead(&mut fleet, &[1, 2, 3]);
    fleet.run_for(10 * SECOND);
    assert_eq!((escrow(&fleet).settled, escrow(&fleet).open()), (170, 0));
    assert_eq!(fleet.reports.len(), 3);
}

#[test]
fn recovery_without_any_copy_of_the_journal_returns_nothing() {
    let mut fleet = start_fleet();
    let copies = ensemble(&fleet);
    for index in &copies {
        let host = fleet.hosts[*index].id.clone();
        fleet.kill(*index);
        for other in 1..4 {
            fleet.handle_recovery(other, recovery::Event::Gone(host.clone()));
        }
    }
    fleet.kill(0);
    let survivor = (1..4).find(|index| !copies.contains(index)).expect("a host");
    let open = escrow(&fleet).open();
    declare_dead(&mut fleet, &[survivor]);
    fleet.run_for(3 * SECOND);
    for index in copies {
        fleet.handle_recovery(survivor, recovery::Event::Gone(fleet.hosts[index].id.clone()));
    }
    fleet.run_for(10 * SECOND);
    assert!(registration(&fleet).incomplete);
    assert_eq!(registration(&fleet).state, State::Closed);
    assert_eq!(escrow(&fleet).open() + escrow(&fleet).stranded, open);
    assert_eq!(escrow(&fleet).returned, 0);
}

#[test]
fn recovery_with_one_lost_copy_settles_known_charges_and_strands_the_rest() {
    let mut fleet = start_fleet();
    let copies = ensemble(&fleet);
    assert_eq!(copies.len(), 2);
    fleet.kill(copies[0]);
    fleet.kill(0);
    declare_dead(&mut fleet, &[copies[1]]);
    fleet.run_for(5 * SECOND);
    assert_eq!(registration(&fleet).state, State::Sealed);
    let gone = fleet.hosts[copies[0]].id.clone();
    fleet.handle_recovery(copies[1], recovery::Event::Gone(gone));
    fleet.run_for(10 * SECOND);
    let row = escrow(&fleet);
    assert_eq!((row.settled, row.returned, row.open()), (170, 0, 0));
    assert!(row.stranded > 0);
}

/// Guards against taking the empty replica of a restarted process for the lost copy, which would
/// return tokens that the dead holder had used.
#[test]
fn restarted_replica_counts_as_a_lost_copy() {
    let mut fleet = start_fleet();
    let copies = ensemble(&fleet);
    fleet.kill(0);
    for index in &copies {
        fleet.kill(*index);
        let (name, zone) = (fleet.hosts[*index].name.clone(), fleet.hosts[*index].zone.clone());
        fleet.start(&name, &zone, 2);
    }
    fleet.announce_peers();
    let survivor = (1..4).find(|index| !copies.contains(index)).expect("a host");
    declare_dead(&mut fleet, &[survivor]);
    fleet.run_for(10 * SECOND);
    assert!(registration(&fleet).incomplete);
    assert_eq!(escrow(&fleet).returned, 0);
}

#[test]
fn recovery_waits_for_unreachable_copies() {
    let mut fleet = start_fleet();
    fleet.kill(0);
    fleet.partition("x", "y");
    declare_dead(&mut fleet, &[1]);
    fleet.run_for(30 * SECOND);
    assert_eq!(registration(&fleet).state, State::Sealed);
    fleet.heal();
    fleet.run_for(10 * SECOND);
    assert_eq!(registration(&fleet).state, State::Closed);
    assert_eq!((escrow(&fleet).settled, escrow(&fleet).open()), (170, 0));
}

/// A holder that was frozen during its recovery still shows available tokens when it is thawed.
/// Guards against dispatching requests with tokens that the recovery has returned.
#[test]
fn thawed_holder_that_was_recovered_dispatches_nothing() {
    let mut fleet = start_fleet();
    fleet.hosts[0].frozen = true;
    fleet.announce_peers();
    declare_dead(&mut fleet, &[1]);
    fleet.run_for(10 * SECOND);
    assert_eq!(registration(&fleet).state, State::Closed);
    fleet.hosts[0].frozen = false;
    let available = fleet.hosts[0].holder.available("p");
    assert!(available >= 100);
    fleet.reserve(0, 3, "p", 100, Class::Urgent);
    fleet.thaw(0);
    fleet.run_for(5 * SECOND);
    assert!(fleet.hosts[0].fenced);
    assert_eq!(fleet.reserve_result(3), Some(ReserveResult::Refused(Reason::Fenced)));
}

/// A holder in an isolated zone serves on with the copy in its zone, which the recovery can't seal.
/// Guards against charges that are lost when it is fenced, and tokens that its successor can't get.
#[test]
fn isolated_holder_that_is_taken_for_dead_is_fenced_and_replaced() {
    let mut fleet = start_fleet();
    fleet.partition("x", "y");
    fleet.partition("x", PLATFORM);
    fleet.announce_peers();
    let copy = ensemble(&fleet).into_iter().find(|index| *index == 1).expect("a copy in the zone");
    declare_dead(&mut fleet, &[2]);
    fleet.run_for(30 * SECOND);
    fleet.reserve(0, 3, "p", 100, Class::Normal);
    fleet.run_for(5 * SECOND);
    assert_eq!(
        fleet.reserve_result(3),
        Some(ReserveResult::Reserved),
        "the copy at {copy} isn't sealed yet"
    );
    fleet.heal();
    fleet.run_for(10 * SECOND);
    assert!(fleet.hosts[0].fenced);
    assert_eq!(escrow(&fleet).settled, 70 + 100 + 100);
    fleet.kill(0);
    let next = fleet.start("a", "x", 2);
    fleet.announce_peers();
    let record = crate::fleet::budget("p", &[("t1", PREPAID)], 0, false);
    fleet.handle(next, Event::Budget(record));
    fleet.run_for(SECOND);
    fleet.reserve(next, 4, "p", 100, Class::Normal);
    fleet.run_for(SECOND);
    assert_eq!(fleet.reserve_result(4), Some(ReserveResult::Reserved));
}

/// The platform becomes unreachable while the outcome of an ensemble change is unknown. Guards
/// against reservations that only one of the ensembles has, because a recovery may ask the other.
#[test]
fn reservation_during_an_ensemble_change_needs_a_copy_in_both_ensembles() {
    let mut fleet = start_fleet();
    let copies = ensemble(&fleet);
    let faults = vec![Some(crate::table::Fault::RequestLost); 3];
    fleet.faults.insert(0, faults);
    fleet.kill(copies[0]);
    fleet.run_for(4 * SECOND);
    fleet.partition("x", PLATFORM);
    fleet.reserve(0, 3, "p", 100, Class::Normal);
    fleet.run_for(5 * SECOND);
    assert_eq!(
        fleet.reserve_result(3),
        Some(ReserveResult::Reserved),
        "the other copy is in both ensembles"
    );
    for index in 1..4 {
        if !fleet.hosts[index].dead {
            fleet.kill(index);
        }
    }
    fleet.reserve(0, 4, "p", 100, Class::Normal);
    fleet.run_for(5 * SECOND);
    assert_eq!(fleet.reserve_result(4), Some(ReserveResult::Refused(Reason::Unreplicated)));
}

#[test]
fn lost_zone_is_recovered_from_the_copy_in_the_other_zone() {
    let mut fleet = start_fleet();
    fleet.kill(0);
    fleet.kill(1);
    let gone = fleet.hosts[1].id.clone();
    declare_dead(&mut fleet, &[2]);
    fleet.run_for(2 * SECOND);
    fleet.handle_recovery(2, recovery::Event::Gone(gone));
    fleet.run_for(10 * SECOND);
    let row = escrow(&fleet);
    assert_eq!((row.settled, row.open()), (170, 0));
    assert_eq!(registration(&fleet).state, State::Closed);
}

/// Guards against a transfer that is lost with its sender, or applied again when the recovery
/// repeats it.
#[test]
fn transfer_of_a_dead_sender_reaches_its_receiver_once() {
    let mut fleet = start_fleet();
    fleet.partition("x", PLATFORM);
    fleet.announce_peers();
    fleet.reserve(1, 5, "p", 200, Class::Normal);
    fleet.run_for(SECOND / 50);
    let received = fleet.hosts[1].holder.reserved("p") + fleet.hosts[1].holder.available("p");
    fleet.kill(0);
    fleet.heal();
    declare_dead(&mut fleet, &[2]);
    fleet.run_for(20 * SECOND);
    fleet.settle(1, 5, 200);
    fleet.run_for(10 * SECOND);
    fleet.handle(1, Event::Drain);
    fleet.run_for(10 * SECOND);
    assert!(fleet.hosts[1].drained, "received {received}");
    let row = escrow(&fleet);
    assert_eq!((row.settled, row.open()), (170 + 200, 0));
}

struct FencedCase {
    /// Faults of the fenced holder's commits.
    faults: &'static [Option<Fault>],
    /// The copy that has the entry of the allowance is lost.
    copy_lost: bool,
    /// Charges go to the old ledger.
    old_ledger: bool,
    /// Request 3 is settled only after the holder was fenced.
    settled_after_fence: bool,
}

const FENCED: FencedCase =
    FencedCase { faults: &[], copy_lost: false, old_ledger: false, settled_after_fence: false };

/// Request 3 is reserved from the allowance while no copy can be reached, so that only the fenced
/// holder knows its charge. Guards against losing the charge or writing it twice.
#[test_case(FENCED; "settled before the fence")]
#[test_case(FencedCase { settled_after_fence: true, ..FENCED }; "settled after the fence")]
#[test_case(FencedCase { faults: &[Some(Fault::AnswerLost)], ..FENCED }; "answer lost")]
#[test_case(FencedCase { faults: &[Some(Fault::RequestLost), Some(Fault::Refused)], ..FENCED }; "lost and refused")]
#[test_case(FencedCase { faults: &[Some(Fault::Delayed)], ..FENCED }; "delayed")]
#[test_case(FencedCase { faults: &[Some(Fault::AnswerLost); 4], ..FENCED }; "answers lost")]
#[test_case(FencedCase { old_ledger: true, ..FENCED }; "old ledger")]
#[test_case(FencedCase { old_ledger: true, faults: &[Some(Fault::AnswerLost)], ..FENCED }; "old ledger, answer lost")]
#[test_case(FencedCase { copy_lost: true, ..FENCED }; "copy lost")]
#[test_case(FencedCase { copy_lost: true, settled_after_fence: true, ..FENCED }; "copy lost, settled after the fence")]
fn fenced_holder_writes_charges_that_no_copy_has_once(case: FencedCase) {
    let mut fleet = start_fleet();
    let top_ups = [("t1", PREPAID)];
    fleet.set_budget("p", &top_ups, 0, case.old_ledger);
    fleet.partition("x", "y");
    fleet.partition("x", PLATFORM);
    fleet.announce_peers();
    fleet.run_for(5 * SECOND);
    fleet.partition("x", "x");
    if case.copy_lost {
        fleet.kill(1);
    }
    fleet.reserve(0, 3, "p", 200, Class::Normal);
    fleet.run_for(SECOND);
    assert_eq!(fleet.reserve_result(3), Some(ReserveResult::Reserved));
    if !case.settled_after_fence {
        fleet.settle(0, 3, 150);
    }
    declare_dead(&mut fleet, &[2]);
    fleet.run_for(5 * SECOND);
    let gone = fleet.hosts[1].id.clone();
    fleet.heal();
    if case.copy_lost {
        fleet.handle_recovery(2, recovery::Event::Gone(gone));
    }
    fleet.faults.insert(0, case.faults.to_vec());
    fleet.run_for(20 * SECOND);
    assert!(fleet.hosts[0].fenced);
    let report = fleet.reports.first().expect("a report");
    assert_eq!((report.settled, report.incomplete), (170, case.copy_lost));
    assert!(report.stranded >= 200, "{report:?}");
    fleet.settle(0, 3, 150);
    fleet.settle(0, 1, 60);
    fleet.run_for(5 * SECOND);
    assert_eq!(escrow(&fleet).settled + escrow(&fleet).old_settled, 170 + 150);
    fleet.table.deliver_delayed();
    fleet.handle(0, Event::Drain);
    fleet.run_for(10 * SECOND);
    assert!(fleet.hosts[0].drained);
    let sums = escrow(&fleet);
    assert_eq!(sums.settled + sums.old_settled, 170 + 150);
    assert_eq!((grant(&fleet).open(), sums.stranded), (0, 0));
    let mut reconciler = Reconciler::default();
    fleet.table.rows().for_each(|row| reconciler.add(row));
    let balance = reconciler.finish().remove("p").expect("a balance");
    assert_eq!((balance.disagreements, balance.charges), (Vec::new(), 3));
}

#[test]
fn allowance_of_a_dead_holder_is_stranded() {
    let mut fleet = start_fleet();
    fleet.partition("x", "y");
    fleet.partition("x", PLATFORM);
    fleet.announce_peers();
    fleet.run_for(5 * SECOND);
    let held = fleet.hosts[0].holder.available("p");
    fleet.kill(0);
    fleet.heal();
    declare_dead(&mut fleet, &[1]);
    fleet.run_for(10 * SECOND);
    let report = fleet.reports.first().expect("a report");
    assert_eq!((report.incomplete, report.stranded), (false, held));
    assert_eq!((grant(&fleet).open(), escrow(&fleet).stranded), (0, held));
}
