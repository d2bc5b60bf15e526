//! Accounts that are read while the fleet writes.

use std::cell::Cell;

use crate::common::{BUDGET, Platform, budget};
use coordination::{
    escrow,
    table::{Op, Outcome},
};
use ctl::table::Table;
use serde_json::json;
use test_case::test_case;

/// A table whose grants are missing from the first readings.
struct Torn {
    platform: Platform,
    readings: Cell<u32>,
}

impl Table for Torn {
    fn run(&self, op: &Op) -> Outcome {
        let late =
            matches!(op, Op::Scan { prefix, .. } if prefix.starts_with(escrow::GRANT_PREFIX));
        if late && self.readings.get() > 0 {
            self.readings.set(self.readings.get() - 1);
            return Outcome::Rows(Vec::new());
        }
        self.platform.client.run(op)
    }
}

#[test_case(0, true; "whole")]
#[test_case(2, true; "torn twice")]
#[test_case(9, false; "never whole")]
fn torn_reading_is_read_again(readings: u32, done: bool) {
    let platform = Platform::open();
    platform.write(BUDGET, &budget(json!({ "a": 100 })));
    platform.write("escrow/grants", &json!({ "granted": 40 }));
    platform.write("grant/grants/h-a.1", &json!({ "granted": 40 }));
    let table = Torn { platform, readings: Cell::new(readings) };
    let report = ctl::budget::budget(&table, Some("grants"), true).unwrap();
    assert_eq!(report.done, done, "{}", report.text);
}

#[test]
fn row_that_cannot_be_read_is_named() {
    let platform = Platform::open();
    platform.write(BUDGET, &json!({ "kind": "budget" }));
    let report = ctl::budget::budget(&platform.client, Some("grants"), false).unwrap();
    assert!(!report.done);
    assert!(report.text.contains("config/budget/grants: FAULT"), "{}", report.text);
}

#[test]
fn absent_budget_is_an_error() {
    let platform = Platform::open();
    let error = ctl::budget::budget(&platform.client, Some("none"), false).unwrap_err();
    assert!(error.to_string().contains("config/budget/none: absent"), "{error}");
}
