//! Tests of the record of when an era of the table began.

use std::{cell::RefCell, time::Duration};

use coordination::table::{Op, Outcome, Revision, Row};
use futures_util::FutureExt as _;
use gateway::{
    account::Loss,
    backend::Entry,
    dialect::{Changes, Read, Source, Unavailable, Update},
    era::{self, EraStart, Knowledge, Unrecorded},
};
use test_case::test_case;

/// A platform that has only a table with one row.
struct Platform {
    now_ms: u64,
    era: u64,
    /// Era that the first answer stated.
    first_era: u64,
    row: RefCell<Option<EraStart>>,
    /// Whether another host writes the row between a read and a write.
    is_contended: bool,
}

impl Source for Platform {
    async fn catalog(&self, _: Option<u64>, _: Duration) -> Result<Read<Update>, Unavailable> {
        unreachable!("only the table is used")
    }

    fn is_catalog_arriving(&self) -> bool {
        unreachable!("only the table is used")
    }

    async fn backends(&self) -> Result<Read<Vec<Entry>>, Unavailable> {
        unreachable!("only the table is used")
    }

    fn clock_ms(&self) -> Option<u64> {
        Some(self.now_ms)
    }

    fn latest_clock_ms(&self) -> Option<u64> {
        Some(self.now_ms)
    }

    fn answered_ms(&self) -> Option<u64> {
        Some(self.now_ms)
    }

    fn era(&self) -> u64 {
        self.era
    }

    fn first_era(&self) -> u64 {
        self.first_era
    }

    async fn changes(
        &self,
        _: &str,
        _: Option<Revision>,
        _: Duration,
    ) -> Result<Option<Changes>, Unavailable> {
        unreachable!("only the table is used")
    }

    async fn table(&self, op: &Op) -> Outcome {
        let text = |start: &EraStart| serde_json::to_string(start).expect("text").into();
        let value = self.row.borrow().as_ref().map(text);
        let row = Row { key: "fleet/era".into(), value, revision: 1 };
        match op {
            Op::Read(_) => Outcome::Rows(vec![row]),
            Op::Commit(_) if self.is_contended => Outcome::Conflict(vec![row]),
            Op::Commit(txn) => {
                let value = txn.writes[0].value.as_ref().expect("a value");
                *self.row.borrow_mut() = Some(serde_json::from_str(value).expect("a start"));
                Outcome::Committed(2)
            }
            Op::Scan { .. } | Op::Changes { .. } => unreachable!("only one row is used"),
        }
    }
}

const FIRST: EraStart = EraStart { era: 1, since_ms: 100, founded_ms: 100, is_complete: false };
const LATER: EraStart = EraStart { era: 2, since_ms: 9_000, founded_ms: 100, is_complete: false };

struct Completion {
    recorded: EraStart,
    now_ms: u64,
    is_contended: bool,
    is_complete: bool,
}

#[test_case(Completion { recorded: FIRST, now_ms: 20_000, is_contended: false, is_complete: false }; "rows from the foundation may still be written")]
#[test_case(Completion { recorded: FIRST, now_ms: 20_200, is_contended: false, is_complete: true }; "all rows from the foundation are written")]
#[test_case(Completion { recorded: FIRST, now_ms: 20_200, is_contended: true, is_complete: false }; "another host writes the row")]
#[test_case(Completion { recorded: LATER, now_ms: 60_000, is_contended: false, is_complete: false }; "lost rows may still be written again")]
#[test_case(Completion { recorded: LATER, now_ms: 69_100, is_contended: false, is_complete: true }; "all lost rows are written again")]
fn row_is_complete_once_no_earlier_budget_gets_its_row(case: Completion) {
    let platform = Platform {
        now_ms: case.now_ms,
        era: case.recorded.era,
        first_era: case.recorded.era,
        row: RefCell::new(Some(case.recorded)),
        is_contended: case.is_contended,
    };
    let completed = era::complete(&platform).now_or_never().expect("no wait");
    assert_eq!(completed.is_some_and(|start| start.is_complete), case.is_complete);
    let row = platform.row.borrow().expect("a row");
    assert_eq!(row, EraStart { is_complete: case.is_complete, ..case.recorded });
}

struct Return {
    recorded: Option<EraStart>,
    /// When the first host notices it.
    noticed_ms: u64,
    loss: Loss,
}

#[test_case(Return { recorded: None, noticed_ms: 90_000, loss: Loss::Any }; "the copy is older than the row")]
#[test_case(Return { recorded: Some(FIRST), noticed_ms: 5_000, loss: Loss::Any }; "the copy is from the foundation")]
#[test_case(Return { recorded: Some(FIRST), noticed_ms: 90_000, loss: Loss::Any }; "the copy is from the foundation, and its return is noticed late")]
#[test_case(Return { recorded: Some(EraStart { is_complete: true, ..FIRST }), noticed_ms: 90_000, loss: Loss::New }; "the copy has all rows from the foundation")]
#[test_case(Return { recorded: Some(LATER), noticed_ms: 90_000, loss: Loss::Any }; "the copy is from shortly after another return")]
fn lost_rows_follow_from_the_copy_and_not_from_when_it_is_noticed(case: Return) {
    let row = RefCell::new(case.recorded);
    let now_ms = case.noticed_ms;
    let platform = Platform { now_ms, era: 3, first_era: 3, row, is_contended: false };
    let recorded = era::read_or_record(&platform, false, Duration::ZERO);
    let recorded = recorded.now_or_never().expect("no wait");
    let start = recorded.expect("a start");
    assert_eq!(start.lost_rows(case.noticed_ms), case.loss);
    assert!(!start.is_founding(case.noticed_ms));
}

/// A process that had been turned away in an earlier era took a restored table for that of a fleet
/// which was being founded, and one that was killed before the fleet was founded took a new table for
/// a restored one.
#[test_case(Knowledge { era: 1, first_era: 1, is_first_start: true, waited: Duration::ZERO }, Unrecorded::Founding; "the first era of the platform")]
#[test_case(Knowledge { era: 0, first_era: 0, is_first_start: true, waited: Duration::ZERO }, Unrecorded::Founding; "a platform without eras")]
#[test_case(Knowledge { era: 2, first_era: 1, is_first_start: true, waited: Duration::from_secs(60) }, Unrecorded::Restored; "a process that has seen an earlier era")]
#[test_case(Knowledge { era: 2, first_era: 2, is_first_start: true, waited: Duration::ZERO }, Unrecorded::Undecided; "a process that hasn't, at once")]
#[test_case(Knowledge { era: 2, first_era: 2, is_first_start: true, waited: Duration::from_secs(3) }, Unrecorded::Founding; "a process that hasn't, as no other one records the era")]
#[test_case(Knowledge { era: 2, first_era: 2, is_first_start: false, waited: Duration::from_secs(3) }, Unrecorded::Restored; "a process of a fleet that has started before")]
#[test_case(Knowledge { era: 1, first_era: 1, is_first_start: false, waited: Duration::ZERO }, Unrecorded::Founding; "a restarted process and a table that was never restored")]
#[test_case(Knowledge { era: 0, first_era: 0, is_first_start: false, waited: Duration::ZERO }, Unrecorded::Founding; "a restarted process and a platform without eras")]
#[test_case(Knowledge { era: 1, first_era: 0, is_first_start: false, waited: Duration::ZERO }, Unrecorded::Restored; "a restarted process that has seen the era rise")]
fn era_without_a_record_is_judged(knowledge: Knowledge, judged: Unrecorded) {
    assert_eq!(knowledge.judge_unrecorded(), judged);
}
