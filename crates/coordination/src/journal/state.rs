//! State of a journal, built from its entries.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{
    claim::Claim,
    message::{Counterparty, Entry, Holder},
    request,
};

/// A reservation that is neither settled nor released.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// Budget.
    pub budget: Arc<str>,
    /// Tokens reserved.
    pub tokens: u64,
    /// Backend server that will run the request; empty if not known.
    pub backend: Arc<str>,
}

/// A charge that may not be in the ledger yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settlement {
    /// Request.
    pub request: request::Id,
    /// Budget.
    pub budget: Arc<str>,
    /// Tokens charged.
    pub tokens: u64,
}

/// A transfer that the receiver may not have received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingTransfer {
    /// Receiving holder.
    pub to: Holder,
    /// Budget.
    pub budget: Arc<str>,
    /// Tokens.
    pub tokens: u64,
}

/// State of a journal up to and including an entry.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct State {
    /// Number of the last entry.
    through: u64,
    /// Number of the last ledger segment.
    segment: u64,
    /// Number of the last entry whose charge is in a segment.
    flushed: u64,
    budgets: BTreeSet<Arc<str>>,
    open: BTreeMap<request::Id, Reservation>,
    /// Unflushed settlements, by entry number.
    settled: BTreeMap<(u64, request::Id), Settlement>,
    /// Tokens received from other holders, by budget.
    received: BTreeMap<Arc<str>, u64>,
    /// Tokens sent to other holders, by budget.
    sent: BTreeMap<Arc<str>, u64>,
    unacknowledged: BTreeMap<u64, PendingTransfer>,
    /// Allowance of each budget, and the holder that set it aside.
    allowances: BTreeMap<Arc<str>, (Holder, u64)>,
    /// Lowest ticket number whose claim is kept.
    floor: u64,
    claims: BTreeMap<u64, Claim>,
}

impl State {
    /// Rebuilds a state from the result of [`State::entries`].
    pub fn rebuild(through: u64, entries: &[Entry]) -> Self {
        let mut state = Self::default();
        for entry in entries {
            state.apply(through, entry);
        }
        state.through = through;
        state
    }

    /// Applies an entry and its number.
    pub fn apply(&mut self, number: u64, entry: &Entry) {
        self.through = number;
        match entry {
            Entry::Credit { budget, tokens, party } => self.credit(budget, *tokens, party),
            Entry::Debit { budget, tokens, party } => self.debit(budget, *tokens, party),
            Entry::Reserve { request, budget, tokens, backend } => {
                self.budgets.insert(budget.clone());
                let reservation = Reservation {
                    budget: budget.clone(),
                    tokens: *tokens,
                    backend: backend.clone(),
                };
                self.open.insert(*request, reservation);
            }
            Entry::Settle { request, tokens } => self.settle(number, *request, *tokens),
            Entry::Release { request } => {
                self.open.remove(request);
            }
            Entry::Flushed { segment, through } => self.flush(*segment, *through),
            Entry::Claim { ticket, digest, request } => {
                let claim = Claim { digest: *digest, request: *request, outcome: None };
                self.claims.entry(*ticket).or_insert(claim);
            }
            Entry::TicketFloor { floor } => {
                self.floor = self.floor.max(*floor);
                self.claims = self.claims.split_off(&self.floor);
            }
            Entry::Outcome { ticket, outcome } => {
                if let Some(claim) = self.claims.get_mut(ticket) {
                    claim.outcome = Some(outcome.clone());
                }
            }
        }
    }

    fn credit(&mut self, budget: &Arc<str>, tokens: u64, party: &Counterparty) {
        self.budgets.insert(budget.clone());
        match party {
            Counterparty::Holder(from, 0) if !from.is_empty() => {
                if let Some((_, allowance)) = self.allowances.get_mut(budget) {
                    *allowance = allowance.saturating_sub(tokens);
                }
            }
            Counterparty::Holder(..) => *self.received.entry(budget.clone()).or_default() += tokens,
            Counterparty::Table(_) => {}
        }
    }

    fn debit(&mut self, budget: &Arc<str>, tokens: u64, party: &Counterparty) {
        self.budgets.insert(budget.clone());
        let Counterparty::Holder(to, number) = party else {
            return;
        };
        if *number == 0 && !to.is_empty() {
            let allowance =
                self.allowances.entry(budget.clone()).or_insert_with(|| (to.clone(), 0));
            allowance.1 += tokens;
            return;
        }
        *self.sent.entry(budget.clone()).or_default() += tokens;
        if *number == 0 {
            return;
        }
        let sent = PendingTransfer { to: to.clone(), budget: budget.clone(), tokens };
        self.unacknowledged.insert(*number, sent);
    }

    fn settle(&mut self, number: u64, request: request::Id, tokens: u64) {
        let Some(reservation) = self.open.remove(&request) else {
            return;
        };
        let settlement = Settlement { request, budget: reservation.budget, tokens };
        self.settled.insert((number, request), settlement);
    }

