//! State of one host that all its tasks share.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use rand::{SeedableRng as _, rngs::StdRng};
use tokio::{
    sync::Notify,
    time::{Instant, timeout},
};

use crate::{
    account::Loss,
    budgets::Budgets,
    catalog::{Catalog, Limits},
    crash::Crashes,
    credit::Credits,
    dialect::{Dialect, Source},
    directory::{Directory, Mode, Moment, OwnView, Timing},
    era::EraStart,
    evacuation::{self, Evacuations},
    freshness::{Freshness, Versions},
    lender::Site,
    limit::{self, ColdBound},
    metrics::Metrics,
    overload::{Capacity, Overload},
    peer::{PeerInfo, Peers},
    placement::Backends,
    pool::Pool,
    quarantine::Quarantine,
    relisting::Relisting,
    retry_budget::{RetryBudget, RetryLimit},
    witness::Notes,
};

/// Number of hosts assumed until the list of hosts has been read.
const DEFAULT_HOSTS: u64 = 16;

/// Minimum time since the last read of the configuration from which unknown routes and keys get a
/// refusal that lets the caller retry, since they may have been added meanwhile.
const MIN_CATALOG_MAX_AGE: Duration = Duration::from_millis(1500);

/// The same time in percent of the time within which a change has to be in force.
const CATALOG_MAX_AGE_PERCENT: u32 = 60;

/// Longest time for which the first requests wait for the rows that hosts share.
const SHARED_ROWS_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time for which requests wait for the evacuations after a pause of the process.
const EVACUATIONS_TIMEOUT: Duration = Duration::from_secs(1);

/// Settings of a host.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the host.
    pub host: Arc<str>,
    /// Unique name of this process.
    pub process: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Address at which callers connect.
    pub callers: SocketAddr,
    /// Address at which the load balancer probes whether the host is ready.
    pub ready: SocketAddr,
    /// Address at which other hosts ask for tokens.
    pub peers: SocketAddr,
    /// Address at which metrics are served.
    pub metrics: SocketAddr,
    /// Time between the request to stop and the kill of the process.
    pub grace: Duration,
    /// Time after an outage of the platform for which backend servers missing from the list are
    /// kept.
    pub relist_grace: Duration,
    /// Writes per second that the platform accepts from all hosts together.
    pub writes_per_s: u64,
    /// Time within which a change of the configuration or of a backend server has to be in force.
    pub apply_time: Duration,
    /// Time within which an evacuation has to be in force; `None` where none is expected.
    pub evacuate_time: Option<Duration>,
    /// Zones of the deployment; empty if they aren't stated.
    pub known_zones: BTreeSet<Arc<str>>,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
    /// What a cold backend server takes beyond its rate.
    pub cold_bound: ColdBound,
    /// Limit on the retries of all hosts together.
    pub retry_limit: RetryLimit,
    /// Resources of this host.
    pub capacity: Capacity,
    /// Seed of the random choices.
    pub seed: u64,
}

/// Phase in the life of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Accepts requests.
    Serving,
    /// Accepts requests that still arrive, but closes the callers' connections; since the given
    /// time.
    Draining(Instant),
    /// Refuses all requests.
    Closed,
}

