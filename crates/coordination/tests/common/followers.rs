//! Simulated followers of one configuration, with faults of the platform and of the network.

#![allow(dead_code)]

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use coordination::{
    config::{Action, Event, Follower, Page},
    message::Message,
    table::{Op, Outcome, Revision, Row},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Change log of the platform: the newest row of each key.
#[derive(Debug, Default)]
pub struct ChangeLog {
    rows: BTreeMap<Arc<str>, Row>,
    /// Newest valid row of each key.
    valid: BTreeMap<Arc<str>, Row>,
    /// Revision of the newest commit.
    pub revision: Revision,
}

impl ChangeLog {
    /// Commits a row; `None` deletes it.
    pub fn commit(&mut self, key: &str, value: Option<&str>) {
        self.revision += 1;
        let key: Arc<str> = Arc::from(key);
        let row = Row { key: key.clone(), value: value.map(Arc::from), revision: self.revision };
        if validate(&row).is_ok() {
            self.valid.insert(key.clone(), row.clone());
        }
        self.rows.insert(key, row);
    }

    /// Returns the newest valid rows that are not deleted.
    pub fn in_force(&self) -> Vec<Row> {
        self.valid.values().filter(|row| row.value.is_some()).cloned().collect()
    }

    /// Returns whether the newest row of a key is invalid.
    pub fn is_invalid(&self, key: &str) -> bool {
        self.rows.get(key).is_some_and(|row| validate(row).is_err())
    }

    /// Returns the outcome of reading at most `limit` rows changed after a revision.
    pub fn changes(&self, after: Revision, limit: u32) -> Outcome {
        let mut rows: Vec<Row> =
            self.rows.values().filter(|row| row.revision > after).cloned().collect();
        rows.sort_by_key(|row| row.revision);
        let is_complete = rows.len() <= limit as usize;
        rows.truncate(limit as usize);
        let through = match is_complete {
            true => self.revision,
            false => rows.last().map_or(self.revision, |row| row.revision),
        };
        Outcome::Changes { rows, through }
    }
}

/// Rejects values that start with an exclamation mark.
pub fn validate(row: &Row) -> Result<(), String> {
    match row.value.as_ref().is_some_and(|value| value.starts_with('!')) {
        true => Err("value".to_owned()),
        false => Ok(()),
    }
}

/// Follower of the configuration.
pub trait ConfigFollower {
    /// Handles an event and appends the resulting actions.
    fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>);
    /// Returns the revision in force.
    fn revision(&self) -> Revision;
    /// Returns the rows in force.
    fn rows(&self) -> Vec<Row>;
}

impl ConfigFollower for Follower {
    fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        Follower::handle(self, now, event, actions);
    }

    fn revision(&self) -> Revision {
        Follower::revision(self)
    }

    fn rows(&self) -> Vec<Row> {
        Follower::rows(self).collect()
    }
}

/// Naive follower: applies every row that it receives, and asks every neighbour that shows a later
/// revision.
#[derive(Default)]
pub struct NaiveFollower {
    rows: BTreeMap<Arc<str>, Row>,
    through: Revision,
}

impl NaiveFollower {
    fn apply(&mut self, rows: Vec<Row>, through: Revision) {
        for row in rows {
            match row.value {
                Some(_) => self.rows.insert(row.key.clone(), row),
                None => self.rows.remove(&row.key),
            };
        }
        self.through = through;
    }
}

impl ConfigFollower for NaiveFollower {
    fn handle(&mut self, _: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => actions.push(Action::Read(Op::Changes {
                prefix: "config/".into(),
                after: self.through,
                limit: 1_000,
            })),
            Event::Outcome(Outcome::Changes { rows, through }) => self.apply(rows, through),
            Event::Outcome(_) => {}
            Event::NeighbourRevision { address, revision } if revision > self.through => {
                let message = Message::ConfigAsk { after: self.through };
                actions.push(Action::Send { to: address, message });
            }
            Event::NeighbourRevision { .. } => {}
            Event::Ask { address, after } => {
                let rows = self.rows.values().filter(|row| row.revision > after).cloned().collect();
                let (through, current) = (self.through, self.through);
                let message =
                    Message::ConfigRows { rows, after, through, current, deletions_after: 0 };
                actions.push(Action::Send { to: address, message });
            }
            Event::Rows { page, .. } => self.apply(page.rows, page.through),
        }
    }

    fn revision(&self) -> Revision {
        self.through
    }

    fn rows(&self) -> Vec<Row> {
        self.rows.values().cloned().collect()
    }
}

/// Event in transit to a follower.
struct Pending {
    /// Time at which it arrives.
    at: Duration,
    to: usize,
    event: Event,
}

/// Followers, the platform and the events in transit, under one virtual clock.
pub struct Simulation<S> {
    /// Current time.
    pub now: Duration,
    /// Change log of the platform.
    pub change_log: ChangeLog,
    /// Followers.
    pub followers: Vec<S>,
    /// Numbers of the followers that can't reach the platform.
    pub platform_unreachable: BTreeSet<usize>,
    /// Numbers of the followers that handle no events.
    pub frozen: BTreeSet<usize>,
    /// Number of reads that reached the platform.
    pub reads: usize,
    /// Number of events after which a follower had an older row or revision in force than before.
    pub regressions: usize,
    /// Whether events in transit are delayed, duplicated and lost.
    pub unreliable_network: bool,
    pending: Vec<Pending>,
    /// Revisions of the rows that each follower had in force.
    seen: Vec<BTreeMap<Arc<str>, Revision>>,
    /// Last revision in force at each follower.
    revisions: Vec<Revision>,
    rng: StdRng,
}

