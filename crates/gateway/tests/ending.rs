//! What may follow each way that a send can end.

use gateway::ending::{Course, Ending, Outcome};
use test_case::test_case;

struct Case {
    repeatable: bool,
    sends: u32,
    endings: &'static [Ending],
    /// Whether another send is allowed after each ending.
    again: &'static [bool],
    outcome: Outcome,
}

#[test_case(Case {
    repeatable: false,
    sends: 1,
    endings: &[Ending::NotSent, Ending::NotSent],
    again: &[true, true],
    outcome: Outcome::NotRun,
}; "connections that never came about leave a call that must run once untouched")]
#[test_case(Case {
    repeatable: false,
    sends: 2,
    endings: &[Ending::NotRun],
    again: &[true],
    outcome: Outcome::NotRun,
}; "a call that was refused may go elsewhere")]
#[test_case(Case {
    repeatable: false,
    sends: 1,
    endings: &[Ending::NotRun],
    again: &[false],
    outcome: Outcome::NotRun,
}; "but not beyond the number of sends")]
#[test_case(Case {
    repeatable: false,
    sends: 5,
    endings: &[Ending::Unknown],
    again: &[false],
    outcome: Outcome::Unknown,
}; "a call that may have run is never sent again")]
#[test_case(Case {
    repeatable: true,
    sends: 3,
    endings: &[Ending::Unknown, Ending::NotRun],
    again: &[true, true],
    outcome: Outcome::Unknown,
}; "what may have run once is never called not run later")]
#[test_case(Case {
    repeatable: true,
    sends: 2,
    endings: &[Ending::Failed, Ending::Failed],
    again: &[true, false],
    outcome: Outcome::Unknown,
}; "a failure of the backend server is a run")]
#[test_case(Case {
    repeatable: true,
    sends: 2,
    endings: &[Ending::NotSent, Ending::NotSent, Ending::NotSent, Ending::NotSent],
    again: &[true, true, true, false],
    outcome: Outcome::NotRun,
}; "connections are tried a bounded number of times")]
fn course_allows_what_the_endings_leave(case: Case) {
    let mut course = Course::open(case.repeatable, case.sends, 4);
    for (ending, again) in case.endings.iter().zip(case.again) {
        course.sent();
        assert_eq!(course.outcome(), Outcome::Unknown, "a send under way may run");
        assert_eq!(course.ended(*ending), *again, "{ending:?}");
    }
    assert_eq!(course.outcome(), case.outcome);
}
