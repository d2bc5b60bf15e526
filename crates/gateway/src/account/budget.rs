//! Row of a budget: its totals over all hosts, and the limit on grants that an older copy of the
//! table would still show.
//!
//! The platform's table may be restored from a copy that is some seconds old. What was granted
//! since is then missing from the row, and the hosts that know of it may be dead. So grants keep
//! below a ceiling that stands in the row, and a host uses a raised ceiling only once it has seen it
//! for so long that every copy that may be restored contains it. After a restore, whatever may have
//! been granted up to the ceiling of the copy is withheld.

use std::{sync::Arc, time::Duration};

use coordination::escrow::Escrow;
use serde::{Deserialize, Serialize};

use super::environment::{Environment, Loss};

/// Time after a row was seen from which every copy that may be restored contains it: the greatest
/// age of a copy, 10 s, and a margin.
pub const COPY_MAX_AGE: Duration = Duration::from_secs(12);

/// Ceiling of a new budget, as a multiple of its prepaid amount: high enough not to limit grants
/// before a rate of use is known.
const INITIAL_CEILING_FACTOR: u64 = 4;

/// Part of the prepaid amount, in percent, that is granted at once of a budget that is created
/// while the fleet runs.
const FIRST_GRANT_PERCENT: u64 = 25;

/// Minimum distance of a raised ceiling from what is granted, in percent of the prepaid amount.
const MIN_HEADROOM_PERCENT: u64 = 10;

/// Time of use that a raised ceiling covers: two times [`COPY_MAX_AGE`] until the next raise can be
/// used, and what lenders prefetch.
const HEADROOM_TIME: Duration = Duration::from_secs(80);

/// Multiple of the headroom at which a ceiling is too high and is lowered.
const MAX_HEADROOM_FACTOR: u64 = 3;

/// Limit on the tokens granted in total.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ceiling {
    /// Limit that every copy contains.
    pub current: u64,
    /// Limit from when the row is older than any copy.
    pub next: u64,
}

impl Ceiling {
    fn max(self) -> u64 {
        self.current.max(self.next)
    }
}

/// Row of a budget.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Budget {
    /// Totals over all hosts.
    #[serde(flatten)]
    pub totals: Escrow,
    /// Tokens that may have been granted before the table was restored from an older copy.
    pub withheld: u64,
    /// Limit on `totals.granted`; absent in rows of earlier versions, which didn't limit it.
    pub ceiling: Option<Ceiling>,
    /// Highest prepaid amount that hosts granted by; absent in rows of earlier versions.
    pub amount: Option<u64>,
    /// Further tokens that may have been granted before the table was restored, if the amount had been
    /// raised by then.
    pub unproven: u64,
}

impl Budget {
    /// Creates the row of a budget that has none yet.
    pub fn create(prepaid: u64, environment: &Environment) -> Self {
        let next = prepaid.saturating_mul(INITIAL_CEILING_FACTOR);
        let first_grant = prepaid / 100 * FIRST_GRANT_PERCENT;
        let current = if environment.is_founding { next } else { first_grant };
        let withheld = match environment.lost_rows {
            Loss::None => 0,
            Loss::New => first_grant,
            Loss::Any => prepaid,
        };
        let ceiling = Some(Ceiling { current, next });
        let amount = Some(prepaid);
        Self { totals: Escrow::default(), withheld, ceiling, amount, unproven: 0 }
    }

    /// Returns the tokens that are granted to no host and not withheld.
    pub fn remaining(&self, prepaid: u64) -> u64 {
        self.totals.remaining(prepaid).saturating_sub(self.withheld)
    }

    /// Returns the tokens that may be granted now; `is_mature` tells that every copy contains the
    /// ceiling.
    pub fn grantable(&self, prepaid: u64, is_mature: bool) -> u64 {
        let limit = match self.ceiling {
            Some(ceiling) if is_mature => ceiling.max(),
            Some(ceiling) => ceiling.current,
            None => u64::MAX,
        };
        self.remaining(prepaid).min(limit.saturating_sub(self.totals.granted))
    }

