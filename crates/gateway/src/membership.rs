//! Tracks the live hosts, which share budgets and limits, by rows that each of them writes.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use coordination::table::{Check, Op, Outcome, Revision, Row, Txn, Write};
use tokio::time::{Instant, sleep};

use crate::{
    dialect::Source,
    directory::Mode,
    lender::Site,
    node::{Node, Phase},
    peer::PeerInfo,
    subscription::wait_for_change,
};

/// Prefix of the keys of the hosts' rows; the zone and the name follow.
const HOST_ROW_PREFIX: &str = "host";

/// Key of the row that holds the secret shared by all hosts.
const FLEET_KEY_ROW: &str = "fleet/key";

/// Interval at which the rows of all hosts are read, and a host of a small fleet writes its row.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Interval at which a host writes its row while a publisher keeps the list of hosts.
const SUBSCRIBER_WRITE_INTERVAL: Duration = Duration::from_secs(4);

/// Interval at which a subscriber takes the hosts over from the directory.
const SUBSCRIBER_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a current directory after which a host reads the rows of all hosts itself.
const DIRECT_DELAY: Duration = Duration::from_secs(4);

/// Interval between the first reads, while all hosts may be starting.
const STARTUP_INTERVAL: Duration = Duration::from_millis(700);

/// Number of reads after the start that follow each other at the short interval.
const STARTUP_READS: u32 = 4;

/// Age of a row's last change from which its host counts as dead; longer than most outages of the
/// platform for one host, during which other hosts may still reach it.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(14);

/// Time since its last write for which a host is taken to be alive by all others for certain.
const LISTED_TIME: Duration = Duration::from_secs(10);

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
    ///
    /// At the first read, rows of hosts that aren't in `known` may be those of dead hosts and count
    /// only after their next change; without any known host, all count.
    pub fn update(
        &mut self,
        now: Duration,
        rows: Vec<Row>,
        known: &BTreeSet<Arc<str>>,
    ) -> Vec<Row> {
        let is_first = self.last_read_at.is_none();
        let elapsed = now.saturating_sub(self.last_read_at.unwrap_or(now));
        self.observed += elapsed.min(2 * POLL_INTERVAL);
        self.last_read_at = Some(now);
        if is_first && !known.is_empty() {
            self.observed += LIVENESS_TIMEOUT;
        }
        let observed = self.observed;
        for row in &rows {
            let is_doubtful = is_first && !known.is_empty() && !known.contains(&row.key);
            let seen_at = if is_doubtful { Duration::ZERO } else { observed };
            let last_change =
                self.last_changes.entry(row.key.clone()).or_insert((row.revision, seen_at));
            if last_change.0 != row.revision {
                *last_change = (row.revision, observed);
            }
        }
        self.last_changes.retain(|_, (_, at)| observed - *at < 10 * LIVENESS_TIMEOUT);
        let age = |row: &Row| self.last_changes.get(&row.key).map(|(_, at)| observed - *at);
        rows.into_iter().filter(|row| age(row).is_some_and(|age| age < LIVENESS_TIMEOUT)).collect()
    }
}

/// Rows of all hosts as this host has read them.
#[derive(Debug, Default)]
struct Registry {
    rows: BTreeMap<Arc<str>, Row>,
    /// Era and revision up to which they were read.
    position: Option<(u64, Revision)>,
}

impl Registry {
    /// Reads the changes since the last read, or all rows.
    async fn read(&mut self, source: &impl Source) -> Option<Vec<Row>> {
        let era = source.era();
        let after = self.position.take().filter(|(read_in, _)| *read_in == era).map(|at| at.1);
        let read = source.changes(HOST_ROW_PREFIX, after, Duration::ZERO).await;
        let changes = read.inspect_err(|error| tracing::info!(event = "hosts_unread", %error));
        let changes = changes.ok()??;
        if after.is_none() {
            self.rows.clear();
        } else if source.era() != era {
            return None;
        }
        for row in changes.rows {
            if row.value.is_some() {
                self.rows.insert(row.key.clone(), row);
            } else {
                self.rows.remove(&row.key);
            }
        }
        self.position = Some((source.era(), changes.through));
        Some(self.rows.values().cloned().collect())
    }
}

