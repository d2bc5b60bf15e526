//! Tokens that this process holds, and the requests that they are set aside for.
//!
//! A reservation is taken from what is available here, copied to the journal's ensemble, and may
//! then be dispatched. Tokens come from the table in transactions that name the holder's next
//! grant number, or from other holders when the table can't be reached or has none left.

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

/// Time that a reservation waits for tokens, or for the journal.
const RESERVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Reservations of one budget that may wait.
const WAITING_LIMIT: usize = 1024;

/// Time between checks of whether holdings suit the use of a budget.
const CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// When to come back if the budget is used up.
const RETRY_EXHAUSTED: Duration = Duration::from_secs(30);

/// When to come back if tokens can't be had here at the moment.
const RETRY_UNREACHABLE: Duration = Duration::from_secs(5);

/// When to come back, or go to another host, if this process takes no requests.
const RETRY_ELSEWHERE: Duration = Duration::from_secs(1);

/// What follows when a journal entry is durable.
#[derive(Debug)]
enum Deferred {
    /// The request may be dispatched.
    Confirm(request::Id),
    /// The tokens may be sent.
    Transfer(u64),
    /// The receipt of a transfer may be acknowledged to a host.
    Acknowledge { to: Arc<str>, number: u64 },
    /// The budget may be asked for at the table.
    BudgetJournaled(Arc<str>),
    /// The tokens may be used without a copy of the journal.
    Allowance { budget: Arc<str>, tokens: u64 },
    /// The entry came through [`Holder::append`].
    Report,
}

/// Life of a holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Not yet in the table.
    Unregistered,
    /// In the table.
    Registered,
    /// Closed after everything was given back.
    Drained,
    /// Recovered by another host.
    Fenced,
}

/// Tokens held by this process.
#[derive(Debug)]
pub struct Holder {
    settings: Settings,
    random: StdRng,
    phase: Phase,
    draining: bool,
    first_tick: Option<Duration>,
    epoch: u64,
    segment: u64,
    journal: Writer,
    deferred: BTreeMap<u64, Deferred>,
    reported_through: u64,
    accounts: BTreeMap<Arc<str>, Box<Account>>,
    reservations: BTreeMap<request::Id, Reservation>,
    deadlines: BTreeSet<(Duration, request::Id)>,
    last_sequence: u64,
    checks: BTreeSet<(Duration, Arc<str>)>,
    /// Budgets that need the table, those with waiting reservations first.
    due: BTreeSet<(bool, u64, Arc<str>)>,
    due_keys: BTreeMap<Arc<str>, (bool, u64)>,
    /// Tokens are set aside for use without a copy of the journal.
    underreplicated: bool,
    unflushed: VecDeque<round::UnflushedCharge>,
    flush: Option<Flush>,
    round: Option<Round>,
    /// The ensemble is to be looked at before the next round.
    ensemble_check_due: bool,
    backoff: round::Backoff,
    last_operation: u64,
    peers: Vec<Peer>,
    asking: BTreeSet<Arc<str>>,
    asked_at: Duration,
    outgoing: BTreeMap<u64, Outgoing>,
    last_transfer: u64,
    incoming: BTreeSet<u64>,
    /// What is still to be written after the holder was fenced.
    fenced_work: Option<fenced::FencedWork>,
}

impl Holder {
    /// Opens a holder that holds nothing yet; it registers with the table at the first ticks.
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

    /// Returns the process that holds the tokens.
    pub fn id(&self) -> &message::Holder {
        &self.settings.id
    }

    /// Returns the tokens of a budget that may be reserved here.
    pub fn available(&self, budget: &str) -> u64 {
        self.accounts.get(budget).map_or(0, |account| account.available)
    }

    /// Returns the tokens of a budget that are set aside for requests here.
    pub fn reserved(&self, budget: &str) -> u64 {
        self.accounts.get(budget).map_or(0, |account| account.reserved)
    }

    /// Returns whether the last operation on the table failed.
    pub fn is_platform_unreachable(&self) -> bool {
        self.backoff.is_failing()
    }

    /// Takes an event.
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
            Event::Message { from, message } => self.message(now, &from, message, actions),
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

    /// Appends an entry to the journal and returns its number; [`Action::Durable`] tells when it
    /// may be acted on. Returns `None` where the holder was fenced or drained.
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

    /// Sends what the journal owes, acts on what became durable and starts a round at the table.
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
            let (number, then) = first.remove_entry();
            match then {
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

    fn message(
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
        let (used, waits) = (account.usage.is_used(), !account.waiting.is_empty());
        if !std::mem::replace(&mut account.check_scheduled, true) {
            self.checks.insert((now + CHECK_INTERVAL, name.clone()));
        }
        if used || waits {
            self.enqueue(&name, waits);
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

    /// Compares the holdings of a budget with its use.
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
        let stale = account.pool.at.is_none_or(|at| now >= at + policy::POOL_REFRESH_INTERVAL);
        if stale || policy::needs_round(account, now) {
            self.enqueue(budget, false);
        }
        self.checks.insert((now + CHECK_INTERVAL, budget.clone()));
    }

    /// Puts a budget in the line for the table.
    fn enqueue(&mut self, budget: &Arc<str>, urgent: bool) {
        if let Some(&(later, turn)) = self.due_keys.get(budget) {
            if !(urgent && later) {
                return;
            }
            self.due.remove(&(later, turn, budget.clone()));
        }
        self.last_sequence += 1;
        self.due.insert((!urgent, self.last_sequence, budget.clone()));
        self.due_keys.insert(budget.clone(), (!urgent, self.last_sequence));
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

    /// Ends this holder: what it has belongs to whoever recovers it, but for late charges.
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
        let share: f64 = self.random.random_range(0.5..1.0);
        limit.mul_f64(share)
    }
}

fn refuse(request: request::Id, reason: Reason, retry_after: Duration, actions: &mut Vec<Action>) {
    actions.push(Action::Refused { request, reason, retry_after });
}
