//! Comparison of the ledger with the totals of budgets.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use super::{Charge, PREFIX, REFUND_PREFIX, Refund, Segment};
use crate::{
    escrow::{self, Escrow, Grant, Registration, State},
    message::Holder,
    table::Row,
};

/// Two figures of a budget that should be equal, or of which one shouldn't exceed the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Disagreement {
    /// The charges in segments differ from the total of the budget.
    #[error("segments hold {ledger} tokens, the budget shows {budget} settled")]
    Settled {
        /// Tokens in the ledger.
        ledger: u64,
        /// Tokens in the row of the budget.
        budget: u64,
    },
    /// The charges in the old ledger differ from the total of the budget.
    #[error("the old ledger holds {ledger} tokens, the budget shows {budget} settled")]
    OldSettled {
        /// Tokens in the ledger.
        ledger: u64,
        /// Tokens in the row of the budget.
        budget: u64,
    },
    /// The refunds differ from the total of the budget.
    #[error("refunds hold {ledger} tokens, the budget shows {budget} refunded")]
    Refunded {
        /// Tokens in the ledger.
        ledger: u64,
        /// Tokens in the row of the budget.
        budget: u64,
    },
    /// The grants of all holders differ from the totals of the budget.
    #[error("grants add up to {grants:?}, the budget shows {budget:?}")]
    Grants {
        /// Tokens granted, returned, settled and stranded, summed over the grant rows.
        grants: [u64; 4],
        /// The same figures in the row of the budget.
        budget: [u64; 4],
    },
    /// More tokens are settled, stranded or open than were bought.
    #[error("{committed} tokens are settled, stranded or open, {prepaid} were bought")]
    Overspent {
        /// Tokens settled, stranded or open.
        committed: u64,
        /// Tokens bought.
        prepaid: u64,
    },
}

/// Figures of one budget.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Balance {
    /// Tokens bought.
    pub prepaid: u64,
    /// Totals in the budget's row.
    pub escrow: Escrow,
    /// Tokens that may still be granted.
    pub remaining: u64,
    /// Tokens granted to each holder less those returned, settled and stranded; negative if it
    /// received transfers. Holders for which this is zero are left out.
    pub open: BTreeMap<Holder, i128>,
    /// Tokens out of use: those stranded, and those still open at holders that were closed without
    /// all copies of their journal.
    pub stranded: u64,
    /// Tokens charged in segments.
    pub ledger: u64,
    /// Tokens charged in the old ledger.
    pub old_ledger: u64,
    /// Tokens refunded.
    pub refunds: u64,
    /// Number of charges in both ledgers.
    pub charges: u64,
    /// Disagreements found.
    pub disagreements: Vec<Disagreement>,
}

/// Collects rows and compares the figures of each budget.
///
/// Rows that were read page by page may disagree temporarily while the fleet writes. A second read
/// shows whether a disagreement persists.
#[derive(Debug, Default)]
pub struct Reconciler {
    balances: BTreeMap<Arc<str>, Balance>,
    /// Sums over the grant rows of each budget: granted, returned, settled and stranded.
    grants: BTreeMap<Arc<str>, [u64; 4]>,
    /// Holders that were closed without all copies of their journal.
    incomplete: BTreeSet<Holder>,
    malformed: Vec<Arc<str>>,
}

impl Reconciler {
    /// Key prefixes of the rows that are needed.
    pub const PREFIXES: [&str; 7] = [
        "config/budget/",
        escrow::ESCROW_PREFIX,
        escrow::GRANT_PREFIX,
        escrow::HOLDER_PREFIX,
        escrow::CHARGE_PREFIX,
        PREFIX,
        REFUND_PREFIX,
    ];

    /// Adds a row; rows of other kinds are ignored.
    pub fn add(&mut self, row: &Row) {
        if row.value.is_some() && self.add_row(row).is_none() {
            self.malformed.push(row.key.clone());
        }
    }

