//! Deletes a record.

use coordination::{
    escrow,
    record::{self, Kind},
    table::Check,
};
use eyre::Result;
use serde_json::json;

use crate::{
    apply,
    output::Report,
    table::{self, Table},
    write::{self, Change, Written},
};

/// Deletes a record; a budget only while nothing was granted from it.
///
/// # Errors
///
/// Returns an error where the platform can't be read.
pub fn delete(table: &impl Table, kind: Kind, name: &str) -> Result<Report> {
    let key = record::key(kind, name);
    let read = table::read_one(table, &key)?;
    if read.value.is_none() {
        let json = json!({ "key": key, "state": "absent" });
        return Ok(Report { text: format!("{key}: absent\n"), json, done: false });
    }
    let change = Change { read, value: None, checks: checks(kind, name) };
    let (state, text, detail) = match write::commit(table, &change) {
        Written::Committed(revision) => {
            let text = format!("deleted at revision {revision}\n");
            ("deleted", text, json!({ "revision": revision }))
        }
        Written::Recognised(_) => {
            let text = "deleted; the first answer was lost\n".to_owned();
            ("deleted", text, json!({ "recognised": true }))
        }
        Written::Barred(_) => {
            let text = "refused: tokens were granted from it; its account must stay\n".to_owned();
            ("refused", text, json!({ "granted": true }))
        }
        other => apply::describe(other),
    };
    let json = json!({ "key": key, "state": state, "detail": detail });
    Ok(Report { text: format!("{key}: {text}"), json, done: state == "deleted" })
}

fn checks(kind: Kind, name: &str) -> Vec<Check> {
    match kind {
        Kind::Budget => vec![Check { key: escrow::escrow_key(name), revision: 0 }],
        _ => Vec::new(),
    }
}
