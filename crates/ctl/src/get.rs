//! Shows records.

use coordination::{
    record::{self, Kind, Record},
    table::Row,
};
use eyre::{Result, bail};
use serde_json::{Value, json};

use crate::{
    output::{Report, columns},
    settings::Usage,
    table::{self, Table},
};

/// Shows all records, those of a kind, or one record whole.
///
/// # Errors
///
/// Returns an error where the words are no kind and name, the platform can't be read, or the
/// record is absent.
pub fn get(table: &impl Table, words: &[String]) -> Result<Report> {
    match words {
        [] => list(table, record::KEY_PREFIX),
        [kind] => list(table, &format!("{}{}/", record::KEY_PREFIX, parse(kind)?.as_str())),
        [kind, name] => get_one(table, parse(kind)?, name),
        _ => Err(Usage("expected at most a kind and a name".to_owned()).into()),
    }
}

fn parse(kind: &str) -> Result<Kind> {
    Ok(kind.parse().map_err(|err| Usage(format!("{kind}: {err}")))?)
}

fn get_one(table: &impl Table, kind: Kind, name: &str) -> Result<Report> {
    let key = record::key(kind, name);
    let row = table::read_one(table, &key)?;
    let Some(json) = &row.value else {
        bail!("{key}: absent");
    };
    let text = match serde_json::from_str::<Value>(json) {
        Ok(document) => format!("{document:#}\n"),
        Err(_) => format!("{json}\n"),
    };
    Ok(Report { text, json: describe(&row), done: true })
}

fn list(table: &impl Table, prefix: &str) -> Result<Report> {
    let rows = table::scan(table, prefix)?;
    let lines: Vec<Vec<String>> = rows.iter().map(line).collect();
    Ok(Report {
        text: columns(&["record", "version", "revision", "changed by", "summary"], &lines),
        json: rows.iter().map(describe).collect(),
        done: true,
    })
}

fn describe(row: &Row) -> Value {
    let value = row.value.as_deref().unwrap_or("null");
    let document: Value = serde_json::from_str(value).unwrap_or_else(|_| Value::from(value));
    let fault = record::parse(&row.key, value).err();
    json!({
        "key": row.key,
        "revision": row.revision,
        "record": document,
        "fault": fault.map(|fault| fault.to_string()),
    })
}

fn line(row: &Row) -> Vec<String> {
    let value = row.value.as_deref().unwrap_or("null");
    let document: Value = serde_json::from_str(value).unwrap_or(Value::Null);
    let version = document.get("version").map_or("?".to_owned(), Value::to_string);
    let by = document.pointer("/changed_by/operator").and_then(Value::as_str).unwrap_or("-");
    let summary = match record::parse(&row.key, value) {
        Ok(record) => summarise(&record),
        Err(fault) => format!("INVALID {}: {}", fault.field, fault.reason),
    };
    let name = row.key.strip_prefix(record::KEY_PREFIX).unwrap_or(&row.key);
    vec![name.to_owned(), version, row.revision.to_string(), by.to_owned(), summary]
}

fn summarise(record: &Record) -> String {
    match record {
        Record::Workspace(workspace) => {
            let tokens = workspace.token_hashes.len();
            format!("tokens={tokens} budgets={}", workspace.budgets.join(","))
        }
        Record::Budget(budget) => format!(
            "workspace={} prepaid={} top_ups={}",
            budget.workspace,
            budget.prepaid(),
            budget.top_ups.len()
        ),
        Record::Backend(backend) => {
            let leaving = if backend.leaving { " leaving" } else { "" };
            let (zone, slots) = (&backend.zone, backend.slots);
            format!("{} zone={zone} slots={slots}{leaving}", backend.address)
        }
        Record::Route(route) => {
            let model = route.model.as_ref().map_or("none", |model| &model.name);
            let count = route.backends.len();
            format!("backends={count} model={model} idempotent={}", route.idempotent)
        }
        Record::Operator(operator) => format!("tokens={}", operator.token_hashes.len()),
    }
}
