//! Issuer of tickets: lets one run of each go ahead.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use super::Claim;
use crate::{
    message::{ClaimOutcome, Entry, Holder, Message, Verdict},
    request,
    ticket::Ticket,
};

/// Time for which a ticket is decided after it was issued.
pub const TICKET_LIFETIME: Duration = Duration::from_secs(4 * 3600);

/// Time between two notes of the number reached, from which the floor moves up.
const FLOOR_STEP: Duration = Duration::from_secs(60);

/// A runner's question whether it may run; see [`Message::Claim`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Holder that asks.
    pub from: Holder,
    /// Ticket number.
    pub ticket: u64,
    /// Digest of the call.
    pub digest: [u8; 32],
    /// Run that the runner would start.
    pub request: request::Id,
}

/// What an issuer is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IssuerEvent {
    /// A runner asks to run.
    Claim(ClaimRequest),
    /// A runner reports an outcome; see [`Message::ClaimOutcome`].
    Outcome {
        /// Holder that reports.
        from: Holder,
        /// Ticket number.
        ticket: u64,
        /// What came of the run.
        outcome: ClaimOutcome,
    },
    /// The journal gave this number to the entry of the oldest unanswered [`IssuerAction::Append`].
    Appended(u64),
    /// Journal entries up to this number are on every replica.
    Durable(u64),
    /// The holder's process has ended for certain.
    HolderGone(Holder),
    /// Time passed.
    Tick,
}

/// What an issuer wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IssuerAction {
    /// Append an entry to the own journal, and report its number by [`IssuerEvent::Appended`], in
    /// the order of these actions.
    Append(Entry),
    /// Send a message to a holder; where that is the own holder, hand it over in the process.
    Send(Holder, Message),
}

/// How far a claim's journal entry has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Appending,
    Appended(u64),
    Durable,
}

/// Outcome of a claim at the issuer.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Ending {
    Open,
    /// The runner is gone; its own report, should it still come, counts.
    Presumed,
    Reported {
        outcome: ClaimOutcome,
        progress: Progress,
    },
}

#[derive(Debug)]
struct State {
    ask: ClaimRequest,
    progress: Progress,
    ending: Ending,
}

/// Awaits its journal number or its replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pending {
    Claim(u64),
    Outcome(u64),
    Floor,
}

/// Decides claims of the tickets that one holder issued.
#[derive(Debug)]
pub struct Issuer {
    holder: Holder,
    next: u64,
    floor: u64,
    claims: BTreeMap<u64, State>,
    /// Numbers reached at past times, oldest first.
    marks: VecDeque<(Duration, u64)>,
    /// Appends without a journal number, oldest first.
    appending: VecDeque<Pending>,
    /// Entries that are not yet durable, by journal number.
    appended: BTreeMap<u64, Pending>,
    /// Claims without an outcome, by the holder that runs them.
    open: BTreeMap<Holder, BTreeSet<u64>>,
}

impl Issuer {
    /// Opens an issuer for a new holder.
    pub fn new(holder: impl Into<Holder>) -> Self {
        Self {
            holder: holder.into(),
            next: 1,
            floor: 1,
            claims: BTreeMap::new(),
            marks: VecDeque::new(),
            appending: VecDeque::new(),
            appended: BTreeMap::new(),
            open: BTreeMap::new(),
        }
    }

    /// Issues a new ticket.
    pub fn issue(&mut self, now: Duration) -> Ticket {
        let due = self.marks.back().is_none_or(|(at, _)| now >= *at + FLOOR_STEP);
        if due {
            self.marks.push_back((now, self.next));
        }
        let number = self.next;
        self.next += 1;
        Ticket { holder: self.holder.clone(), number }
    }

