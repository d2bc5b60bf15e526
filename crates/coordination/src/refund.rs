//! Refunds of repeated charges for one request.
//!
//! The same idempotent request may be served in two zones that can't reach each other, or again
//! after its first router died. The [`Refunder`] reads the ledger in commit order, tracks the
//! requests of a window, and refunds every charge of a request except the first. A charge in the
//! old ledger counts as the first regardless of the order, since it can't be written twice.

mod window;

use std::{collections::VecDeque, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use self::window::{ChargeLocation, Window};
use crate::{
    escrow::{self, Escrow},
    ledger::{self, Charge, Refund, Segment},
    table::{Op, Outcome, Revision, Row, Txn},
};

/// Key of the row that stores the position up to which the ledger was read.
pub const POSITION_KEY: &str = "fold/position";

/// Maximum number of rows per read.
const ROWS_PER_READ: u32 = 64;

/// Interval between reads once the end of the ledger is reached.
const IDLE_INTERVAL: Duration = Duration::from_secs(2);

/// Delay after an operation that failed or conflicted.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Interval between writes of the position.
const POSITION_INTERVAL: Duration = Duration::from_secs(60);

/// Event for a [`Refunder`].
#[derive(Debug)]
pub enum Event {
    /// Answer to [`Action::Table`].
    Table {
        /// Number of the request.
        id: u64,
        /// Outcome of the request.
        outcome: Outcome,
    },
    /// The next operation may be due; sent only while this host is the one that issues refunds.
    Tick,
}

/// Action requested by a [`Refunder`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Sends a request to the table.
    Table {
        /// Number of the request.
        id: u64,
        /// Request to send.
        op: Op,
    },
}

/// Position up to which the ledger was read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Position {
    /// Revision from which a reader has to start to rebuild the window.
    from: Revision,
}

/// Log of charges: in the new or the old ledger.
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

/// Operation that is sent next or whose outcome is awaited.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Step {
    /// Reads the position to start from.
    ReadStart,
    /// Reads the next page of a log.
    ReadLog(Log),
    /// Reads the rows that the first pending refund changes.
    ReadRefund,
    /// Commits the first pending refund.
    CommitRefund,
    /// Reads the row that stores the position.
    ReadPosition,
    /// Writes the position.
    WritePosition(Row),
}

/// Reads the ledger in commit order and refunds repeated charges.
#[derive(Debug)]
pub struct Refunder {
    step: Step,
    last_id: u64,
    awaited_id: Option<u64>,
    not_before: Duration,
    position_written_at: Duration,
    new_after: Revision,
    old_after: Revision,
    window: Window,
    refunds: VecDeque<PendingRefund>,
}

/// Refund that is not written yet.
#[derive(Debug)]
struct PendingRefund {
    charge: Charge,
    location: ChargeLocation,
}

