//! Requests whose charges were read of late.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use crate::{ledger::Charge, request, table::Revision};

/// Greatest number of requests kept in mind.
const REQUESTS: usize = 131_072;

/// Where a charge stands in the ledger; a segment is written once, so this never changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Place {
    /// Revision of the segment.
    pub revision: Revision,
    /// Place within the segment.
    pub index: usize,
}

impl Place {
    /// Returns the name of the charge in a refund.
    pub fn name(self) -> Arc<str> {
        Arc::from(format!("{}.{}", self.revision, self.index))
    }
}

/// The charge of a request that isn't refunded.
#[derive(Debug)]
struct First {
    budget: Arc<str>,
    tokens: u64,
    /// `None` for a charge in the old ledger.
    place: Option<Place>,
}

/// First charges of requests, the oldest dropped first.
#[derive(Debug, Default)]
pub(super) struct Window {
    first: BTreeMap<request::Id, First>,
    order: VecDeque<(Revision, request::Id)>,
    budgets: BTreeSet<Arc<str>>,
}

impl Window {
    /// Takes a charge of a segment; returns whether the request was charged before.
    pub fn add(&mut self, place: Place, charge: &Charge) -> bool {
        match self.first.get(&charge.request) {
            Some(first) => first.place != Some(place),
            None => {
                self.insert(place.revision, charge, Some(place));
                false
            }
        }
    }

    /// Takes a charge of the old ledger; returns the charge of a segment that it supersedes.
    pub fn add_old(&mut self, revision: Revision, charge: &Charge) -> Option<(Charge, Place)> {
        let Some(first) = self.first.get_mut(&charge.request) else {
            self.insert(revision, charge, None);
            return None;
        };
        let place = first.place.take()?;
        let repeated = Charge {
            request: charge.request,
            budget: std::mem::replace(&mut first.budget, charge.budget.clone()),
            tokens: std::mem::replace(&mut first.tokens, charge.tokens),
        };
        Some((repeated, place))
    }

    fn insert(&mut self, revision: Revision, charge: &Charge, place: Option<Place>) {
        let budget = self.budgets.get(&charge.budget).unwrap_or(&charge.budget).clone();
        self.budgets.insert(budget.clone());
        self.first.insert(charge.request, First { budget, tokens: charge.tokens, place });
        self.order.push_back((revision, charge.request));
        if self.order.len() > REQUESTS
            && let Some((_, request)) = self.order.pop_front()
        {
            self.first.remove(&request);
        }
    }

    /// Returns the revision before the oldest charge kept in mind.
    pub fn start(&self) -> Option<Revision> {
        self.order.front().map(|(revision, _)| revision.saturating_sub(1))
    }

    /// Returns the number of requests kept in mind.
    pub fn len(&self) -> usize {
        self.order.len()
    }
}
