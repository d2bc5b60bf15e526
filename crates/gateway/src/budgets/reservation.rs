//! Tokens reserved for a request, and requests that wait for tokens.

use std::{net::SocketAddr, rc::Rc, sync::Arc};

use crate::{
    account::{Progress, ReserveResult},
    node::Node,
    peer::Peers,
};

/// Error if a request gets no tokens.
#[derive(Debug, Clone, Copy)]
pub struct ReserveError {
    /// Why the tokens can't be reserved.
    pub outcome: ReserveResult,
    /// Address of the lender that denied the tokens; `None` if this host did.
    pub lender: Option<SocketAddr>,
}

/// Tokens reserved for one request; those that it didn't use are available again when it is
/// dropped.
#[derive(Debug)]
pub struct Reservation {
    node: Rc<Node>,
    workspace: Arc<str>,
    pub(super) reserved: u64,
    used: u64,
    progress: Progress,
}

impl Reservation {
    /// Creates a reservation of no tokens.
    pub(super) fn new(node: &Rc<Node>, workspace: &Arc<str>) -> Self {
        Self {
            node: node.clone(),
            workspace: workspace.clone(),
            reserved: 0,
            used: 0,
            progress: Progress::default(),
        }
    }

    /// Reserves more tokens, as many of them as this host may use now.
    pub(super) fn add_available(&mut self, tokens: u64) {
        let now = self.node.now();
        if let Some(account) = self.node.budgets.accounts.borrow_mut().get_mut(&self.workspace) {
            self.reserved += account.reserve_available(now, tokens);
        }
    }

    /// Reserves more tokens, borrowed from the nearest lender that can be reached.
    ///
    /// # Errors
    ///
    /// Returns an error if the lender gave fewer than are missing. If no lender answered, nothing
    /// is reserved and no error returned.
    pub(super) async fn borrow_from_lender(&mut self, missing: u64) -> Result<(), ReserveError> {
        if missing == 0 {
            return Ok(());
        }
        let asked = Peers::borrow_from_lender(&self.node, &self.workspace, missing).await;
        let Some(response) = asked else { return Ok(()) };
        if response.lent.tokens >= missing {
            self.add_available(missing);
            return Ok(());
        }
        let outcome = if response.lent.exhausted {
            ReserveResult::Exhausted
        } else {
            ReserveResult::Unavailable
        };
        Err(ReserveError { outcome, lender: Some(response.from) })
    }

    /// Returns the tokens that the request has used.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Sets the tokens that the request has used in total.
    pub fn set_used(&mut self, used: u64) {
        self.used = used;
    }

    /// Returns how far the request has come.
    pub fn progress(&self) -> Progress {
        self.progress
    }

    /// Notes how far the request has come.
    pub fn set_progress(&mut self, progress: Progress) {
        let former = std::mem::replace(&mut self.progress, progress);
        if let Some(account) = self.node.budgets.accounts.borrow_mut().get_mut(&self.workspace) {
            account.note_progress(self.reserved, former, progress);
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut accounts = self.node.budgets.accounts.borrow_mut();
        if let Some(account) = accounts.get_mut(&self.workspace) {
            account.settle(self.reserved, self.used, self.progress);
        }
    }
}

/// Guard that counts a request as waiting for tokens until it is dropped.
pub(super) struct QueuedRequest {
    node: Rc<Node>,
    workspace: Arc<str>,
    tokens: u64,
}

impl QueuedRequest {
    /// Counts a request as waiting.
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
