//! Writes under racing operators, lost answers and outages.

use std::{cell::Cell, thread};

use crate::common::{BUDGET, Platform, budget, file};
use coordination::{
    record::Kind,
    table::{Op, Outcome},
};
use ctl::{apply::apply, delete::delete, output::Report, table::Table, top_up::top_up};
use serde_json::{Value, json};
use test_case::test_case;

/// A table on which another operator writes just before the first commit.
struct Raced<'a> {
    platform: &'a Platform,
    rival: Value,
    done: Cell<bool>,
}

impl Table for Raced<'_> {
    fn run(&self, op: &Op) -> Outcome {
        if matches!(op, Op::Commit(_)) && !self.done.replace(true) {
            self.platform.write(BUDGET, &self.rival);
        }
        self.platform.client.run(op)
    }
}

fn raced(platform: &Platform, rival: Value) -> Raced<'_> {
    Raced { platform, rival, done: Cell::new(false) }
}

fn signed(mut document: Value, operator: &str, over: u64) -> Value {
    document["changed_by"] = json!({ "operator": operator, "over": over });
    document
}

/// A write by another operator between this one's read and commit.
struct Race {
    operator: Option<(&'static str, u64)>,
    by: Value,
    text: &'static str,
}

#[test_case("signed", Race { operator: Some(("berta", 1)), by: json!("berta"), text: "lost to berta" })]
#[test_case("stale", Race { operator: Some(("berta", 0)), by: json!(null), text: "lost to a writer that doesn't sign" })]
#[test_case("unsigned", Race { operator: None, by: json!(null), text: "lost to a writer that doesn't sign" })]
fn loser_is_told_what_it_lost_to(name: &str, case: Race) {
    let platform = Platform::open();
    assert_eq!(platform.write(BUDGET, &budget(json!({ "a": 5 }))), 1);
    let mut rival = budget(json!({ "a": 5, "b": 7 }));
    if let Some((operator, over)) = case.operator {
        rival = signed(rival, operator, over);
    }
    let mine = file(name, &budget(json!({ "a": 6 })));
    let report =
        apply(&raced(&platform, rival.clone()), "ana", std::slice::from_ref(&mine)).unwrap();
    assert!(!report.done);
    assert!(report.text.contains(case.text), "{}", report.text);
    assert!(
        report.text.contains("top_ups.b: read (absent), now 7, yours (absent)"),
        "{}",
        report.text
    );
    let detail = &report.json[0]["detail"];
    assert_eq!((&detail["by"], &detail["read"], &detail["now"]), (&case.by, &json!(1), &json!(2)));
    assert_eq!(platform.read(BUDGET), rival);
    assert!(apply(&platform.client, "ana", &[mine]).unwrap().done);
    assert_eq!(platform.read(BUDGET)["top_ups"], json!({ "a": 6, "b": 7 }));
    assert_eq!(platform.read(BUDGET)["changed_by"], json!({ "operator": "ana", "over": 2 }));
}

#[test]
fn loser_of_the_same_field_sees_all_three_values() {
    let platform = Platform::open();
    platform.write(BUDGET, &budget(json!({ "a": 5 })));
    let table = raced(&platform, budget(json!({ "a": 9 })));
    let report = apply(&table, "ana", &[file("same-field", &budget(json!({ "a": 6 })))]).unwrap();
    assert!(report.text.contains("top_ups.a: read 5, now 9, yours 6"), "{}", report.text);
}

/// A fault of the platform during a write.
struct Fault {
    fault: Value,
    done: bool,
    text: &'static str,
    /// The record stands afterwards.
    written: bool,
}

#[test_case("lost-once", Fault {
    fault: json!({ "kind": "lose_answers", "count": 1 }), done: true,
    text: "applied at revision 1; the first answer was lost", written: true,
}; "answer lost once")]
#[test_case("lost-thrice", Fault {
    fault: json!({ "kind": "lose_answers", "count": 3 }), done: true,
    text: "applied at revision 1; the first answer was lost", written: true,
}; "answer lost three times")]
#[test_case("lost-always", Fault {
    fault: json!({ "kind": "lose_answers" }), done: false,
    text: "unknown: no answer came", written: true,
}; "answers lost for good")]
fn lost_answer_is_recognised(name: &str, case: Fault) {
    let platform = Platform::open();
    let record = file(name, &budget(json!({ "a": 5 })));
    platform.fault(&case.fault);
    let report = apply(&platform.client, "ana", std::slice::from_ref(&record)).unwrap();
    assert_eq!(report.done, case.done, "{}", report.text);
    assert!(report.text.contains(case.text), "{}", report.text);
    platform.fault(&json!({ "kind": "up" }));
    assert_eq!(platform.row(BUDGET).value.is_some(), case.written);
    assert_eq!(platform.count("commits"), 1);
    let again = apply(&platform.client, "ana", &[record]).unwrap();
    assert!(again.text.contains("unchanged at revision 1"), "{}", again.text);
}

/// A table whose commits come to these outcomes, the last one from then on, and do nothing.
struct Away {
    outcomes: Vec<Outcome>,
    commits: Cell<usize>,
    platform: Platform,
}

impl Table for Away {
    fn run(&self, op: &Op) -> Outcome {
        if !matches!(op, Op::Commit(_)) {
            return self.platform.client.run(op);
        }
        let at = self.commits.replace(self.commits.get() + 1);
        self.outcomes[at.min(self.outcomes.len() - 1)].clone()
    }
}

