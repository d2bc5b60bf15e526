//! Polls the platform for the configuration and the list of backend servers.

use std::{cell::Cell, pin::pin, rc::Rc, time::Duration};

use tokio::time::{Instant, sleep};

use crate::{
    backend::Entry,
    dialect::{Read, Source, Unavailable, Update},
    directory::Mode,
    evacuation::{self, Listing},
    node::{Node, Origin},
    subscription::wait_for_change,
};

/// Interval between two reads until both have been read once, and while the platform is
/// unreachable.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// Number of reads within the time until a change is in force, as some of them may fail.
const POLLS_PER_APPLY_TIME: u32 = 4;

/// Interval at which a subscriber checks whether it still is one.
const SUBSCRIBER_INTERVAL: Duration = Duration::from_millis(200);

/// Longest time for which a subscriber waits for a change of the configuration.
const CHANGE_WAIT: Duration = Duration::from_secs(5);

/// Minimum time from one read of the configuration to the next.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which it is looked for whether the platform's table has been restored.
const ERA_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which a process that waits for the copy of the configuration looks for it.
const HOLD_INTERVAL: Duration = Duration::from_millis(20);

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
        let mode = node.mode(&*source);
        let (read_ms, started) = (source.clock_ms(), node.now());
        let follows = follows_changes(&node, &*source);
        let read = if follows {
            let read = source.catalog(current_version, CHANGE_WAIT);
            let Some(read) = unless_outdated(&node, &*source, read).await else { continue };
            read
        } else {
            source.catalog(current_version, Duration::ZERO).await
        };
        let read = reachability.record(read);
        if read.is_none() {
            node.record_evacuations_unread(started);
        }
        // A wait may be lost while other calls are answered.
        if read.is_some() || !follows {
            node.budgets.set_platform_reachable(read.is_some());
        }
        let Some(Read { value: update, sent_at }) = read else {
            sleep_within_era(&*source, RETRY_INTERVAL).await;
            continue;
        };
        apply_update(&node, &*source, update, sent_at).await;
        node.own_reads.borrow_mut().catalog_ms = read_ms.unwrap_or_default();
        let interval = if current_version.is_none() {
            RETRY_INTERVAL
        } else if follows_changes(&node, &*source) {
            // A platform might not wait.
            MIN_READ_INTERVAL
        } else {
            poll_interval(&node, mode).max(MIN_READ_INTERVAL)
        };
        // Counts from the begin of the read, as a long configuration takes long to be received.
        let interval = interval.saturating_sub(node.now() - started);
        sleep_within_era(&*source, interval).await;
    }
}

/// Puts in force what a read of the configuration found that was sent at a time.
async fn apply_update(node: &Node, source: &impl Source, update: Update, sent_at: Instant) {
    let era = source.era();
    record_operator_version(node, era, &update);
    // Before what was read counts as the newest.
    let since_restore = node.track_restore(source);
    record_evacuations(node, sent_at, since_restore, update.evacuated);
    node.check_evacuations(source);
    if let Some(catalog) = update.changed {
        wait_for_copy(node, source).await;
        node.put_in_force(*catalog, Origin::Operator, era, sent_at.elapsed());
    }
    if !update.is_unreadable {
        node.confirm_catalog(sent_at.elapsed());
    }
    node.own_reads.borrow_mut().catalog_unreadable = update.is_unreadable;
}

/// Returns whether this host need not read the configuration at an interval, as the publisher shows
/// that it is the newest, and waits for the next one itself. The publisher may receive a long one
/// late, or be lost in between.
fn follows_changes(node: &Node, source: &impl Source) -> bool {
    // What the publisher of a restored table knows may be older than what this host knows.
    let is_read = node.own_reads.borrow().catalog_era == Some(source.era());
    node.mode(source) == Mode::Subscribe && is_read && is_catalog_published(node, source)
}

/// Awaits a read that waits for a change; `None` if the host has to read at once and nothing of the
/// response has arrived.
async fn unless_outdated<T>(
    node: &Node,
    source: &impl Source,
    read: impl Future<Output = T>,
) -> Option<T> {
    let mut read = pin!(read);
    loop {
        tokio::select! {
            biased;
            read = &mut read => return Some(read),
            () = wait_for_change(node, SUBSCRIBER_INTERVAL) => {}
        }
        if !follows_changes(node, source) && !source.is_catalog_arriving() {
            return None;
        }
    }
}