    /// Returns the entries that rebuild the claims in a snapshot of the journal.
    pub fn snapshot(&self) -> Vec<Entry> {
        let mut entries = vec![Entry::TicketFloor { floor: self.floor }];
        for (&ticket, state) in &self.claims {
            let ClaimRequest { digest, request, .. } = state.ask;
            entries.push(Entry::Claim { ticket, digest, request });
            if let Ending::Reported { outcome, .. } = &state.ending {
                entries.push(Entry::Outcome { ticket, outcome: outcome.clone() });
            }
        }
        entries
    }

    /// Returns true where a claim of the ticket is on every replica of the journal.
    pub fn is_durable(&self, ticket: u64) -> bool {
        self.claims.get(&ticket).is_some_and(|state| state.progress == Progress::Durable)
    }

    /// Returns a claim of a ticket, where there is one.
    pub fn claim(&self, ticket: u64) -> Option<Claim> {
        let state = self.claims.get(&ticket)?;
        let outcome = match &state.ending {
            Ending::Open => None,
            Ending::Presumed => Some(ClaimOutcome::Unknown),
            Ending::Reported { outcome, .. } => Some(outcome.clone()),
        };
        Some(Claim { digest: state.ask.digest, request: state.ask.request, outcome })
    }

    /// Takes an event and pushes the actions that follow from it.
    pub fn handle(&mut self, now: Duration, event: IssuerEvent, actions: &mut Vec<IssuerAction>) {
        match event {
            IssuerEvent::Claim(ask) => self.decide(ask, actions),
            IssuerEvent::Outcome { from, ticket, outcome } => {
                self.end(from, ticket, outcome, actions);
            }
            IssuerEvent::Appended(number) => self.number(number),
            IssuerEvent::Durable(through) => self.durable(through, actions),
            IssuerEvent::HolderGone(holder) => self.presume(&holder),
            IssuerEvent::Tick => self.expire(now, actions),
        }
    }

    fn decide(&mut self, ask: ClaimRequest, actions: &mut Vec<IssuerAction>) {
        if ask.ticket < self.floor || ask.ticket >= self.next {
            self.reply(ask.from, ask.ticket, ask.request, Verdict::Invalid, actions);
            return;
        }
        let Some(state) = self.claims.get(&ask.ticket) else {
            self.accept(ask, actions);
            return;
        };
        if let Some(verdict) = judge(state, &ask) {
            self.reply(ask.from, ask.ticket, ask.request, verdict, actions);
        }
    }

    fn accept(&mut self, ask: ClaimRequest, actions: &mut Vec<IssuerAction>) {
        let ClaimRequest { ticket, digest, request, .. } = ask;
        self.open.entry(ask.from.clone()).or_default().insert(ticket);
        let progress = Progress::Appending;
        let state = State { ask, progress, ending: Ending::Open };
        self.claims.insert(ticket, state);
        self.append(Pending::Claim(ticket), Entry::Claim { ticket, digest, request }, actions);
    }

    fn end(
        &mut self,
        from: Holder,
        ticket: u64,
        outcome: ClaimOutcome,
        actions: &mut Vec<IssuerAction>,
    ) {
        if ticket < self.floor {
            actions.push(IssuerAction::Send(from, Message::ClaimOutcomeAck { ticket }));
            return;
        }
        let Some(state) = self.claims.get_mut(&ticket) else { return };
        if state.ask.from != from || state.progress != Progress::Durable {
            return;
        }
        match &state.ending {
            Ending::Reported { progress: Progress::Durable, .. } => {
                actions.push(IssuerAction::Send(from, Message::ClaimOutcomeAck { ticket }));
            }
            Ending::Reported { .. } => {}
            Ending::Open | Ending::Presumed => {
                state.ending =
                    Ending::Reported { outcome: outcome.clone(), progress: Progress::Appending };
                self.close(&from, ticket);
                let entry = Entry::Outcome { ticket, outcome };
                self.append(Pending::Outcome(ticket), entry, actions);
            }
        }
    }

    fn append(&mut self, pending: Pending, entry: Entry, actions: &mut Vec<IssuerAction>) {
        self.appending.push_back(pending);
        actions.push(IssuerAction::Append(entry));
    }

