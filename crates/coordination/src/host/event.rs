//! What a host hears.

use std::sync::Arc;

use crate::{
    answer::Usage,
    member::ListedHost,
    message::{Holder, Message},
    order, request,
    table::Outcome,
};

/// Numbers a caller's request at this host; never used twice by one process.
pub type Caller = u64;

/// Numbers an exchange with a back end at this host; never used twice by one process.
pub type Run = u64;

/// Numbers a table operation at this host; never used twice by one process.
pub type Operation = u64;

/// An event for [`super::Host`].
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller sent a whole request.
    Call(Call),
    /// A caller asks for a ticket.
    Ticket {
        /// Caller.
        caller: Caller,
        /// Bearer token as presented.
        token: Arc<str>,
    },
    /// A caller closed its connection, or reads too slowly.
    CallerLeft {
        /// Caller.
        caller: Caller,
    },
    /// A back end said something about a run.
    Backend {
        /// Run.
        run: Run,
        /// What it said.
        report: Report,
    },
    /// A back end reported its load.
    Load {
        /// Back end.
        backend: Arc<str>,
        /// Load, or `None` where it did not answer.
        load: Option<Load>,
    },
    /// A back end reported cache changes.
    Cache {
        /// Back end.
        backend: Arc<str>,
        /// Number after which they were asked for.
        after: u64,
        /// Changes by number.
        changes: Vec<CacheChange>,
        /// Number up to which the back end has reported; below `after` where it has restarted.
        next: u64,
    },
    /// An operation of the table ended.
    Table {
        /// Operation.
        operation: Operation,
        /// What came of it.
        outcome: Outcome,
    },
    /// The platform's host list was read.
    Hosts(Vec<ListedHost>),
    /// A host sent a message.
    Message {
        /// Holder that sent it.
        from: Holder,
        /// Availability zone of the sender.
        zone: Arc<str>,
        /// Address of its peer port.
        address: Arc<str>,
        /// Message.
        message: Message,
    },
    /// A message to a host could not be sent.
    Unreachable {
        /// Address of the peer port.
        address: Arc<str>,
    },
    /// The cache of a stream was copied to another back end, or was not.
    CacheCopied {
        /// Request.
        request: request::Id,
        /// Stream.
        stream: request::Id,
        /// Back end that was to take it.
        to: Arc<str>,
        /// Tokens of the stream that the copy holds; `None` where it failed.
        tokens: Option<u64>,
    },
    /// A back end was asked what it holds of a stream.
    StreamState {
        /// Base address of the back end.
        address: Arc<str>,
        /// Stream.
        stream: request::Id,
        /// What it holds; `None` where it did not answer.
        state: Option<StreamState>,
    },
    /// A back end or the weight store answered the giver of orders.
    Order(order::Event),
    /// Time passed.
    Tick,
    /// The host is to stop: take no new work, finish the rest, hand over what it holds.
    Drain,
}

/// A caller's request.
#[derive(Debug, Clone)]
pub struct Call {
    /// Caller.
    pub caller: Caller,
    /// Bearer token as presented.
    pub token: Arc<str>,
    /// Service asked for.
    pub service: Arc<str>,
    /// Idempotency key or ticket.
    pub key: Option<Arc<str>>,
    /// Budget to charge; `None` for the workspace's default.
    pub budget: Option<Arc<str>>,
    /// Prompt of a model request.
    pub prompt: Arc<str>,
    /// Greatest number of tokens to generate; `None` for the route's.
    pub max_tokens: Option<u64>,
    /// Body as received.
    pub body: Arc<str>,
}

/// What a back end said about a run.
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
    /// The end line of a stream.
    End {
        /// Request named in the line.
        request: Arc<str>,
        /// Attempt named in the line.
        attempt: u32,
        /// Tokens of the whole stream.
        tokens: u64,
        /// Tokens of the prompt.
        prompt_tokens: u64,
    },
    /// A whole answer of a plain service.
    Answer {
        /// HTTP status.
        status: u16,
        /// Body.
        body: Arc<str>,
    },
    /// Refused without running: the back end leaves, lacks the model, or is full.
    Refused {
        /// Why.
        reason: Refusal,
        /// When to ask again, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// The exchange ended without a whole answer.
    Failed {
        /// Not a byte of the request went out.
        unsent: bool,
        /// Cause, for logs.
        cause: Arc<str>,
    },
}

/// What a back end holds of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamState {
    /// Nothing.
    Absent,
    /// A stream that used this much so far.
    Present(Usage),
}

/// Why a back end refused a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It leaves.
    Leaving,
    /// It does not hold the model.
    Model,
    /// It has no room.
    Full,
}

/// Load of a back end as it reported it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that wait.
    pub queued: u32,
    /// Requests that run.
    pub running: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Time of the report by the back end's clock, in milliseconds.
    pub at_ms: u64,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
    /// It leaves.
    pub leaving: bool,
}

/// A change of a back end's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheChange {
    /// Number of the change at the back end.
    pub number: u64,
    /// Model that it was computed with.
    pub model: Arc<str>,
    /// Prefix hash.
    pub prefix: Arc<str>,
    /// It was added, not evicted.
    pub cached: bool,
}
