//! Tokens that this process holds, and their reservations for requests.
//!
//! A reservation takes available tokens and is copied to the journal's ensemble; the request may be
//! dispatched once that entry is durable. Tokens come from the table, in transactions that contain
//! the holder's next grant number, or from other holders when the table can't be reached or has
//! none left.

mod account;
mod allowance;
mod event;
mod fenced;
mod observe;
mod plan;
mod policy;
mod reserve;
mod round;
mod transfer;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::StdRng};

pub use self::event::{Action, Event, Note, Peer, Reason, Reserve, Settings};
use self::{
    account::{Account, BudgetConfig, Reservation, Stage},
    round::{Flush, Round},
    transfer::Outgoing,
};
use crate::{
    journal::Writer,
    message::{self, Entry, Message},
    record,
    request::{self, Class},
};

/// Longest time that a reservation waits for tokens, and again for its journal entry.
const RESERVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of reservations of one budget that wait for tokens.
const WAITING_LIMIT: usize = 1024;

/// Time between checks of the holdings of a budget against its usage.
const CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// Retry delay for a caller if the budget is used up.
const RETRY_EXHAUSTED: Duration = Duration::from_secs(30);

/// Retry delay for a caller if the platform can't be reached for more tokens.
const RETRY_UNREACHABLE: Duration = Duration::from_secs(5);

/// Retry delay for a caller if this process can't take the request, so that another host may.
const RETRY_ELSEWHERE: Duration = Duration::from_secs(1);

/// Work that waits until a journal entry is durable.
#[derive(Debug)]
enum Deferred {
    /// Lets a request be dispatched.
    Confirm(request::Id),
    /// Sends the tokens of a transfer, by its number.
    Transfer(u64),
    /// Acknowledges the receipt of a transfer to the host `to`.
    Acknowledge { to: Arc<str>, number: u64 },
    /// Lets tokens of the budget be requested from the table.
    BudgetJournaled(Arc<str>),
    /// Adds tokens to the allowance; see [`allowance`].
    Allowance { budget: Arc<str>, tokens: u64 },
    /// Reports an entry of [`Holder::append`] by [`Action::Durable`].
    Report,
}

/// Lifecycle of a holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Has no row in the table yet.
    Unregistered,
    /// Has a row in the table.
    Registered,
    /// Ended; all tokens were returned.
    Drained,
    /// Recovered by another host; only charges and returns are still written.
    Fenced,
}

/// Tokens that this process holds, by budget, and their reservations.
#[derive(Debug)]
pub struct Holder {
    settings: Settings,
    random: StdRng,
    phase: Phase,
    draining: bool,
    first_tick: Option<Duration>,
    /// Number of ensemble changes, as last seen in the table.
    epoch: u64,
    /// Number of the last ledger segment known to be in the table.
    segment: u64,
    journal: Writer,
    /// Deferred work, by number of the journal entry.
    deferred: BTreeMap<u64, Deferred>,
    /// Last entry number of an [`Action::Durable`].
    reported_through: u64,
    accounts: BTreeMap<Arc<str>, Box<Account>>,
    reservations: BTreeMap<request::Id, Reservation>,
    deadlines: BTreeSet<(Duration, request::Id)>,
    /// Last number given to a waiting reservation or a due budget, so that they keep their order.
    last_sequence: u64,
    /// Next check of the holdings of each budget.
    checks: BTreeSet<(Duration, Arc<str>)>,
    /// Budgets to be included in a round: those with waiting reservations (`false`) first, then by
    /// sequence number.
    due: BTreeSet<(bool, u64, Arc<str>)>,
    /// Position of each budget in `due`.
    due_keys: BTreeMap<Arc<str>, (bool, u64)>,
    /// Allowances are in effect, since the journal has too few replicas; see [`allowance`].
    underreplicated: bool,
    /// Charges to be written with later segments, oldest first.
    unflushed: VecDeque<round::UnflushedCharge>,
    flush: Option<Flush>,
    round: Option<Round>,
    /// The next round checks whether the ensemble has to change.
    ensemble_check_due: bool,
    backoff: round::Backoff,
    last_operation: u64,
    /// Other processes, in the order in which they are asked for tokens.
    peers: Vec<Peer>,
    /// Budgets for which peers are asked for tokens.
    asking: BTreeSet<Arc<str>>,
    asked_at: Duration,
    /// Transfers that the receiver has not acknowledged, by number.
    outgoing: BTreeMap<u64, Outgoing>,
    last_transfer: u64,
    /// Numbers of the transfers received.
    incoming: BTreeSet<u64>,
    /// What a fenced holder still has to write; `None` in other phases.
    fenced_work: Option<fenced::FencedWork>,
}