/// State of one host.
#[derive(Debug)]
pub struct Node {
    /// Settings of the host.
    pub settings: Settings,
    /// Protocol of the heads of requests and responses.
    pub dialect: Rc<dyn Dialect>,
    /// Backend servers.
    pub backends: RefCell<Backends>,
    /// Connections to the backend servers.
    pub pool: Pool,
    /// Responses that broke off lately.
    pub crashes: Crashes,
    /// Parts of prompts that aren't sent to backend servers.
    pub quarantine: RefCell<Quarantine>,
    /// Notified when there is something to share about them.
    pub quarantine_changed: Notify,
    /// Limits of backend servers as the hosts share them.
    pub limits: RefCell<limit::Sharing>,
    /// Notified when this host has learned of a change of a limit.
    pub limit_changed: Notify,
    /// Prepaid budgets.
    pub budgets: Budgets,
    /// Prompts that were charged for streams that didn't end.
    pub credits: RefCell<Credits>,
    /// Other hosts' allocations that go on without a renewal.
    pub notes: RefCell<Notes>,
    /// A time at or after the start of this process, in milliseconds of the platform's clock.
    pub started_ms: Cell<Option<u64>>,
    /// Other hosts.
    pub peers: Peers,
    /// Copy of the platform's lists that one host keeps for all.
    pub directory: RefCell<Directory>,
    /// Mode that was logged last.
    logged_mode: Cell<Option<Mode>>,
    /// Notified when the directory has changed.
    pub directory_changed: Notify,
    /// Whether the rows that hosts share in the table of the directory have been read, or couldn't
    /// be read in time.
    has_shared_rows: Cell<bool>,
    /// Whether entries may be missing from the list of backend servers.
    pub relisting: RefCell<Relisting>,
    /// What this host has read of the platform's lists itself.
    pub own_reads: RefCell<OwnReads>,
    /// Zones whose backend servers get no requests.
    pub evacuations: RefCell<Evacuations>,
    /// Notified when they have been read, or couldn't be.
    evacuations_read: Notify,
    /// Whether this process has learned enough of them to send requests.
    knows_evacuations: Cell<bool>,
    /// Since when it waits for the system's own row of them.
    evacuations_held_since: Cell<Option<Instant>>,
    /// What is known of the current era of the platform's table.
    pub era_start: Cell<Option<EraStart>>,
    /// Counters.
    pub metrics: Metrics,
    /// Whether this host can accept more requests.
    pub overload: RefCell<Overload>,
    /// Number of requests in progress.
    pub active: Cell<usize>,
    /// Current phase.
    pub phase: Cell<Phase>,
    /// Notified shortly before the process ends.
    ending: Notify,
    started: Instant,
    catalog: RefCell<Option<Rc<Catalog>>>,
    catalog_read: Cell<Option<Instant>>,
    /// Current era of the platform's table, and when this process first saw it.
    era_seen: Cell<Option<(u64, Instant)>>,
    /// When the platform's table was restored, if the current era isn't the first.
    restored_at: Cell<Option<Instant>>,
    hosts: Cell<Option<u64>>,
    retry_budgets: RefCell<HashMap<Arc<str>, RetryBudget>>,
}

/// What a host has read of the platform's lists itself, and the platform's clock in milliseconds
/// before each read.
#[derive(Debug, Default)]
pub struct OwnReads {
    /// When the configuration was read.
    pub catalog_ms: u64,
    /// Whether the newest configuration can't be parsed.
    pub catalog_unreadable: bool,
    /// Era of the platform's table in which the configuration was read last.
    pub catalog_era: Option<u64>,
    /// Era and version of the operator's configuration, 0 if it was missing; `None` until one was
    /// parsed in the era.
    pub operator_version: Option<(u64, u64)>,
    /// Era and version of the copy of the configuration; 0 if it was missing or unreadable.
    pub copy_version: Option<(u64, u64)>,
    /// When the backend servers were read.
    pub backends_ms: u64,
    /// Hosts that are alive, if they were read.
    pub hosts: Option<Vec<PeerInfo>>,
}

/// Where a configuration was read.
#[derive(Debug, Clone, Copy)]
pub enum Origin {
    /// The operator's row.
    Operator,
    /// The copy in the system's own rows.
    Copy,
}

impl std::fmt::Debug for dyn Dialect {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Dialect")
    }
}

