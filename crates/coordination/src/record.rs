//! Configuration records, written by operators.
//!
//! A record is a row of the platform's table under `config/<kind>/<name>`. Its JSON has the fields
//! `kind`, `version` and `name`. Versions 1 and 2 are both accepted; readers get the newest
//! version.

mod read;

use std::{collections::BTreeMap, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    request::Class,
    schema::{self, Document, Fields},
};

/// Prefix of the keys of rows that contain records.
pub const KEY_PREFIX: &str = "config/";

/// Maximum number of bearer tokens that are valid at the same time. Two of them let one be replaced
/// without a gap.
pub const MAX_CREDENTIALS: usize = 2;

/// Maximum number of budgets of a workspace.
pub const MAX_BUDGETS: usize = 1024;

/// Maximum number of top-ups of a budget.
pub const MAX_TOP_UPS: usize = 8192;

/// Maximum number of models on a backend server.
pub const MAX_MODELS: usize = 64;

/// Maximum number of backend servers of a route.
pub const MAX_BACKENDS: usize = 12_288;

/// Maximum number of concurrent requests on a backend server.
pub const MAX_SLOTS: u64 = 4096;

/// Maximum number of tokens that one request may generate.
pub const MAX_REQUEST_TOKENS: u64 = 1 << 20;

/// Maximum timeout of a request, in milliseconds.
pub const MAX_TIMEOUT_MS: u64 = 86_400_000;

/// Timeout of a request if the route has none, in milliseconds.
pub const DEFAULT_TIMEOUT_MS: u64 = 600_000;

/// Error for a record that is not valid as a whole or in a field.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{record}: {field}: {reason}")]
pub struct ValidationError {
    /// Key of the record.
    pub record: String,
    /// Path of the field, or `document` for the record as a whole.
    pub field: String,
    /// Expected and actual value.
    pub reason: String,
}

impl ValidationError {
    /// Returns an error for a field of a record.
    pub fn new(record: &str, field: &str, reason: impl Into<String>) -> Self {
        Self { record: record.to_owned(), field: field.to_owned(), reason: reason.into() }
    }

    /// Returns an error with the expected and the actual value of a field.
    pub(crate) fn mismatch(record: &str, field: &str, expected: &str, got: &Value) -> Self {
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
    /// A backend server.
    Backend,
    /// Routing of the requests for a service.
    Route,
    /// A person or program that may read the status and the timeline.
    Operator,
}

impl Kind {
    /// All kinds, each after the kinds that it refers to.
    pub const ALL: [Self; 5] =
        [Self::Operator, Self::Budget, Self::Workspace, Self::Backend, Self::Route];

    pub(crate) const NAMES: &str = "workspace, budget, backend, route or operator";

    /// Returns the name of the kind in keys and documents.
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

/// Error for a text that is not the name of a kind of record.
#[derive(Debug, thiserror::Error)]
#[error("expected workspace, budget, backend, route or operator")]
pub struct UnknownKind;

impl FromStr for Kind {
    type Err = UnknownKind;

    fn from_str(text: &str) -> Result<Self, UnknownKind> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == text).ok_or(UnknownKind)
    }
}

/// Returns the key of the row that contains a record.
pub fn key(kind: Kind, name: &str) -> String {
    format!("{KEY_PREFIX}{}/{name}", kind.as_str())
}

/// Returns the kind and name in the key of a row, or `None` if it is not the key of a record.
pub fn split_key(key: &str) -> Option<(Kind, &str)> {
    let (kind, name) = key.strip_prefix(KEY_PREFIX)?.split_once('/')?;
    let kind = kind.parse().ok()?;
    schema::is_name(name).then_some((kind, name))
}

/// Parses the record in a row, in its newest version.
///
/// Ignores unknown fields.
///
/// # Errors
///
/// Returns an error that names the record, the first invalid field and the reason.
pub fn parse(key: &str, json: &str) -> Result<Record, ValidationError> {
    from_document(key, schema::parse_object(key, json)?)
}

