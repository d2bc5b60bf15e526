//! Differences between two versions of a record, field by field.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::Value;

/// Field that says who wrote a record, and over which revision.
pub const SIGNATURE: &str = "changed_by";

/// A field whose value differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Path of the field.
    pub field: String,
    /// Value on the one side; `None` where it is absent.
    pub old: Option<Value>,
    /// Value on the other side; `None` where it is absent.
    pub new: Option<Value>,
}

impl Difference {
    /// Returns the difference as a line.
    pub fn line(&self) -> String {
        format!("{}: {} -> {}", self.field, show(self.old.as_ref()), show(self.new.as_ref()))
    }
}

/// Returns a value as people read it.
pub fn show(value: Option<&Value>) -> String {
    value.map_or_else(|| "(absent)".to_owned(), Value::to_string)
}

/// Returns the fields in which two documents differ, but for the signature.
pub fn between(old: Option<&Value>, new: Option<&Value>) -> Vec<Difference> {
    let old = flatten(old);
    let new = flatten(new);
    let mut fields: Vec<&String> = old.keys().chain(new.keys()).collect();
    fields.sort();
    fields.dedup();
    let differs = fields.into_iter().filter(|field| old.get(*field) != new.get(*field));
    differs
        .map(|field| Difference {
            field: field.clone(),
            old: old.get(field).cloned(),
            new: new.get(field).cloned(),
        })
        .collect()
}

/// Returns the values of a document by the paths of their fields.
pub fn flatten(document: Option<&Value>) -> BTreeMap<String, Value> {
    let mut fields = BTreeMap::new();
    if let Some(Value::Object(document)) = document {
        for (field, value) in document.iter().filter(|(field, _)| *field != SIGNATURE) {
            flatten_field(field.clone(), value, &mut fields);
        }
    }
    fields
}

fn flatten_field(path: String, value: &Value, fields: &mut BTreeMap<String, Value>) {
    match value {
        Value::Object(object) if !object.is_empty() => {
            for (field, value) in object {
                flatten_field(format!("{path}.{field}"), value, fields);
            }
        }
        _ => {
            fields.insert(path, value.clone());
        }
    }
}
