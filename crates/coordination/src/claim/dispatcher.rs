//! Dispatcher of calls: asks the issuer of a ticket, dispatches the call once, reports the outcome.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use super::{
    Call, Caller, DispatchResult, DispatcherAction, DispatcherEvent, IssuerStatus,
    MAX_STORED_BODY_BYTES, Outcome, RecoveredClaims, UnknownReason, report::Reports,
};
use crate::{
    message::{ClaimOutcome, Holder, Message, Verdict},
    request,
    ticket::Ticket,
};

/// Interval between two requests to an issuer.
const ISSUER_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between two lookups of a sealed journal.
const RECOVERY_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which an issuer that has not replied counts as unreachable.
const ISSUER_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of abandoned runs that are remembered.
const MAX_ABANDONED_RUNS: usize = 65_536;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Waits for the issuer's verdict; `is_busy` once it reported that another run is in progress.
    Asking { give_up_at: Duration, is_busy: bool },
    /// Waits for the sealed journal of the issuer.
    Recovering { give_up_at: Duration },
    /// The call was dispatched.
    Running,
}

/// Ticket together with the digest of the call that it is used for. Different calls with the same
/// ticket wait separately, since only the issuer knows which of them the ticket belongs to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    ticket: Ticket,
    digest: [u8; 32],
}

#[derive(Debug)]
struct PendingCall {
    run: request::Id,
    callers: Vec<Caller>,
    deadline: Duration,
    phase: Phase,
    next_at: Duration,
}

/// Dispatches the calls with tickets that arrive at one host.
#[derive(Debug)]
pub struct Dispatcher {
    holder: Holder,
    run_count: u64,
    calls: BTreeMap<Key, PendingCall>,
    callers: BTreeMap<Caller, Key>,
    /// Runs that wait for a verdict or for a sealed journal.
    awaiting_verdict: BTreeMap<request::Id, Key>,
    running: BTreeMap<request::Id, Key>,
    reports: Reports,
    /// Runs that must no longer be dispatched.
    abandoned: BTreeMap<request::Id, Key>,
    abandoned_order: VecDeque<request::Id>,
    timers: BTreeSet<(Duration, Key)>,
}

