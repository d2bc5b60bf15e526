//! Lease on giving orders, held in a row of the table.

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
    /// Holder; empty once it was released.
    holder: Holder,
    /// Number of the holding, greater than all before.
    epoch: u64,
}

/// The lease row as last seen.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Seen {
    Absent,
    /// Another program wrote it; it is left alone.
    Unreadable,
    Value(Value),
}

impl Seen {
    fn read(text: Option<Arc<str>>) -> Self {
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

/// Change of a lease that follows from an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Change {
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

/// A host's view of the lease.
#[derive(Debug)]
pub(super) struct Lease {
    settings: Settings,
    row: Seen,
    revision: Revision,
    /// Time at which the row was last seen to change; `None` before the first look.
    changed: Option<Duration>,
    held: Option<Held>,
    /// Time at which the last commit was sent.
    sent: Duration,
    /// Time at which the first commit was sent whose outcome is not known.
    unsure: Option<Duration>,
    /// The row is to be read before the next commit.
    look: bool,
    pending: Option<Pending>,
    due: Duration,
    released: bool,
}

impl Lease {
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            row: Seen::Absent,
            revision: 0,
            changed: None,
            held: None,
            sent: Duration::ZERO,
            unsure: None,
            look: true,
            pending: None,
            due: Duration::ZERO,
            released: false,
        }
    }

    /// Returns the epoch of the holding, while orders may be given.
    pub fn epoch(&self, now: Duration) -> Option<u64> {
        self.held.filter(|held| now < held.until).map(|held| held.epoch)
    }

    /// Returns true where this host holds the lease, or did when it last heard of it.
    pub fn is_held(&self) -> bool {
        self.held.is_some()
    }

    pub fn wake_at(&self) -> Option<Duration> {
        (!self.released && self.pending.is_none()).then_some(self.due)
    }

    /// Returns the next request to the table, where one is due.
    pub fn tick(&mut self, now: Duration) -> Option<Op> {
        if self.released || self.pending.is_some() || now < self.due {
            return None;
        }
        self.due = now + self.settings.renew_interval;
        if std::mem::take(&mut self.look) {
            return Some(self.read());
        }
        if let Some(held) = self.held {
            return Some(self.commit(now, self.settings.holder.clone(), held.epoch));
        }
        let lapsed = self.changed.is_some_and(|at| now >= at + self.settings.lease_timeout);
        let free = match &self.row {
            Seen::Absent => true,
            Seen::Unreadable => false,
            Seen::Value(value) => lapsed || value.holder.is_empty(),
        };
        if !free {
            return Some(self.read());
        }
        let epoch = self.row.value().map_or(0, |value| value.epoch) + 1;
        Some(self.commit(now, self.settings.holder.clone(), epoch))
    }

    /// Gives the lease up for good; returns the request that frees the row, where it is held.
    pub fn release(&mut self, now: Duration) -> Option<Op> {
        self.released = true;
        let held = self.held.take()?;
        Some(self.commit(now, Arc::from(""), held.epoch))
    }

    /// Gives up the holding; a later one has a greater epoch.
    pub fn lapse(&mut self) {
        self.held = None;
    }

    /// Has the row read at the next tick.
    pub fn doubt(&mut self, now: Duration) {
        self.look = true;
        self.due = now;
    }

    pub fn outcome(&mut self, now: Duration, outcome: Outcome) -> Change {
        let Some(pending) = self.pending.take() else { return Change::None };
        match (pending, outcome) {
            (Pending::Commit { epoch }, Outcome::Committed(revision)) => {
                self.committed(now, epoch, revision)
            }
            (_, Outcome::Rows(rows) | Outcome::Conflict(rows)) => match rows.into_iter().next() {
                Some(row) => self.seen(now, row),
                None => Change::None,
            },
            (Pending::Commit { .. }, Outcome::Unknown) => self.look(now),
            _ => self.retry(now),
        }
    }

    fn read(&mut self) -> Op {
        self.pending = Some(Pending::Read);
        Op::Read(vec![Arc::from(LEASE_KEY)])
    }

    fn commit(&mut self, now: Duration, holder: Holder, epoch: u64) -> Op {
        self.sent = now;
        self.pending = Some(Pending::Commit { epoch });
        let value = serde_json::to_string(&Value { holder, epoch }).unwrap_or_default();
        let key: Arc<str> = Arc::from(LEASE_KEY);
        let checks = vec![Check { key: Arc::from(LEASE_KEY), revision: self.revision }];
        let writes = vec![Write { key, value: Some(Arc::from(value)) }];
        Op::Commit(Txn { checks, writes })
    }

    fn committed(&mut self, now: Duration, epoch: u64, revision: Revision) -> Change {
        let holder = self.settings.holder.clone();
        self.row = Seen::Value(Value { holder, epoch });
        self.revision = revision;
        self.changed = Some(now);
        self.unsure = None;
        match self.released {
            true => Change::None,
            false => self.hold(epoch, self.sent),
        }
    }

    fn hold(&mut self, epoch: u64, since: Duration) -> Change {
        let until = since + self.settings.hold_timeout;
        let before = self.held.replace(Held { epoch, until });
        match before.is_some_and(|held| held.epoch == epoch) {
            true => Change::None,
            false => Change::Acquired,
        }
    }

    /// Takes the row as it stands, which may show a commit whose answer was lost.
    fn seen(&mut self, now: Duration, row: Row) -> Change {
        let changed = self.changed.is_none() || row.revision != self.revision;
        if changed {
            self.changed = Some(now);
        }
        self.revision = row.revision;
        self.row = Seen::read(row.value);
        let own = self.row.value().filter(|value| value.holder == self.settings.holder);
        let Some(epoch) = own.map(|value| value.epoch) else { return self.lose() };
        if self.held.is_some() {
            self.due = now;
        }
        match self.unsure.filter(|_| changed && !self.released) {
            Some(since) => {
                self.unsure = None;
                self.hold(epoch, since)
            }
            None => Change::None,
        }
    }

    fn lose(&mut self) -> Change {
        match self.held.take() {
            Some(_) => Change::Lost,
            None => Change::None,
        }
    }

    /// Has the row read before the next commit.
    fn look(&mut self, now: Duration) -> Change {
        self.unsure = Some(self.unsure.unwrap_or(self.sent));
        self.look = true;
        self.due = now;
        Change::None
    }

    fn retry(&mut self, now: Duration) -> Change {
        self.look = true;
        self.due = now + self.settings.retry_delay;
        Change::None
    }
}
