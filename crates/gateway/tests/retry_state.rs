//! What may follow each way that a send can end.

use gateway::retry_state::{AttemptFailure, ExecutionStatus, RetryState};
use test_case::test_case;

struct Case {
    repeatable: bool,
    sends: u32,
    endings: &'static [AttemptFailure],
    /// Whether another send is allowed after each ending.
    again: &'static [bool],
    outcome: ExecutionStatus,
}

#[test_case(Case {
    repeatable: false,
    sends: 1,
    endings: &[AttemptFailure::NotSent, AttemptFailure::NotSent],
    again: &[true, true],
    outcome: ExecutionStatus::NotRun,
}; "connections that never came about leave a call that must run once untouched")]
#[test_case(Case {
    repeatable: false,
    sends: 2,
    endings: &[AttemptFailure::NotRun],
    again: &[true],
    outcome: ExecutionStatus::NotRun,
}; "a call that was refused may go elsewhere")]
#[test_case(Case {
    repeatable: false,
    sends: 1,
    endings: &[AttemptFailure::NotRun],
    again: &[false],
    outcome: ExecutionStatus::NotRun,
}; "but not beyond the number of sends")]
#[test_case(Case {
    repeatable: false,
    sends: 5,
    endings: &[AttemptFailure::Unknown],
    again: &[false],
    outcome: ExecutionStatus::Unknown,
}; "a call that may have run is never sent again")]
#[test_case(Case {
    repeatable: true,
    sends: 3,
    endings: &[AttemptFailure::Unknown, AttemptFailure::NotRun],
    again: &[true, true],
    outcome: ExecutionStatus::Unknown,
}; "what may have run once is never called not run later")]
#[test_case(Case {
    repeatable: true,
    sends: 2,
    endings: &[AttemptFailure::Failed, AttemptFailure::Failed],
    again: &[true, false],
    outcome: ExecutionStatus::Unknown,
}; "a failure of the backend server is a run")]
#[test_case(Case {
    repeatable: true,
    sends: 2,
    endings: &[AttemptFailure::NotSent, AttemptFailure::NotSent, AttemptFailure::NotSent, AttemptFailure::NotSent],
    again: &[true, true, true, false],
    outcome: ExecutionStatus::NotRun,
}; "connections are tried a bounded number of times")]
fn course_allows_what_the_endings_leave(case: Case) {
    let mut course = RetryState::new(case.repeatable, case.sends, 4);
    for (ending, again) in case.endings.iter().zip(case.again) {
        course.begin_attempt();
        assert_eq!(course.status(), ExecutionStatus::Unknown, "a send under way may run");
        assert_eq!(course.finish_attempt(*ending), *again, "{ending:?}");
    }
    assert_eq!(course.status(), case.outcome);
}
