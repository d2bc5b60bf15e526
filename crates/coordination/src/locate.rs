//! Finds the backend server on which a request with an idempotency key already runs.
//!
//! Each request has a home host, which is chosen by rendezvous hashing. Before a host opens a
//! request with an idempotency key it asks the home, which answers with the backend server that was
//! registered first. A retry that reaches another host thus joins the stream on that backend
//! server. The index is only a hint: without an answer the host uses its own choice, and the
//! request's id still prevents a second charge.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use crate::{
    message::{Holder, Message},
    request,
};

/// Maximum wait for the answer of a home host.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(10);

/// Time after which a home host is asked again.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Time for which a registration is kept.
const REGISTRATION_LIFETIME: Duration = Duration::from_secs(600);

/// Maximum number of registrations of one home host.
const MAX_REGISTRATIONS: usize = 100_000;

/// Backend server on which a request runs, as registered with its home host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Location {
    /// Backend server that runs the request.
    pub backend: Arc<str>,
    /// Holder that registered the request first.
    pub holder: Holder,
}

/// Hosts that serve as homes of requests.
#[derive(Debug, Clone, Default)]
pub struct Homes {
    hosts: Vec<(u64, Arc<str>)>,
}

impl Homes {
    /// Creates the set of home hosts; their order has no effect.
    pub fn new(hosts: impl IntoIterator<Item = Arc<str>>) -> Self {
        let hosts: BTreeSet<Arc<str>> = hosts.into_iter().collect();
        Self { hosts: hosts.into_iter().map(|host| (hash(host.as_bytes()), host)).collect() }
    }

    /// Returns the home host of a request; `None` if there are no hosts.
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
    locations: BTreeMap<request::Id, Location>,
    by_age: VecDeque<(Duration, request::Id)>,
}

impl Index {
    /// Registers the location of a request and returns the one that was registered first. Only the
    /// holder that registered first can replace it, after the request has left that backend server.
    pub fn locate(&mut self, now: Duration, request: request::Id, location: Location) -> Location {
        self.expire(now);
        if let Some(first) = self.locations.get_mut(&request) {
            if first.holder == location.holder {
                *first = location;
            }
            return first.clone();
        }
        if self.by_age.len() >= MAX_REGISTRATIONS {
            self.remove_oldest();
        }
        self.locations.insert(request, location.clone());
        self.by_age.push_back((now, request));
        location
    }

    /// Returns the number of registrations.
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Returns whether there are no registrations.
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    fn expire(&mut self, now: Duration) {
        while self.by_age.front().is_some_and(|(at, _)| now >= *at + REGISTRATION_LIFETIME) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, request)) = self.by_age.pop_front() {
            self.locations.remove(&request);
        }
    }
}

/// Event for a [`Locator`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A request with an idempotency key is about to run on a backend server.
    Start {
        /// Id of the request.
        request: request::Id,
        /// Backend server that this host would use.
        backend: Arc<str>,
    },
    /// A home host answered; see [`Message::Located`].
    Located {
        /// Id of the request.
        request: request::Id,
        /// Backend server that was registered first.
        backend: Arc<str>,
    },
    /// Timers may be due; see [`Locator::wake_at`].
    Tick,
}

/// Action requested by a [`Locator`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Sends a message to a host; a message to this host is delivered within the process.
    Send(Arc<str>, Message),
    /// Runs the request on a backend server.
    Run {
        /// Id of the request.
        request: request::Id,
        /// Backend server to use.
        backend: Arc<str>,
    },
}

#[derive(Debug)]
struct PendingLookup {
    backend: Arc<str>,
    deadline: Duration,
    next_at: Duration,
}

/// Asks home hosts on behalf of one host.
#[derive(Debug, Default)]
pub struct Locator {
    homes: Homes,
    pending: BTreeMap<request::Id, PendingLookup>,
    timers: BTreeSet<(Duration, request::Id)>,
}

impl Locator {
    /// Creates a locator without home hosts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the home hosts to the reachable hosts, including this one.
    pub fn set_homes(&mut self, homes: Homes) {
        self.homes = homes;
    }

    /// Returns the time at which [`Event::Tick`] is due.
    pub fn wake_at(&self) -> Option<Duration> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Start { request, backend } => self.start_lookup(now, request, backend, actions),
            Event::Located { request, backend } => self.finish_lookup(request, backend, actions),
            Event::Tick => {
                while let Some(&(at, request)) = self.timers.first()
                    && at <= now
                {
                    self.handle_timer(now, request, actions);
                }
            }
        }
    }

    fn start_lookup(
        &mut self,
        now: Duration,
        request: request::Id,
        backend: Arc<str>,
        actions: &mut Vec<Action>,
    ) {
        self.remove_pending(request);
        let deadline = now + ANSWER_TIMEOUT;
        self.ask_home(
            request,
            PendingLookup { backend, deadline, next_at: now + RETRY_INTERVAL },
            actions,
        );
    }

    fn ask_home(&mut self, request: request::Id, lookup: PendingLookup, actions: &mut Vec<Action>) {
        let backend = lookup.backend.clone();
        let Some(home) = self.homes.home_of(request) else {
            actions.push(Action::Run { request, backend });
            return;
        };
        actions.push(Action::Send(home.clone(), Message::Locate { request, backend }));
        self.timers.insert((lookup.next_at, request));
        self.pending.insert(request, lookup);
    }

    fn handle_timer(&mut self, now: Duration, request: request::Id, actions: &mut Vec<Action>) {
        let Some(lookup) = self.remove_pending(request) else { return };
        if now >= lookup.deadline {
            actions.push(Action::Run { request, backend: lookup.backend });
            return;
        }
        self.ask_home(request, PendingLookup { next_at: lookup.deadline, ..lookup }, actions);
    }

    fn finish_lookup(
        &mut self,
        request: request::Id,
        backend: Arc<str>,
        actions: &mut Vec<Action>,
    ) {
        if self.remove_pending(request).is_some() {
            actions.push(Action::Run { request, backend });
        }
    }

    fn remove_pending(&mut self, request: request::Id) -> Option<PendingLookup> {
        let lookup = self.pending.remove(&request)?;
        self.timers.remove(&(lookup.next_at, request));
        Some(lookup)
    }
}

/// Returns the first 8 bytes of the BLAKE3 hash as a little-endian number.
pub fn hash(bytes: &[u8]) -> u64 {
    let mut low = [0; 8];
    low.copy_from_slice(&blake3::hash(bytes).as_bytes()[..8]);
    u64::from_le_bytes(low)
}

/// Mixes the bits of the input with the finalizer of SplitMix64, for a uniform distribution.
pub fn mix64(input: u64) -> u64 {
    let x = (input ^ (input >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
