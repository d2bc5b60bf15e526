//! Dispatcher of calls: asks the issuer of a ticket, dispatches once, reports the outcome.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use super::{
    Call, Caller, DispatchResult, DispatcherAction, DispatcherEvent, IssuerStatus,
    MAX_KEPT_BODY_BYTES, Outcome, RecoveredClaims, UnknownReason, report::Reports,
};
use crate::{
    message::{ClaimOutcome, Holder, Message, Verdict},
    request,
    ticket::Ticket,
};

/// Time between two tries to reach an issuer.
const ASK_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two tries to find a sealed journal.
const RECOVER_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which an issuer that has not answered counts as unreachable.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);

/// Greatest number of abandoned runs remembered.
const MAX_ABANDONED: usize = 65_536;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Waits for the issuer.
    Asking { give_up: Duration, busy: bool },
    /// Waits for the issuer's sealed journal.
    Recovering { give_up: Duration },
    /// Was dispatched.
    Running,
}

/// A ticket together with the call that it is used for. Calls that share a ticket but differ wait
/// apart, since only the issuer knows which of them the ticket belongs to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    ticket: Ticket,
    digest: [u8; 32],
}

#[derive(Debug)]
struct Waiting {
    run: request::Id,
    callers: Vec<Caller>,
    deadline: Duration,
    phase: Phase,
    next: Duration,
}

/// Runs calls with tickets that arrive at one host.
#[derive(Debug)]
pub struct Dispatcher {
    holder: Holder,
    runs: u64,
    calls: BTreeMap<Key, Waiting>,
    callers: BTreeMap<Caller, Key>,
    /// Runs that wait for a verdict.
    asking: BTreeMap<request::Id, Key>,
    running: BTreeMap<request::Id, Key>,
    reports: Reports,
    /// Runs that must not be dispatched any more.
    abandoned: BTreeMap<request::Id, Key>,
    abandoned_order: VecDeque<request::Id>,
    timers: BTreeSet<(Duration, Key)>,
}

impl Dispatcher {
    /// Opens a runner for a new holder.
    pub fn new(holder: impl Into<Holder>) -> Self {
        Self {
            holder: holder.into(),
            runs: 0,
            calls: BTreeMap::new(),
            callers: BTreeMap::new(),
            asking: BTreeMap::new(),
            running: BTreeMap::new(),
            reports: Reports::default(),
            abandoned: BTreeMap::new(),
            abandoned_order: VecDeque::new(),
            timers: BTreeSet::new(),
        }
    }

    /// Returns the time at which [`DispatcherEvent::Tick`] is due.
    pub fn wake_at(&self) -> Option<Duration> {
        let calls = self.timers.first().map(|(at, _)| *at);
        calls.into_iter().chain(self.reports.wake_at()).min()
    }

    /// Returns the number of dispatched runs that have not ended.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// Takes an event and pushes the actions that follow from it.
    pub fn handle(
        &mut self,
        now: Duration,
        event: DispatcherEvent,
        actions: &mut Vec<DispatcherAction>,
    ) {
        match event {
            DispatcherEvent::Call(call) => self.call(now, call, actions),
            DispatcherEvent::CallerLeft(caller) => self.leave(caller),
            DispatcherEvent::Reply { from, ticket, request, verdict } => {
                let ticket = Ticket { holder: from, number: ticket };
                self.reply(now, &ticket, request, verdict, actions);
            }
            DispatcherEvent::OutcomeAcked { from, ticket } => {
                self.reports.acked(&Ticket { holder: from, number: ticket });
            }
            DispatcherEvent::Unreachable(holder) => self.unreachable(&holder, actions),
            DispatcherEvent::Recovered(holder, recovered) => {
                self.recovered(&holder, &recovered, actions);
            }
            DispatcherEvent::DispatchEnded { run, result } => self.ended(now, run, result, actions),
            DispatcherEvent::Tick => self.tick(now, actions),
        }
    }

    fn call(&mut self, now: Duration, call: Call, actions: &mut Vec<DispatcherAction>) {
        if let Some(outcome) = self.reports.outcome(&call.ticket, &call.digest) {
            actions.push(DispatcherAction::Reply(call.caller, outcome));
            return;
        }
        let key = Key { ticket: call.ticket.clone(), digest: call.digest };
        if let Some(waiting) = self.calls.get_mut(&key) {
            waiting.callers.push(call.caller);
            waiting.deadline = waiting.deadline.max(call.deadline);
            self.callers.insert(call.caller, key);
            return;
        }
        if call.issuer_status == IssuerStatus::Unreachable {
            let outcome = Outcome::Unknown(UnknownReason::IssuerUnreachable);
            actions.push(DispatcherAction::Reply(call.caller, outcome));
            return;
        }
        self.begin(now, key, &call, actions);
    }

