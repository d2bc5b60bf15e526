//! Lease on sending orders, stored in a row of the table.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use super::{LEASE_KEY, Settings};
use crate::{
    message::Holder,
    table::{Check, Op, Outcome, Revision, Row, Txn, Write},
};

/// Value of the lease row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Value {
    /// Holder of the lease; empty once it was released.
    holder: Holder,
    /// Number of the lease term, greater than those of all earlier terms.
    epoch: u64,
}

/// Content of the lease row when it was last read or written.
#[derive(Debug, Clone, PartialEq, Eq)]
enum RowState {
    Absent,
    /// The value can't be parsed, so another program wrote it; it is left unchanged.
    Unreadable,
    Value(Value),
}

impl RowState {
    fn parse(text: Option<Arc<str>>) -> Self {
        let Some(text) = text else { return Self::Absent };
        serde_json::from_str(&text).map_or(Self::Unreadable, Self::Value)
    }

    fn value(&self) -> Option<&Value> {
        match self {
            Self::Value(value) => Some(value),
            Self::Absent | Self::Unreadable => None,
        }
    }
}

/// Change in whether this host holds the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LeaseChange {
    None,
    Acquired,
    Lost,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pending {
    Read,
    Commit { epoch: u64 },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Held {
    epoch: u64,
    until: Duration,
}

/// This host's view of the lease.
#[derive(Debug)]
pub(super) struct Lease {
    settings: Settings,
    row: RowState,
    revision: Revision,
    /// Time at which the row was last seen to change; `None` before the first read.
    last_changed_at: Option<Duration>,
    held: Option<Held>,
    /// Time at which the last commit was sent.
    last_commit_at: Duration,
    /// Time at which the first commit with an unknown outcome was sent.
    unconfirmed_since: Option<Duration>,
    /// Whether the row has to be read before the next commit.
    must_read: bool,
    pending: Option<Pending>,
    next_at: Duration,
    released: bool,
}

impl Lease {
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            row: RowState::Absent,
            revision: 0,
            last_changed_at: None,
            held: None,
            last_commit_at: Duration::ZERO,
            unconfirmed_since: None,
            must_read: true,
            pending: None,
            next_at: Duration::ZERO,
            released: false,
        }
    }

    /// Returns the epoch of the current lease term while orders may be sent.
    pub fn epoch(&self, now: Duration) -> Option<u64> {
        self.held.filter(|held| now < held.until).map(|held| held.epoch)
    }

    /// Returns whether this host held the lease according to the last answer of the table.
    pub fn is_held(&self) -> bool {
        self.held.is_some()
    }

    pub fn wake_at(&self) -> Option<Duration> {
        (!self.released && self.pending.is_none()).then_some(self.next_at)
    }

    /// Returns the next request to the table if one is due.
    pub fn tick(&mut self, now: Duration) -> Option<Op> {
        if self.released || self.pending.is_some() || now < self.next_at {
            return None;
        }
        self.next_at = now + self.settings.renew_interval;
        if std::mem::take(&mut self.must_read) {
            return Some(self.start_read());
        }
        if let Some(held) = self.held {
            return Some(self.start_commit(now, self.settings.holder.clone(), held.epoch));
        }
        let has_lapsed =
            self.last_changed_at.is_some_and(|at| now >= at + self.settings.lease_timeout);
        let is_free = match &self.row {
            RowState::Absent => true,
            RowState::Unreadable => false,
            RowState::Value(value) => has_lapsed || value.holder.is_empty(),
        };
        if !is_free {
            return Some(self.start_read());
        }
        let epoch = self.row.value().map_or(0, |value| value.epoch) + 1;
        Some(self.start_commit(now, self.settings.holder.clone(), epoch))
    }

    /// Gives up the lease for good; returns the request that frees the row if the lease is held.
    pub fn release(&mut self, now: Duration) -> Option<Op> {
        self.released = true;
        let held = self.held.take()?;
        Some(self.start_commit(now, Arc::from(""), held.epoch))
    }

    /// Ends the current lease term; the next term has a greater epoch.
    pub fn give_up(&mut self) {
        self.held = None;
    }

    /// Schedules a read of the row for the next tick.
    pub fn request_read(&mut self, now: Duration) {
        self.must_read = true;
        self.next_at = now;
    }

    pub fn handle_outcome(&mut self, now: Duration, outcome: Outcome) -> LeaseChange {
        let Some(pending) = self.pending.take() else { return LeaseChange::None };
        match (pending, outcome) {
            (Pending::Commit { epoch }, Outcome::Committed(revision)) => {
                self.handle_commit(now, epoch, revision)
            }
            (_, Outcome::Rows(rows) | Outcome::Conflict(rows)) => match rows.into_iter().next() {
                Some(row) => self.apply_row(now, row),
                None => LeaseChange::None,
            },
            (Pending::Commit { .. }, Outcome::Unknown) => self.handle_unknown(now),
            _ => self.schedule_retry(now),
        }
    }

    fn start_read(&mut self) -> Op {
        self.pending = Some(Pending::Read);
        Op::Read(vec![Arc::from(LEASE_KEY)])
    }

    fn start_commit(&mut self, now: Duration, holder: Holder, epoch: u64) -> Op {
        self.last_commit_at = now;
        self.pending = Some(Pending::Commit { epoch });
        let value = serde_json::to_string(&Value { holder, epoch }).unwrap_or_default();
        let key: Arc<str> = Arc::from(LEASE_KEY);
        let checks = vec![Check { key: Arc::from(LEASE_KEY), revision: self.revision }];
        let writes = vec![Write { key, value: Some(Arc::from(value)) }];
        Op::Commit(Txn { checks, writes })
    }

    fn handle_commit(&mut self, now: Duration, epoch: u64, revision: Revision) -> LeaseChange {
        let holder = self.settings.holder.clone();
        self.row = RowState::Value(Value { holder, epoch });
        self.revision = revision;
        self.last_changed_at = Some(now);
        self.unconfirmed_since = None;
        match self.released {
            true => LeaseChange::None,
            false => self.set_held(epoch, self.last_commit_at),
        }
    }

    fn set_held(&mut self, epoch: u64, since: Duration) -> LeaseChange {
        let until = since + self.settings.hold_timeout;
        let previous = self.held.replace(Held { epoch, until });
        match previous.is_some_and(|held| held.epoch == epoch) {
            true => LeaseChange::None,
            false => LeaseChange::Acquired,
        }
    }

    /// Applies the current row, which may show that a commit whose answer was lost took effect.
    fn apply_row(&mut self, now: Duration, row: Row) -> LeaseChange {
        let has_changed = self.last_changed_at.is_none() || row.revision != self.revision;
        if has_changed {
            self.last_changed_at = Some(now);
        }
        self.revision = row.revision;
        self.row = RowState::parse(row.value);
        let own = self.row.value().filter(|value| value.holder == self.settings.holder);
        let Some(epoch) = own.map(|value| value.epoch) else { return self.set_lost() };
        if self.held.is_some() {
            self.next_at = now;
        }
        match self.unconfirmed_since.filter(|_| has_changed && !self.released) {
            Some(since) => {
                self.unconfirmed_since = None;
                self.set_held(epoch, since)
            }
            None => LeaseChange::None,
        }
    }

    fn set_lost(&mut self) -> LeaseChange {
        match self.held.take() {
            Some(_) => LeaseChange::Lost,
            None => LeaseChange::None,
        }
    }

    /// Handles a commit with an unknown outcome: the row is read before the next commit.
    fn handle_unknown(&mut self, now: Duration) -> LeaseChange {
        self.unconfirmed_since = Some(self.unconfirmed_since.unwrap_or(self.last_commit_at));
        self.must_read = true;
        self.next_at = now;
        LeaseChange::None
    }

    fn schedule_retry(&mut self, now: Duration) -> LeaseChange {
        self.must_read = true;
        self.next_at = now + self.settings.retry_delay;
        LeaseChange::None
    }
}
