//! Tracks the live hosts, which share budgets and limits, by rows that each of them writes.

use std::{collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use coordination::table::{Check, Op, Outcome, Revision, Row, Txn, Write};
use tokio::time::sleep;

use crate::{
    dialect::Source,
    node::{Node, Phase},
    peer::PeerInfo,
};

/// Prefix of the keys of the hosts' rows.
const HOST_ROW_PREFIX: &str = "host/all/";

/// Key of the row that holds the secret shared by all hosts.
const FLEET_KEY_ROW: &str = "fleet/key";

/// Interval at which a host writes its row and reads those of all hosts.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between the first reads, while all hosts may be starting.
const STARTUP_INTERVAL: Duration = Duration::from_millis(700);

/// Number of reads after the start that follow each other at the short interval.
const STARTUP_READS: u32 = 4;

/// Age of a row's last change from which its host counts as dead; longer than most outages of the
/// platform for one host, during which other hosts may still reach it.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(14);

/// Maximum number of hosts that are read.
const MAX_HOSTS: u32 = 500;

/// Tells which hosts are alive by the changes of their rows.
///
/// Only time in which the rows could be read counts: after an outage of the platform, hosts that
/// couldn't write meanwhile aren't taken for dead.
#[derive(Debug, Default)]
pub struct LivenessTracker {
    observed: Duration,
    last_read_at: Option<Duration>,
    last_changes: HashMap<Arc<str>, (Revision, Duration)>,
}

impl LivenessTracker {
    /// Records the rows that were read and returns those of hosts that are alive.
    pub fn update(&mut self, now: Duration, rows: Vec<Row>) -> Vec<Row> {
        let elapsed = now.saturating_sub(self.last_read_at.unwrap_or(now));
        self.observed += elapsed.min(2 * POLL_INTERVAL);
        self.last_read_at = Some(now);
        let observed = self.observed;
        for row in &rows {
            let last_change =
                self.last_changes.entry(row.key.clone()).or_insert((row.revision, observed));
            if last_change.0 != row.revision {
                *last_change = (row.revision, observed);
            }
        }
        self.last_changes.retain(|_, (_, at)| observed - *at < 10 * LIVENESS_TIMEOUT);
        let age = |row: &Row| self.last_changes.get(&row.key).map(|(_, at)| observed - *at);
        rows.into_iter().filter(|row| age(row).is_some_and(|age| age < LIVENESS_TIMEOUT)).collect()
    }
}

/// Writes this host's row and tracks those of all hosts until this host is asked to stop.
pub async fn run(node: Rc<Node>, source: Rc<impl Source>) {
    let mut tracker = LivenessTracker::default();
    let mut reads: u32 = 0;
    let mut has_key = false;
    while node.phase.get() == Phase::Serving {
        if !has_key && let Some(key) = read_or_create_key(&*source).await {
            node.peers.set_key(key);
            has_key = true;
        }
        let peer_info =
            serde_json::to_string(node.peers.own()).expect("peer info can be serialized");
        let write = Write { key: own_row_key(&node), value: Some(peer_info.into()) };
        source.table(&Op::Commit(Txn { checks: Vec::new(), writes: vec![write] })).await;
        let scan = Op::Scan { prefix: HOST_ROW_PREFIX.into(), after: "".into(), limit: MAX_HOSTS };
        if let Outcome::Rows(rows) = source.table(&scan).await {
            let alive = tracker.update(node.now(), rows);
            node.peers.replace(alive.iter().filter_map(parse_peer_info).collect());
            let alive = alive.len() as u64;
            if node.hosts() != alive {
                tracing::info!(event = "hosts", alive, former = node.hosts());
                node.set_hosts(alive);
            }
        }
        reads += 1;
        sleep(if reads < STARTUP_READS { STARTUP_INTERVAL } else { POLL_INTERVAL }).await;
    }
}

/// Reads the secret shared by all hosts, or creates it if there is none.
async fn read_or_create_key(source: &impl Source) -> Option<Arc<str>> {
    let row = match source.table(&Op::Read(vec![FLEET_KEY_ROW.into()])).await {
        Outcome::Rows(rows) => rows.into_iter().next()?,
        _ => return None,
    };
    if let Some(key) = row.value {
        return Some(key);
    }
    let new_key: Arc<str> = hex::encode(rand::random::<[u8; 16]>()).into();
    let check = Check { key: FLEET_KEY_ROW.into(), revision: row.revision };
    let write = Write { key: FLEET_KEY_ROW.into(), value: Some(new_key.clone()) };
    match source.table(&Op::Commit(Txn { checks: vec![check], writes: vec![write] })).await {
        Outcome::Committed(_) => Some(new_key),
        // Another host created it at the same time.
        Outcome::Conflict(rows) => rows.into_iter().next()?.value,
        _ => None,
    }
}

/// Removes this host's row when it stops.
pub async fn leave(node: &Node, source: &impl Source) {
    let write = Write { key: own_row_key(node), value: None };
    source.table(&Op::Commit(Txn { checks: Vec::new(), writes: vec![write] })).await;
}

fn own_row_key(node: &Node) -> Arc<str> {
    Arc::from(format!("{HOST_ROW_PREFIX}{}", node.settings.host))
}

/// Parses a host's row; returns `None` and logs the error if it can't be read.
fn parse_peer_info(row: &Row) -> Option<PeerInfo> {
    let text = row.value.as_ref()?;
    serde_json::from_str(text)
        .inspect_err(|error| tracing::warn!(event = "host_unreadable", key = %row.key, %error))
        .ok()
}
