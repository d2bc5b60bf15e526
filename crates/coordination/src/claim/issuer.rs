//! Issuer of tickets, which permits one run of each ticket's call.

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

/// Lifetime of a ticket; claims on it are decided for at least this long after it was issued.
pub const TICKET_LIFETIME: Duration = Duration::from_secs(4 * 3600);

/// Interval at which the next ticket number is recorded; the floor rises in steps of these records.
const FLOOR_INTERVAL: Duration = Duration::from_secs(60);

/// Request of a dispatcher for permission to run a call; see [`Message::Claim`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Holder that sent the request.
    pub from: Holder,
    /// Ticket number.
    pub ticket: u64,
    /// Digest of the call.
    pub digest: [u8; 32],
    /// Run that the dispatcher would start.
    pub request: request::Id,
}

/// Event for an [`Issuer`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IssuerEvent {
    /// A dispatcher claims a ticket.
    Claim(ClaimRequest),
    /// A dispatcher reports an outcome; see [`Message::ClaimOutcome`].
    Outcome {
        /// Holder that sent the report.
        from: Holder,
        /// Ticket number.
        ticket: u64,
        /// Outcome of the run.
        outcome: ClaimOutcome,
    },
    /// The journal assigned this number to the entry of the oldest unanswered
    /// [`IssuerAction::Append`].
    Appended(u64),
    /// Journal entries up to and including this number are on every replica.
    Durable(u64),
    /// The holder's process is known to have ended.
    HolderGone(Holder),
    /// Tickets may have expired.
    Tick,
}

/// Action requested by an [`Issuer`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IssuerAction {
    /// Appends an entry to this holder's journal; answered by [`IssuerEvent::Appended`] in the
    /// order of these actions.
    Append(Entry),
    /// Sends a message to a holder; a message to this holder is delivered within the process.
    Send(Holder, Message),
}

/// Replication progress of a journal entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Appending,
    Appended(u64),
    Durable,
}

/// Outcome of a claimed run as known to the issuer.
#[derive(Debug, Clone, PartialEq, Eq)]
enum OutcomeState {
    Open,
    /// The dispatcher's process has ended, so the outcome counts as unknown; a report that still
    /// arrives replaces it.
    PresumedUnknown,
    Reported {
        outcome: ClaimOutcome,
        progress: Progress,
    },
}

#[derive(Debug)]
struct ClaimState {
    claim: ClaimRequest,
    progress: Progress,
    outcome: OutcomeState,
}

/// Journal entry that has no number yet or is not on every replica yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PendingEntry {
    Claim(u64),
    Outcome(u64),
    Floor,
}

/// Issues tickets for one holder and decides the claims on them.
#[derive(Debug)]
pub struct Issuer {
    holder: Holder,
    next_number: u64,
    floor: u64,
    claims: BTreeMap<u64, ClaimState>,
    /// Next ticket number at past times, oldest first.
    number_history: VecDeque<(Duration, u64)>,
    /// Appended entries without a journal number, oldest first.
    unnumbered: VecDeque<PendingEntry>,
    /// Numbered entries that are not yet durable, by journal number.
    unreplicated: BTreeMap<u64, PendingEntry>,
    /// Tickets with a claim but no outcome, by the holder that claimed them.
    open_by_holder: BTreeMap<Holder, BTreeSet<u64>>,
}

impl Issuer {
    /// Creates the issuer of a new holder.
    pub fn new(holder: impl Into<Holder>) -> Self {
        Self {
            holder: holder.into(),
            next_number: 1,
            floor: 1,
            claims: BTreeMap::new(),
            number_history: VecDeque::new(),
            unnumbered: VecDeque::new(),
            unreplicated: BTreeMap::new(),
            open_by_holder: BTreeMap::new(),
        }
    }

    /// Issues a new ticket.
    pub fn issue(&mut self, now: Duration) -> Ticket {
        let is_due = self.number_history.back().is_none_or(|(at, _)| now >= *at + FLOOR_INTERVAL);
        if is_due {
            self.number_history.push_back((now, self.next_number));
        }
        let number = self.next_number;
        self.next_number += 1;
        Ticket { holder: self.holder.clone(), number }
    }

