//! Schema versions of records: translation from the old form and merging of writes.
//!
//! A record of version 1 reads as if it had been written in version 2. A write keeps every field
//! that it doesn't name, so that a writer of the old version drops nothing that the new one added.

mod fields;

use serde_json::{Map, Value};

pub(crate) use self::fields::{Fields, quote};
pub use self::fields::{MAX_NAME, is_label, is_name};
use crate::record::{self, Kind, ValidationError};

/// Fields of a record as they stand in the table.
pub type Document = Map<String, Value>;

/// Oldest version that is honoured.
pub const OLDEST_VERSION: u64 = 1;

/// Newest version, the one that readers see.
pub const NEWEST_VERSION: u64 = 2;

/// Greatest length of a record's JSON text, in bytes.
pub const MAX_RECORD_BYTES: usize = 1 << 20;

/// Greatest number of tokens in one figure; every JSON reader holds it exactly.
pub const MAX_TOKENS: u64 = 1 << 53;

/// Id under which the prepaid amount of a version 1 budget counts as a top-up.
pub const PREPAID_TOP_UP_ID: &str = "prepaid";

/// A field of version 1 and the field of version 2 that took its place.
struct Rename {
    kind: Kind,
    old: &'static str,
    new: &'static str,
    /// Path under which version 2 reports a fault in the value.
    path: &'static str,
    required: bool,
    form: Form,
}

/// How the value of a version 1 field becomes part of a version 2 field.
#[derive(Clone, Copy)]
enum Form {
    /// The value as it is.
    Same,
    /// First element of a list.
    First,
    /// First element of a list of models.
    FirstModel,
    /// Name of a model.
    Model,
    /// Top-up with the id [`PREPAID`].
    TopUp,
}

const RENAMES: [Rename; 8] = [
    Rename {
        kind: Kind::Workspace,
        old: "token_hash",
        new: "token_hashes",
        path: "token_hashes[0]",
        required: true,
        form: Form::First,
    },
    Rename {
        kind: Kind::Workspace,
        old: "budget",
        new: "budgets",
        path: "budgets[0]",
        required: true,
        form: Form::First,
    },
    Rename {
        kind: Kind::Budget,
        old: "prepaid",
        new: "top_ups",
        path: "top_ups.prepaid",
        required: true,
        form: Form::TopUp,
    },
    Rename {
        kind: Kind::Backend,
        old: "url",
        new: "address",
        path: "address",
        required: true,
        form: Form::Same,
    },
    Rename {
        kind: Kind::Backend,
        old: "model",
        new: "models",
        path: "models[0].name",
        required: false,
        form: Form::FirstModel,
    },
    Rename {
        kind: Kind::Route,
        old: "repeatable",
        new: "idempotent",
        path: "idempotent",
        required: true,
        form: Form::Same,
    },
    Rename {
        kind: Kind::Route,
        old: "model",
        new: "model",
        path: "model.name",
        required: false,
        form: Form::Model,
    },
    Rename {
        kind: Kind::Operator,
        old: "token_hash",
        new: "token_hashes",
        path: "token_hashes[0]",
        required: true,
        form: Form::First,
    },
];

/// Reads the JSON object of the record `key`.
///
/// # Errors
///
/// Returns a fault where the text is too long or is not a JSON object.
pub fn parse_object(key: &str, json: &str) -> Result<Document, ValidationError> {
    if json.len() > MAX_RECORD_BYTES {
        let reason = format!("expected at most {MAX_RECORD_BYTES} bytes, got {}", json.len());
        return Err(ValidationError::new(key, "document", reason));
    }
    match serde_json::from_str(json) {
        Ok(Value::Object(document)) => Ok(document),
        Ok(other) => Err(ValidationError::expected(key, "document", "a JSON object", &other)),
        Err(err) => Err(ValidationError::new(key, "document", format!("expected JSON, got {err}"))),
    }
}