    /// Adds a row; returns `None` if it is malformed.
    fn add_row(&mut self, row: &Row) -> Option<()> {
        let (kind, name) = row.key.split_once('/')?;
        match kind {
            "config" => self.add_record(row),
            "escrow" => {
                self.balance(name).escrow = escrow::parse(row).ok()??;
                Some(())
            }
            "grant" => self.add_grant(name, &escrow::parse(row).ok()??),
            "holder" => {
                let registration: Registration = escrow::parse(row).ok()??;
                if registration.state == State::Closed && registration.incomplete {
                    self.incomplete.insert(Arc::from(name));
                }
                Some(())
            }
            "ledger" => self.add_segment(&escrow::parse(row).ok()??),
            "charge" => {
                let charge: Charge = escrow::parse(row).ok()??;
                let balance = self.balance(&charge.budget);
                balance.old_ledger += charge.tokens;
                balance.charges += 1;
                Some(())
            }
            "refund" => {
                let refund: Refund = escrow::parse(row).ok()??;
                let (budget, _) = name.rsplit_once('/')?;
                self.balance(budget).refunds += refund.charges.values().sum::<u64>();
                Some(())
            }
            _ => Some(()),
        }
    }

    fn balance(&mut self, budget: &str) -> &mut Balance {
        self.balances.entry(Arc::from(budget)).or_default()
    }

    fn add_record(&mut self, row: &Row) -> Option<()> {
        if !row.key.starts_with(Self::PREFIXES[0]) {
            return Some(());
        }
        let budget = escrow::parse_budget(row).ok()??;
        self.balance(&budget.name).prepaid = budget.prepaid();
        Some(())
    }

    fn add_grant(&mut self, name: &str, grant: &Grant) -> Option<()> {
        let (budget, holder) = name.rsplit_once('/')?;
        let sums = self.grants.entry(Arc::from(budget)).or_default();
        let figures = [grant.granted, grant.returned, grant.settled, grant.stranded];
        for (sum, figure) in sums.iter_mut().zip(figures) {
            *sum += figure;
        }
        if grant.open() != 0 {
            self.balance(budget).open.insert(Arc::from(holder), grant.open());
        }
        Some(())
    }

    fn add_segment(&mut self, segment: &Segment) -> Option<()> {
        for charge in &segment.charges {
            let balance = self.balance(&charge.budget);
            balance.ledger += charge.tokens;
            balance.charges += 1;
        }
        Some(())
    }

    /// Returns the keys of malformed rows.
    pub fn malformed(&self) -> &[Arc<str>] {
        &self.malformed
    }

    /// Returns the balance of each budget, by name.
    pub fn finish(mut self) -> BTreeMap<Arc<str>, Balance> {
        let mut balances = std::mem::take(&mut self.balances);
        for (budget, balance) in &mut balances {
            let grants = self.grants.get(budget).copied().unwrap_or_default();
            let incomplete = |holder: &Holder| self.incomplete.contains(holder);
            let lost: i128 = balance
                .open
                .iter()
                .filter(|(holder, _)| incomplete(holder))
                .map(|(_, open)| *open)
                .sum();
            balance.stranded = balance.escrow.stranded + u64::try_from(lost).unwrap_or(0);
            balance.remaining = balance.escrow.remaining(balance.prepaid);
            balance.disagreements = disagreements(balance, grants);
        }
        balances
    }
}

fn disagreements(balance: &Balance, grants: [u64; 4]) -> Vec<Disagreement> {
    let escrow = &balance.escrow;
    let mut found = Vec::new();
    let (ledger, budget) = (balance.ledger, escrow.settled);
    if ledger != budget {
        found.push(Disagreement::Settled { ledger, budget });
    }
    let (ledger, budget) = (balance.old_ledger, escrow.old_settled);
    if ledger != budget {
        found.push(Disagreement::OldSettled { ledger, budget });
    }
    let (ledger, budget) = (balance.refunds, escrow.refunded);
    if ledger != budget {
        found.push(Disagreement::Refunded { ledger, budget });
    }
    let settled = escrow.settled + escrow.old_settled;
    let budget = [escrow.granted, escrow.returned, settled, escrow.stranded];
    if grants != budget {
        found.push(Disagreement::Grants { grants, budget });
    }
    let committed = (settled + escrow.stranded + escrow.open()).saturating_sub(escrow.refunded);
    if committed > balance.prepaid {
        found.push(Disagreement::Overspent { committed, prepaid: balance.prepaid });
    }
    found
}
