//! Operators' records.
//!
//! A record is a row of the platform's table under `config/<kind>/<name>`. Its JSON carries `kind`,
//! `version` and `name`. Version 1 and version 2 are both honoured; a reader sees the newest form.

use std::{collections::BTreeMap, net::SocketAddr, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    request::Class,
    schema::{self, Document, Fields, MAX_TOKENS},
};

/// Prefix of the rows that hold records.
pub const PREFIX: &str = "config/";

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

const HASH_CHARS: usize = 64;

/// A record, or a field of it, is not valid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{record}: {field}: {reason}")]
pub struct Fault {
    /// Key of the record.
    pub record: String,
    /// Path of the field, or `document`.
    pub field: String,
    /// What was expected and what was found.
    pub reason: String,
}

impl Fault {
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
    format!("{PREFIX}{}/{name}", kind.as_str())
}

/// Returns the kind and name in the key of a row, or `None` where it is no record's key.
pub fn split_key(key: &str) -> Option<(Kind, &str)> {
    let (kind, name) = key.strip_prefix(PREFIX)?.split_once('/')?;
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
pub fn parse(key: &str, json: &str) -> Result<Record, Fault> {
    from_document(key, schema::read(key, json)?)
}

/// Returns the record that a document holds, in its newest form.
///
/// # Errors
///
/// Returns a fault that names the record, the first field that is not valid, and the reason.
pub fn from_document(key: &str, document: Document) -> Result<Record, Fault> {
    let Some((kind, name)) = split_key(key) else {
        return Err(Fault::new(key, "document", "expected a key config/<kind>/<name>"));
    };
    expect_text(key, &document, "kind", kind.as_str())?;
    expect_text(key, &document, "name", name)?;
    let version = schema::version(key, &document)?;
    let document = schema::upgrade(key, kind, document)?;
    let record = read_kind(kind, Arc::from(name), &Fields::new(key, &document));
    record.map_err(|mut fault| {
        if version == schema::OLDEST {
            fault.field = schema::old_path(kind, &fault.field).to_owned();
        }
        fault
    })
}

fn expect_text(key: &str, document: &Document, field: &str, expected: &str) -> Result<(), Fault> {
    let quoted = format!("{expected:?}");
    let got = Fields::new(key, document).text(field, &quoted)?;
    match got == expected {
        true => Ok(()),
        false => Err(Fault::expected(key, field, &quoted, &Value::from(got))),
    }
}

fn read_kind(kind: Kind, name: Arc<str>, fields: &Fields<'_>) -> Result<Record, Fault> {
    match kind {
        Kind::Workspace => read_workspace(name, fields).map(Record::Workspace),
        Kind::Budget => read_budget(name, fields).map(Record::Budget),
        Kind::Backend => read_backend(name, fields).map(Record::Backend),
        Kind::Route => read_route(name, fields).map(Record::Route),
        Kind::Operator => read_operator(name, fields).map(Record::Operator),
    }
}

fn read_workspace(name: Arc<str>, fields: &Fields<'_>) -> Result<Workspace, Fault> {
    Ok(Workspace {
        name,
        token_hashes: read_hashes(fields)?,
        budgets: fields.names("budgets", 1..=MAX_BUDGETS)?,
    })
}

fn read_operator(name: Arc<str>, fields: &Fields<'_>) -> Result<Operator, Fault> {
    Ok(Operator { name, token_hashes: read_hashes(fields)? })
}

/// Reads hashes of tokens; a fault never quotes what stands in their place.
fn read_hashes(fields: &Fields<'_>) -> Result<Vec<Arc<str>>, Fault> {
    let is_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    let mut hashes = Vec::new();
    for (path, value) in fields.elements("token_hashes", 1..=MAX_CREDENTIALS)? {
        match value.as_str() {
            Some(hash) if hash.len() == HASH_CHARS && hash.bytes().all(is_hex) => {
                hashes.push(Arc::from(hash));
            }
            _ => return Err(fields.fault(&path, "expected 64 lower-case hexadecimal digits")),
        }
    }
    fields.distinct("token_hashes", &hashes)?;
    Ok(hashes)
}

fn read_budget(name: Arc<str>, fields: &Fields<'_>) -> Result<Budget, Fault> {
    Ok(Budget {
        name,
        workspace: fields.name("workspace")?,
        top_ups: read_top_ups(fields)?,
        urgent_floor: fields.number("urgent_floor", 0..=MAX_TOKENS, Some(0))?,
        ledger: fields.choice("ledger", "old or new", Some(Ledger::New))?,
    })
}

fn read_top_ups(fields: &Fields<'_>) -> Result<BTreeMap<Arc<str>, u64>, Fault> {
    let empty = Document::new();
    let entries = match fields.get("top_ups") {
        None => &empty,
        Some(Value::Object(entries)) => entries,
        Some(other) => return Err(fields.expected("top_ups", "an object of tokens by id", other)),
    };
    if entries.len() > MAX_TOP_UPS {
        let reason = format!("expected at most {MAX_TOP_UPS}, got {}", entries.len());
        return Err(fields.fault("top_ups", reason));
    }
    let mut top_ups = BTreeMap::new();
    let mut sum = 0;
    for (id, value) in entries {
        let path = format!("top_ups.{id}");
        if !schema::is_label(id) {
            return Err(fields.expected("top_ups", LABEL, &Value::from(id.as_str())));
        }
        let tokens = fields.number_in(&path, value, 1..=MAX_TOKENS)?;
        sum += tokens;
        if sum > MAX_TOKENS {
            return Err(fields.fault(&path, format!("expected a sum of at most {MAX_TOKENS}")));
        }
        top_ups.insert(Arc::from(id.as_str()), tokens);
    }
    Ok(top_ups)
}

fn read_backend(name: Arc<str>, fields: &Fields<'_>) -> Result<Backend, Fault> {
    let models = match fields.get("models") {
        None => Vec::new(),
        Some(_) => read_models(fields)?,
    };
    let implied = if models.is_empty() { Role::Service } else { Role::Engine };
    let role = fields.choice("role", "engine or service", Some(implied))?;
    if role == Role::Service && !models.is_empty() {
        return Err(fields.fault("models", "expected none for a service"));
    }
    let slots = fields.number("slots", 1..=MAX_SLOTS, None)?;
    Ok(Backend {
        name,
        address: read_address(fields)?,
        zone: fields.name("zone")?,
        role,
        models,
        slots: u32::try_from(slots).unwrap_or(u32::MAX),
        fencing: fields.flag("fencing", Some(false))?,
        leaving: fields.flag("leaving", Some(false))?,
    })
}

fn read_address(fields: &Fields<'_>) -> Result<Arc<str>, Fault> {
    const EXPECTED: &str = "http://ip:port";
    let text = fields.text("address", EXPECTED)?;
    let socket = text.strip_prefix("http://").and_then(|rest| rest.parse::<SocketAddr>().ok());
    match socket {
        Some(socket) if socket.port() != 0 => Ok(Arc::from(text)),
        _ => Err(fields.expected("address", EXPECTED, &Value::from(text))),
    }
}

fn read_models(fields: &Fields<'_>) -> Result<Vec<Model>, Fault> {
    let mut models = Vec::new();
    for (path, value) in fields.elements("models", 0..=MAX_MODELS)? {
        models.push(read_model(fields, &path, value)?);
    }
    fields.distinct("models", &models)?;
    Ok(models)
}

fn read_model(fields: &Fields<'_>, path: &str, value: &Value) -> Result<Model, Fault> {
    if !value.is_object() {
        return Err(fields.expected(path, "an object with name, adapter and version", value));
    }
    Ok(Model {
        name: read_label(fields, path, value, "name", false)?,
        adapter: read_label(fields, path, value, "adapter", true)?,
        version: read_label(fields, path, value, "version", true)?,
    })
}

const LABEL: &str = "1 to 63 letters, digits, dots, underscores and dashes";

fn read_label(
    fields: &Fields<'_>,
    path: &str,
    model: &Value,
    field: &str,
    optional: bool,
) -> Result<Arc<str>, Fault> {
    let path = format!("{path}.{field}");
    match model.get(field) {
        None | Some(Value::Null) if optional => Ok(empty()),
        None | Some(Value::Null) => Err(fields.fault(&path, "missing")),
        Some(Value::String(text)) if optional && text.is_empty() => Ok(empty()),
        Some(Value::String(text)) if schema::is_label(text) => Ok(Arc::from(text.as_str())),
        Some(other) => Err(fields.expected(&path, LABEL, other)),
    }
}

fn read_route(name: Arc<str>, fields: &Fields<'_>) -> Result<Route, Fault> {
    let model = match fields.get("model") {
        None => None,
        Some(value) => Some(read_model(fields, "model", value)?),
    };
    let (least, default) = if model.is_some() { (1, None) } else { (0, Some(0)) };
    Ok(Route {
        name,
        backends: fields.names("backends", 1..=MAX_BACKENDS)?,
        model,
        idempotent: fields.flag("idempotent", None)?,
        class: fields.choice("class", "urgent, normal or long", Some(Class::Normal))?,
        max_tokens: fields.number("max_tokens", least..=MAX_REQUEST_TOKENS, default)?,
        call_tokens: fields.number("call_tokens", 0..=MAX_REQUEST_TOKENS, Some(0))?,
        timeout_ms: fields.number("timeout_ms", 1..=MAX_TIMEOUT_MS, Some(DEFAULT_TIMEOUT_MS))?,
    })
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
    document.insert("version".to_owned(), Value::from(schema::NEWEST));
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
    pub fn succeeds(&self, old: &Self) -> Result<(), Fault> {
        let (Self::Budget(new), Self::Budget(old)) = (self, old) else {
            return Ok(());
        };
        for (id, held) in &old.top_ups {
            let tokens = new.top_ups.get(id).copied().unwrap_or(0);
            if tokens < *held {
                let reason = format!("lowered from {held} to {tokens}");
                return Err(Fault::new(&self.key(), &format!("top_ups.{id}"), reason));
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
