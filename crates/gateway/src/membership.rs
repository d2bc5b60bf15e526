//! Counts the hosts that share budgets and bounds, by rows that each of them writes.

use std::{collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use coordination::table::{Check, Op, Outcome, Revision, Row, Txn, Write};
use tokio::time::sleep;

use crate::{
    dialect::Source,
    node::{Node, Phase},
    peer::PeerInfo,
};

/// Start of the keys of the hosts' rows.
const PREFIX: &str = "host/all/";

/// Row of the fleet's key.
const KEY: &str = "fleet/key";

/// Time between two writes of the own row.
const INTERVAL: Duration = Duration::from_secs(2);

/// Time between the first readings, while all hosts may be starting.
const FIRST: Duration = Duration::from_millis(700);

/// Readings after the start that follow each other closely.
const FIRST_READINGS: u32 = 4;

/// Age of a row's last change from which its host doesn't count; longer than hosts are mostly cut off
/// from the platform, during which others may still reach them.
const GONE: Duration = Duration::from_secs(14);

/// Most hosts that are read.
const MOST: u32 = 500;

/// Which hosts are alive, by the changes of their rows.
///
/// Only time in which the rows could be read counts: after an outage of the platform, hosts that
/// didn't write meanwhile aren't taken for gone.
#[derive(Debug, Default)]
pub struct LivenessTracker {
    observed: Duration,
    read: Option<Duration>,
    seen: HashMap<Arc<str>, (Revision, Duration)>,
}

impl LivenessTracker {
    /// Takes the rows as they were read, and returns those of hosts that are alive.
    pub fn update(&mut self, now: Duration, rows: Vec<Row>) -> Vec<Row> {
        let passed = now.saturating_sub(self.read.unwrap_or(now));
        self.observed += passed.min(2 * INTERVAL);
        self.read = Some(now);
        let observed = self.observed;
        for row in &rows {
            let known = self.seen.entry(row.key.clone()).or_insert((row.revision, observed));
            if known.0 != row.revision {
                *known = (row.revision, observed);
            }
        }
        self.seen.retain(|_, (_, at)| observed - *at < 10 * GONE);
        let changed = |row: &Row| self.seen.get(&row.key).map(|(_, at)| observed - *at);
        rows.into_iter().filter(|row| changed(row).is_some_and(|age| age < GONE)).collect()
    }
}

/// Follows the rows of all hosts until this host is asked to stop.
pub async fn run(node: Rc<Node>, source: Rc<impl Source>) {
    let mut census = LivenessTracker::default();
    let mut readings: u32 = 0;
    let mut keyed = false;
    while node.phase.get() == Phase::Serving {
        if !keyed && let Some(key) = key(&*source).await {
            node.peers.set_key(key);
            keyed = true;
        }
        let card = serde_json::to_string(node.peers.own()).expect("a card has a JSON form");
        let write = Write { key: own_key(&node), value: Some(card.into()) };
        source.table(&Op::Commit(Txn { checks: Vec::new(), writes: vec![write] })).await;
        let scan = Op::Scan { prefix: PREFIX.into(), after: "".into(), limit: MOST };
        if let Outcome::Rows(rows) = source.table(&scan).await {
            let alive = census.update(node.now(), rows);
            node.peers.replace(alive.iter().filter_map(card_of).collect());
            let alive = alive.len() as u64;
            if node.hosts() != alive {
                tracing::info!(event = "hosts", alive, former = node.hosts());
                node.set_hosts(alive);
            }
        }
        readings += 1;
        sleep(if readings < FIRST_READINGS { FIRST } else { INTERVAL }).await;
    }
}

/// Reads the fleet's key, or makes one where there is none.
async fn key(source: &impl Source) -> Option<Arc<str>> {
    let row = match source.table(&Op::Read(vec![KEY.into()])).await {
        Outcome::Rows(rows) => rows.into_iter().next()?,
        _ => return None,
    };
    if let Some(key) = row.value {
        return Some(key);
    }
    let fresh: Arc<str> = hex::encode(rand::random::<[u8; 16]>()).into();
    let check = Check { key: KEY.into(), revision: row.revision };
    let write = Write { key: KEY.into(), value: Some(fresh.clone()) };
    match source.table(&Op::Commit(Txn { checks: vec![check], writes: vec![write] })).await {
        Outcome::Committed(_) => Some(fresh),
        // Another host made one at the same time.
        Outcome::Conflict(rows) => rows.into_iter().next()?.value,
        _ => None,
    }
}

/// Removes the row of a host that stops.
pub async fn leave(node: &Node, source: &impl Source) {
    let write = Write { key: own_key(node), value: None };
    source.table(&Op::Commit(Txn { checks: Vec::new(), writes: vec![write] })).await;
}

fn own_key(node: &Node) -> Arc<str> {
    Arc::from(format!("{PREFIX}{}", node.settings.host))
}

/// Reads a host's card; one that can't be read names no host to ask.
fn card_of(row: &Row) -> Option<PeerInfo> {
    let text = row.value.as_ref()?;
    serde_json::from_str(text)
        .inspect_err(|error| tracing::warn!(event = "host_unreadable", key = %row.key, %error))
        .ok()
}
