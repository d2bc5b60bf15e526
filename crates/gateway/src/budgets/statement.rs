//! Logs what the process got, used, gave and still has of each workspace's tokens.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::account::{Account, ByProgress, Turnover};

/// Minimum time between two statements of one account.
const INTERVAL: Duration = Duration::from_secs(1);

/// Statements that were logged last.
#[derive(Debug, Default)]
pub(super) struct Statements {
    logged_at: Duration,
    last: HashMap<Arc<str>, (ByProgress, Turnover)>,
}

impl Statements {
    /// Logs the statements that have changed, once in [`INTERVAL`].
    pub fn log(&mut self, now: Duration, accounts: &HashMap<Arc<str>, Account>) {
        if now < self.logged_at + INTERVAL {
            return;
        }
        self.logged_at = now;
        for (workspace, account) in accounts {
            let statement = account.turnover();
            if self.last.insert(workspace.clone(), statement) == Some(statement) {
                continue;
            }
            let (reserved, turnover) = statement;
            tracing::info!(
                event = "budget_statement",
                %workspace,
                granted = turnover.granted,
                taken_over = turnover.taken_over,
                borrowed = turnover.borrowed,
                returned = turnover.returned,
                lent = turnover.lent,
                used = %turnover.used,
                reserved = %reserved,
                held = account.balance().0,
            );
        }
    }
}
