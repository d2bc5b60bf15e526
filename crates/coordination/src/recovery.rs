//! Recovery of the tokens of a dead holder.
//!
//! The holder's row is marked as sealed, so that the holder gets no further grant and can't change
//! its ensemble. Then every copy of its journal is sealed, so that a holder that is alive after all
//! gets no more reservations acknowledged and can dispatch nothing more except from an allowance,
//! which it had set aside before. Only after that are its reservations charged and the remaining
//! tokens returned. A lost copy may have had entries that the others lack, so the remaining tokens
//! are then stranded instead.

mod event;
mod job;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng, rngs::StdRng};

pub use self::event::{Action, Event, Report};
use self::job::Job;
use crate::{
    escrow::{self, Registration, State},
    journal::PendingTransfer,
    message::{Holder, Message},
    table::{Op, Outcome},
};

/// Longest random delay before a recovery starts, so that one of the many processes that notice a
/// dead holder does the work.
const MAX_START_DELAY: Duration = Duration::from_secs(1);

/// Time between repeats of a transfer of a dead holder.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// Number of times that a transfer of a dead holder is repeated.
const MAX_RESENDS: u32 = 600;

/// Rows in one page of the scan for earlier processes.
const SWEEP_PAGE_ROWS: u32 = 64;

/// Delay until a page that couldn't be read is read again.
const SWEEP_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Recovers dead holders.
#[derive(Debug)]
pub struct Recovery {
    random: StdRng,
    /// Recoveries in progress, by dead holder.
    jobs: BTreeMap<Holder, Job>,
    /// Dead holder that each operation in progress on the table belongs to.
    operations: BTreeMap<u64, Holder>,
    /// Number of the last operation.
    operation: u64,
    transfers: BTreeMap<u64, Resend>,
    /// Last incarnation of each host that is known to be gone.
    gone: BTreeMap<Arc<str>, u64>,
    sweep: Sweep,
}

/// Scan for earlier processes of this host, which are dead because this one runs.
#[derive(Debug)]
struct Sweep {
    host: Arc<str>,
    incarnation: u64,
    /// Key of the last row that was read.
    after: Arc<str>,
    /// Time to read the next page; `None` once all pages were read.
    at: Option<Duration>,
    /// Number of the operation in progress.
    id: Option<u64>,
}

/// A transfer that is repeated on behalf of its dead sender.
#[derive(Debug)]
struct Resend {
    sent: PendingTransfer,
    at: Duration,
    times: u32,
}

impl Recovery {
    /// Creates a recovery at the process `id`; `seed` spreads its starts and retries.
    pub fn new(id: Holder, seed: u64) -> Self {
        let (host, incarnation) = split_id(&id);
        Self {
            random: StdRng::seed_from_u64(seed),
            jobs: BTreeMap::new(),
            operations: BTreeMap::new(),
            operation: 0,
            transfers: BTreeMap::new(),
            gone: BTreeMap::new(),
            sweep: Sweep {
                host,
                incarnation,
                after: Arc::from(""),
                at: Some(Duration::ZERO),
                id: None,
            },
        }
    }

