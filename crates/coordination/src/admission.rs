//! Admission control: places requests on backend servers, queues them by class, or refuses them.
//!
//! Each host has one queue per route and class; a request leaves it when a backend server has room.
//! Urgent requests go first, but at intervals a request that has waited long enough goes before
//! them, so that no class starves. A request that would miss its deadline, given the expected wait
//! and run time of its class, is refused on arrival or as soon as it is too late to start it.

mod queue;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use queue::Queue;

use crate::{
    request::Class,
    route::{Choice, Query, Router, RouterAction, RouterEvent},
};

/// Time between two attempts to place waiting requests in the absence of other events.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum time after which a refused caller may retry.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum time after which a refused caller may retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Identifies a request that waits for a backend server or has one.
pub type Waiter = u64;

/// Maximum number of waiting requests of one route, by class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueLimits {
    /// Limit for urgent requests.
    pub urgent: usize,
    /// Limit for normal requests.
    pub normal: usize,
    /// Limit for long requests.
    pub long: usize,
}

impl Default for QueueLimits {
    fn default() -> Self {
        Self { urgent: 256, normal: 1024, long: 4096 }
    }
}

impl QueueLimits {
    fn limit(&self, class: Class) -> usize {
        match class {
            Class::Urgent => self.urgent,
            Class::Normal => self.normal,
            Class::Long => self.long,
        }
    }
}

/// Input of an [`Admission`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionEvent {
    /// A request needs a backend server.
    Submit {
        /// Id of the request.
        waiter: Waiter,
        /// Requirements for the backend server.
        query: Query,
        /// Time by which the request should have ended.
        deadline: Duration,
    },
    /// A waiting request no longer needs a backend server.
    Cancel(Waiter),
    /// A placed request has ended at its backend server, successfully or not.
    Finished(Waiter),
    /// An event for the router.
    Router(RouterEvent),
    /// Time passed.
    Tick,
}

/// Reason why a request gets no backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The queue is full, or the request would wait or has waited too long.
    Overload,
    /// No backend server can serve the request.
    NoBackend,
}

/// Output of an [`Admission`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Send the request to the backend server; [`AdmissionEvent::Finished`] is expected when it has
    /// ended there.
    Place {
        /// Id of the request.
        waiter: Waiter,
        /// Name of the backend server.
        backend: Arc<str>,
    },
    /// Refuse the request.
    Refuse {
        /// Id of the request.
        waiter: Waiter,
        /// Reason of the refusal.
        reason: RefusalReason,
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
    /// An action of the router.
    Router(RouterAction),
}

#[derive(Debug)]
struct Waiting {
    query: Query,
    since: Duration,
    expires: Duration,
}

#[derive(Debug)]
struct Placed {
    route: Arc<str>,
    class: Class,
    backend: Arc<str>,
    since: Duration,
}

/// Places the requests of one host.
#[derive(Debug)]
pub struct Admission {
    queue_limits: QueueLimits,
    router: Router,
    waiting: BTreeMap<Waiter, Waiting>,
    placed: BTreeMap<Waiter, Placed>,
    queues: BTreeMap<Arc<str>, Queue>,
    expiries: BTreeSet<(Duration, Waiter)>,
    retry_at: Option<Duration>,
}

impl Admission {
    /// Returns an admission with empty queues that places requests by a router.
    pub fn new(queue_limits: QueueLimits, router: Router) -> Self {
        Self {
            queue_limits,
            router,
            waiting: BTreeMap::new(),
            placed: BTreeMap::new(),
            queues: BTreeMap::new(),
            expiries: BTreeSet::new(),
            retry_at: None,
        }
    }

