//! Decides what a host writes about limits into the rows that all hosts follow.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use coordination::table::{Outcome, Row, Txn, Write};

use super::{
    Limit, Origin, Statement,
    row::{LimitRow, is_limit_key, limit_key},
};
use crate::{backend::Entry, dialect::Changes};

/// Smallest relative change of a rate that is written.
const MIN_CHANGE: f64 = 0.1;

/// Shortest time in milliseconds between two changes of a rate that are written.
const MIN_CHANGE_INTERVAL_MS: u64 = 2000;

/// Further such time for each row, as every host reads every change.
const CHANGE_INTERVAL_PER_ROW_MS: u64 = 50;

/// Age in milliseconds from which a row is removed that holds for no process any more.
const STALE_AGE_MS: u64 = 60_000;

/// Maximum number of rows that are kept.
const MAX_ROWS: usize = 16_384;

/// Maximum number of rows that one transaction writes.
const MAX_WRITES: usize = 32;

/// Rows of limits as a host has read them, and what it writes.
#[derive(Debug)]
pub struct Sharing {
    host: Arc<str>,
    rows: BTreeMap<Arc<str>, (Row, LimitRow)>,
    is_pending: bool,
}

impl Sharing {
    /// Creates the state of a host that has read no row.
    pub fn new(host: Arc<str>) -> Self {
        Self { host, rows: BTreeMap::new(), is_pending: false }
    }

    /// Applies rows that were read; `whole` tells that these are all rows.
    pub fn apply(&mut self, changes: &Changes, whole: bool) {
        if whole {
            self.rows.clear();
        }
        for row in changes.rows.iter().filter(|row| is_limit_key(&row.key)) {
            match LimitRow::parse(row) {
                Some(_) if self.rows.len() >= MAX_ROWS && !self.rows.contains_key(&row.key) => {
                    tracing::warn!(event = "limit_row_left_out", key = %row.key);
                }
                Some(parsed) => {
                    self.rows.insert(row.key.clone(), (row.clone(), parsed));
                }
                None => {
                    self.rows.remove(&row.key);
                }
            }
        }
    }

    /// Returns what the rows state of a process of a backend server, and the host that wrote it.
    pub fn statement(&self, entry: &Entry) -> Option<(Statement, Arc<str>)> {
        let (_, row) = self.rows.get(&limit_key(&entry.id))?;
        let is_instance = row.backend == entry.id && row.started_unix_ms == entry.started_unix_ms;
        let statement = Statement { per_s: row.per_s, at_ms: row.at_ms };
        is_instance.then(|| (statement, row.host.clone()))
    }

    /// Returns whether there is no row.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the transaction that shares this host's own statements about listed backend servers,
    /// and those of others that a restored table lacks, if one is due; otherwise one that removes rows which hold no longer, if there are any.
    pub fn plan<'a>(
        &mut self,
        now_ms: u64,
        limits: impl Iterator<Item = (&'a Entry, &'a Limit)>,
    ) -> Option<Txn> {
        if self.is_pending {
            return None;
        }
        let min_interval_ms =
            MIN_CHANGE_INTERVAL_MS.max(CHANGE_INTERVAL_PER_ROW_MS * self.rows.len() as u64);
        let mut txn = Txn::default();
        let mut used = BTreeSet::new();
        for (entry, limit) in limits {
            let key = limit_key(&entry.id);
            let stored = self.rows.get(&key);
            used.insert(key.clone());
            let Some((statement, origin)) = limit.newest() else { continue };
            // The host that had shared it may have ended before the table was restored.
            let is_lost = origin == Origin::Shared && stored.is_none();
            if txn.writes.len() < MAX_WRITES
                && (origin == Origin::Own || is_lost)
                && is_due(entry, statement, stored, now_ms.saturating_sub(min_interval_ms))
            {
                let missing = Row { key, value: None, revision: 0 };
                txn.put(stored.map_or(&missing, |(row, _)| row), &self.new_row(entry, statement));
            }
        }
        if txn.writes.is_empty() {
            let is_stale = |row: &LimitRow| now_ms.saturating_sub(row.at_ms) > STALE_AGE_MS;
            let stale = self.rows.iter().filter(|(key, (_, limit))| {
                is_stale(limit) && (limit.per_s.is_none() || !used.contains(*key))
            });
            for (row, _) in stale.map(|(_, stored)| stored).take(MAX_WRITES) {
                txn.check(row);
                txn.writes.push(Write { key: row.key.clone(), value: None });
            }
        }
        self.is_pending = !txn.writes.is_empty();
        self.is_pending.then_some(txn)
    }

    fn new_row(&self, entry: &Entry, statement: Statement) -> LimitRow {
        LimitRow {
            backend: entry.id.clone(),
            started_unix_ms: entry.started_unix_ms,
            per_s: statement.per_s,
            at_ms: statement.at_ms,
            host: self.host.clone(),
        }
    }

    /// Applies the outcome of the transaction that was planned last.
    pub fn finish(&mut self, outcome: &Outcome) {
        self.is_pending = false;
        if let Outcome::Conflict(rows) = outcome {
            self.apply(&Changes { rows: rows.clone(), through: 0 }, false);
        }
    }
}

/// Returns whether a statement that is newer than all others is to be written; a mere change
/// of a rate only if the stored one isn't newer than `changed_before_ms`.
fn is_due(
    entry: &Entry,
    statement: Statement,
    stored: Option<&(Row, LimitRow)>,
    changed_before_ms: u64,
) -> bool {
    let row = stored.map(|(_, row)| row);
    let is_instance =
        |row: &&LimitRow| row.backend == entry.id && row.started_unix_ms == entry.started_unix_ms;
    let Some(row) = row.filter(is_instance) else { return statement.per_s.is_some() };
    match (row.per_s, statement.per_s) {
        (None, None) => false,
        (Some(former), Some(per_s)) => {
            (per_s - former).abs() > former * MIN_CHANGE && row.at_ms <= changed_before_ms
        }
        (None, Some(_)) | (Some(_), None) => true,
    }
}
