//! Schema versions of records: upgrades from version 1 and merging of writes.
//!
//! A record of version 1 reads as if it had been written in version 2. A write keeps all fields
//! that it doesn't name, so that a writer of version 1 doesn't remove fields that version 2 added.

mod fields;

use serde_json::{Map, Value};

pub(crate) use self::fields::{Fields, quote};
pub use self::fields::{MAX_NAME, is_label, is_name};
use crate::record::{self, Kind, ValidationError};

/// Fields of a record as stored in the table.
pub type Document = Map<String, Value>;

/// Oldest supported version.
pub const OLDEST_VERSION: u64 = 1;

/// Newest supported version, in which readers get every record.
pub const NEWEST_VERSION: u64 = 2;

/// Maximum length of a record's JSON text, in bytes.
pub const MAX_RECORD_BYTES: usize = 1 << 20;

/// Maximum number of tokens in a single value; every JSON reader represents it exactly.
pub const MAX_TOKENS: u64 = 1 << 53;

/// Id of the top-up that represents the prepaid amount of a version 1 budget.
pub const PREPAID_TOP_UP_ID: &str = "prepaid";

/// A field of version 1 and the field of version 2 that replaces it.
struct FieldMapping {
    kind: Kind,
    old: &'static str,
    new: &'static str,
    /// Path of the value in validation errors of version 2.
    path: &'static str,
    required: bool,
    conversion: Conversion,
}

/// Conversion of the value of a version 1 field to the version 2 field.
#[derive(Clone, Copy)]
enum Conversion {
    /// The value is unchanged.
    Unchanged,
    /// The value is the first element of a list.
    First,
    /// The value is the name of the first element of a list of models.
    FirstModel,
    /// The value is the name of a model.
    Model,
    /// The value is the top-up with the id [`PREPAID_TOP_UP_ID`].
    TopUp,
}

const FIELD_MAPPINGS: [FieldMapping; 8] = [
    FieldMapping {
        kind: Kind::Workspace,
        old: "token_hash",
        new: "token_hashes",
        path: "token_hashes[0]",
        required: true,
        conversion: Conversion::First,
    },
    FieldMapping {
        kind: Kind::Workspace,
        old: "budget",
        new: "budgets",
        path: "budgets[0]",
        required: true,
        conversion: Conversion::First,
    },
    FieldMapping {
        kind: Kind::Budget,
        old: "prepaid",
        new: "top_ups",
        path: "top_ups.prepaid",
        required: true,
        conversion: Conversion::TopUp,
    },
    FieldMapping {
        kind: Kind::Backend,
        old: "url",
        new: "address",
        path: "address",
        required: true,
        conversion: Conversion::Unchanged,
    },
    FieldMapping {
        kind: Kind::Backend,
        old: "model",
        new: "models",
        path: "models[0].name",
        required: false,
        conversion: Conversion::FirstModel,
    },
    FieldMapping {
        kind: Kind::Route,
        old: "repeatable",
        new: "idempotent",
        path: "idempotent",
        required: true,
        conversion: Conversion::Unchanged,
    },
    FieldMapping {
        kind: Kind::Route,
        old: "model",
        new: "model",
        path: "model.name",
        required: false,
        conversion: Conversion::Model,
    },
    FieldMapping {
        kind: Kind::Operator,
        old: "token_hash",
        new: "token_hashes",
        path: "token_hashes[0]",
        required: true,
        conversion: Conversion::First,
    },
];

/// Parses the JSON object of the record `key`.
///
/// # Errors
///
/// Returns an error if the text is too long or is not a JSON object.
pub fn parse_object(key: &str, json: &str) -> Result<Document, ValidationError> {
    if json.len() > MAX_RECORD_BYTES {
        let reason = format!("expected at most {MAX_RECORD_BYTES} bytes, got {}", json.len());
        return Err(ValidationError::new(key, "document", reason));
    }
    match serde_json::from_str(json) {
        Ok(Value::Object(document)) => Ok(document),
        Ok(other) => Err(ValidationError::mismatch(key, "document", "a JSON object", &other)),
        Err(err) => Err(ValidationError::new(key, "document", format!("expected JSON, got {err}"))),
    }
}