    /// Applies that the table was restored from a copy with this row: withholds whatever may have
    /// been granted since, and grants nothing until a new ceiling has become old enough.
    pub fn restore(&mut self, prepaid: u64) {
        let granted = self.totals.granted;
        let by_ceiling = match self.ceiling {
            Some(ceiling) => ceiling.max().saturating_sub(granted),
            None => self.remaining(prepaid),
        };
        let by_amount = self.amount.map_or(u64::MAX, |amount| self.remaining(amount));
        self.withheld += by_ceiling.min(by_amount);
        self.unproven += by_ceiling.saturating_sub(by_amount);
        self.ceiling = Some(Ceiling { current: granted, next: granted });
    }

    /// Returns whether the prepaid amount is above the one that hosts granted by.
    pub fn is_raised(&self, prepaid: u64) -> bool {
        self.amount.is_some_and(|amount| amount < prepaid)
    }

    /// Records a raise of the prepaid amount. What may have been granted of it is withheld if it
    /// `may_precede_restore`.
    pub fn record_raise(&mut self, prepaid: u64, may_precede_restore: bool) {
        let amount = self.amount.get_or_insert(prepaid);
        let raise = prepaid.saturating_sub(*amount);
        *amount += raise;
        if !may_precede_restore {
            self.unproven = 0;
            return;
        }
        let withheld = raise.min(self.unproven);
        self.withheld += withheld;
        self.unproven -= withheld;
    }

    /// Returns the headroom that grants need, for hosts that together use `rate` tokens per second.
    fn headroom(prepaid: u64, rate: f64) -> u64 {
        let by_rate = (rate * HEADROOM_TIME.as_secs_f64()) as u64;
        by_rate.max(prepaid / 100 * MIN_HEADROOM_PERCENT)
    }

    /// Returns whether the ceiling is far higher than grants need, so that much would be withheld
    /// after a restore.
    pub fn is_ceiling_excessive(&self, prepaid: u64, rate: f64) -> bool {
        let max = MAX_HEADROOM_FACTOR * Self::headroom(prepaid, rate);
        self.ceiling.is_some_and(|own| own.max() > self.totals.granted.saturating_add(max))
    }

    /// Returns whether the ceiling leaves so little room that it has to be raised before grants need
    /// it.
    pub fn is_ceiling_low(&self, prepaid: u64, rate: f64) -> bool {
        let wanted = (Self::headroom(prepaid, rate) / 2).min(self.remaining(prepaid));
        let room = |ceiling: Ceiling| ceiling.next.saturating_sub(self.totals.granted);
        self.ceiling.is_some_and(|own| room(own) < wanted)
    }

    /// Adjusts the ceiling to what is granted and used. Lowering takes effect at once; a raise is
    /// begun only when the one before may be used.
    pub fn adjust_ceiling(&mut self, prepaid: u64, rate: f64, is_mature: bool, may_lower: bool) {
        let wanted = self.totals.granted + Self::headroom(prepaid, rate);
        let is_excessive = self.is_ceiling_excessive(prepaid, rate);
        let ceiling = self.ceiling.get_or_insert_with(Ceiling::default);
        if is_mature {
            ceiling.current = ceiling.max();
        }
        if is_excessive && may_lower {
            ceiling.current = ceiling.current.min(wanted);
            ceiling.next = wanted;
        } else if is_mature && wanted > ceiling.next {
            ceiling.next = wanted;
        }
    }
}

/// Row that is written in each era of the table before any other row of a budget.
///
/// Every transaction has it as a condition. So one of an earlier era, which may be committed late,
/// can't meet its conditions by revisions that were given out again.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Marker {
    /// Era of the table.
    pub era: u64,
}

/// Prefix of the rows of markers.
const MARKER_PREFIX: &str = "era/";

/// Returns the row key of a budget's marker.
pub(super) fn marker_key(workspace: &str) -> Arc<str> {
    Arc::from(format!("{MARKER_PREFIX}{workspace}"))
}
