//! Recovery of one holder.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use super::{
    event::{Action, Report},
    host_of,
};
use crate::{
    claim::RecoveredClaims,
    escrow::{self, Registration, State},
    journal::{self, PendingTransfer},
    ledger::{self, Charge, Segment},
    message::{Entry, Holder, Message, SealedCopy},
    record::LedgerFormat,
    request,
    table::{Op, Outcome, Row, Txn},
};

/// Time between repeats of a request to seal a copy.
const SEAL_INTERVAL: Duration = Duration::from_millis(500);

/// Time that backend servers have to answer how many tokens requests used.
const USAGE_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of budgets in one transaction.
const MAX_BUDGETS: usize = 32;

/// Longest delay after an operation that failed or conflicted.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Current step of a recovery.
#[derive(Debug)]
enum Step {
    /// Waits to read the holder's row.
    Begin,
    /// The holder's row is being read, or marked as sealed.
    SealRow,
    /// Copies of the journal are being sealed.
    SealCopies,
    /// Backend servers are being asked how many tokens open requests used.
    QueryUsage { until: Duration },
    /// Ledger segments that may hold unflushed settlements are being read.
    Segments,
    /// Waits to read the rows of the next budgets.
    NextBudgets,
    /// Rows of the next budgets are being read.
    Read,
    /// A transaction is being committed.
    Commit(Effect),
    /// Nothing is left to do.
    Finished,
}

/// Effects of a transaction.
#[derive(Debug, Default)]
struct Effect {
    /// Number of budgets in the transaction.
    budgets: usize,
    settled: u64,
    returned: u64,
    stranded: u64,
    /// Requests that it charges.
    charges: Vec<request::Id>,
    closes: bool,
}

/// A recovery in progress.
#[derive(Debug)]
pub(super) struct Job {
    holder: Holder,
    step: Step,
    not_before: Duration,
    /// Next operation on the table.
    op: Option<Op>,
    registration: Registration,
    /// Sealed copies by ensemble member; `None` for a lost one.
    copies: BTreeMap<Holder, Option<SealedCopy>>,
    sealed_at: Option<Duration>,
    state: journal::State,
    /// Tokens used by open requests, as backend servers reported; `None` if they don't know.
    usage: BTreeMap<request::Id, Option<u64>>,
    /// Requests whose charge is known to be in the ledger.
    charged: BTreeSet<request::Id>,
    /// All budgets that the journal names, in order.
    budgets: Vec<Arc<str>>,
    /// Number of budgets whose rows were committed.
    budgets_done: usize,
    /// Old-ledger keys of the charges of the budgets being read.
    charge_keys: Vec<Arc<str>>,
    report: Report,
    /// Whether the holder has a row in the table.
    registered: bool,
}

impl Job {
    pub fn new(holder: Holder, at: Duration) -> Self {
        let report = Report {
            holder: holder.clone(),
            settled: 0,
            returned: 0,
            stranded: 0,
            claims: RecoveredClaims::default(),
            incomplete: false,
        };
        Self {
            holder,
            step: Step::Begin,
            not_before: at,
            op: None,
            registration: Registration::initial(),
            copies: BTreeMap::new(),
            sealed_at: None,
            state: journal::State::default(),
            usage: BTreeMap::new(),
            charged: BTreeSet::new(),
            budgets: Vec::new(),
            budgets_done: 0,
            charge_keys: Vec::new(),
            report,
            registered: false,
        }
    }

    pub fn is_finished(&self) -> bool {
        matches!(self.step, Step::Finished)
    }

    /// Returns the report, or `None` if the holder has no valid row in the table.
    pub fn into_report(self) -> Option<Report> {
        self.registered.then_some(self.report)
    }

    /// Returns the transfers that their receivers may not have received.
    pub fn transfers(&self) -> BTreeMap<u64, PendingTransfer> {
        self.state.unacknowledged_transfers().clone()
    }

