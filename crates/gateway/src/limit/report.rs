//! What the rows of limits and the entries of cold backend servers say, for operators.

use std::{fmt, sync::Arc};

use coordination::table::Row;
use serde::Serialize;

use super::row::LimitRow;
use crate::{backend::Entry, catalog::Catalog};

/// A backend server that is cold.
#[derive(Debug, Serialize)]
pub struct ColdBackend {
    /// Id of the backend server.
    pub backend: Arc<str>,
    /// Service that it provides.
    pub service: Arc<str>,
    /// Requests per second that it takes by its service's configuration, if that states it.
    pub per_s: Option<f64>,
    /// Time in milliseconds for which it stays cold, at most.
    pub left_ms: u64,
}

/// Limits as all hosts share them.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// The platform's clock in milliseconds.
    pub now_ms: u64,
    /// Newest statement about each backend server; one without a rate names no limit any more.
    pub limits: Vec<LimitRow>,
    /// Backend servers that are cold by their entries.
    pub cold: Vec<ColdBackend>,
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

    /// Adds the backend servers that are cold.
    #[must_use]
    pub fn with_cold(mut self, entries: &[Entry], catalog: Option<&Catalog>) -> Self {
        let per_s = |service: &str| {
            let cold_start = catalog?.service(service)?.cold_start?;
            Some(cold_start.per_s)
        };
        let is_cold = |entry: &&Entry| self.now_ms < entry.cold_until_ms;
        let cold = entries.iter().filter(is_cold).map(|entry| ColdBackend {
            backend: entry.id.clone(),
            service: entry.service.clone(),
            per_s: per_s(&entry.service),
            left_ms: entry.cold_until_ms - self.now_ms,
        });
        self.cold = cold.collect();
        self
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
        for cold in &self.cold {
            let rate = cold.per_s.map_or("none".to_owned(), |per_s| per_s.to_string());
            writeln!(
                f,
                "cold={} service={} per_s={rate} left_ms={}",
                cold.backend, cold.service, cold.left_ms,
            )?;
        }
        for key in &self.unreadable {
            writeln!(f, "unreadable={key}")?;
        }
        Ok(())
    }
}
