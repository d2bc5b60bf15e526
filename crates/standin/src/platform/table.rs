//! Transactional table with a log of changes.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Bound,
    sync::Arc,
};

use coordination::table::{Revision, Row, Txn};
use serde::{Deserialize, Serialize};

/// Counts since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that read, scan or ask for changes.
    pub reads: u64,
    /// Rows written.
    pub writes: u64,
    /// Transactions committed.
    pub commits: u64,
    /// Transactions refused for a check.
    pub conflicts: u64,
}

/// Body of `POST /table/read`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Read {
    keys: Vec<Arc<str>>,
}

/// Body of `POST /table/scan`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Scan {
    prefix: Arc<str>,
    after: Arc<str>,
    limit: usize,
}

/// Body of `POST /table/changes`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Changes {
    prefix: Arc<str>,
    after: Revision,
    limit: usize,
}

/// Rows of an answer.
#[derive(Debug, Serialize)]
pub(super) struct Rows {
    rows: Vec<Row>,
}

/// Changed rows of an answer.
#[derive(Debug, Serialize)]
pub(super) struct Changed {
    rows: Vec<Row>,
    through: Revision,
}

/// Answer to a commit that took effect.
#[derive(Debug, Serialize)]
pub(super) struct Committed {
    committed: Revision,
}

/// Answer to a commit that was refused.
#[derive(Debug, Serialize)]
pub(super) struct Conflict {
    conflict: Vec<Row>,
}

#[derive(Debug)]
struct Cell {
    value: Option<Arc<str>>,
    revision: Revision,
}

/// Latest change of each row, by top-level prefix and revision.
type Log = BTreeMap<Arc<str>, BTreeSet<(Revision, Arc<str>)>>;

/// The table. Deleted rows stay as cells without a value, so that the log can name them.
#[derive(Debug, Default)]
pub(super) struct Table {
    cells: BTreeMap<Arc<str>, Cell>,
    log: Log,
    revision: Revision,
    counts: Counts,
}

/// Checks that the values of a transaction are JSON.
///
/// # Errors
///
/// Returns what is wrong with the first bad value.
pub(super) fn validate(txn: &Txn) -> Result<(), String> {
    for write in &txn.writes {
        let Some(value) = &write.value else { continue };
        serde_json::from_str::<serde::de::IgnoredAny>(value)
            .map_err(|error| format!("value of {}: {error}", write.key))?;
    }
    Ok(())
}

impl Table {
    pub(super) fn counts(&self) -> &Counts {
        &self.counts
    }

    pub(super) fn read(&mut self, ask: &Read) -> Rows {
        self.counts.reads += 1;
        Rows { rows: ask.keys.iter().map(|key| self.row(key)).collect() }
    }

    pub(super) fn scan(&mut self, ask: &Scan) -> Rows {
        self.counts.reads += 1;
        let start = if ask.after < ask.prefix {
            Bound::Included(&ask.prefix)
        } else {
            Bound::Excluded(&ask.after)
        };
        let rows = self
            .cells
            .range::<Arc<str>, _>((start, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(&*ask.prefix))
            .filter(|(_, cell)| cell.value.is_some())
            .take(ask.limit)
            .map(|(key, cell)| cell.row(key))
            .collect();
        Rows { rows }
    }

    /// Returns changed rows; a commit is never split over two answers.
    pub(super) fn changes(&mut self, ask: &Changes) -> Changed {
        self.counts.reads += 1;
        let mut rows: Vec<Row> = Vec::new();
        for (revision, key) in self.changed(&ask.prefix, ask.after) {
            let full = rows.len() >= ask.limit.max(1);
            let last = rows.last().map_or(0, |row| row.revision);
            if full && last != revision {
                return Changed { rows, through: last };
            }
            if let Some(cell) = self.cells.get(&key) {
                rows.push(cell.row(&key));
            }
        }
        Changed { rows, through: self.revision.max(ask.after) }
    }

    pub(super) fn commit(&mut self, txn: &Txn) -> Result<Committed, Conflict> {
        let holds = txn.checks.iter().all(|check| self.row(&check.key).revision == check.revision);
        if !holds {
            self.counts.conflicts += 1;
            let conflict = txn.checks.iter().map(|check| self.row(&check.key)).collect();
            return Err(Conflict { conflict });
        }
        self.revision += 1;
        self.counts.commits += 1;
        self.counts.writes += txn.writes.len() as u64;
        for write in &txn.writes {
            self.write(&write.key, write.value.clone());
        }
        Ok(Committed { committed: self.revision })
    }

    fn write(&mut self, key: &Arc<str>, value: Option<Arc<str>>) {
        let log = self.log.entry(Arc::from(top_level(key))).or_default();
        let cell = Cell { value, revision: self.revision };
        if let Some(old) = self.cells.insert(key.clone(), cell) {
            log.remove(&(old.revision, key.clone()));
        }
        log.insert((self.revision, key.clone()));
    }

    /// Returns a row as readers see it; a deleted row is absent.
    fn row(&self, key: &Arc<str>) -> Row {
        match self.cells.get(key) {
            Some(cell) if cell.value.is_some() => cell.row(key),
            _ => Row { key: key.clone(), value: None, revision: 0 },
        }
    }

    /// Returns the changes under a prefix by revision. With a prefix that holds a slash the cost
    /// is that of the changes under its first part.
    fn changed<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
    ) -> Box<dyn Iterator<Item = (Revision, Arc<str>)> + 'a> {
        let first = (after.saturating_add(1), Arc::from(""));
        if prefix.contains('/') {
            let log = self.log.get(top_level(prefix)).into_iter();
            let changes = log.flat_map(move |log| log.range(first.clone()..));
            return Box::new(changes.filter(move |(_, key)| key.starts_with(prefix)).cloned());
        }
        let mut merged: Vec<_> = self
            .log
            .values()
            .flat_map(|log| log.range(first.clone()..))
            .filter(|(_, key)| key.starts_with(prefix))
            .cloned()
            .collect();
        merged.sort_unstable();
        Box::new(merged.into_iter())
    }
}

impl Cell {
    fn row(&self, key: &Arc<str>) -> Row {
        Row { key: key.clone(), value: self.value.clone(), revision: self.revision }
    }
}

fn top_level(key: &str) -> &str {
    key.split_once('/').map_or(key, |(first, _)| first)
}
