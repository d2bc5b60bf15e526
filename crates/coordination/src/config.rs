//! Follows the configuration and keeps it in force on a host.
//!
//! The follower polls the platform's change log. While the platform does not answer, it asks a
//! neighbour whose heartbeat shows a later revision. Neither a row nor the revision in force ever
//! goes back to an older revision: the follower applies a page of changes only if it has every
//! change up to the start of the page. If the neighbour no longer knows all deletions since then,
//! the follower reads the neighbour's complete configuration and applies the difference at the end.
//!
//! An invalid row is reported and leaves the last valid one in force.

mod store;

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::Arc,
    time::Duration,
};

use self::store::{Applied, Store};
use crate::{
    message::Message,
    record,
    table::{Op, Outcome, Revision, Row},
};

/// Time between two reads of the platform's change log.
pub const POLL_INTERVAL: Duration = Duration::from_millis(3_000);

/// Time without an answer of the platform after which neighbours are asked.
pub const PLATFORM_STALE_AFTER: Duration = Duration::from_millis(6_500);

/// Time to wait for an answer of the platform.
const READ_TIMEOUT: Duration = Duration::from_millis(10_000);

/// Time to wait for an answer of a neighbour.
const ASK_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Maximum number of rows in one read of the change log.
const MAX_READ_ROWS: u32 = 1_000;

/// Maximum number of neighbours whose revisions are remembered.
const MAX_NEIGHBOURS: usize = 64;

/// Input of a [`Follower`].
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The answer to the last [`Action::Read`].
    Outcome(Outcome),
    /// A heartbeat shows the revision in force at a neighbour.
    NeighbourRevision {
        /// Address of its peer port.
        address: Arc<str>,
        /// Revision in force there.
        revision: Revision,
    },
    /// A neighbour asks for rows after a revision.
    Ask {
        /// Address of its peer port.
        address: Arc<str>,
        /// Revision up to which it has every change.
        after: Revision,
    },
    /// A neighbour sent rows.
    Rows {
        /// Address of its peer port.
        address: Arc<str>,
        /// Rows with the revisions that they cover.
        page: Page,
    },
}

/// Rows that a neighbour sent.
#[derive(Debug, Clone)]
pub struct Page {
    /// Changed rows, by revision.
    pub rows: Vec<Row>,
    /// Revision after which the page contains every change.
    pub after: Revision,
    /// Revision up to which the page contains every change.
    pub through: Revision,
    /// Revision up to which the neighbour has every change.
    pub current: Revision,
    /// Revision up to which deletions may be missing from the page.
    pub deletions_after: Revision,
}

/// Output of a [`Follower`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the platform's table and return the outcome as [`Event::Outcome`].
    Read(Op),
    /// Send a message to a neighbour.
    Send {
        /// Address of its peer port.
        to: Arc<str>,
        /// Message.
        message: Message,
    },
    /// A row came into force; it was deleted if it has no value.
    Apply(Row),
    /// A row is invalid; the last valid one stays in force.
    Invalid {
        /// The invalid row.
        row: Row,
        /// Invalid field and reason.
        reason: Arc<str>,
    },
    /// The newest applied change has this revision.
    Advanced(Revision),
}

type Validate = Box<dyn Fn(&Row) -> Result<(), String> + Send>;

/// Follows the configuration for one host.
pub struct Follower {
    validate: Validate,
    store: Store,
    ready: bool,
    /// Complete configuration that is being read from a neighbour.
    full_sync: Option<FullSync>,
    next_read: Duration,
    /// Deadline of the current read of the platform's table.
    read_deadline: Option<Duration>,
    /// Time of the platform's last answer.
    platform_answered: Option<Duration>,
    /// Revisions of neighbours that have later changes, by address.
    ahead: BTreeMap<Arc<str>, Revision>,
    /// Address of the neighbour that was asked, and the deadline of its answer.
    pending_ask: Option<(Arc<str>, Duration)>,
    last_asked: Arc<str>,
}

