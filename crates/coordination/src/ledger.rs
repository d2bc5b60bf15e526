//! Charges in the platform's table.
//!
//! A holder writes its charges in numbered segments, `ledger/<holder>/<segment>`, in the same
//! transaction that counts them as settled. Budgets on the old ledger get a row for each charge.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::request;

/// Prefix of the rows of segments.
pub const PREFIX: &str = "ledger/";

/// A charge.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Charge {
    /// Request.
    pub request: request::Id,
    /// Budget that it was charged to.
    pub budget: Arc<str>,
    /// Tokens.
    pub tokens: u64,
}

/// Charges that were written together.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Charges, each of another request.
    pub charges: Vec<Charge>,
}

/// Returns the key of a segment; keys of one holder sort by number.
pub fn segment_key(holder: &str, segment: u64) -> Arc<str> {
    Arc::from(format!("{PREFIX}{holder}/{segment:010}"))
}