    /// Records the copies of gone members as lost.
    pub fn mark_lost(&mut self, gone: impl Fn(&Holder) -> bool) {
        if !matches!(self.step, Step::SealCopies) {
            return;
        }
        for member in &self.registration.ensemble {
            if gone(member) {
                self.copies.entry(member.clone()).or_insert(None);
            }
        }
    }

    /// Records a sealed copy. An empty one, or one from a later process of the host, proves that
    /// the copy was lost.
    pub fn record_copy(&mut self, now: Duration, from: &Holder, copy: &SealedCopy) {
        if !matches!(self.step, Step::SealCopies) {
            return;
        }
        let host = host_of(from);
        let mut members = self.registration.ensemble.iter();
        let Some(member) = members.find(|member| host_of(member) == host).cloned() else {
            return;
        };
        let is_kept = member == *from && copy.through > 0;
        self.copies.insert(member, is_kept.then(|| copy.clone()));
        self.sealed_at = self.sealed_at.or(Some(now));
    }

    pub fn record_usage(&mut self, request: request::Id, tokens: Option<u64>) {
        if self.state.open_reservations().contains_key(&request) {
            self.usage.insert(request, tokens);
        }
    }

    /// Advances as far as possible; returns the next operation on the table.
    pub fn advance(&mut self, now: Duration, actions: &mut Vec<Action>) -> Option<Op> {
        if now >= self.not_before {
            match self.step {
                Step::Begin => {
                    self.step = Step::SealRow;
                    self.op = Some(Op::Read(vec![escrow::holder_key(&self.holder)]));
                }
                Step::SealCopies => self.seal_copies(now, actions),
                Step::NextBudgets => self.read_budgets(),
                _ => {}
            }
        }
        if let Step::QueryUsage { until } = self.step
            && (now >= until || self.usage.len() == self.state.open_reservations().len())
        {
            self.read_segments();
        }
        self.op.take()
    }

    /// Asks the members whose copies are missing to seal them, or continues once none is missing.
    fn seal_copies(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let missing = |member: &&Holder| !self.copies.contains_key(*member);
        let missing: Vec<Holder> =
            self.registration.ensemble.iter().filter(missing).cloned().collect();
        if missing.is_empty() {
            self.use_longest_copy(now, actions);
            return;
        }
        self.not_before = now + SEAL_INTERVAL;
        for member in missing {
            let message = Message::Seal { holder: self.holder.clone() };
            actions.push(Action::Send { to: host_of(&member), message });
        }
    }

    /// Rebuilds the state from the longest copy, since all are prefixes of one journal, and asks
    /// backend servers for the usage of its open requests.
    fn use_longest_copy(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let kept = self.copies.values().flatten();
        if let Some(copy) = kept.max_by_key(|copy| copy.through) {
            self.state = journal::State::rebuild(copy.through, &copy.entries);
        }
        let lost = self.copies.values().any(|copy| copy.is_none());
        self.report.incomplete = lost || self.registration.ensemble.is_empty();
        self.report.claims = RecoveredClaims::replay(&self.claims());
        self.budgets = self.state.budgets().cloned().collect();
        for (request, reservation) in self.state.open_reservations() {
            if reservation.backend.is_empty() {
                self.usage.insert(*request, None);
                continue;
            }
            actions.push(Action::QueryUsage {
                request: *request,
                backend: reservation.backend.clone(),
            });
        }
        self.step = Step::QueryUsage { until: now + USAGE_TIMEOUT };
    }

    /// Returns the entries that rebuild the claims. If a copy was lost, they don't have the ticket
    /// floor, since a claim that isn't among them may still have been made.
    fn claims(&self) -> Vec<Entry> {
        let mut entries = self.state.claim_entries();
        if self.report.incomplete {
            entries.retain(|entry| !matches!(entry, Entry::TicketFloor { .. }));
        }
        entries
    }

    /// Reads the segments that may have settlements that the journal shows as unflushed.
    fn read_segments(&mut self) {
        let first = self.state.last_segment().max(1);
        let segments = first..=self.registration.segment;
        let key = |segment| ledger::segment_key(&self.holder, segment);
        self.step = Step::Segments;
        self.op = Some(Op::Read(segments.map(key).collect()));
    }