    fn flush(&mut self, segment: u64, through: u64) {
        self.segment = self.segment.max(segment);
        self.flushed = self.flushed.max(through);
        while let Some(first) = self.settled.first_entry()
            && first.key().0 <= through
        {
            first.remove();
        }
    }

    /// Removes a transfer that its receiver has acknowledged from the pending ones.
    pub fn acknowledge(&mut self, transfer: u64) {
        self.unacknowledged.remove(&transfer);
    }

    /// Returns entries that rebuild this state.
    ///
    /// Settlements don't keep their numbers, so that a rebuilt state may have settlements that the
    /// last segment already contains.
    pub fn entries(&self) -> Vec<Entry> {
        let mut entries = vec![Entry::Flushed { segment: self.segment, through: self.flushed }];
        for budget in &self.budgets {
            entries.push(Entry::Credit {
                budget: budget.clone(),
                tokens: 0,
                party: Counterparty::Table(0),
            });
        }
        self.transfer_entries(&mut entries);
        for settlement in self.settled.values() {
            entries.push(Entry::Reserve {
                request: settlement.request,
                budget: settlement.budget.clone(),
                tokens: settlement.tokens,
                backend: Arc::from(""),
            });
            entries.push(Entry::Settle { request: settlement.request, tokens: settlement.tokens });
        }
        for (request, reservation) in &self.open {
            entries.push(Entry::Reserve {
                request: *request,
                budget: reservation.budget.clone(),
                tokens: reservation.tokens,
                backend: reservation.backend.clone(),
            });
        }
        entries.extend(self.claim_entries());
        entries
    }

    fn transfer_entries(&self, entries: &mut Vec<Entry>) {
        let nobody = || Holder::from("");
        for (budget, tokens) in &self.received {
            let party = Counterparty::Holder(nobody(), 0);
            entries.push(Entry::Credit { budget: budget.clone(), tokens: *tokens, party });
        }
        for (budget, (holder, tokens)) in &self.allowances {
            let (budget, party) = (budget.clone(), Counterparty::Holder(holder.clone(), 0));
            entries.push(Entry::Debit { budget, tokens: *tokens, party });
        }
        let mut acknowledged = self.sent.clone();
        for (number, sent) in &self.unacknowledged {
            if let Some(tokens) = acknowledged.get_mut(&sent.budget) {
                *tokens -= sent.tokens;
            }
            let party = Counterparty::Holder(sent.to.clone(), *number);
            let (budget, tokens) = (sent.budget.clone(), sent.tokens);
            entries.push(Entry::Debit { budget, tokens, party });
        }
        for (budget, tokens) in acknowledged {
            entries.push(Entry::Debit { budget, tokens, party: Counterparty::Holder(nobody(), 0) });
        }
    }

    /// Returns entries that rebuild the claimed tickets.
    pub fn claim_entries(&self) -> Vec<Entry> {
        let mut entries = vec![Entry::TicketFloor { floor: self.floor }];
        for (ticket, claim) in &self.claims {
            entries.push(Entry::Claim {
                ticket: *ticket,
                digest: claim.digest,
                request: claim.request,
            });
            if let Some(outcome) = &claim.outcome {
                entries.push(Entry::Outcome { ticket: *ticket, outcome: outcome.clone() });
            }
        }
        entries
    }

    /// Returns the number of the last entry.
    pub fn through(&self) -> u64 {
        self.through
    }

    /// Returns the number of the last ledger segment that the journal records.
    pub fn last_segment(&self) -> u64 {
        self.segment
    }

    /// Returns all budgets that the journal names, in order. The holder gets no tokens of others.
    pub fn budgets(&self) -> impl Iterator<Item = &Arc<str>> {
        self.budgets.iter()
    }

    /// Returns the open reservations, by request.
    pub fn open_reservations(&self) -> &BTreeMap<request::Id, Reservation> {
        &self.open
    }

    /// Returns the settlements that may not be in the ledger yet, oldest first.
    pub fn unflushed_settlements(&self) -> impl Iterator<Item = &Settlement> {
        self.settled.values()
    }

    /// Returns the tokens received from other holders less those sent to them.
    pub fn net_received(&self, budget: &str) -> i128 {
        let of = |tokens: &BTreeMap<Arc<str>, u64>| tokens.get(budget).copied().unwrap_or_default();
        i128::from(of(&self.received)) - i128::from(of(&self.sent))
    }

    /// Returns the tokens that were set aside for use without a replica of the journal.
    pub fn allowance(&self, budget: &str) -> u64 {
        self.allowances.get(budget).map_or(0, |(_, tokens)| *tokens)
    }

    /// Returns the transfers that the receiver may not have received, by number.
    pub fn unacknowledged_transfers(&self) -> &BTreeMap<u64, PendingTransfer> {
        &self.unacknowledged
    }
}
