//! Events and actions of a [`Dispatcher`](super::Dispatcher).

use std::{sync::Arc, time::Duration};

use super::{Outcome, RecoveredClaims};
use crate::{
    message::{Holder, Message, Verdict},
    request,
    ticket::Ticket,
};

/// Identifies a caller that waits on this host.
pub type Caller = u64;

/// Status of a ticket's issuer when a call arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IssuerStatus {
    /// The issuer is this holder or responded recently.
    Reachable,
    /// The issuer did not respond recently; its process may still run.
    Unreachable,
    /// The issuer's process is known to have ended.
    Gone,
}

/// Call that carries a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Caller that waits for the outcome.
    pub caller: Caller,
    /// Verified ticket.
    pub ticket: Ticket,
    /// Digest of the service and body; see [`crate::ticket::digest`].
    pub digest: [u8; 32],
    /// Time by which the caller gets an outcome if the call was not dispatched.
    pub deadline: Duration,
    /// Status of the issuer.
    pub issuer_status: IssuerStatus,
}

/// Result of a dispatch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchResult {
    /// No byte of the call was written to a backend server.
    NotSent,
    /// The complete answer was received.
    Answer {
        /// HTTP status.
        status: u16,
        /// Response body.
        body: Arc<str>,
    },
    /// At least one byte was written, but no complete answer was received.
    Incomplete,
}

/// Event for a [`Dispatcher`](super::Dispatcher).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatcherEvent {
    /// A call arrived.
    Call(Call),
    /// A caller no longer waits for its outcome.
    CallerLeft(Caller),
    /// An issuer decided on a claim; see [`Message::ClaimReply`].
    Reply {
        /// Holder that answered.
        from: Holder,
        /// Ticket number.
        ticket: u64,
        /// Run that claimed the ticket.
        request: request::Id,
        /// Decision.
        verdict: Verdict,
    },
    /// An issuer has stored an outcome; see [`Message::ClaimOutcomeAck`].
    OutcomeAcked {
        /// Holder that answered.
        from: Holder,
        /// Ticket number.
        ticket: u64,
    },
    /// A holder does not respond.
    Unreachable(Holder),
    /// The journal of a holder whose process has ended was sealed and read.
    Recovered(Holder, Arc<RecoveredClaims>),
    /// A dispatch ended.
    DispatchEnded {
        /// Run that was dispatched.
        run: request::Id,
        /// Result of the dispatch.
        result: DispatchResult,
    },
    /// Timers may be due; see [`Dispatcher::wake_at`](super::Dispatcher::wake_at).
    Tick,
}

/// Action requested by a [`Dispatcher`](super::Dispatcher).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatcherAction {
    /// Sends a message to a holder; a message to this holder is delivered within the process.
    Send(Holder, Message),
    /// Sends the caller's call to a backend server; answered by
    /// [`DispatcherEvent::DispatchEnded`]. Another backend server may be tried only while no byte
    /// was written.
    Dispatch {
        /// Caller whose call it is.
        caller: Caller,
        /// Ticket of the call.
        ticket: Ticket,
        /// Run to dispatch.
        run: request::Id,
    },
    /// Returns the outcome to a caller.
    Reply(Caller, Outcome),
    /// Looks up the sealed journal of a holder whose process has ended; answered by
    /// [`DispatcherEvent::Recovered`].
    Recover(Holder),
}
