//! What a recovery hears and does.

use std::sync::Arc;

use crate::{
    claim::RecoveredClaims,
    message::{Holder, Message},
    request,
    table::{Op, Outcome},
};

/// What a [`super::Recovery`] is told.
#[derive(Debug)]
pub enum Event {
    /// A holder is dead: by the platform's list, or because its host runs a later incarnation.
    Dead(Holder),
    /// A process can't come back, so neither can the copies that it kept.
    Gone(Holder),
    /// A message from the process `from`, `host.incarnation`.
    Message {
        /// Sender.
        from: Holder,
        /// [`Message::Sealed`] or [`Message::TransferAck`]; others are ignored.
        message: Message,
    },
    /// Answer to [`Action::Table`].
    Table {
        /// Number of the request.
        id: u64,
        /// What came of it.
        outcome: Outcome,
    },
    /// Answer to [`Action::Ask`]; `None` where the back end can't tell.
    Usage {
        /// Request.
        request: request::Id,
        /// Tokens used.
        tokens: Option<u64>,
    },
    /// Time passed.
    Tick,
}

/// What a [`super::Recovery`] wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Sends a request to the table.
    Table {
        /// Number of the request.
        id: u64,
        /// Request.
        op: Op,
    },
    /// Sends a message; the receiver may be this host itself.
    Send {
        /// Receiving host.
        to: Arc<str>,
        /// Message.
        message: Message,
    },
    /// Asks a back end how many tokens a request used, and cancels the request there.
    QueryUsage {
        /// Request.
        request: request::Id,
        /// Back end.
        backend: Arc<str>,
    },
    /// A holder is closed; a copy of its journal kept here may be dropped.
    Closed(Report),
}

/// What came of a recovery.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Dead holder.
    pub holder: Holder,
    /// Tokens charged by the recovery.
    pub settled: u64,
    /// Tokens given back.
    pub returned: u64,
    /// Tokens put out of use.
    pub stranded: u64,
    /// Tickets that were claimed, with what is known of the outcome. A ticket that isn't listed was
    /// never claimed and never will be, unless the recovery is incomplete.
    pub claims: RecoveredClaims,
    /// Some copies of the journal were lost.
    pub incomplete: bool,
}
