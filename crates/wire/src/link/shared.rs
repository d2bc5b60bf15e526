//! State that the threads of a link share.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use crossbeam::channel::{Receiver, Sender};
use tracing::debug;

use super::{Counts, Identity, Inbound, Outbound, listen::Connections};
use crate::{operator::Responder, seal::Key};

/// Running counts.
#[derive(Debug, Default)]
pub struct Counters {
    pub sent: AtomicU64,
    pub sent_bytes: AtomicU64,
    pub received: AtomicU64,
    pub received_bytes: AtomicU64,
    pub dropped: AtomicU64,
    pub refused: AtomicU64,
}

impl Counters {
    /// Returns the counts as they stand.
    pub fn load(&self) -> Counts {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Counts {
            sent: load(&self.sent),
            sent_bytes: load(&self.sent_bytes),
            received: load(&self.received),
            received_bytes: load(&self.received_bytes),
            dropped: load(&self.dropped),
            refused: load(&self.refused),
        }
    }
}

/// What the threads of a link share.
pub struct Shared {
    pub key: Key,
    pub identity: Identity,
    pub address: Arc<str>,
    pub responder: Arc<dyn Responder>,
    pub inbox: Sender<Inbound>,
    pub start: u64,
    pub number: AtomicU64,
    pub ended: AtomicBool,
    pub connections: Connections,
    pub peers: Mutex<BTreeMap<Arc<str>, Sender<Outbound>>>,
    pub counters: Counters,
}

impl Shared {
    /// Returns the number of the next envelope.
    pub fn next_number(&self) -> u64 {
        self.number.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns whether the link has ended.
    pub fn ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    /// Returns the queues of the peers, by address.
    pub fn peers(&self) -> MutexGuard<'_, BTreeMap<Arc<str>, Sender<Outbound>>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Forgets a peer whose queue is empty; returns whether it did.
    pub fn retire(&self, address: &str, queue: &Receiver<Outbound>) -> bool {
        let mut peers = self.peers();
        if !queue.is_empty() {
            return false;
        }
        peers.remove(address);
        true
    }

    /// Reports a message that was dropped; never blocks, since the inbox may belong to the sender.
    pub fn drop_message(&self, address: &Arc<str>) {
        self.counters.dropped.fetch_add(1, Ordering::Relaxed);
        let report = Inbound::Unreachable { address: address.clone() };
        if self.inbox.try_send(report).is_err() {
            debug!(step = "report", peer = %address, error = "inbox full");
        }
    }

    /// Counts a message sent.
    pub fn count_sent(&self, bytes: u64) {
        self.counters.sent.fetch_add(1, Ordering::Relaxed);
        self.counters.sent_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Counts a message received.
    pub fn count_received(&self, bytes: u64) {
        self.counters.received.fetch_add(1, Ordering::Relaxed);
        self.counters.received_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Counts an envelope refused.
    pub fn count_refused(&self) {
        self.counters.refused.fetch_add(1, Ordering::Relaxed);
    }
}
