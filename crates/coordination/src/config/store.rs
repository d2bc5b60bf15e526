//! Stores the rows in force, newer invalid rows and deletions.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use super::Page;
use crate::table::{Revision, Row};

/// Size above which a page for a neighbour ends, in bytes. Changes of one revision are never split.
const MAX_PAGE_BYTES: usize = 256 * 1024;

/// Size of a row without its key and value, in bytes.
const ROW_OVERHEAD_BYTES: usize = 24;

/// Maximum number of deletions that are kept for neighbours.
const MAX_DELETIONS: usize = 65_536;

/// Result of [`Store::apply`].
#[derive(Debug, PartialEq, Eq)]
pub enum Applied {
    /// The row changes nothing: it is not newer than the stored one, or both are invalid.
    Old,
    /// The row came into force.
    Valid,
    /// The row can't come into force, with the reason.
    Invalid(String),
}

/// Stored state of one key.
#[derive(Debug, Default)]
struct Entry {
    /// Value in force.
    value: Option<Arc<str>>,
    /// Newer row that can't come into force.
    invalid: Option<Box<Row>>,
    /// Revision of the newest valid change, which may be a deletion.
    valid_revision: Revision,
}

impl Entry {
    fn newest(&self) -> Revision {
        self.invalid.as_ref().map_or(self.valid_revision, |invalid| invalid.revision)
    }

    /// Returns the row in force.
    fn valid(&self, key: &Arc<str>) -> Option<Row> {
        let value = self.value.clone()?;
        Some(Row { key: key.clone(), value: Some(value), revision: self.valid_revision })
    }
}

/// Rows by key, with every change up to a revision.
#[derive(Debug, Default)]
pub struct Store {
    entries: BTreeMap<Arc<str>, Entry>,
    /// Newest revisions of the keys that are not deleted.
    by_revision: BTreeSet<(Revision, Arc<str>)>,
    deletions: BTreeSet<(Revision, Arc<str>)>,
    /// Revision up to which deletions may be missing in `deletions`.
    pruned_until: Revision,
    /// Revision up to which every change is known.
    through: Revision,
    /// Revision up to which no deletion of a row in force is missing.
    deletions_applied_until: Revision,
    /// Revision of the newest change.
    newest: Revision,
}

impl Store {
    /// Returns the revision up to which every change is known.
    pub fn through(&self) -> Revision {
        self.through
    }

    /// Returns the revision of the newest change.
    pub fn newest(&self) -> Revision {
        self.newest
    }

    /// Returns the rows in force, sorted by key.
    pub fn rows(&self) -> impl Iterator<Item = Row> {
        self.entries.iter().filter_map(|(key, entry)| entry.valid(key))
    }

    /// Applies a row if it is newer than the stored one.
    pub fn apply(&mut self, row: &Row, validate: impl Fn(&Row) -> Result<(), String>) -> Applied {
        // Up to `through`, a key without an entry is known to be deleted.
        let absent = Entry { valid_revision: self.through, ..Entry::default() };
        let entry = self.entries.get(&row.key).unwrap_or(&absent);
        let is_newest = row.revision > entry.newest();
        // While the newest row is invalid, the newest valid row before it is in force.
        let is_fallback = entry.invalid.is_some() && row.revision > entry.valid_revision;
        if !is_newest && !is_fallback {
            return Applied::Old;
        }
        let validation = validate(row);
        if is_fallback && validation.is_err() {
            return Applied::Old;
        }
        self.put(row, validation.is_ok(), is_newest);
        match validation {
            Ok(()) => Applied::Valid,
            Err(reason) => Applied::Invalid(reason),
        }
    }

