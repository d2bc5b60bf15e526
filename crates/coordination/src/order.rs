//! Orders to back ends: load and unload models, change role.
//!
//! One host holds the lease on giving orders, in a row of the platform's table. Each order carries
//! a fencing number greater than all before, which a back end that enforces it uses to refuse late
//! orders. For a back end that ignores it, an intent row is written before the order, which is sent
//! only if the lease is still held then, and cleared when the order has ended. A new holder that
//! finds an intent in the way of its own waits until the order can't be on its way any more, and
//! reads the back end's state before it acts.

mod lease;
mod reconciler;
mod target;

use std::{sync::Arc, time::Duration};

pub use reconciler::Reconciler;

use crate::{message::Holder, record::Model, table};

/// Key of the row that holds the lease.
pub const LEASE_KEY: &str = "lease/orders";

/// Prefix of the rows that hold intents.
pub const INTENT_PREFIX: &str = "intent/";

/// Settings of an [`Issuer`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// This holder.
    pub holder: Holder,
    /// Time without a change of the lease row after which it counts as lapsed.
    pub lease_timeout: Duration,
    /// Time after a renewal was sent during which the holder may give orders; shorter than `lease`.
    pub hold_timeout: Duration,
    /// Time between renewals, and between looks at another host's lease.
    pub renew_interval: Duration,
    /// Longest time that a process may stand still between its look at the lease and the sending
    /// of an order. Back ends that ignore fencing numbers are safe only within it.
    pub max_process_pause: Duration,
    /// Longest time from the sending of an order until it has taken effect or never will.
    pub request_timeout: Duration,
    /// Time between two looks at a back end that is as wanted.
    pub check_interval: Duration,
    /// Time before a failed step is tried again.
    pub retry_delay: Duration,
}

impl Settings {
    /// Returns the usual settings for a holder.
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

/// What a back end is to hold and be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredState {
    /// Back end.
    pub backend: Arc<str>,
    /// Models.
    pub models: Vec<Model>,
    /// Role; `None` for any.
    pub role: Option<Arc<str>>,
    /// It refuses orders that carry an old fencing number.
    pub fencing: bool,
}

/// What a back end says that it holds and is.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ObservedState {
    /// Models.
    pub models: Vec<Model>,
    /// Role.
    pub role: Arc<str>,
}

/// An order to a back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Load a model.
    Load(Model),
    /// Unload a model.
    Unload(Model),
    /// Take a role.
    Role(Arc<str>),
}

/// What came of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It took effect.
    Done,
    /// The back end has seen a greater fencing number.
    Fenced,
    /// It had no effect, and never will.
    Failed,
    /// No answer came; it may have taken effect, or yet take effect.
    Unknown,
}

/// Answer of the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weights {
    /// It sends the weights.
    Granted,
    /// Its rate is used up.
    Busy {
        /// Time after which to ask again.
        retry_after: Duration,
    },
    /// It did not answer.
    Unavailable,
}

/// What an issuer is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A back end's record is in force.
    SetDesired(DesiredState),
    /// A back end's record was deleted.
    Forget(Arc<str>),
    /// Answers [`Action::Table`].
    Table {
        /// Number of the request.
        number: u64,
        /// What came of it.
        outcome: table::Outcome,
    },
    /// Answers [`Action::Read`].
    State {
        /// Back end.
        backend: Arc<str>,
        /// Number of the request.
        number: u64,
        /// State; `None` where the back end did not answer.
        state: Option<ObservedState>,
    },
    /// Answers [`Action::Weights`].
    Weights {
        /// Back end that is to load.
        backend: Arc<str>,
        /// Number of the request.
        number: u64,
        /// Answer.
        weights: Weights,
    },
    /// Answers [`Action::Order`].
    Ordered {
        /// Back end.
        backend: Arc<str>,
        /// Fencing number of the order.
        fence: u64,
        /// What came of it.
        outcome: Outcome,
    },
    /// This host is to give up the lease for good.
    ReleaseLease,
    /// Time passed.
    Tick,
}

/// What an issuer wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a request to the table.
    Table {
        /// Number of the request.
        number: u64,
        /// Request.
        op: table::Op,
    },
    /// Read a back end's state.
    ReadState {
        /// Back end.
        backend: Arc<str>,
        /// Number of the request.
        number: u64,
    },
    /// Ask the weight store for a model's weights.
    Weights {
        /// Back end that is to load.
        backend: Arc<str>,
        /// Number of the request.
        number: u64,
        /// Model.
        model: Model,
    },
    /// Send an order, once.
    Order {
        /// Back end.
        backend: Arc<str>,
        /// Fencing number.
        fence: u64,
        /// Order.
        order: Order,
    },
}
