//! Lets hosts lend each other prepaid tokens; a workspace's lenders are asked first.
//!
//! Each process publishes its address in its row in the list of hosts. A host that asks it presents
//! the secret that all hosts share, which is kept in a row too, so that a process can be asked as
//! soon as it has restarted. The lending host deducts the tokens before it answers, so that a lost
//! answer loses tokens and never duplicates them; a late answer still counts.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    convert::Infallible,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    client::conn::http1 as client,
    header::{AUTHORIZATION, HOST},
    server::conn::http1 as server,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq as _;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Notify, oneshot},
    task::spawn_local,
    time::{Instant, timeout},
};
use wire::lend::{AllocationNote, Ask, Lent, ResumePoint};

use crate::{
    budgets::Budgets,
    edge::{accept, plain_response},
    lender::{Lenders, Site},
    node::Node,
    witness::AllocationVersion,
};

/// Longest time to wait for the answer of one host.
const BORROW_TIMEOUT: Duration = Duration::from_millis(80);

/// Longest time to wait for the answer of a lender that has to provide all tokens; it may need a
/// transaction.
const LENDER_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest time to establish a connection to another host.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time until an answer is given up; its tokens are then lost.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of lenders that are asked before this host makes a transaction itself.
const MAX_LENDERS_ASKED: usize = 3;

/// Maximum number of witnesses of a host's allocations.
const MAX_WITNESSES: usize = 5;

/// Number of hosts from which they are chosen.
const MAX_WITNESS_CANDIDATES: usize = 10;

/// Maximum number of requests for which lenders are asked for all tokens at the same time.
const MAX_LENDER_REQUESTS: usize = 64;

/// Maximum number of requests for which other lenders are asked at the same time; more would only
/// add to the load that delays the answers.
const MAX_BORROW_REQUESTS: usize = 4;

/// Backoff after a host didn't answer; doubles with each further failure in a row.
const MIN_BACKOFF: Duration = Duration::from_secs(2);

/// Longest backoff after failures.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// Longest message, in bytes.
const MAX_MESSAGE_BYTES: usize = 4096;

/// What a process publishes about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerInfo {
    /// Address at which it accepts messages.
    pub address: SocketAddr,
    /// Name and availability zone; empty for a process of a version that doesn't publish them.
    #[serde(default)]
    pub site: Site,
}

/// Another host.
#[derive(Debug)]
struct Peer {
    info: PeerInfo,
    connections: Vec<client::SendRequest<Full<Bytes>>>,
    backoff_until: Option<Instant>,
    /// Number of failures in a row.
    failures: u32,
}

/// Answer of a lender.
#[derive(Debug, Clone, Copy)]
pub struct LenderResponse {
    /// Address of the lender.
    pub from: SocketAddr,
    /// What it lent.
    pub lent: Lent,
}

/// Result of asking the other lenders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BorrowResult {
    /// Whether all that were asked answered.
    pub all_answered: bool,
    /// Tokens that they return to the budget.
    pub returning: u64,
}

/// Lenders of a workspace.
#[derive(Debug)]
struct Lookup {
    /// Whether this host is one of them.
    is_own: bool,
    /// Hosts to ask, the nearest first.
    peers: Vec<Rc<RefCell<Peer>>>,
}

/// All other hosts, and the lenders among all hosts.
#[derive(Debug)]
pub struct Peers {
    own: PeerInfo,
    /// Requests for which other lenders are being asked.
    active_borrows: Cell<usize>,
    /// Requests for which lenders are being asked for all tokens.
    active_lender_requests: Cell<usize>,
    others: RefCell<Vec<Rc<RefCell<Peer>>>>,
    lenders: RefCell<Lenders>,
    /// Lenders of each workspace as far as they were looked up in the current list.
    lookups: RefCell<HashMap<Arc<str>, Rc<Lookup>>>,
    /// Hosts that may note it if this one can't renew its allocations, by rank.
    witness_candidates: RefCell<Vec<Rc<RefCell<Peer>>>>,
    /// Names of those that were chosen last.
    witnesses: RefCell<Arc<[Arc<str>]>>,
    /// Secret shared by all hosts, which authenticates their messages.
    key: RefCell<Option<Arc<str>>>,
    /// Whether the other hosts have been read.
    is_known: Cell<bool>,
    became_known: Notify,
    /// Whether this host is no lender any more.
    stopped_lending: Cell<bool>,
}

