//! Keeps a copy of the configuration in the system's own rows while the operator's row is older.

use std::{rc::Rc, sync::Arc, time::Duration};

use coordination::{
    locate::hash,
    table::{Op, Outcome, Row, Txn, Write},
};
use tokio::time::{Instant, sleep};

use crate::{
    catalog::Catalog,
    dialect::Source,
    node::{Node, Origin},
};

/// Prefix of the keys of the rows with the copy; the era in which it was written follows. Their value
/// is the operator's document.
const COPY_PREFIX: &str = "fleet/config";

/// Maximum number of such rows that are read; those of earlier eras are removed.
const MAX_COPIES: u32 = 100;

/// Interval at which the task checks whether a read or a write is due.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// The same interval while the copy has been read and the table holds the newest configuration.
const QUIET_INTERVAL: Duration = Duration::from_millis(250);

/// Delay after an attempt to write the copy.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// Time for each host of the fleet over which the hosts' attempts to write the copy are spread.
const WRITE_SPREAD: Duration = Duration::from_millis(10);

/// Longest time over which they are spread.
const MAX_WRITE_SPREAD: Duration = Duration::from_secs(3);

/// Reads and writes the copy forever.
pub async fn run(node: Rc<Node>, source: Rc<impl Source>) {
    let mut read_at: Option<Instant> = None;
    let mut written_at: Option<Instant> = None;
    loop {
        let versions = node.versions(&*source);
        let interval = versions.read_interval();
        if versions.is_write_due() && written_at.is_none_or(|at| at.elapsed() >= WRITE_INTERVAL) {
            sleep(write_delay(&node)).await;
            write(&node, &*source).await;
            (read_at, written_at) = (Some(Instant::now()), Some(Instant::now()));
        } else if let Some(interval) = interval
            && read_at.is_none_or(|at| at.elapsed() >= interval)
        {
            read(&node, &*source).await;
            read_at = Some(Instant::now());
        }
        let is_quiet = versions.copy.is_some() && interval.is_none() && !versions.is_write_due();
        sleep(if is_quiet { QUIET_INTERVAL } else { LOOK_INTERVAL }).await;
    }
}

/// Returns for how long this host leaves the write to others.
pub(crate) fn write_delay(node: &Node) -> Duration {
    let hosts = u32::try_from(node.hosts()).unwrap_or(u32::MAX);
    let spread = WRITE_SPREAD.saturating_mul(hosts).min(MAX_WRITE_SPREAD);
    Duration::from_millis(hash(node.settings.host.as_bytes()) % spread.as_millis() as u64)
}

fn copy_key(era: u64) -> Arc<str> {
    format!("{COPY_PREFIX}/{era}").into()
}

/// Reads the copy and puts it in force if it is newer than the operator's row; `None` if the platform
/// doesn't answer.
///
/// A copy of an earlier era came back with the table and may be outdated, so that a process without
/// a configuration waits for that of the current era first.
async fn read(node: &Node, source: &impl Source) -> Option<Vec<Row>> {
    let sent_at = Instant::now();
    let scan = Op::Scan { prefix: COPY_PREFIX.into(), after: "".into(), limit: MAX_COPIES };
    let Outcome::Rows(rows) = source.table(&scan).await else { return None };
    let era = source.era();
    let key = copy_key(era);
    let copies = rows.iter().filter_map(|row| Some((row.key == key, parse(node, row)?)));
    let copies: Vec<_> = copies.collect();
    let current = copies.iter().find(|(is_current, _)| *is_current);
    let version = current.map_or(0, |(_, catalog)| catalog.version());
    node.own_reads.borrow_mut().copy_version = Some((era, version));
    let versions = node.versions(source);
    let is_held = versions.is_held(Duration::ZERO);
    for (is_current, catalog) in copies {
        // The operator's row of this era counts even if it bears the same version.
        let is_newer = versions.operator.is_some_and(|own| own < catalog.version());
        if is_newer && (is_current || !is_held) {
            node.put_in_force(catalog, Origin::Copy, era, sent_at.elapsed());
        }
    }
    Some(rows)
}

/// Parses a copy; one that can't be parsed is logged and left out.
fn parse(node: &Node, row: &Row) -> Option<Catalog> {
    let document = row.value.as_ref()?;
    let parsed = node.dialect.parse_catalog(document.as_bytes());
    let log = |fault: &String| {
        tracing::error!(event = "configuration_copy_unreadable", key = %row.key, %fault);
    };
    parsed.inspect_err(log).ok()
}

/// Writes the configuration in force, unless another host has, and removes copies of earlier eras.
async fn write(node: &Node, source: &impl Source) {
    let Some(rows) = read(node, source).await else { return };
    let versions = node.versions(source);
    let Some(catalog) = node.catalog().filter(|_| versions.is_write_due()) else { return };
    let Ok(document) = str::from_utf8(catalog.document()) else {
        tracing::error!(event = "configuration_copy_unwritable", version = catalog.version());
        return;
    };
    let era = source.era();
    let key = copy_key(era);
    let missing = Row { key: key.clone(), value: None, revision: 0 };
    let mut txn = Txn::default();
    txn.check(rows.iter().find(|row| row.key == key).unwrap_or(&missing));
    let earlier = rows.iter().filter(|row| row.key != key);
    txn.writes.extend(earlier.map(|row| Write { key: row.key.clone(), value: None }));
    txn.writes.push(Write { key, value: Some(document.into()) });
    let outcome = source.table(&Op::Commit(txn)).await;
    let is_committed = matches!(outcome, Outcome::Committed(_)) && source.era() == era;
    if is_committed {
        node.own_reads.borrow_mut().copy_version = Some((era, catalog.version()));
    }
    tracing::info!(
        event = "configuration_copy",
        version = catalog.version(),
        operator = versions.operator,
        former = versions.copy,
        era,
        written = is_committed,
    );
}
