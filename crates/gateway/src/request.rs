//! What a caller asks for, apart from how it is written.

use std::{sync::Arc, time::Duration};

use coordination::locate::{hash, mix64};

/// A part of a prompt that other requests share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Hash of this part and all before it.
    pub prefix_hash: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// Size and parts of a generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub input: u64,
    /// Most tokens of the answer.
    pub output: u64,
    /// Shared parts in order; the end of the prompt, which is the request's own, is left out.
    pub shared: Vec<Part>,
}

impl Prompt {
    /// Composes a prompt from the names and lengths of its shared parts.
    pub fn new<'a>(
        input: u64,
        output: u64,
        parts: impl IntoIterator<Item = (&'a str, u64)>,
    ) -> Self {
        let mut chain = 0;
        let shared = parts.into_iter().map(|(name, tokens)| {
            chain = mix64(chain ^ hash(name.as_bytes()));
            Part { prefix_hash: chain, tokens }
        });
        Self { input, output, shared: shared.collect() }
    }

    /// Returns the tokens that other requests share.
    pub fn shared_tokens(&self) -> u64 {
        self.shared.iter().map(|part| part.tokens).sum()
    }

    /// Returns the most tokens that the request can use.
    pub fn max_charge(&self) -> u64 {
        self.input + self.output
    }
}

/// A request as its head tells it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Id that the caller gave to this attempt.
    pub id: Arc<str>,
    /// Host name asked for, in lowercase and without a port.
    pub host: Arc<str>,
    /// Key of the caller.
    pub key: Option<Arc<str>>,
    /// How long the caller will wait.
    pub max_wait: Option<Duration>,
    /// Set where the request is a generation.
    pub prompt: Option<Prompt>,
    /// Last event that the caller has of a stream that it resumes.
    pub resume_after: Option<u64>,
}

/// Why a request gets no answer of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It can't be read.
    Malformed,
    /// Its body is too long.
    BodyTooLarge,
    /// It did not arrive in time, and did not run.
    TimeoutNotRun,
    /// No route leads anywhere.
    NoRoute,
    /// Its key is unknown.
    UnknownKey,
    /// The workspace's budget doesn't cover it.
    BudgetExhausted,
    /// It did not run; to be tried again after a time.
    NotRun(Duration),
    /// It may have run, and its answer is lost.
    Unknown,
    /// It may have run, and no answer came in time.
    TimeoutUnknown,
}

impl Refusal {
    /// Returns a word for logs and metrics.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::BodyTooLarge => "too_long",
            Self::TimeoutNotRun => "slow",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "no_key",
            Self::BudgetExhausted => "exhausted",
            Self::NotRun(_) => "not_run",
            Self::Unknown => "unknown",
            Self::TimeoutUnknown => "late",
        }
    }
}
