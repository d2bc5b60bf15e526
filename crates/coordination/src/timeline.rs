//! Timeline of events over all processes.
//!
//! Each process keeps its newest events in a bounded [`Ring`]. [`merge`] puts the events of several
//! processes into one causal order. Events name requests, hosts and budgets, and never hold a
//! token, a key or a body.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    fmt,
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{clock::Stamp, request};

/// Greatest length of an event's detail, in bytes.
pub const MAX_DETAIL_BYTES: usize = 256;

/// Step of the work of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// The process started.
    Started,
    /// The process takes no new work.
    Draining,
    /// The process stopped.
    Stopped,
    /// A request came in.
    Accepted,
    /// A request was refused.
    Refused,
    /// A request's worst case was set aside.
    Reserved,
    /// Journal entries went to a replica.
    Replicated,
    /// A replica held journal entries.
    Held,
    /// A replica acknowledged journal entries.
    Acknowledged,
    /// A request went to a back end.
    Dispatched,
    /// The first piece of an answer came.
    FirstToken,
    /// A request was resumed or moved to another back end.
    Resumed,
    /// A whole answer went to the caller.
    Answered,
    /// A request ended without a whole answer.
    Failed,
    /// A request was cancelled.
    Cancelled,
    /// A request was charged.
    Settled,
    /// Charges went to the ledger.
    Billed,
    /// Tokens came from the table.
    Granted,
    /// Tokens went back to the table.
    Returned,
    /// Tokens went to another host.
    TransferSent,
    /// Tokens came from another host.
    TransferReceived,
    /// A ticket was issued.
    TicketIssued,
    /// A ticket was claimed.
    Claimed,
    /// A claimed run ended.
    ClaimEnded,
    /// A journal was sealed.
    Sealed,
    /// The state of another holder was recovered.
    Recovered,
    /// A configuration revision came into force.
    Configured,
    /// A record was found invalid.
    RecordInvalid,
    /// The state of a member changed.
    MemberChanged,
    /// An order went to a back end.
    Ordered,
    /// A back end changed its state.
    BackendChanged,
    /// The platform stopped answering.
    PlatformLost,
    /// The platform answered again.
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

/// The text names no step.
#[derive(Debug, thiserror::Error)]
#[error("unknown step")]
pub struct UnknownStep;

/// An event of one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Time of the event.
    pub stamp: Stamp,
    /// Host on which it took place.
    pub host: Arc<str>,
    /// Number within the process, from 1.
    pub sequence: u64,
    /// Request that it belongs to.
    pub request: Option<request::Id>,
    /// What took place.
    pub step: Step,
    /// Other party: a host, back end or caller; empty for none.
    pub peer: Arc<str>,
    /// Stamp of the message from `peer` that caused it.
    pub cause: Option<Stamp>,
    /// Further text, `key=value` pairs.
    pub detail: Arc<str>,
}

/// What a process reports; the ring adds host and sequence.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Request that it belongs to.
    pub request: Option<request::Id>,
    /// What took place.
    pub step: Step,
    /// Other party; empty for none.
    pub peer: Arc<str>,
    /// Stamp of the message from `peer` that caused it.
    pub cause: Option<Stamp>,
    /// Further text, cut at [`MAX_DETAIL_BYTES`].
    pub detail: Arc<str>,
}

/// Selects events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Query {
    /// Request; `None` for all.
    pub request: Option<request::Id>,
    /// Earliest wall time in milliseconds.
    pub from_ms: u64,
    /// Latest wall time in milliseconds.
    pub until_ms: u64,
    /// Greatest number of events; the newest are kept.
    pub limit: usize,
}

impl Query {
    /// Returns a query for every event.
    pub fn all() -> Self {
        Self { request: None, from_ms: 0, until_ms: u64::MAX, limit: usize::MAX }
    }

    fn selects(&self, event: &Event) -> bool {
        if self.request.is_some() && event.request != self.request {
            return false;
        }
        (self.from_ms..=self.until_ms).contains(&event.stamp.wall_ms)
    }
}