    fn put(&mut self, row: &Row, is_valid: bool, is_newest: bool) {
        let entry = self
            .entries
            .entry(row.key.clone())
            .or_insert_with(|| Entry { valid_revision: self.through, ..Entry::default() });
        self.by_revision.remove(&(entry.newest(), row.key.clone()));
        self.deletions.remove(&(entry.valid_revision, row.key.clone()));
        if is_newest {
            entry.invalid = (!is_valid).then(|| Box::new(row.clone()));
        }
        if is_valid {
            entry.valid_revision = row.revision;
            entry.value = row.value.clone();
        }
        let newest = entry.newest();
        if entry.value.is_none() && entry.invalid.is_none() {
            self.deletions.insert((newest, row.key.clone()));
        } else {
            self.by_revision.insert((newest, row.key.clone()));
        }
        self.newest = self.newest.max(row.revision);
        if self.deletions.len() > MAX_DELETIONS {
            self.prune_deletion();
        }
    }

    fn prune_deletion(&mut self) {
        let Some((revision, key)) = self.deletions.pop_first() else { return };
        self.pruned_until = self.pruned_until.max(revision);
        // Up to `through`, a key without an entry is known to be deleted.
        if revision <= self.through {
            self.entries.remove(&key);
        }
    }

    /// Records that every change up to a revision is known.
    pub fn advance(&mut self, through: Revision) {
        self.through = self.through.max(through);
        self.deletions_applied_until = self.deletions_applied_until.max(through);
    }

    /// Returns the revision up to which deletions may be missing in a page.
    pub fn pruned_until(&self) -> Revision {
        self.pruned_until
    }

    /// Records that deletions up to a revision may be missing in a page.
    pub fn raise_pruned_until(&mut self, revision: Revision) {
        self.pruned_until = self.pruned_until.max(revision);
    }

    /// Returns whether a page contains every deletion that may still be missing here.
    pub fn has_all_deletions(&self, page: &Page) -> bool {
        self.through == 0 || page.deletions_after <= self.deletions_applied_until
    }

    /// Records which deletions are missing in a page.
    pub fn record_pruned(&mut self, page: &Page) {
        self.raise_pruned_until(page.deletions_after);
        if self.through == 0 {
            self.deletions_applied_until = page.current;
        }
    }

    /// Returns the next page of changes after a revision, and the revision at which it ends.
    ///
    /// Returns `None` if there are no later changes.
    pub fn page(&self, after: Revision) -> Option<(Vec<Row>, Revision)> {
        if after >= self.through {
            return None;
        }
        let mut rows = Vec::new();
        let mut size = 0;
        let mut last = after;
        for (revision, key) in self.changes_after(after) {
            if size > MAX_PAGE_BYTES && revision != last {
                return Some((rows, last));
            }
            last = revision;
            if let Some(entry) = self.entries.get(&key) {
                let invalid = entry.invalid.as_deref().cloned();
                for row in entry.valid(&key).into_iter().chain(invalid) {
                    size += size_of_row(&row);
                    rows.push(row);
                }
            }
            if !self.by_revision.contains(&(revision, key.clone())) {
                size += ROW_OVERHEAD_BYTES + key.len();
                rows.push(Row { key, value: None, revision });
            }
        }
        Some((rows, self.through))
    }

    /// Returns the changes after a revision up to `through`, sorted by revision.
    fn changes_after(&self, after: Revision) -> impl Iterator<Item = (Revision, Arc<str>)> {
        let start = (after + 1, Arc::from(""));
        let through = self.through;
        let mut rows = self.by_revision.range(start.clone()..).peekable();
        let mut deletions = self.deletions.range(start..).peekable();
        let next = std::iter::from_fn(move || match (rows.peek(), deletions.peek()) {
            (Some(row), Some(deletion)) if row > deletion => deletions.next(),
            (None, Some(_)) => deletions.next(),
            _ => rows.next(),
        });
        next.take_while(move |(revision, _)| *revision <= through).cloned()
    }
}

/// Returns the size of a row in a page, in bytes.
fn size_of_row(row: &Row) -> usize {
    ROW_OVERHEAD_BYTES + row.key.len() + row.value.as_ref().map_or(0, |value| value.len())
}
