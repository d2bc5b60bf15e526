//! What an account has to know about its host and platform, and how often allocations are renewed.

use std::time::Duration;

/// Minimum time between two writes of an allocation in use.
const MIN_RENEWAL_INTERVAL: Duration = Duration::from_millis(600);

/// Minimum time between two writes of an idle allocation.
const MIN_IDLE_RENEWAL_INTERVAL: Duration = Duration::from_millis(2500);

/// Share of all hosts' budget writes that renew allocations, in percent.
const RENEWAL_WRITES_PERCENT: u64 = 50;

/// Time between two writes of an allocation in use, where not all can be renewed in time, in
/// percent of the time that renewing all of them takes.
const IN_USE_RENEWALS_PERCENT: u32 = 40;

/// Which rows of budgets may be missing since the table was restored from an older copy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Loss {
    /// None: it wasn't restored lately.
    #[default]
    None,
    /// Rows of budgets that were created shortly before.
    New,
    /// Rows of any budget, as when the fleet had just started for the first time.
    Any,
}

/// Facts about the host and the platform by which an account plans.
#[derive(Debug, Clone, Copy)]
pub struct Environment {
    /// Hosts that prefetch tokens of the workspace and lend them.
    pub lenders: u64,
    /// Whether this host is one of them.
    pub is_lender: bool,
    /// Whether one in this host's zone can be asked, and given what requests leave over.
    pub is_lender_reachable: bool,
    /// Number of workspaces with budgets.
    pub workspaces: u64,
    /// Writes per second that all hosts together may make for budgets.
    pub writes_per_s: u64,
    /// The platform's clock in milliseconds; the actual time may be later.
    pub platform_ms: Option<u64>,
    /// Era of the platform's table.
    pub era: u64,
    /// Whether the fleet is being founded, so that budgets without rows are new.
    pub is_founding: bool,
    /// Which rows may be missing in this era.
    pub lost_rows: Loss,
}

impl Environment {
    /// Returns how long it takes to renew the allocations of all hosts.
    fn renewal_cycle(&self) -> Duration {
        let allocations = self.lenders.max(1) * self.workspaces.max(1);
        let writes = (self.writes_per_s * RENEWAL_WRITES_PERCENT / 100).max(1);
        Duration::from_millis(allocations * 1000 / writes)
    }

    /// Returns the time after which an allocation in use is renewed.
    pub(super) fn renewal_interval(&self) -> Duration {
        MIN_RENEWAL_INTERVAL.max(self.renewal_cycle() * IN_USE_RENEWALS_PERCENT / 100)
    }

    /// Returns the time after which an idle allocation is renewed.
    pub(super) fn idle_renewal_interval(&self) -> Duration {
        MIN_IDLE_RENEWAL_INTERVAL.max(self.renewal_cycle())
    }
}
