//! Rows of prepaid budgets in the platform's table.
//!
//! Figures are cumulative, so that a transaction whose answer was lost can be recognised. For each
//! budget `settled + old_settled - refunded + stranded + open <= prepaid` holds after every commit,
//! where `open` are the tokens that holders were granted and that were neither returned nor settled
//! nor stranded.

use std::sync::Arc;

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    message::Holder,
    record::{self, Budget, Record, ValidationError},
    request,
    table::Row,
};

/// Prefix of the rows of budgets' totals.
pub const ESCROW_PREFIX: &str = "escrow/";

/// Prefix of the rows of grants.
pub const GRANT_PREFIX: &str = "grant/";

/// Prefix of the rows of charges in the old ledger.
pub const CHARGE_PREFIX: &str = "charge/";

/// Prefix of the rows of holders.
pub const HOLDER_PREFIX: &str = "holder/";

/// Totals of a budget over all holders.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Escrow {
    /// Tokens granted to holders.
    pub granted: u64,
    /// Tokens that holders returned.
    pub returned: u64,
    /// Tokens charged in ledger segments.
    pub settled: u64,
    /// Tokens charged in rows of the old ledger.
    pub old_settled: u64,
    /// Tokens of repeated charges, which were refunded.
    pub refunded: u64,
    /// Tokens of dead holders that can't be accounted for; they stay out of use.
    pub stranded: u64,
}

impl Escrow {
    /// Returns the tokens that holders were granted and that weren't returned, settled or stranded.
    pub fn open(&self) -> u64 {
        self.granted.saturating_sub(self.returned + self.settled + self.old_settled + self.stranded)
    }

    /// Returns the tokens that may still be granted.
    pub fn remaining(&self, prepaid: u64) -> u64 {
        (prepaid + self.returned + self.refunded).saturating_sub(self.granted)
    }
}

/// Tokens that moved between a budget and one holder.
///
/// Written by the holder's own transactions and by its recovery. Transfers between holders aren't
/// included, so one row may show more settled than granted while another shows less. The sum over a
/// budget's rows is exact.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Grant {
    /// Number of transactions that changed the row.
    pub number: u64,
    /// Tokens granted.
    pub granted: u64,
    /// Tokens returned.
    pub returned: u64,
    /// Tokens charged, in either ledger.
    pub settled: u64,
    /// Tokens of a dead holder that can't be accounted for.
    pub stranded: u64,
}

impl Grant {
    /// Returns the tokens granted less those returned, settled and stranded; negative if the holder
    /// received transfers.
    pub fn open(&self) -> i128 {
        i128::from(self.granted)
            - i128::from(self.returned)
            - i128::from(self.settled)
            - i128::from(self.stranded)
    }
}

/// State of a holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The holder may be granted tokens.
    Open,
    /// The recovery of the holder has begun; it gets no further grant.
    Sealed,
    /// The holder ended, or its recovery is finished.
    Closed,
}

/// Row of a holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// State of the holder.
    pub state: State,
    /// Processes that keep copies of its journal.
    pub ensemble: Vec<Holder>,
    /// Number of changes of the ensemble.
    pub epoch: u64,
    /// Number of the last ledger segment written.
    pub segment: u64,
    /// Whether it was closed without all copies of its journal; tokens that its grant rows show as
    /// open are then out of use.
    #[serde(default)]
    pub incomplete: bool,
}

impl Registration {
    /// Returns the row of a holder that isn't in the table yet.
    pub fn initial() -> Self {
        Self { state: State::Open, ensemble: Vec::new(), epoch: 0, segment: 0, incomplete: false }
    }
}

/// Returns the row key of a budget's record.
pub fn record_key(budget: &str) -> Arc<str> {
    Arc::from(format!("config/budget/{budget}"))
}

/// Returns the row key of a budget's totals.
pub fn escrow_key(budget: &str) -> Arc<str> {
    Arc::from(format!("{ESCROW_PREFIX}{budget}"))
}

/// Returns the row key of a grant.
pub fn grant_key(budget: &str, holder: &str) -> Arc<str> {
    Arc::from(format!("{GRANT_PREFIX}{budget}/{holder}"))
}

/// Returns the row key of a holder.
pub fn holder_key(holder: &str) -> Arc<str> {
    Arc::from(format!("{HOLDER_PREFIX}{holder}"))
}

/// Returns the row key of the tickets that a closed holder had claimed, stored as journal entries.
pub fn claims_key(holder: &str) -> Arc<str> {
    Arc::from(format!("claims/{holder}"))
}

/// Returns the row key of a charge in the old ledger.
pub fn charge_key(budget: &str, request: request::Id) -> Arc<str> {
    Arc::from(format!("{CHARGE_PREFIX}{budget}/{request}"))
}

/// A row whose value isn't JSON of its type.
#[derive(Debug, thiserror::Error)]
#[error("row {key}: {source}")]
pub struct Malformed {
    /// Key of the row.
    pub key: Arc<str>,
    /// Cause.
    pub source: serde_json::Error,
}

/// Parses a row; returns `None` if it is absent.
///
/// # Errors
///
/// Fails if the row's value isn't of this type.
pub fn parse<T: DeserializeOwned>(row: &Row) -> Result<Option<T>, Malformed> {
    let Some(value) = &row.value else {
        return Ok(None);
    };
    match serde_json::from_str(value) {
        Ok(value) => Ok(Some(value)),
        Err(source) => Err(Malformed { key: row.key.clone(), source }),
    }
}

/// Parses a budget's record; returns `None` if it is absent.
///
/// # Errors
///
/// Fails if the row isn't a valid record of a budget.
pub fn parse_budget(row: &Row) -> Result<Option<Budget>, ValidationError> {
    let Some(value) = &row.value else {
        return Ok(None);
    };
    match record::parse(&row.key, value)? {
        Record::Budget(budget) => Ok(Some(budget)),
        _ => Err(ValidationError::new(&row.key, "kind", "expected a budget")),
    }
}

/// Returns the keys of the rows that [`parse_budget_rows`] parses: a budget's record, its totals
/// and its grant to a holder.
pub(crate) fn budget_row_keys(budget: &str, holder: &str) -> [Arc<str>; 3] {
    [record_key(budget), escrow_key(budget), grant_key(budget, holder)]
}

/// Parses a budget's record, totals and one of its grants from their rows, in this order; returns
/// `None` if one of them is malformed.
pub(crate) fn parse_budget_rows(rows: &[Row]) -> Option<(Option<Budget>, Escrow, Grant)> {
    let [record, totals, grant] = rows else {
        return None;
    };
    let totals = parse::<Escrow>(totals).ok()?.unwrap_or_default();
    let grant = parse::<Grant>(grant).ok()?.unwrap_or_default();
    Some((parse_budget(record).ok()?, totals, grant))
}
