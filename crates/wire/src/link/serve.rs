//! Calls that a host answers on one connection.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use tracing::debug;

use super::{Inbound, Shared};
use crate::{
    laburnum::{Denied, Envelope, Greeting, HostSyncHandler, Status, TimelineEvent, TimelineQuery},
    operator,
    seal::{self, NO_SESSION, Refusal},
};

/// Greatest number of events in one answer.
const MAX_EVENTS: usize = 20_000;

/// Answers the calls of one connection.
pub struct Handler {
    shared: Arc<Shared>,
    session: u64,
    number: AtomicU64,
    opened: AtomicBool,
    refused: AtomicBool,
}

impl Handler {
    /// Returns the handler of a new connection.
    pub fn new(shared: Arc<Shared>, connection: u64) -> Self {
        let session = shared.key.session(&shared.identity.holder, shared.start, connection);
        Self {
            shared,
            session,
            number: AtomicU64::new(0),
            opened: AtomicBool::new(false),
            refused: AtomicBool::new(false),
        }
    }

    /// Returns whether the peer has authenticated itself.
    pub fn opened(&self) -> bool {
        self.opened.load(Ordering::Relaxed)
    }

    /// Returns whether the connection has to end, since an envelope was refused.
    pub fn refused(&self) -> bool {
        self.refused.load(Ordering::Relaxed)
    }

    fn refuse(&self) {
        self.refused.store(true, Ordering::Relaxed);
        self.shared.count_refused();
    }

    fn check(&self, envelope: &Envelope, session: u64) -> Result<(), Refusal> {
        seal::verify(&self.shared.key, &self.shared.address, envelope)?;
        if envelope.session as u64 != session {
            return Err(Refusal::Session);
        }
        Ok(())
    }

    fn take(&self, envelope: Envelope) -> Result<(), Refusal> {
        self.check(&envelope, self.session)?;
        let number = envelope.number as u64;
        if number <= self.number.load(Ordering::Relaxed) {
            return Err(Refusal::Replayed);
        }
        let bytes = envelope.body.len() as u64;
        let delivery = match bytes {
            0 => None,
            _ => Some(seal::open(envelope)?),
        };
        self.number.store(number, Ordering::Relaxed);
        self.opened.store(true, Ordering::Relaxed);
        self.shared.count_received(bytes);
        if let Some(delivery) = delivery {
            let _ = self.shared.inbox.send(Inbound::Message(delivery));
        }
        Ok(())
    }

    fn authorise(&self, token: &str) -> thrift::Result<()> {
        match self.shared.responder.authorise(token) {
            true => Ok(()),
            false => Err(denied("not authorised")),
        }
    }
}

impl HostSyncHandler for Arc<Handler> {
    fn handle_greet(&self, envelope: Envelope) -> thrift::Result<Greeting> {
        let checked = self.check(&envelope, NO_SESSION);
        if checked.is_err() || !envelope.body.is_empty() {
            self.refuse();
            return Err(denied("not authenticated"));
        }
        Ok(self.shared.key.greet(&envelope, &self.shared.identity, self.session))
    }

    fn handle_deliver(&self, envelope: Envelope) -> thrift::Result<()> {
        self.take(envelope).map_err(|refusal| {
            self.refuse();
            debug!(step = "deliver", error = %refusal);
            thrift::Error::from(refusal.to_string())
        })
    }

    fn handle_status(&self, token: String) -> thrift::Result<Status> {
        self.authorise(&token)?;
        let status = self.shared.responder.status();
        status.as_ref().map(Status::from).ok_or_else(|| denied("not available"))
    }

    fn handle_timeline(
        &self,
        token: String,
        query: TimelineQuery,
    ) -> thrift::Result<Vec<TimelineEvent>> {
        self.authorise(&token)?;
        let mut query = operator::query(query).map_err(|_| denied("malformed query"))?;
        query.limit = query.limit.min(MAX_EVENTS);
        let events = self.shared.responder.timeline(&query);
        let events = events.ok_or_else(|| denied("not available"))?;
        Ok(events.iter().map(TimelineEvent::from).collect())
    }
}

fn denied(reason: &str) -> thrift::Error {
    thrift::Error::User(Box::new(Denied::new(reason.to_owned())))
}
