//! Tokens that a request has set aside, and requests that wait for some.

use std::{net::SocketAddr, rc::Rc, sync::Arc};

use crate::{account::ReserveOutcome, node::Node, peer::Peers};

/// Why a request gets no tokens.
#[derive(Debug, Clone, Copy)]
pub struct ReserveError {
    /// What is known of the budget.
    pub verdict: ReserveOutcome,
    /// The host that keeps the workspace's tokens and said so; this host itself where there is none.
    pub lender: Option<SocketAddr>,
}

/// Tokens that are set aside for one request; what it didn't use is free again at the end.
#[derive(Debug)]
pub struct Reservation {
    node: Rc<Node>,
    workspace: Arc<str>,
    pub(super) reserved: u64,
    used: u64,
}

impl Reservation {
    /// Opens a reservation of no tokens.
    pub(super) fn new(node: &Rc<Node>, workspace: &Arc<str>) -> Self {
        Self { node: node.clone(), workspace: workspace.clone(), reserved: 0, used: 0 }
    }

    /// Sets more tokens aside, as many of them as this host may use now.
    pub(super) fn add_available(&mut self, tokens: u64) {
        let now = self.node.now();
        if let Some(account) = self.node.budgets.accounts.borrow_mut().get_mut(&self.workspace) {
            self.reserved += account.reserve_available(now, tokens);
        }
    }

    /// Sets more tokens aside, from the nearest host that keeps them and is reached.
    pub(super) async fn borrow_from_lender(&mut self, missing: u64) -> Result<(), ReserveError> {
        if missing == 0 {
            return Ok(());
        }
        let asked = Peers::borrow_from_lender(&self.node, &self.workspace, missing).await;
        let Some(answer) = asked else { return Ok(()) };
        if answer.lent.tokens >= missing {
            self.add_available(missing);
            return Ok(());
        }
        let verdict = if answer.lent.exhausted {
            ReserveOutcome::Exhausted
        } else {
            ReserveOutcome::Unavailable
        };
        Err(ReserveError { verdict, lender: Some(answer.from) })
    }

    /// Returns what the request has used.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Notes what the request has used in all.
    pub fn set_used(&mut self, used: u64) {
        self.used = used;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut accounts = self.node.budgets.accounts.borrow_mut();
        if let Some(account) = accounts.get_mut(&self.workspace) {
            account.settle(self.reserved, self.used);
        }
    }
}

/// Counts a request as waiting for tokens until it is dropped.
pub(super) struct QueuedRequest {
    node: Rc<Node>,
    workspace: Arc<str>,
    tokens: u64,
}

impl QueuedRequest {
    /// Counts a request that begins to wait.
    pub fn new(node: &Rc<Node>, workspace: &Arc<str>, tokens: u64) -> Self {
        if let Some(account) = node.budgets.accounts.borrow_mut().get_mut(workspace) {
            account.enqueue(tokens);
        }
        Self { node: node.clone(), workspace: workspace.clone(), tokens }
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        if let Some(account) = self.node.budgets.accounts.borrow_mut().get_mut(&self.workspace) {
            account.dequeue(self.tokens);
        }
    }
}
