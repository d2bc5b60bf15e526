//! Operators' records.
//!
//! A record is a row of the platform's table under `config/<kind>/<name>`. Its JSON carries `kind`,
//! `version` and `name`. Version 1 and version 2 are both honoured; a reader sees the newest form.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::request::Class;

/// Prefix of the rows that hold records.
pub const PREFIX: &str = "config/";

/// A record in its newest form.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// A customer.
    Workspace(Workspace),
    /// A prepaid budget.
    Budget(Budget),
    /// A back end.
    Backend(Backend),
    /// How requests for a service are routed.
    Route(Route),
    /// A person or program that may read status.
    Operator(Operator),
}

/// A customer with its tokens and budgets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name.
    pub name: Arc<str>,
    /// Hashes of the bearer tokens that are valid, `blake3` in hexadecimal.
    pub token_hashes: Vec<Arc<str>>,
    /// Names of its budgets; the first is the default.
    pub budgets: Vec<Arc<str>>,
}

/// A prepaid budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// Name.
    pub name: Arc<str>,
    /// Workspace that it belongs to.
    pub workspace: Arc<str>,
    /// Tokens bought, by id of the purchase.
    pub top_ups: BTreeMap<Arc<str>, u64>,
    /// Tokens of each grant that only urgent requests may use.
    pub urgent_floor: u64,
    /// Format of the ledger entries of this budget.
    pub ledger: Ledger,
}

/// Format of ledger entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ledger {
    /// One row for each charge.
    Old,
    /// Segments of many charges.
    New,
}

/// A back end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// Name.
    pub name: Arc<str>,
    /// Base address, `http://ip:port`.
    pub address: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// What it is.
    pub role: Role,
    /// Models that it is to hold; empty for a plain service.
    pub models: Vec<Model>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// It refuses orders that carry an old fencing number.
    pub fencing: bool,
    /// It takes no new work.
    pub leaving: bool,
}

/// Role of a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// A model, with adapter and version, on a back end.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Model {
    /// Model.
    pub name: Arc<str>,
    /// Adapter; empty for none.
    #[serde(default = "empty")]
    pub adapter: Arc<str>,
    /// Version; empty for any.
    #[serde(default = "empty")]
    pub version: Arc<str>,
}

/// Returns the empty name.
pub fn empty() -> Arc<str> {
    Arc::from("")
}

/// How requests for a service are routed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the service as callers know it.
    pub name: Arc<str>,
    /// Back ends that serve it, by name.
    pub backends: Vec<Arc<str>>,
    /// Model to run; `None` for a plain service.
    pub model: Option<Model>,
    /// The same request may run more than once.
    pub idempotent: bool,
    /// Class of its requests.
    pub class: Class,
    /// Greatest number of tokens that a request may generate.
    pub max_tokens: u64,
    /// Tokens charged for a call of a plain service.
    pub call_tokens: u64,
    /// Longest time that a request may take, in milliseconds.
    pub timeout_ms: u64,
}

/// A person or program that may read status and the time line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operator {
    /// Name.
    pub name: Arc<str>,
    /// Hashes of the bearer tokens that are valid, `blake3` in hexadecimal.
    pub token_hashes: Vec<Arc<str>>,
}
