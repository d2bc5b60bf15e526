//! Refunds of charges that two holders made for one request.

use std::time::Duration;

use crate::table::{Op, Outcome};

/// What a [`Fold`] is told.
#[derive(Debug)]
pub enum Event {
    /// Answer to [`Action::Table`].
    Table {
        /// Number of the request.
        id: u64,
        /// What came of it.
        outcome: Outcome,
    },
    /// Time passed.
    Tick,
}

/// What a [`Fold`] wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Sends a request to the table.
    Table {
        /// Number of the request.
        id: u64,
        /// Request.
        op: Op,
    },
}

/// Reads the ledger in the order of commits and refunds repeated charges.
#[derive(Debug)]
pub struct Fold {}

impl Fold {
    /// Starts from where the table says the last run stopped. Runs on the holder of `lease/fold`.
    pub fn open() -> Self {
        Self {}
    }

    /// Takes an event.
    pub fn handle(&mut self, _now: Duration, _event: Event, _actions: &mut Vec<Action>) {}
}
