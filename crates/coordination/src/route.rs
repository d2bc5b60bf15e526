//! Chooses a back end for each request.
//!
//! Back ends report their load with a lag, and several hosts read the same report. The [`Router`]
//! corrects it by what this host sent since, compares two random candidates rather than all, and
//! prefers a back end that is likely to hold the prompt's prefix, the own zone first.

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
    /// Greatest age of a load report when it arrives.
    pub max_report_age: Duration,
    /// Share of the slots kept free for urgent requests, in thousandths, at each back end that a
    /// route of urgent requests uses; at least one slot where there are two or more.
    pub keep_free_milli: u32,
    /// Requests beyond the slots that urgent work may queue at a back end, in thousandths of its
    /// slots.
    pub urgent_queue_milli: u32,
    /// Requests beyond the slots that other work may queue at a back end that no route of urgent
    /// requests uses, in thousandths of its slots.
    pub queue_milli: u32,
    /// Weight of what other hosts are expected to have sent since a report, in thousandths.
    pub other_hosts_weight_milli: u32,
    /// Worth of a prompt that is wholly in the cache, in thousandths of a back end's slots.
    pub affinity_milli: i64,
    /// Cost of a back end in another zone, in thousandths of its slots.
    pub cross_zone_cost_milli: i64,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Settings {
    /// Returns the usual settings for a host in a zone.
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

/// A back end's report on its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that wait.
    pub queued: u32,
    /// Requests that run.
    pub running: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// It takes no new work.
    pub leaving: bool,
    /// Time of the report by the back end's clock, in milliseconds.
    pub at_ms: u64,
}

/// Why a back end refused a request without running it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// It takes no new work.
    Leaving,
    /// It does not have the model.
    Model(Model),
    /// It takes no work for some time.
    Busy(Duration),
}

/// What a router is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouterEvent {
    /// A back end's record is in force.
    Backend(record::Backend),
    /// A back end's record was deleted.
    BackendDeleted(Arc<str>),
    /// A route's record is in force.
    Route(record::Route),
    /// A route's record was deleted.
    RouteDeleted(Arc<str>),
    /// A back end reported its load.
    Load(Arc<str>, Load),
    /// A back end reported its models and whether it leaves.
    State {
        /// Back end.
        backend: Arc<str>,
        /// Models that it holds.
        models: Vec<Model>,
        /// It takes no new work.
        leaving: bool,
    },
    /// The platform's host list says whether a back end leaves or is gone.
    Listed {
        /// Back end.
        backend: Arc<str>,
        /// It leaves or is gone.
        leaving: bool,
    },
    /// A back end refused a request.
    Refused(Arc<str>, Refusal),
    /// A back end served a request, or failed it.
    Health {
        /// Back end.
        backend: Arc<str>,
        /// It served the request.
        served: bool,
    },
    /// A request that was sent to a back end has ended, however it ended.
    Finished {
        /// Back end.
        backend: Arc<str>,
        /// Time at which it was chosen.
        sent_at: Duration,
    },
    /// A back end published cache events.
    Cache {
        /// Back end.
        backend: Arc<str>,
        /// Number after which they were asked for.
        after: u64,
        /// Events.
        events: Vec<prefix::Event>,
        /// Number of the last event that the back end has; below `after` where it has restarted.
        next: u64,
    },
    /// The hosts among which the reading of back ends is divided have changed. Without this event a
    /// host reads all of them.
    Readers {
        /// Name of this host.
        own: Arc<str>,
        /// All hosts, this one included.
        hosts: Vec<subset::EntryHost>,
    },
    /// A batch of changes is in force; see [`RouterAction::UpdateReadSet`].
    ChangesApplied,
    /// The entry hosts that take requests have changed.
    HostIndex {
        /// Their number, this one included.
        count: u32,
        /// Place of this one among them, in the order of their names, from 0.
        index: u32,
    },
}

/// What a router wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouterAction {
    /// Read all cache events of a back end, after number 0.
    Resync(Arc<str>),
    /// Read the back ends for which [`Router::reads`] is true, and no others.
    UpdateReadSet,
}

/// A request that needs a back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Query {
    /// Name of the route.
    pub route: Arc<str>,
    /// Class.
    pub class: Class,
    /// It has waited so long that it may use capacity kept for urgent requests.
    pub starved: bool,
    /// Prefixes of the prompt, shortest first; empty for a plain service.
    pub prefixes: Vec<prefix::Key>,
    /// Back ends that failed it, used only where there is no other.
    pub avoid: Vec<Arc<str>>,
}

/// Where a request is to go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// To this back end, on which it is now counted until [`RouterEvent::Finished`].
    Backend(Arc<str>),
    /// Nowhere now, since all back ends are full.
    Full,
    /// Nowhere, since no back end can serve it.
    Unavailable {
        /// Time after which one may.
        retry_after: Duration,
    },
}
