//! Streams that move away from back ends that leave.

use std::sync::Arc;

use super::{Host, exchange::Exchange};
use crate::{answer::StreamEvent, record::Model, request};

/// Streams that move at once, since a copy of a cache may be large.
const MAX_MIGRATIONS: usize = 8;

/// Returns the name under which a request asks for a back end to move to.
fn migration_id(id: request::Id) -> request::Id {
    request::Id::numbered(&format!("move {id}"), 0)
}

impl Host {
    /// Tells a stream that its back end leaves, by whatever source.
    pub(super) fn notify_if_backend_leaves(&mut self, id: request::Id, backend: &Arc<str>) {
        let router = self.admission.router();
        if !router.is_leaving(self.now, backend) || self.migrations.len() >= MAX_MIGRATIONS {
            return;
        }
        let short_notice = self.catalog.is_unlisted(backend);
        self.stream_event(id, StreamEvent::BackendLeaving { short_notice });
    }

    pub(super) fn find_migration_target(&mut self, id: request::Id, avoid: Vec<Arc<str>>) {
        let Some(request) = self.model_requests.get(&id) else { return };
        let (query, expires) = request.query(avoid);
        self.migrations.insert(migration_id(id), id);
        self.request_backend(migration_id(id), query, expires);
    }

    pub(super) fn migration_target_decided(&mut self, id: request::Id, backend: Option<Arc<str>>) {
        self.stream_event(id, StreamEvent::MigrationTargetChosen(backend));
    }

    pub(super) fn copy_cache(
        &mut self,
        id: request::Id,
        from: &Arc<str>,
        to: Arc<str>,
        stream: request::Id,
    ) {
        let Some((from, address)) = self.copy_addresses(id, from, &to) else {
            return self.stream_event(id, StreamEvent::CacheCopied { to, stream, tokens: None });
        };
        self.start_exchange(Exchange::Copy { request: id, stream, from, address, to });
    }

    /// Returns the addresses of two back ends that hold the same version of a request's model.
    fn copy_addresses(
        &self,
        id: request::Id,
        from: &str,
        to: &str,
    ) -> Option<(Arc<str>, Arc<str>)> {
        let wanted = self.model_requests.get(&id)?.model();
        let of = |held: &&Model| held.name == wanted.name && held.adapter == wanted.adapter;
        let (from, to) = (self.catalog.backend(from)?, self.catalog.backend(to)?);
        let (old, new) = (from.models.iter().find(of)?, to.models.iter().find(of)?);
        (old.version == new.version).then(|| (from.address.clone(), to.address.clone()))
    }

    /// Takes the outcome of a copy. One that nobody waits for is dropped at the engine.
    pub(super) fn cache_copied(
        &mut self,
        id: request::Id,
        stream: request::Id,
        to: Arc<str>,
        tokens: Option<u64>,
    ) {
        if self.model_requests.contains_key(&id) {
            return self.stream_event(id, StreamEvent::CacheCopied { to, stream, tokens });
        }
        if let Some(record) = self.catalog.backend(&to)
            && tokens.is_some()
        {
            let address = record.address.clone();
            self.start_exchange(Exchange::Cancel { address, stream });
        }
    }

    /// Counts a request at the back end that it has moved to, and no longer at the one before.
    pub(super) fn finish_migration(&mut self, id: request::Id) {
        self.release_backend(id);
        self.migrations.remove(&migration_id(id));
        if let Some(waiter) = self.placements.remove(&migration_id(id)) {
            self.placements.insert(id, waiter);
        }
    }

    pub(super) fn cancel_migration(&mut self, id: request::Id) {
        self.cancel_backend_request(migration_id(id));
        self.release_backend(migration_id(id));
        self.migrations.remove(&migration_id(id));
    }
}
