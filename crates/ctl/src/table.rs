//! The platform's table, as the tool uses it.

use std::sync::Arc;

use coordination::table::{Op, Outcome, Row};
use eyre::{Result, bail};

const PAGE_ROWS: u32 = 1000;

/// A table: the platform's, or one in a test.
pub trait Table {
    /// Runs a request.
    fn run(&self, op: &Op) -> Outcome;
}

impl Table for platform::Client {
    fn run(&self, op: &Op) -> Outcome {
        Self::run(self, op)
    }
}

/// Returns one row for each key, in order.
///
/// # Errors
///
/// Returns an error where the platform can't be read.
pub fn read(table: &impl Table, keys: &[Arc<str>]) -> Result<Vec<Row>> {
    let mut rows = Vec::new();
    for keys in keys.chunks(PAGE_ROWS as usize) {
        rows.extend(expect_rows("read", table.run(&Op::Read(keys.to_vec())))?);
    }
    Ok(rows)
}

/// Returns the row of a key.
///
/// # Errors
///
/// Returns an error where the platform can't be read.
pub fn read_one(table: &impl Table, key: &str) -> Result<Row> {
    let rows = read(table, &[Arc::from(key)])?;
    match rows.into_iter().next() {
        Some(row) => Ok(row),
        None => bail!("step=read peer=platform: no row for {key}"),
    }
}

/// Returns all rows whose keys start with a prefix, by key.
///
/// # Errors
///
/// Returns an error where the platform can't be read.
pub fn scan(table: &impl Table, prefix: &str) -> Result<Vec<Row>> {
    let mut rows: Vec<Row> = Vec::new();
    let prefix: Arc<str> = Arc::from(prefix);
    loop {
        let after = rows.last().map_or_else(|| Arc::from(""), |row| row.key.clone());
        let op = Op::Scan { prefix: prefix.clone(), after, limit: PAGE_ROWS };
        let page = expect_rows("scan", table.run(&op))?;
        let last = page.len() < PAGE_ROWS as usize;
        rows.extend(page);
        if last {
            return Ok(rows);
        }
    }
}

fn expect_rows(step: &str, outcome: Outcome) -> Result<Vec<Row>> {
    match outcome {
        Outcome::Rows(rows) => Ok(rows),
        Outcome::Unavailable | Outcome::Unknown => {
            bail!("step={step} peer=platform: the platform can't be read; nothing was written")
        }
        other => bail!("step={step} peer=platform: unexpected answer {other:?}"),
    }
}
