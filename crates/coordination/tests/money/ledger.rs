//! Refunds of repeated charges, the old and the new ledger used together, and reconciliation.

use std::{sync::Arc, time::Duration};

use coordination::{
    escrow::{self, Escrow, Grant},
    ledger::{self, Balance, Charge, Disagreement, Reconciler, Segment},
    refund::{Action, Event, Refunder},
    request::Class,
    table::Row,
};
use test_case::test_case;

use crate::{
    fleet::{Fleet, budget, id},
    table::{Fault, Table},
};

const SECOND: Duration = Duration::from_secs(1);

fn json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("JSON")
}

fn charge(request: u64, tokens: u64) -> Charge {
    Charge { request: id(request), budget: "p".into(), tokens }
}

/// Creates a table with the charges `(request, tokens)` of these segments and of the old ledger.
/// Each segment, and each charge in the old ledger, belongs to a holder of its own.
fn table_with_charges(segments: &[(&str, &[(u64, u64)])], old: &[(u64, u64)]) -> Table {
    let mut table = Table::default();
    let record = coordination::record::Record::Budget(budget("p", &[("t", 1000)], 0, false));
    table.put("config/budget/p", coordination::record::render(&record));
    let mut sums = Escrow::default();
    for (holder, charges) in segments {
        let charges: Vec<Charge> =
            charges.iter().map(|(request, tokens)| charge(*request, *tokens)).collect();
        let tokens = charges.iter().map(|charge| charge.tokens).sum();
        sums.granted += tokens;
        sums.settled += tokens;
        table.put(&ledger::segment_key(holder, 1), json(&Segment { charges }));
        put_grant(&mut table, holder, tokens);
    }
    for (request, tokens) in old {
        sums.granted += tokens;
        sums.old_settled += tokens;
        let key = escrow::charge_key("p", id(*request));
        table.put(&key, json(&charge(*request, *tokens)));
        put_grant(&mut table, &format!("old.{request}"), *tokens);
    }
    table.put("escrow/p", json(&sums));
    table
}

fn put_grant(table: &mut Table, holder: &str, tokens: u64) {
    let grant = Grant { number: 1, granted: tokens, settled: tokens, ..Grant::default() };
    table.put(&escrow::grant_key("p", holder), json(&grant));
}

/// Runs a refunder for 200 s. Its first commits meet the faults, the last in the list first.
fn run_refunder(
    table: &mut Table,
    refunder: &mut Refunder,
    from: Duration,
    faults: &mut Vec<Fault>,
) {
    for tick in 0..200 {
        let now = from + SECOND * tick;
        let mut actions = Vec::new();
        refunder.handle(now, Event::Tick, &mut actions);
        while let Some(Action::Table { id, op }) = actions.pop() {
            let commit = matches!(op, coordination::table::Op::Commit(_));
            let fault = if commit { faults.pop() } else { None };
            let outcome = table.run(&op, fault);
            refunder.handle(now, Event::Table { id, outcome }, &mut actions);
        }
    }
}

fn balance(table: &Table) -> Balance {
    let mut reconciler = Reconciler::default();
    for row in table.rows() {
        reconciler.add(row);
    }
    assert!(reconciler.malformed().is_empty());
    reconciler.finish().remove("p").unwrap_or_default()
}

struct Case {
    /// Holders and the charges `(request, tokens)` in their segments.
    segments: &'static [(&'static str, &'static [(u64, u64)])],
    /// Charges in the old ledger.
    old: &'static [(u64, u64)],
    /// Tokens that are refunded.
    refunded: u64,
}

