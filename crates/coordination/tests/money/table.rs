//! In-memory table with injected faults.

use std::{collections::BTreeMap, sync::Arc};

use coordination::table::{Op, Outcome, Row, Txn};

/// Fault of an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The operation is refused and not carried out.
    Refused,
    /// The operation is carried out and its answer is lost.
    AnswerLost,
    /// The operation never arrives.
    RequestLost,
    /// The answer is lost, and a commit is carried out only by [`Table::deliver_delayed`].
    Delayed,
}

/// Rows with the revisions of their last commits.
#[derive(Debug, Default)]
pub struct Table {
    rows: BTreeMap<Arc<str>, Row>,
    /// Revision and key of each row's last change.
    change_log: BTreeMap<(u64, Arc<str>), ()>,
    revision: u64,
    /// Commits that met [`Fault::Delayed`] and were not carried out yet.
    delayed: Vec<Txn>,
    pub commits: u64,
    pub conflicts: u64,
    pub reads: u64,
}

impl Table {
    /// Returns a row; its value is `None` and its revision 0 if it was never written.
    pub fn row(&self, key: &str) -> Row {
        let absent = || Row { key: Arc::from(key), value: None, revision: 0 };
        self.rows.get(key).cloned().unwrap_or_else(absent)
    }

    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// Writes a row unconditionally.
    pub fn put(&mut self, key: &str, value: impl Into<Arc<str>>) {
        let write = coordination::table::Write { key: Arc::from(key), value: Some(value.into()) };
        self.commit(&Txn { checks: Vec::new(), writes: vec![write] });
    }

    /// Runs an operation with an optional fault.
    pub fn run(&mut self, op: &Op, fault: Option<Fault>) -> Outcome {
        match (fault, op) {
            (None, op) => self.perform(op),
            (Some(Fault::Refused), _) => Outcome::Unavailable,
            (Some(Fault::AnswerLost), op) => {
                self.perform(op);
                Outcome::Unknown
            }
            (Some(Fault::Delayed), Op::Commit(txn)) => {
                self.delayed.push(txn.clone());
                Outcome::Unknown
            }
            (Some(Fault::RequestLost | Fault::Delayed), _) => Outcome::Unknown,
        }
    }

    /// Carries out all delayed commits.
    pub fn deliver_delayed(&mut self) {
        for txn in std::mem::take(&mut self.delayed) {
            self.commit(&txn);
        }
    }

    fn perform(&mut self, op: &Op) -> Outcome {
        match op {
            Op::Read(keys) => {
                self.reads += 1;
                Outcome::Rows(keys.iter().map(|key| self.row(key)).collect())
            }
            Op::Scan { prefix, after, limit } => {
                self.reads += 1;
                let rows = self.rows.values().filter(|row| {
                    row.key.starts_with(&**prefix) && row.key > *after && row.value.is_some()
                });
                Outcome::Rows(rows.take(*limit as usize).cloned().collect())
            }
            Op::Changes { prefix, after, limit } => self.changes(prefix, *after, *limit as usize),
            Op::Commit(txn) => self.commit(txn),
        }
    }

    fn changes(&mut self, prefix: &str, after: u64, limit: usize) -> Outcome {
        self.reads += 1;
        let first = (after + 1, Arc::from(""));
        let keys = self.change_log.range(first..).filter(|((_, key), ())| key.starts_with(prefix));
        let rows: Vec<Row> = keys.take(limit + 1).map(|((_, key), ())| self.row(key)).collect();
        let mut through = self.revision;
        let mut rows = rows;
        if rows.len() > limit {
            let first_omitted = rows[limit].revision;
            rows.truncate(limit);
            if rows.last().is_some_and(|row| row.revision == first_omitted) {
                rows.retain(|row| row.revision < first_omitted);
            }
            through = rows.last().map_or(after, |row| row.revision);
        }
        Outcome::Changes { rows, through }
    }

    /// Carries out a transaction, unless a row that it checks has another revision.
    pub fn commit(&mut self, txn: &Txn) -> Outcome {
        let stale =
            |check: &&coordination::table::Check| self.row(&check.key).revision != check.revision;
        if txn.checks.iter().any(|check| stale(&check)) {
            self.conflicts += 1;
            return Outcome::Conflict(
                txn.checks.iter().map(|check| self.row(&check.key)).collect(),
            );
        }
        self.commits += 1;
        self.revision += 1;
        for write in &txn.writes {
            let (key, revision) = (write.key.clone(), self.revision);
            if let Some(old) = self.rows.get(&key) {
                self.change_log.remove(&(old.revision, key.clone()));
            }
            self.change_log.insert((revision, key.clone()), ());
            self.rows.insert(key.clone(), Row { key, value: write.value.clone(), revision });
        }
        Outcome::Committed(self.revision)
    }
}
