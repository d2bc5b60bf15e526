//! A caller's request, independent of the platform's protocol.

use std::{sync::Arc, time::Duration};

use coordination::locate::{hash, mix64};
use hyper::http::request;

use crate::retry_state::ExecutionStatus;

/// Reason of a request that wasn't answered by its deadline, and may have run.
pub const LATE: &str = "late";

/// Longest name of a part of a prompt that is kept, in bytes.
const MAX_PART_NAME_BYTES: usize = 64;

/// A part of a prompt that other requests share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Name that the caller gave to it; a long one is replaced by its hash.
    pub name: Arc<str>,
    /// Hash of this part and all parts before it.
    pub prefix_hash: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// Size of a generation and shared parts of its prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// Number of tokens in the prompt.
    pub input: u64,
    /// Maximum number of tokens in the response.
    pub output: u64,
    /// Shared parts in order, without the end of the prompt, which belongs to this request alone.
    pub shared: Vec<Part>,
    /// The end of the prompt, if it is named.
    pub end: Option<Part>,
}

impl Prompt {
    /// Creates a prompt from the names and lengths in tokens of its shared parts.
    pub fn new<'a>(
        input: u64,
        output: u64,
        parts: impl IntoIterator<Item = (&'a str, u64)>,
    ) -> Self {
        let mut prefix_hash = 0;
        let shared = parts.into_iter().map(|(name, tokens)| {
            let name_hash = hash(name.as_bytes());
            prefix_hash = mix64(prefix_hash ^ name_hash);
            let name = match name.len() {
                0..=MAX_PART_NAME_BYTES => Arc::from(name),
                _ => Arc::from(format!("#{name_hash:016x}")),
            };
            Part { name, prefix_hash, tokens }
        });
        Self { input, output, shared: shared.collect(), end: None }
    }

    /// Makes the last part the end of the prompt, which isn't shared.
    pub fn with_unshared_end(mut self) -> Self {
        self.end = self.shared.pop();
        self
    }

    /// Returns the number of tokens in the shared parts.
    pub fn shared_tokens(&self) -> u64 {
        self.shared.iter().map(|part| part.tokens).sum()
    }

    /// Returns the maximum number of tokens that the request can use.
    pub fn max_charge(&self) -> u64 {
        self.input + self.output
    }
}

/// Parsed head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Id that the caller gave to this attempt.
    pub id: Arc<str>,
    /// Requested host name, in lowercase and without a port.
    pub host: Arc<str>,
    /// API key of the caller.
    pub key: Option<Arc<str>>,
    /// Longest time that the caller will wait.
    pub max_wait: Option<Duration>,
    /// Prompt, if the request is a generation.
    pub prompt: Option<Prompt>,
    /// Id of the last event that the caller has received of a stream that it resumes.
    pub resume_after: Option<u64>,
}

/// Returns the length in bytes of the head of a request, without optional white space.
pub fn head_bytes(head: &request::Parts) -> usize {
    const LINE: usize = "  HTTP/1.1\r\n".len();
    const HEADER: usize = ":\r\n".len();
    let target = head.uri.path_and_query().map_or(0, |target| target.as_str().len());
    let headers = head.headers.iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + HEADER);
    LINE + head.method.as_str().len() + target + headers.sum::<usize>()
}

/// Why a request gets no response of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// It can't be parsed.
    Malformed,
    /// Its head is too large.
    HeadTooLarge,
    /// Its body is too large.
    BodyTooLarge,
    /// It did not run, since its body did not arrive in time.
    BodyTooSlow,
    /// It did not run, since its deadline passed before.
    TimeoutNotRun,
    /// No route matches it.
    NoRoute,
    /// Its key is unknown.
    UnknownKey,
    /// The workspace's budget doesn't cover it.
    BudgetExhausted,
    /// It did not run; the caller may retry after this time.
    NotRun(Duration),
    /// It did not run, since this host has no capacity for it; another one may serve it after this
    /// time.
    Overloaded(Duration),
    /// Backend servers end when they respond to prompts with this part, so that it isn't sent, or
    /// not again.
    Quarantined {
        /// Name of the part.
        part: Arc<str>,
        /// Whether the request ran before.
        status: ExecutionStatus,
    },
    /// It may have run, and its response is lost.
    Unknown,
    /// It may have run, and no response arrived in time.
    TimeoutUnknown,
}

impl Refusal {
    /// Returns whether the connection ends with the refusal, as the rest of the request can't be
    /// read, or it isn't known whether it was.
    pub fn ends_connection(&self) -> bool {
        matches!(self, Self::BodyTooLarge | Self::BodyTooSlow | Self::Unknown)
    }

    /// Returns the name of the reason for logs, metrics and callers.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::HeadTooLarge => "head_too_long",
            Self::BodyTooLarge => "too_long",
            Self::BodyTooSlow => "slow_body",
            Self::TimeoutNotRun => "slow",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "no_key",
            Self::BudgetExhausted => "exhausted",
            Self::NotRun(_) => "not_run",
            Self::Overloaded(_) => "overloaded",
            Self::Quarantined { .. } => "quarantined",
            Self::Unknown => "unknown",
            Self::TimeoutUnknown => LATE,
        }
    }
}
