//! Grants, settlements and drains while commits to the table fail.

use std::time::Duration;

use coordination::{
    escrow::{Escrow, Grant},
    request::Class,
};
use test_case::test_case;

use crate::{
    fleet::{Fleet, ReserveResult},
    table::Fault,
};

const SECOND: Duration = Duration::from_secs(1);

/// Starts two hosts in different zones that share the budget `p`.
fn start_pair() -> Fleet {
    let mut fleet = Fleet::new(1, &[("a", "x"), ("b", "y")]);
    fleet.set_budget("p", &[("t1", 10_000)], 0, false);
    fleet.run_for(SECOND);
    fleet
}

fn escrow(fleet: &Fleet) -> Escrow {
    coordination::escrow::parse(&fleet.table.row("escrow/p")).expect("a row").unwrap_or_default()
}

fn grant(fleet: &Fleet, holder: &str) -> Grant {
    let row = fleet.table.row(&format!("grant/p/{holder}"));
    coordination::escrow::parse(&row).expect("a row").unwrap_or_default()
}

struct Case {
    /// Faults of the first commits after each step.
    faults: &'static [Option<Fault>],
    /// Delayed commits are delivered after the settlement and after the drain.
    deliver_delayed: bool,
}

#[test_case(Case { faults: &[], deliver_delayed: false }; "no fault")]
#[test_case(Case { faults: &[Some(Fault::Refused)], deliver_delayed: false }; "refused")]
#[test_case(Case { faults: &[Some(Fault::AnswerLost)], deliver_delayed: false }; "answer lost")]
#[test_case(Case { faults: &[Some(Fault::AnswerLost), Some(Fault::AnswerLost)], deliver_delayed: false }; "two answers lost")]
#[test_case(Case { faults: &[Some(Fault::RequestLost)], deliver_delayed: false }; "request lost")]
#[test_case(Case { faults: &[Some(Fault::Delayed)], deliver_delayed: true }; "delayed")]
#[test_case(Case { faults: &[Some(Fault::Delayed), Some(Fault::AnswerLost)], deliver_delayed: true }; "delayed, then answer lost")]
fn grant_settle_and_drain_agree_with_the_table(case: Case) {
    let mut fleet = start_pair();
    fleet.faults.insert(0, case.faults.to_vec());
    fleet.reserve(0, 1, "p", 100, Class::Normal);
    fleet.run_for(SECOND);
    assert_eq!(fleet.reserve_result(1), Some(ReserveResult::Reserved));
    fleet.faults.insert(0, case.faults.to_vec());
    fleet.settle(0, 1, 60);
    fleet.run_for(10 * SECOND);
    if case.deliver_delayed {
        fleet.table.deliver_delayed();
    }
    fleet.run_for(10 * SECOND);
    let row = grant(&fleet, "a.1");
    let held = fleet.hosts[0].holder.available("p");
    assert_eq!(row.open(), i128::from(held));
    assert_eq!(row.settled, 60);
    fleet.faults.insert(0, case.faults.to_vec());
    fleet.handle(0, coordination::holder::Event::Drain);
    fleet.run_for(10 * SECOND);
    if case.deliver_delayed {
        fleet.table.deliver_delayed();
    }
    assert!(fleet.hosts[0].drained);
    assert_eq!(grant(&fleet, "a.1").open(), 0);
    let escrow = escrow(&fleet);
    assert_eq!((escrow.settled, escrow.open()), (60, 0));
}
