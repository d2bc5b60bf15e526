//! Builds records of each kind from the fields of the newest version.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use serde_json::Value;

use super::{
    Backend, Budget, DEFAULT_TIMEOUT_MS, Kind, LedgerFormat, MAX_BACKENDS, MAX_BUDGETS,
    MAX_CREDENTIALS, MAX_MODELS, MAX_REQUEST_TOKENS, MAX_SLOTS, MAX_TIMEOUT_MS, MAX_TOP_UPS, Model,
    Operator, Record, Role, Route, ValidationError, Workspace, empty,
};
use crate::{
    request::Class,
    schema::{self, Document, Fields, MAX_TOKENS},
};

/// Number of hexadecimal digits of a token hash.
const HASH_CHARS: usize = 64;

/// Returns the record of a kind with these fields of the newest version.
pub(super) fn record(
    kind: Kind,
    name: Arc<str>,
    fields: &Fields<'_>,
) -> Result<Record, ValidationError> {
    match kind {
        Kind::Workspace => workspace(name, fields).map(Record::Workspace),
        Kind::Budget => budget(name, fields).map(Record::Budget),
        Kind::Backend => backend(name, fields).map(Record::Backend),
        Kind::Route => route(name, fields).map(Record::Route),
        Kind::Operator => operator(name, fields).map(Record::Operator),
    }
}

fn workspace(name: Arc<str>, fields: &Fields<'_>) -> Result<Workspace, ValidationError> {
    Ok(Workspace {
        name,
        token_hashes: hashes(fields)?,
        budgets: fields.names("budgets", 1..=MAX_BUDGETS)?,
    })
}

fn operator(name: Arc<str>, fields: &Fields<'_>) -> Result<Operator, ValidationError> {
    Ok(Operator { name, token_hashes: hashes(fields)? })
}

/// Reads the hashes of bearer tokens.
///
/// Errors never quote the value, which may be a token by mistake.
fn hashes(fields: &Fields<'_>) -> Result<Vec<Arc<str>>, ValidationError> {
    let is_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    let mut hashes = Vec::new();
    for (path, value) in fields.elements("token_hashes", 1..=MAX_CREDENTIALS)? {
        match value.as_str() {
            Some(hash) if hash.len() == HASH_CHARS && hash.bytes().all(is_hex) => {
                hashes.push(Arc::from(hash));
            }
            _ => return Err(fields.error(&path, "expected 64 lower-case hexadecimal digits")),
        }
    }
    fields.check_distinct("token_hashes", &hashes)?;
    Ok(hashes)
}

fn budget(name: Arc<str>, fields: &Fields<'_>) -> Result<Budget, ValidationError> {
    Ok(Budget {
        name,
        workspace: fields.name("workspace")?,
        top_ups: top_ups(fields)?,
        urgent_floor: fields.number("urgent_floor", 0..=MAX_TOKENS, Some(0))?,
        ledger: fields.choice("ledger", "old or new", Some(LedgerFormat::New))?,
    })
}

fn top_ups(fields: &Fields<'_>) -> Result<BTreeMap<Arc<str>, u64>, ValidationError> {
    let empty = Document::new();
    let entries = match fields.get("top_ups") {
        None => &empty,
        Some(Value::Object(entries)) => entries,
        Some(other) => return Err(fields.mismatch("top_ups", "an object of tokens by id", other)),
    };
    if entries.len() > MAX_TOP_UPS {
        let reason = format!("expected at most {MAX_TOP_UPS}, got {}", entries.len());
        return Err(fields.error("top_ups", reason));
    }
    let mut top_ups = BTreeMap::new();
    let mut sum = 0;
    for (id, value) in entries {
        let path = format!("top_ups.{id}");
        if !schema::is_label(id) {
            return Err(fields.mismatch("top_ups", EXPECTED_LABEL, &Value::from(id.as_str())));
        }
        let tokens = fields.number_in(&path, value, 1..=MAX_TOKENS)?;
        sum += tokens;
        if sum > MAX_TOKENS {
            return Err(fields.error(&path, format!("expected a sum of at most {MAX_TOKENS}")));
        }
        top_ups.insert(Arc::from(id.as_str()), tokens);
    }
    Ok(top_ups)
}

