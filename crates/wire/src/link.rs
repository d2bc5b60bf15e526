//! Carries messages between hosts.
//!
//! Each host listens on one TCP port and on the UDP port of the same number. Heartbeats go by UDP,
//! everything else by one TCP connection for each peer, opened when the first message is sent.
//! Delivery is at most once: what can't be sent is dropped and reported as
//! [`Inbound::Unreachable`].

mod connection;
pub mod frame;
mod listen;
mod peer;
mod serve;
mod shared;

use std::{
    hash::{BuildHasher, RandomState},
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use coordination::{
    clock::Stamp,
    message::{Holder, Message},
    request,
};
use crossbeam::channel::{Sender, bounded};
use eyre::{Result, WrapErr};
use tracing::{debug, warn};

pub(crate) use self::connection::Connection;
use self::{
    listen::Connections,
    peer::Peer,
    shared::{Counters, Shared},
};
use crate::{
    operator::Responder,
    seal::{self, Content, Key, MAX_DATAGRAM_BYTES, NO_SESSION},
};

/// Greatest size of a message on a connection, in bytes.
pub const MAX_BODY_BYTES: usize = frame::MAX_BYTES - 64 * 1024;

/// Messages that wait for one peer.
const QUEUE: usize = 1_024;

/// Ports that are tried where any free one will do.
const BIND_TRIES: usize = 16;

/// Stack of a thread of the link, in bytes.
const STACK_BYTES: usize = 512 * 1024;

/// Longest time that ending the listener may take.
const WAKE_TIMEOUT: Duration = Duration::from_millis(500);

/// What a host says of itself to its peers.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Holder, `host.incarnation`.
    pub holder: Holder,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Incarnation.
    pub incarnation: u64,
    /// Address at which peers reach this host; `None` for the address bound.
    pub address: Option<Arc<str>>,
}

/// What comes in from other hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Inbound {
    /// A message whose sender holds the fleet's key.
    Message(Delivery),
    /// A message to this address was dropped.
    Unreachable {
        /// Address of the peer.
        address: Arc<str>,
    },
}

/// A message from a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delivery {
    /// Holder that sent it.
    pub from: Holder,
    /// Availability zone of the sender.
    pub zone: Arc<str>,
    /// Address at which the sender takes messages.
    pub address: Arc<str>,
    /// Time at which it was sent.
    pub stamp: Stamp,
    /// Request that it belongs to.
    pub request: Option<request::Id>,
    /// Message.
    pub message: Message,
}

/// A message to a peer.
#[derive(Debug, Clone)]
pub struct Outbound {
    /// Address of the receiver's peer port.
    pub to: Arc<str>,
    /// Time at which it is sent.
    pub stamp: Stamp,
    /// Request that it belongs to.
    pub request: Option<request::Id>,
    /// Message.
    pub message: Message,
}

/// Counts since the link was bound.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages sent.
    pub sent: u64,
    /// Bytes of messages sent.
    pub sent_bytes: u64,
    /// Messages received.
    pub received: u64,
    /// Bytes of messages received.
    pub received_bytes: u64,
    /// Messages dropped on the way out.
    pub dropped: u64,
    /// Envelopes refused.
    pub refused: u64,
}

