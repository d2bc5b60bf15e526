//! Refunds of charges that were made more than once for one request.
//!
//! The same idempotent request may be served in two zones that can't reach each other, or again
//! after its first router died. The fold reads the ledger in the order of commits, keeps the
//! requests of a window in mind, and refunds every charge of a request but the first. A charge in
//! the old ledger counts as first whatever the order, since it can't be written twice.

mod window;

use std::{collections::VecDeque, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use self::window::{Place, Window};
use crate::{
    escrow::{self, Escrow},
    ledger::{self, Charge, Refund, Segment},
    table::{Op, Outcome, Revision, Row, Txn},
};

/// Key of the row that tells how far the ledger was read.
pub const POSITION_KEY: &str = "fold/position";

/// Rows read at a time.
const ROWS: u32 = 64;

/// Time between reads once the end of the ledger is reached.
const IDLE: Duration = Duration::from_secs(2);

/// Pause after an operation that failed or conflicted.
const PAUSE: Duration = Duration::from_secs(1);

/// Time between notes of the position.
const NOTE_EVERY: Duration = Duration::from_secs(60);

/// What a [`Fold`] is told.
#[derive(Debug)]
pub enum Event {
    /// Answer to [`Action::Table`].
    Table {
        /// Number of the request.
        id: u64,
        /// What came of it.
        outcome: Outcome,
    },
    /// Time passed; given only while this host is the one that folds.
    Tick,
}

/// What a [`Fold`] wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Sends a request to the table.
    Table {
        /// Number of the request.
        id: u64,
        /// Request.
        op: Op,
    },
}

/// How far the ledger was read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Position {
    /// Revision from which a reader has to start to know the window.
    from: Revision,
}

/// The two logs of charges.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Log {
    New,
    Old,
}

impl Log {
    fn prefix(self) -> &'static str {
        match self {
            Self::New => ledger::PREFIX,
            Self::Old => escrow::CHARGE_PREFIX,
        }
    }
}

/// What the fold waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Step {
    /// To read its position.
    Open,
    /// To read a log.
    Follow(Log),
    /// To read the rows of the first refund.
    Look,
    /// To commit the first refund.
    Commit,
    /// To read the row that it notes its position in.
    Mark,
    /// To note its position.
    Note(Row),
}

/// Reads the ledger in the order of commits and refunds repeated charges.
#[derive(Debug)]
pub struct Refunder {
    step: Step,
    operation: u64,
    waiting: Option<u64>,
    not_before: Duration,
    noted_at: Duration,
    new_after: Revision,
    old_after: Revision,
    window: Window,
    refunds: VecDeque<Due>,
}

/// A refund to be made.
#[derive(Debug)]
struct Due {
    charge: Charge,
    place: Place,
}

impl Refunder {
    /// Starts from where the table says that the last run stopped.
    pub fn resume() -> Self {
        Self {
            step: Step::Open,
            operation: 0,
            waiting: None,
            not_before: Duration::ZERO,
            noted_at: Duration::ZERO,
            new_after: 0,
            old_after: 0,
            window: Window::default(),
            refunds: VecDeque::new(),
        }
    }