fn backend(name: Arc<str>, fields: &Fields<'_>) -> Result<Backend, ValidationError> {
    let models = match fields.get("models") {
        None => Vec::new(),
        Some(_) => models(fields)?,
    };
    let default_role = if models.is_empty() { Role::Service } else { Role::Engine };
    let role = fields.choice("role", "engine or service", Some(default_role))?;
    if role == Role::Service && !models.is_empty() {
        return Err(fields.error("models", "expected none for a service"));
    }
    let serve_as = fields.get("serve_as").map(|_| fields.name("serve_as")).transpose()?;
    if role == Role::Service && serve_as.is_some() {
        return Err(fields.error("serve_as", "expected none for a service"));
    }
    let slots = fields.number("slots", 1..=MAX_SLOTS, None)?;
    Ok(Backend {
        name,
        address: address(fields)?,
        zone: fields.name("zone")?,
        role,
        models,
        slots: u32::try_from(slots).unwrap_or(u32::MAX),
        fencing: fields.flag("fencing", Some(false))?,
        leaving: fields.flag("leaving", Some(false))?,
        serve_as,
    })
}

fn address(fields: &Fields<'_>) -> Result<Arc<str>, ValidationError> {
    const EXPECTED: &str = "http://ip:port";
    let text = fields.text("address", EXPECTED)?;
    let socket = text.strip_prefix("http://").and_then(|rest| rest.parse::<SocketAddr>().ok());
    match socket {
        Some(socket) if socket.port() != 0 => Ok(Arc::from(text)),
        _ => Err(fields.mismatch("address", EXPECTED, &Value::from(text))),
    }
}

fn models(fields: &Fields<'_>) -> Result<Vec<Model>, ValidationError> {
    let mut models = Vec::new();
    for (path, value) in fields.elements("models", 0..=MAX_MODELS)? {
        models.push(model(fields, &path, value)?);
    }
    fields.check_distinct("models", &models)?;
    Ok(models)
}

fn model(fields: &Fields<'_>, path: &str, value: &Value) -> Result<Model, ValidationError> {
    if !value.is_object() {
        return Err(fields.mismatch(path, "an object with name, adapter and version", value));
    }
    Ok(Model {
        name: label(fields, path, value, "name", false)?,
        adapter: label(fields, path, value, "adapter", true)?,
        version: label(fields, path, value, "version", true)?,
    })
}

/// Description of a label in error messages.
const EXPECTED_LABEL: &str = "1 to 63 letters, digits, dots, underscores and dashes";

/// Returns a label in a field of a model; an empty text if it is optional and missing.
fn label(
    fields: &Fields<'_>,
    path: &str,
    model: &Value,
    field: &str,
    optional: bool,
) -> Result<Arc<str>, ValidationError> {
    let path = format!("{path}.{field}");
    match model.get(field) {
        None | Some(Value::Null) if optional => Ok(empty()),
        None | Some(Value::Null) => Err(fields.error(&path, "missing")),
        Some(Value::String(text)) if optional && text.is_empty() => Ok(empty()),
        Some(Value::String(text)) if schema::is_label(text) => Ok(Arc::from(text.as_str())),
        Some(other) => Err(fields.mismatch(&path, EXPECTED_LABEL, other)),
    }
}

fn route(name: Arc<str>, fields: &Fields<'_>) -> Result<Route, ValidationError> {
    let model = match fields.get("model") {
        None => None,
        Some(value) => Some(model(fields, "model", value)?),
    };
    let (min, default) = if model.is_some() { (1, None) } else { (0, Some(0)) };
    Ok(Route {
        name,
        backends: fields.names("backends", 1..=MAX_BACKENDS)?,
        model,
        idempotent: fields.flag("idempotent", None)?,
        class: fields.choice("class", "urgent, normal or long", Some(Class::Normal))?,
        max_tokens: fields.number("max_tokens", min..=MAX_REQUEST_TOKENS, default)?,
        call_tokens: fields.number("call_tokens", 0..=MAX_REQUEST_TOKENS, Some(0))?,
        timeout_ms: fields.number("timeout_ms", 1..=MAX_TIMEOUT_MS, Some(DEFAULT_TIMEOUT_MS))?,
    })
}
