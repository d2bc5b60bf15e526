//! What the rows of the quarantine say, for operators.

use std::{collections::BTreeMap, fmt, sync::Arc};

use coordination::table::Row;
use serde::Serialize;

use super::row::{EndRow, PartRow, is_end_key, is_part_key, parse};

/// A suspect or quarantined part, and the ends of backend servers that speak against it.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Entry {
    /// What the hosts share of the part.
    pub part: PartRow,
    /// Ends of backend servers, as each host observed them.
    pub ends: Vec<End>,
}

/// The end of a backend server, as one host observed it.
#[derive(Debug, Clone, Serialize)]
pub struct End {
    /// Id of the backend server.
    pub backend: Arc<str>,
    /// Name of the host.
    pub host: Arc<str>,
    /// The platform's clock in milliseconds.
    pub at_ms: u64,
}

/// All suspect and quarantined parts, by name.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// Parts by name.
    pub parts: BTreeMap<Arc<str>, Entry>,
    /// Keys of rows that can't be read.
    pub unreadable: Vec<Arc<str>>,
}

impl Report {
    /// Builds the report from all rows of the quarantine.
    pub fn new<'a>(rows: impl IntoIterator<Item = &'a Row>) -> Self {
        let mut report = Self::default();
        for row in rows {
            let Some(text) = &row.value else { continue };
            if !report.add(row, text) {
                report.unreadable.push(row.key.clone());
            }
        }
        report
    }

    /// Adds a row; returns false if it can't be read.
    fn add(&mut self, row: &Row, text: &str) -> bool {
        if is_end_key(&row.key) {
            let Some(end) = parse::<EndRow>(row, text) else { return false };
            for (part, _) in end.parts {
                let (backend, host, at_ms) = (end.backend.clone(), end.host.clone(), end.at_ms);
                let entry = self.parts.entry(part.clone()).or_default();
                entry.part.name = part;
                entry.ends.push(End { backend, host, at_ms });
            }
            return true;
        }
        let Some(part) = is_part_key(&row.key).then(|| parse::<PartRow>(row, text)).flatten()
        else {
            return false;
        };
        let entry = self.parts.entry(part.name.clone()).or_default();
        entry.part = part;
        true
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, entry) in &self.parts {
            let part = &entry.part;
            let state = match (part.quarantined_ms, part.released_ms) {
                (1.., _) => "quarantined",
                (0, 1..) => "released",
                (0, 0) => "suspect",
            };
            writeln!(
                f,
                "part={name} state={state} ended={} sound={} trials={} quarantined_ms={} \
                 refused_ms={}",
                part.ended, part.sound, part.trials, part.quarantined_ms, part.refused_ms,
            )?;
            for end in &entry.ends {
                writeln!(f, "  backend={} host={} at_ms={}", end.backend, end.host, end.at_ms)?;
            }
        }
        for key in &self.unreadable {
            writeln!(f, "unreadable={key}")?;
        }
        Ok(())
    }
}
