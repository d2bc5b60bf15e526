//! What a holder hears and does.

use std::{sync::Arc, time::Duration};

use crate::{
    message::{self, Message},
    record::Budget,
    request::{self, Class},
    table::{Op, Outcome},
};

/// Identity of a [`super::Holder`].
#[derive(Debug, Clone)]
pub struct Settings {
    /// Process, `host.incarnation`.
    pub id: message::Holder,
    /// Host.
    pub host: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Seed of the random numbers that spread retries.
    pub seed: u64,
}

/// Another process of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Process, `host.incarnation`.
    pub id: message::Holder,
    /// Host.
    pub host: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// It was heard of lately.
    pub reachable: bool,
}

/// A request's worst case, to be set aside before the request is dispatched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reserve {
    /// Request.
    pub request: request::Id,
    /// Budget.
    pub budget: Arc<str>,
    /// Tokens.
    pub tokens: u64,
    /// Class.
    pub class: Class,
    /// Back end that is to run it; empty where not yet known.
    pub backend: Arc<str>,
}

/// What a [`super::Holder`] is told.
#[derive(Debug)]
pub enum Event {
    /// A request wants to run. Answered by [`Action::Reserved`] or [`Action::Refused`].
    Reserve(Reserve),
    /// A request that was reserved ended; its reservation is charged with this many tokens.
    Settle {
        /// Request.
        request: request::Id,
        /// Tokens to charge, at most those reserved.
        tokens: u64,
    },
    /// A request that was reserved, or waits to be, will not run; nothing is charged.
    Release {
        /// Request.
        request: request::Id,
    },
    /// A message from the process `from`, `host.incarnation`.
    Message {
        /// Sender.
        from: message::Holder,
        /// `Appended`, `AppendRefused`, `TransferAsk`, `Transfer` or `TransferAck`; others are
        /// ignored.
        message: Message,
    },
    /// Answer to [`Action::Table`].
    Table {
        /// Number of the request.
        id: u64,
        /// What came of it.
        outcome: Outcome,
    },
    /// A budget's record was made or changed.
    Budget(Budget),
    /// A budget's record was deleted.
    BudgetDeleted(Arc<str>),
    /// All other processes that are not known to be gone; sent when that changes.
    Peers(Vec<Peer>),
    /// Time passed; at least every 100 ms.
    Tick,
    /// Takes no further reservation, and gives everything back once the last one is settled.
    Drain,
}

/// What a [`super::Holder`] wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// The reservation stands and survives this process; the request may be dispatched.
    Reserved {
        /// Request.
        request: request::Id,
    },
    /// The request must not be dispatched, and was not.
    Refused {
        /// Request.
        request: request::Id,
        /// Reason.
        reason: Reason,
        /// Time after which another try may succeed.
        retry_after: Duration,
    },
    /// Journal entries up to this number survive this process.
    Durable {
        /// Number as returned by [`super::Holder::append`].
        through: u64,
    },
    /// Sends a request to the table.
    Table {
        /// Number of the request.
        id: u64,
        /// Request.
        op: Op,
    },
    /// Sends a message to the process that runs on a host.
    Send {
        /// Receiving host.
        to: Arc<str>,
        /// Message.
        message: Message,
    },
    /// Everything was given back after [`Event::Drain`], or, by a holder that was fenced, all that
    /// the recovery left to it.
    Drained,
    /// Another host recovered this holder. Whatever was not `Reserved` was refused, and a new holder
    /// with a later incarnation has to be opened. This one still takes settlements, and writes
    /// the charges that the recovery can't know.
    Fenced,
    /// Something for the time line.
    Note(Note),
}

/// Reason of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// What is left of the budget doesn't cover the request.
    Exhausted,
    /// What is held here doesn't cover the request, and the platform can't be reached.
    PlatformUnreachable,
    /// No record of the budget is known.
    UnknownBudget,
    /// No replica of the journal can be reached.
    Unreplicated,
    /// The process is shutting down.
    Draining,
    /// The process was taken for dead and its tokens were recovered.
    Fenced,
}

/// Something that happened, for the time line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Note {
    /// Tokens were granted.
    Granted {
        /// Budget.
        budget: Arc<str>,
        /// Tokens.
        tokens: u64,
    },
    /// Tokens were given back.
    Returned {
        /// Budget.
        budget: Arc<str>,
        /// Tokens.
        tokens: u64,
    },
    /// Tokens were sent to another process.
    Sent {
        /// Budget.
        budget: Arc<str>,
        /// Tokens.
        tokens: u64,
        /// Receiving process.
        to: message::Holder,
    },
    /// Tokens came from another process.
    Received {
        /// Budget.
        budget: Arc<str>,
        /// Tokens.
        tokens: u64,
        /// Sending process.
        from: message::Holder,
    },
    /// A ledger segment was written.
    Flushed {
        /// Number of the segment.
        segment: u64,
        /// Charges in it.
        charges: usize,
    },
    /// The journal is copied to these processes.
    Ensemble(Vec<message::Holder>),
}
