//! Surroundings of an account, and how often stakes are written.

use std::time::Duration;

/// Least time after which a used stake is written anew.
const REPORT: Duration = Duration::from_millis(600);

/// Least time after which an idle stake is written anew.
const IDLE_REPORT: Duration = Duration::from_millis(2500);

/// Part of the fleet's writes that renew stakes, in percent.
const REPORTS_PERCENT: u64 = 50;

/// Part of those writes that renew stakes in use, where not all can be renewed in time, in percent.
const USED_PERCENT: u32 = 40;

/// Surroundings in which an account plans.
#[derive(Debug, Clone, Copy)]
pub struct Environment {
    /// Hosts that keep tokens of the workspace ahead.
    pub lenders: u64,
    /// This host is one of them.
    pub is_lender: bool,
    /// Workspaces with budgets.
    pub workspaces: u64,
    /// Writes in a second that all hosts together make for budgets.
    pub writes_per_s: u64,
    /// The platform's clock; it may be later already.
    pub platform_ms: Option<u64>,
}

impl Environment {
    /// Returns how long all stakes of the fleet take to be written anew.
    fn cycle(&self) -> Duration {
        let stakes = self.lenders.max(1) * self.workspaces.max(1);
        let writes = (self.writes_per_s * REPORTS_PERCENT / 100).max(1);
        Duration::from_millis(stakes * 1000 / writes)
    }

    /// Returns the time after which a stake in use is written anew.
    pub(super) fn report(&self) -> Duration {
        REPORT.max(self.cycle() * USED_PERCENT / 100)
    }

    /// Returns the time after which an idle stake is written anew.
    pub(super) fn idle_report(&self) -> Duration {
        IDLE_REPORT.max(self.cycle())
    }
}
