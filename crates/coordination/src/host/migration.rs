//! Migration of streams away from backend servers that are leaving.

use std::sync::Arc;

use super::{Host, exchange::Exchange};
use crate::{answer::StreamEvent, record::Model, request};

/// Greatest number of concurrent migrations, limited because a copy of a cache may be large.
const MAX_CONCURRENT_MIGRATIONS: usize = 8;

/// Returns the id under which a request asks admission for a backend server to migrate to.
fn migration_id(id: request::Id) -> request::Id {
    request::Id::numbered(&format!("move {id}"), 0)
}

impl Host {
    /// Notifies a stream if its backend server is leaving, whatever the source, and another
    /// migration may start.
    pub(super) fn notify_if_backend_leaves(&mut self, id: request::Id, backend: &Arc<str>) {
        let router = self.admission.router();
        if !router.is_leaving(self.now, backend)
            || self.migrations.len() >= MAX_CONCURRENT_MIGRATIONS
        {
            return;
        }
        let short_notice = self.catalog.is_unlisted(backend);
        self.stream_event(id, StreamEvent::BackendLeaving { short_notice });
    }

    pub(super) fn place_migration(&mut self, id: request::Id, avoid: Vec<Arc<str>>) {
        let Some(request) = self.model_requests.get(&id) else { return };
        let (query, deadline) = request.query(avoid);
        self.migrations.insert(migration_id(id), id);
        self.request_backend(migration_id(id), query, deadline);
    }

    pub(super) fn migration_target_chosen(&mut self, id: request::Id, backend: Option<Arc<str>>) {
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

    /// Returns the addresses of two backend servers if both have the same version of a request's
    /// model.
    fn copy_addresses(
        &self,
        id: request::Id,
        from: &str,
        to: &str,
    ) -> Option<(Arc<str>, Arc<str>)> {
        let wanted = self.model_requests.get(&id)?.model();
        let is_same = |model: &&Model| model.name == wanted.name && model.adapter == wanted.adapter;
        let (from, to) = (self.catalog.backend(from)?, self.catalog.backend(to)?);
        let (old, new) = (from.models.iter().find(is_same)?, to.models.iter().find(is_same)?);
        (old.version == new.version).then(|| (from.address.clone(), to.address.clone()))
    }

    /// Handles the outcome of a copy. A copy whose request has ended is cancelled at the engine.
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

    /// Counts a request at the backend server that it has migrated to, and no longer at the
    /// previous one.
    pub(super) fn commit_migration(&mut self, id: request::Id) {
        self.release_backend(id);
        self.migrations.remove(&migration_id(id));
        if let Some(waiter) = self.placements.remove(&migration_id(id)) {
            self.placements.insert(id, waiter);
        }
    }

    pub(super) fn abort_migration(&mut self, id: request::Id) {
        self.cancel_backend_request(migration_id(id));
        self.release_backend(migration_id(id));
        self.migrations.remove(&migration_id(id));
    }
}
