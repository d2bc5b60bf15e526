//! Requests to the platform's transactional table and their outcomes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Revision of the commit that last changed a row; 0 for an absent row.
pub type Revision = u64;

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: Arc<str>,
    /// JSON text; `None` for an absent or deleted row.
    pub value: Option<Arc<str>>,
    /// Revision of the commit that last changed it; 0 if it never existed.
    pub revision: Revision,
}

/// A condition of a transaction: the row still has this revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Key of the row.
    pub key: Arc<str>,
    /// Expected revision; 0 for an absent row.
    pub revision: Revision,
}

/// A write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: Arc<str>,
    /// New JSON text; `None` deletes the row.
    pub value: Option<Arc<str>>,
}

/// An atomic transaction: all writes take effect if all checks hold, otherwise none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Txn {
    /// Conditions.
    pub checks: Vec<Check>,
    /// Writes.
    pub writes: Vec<Write>,
}

impl Txn {
    /// Adds the condition that a row is unchanged since it was read.
    pub fn check(&mut self, row: &Row) {
        self.checks.push(Check { key: row.key.clone(), revision: row.revision });
    }

    /// Adds a write of a row, on the condition that it is unchanged since it was read.
    ///
    /// # Panics
    ///
    /// Panics if the value can't be represented as JSON.
    pub fn put(&mut self, row: &Row, value: &impl Serialize) {
        self.check(row);
        let value = serde_json::to_string(value).expect("a JSON form");
        self.writes.push(Write { key: row.key.clone(), value: Some(Arc::from(value)) });
    }
}

/// A request to the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Op {
    /// Reads rows by key; the outcome has one row per key, in the same order.
    Read(Vec<Arc<str>>),
    /// Reads up to `limit` rows whose keys start with `prefix` and sort after `after`.
    Scan {
        /// Prefix of the keys.
        prefix: Arc<str>,
        /// Key after which the page starts; empty for the first page.
        after: Arc<str>,
        /// Maximum number of rows.
        limit: u32,
    },
    /// Reads the newest state of rows under `prefix` that changed after a revision, oldest change
    /// first.
    Changes {
        /// Prefix of the keys.
        prefix: Arc<str>,
        /// Revision up to which the reader has every change.
        after: Revision,
        /// Maximum number of rows.
        limit: u32,
    },
    /// Commits a transaction.
    Commit(Txn),
}

/// Outcome of an [`Op`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// Rows read by [`Op::Read`] or [`Op::Scan`].
    Rows(Vec<Row>),
    /// Rows read by [`Op::Changes`], complete up to and including revision `through`.
    Changes {
        /// Changed rows, sorted by revision; a deleted row has no value.
        rows: Vec<Row>,
        /// Revision up to which the reader now has every change.
        through: Revision,
    },
    /// The transaction was committed at this revision.
    Committed(Revision),
    /// A check failed and nothing was written. Contains the current state of the checked rows.
    Conflict(Vec<Row>),
    /// The request was refused or never sent, and had no effect.
    Unavailable,
    /// No answer came; a commit may or may not have taken effect.
    Unknown,
}