    /// Returns the router.
    pub fn router(&self) -> &Router {
        &self.router
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the time at which [`AdmissionEvent::Tick`] is due.
    pub fn wake_at(&self) -> Option<Duration> {
        let expiry = self.expiries.first().map(|(at, _)| *at);
        [expiry, self.retry_at].into_iter().flatten().min()
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(
        &mut self,
        now: Duration,
        event: AdmissionEvent,
        actions: &mut Vec<AdmissionAction>,
    ) {
        match event {
            AdmissionEvent::Submit { waiter, query, deadline } => {
                self.submit(now, waiter, query, deadline, actions);
            }
            AdmissionEvent::Cancel(waiter) => {
                self.remove(waiter);
            }
            AdmissionEvent::Finished(waiter) => self.finished(now, waiter, actions),
            AdmissionEvent::Router(event) => self.router_event(now, event, actions),
            AdmissionEvent::Tick => self.tick(now, actions),
        }
        self.retry_at = match self.waiting.is_empty() {
            true => None,
            false => Some(self.retry_at.unwrap_or(now + RETRY_INTERVAL)),
        };
    }

    fn submit(
        &mut self,
        now: Duration,
        waiter: Waiter,
        query: Query,
        deadline: Duration,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let queue = self.queues.entry(query.route.clone()).or_default();
        let wait = queue.expected_wait(query.class);
        let expires = deadline.saturating_sub(queue.expected_run(query.class));
        let full = queue.len(query.class) >= self.queue_limits.limit(query.class);
        let late = queue.len(query.class) > 0 && now + wait > expires;
        if full || late {
            refuse(waiter, RefusalReason::Overload, wait, actions);
            return;
        }
        let route = query.route.clone();
        let expires = expires.max(now);
        queue.push(now, waiter, query.class);
        self.waiting.insert(waiter, Waiting { query, since: now, expires });
        self.expiries.insert((expires, waiter));
        self.place_waiting(now, &route, actions);
    }

    fn finished(&mut self, now: Duration, waiter: Waiter, actions: &mut Vec<AdmissionAction>) {
        let Some(placed) = self.placed.remove(&waiter) else { return };
        if let Some(queue) = self.queues.get_mut(&placed.route) {
            queue.record_run(placed.class, now - placed.since);
        }
        let Placed { backend, since, .. } = placed;
        self.router_event(now, RouterEvent::Finished { backend, sent_at: since }, actions);
    }

    fn remove(&mut self, waiter: Waiter) -> Option<Waiting> {
        let waiting = self.waiting.remove(&waiter)?;
        self.expiries.remove(&(waiting.expires, waiter));
        if let Some(queue) = self.queues.get_mut(&waiting.query.route) {
            queue.remove(waiting.since, waiter, waiting.query.class);
        }
        Some(waiting)
    }

    fn router_event(
        &mut self,
        now: Duration,
        event: RouterEvent,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let backend = backend_of(&event).cloned();
        let mut routes: Vec<Arc<str>> = match &event {
            RouterEvent::Route(route) => vec![route.name.clone()],
            _ => Vec::new(),
        };
        let mut router_actions = Vec::new();
        self.router.handle(now, event, &mut router_actions);
        actions.extend(router_actions.into_iter().map(AdmissionAction::Router));
        if let Some(backend) = backend {
            routes.extend(self.router.routes_of(&backend).cloned());
        }
        for route in routes {
            self.place_waiting(now, &route, actions);
        }
    }

    fn tick(&mut self, now: Duration, actions: &mut Vec<AdmissionAction>) {
        while let Some(&(at, waiter)) = self.expiries.first()
            && at <= now
        {
            let Some(waiting) = self.remove(waiter) else { return };
            let wait = self.expected_wait(&waiting.query);
            refuse(waiter, RefusalReason::Overload, wait, actions);
        }
        if self.retry_at.is_none_or(|at| now < at) {
            return;
        }
        self.retry_at = None;
        let non_empty = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let routes: Vec<Arc<str>> = non_empty.map(|(route, _)| route.clone()).collect();
        for route in routes {
            self.place_waiting(now, &route, actions);
        }
    }

    fn expected_wait(&self, query: &Query) -> Duration {
        self.queues
            .get(&query.route)
            .map_or(Duration::ZERO, |queue| queue.expected_wait(query.class))
    }

    /// Places waiting requests of a route until no head of a class can be placed.
    fn place_waiting(
        &mut self,
        now: Duration,
        route: &Arc<str>,
        actions: &mut Vec<AdmissionAction>,
    ) {
        while let Some(queue) = self.queues.get(route)
            && !queue.is_empty()
        {
            let heads = queue.heads(now);
            if !heads.into_iter().any(|head| self.try_place(now, head, actions)) {
                return;
            }
        }
    }

    /// Tries to place the head of a class; returns whether it has left the queue.
    fn try_place(
        &mut self,
        now: Duration,
        head: queue::Head,
        actions: &mut Vec<AdmissionAction>,
    ) -> bool {
        let waiter = head.waiter;
        let Some(waiting) = self.waiting.get_mut(&waiter) else { return false };
        waiting.query.starved = head.starved;
        match self.router.choose(now, &waiting.query) {
            Choice::Full => false,
            Choice::Unavailable { .. } if waiting.query.class == Class::Long => false,
            Choice::Unavailable { retry_after } => {
                self.remove(waiter);
                refuse(waiter, RefusalReason::NoBackend, retry_after, actions);
                true
            }
            Choice::Backend(backend) => {
                let Some(waiting) = self.remove(waiter) else { return false };
                if let Some(queue) = self.queues.get_mut(&waiting.query.route) {
                    queue.record_placement(now, &head);
                }
                let Query { route, class, .. } = waiting.query;
                let placed = Placed { route, class, backend: backend.clone(), since: now };
                self.placed.insert(waiter, placed);
                actions.push(AdmissionAction::Place { waiter, backend });
                true
            }
        }
    }
}

fn refuse(
    waiter: Waiter,
    reason: RefusalReason,
    wait: Duration,
    actions: &mut Vec<AdmissionAction>,
) {
    let retry_after = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    actions.push(AdmissionAction::Refuse { waiter, reason, retry_after });
}

/// Returns the backend server whose free capacity an event may change.
fn backend_of(event: &RouterEvent) -> Option<&Arc<str>> {
    match event {
        RouterEvent::Backend(record) => Some(&record.name),
        RouterEvent::Load(backend, _)
        | RouterEvent::State { backend, .. }
        | RouterEvent::Listed { backend, .. }
        | RouterEvent::Refused(backend, _)
        | RouterEvent::Health { backend, .. }
        | RouterEvent::Finished { backend, .. } => Some(backend),
        RouterEvent::BackendDeleted(_)
        | RouterEvent::Route(_)
        | RouterEvent::RouteDeleted(_)
        | RouterEvent::Cache { .. }
        | RouterEvent::Readers { .. }
        | RouterEvent::ChangesApplied
        | RouterEvent::HostIndex { .. } => None,
    }
}