#[test_case("refused", vec![Outcome::Unavailable], "failed: the platform can't be reached"; "refused")]
#[test_case("silent", vec![Outcome::Unknown], "unknown: no answer came"; "silent")]
#[test_case("lost-then-refused", vec![Outcome::Unknown, Outcome::Unavailable], "unknown: no answer came"; "refused after a lost answer")]
fn platform_away_is_told_apart(name: &str, outcomes: Vec<Outcome>, text: &str) {
    let table = Away { outcomes, commits: Cell::new(0), platform: Platform::open() };
    let report = apply(&table, "ana", &[file(name, &budget(json!({})))]).unwrap();
    assert!(!report.done);
    assert!(report.text.contains(text), "{}", report.text);
}

#[test]
fn rival_between_a_lost_answer_and_its_repeat_is_reported() {
    struct LostThenRaced(Platform, Cell<bool>);
    impl Table for LostThenRaced {
        fn run(&self, op: &Op) -> Outcome {
            let outcome = self.0.client.run(op);
            if !matches!(op, Op::Commit(_)) || self.1.replace(true) {
                return outcome;
            }
            self.0.write(BUDGET, &budget(json!({ "a": 5, "b": 1 })));
            Outcome::Unknown
        }
    }
    let table = LostThenRaced(Platform::open(), Cell::new(false));
    let report = apply(&table, "ana", &[file("rival", &budget(json!({ "a": 5 })))]).unwrap();
    assert!(!report.done);
    assert!(report.text.contains("it may have stood for a time"), "{}", report.text);
}

#[test]
fn invalid_record_holds_back_all() {
    let platform = Platform::open();
    let operator =
        json!({ "kind": "operator", "version": 2, "name": "ana", "token_hashes": ["x"] });
    let records = file("invalid", &json!([budget(json!({ "a": 5 })), operator]));
    let report = apply(&platform.client, "ana", &[records]).unwrap();
    assert!(!report.done);
    assert!(
        report.text.contains("config/operator/ana: token_hashes[0]: expected"),
        "{}",
        report.text
    );
    assert_eq!(platform.count("commits"), 0);
}

#[test_case(1, json!({ "kind": "budget", "version": 1, "name": "grants", "workspace": "centro", "prepaid": 50 }), true, json!({ "a": 5, "prepaid": 50 }))]
#[test_case(2, budget(json!({ "a": 4 })), false, json!({ "a": 5 }))]
fn top_ups_survive_other_writes(case: u64, write: Value, done: bool, top_ups: Value) {
    let platform = Platform::open();
    platform.write(BUDGET, &budget(json!({ "a": 5 })));
    let report =
        apply(&platform.client, "ana", &[file(&format!("survive-{case}"), &write)]).unwrap();
    assert_eq!(report.done, done, "{}", report.text);
    assert_eq!(platform.read(BUDGET)["top_ups"], top_ups);
}

#[test]
fn racing_top_ups_all_count_once() {
    const OPERATORS: u64 = 6;
    const EACH: u64 = 5;

    let platform = Platform::open();
    platform.write(BUDGET, &budget(json!({})));
    let add = |operator: u64| {
        for number in 0..EACH {
            let id = format!("{operator}-{number}");
            for id in [id.as_str(), id.as_str(), "shared"] {
                let report = top_up(&platform.client, "ana", "grants", id, 10).unwrap();
                assert!(report.done, "{}", report.text);
            }
        }
    };
    thread::scope(|scope| {
        for operator in 0..OPERATORS {
            scope.spawn(move || add(operator));
        }
    });
    let top_ups = platform.read(BUDGET)["top_ups"].clone();
    assert_eq!(top_ups.as_object().unwrap().len() as u64, OPERATORS * EACH + 1);
    assert_eq!(platform.count("commits"), OPERATORS * EACH + 2);
}

#[test]
fn top_up_whose_answer_was_lost_counts_once() {
    let platform = Platform::open();
    platform.write(BUDGET, &budget(json!({ "a": 5 })));
    platform.fault(&json!({ "kind": "lose_answers", "count": 1 }));
    assert!(top_up(&platform.client, "ana", "grants", "b", 7).unwrap().done);
    assert!(top_up(&platform.client, "ana", "grants", "b", 7).unwrap().done);
    assert_eq!(platform.read(BUDGET)["top_ups"], json!({ "a": 5, "b": 7 }));
    let error = top_up(&platform.client, "ana", "grants", "b", 8).unwrap_err().to_string();
    assert!(error.contains("the id b was used for 7 tokens"), "{error}");
}

#[test]
fn drawn_budget_is_not_deleted() {
    let platform = Platform::open();
    let delete = || -> Report { delete(&platform.client, Kind::Budget, "grants").unwrap() };
    platform.write(BUDGET, &budget(json!({ "a": 5 })));
    platform.write("escrow/grants", &json!({ "granted": 5 }));
    let report = delete();
    assert!(!report.done);
    assert!(report.text.contains("refused: tokens were granted from it"), "{}", report.text);
    assert!(platform.row(BUDGET).value.is_some());
    platform.write("config/budget/fresh", &json!({}));
    assert!(ctl::delete::delete(&platform.client, Kind::Budget, "fresh").unwrap().done);
    assert!(!ctl::delete::delete(&platform.client, Kind::Budget, "fresh").unwrap().done);
}