impl Refunder {
    /// Creates a refunder that resumes from the position stored in the table.
    pub fn resume() -> Self {
        Self {
            step: Step::ReadStart,
            last_id: 0,
            awaited_id: None,
            not_before: Duration::ZERO,
            position_written_at: Duration::ZERO,
            new_after: 0,
            old_after: 0,
            window: Window::default(),
            refunds: VecDeque::new(),
        }
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => self.send_next(now, actions),
            Event::Table { id, outcome } if self.awaited_id == Some(id) => {
                self.awaited_id = None;
                self.handle_outcome(now, outcome, actions);
            }
            Event::Table { .. } => {}
        }
    }

    /// Sends the next operation.
    fn send_next(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.awaited_id.is_some() || now < self.not_before {
            return;
        }
        let op = match &self.step {
            Step::ReadStart | Step::ReadPosition => Op::Read(vec![Arc::from(POSITION_KEY)]),
            Step::ReadLog(log) => Op::Changes {
                prefix: Arc::from(log.prefix()),
                after: if *log == Log::New { self.new_after } else { self.old_after },
                limit: ROWS_PER_READ,
            },
            Step::ReadRefund | Step::CommitRefund => {
                let Some(pending) = self.refunds.front() else {
                    self.step = Step::ReadLog(Log::New);
                    return;
                };
                self.step = Step::ReadRefund;
                let Charge { budget, request, .. } = &pending.charge;
                Op::Read(vec![ledger::refund_key(budget, *request), escrow::escrow_key(budget)])
            }
            Step::WritePosition(row) => {
                let mut txn = Txn::default();
                let from =
                    self.window.start_revision().unwrap_or(self.new_after.min(self.old_after));
                txn.put(row, &Position { from });
                Op::Commit(txn)
            }
        };
        self.send(op, actions);
    }

    fn send(&mut self, op: Op, actions: &mut Vec<Action>) {
        self.last_id += 1;
        self.awaited_id = Some(self.last_id);
        actions.push(Action::Table { id: self.last_id, op });
    }

    fn handle_outcome(&mut self, now: Duration, outcome: Outcome, actions: &mut Vec<Action>) {
        match (self.step.clone(), outcome) {
            (Step::ReadStart, Outcome::Rows(rows)) => self.apply_start(now, &rows),
            (Step::ReadPosition, Outcome::Rows(rows)) => {
                let row = rows.into_iter().next();
                self.step = row.map_or(Step::ReadLog(Log::New), Step::WritePosition);
            }
            (Step::ReadLog(log), Outcome::Changes { rows, through }) => {
                self.handle_page(now, log, &rows, through);
            }
            (Step::ReadRefund, Outcome::Rows(rows)) => {
                self.commit_refund(&rows, actions);
                return;
            }
            (Step::CommitRefund, Outcome::Committed(_)) => {
                self.refunds.pop_front();
                self.step = Step::ReadRefund;
            }
            (Step::WritePosition(_), Outcome::Committed(_)) => {
                self.position_written_at = now;
                self.step = Step::ReadLog(Log::New);
            }
            (Step::WritePosition(_), _) => {
                self.position_written_at = now;
                self.step = Step::ReadLog(Log::New);
                self.not_before = now + RETRY_DELAY;
            }
            _ => self.not_before = now + RETRY_DELAY,
        }
        self.send_next(now, actions);
    }

    fn apply_start(&mut self, now: Duration, rows: &[Row]) {
        let position = rows.first().map(escrow::parse::<Position>);
        let position = position.and_then(Result::ok).flatten().unwrap_or_default();
        self.new_after = position.from;
        self.old_after = position.from;
        self.position_written_at = now;
        self.step = Step::ReadLog(Log::New);
    }

    /// Handles a page of a log. Its refunds are written before the next page is read.
    fn handle_page(&mut self, now: Duration, log: Log, rows: &[Row], through: Revision) {
        for row in rows {
            match log {
                Log::New => self.add_segment(row),
                Log::Old => self.add_old_charge(row),
            }
        }
        match log {
            Log::New => self.new_after = through,
            Log::Old => self.old_after = through,
        }
        if !self.refunds.is_empty() {
            self.step = Step::ReadRefund;
            return;
        }
        self.step = match log {
            Log::New if !rows.is_empty() => Step::ReadLog(Log::New),
            Log::New => Step::ReadLog(Log::Old),
            Log::Old if !rows.is_empty() => Step::ReadLog(Log::Old),
            Log::Old if now >= self.position_written_at + POSITION_INTERVAL => Step::ReadPosition,
            Log::Old => Step::ReadLog(Log::New),
        };
        if rows.is_empty() && log == Log::Old {
            self.not_before = now + IDLE_INTERVAL;
        }
    }

    fn add_segment(&mut self, row: &Row) {
        let Ok(Some(segment)) = escrow::parse::<Segment>(row) else {
            return;
        };
        for (index, charge) in segment.charges.into_iter().enumerate() {
            let location = ChargeLocation { revision: row.revision, index };
            if self.window.add(location, &charge) {
                self.refunds.push_back(PendingRefund { charge, location });
            }
        }
    }

    fn add_old_charge(&mut self, row: &Row) {
        let Ok(Some(charge)) = escrow::parse::<Charge>(row) else {
            return;
        };
        if let Some((charge, location)) = self.window.add_old_charge(row.revision, &charge) {
            self.refunds.push_back(PendingRefund { charge, location });
        }
    }

    /// Commits the first pending refund, unless it was written before.
    fn commit_refund(&mut self, rows: &[Row], actions: &mut Vec<Action>) {
        let (Some(pending), [refund_row, escrow_row]) = (self.refunds.front(), rows) else {
            self.step = Step::ReadRefund;
            return;
        };
        let (Ok(refund), Ok(escrow)) =
            (escrow::parse::<Refund>(refund_row), escrow::parse::<Escrow>(escrow_row))
        else {
            self.refunds.pop_front();
            return;
        };
        let (mut refund, mut escrow) = (refund.unwrap_or_default(), escrow.unwrap_or_default());
        let location = pending.location.name();
        if refund.charges.contains_key(&location) {
            self.refunds.pop_front();
            return;
        }
        refund.charges.insert(location, pending.charge.tokens);
        escrow.refunded += pending.charge.tokens;
        let mut txn = Txn::default();
        txn.put(refund_row, &refund);
        txn.put(escrow_row, &escrow);
        self.step = Step::CommitRefund;
        self.send(Op::Commit(txn), actions);
    }

    /// Returns the number of requests in the window.
    pub fn tracked_requests(&self) -> usize {
        self.window.len()
    }
}
