//! Callers that retry with the same idempotency key or ticket.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use coordination::host::action::{Outcome, Problem};

use crate::{backends::answer_token, records::CALL_TOKENS};

/// Kind of a caller's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Answer of a model to the named service, with an idempotency key.
    Model(&'static str),
    /// Answer of a model to the named service, without an idempotency key and so without retries.
    KeylessModel(&'static str),
    /// Idempotent service call.
    Status,
    /// Service call with a ticket, which must run at most once.
    Pay,
    /// Issue of a ticket that other callers use.
    Ticket,
}

/// Result of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptResult {
    /// The caller got the complete answer.
    Complete,
    /// The host reported an error.
    Failed(Problem),
    /// The connection closed before an answer, or the caller timed out.
    ConnectionLost,
}

/// Caller with one request.
#[derive(Debug, Clone)]
pub struct Job {
    pub name: Arc<str>,
    pub kind: Kind,
    pub budget: &'static str,
    /// Ticket, once it is issued.
    pub ticket: Option<Arc<str>>,
    pub attempts_left: u32,
    /// Id under which the host knows the newest attempt.
    pub caller: u64,
    /// Start of the newest attempt.
    pub started_at: Duration,
    /// Number of tokens received by the newest attempt.
    pub tokens_read: u64,
    /// Time, host index and result of each attempt that ended.
    pub results: Vec<(Duration, usize, AttemptResult)>,
}

impl Job {
    /// Receives a token of the answer and checks its order and text.
    pub fn receive_token(&mut self, offset: u64, text: &str) {
        assert_eq!(offset, self.tokens_read, "token order of {}", self.name);
        assert_eq!(text, answer_token(&self.name, offset), "token of {}", self.name);
        self.tokens_read += 1;
    }

    /// Returns the tokens that a complete answer is charged.
    pub fn expected_charge(&self) -> u64 {
        match self.kind {
            Kind::Status | Kind::Pay | Kind::Ticket => CALL_TOKENS,
            Kind::Model(_) | Kind::KeylessModel(_) => {
                let prompt = crate::backends::prompt(&self.name).len() as u64;
                prompt.div_ceil(4) + crate::backends::answer_len(&self.name)
            }
        }
    }
}

/// Returns the outcome that the host reported with an error.
pub fn reported_outcome(result: &AttemptResult) -> Option<Outcome> {
    match result {
        AttemptResult::Failed(problem) => Some(problem.outcome),
        _ => None,
    }
}

/// Counts the results of attempts by error code, `complete` or `lost`.
pub fn count_by_code<'a>(jobs: impl IntoIterator<Item = &'a Job>) -> BTreeMap<&'static str, u64> {
    let mut count_by_code = BTreeMap::new();
    for (_, _, result) in jobs.into_iter().flat_map(|job| &job.results) {
        let code = match result {
            AttemptResult::Complete => "complete",
            AttemptResult::ConnectionLost => "lost",
            AttemptResult::Failed(problem) => problem.code,
        };
        *count_by_code.entry(code).or_default() += 1;
    }
    count_by_code
}