    /// Returns the entries from which a snapshot of the journal rebuilds the claims.
    pub fn snapshot(&self) -> Vec<Entry> {
        let mut entries = vec![Entry::TicketFloor { floor: self.floor }];
        for (&ticket, state) in &self.claims {
            let ClaimRequest { digest, request, .. } = state.claim;
            entries.push(Entry::Claim { ticket, digest, request });
            if let OutcomeState::Reported { outcome, .. } = &state.outcome {
                entries.push(Entry::Outcome { ticket, outcome: outcome.clone() });
            }
        }
        entries
    }

    /// Returns whether a claim of the ticket is on every replica of the journal.
    pub fn is_durable(&self, ticket: u64) -> bool {
        self.claims.get(&ticket).is_some_and(|state| state.progress == Progress::Durable)
    }

    /// Returns the claim on a ticket, if any.
    pub fn claim(&self, ticket: u64) -> Option<Claim> {
        let state = self.claims.get(&ticket)?;
        let outcome = match &state.outcome {
            OutcomeState::Open => None,
            OutcomeState::PresumedUnknown => Some(ClaimOutcome::Unknown),
            OutcomeState::Reported { outcome, .. } => Some(outcome.clone()),
        };
        Some(Claim { digest: state.claim.digest, request: state.claim.request, outcome })
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now: Duration, event: IssuerEvent, actions: &mut Vec<IssuerAction>) {
        match event {
            IssuerEvent::Claim(claim) => self.handle_claim(claim, actions),
            IssuerEvent::Outcome { from, ticket, outcome } => {
                self.handle_outcome(from, ticket, outcome, actions);
            }
            IssuerEvent::Appended(number) => self.assign_number(number),
            IssuerEvent::Durable(through) => self.set_durable(through, actions),
            IssuerEvent::HolderGone(holder) => self.presume_unknown(&holder),
            IssuerEvent::Tick => self.expire_tickets(now, actions),
        }
    }

    fn handle_claim(&mut self, claim: ClaimRequest, actions: &mut Vec<IssuerAction>) {
        if claim.ticket < self.floor || claim.ticket >= self.next_number {
            self.reply(claim.from, claim.ticket, claim.request, Verdict::Invalid, actions);
            return;
        }
        let Some(state) = self.claims.get(&claim.ticket) else {
            self.accept_claim(claim, actions);
            return;
        };
        if let Some(verdict) = verdict_on(state, &claim) {
            self.reply(claim.from, claim.ticket, claim.request, verdict, actions);
        }
    }

    fn accept_claim(&mut self, claim: ClaimRequest, actions: &mut Vec<IssuerAction>) {
        let ClaimRequest { ticket, digest, request, .. } = claim;
        self.open_by_holder.entry(claim.from.clone()).or_default().insert(ticket);
        let progress = Progress::Appending;
        let state = ClaimState { claim, progress, outcome: OutcomeState::Open };
        self.claims.insert(ticket, state);
        self.append(PendingEntry::Claim(ticket), Entry::Claim { ticket, digest, request }, actions);
    }

    fn handle_outcome(
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
        if state.claim.from != from || state.progress != Progress::Durable {
            return;
        }
        match &state.outcome {
            OutcomeState::Reported { progress: Progress::Durable, .. } => {
                actions.push(IssuerAction::Send(from, Message::ClaimOutcomeAck { ticket }));
            }
            OutcomeState::Reported { .. } => {}
            OutcomeState::Open | OutcomeState::PresumedUnknown => {
                state.outcome = OutcomeState::Reported {
                    outcome: outcome.clone(),
                    progress: Progress::Appending,
                };
                self.remove_open(&from, ticket);
                let entry = Entry::Outcome { ticket, outcome };
                self.append(PendingEntry::Outcome(ticket), entry, actions);
            }
        }
    }

    fn append(&mut self, pending: PendingEntry, entry: Entry, actions: &mut Vec<IssuerAction>) {
        self.unnumbered.push_back(pending);
        actions.push(IssuerAction::Append(entry));
    }

