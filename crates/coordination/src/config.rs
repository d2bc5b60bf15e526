//! Configuration in force at a host.
//!
//! The follower reads the platform's change log and, where the platform is away, what a neighbour
//! has. A row never goes back to an older revision, and neither does the revision in force.

use std::{sync::Arc, time::Duration};

use crate::{
    message::Message,
    table::{Op, Outcome, Revision, Row},
};

/// An input of the follower.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The answer to the last [`Action::Read`].
    Outcome(Outcome),
    /// A neighbour has this revision in force.
    Heard {
        /// Address of its peer port.
        address: Arc<str>,
        /// Revision.
        revision: Revision,
    },
    /// A neighbour asks for rows after a revision.
    Ask {
        /// Address of its peer port.
        address: Arc<str>,
        /// Revision up to which it is current.
        after: Revision,
    },
    /// A neighbour sent rows.
    Rows {
        /// Changed rows.
        rows: Vec<Row>,
        /// Revision up to which they are complete.
        through: Revision,
    },
}

/// An output of the follower.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Reads the platform's table; the outcome comes back as [`Event::Outcome`].
    Read(Op),
    /// Sends a message to a neighbour.
    Send {
        /// Address of its peer port.
        to: Arc<str>,
        /// Message.
        message: Message,
    },
    /// A row came into force; without a value it was deleted.
    Apply(Row),
    /// A row is invalid; the last valid one stays in force.
    Invalid {
        /// Row.
        row: Row,
        /// Field and reason.
        reason: Arc<str>,
    },
    /// The configuration is in force up to this revision.
    Advanced(Revision),
}

/// Follows the configuration for one host.
#[derive(Debug)]
pub struct Follower {
    through: Revision,
    ready: bool,
}

impl Follower {
    /// Returns a follower without any row.
    ///
    /// `validate` returns why a row can't come into force.
    pub fn new(validate: impl Fn(&Row) -> Result<(), String> + Send + 'static) -> Self {
        let _ = validate;
        Self { through: 0, ready: false }
    }

    /// Takes an event and pushes the actions that follow from it.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        let _ = (now, event, actions);
    }

    /// Returns the revision up to which the configuration is in force.
    pub fn revision(&self) -> Revision {
        self.through
    }

    /// Returns whether the platform or a neighbour was heard since the start.
    pub fn ready(&self) -> bool {
        self.ready
    }
}