impl Follower {
    /// Returns a follower without rows.
    ///
    /// `validate` returns an error with the reason if a row can't come into force.
    pub fn new(validate: impl Fn(&Row) -> Result<(), String> + Send + 'static) -> Self {
        Self {
            validate: Box::new(validate),
            store: Store::default(),
            ready: false,
            full_sync: None,
            next_read: Duration::ZERO,
            read_deadline: None,
            platform_answered: None,
            ahead: BTreeMap::new(),
            pending_ask: None,
            last_asked: Arc::from(""),
        }
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, actions),
            Event::Outcome(outcome) => self.outcome(now, outcome, actions),
            Event::NeighbourRevision { address, revision } => {
                self.neighbour_revision(now, address, revision, actions)
            }
            Event::Ask { address, after } => self.send_page(address, after, actions),
            Event::Rows { address, page } => self.receive(now, &address, page, actions),
        }
    }

    /// Returns the revision up to which every change is in force.
    pub fn revision(&self) -> Revision {
        self.store.through()
    }

    /// Returns whether the platform or a neighbour has sent a complete configuration since the
    /// start.
    pub fn ready(&self) -> bool {
        self.ready
    }

    /// Returns the rows in force, sorted by key.
    pub fn rows(&self) -> impl Iterator<Item = Row> {
        self.store.rows()
    }

    fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.read_deadline.is_some_and(|deadline| now >= deadline) {
            self.read_deadline = None;
        }
        if self.read_deadline.is_none() && now >= self.next_read {
            self.read(now, actions);
        }
        self.ask_next(now, actions);
    }

    fn read(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.next_read = now + POLL_INTERVAL;
        self.read_deadline = Some(now + READ_TIMEOUT);
        actions.push(Action::Read(Op::Changes {
            prefix: Arc::from(record::KEY_PREFIX),
            after: self.store.through(),
            limit: MAX_READ_ROWS,
        }));
    }

    fn outcome(&mut self, now: Duration, outcome: Outcome, actions: &mut Vec<Action>) {
        self.read_deadline = None;
        let Outcome::Changes { rows, through } = outcome else { return };
        self.platform_answered = Some(now);
        let is_last = rows.len() < MAX_READ_ROWS as usize;
        self.apply(rows, through, actions);
        match is_last {
            true => self.ready = true,
            false => self.read(now, actions),
        }
    }

    /// Applies rows that include every change from the revision of this follower, or an earlier
    /// one, up to `through`.
    fn apply(
        &mut self,
        rows: impl IntoIterator<Item = Row>,
        through: Revision,
        actions: &mut Vec<Action>,
    ) {
        let before = self.store.newest();
        for row in rows {
            match self.store.apply(&row, &self.validate) {
                Applied::Old => {}
                Applied::Valid => actions.push(Action::Apply(row)),
                Applied::Invalid(reason) => {
                    actions.push(Action::Invalid { row, reason: reason.into() });
                }
            }
        }
        self.store.advance(through);
        let newest = self.store.newest();
        if newest > before {
            actions.push(Action::Advanced(newest));
        }
    }

    /// Handles a page of rows from the neighbour that was asked; ignores other pages.
    fn receive(
        &mut self,
        now: Duration,
        address: &Arc<str>,
        page: Page,
        actions: &mut Vec<Action>,
    ) {
        let expected = self.pending_ask.as_ref().is_some_and(|(asked, _)| asked == address);
        if !expected || page.after != self.ask_after() {
            return;
        }
        let current = page.current;
        match &mut self.full_sync {
            Some(full_sync) => full_sync.add(page),
            None if self.store.has_all_deletions(&page) => {
                self.store.record_pruned(&page);
                self.apply(page.rows, page.through, actions);
            }
            None => self.full_sync = Some(FullSync::default()),
        }
        if self.ask_after() < current {
            self.pending_ask = Some(self.ask(now, address.clone(), actions));
            return;
        }
        self.pending_ask = None;
        if let Some(full_sync) = self.full_sync.take() {
            self.apply_full_sync(full_sync, actions);
        }
        self.ready = true;
    }

    /// Applies the newer rows of a complete configuration and deletes the rows that are not in it.
    fn apply_full_sync(&mut self, full_sync: FullSync, actions: &mut Vec<Action>) {
        let deleted = self.store.rows().filter(|row| !full_sync.keys.contains(&row.key));
        let deleted = deleted.map(|row| Row {
            key: row.key.clone(),
            value: None,
            revision: full_sync.through,
        });
        let rows: Vec<Row> = deleted.collect();
        self.store.raise_pruned_until(full_sync.deletions_after);
        self.apply(rows.into_iter().chain(full_sync.rows), full_sync.through, actions);
    }

    /// Returns the revision after which to ask a neighbour for rows.
    fn ask_after(&self) -> Revision {
        self.full_sync.as_ref().map_or(self.store.through(), |full_sync| full_sync.through)
    }

    fn neighbour_revision(
        &mut self,
        now: Duration,
        address: Arc<str>,
        revision: Revision,
        actions: &mut Vec<Action>,
    ) {
        let known = self.ahead.contains_key(&address);
        if revision <= self.store.through() || (!known && self.ahead.len() >= MAX_NEIGHBOURS) {
            return;
        }
        self.ahead.insert(address, revision);
        self.ask_next(now, actions);
    }

    /// Asks the next neighbour that is ahead, unless the platform has answered lately or another
    /// answer is pending.
    fn ask_next(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let is_fresh =
            self.platform_answered.is_some_and(|at| now.saturating_sub(at) < PLATFORM_STALE_AFTER);
        let is_pending = self.pending_ask.as_ref().is_some_and(|(_, deadline)| now < *deadline);
        if is_fresh || is_pending {
            return;
        }
        self.full_sync = None;
        let through = self.store.through();
        self.ahead.retain(|_, revision| *revision > through);
        let next = self.ahead.range::<Arc<str>, _>(&self.last_asked..);
        let next = next.map(|(address, _)| address).find(|address| **address != self.last_asked);
        let next = next.or_else(|| self.ahead.keys().next()).cloned();
        self.pending_ask = next.map(|address| self.ask(now, address, actions));
    }

    /// Asks a neighbour for the next page; returns its address and the deadline of its answer.
    fn ask(
        &mut self,
        now: Duration,
        address: Arc<str>,
        actions: &mut Vec<Action>,
    ) -> (Arc<str>, Duration) {
        let message = Message::ConfigAsk { after: self.ask_after() };
        actions.push(Action::Send { to: address.clone(), message });
        self.last_asked = address.clone();
        (address, now + ASK_TIMEOUT)
    }

    /// Sends a neighbour the next page of changes that it lacks.
    fn send_page(&self, address: Arc<str>, after: Revision, actions: &mut Vec<Action>) {
        if !self.ready {
            return;
        }
        if let Some((rows, through)) = self.store.page(after) {
            let current = self.store.through();
            let deletions_after = self.store.pruned_until();
            let message = Message::ConfigRows { rows, after, through, current, deletions_after };
            actions.push(Action::Send { to: address, message });
        }
    }
}

/// Complete configuration of a neighbour, as far as it was received.
#[derive(Debug, Default)]
struct FullSync {
    rows: Vec<Row>,
    keys: BTreeSet<Arc<str>>,
    through: Revision,
    deletions_after: Revision,
}

impl FullSync {
    fn add(&mut self, page: Page) {
        self.keys.extend(page.rows.iter().map(|row| row.key.clone()));
        self.rows.extend(page.rows);
        self.through = page.through;
        self.deletions_after = page.deletions_after;
    }
}

impl fmt::Debug for Follower {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Follower")
            .field("through", &self.store.through())
            .field("ready", &self.ready)
            .finish_non_exhaustive()
    }
}
