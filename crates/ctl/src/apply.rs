//! Writes records, and shows beforehand what that would change.

use std::{path::PathBuf, sync::Arc};

use coordination::{record, schema, table::Row};
use eyre::Result;
use serde_json::{Value, json};

use crate::{
    difference::{self, Difference},
    file::{self, Source},
    output::Report,
    table::{self, Table},
    write::{self, Change, Written},
};

/// A record and what is to become of it.
#[derive(Debug)]
struct Step {
    source: Source,
    read: Row,
    merged: String,
    differences: Vec<Difference>,
}

/// Writes the records of files; nothing is written where one of them is not valid.
///
/// # Errors
///
/// Returns an error where files or the platform can't be read.
pub fn apply(table: &impl Table, operator: &str, paths: &[PathBuf]) -> Result<Report> {
    let steps = match plan(table, paths)? {
        Ok(steps) => steps,
        Err(report) => return Ok(report),
    };
    let mut report = Report { text: String::new(), json: json!([]), done: true };
    let mut results = Vec::new();
    for step in &steps {
        let (state, text, detail) = perform(table, operator, step);
        report.done &= matches!(state, "unchanged" | "applied");
        report.text.push_str(&format!("{}: {text}", step.source.key));
        results.push(json!({ "key": step.source.key, "state": state, "detail": detail }));
    }
    report.json = Value::Array(results);
    Ok(report)
}

/// Shows what [`apply`] would change, field by field.
///
/// # Errors
///
/// Returns an error where files or the platform can't be read.
pub fn diff(table: &impl Table, paths: &[PathBuf]) -> Result<Report> {
    let steps = match plan(table, paths)? {
        Ok(steps) => steps,
        Err(report) => return Ok(report),
    };
    let mut text = String::new();
    let mut results = Vec::new();
    for step in steps.iter().filter(|step| !step.differences.is_empty()) {
        text.push_str(&format!("{} at revision {}\n", step.source.key, step.read.revision));
        for difference in &step.differences {
            text.push_str(&format!("  {}\n", difference.line()));
        }
        results.push(json!({
            "key": step.source.key,
            "revision": step.read.revision,
            "fields": step.differences,
        }));
    }
    Ok(Report { text, json: Value::Array(results), done: true })
}

fn plan(table: &impl Table, paths: &[PathBuf]) -> Result<Result<Vec<Step>, Report>> {
    let sources = file::read(paths)?;
    let keys: Vec<Arc<str>> = sources.iter().map(|source| source.key.as_str().into()).collect();
    let rows = table::read(table, &keys)?;
    let mut steps = Vec::new();
    let mut faults = Vec::new();
    for (source, read) in sources.into_iter().zip(rows) {
        match merge(&source, &read) {
            Ok(merged) => steps.push(Step::new(source, read, merged)),
            Err(fault) => faults.push((source, fault)),
        }
    }
    if faults.is_empty() {
        return Ok(Ok(steps));
    }
    Ok(Err(refuse(&faults)))
}

/// Returns the document that results from writing a record over a row.
pub(crate) fn merge(source: &Source, read: &Row) -> Result<String, record::ValidationError> {
    match &read.value {
        Some(old) => schema::merge(old, &source.json),
        None => record::parse(&source.key, &source.json).map(|_| source.json.clone()),
    }
}

fn refuse(faults: &[(Source, record::ValidationError)]) -> Report {
    let mut text = String::new();
    let mut results = Vec::new();
    for (source, fault) in faults {
        text.push_str(&format!("{}: {fault}\n", source.place));
        results.push(json!({
            "key": source.key,
            "state": "invalid",
            "detail": { "place": source.place, "field": fault.field, "reason": fault.reason },
        }));
    }
    text.push_str("nothing was written\n");
    Report { text, json: Value::Array(results), done: false }
}

impl Step {
    fn new(source: Source, read: Row, merged: String) -> Self {
        let old = read.value.as_deref().and_then(|old| serde_json::from_str(old).ok());
        let new = serde_json::from_str(&merged).ok();
        let differences = difference::between(old.as_ref(), new.as_ref());
        Self { source, read, merged, differences }
    }
}

fn perform(table: &impl Table, operator: &str, step: &Step) -> (&'static str, String, Value) {
    if step.differences.is_empty() {
        let revision = step.read.revision;
        return (
            "unchanged",
            format!("unchanged at revision {revision}\n"),
            json!({ "revision": revision }),
        );
    }
    let change = Change {
        read: step.read.clone(),
        value: Some(write::sign(&step.merged, operator, step.read.revision)),
        checks: Vec::new(),
    };
    describe(write::commit(table, &change))
}

/// Returns a word, a line and the details of what came of a change.
pub(crate) fn describe(written: Written) -> (&'static str, String, Value) {
    match written {
        Written::Committed(revision) => (
            "applied",
            format!("applied at revision {revision}\n"),
            json!({ "revision": revision }),
        ),
        Written::Recognised(revision) => (
            "applied",
            format!("applied at revision {revision}; the first answer was lost\n"),
            json!({ "revision": revision, "recognised": true }),
        ),
        Written::Lost(loss) => ("lost", loss.lines(), json!(loss)),
        Written::Barred(row) => (
            "refused",
            format!("refused: {} stands at revision {}\n", row.key, row.revision),
            json!({ "key": row.key, "revision": row.revision }),
        ),
        Written::Refused => (
            "failed",
            "failed: the platform can't be reached; nothing was written\n".to_owned(),
            Value::Null,
        ),
        Written::Unknown => (
            "unknown",
            "unknown: no answer came; run the command again to learn or complete it\n".to_owned(),
            Value::Null,
        ),
    }
}
