//! Charges in the platform's table.
//!
//! A holder writes its charges in numbered segments, `ledger/<holder>/<segment>`, in the same
//! transaction that counts them as settled. Budgets on the old ledger get a row for each charge.

mod reconcile;

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

pub use self::reconcile::{Balance, Disagreement, Reconciler};
use crate::{
    escrow::Escrow,
    request,
    table::{Row, Txn},
};

/// Prefix of the rows of segments.
pub const PREFIX: &str = "ledger/";

/// Prefix of the rows of refunds.
pub const REFUND_PREFIX: &str = "refund/";

/// Tokens charged for a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Charge {
    /// Request.
    pub request: request::Id,
    /// Budget that it was charged to.
    pub budget: Arc<str>,
    /// Tokens charged.
    pub tokens: u64,
}

/// Charges that were written together, in one row.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Charges, each of a different request.
    pub charges: Vec<Charge>,
}

/// Repeated charges of a request, which are refunded.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refund {
    /// Tokens of each refunded charge, by its position in the ledger.
    pub charges: BTreeMap<Arc<str>, u64>,
}

/// Counts a charge as settled and writes it: to the row `old` of the old ledger if given, else to a
/// segment.
pub(crate) fn settle(
    charge: &Charge,
    old: Option<&Row>,
    escrow: &mut Escrow,
    txn: &mut Txn,
    segment: &mut Segment,
) {
    if let Some(row) = old {
        escrow.old_settled += charge.tokens;
        txn.put(row, charge);
    } else {
        escrow.settled += charge.tokens;
        segment.charges.push(charge.clone());
    }
}

/// Returns the row key of the refunds of a request.
pub fn refund_key(budget: &str, request: request::Id) -> Arc<str> {
    Arc::from(format!("{REFUND_PREFIX}{budget}/{request}"))
}

/// Returns the row key of a segment; keys of one holder sort by number.
pub fn segment_key(holder: &str, segment: u64) -> Arc<str> {
    Arc::from(format!("{PREFIX}{holder}/{segment:010}"))
}