impl Holder {
    /// Creates a holder without tokens; it registers in the table after its first tick.
    pub fn new(settings: Settings) -> Self {
        Self {
            random: StdRng::seed_from_u64(settings.seed),
            journal: Writer::new(settings.id.clone(), settings.zone.clone()),
            settings,
            phase: Phase::Unregistered,
            draining: false,
            first_tick: None,
            epoch: 0,
            segment: 0,
            deferred: BTreeMap::new(),
            reported_through: 0,
            accounts: BTreeMap::new(),
            reservations: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            last_sequence: 0,
            checks: BTreeSet::new(),
            due: BTreeSet::new(),
            due_keys: BTreeMap::new(),
            underreplicated: false,
            unflushed: VecDeque::new(),
            flush: None,
            round: None,
            ensemble_check_due: true,
            backoff: round::Backoff::default(),
            last_operation: 0,
            peers: Vec::new(),
            asking: BTreeSet::new(),
            asked_at: Duration::ZERO,
            outgoing: BTreeMap::new(),
            last_transfer: 0,
            incoming: BTreeSet::new(),
            fenced_work: None,
        }
    }

    /// Returns the id of this process.
    pub fn id(&self) -> &message::Holder {
        &self.settings.id
    }

    /// Returns the tokens of a budget that may be reserved here.
    pub fn available(&self, budget: &str) -> u64 {
        self.accounts.get(budget).map_or(0, |account| account.available)
    }

    /// Returns the tokens of a budget that are reserved for requests here.
    pub fn reserved(&self, budget: &str) -> u64 {
        self.accounts.get(budget).map_or(0, |account| account.reserved)
    }

    /// Returns whether the last operation on the table failed.
    pub fn is_platform_unreachable(&self) -> bool {
        self.backoff.is_failing()
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match self.phase {
            Phase::Fenced => return self.handle_fenced(now, event, actions),
            Phase::Drained => return self.handle_closed(event, actions),
            Phase::Unregistered | Phase::Registered => {}
        }
        match event {
            Event::Reserve(reserve) => self.reserve(now, reserve, actions),
            Event::Settle { request, tokens } => self.settle(now, request, tokens, actions),
            Event::Release { request } => self.release(now, request, actions),
            Event::Message { from, message } => self.handle_message(now, &from, message, actions),
            Event::Table { id, outcome } => self.handle_table(now, id, outcome, actions),
            Event::Budget(budget) => self.set_budget(now, budget),
            Event::BudgetDeleted(name) => self.delete_budget(&name),
            Event::Peers(peers) => self.set_peers(peers),
            Event::Tick => self.tick(now, actions),
            Event::Drain => self.drain(actions),
        }
        self.advance(now, actions);
    }