    fn begin(&mut self, now: Duration, key: Key, call: &Call, actions: &mut Vec<DispatcherAction>) {
        self.runs += 1;
        let run = request::Id::numbered(&format!("{} run", self.holder), self.runs);
        let phase = match call.issuer_status {
            IssuerStatus::Gone => Phase::Recovering { give_up: call.deadline },
            _ => Phase::Asking { give_up: call.deadline.min(now + ASK_TIMEOUT), busy: false },
        };
        let waiting =
            Waiting { run, callers: vec![call.caller], deadline: call.deadline, phase, next: now };
        self.callers.insert(call.caller, key.clone());
        self.asking.insert(run, key.clone());
        self.calls.insert(key.clone(), waiting);
        self.ask(now, &key, actions);
    }

    /// Asks whoever decides the ticket now, and sets the time of the next try.
    fn ask(&mut self, now: Duration, key: &Key, actions: &mut Vec<DispatcherAction>) {
        let Some(waiting) = self.calls.get_mut(key) else { return };
        waiting.next = match waiting.phase {
            Phase::Running => return,
            Phase::Asking { give_up, .. } => {
                let message = Message::Claim {
                    ticket: key.ticket.number,
                    digest: key.digest,
                    request: waiting.run,
                };
                actions.push(DispatcherAction::Send(key.ticket.holder.clone(), message));
                give_up.min(now + ASK_INTERVAL)
            }
            Phase::Recovering { give_up } => {
                actions.push(DispatcherAction::Recover(key.ticket.holder.clone()));
                give_up.min(now + RECOVER_INTERVAL)
            }
        };
        self.timers.insert((waiting.next, key.clone()));
    }

    fn leave(&mut self, caller: Caller) {
        let Some(key) = self.callers.remove(&caller) else { return };
        let Some(waiting) = self.calls.get_mut(&key) else { return };
        waiting.callers.retain(|waiter| *waiter != caller);
        if waiting.callers.is_empty() && waiting.phase != Phase::Running {
            self.abandon(&key);
        }
    }

    /// Removes a call that was not dispatched; a verdict that still comes is turned down.
    fn abandon(&mut self, key: &Key) -> Option<Waiting> {
        let waiting = self.calls.remove(key)?;
        self.asking.remove(&waiting.run);
        self.abandoned.insert(waiting.run, key.clone());
        self.abandoned_order.push_back(waiting.run);
        if self.abandoned_order.len() > MAX_ABANDONED
            && let Some(oldest) = self.abandoned_order.pop_front()
        {
            self.abandoned.remove(&oldest);
        }
        Some(waiting)
    }

    fn reply(
        &mut self,
        now: Duration,
        ticket: &Ticket,
        run: request::Id,
        verdict: Verdict,
        actions: &mut Vec<DispatcherAction>,
    ) {
        if verdict == Verdict::Run && self.turn_down(now, ticket, run, actions) {
            return;
        }
        let Some(key) = self.asking.get(&run).cloned() else { return };
        if key.ticket != *ticket {
            return;
        }
        let outcome = match verdict {
            Verdict::Run => return self.dispatch(key, run, actions),
            Verdict::Busy => {
                let Some(waiting) = self.calls.get_mut(&key) else { return };
                waiting.phase = Phase::Asking { give_up: waiting.deadline, busy: true };
                return;
            }
            Verdict::Done(outcome) => outcome.into(),
            Verdict::Mismatch => Outcome::Mismatch,
            Verdict::Invalid => Outcome::Unknown(UnknownReason::Expired),
        };
        self.finish(&key, &outcome, actions);
    }

    /// Answers a permission to run that came after its run was abandoned.
    fn turn_down(
        &mut self,
        now: Duration,
        ticket: &Ticket,
        run: request::Id,
        actions: &mut Vec<DispatcherAction>,
    ) -> bool {
        let Some(key) = self.abandoned.remove(&run) else { return false };
        if key.ticket == *ticket {
            self.finish(&key, &Outcome::NotRun, actions);
            let Key { ticket, digest } = key;
            self.reports.push(now, ticket, digest, Outcome::NotRun, ClaimOutcome::NotRun, actions);
        }
        true
    }

    fn dispatch(&mut self, key: Key, run: request::Id, actions: &mut Vec<DispatcherAction>) {
        let Some(waiting) = self.calls.get_mut(&key) else { return };
        let Some(&caller) = waiting.callers.first() else { return };
        waiting.phase = Phase::Running;
        actions.push(DispatcherAction::Dispatch { caller, ticket: key.ticket.clone(), run });
        self.asking.remove(&run);
        self.running.insert(run, key);
    }

