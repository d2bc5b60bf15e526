//! Finds the back end on which a keyed request already runs.
//!
//! Each request has a home among the hosts, by rendezvous hash. Before a host opens a keyed request
//! it asks the home, which answers with the back end that was registered first. A retry that
//! reaches another host so joins the engine's stream. The index is a hint: without an answer the
//! host goes on with its own choice, and the request's id still keeps it from being charged twice.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use crate::{
    message::{Holder, Message},
    request,
};

/// Longest wait for a home's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(10);

/// Time after which a home is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(5);

/// Time for which an entry is kept.
const ENTRY_LIFETIME: Duration = Duration::from_secs(600);

/// Greatest number of entries.
const MAX_ENTRIES: usize = 100_000;

/// Where a request runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Registration {
    /// Back end.
    pub backend: Arc<str>,
    /// Holder that registered it first.
    pub holder: Holder,
}

/// Hosts among which requests have their homes.
#[derive(Debug, Clone, Default)]
pub struct Homes {
    hosts: Vec<(u64, Arc<str>)>,
}

impl Homes {
    /// Opens a set of hosts; their order has no effect.
    pub fn new(hosts: impl IntoIterator<Item = Arc<str>>) -> Self {
        let hosts: BTreeSet<Arc<str>> = hosts.into_iter().collect();
        Self { hosts: hosts.into_iter().map(|host| (hash(host.as_bytes()), host)).collect() }
    }

    /// Returns the home of a request; `None` where there are no hosts.
    pub fn home_of(&self, request: request::Id) -> Option<&Arc<str>> {
        let mut low = [0; 8];
        low.copy_from_slice(&request.0[..8]);
        let key = u64::from_le_bytes(low);
        let best = self.hosts.iter().max_by_key(|(hash, _)| mix64(hash ^ key));
        best.map(|(_, host)| host)
    }
}

/// Index of the requests whose home is this host.
#[derive(Debug, Default)]
pub struct Index {
    places: BTreeMap<request::Id, Registration>,
    order: VecDeque<(Duration, request::Id)>,
}

impl Index {
    /// Registers a request, and returns where it was registered first. A place on a back end that
    /// the request has left is replaced by its own holder.
    pub fn locate(
        &mut self,
        now: Duration,
        request: request::Id,
        asked: Registration,
    ) -> Registration {
        self.expire(now);
        if let Some(place) = self.places.get_mut(&request) {
            if place.holder == asked.holder {
                *place = asked;
            }
            return place.clone();
        }
        if self.order.len() >= MAX_ENTRIES {
            self.forget_oldest();
        }
        self.places.insert(request, asked.clone());
        self.order.push_back((now, request));
        asked
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns true where there is no entry.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    fn expire(&mut self, now: Duration) {
        while self.order.front().is_some_and(|(at, _)| now >= *at + ENTRY_LIFETIME) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, request)) = self.order.pop_front() {
            self.places.remove(&request);
        }
    }
}

/// What a locator is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A keyed request is about to run on a back end.
    Start {
        /// Request.
        request: request::Id,
        /// Back end that this host would use.
        backend: Arc<str>,
    },
    /// A home answered; see [`Message::Located`].
    Located {
        /// Request.
        request: request::Id,
        /// Back end on which the first registered run takes place.
        backend: Arc<str>,
    },
    /// Time passed.
    Tick,
}

/// What a locator wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a host; where that is the own host, hand it over in the process.
    Send(Arc<str>, Message),
    /// Run the request on this back end.
    Run {
        /// Request.
        request: request::Id,
        /// Back end.
        backend: Arc<str>,
    },
}

#[derive(Debug)]
struct Waiting {
    backend: Arc<str>,
    until: Duration,
    next: Duration,
}

/// Asks homes on behalf of one host.
#[derive(Debug, Default)]
pub struct Locator {
    homes: Homes,
    waiting: BTreeMap<request::Id, Waiting>,
    timers: BTreeSet<(Duration, request::Id)>,
}

impl Locator {
    /// Opens a locator without hosts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the hosts that are reachable, this one included.
    pub fn set_homes(&mut self, homes: Homes) {
        self.homes = homes;
    }

    /// Returns the time at which [`Event::Tick`] is due.
    pub fn wake_at(&self) -> Option<Duration> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Takes an event and pushes the actions that follow from it.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Start { request, backend } => self.start(now, request, backend, actions),
            Event::Located { request, backend } => self.located(request, backend, actions),
            Event::Tick => {
                while let Some(&(at, request)) = self.timers.first()
                    && at <= now
                {
                    self.due(now, request, actions);
                }
            }
        }
    }

    fn start(
        &mut self,
        now: Duration,
        request: request::Id,
        backend: Arc<str>,
        actions: &mut Vec<Action>,
    ) {
        self.take(request);
        let until = now + ANSWER_TIMEOUT;
        self.ask(request, Waiting { backend, until, next: now + ASK_AGAIN }, actions);
    }

    fn ask(&mut self, request: request::Id, waiting: Waiting, actions: &mut Vec<Action>) {
        let backend = waiting.backend.clone();
        let Some(home) = self.homes.home_of(request) else {
            actions.push(Action::Run { request, backend });
            return;
        };
        actions.push(Action::Send(home.clone(), Message::Locate { request, backend }));
        self.timers.insert((waiting.next, request));
        self.waiting.insert(request, waiting);
    }

    fn due(&mut self, now: Duration, request: request::Id, actions: &mut Vec<Action>) {
        let Some(waiting) = self.take(request) else { return };
        if now >= waiting.until {
            actions.push(Action::Run { request, backend: waiting.backend });
            return;
        }
        self.ask(request, Waiting { next: waiting.until, ..waiting }, actions);
    }

    fn located(&mut self, request: request::Id, backend: Arc<str>, actions: &mut Vec<Action>) {
        if self.take(request).is_some() {
            actions.push(Action::Run { request, backend });
        }
    }

    fn take(&mut self, request: request::Id) -> Option<Waiting> {
        let waiting = self.waiting.remove(&request)?;
        self.timers.remove(&(waiting.next, request));
        Some(waiting)
    }
}

/// Returns the first bytes of a cryptographic hash as a number.
pub fn hash(bytes: &[u8]) -> u64 {
    let mut low = [0; 8];
    low.copy_from_slice(&blake3::hash(bytes).as_bytes()[..8]);
    u64::from_le_bytes(low)
}

/// Returns a well spread number for each input, by the finalizer of SplitMix64.
pub fn mix64(input: u64) -> u64 {
    let x = (input ^ (input >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
