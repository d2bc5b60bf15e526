//! Hosts lend each other prepaid tokens while the platform is away.
//!
//! Each process publishes its address and a key in its row among the hosts; whoever asks it shows
//! that key. The host that lends gives the tokens up before it answers, so that an answer that is
//! lost loses tokens and never doubles them.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
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
    task::spawn_local,
    time::{Instant, timeout},
};
use wire::lend::{Ask, Lent};

use crate::{
    edge::{accept, plain},
    node::Node,
};

/// Longest time for one host to answer.
const ASK: Duration = Duration::from_millis(80);

/// Most hosts that are asked for one request.
const ASKED: usize = 8;

/// Requests for which other hosts are asked at the same time; more would only add to what delays
/// the answers.
const ASKING: usize = 4;

/// Time for which a host that didn't answer isn't asked.
const AVOID: Duration = Duration::from_secs(2);

/// Time for which it is remembered what a host could give.
const HINT_AGE: Duration = Duration::from_millis(400);

/// Longest message in bytes.
const MESSAGE_BYTES: usize = 4096;

/// What a process publishes of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Card {
    /// Where it takes messages.
    pub address: SocketAddr,
    /// Key that shows that a message comes from a host of the fleet, in hex.
    pub key: Arc<str>,
}

/// Another host.
#[derive(Debug)]
struct Peer {
    card: Card,
    link: Option<client::SendRequest<Full<Bytes>>>,
    avoid_until: Option<Instant>,
    /// What it could give of a workspace, and when it said so.
    left: HashMap<Arc<str>, (u64, Instant)>,
}

/// What other hosts answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Others {
    /// All that were asked answered.
    pub answered: bool,
    /// Tokens that they give back to the budget.
    pub returning: u64,
}

/// All other hosts.
#[derive(Debug)]
pub struct Peers {
    own: Card,
    /// Requests for which other hosts are being asked.
    asking: Cell<usize>,
    others: RefCell<Vec<Rc<RefCell<Peer>>>>,
}

impl Peers {
    /// Opens an empty list of a process with this card.
    pub fn open(own: Card) -> Self {
        Self { own, asking: Cell::new(0), others: RefCell::default() }
    }

    /// Returns the card of this process.
    pub fn own(&self) -> &Card {
        &self.own
    }

    /// Takes the cards of all hosts.
    pub fn replace(&self, cards: Vec<Card>) {
        let mut others = self.others.borrow_mut();
        others.retain(|peer| cards.contains(&peer.borrow().card));
        for card in cards {
            if card == self.own || others.iter().any(|peer| peer.borrow().card == card) {
                continue;
            }
            let peer = Peer { card, link: None, avoid_until: None, left: HashMap::new() };
            others.push(Rc::new(RefCell::new(peer)));
        }
    }

    /// Asks other hosts for what a request lacks here, those first that had most.
    pub async fn borrow(node: &Node, workspace: &Arc<str>, tokens: u64) -> Others {
        let Some(_asking) = Asking::open(&node.peers.asking) else {
            return Others { answered: false, returning: 0 };
        };
        let mut others = Others { answered: true, returning: 0 };
        for peer in node.peers.ranked(workspace).into_iter().take(ASKED) {
            let missing = node.bank.missing(node.now(), workspace, tokens);
            if missing == 0 {
                return others;
            }
            let ask = Ask { workspace: workspace.clone(), tokens: missing };
            let answered = timeout(ASK, exchange(&peer, &ask)).await;
            let mut peer = peer.borrow_mut();
            others.answered &= matches!(answered, Ok(Ok(_)));
            match answered {
                Ok(Ok(lent)) => {
                    peer.left.insert(workspace.clone(), (lent.left, Instant::now()));
                    node.bank.borrowed(workspace, lent.tokens);
                    others.returning += lent.returning;
                    tracing::info!(event = "tokens_borrowed", %workspace, missing,
                        tokens = lent.tokens, from = %peer.card.address, left = lent.left,
                        returning = lent.returning);
                }
                Ok(Err(error)) => peer.avoid(&error),
                Err(_) => peer.avoid(&"no answer"),
            }
        }
        others
    }

