//! Load balancing: chooses a backend server for each request.
//!
//! Load reports arrive late, and several hosts read the same report. The [`Router`] therefore adds
//! the requests that this host sent since the report, and compares a few random candidates instead
//! of all. It prefers backend servers in the zone of this host and those that are likely to have
//! the prompt's prefix in their cache.

mod backend;
mod resync;
mod router;
pub mod subset;

use std::{sync::Arc, time::Duration};

pub use router::Router;

use crate::{
    prefix,
    record::{self, Model},
    request::Class,
};

/// Settings of a [`Router`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Availability zone of this host.
    pub zone: Arc<str>,
    /// Maximum age of a load report when it arrives.
    pub max_report_age: Duration,
    /// Share of the slots kept free for urgent requests, in thousandths, at each backend server
    /// that a route of urgent requests uses; at least one slot if the backend server has two or
    /// more.
    pub keep_free_milli: u32,
    /// Number of requests beyond the slots up to which urgent requests may queue at a backend
    /// server, in thousandths of its slots.
    pub urgent_queue_milli: u32,
    /// Number of requests beyond the slots up to which other requests may queue at a backend server
    /// that no route of urgent requests uses, in thousandths of its slots.
    pub queue_milli: u32,
    /// Weight of the requests that other hosts are estimated to have sent since a load report, in
    /// thousandths.
    pub other_hosts_weight_milli: u32,
    /// Cost reduction for a backend server that has the whole prompt in its cache, in thousandths
    /// of its slots.
    pub affinity_milli: i64,
    /// Additional cost of a backend server in another zone, in thousandths of its slots.
    pub cross_zone_cost_milli: i64,
    /// Seed of the random number generator.
    pub seed: u64,
}

impl Settings {
    /// Returns the default settings for a host in a zone.
    pub fn new(zone: impl Into<Arc<str>>, seed: u64) -> Self {
        Self {
            zone: zone.into(),
            max_report_age: Duration::from_millis(500),
            keep_free_milli: 250,
            urgent_queue_milli: 1000,
            queue_milli: 250,
            other_hosts_weight_milli: 500,
            affinity_milli: 500,
            cross_zone_cost_milli: 250,
            seed,
        }
    }
}

/// Load report of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Number of waiting requests.
    pub queued: u32,
    /// Number of running requests.
    pub running: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it accepts no new requests.
    pub leaving: bool,
    /// Time of the report by the backend server's clock, in milliseconds.
    pub at_ms: u64,
}

/// Reason why a backend server refused a request without running it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// It accepts no new requests.
    Leaving,
    /// It does not have this model.
    Model(Model),
    /// It accepts no requests for this time.
    Busy(Duration),
}

/// Input of a [`Router`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouterEvent {
    /// The record of a backend server was created or changed.
    Backend(record::Backend),
    /// The record of the backend server with this name was deleted.
    BackendDeleted(Arc<str>),
    /// The record of a route was created or changed.
    Route(record::Route),
    /// The record of the route with this name was deleted.
    RouteDeleted(Arc<str>),
    /// The backend server with this name reported its load.
    Load(Arc<str>, Load),
    /// A backend server reported its models and whether it is leaving.
    State {
        /// Name of the backend server.
        backend: Arc<str>,
        /// Loaded models.
        models: Vec<Model>,
        /// Whether it accepts no new requests.
        leaving: bool,
    },
    /// The platform's host list shows whether a backend server is leaving or gone.
    Listed {
        /// Name of the backend server.
        backend: Arc<str>,
        /// Whether it is leaving or gone.
        leaving: bool,
    },
    /// The backend server with this name refused a request.
    Refused(Arc<str>, Refusal),
    /// A request to a backend server succeeded or failed.
    Health {
        /// Name of the backend server.
        backend: Arc<str>,
        /// Whether the request succeeded.
        served: bool,
    },
    /// A request that was sent to a backend server has ended, successfully or not.
    Finished {
        /// Name of the backend server.
        backend: Arc<str>,
        /// Time at which the backend server was chosen.
        sent_at: Duration,
    },
    /// A backend server returned cache events.
    Cache {
        /// Name of the backend server.
        backend: Arc<str>,
        /// Sequence number after which the events were requested.
        after: u64,
        /// Events.
        events: Vec<prefix::Event>,
        /// Sequence number of the backend server's last event; less than `after` if it has
        /// restarted.
        next: u64,
    },
    /// The hosts that divide the reading of load reports among themselves have changed. Until the
    /// first such event, this host reads the reports of all backend servers.
    Readers {
        /// Name of this host.
        own: Arc<str>,
        /// All hosts, including this one.
        hosts: Vec<subset::EntryHost>,
    },
    /// A batch of changes was applied; may cause a [`RouterAction::UpdateReadSet`].
    ChangesApplied,
    /// The set of hosts that accept requests has changed.
    HostIndex {
        /// Number of these hosts, including this one.
        count: u32,
        /// Index of this host among them, sorted by name, starting at 0.
        index: u32,
    },
}

/// Output of a [`Router`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouterAction {
    /// Read all cache events of the backend server with this name, from sequence number 0.
    Resync(Arc<str>),
    /// Read the reports of exactly the backend servers for which [`Router::reads`] returns true.
    UpdateReadSet,
}

/// A request for which to choose a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Query {
    /// Name of the route.
    pub route: Arc<str>,
    /// Class of the request.
    pub class: Class,
    /// Whether it has waited so long that it may use capacity kept free for urgent requests.
    pub starved: bool,
    /// Prefixes of the prompt, shortest first; empty for a plain service.
    pub prefixes: Vec<prefix::Key>,
    /// Names of backend servers on which the request failed, used only if no other can serve it.
    pub avoid: Vec<Arc<str>>,
}

/// Result of [`Router::choose`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// The backend server with this name. Its load includes the request until
    /// [`RouterEvent::Finished`].
    Backend(Arc<str>),
    /// All backend servers that could serve the request are at their limit.
    Full,
    /// No backend server can serve the request.
    Unavailable {
        /// Time after which one may be able to.
        retry_after: Duration,
    },
}
