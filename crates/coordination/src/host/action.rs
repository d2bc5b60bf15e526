//! Actions of a host.

use std::sync::Arc;

use super::{
    event::{Caller, Operation},
    exchange::Exchange,
};
use crate::{message::Message, record::Model, request, table::Op, timeline::Entry};

/// Action of a [`Host`](super::Host) that the driver carries out.
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
    /// Ends a whole streamed answer.
    End {
        /// Caller.
        caller: Caller,
        /// Number of tokens of the answer.
        tokens: u64,
        /// Number of tokens of the prompt.
        prompt_tokens: u64,
        /// Number of tokens charged.
        charged: u64,
    },
    /// Sends the whole answer to a service call, or a ticket.
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
    /// Ends a request with an error; nothing more is sent to the caller.
    Fail {
        /// Caller.
        caller: Caller,
        /// Request; `None` if it was refused before it got an id.
        request: Option<request::Id>,
        /// Error.
        problem: Problem,
    },
    /// Carries out an exchange with a backend server.
    Exchange(Exchange),
    /// Replaces the set of backend servers whose load and cache changes the driver reads.
    UpdateReadSet {
        /// Names and base addresses of the backend servers.
        backends: Vec<(Arc<str>, Arc<str>)>,
    },
    /// Reads all cache changes of a backend server again, after number 0.
    ResyncCache {
        /// Backend server.
        backend: Arc<str>,
    },
    /// Asks the weight store for a model; answered by
    /// [`order::Event::Weights`](crate::order::Event::Weights).
    Weights {
        /// Backend server that is to load the model.
        backend: Arc<str>,
        /// Number of the request.
        number: u64,
        /// Model.
        model: Model,
    },
    /// Runs an operation on the platform's table.
    Table {
        /// Number of the operation.
        operation: Operation,
        /// Operation to run.
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
    /// Records a step in the timeline.
    RecordStep(Entry),
    /// The host has shut down; its tokens are returned, or left to a recovery.
    Stopped,
}

/// Error that a caller gets for a failed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// HTTP status.
    pub status: u16,
    /// Error code; stable.
    pub code: &'static str,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Explanation.
    pub detail: Arc<str>,
    /// Time after which to retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// Returns the problem with its outcome limited to this attempt of the caller if the request
    /// has a key. Nobody was asked for the outcome of earlier attempts with that key, so only this
    /// one is known not to have run.
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
    /// The request did not run and will not.
    NotRun,
    /// This attempt did not run; an earlier one with the same key or ticket may have.
    NotRunHere,
    /// The request may have run; it will not be run again.
    Unknown,
    /// The request ran in part; an idempotent request may be repeated.
    Incomplete,
}

impl Outcome {
    /// Returns the name that callers are given.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::NotRunHere => "not_run_here",
            Self::Unknown => "unknown",
            Self::Incomplete => "incomplete",
        }
    }
}
