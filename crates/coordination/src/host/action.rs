//! What a host does.

use std::sync::Arc;

use super::{
    event::{Caller, Operation},
    exchange::Exchange,
};
use crate::{message::Message, record::Model, request, table::Op, timeline::Entry};

/// An action of [`Host`](super::Host), for the driver to carry out.
#[derive(Debug, Clone)]
pub enum Action {
    /// Starts a streamed answer.
    Begin {
        /// Caller.
        caller: Caller,
        /// Request.
        request: request::Id,
    },
    /// Sends a token of a streamed answer.
    Token {
        /// Caller.
        caller: Caller,
        /// Offset of the token.
        offset: u64,
        /// Token.
        token: Arc<str>,
    },
    /// Ends a streamed answer that is whole.
    End {
        /// Caller.
        caller: Caller,
        /// Tokens of the answer.
        tokens: u64,
        /// Tokens of the prompt.
        prompt_tokens: u64,
        /// Tokens charged.
        charged: u64,
    },
    /// Sends a whole answer of a plain service, or a ticket.
    Answer {
        /// Caller.
        caller: Caller,
        /// Request; `None` for a ticket.
        request: Option<request::Id>,
        /// HTTP status.
        status: u16,
        /// JSON body.
        body: Arc<str>,
    },
    /// Ends a request with an error; no answer follows.
    Fail {
        /// Caller.
        caller: Caller,
        /// Request, where it came to one.
        request: Option<request::Id>,
        /// What went wrong.
        problem: Problem,
    },
    /// Carries out an exchange with a back end.
    Exchange(Exchange),
    /// Sets the back ends whose load and cache changes are to be read.
    UpdateReadSet {
        /// Names and base addresses.
        backends: Vec<(Arc<str>, Arc<str>)>,
    },
    /// Has all cache changes of a back end read again, after number 0.
    ResyncCache {
        /// Back end.
        backend: Arc<str>,
    },
    /// Asks the weight store for a model; answered by [`order::Event::Weights`](crate::order::Event::Weights).
    Weights {
        /// Back end that is to load it.
        backend: Arc<str>,
        /// Number of the request.
        number: u64,
        /// Model.
        model: Model,
    },
    /// Runs an operation of the platform's table.
    Table {
        /// Operation.
        operation: Operation,
        /// What to do.
        op: Op,
    },
    /// Sends a message by TCP.
    Send {
        /// Address of the peer port.
        address: Arc<str>,
        /// Message.
        message: Message,
    },
    /// Sends a message by UDP.
    Datagram {
        /// Address of the peer port.
        address: Arc<str>,
        /// Message.
        message: Message,
    },
    /// Records a step in the time line.
    RecordStep(Entry),
    /// The host has finished and handed over what it held.
    Stopped,
}

/// Why a request failed, as the caller is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// HTTP status.
    pub status: u16,
    /// Stable code.
    pub code: &'static str,
    /// Whether it ran.
    pub outcome: Outcome,
    /// Explanation.
    pub detail: Arc<str>,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// Returns the problem as told to a request with this key. Nobody was asked what became of
    /// earlier tries with it, so that only this try is known not to have run.
    pub fn scoped_to_attempt(self, key: Option<&Arc<str>>) -> Self {
        match self.outcome {
            Outcome::NotRun if key.is_some() => Self { outcome: Outcome::NotRunHere, ..self },
            _ => self,
        }
    }
}

/// Whether a failed request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It did not run and will not.
    NotRun,
    /// This try did not run; an earlier one with the same key or ticket may have.
    NotRunHere,
    /// It may have run; it will not be run again.
    Unknown,
    /// It ran in part; an idempotent request may be repeated.
    Incomplete,
}

impl Outcome {
    /// Returns the name that callers see.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::NotRunHere => "not_run_here",
            Self::Unknown => "unknown",
            Self::Incomplete => "incomplete",
        }
    }
}
