//! The parts of one host that all its tasks share.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use rand::{SeedableRng as _, rngs::StdRng};
use tokio::time::Instant;

use crate::{
    budgets::Budgets,
    catalog::Catalog,
    dialect::Dialect,
    lender::Site,
    metrics::Metrics,
    peer::{PeerInfo, Peers},
    placement::Backends,
    pool::Pool,
    retry_budget::{RetryBudget, RetryLimit},
};

/// Hosts that are assumed while the list of hosts hasn't been read.
const HOSTS_ASSUMED: u64 = 16;

/// Age of the last reading of the configuration from which unknown routes and keys are no longer
/// refused for good, since they may have been added meanwhile.
const CATALOG_AGE: Duration = Duration::from_millis(1500);

/// Settings of a host.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the host.
    pub host: Arc<str>,
    /// Name of this process, unlike that of any other.
    pub process: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether the host is ready.
    pub ready: SocketAddr,
    /// Where other hosts ask for tokens.
    pub peers: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// Time from a request to stop until the process is killed.
    pub grace: Duration,
    /// Time for which a backend server that the list lost in an outage of the platform is kept.
    pub relist_grace: Duration,
    /// Writes in a second that the platform takes from all hosts together.
    pub writes_per_s: u64,
    /// Time between two readings of the configuration and the list of backend servers.
    pub poll_interval: Duration,
    /// Bound on requests that are sent again, over all hosts.
    pub retry_limit: RetryLimit,
    /// Seed of random choices.
    pub seed: u64,
}

/// How far a host is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Takes requests.
    Serving,
    /// Takes requests that still come, and asks callers to go elsewhere.
    Draining(Instant),
    /// Refuses whatever still comes.
    Closed,
}

/// State of one host.
#[derive(Debug)]
pub struct Node {
    /// Settings.
    pub settings: Settings,
    /// How heads are written.
    pub dialect: Rc<dyn Dialect>,
    /// Backend servers.
    pub backends: RefCell<Backends>,
    /// Connections to them.
    pub pool: Pool,
    /// Prepaid budgets.
    pub budgets: Budgets,
    /// Other hosts.
    pub peers: Peers,
    /// Counters.
    pub metrics: Metrics,
    /// Requests under way.
    pub active: Cell<usize>,
    /// How far the host is in its life.
    pub phase: Cell<Phase>,
    started: Instant,
    catalog: RefCell<Option<Rc<Catalog>>>,
    catalog_read: Cell<Option<Instant>>,
    hosts: Cell<Option<u64>>,
    retry_budgets: RefCell<HashMap<Arc<str>, RetryBudget>>,
}

impl std::fmt::Debug for dyn Dialect {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Dialect")
    }
}

impl Node {
    /// Opens a host that knows nothing yet.
    pub fn new(settings: Settings, dialect: Rc<dyn Dialect>, metrics: Metrics) -> Self {
        let rng = StdRng::seed_from_u64(settings.seed);
        let site = Site { host: settings.host.clone(), zone: settings.zone.clone() };
        Self {
            budgets: Budgets::new(settings.host.clone(), settings.process.clone()),
            peers: Peers::new(PeerInfo { address: settings.peers, site }),
            settings,
            dialect,
            backends: RefCell::new(Backends::new(rng)),
            pool: Pool::default(),
            metrics,
            active: Cell::new(0),
            phase: Cell::new(Phase::Serving),
            started: Instant::now(),
            catalog: RefCell::default(),
            catalog_read: Cell::default(),
            hosts: Cell::default(),
            retry_budgets: RefCell::default(),
        }
    }

    /// Returns the time since the process started.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns the configuration in force.
    pub fn catalog(&self) -> Option<Rc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Puts a configuration in force where it is newer than the one that is.
    pub fn set_catalog(&self, catalog: Catalog) -> bool {
        let newer = self.catalog().is_none_or(|known| known.version() < catalog.version());
        if newer {
            self.budgets.configure(&catalog);
            *self.catalog.borrow_mut() = Some(Rc::new(catalog));
        }
        newer
    }

    /// Notes that the configuration in force is the platform's newest.
    pub fn confirm_catalog(&self) {
        self.catalog_read.set(Some(Instant::now()));
    }

    /// Returns whether the configuration in force was the platform's newest a short time ago.
    pub fn is_catalog_fresh(&self) -> bool {
        self.catalog_read.get().is_some_and(|read| read.elapsed() < CATALOG_AGE)
    }

    /// Returns whether callers can be served.
    pub fn is_ready(&self) -> bool {
        self.phase.get() == Phase::Serving
            && self.catalog.borrow().is_some()
            && self.backends.borrow().accepting_count() > 0
    }

    /// Returns the number of hosts that share budgets and bounds.
    pub fn hosts(&self) -> u64 {
        self.hosts.get().unwrap_or(HOSTS_ASSUMED)
    }

    /// Takes the number of hosts.
    pub fn set_hosts(&self, hosts: u64) {
        self.hosts.set(Some(hosts.max(1)));
    }

    /// Runs `use_it` on the allowance for repeats of a service.
    pub fn with_retry_budget<T>(
        &self,
        service: &Arc<str>,
        use_it: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut allowances = self.retry_budgets.borrow_mut();
        let open = || RetryBudget::new(self.settings.retry_limit);
        use_it(allowances.entry(service.clone()).or_insert_with(open))
    }
}
