//! Finds out whether a backend server has ended when its responses break off.
//!
//! A response that breaks off says nothing by itself: a connection may be reset, or a backend server
//! may stop after it announced that. Only one that should be running and refuses connections at
//! once has ended unexpectedly.

use std::{cell::RefCell, collections::HashMap, io::ErrorKind, rc::Rc, sync::Arc, time::Duration};

use tokio::{
    net::TcpStream,
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{backend::Entry, node::Node};

/// Time for which the responses of one backend server that break off are gathered.
const GATHER_TIME: Duration = Duration::from_millis(40);

/// Longest wait for a backend server to accept or refuse a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time since the first event of a response up to which its request may have ended its backend
/// server.
pub const RISK_TIME: Duration = Duration::from_millis(300);

/// Minimum time from when a request was sent on a used connection to the end of a backend server that
/// it ended without any response; a sooner one is that of a connection which was dead before.
const MIN_WORK_TIME: Duration = Duration::from_millis(20);

/// Maximum number of responses that are kept for one backend server.
const MAX_GATHERED: usize = 256;

/// A request whose response broke off.
#[derive(Debug, Clone)]
pub struct BrokenRequest {
    /// Id of the request.
    pub id: Arc<str>,
    /// Names of the shared parts of its prompt.
    pub parts: Vec<Arc<str>>,
    /// Whether its backend server certainly got it: its connection was new, or its response had begun.
    pub is_received: bool,
    /// Time since it was sent.
    pub in_progress_for: Duration,
    /// Number of events that arrived in this attempt.
    pub events: u64,
    /// Time since the first event of this attempt; `None` if there was none.
    pub responding_for: Option<Duration>,
}

impl BrokenRequest {
    /// Returns whether the request may have ended its backend server.
    pub fn may_have_ended(&self) -> bool {
        (self.is_received || self.in_progress_for >= MIN_WORK_TIME)
            && self.responding_for.is_none_or(|time| time < RISK_TIME)
    }
}

/// State in which a backend server is found after a response broke off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// It refuses connections, and nothing announced that.
    Ended,
    /// It has announced that it leaves, or is no longer listed.
    Leaving,
    /// It accepts connections.
    Running,
    /// It neither accepts nor refuses connections.
    Unreachable,
}

/// Responses that broke off lately, by backend server.
#[derive(Debug, Default)]
pub struct Crashes {
    gathered: RefCell<HashMap<Arc<str>, Vec<BrokenRequest>>>,
}

impl Crashes {
    /// Records a response that broke off, and finds out whether its backend server has ended.
    pub fn record(&self, node: &Rc<Node>, to: &Entry, request: BrokenRequest) {
        let mut gathered = self.gathered.borrow_mut();
        let is_first = !gathered.contains_key(&to.id);
        let requests = gathered.entry(to.id.clone()).or_default();
        if requests.len() < MAX_GATHERED {
            requests.push(request);
        }
        if is_first {
            spawn_local(examine(node.clone(), to.clone()));
        }
    }

    fn take(&self, id: &str) -> Vec<BrokenRequest> {
        self.gathered.borrow_mut().remove(id).unwrap_or_default()
    }
}

async fn examine(node: Rc<Node>, to: Entry) {
    let at = node.now();
    let is_expected = !node.backends.borrow().is_in_service(&to.id);
    sleep(GATHER_TIME).await;
    let finding = if is_expected { Finding::Leaving } else { find(&to).await };
    let requests = node.crashes.take(&to.id);
    if finding == Finding::Ended {
        node.quarantine.borrow_mut().record_end(node.now(), at, &to, &requests);
        node.quarantine_changed.notify_waiters();
    }
    for request in requests {
        tracing::info!(
            event = "response_broken",
            id = %request.id,
            backend = %to.id,
            found = ?finding,
            parts = request.parts.join(","),
            in_progress_ms = request.in_progress_for.as_millis() as u64,
            events = request.events,
            responding_ms = request.responding_for.map(|time| time.as_millis() as u64),
        );
    }
}

async fn find(to: &Entry) -> Finding {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(to.address)).await {
        Ok(Ok(_)) => Finding::Running,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Finding::Ended,
        Ok(Err(_)) | Err(_) => Finding::Unreachable,
    }
}