/// Returns the version of a document.
///
/// # Errors
///
/// Returns an error if the version is missing or not supported.
pub fn version(key: &str, document: &Document) -> Result<u64, ValidationError> {
    Fields::new(key, document).number("version", OLDEST_VERSION..=NEWEST_VERSION, None)
}

/// Returns the document in the newest version.
///
/// # Errors
///
/// Returns an error if a required field of version 1 is missing or the version is not supported.
pub fn upgrade(key: &str, kind: Kind, document: Document) -> Result<Document, ValidationError> {
    if version(key, &document)? == NEWEST_VERSION {
        return Ok(document);
    }
    check_required(key, kind, &document)?;
    translate_document(key, kind, document)
}

/// Translates a complete version 1 document. Its budgets use the old ledger format by default.
fn translate_document(
    key: &str,
    kind: Kind,
    document: Document,
) -> Result<Document, ValidationError> {
    let mut upgraded = Document::new();
    translate_over(key, kind, document, &mut upgraded)?;
    if kind == Kind::Budget {
        upgraded.entry("ledger").or_insert_with(|| Value::from("old"));
    }
    Ok(upgraded)
}

/// Returns the name in version 1 of the field at a path of version 2.
pub fn old_path(kind: Kind, path: &str) -> &str {
    FIELD_MAPPINGS
        .iter()
        .find(|mapping| mapping.kind == kind && mapping.path == path)
        .map_or(path, |mapping| mapping.old)
}

/// Returns the record to write when `new` is merged into `old`.
///
/// Fields that `new` doesn't name are kept, null removes a field, and top-ups are merged by id. The
/// result has the higher of the two versions. `old` may be invalid, as long as the fields that
/// `new` names make the result valid.
///
/// # Errors
///
/// Returns an error if `new` or the result is not valid, if a top-up would be lowered or removed,
/// or if `old` has a version newer than [`NEWEST_VERSION`].
pub fn merge(old: &str, new: &str) -> Result<String, ValidationError> {
    let (key, kind, new) = parse_with_key(new)?;
    let new_version = version(&key, &new)?;
    let Ok(mut stored) = parse_object(&key, old) else {
        record::from_document(&key, new.clone())?;
        return Ok(Value::Object(new).to_string());
    };
    check_not_newer(&key, &stored)?;
    let before = record::from_document(&key, stored.clone()).ok();
    let newest = version(&key, &stored).unwrap_or(new_version).max(new_version);
    stored.insert("version".to_owned(), Value::from(version(&key, &stored).unwrap_or(new_version)));
    let merged = match newest {
        OLDEST_VERSION => overlay(stored, new),
        _ => overlay_upgraded(&key, kind, stored, new)?,
    };
    let after = record::from_document(&key, merged.clone())?;
    if let Some(before) = before {
        after.check_replaces(&before)?;
    }
    Ok(Value::Object(merged).to_string())
}

/// Checks that the version of a stored record is not newer than [`NEWEST_VERSION`].
fn check_not_newer(key: &str, stored: &Document) -> Result<(), ValidationError> {
    match stored.get("version").and_then(Value::as_u64) {
        Some(version) if version > NEWEST_VERSION => {
            let reason = format!("the record has version {version}, newer than {NEWEST_VERSION}");
            Err(ValidationError::new(key, "version", reason))
        }
        _ => Ok(()),
    }
}

/// Parses a record that is not yet in the table; returns its key, kind and fields.
///
/// # Errors
///
/// Returns an error if the text is not a JSON object, or if its kind or name is missing or not
/// valid.
pub fn parse_with_key(json: &str) -> Result<(String, Kind, Document), ValidationError> {
    let document = parse_object("record", json)?;
    let fields = Fields::new("record", &document);
    let kind: Kind = fields.choice("kind", Kind::NAMES, None)?;
    let name = fields.name("name")?;
    Ok((record::key(kind, &name), kind, document))
}

/// Overlays `new` on `old`, each in the newest version.
fn overlay_upgraded(
    key: &str,
    kind: Kind,
    old: Document,
    new: Document,
) -> Result<Document, ValidationError> {
    let mut base = match version(key, &old)? {
        NEWEST_VERSION => old,
        _ => translate_document(key, kind, old)?,
    };
    if version(key, &new)? == NEWEST_VERSION {
        return Ok(overlay(base, new));
    }
    translate_over(key, kind, new, &mut base)?;
    Ok(base)
}