/// Returns the version of a document.
///
/// # Errors
///
/// Returns a fault where the version is missing or not honoured.
pub fn version(key: &str, document: &Document) -> Result<u64, ValidationError> {
    Fields::new(key, document).number("version", OLDEST_VERSION..=NEWEST_VERSION, None)
}

/// Returns the document in the form of the newest version.
///
/// # Errors
///
/// Returns a fault where a field of version 1 is missing or its version is not honoured.
pub fn upgrade(key: &str, kind: Kind, document: Document) -> Result<Document, ValidationError> {
    if version(key, &document)? == NEWEST_VERSION {
        return Ok(document);
    }
    require(key, kind, &document)?;
    translate_whole(key, kind, document)
}

fn translate_whole(key: &str, kind: Kind, document: Document) -> Result<Document, ValidationError> {
    let mut upgraded = Document::new();
    translate(key, kind, document, &mut upgraded)?;
    if kind == Kind::Budget {
        upgraded.entry("ledger").or_insert_with(|| Value::from("old"));
    }
    Ok(upgraded)
}

/// Returns the name that version 1 gives to the field at a path of version 2.
pub fn old_path(kind: Kind, path: &str) -> &str {
    RENAMES
        .iter()
        .find(|rename| rename.kind == kind && rename.path == path)
        .map_or(path, |rename| rename.old)
}

/// Returns what is to be written when `new` is applied over `old`.
///
/// Fields that `new` doesn't name stay, a null removes a field, and top-ups are joined by id. The
/// result has the greater of both versions. An old record that is not valid is mended by the
/// fields that `new` names.
///
/// # Errors
///
/// Returns a fault where `new`, or what comes of both, is not valid, where a top-up would be
/// lowered, or where `old` has a version newer than [`NEWEST`].
pub fn merge(old: &str, new: &str) -> Result<String, ValidationError> {
    let (key, kind, new) = parse_with_key(new)?;
    let written = version(&key, &new)?;
    let Ok(mut held) = parse_object(&key, old) else {
        record::from_document(&key, new.clone())?;
        return Ok(Value::Object(new).to_string());
    };
    refuse_newer(&key, &held)?;
    let before = record::from_document(&key, held.clone()).ok();
    let newest = version(&key, &held).unwrap_or(written).max(written);
    held.insert("version".to_owned(), Value::from(version(&key, &held).unwrap_or(written)));
    let merged = match newest {
        OLDEST_VERSION => overlay(held, new),
        _ => overlay_upgraded(&key, kind, held, new)?,
    };
    let after = record::from_document(&key, merged.clone())?;
    if let Some(before) = before {
        after.check_replaces(&before)?;
    }
    Ok(Value::Object(merged).to_string())
}

fn refuse_newer(key: &str, held: &Document) -> Result<(), ValidationError> {
    match held.get("version").and_then(Value::as_u64) {
        Some(version) if version > NEWEST_VERSION => {
            let reason = format!("the record has version {version}, newer than {NEWEST_VERSION}");
            Err(ValidationError::new(key, "version", reason))
        }
        _ => Ok(()),
    }
}

/// Returns the key, kind and fields of a record that is not yet in the table.
///
/// # Errors
///
/// Returns a fault where kind or name is missing or malformed.
pub fn parse_with_key(json: &str) -> Result<(String, Kind, Document), ValidationError> {
    let document = parse_object("record", json)?;
    let fields = Fields::new("record", &document);
    let kind: Kind = fields.choice("kind", Kind::NAMES, None)?;
    let name = fields.name("name")?;
    Ok((record::key(kind, &name), kind, document))
}

fn overlay_upgraded(
    key: &str,
    kind: Kind,
    old: Document,
    new: Document,
) -> Result<Document, ValidationError> {
    let mut base = match version(key, &old)? {
        NEWEST_VERSION => old,
        _ => translate_whole(key, kind, old)?,
    };
    if version(key, &new)? == NEWEST_VERSION {
        return Ok(overlay(base, new));
    }
    translate(key, kind, new, &mut base)?;
    Ok(base)
}

