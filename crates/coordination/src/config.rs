//! Configuration in force at a host.
//!
//! The follower reads the platform's change log at an interval. While the platform does not answer,
//! it asks a neighbour whose heartbeat names a later revision. A row never goes back to an older
//! revision, and neither does the revision in force: what covers the time up to a revision is taken
//! only by a follower that is complete up to where it starts. Where a neighbour no longer knows all
//! deletions since then, the follower reads its whole configuration anew and puts the difference
//! into force at the end.
//!
//! An invalid row is reported and leaves the last valid one in force.

mod store;

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::Arc,
    time::Duration,
};

use self::store::{Store, Taken};
use crate::{
    message::Message,
    record,
    table::{Op, Outcome, Revision, Row},
};

/// Time between two reads of the change log.
pub const POLL_INTERVAL: Duration = Duration::from_millis(3_000);

/// Time without the platform after which neighbours are asked.
pub const PLATFORM_STALE_AFTER: Duration = Duration::from_millis(6_500);

/// Time after which an answer of the platform is given up.
const READ_TIMEOUT: Duration = Duration::from_millis(10_000);

/// Time after which the answer of a neighbour is given up.
const ASK_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Rows of one read of the change log.
const READ_ROWS: u32 = 1_000;

/// Neighbours whose revisions are remembered.
const MAX_NEIGHBOURS: usize = 64;

/// An input of the follower.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The answer to the last [`Action::Read`].
    Outcome(Outcome),
    /// A neighbour has this revision in force.
    NeighbourRevision {
        /// Address of its peer port.
        address: Arc<str>,
        /// Revision.
        revision: Revision,
    },
    /// A neighbour asks for rows after a revision.
    Ask {
        /// Address of its peer port.
        address: Arc<str>,
        /// Revision up to which it is current.
        after: Revision,
    },
    /// A neighbour sent rows.
    Rows {
        /// Address of its peer port.
        address: Arc<str>,
        /// Rows.
        page: Page,
    },
}

/// Rows that a neighbour sent.
#[derive(Debug, Clone)]
pub struct Page {
    /// Changed rows, by revision.
    pub rows: Vec<Row>,
    /// Revision after which they are complete.
    pub after: Revision,
    /// Revision up to which they are complete.
    pub through: Revision,
    /// Revision up to which the neighbour is current.
    pub current: Revision,
    /// Deletions up to this revision are left out.
    pub deletions_after: Revision,
}

/// An output of the follower.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Reads the platform's table; the outcome comes back as [`Event::Outcome`].
    Read(Op),
    /// Sends a message to a neighbour.
    Send {
        /// Address of its peer port.
        to: Arc<str>,
        /// Message.
        message: Message,
    },
    /// A row came into force; without a value it was deleted.
    Apply(Row),
    /// A row is invalid; the last valid one stays in force.
    Invalid {
        /// Row.
        row: Row,
        /// Field and reason.
        reason: Arc<str>,
    },
    /// The newest change up to this revision is in force.
    Advanced(Revision),
}

type Validate = Box<dyn Fn(&Row) -> Result<(), String> + Send>;

/// Follows the configuration for one host.
pub struct Follower {
    validate: Validate,
    store: Store,
    ready: bool,
    /// Configuration that is read anew from a neighbour.
    anew: Option<Anew>,
    next_read: Duration,
    /// End of the wait for the platform's answer.
    reading_until: Option<Duration>,
    heard_platform: Option<Duration>,
    /// Revisions of neighbours that are ahead.
    ahead: BTreeMap<Arc<str>, Revision>,
    /// Neighbour that was asked, and the end of the wait for its answer.
    asked: Option<(Arc<str>, Duration)>,
    last_asked: Arc<str>,
}

impl Follower {
    /// Returns a follower without any row.
    ///
    /// `validate` returns why a row can't come into force.
    pub fn new(validate: impl Fn(&Row) -> Result<(), String> + Send + 'static) -> Self {
        Self {
            validate: Box::new(validate),
            store: Store::default(),
            ready: false,
            anew: None,
            next_read: Duration::ZERO,
            reading_until: None,
            heard_platform: None,
            ahead: BTreeMap::new(),
            asked: None,
            last_asked: Arc::from(""),
        }
    }

