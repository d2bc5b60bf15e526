//! Keeps the configuration and the list of backend servers up to date.

use std::{cell::Cell, rc::Rc, time::Duration};

use tokio::time::{Instant, sleep};

use crate::{
    dialect::{Source, Unavailable},
    node::Node,
};

/// Time between two readings until everything was read once, and while the platform is away.
const RETRY: Duration = Duration::from_millis(150);

/// Time without a reading after which entries may have lapsed at the platform.
const OUTAGE: Duration = Duration::from_millis(1500);

/// Whether the platform could be read lately, for the log.
#[derive(Debug)]
struct Reach {
    what: &'static str,
    reached: Cell<bool>,
}

impl Reach {
    fn note<T>(&self, result: Result<T, Unavailable>) -> Option<T> {
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

/// Follows the configuration for ever.
pub async fn catalog(node: Rc<Node>, source: Rc<impl Source>) {
    let reach = Reach { what: "configuration", reached: Cell::new(true) };
    loop {
        let known = node.catalog().map(|catalog| catalog.version());
        let read = reach.note(source.catalog(known).await);
        node.budgets.set_platform_reachable(read.is_some());
        let pause =
            if read.is_some() && known.is_some() { node.settings.poll_interval } else { RETRY };
        if let Some(newest) = read {
            if let Some(catalog) = newest {
                let version = catalog.version();
                if node.set_catalog(catalog) {
                    tracing::info!(event = "configuration", version, former = known);
                }
            }
            node.confirm_catalog();
        }
        sleep(pause).await;
    }
}

/// Follows the list of backend servers for ever.
pub async fn backends(node: Rc<Node>, source: Rc<impl Source>) {
    let reach = Reach { what: "backend servers", reached: Cell::new(true) };
    let mut read_at: Option<Instant> = None;
    let mut keep_until: Option<Instant> = None;
    loop {
        let read = reach.note(source.backends().await);
        let pause = if read.is_some() { node.settings.poll_interval } else { RETRY };
        if let Some(list) = read {
            let now = Instant::now();
            if read_at.is_some_and(|at| now - at > OUTAGE) {
                keep_until = Some(now + node.settings.relist_grace);
            }
            read_at = Some(now);
            let keep = keep_until.is_some_and(|until| now < until);
            let listed = list.len();
            let changed = node.backends.borrow_mut().replace(list, keep);
            for id in changed {
                let entry = node.backends.borrow_mut().get_mut(&id).map(|own| own.entry.clone());
                if entry.as_ref().is_none_or(|entry| entry.draining) {
                    node.pool.forget(&id);
                }
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
        sleep(pause).await;
    }
}