fn overlay(mut base: Document, new: Document) -> Document {
    for (field, value) in new {
        overlay_field(&mut base, field, value);
    }
    base
}

fn overlay_field(base: &mut Document, field: String, value: Value) {
    if value.is_null() {
        base.remove(&field);
        return;
    }
    if field != "top_ups" {
        base.insert(field, value);
        return;
    }
    match (base.get_mut(&field), value) {
        (Some(Value::Object(held)), Value::Object(added)) => held.extend(added),
        (_, value) => {
            base.insert(field, value);
        }
    }
}

fn require(key: &str, kind: Kind, document: &Document) -> Result<(), ValidationError> {
    let missing = RENAMES.iter().find(|rename| {
        rename.kind == kind
            && rename.required
            && !document.contains_key(rename.old)
            && !document.contains_key(rename.new)
    });
    match missing {
        Some(rename) => Err(ValidationError::new(key, rename.old, "missing")),
        None => Ok(()),
    }
}

/// Writes the fields of a version 1 document over `base`, in their version 2 form.
fn translate(
    key: &str,
    kind: Kind,
    mut document: Document,
    base: &mut Document,
) -> Result<(), ValidationError> {
    let mut values = Vec::new();
    for rename in RENAMES.iter().filter(|rename| rename.kind == kind) {
        if let Some(value) = document.remove(rename.old) {
            values.push((rename, value));
        }
    }
    document.insert("version".to_owned(), Value::from(NEWEST_VERSION));
    *base = overlay(std::mem::take(base), document);
    for (rename, value) in values {
        translate_field(key, rename, value, base)?;
    }
    Ok(())
}

fn translate_field(
    key: &str,
    rename: &Rename,
    value: Value,
    base: &mut Document,
) -> Result<(), ValidationError> {
    let translated = match rename.form {
        Form::Same => value,
        Form::First => first(list(base, rename.new), value),
        Form::FirstModel => first_model(key, rename.old, list(base, rename.new), value)?,
        Form::Model => model(key, rename.old, base.get(rename.new), value)?,
        Form::TopUp => {
            let mut held = match base.remove(rename.new) {
                Some(Value::Object(held)) => held,
                _ => Document::new(),
            };
            held.insert(PREPAID_TOP_UP_ID.to_owned(), value);
            Value::Object(held)
        }
    };
    base.insert(rename.new.to_owned(), translated);
    Ok(())
}

fn list(base: &mut Document, field: &str) -> Vec<Value> {
    match base.remove(field) {
        Some(Value::Array(values)) => values,
        _ => Vec::new(),
    }
}

fn first(mut values: Vec<Value>, value: Value) -> Value {
    match values.iter().position(|held| *held == value) {
        Some(at) => values.swap(0, at),
        None if values.is_empty() => values.push(value),
        None => values[0] = value,
    }
    Value::Array(values)
}

fn first_model(
    key: &str,
    field: &str,
    mut models: Vec<Value>,
    value: Value,
) -> Result<Value, ValidationError> {
    let model = model(key, field, models.first(), value)?;
    match (model, models.is_empty()) {
        (Value::Null, _) => models.clear(),
        (model, true) => models.push(model),
        (model, false) => models[0] = model,
    }
    Ok(Value::Array(models))
}

fn model(
    key: &str,
    field: &str,
    held: Option<&Value>,
    value: Value,
) -> Result<Value, ValidationError> {
    let name = match value {
        Value::Null => return Ok(Value::Null),
        Value::String(name) if name.is_empty() => return Ok(Value::Null),
        Value::String(name) => name,
        other => return Err(ValidationError::expected(key, field, "the name of a model", &other)),
    };
    match held {
        Some(held) if held.get("name").and_then(Value::as_str) == Some(&name) => Ok(held.clone()),
        _ => Ok(serde_json::json!({ "name": name })),
    }
}
