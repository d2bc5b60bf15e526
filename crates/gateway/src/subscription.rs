//! Follows the directory, the quarantine and the limits, and publishes the directory if this host is its
//! publisher.

use std::{rc::Rc, time::Duration};

use coordination::table::{Op, Outcome, Revision};
use tokio::time::{Instant, sleep, timeout};

use crate::{
    dialect::{Changes, Source},
    directory::{DIRECTORY_TABLE, Mode},
    evacuation::Origin,
    node::{Node, Phase},
};

/// Longest wait for a change while there is no publisher.
const UNPUBLISHED_WAIT: Duration = Duration::from_secs(5);

/// Minimum time between two reads that find no change, as a platform might not wait.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(100);

/// Delay after the directory could not be read.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Number of looks within the publisher's read interval at whether something is to be published.
const LOOKS_PER_READ: u32 = 2;

/// Follows the directory, the quarantine and the limits forever; they share a table, so that one
/// read returns changes of all.
pub async fn follow(node: Rc<Node>, source: Rc<impl Source>) {
    let mut position: Option<(u64, Revision)> = None;
    let mut is_reachable = true;
    loop {
        let era = source.era();
        let after = position.filter(|(read_in, _)| *read_in == era).map(|(_, through)| through);
        let wait = match (is_reachable, node.directory.borrow().is_published()) {
            (false, _) => Duration::ZERO,
            (true, false) => UNPUBLISHED_WAIT,
            (true, true) => node.directory.borrow().timing().beat_interval(),
        };
        let started = Instant::now();
        let read = source.changes(DIRECTORY_TABLE, after, wait).await;
        let is_subscriber = node.mode(&*source) == Mode::Subscribe;
        is_reachable = read.is_ok();
        if is_reachable {
            node.record_answer(&*source);
        }
        if is_subscriber {
            node.budgets.set_platform_reachable(is_reachable);
        }
        match read {
            // Revisions of an earlier era don't count in this one.
            Ok(Some(_)) if after.is_some() && source.era() != era => position = None,
            Ok(Some(changes)) => {
                position = Some((source.era(), changes.through));
                let whole_in = after.is_none().then(|| source.era());
                node.directory.borrow_mut().apply(&changes, whole_in);
                apply_evacuations(&node, &*source);
                apply_to_quarantine(&node, source.clock_ms(), &changes, after.is_none());
                apply_to_limits(&node, source.clock_ms(), &changes, after.is_none());
                node.set_shared_rows_read();
                if !changes.rows.is_empty() || after.is_none() {
                    node.directory_changed.notify_waiters();
                } else if started.elapsed() < MIN_READ_INTERVAL {
                    sleep(MIN_READ_INTERVAL).await;
                }
            }
            Ok(None) => position = None,
            Err(error) => {
                tracing::debug!(event = "directory_unread", %error);
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Takes over the evacuations that the publisher has read in the current era.
fn apply_evacuations(node: &Node, source: &impl Source) {
    let directory = node.directory.borrow();
    let listing = directory.evacuated().filter(|own| own.era == source.era()).cloned();
    if let (Some(listing), Some(age)) = (listing, directory.config_age(node.moment(source))) {
        let now = node.now();
        let read_at = now.saturating_sub(age);
        let published = listing.zones.clone();
        node.evacuations.borrow_mut().record_published(read_at, listing);
        node.apply_evacuations(Origin::Directory);
        let mut backends = node.backends.borrow_mut();
        if let Some(clock_ms) = source.clock_ms() {
            backends.fleet_mut().set_clock(now, clock_ms);
        }
        for (zone, ended_ms) in directory.ended() {
            backends.record_ended_evacuation(now, zone, ended_ms);
        }
        for zone in published.difference(&node.evacuations.borrow().zones()) {
            backends.record_former_evacuation(now, zone);
        }
    }
}

fn apply_to_quarantine(node: &Node, clock_ms: Option<u64>, changes: &Changes, whole: bool) {
    let mut quarantine = node.quarantine.borrow_mut();
    quarantine.set_clock(node.now(), clock_ms);
    quarantine.apply(node.now(), changes, whole);
    node.quarantine_changed.notify_waiters();
}

fn apply_to_limits(node: &Node, clock_ms: Option<u64>, changes: &Changes, whole: bool) {
    node.limits.borrow_mut().apply(changes, whole);
    let mut backends = node.backends.borrow_mut();
    if let Some(clock_ms) = clock_ms {
        backends.fleet_mut().set_clock(node.now(), clock_ms);
    }
    backends.apply_limits(node.now(), &node.limits.borrow());
}

/// Publishes the directory while this host is its publisher, and tries to become the publisher when
/// it is this host's turn.
pub async fn publish(node: Rc<Node>, source: Rc<impl Source>) {
    let interval = node.directory.borrow().timing().read_interval() / LOOKS_PER_READ;
    // A former run may have failed within a transaction.
    node.directory.borrow_mut().finish(&Outcome::Unknown);
    while node.phase.get() == Phase::Serving {
        let moment = node.moment(&*source);
        let is_candidate = node.directory.borrow().mode(moment) != Mode::Subscribe;
        let planned = is_candidate
            .then(|| node.own_view())
            .and_then(|own| node.directory.borrow_mut().plan(moment, &own));
        if let Some(txn) = planned {
            let outcome = source.table(&Op::Commit(txn)).await;
            node.directory.borrow_mut().finish(&outcome);
            let is_committed = matches!(outcome, Outcome::Committed(_));
            if is_committed && node.directory.borrow().has_unpublished() {
                continue;
            }
        }
        sleep(interval).await;
    }
    let resignation = node.directory.borrow_mut().resign();
    if let Some(txn) = resignation {
        let outcome = source.table(&Op::Commit(txn)).await;
        node.directory.borrow_mut().finish(&outcome);
    }
}

/// Waits until the directory has changed, or at most for a time.
pub async fn wait_for_change(node: &Node, max_wait: Duration) {
    let _ = timeout(max_wait, node.directory_changed.notified()).await;
}
