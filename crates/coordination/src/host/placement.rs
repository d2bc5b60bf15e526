//! Back ends for requests: the router's news and the admission of requests to it.

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
    /// Asks for a back end; the answer reaches the request, at once or later.
    pub(super) fn ask_for_backend(&mut self, id: request::Id, query: Query, deadline: Duration) {
        self.withdraw(id);
        self.vacate(id);
        let waiter = self.next_waiter;
        self.next_waiter += 1;
        self.waiters.insert(waiter, id);
        self.waiting.insert(id, waiter);
        self.admission_event(AdmissionEvent::Submit { waiter, query, deadline });
    }

    /// Takes back what a request asked for.
    pub(super) fn withdraw(&mut self, id: request::Id) {
        let Some(waiter) = self.waiting.remove(&id) else { return };
        self.waiters.remove(&waiter);
        self.admission_event(AdmissionEvent::Cancel(waiter));
    }

    /// Tells that a request has ended at the back end that it was given.
    pub(super) fn vacate(&mut self, id: request::Id) {
        let Some(waiter) = self.placed.remove(&id) else { return };
        self.admission_event(AdmissionEvent::Finished(waiter));
    }

    pub(super) fn admission_event(&mut self, event: AdmissionEvent) {
        let mut actions = Vec::new();
        self.admission.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                AdmissionAction::Place { waiter, backend } => self.placed(waiter, backend),
                AdmissionAction::Refuse { waiter, retry_after, .. } => {
                    self.not_placed(waiter, retry_after);
                }
                AdmissionAction::Router(route::RouterAction::Resync(backend)) => {
                    self.out.push(Action::ResyncCache { backend });
                }
                AdmissionAction::Router(route::RouterAction::UpdateReadSet) => self.watch(),
            }
        }
    }

    fn served(&mut self, waiter: Waiter) -> Option<request::Id> {
        let id = self.waiters.remove(&waiter)?;
        self.waiting.remove(&id);
        Some(id)
    }

    fn placed(&mut self, waiter: Waiter, backend: Arc<str>) {
        let Some(id) = self.served(waiter) else {
            return self.admission_event(AdmissionEvent::Finished(waiter));
        };
        self.placed.insert(id, waiter);
        if let Some(&request) = self.moves.get(&id) {
            return self.sought(request, Some(backend));
        }
        match self.calls.contains_key(&id) {
            true => self.send_call(id, &backend),
            false => self.chosen(id, backend),
        }
    }

    fn not_placed(&mut self, waiter: Waiter, retry_after: Duration) {
        let Some(id) = self.served(waiter) else { return };
        if let Some(&request) = self.moves.get(&id) {
            return self.sought(request, None);
        }
        match self.calls.contains_key(&id) {
            true => self.call_not_placed(id, retry_after),
            false => self.not_chosen(id, retry_after),
        }
    }

    pub(super) fn router_event(&mut self, event: RouterEvent) {
        self.admission_event(AdmissionEvent::Router(event));
    }

    pub(super) fn load(&mut self, backend: Arc<str>, load: Option<Load>) {
        let Some(load) = load else { return };
        let Load { queued, running, slots, at_ms, leaving, .. } = load;
        let load = route::Load { queued, running, slots, leaving, at_ms };
        self.router_event(RouterEvent::Load(backend, load));
    }

    /// Tells the router what changed of the back ends that the platform's list takes out of service.
    pub(super) fn backends_listed(&mut self, listed: &[ListedHost]) {
        for entry in listed {
            if let Some((backend, leaving)) = self.catalog.apply_listed(entry) {
                self.router_event(RouterEvent::Listed { backend, leaving });
            }
        }
        self.router_event(RouterEvent::ChangesApplied);
    }

    pub(super) fn cache(
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
