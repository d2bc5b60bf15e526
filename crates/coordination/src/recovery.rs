//! Recovery of what a dead holder held.

use std::{sync::Arc, time::Duration};

use crate::{
    message::{Holder, Message},
    request,
    table::{Op, Outcome},
};

/// What a [`Recovery`] is told.
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

/// What a [`Recovery`] wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Sends a request to the table.
    Table {
        /// Number of the request.
        id: u64,
        /// Request.
        op: Op,
    },
    /// Sends a message.
    Send {
        /// Receiving host.
        to: Arc<str>,
        /// Message.
        message: Message,
    },
    /// Asks a back end how many tokens a request used, and cancels the request there.
    Ask {
        /// Request.
        request: request::Id,
        /// Back end.
        backend: Arc<str>,
    },
    /// A holder was closed.
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
    /// Tickets that were claimed and whose outcome nobody knows.
    pub unknown_tickets: Vec<u64>,
}

/// Recovers dead holders, one at a time.
#[derive(Debug)]
pub struct Recovery {}

impl Recovery {
    /// Returns an idle recovery for the process `id`; `seed` spreads its retries.
    pub fn open(_id: Holder, _seed: u64) -> Self {
        Self {}
    }

    /// Takes an event.
    pub fn handle(&mut self, _now: Duration, _event: Event, _actions: &mut Vec<Action>) {}
}