/// Returns `base` with the fields of `new`: null removes a field, and top-ups are merged by id.
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
        (Some(Value::Object(stored)), Value::Object(added)) => stored.extend(added),
        (_, value) => {
            base.insert(field, value);
        }
    }
}

/// Checks that a version 1 document has all required fields, under their old or new name.
fn check_required(key: &str, kind: Kind, document: &Document) -> Result<(), ValidationError> {
    let missing = FIELD_MAPPINGS.iter().find(|mapping| {
        mapping.kind == kind
            && mapping.required
            && !document.contains_key(mapping.old)
            && !document.contains_key(mapping.new)
    });
    match missing {
        Some(mapping) => Err(ValidationError::new(key, mapping.old, "missing")),
        None => Ok(()),
    }
}

/// Translates the fields of a version 1 document to version 2 and overlays them on `base`.
fn translate_over(
    key: &str,
    kind: Kind,
    mut document: Document,
    base: &mut Document,
) -> Result<(), ValidationError> {
    let mut values = Vec::new();
    for mapping in FIELD_MAPPINGS.iter().filter(|mapping| mapping.kind == kind) {
        if let Some(value) = document.remove(mapping.old) {
            values.push((mapping, value));
        }
    }
    document.insert("version".to_owned(), Value::from(NEWEST_VERSION));
    *base = overlay(std::mem::take(base), document);
    for (mapping, value) in values {
        translate_field(key, mapping, value, base)?;
    }
    Ok(())
}

fn translate_field(
    key: &str,
    mapping: &FieldMapping,
    value: Value,
    base: &mut Document,
) -> Result<(), ValidationError> {
    let translated = match mapping.conversion {
        Conversion::Unchanged => value,
        Conversion::First => with_first(take_list(base, mapping.new), value),
        Conversion::FirstModel => {
            with_first_model(key, mapping.old, take_list(base, mapping.new), value)?
        }
        Conversion::Model => model_with_name(key, mapping.old, base.get(mapping.new), value)?,
        Conversion::TopUp => {
            let mut top_ups = match base.remove(mapping.new) {
                Some(Value::Object(top_ups)) => top_ups,
                _ => Document::new(),
            };
            top_ups.insert(PREPAID_TOP_UP_ID.to_owned(), value);
            Value::Object(top_ups)
        }
    };
    base.insert(mapping.new.to_owned(), translated);
    Ok(())
}

/// Removes a list field and returns its elements; none if it is absent or not a list.
fn take_list(base: &mut Document, field: &str) -> Vec<Value> {
    match base.remove(field) {
        Some(Value::Array(values)) => values,
        _ => Vec::new(),
    }
}

/// Returns a list with `value` as its first element: swapped there if present, else in place
/// of the first.
fn with_first(mut values: Vec<Value>, value: Value) -> Value {
    match values.iter().position(|element| *element == value) {
        Some(at) => values.swap(0, at),
        None if values.is_empty() => values.push(value),
        None => values[0] = value,
    }
    Value::Array(values)
}

/// Returns a list of models with the named model as its first element; no models if it has no name.
fn with_first_model(
    key: &str,
    field: &str,
    mut models: Vec<Value>,
    value: Value,
) -> Result<Value, ValidationError> {
    let model = model_with_name(key, field, models.first(), value)?;
    match (model, models.is_empty()) {
        (Value::Null, _) => models.clear(),
        (model, true) => models.push(model),
        (model, false) => models[0] = model,
    }
    Ok(Value::Array(models))
}

/// Returns the model with the name in `value`; keeps the adapter and version of `old` if it has the
/// same name.
fn model_with_name(
    key: &str,
    field: &str,
    old: Option<&Value>,
    value: Value,
) -> Result<Value, ValidationError> {
    let name = match value {
        Value::Null => return Ok(Value::Null),
        Value::String(name) if name.is_empty() => return Ok(Value::Null),
        Value::String(name) => name,
        other => return Err(ValidationError::mismatch(key, field, "the name of a model", &other)),
    };
    match old {
        Some(old) if old.get("name").and_then(Value::as_str) == Some(&name) => Ok(old.clone()),
        _ => Ok(serde_json::json!({ "name": name })),
    }
}
