//! Events and actions of a holder.

use std::{sync::Arc, time::Duration};

use crate::{
    message::{self, Message},
    record::Budget,
    request::{self, Class},
    table::{Op, Outcome},
};

/// Settings of a [`super::Holder`].
#[derive(Debug, Clone)]
pub struct Settings {
    /// Id of this process, `host.incarnation`.
    pub id: message::Holder,
    /// Name of its host.
    pub host: Arc<str>,
    /// Availability zone of its host.
    pub zone: Arc<str>,
    /// Seed of the random numbers that spread retries.
    pub seed: u64,
}

/// Another process of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Id of the process, `host.incarnation`.
    pub id: message::Holder,
    /// Name of its host.
    pub host: Arc<str>,
    /// Availability zone of its host.
    pub zone: Arc<str>,
    /// Whether membership considers its host alive.
    pub reachable: bool,
}

/// The most tokens that a request may use, to be reserved before it is dispatched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reserve {
    /// Request.
    pub request: request::Id,
    /// Budget.
    pub budget: Arc<str>,
    /// Tokens to reserve.
    pub tokens: u64,
    /// Class of the request.
    pub class: Class,
    /// Backend server that will run the request; empty if not yet known.
    pub backend: Arc<str>,
}

/// An input of a [`super::Holder`].
#[derive(Debug)]
pub enum Event {
    /// Reserves tokens for a request. Answered by [`Action::Reserved`] or [`Action::Refused`].
    Reserve(Reserve),
    /// A request that had a reservation ended; this many tokens of the reservation are charged.
    Settle {
        /// Request.
        request: request::Id,
        /// Tokens to charge, at most those reserved.
        tokens: u64,
    },
    /// A request that has a reservation, or waits for one, will not run; nothing is charged.
    Release {
        /// Request.
        request: request::Id,
    },
    /// A message from another process.
    Message {
        /// Sending process, `host.incarnation`.
        from: message::Holder,
        /// `Appended`, `AppendRefused`, `TransferAsk`, `Transfer` or `TransferAck`; others are
        /// ignored.
        message: Message,
    },
    /// Answer to [`Action::Table`].
    Table {
        /// Number of the operation.
        id: u64,
        /// Result of the operation.
        outcome: Outcome,
    },
    /// A budget's record was created or changed.
    Budget(Budget),
    /// A budget's record was deleted.
    BudgetDeleted(Arc<str>),
    /// All other processes that are not known to be gone; sent whenever they change.
    Peers(Vec<Peer>),
    /// The time advanced; sent at least every 100 ms.
    Tick,
    /// Accepts no further reservations, and returns all tokens once the last one is settled.
    Drain,
}

/// An output of a [`super::Holder`], for its driver to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// The reservation is durable, or comes from the allowance; the request may be dispatched.
    Reserved {
        /// Request.
        request: request::Id,
    },
    /// There is no reservation; the request must not be dispatched.
    Refused {
        /// Request.
        request: request::Id,
        /// Reason of the refusal.
        reason: Reason,
        /// Delay after which another attempt may succeed.
        retry_after: Duration,
    },
    /// Journal entries up to this number are durable.
    Durable {
        /// Number of an entry, as returned by [`super::Holder::append`].
        through: u64,
    },
    /// Runs an operation on the table.
    Table {
        /// Number of the operation.
        id: u64,
        /// Operation.
        op: Op,
    },
    /// Sends a message to the current process of a host.
    Send {
        /// Receiving host.
        to: Arc<str>,
        /// Message to send.
        message: Message,
    },
    /// All tokens were returned after [`Event::Drain`]. A fenced holder has returned those that the
    /// recovery left to it.
    Drained,
    /// Another host recovers this holder. All reservations that were not [`Action::Reserved`] are
    /// refused, and a new holder with a later incarnation has to be created. This one still handles
    /// settlements, and writes the charges that the recovery can't know.
    Fenced,
    /// A change of holdings to be recorded in the timeline.
    Note(Note),
}

/// Reason of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The remaining tokens of the budget don't cover the request.
    Exhausted,
    /// The tokens held here don't cover the request, and the platform can't be reached or the
    /// budget was not read yet.
    PlatformUnreachable,
    /// The budget has no record.
    UnknownBudget,
    /// The journal entry of the reservation was not acknowledged in time.
    Unreplicated,
    /// The process is draining.
    Draining,
    /// The process was considered dead and its tokens are being recovered.
    Fenced,
}

/// A change of holdings or of the journal, for the timeline.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Note {
    /// The table granted tokens to this holder.
    Granted {
        /// Budget.
        budget: Arc<str>,
        /// Tokens.
        tokens: u64,
    },
    /// Tokens were returned to the table.
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
    /// Tokens were received from another process.
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
        /// Number of charges in it.
        charges: usize,
    },
    /// The journal is now copied to these processes.
    Ensemble(Vec<message::Holder>),
}