    /// Takes an event and pushes the actions that follow from it.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, actions),
            Event::Outcome(outcome) => self.outcome(now, outcome, actions),
            Event::NeighbourRevision { address, revision } => {
                self.hear(now, address, revision, actions)
            }
            Event::Ask { address, after } => self.answer(address, after, actions),
            Event::Rows { address, page } => self.receive(now, &address, page, actions),
        }
    }

    /// Returns the revision up to which the configuration is in force.
    pub fn revision(&self) -> Revision {
        self.store.through()
    }

    /// Returns whether the platform or a neighbour gave a whole configuration since the start.
    pub fn ready(&self) -> bool {
        self.ready
    }

    /// Returns the rows in force, by key.
    pub fn rows(&self) -> impl Iterator<Item = Row> {
        self.store.rows()
    }

    fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.reading_until.is_some_and(|until| now >= until) {
            self.reading_until = None;
        }
        if self.reading_until.is_none() && now >= self.next_read {
            self.read(now, actions);
        }
        self.ask(now, actions);
    }

    fn read(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.next_read = now + POLL_INTERVAL;
        self.reading_until = Some(now + READ_TIMEOUT);
        actions.push(Action::Read(Op::Changes {
            prefix: Arc::from(record::KEY_PREFIX),
            after: self.store.through(),
            limit: READ_ROWS,
        }));
    }

    fn outcome(&mut self, now: Duration, outcome: Outcome, actions: &mut Vec<Action>) {
        self.reading_until = None;
        let Outcome::Changes { rows, through } = outcome else { return };
        self.heard_platform = Some(now);
        let is_last = rows.len() < READ_ROWS as usize;
        self.take(rows, through, actions);
        match is_last {
            true => self.ready = true,
            false => self.read(now, actions),
        }
    }

    /// Puts rows into force that are complete from where this follower is, or earlier.
    fn take(
        &mut self,
        rows: impl IntoIterator<Item = Row>,
        through: Revision,
        actions: &mut Vec<Action>,
    ) {
        let before = self.store.newest();
        for row in rows {
            match self.store.take(&row, &self.validate) {
                Taken::Old => {}
                Taken::Valid => actions.push(Action::Apply(row)),
                Taken::Invalid(reason) => {
                    actions.push(Action::Invalid { row, reason: reason.into() });
                }
            }
        }
        self.store.complete(through);
        let newest = self.store.newest();
        if newest > before {
            actions.push(Action::Advanced(newest));
        }
    }

    /// Takes a page of a neighbour.
    fn receive(
        &mut self,
        now: Duration,
        address: &Arc<str>,
        page: Page,
        actions: &mut Vec<Action>,
    ) {
        let expected = self.asked.as_ref().is_some_and(|(asked, _)| asked == address);
        if !expected || page.after != self.asked_after() {
            return;
        }
        let current = page.current;
        match &mut self.anew {
            Some(anew) => anew.read(page),
            None if self.store.is_covered(&page) => {
                self.store.cover(&page);
                self.take(page.rows, page.through, actions);
            }
            None => self.anew = Some(Anew::default()),
        }
        if self.asked_after() < current {
            self.asked = Some(self.ask_one(now, address.clone(), actions));
            return;
        }
        self.asked = None;
        if let Some(anew) = self.anew.take() {
            self.replace(anew, actions);
        }
        self.ready = true;
    }

    /// Puts a configuration that was read anew into force, as far as it is newer.
    fn replace(&mut self, anew: Anew, actions: &mut Vec<Action>) {
        let deleted = self.store.rows().filter(|row| !anew.keys.contains(&row.key));
        let deleted =
            deleted.map(|row| Row { key: row.key.clone(), value: None, revision: anew.through });
        let rows: Vec<Row> = deleted.collect();
        self.store.forget_until(anew.deletions_after);
        self.take(rows.into_iter().chain(anew.rows), anew.through, actions);
    }

    /// Returns the revision after which rows are asked for.
    fn asked_after(&self) -> Revision {
        self.anew.as_ref().map_or(self.store.through(), |anew| anew.through)
    }

    fn hear(
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
        self.ask(now, actions);
    }

    /// Asks the next neighbour that is ahead, unless the platform answers.
    fn ask(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let heard = self
            .heard_platform
            .is_some_and(|heard| now.saturating_sub(heard) < PLATFORM_STALE_AFTER);
        let waits = self.asked.as_ref().is_some_and(|(_, until)| now < *until);
        if heard || waits {
            return;
        }
        self.anew = None;
        let through = self.store.through();
        self.ahead.retain(|_, revision| *revision > through);
        let next = self.ahead.range::<Arc<str>, _>(&self.last_asked..);
        let next = next.map(|(address, _)| address).find(|address| **address != self.last_asked);
        let next = next.or_else(|| self.ahead.keys().next()).cloned();
        self.asked = next.map(|address| self.ask_one(now, address, actions));
    }

    fn ask_one(
        &mut self,
        now: Duration,
        address: Arc<str>,
        actions: &mut Vec<Action>,
    ) -> (Arc<str>, Duration) {
        let message = Message::ConfigAsk { after: self.asked_after() };
        actions.push(Action::Send { to: address.clone(), message });
        self.last_asked = address.clone();
        (address, now + ASK_TIMEOUT)
    }

    /// Sends a neighbour the next page of what it lacks.
    fn answer(&self, address: Arc<str>, after: Revision, actions: &mut Vec<Action>) {
        if !self.ready {
            return;
        }
        if let Some((rows, through)) = self.store.page(after) {
            let current = self.store.through();
            let deletions_after = self.store.forgotten();
            let message = Message::ConfigRows { rows, after, through, current, deletions_after };
            actions.push(Action::Send { to: address, message });
        }
    }
}

/// A whole configuration on its way from a neighbour.
#[derive(Debug, Default)]
struct Anew {
    rows: Vec<Row>,
    keys: BTreeSet<Arc<str>>,
    through: Revision,
    deletions_after: Revision,
}

impl Anew {
    fn read(&mut self, page: Page) {
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
