//! Whether a request may be retried after each kind of failure, and what its caller is told.

use gateway::retry_state::{AttemptFailure, ExecutionStatus, RetryState};
use test_case::test_case;

struct Case {
    retryable: bool,
    max_attempts: u32,
    failures: &'static [AttemptFailure],
    /// Whether another attempt is allowed after each failure.
    can_retry: &'static [bool],
    status: ExecutionStatus,
}

#[test_case(Case {
    retryable: false,
    max_attempts: 1,
    failures: &[AttemptFailure::NotSent, AttemptFailure::NotSent],
    can_retry: &[true, true],
    status: ExecutionStatus::NotRun,
}; "failed connections leave a request that must run once retryable")]
#[test_case(Case {
    retryable: false,
    max_attempts: 2,
    failures: &[AttemptFailure::NotRun],
    can_retry: &[true],
    status: ExecutionStatus::NotRun,
}; "a request that did not run may go to another backend server")]
#[test_case(Case {
    retryable: false,
    max_attempts: 1,
    failures: &[AttemptFailure::NotRun],
    can_retry: &[false],
    status: ExecutionStatus::NotRun,
}; "but not beyond the number of attempts")]
#[test_case(Case {
    retryable: false,
    max_attempts: 5,
    failures: &[AttemptFailure::Unknown],
    can_retry: &[false],
    status: ExecutionStatus::Unknown,
}; "a request that may have run is never sent again")]
#[test_case(Case {
    retryable: true,
    max_attempts: 3,
    failures: &[AttemptFailure::Unknown, AttemptFailure::NotRun],
    can_retry: &[true, true],
    status: ExecutionStatus::Unknown,
}; "a request that may have run once is never reported as not run")]
#[test_case(Case {
    retryable: true,
    max_attempts: 2,
    failures: &[AttemptFailure::Failed, AttemptFailure::Failed],
    can_retry: &[true, false],
    status: ExecutionStatus::Unknown,
}; "a request that failed at the backend server may have run")]
#[test_case(Case {
    retryable: true,
    max_attempts: 2,
    failures: &[
        AttemptFailure::NotSent,
        AttemptFailure::NotSent,
        AttemptFailure::NotSent,
        AttemptFailure::NotSent,
    ],
    can_retry: &[true, true, true, false],
    status: ExecutionStatus::NotRun,
}; "the number of failed connections is limited")]
fn retries_follow_only_the_failures_that_allow_them(case: Case) {
    let mut state = RetryState::new(case.retryable, case.max_attempts, 4);
    for (failure, can_retry) in case.failures.iter().zip(case.can_retry) {
        state.begin_attempt();
        assert_eq!(state.status(), ExecutionStatus::Unknown, "a request in flight may run");
        assert_eq!(state.finish_attempt(*failure), *can_retry, "{failure:?}");
    }
    assert_eq!(state.status(), case.status);
}

/// A silent attempt that goes on, since no other one could be sent, doesn't use up an attempt.
#[test]
fn attempt_that_goes_on_leaves_the_number_of_attempts() {
    let mut state = RetryState::new(true, 2, 4);
    state.begin_attempt();
    for _ in 0..3 {
        assert!(state.can_retry());
        assert!(state.finish_attempt(AttemptFailure::Unknown));
        assert!(state.is_retry() && !state.can_retry());
        state.continue_attempt();
        assert_eq!(state.status(), ExecutionStatus::Unknown);
    }
    assert!(state.finish_attempt(AttemptFailure::Unknown));
    assert!(!state.finish_attempt(AttemptFailure::NotRun));
    assert_eq!(state.status(), ExecutionStatus::Unknown);
}

/// An attempt that goes on after the one that was to replace it was given up leaves the others to be
/// made.
#[test]
fn attempt_that_is_given_up_for_a_former_one_counts_once() {
    let mut state = RetryState::new(true, 3, 4);
    state.begin_attempt();
    assert!(state.finish_attempt(AttemptFailure::Unknown));
    state.begin_attempt();
    assert!(state.finish_attempt(AttemptFailure::Unknown));
    state.continue_attempt();
    assert!(state.can_retry(), "the third one");
    assert!(state.finish_attempt(AttemptFailure::Unknown));
    state.begin_attempt();
    assert!(!state.finish_attempt(AttemptFailure::Unknown));
}