impl Node {
    /// Creates a host that hasn't read anything from the platform yet.
    pub fn new(settings: Settings, dialect: Rc<dyn Dialect>, metrics: Metrics) -> Self {
        let rng = StdRng::seed_from_u64(settings.seed);
        let relisting = Relisting::new(settings.relist_grace);
        let timing = Timing::new(settings.apply_time);
        let directory =
            Directory::new(settings.process.clone(), timing, settings.seed, settings.first_start);
        let site = Site { host: settings.host.clone(), zone: settings.zone.clone() };
        Self {
            budgets: Budgets::new(settings.host.clone(), settings.process.clone()),
            peers: Peers::new(PeerInfo { address: settings.peers, site }),
            overload: RefCell::new(Overload::new(settings.capacity)),
            quarantine: RefCell::new(Quarantine::new(settings.host.clone())),
            quarantine_changed: Notify::new(),
            limits: RefCell::new(limit::Sharing::new(settings.host.clone())),
            limit_changed: Notify::new(),
            backends: RefCell::new(Backends::new(&settings.host, rng)),
            settings,
            dialect,
            pool: Pool::default(),
            crashes: Crashes::default(),
            credits: RefCell::default(),
            notes: RefCell::default(),
            started_ms: Cell::new(None),
            directory: RefCell::new(directory),
            logged_mode: Cell::default(),
            directory_changed: Notify::new(),
            has_shared_rows: Cell::new(false),
            relisting: RefCell::new(relisting),
            own_reads: RefCell::default(),
            evacuations: RefCell::default(),
            evacuations_read: Notify::new(),
            knows_evacuations: Cell::new(false),
            evacuations_held_since: Cell::default(),
            era_start: Cell::default(),
            metrics,
            active: Cell::new(0),
            phase: Cell::new(Phase::Serving),
            ending: Notify::new(),
            started: Instant::now(),
            catalog: RefCell::default(),
            catalog_read: Cell::default(),
            era_seen: Cell::default(),
            restored_at: Cell::default(),
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

    /// Returns the limits on callers' requests and connections.
    pub fn limits_in_force(&self) -> Limits {
        self.catalog.borrow().as_ref().map_or(Limits::INITIAL, |catalog| catalog.limits())
    }

    /// Puts a configuration in force if it is newer than the current one; returns whether it is.
    pub fn set_catalog(&self, catalog: Catalog) -> bool {
        let is_newer = self.catalog().is_none_or(|current| current.version() < catalog.version());
        if is_newer {
            self.budgets.configure(&catalog);
            let services = catalog.services();
            let starts = services.filter_map(|own| Some((own.name.clone(), own.cold_start?)));
            self.backends.borrow_mut().set_cold_starts(self.settings.cold_bound, starts);
            *self.catalog.borrow_mut() = Some(Rc::new(catalog));
        }
        is_newer
    }

    /// Puts a configuration that was read in an era in force if it is newer than the current one.
    pub fn put_in_force(&self, catalog: Catalog, origin: Origin, era: u64, age: Duration) {
        let (version, former) = (catalog.version(), self.catalog().map(|own| own.version()));
        if self.set_catalog(catalog) {
            let age_ms = age.as_millis() as u64;
            tracing::info!(event = "configuration", version, former, age_ms, ?origin, era);
        }
    }

    /// Takes over when the platform's table was restored, and returns the time since then; `None` in
    /// the fleet's first era.
    pub fn track_restore(&self, source: &impl Source) -> Option<Duration> {
        let since_restore = self.since_restore(source);
        self.restored_at.set(since_restore.and_then(|age| Instant::now().checked_sub(age)));
        since_restore
    }

    /// Returns the versions of the configuration that this host knows of in the current era.
    pub fn versions(&self, source: &impl Source) -> Versions {
        let since_restore = self.track_restore(source);
        let era = source.era();
        let in_era =
            |read: Option<(u64, u64)>| read.filter(|read| read.0 == era).map(|read| read.1);
        let reads = self.own_reads.borrow();
        let directory = self.directory.borrow();
        let is_published = directory.age(self.moment(source)).is_some();
        Versions {
            since_restore,
            in_force: self.catalog().map_or(0, |catalog| catalog.version()),
            operator: in_era(reads.operator_version),
            copy: in_era(reads.copy_version),
            published: if is_published { directory.config_version() } else { 0 },
        }
    }

    /// Returns the time since the platform's table was restored, or since this process saw the era if
    /// that is longer; `None` in the fleet's first era.
    fn since_restore(&self, source: &impl Source) -> Option<Duration> {
        let (era, now) = (source.era(), Instant::now());
        let seen = self.era_seen.get().filter(|seen| seen.0 == era);
        let (_, seen_at) = seen.unwrap_or((era, now));
        self.era_seen.set(Some((era, seen_at)));
        let known = self.era_start.get();
        match known.filter(|start| start.era == era) {
            Some(start) => {
                let age = start.since_restore(source.clock_ms().unwrap_or_default())?;
                Some(age.max(seen_at.elapsed()))
            }
            None if known.is_none() && self.settings.first_start => None,
            None => Some(seen_at.elapsed()),
        }
    }

    /// Returns how far the configuration in force can be taken for the newest one.
    pub fn catalog_freshness(&self) -> Freshness {
        let max_age = self.settings.apply_time * CATALOG_MAX_AGE_PERCENT / 100;
        let restored = self.restored_at.get().map(|at| at.elapsed());
        Freshness::of(self.catalog_age(), max_age.max(MIN_CATALOG_MAX_AGE), restored)
    }

    /// Records that the configuration in force was the platform's newest a time ago.
    pub fn confirm_catalog(&self, age: Duration) {
        let read = Instant::now().checked_sub(age);
        self.catalog_read.set(self.catalog_read.get().max(read));
    }

    /// Returns the time since the configuration in force was the platform's newest for certain.
    pub fn catalog_age(&self) -> Option<Duration> {
        self.catalog_read.get().map(|read| read.elapsed())
    }

    /// Returns the current time by all clocks.
    pub fn moment(&self, source: &impl Source) -> Moment {
        Moment {
            now: self.now(),
            platform_ms: source.latest_clock_ms(),
            era: source.era(),
            keeps_entries: self.relisting.borrow().keeps_entries(Instant::now()),
        }
    }

    /// Records that the platform has answered a call.
    pub fn record_answer(&self, source: &impl Source) {
        let now = Instant::now();
        // A platform that states no clock was there when its answer arrived.
        let answered_ms = source.answered_ms().unwrap_or(self.now().as_millis() as u64);
        self.relisting.borrow_mut().record_answer(source.era(), answered_ms, now);
    }

    /// Returns where this host gets the platform's lists from, and logs a change of it.
    pub fn mode(&self, source: &impl Source) -> Mode {
        let (directory, moment) = (self.directory.borrow(), self.moment(source));
        let mode = directory.mode(moment);
        if self.logged_mode.replace(Some(mode)) != Some(mode) {
            tracing::info!(
                event = "directory_mode",
                ?mode,
                publisher = directory.publisher(),
                age_ms = directory.age(moment).map(|age| age.as_millis() as u64),
                config = directory.config_version(),
            );
        }
        mode
    }

    /// Returns whether the fleet is being founded, and which rows of budgets may be missing in the
    /// current era of the platform's table; `None` if that isn't known yet.
    pub fn era_facts(&self, source: &impl Source) -> Option<(bool, Loss)> {
        let start = self.era_start.get().filter(|start| start.era == source.era())?;
        let now_ms = source.clock_ms()?;
        Some((start.is_founding(now_ms), start.lost_rows(now_ms)))
    }

    /// Returns what this host knows of the platform's lists by its own reads.
    pub fn own_view(&self) -> OwnView {
        let reads = self.own_reads.borrow();
        let hosts = reads.hosts.clone().unwrap_or_else(|| self.directory.borrow().hosts());
        OwnView {
            backends: self.backends.borrow().entries(),
            hosts,
            config_version: self.catalog().map_or(0, |catalog| catalog.version()),
            config_unreadable: reads.catalog_unreadable,
            read_ms: reads.catalog_ms.min(reads.backends_ms),
            entries_read_ms: reads.backends_ms,
            evacuated: self.evacuations.borrow().listing().cloned(),
            ended: self.backends.borrow().ended_evacuations(self.now()),
        }
    }

    /// Returns whether evacuations may occur, by the settings or as some are known.
    pub fn may_have_evacuations(&self) -> bool {
        self.settings.evacuate_time.is_some() || !self.backends.borrow().evacuated().is_empty()
    }

    /// Returns whether this process has learned enough of the evacuations to send requests.
    pub fn knows_evacuations(&self) -> bool {
        self.knows_evacuations.get()
    }

    /// Finds out whether a process that has just started has learned enough of the evacuations.
    pub fn check_evacuations(&self, source: &impl Source) {
        let evacuations = self.evacuations.borrow();
        if self.knows_evacuations() || evacuations.listing().is_none() {
            return;
        }
        let since = self.evacuations_held_since.get().unwrap_or_else(Instant::now);
        self.evacuations_held_since.set(Some(since));
        let since_restore = self.track_restore(source);
        let is_held = self.may_have_evacuations()
            && evacuations.is_held(source.era(), since_restore, since.elapsed());
        self.knows_evacuations.set(!is_held);
    }

    /// Puts the known evacuations in force.
    pub fn apply_evacuations(&self, origin: evacuation::Origin) {
        let now = self.now();
        let mut evacuations = self.evacuations.borrow_mut();
        let mut backends = self.backends.borrow_mut();
        let zones = evacuations.zones();
        if zones.iter().ne(backends.evacuated().keys()) {
            let listing = evacuations.listing();
            tracing::info!(
                event = "evacuations",
                ?zones,
                former = ?backends.evacuated().keys(),
                kept = ?evacuations.kept(),
                ?origin,
                era = listing.map(|listing| listing.era),
                through = listing.map(|listing| listing.through),
                age_ms = evacuations.age(now).map(|age| age.as_millis() as u64),
            );
            backends.set_evacuated(now, zones);
        }
        let known = &self.settings.known_zones;
        for zone in evacuations.take_unreported(known) {
            tracing::warn!(event = "evacuation_unknown_zone", %zone, ?known);
        }
        self.evacuations_read.notify_waiters();
    }

    /// Records that a read of the evacuations failed that was started at a time.
    pub fn record_evacuations_unread(&self, started: Duration) {
        self.evacuations.borrow_mut().record_failure(started, self.now());
        self.evacuations_read.notify_waiters();
    }

    /// Returns whether an evacuation may be missing, as after a pause of the process.
    pub fn are_evacuations_outdated(&self) -> bool {
        let evacuate_time = self.settings.evacuate_time;
        evacuate_time.is_some_and(|time| self.evacuations.borrow().is_outdated(self.now(), time))
    }

    /// Waits while an evacuation may be missing, at most until the platform counts as unavailable.
    pub async fn wait_for_evacuations(&self) {
        let since = Instant::now();
        while self.are_evacuations_outdated() {
            let time_left = EVACUATIONS_TIMEOUT.saturating_sub(since.elapsed());
            if timeout(time_left, self.evacuations_read.notified()).await.is_err() {
                tracing::warn!(event = "evacuations_unread");
                self.record_evacuations_unread(self.now());
            }
        }
    }

    /// Returns whether callers can be served.
    pub fn is_ready(&self) -> bool {
        self.phase.get() == Phase::Serving
            && self.catalog.borrow().is_some()
            && self.knows_evacuations()
            && self.backends.borrow().accepting_count() > 0
            && self.overload.borrow().is_ready(self.now())
    }

    /// Ends the requests that still wait for the head of their response.
    pub fn end_waiting_requests(&self) {
        self.ending.notify_waiters();
    }

    /// Waits until the process is about to end.
    pub async fn wait_for_end(&self) {
        self.ending.notified().await;
    }

    /// Records that the rows that hosts share have been read.
    pub fn set_shared_rows_read(&self) {
        self.has_shared_rows.set(true);
    }

    /// Waits until what other hosts share has been read once, so that a process that has just
    /// started knows quarantined parts and limits before it sends a request.
    pub async fn wait_for_shared_rows(&self) {
        if self.has_shared_rows.get() {
            return;
        }
        if timeout(SHARED_ROWS_TIMEOUT, self.directory_changed.notified()).await.is_err() {
            tracing::warn!(event = "shared_rows_unread");
        }
        self.has_shared_rows.set(true);
    }

    /// Records an upper bound of the start of this process, in milliseconds of the platform's clock.
    pub fn record_start(&self, bound_ms: Option<u64>) {
        let bounds = self.started_ms.get().into_iter().chain(bound_ms);
        self.started_ms.set(bounds.min());
    }

    /// Returns the platform's clock in milliseconds, if it has been read; the actual time may be
    /// later.
    pub fn platform_ms(&self) -> Option<u64> {
        Some(self.started_ms.get()? + self.now().as_millis() as u64)
    }

    /// Returns the number of hosts that share budgets and limits.
    pub fn hosts(&self) -> u64 {
        self.hosts.get().unwrap_or(DEFAULT_HOSTS)
    }

    /// Sets the number of hosts.
    pub fn set_hosts(&self, hosts: u64) {
        self.hosts.set(Some(hosts.max(1)));
    }

    /// Calls `f` with the retry budget of a service.
    pub fn with_retry_budget<T>(
        &self,
        service: &Arc<str>,
        f: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        let new_budget = || RetryBudget::new(self.settings.retry_limit);
        f(retry_budgets.entry(service.clone()).or_insert_with(new_budget))
    }
}