impl Peers {
    /// Creates an empty list for the process that publishes `own`.
    pub fn new(own: PeerInfo) -> Self {
        Self {
            own,
            active_borrows: Cell::new(0),
            active_lender_requests: Cell::new(0),
            others: RefCell::default(),
            lenders: RefCell::default(),
            lookups: RefCell::default(),
            witness_candidates: RefCell::default(),
            witnesses: RefCell::default(),
            key: RefCell::default(),
            is_known: Cell::new(false),
            became_known: Notify::new(),
            stopped_lending: Cell::new(false),
        }
    }

    /// Returns what this process publishes about itself.
    pub fn own(&self) -> &PeerInfo {
        &self.own
    }

    /// Sets the secret shared by all hosts.
    pub fn set_key(&self, key: Arc<str>) {
        *self.key.borrow_mut() = Some(key);
    }

    /// Returns whether the other hosts have been read once.
    pub fn is_known(&self) -> bool {
        self.is_known.get()
    }

    /// Waits until the other hosts have been read once.
    pub async fn wait_until_known(&self) {
        let became_known = self.became_known.notified();
        if !self.is_known.get() {
            became_known.await;
        }
    }

    /// Replaces the list by what all hosts publish.
    pub fn replace(&self, infos: Vec<PeerInfo>) {
        let was_known = self.is_known.replace(true);
        self.became_known.notify_waiters();
        if was_known && self.others.borrow().len() + 1 == infos.len() && self.is_unchanged(&infos) {
            return;
        }
        let own = std::iter::once(self.own.site.clone());
        let sites =
            infos.iter().filter(|info| info.site != self.own.site).map(|info| info.site.clone());
        *self.lenders.borrow_mut() = Lenders::new(own.chain(sites));
        let mut others = self.others.borrow_mut();
        others.retain(|peer| infos.contains(&peer.borrow().info));
        for info in infos {
            // The row of this host's previous process may still exist.
            let is_own = info.address == self.own.address;
            if is_own || others.iter().any(|peer| peer.borrow().info == info) {
                continue;
            }
            let peer = Peer { info, connections: Vec::new(), backoff_until: None, failures: 0 };
            others.push(Rc::new(RefCell::new(peer)));
        }
        self.lookups.borrow_mut().clear();
        let ranked = self.lenders.borrow().witnesses(&self.own.site, MAX_WITNESS_CANDIDATES);
        let find = |host| others.iter().find(|peer| peer.borrow().info.site.host == host).cloned();
        *self.witness_candidates.borrow_mut() = ranked.into_iter().filter_map(find).collect();
    }

    fn is_unchanged(&self, infos: &[PeerInfo]) -> bool {
        let known: HashSet<SocketAddr> =
            self.others.borrow().iter().map(|peer| peer.borrow().info.address).collect();
        let is_known =
            |info: &PeerInfo| info.address == self.own.address || known.contains(&info.address);
        infos.iter().all(is_known)
    }

    fn lookup(&self, workspace: &str) -> Rc<Lookup> {
        if let Some(lookup) = self.lookups.borrow().get(workspace) {
            return lookup.clone();
        }
        let others = self.others.borrow();
        let lenders = self.lenders.borrow();
        let find = |site| others.iter().find(|peer| peer.borrow().info.site == site).cloned();
        let ranked = lenders.rank(workspace, &self.own.site.zone);
        let lookup = Rc::new(Lookup {
            is_own: lenders.is_lender(workspace, &self.own.site),
            peers: ranked.into_iter().filter_map(find).collect(),
        });
        self.lookups.borrow_mut().insert(workspace.into(), lookup.clone());
        lookup
    }

    /// Stops being a lender, as when the host is asked to stop.
    pub fn stop_lending(&self) {
        self.stopped_lending.set(true);
    }

    /// Returns whether this host is a lender of a workspace.
    pub fn is_lender(&self, workspace: &str) -> bool {
        !self.stopped_lending.get() && self.lookup(workspace).is_own
    }

    /// Returns the number of lenders of each workspace.
    pub fn lender_count(&self) -> u64 {
        self.lenders.borrow().count()
    }

    /// Asks the nearest lender of a workspace that answers for all of the tokens; returns its
    /// answer.
    ///
    /// The tokens that it lent are added to this host's account, outside the allocation.
    pub async fn borrow_from_lender(
        node: &Rc<Node>,
        workspace: &Arc<str>,
        tokens: u64,
    ) -> Option<LenderResponse> {
        let _permit = Permit::acquire(&node.peers.active_lender_requests, MAX_LENDER_REQUESTS)?;
        for peer in node.peers.lenders_of(workspace).into_iter().take(MAX_LENDERS_ASKED) {
            let request = Ask { tokens, whole: true, ..Ask::for_workspace(workspace.clone()) };
            if let Some(lent) = ask(node, &peer, request, LENDER_TIMEOUT).await {
                let from = peer.borrow().info.address;
                return Some(LenderResponse { from, lent });
            }
        }
        None
    }

