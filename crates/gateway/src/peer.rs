//! Hosts lend each other prepaid tokens, those first that keep a workspace's tokens ahead.
//!
//! Each process publishes its address in its row among the hosts. Whoever asks it shows the fleet's
//! key, which stands in a row too, so that a process that starts again can be asked at once. The host
//! that lends gives the tokens up before it answers, so that an answer that is lost loses tokens and
//! never doubles them; one that comes late still counts.

use std::{
    cell::{Cell, RefCell},
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
use wire::lend::{Ask, Lent};

use crate::{
    budgets::Budgets,
    edge::{accept, plain},
    lender::{Lenders, Site},
    node::Node,
};

/// Longest time for one host to answer.
const ASK: Duration = Duration::from_millis(80);

/// Longest time for a host to answer that keeps the workspace's tokens; it may need a transaction.
const ASK_KEEPER: Duration = Duration::from_millis(250);

/// Longest time until an answer is given up whose tokens are then lost.
const EXCHANGE: Duration = Duration::from_secs(5);

/// Hosts keeping a workspace's tokens that are asked before this host makes a transaction itself.
const KEEPERS_ASKED: usize = 3;

/// Requests for which hosts that keep tokens are asked at the same time.
const KEEPERS_ASKING: usize = 64;

/// Requests for which other hosts are asked at the same time; more would only add to what delays
/// the answers.
const ASKING: usize = 4;

/// Time for which a host that didn't answer isn't asked; doubles with each further failure in a row.
const AVOID_FIRST: Duration = Duration::from_secs(2);

/// Longest time for which a host that didn't answer isn't asked.
const AVOID_LONGEST: Duration = Duration::from_secs(8);

/// Longest message in bytes.
const MESSAGE_BYTES: usize = 4096;

/// What a process publishes of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerInfo {
    /// Where it takes messages.
    pub address: SocketAddr,
    /// Name and availability zone; empty where the process is of a version that doesn't say.
    #[serde(default)]
    pub site: Site,
}

/// Another host.
#[derive(Debug)]
struct Peer {
    card: PeerInfo,
    connections: Vec<client::SendRequest<Full<Bytes>>>,
    avoid_until: Option<Instant>,
    /// Times in a row that it didn't answer.
    failures: u32,
}

/// Answer of one host.
#[derive(Debug, Clone, Copy)]
pub struct LenderResponse {
    /// The host.
    pub from: SocketAddr,
    /// What it gave.
    pub lent: Lent,
}

/// What other hosts answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BorrowResult {
    /// All that were asked answered.
    pub all_answered: bool,
    /// Tokens that they give back to the budget.
    pub returning: u64,
}

/// All other hosts.
#[derive(Debug)]
pub struct Peers {
    own: PeerInfo,
    /// Requests for which other hosts are being asked.
    active_borrows: Cell<usize>,
    /// Requests for which hosts that keep tokens are being asked.
    active_lender_requests: Cell<usize>,
    others: RefCell<Vec<Rc<RefCell<Peer>>>>,
    keepers: RefCell<Lenders>,
    /// Key that shows that a message comes from a host of the fleet.
    key: RefCell<Option<Arc<str>>>,
    /// The other hosts have been read.
    known: Cell<bool>,
    read: Notify,
    /// This host keeps nothing ahead any more.
    retired: Cell<bool>,
}

impl Peers {
    /// Opens an empty list of a process with this card.
    pub fn new(own: PeerInfo) -> Self {
        Self {
            own,
            active_borrows: Cell::new(0),
            active_lender_requests: Cell::new(0),
            others: RefCell::default(),
            keepers: RefCell::default(),
            key: RefCell::default(),
            known: Cell::new(false),
            read: Notify::new(),
            retired: Cell::new(false),
        }
    }

    /// Returns the card of this process.
    pub fn own(&self) -> &PeerInfo {
        &self.own
    }

    /// Takes the fleet's key.
    pub fn set_key(&self, key: Arc<str>) {
        *self.key.borrow_mut() = Some(key);
    }

    /// Waits until the other hosts have been read once.
    pub async fn wait_until_known(&self) {
        let read = self.read.notified();
        if !self.known.get() {
            read.await;
        }
    }