/// Writes this host's row and tracks those of all hosts until this host is asked to stop.
pub async fn run(node: Rc<Node>, source: Rc<impl Source>) {
    let mut tracker = LivenessTracker::default();
    let mut registry = Registry::default();
    let mut reads: u32 = 0;
    let mut key_read_in = None;
    let mut next_write = Instant::now();
    let mut subscribed_at = Instant::now();
    while node.phase.get() == Phase::Serving {
        // A restored table may hold another key than before.
        if key_read_in != Some(source.era())
            && let Some(key) = read_or_create_key(&*source).await
        {
            node.peers.set_key(key);
            key_read_in = Some(source.era());
        }
        let mode = node.mode(&*source);
        if Instant::now() >= next_write {
            let is_written = write_own_row(&node, &*source).await;
            let is_published = node.directory.borrow().is_published();
            next_write = Instant::now()
                + match (is_written, is_published) {
                    (false, _) => STARTUP_INTERVAL,
                    (true, true) => SUBSCRIBER_WRITE_INTERVAL,
                    (true, false) => POLL_INTERVAL,
                };
        }
        if mode == Mode::Subscribe {
            subscribed_at = Instant::now();
            registry.position = None;
            node.own_reads.borrow_mut().hosts = None;
            let hosts = node.directory.borrow().hosts();
            if !hosts.is_empty() {
                replace_hosts(&node, hosts);
            }
            wait_for_change(&node, SUBSCRIBER_INTERVAL).await;
            continue;
        }
        let is_published = node.directory.borrow().is_published();
        let is_read_due = mode == Mode::Publish
            || !is_published
            || !node.peers.is_known()
            || subscribed_at.elapsed() >= DIRECT_DELAY;
        if is_read_due && let Some(rows) = registry.read(&*source).await {
            let known = node.directory.borrow().hosts();
            let known = known.iter().map(|info| host_row_key(&info.site)).collect();
            let alive = tracker.update(node.now(), rows, &known);
            let alive: Vec<_> = alive.iter().filter_map(parse_peer_info).collect();
            node.own_reads.borrow_mut().hosts = Some(alive.clone());
            replace_hosts(&node, alive);
        }
        reads += 1;
        sleep(if reads < STARTUP_READS { STARTUP_INTERVAL } else { POLL_INTERVAL }).await;
    }
}

fn replace_hosts(node: &Node, alive: Vec<PeerInfo>) {
    let count = alive.len() as u64;
    let names = alive.iter().map(|info| &info.site.host);
    node.backends.borrow_mut().fleet_mut().set_hosts(node.now(), names);
    node.peers.replace(alive);
    if node.hosts() != count {
        tracing::info!(event = "hosts", alive = count, former = node.hosts());
        node.set_hosts(count);
    }
}

/// Writes this host's row; returns whether that is known to have succeeded.
async fn write_own_row(node: &Node, source: &impl Source) -> bool {
    let peer_info = serde_json::to_string(node.peers.own()).expect("peer info can be serialized");
    let key = host_row_key(&node.peers.own().site);
    let write = Write { key, value: Some(peer_info.into()) };
    let txn = Txn { checks: Vec::new(), writes: vec![write] };
    let started = node.now();
    let is_written = matches!(source.table(&Op::Commit(txn)).await, Outcome::Committed(_));
    let mut backends = node.backends.borrow_mut();
    if let Some(clock_ms) = source.clock_ms() {
        backends.fleet_mut().set_clock(node.now(), clock_ms);
    }
    if is_written {
        backends.fleet_mut().set_listed_until(node.now(), started + LISTED_TIME);
    }
    is_written
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
    node.backends.borrow_mut().fleet_mut().set_hosts(node.now(), []);
    let write = Write { key: host_row_key(&node.peers.own().site), value: None };
    source.table(&Op::Commit(Txn { checks: Vec::new(), writes: vec![write] })).await;
}

fn host_row_key(site: &Site) -> Arc<str> {
    Arc::from(format!("{HOST_ROW_PREFIX}/{}/{}", site.zone, site.host))
}

/// Parses a host's row; returns `None` and logs the error if it can't be read.
fn parse_peer_info(row: &Row) -> Option<PeerInfo> {
    let text = row.value.as_ref()?;
    serde_json::from_str(text)
        .inspect_err(|error| tracing::warn!(event = "host_unreadable", key = %row.key, %error))
        .ok()
}
