//! Events and actions of a runner.

use std::{sync::Arc, time::Duration};

use super::{Outcome, RecoveredClaims};
use crate::{
    message::{Holder, Message, Verdict},
    request,
    ticket::Ticket,
};

/// Names a caller that waits on this host.
pub type Caller = u64;

/// What is known of the issuer of a ticket when a call arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IssuerStatus {
    /// It is this holder, or answered lately.
    Reachable,
    /// It did not answer lately, which proves nothing.
    Unreachable,
    /// Its process has ended for certain.
    Gone,
}

/// A call that carries a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Caller that waits for the outcome.
    pub caller: Caller,
    /// Ticket, verified.
    pub ticket: Ticket,
    /// Digest of the service and body, see [`crate::ticket::digest`].
    pub digest: [u8; 32],
    /// Time at which the caller gets an outcome at the latest, if nothing was dispatched.
    pub deadline: Duration,
    /// What is known of the issuer.
    pub issuer_status: IssuerStatus,
}

/// How a dispatch ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchResult {
    /// Not a byte of the call was written to a back end.
    NotSent,
    /// The whole answer came.
    Answer {
        /// HTTP status.
        status: u16,
        /// Body.
        body: Arc<str>,
    },
    /// Some byte was written, and no whole answer came.
    Incomplete,
}

/// What a runner is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatcherEvent {
    /// A call arrived.
    Call(Call),
    /// A caller left.
    CallerLeft(Caller),
    /// An issuer decided; see [`Message::ClaimReply`].
    Reply {
        /// Holder that answered.
        from: Holder,
        /// Ticket number.
        ticket: u64,
        /// Run that asked.
        request: request::Id,
        /// Decision.
        verdict: Verdict,
    },
    /// An issuer has an outcome; see [`Message::ClaimOutcomeAck`].
    OutcomeAcked {
        /// Holder that answered.
        from: Holder,
        /// Ticket number.
        ticket: u64,
    },
    /// A holder does not answer.
    Unreachable(Holder),
    /// The journal of a dead holder was sealed and read.
    Recovered(Holder, Arc<RecoveredClaims>),
    /// A dispatch ended.
    DispatchEnded {
        /// Run that was dispatched.
        run: request::Id,
        /// How it ended.
        result: DispatchResult,
    },
    /// Time passed.
    Tick,
}

/// What a runner wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatcherAction {
    /// Send a message to a holder; where that is the own holder, hand it over in the process.
    Send(Holder, Message),
    /// Send the caller's call to a back end, and report by [`DispatcherEvent::DispatchEnded`]. Another back end
    /// may be tried only while not a byte was written.
    Dispatch {
        /// Caller whose call it is.
        caller: Caller,
        /// Ticket.
        ticket: Ticket,
        /// Run.
        run: request::Id,
    },
    /// Give a caller its outcome.
    Reply(Caller, Outcome),
    /// Find the sealed journal of a dead holder, and report it by [`DispatcherEvent::Recovered`].
    Recover(Holder),
}
