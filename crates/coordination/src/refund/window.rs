//! Window of the requests whose charges were read most recently.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use crate::{ledger::Charge, request, table::Revision};

/// Maximum number of requests in the window.
const MAX_REQUESTS: usize = 131_072;

/// Location of a charge in the ledger; it never changes, since a segment is written once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ChargeLocation {
    /// Revision of the segment.
    pub revision: Revision,
    /// Index within the segment.
    pub index: usize,
}

impl ChargeLocation {
    /// Returns the name under which a refund lists the charge.
    pub fn name(self) -> Arc<str> {
        Arc::from(format!("{}.{}", self.revision, self.index))
    }
}

/// First charge of a request, which is not refunded.
#[derive(Debug)]
struct FirstCharge {
    budget: Arc<str>,
    tokens: u64,
    /// `None` for a charge in the old ledger.
    location: Option<ChargeLocation>,
}

/// First charges of requests; the oldest are dropped first.
#[derive(Debug, Default)]
pub(super) struct Window {
    first_charges: BTreeMap<request::Id, FirstCharge>,
    insertion_order: VecDeque<(Revision, request::Id)>,
    budgets: BTreeSet<Arc<str>>,
}

impl Window {
    /// Adds a charge of a segment; returns whether the request has another first charge.
    pub fn add(&mut self, location: ChargeLocation, charge: &Charge) -> bool {
        match self.first_charges.get(&charge.request) {
            Some(first) => first.location != Some(location),
            None => {
                self.insert(location.revision, charge, Some(location));
                false
            }
        }
    }

    /// Adds a charge of the old ledger; returns the segment's charge that it replaces as the first
    /// one.
    pub fn add_old_charge(
        &mut self,
        revision: Revision,
        charge: &Charge,
    ) -> Option<(Charge, ChargeLocation)> {
        let Some(first) = self.first_charges.get_mut(&charge.request) else {
            self.insert(revision, charge, None);
            return None;
        };
        let location = first.location.take()?;
        let repeated = Charge {
            request: charge.request,
            budget: std::mem::replace(&mut first.budget, charge.budget.clone()),
            tokens: std::mem::replace(&mut first.tokens, charge.tokens),
        };
        Some((repeated, location))
    }

    fn insert(&mut self, revision: Revision, charge: &Charge, location: Option<ChargeLocation>) {
        let budget = self.budgets.get(&charge.budget).unwrap_or(&charge.budget).clone();
        self.budgets.insert(budget.clone());
        self.first_charges
            .insert(charge.request, FirstCharge { budget, tokens: charge.tokens, location });
        self.insertion_order.push_back((revision, charge.request));
        if self.insertion_order.len() > MAX_REQUESTS
            && let Some((_, request)) = self.insertion_order.pop_front()
        {
            self.first_charges.remove(&request);
        }
    }

    /// Returns the revision before the oldest charge in the window.
    pub fn start_revision(&self) -> Option<Revision> {
        self.insertion_order.front().map(|(revision, _)| revision.saturating_sub(1))
    }

    /// Returns the number of requests in the window.
    pub fn len(&self) -> usize {
        self.insertion_order.len()
    }
}
