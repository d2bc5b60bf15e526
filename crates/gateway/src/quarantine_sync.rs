//! Shares the quarantine of prompt parts among the hosts.

use std::{rc::Rc, time::Duration};

use coordination::table::{Op, Outcome};
use rand::RngExt as _;
use tokio::time::{sleep, timeout};

use crate::{dialect::Source, node::Node};

/// Longest time between two looks at whether there is something to share.
const SHARE_INTERVAL: Duration = Duration::from_millis(500);

/// Delay for each host before what several hosts know at the same time is shared, so that few of
/// them write it.
const DELAY_PER_HOST: Duration = Duration::from_millis(1);

/// Longest such delay.
const MAX_DELAY: Duration = Duration::from_millis(200);

/// Delay after a transaction that failed.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Shares what this host knows, forever.
pub async fn run(node: Rc<Node>, source: Rc<impl Source>) {
    // A former run may have failed within a transaction.
    node.quarantine.borrow_mut().finish(node.now(), &Outcome::Unknown);
    loop {
        if !node.quarantine.borrow().has_news() {
            let _ = timeout(SHARE_INTERVAL, node.quarantine_changed.notified()).await;
        }
        if !node.quarantine.borrow().has_news() {
            sleep(random_delay(&node)).await;
        }
        discard_disproved_ends(&node);
        let planned = node.quarantine.borrow_mut().plan(node.now());
        let Some(txn) = planned else { continue };
        let writes = txn.writes.len();
        let outcome = source.table(&Op::Commit(txn)).await;
        node.quarantine.borrow_mut().finish(node.now(), &outcome);
        let failure = match outcome {
            Outcome::Committed(_) => continue,
            Outcome::Conflict(_) => "conflict",
            _ => "unreachable",
        };
        tracing::info!(event = "quarantine_unshared", writes, failure);
        sleep(RETRY_DELAY + random_delay(&node)).await;
    }
}

/// Discards the ends of backend servers that this host has heard since.
fn discard_disproved_ends(node: &Node) {
    let known = node.quarantine.borrow().known_ends(node.now());
    let backends = node.backends.borrow();
    for end in known {
        if backends.is_heard_since(&end.backend, end.started_unix_ms, end.disproved_from) {
            node.quarantine.borrow_mut().discard_end(&end.instance);
        }
    }
}

/// Returns a random delay that is longer the more hosts there are.
pub fn random_delay(node: &Node) -> Duration {
    let hosts = u32::try_from(node.hosts()).unwrap_or(u32::MAX);
    let max_delay = DELAY_PER_HOST.saturating_mul(hosts).min(MAX_DELAY);
    rand::rng().random_range(Duration::ZERO..=max_delay)
}