/// Records the version of the operator's configuration that a read found, if it has changed.
fn record_operator_version(node: &Node, era: u64, update: &Update) {
    let mut own_reads = node.own_reads.borrow_mut();
    own_reads.catalog_era = Some(era);
    let known = own_reads.operator_version.filter(|known| known.0 == era);
    let changed = update.changed.as_ref().map(|catalog| catalog.version());
    // The first read in an era finds the row, unless it is missing. Of one that can't be parsed the
    // version isn't known.
    let missing = (!update.is_unreadable).then_some(0);
    let version = changed.or(known.map(|known| known.1)).or(missing);
    own_reads.operator_version = version.map(|version| (era, version));
}

/// Puts the evacuations in force that a read of the operator's rows found.
fn record_evacuations(
    node: &Node,
    sent_at: Instant,
    since_restore: Option<Duration>,
    listing: Listing,
) {
    let age = sent_at.elapsed();
    let since_restore = since_restore.map(|restored| restored.saturating_sub(age));
    let sent_at = node.now().saturating_sub(age);
    node.evacuations.borrow_mut().record_read(sent_at, since_restore, listing);
    node.apply_evacuations(evacuation::Origin::Operator);
}

/// Waits until the copy of the configuration is in force or the operator's may be.
async fn wait_for_copy(node: &Node, source: &impl Source) {
    let since = Instant::now();
    while node.versions(source).is_held(since.elapsed()) {
        sleep(HOLD_INTERVAL).await;
    }
}

/// Waits for a time, or until the platform's table has been restored.
async fn sleep_within_era(source: &impl Source, time: Duration) {
    let (era, until) = (source.era(), Instant::now() + time);
    while source.era() == era && Instant::now() < until {
        sleep(ERA_INTERVAL.min(until.saturating_duration_since(Instant::now()))).await;
    }
}

/// Returns whether the configuration in force is the one that the publisher knows, and confirms it
/// as of the publisher's read if that found no newer one.
fn is_catalog_published(node: &Node, source: &impl Source) -> bool {
    let Some(catalog) = node.catalog() else { return false };
    let since_restore = node.track_restore(source);
    if node.evacuations.borrow().is_read_due(node.now(), since_restore) {
        return false;
    }
    let (directory, moment) = (node.directory.borrow(), node.moment(source));
    // A publisher of an earlier version doesn't publish the evacuations.
    if catalog.version() < directory.config_version()
        || directory.evacuated().is_none()
        || directory.is_config_outdated(moment)
    {
        return false;
    }
    if let Some(age) = directory.config_age(moment)
        && !directory.is_config_unreadable()
    {
        node.confirm_catalog(age);
    }
    true
}

/// Returns the interval at which this host reads a list itself.
fn poll_interval(node: &Node, mode: Mode) -> Duration {
    let directory = node.directory.borrow();
    match mode {
        Mode::Publish => directory.timing().read_interval(),
        Mode::Direct | Mode::Subscribe => node.settings.apply_time / POLLS_PER_APPLY_TIME,
    }
}

/// Polls the list of backend servers forever.
pub async fn backends(node: Rc<Node>, source: Rc<impl Source>) {
    let reachability = Reachability { what: "backend servers", reached: Cell::new(true) };
    loop {
        let mode = node.mode(&*source);
        if mode == Mode::Subscribe {
            let entries = node.directory.borrow().backends();
            // Before the publisher has written it, the directory is empty.
            if !entries.is_empty() {
                apply_backends(&node, entries, false);
                record_published_list(&node, &*source);
            }
            wait_for_change(&node, SUBSCRIBER_INTERVAL).await;
            continue;
        }
        let read_ms = source.clock_ms();
        node.relisting.borrow_mut().record_question(Instant::now());
        let read = reachability.record(source.backends().await);
        let interval = if read.is_some() { poll_interval(&node, mode) } else { RETRY_INTERVAL };
        if let Some(Read { value: entries, sent_at }) = read {
            node.record_answer(&*source);
            let keep = node.relisting.borrow_mut().record_list(sent_at, Instant::now());
            apply_backends(&node, entries, keep);
            node.own_reads.borrow_mut().backends_ms = read_ms.unwrap_or_default();
        }
        sleep(interval).await;
    }
}

/// Records when the list of backend servers was as the directory shows it.
fn record_published_list(node: &Node, source: &impl Source) {
    let age = node.directory.borrow().age(node.moment(source));
    if let Some(known_at) = age.and_then(|age| Instant::now().checked_sub(age)) {
        node.relisting.borrow_mut().record_published(known_at);
    }
}

/// Applies a list of backend servers.
fn apply_backends(node: &Node, entries: Vec<Entry>, keep: bool) {
    let listed = entries.len();
    let changed = node.backends.borrow_mut().replace(node.now(), entries, keep);
    // Limits of backend servers that were just listed may be known already.
    node.backends.borrow_mut().apply_limits(node.now(), &node.limits.borrow());
    for id in changed {
        let entry = node.backends.borrow_mut().get_mut(&id).map(|backend| backend.entry.clone());
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
