//! Events that a host handles.

use std::sync::Arc;

use crate::{
    answer::Usage,
    member::ListedHost,
    message::{Holder, Message},
    order, request,
    table::Outcome,
};

/// Number of a caller's request at this host, unique within the process.
pub type Caller = u64;

/// Number of an exchange with a backend server, unique within the process.
pub type Run = u64;

/// Number of a table operation, unique within the process.
pub type Operation = u64;

/// Event for [`super::Host`].
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller's request was received in full.
    Call(Call),
    /// A caller requests a ticket.
    Ticket {
        /// Caller.
        caller: Caller,
        /// Bearer token from the request.
        token: Arc<str>,
    },
    /// A caller closed its connection or reads too slowly.
    CallerLeft {
        /// Caller.
        caller: Caller,
    },
    /// A backend server reported on a run.
    Backend {
        /// Run.
        run: Run,
        /// Report.
        report: Report,
    },
    /// The load of a backend server was read.
    Load {
        /// Backend server.
        backend: Arc<str>,
        /// Load; `None` if the backend server did not answer.
        load: Option<Load>,
    },
    /// The cache changes of a backend server were read.
    Cache {
        /// Backend server.
        backend: Arc<str>,
        /// Number after which changes were requested.
        after: u64,
        /// Changes, by number.
        changes: Vec<CacheChange>,
        /// Number up to which the backend server has reported; less than `after` if it restarted.
        next: u64,
    },
    /// A table operation ended.
    Table {
        /// Operation.
        operation: Operation,
        /// Outcome.
        outcome: Outcome,
    },
    /// The platform's host list was read.
    Hosts(Vec<ListedHost>),
    /// A message from another host was received.
    Message {
        /// Holder that sent the message.
        from: Holder,
        /// Availability zone of the sender.
        zone: Arc<str>,
        /// Address of the sender's peer port.
        address: Arc<str>,
        /// Message.
        message: Message,
    },
    /// A message to a host could not be sent.
    Unreachable {
        /// Address of the peer port.
        address: Arc<str>,
    },
    /// The copy of a stream's cache to another backend server ended; answers
    /// [`Exchange::Copy`](super::exchange::Exchange::Copy).
    CacheCopied {
        /// Request.
        request: request::Id,
        /// Stream.
        stream: request::Id,
        /// Backend server that receives the copy.
        to: Arc<str>,
        /// Tokens of the stream that the copy holds; `None` if it failed.
        tokens: Option<u64>,
    },
    /// A backend server was asked whether it has a stream; answers
    /// [`Exchange::Inquire`](super::exchange::Exchange::Inquire) and
    /// [`Exchange::Cancel`](super::exchange::Exchange::Cancel).
    StreamState {
        /// Base address of the backend server.
        address: Arc<str>,
        /// Stream.
        stream: request::Id,
        /// State of the stream; `None` if the backend server did not answer.
        state: Option<StreamState>,
    },
    /// A backend server or the weight store answered the issuer of orders.
    Order(order::Event),
    /// Time passed.
    Tick,
    /// The host is to shut down: it takes no new requests, finishes those in progress and returns
    /// its tokens.
    Drain,
}

/// A caller's request.
#[derive(Debug, Clone)]
pub struct Call {
    /// Caller.
    pub caller: Caller,
    /// Bearer token from the request.
    pub token: Arc<str>,
    /// Requested service.
    pub service: Arc<str>,
    /// Idempotency key or ticket.
    pub key: Option<Arc<str>>,
    /// Budget to charge; `None` for the first budget of the workspace.
    pub budget: Option<Arc<str>>,
    /// Prompt of a model request; empty for a service call.
    pub prompt: Arc<str>,
    /// Greatest number of tokens to generate; `None` for the route's limit.
    pub max_tokens: Option<u64>,
    /// JSON text of the input of a service call; empty for a model request.
    pub body: Arc<str>,
}

/// Report of a backend server on a run.
#[derive(Debug, Clone)]
pub enum Report {
    /// A line of a stream.
    Piece {
        /// Request named in the line.
        request: Arc<str>,
        /// Attempt named in the line.
        attempt: u32,
        /// Offset of the token.
        offset: u64,
        /// Token.
        token: Arc<str>,
    },
    /// The last line of a stream, sent when it is whole.
    End {
        /// Request named in the line.
        request: Arc<str>,
        /// Attempt named in the line.
        attempt: u32,
        /// Number of tokens of the whole stream.
        tokens: u64,
        /// Number of tokens of the prompt.
        prompt_tokens: u64,
    },
    /// The whole answer to a service call.
    Answer {
        /// HTTP status.
        status: u16,
        /// Body.
        body: Arc<str>,
    },
    /// The backend server refused the run without starting it.
    Refused {
        /// Reason.
        reason: Refusal,
        /// Time after which to retry, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// The exchange ended without a whole answer.
    Failed {
        /// No byte of the request was sent.
        unsent: bool,
        /// Cause, for logs.
        cause: Arc<str>,
    },
}

/// State of a stream at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamState {
    /// The backend server does not have the stream.
    Absent,
    /// The backend server has the stream, which has used this many tokens so far.
    Present(Usage),
}

/// Reason for which a backend server refused a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The backend server is leaving.
    Leaving,
    /// The backend server has not loaded the model.
    Model,
    /// The backend server has no capacity left.
    Full,
}

/// Load of a backend server, as reported by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Number of queued requests.
    pub queued: u32,
    /// Number of running requests.
    pub running: u32,
    /// Greatest number of requests that run concurrently.
    pub slots: u32,
    /// Time of the report by the backend server's clock, in milliseconds.
    pub at_ms: u64,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
    /// The backend server is leaving.
    pub leaving: bool,
}

/// Change of a backend server's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheChange {
    /// Number of the change at the backend server.
    pub number: u64,
    /// Model that computed the prefix.
    pub model: Arc<str>,
    /// Prefix hash.
    pub prefix: Arc<str>,
    /// The prefix was added; false if it was evicted.
    pub cached: bool,
}