/// Simulated time of one step.
const STEP: Duration = Duration::from_millis(250);

/// Number of steps between two heartbeats of a follower.
const STEPS_PER_HEARTBEAT: u128 = 8;

impl<S: ConfigFollower> Simulation<S> {
    /// Creates a simulation of these followers.
    pub fn new(followers: Vec<S>, seed: u64) -> Self {
        let count = followers.len();
        Self {
            now: Duration::ZERO,
            change_log: ChangeLog::default(),
            followers,
            platform_unreachable: BTreeSet::new(),
            frozen: BTreeSet::new(),
            reads: 0,
            regressions: 0,
            unreliable_network: false,
            pending: Vec::new(),
            seen: vec![BTreeMap::new(); count],
            revisions: vec![0; count],
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Replaces a follower by one in a new process, which gets the messages sent to the old one,
    /// but not the platform's answers to it.
    pub fn restart(&mut self, number: usize, follower: S) {
        self.pending
            .retain(|pending| pending.to != number || !matches!(pending.event, Event::Outcome(_)));
        self.followers[number] = follower;
        self.seen[number].clear();
        self.revisions[number] = 0;
    }

    /// Runs for `time`, in whole steps.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Returns whether every follower has the platform's newest valid rows in force.
    pub fn is_converged(&self) -> bool {
        let expected = self.change_log.in_force();
        self.followers.iter().all(|follower| follower.rows() == expected)
    }

    fn step(&mut self) {
        self.now += STEP;
        let due = |pending: &Pending| pending.at <= self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.pending).into_iter().partition(due);
        self.pending = later;
        for pending in due {
            self.handle_event(pending.to, pending.event);
        }
        let is_heartbeat =
            (self.now.as_millis() / STEP.as_millis()).is_multiple_of(STEPS_PER_HEARTBEAT);
        for number in 0..self.followers.len() {
            self.handle_event(number, Event::Tick);
            if is_heartbeat && !self.frozen.contains(&number) {
                self.send_heartbeats(number);
            }
        }
    }

    fn send_heartbeats(&mut self, from: usize) {
        let revision = self.followers[from].revision();
        for to in (0..self.followers.len()).filter(|to| *to != from) {
            self.schedule(to, Event::NeighbourRevision { address: address(from), revision });
        }
    }

    /// Passes an event to a follower and schedules the resulting events.
    pub fn handle_event(&mut self, number: usize, event: Event) {
        if self.frozen.contains(&number) {
            return;
        }
        let mut actions = Vec::new();
        self.followers[number].handle(self.now, event, &mut actions);
        self.count_regressions(number);
        for action in actions {
            match action {
                Action::Read(op) => self.read(number, &op),
                Action::Send { to, message } => self.send(number, &to, message),
                _ => {}
            }
        }
    }

    fn read(&mut self, number: usize, op: &Op) {
        let Op::Changes { after, limit, .. } = op else { return };
        if self.platform_unreachable.contains(&number) {
            return self.schedule(number, Event::Outcome(Outcome::Unavailable));
        }
        self.reads += 1;
        let outcome = self.change_log.changes(*after, *limit);
        self.schedule(number, Event::Outcome(outcome));
    }

    fn send(&mut self, from: usize, to: &str, message: Message) {
        let address = address(from);
        let event = match message {
            Message::ConfigAsk { after } => Event::Ask { address, after },
            Message::ConfigRows { rows, after, through, current, deletions_after } => Event::Rows {
                address,
                page: Page { rows, after, through, current, deletions_after },
            },
            _ => return,
        };
        self.schedule(to.parse().unwrap(), event);
    }

    /// Schedules an event at a follower: without delay, or on an unreliable network up to twice,
    /// each time after a random delay.
    fn schedule(&mut self, to: usize, event: Event) {
        if !self.unreliable_network {
            return self.pending.push(Pending { at: self.now, to, event });
        }
        for _ in 0..self.rng.random_range(0..3) {
            let at = self.now + STEP * self.rng.random_range(0..60);
            self.pending.push(Pending { at, to, event: event.clone() });
        }
    }

    /// Counts a regression if a row or the revision in force became older.
    fn count_regressions(&mut self, number: usize) {
        let follower = &self.followers[number];
        let rows: BTreeMap<Arc<str>, Revision> =
            follower.rows().into_iter().map(|row| (row.key, row.revision)).collect();
        let row_regressed =
            rows.iter().any(|(key, now)| self.seen[number].get(key).is_some_and(|old| old > now));
        let revision_regressed = follower.revision() < self.revisions[number];
        self.regressions += usize::from(row_regressed || revision_regressed);
        // Revisions of deleted rows are kept: a row that is in force again has to be newer.
        self.seen[number].extend(rows);
        self.revisions[number] = follower.revision();
    }
}

/// Returns the address of the follower with this number.
pub fn address(number: usize) -> Arc<str> {
    Arc::from(number.to_string())
}
