//! Orders to backend servers: load and unload models, change the role.
//!
//! One host at a time holds the lease on sending orders, which is stored in a row of the platform's
//! table. Each order carries a fencing number greater than all before, by which a backend server
//! that enforces it refuses late orders.
//!
//! For a backend server that ignores fencing numbers, an intent row is written before the order.
//! The order is sent only if the lease is still held then, and the row is cleared when the order
//! has ended. A new lease holder that finds the intent row of an earlier order can't write its own
//! yet: it waits until that order can no longer be in flight, and reads the state of the backend
//! server before it acts.

mod lease;
mod reconciler;
mod target;

use std::{sync::Arc, time::Duration};

pub use reconciler::Reconciler;

use crate::{message::Holder, record::Model, table};

/// Key of the row that stores the lease.
pub const LEASE_KEY: &str = "lease/orders";

/// Key prefix of the rows that store intents.
pub const INTENT_PREFIX: &str = "intent/";

/// Settings of a [`Reconciler`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Holder of this process.
    pub holder: Holder,
    /// Time without a change of the lease row after which the lease counts as lapsed.
    pub lease_timeout: Duration,
    /// Time after a renewal was sent during which the holder may send orders; shorter than
    /// `lease_timeout`.
    pub hold_timeout: Duration,
    /// Interval between renewals, and between reads of another host's lease.
    pub renew_interval: Duration,
    /// Maximum time for which a process may be suspended between its check of the lease and the
    /// sending of an order. Beyond it, backend servers that ignore fencing numbers are not
    /// protected from late orders.
    pub max_process_pause: Duration,
    /// Maximum time from the sending of an order until it has taken effect or never will.
    pub request_timeout: Duration,
    /// Interval between two checks of a backend server that is in its desired state.
    pub check_interval: Duration,
    /// Delay before a failed step is retried.
    pub retry_delay: Duration,
}

impl Settings {
    /// Returns the default settings for a holder.
    pub fn new(holder: impl Into<Holder>) -> Self {
        Self {
            holder: holder.into(),
            lease_timeout: Duration::from_secs(10),
            hold_timeout: Duration::from_secs(7),
            renew_interval: Duration::from_secs(3),
            max_process_pause: Duration::from_secs(60),
            request_timeout: Duration::from_secs(30),
            check_interval: Duration::from_secs(30),
            retry_delay: Duration::from_secs(1),
        }
    }
}

/// Desired state of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredState {
    /// Name of the backend server.
    pub backend: Arc<str>,
    /// Models to be loaded.
    pub models: Vec<Model>,
    /// Role to be set; `None` for any.
    pub role: Option<Arc<str>>,
    /// Whether it refuses orders with an old fencing number.
    pub fencing: bool,
}

/// State that a backend server reports.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ObservedState {
    /// Models that are loaded.
    pub models: Vec<Model>,
    /// Current role.
    pub role: Arc<str>,
}

/// Order to a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Loads a model.
    Load(Model),
    /// Unloads a model.
    Unload(Model),
    /// Sets the role.
    Role(Arc<str>),
}

/// Outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It took effect.
    Done,
    /// The backend server has received a greater fencing number.
    Fenced,
    /// It had no effect, and never will.
    Failed,
    /// No answer was received; the order may have taken effect or may still do so.
    Unknown,
}

/// Answer of the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weights {
    /// The weight store sends the weights.
    Granted,
    /// The rate limit is exhausted.
    Busy {
        /// Time after which to retry.
        retry_after: Duration,
    },
    /// The weight store did not answer.
    Unavailable,
}

/// Event for a [`Reconciler`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Sets the desired state of a backend server from its record.
    SetDesired(DesiredState),
    /// The record of a backend server was deleted.
    Forget(Arc<str>),
    /// Answers [`Action::Table`].
    Table {
        /// Number of the request.
        number: u64,
        /// Outcome of the request.
        outcome: table::Outcome,
    },
    /// Answers [`Action::ReadState`].
    State {
        /// Backend server that was asked.
        backend: Arc<str>,
        /// Number of the request.
        number: u64,
        /// Reported state; `None` if the backend server did not answer.
        state: Option<ObservedState>,
    },
    /// Answers [`Action::Weights`].
    Weights {
        /// Backend server that is to load the model.
        backend: Arc<str>,
        /// Number of the request.
        number: u64,
        /// Answer of the weight store.
        weights: Weights,
    },
    /// Answers [`Action::Order`].
    Ordered {
        /// Backend server that was sent the order.
        backend: Arc<str>,
        /// Fencing number of the order.
        fence: u64,
        /// Outcome of the order.
        outcome: Outcome,
    },
    /// Gives up the lease of this host for good.
    ReleaseLease,
    /// Timers may be due; see [`Reconciler::wake_at`].
    Tick,
}

/// Action requested by a [`Reconciler`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Sends a request to the table.
    Table {
        /// Number of the request.
        number: u64,
        /// Request to send.
        op: table::Op,
    },
    /// Reads the state of a backend server.
    ReadState {
        /// Backend server to read.
        backend: Arc<str>,
        /// Number of the request.
        number: u64,
    },
    /// Asks the weight store for a model's weights.
    Weights {
        /// Backend server that is to load the model.
        backend: Arc<str>,
        /// Number of the request.
        number: u64,
        /// Model to load.
        model: Model,
    },
    /// Sends an order, once.
    Order {
        /// Backend server to send the order to.
        backend: Arc<str>,
        /// Fencing number of the order.
        fence: u64,
        /// Order to send.
        order: Order,
    },
}
