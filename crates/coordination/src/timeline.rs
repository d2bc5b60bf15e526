//! Timeline of events of all processes.
//!
//! Each process keeps its newest events in a bounded [`Ring`]. [`merge`] puts the events of several
//! processes into one causal order. Events name requests, hosts and budgets, and never contain a
//! bearer token, an idempotency key or a body.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    fmt,
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{clock::Stamp, request};

/// Greatest length of an event's detail, in bytes.
pub const MAX_DETAIL_BYTES: usize = 256;

/// Kind of an event of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// The process started.
    Started,
    /// The process started to shut down and takes no new requests.
    Draining,
    /// The process stopped.
    Stopped,
    /// A request was accepted.
    Accepted,
    /// A request was refused.
    Refused,
    /// The maximum charge of a request was reserved.
    Reserved,
    /// The set of replicas of the host's journal changed.
    Replicated,
    /// A replica stored the journal entry of a reservation.
    Held,
    /// A replica acknowledged journal entries.
    Acknowledged,
    /// A request was sent to a backend server.
    Dispatched,
    /// The first token of an answer was delivered to a caller.
    FirstToken,
    /// A further attempt of a request was sent to a backend server, to resume or to migrate it.
    Resumed,
    /// A whole answer was sent to the caller.
    Answered,
    /// An attempt of a request failed, or the request ended without a whole answer.
    Failed,
    /// A stream was cancelled at a backend server.
    Cancelled,
    /// A request was charged.
    Settled,
    /// Charges were written to the ledger.
    Billed,
    /// Tokens were granted by the table.
    Granted,
    /// Tokens were returned to the table, or a host that shuts down stopped trying to return them.
    Returned,
    /// Tokens were transferred to another host.
    TransferSent,
    /// Tokens were received from another host.
    TransferReceived,
    /// A ticket was issued.
    TicketIssued,
    /// A ticket was claimed.
    Claimed,
    /// A claimed run ended.
    ClaimEnded,
    /// The host was fenced, since another host sealed its journal to recover it.
    Sealed,
    /// The state of another holder was recovered.
    Recovered,
    /// A configuration revision came into force.
    Configured,
    /// A record was found invalid.
    RecordInvalid,
    /// The state of a member changed.
    MemberChanged,
    /// An order was sent to a backend server.
    Ordered,
    /// The state of a backend server changed.
    BackendChanged,
    /// The platform no longer answered.
    PlatformLost,
    /// The platform answered again after it had not.
    PlatformFound,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(f)
    }
}

impl std::str::FromStr for Step {
    type Err = UnknownStep;

    fn from_str(text: &str) -> Result<Self, UnknownStep> {
        let deserializer = serde::de::value::StrDeserializer::<serde::de::value::Error>::new(text);
        Self::deserialize(deserializer).map_err(|_| UnknownStep)
    }
}

/// Error for a text that names no step.
#[derive(Debug, thiserror::Error)]
#[error("unknown step")]
pub struct UnknownStep;

/// Event of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Time of the event.
    pub stamp: Stamp,
    /// Host on which the event took place.
    pub host: Arc<str>,
    /// Number of the event within the process, from 1.
    pub sequence: u64,
    /// Request that the event belongs to; `None` if it belongs to none.
    pub request: Option<request::Id>,
    /// Kind of the event.
    pub step: Step,
    /// Other party: a host, a backend server or a caller; empty for none.
    pub peer: Arc<str>,
    /// Stamp of the message from `peer` that caused it.
    pub cause: Option<Stamp>,
    /// Details as `key=value` pairs.
    pub detail: Arc<str>,
}

/// Event without its stamp, host and sequence number, which [`Ring::push`] adds.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Request that the event belongs to; `None` if it belongs to none.
    pub request: Option<request::Id>,
    /// Kind of the event.
    pub step: Step,
    /// Other party; empty for none.
    pub peer: Arc<str>,
    /// Stamp of the message from `peer` that caused it.
    pub cause: Option<Stamp>,
    /// Details, truncated to [`MAX_DETAIL_BYTES`].
    pub detail: Arc<str>,
}

/// Filter for events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Query {
    /// Request of the events; `None` for all events.
    pub request: Option<request::Id>,
    /// Earliest wall time, in milliseconds since the Unix epoch.
    pub from_ms: u64,
    /// Latest wall time, in milliseconds since the Unix epoch.
    pub until_ms: u64,
    /// Greatest number of events to return; the newest are returned.
    pub limit: usize,
}

impl Query {
    /// Returns a query that matches every event.
    pub fn all() -> Self {
        Self { request: None, from_ms: 0, until_ms: u64::MAX, limit: usize::MAX }
    }

    fn matches(&self, event: &Event) -> bool {
        if self.request.is_some() && event.request != self.request {
            return false;
        }
        (self.from_ms..=self.until_ms).contains(&event.stamp.wall_ms)
    }
}

/// Ring buffer of the newest events of a process.
#[derive(Debug)]
pub struct Ring {
    host: Arc<str>,
    capacity: usize,
    sequence: u64,
    events: VecDeque<Event>,
}

impl Ring {
    /// Creates an empty ring buffer for `capacity` events.
    pub fn new(host: Arc<str>, capacity: usize) -> Self {
        Self { host, capacity, sequence: 0, events: VecDeque::new() }
    }