    /// Returns the other lenders of a workspace that can be asked, the nearest first.
    fn lenders_of(&self, workspace: &str) -> Vec<Rc<RefCell<Peer>>> {
        let lookup = self.lookup(workspace);
        lookup.peers.iter().filter(|peer| peer.borrow().can_ask()).cloned().collect()
    }

    /// Asks the other lenders of a workspace for the tokens that a request lacks here.
    pub async fn borrow(node: &Rc<Node>, workspace: &Arc<str>, tokens: u64) -> BorrowResult {
        let Some(_permit) = Permit::acquire(&node.peers.active_borrows, MAX_BORROW_REQUESTS) else {
            return BorrowResult { all_answered: false, returning: 0 };
        };
        let mut others = BorrowResult { all_answered: true, returning: 0 };
        for peer in node.peers.lenders_of(workspace) {
            let missing = node.budgets.shortfall(node.now(), workspace, tokens);
            if missing == 0 {
                return others;
            }
            let request = Ask { tokens: missing, ..Ask::for_workspace(workspace.clone()) };
            let lent = ask(node, &peer, request, BORROW_TIMEOUT).await;
            others.all_answered &= lent.is_some();
            others.returning += lent.map_or(0, |lent| lent.returning);
        }
        others
    }

    /// Notes at the lender in this host's zone that the prompt of a stream that didn't end was charged.
    pub async fn note_charge(node: Rc<Node>, workspace: Arc<str>, point: ResumePoint) {
        if node.peers.is_lender(&workspace) {
            node.credits.borrow_mut().note(node.now(), &workspace, point);
        } else if let Some(peer) = node.peers.lender_in_zone(&workspace) {
            let request = Ask { charged: Some(point), ..Ask::for_workspace(workspace) };
            // The message is sent even if nobody waits for the answer any more.
            ask(&node, &peer, request, LENDER_TIMEOUT).await;
        }
    }

    /// Uses up a charge for the prompt of a stream that is resumed, if the lender in this host's zone
    /// knows of one; returns whether it does.
    pub async fn use_charge(node: &Rc<Node>, workspace: &Arc<str>, point: ResumePoint) -> bool {
        if node.peers.is_lender(workspace) {
            return node.credits.borrow_mut().claim(node.now(), workspace, point);
        }
        let Some(peer) = node.peers.lender_in_zone(workspace) else { return false };
        let request = Ask { resumed: Some(point), ..Ask::for_workspace(workspace.clone()) };
        ask(node, &peer, request, BORROW_TIMEOUT).await.is_some_and(|answer| answer.charged)
    }

    /// Returns the names of the witnesses of this host's allocations: the first hosts of a ranking
    /// that can be asked.
    pub fn witnesses(&self) -> Arc<[Arc<str>]> {
        let candidates = self.witness_candidates.borrow();
        let reachable = candidates.iter().filter(|peer| peer.borrow().can_ask());
        let names: Vec<_> = reachable
            .take(MAX_WITNESSES)
            .map(|peer| peer.borrow().info.site.host.clone())
            .collect();
        let mut witnesses = self.witnesses.borrow_mut();
        if **witnesses != names[..] {
            *witnesses = names.into();
        }
        witnesses.clone()
    }

    /// Asks a host about a row of an allocation, or to note it; `None` if it can't tell.
    pub async fn ask_witness(
        node: &Rc<Node>,
        witness: &str,
        workspace: &Arc<str>,
        note: AllocationNote,
    ) -> Option<bool> {
        let find = |peer: &&Rc<RefCell<Peer>>| *peer.borrow().info.site.host == *witness;
        let peer = node.peers.others.borrow().iter().find(find).cloned()?;
        let request = Ask { note: Some(note), ..Ask::for_workspace(workspace.clone()) };
        ask(node, &peer, request, BORROW_TIMEOUT).await?.noted
    }

    /// Returns whether a lender of a workspace in this host's zone can be asked.
    pub fn has_lender_in_zone(&self, workspace: &str) -> bool {
        self.lender_in_zone(workspace).is_some()
    }

    fn lender_in_zone(&self, workspace: &str) -> Option<Rc<RefCell<Peer>>> {
        let can_take = |peer: &&Rc<RefCell<Peer>>| {
            let peer = peer.borrow();
            peer.can_ask() && peer.info.site.zone == self.own.site.zone
        };
        self.lookup(workspace).peers.iter().find(can_take).cloned()
    }