    /// Reads the rows of the next budgets.
    fn read_budgets(&mut self) {
        let mut keys = vec![escrow::holder_key(&self.holder)];
        let budgets = self.next_budgets();
        for budget in &budgets {
            keys.extend(escrow::budget_row_keys(budget, &self.holder));
        }
        let charges = self.unwritten_charges(&budgets);
        let key = |charge: &Charge| escrow::charge_key(&charge.budget, charge.request);
        self.charge_keys = charges.iter().map(key).collect();
        keys.extend(self.charge_keys.iter().cloned());
        self.step = Step::Read;
        self.op = Some(Op::Read(keys));
    }

    /// Returns the budgets of the next transaction.
    fn next_budgets(&self) -> Vec<Arc<str>> {
        self.budgets.iter().skip(self.budgets_done).take(MAX_BUDGETS).cloned().collect()
    }

    /// Returns the charges of some budgets that aren't in the holder's segments: unflushed
    /// settlements, and open requests at their reported usage or else at the full reservation.
    fn unwritten_charges(&self, budgets: &[Arc<str>]) -> Vec<Charge> {
        let settled = self.state.unflushed_settlements().map(|settlement| Charge {
            request: settlement.request,
            budget: settlement.budget.clone(),
            tokens: settlement.tokens,
        });
        let open = self.state.open_reservations().iter().map(|(request, reservation)| {
            let used = self.usage.get(request).copied().flatten();
            Charge {
                request: *request,
                budget: reservation.budget.clone(),
                tokens: used.map_or(reservation.tokens, |used| used.min(reservation.tokens)),
            }
        });
        let wanted = |charge: &Charge| {
            budgets.contains(&charge.budget) && !self.charged.contains(&charge.request)
        };
        settled.chain(open).filter(wanted).filter(|charge| charge.tokens > 0).collect()
    }

    /// Handles the answer to an operation on the table; `jitter` scales the delay after a failure.
    pub fn handle_table(&mut self, now: Duration, outcome: Outcome, jitter: f64) {
        match (std::mem::replace(&mut self.step, Step::Begin), outcome) {
            (Step::SealRow, Outcome::Rows(rows)) => self.handle_registration(&rows),
            (Step::SealRow, Outcome::Committed(_)) => self.step = Step::Begin,
            (Step::Segments, Outcome::Rows(rows)) => self.add_segments(&rows),
            (Step::Read, Outcome::Rows(rows)) => self.plan(&rows),
            (Step::Commit(effect), Outcome::Committed(_)) => self.apply_effect(effect),
            _ => self.not_before = now + RETRY_DELAY.mul_f64(jitter),
        }
    }

    /// Handles the holder's row, and marks it as sealed if it is open.
    fn handle_registration(&mut self, rows: &[Row]) {
        let Some(row) = rows.first() else {
            return;
        };
        let Ok(Some(registration)) = escrow::parse::<Registration>(row) else {
            self.step = Step::Finished;
            return;
        };
        self.registered = true;
        self.registration = registration;
        match self.registration.state {
            State::Closed => self.step = Step::Finished,
            State::Sealed => self.step = Step::SealCopies,
            State::Open => {
                let sealed = Registration { state: State::Sealed, ..self.registration.clone() };
                let mut txn = Txn::default();
                txn.put(row, &sealed);
                self.step = Step::SealRow;
                self.op = Some(Op::Commit(txn));
            }
        }
    }

    fn add_segments(&mut self, rows: &[Row]) {
        for row in rows {
            if let Ok(Some(segment)) = escrow::parse::<Segment>(row) {
                self.charged.extend(segment.charges.iter().map(|charge| charge.request));
            }
        }
        self.step = Step::NextBudgets;
    }

