//! Polls the platform for the configuration and the list of backend servers.

use std::{cell::Cell, rc::Rc, time::Duration};

use tokio::time::{Instant, sleep};

use crate::{
    dialect::{Source, Unavailable},
    node::Node,
};

/// Interval between two reads until both have been read once, and while the platform is
/// unreachable.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// Time without a successful read after which entries may have expired at the platform.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(1500);

/// Logs when the platform can no longer be read, and when it can be read again.
#[derive(Debug)]
struct Reachability {
    what: &'static str,
    reached: Cell<bool>,
}

impl Reachability {
    fn record<T>(&self, result: Result<T, Unavailable>) -> Option<T> {
        let reached = self.reached.replace(result.is_ok());
        match result {
            Ok(value) => {
                if !reached {
                    tracing::info!(event = "platform_regained", what = self.what);
                }
                Some(value)
            }
            Err(error) => {
                if reached {
                    tracing::warn!(event = "platform_lost", what = self.what, %error);
                }
                None
            }
        }
    }
}

/// Polls the configuration forever.
pub async fn catalog(node: Rc<Node>, source: Rc<impl Source>) {
    let reachability = Reachability { what: "configuration", reached: Cell::new(true) };
    loop {
        let current_version = node.catalog().map(|catalog| catalog.version());
        let read = reachability.record(source.catalog(current_version).await);
        node.budgets.set_platform_reachable(read.is_some());
        let interval = if read.is_some() && current_version.is_some() {
            node.settings.poll_interval
        } else {
            RETRY_INTERVAL
        };
        if let Some(update) = read {
            if let Some(catalog) = update {
                let version = catalog.version();
                if node.set_catalog(catalog) {
                    tracing::info!(event = "configuration", version, former = current_version);
                }
            }
            node.confirm_catalog();
        }
        sleep(interval).await;
    }
}

/// Polls the list of backend servers forever.
pub async fn backends(node: Rc<Node>, source: Rc<impl Source>) {
    let reachability = Reachability { what: "backend servers", reached: Cell::new(true) };
    let mut last_read_at: Option<Instant> = None;
    let mut keep_until: Option<Instant> = None;
    loop {
        let read = reachability.record(source.backends().await);
        let interval = if read.is_some() { node.settings.poll_interval } else { RETRY_INTERVAL };
        if let Some(entries) = read {
            let now = Instant::now();
            if last_read_at.is_some_and(|at| now - at > OUTAGE_THRESHOLD) {
                keep_until = Some(now + node.settings.relist_grace);
            }
            last_read_at = Some(now);
            let keep = keep_until.is_some_and(|until| now < until);
            let listed = entries.len();
            let changed = node.backends.borrow_mut().replace(node.now(), entries, keep);
            for id in changed {
                let entry =
                    node.backends.borrow_mut().get_mut(&id).map(|backend| backend.entry.clone());
                // Idle connections may lead to an instance that is gone or leaving.
                node.pool.forget(&id);
                tracing::info!(
                    event = "backend",
                    id = %id,
                    service = entry.as_ref().map(|entry| &*entry.service),
                    leaving = entry.as_ref().map(|entry| entry.draining),
                    listed,
                    keep,
                );
            }
            node.pool.sweep();
        }
        sleep(interval).await;
    }
}
