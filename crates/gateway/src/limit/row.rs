//! Rows by which hosts share limits.

use std::sync::Arc;

use coordination::{locate::hash, table::Row};
use serde::{Deserialize, Serialize};

/// Prefix of the rows of limits.
pub const LIMIT_PREFIX: &str = "directory/limit";

/// Newest statement about the limit of a backend server.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LimitRow {
    /// Id of the backend server.
    pub backend: Arc<str>,
    /// Unix time of its start in milliseconds.
    pub started_unix_ms: u64,
    /// Requests per second that it takes from all hosts together; `None` once it names no limit.
    pub per_s: Option<f64>,
    /// The platform's clock in milliseconds from which this counts.
    pub at_ms: u64,
    /// Name of the host that got the response.
    pub host: Arc<str>,
}

impl LimitRow {
    /// Parses a row; one that can't be read or names no rate is logged and ignored.
    pub fn parse(row: &Row) -> Option<Self> {
        let text = row.value.as_ref()?;
        let parsed: Result<Self, _> = serde_json::from_str(text);
        let is_rate = |per_s: f64| per_s.is_finite() && per_s >= 0.0;
        match parsed {
            Ok(parsed) if parsed.per_s.is_none_or(is_rate) => Some(parsed),
            Ok(_) => {
                tracing::warn!(event = "limit_row_unreadable", key = %row.key, error = "no rate");
                None
            }
            Err(error) => {
                tracing::warn!(event = "limit_row_unreadable", key = %row.key, %error);
                None
            }
        }
    }
}

/// Returns the key of the row for a backend server.
pub fn limit_key(backend: &str) -> Arc<str> {
    Arc::from(format!("{LIMIT_PREFIX}/{:016x}", hash(backend.as_bytes())))
}

/// Returns whether a row holds a limit.
pub fn is_limit_key(key: &str) -> bool {
    key.strip_prefix(LIMIT_PREFIX).is_some_and(|key| key.starts_with('/'))
}
