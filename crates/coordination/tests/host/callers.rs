//! Callers that come back with the same key or ticket.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use coordination::host::action::{Outcome, Problem};

use crate::{backends::token, records::CALL_TOKENS};

/// What a caller asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// An answer of a model, under a key.
    Model(&'static str),
    /// An answer of a model, without a key.
    Single(&'static str),
    /// A call of a plain service that may be repeated.
    Status,
    /// A call that may run at most once.
    Pay,
    /// A ticket, for others to use.
    Ticket,
}

/// How a try ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    Whole,
    Failed(Problem),
    Lost,
}

/// A caller with one request.
#[derive(Debug, Clone)]
pub struct Job {
    pub name: Arc<str>,
    pub kind: Kind,
    pub budget: &'static str,
    /// Ticket, once issued.
    pub ticket: Option<Arc<str>>,
    pub tries_left: u32,
    /// Number of the try in progress; earlier ones are over.
    pub current: u64,
    pub began: Duration,
    /// Tokens of the try in progress.
    pub read: u64,
    pub verdicts: Vec<(Duration, usize, Verdict)>,
}

impl Job {
    /// Takes a token of the answer.
    pub fn token(&mut self, offset: u64, text: &str) {
        assert_eq!(offset, self.read, "{} in order", self.name);
        assert_eq!(text, token(&self.name, offset), "{} gets its own answer", self.name);
        self.read += 1;
    }

    /// Returns the tokens charged for its whole answer.
    pub fn price(&self) -> u64 {
        match self.kind {
            Kind::Status | Kind::Pay | Kind::Ticket => CALL_TOKENS,
            Kind::Model(_) | Kind::Single(_) => {
                let prompt = crate::backends::prompt(&self.name).len() as u64;
                prompt.div_ceil(4) + crate::backends::answer_tokens(&self.name)
            }
        }
    }
}

/// Returns the outcome that a caller was told.
pub fn outcome(verdict: &Verdict) -> Option<Outcome> {
    match verdict {
        Verdict::Failed(problem) => Some(problem.outcome),
        _ => None,
    }
}

/// Counts failures by code.
pub fn codes<'a>(jobs: impl IntoIterator<Item = &'a Job>) -> BTreeMap<&'static str, u64> {
    let mut codes = BTreeMap::new();
    for (_, _, verdict) in jobs.into_iter().flat_map(|job| &job.verdicts) {
        let code = match verdict {
            Verdict::Whole => "whole",
            Verdict::Lost => "lost",
            Verdict::Failed(problem) => problem.code,
        };
        *codes.entry(code).or_default() += 1;
    }
    codes
}
