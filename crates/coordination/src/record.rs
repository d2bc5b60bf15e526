//! Operators' records.
//!
//! A record is a row of the platform's table under `config/<kind>/<name>`. Its JSON carries `kind`,
//! `version` and `name`. Version 1 and version 2 are both honoured; a reader sees the newest form.

mod read;

use std::{collections::BTreeMap, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    request::Class,
    schema::{self, Document, Fields},
};

/// Prefix of the rows that hold records.
pub const KEY_PREFIX: &str = "config/";

/// Greatest number of bearer tokens valid at once, which lets one be replaced without a gap.
pub const MAX_CREDENTIALS: usize = 2;

/// Greatest number of budgets of a workspace.
pub const MAX_BUDGETS: usize = 1024;

/// Greatest number of top-ups of a budget.
pub const MAX_TOP_UPS: usize = 8192;

/// Greatest number of models on a back end.
pub const MAX_MODELS: usize = 64;

/// Greatest number of back ends of a route.
pub const MAX_BACKENDS: usize = 12_288;

/// Greatest number of requests that a back end runs at once.
pub const MAX_SLOTS: u64 = 4096;

/// Greatest number of tokens that one request may generate.
pub const MAX_REQUEST_TOKENS: u64 = 1 << 20;

/// Greatest time that one request may take, in milliseconds.
pub const MAX_TIMEOUT_MS: u64 = 86_400_000;

/// Time that a request may take where the route doesn't say, in milliseconds.
pub const DEFAULT_TIMEOUT_MS: u64 = 600_000;

/// A record, or a field of it, is not valid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{record}: {field}: {reason}")]
pub struct ValidationError {
    /// Key of the record.
    pub record: String,
    /// Path of the field, or `document`.
    pub field: String,
    /// What was expected and what was found.
    pub reason: String,
}

impl ValidationError {
    /// Returns a fault in a field of a record.
    pub fn new(record: &str, field: &str, reason: impl Into<String>) -> Self {
        Self { record: record.to_owned(), field: field.to_owned(), reason: reason.into() }
    }

    pub(crate) fn expected(record: &str, field: &str, expected: &str, got: &Value) -> Self {
        Self::new(record, field, format!("expected {expected}, got {}", schema::quote(got)))
    }
}

/// Kind of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A customer.
    Workspace,
    /// A prepaid budget.
    Budget,
    /// A back end.
    Backend,
    /// How requests for a service are routed.
    Route,
    /// A person or program that may read status.
    Operator,
}

impl Kind {
    /// Every kind, each after the kinds that it refers to.
    pub const ALL: [Self; 5] =
        [Self::Operator, Self::Budget, Self::Workspace, Self::Backend, Self::Route];

    pub(crate) const NAMES: &str = "workspace, budget, backend, route or operator";

    /// Returns the name of the kind as it stands in keys and documents.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Workspace => "workspace",
            Self::Budget => "budget",
            Self::Backend => "backend",
            Self::Route => "route",
            Self::Operator => "operator",
        }
    }
}

/// The text names no kind of record.
#[derive(Debug, thiserror::Error)]
#[error("expected workspace, budget, backend, route or operator")]
pub struct UnknownKind;

impl FromStr for Kind {
    type Err = UnknownKind;

    fn from_str(text: &str) -> Result<Self, UnknownKind> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == text).ok_or(UnknownKind)
    }
}

/// Returns the key of the row that holds a record.
pub fn key(kind: Kind, name: &str) -> String {
    format!("{KEY_PREFIX}{}/{name}", kind.as_str())
}

/// Returns the kind and name in the key of a row, or `None` where it is no record's key.
pub fn split_key(key: &str) -> Option<(Kind, &str)> {
    let (kind, name) = key.strip_prefix(KEY_PREFIX)?.split_once('/')?;
    let kind = kind.parse().ok()?;
    schema::is_name(name).then_some((kind, name))
}

/// Returns the record that a row holds, in its newest form.
///
/// Fields that are not known are ignored.
///
/// # Errors
///
/// Returns a fault that names the record, the first field that is not valid, and the reason.
pub fn parse(key: &str, json: &str) -> Result<Record, ValidationError> {
    from_document(key, schema::parse_object(key, json)?)
}

