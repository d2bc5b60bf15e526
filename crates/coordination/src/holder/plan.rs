//! Transaction of a round: refills, returns, charges and the row of the holder.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use super::{Deferred, Holder, Phase, policy};
use crate::{
    escrow::{self, Escrow, Grant, Registration, State},
    journal::Ensemble,
    ledger::{self, Charge, Segment},
    message::{Counterparty, Entry},
    request,
    table::{Row, Txn},
};

/// This holder's rows as a transaction writes them.
#[derive(Debug, Default)]
pub(super) struct Plan {
    pub registration: Option<Registration>,
    pub grants: Vec<(Arc<str>, Grant)>,
    /// Requests that wait for more tokens than are left of the whole budget.
    pub unaffordable: Vec<request::Id>,
}

impl Holder {
    /// Plans the charges, return and refill of a budget.
    pub(super) fn plan_budget(
        &mut self,
        now: Duration,
        budget: &Arc<str>,
        rows: &[Row],
        charged: &BTreeSet<Arc<str>>,
        txn: &mut Txn,
        plan: &mut Plan,
    ) {
        let Some((record, mut escrow, mut grant)) = escrow::parse_budget_rows(rows) else {
            return;
        };
        let (was_escrow, was_grant) = (escrow.clone(), grant.clone());
        self.plan_settled(budget, charged, &mut escrow, &mut grant);
        let prepaid = record.map_or(0, |record| record.prepaid());
        let Some(account) = self.accounts.get_mut(budget) else {
            return;
        };
        let spent = (escrow.settled + escrow.old_settled).saturating_sub(escrow.refunded);
        let unspent = prepaid.saturating_sub(spent + escrow.stranded);
        account.pool.observe(now, unspent, escrow.remaining(prepaid), spent);
        plan.unaffordable.extend(account.remove_unaffordable());
        let excess = if self.draining { account.available } else { policy::excess(account, now) };
        if account.returning == 0 && excess > 0 {
            account.available -= excess;
            account.returning = excess;
        }
        escrow.returned += account.returning;
        grant.returned += account.returning;
        let refill = if self.draining { 0 } else { policy::refill(account, now) };
        if refill > 0 && account.journaled && self.phase == Phase::Registered {
            escrow.granted += refill;
            grant.granted += refill;
        }
        if !account.journaled && !account.journaling {
            account.journaling = true;
            let party = Counterparty::Table(0);
            let entry = Entry::Credit { budget: budget.clone(), tokens: 0, party };
            let number = self.journal.append(entry);
            self.deferred.insert(number, Deferred::BudgetJournaled(budget.clone()));
        }
        if escrow == was_escrow && grant == was_grant {
            return;
        }
        grant.number += 1;
        txn.check(&rows[0]);
        txn.put(&rows[1], &escrow);
        txn.put(&rows[2], &grant);
        plan.grants.push((budget.clone(), grant));
    }

    /// Counts the charges of the current flush in the figures of a budget, unless the old ledger
    /// already has them.
    pub(super) fn plan_settled(
        &self,
        budget: &Arc<str>,
        charged: &BTreeSet<Arc<str>>,
        escrow: &mut Escrow,
        grant: &mut Grant,
    ) {
        let Some(flush) = &self.flush else {
            return;
        };
        let mut counted = BTreeSet::new();
        for charge in flush.charges.iter().filter(|charge| charge.budget == *budget) {
            if !charge.old_ledger {
                escrow.settled += charge.tokens;
                grant.settled += charge.tokens;
                continue;
            }
            let key = escrow::charge_key(budget, charge.request);
            if counted.insert(charge.request) && !charged.contains(&key) {
                escrow.old_settled += charge.tokens;
                grant.settled += charge.tokens;
            }
        }
    }

    /// Writes the charges of the current flush to their ledgers.
    pub(super) fn plan_charges(&self, rows: &[Row], txn: &mut Txn) {
        let Some(flush) = &self.flush else {
            return;
        };
        let mut segment = Segment::default();
        for charge in &flush.charges {
            let entry = Charge {
                request: charge.request,
                budget: charge.budget.clone(),
                tokens: charge.tokens,
            };
            if !charge.old_ledger {
                segment.charges.push(entry);
                continue;
            }
            let key = escrow::charge_key(&charge.budget, charge.request);
            let row = rows.iter().find(|row| row.key == key);
            let written = txn.writes.iter().any(|write| write.key == key);
            if let Some(row) = row
                && row.value.is_none()
                && !written
            {
                txn.put(row, &entry);
            }
        }
        let key = ledger::segment_key(&self.settings.id, flush.segment);
        let row = Row { key, value: None, revision: 0 };
        txn.put(&row, &segment);
    }

    /// Plans this holder's own row: its registration, ensemble, last segment and closing.
    pub(super) fn plan_registration(
        &self,
        row: &Row,
        was: Option<Registration>,
        ensemble: &Option<Ensemble>,
        txn: &mut Txn,
        plan: &mut Plan,
    ) {
        let mut next = was.clone().unwrap_or_else(Registration::initial);
        if let Some(ensemble) = ensemble
            && (was.is_none() || next.ensemble != *ensemble)
        {
            next.ensemble = ensemble.clone();
            next.epoch += 1;
        }
        if let Some(flush) = &self.flush {
            next.segment = flush.segment;
        }
        if self.draining && self.is_idle() && txn.writes.is_empty() {
            next.state = State::Closed;
            let key = escrow::claims_key(&self.settings.id);
            let claims = self.journal.state().claim_entries();
            txn.put(&Row { key, value: None, revision: 0 }, &claims);
        }
        if was.as_ref() == Some(&next) {
            if !txn.writes.is_empty() {
                txn.check(row);
            }
            return;
        }
        txn.put(row, &next);
        plan.registration = Some(next);
    }
}