/// Newest events of one process.
#[derive(Debug)]
pub struct Ring {
    host: Arc<str>,
    capacity: usize,
    sequence: u64,
    events: VecDeque<Event>,
}

impl Ring {
    /// Returns an empty ring that keeps `capacity` events.
    pub fn new(host: Arc<str>, capacity: usize) -> Self {
        Self { host, capacity, sequence: 0, events: VecDeque::new() }
    }

    /// Records an event; the oldest makes room.
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
            detail: cut(entry.detail),
        });
    }

    /// Returns the selected events in the order of the process.
    pub fn query(&self, query: &Query) -> Vec<Event> {
        let newest = self.events.iter().rev().filter(|event| query.selects(event));
        let mut events: Vec<Event> = newest.take(query.limit).cloned().collect();
        events.reverse();
        events
    }

    /// Returns the number of events kept.
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Returns whether no event is kept.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }
}

fn cut(detail: Arc<str>) -> Arc<str> {
    if detail.len() <= MAX_DETAIL_BYTES {
        return detail;
    }
    let end = detail.floor_char_boundary(MAX_DETAIL_BYTES);
    Arc::from(&detail[..end])
}

/// Answer of one host to a query.
#[derive(Debug, Clone)]
pub struct Report {
    /// Host that was asked.
    pub host: Arc<str>,
    /// Its events; `None` where it did not answer.
    pub events: Option<Vec<Event>>,
}

/// Events of several hosts.
#[derive(Debug, PartialEq, Eq)]
pub struct Merged {
    /// Events in causal order.
    pub events: Vec<Event>,
    /// Hosts that did not answer, sorted.
    pub missing: Vec<Arc<str>>,
}

/// Merges the events of several hosts into one causal order.
///
/// Events of one host keep its order. An event with a cause comes after the events of its peer up
/// to the stamp of that cause, also where the clock of one of them is wrong. Among events that
/// nothing else orders the lesser stamp comes first.
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

/// Events of several hosts that still have to be put in order.
struct Merge {
    queues: BTreeMap<Arc<str>, VecDeque<Event>>,
    /// Hosts whose oldest event waits for nothing, by its stamp.
    ready: BTreeSet<(Stamp, Arc<str>)>,
    /// Hosts whose oldest event waits, by its stamp.
    waiting: BTreeSet<(Stamp, Arc<str>)>,
    /// Hosts whose oldest event waits for an event of the host in the key.
    waiting_for: BTreeMap<Arc<str>, Vec<Arc<str>>>,
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
            waiting: BTreeSet::new(),
            waiting_for: BTreeMap::new(),
        };
        hosts.into_iter().for_each(|host| merge.place(host));
        merge
    }

    /// Returns the next event.
    fn next(&mut self) -> Option<Event> {
        // Only contradictory reports leave no event ready.
        let (_, host) = self.ready.pop_first().or_else(|| self.waiting.pop_first())?;
        let event = self.queues.get_mut(&host).and_then(VecDeque::pop_front);
        let waiting = self.waiting_for.remove(&host).unwrap_or_default();
        self.place(host);
        waiting.into_iter().for_each(|waiting| self.place(waiting));
        event
    }

    /// Puts a host where its oldest event belongs.
    fn place(&mut self, host: Arc<str>) {
        let Some(event) = self.head(&host) else { return };
        let (stamp, peer) = (event.stamp, event.peer.clone());
        let waits = self.waits(event);
        self.waiting.remove(&(stamp, host.clone()));
        if waits {
            self.waiting.insert((stamp, host.clone()));
            self.waiting_for.entry(peer).or_default().push(host);
        } else {
            self.ready.insert((stamp, host));
        }
    }

    /// Returns whether an event that may have caused this one is still to come.
    fn waits(&self, event: &Event) -> bool {
        let Some(cause) = event.cause else { return false };
        event.peer != event.host && self.head(&event.peer).is_some_and(|head| head.stamp <= cause)
    }

    fn head(&self, host: &str) -> Option<&Event> {
        self.queues.get(host).and_then(VecDeque::front)
    }
}