/// Returns the record that a document holds, in its newest form.
///
/// # Errors
///
/// Returns a fault that names the record, the first field that is not valid, and the reason.
pub fn from_document(key: &str, document: Document) -> Result<Record, ValidationError> {
    let Some((kind, name)) = split_key(key) else {
        return Err(ValidationError::new(key, "document", "expected a key config/<kind>/<name>"));
    };
    expect_text(key, &document, "kind", kind.as_str())?;
    expect_text(key, &document, "name", name)?;
    let version = schema::version(key, &document)?;
    let document = schema::upgrade(key, kind, document)?;
    let record = read::record(kind, Arc::from(name), &Fields::new(key, &document));
    record.map_err(|mut fault| {
        if version == schema::OLDEST_VERSION {
            fault.field = schema::old_path(kind, &fault.field).to_owned();
        }
        fault
    })
}

fn expect_text(
    key: &str,
    document: &Document,
    field: &str,
    expected: &str,
) -> Result<(), ValidationError> {
    let quoted = format!("{expected:?}");
    let got = Fields::new(key, document).text(field, &quoted)?;
    match got == expected {
        true => Ok(()),
        false => Err(ValidationError::expected(key, field, &quoted, &Value::from(got))),
    }
}

/// Returns the JSON text of a record in its newest form.
pub fn render(record: &Record) -> String {
    let fields = match record {
        Record::Workspace(workspace) => serde_json::to_value(workspace),
        Record::Budget(budget) => serde_json::to_value(budget),
        Record::Backend(backend) => serde_json::to_value(backend),
        Record::Route(route) => serde_json::to_value(route),
        Record::Operator(operator) => serde_json::to_value(operator),
    };
    let mut document = match fields {
        Ok(Value::Object(document)) => document,
        _ => Document::new(),
    };
    document.insert("kind".to_owned(), Value::from(record.kind().as_str()));
    document.insert("version".to_owned(), Value::from(schema::NEWEST_VERSION));
    Value::Object(document).to_string()
}

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

impl Record {
    /// Returns the kind of the record.
    pub fn kind(&self) -> Kind {
        match self {
            Self::Workspace(_) => Kind::Workspace,
            Self::Budget(_) => Kind::Budget,
            Self::Backend(_) => Kind::Backend,
            Self::Route(_) => Kind::Route,
            Self::Operator(_) => Kind::Operator,
        }
    }

    /// Returns the name of the record.
    pub fn name(&self) -> &Arc<str> {
        match self {
            Self::Workspace(workspace) => &workspace.name,
            Self::Budget(budget) => &budget.name,
            Self::Backend(backend) => &backend.name,
            Self::Route(route) => &route.name,
            Self::Operator(operator) => &operator.name,
        }
    }

    /// Returns the key of the row that holds the record.
    pub fn key(&self) -> String {
        key(self.kind(), self.name())
    }

    /// Checks that the record may take the place of `old`.
    ///
    /// Tokens that were bought stay bought: a budget's top-ups are only added or raised.
    ///
    /// # Errors
    ///
    /// Returns a fault that names the top-up that is missing or lowered.
    pub fn check_replaces(&self, old: &Self) -> Result<(), ValidationError> {
        let (Self::Budget(new), Self::Budget(old)) = (self, old) else {
            return Ok(());
        };
        for (id, held) in &old.top_ups {
            let tokens = new.top_ups.get(id).copied().unwrap_or(0);
            if tokens < *held {
                let reason = format!("lowered from {held} to {tokens}");
                return Err(ValidationError::new(&self.key(), &format!("top_ups.{id}"), reason));
            }
        }
        Ok(())
    }
}

impl Budget {
    /// Returns the number of tokens bought.
    pub fn prepaid(&self) -> u64 {
        self.top_ups.values().sum()
    }
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
    pub ledger: LedgerFormat,
}

/// Format of ledger entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LedgerFormat {
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
    /// Role that an engine is to take; `None` for any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub serve_as: Option<Arc<str>>,
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