    fn assign_number(&mut self, number: u64) {
        let Some(pending) = self.unnumbered.pop_front() else { return };
        self.unreplicated.insert(number, pending);
        self.set_progress(pending, Progress::Appended(number));
    }

    fn set_durable(&mut self, through: u64, actions: &mut Vec<IssuerAction>) {
        let later = self.unreplicated.split_off(&(through.saturating_add(1)));
        let done = std::mem::replace(&mut self.unreplicated, later);
        for pending in done.into_values() {
            self.set_progress(pending, Progress::Durable);
            self.notify_dispatcher(pending, actions);
        }
    }

    fn set_progress(&mut self, pending: PendingEntry, to: Progress) {
        match pending {
            PendingEntry::Claim(ticket) => {
                if let Some(state) = self.claims.get_mut(&ticket) {
                    state.progress = to;
                }
            }
            PendingEntry::Outcome(ticket) => {
                let state = self.claims.get_mut(&ticket);
                if let Some(OutcomeState::Reported { progress, .. }) = state.map(|s| &mut s.outcome)
                {
                    *progress = to;
                }
            }
            PendingEntry::Floor => {}
        }
    }

    fn notify_dispatcher(&mut self, pending: PendingEntry, actions: &mut Vec<IssuerAction>) {
        match pending {
            PendingEntry::Claim(ticket) => {
                let Some(state) = self.claims.get(&ticket) else { return };
                let (from, request) = (state.claim.from.clone(), state.claim.request);
                self.reply(from, ticket, request, Verdict::Run, actions);
            }
            PendingEntry::Outcome(ticket) => {
                let Some(state) = self.claims.get(&ticket) else { return };
                let ack = Message::ClaimOutcomeAck { ticket };
                actions.push(IssuerAction::Send(state.claim.from.clone(), ack));
            }
            PendingEntry::Floor => {}
        }
    }

    fn presume_unknown(&mut self, holder: &Holder) {
        for ticket in self.open_by_holder.remove(holder).unwrap_or_default() {
            if let Some(state) = self.claims.get_mut(&ticket) {
                state.outcome = OutcomeState::PresumedUnknown;
            }
        }
    }

    fn remove_open(&mut self, holder: &Holder, ticket: u64) {
        let Some(tickets) = self.open_by_holder.get_mut(holder) else { return };
        tickets.remove(&ticket);
        if tickets.is_empty() {
            self.open_by_holder.remove(holder);
        }
    }

    fn expire_tickets(&mut self, now: Duration, actions: &mut Vec<IssuerAction>) {
        let mut floor = self.floor;
        while let Some((at, _)) = self.number_history.front()
            && now >= *at + TICKET_LIFETIME + FLOOR_INTERVAL
        {
            self.number_history.pop_front();
            floor = self.number_history.front().map_or(self.next_number, |(_, number)| *number);
        }
        if floor == self.floor {
            return;
        }
        self.floor = floor;
        self.append(PendingEntry::Floor, Entry::TicketFloor { floor }, actions);
        let kept = self.claims.split_off(&floor);
        let expired = std::mem::replace(&mut self.claims, kept);
        for (ticket, state) in expired {
            self.remove_open(&state.claim.from, ticket);
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

/// Returns the verdict on a claim of an already claimed ticket. Returns `None` if the same run
/// holds the claim and the claim is not durable yet, since the reply follows once it is.
fn verdict_on(state: &ClaimState, claim: &ClaimRequest) -> Option<Verdict> {
    if state.claim.digest != claim.digest {
        return Some(Verdict::Mismatch);
    }
    let is_same_run = state.claim == *claim;
    match &state.outcome {
        OutcomeState::Reported { outcome, .. } => Some(Verdict::Done(outcome.clone())),
        OutcomeState::PresumedUnknown => Some(Verdict::Done(ClaimOutcome::Unknown)),
        OutcomeState::Open if !is_same_run => Some(Verdict::Busy),
        OutcomeState::Open if state.progress == Progress::Durable => Some(Verdict::Run),
        OutcomeState::Open => None,
    }
}