    /// Gives tokens of a workspace to a lender in this host's zone.
    ///
    /// They return to this host's account only if it is certain that they weren't sent.
    pub async fn give_back(node: Rc<Node>, workspace: Arc<str>, tokens: u64) {
        let ask = Ask { returned: tokens, ..Ask::for_workspace(workspace) };
        let Some(peer) = node.peers.lender_in_zone(&ask.workspace) else {
            node.budgets.add_borrowed(&ask.workspace, tokens);
            return;
        };
        let result = match timeout(EXCHANGE_TIMEOUT, exchange(&node, &peer, &ask)).await {
            Ok(result) => result,
            Err(_) => Err(ExchangeError::Broken(eyre::eyre!("no answer"))),
        };
        let Err(error) = result else { return };
        let returned = matches!(error, ExchangeError::NotSent(_));
        if returned {
            node.budgets.add_borrowed(&ask.workspace, tokens);
        }
        tracing::info!(event = "tokens_not_given", workspace = %ask.workspace, tokens, returned);
        peer.borrow_mut().back_off(&error);
    }
}

/// Error if another host can't be asked.
#[derive(Debug, thiserror::Error)]
enum ExchangeError {
    /// No byte of the message was sent.
    #[error("not sent: {0}")]
    NotSent(eyre::Report),
    /// The message may have been received.
    #[error("{0}")]
    Broken(eyre::Report),
}

/// Tokens that another host lent. They belong to this host from the moment of the answer, whether
/// or not the request still waits for them, and are added to its account when this is dropped.
#[derive(Debug)]
struct Loan {
    node: Rc<Node>,
    workspace: Arc<str>,
    lent: Lent,
}

impl Drop for Loan {
    fn drop(&mut self) {
        self.node.budgets.add_borrowed(&self.workspace, self.lent.tokens);
    }
}

/// Asks one host for tokens and adds what it lends, even if that arrives too late for the request.
async fn ask(
    node: &Rc<Node>,
    peer: &Rc<RefCell<Peer>>,
    request: Ask,
    max_wait: Duration,
) -> Option<Lent> {
    let (sender, answer) = oneshot::channel();
    let (own, peer_asked) = (node.clone(), peer.clone());
    let request_sent = request.clone();
    spawn_local(async move {
        let result = timeout(EXCHANGE_TIMEOUT, exchange(&own, &peer_asked, &request_sent)).await;
        let result =
            result.unwrap_or_else(|_| Err(ExchangeError::Broken(eyre::eyre!("no answer"))));
        let loan =
            result.map(|lent| Loan { node: own, workspace: request_sent.workspace.clone(), lent });
        // If nobody waits any more, dropping the loan adds its tokens.
        let _ = sender.send(loan);
    });
    let response = timeout(max_wait, answer).await;
    let mut peer = peer.borrow_mut();
    match response {
        Ok(Ok(Ok(loan))) => {
            let lent = loan.lent;
            peer.failures = 0;
            if request.tokens == 0 {
                return Some(lent);
            }
            tracing::info!(event = "tokens_borrowed", workspace = %request.workspace,
                missing = request.tokens, tokens = lent.tokens, from = %peer.info.address,
                left = lent.left, returning = lent.returning, exhausted = lent.exhausted);
            Some(lent)
        }
        Ok(Ok(Err(error))) => {
            peer.back_off(&error);
            None
        }
        Ok(Err(_)) | Err(_) => {
            peer.back_off(&"no answer in time");
            None
        }
    }
}

/// Guard that counts a request for which other hosts are being asked until it is dropped.
struct Permit<'a>(&'a Cell<usize>);

