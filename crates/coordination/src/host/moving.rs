//! Streams that move away from back ends that leave.

use std::sync::Arc;

use super::{Host, exchange::Exchange};
use crate::{answer::StreamEvent, record::Model, request};

/// Streams that move at once, since a copy of a cache may be large.
const MAX_MOVES: usize = 8;

/// Returns the name under which a request asks for a back end to move to.
fn seeker(id: request::Id) -> request::Id {
    request::Id::numbered(&format!("move {id}"), 0)
}

impl Host {
    /// Tells a stream that its back end leaves, by whatever source.
    pub(super) fn leave_backend(&mut self, id: request::Id, backend: &Arc<str>) {
        let router = self.admission.router();
        if !router.leaving(self.now, backend) || self.moves.len() >= MAX_MOVES {
            return;
        }
        let short_notice = self.catalog.is_unlisted(backend);
        self.stream_event(id, StreamEvent::BackendLeaving { short_notice });
    }

    pub(super) fn seek(&mut self, id: request::Id, avoid: Vec<Arc<str>>) {
        let Some(request) = self.models.get(&id) else { return };
        let (query, expires) = request.query(avoid);
        self.moves.insert(seeker(id), id);
        self.ask_for_backend(seeker(id), query, expires);
    }

    pub(super) fn sought(&mut self, id: request::Id, backend: Option<Arc<str>>) {
        self.stream_event(id, StreamEvent::MoveTargetChosen(backend));
    }

    pub(super) fn copy(
        &mut self,
        id: request::Id,
        from: &Arc<str>,
        to: Arc<str>,
        stream: request::Id,
    ) {
        let Some((from, address)) = self.fit(id, from, &to) else {
            return self.stream_event(id, StreamEvent::CacheCopied { to, stream, tokens: None });
        };
        self.exchange(Exchange::Copy { request: id, stream, from, address, to });
    }

    /// Returns the addresses of two back ends that hold the same version of a request's model.
    fn fit(&self, id: request::Id, from: &str, to: &str) -> Option<(Arc<str>, Arc<str>)> {
        let wanted = self.models.get(&id)?.model();
        let of = |held: &&Model| held.name == wanted.name && held.adapter == wanted.adapter;
        let (from, to) = (self.catalog.backend(from)?, self.catalog.backend(to)?);
        let (old, new) = (from.models.iter().find(of)?, to.models.iter().find(of)?);
        (old.version == new.version).then(|| (from.address.clone(), to.address.clone()))
    }

    /// Takes the outcome of a copy. One that nobody waits for is dropped at the engine.
    pub(super) fn copied(
        &mut self,
        id: request::Id,
        stream: request::Id,
        to: Arc<str>,
        tokens: Option<u64>,
    ) {
        if self.models.contains_key(&id) {
            return self.stream_event(id, StreamEvent::CacheCopied { to, stream, tokens });
        }
        if let Some(record) = self.catalog.backend(&to)
            && tokens.is_some()
        {
            let address = record.address.clone();
            self.exchange(Exchange::Cancel { address, stream });
        }
    }

    /// Counts a request at the back end that it has moved to, and no longer at the one before.
    pub(super) fn moved(&mut self, id: request::Id) {
        self.vacate(id);
        self.moves.remove(&seeker(id));
        if let Some(waiter) = self.placed.remove(&seeker(id)) {
            self.placed.insert(id, waiter);
        }
    }

    pub(super) fn stay(&mut self, id: request::Id) {
        self.withdraw(seeker(id));
        self.vacate(seeker(id));
        self.moves.remove(&seeker(id));
    }
}
