//! Questions of operators to a host.

use std::sync::Arc;

use coordination::timeline;

/// Status of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Host name.
    pub host: Arc<str>,
    /// Holder, `host.incarnation`.
    pub holder: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Revision of the configuration in force.
    pub revision: u64,
    /// State in one word.
    pub state: Arc<str>,
    /// Further figures, JSON text.
    pub detail: Arc<str>,
    /// Tokens held, by budget.
    pub budgets: Vec<Held>,
}

/// Tokens of one budget that a host holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Held {
    /// Budget.
    pub budget: Arc<str>,
    /// Tokens.
    pub tokens: u64,
}

/// Answers operators on behalf of a host.
pub trait Responder: Send + Sync {
    /// Returns whether a bearer token belongs to an operator.
    fn authorise(&self, token: &str) -> bool;

    /// Returns the status; `None` while the host can't tell.
    fn status(&self) -> Option<Status>;

    /// Returns the selected events of this process; `None` while the host can't tell.
    fn timeline(&self, query: &timeline::Query) -> Option<Vec<timeline::Event>>;
}