/// Returns the record in a document, in its newest version.
///
/// # Errors
///
/// Returns an error that names the record, the first invalid field and the reason.
pub fn from_document(key: &str, document: Document) -> Result<Record, ValidationError> {
    let Some((kind, name)) = split_key(key) else {
        return Err(ValidationError::new(key, "document", "expected a key config/<kind>/<name>"));
    };
    expect_text(key, &document, "kind", kind.as_str())?;
    expect_text(key, &document, "name", name)?;
    let version = schema::version(key, &document)?;
    let document = schema::upgrade(key, kind, document)?;
    let record = read::record(kind, Arc::from(name), &Fields::new(key, &document));
    record.map_err(|mut error| {
        if version == schema::OLDEST_VERSION {
            error.field = schema::old_path(kind, &error.field).to_owned();
        }
        error
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
        false => Err(ValidationError::mismatch(key, field, &quoted, &Value::from(got))),
    }
}

/// Returns the JSON text of a record in its newest version.
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

/// A record in its newest version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// A customer.
    Workspace(Workspace),
    /// A prepaid budget.
    Budget(Budget),
    /// A backend server.
    Backend(Backend),
    /// Routing of the requests for a service.
    Route(Route),
    /// A person or program that may read the status and the timeline.
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

    /// Returns the key of the row that contains the record.
    pub fn key(&self) -> String {
        key(self.kind(), self.name())
    }

    /// Checks that the record may replace `old`.
    ///
    /// Tokens that were bought can't be taken away: top-ups of a budget may only be added or
    /// raised.
    ///
    /// # Errors
    ///
    /// Returns an error that names the missing or lowered top-up.
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

/// A customer with its bearer tokens and budgets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name.
    pub name: Arc<str>,
    /// Hashes of the bearer tokens that are valid, `blake3` in hexadecimal.
    pub token_hashes: Vec<Arc<str>>,
    /// Names of its budgets; the first one is the default.
    pub budgets: Vec<Arc<str>>,
}

/// A prepaid budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// Name.
    pub name: Arc<str>,
    /// Name of the workspace that it belongs to.
    pub workspace: Arc<str>,
    /// Number of tokens bought, by id of the purchase.
    pub top_ups: BTreeMap<Arc<str>, u64>,
    /// Number of tokens of each grant that only urgent requests may use.
    pub urgent_floor: u64,
    /// Format of the ledger entries of this budget.
    pub ledger: LedgerFormat,
}

/// Format of ledger entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LedgerFormat {
    /// One row per charge.
    Old,
    /// Rows with a segment of many charges each.
    New,
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// Name.
    pub name: Arc<str>,
    /// Base address, `http://ip:port`.
    pub address: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Role.
    pub role: Role,
    /// Models that it should load; empty for a plain service.
    pub models: Vec<Model>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it refuses orders with an outdated fencing number.
    pub fencing: bool,
    /// Whether it should get no new requests.
    pub leaving: bool,
    /// Role that an engine should have; `None` for any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub serve_as: Option<Arc<str>>,
}

/// Role of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// A model with its adapter and version.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Model {
    /// Name of the model.
    pub name: Arc<str>,
    /// Adapter; empty for none.
    #[serde(default = "empty")]
    pub adapter: Arc<str>,
    /// Version; empty for any.
    #[serde(default = "empty")]
    pub version: Arc<str>,
}

/// Returns an empty text, the default of optional names.
pub fn empty() -> Arc<str> {
    Arc::from("")
}

/// Routing of the requests for a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the service that callers use.
    pub name: Arc<str>,
    /// Names of the backend servers that serve it.
    pub backends: Vec<Arc<str>>,
    /// Model to use; `None` for a plain service.
    pub model: Option<Model>,
    /// Whether the same request may run more than once.
    pub idempotent: bool,
    /// Class of its requests.
    pub class: Class,
    /// Maximum number of tokens that a request may generate.
    pub max_tokens: u64,
    /// Number of tokens charged for a call of a plain service.
    pub call_tokens: u64,
    /// Maximum time that a request may take, in milliseconds.
    pub timeout_ms: u64,
}

/// A person or program that may read the status and the timeline.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operator {
    /// Name.
    pub name: Arc<str>,
    /// Hashes of the bearer tokens that are valid, `blake3` in hexadecimal.
    pub token_hashes: Vec<Arc<str>>,
}