    /// Takes the cards of all hosts.
    pub fn replace(&self, cards: Vec<PeerInfo>) {
        self.known.set(true);
        self.read.notify_waiters();
        let own = std::iter::once(self.own.site.clone());
        let sites = cards.iter().filter(|card| card.site != self.own.site).map(|c| c.site.clone());
        *self.keepers.borrow_mut() = Lenders::new(own.chain(sites));
        let mut others = self.others.borrow_mut();
        others.retain(|peer| cards.contains(&peer.borrow().card));
        for card in cards {
            // The row of the process before this one may still stand.
            let is_own = card.address == self.own.address;
            if is_own || others.iter().any(|peer| peer.borrow().card == card) {
                continue;
            }
            let peer = Peer { card, connections: Vec::new(), avoid_until: None, failures: 0 };
            others.push(Rc::new(RefCell::new(peer)));
        }
    }

    /// Leaves the hosts that keep tokens, as when the host is asked to stop.
    pub fn stop_lending(&self) {
        self.retired.set(true);
    }

    /// Returns whether this host keeps tokens of a workspace ahead.
    pub fn is_lender(&self, workspace: &str) -> bool {
        !self.retired.get() && self.keepers.borrow().is_lender(workspace, &self.own.site)
    }

    /// Returns how many hosts keep tokens of each workspace ahead.
    pub fn lender_count(&self) -> u64 {
        self.keepers.borrow().count()
    }

    /// Asks the nearest host that keeps a workspace's tokens and is reached; returns its answer.
    ///
    /// What it gave is held loosely by this host.
    pub async fn borrow_from_lender(
        node: &Rc<Node>,
        workspace: &Arc<str>,
        tokens: u64,
    ) -> Option<LenderResponse> {
        let _asking = Permit::acquire(&node.peers.active_lender_requests, KEEPERS_ASKING)?;
        for peer in node.peers.lenders_of(workspace).into_iter().take(KEEPERS_ASKED) {
            let wish = Ask { workspace: workspace.clone(), tokens, whole: true };
            if let Some(lent) = ask(node, &peer, wish, ASK_KEEPER).await {
                let from = peer.borrow().card.address;
                return Some(LenderResponse { from, lent });
            }
        }
        None
    }

    /// Returns the other hosts that keep a workspace's tokens and can be asked, the nearest first.
    fn lenders_of(&self, workspace: &str) -> Vec<Rc<RefCell<Peer>>> {
        let others = self.others.borrow();
        let ranked = self.keepers.borrow().rank(workspace, &self.own.site.zone);
        let find = |site| others.iter().find(|peer| peer.borrow().card.site == site).cloned();
        let can_be_asked = |peer: &Rc<RefCell<Peer>>| peer.borrow().can_ask();
        ranked.into_iter().filter_map(find).filter(can_be_asked).collect()
    }

    /// Asks the other hosts that keep a workspace's tokens for what a request lacks here.
    pub async fn borrow(node: &Rc<Node>, workspace: &Arc<str>, tokens: u64) -> BorrowResult {
        let Some(_asking) = Permit::acquire(&node.peers.active_borrows, ASKING) else {
            return BorrowResult { all_answered: false, returning: 0 };
        };
        let mut others = BorrowResult { all_answered: true, returning: 0 };
        for peer in node.peers.lenders_of(workspace) {
            let missing = node.budgets.shortfall(node.now(), workspace, tokens);
            if missing == 0 {
                return others;
            }
            let wish = Ask { workspace: workspace.clone(), tokens: missing, whole: false };
            let lent = ask(node, &peer, wish, ASK).await;
            others.all_answered &= lent.is_some();
            others.returning += lent.map_or(0, |lent| lent.returning);
        }
        others
    }
}

/// Tokens that another host gave; they are this host's from the moment of its answer, whether or not
/// the request still waits for them.
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

