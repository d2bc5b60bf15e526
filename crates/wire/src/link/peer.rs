//! Sends messages to one peer, in order, on one connection.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use crossbeam::channel::{Receiver, RecvTimeoutError};
use eyre::{Result, WrapErr, ensure};
use tracing::{debug, info};

use super::{Outbound, Shared, connection::Connection};
use crate::{
    laburnum::{Envelope, THostSyncClient},
    seal::{self, Content, NO_SESSION},
};

/// Longest time that opening a connection, a write or the greeting may take.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Time without messages after which a connection is closed.
const IDLE: Duration = Duration::from_secs(60);

/// First pause after a failure.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// Longest pause after failures.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// A connection whose both ends have authenticated each other.
struct Session {
    connection: Connection,
    id: u64,
}

/// Sends the messages of a queue to one peer.
pub struct Peer {
    address: Arc<str>,
    shared: Arc<Shared>,
    session: Option<Session>,
    backoff: Duration,
    retry_at: Option<Instant>,
}

impl Peer {
    /// Returns a peer without a connection.
    pub fn new(address: Arc<str>, shared: Arc<Shared>) -> Self {
        Self { address, shared, session: None, backoff: MIN_BACKOFF, retry_at: None }
    }

    /// Sends until the queue is closed or nothing was sent for [`IDLE`].
    pub fn run(mut self, queue: Receiver<Outbound>) {
        loop {
            match queue.recv_timeout(IDLE) {
                Ok(outbound) => self.send(&outbound),
                Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) if self.shared.retire(&self.address, &queue) => {
                    return;
                }
                Err(RecvTimeoutError::Timeout) => {}
            }
        }
    }

    fn send(&mut self, outbound: &Outbound) {
        let waits = self.retry_at.is_some_and(|retry_at| Instant::now() < retry_at);
        if waits {
            self.shared.drop_message(&self.address);
            return;
        }
        if let Err(error) = self.try_send(outbound) {
            info!(step = "send", peer = %self.address, error = format!("{error:#}"));
            self.session = None;
            self.retry_at = Some(Instant::now() + self.backoff);
            self.backoff = MAX_BACKOFF.min(self.backoff * 2);
            self.shared.drop_message(&self.address);
        }
    }

    fn try_send(&mut self, outbound: &Outbound) -> Result<()> {
        self.session = self.session.take().filter(|session| session.connection.is_open());
        if self.session.is_none() {
            self.session = Some(self.open(outbound)?);
            self.backoff = MIN_BACKOFF;
            self.retry_at = None;
        }
        let envelope = match &self.session {
            Some(session) => self.seal(outbound, session.id, true)?,
            None => return Ok(()),
        };
        let fits = envelope.body.len() <= super::MAX_BODY_BYTES;
        if !fits {
            debug!(step = "send", peer = %self.address, bytes = envelope.body.len());
            self.shared.drop_message(&self.address);
            return Ok(());
        }
        self.deliver(envelope)
    }

    /// Opens a connection and authenticates both ends.
    fn open(&self, outbound: &Outbound) -> Result<Session> {
        let address: SocketAddr =
            self.address.parse().wrap_err_with(|| format!("step=parse peer={}", self.address))?;
        let mut connection = Connection::open(address, TIMEOUT)?;
        let question = self.seal(outbound, NO_SESSION, false)?;
        let greeting = connection
            .client
            .greet(question.clone())
            .wrap_err_with(|| format!("step=greet peer={address}"))?;
        let genuine = self.shared.key.greeted(&question, &greeting);
        ensure!(genuine, "step=greet peer={address} error=\"peer lacks the key\"");
        let mut session = Session { connection, id: greeting.session as u64 };
        let first = self.seal(outbound, session.id, false)?;
        session
            .connection
            .client
            .deliver(first)
            .wrap_err_with(|| format!("step=open_session peer={address}"))?;
        Ok(session)
    }

    fn seal(&self, outbound: &Outbound, session: u64, whole: bool) -> Result<Envelope> {
        let content = Content {
            to: &self.address,
            session,
            number: self.shared.next_number(),
            stamp: outbound.stamp,
            request: outbound.request.filter(|_| whole),
            message: whole.then_some(&outbound.message),
        };
        let envelope =
            seal::seal(&self.shared.key, &self.shared.identity, &self.shared.address, &content)?;
        Ok(envelope)
    }

    fn deliver(&mut self, envelope: Envelope) -> Result<()> {
        let bytes = envelope.body.len() as u64;
        let Some(session) = &mut self.session else { return Ok(()) };
        session
            .connection
            .client
            .deliver(envelope)
            .wrap_err_with(|| format!("step=deliver peer={}", self.address))?;
        self.shared.count_sent(bytes);
        Ok(())
    }
}
