//! Errors that callers get.

use std::{sync::Arc, time::Duration};

use super::action::{Outcome, Problem};
use crate::{answer::Failure, claim, holder::Reason};

/// Time after which to retry a request to a host that is not ready, in milliseconds.
const NOT_READY_RETRY_MS: u64 = 1_000;

/// Time after which to repeat a request whose ticket has no outcome yet, in milliseconds.
const RECHECK_MS: u64 = 2_000;

/// Returns the problem of a request that did not run.
pub fn refused(status: u16, code: &'static str, detail: impl Into<Arc<str>>) -> Problem {
    let (outcome, detail) = (Outcome::NotRun, detail.into());
    Problem { status, code, outcome, detail, retry_after_ms: None }
}

/// Returns the problem of a request that did not run and may be retried after `wait`.
pub fn later(
    status: u16,
    code: &'static str,
    detail: impl Into<Arc<str>>,
    wait: Duration,
) -> Problem {
    let retry_after_ms = Some(milliseconds(wait));
    Problem { retry_after_ms, ..refused(status, code, detail) }
}

/// Returns the problem of a request to a host that does not take requests yet, or no longer.
pub fn not_ready(detail: &'static str) -> Problem {
    later(503, "not_ready", detail, Duration::from_millis(NOT_READY_RETRY_MS))
}

/// Returns the problem of a request whose reservation was refused.
pub fn reservation(reason: Reason, wait: Duration) -> Problem {
    match reason {
        Reason::Exhausted => {
            later(402, "budget_exhausted", "what is left of the budget does not cover it", wait)
        }
        Reason::PlatformUnreachable => {
            let detail = "what this host holds does not cover it and the platform is away";
            later(503, "budget_unreachable", detail, wait)
        }
        Reason::UnknownBudget => refused(404, "unknown_budget", "no such budget"),
        Reason::Unreplicated => {
            later(503, "unreplicated", "no other host can keep a copy of the reservation", wait)
        }
        Reason::Draining => later(503, "draining", "this host is leaving", wait),
        Reason::Fenced => later(503, "fenced", "this host was taken for dead", wait),
    }
}

/// Returns the problem of a stream that ended without a whole answer.
pub fn stream_failure(failure: &Failure) -> Problem {
    match failure {
        Failure::NotRun { retry_after } => {
            later(503, "no_backend", "no back end took the request", *retry_after)
        }
        Failure::Cancelling { retry_after } => {
            let detail = "an earlier run of the request is being ended";
            let outcome = Outcome::Incomplete;
            Problem { outcome, ..later(409, "ending", detail, *retry_after) }
        }
        Failure::Incomplete { delivered } => Problem {
            status: 502,
            code: "incomplete",
            outcome: Outcome::Incomplete,
            detail: format!("the answer broke off after {delivered} tokens").into(),
            retry_after_ms: Some(NOT_READY_RETRY_MS),
        },
        Failure::Mismatch => mismatch(),
    }
}

/// Returns the problem of an idempotency key that was used with another body.
pub fn mismatch() -> Problem {
    refused(422, "key_reused", "the key was used with another body")
}

/// Returns the problem of a call of which it is unknown whether it ran.
pub fn unknown_outcome(reason: claim::UnknownReason) -> Problem {
    let (detail, retry_after_ms) = match reason {
        claim::UnknownReason::NoAnswer => ("it was sent and no whole answer came back", None),
        claim::UnknownReason::InFlight => ("another run of this ticket goes on", Some(RECHECK_MS)),
        claim::UnknownReason::IssuerUnreachable => {
            ("the host that decides this ticket can't be reached", Some(RECHECK_MS))
        }
        claim::UnknownReason::Expired => ("the ticket is no longer decided", None),
    };
    let (status, code, outcome) = (504, "unknown", Outcome::Unknown);
    Problem { status, code, outcome, detail: detail.into(), retry_after_ms }
}

/// Returns the problem of a call that did not run and can't run any more with its ticket.
pub fn ticket_spent() -> Problem {
    refused(409, "not_run", "the call did not run and won't with this ticket; take a new one")
}

fn milliseconds(wait: Duration) -> u64 {
    u64::try_from(wait.as_millis()).unwrap_or(u64::MAX)
}