    fn number(&mut self, number: u64) {
        let Some(pending) = self.appending.pop_front() else { return };
        self.appended.insert(number, pending);
        self.advance(pending, Progress::Appended(number));
    }

    fn durable(&mut self, through: u64, actions: &mut Vec<IssuerAction>) {
        let later = self.appended.split_off(&(through.saturating_add(1)));
        let done = std::mem::replace(&mut self.appended, later);
        for pending in done.into_values() {
            self.advance(pending, Progress::Durable);
            self.announce(pending, actions);
        }
    }

    fn advance(&mut self, pending: Pending, to: Progress) {
        match pending {
            Pending::Claim(ticket) => {
                if let Some(state) = self.claims.get_mut(&ticket) {
                    state.progress = to;
                }
            }
            Pending::Outcome(ticket) => {
                let state = self.claims.get_mut(&ticket);
                if let Some(Ending::Reported { progress, .. }) = state.map(|s| &mut s.ending) {
                    *progress = to;
                }
            }
            Pending::Floor => {}
        }
    }

    fn announce(&mut self, pending: Pending, actions: &mut Vec<IssuerAction>) {
        match pending {
            Pending::Claim(ticket) => {
                let Some(state) = self.claims.get(&ticket) else { return };
                let (from, request) = (state.ask.from.clone(), state.ask.request);
                self.reply(from, ticket, request, Verdict::Run, actions);
            }
            Pending::Outcome(ticket) => {
                let Some(state) = self.claims.get(&ticket) else { return };
                let ack = Message::ClaimOutcomeAck { ticket };
                actions.push(IssuerAction::Send(state.ask.from.clone(), ack));
            }
            Pending::Floor => {}
        }
    }

    fn presume(&mut self, holder: &Holder) {
        for ticket in self.open.remove(holder).unwrap_or_default() {
            if let Some(state) = self.claims.get_mut(&ticket) {
                state.ending = Ending::Presumed;
            }
        }
    }

    fn close(&mut self, holder: &Holder, ticket: u64) {
        let Some(tickets) = self.open.get_mut(holder) else { return };
        tickets.remove(&ticket);
        if tickets.is_empty() {
            self.open.remove(holder);
        }
    }

    fn expire(&mut self, now: Duration, actions: &mut Vec<IssuerAction>) {
        let mut floor = self.floor;
        while let Some((at, _)) = self.marks.front()
            && now >= *at + TICKET_LIFETIME + FLOOR_STEP
        {
            self.marks.pop_front();
            floor = self.marks.front().map_or(self.next, |(_, number)| *number);
        }
        if floor == self.floor {
            return;
        }
        self.floor = floor;
        self.append(Pending::Floor, Entry::TicketFloor { floor }, actions);
        let kept = self.claims.split_off(&floor);
        let expired = std::mem::replace(&mut self.claims, kept);
        for (ticket, state) in expired {
            self.close(&state.ask.from, ticket);
        }
    }

    fn reply(
        &self,
        to: Holder,
        ticket: u64,
        request: request::Id,
        verdict: Verdict,
        actions: &mut Vec<IssuerAction>,
    ) {
        let message = Message::ClaimReply { ticket, request, verdict };
        actions.push(IssuerAction::Send(to, message));
    }
}

/// Returns the verdict on a claim of a ticket that is claimed already; none while the claim of the
/// asking run is not durable, since the reply follows then.
fn judge(state: &State, ask: &ClaimRequest) -> Option<Verdict> {
    if state.ask.digest != ask.digest {
        return Some(Verdict::Mismatch);
    }
    let same = state.ask == *ask;
    match &state.ending {
        Ending::Reported { outcome, .. } => Some(Verdict::Done(outcome.clone())),
        Ending::Presumed => Some(Verdict::Done(ClaimOutcome::Unknown)),
        Ending::Open if !same => Some(Verdict::Busy),
        Ending::Open if state.progress == Progress::Durable => Some(Verdict::Run),
        Ending::Open => None,
    }
}
