//! Admits requests to back ends: places them, lets them wait by class, or refuses them at once.
//!
//! Requests of a route wait in one queue for each class on this host and get a back end only when
//! one has room. Urgent requests go first, but a request that has waited long enough passes now and
//! then, so that no class starves. A request that would not end by its deadline, by the usual wait
//! and run of its class, is refused when it arrives or as soon as it is too late to start it.

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

/// Time between two tries to place waiting requests when nothing else happens.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Shortest time after which a refused caller may retry.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);

/// Longest time after which a refused caller may retry.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(60);

/// Names a request that needs a back end.
pub type Waiter = u64;

/// Greatest number of requests of one route that wait, by class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueLimits {
    /// Urgent requests.
    pub urgent: usize,
    /// Normal requests.
    pub normal: usize,
    /// Long requests.
    pub long: usize,
}

impl Default for QueueLimits {
    fn default() -> Self {
        Self { urgent: 256, normal: 1024, long: 4096 }
    }
}

impl QueueLimits {
    fn of(&self, class: Class) -> usize {
        match class {
            Class::Urgent => self.urgent,
            Class::Normal => self.normal,
            Class::Long => self.long,
        }
    }
}

/// What an admission is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionEvent {
    /// A request needs a back end.
    Submit {
        /// Request.
        waiter: Waiter,
        /// What it needs.
        query: Query,
        /// Time by which it should have ended.
        deadline: Duration,
    },
    /// A waiting request no longer needs a back end.
    Cancel(Waiter),
    /// A placed request has ended at its back end, however it ended.
    Finished(Waiter),
    /// The router is told something.
    Router(RouterEvent),
    /// Time passed.
    Tick,
}

/// Why a request gets no back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// It would wait, or has waited, too long.
    Overload,
    /// No back end can serve it.
    NoBackend,
}

/// What an admission wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Send the request to the back end; tell [`AdmissionEvent::Finished`] when it has ended there.
    Place {
        /// Request.
        waiter: Waiter,
        /// Back end.
        backend: Arc<str>,
    },
    /// Refuse the request.
    Refuse {
        /// Request.
        waiter: Waiter,
        /// Why.
        reason: RefusalReason,
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
    /// The router wants something done.
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
    setting: QueueLimits,
    router: Router,
    waiting: BTreeMap<Waiter, Waiting>,
    placed: BTreeMap<Waiter, Placed>,
    queues: BTreeMap<Arc<str>, Queue>,
    expiries: BTreeSet<(Duration, Waiter)>,
    retry_at: Option<Duration>,
}

impl Admission {
    /// Opens an admission over a router.
    pub fn new(setting: QueueLimits, router: Router) -> Self {
        Self {
            setting,
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

    /// Takes an event and pushes the actions that follow from it.
    pub fn handle(
        &mut self,
        now: Duration,
        event: AdmissionEvent,
        actions: &mut Vec<AdmissionAction>,
    ) {
        match event {
            AdmissionEvent::Submit { waiter, query, deadline } => {
                self.ask(now, waiter, query, deadline, actions);
            }
            AdmissionEvent::Cancel(waiter) => {
                self.remove(waiter);
            }
            AdmissionEvent::Finished(waiter) => self.finished(now, waiter, actions),
            AdmissionEvent::Router(event) => self.routed(now, event, actions),
            AdmissionEvent::Tick => self.tick(now, actions),
        }
        self.retry_at = match self.waiting.is_empty() {
            true => None,
            false => Some(self.retry_at.unwrap_or(now + RETRY_INTERVAL)),
        };
    }

    fn ask(
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
        let full = queue.len(query.class) >= self.setting.of(query.class);
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
        self.pump(now, &route, actions);
    }

    fn finished(&mut self, now: Duration, waiter: Waiter, actions: &mut Vec<AdmissionAction>) {
        let Some(placed) = self.placed.remove(&waiter) else { return };
        if let Some(queue) = self.queues.get_mut(&placed.route) {
            queue.ran(placed.class, now - placed.since);
        }
        let Placed { backend, since, .. } = placed;
        self.routed(now, RouterEvent::Finished { backend, sent_at: since }, actions);
    }

    fn remove(&mut self, waiter: Waiter) -> Option<Waiting> {
        let waiting = self.waiting.remove(&waiter)?;
        self.expiries.remove(&(waiting.expires, waiter));
        if let Some(queue) = self.queues.get_mut(&waiting.query.route) {
            queue.remove(waiting.since, waiter, waiting.query.class);
        }
        Some(waiting)
    }

    fn routed(&mut self, now: Duration, event: RouterEvent, actions: &mut Vec<AdmissionAction>) {
        let backend = backend_of(&event).cloned();
        let mut routes: Vec<Arc<str>> = match &event {
            RouterEvent::Route(route) => vec![route.name.clone()],
            _ => Vec::new(),
        };
        let mut asked = Vec::new();
        self.router.handle(now, event, &mut asked);
        actions.extend(asked.into_iter().map(AdmissionAction::Router));
        if let Some(backend) = backend {
            routes.extend(self.router.routes_of(&backend).cloned());
        }
        for route in routes {
            self.pump(now, &route, actions);
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
        let busy = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let routes: Vec<Arc<str>> = busy.map(|(route, _)| route.clone()).collect();
        for route in routes {
            self.pump(now, &route, actions);
        }
    }

    fn expected_wait(&self, query: &Query) -> Duration {
        self.queues.get(&query.route).map_or(Duration::ZERO, |q| q.expected_wait(query.class))
    }

    /// Places waiting requests of a route while there is room for the head of some class.
    fn pump(&mut self, now: Duration, route: &Arc<str>, actions: &mut Vec<AdmissionAction>) {
        while let Some(queue) = self.queues.get(route)
            && !queue.is_empty()
        {
            let heads = queue.heads(now);
            if !heads.into_iter().any(|head| self.try_head(now, head, actions)) {
                return;
            }
        }
    }

    /// Returns true where the head of a class left the queue.
    fn try_head(
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
                    queue.placed(now, &head);
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
    let retry_after = wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
    actions.push(AdmissionAction::Refuse { waiter, reason, retry_after });
}

/// Returns the back end whose room an event may change.
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
