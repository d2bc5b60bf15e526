//! What the rows of limits say, for operators.

use std::{fmt, sync::Arc};

use coordination::table::Row;
use serde::Serialize;

use super::row::LimitRow;

/// Limits as all hosts share them.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// The platform's clock in milliseconds.
    pub now_ms: u64,
    /// Newest statement about each backend server; one without a rate names no limit any more.
    pub limits: Vec<LimitRow>,
    /// Keys of rows that can't be read.
    pub unreadable: Vec<Arc<str>>,
}

impl Report {
    /// Builds the report from all rows of limits.
    pub fn new<'a>(now_ms: u64, rows: impl IntoIterator<Item = &'a Row>) -> Self {
        let mut report = Self { now_ms, ..Self::default() };
        for row in rows.into_iter().filter(|row| row.value.is_some()) {
            match LimitRow::parse(row) {
                Some(limit) => report.limits.push(limit),
                None => report.unreadable.push(row.key.clone()),
            }
        }
        report.limits.sort_by(|one, other| one.backend.cmp(&other.backend));
        report
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for limit in &self.limits {
            let rate = limit.per_s.map_or("none".to_owned(), |per_s| per_s.to_string());
            let age_ms = self.now_ms.saturating_sub(limit.at_ms);
            writeln!(
                f,
                "backend={} per_s={rate} started_unix_ms={} age_ms={age_ms} host={}",
                limit.backend, limit.started_unix_ms, limit.host,
            )?;
        }
        for key in &self.unreadable {
            writeln!(f, "unreadable={key}")?;
        }
        Ok(())
    }
}
