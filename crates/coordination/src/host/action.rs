//! What a host does.

use std::sync::Arc;

use super::event::{Caller, Operation, Run};
use crate::{
    message::Message,
    order::Order,
    record::Model,
    request::{self, Class},
    table::Op,
    timeline::Entry,
};

/// An action of [`Host`](super::Host), for the driver to carry out.
#[derive(Debug, Clone)]
pub enum Action {
    /// Starts a streamed answer.
    Begin {
        /// Caller.
        caller: Caller,
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
        /// HTTP status.
        status: u16,
        /// JSON body.
        body: Arc<str>,
    },
    /// Ends a request with an error; no answer follows.
    Fail {
        /// Caller.
        caller: Caller,
        /// What went wrong.
        problem: Problem,
    },
    /// Starts or resumes a stream at a back end.
    Stream {
        /// Run.
        run: Run,
        /// Base address of the back end.
        address: Arc<str>,
        /// What to ask for.
        stream: Stream,
    },
    /// Calls a plain service.
    Request {
        /// Run.
        run: Run,
        /// Base address of the back end.
        address: Arc<str>,
        /// Name of the service.
        service: Arc<str>,
        /// Request.
        request: request::Id,
        /// JSON body.
        body: Arc<str>,
        /// Longest wait for the answer, in milliseconds.
        timeout_ms: u64,
    },
    /// Drops the exchange of a run; reports that still come are ignored.
    Abandon {
        /// Run.
        run: Run,
    },
    /// Cancels a stream at a back end; answered by [`super::event::Event::Held`].
    Cancel {
        /// Base address of the back end.
        address: Arc<str>,
        /// Stream.
        stream: request::Id,
    },
    /// Asks a back end what it holds of a request; answered by [`super::event::Event::Held`].
    Inquire {
        /// Base address of the back end.
        address: Arc<str>,
        /// Stream.
        stream: request::Id,
    },
    /// Sets the back ends whose load and cache changes are to be read.
    Watch {
        /// Names and base addresses.
        backends: Vec<(Arc<str>, Arc<str>)>,
    },
    /// Reads the models and the role of a back end; answered by [`order::Event::State`](crate::order::Event::State).
    ReadState {
        /// Base address of the back end.
        address: Arc<str>,
        /// Back end.
        backend: Arc<str>,
        /// Number of the request.
        number: u64,
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
    /// Sends an order to a back end, once; answered by [`order::Event::Ordered`](crate::order::Event::Ordered).
    Order {
        /// Base address of the back end.
        address: Arc<str>,
        /// Back end.
        backend: Arc<str>,
        /// Fencing number.
        fence: u64,
        /// Order.
        order: Order,
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
    Note(Entry),
    /// The host has finished and handed over what it held.
    Stopped,
}

/// A stream to start or resume.
#[derive(Debug, Clone)]
pub struct Stream {
    /// Stream.
    pub stream: request::Id,
    /// Attempt, counted from 1.
    pub attempt: u32,
    /// Model.
    pub model: Arc<str>,
    /// Adapter; empty for none.
    pub adapter: Arc<str>,
    /// Version; empty for any.
    pub version: Arc<str>,
    /// Prompt.
    pub prompt: Arc<str>,
    /// Greatest number of tokens to generate.
    pub max_tokens: u64,
    /// Priority.
    pub class: Class,
    /// Tokens already held.
    pub offset: u64,
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
    pub fn of_try(self, key: Option<&Arc<str>>) -> Self {
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