    /// Returns the hosts that can be asked, those first that had most; of which nothing is known
    /// may have most.
    fn ranked(&self, workspace: &str) -> Vec<Rc<RefCell<Peer>>> {
        let now = Instant::now();
        let mut ranked: Vec<(u64, Rc<RefCell<Peer>>)> = Vec::new();
        for peer in self.others.borrow().iter() {
            let known = peer.borrow();
            if known.avoid_until.is_some_and(|until| now < until) {
                continue;
            }
            let hint = known.left.get(workspace).filter(|(_, at)| now - *at < HINT_AGE);
            let left = hint.map_or(u64::MAX, |(left, _)| *left);
            ranked.push((left, peer.clone()));
        }
        ranked.sort_by_key(|(left, _)| std::cmp::Reverse(*left));
        ranked.into_iter().map(|(_, peer)| peer).collect()
    }
}

/// Counts a request for which other hosts are asked until it is dropped.
struct Asking<'a>(&'a Cell<usize>);

impl<'a> Asking<'a> {
    /// Returns `None` where as many are under way as may be.
    fn open(asking: &'a Cell<usize>) -> Option<Self> {
        if asking.get() >= ASKING {
            return None;
        }
        asking.set(asking.get() + 1);
        Some(Self(asking))
    }
}

impl Drop for Asking<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Peer {
    fn avoid(&mut self, error: &impl ToString) {
        tracing::info!(event = "host_unreached", peer = %self.card.address, error = error.to_string());
        self.link = None;
        self.avoid_until = Some(Instant::now() + AVOID);
    }
}

async fn exchange(peer: &Rc<RefCell<Peer>>, ask: &Ask) -> eyre::Result<Lent> {
    let card = peer.borrow().card.clone();
    let kept = peer.borrow_mut().link.take().filter(|link| !link.is_closed());
    let mut link = match kept {
        Some(link) => link,
        None => connect(card.address).await?,
    };
    let request = Request::builder()
        .method(Method::POST)
        .uri("/lend")
        .header(HOST, card.address.to_string())
        .header(AUTHORIZATION, &*card.key)
        .body(Full::new(Bytes::from(ask.encode()?)))?;
    link.ready().await?;
    let response = link.send_request(request).await?;
    if response.status() != StatusCode::OK {
        eyre::bail!("status {}", response.status());
    }
    let body = Limited::new(response.into_body(), MESSAGE_BYTES).collect().await;
    let body = body.map_err(|error| eyre::eyre!(error))?.to_bytes();
    peer.borrow_mut().link = Some(link);
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

async fn answer(node: &Node, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let shown = request.headers().get(AUTHORIZATION).map(|value| value.as_bytes().to_vec());
    let own = node.peers.own().key.as_bytes();
    if !shown.is_some_and(|shown| bool::from(shown.ct_eq(own))) {
        tracing::warn!(event = "host_refused", reason = "wrong key");
        return plain(StatusCode::FORBIDDEN, Bytes::new());
    }
    let body = Limited::new(request.into_body(), MESSAGE_BYTES).collect().await;
    let ask = body.ok().map(|body| Ask::decode(&body.to_bytes()));
    let Some(Ok(ask)) = ask else {
        tracing::warn!(event = "host_refused", reason = "malformed");
        return plain(StatusCode::BAD_REQUEST, Bytes::new());
    };
    let lent = node.bank.lend(node.now(), &ask.workspace, ask.tokens);
    tracing::info!(event = "tokens_lent", workspace = %ask.workspace, asked = ask.tokens,
        tokens = lent.tokens, left = lent.left);
    match lent.encode() {
        Ok(bytes) => plain(StatusCode::OK, Bytes::from(bytes)),
        Err(error) => {
            tracing::error!(event = "answer_unwritable", %error);
            plain(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
    }
}