    /// Returns whether a holder is being recovered here.
    pub fn is_busy(&self) -> bool {
        !self.jobs.is_empty()
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Dead(holder) => self.start_job(now, holder),
            Event::Gone(process) => self.mark_gone(&process),
            Event::Message { from, message } => self.handle_message(now, &from, message),
            Event::Table { id, outcome } if self.sweep.id == Some(id) => self.on_page(now, outcome),
            Event::Table { id, outcome } => {
                let Some(holder) = self.operations.remove(&id) else {
                    return;
                };
                let jitter = self.random.random_range(0.5..1.0);
                if let Some(job) = self.jobs.get_mut(&holder) {
                    job.handle_table(now, outcome, jitter);
                }
            }
            Event::Usage { request, tokens } => {
                for job in self.jobs.values_mut() {
                    job.record_usage(request, tokens);
                }
            }
            Event::Tick => {
                self.repeat_transfers(now, actions);
                self.sweep(now, actions);
            }
        }
        self.advance(now, actions);
    }

    fn start_job(&mut self, now: Duration, holder: Holder) {
        if self.jobs.contains_key(&holder) {
            return;
        }
        let wait = MAX_START_DELAY.mul_f64(self.random.random_range(0.0..1.0));
        self.jobs.insert(holder.clone(), Job::new(holder, now + wait));
    }

    /// Reads the next page of the holder rows of this host.
    fn sweep(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.sweep.id.is_some() || self.sweep.at.is_none_or(|at| now < at) {
            return;
        }
        self.operation += 1;
        self.sweep.id = Some(self.operation);
        let prefix = Arc::from(format!("{}{}.", escrow::HOLDER_PREFIX, self.sweep.host));
        let op = Op::Scan { prefix, after: self.sweep.after.clone(), limit: SWEEP_PAGE_ROWS };
        actions.push(Action::Table { id: self.operation, op });
    }

    /// Handles a page: starts the recovery of each earlier process that isn't closed.
    fn on_page(&mut self, now: Duration, outcome: Outcome) {
        self.sweep.id = None;
        let Outcome::Rows(rows) = outcome else {
            self.sweep.at = Some(now + SWEEP_RETRY_DELAY);
            return;
        };
        self.sweep.at = (rows.len() == SWEEP_PAGE_ROWS as usize).then_some(now);
        for row in rows {
            self.sweep.after = row.key.clone();
            let open = escrow::parse::<Registration>(&row)
                .is_ok_and(|row| row.is_some_and(|row| row.state != State::Closed));
            let Some(holder) = row.key.strip_prefix(escrow::HOLDER_PREFIX) else {
                continue;
            };
            if open && split_id(holder).1 < self.sweep.incarnation {
                self.start_job(now, Arc::from(holder));
            }
        }
    }

    fn mark_gone(&mut self, process: &Holder) {
        let (host, incarnation) = split_id(process);
        let last = self.gone.entry(host).or_insert(incarnation);
        *last = incarnation.max(*last);
        self.transfers.retain(|_, repeat| repeat.sent.to != *process);
    }

    fn handle_message(&mut self, now: Duration, from: &Holder, message: Message) {
        match message {
            Message::Sealed(copy) => {
                if let Some(job) = self.jobs.get_mut(&copy.holder) {
                    job.record_copy(now, from, &copy);
                }
            }
            Message::TransferAck { number } => {
                self.transfers.retain(|held, repeat| *held != number || repeat.sent.to != *from);
            }
            _ => {}
        }
    }

    /// Advances all recoveries; reports the finished ones and takes over their transfers.
    fn advance(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let mut finished = Vec::new();
        for (holder, job) in &mut self.jobs {
            job.mark_lost(|process| {
                let (host, incarnation) = split_id(process);
                self.gone.get(&host).is_some_and(|last| incarnation <= *last)
            });
            if let Some(op) = job.advance(now, actions) {
                self.operation += 1;
                self.operations.insert(self.operation, holder.clone());
                actions.push(Action::Table { id: self.operation, op });
            }
            if job.is_finished() {
                finished.push(holder.clone());
            }
        }
        for holder in finished {
            let Some(job) = self.jobs.remove(&holder) else {
                continue;
            };
            for (number, sent) in job.transfers() {
                self.transfers.insert(number, Resend { sent, at: now, times: 0 });
            }
            if let Some(report) = job.into_report() {
                actions.push(Action::Closed(report));
            }
        }
    }

    fn repeat_transfers(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.transfers.retain(|_, repeat| repeat.times < MAX_RESENDS);
        for (number, repeat) in &mut self.transfers {
            if now < repeat.at {
                continue;
            }
            repeat.at = now + RESEND_INTERVAL;
            repeat.times += 1;
            let message = Message::Transfer {
                number: *number,
                to: repeat.sent.to.clone(),
                budget: repeat.sent.budget.clone(),
                tokens: repeat.sent.tokens,
            };
            actions.push(Action::Send { to: host_of(&repeat.sent.to), message });
        }
    }
}

/// Returns the host and the incarnation of a process, `host.incarnation`.
fn split_id(holder: &str) -> (Arc<str>, u64) {
    let (host, incarnation) = holder.rsplit_once('.').unwrap_or((holder, ""));
    (Arc::from(host), incarnation.parse().unwrap_or(0))
}

/// Returns the host of a process.
fn host_of(holder: &str) -> Arc<str> {
    split_id(holder).0
}
