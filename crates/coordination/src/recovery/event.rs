//! Events and actions of a recovery.

use std::sync::Arc;

use crate::{
    claim::RecoveredClaims,
    message::{Holder, Message},
    request,
    table::{Op, Outcome},
};

/// An input of a [`super::Recovery`].
#[derive(Debug)]
pub enum Event {
    /// A holder is dead: according to the platform's host list, or because its host runs a later
    /// incarnation.
    Dead(Holder),
    /// A process is gone for good, and with it the copies that it kept.
    Gone(Holder),
    /// A message from another process.
    Message {
        /// Sending process, `host.incarnation`.
        from: Holder,
        /// [`Message::Sealed`] or [`Message::TransferAck`]; others are ignored.
        message: Message,
    },
    /// Answer to [`Action::Table`].
    Table {
        /// Number of the operation.
        id: u64,
        /// Result of the operation.
        outcome: Outcome,
    },
    /// Answer to [`Action::QueryUsage`]; `None` if the backend server doesn't
    /// know.
    Usage {
        /// Request.
        request: request::Id,
        /// Tokens that the request used.
        tokens: Option<u64>,
    },
    /// The time advanced.
    Tick,
}

/// An output of a [`super::Recovery`], for its driver to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Runs an operation on the table.
    Table {
        /// Number of the operation.
        id: u64,
        /// Operation.
        op: Op,
    },
    /// Sends a message to a host, which may be this one.
    Send {
        /// Receiving host.
        to: Arc<str>,
        /// Message to send.
        message: Message,
    },
    /// Asks a backend server how many tokens a request used, and cancels the request there.
    QueryUsage {
        /// Request.
        request: request::Id,
        /// Backend server.
        backend: Arc<str>,
    },
    /// A holder was closed; a copy of its journal that this process keeps may be dropped.
    Closed(Report),
}

/// Result of a recovery.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Dead holder.
    pub holder: Holder,
    /// Tokens charged by the recovery.
    pub settled: u64,
    /// Tokens returned to the table by the recovery.
    pub returned: u64,
    /// Tokens stranded by the recovery: they can't be accounted for and stay out of use.
    pub stranded: u64,
    /// Claimed tickets, each with its outcome if known. A ticket that isn't among them was never
    /// claimed and never will be, unless the recovery is incomplete.
    pub claims: RecoveredClaims,
    /// Whether some copies of the journal were lost, or there were none.
    pub incomplete: bool,
}
