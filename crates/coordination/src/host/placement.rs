//! Placement of requests on backend servers: admission, and updates to the router.

use std::{sync::Arc, time::Duration};

use super::{
    Host,
    action::Action,
    event::{CacheChange, Load},
};
use crate::{
    admission::{AdmissionAction, AdmissionEvent, Waiter},
    member::ListedHost,
    prefix, request,
    route::{self, Query, RouterEvent},
};

impl Host {
    /// Submits a request to admission; [`Self::request_placed`] or [`Self::request_not_placed`]
    /// passes on the decision, at once or later.
    pub(super) fn request_backend(&mut self, id: request::Id, query: Query, deadline: Duration) {
        self.cancel_backend_request(id);
        self.release_backend(id);
        let waiter = self.next_waiter;
        self.next_waiter += 1;
        self.request_by_waiter.insert(waiter, id);
        self.waiter_by_request.insert(id, waiter);
        self.admission_event(AdmissionEvent::Submit { waiter, query, deadline });
    }

    /// Cancels a request's wait for a backend server.
    pub(super) fn cancel_backend_request(&mut self, id: request::Id) {
        let Some(waiter) = self.waiter_by_request.remove(&id) else { return };
        self.request_by_waiter.remove(&waiter);
        self.admission_event(AdmissionEvent::Cancel(waiter));
    }

    /// Reports that a request no longer runs on the backend server on which it was placed.
    pub(super) fn release_backend(&mut self, id: request::Id) {
        let Some(waiter) = self.placements.remove(&id) else { return };
        self.admission_event(AdmissionEvent::Finished(waiter));
    }

    pub(super) fn admission_event(&mut self, event: AdmissionEvent) {
        let mut actions = Vec::new();
        self.admission.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                AdmissionAction::Place { waiter, backend } => self.request_placed(waiter, backend),
                AdmissionAction::Refuse { waiter, retry_after, .. } => {
                    self.request_not_placed(waiter, retry_after);
                }
                AdmissionAction::Router(route::RouterAction::Resync(backend)) => {
                    self.pending_actions.push(Action::ResyncCache { backend });
                }
                AdmissionAction::Router(route::RouterAction::UpdateReadSet) => {
                    self.update_read_set()
                }
            }
        }
    }

    fn remove_waiter(&mut self, waiter: Waiter) -> Option<request::Id> {
        let id = self.request_by_waiter.remove(&waiter)?;
        self.waiter_by_request.remove(&id);
        Some(id)
    }

    fn request_placed(&mut self, waiter: Waiter, backend: Arc<str>) {
        let Some(id) = self.remove_waiter(waiter) else {
            return self.admission_event(AdmissionEvent::Finished(waiter));
        };
        self.placements.insert(id, waiter);
        if let Some(&request) = self.migrations.get(&id) {
            return self.migration_target_chosen(request, Some(backend));
        }
        match self.service_calls.contains_key(&id) {
            true => self.send_call(id, &backend),
            false => self.backend_chosen(id, backend),
        }
    }

    fn request_not_placed(&mut self, waiter: Waiter, retry_after: Duration) {
        let Some(id) = self.remove_waiter(waiter) else { return };
        if let Some(&request) = self.migrations.get(&id) {
            return self.migration_target_chosen(request, None);
        }
        match self.service_calls.contains_key(&id) {
            true => self.call_not_placed(id, retry_after),
            false => self.no_backend_chosen(id, retry_after),
        }
    }

    pub(super) fn router_event(&mut self, event: RouterEvent) {
        self.admission_event(AdmissionEvent::Router(event));
    }

    pub(super) fn load_reported(&mut self, backend: Arc<str>, load: Option<Load>) {
        let Some(load) = load else { return };
        let Load { queued, running, slots, at_ms, leaving, .. } = load;
        let load = route::Load { queued, running, slots, leaving, at_ms };
        self.router_event(RouterEvent::Load(backend, load));
    }

    /// Reports to the router which backend servers the platform's host list takes out of service,
    /// or no longer does.
    pub(super) fn backends_listed(&mut self, listed: &[ListedHost]) {
        for entry in listed {
            if let Some((backend, leaving)) = self.catalog.apply_listed(entry) {
                self.router_event(RouterEvent::Listed { backend, leaving });
            }
        }
        self.router_event(RouterEvent::ChangesApplied);
    }

    pub(super) fn cache_reported(
        &mut self,
        backend: Arc<str>,
        after: u64,
        changes: &[CacheChange],
        next: u64,
    ) {
        let events = changes.iter().filter_map(|change| {
            let key = prefix::Key::parse(&change.model, &change.prefix)?;
            Some(prefix::Event { seq: change.number, key, cached: change.cached })
        });
        let events = events.collect();
        self.router_event(RouterEvent::Cache { backend, after, events, next });
    }
}