    /// Builds the transaction of the next budgets from their rows.
    fn plan(&mut self, rows: &[Row]) {
        let budgets = self.next_budgets();
        if rows.len() != 1 + 3 * budgets.len() + self.charge_keys.len() {
            return;
        }
        let Ok(Some(registration)) = escrow::parse::<Registration>(&rows[0]) else {
            return;
        };
        if registration != self.registration {
            self.step = Step::Begin;
            return;
        }
        let (budget_rows, charge_rows) = rows[1..].split_at(3 * budgets.len());
        let mut txn = Txn::default();
        let mut effect = Effect { budgets: budgets.len(), ..Effect::default() };
        let mut segment = Segment::default();
        for (budget, rows) in budgets.iter().zip(budget_rows.chunks_exact(3)) {
            self.plan_budget(budget, rows, charge_rows, &mut txn, &mut segment, &mut effect);
        }
        self.plan_registration(&rows[0], &segment, &mut txn, &mut effect);
        self.step = Step::Commit(effect);
        self.op = Some(Op::Commit(txn));
    }

    /// Writes the charges of a budget and returns the remaining tokens. Strands those that the
    /// holder may have used without a replica: all of them if a copy was lost, else its allowance.
    fn plan_budget(
        &self,
        budget: &Arc<str>,
        rows: &[Row],
        charge_rows: &[Row],
        txn: &mut Txn,
        segment: &mut Segment,
        effect: &mut Effect,
    ) {
        let Some((record, mut escrow, mut grant)) = escrow::parse_budget_rows(rows) else {
            return;
        };
        let old = record.is_some_and(|record| record.ledger == LedgerFormat::Old);
        let was = grant.clone();
        for charge in self.unwritten_charges(std::slice::from_ref(budget)) {
            let key = escrow::charge_key(budget, charge.request);
            let row = charge_rows.iter().find(|row| row.key == key);
            if row.is_some_and(|row| row.value.is_some()) {
                continue;
            }
            grant.settled += charge.tokens;
            effect.settled += charge.tokens;
            effect.charges.push(charge.request);
            ledger::settle(&charge, row.filter(|_| old), &mut escrow, txn, segment);
        }
        let remaining = u64::try_from(grant.open() + self.state.net_received(budget)).unwrap_or(0);
        let accounted = if self.report.incomplete { 0 } else { remaining };
        let returned = accounted.saturating_sub(self.state.allowance(budget));
        let stranded = remaining - returned;
        escrow.returned += returned;
        grant.returned += returned;
        effect.returned += returned;
        escrow.stranded += stranded;
        grant.stranded += stranded;
        effect.stranded += stranded;
        if grant != was {
            grant.number += 1;
            txn.put(&rows[1], &escrow);
            txn.put(&rows[2], &grant);
        }
    }

    /// Writes the segment and updates the holder's row; closes the holder with the last budgets.
    fn plan_registration(&self, row: &Row, segment: &Segment, txn: &mut Txn, effect: &mut Effect) {
        let mut next = self.registration.clone();
        if !segment.charges.is_empty() {
            next.segment += 1;
            let key = ledger::segment_key(&self.holder, next.segment);
            txn.put(&Row { key, value: None, revision: 0 }, segment);
        }
        if self.budgets_done + effect.budgets == self.budgets.len() {
            effect.closes = true;
            next.state = State::Closed;
            next.incomplete = self.report.incomplete;
            let key = escrow::claims_key(&self.holder);
            txn.put(&Row { key, value: None, revision: 0 }, &self.claims());
        }
        if next == self.registration {
            txn.check(row);
        } else {
            txn.put(row, &next);
        }
    }

    fn apply_effect(&mut self, effect: Effect) {
        self.report.settled += effect.settled;
        self.report.returned += effect.returned;
        self.report.stranded += effect.stranded;
        self.budgets_done += effect.budgets;
        if effect.closes {
            self.step = Step::Finished;
            return;
        }
        if !effect.charges.is_empty() {
            self.registration.segment += 1;
        }
        self.charged.extend(effect.charges);
        self.step = Step::NextBudgets;
    }
}