/// Asks one host for tokens and takes what it gives, also where that comes too late for the request.
async fn ask(
    node: &Rc<Node>,
    peer: &Rc<RefCell<Peer>>,
    wish: Ask,
    longest: Duration,
) -> Option<Lent> {
    let (sender, answer) = oneshot::channel();
    let (own, peer_asked) = (node.clone(), peer.clone());
    let wished = wish.clone();
    spawn_local(async move {
        let exchanged = timeout(EXCHANGE, exchange(&own, &peer_asked, &wished)).await;
        let exchanged = exchanged.unwrap_or_else(|_| Err(eyre::eyre!("no answer")));
        let loan =
            exchanged.map(|lent| Loan { node: own, workspace: wished.workspace.clone(), lent });
        // Where nobody waits any more, the loan is taken as it is dropped.
        let _ = sender.send(loan);
    });
    let answered = timeout(longest, answer).await;
    let mut peer = peer.borrow_mut();
    match answered {
        Ok(Ok(Ok(loan))) => {
            let lent = loan.lent;
            peer.failures = 0;
            tracing::info!(event = "tokens_borrowed", workspace = %wish.workspace,
                missing = wish.tokens, tokens = lent.tokens, from = %peer.card.address,
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

/// Counts a request for which other hosts are asked until it is dropped.
struct Permit<'a>(&'a Cell<usize>);

impl<'a> Permit<'a> {
    /// Returns `None` where as many are under way as may be.
    fn acquire(asking: &'a Cell<usize>, most: usize) -> Option<Self> {
        if asking.get() >= most {
            return None;
        }
        asking.set(asking.get() + 1);
        Some(Self(asking))
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Peer {
    fn can_ask(&self) -> bool {
        self.avoid_until.is_none_or(|until| until <= Instant::now())
    }

    fn back_off(&mut self, error: &impl ToString) {
        tracing::info!(event = "host_unreached", peer = %self.card.address, error = error.to_string());
        self.connections.clear();
        self.failures += 1;
        let pause = coordination::retry::backoff(AVOID_FIRST, AVOID_LONGEST, self.failures);
        self.avoid_until = Some(Instant::now() + pause);
    }
}

async fn exchange(node: &Node, peer: &Rc<RefCell<Peer>>, ask: &Ask) -> eyre::Result<Lent> {
    let card = peer.borrow().card.clone();
    let key = node.peers.key.borrow().clone().ok_or_else(|| eyre::eyre!("no key yet"))?;
    peer.borrow_mut().connections.retain(|link| !link.is_closed());
    let kept = peer.borrow_mut().connections.pop();
    let mut link = match kept {
        Some(link) => link,
        None => connect(card.address).await?,
    };
    let request = Request::builder()
        .method(Method::POST)
        .uri("/lend")
        .header(HOST, card.address.to_string())
        .header(AUTHORIZATION, &*key)
        .body(Full::new(Bytes::from(ask.encode()?)))?;
    link.ready().await?;
    let response = link.send_request(request).await?;
    if response.status() != StatusCode::OK {
        eyre::bail!("status {}", response.status());
    }
    let body = Limited::new(response.into_body(), MESSAGE_BYTES).collect().await;
    let body = body.map_err(|error| eyre::eyre!(error))?.to_bytes();
    peer.borrow_mut().connections.push(link);
    Ok(Lent::decode(&body)?)
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

/// Answers other hosts for ever.
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
    let shown = request.headers().get(AUTHORIZATION).map(|value| value.as_bytes().to_vec());
    let key = node.peers.key.borrow().clone();
    let is_shown =
        |key: Arc<str>| shown.as_ref().is_some_and(|shown| bool::from(shown.ct_eq(key.as_bytes())));
    if !key.is_some_and(is_shown) {
        tracing::warn!(event = "host_refused", reason = "wrong key");
        return plain(StatusCode::FORBIDDEN, Bytes::new());
    }
    let body = Limited::new(request.into_body(), MESSAGE_BYTES).collect().await;
    let ask = body.ok().map(|body| Ask::decode(&body.to_bytes()));
    let Some(Ok(ask)) = ask else {
        tracing::warn!(event = "host_refused", reason = "malformed");
        return plain(StatusCode::BAD_REQUEST, Bytes::new());
    };
    let lent = Budgets::lend(node, &ask).await;
    node.budgets.log_lent(node.now(), &ask, &lent);
    match lent.encode() {
        Ok(bytes) => plain(StatusCode::OK, Bytes::from(bytes)),
        Err(error) => {
            tracing::error!(event = "answer_unwritable", %error);
            plain(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
    }
}