impl Dispatcher {
    /// Creates the dispatcher of a new holder.
    pub fn new(holder: impl Into<Holder>) -> Self {
        Self {
            holder: holder.into(),
            run_count: 0,
            calls: BTreeMap::new(),
            callers: BTreeMap::new(),
            awaiting_verdict: BTreeMap::new(),
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

    /// Handles an event and appends the resulting actions.
    pub fn handle(
        &mut self,
        now: Duration,
        event: DispatcherEvent,
        actions: &mut Vec<DispatcherAction>,
    ) {
        match event {
            DispatcherEvent::Call(call) => self.handle_call(now, call, actions),
            DispatcherEvent::CallerLeft(caller) => self.remove_caller(caller),
            DispatcherEvent::Reply { from, ticket, request, verdict } => {
                let ticket = Ticket { holder: from, number: ticket };
                self.handle_verdict(now, &ticket, request, verdict, actions);
            }
            DispatcherEvent::OutcomeAcked { from, ticket } => {
                self.reports.acknowledge(&Ticket { holder: from, number: ticket });
            }
            DispatcherEvent::Unreachable(holder) => self.give_up_waiting_for(&holder, actions),
            DispatcherEvent::Recovered(holder, recovered) => {
                self.apply_recovered(&holder, &recovered, actions);
            }
            DispatcherEvent::DispatchEnded { run, result } => {
                self.handle_dispatch_end(now, run, result, actions);
            }
            DispatcherEvent::Tick => self.tick(now, actions),
        }
    }

    fn handle_call(&mut self, now: Duration, call: Call, actions: &mut Vec<DispatcherAction>) {
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
        self.start_call(now, key, &call, actions);
    }

    fn start_call(
        &mut self,
        now: Duration,
        key: Key,
        call: &Call,
        actions: &mut Vec<DispatcherAction>,
    ) {
        self.run_count += 1;
        let run = request::Id::numbered(&format!("{} run", self.holder), self.run_count);
        let phase = match call.issuer_status {
            IssuerStatus::Gone => Phase::Recovering { give_up_at: call.deadline },
            _ => Phase::Asking {
                give_up_at: call.deadline.min(now + ISSUER_TIMEOUT),
                is_busy: false,
            },
        };
        let waiting = PendingCall {
            run,
            callers: vec![call.caller],
            deadline: call.deadline,
            phase,
            next_at: now,
        };
        self.callers.insert(call.caller, key.clone());
        self.awaiting_verdict.insert(run, key.clone());
        self.calls.insert(key.clone(), waiting);
        self.query(now, &key, actions);
    }

    /// Asks the issuer, or its sealed journal, for the outcome of the ticket and schedules the next
    /// attempt.
    fn query(&mut self, now: Duration, key: &Key, actions: &mut Vec<DispatcherAction>) {
        let Some(waiting) = self.calls.get_mut(key) else { return };
        waiting.next_at = match waiting.phase {
            Phase::Running => return,
            Phase::Asking { give_up_at, .. } => {
                let message = Message::Claim {
                    ticket: key.ticket.number,
                    digest: key.digest,
                    request: waiting.run,
                };
                actions.push(DispatcherAction::Send(key.ticket.holder.clone(), message));
                give_up_at.min(now + ISSUER_RETRY_INTERVAL)
            }
            Phase::Recovering { give_up_at } => {
                actions.push(DispatcherAction::Recover(key.ticket.holder.clone()));
                give_up_at.min(now + RECOVERY_RETRY_INTERVAL)
            }
        };
        self.timers.insert((waiting.next_at, key.clone()));
    }

    fn remove_caller(&mut self, caller: Caller) {
        let Some(key) = self.callers.remove(&caller) else { return };
        let Some(waiting) = self.calls.get_mut(&key) else { return };
        waiting.callers.retain(|waiting_caller| *waiting_caller != caller);
        if waiting.callers.is_empty() && waiting.phase != Phase::Running {
            self.abandon(&key);
        }
    }

    /// Removes a call that was not dispatched. A permission to run that still arrives is declined.
    fn abandon(&mut self, key: &Key) -> Option<PendingCall> {
        let waiting = self.calls.remove(key)?;
        self.awaiting_verdict.remove(&waiting.run);
        self.abandoned.insert(waiting.run, key.clone());
        self.abandoned_order.push_back(waiting.run);
        if self.abandoned_order.len() > MAX_ABANDONED_RUNS
            && let Some(oldest) = self.abandoned_order.pop_front()
        {
            self.abandoned.remove(&oldest);
        }
        Some(waiting)
    }

    fn handle_verdict(
        &mut self,
        now: Duration,
        ticket: &Ticket,
        run: request::Id,
        verdict: Verdict,
        actions: &mut Vec<DispatcherAction>,
    ) {
        if verdict == Verdict::Run && self.decline(now, ticket, run, actions) {
            return;
        }
        let Some(key) = self.awaiting_verdict.get(&run).cloned() else { return };
        if key.ticket != *ticket {
            return;
        }
        let outcome = match verdict {
            Verdict::Run => return self.dispatch(key, run, actions),
            Verdict::Busy => {
                let Some(waiting) = self.calls.get_mut(&key) else { return };
                waiting.phase = Phase::Asking { give_up_at: waiting.deadline, is_busy: true };
                return;
            }
            Verdict::Done(outcome) => outcome.into(),
            Verdict::Mismatch => Outcome::Mismatch,
            Verdict::Invalid => Outcome::Unknown(UnknownReason::Expired),
        };
        self.finish(&key, &outcome, actions);
    }

    /// Declines a permission to run whose run was abandoned, by reporting that the call did not
    /// run. Returns whether the run was abandoned.
    fn decline(
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
            self.reports.add(now, ticket, digest, Outcome::NotRun, ClaimOutcome::NotRun, actions);
        }
        true
    }

    fn dispatch(&mut self, key: Key, run: request::Id, actions: &mut Vec<DispatcherAction>) {
        let Some(waiting) = self.calls.get_mut(&key) else { return };
        let Some(&caller) = waiting.callers.first() else { return };
        waiting.phase = Phase::Running;
        actions.push(DispatcherAction::Dispatch { caller, ticket: key.ticket.clone(), run });
        self.awaiting_verdict.remove(&run);
        self.running.insert(run, key);
    }

    fn handle_dispatch_end(
        &mut self,
        now: Duration,
        run: request::Id,
        result: DispatchResult,
        actions: &mut Vec<DispatcherAction>,
    ) {
        let Some(key) = self.running.remove(&run) else { return };
        let (outcome, stored) = outcomes(result);
        self.finish(&key, &outcome, actions);
        self.reports.add(now, key.ticket, key.digest, outcome, stored, actions);
    }

    /// Removes a call and returns its outcome to all of its callers.
    fn finish(&mut self, key: &Key, outcome: &Outcome, actions: &mut Vec<DispatcherAction>) {
        let Some(waiting) = self.calls.remove(key) else { return };
        self.reply_to_callers(waiting, outcome, actions);
    }

    fn reply_to_callers(
        &mut self,
        waiting: PendingCall,
        outcome: &Outcome,
        actions: &mut Vec<DispatcherAction>,
    ) {
        self.awaiting_verdict.remove(&waiting.run);
        for caller in waiting.callers {
            self.callers.remove(&caller);
            actions.push(DispatcherAction::Reply(caller, outcome.clone()));
        }
    }

    fn give_up_waiting_for(&mut self, holder: &Holder, actions: &mut Vec<DispatcherAction>) {
        for key in self.undispatched(holder) {
            self.give_up(&key, actions);
        }
    }

    fn apply_recovered(
        &mut self,
        holder: &Holder,
        recovered: &RecoveredClaims,
        actions: &mut Vec<DispatcherAction>,
    ) {
        for key in self.undispatched(holder) {
            let Some(waiting) = self.calls.remove(&key) else { continue };
            let outcome = self.recovered_outcome(&key, &waiting, recovered);
            self.reply_to_callers(waiting, &outcome, actions);
        }
    }

    /// Returns the outcome of a call according to the issuer's sealed journal. If the claim belongs
    /// to a run of this host that was not dispatched, the call has not run and never will.
    fn recovered_outcome(
        &self,
        key: &Key,
        waiting: &PendingCall,
        recovered: &RecoveredClaims,
    ) -> Outcome {
        let number = key.ticket.number;
        let outcome = recovered.outcome(number, &key.digest);
        let Some(claim) = recovered.claims.get(&number) else { return outcome };
        let is_own_run =
            claim.request == waiting.run || self.abandoned.contains_key(&claim.request);
        match outcome {
            Outcome::Unknown(UnknownReason::NoAnswer) if is_own_run && claim.outcome.is_none() => {
                Outcome::NotRun
            }
            other => other,
        }
    }

    /// Returns the calls that wait for a holder and were not dispatched.
    fn undispatched(&self, holder: &Holder) -> Vec<Key> {
        let ticket = Ticket { holder: holder.clone(), number: 0 };
        let first = Key { ticket, digest: [0; 32] };
        let of_holder = self.calls.range(first..).take_while(|(k, _)| k.ticket.holder == *holder);
        let waiting = of_holder.filter(|(_, waiting)| waiting.phase != Phase::Running);
        waiting.map(|(key, _)| key.clone()).collect()
    }

    fn give_up(&mut self, key: &Key, actions: &mut Vec<DispatcherAction>) {
        let Some(waiting) = self.abandon(key) else { return };
        let reason = match waiting.phase {
            Phase::Asking { is_busy: true, .. } => UnknownReason::InFlight,
            _ => UnknownReason::IssuerUnreachable,
        };
        self.reply_to_callers(waiting, &Outcome::Unknown(reason), actions);
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
        if waiting.next_at != at {
            return;
        }
        match waiting.phase {
            Phase::Running => {}
            Phase::Asking { give_up_at, .. } | Phase::Recovering { give_up_at }
                if now >= give_up_at =>
            {
                self.give_up(key, actions);
            }
            Phase::Asking { .. } | Phase::Recovering { .. } => self.query(now, key, actions),
        }
    }
}

/// Returns the outcome for the callers and the outcome that the issuer stores.
fn outcomes(result: DispatchResult) -> (Outcome, ClaimOutcome) {
    match result {
        DispatchResult::NotSent => (Outcome::NotRun, ClaimOutcome::NotRun),
        DispatchResult::Incomplete => {
            (Outcome::Unknown(UnknownReason::NoAnswer), ClaimOutcome::Unknown)
        }
        DispatchResult::Answer { status, body } => {
            let fits_limit = body.len() <= MAX_STORED_BODY_BYTES;
            let stored = match fits_limit {
                true => ClaimOutcome::Answer { status, body: body.clone() },
                false => ClaimOutcome::Unknown,
            };
            (Outcome::Answer { status, body }, stored)
        }
    }
}