    fn handle_fenced(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Settle { request, tokens } => self.settle_fenced(request, tokens),
            Event::Release { request } => self.settle_fenced(request, 0),
            Event::Table { id, outcome } => self.handle_fenced_table(now, id, outcome, actions),
            Event::Drain => self.draining = true,
            event => self.handle_closed(event, actions),
        }
        self.advance_fenced(now, actions);
    }

    /// Handles an event of a holder that ended or was fenced: refuses reservations. A drained one
    /// acknowledges repeats of transfers that it has received.
    fn handle_closed(&mut self, event: Event, actions: &mut Vec<Action>) {
        let reserve = match event {
            Event::Reserve(reserve) => reserve,
            Event::Message { from, message: Message::Transfer { number, .. } }
                if self.phase == Phase::Drained && self.incoming.contains(&number) =>
            {
                let message = Message::TransferAck { number };
                actions.push(Action::Send { to: transfer::host_of(&from), message });
                return;
            }
            _ => return,
        };
        let reason = if self.draining { Reason::Draining } else { Reason::Fenced };
        refuse(reserve.request, reason, RETRY_ELSEWHERE, actions);
    }

    /// Appends an entry to the journal and returns its number; [`Action::Durable`] reports when it
    /// may be acted on. Returns `None` if the holder was fenced or drained.
    pub fn append(
        &mut self,
        now: Duration,
        entry: Entry,
        actions: &mut Vec<Action>,
    ) -> Option<u64> {
        if matches!(self.phase, Phase::Fenced | Phase::Drained) {
            return None;
        }
        let number = self.journal.append(entry);
        self.deferred.insert(number, Deferred::Report);
        self.advance(now, actions);
        Some(number)
    }

    /// Sends journal entries to the ensemble, runs the work of entries that became durable, and
    /// starts a round at the table if one is needed.
    fn advance(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if matches!(self.phase, Phase::Fenced | Phase::Drained) {
            return;
        }
        self.journal.advance(now, actions);
        let durable = self.journal.durable();
        let mut report = None;
        while let Some(first) = self.deferred.first_entry()
            && *first.key() <= durable
        {
            let (number, deferred) = first.remove_entry();
            match deferred {
                Deferred::Confirm(request) => self.confirm(request, actions),
                Deferred::Transfer(number) => self.send_transfer(now, number, actions),
                Deferred::Acknowledge { to, number } => {
                    let message = Message::TransferAck { number };
                    actions.push(Action::Send { to, message });
                }
                Deferred::BudgetJournaled(budget) => self.budget_journaled(&budget),
                Deferred::Allowance { budget, tokens } => self.add_allowance(&budget, tokens),
                Deferred::Report => report = Some(number),
            }
        }
        self.use_allowance(now, actions);
        if let Some(through) = report
            && through > self.reported_through
        {
            self.reported_through = through;
            actions.push(Action::Durable { through });
        }
        self.start_round(now, actions);
    }

    fn handle_message(
        &mut self,
        now: Duration,
        from: &message::Holder,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        match message {
            Message::Appended { holder, through } if holder == self.settings.id => {
                self.journal.acknowledge(now, from, through);
            }
            Message::AppendRefused { holder } if holder == self.settings.id => {
                self.fence(actions);
            }
            Message::TransferAsk { budget, tokens, class } => {
                self.answer_ask(now, from, &budget, tokens, class);
            }
            Message::Transfer { number, to, budget, tokens } if to == self.settings.id => {
                self.receive_transfer(now, from, number, &budget, tokens, actions);
            }
            Message::TransferAck { number } => self.finish_transfer(from, number),
            _ => {}
        }
    }

    fn set_budget(&mut self, now: Duration, budget: record::Budget) {
        let record::Budget { name, urgent_floor, ledger, .. } = budget;
        let account = self.accounts.entry(name.clone()).or_default();
        account.config = Some(BudgetConfig { urgent_floor, ledger });
        let (used, has_waiting) = (account.usage.is_used(), !account.waiting.is_empty());
        if !std::mem::replace(&mut account.check_scheduled, true) {
            self.checks.insert((now + CHECK_INTERVAL, name.clone()));
        }
        if used || has_waiting {
            self.enqueue(&name, has_waiting);
        }
    }

    fn delete_budget(&mut self, name: &Arc<str>) {
        if let Some(account) = self.accounts.get_mut(name) {
            account.config = None;
            self.enqueue(name, false);
        }
    }

    fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.first_tick.get_or_insert(now);
        self.expire(now, actions);
        self.check_replication(now);
        self.ensemble_check_due = true;
        while let Some((at, budget)) = self.checks.first().cloned()
            && at <= now
        {
            self.checks.remove(&(at, budget.clone()));
            self.check_holdings(now, &budget);
        }
        self.repeat_asks(now, actions);
        self.resend_transfers(now, actions);
    }

    /// Enqueues a budget whose holdings no longer fit its usage or whose figures are outdated, and
    /// schedules the next check.
    fn check_holdings(&mut self, now: Duration, budget: &Arc<str>) {
        if self.underreplicated {
            self.raise_allowance(now, budget);
        }
        let Some(account) = self.accounts.get_mut(budget) else {
            return;
        };
        if account.available == 0 && account.usage.rate(now) == 0.0 {
            self.checks.insert((now + CHECK_INTERVAL, budget.clone()));
            return;
        }
        policy::update_urgent_need(account, now, self.backoff.outage(now));
        let stale = account.pool.read_at.is_none_or(|at| now >= at + policy::POOL_REFRESH_INTERVAL);
        if stale || policy::needs_round(account, now) {
            self.enqueue(budget, false);
        }
        self.checks.insert((now + CHECK_INTERVAL, budget.clone()));
    }

    /// Queues a budget for a round at the table, ahead of others if reservations wait for it.
    fn enqueue(&mut self, budget: &Arc<str>, has_waiting: bool) {
        if let Some(&(later, sequence)) = self.due_keys.get(budget) {
            if !(has_waiting && later) {
                return;
            }
            self.due.remove(&(later, sequence, budget.clone()));
        }
        self.last_sequence += 1;
        self.due.insert((!has_waiting, self.last_sequence, budget.clone()));
        self.due_keys.insert(budget.clone(), (!has_waiting, self.last_sequence));
    }

    fn drain(&mut self, actions: &mut Vec<Action>) {
        if self.draining {
            return;
        }
        self.draining = true;
        let waiting = |reservation: &Reservation| matches!(reservation.stage, Stage::Waiting(_));
        let requests: Vec<request::Id> = self
            .reservations
            .iter()
            .filter(|(_, reservation)| waiting(reservation))
            .map(|(request, _)| *request)
            .collect();
        for request in requests {
            self.remove_reservation(request);
            refuse(request, Reason::Draining, RETRY_ELSEWHERE, actions);
        }
        let budgets: Vec<Arc<str>> = self.accounts.keys().cloned().collect();
        for budget in budgets {
            if let Some(account) = self.accounts.get_mut(&budget) {
                account.waiting.clear();
                account.waiting_tokens = 0;
            }
            self.enqueue(&budget, false);
        }
        self.asking.clear();
    }

    /// Ends normal operation after another host began to recover this holder. Reservations that may
    /// already have been dispatched stay, so that their charges can still be written.
    fn fence(&mut self, actions: &mut Vec<Action>) {
        self.phase = Phase::Fenced;
        self.reservations.retain(|request, reservation| {
            let open = reservation.stage == Stage::Open;
            if !open {
                refuse(*request, Reason::Fenced, RETRY_ELSEWHERE, actions);
            }
            open
        });
        self.accounts.clear();
        self.start_fenced_work();
        self.deferred.clear();
        self.deadlines.clear();
        self.round = None;
        actions.push(Action::Fenced);
    }

    fn jitter(&mut self, limit: Duration) -> Duration {
        let factor: f64 = self.random.random_range(0.5..1.0);
        limit.mul_f64(factor)
    }
}

fn refuse(request: request::Id, reason: Reason, retry_after: Duration, actions: &mut Vec<Action>) {
    actions.push(Action::Refused { request, reason, retry_after });
}
