//! Rows in force and what is known of newer ones.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use super::Page;
use crate::table::{Revision, Row};

/// Greatest size of one page for a neighbour, in bytes.
const MAX_PAGE_BYTES: usize = 256 * 1024;

/// Bytes of a row beside its key and value.
const ROW_BYTES: usize = 24;

/// Deletions that are remembered for neighbours.
const MAX_DELETIONS: usize = 65_536;

/// What came of a row.
#[derive(Debug, PartialEq, Eq)]
pub enum Taken {
    /// It is not newer than what stands.
    Old,
    /// It came into force.
    Valid,
    /// It can't come into force.
    Invalid(String),
}

/// State of one key.
#[derive(Debug, Default)]
struct Cell {
    /// Value in force.
    value: Option<Arc<str>>,
    /// Newer row that can't come into force.
    invalid: Option<Box<Row>>,
    /// Greatest revision that is in force, for a deletion too.
    floor: Revision,
}

impl Cell {
    fn newest(&self) -> Revision {
        self.invalid.as_ref().map_or(self.floor, |invalid| invalid.revision)
    }

    /// Returns the row in force.
    fn valid(&self, key: &Arc<str>) -> Option<Row> {
        let value = self.value.clone()?;
        Some(Row { key: key.clone(), value: Some(value), revision: self.floor })
    }
}

/// Rows by key, complete up to a revision.
#[derive(Debug, Default)]
pub struct Store {
    cells: BTreeMap<Arc<str>, Cell>,
    /// Newest revisions of the keys that stand.
    order: BTreeSet<(Revision, Arc<str>)>,
    deletions: BTreeSet<(Revision, Arc<str>)>,
    /// Deletions up to this revision may be missing in `deletions`.
    forgotten: Revision,
    through: Revision,
    /// No row in force was deleted up to this revision.
    covered: Revision,
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

    /// Returns the rows in force, by key.
    pub fn rows(&self) -> impl Iterator<Item = Row> {
        self.cells.iter().filter_map(|(key, cell)| cell.valid(key))
    }

    /// Takes a row if it is newer than what stands.
    pub fn take(&mut self, row: &Row, validate: impl Fn(&Row) -> Result<(), String>) -> Taken {
        // An absent key is known to be deleted up to `through`.
        let unknown = Cell { floor: self.through, ..Cell::default() };
        let cell = self.cells.get(&row.key).unwrap_or(&unknown);
        let is_newest = row.revision > cell.newest();
        // Where the newest row is invalid, the newest valid one before it still counts.
        let fills = cell.invalid.is_some() && row.revision > cell.floor;
        if !is_newest && !fills {
            return Taken::Old;
        }
        let verdict = validate(row);
        if fills && verdict.is_err() {
            return Taken::Old;
        }
        self.put(row, verdict.is_ok(), is_newest);
        match verdict {
            Ok(()) => Taken::Valid,
            Err(reason) => Taken::Invalid(reason),
        }
    }

    fn put(&mut self, row: &Row, is_valid: bool, is_newest: bool) {
        let cell = self
            .cells
            .entry(row.key.clone())
            .or_insert_with(|| Cell { floor: self.through, ..Cell::default() });
        self.order.remove(&(cell.newest(), row.key.clone()));
        self.deletions.remove(&(cell.floor, row.key.clone()));
        if is_newest {
            cell.invalid = (!is_valid).then(|| Box::new(row.clone()));
        }
        if is_valid {
            cell.floor = row.revision;
            cell.value = row.value.clone();
        }
        let newest = cell.newest();
        if cell.value.is_none() && cell.invalid.is_none() {
            self.deletions.insert((newest, row.key.clone()));
        } else {
            self.order.insert((newest, row.key.clone()));
        }
        self.newest = self.newest.max(row.revision);
        if self.deletions.len() > MAX_DELETIONS {
            self.forget_deletion();
        }
    }

    fn forget_deletion(&mut self) {
        let Some((revision, key)) = self.deletions.pop_first() else { return };
        self.forgotten = self.forgotten.max(revision);
        // Up to `through` an absent key is known to be deleted.
        if revision <= self.through {
            self.cells.remove(&key);
        }
    }

    /// Notes that every change up to a revision is known.
    pub fn complete(&mut self, through: Revision) {
        self.through = self.through.max(through);
        self.covered = self.covered.max(through);
    }

    /// Returns the revision up to which deletions may be missing in a page.
    pub fn forgotten(&self) -> Revision {
        self.forgotten
    }

    /// Notes that deletions up to a revision may be missing in a page.
    pub fn forget_until(&mut self, revision: Revision) {
        self.forgotten = self.forgotten.max(revision);
    }

    /// Returns whether a page holds every deletion that matters here.
    pub fn is_covered(&self, page: &Page) -> bool {
        self.through == 0 || page.deletions_after <= self.covered
    }

    /// Notes which deletions a page leaves out.
    pub fn cover(&mut self, page: &Page) {
        self.forget_until(page.deletions_after);
        if self.through == 0 {
            self.covered = page.current;
        }
    }

    /// Returns the next page of changes after a revision, and where it ends.
    ///
    /// Returns `None` where nothing is newer.
    pub fn page(&self, after: Revision) -> Option<(Vec<Row>, Revision)> {
        if after >= self.through {
            return None;
        }
        let mut rows = Vec::new();
        let mut size = 0;
        let mut last = after;
        for (revision, key) in self.after(after) {
            if size > MAX_PAGE_BYTES && revision != last {
                return Some((rows, last));
            }
            last = revision;
            if let Some(cell) = self.cells.get(&key) {
                let newer = cell.invalid.as_deref().cloned();
                for row in cell.valid(&key).into_iter().chain(newer) {
                    size += bytes(&row);
                    rows.push(row);
                }
            }
            if !self.order.contains(&(revision, key.clone())) {
                size += ROW_BYTES + key.len();
                rows.push(Row { key, value: None, revision });
            }
        }
        Some((rows, self.through))
    }

    /// Returns the changes after a revision, up to where every change is known.
    fn after(&self, after: Revision) -> impl Iterator<Item = (Revision, Arc<str>)> {
        let start = (after + 1, Arc::from(""));
        let through = self.through;
        let mut order = self.order.range(start.clone()..).peekable();
        let mut deletions = self.deletions.range(start..).peekable();
        let next = std::iter::from_fn(move || match (order.peek(), deletions.peek()) {
            (Some(row), Some(deletion)) if row > deletion => deletions.next(),
            (None, Some(_)) => deletions.next(),
            _ => order.next(),
        });
        next.take_while(move |(revision, _)| *revision <= through).cloned()
    }
}

fn bytes(row: &Row) -> usize {
    ROW_BYTES + row.key.len() + row.value.as_ref().map_or(0, |value| value.len())
}
