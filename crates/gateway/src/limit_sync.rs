//! Shares the limits of backend servers among the hosts.

use std::{rc::Rc, time::Duration};

use coordination::table::{Op, Outcome, Txn};
use tokio::time::{sleep, timeout};

use crate::{dialect::Source, node::Node, quarantine_sync::random_delay};

/// Longest time between two looks at whether there is something to share.
const SHARE_INTERVAL: Duration = Duration::from_millis(500);

/// Delay after a transaction that failed.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Shares what this host knows, forever.
pub async fn run(node: Rc<Node>, source: Rc<impl Source>) {
    // A former run may have failed within a transaction.
    node.limits.borrow_mut().finish(&Outcome::Unknown);
    loop {
        let _ = timeout(SHARE_INTERVAL, node.limit_changed.notified()).await;
        // Several hosts learn of a change at the same time; few of them write it.
        sleep(random_delay(&node)).await;
        let Some(txn) = plan(&node) else { continue };
        let writes = txn.writes.len();
        let outcome = source.table(&Op::Commit(txn)).await;
        node.limits.borrow_mut().finish(&outcome);
        node.backends.borrow_mut().apply_limits(node.now(), &node.limits.borrow());
        let failure = match outcome {
            Outcome::Committed(_) => None,
            Outcome::Conflict(_) => Some("conflict"),
            _ => Some("unreachable"),
        };
        tracing::info!(event = "limits_shared", writes, failure);
        if failure.is_some() {
            sleep(RETRY_DELAY + random_delay(&node)).await;
        }
    }
}

fn plan(node: &Node) -> Option<Txn> {
    let mut backends = node.backends.borrow_mut();
    let now_ms = backends.fleet_mut().platform_ms(node.now())?;
    let limited = backends.limited().map(|backend| (&backend.entry, &backend.limit));
    node.limits.borrow_mut().plan(now_ms, limited)
}