    /// Records an event, and drops the oldest if the buffer is full.
    pub fn push(&mut self, stamp: Stamp, entry: Entry) {
        self.sequence += 1;
        if self.events.len() >= self.capacity {
            self.events.pop_front();
        }
        self.events.push_back(Event {
            stamp,
            host: self.host.clone(),
            sequence: self.sequence,
            request: entry.request,
            step: entry.step,
            peer: entry.peer,
            cause: entry.cause,
            detail: truncate(entry.detail),
        });
    }

    /// Returns the matching events in the order of their sequence numbers.
    pub fn query(&self, query: &Query) -> Vec<Event> {
        let newest = self.events.iter().rev().filter(|event| query.matches(event));
        let mut events: Vec<Event> = newest.take(query.limit).cloned().collect();
        events.reverse();
        events
    }

    /// Returns the number of events in the buffer.
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Returns whether the buffer is empty.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }
}

fn truncate(detail: Arc<str>) -> Arc<str> {
    if detail.len() <= MAX_DETAIL_BYTES {
        return detail;
    }
    let end = detail.floor_char_boundary(MAX_DETAIL_BYTES);
    Arc::from(&detail[..end])
}

/// Answer of a host to a query.
#[derive(Debug, Clone)]
pub struct Report {
    /// Host that was asked.
    pub host: Arc<str>,
    /// Events of the host; `None` if it did not answer.
    pub events: Option<Vec<Event>>,
}

/// Merged events of several hosts.
#[derive(Debug, PartialEq, Eq)]
pub struct Merged {
    /// Events in causal order.
    pub events: Vec<Event>,
    /// Hosts that did not answer, sorted.
    pub missing: Vec<Arc<str>>,
}

/// Merges the events of several hosts into one causal order.
///
/// Events of one host stay in the order of their sequence numbers. An event with a cause comes
/// after the events of its peer up to the stamp of that cause, even if the clock of one of the two
/// is wrong. Events that are not ordered otherwise are sorted by stamp.
pub fn merge(reports: impl IntoIterator<Item = Report>) -> Merged {
    let mut missing = Vec::new();
    let mut queues: BTreeMap<Arc<str>, VecDeque<Event>> = BTreeMap::new();
    for report in reports {
        match report.events {
            Some(events) => queues.entry(report.host).or_default().extend(events),
            None => missing.push(report.host),
        }
    }
    missing.sort();
    missing.dedup();
    let mut events = Vec::new();
    let mut merge = Merge::new(queues);
    while let Some(event) = merge.next() {
        events.push(event);
    }
    Merged { events, missing }
}

/// State of a merge: events of several hosts that are not merged yet.
struct Merge {
    queues: BTreeMap<Arc<str>, VecDeque<Event>>,
    /// Hosts whose oldest event is not blocked, by the stamp of that event.
    ready: BTreeSet<(Stamp, Arc<str>)>,
    /// Hosts whose oldest event is blocked, by the stamp of that event.
    blocked: BTreeSet<(Stamp, Arc<str>)>,
    /// Hosts whose oldest event is blocked by an event of the host in the key.
    blocked_by: BTreeMap<Arc<str>, Vec<Arc<str>>>,
}

impl Merge {
    fn new(mut queues: BTreeMap<Arc<str>, VecDeque<Event>>) -> Self {
        for queue in queues.values_mut() {
            queue.make_contiguous().sort_by_key(|event| event.sequence);
        }
        let hosts: Vec<Arc<str>> = queues.keys().cloned().collect();
        let mut merge = Self {
            queues,
            ready: BTreeSet::new(),
            blocked: BTreeSet::new(),
            blocked_by: BTreeMap::new(),
        };
        hosts.into_iter().for_each(|host| merge.classify(host));
        merge
    }

    /// Returns the next event.
    fn next(&mut self) -> Option<Event> {
        // If no event is ready, the reports contradict each other.
        let (_, host) = self.ready.pop_first().or_else(|| self.blocked.pop_first())?;
        let event = self.queues.get_mut(&host).and_then(VecDeque::pop_front);
        let blocked = self.blocked_by.remove(&host).unwrap_or_default();
        self.classify(host);
        blocked.into_iter().for_each(|host| self.classify(host));
        event
    }

    /// Sorts a host into `ready` or `blocked` by its oldest event.
    fn classify(&mut self, host: Arc<str>) {
        let Some(event) = self.head(&host) else { return };
        let (stamp, peer) = (event.stamp, event.peer.clone());
        let is_blocked = self.is_blocked(event);
        self.blocked.remove(&(stamp, host.clone()));
        if is_blocked {
            self.blocked.insert((stamp, host.clone()));
            self.blocked_by.entry(peer).or_default().push(host);
        } else {
            self.ready.insert((stamp, host));
        }
    }

    /// Returns whether an event that may have caused this one is not merged yet.
    fn is_blocked(&self, event: &Event) -> bool {
        let Some(cause) = event.cause else { return false };
        event.peer != event.host && self.head(&event.peer).is_some_and(|head| head.stamp <= cause)
    }

    fn head(&self, host: &str) -> Option<&Event> {
        self.queues.get(host).and_then(VecDeque::front)
    }
}