/// A running link; it ends when the handle is dropped.
pub struct Handle {
    address: SocketAddr,
    socket: UdpSocket,
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

/// Binds the peer port and starts to carry messages.
///
/// # Errors
///
/// Returns an error when the TCP or the UDP port can't be bound.
pub fn bind(
    address: SocketAddr,
    key: Key,
    identity: Identity,
    responder: Arc<dyn Responder>,
    inbox: Sender<Inbound>,
) -> Result<Handle> {
    let (listener, socket) = bind_ports(address)?;
    let address = listener.local_addr().wrap_err("step=bind")?;
    let own = identity.address.clone().unwrap_or_else(|| Arc::from(address.to_string()));
    let shared = Arc::new(Shared {
        key,
        identity,
        address: own,
        responder,
        inbox,
        start: RandomState::new().hash_one(address),
        number: AtomicU64::new(1),
        ended: AtomicBool::new(false),
        connections: Connections::default(),
        peers: Mutex::default(),
        counters: Counters::default(),
    });
    let incoming = socket.try_clone().wrap_err("step=bind")?;
    let (acceptor, receiver) = (shared.clone(), shared.clone());
    let threads = vec![
        spawn("link-accept", move || listen::accept(&listener, &acceptor))?,
        spawn("link-receive", move || listen::receive(&incoming, &receiver))?,
    ];
    Ok(Handle { address, socket, shared, threads })
}

/// Binds TCP and UDP to the same port number.
fn bind_ports(address: SocketAddr) -> Result<(TcpListener, UdpSocket)> {
    let mut tries = 1;
    loop {
        let listener = TcpListener::bind(address)
            .wrap_err_with(|| format!("step=bind_tcp address={address}"))?;
        match UdpSocket::bind(listener.local_addr()?) {
            Ok(socket) => return Ok((listener, socket)),
            Err(_) if address.port() == 0 && tries < BIND_TRIES => tries += 1,
            Err(error) => {
                return Err(error).wrap_err_with(|| format!("step=bind_udp address={address}"));
            }
        }
    }
}

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> Result<JoinHandle<()>> {
    let builder = thread::Builder::new().name(name.to_owned()).stack_size(STACK_BYTES);
    builder.spawn(work).wrap_err_with(|| format!("step=spawn thread={name}"))
}

impl Handle {
    /// Returns the address bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the counts since the link was bound.
    pub fn counts(&self) -> Counts {
        self.shared.counters.load()
    }

    /// Sends a message without waiting for it.
    ///
    /// A message that can't be sent is dropped and reported as [`Inbound::Unreachable`].
    pub fn send(&self, outbound: Outbound) {
        match &outbound.message {
            Message::Heartbeat(_) => self.send_datagram(&outbound),
            _ => self.enqueue(outbound),
        }
    }

    fn send_datagram(&self, outbound: &Outbound) {
        if let Err(error) = self.try_send_datagram(outbound) {
            debug!(step = "send_datagram", peer = %outbound.to, error = format!("{error:#}"));
            self.shared.drop_message(&outbound.to);
        }
    }

    fn try_send_datagram(&self, outbound: &Outbound) -> Result<()> {
        let shared = &self.shared;
        let content = Content {
            to: &outbound.to,
            session: NO_SESSION,
            number: shared.next_number(),
            stamp: outbound.stamp,
            request: outbound.request,
            message: Some(&outbound.message),
        };
        let envelope = seal::seal(&shared.key, &shared.identity, &shared.address, &content)?;
        let datagram = seal::to_datagram(&envelope)?;
        eyre::ensure!(datagram.len() <= MAX_DATAGRAM_BYTES, "{} bytes", datagram.len());
        let to: SocketAddr = outbound.to.parse()?;
        self.socket.send_to(&datagram, to)?;
        shared.count_sent(datagram.len() as u64);
        Ok(())
    }

    fn enqueue(&self, outbound: Outbound) {
        let address = outbound.to.clone();
        let mut peers = self.shared.peers();
        if !peers.contains_key(&address) {
            match self.start_peer(&address) {
                Ok(queue) => _ = peers.insert(address.clone(), queue),
                Err(error) => warn!(step = "send", peer = %address, error = format!("{error:#}")),
            }
        }
        let sent = peers.get(&address).is_some_and(|queue| queue.try_send(outbound).is_ok());
        drop(peers);
        if !sent {
            self.shared.drop_message(&address);
        }
    }

    fn start_peer(&self, address: &Arc<str>) -> Result<Sender<Outbound>> {
        let (queue, outbox) = bounded(QUEUE);
        let peer = Peer::new(address.clone(), self.shared.clone());
        spawn("link-peer", move || peer.run(outbox))?;
        Ok(queue)
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.shared.ended.store(true, Ordering::Relaxed);
        self.shared.peers().clear();
        let _ = TcpStream::connect_timeout(&self.address, WAKE_TIMEOUT);
        self.shared.connections.close();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}
