//! Keeps evacuations that a restored table lacks in a row of the system's own.

use std::{collections::BTreeSet, rc::Rc, sync::Arc, time::Duration};

use coordination::table::{Op, Outcome, Row, Txn, Write};
use tokio::time::{Instant, sleep};

use crate::{
    config_copy::write_delay, dialect::Source, evacuation::Origin, freshness::SETTLING_TIME,
    node::Node,
};

/// Prefix of the keys of these rows; the era in which one was written follows. Their value is a JSON
/// list of zones.
const COPY_PREFIX: &str = "fleet/evacuated";

/// Maximum number of such rows that are read; those of earlier eras are removed.
const MAX_COPIES: u32 = 100;

/// Interval at which the task checks whether a read or a write is due.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// The same interval while the table wasn't restored lately.
const QUIET_INTERVAL: Duration = Duration::from_millis(250);

/// Delay after an attempt to write the row.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// Reads and writes the row forever, where evacuations may occur.
pub async fn run(node: Rc<Node>, source: Rc<impl Source>) {
    let mut read_at: Option<Instant> = None;
    let mut written_at: Option<Instant> = None;
    loop {
        let since_restore = node.track_restore(&*source).filter(|_| node.may_have_evacuations());
        let interval = node.evacuations.borrow().copy_read_interval(source.era(), since_restore);
        let is_past = |at: Option<Instant>, interval| at.is_none_or(|at| at.elapsed() >= interval);
        if zones_to_write(&node, &*source).is_some() && is_past(written_at, WRITE_INTERVAL) {
            sleep(write_delay(&node)).await;
            write(&node, &*source).await;
            (read_at, written_at) = (Some(Instant::now()), Some(Instant::now()));
        } else if let Some(interval) = interval
            && is_past(read_at, interval)
        {
            read(&node, &*source).await;
            read_at = Some(Instant::now());
        }
        node.check_evacuations(&*source);
        let is_recent = since_restore.is_some_and(|age| age < SETTLING_TIME);
        sleep(if is_recent { LOOK_INTERVAL } else { QUIET_INTERVAL }).await;
    }
}

fn zones_to_write(node: &Node, source: &impl Source) -> Option<BTreeSet<Arc<str>>> {
    let since_restore = node.track_restore(source);
    node.evacuations.borrow().copy_to_write(source.era(), since_restore)
}

fn copy_key(era: u64) -> Arc<str> {
    format!("{COPY_PREFIX}/{era}").into()
}

/// Reads the rows and takes over that of the current era; `None` if the platform doesn't answer.
///
/// A row of an earlier era came back with the table: what it holds may have ended since.
async fn read(node: &Node, source: &impl Source) -> Option<Vec<Row>> {
    let scan = Op::Scan { prefix: COPY_PREFIX.into(), after: "".into(), limit: MAX_COPIES };
    let Outcome::Rows(rows) = source.table(&scan).await else { return None };
    let era = source.era();
    let key = copy_key(era);
    let current = rows.iter().find(|row| row.key == key);
    let zones = current.and_then(parse).unwrap_or_default();
    let since_restore = node.track_restore(source);
    node.evacuations.borrow_mut().record_copy(node.now(), since_restore, era, zones);
    node.apply_evacuations(Origin::Copy);
    Some(rows)
}

/// Parses a row; one that can't be parsed is logged and left out.
fn parse(row: &Row) -> Option<BTreeSet<Arc<str>>> {
    let log = |fault: &serde_json::Error| {
        tracing::error!(event = "evacuations_copy_unreadable", key = %row.key, %fault);
    };
    serde_json::from_str(row.value.as_ref()?).inspect_err(log).ok()
}

/// Writes the zones that the table lacks, unless another host has, and removes rows of earlier eras.
async fn write(node: &Node, source: &impl Source) {
    let Some(rows) = read(node, source).await else { return };
    let Some(zones) = zones_to_write(node, source) else { return };
    let era = source.era();
    let key = copy_key(era);
    let missing = Row { key: key.clone(), value: None, revision: 0 };
    let mut txn = Txn::default();
    txn.put(rows.iter().find(|row| row.key == key).unwrap_or(&missing), &zones);
    let earlier = rows.iter().filter(|row| row.key != key);
    txn.writes.extend(earlier.map(|row| Write { key: row.key.clone(), value: None }));
    let outcome = source.table(&Op::Commit(txn)).await;
    let is_committed = matches!(outcome, Outcome::Committed(_)) && source.era() == era;
    tracing::info!(event = "evacuations_copy", ?zones, era, written = is_committed);
    if is_committed {
        let since_restore = node.track_restore(source);
        node.evacuations.borrow_mut().record_copy(node.now(), since_restore, era, zones);
    }
}