    fn ended(
        &mut self,
        now: Duration,
        run: request::Id,
        result: DispatchResult,
        actions: &mut Vec<DispatcherAction>,
    ) {
        let Some(key) = self.running.remove(&run) else { return };
        let (outcome, kept) = outcomes(result);
        self.finish(&key, &outcome, actions);
        self.reports.push(now, key.ticket, key.digest, outcome, kept, actions);
    }

    /// Gives all callers of a call its outcome and forgets the call.
    fn finish(&mut self, key: &Key, outcome: &Outcome, actions: &mut Vec<DispatcherAction>) {
        let Some(waiting) = self.calls.remove(key) else { return };
        self.answer(waiting, outcome, actions);
    }

    fn answer(&mut self, waiting: Waiting, outcome: &Outcome, actions: &mut Vec<DispatcherAction>) {
        self.asking.remove(&waiting.run);
        for caller in waiting.callers {
            self.callers.remove(&caller);
            actions.push(DispatcherAction::Reply(caller, outcome.clone()));
        }
    }

    fn unreachable(&mut self, holder: &Holder, actions: &mut Vec<DispatcherAction>) {
        for key in self.undispatched(holder) {
            self.give_up(&key, actions);
        }
    }

    fn recovered(
        &mut self,
        holder: &Holder,
        recovered: &RecoveredClaims,
        actions: &mut Vec<DispatcherAction>,
    ) {
        for key in self.undispatched(holder) {
            let Some(waiting) = self.calls.remove(&key) else { continue };
            let outcome = self.recovered_outcome(&key, &waiting, recovered);
            self.answer(waiting, &outcome, actions);
        }
    }

    /// Returns the outcome of a call by the issuer's sealed journal. A claim by a run that this
    /// host did not dispatch, and now never will, has not run.
    fn recovered_outcome(
        &self,
        key: &Key,
        waiting: &Waiting,
        recovered: &RecoveredClaims,
    ) -> Outcome {
        let number = key.ticket.number;
        let outcome = recovered.outcome(number, &key.digest);
        let Some(claim) = recovered.claims.get(&number) else { return outcome };
        let own = claim.request == waiting.run || self.abandoned.contains_key(&claim.request);
        match outcome {
            Outcome::Unknown(UnknownReason::NoAnswer) if own && claim.outcome.is_none() => {
                Outcome::NotRun
            }
            other => other,
        }
    }

    /// Returns the calls that wait for a holder.
    fn undispatched(&self, holder: &Holder) -> Vec<Key> {
        let ticket = Ticket { holder: holder.clone(), number: 0 };
        let first = Key { ticket, digest: [0; 32] };
        let of_holder = self.calls.range(first..).take_while(|(k, _)| k.ticket.holder == *holder);
        let waiting = of_holder.filter(|(_, waiting)| waiting.phase != Phase::Running);
        waiting.map(|(key, _)| key.clone()).collect()
    }

    fn give_up(&mut self, key: &Key, actions: &mut Vec<DispatcherAction>) {
        let Some(waiting) = self.abandon(key) else { return };
        let doubt = match waiting.phase {
            Phase::Asking { busy: true, .. } => UnknownReason::InFlight,
            _ => UnknownReason::IssuerUnreachable,
        };
        self.answer(waiting, &Outcome::Unknown(doubt), actions);
    }

    fn tick(&mut self, now: Duration, actions: &mut Vec<DispatcherAction>) {
        while let Some((at, _)) = self.timers.first()
            && *at <= now
        {
            let Some((at, key)) = self.timers.pop_first() else { return };
            self.retry_call(now, at, &key, actions);
        }
        self.reports.tick(now, actions);
    }

    fn retry_call(
        &mut self,
        now: Duration,
        at: Duration,
        key: &Key,
        actions: &mut Vec<DispatcherAction>,
    ) {
        let Some(waiting) = self.calls.get(key) else { return };
        if waiting.next != at {
            return;
        }
        match waiting.phase {
            Phase::Running => {}
            Phase::Asking { give_up, .. } | Phase::Recovering { give_up } if now >= give_up => {
                self.give_up(key, actions);
            }
            Phase::Asking { .. } | Phase::Recovering { .. } => self.ask(now, key, actions),
        }
    }
}

/// Returns the caller's outcome, and the one that the issuer keeps.
fn outcomes(result: DispatchResult) -> (Outcome, ClaimOutcome) {
    match result {
        DispatchResult::NotSent => (Outcome::NotRun, ClaimOutcome::NotRun),
        DispatchResult::Incomplete => {
            (Outcome::Unknown(UnknownReason::NoAnswer), ClaimOutcome::Unknown)
        }
        DispatchResult::Answer { status, body } => {
            let fits = body.len() <= MAX_KEPT_BODY_BYTES;
            let kept = match fits {
                true => ClaimOutcome::Answer { status, body: body.clone() },
                false => ClaimOutcome::Unknown,
            };
            (Outcome::Answer { status, body }, kept)
        }
    }
}
