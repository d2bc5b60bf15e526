//! Requests to the platform's transactional table and what came of them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Commit revision of a row; 0 stands for an absent row.
pub type Revision = u64;

/// A row as the table holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: Arc<str>,
    /// JSON text; `None` for an absent or deleted row.
    pub value: Option<Arc<str>>,
    /// Revision of the commit that wrote it last; 0 where it never stood.
    pub revision: Revision,
}

/// A condition of a transaction: the row is still at this revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Key of the row.
    pub key: Arc<str>,
    /// Revision it must have; 0 for absent.
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

/// An atomic transaction: every check holds and every write is done, or nothing is.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Txn {
    /// Conditions.
    pub checks: Vec<Check>,
    /// Writes.
    pub writes: Vec<Write>,
}

impl Txn {
    /// Adds the condition that a row stands as it was read.
    pub fn check(&mut self, row: &Row) {
        self.checks.push(Check { key: row.key.clone(), revision: row.revision });
    }

    /// Adds a write of a row, on the condition that it stands as it was read.
    ///
    /// # Panics
    ///
    /// Panics where the value has no JSON form.
    pub fn put(&mut self, row: &Row, value: &impl Serialize) {
        self.check(row);
        let value = serde_json::to_string(value).expect("a JSON form");
        self.writes.push(Write { key: row.key.clone(), value: Some(Arc::from(value)) });
    }
}

/// A request to the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Op {
    /// Reads rows by key; answers with one row for each key, in order.
    Read(Vec<Arc<str>>),
    /// Reads up to `limit` rows whose keys start with `prefix` and sort after `after`.
    Scan {
        /// Start of the keys.
        prefix: Arc<str>,
        /// Key after which the page starts; empty for the first page.
        after: Arc<str>,
        /// Greatest number of rows.
        limit: u32,
    },
    /// Reads the newest state of rows under `prefix` that changed after a revision, oldest first.
    Changes {
        /// Start of the keys.
        prefix: Arc<str>,
        /// Revision up to which the reader is current.
        after: Revision,
        /// Greatest number of rows.
        limit: u32,
    },
    /// Commits a transaction.
    Commit(Txn),
}

/// What came of an [`Op`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// Rows read by `Read` or `Scan`.
    Rows(Vec<Row>),
    /// Rows read by `Changes`, complete up to and including revision `through`.
    Changes {
        /// Changed rows, by revision; a deleted row has no value.
        rows: Vec<Row>,
        /// Revision up to which the reader is now current.
        through: Revision,
    },
    /// The transaction was committed at this revision.
    Committed(Revision),
    /// A check failed and nothing was written; holds the checked rows as they stand.
    Conflict(Vec<Row>),
    /// The request was refused or never sent; it had no effect.
    Unavailable,
    /// No answer came; a commit may or may not have taken effect.
    Unknown,
}