/// Guards against refunds that are missed, or repeated after a fault or a restart of the refunder.
#[test_case(Case { segments: &[("a.1", &[(1, 10), (2, 20)]), ("b.1", &[(3, 30)])], old: &[], refunded: 0 }; "no repeat")]
#[test_case(Case { segments: &[("a.1", &[(1, 10), (2, 20)]), ("b.1", &[(2, 25)])], old: &[], refunded: 25 }; "two holders")]
#[test_case(Case { segments: &[("a.1", &[(1, 10)]), ("b.1", &[(1, 11)]), ("c.1", &[(1, 12)])], old: &[], refunded: 23 }; "three holders")]
#[test_case(Case { segments: &[("a.1", &[(1, 10), (1, 10)])], old: &[], refunded: 10 }; "twice in a segment")]
#[test_case(Case { segments: &[("a.1", &[(1, 10), (2, 5)])], old: &[(1, 9)], refunded: 10 }; "old ledger counts")]
#[test_case(Case { segments: &[("a.1", &[(1, 10)]), ("b.1", &[(1, 11)])], old: &[(1, 9)], refunded: 21 }; "old ledger and two holders")]
fn all_but_one_charge_of_a_request_are_refunded_once(case: Case) {
    let faults: &[&[Fault]] = &[
        &[],
        &[Fault::AnswerLost],
        &[Fault::Refused, Fault::AnswerLost, Fault::RequestLost],
        &[Fault::AnswerLost, Fault::AnswerLost],
    ];
    for faults in faults {
        let mut table = table_with_charges(case.segments, case.old);
        let mut refunder = Refunder::resume();
        run_refunder(&mut table, &mut refunder, Duration::ZERO, &mut faults.to_vec());
        let mut restarted = Refunder::resume();
        run_refunder(&mut table, &mut restarted, Duration::ZERO, &mut Vec::new());
        run_refunder(&mut table, &mut refunder, 1000 * SECOND, &mut Vec::new());
        let balance = balance(&table);
        assert_eq!(balance.escrow.refunded, case.refunded);
        assert_eq!(balance.disagreements, Vec::new());
        assert!(table.row("fold/position").value.is_some());
    }
}

#[test]
fn both_ledgers_spend_from_one_prepaid_amount() {
    let mut fleet = Fleet::new(3, &[("a", "x"), ("b", "y")]);
    fleet.set_budget("p", &[("t", 1000)], 0, true);
    fleet.run_for(SECOND);
    fleet.reserve(0, 1, "p", 300, Class::Normal);
    fleet.run_for(SECOND);
    fleet.settle(0, 1, 300);
    fleet.run_for(10 * SECOND);
    fleet.set_budget("p", &[("t", 1000)], 0, false);
    fleet.reserve(1, 2, "p", 400, Class::Normal);
    fleet.run_for(2 * SECOND);
    fleet.settle(1, 2, 400);
    fleet.run_for(10 * SECOND);
    fleet.reserve(0, 3, "p", 301, Class::Normal);
    fleet.run_for(5 * SECOND);
    let balance = balance(&fleet.table);
    assert_eq!((balance.old_ledger, balance.ledger), (300, 400));
    assert_eq!(balance.disagreements, Vec::new());
    let refused = crate::fleet::ReserveResult::Refused(coordination::holder::Reason::Exhausted);
    assert_eq!(fleet.reserve_result(3), Some(refused));
}

/// The same request is served and settled at two hosts. Guards against a second charge in the old
/// ledger.
#[test]
fn charge_in_the_old_ledger_is_not_written_again() {
    let mut fleet = Fleet::new(3, &[("a", "x"), ("b", "y")]);
    fleet.set_budget("p", &[("t", 1000)], 0, true);
    fleet.run_for(SECOND);
    for host in [0, 1] {
        fleet.reserve(host, 1, "p", 300, Class::Normal);
    }
    fleet.run_for(SECOND);
    fleet.settle(0, 1, 300);
    fleet.run_for(10 * SECOND);
    fleet.settle(1, 1, 290);
    fleet.run_for(10 * SECOND);
    for host in [0, 1] {
        fleet.handle(host, coordination::holder::Event::Drain);
    }
    fleet.run_for(10 * SECOND);
    let balance = balance(&fleet.table);
    assert_eq!((balance.old_ledger, balance.remaining), (300, 700));
    assert_eq!(balance.disagreements, Vec::new());
}

/// Alters the totals of a budget.
type Alteration = fn(&mut Escrow);

#[test_case(|escrow| escrow.settled += 1, 2; "settled")]
#[test_case(|escrow| escrow.old_settled += 1, 2; "old settled")]
#[test_case(|escrow| escrow.refunded += 1, 1; "refunded")]
#[test_case(|escrow| escrow.granted += 2000, 2; "granted more than prepaid")]
#[test_case(|escrow| escrow.stranded += 1, 1; "stranded")]
fn reconciliation_reports_altered_totals(alter: Alteration, disagreements: usize) {
    let mut table = table_with_charges(&[("a.1", &[(1, 10)])], &[(2, 20)]);
    assert_eq!(balance(&table).disagreements, Vec::<Disagreement>::new());
    let row: Row = table.row("escrow/p");
    let mut sums: Escrow = escrow::parse(&row).expect("a row").expect("sums");
    alter(&mut sums);
    table.put("escrow/p", Arc::from(json(&sums)));
    assert_eq!(balance(&table).disagreements.len(), disagreements);
}
