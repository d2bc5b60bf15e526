//! Checks records and settings without a fleet.

use std::{collections::BTreeSet, path::PathBuf};

use coordination::record::{self, Kind, Record};
use daemon::settings::Settings;
use eyre::Result;
use serde_json::{Value, json};

use crate::{
    file::{self, Source},
    output::Report,
    settings::Usage,
};

/// Checks files of records and settings of daemons.
///
/// # Errors
///
/// Returns an error where no file is named, or a file of records can't be read.
pub fn check(records: &[PathBuf], settings: &[PathBuf]) -> Result<Report> {
    if records.is_empty() && settings.is_empty() {
        return Err(Usage("expected -f with records, or --settings".to_owned()).into());
    }
    let mut faults: Vec<String> = Vec::new();
    let mut notes = Vec::new();
    let sources = if records.is_empty() { Vec::new() } else { file::read(records)? };
    let mut parsed = Vec::new();
    for source in &sources {
        match record::parse(&source.key, &source.json) {
            Ok(record) => parsed.push(record),
            Err(fault) => faults.push(format!("{}: {fault}", source.place)),
        }
    }
    let known: BTreeSet<&str> = sources.iter().map(|source: &Source| source.key.as_str()).collect();
    for record in &parsed {
        notes.extend(dangling(record, &known));
    }
    for path in settings {
        if let Err(fault) = Settings::load(path) {
            faults.push(fault.to_string());
        }
    }
    Ok(report(sources.len(), settings.len(), &faults, &notes))
}

fn report(records: usize, settings: usize, faults: &[String], notes: &[String]) -> Report {
    let mut text = String::new();
    for fault in faults {
        text.push_str(&format!("{fault}\n"));
    }
    for note in notes {
        text.push_str(&format!("note: {note}\n"));
    }
    let (faulty, noted) = (faults.len(), notes.len());
    text.push_str(&format!(
        "{records} records, {settings} settings: {faulty} faults, {noted} notes\n"
    ));
    let json: Value = json!({ "faults": faults, "notes": notes });
    Report { text, json, done: faults.is_empty() }
}

/// Returns a note for each record that is referred to and not among those checked.
fn dangling(record: &Record, known: &BTreeSet<&str>) -> Vec<String> {
    let references: Vec<String> = match record {
        Record::Workspace(workspace) => {
            workspace.budgets.iter().map(|name| record::key(Kind::Budget, name)).collect()
        }
        Record::Budget(budget) => vec![record::key(Kind::Workspace, &budget.workspace)],
        Record::Route(route) => {
            route.backends.iter().map(|name| record::key(Kind::Backend, name)).collect()
        }
        Record::Backend(_) | Record::Operator(_) => Vec::new(),
    };
    let missing = references.into_iter().filter(|key| !known.contains(key.as_str()));
    missing.map(|key| format!("{} refers to {key}, which is not here", record.key())).collect()
}