impl<'a> Permit<'a> {
    /// Returns `None` if `max_active` requests are in progress.
    fn acquire(active: &'a Cell<usize>, max_active: usize) -> Option<Self> {
        if active.get() >= max_active {
            return None;
        }
        active.set(active.get() + 1);
        Some(Self(active))
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Peer {
    fn can_ask(&self) -> bool {
        self.backoff_until.is_none_or(|until| until <= Instant::now())
    }

    fn back_off(&mut self, error: &impl ToString) {
        tracing::info!(
            event = "host_unreached",
            peer = %self.info.address,
            error = error.to_string(),
        );
        self.connections.clear();
        self.failures += 1;
        let backoff = coordination::retry::backoff(MIN_BACKOFF, MAX_BACKOFF, self.failures);
        self.backoff_until = Some(Instant::now() + backoff);
    }
}

async fn exchange(node: &Node, peer: &Rc<RefCell<Peer>>, ask: &Ask) -> Result<Lent, ExchangeError> {
    let (mut connection, request) =
        prepare(node, peer, ask).await.map_err(ExchangeError::NotSent)?;
    let sent = async {
        let response = connection.send_request(request).await?;
        if response.status() != StatusCode::OK {
            eyre::bail!("status {}", response.status());
        }
        let body = Limited::new(response.into_body(), MAX_MESSAGE_BYTES).collect().await;
        let body = body.map_err(|error| eyre::eyre!(error))?.to_bytes();
        Ok(Lent::decode(&body)?)
    };
    let lent = sent.await.map_err(ExchangeError::Broken)?;
    peer.borrow_mut().connections.push(connection);
    Ok(lent)
}

/// Returns a connection that is ready, and the request to send on it.
async fn prepare(
    node: &Node,
    peer: &Rc<RefCell<Peer>>,
    ask: &Ask,
) -> eyre::Result<(client::SendRequest<Full<Bytes>>, Request<Full<Bytes>>)> {
    let info = peer.borrow().info.clone();
    let key = node.peers.key.borrow().clone().ok_or_else(|| eyre::eyre!("no key yet"))?;
    peer.borrow_mut().connections.retain(|connection| !connection.is_closed());
    let idle = peer.borrow_mut().connections.pop();
    let mut connection = match idle {
        Some(connection) => connection,
        None => timeout(PEER_CONNECT_TIMEOUT, connect(info.address)).await??,
    };
    let request = Request::builder()
        .method(Method::POST)
        .uri("/lend")
        .header(HOST, info.address.to_string())
        .header(AUTHORIZATION, &*key)
        .body(Full::new(Bytes::from(ask.encode()?)))?;
    connection.ready().await?;
    Ok((connection, request))
}

async fn connect(address: SocketAddr) -> eyre::Result<client::SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = client::handshake(TokioIo::new(stream)).await?;
    spawn_local(async move {
        if let Err(error) = connection.await {
            tracing::debug!(event = "host_connection_broken", %error);
        }
    });
    Ok(sender)
}

/// Answers other hosts forever.
pub async fn run(node: Rc<Node>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        let node = node.clone();
        spawn_local(async move {
            let service = service_fn(|request| {
                let node = node.clone();
                async move { Ok::<_, Infallible>(answer(&node, request).await) }
            });
            let served = server::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                tracing::debug!(event = "host_connection_ended", %error);
            }
        });
    }
}

async fn answer(node: &Rc<Node>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let presented = request.headers().get(AUTHORIZATION).map(|value| value.as_bytes().to_vec());
    let key = node.peers.key.borrow().clone();
    let is_valid = |key: Arc<str>| {
        presented.as_ref().is_some_and(|presented| bool::from(presented.ct_eq(key.as_bytes())))
    };
    if !key.is_some_and(is_valid) {
        tracing::warn!(event = "host_refused", reason = "wrong key");
        return plain_response(StatusCode::FORBIDDEN, Bytes::new());
    }
    let body = Limited::new(request.into_body(), MAX_MESSAGE_BYTES).collect().await;
    let ask = body.ok().map(|body| Ask::decode(&body.to_bytes()));
    let Some(Ok(ask)) = ask else {
        tracing::warn!(event = "host_refused", reason = "malformed");
        return plain_response(StatusCode::BAD_REQUEST, Bytes::new());
    };
    if let Some(point) = ask.charged {
        node.credits.borrow_mut().note(node.now(), &ask.workspace, point);
    }
    let is_charged = |point| node.credits.borrow_mut().claim(node.now(), &ask.workspace, point);
    let charged = ask.resumed.is_some_and(is_charged);
    let noted = ask.note.as_ref().and_then(|note| {
        let workspace = ask.workspace.clone();
        let version =
            AllocationVersion { holder: note.holder.clone(), workspace, number: note.number };
        let mut notes = node.notes.borrow_mut();
        match note.written_ms {
            None => Some(notes.note(node.now(), &version)),
            Some(written_ms) => {
                notes.find(&version, node.started_ms.get(), node.platform_ms(), written_ms)
            }
        }
    });
    let lent = Lent { charged, noted, ..Budgets::lend(node, &ask).await };
    if ask.note.is_none() {
        node.budgets.log_lent(node.now(), &ask, &lent);
    }
    match lent.encode() {
        Ok(bytes) => plain_response(StatusCode::OK, Bytes::from(bytes)),
        Err(error) => {
            tracing::error!(event = "answer_unwritable", %error);
            plain_response(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
    }
}