    /// Takes an event.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => self.proceed(now, actions),
            Event::Table { id, outcome } if self.waiting == Some(id) => {
                self.waiting = None;
                self.take(now, outcome, actions);
            }
            Event::Table { .. } => {}
        }
    }

    /// Sends the next operation.
    fn proceed(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.waiting.is_some() || now < self.not_before {
            return;
        }
        let op = match &self.step {
            Step::Open | Step::Mark => Op::Read(vec![Arc::from(POSITION_KEY)]),
            Step::Follow(log) => Op::Changes {
                prefix: Arc::from(log.prefix()),
                after: if *log == Log::New { self.new_after } else { self.old_after },
                limit: ROWS,
            },
            Step::Look | Step::Commit => {
                let Some(due) = self.refunds.front() else {
                    self.step = Step::Follow(Log::New);
                    return;
                };
                self.step = Step::Look;
                let Charge { budget, request, .. } = &due.charge;
                Op::Read(vec![ledger::refund_key(budget, *request), escrow::escrow_key(budget)])
            }
            Step::Note(row) => {
                let mut txn = Txn::default();
                let from = self.window.start().unwrap_or(self.new_after.min(self.old_after));
                txn.put(row, &Position { from });
                Op::Commit(txn)
            }
        };
        self.send(op, actions);
    }

    fn send(&mut self, op: Op, actions: &mut Vec<Action>) {
        self.operation += 1;
        self.waiting = Some(self.operation);
        actions.push(Action::Table { id: self.operation, op });
    }

    fn take(&mut self, now: Duration, outcome: Outcome, actions: &mut Vec<Action>) {
        match (self.step.clone(), outcome) {
            (Step::Open, Outcome::Rows(rows)) => self.start(now, &rows),
            (Step::Mark, Outcome::Rows(rows)) => {
                let row = rows.into_iter().next();
                self.step = row.map_or(Step::Follow(Log::New), Step::Note);
            }
            (Step::Follow(log), Outcome::Changes { rows, through }) => {
                self.follow(now, log, &rows, through);
            }
            (Step::Look, Outcome::Rows(rows)) => {
                self.look(&rows, actions);
                return;
            }
            (Step::Commit, Outcome::Committed(_)) => {
                self.refunds.pop_front();
                self.step = Step::Look;
            }
            (Step::Note(_), Outcome::Committed(_)) => {
                self.noted_at = now;
                self.step = Step::Follow(Log::New);
            }
            (Step::Note(_), _) => {
                self.noted_at = now;
                self.step = Step::Follow(Log::New);
                self.not_before = now + PAUSE;
            }
            _ => self.not_before = now + PAUSE,
        }
        self.proceed(now, actions);
    }

    fn start(&mut self, now: Duration, rows: &[Row]) {
        let position = rows.first().map(escrow::parse::<Position>);
        let position = position.and_then(Result::ok).flatten().unwrap_or_default();
        self.new_after = position.from;
        self.old_after = position.from;
        self.noted_at = now;
        self.step = Step::Follow(Log::New);
    }

    /// Takes a page of a log; refunds come before the next page.
    fn follow(&mut self, now: Duration, log: Log, rows: &[Row], through: Revision) {
        for row in rows {
            match log {
                Log::New => self.read_segment(row),
                Log::Old => self.read_charge(row),
            }
        }
        match log {
            Log::New => self.new_after = through,
            Log::Old => self.old_after = through,
        }
        if !self.refunds.is_empty() {
            self.step = Step::Look;
            return;
        }
        self.step = match log {
            Log::New if !rows.is_empty() => Step::Follow(Log::New),
            Log::New => Step::Follow(Log::Old),
            Log::Old if !rows.is_empty() => Step::Follow(Log::Old),
            Log::Old if now >= self.noted_at + NOTE_EVERY => Step::Mark,
            Log::Old => Step::Follow(Log::New),
        };
        if rows.is_empty() && log == Log::Old {
            self.not_before = now + IDLE;
        }
    }

    fn read_segment(&mut self, row: &Row) {
        let Ok(Some(segment)) = escrow::parse::<Segment>(row) else {
            return;
        };
        for (index, charge) in segment.charges.into_iter().enumerate() {
            let place = Place { revision: row.revision, index };
            if self.window.add(place, &charge) {
                self.refunds.push_back(Due { charge, place });
            }
        }
    }

    fn read_charge(&mut self, row: &Row) {
        let Ok(Some(charge)) = escrow::parse::<Charge>(row) else {
            return;
        };
        if let Some((charge, place)) = self.window.add_old(row.revision, &charge) {
            self.refunds.push_back(Due { charge, place });
        }
    }

    /// Writes the first refund, unless it was written before.
    fn look(&mut self, rows: &[Row], actions: &mut Vec<Action>) {
        let (Some(due), [refund_row, escrow_row]) = (self.refunds.front(), rows) else {
            self.step = Step::Look;
            return;
        };
        let (Ok(refund), Ok(escrow)) =
            (escrow::parse::<Refund>(refund_row), escrow::parse::<Escrow>(escrow_row))
        else {
            self.refunds.pop_front();
            return;
        };
        let (mut refund, mut escrow) = (refund.unwrap_or_default(), escrow.unwrap_or_default());
        let place = due.place.name();
        if refund.charges.contains_key(&place) {
            self.refunds.pop_front();
            return;
        }
        refund.charges.insert(place, due.charge.tokens);
        escrow.refunded += due.charge.tokens;
        let mut txn = Txn::default();
        txn.put(refund_row, &refund);
        txn.put(escrow_row, &escrow);
        self.step = Step::Commit;
        self.send(Op::Commit(txn), actions);
    }

    /// Returns the number of requests that the fold has in mind.
    pub fn tracked_requests(&self) -> usize {
        self.window.len()
    }
}
