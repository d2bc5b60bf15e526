//! Queueing model of seven entry hosts that send requests to twelve engines.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque},
    sync::Arc,
    time::Duration,
};

use coordination::{
    admission::{Admission, AdmissionAction, AdmissionEvent},
    prefix,
    record::{self, Model, empty},
    request::Class,
    route::{Load, Query, Router, RouterAction, RouterEvent, Settings, subset},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Zone of each entry host.
const HOSTS: [&str; 7] = ["a", "a", "a", "b", "b", "c", "c"];

/// Zone of each engine.
pub const ENGINES: [&str; 12] = ["a", "a", "a", "a", "b", "b", "b", "b", "c", "c", "c", "c"];

/// Number of requests that an engine runs at a time.
pub const SLOTS: usize = 8;

/// Interval between load reports, and their age when they arrive.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between a host's reads of an engine's cache events.
const CACHE_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of cache events that an engine keeps for readers.
const MAX_CACHE_LOG_EVENTS: usize = 512;

/// Share of the reads of cache events that lose their first event, in thousandths.
const CACHE_LOSS_PER_MILLE: u32 = 50;

/// Maximum number of prompt families in an engine's cache.
const MAX_CACHED_FAMILIES: usize = 10;

/// Number of prompt blocks that the prompts of a family share.
const SHARED_BLOCKS: usize = 12;

/// Time to prefill the shared blocks if they are not in the engine's cache.
const PREFILL_TIME: Duration = Duration::from_millis(600);

/// How a host chooses an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The crate's admission and router.
    Router,
    /// The same with this weight of the requests that other hosts send, in thousandths.
    OtherHostsWeight(u32),
    /// Each engine in turn.
    RoundRobin,
    /// The engine with the least load in the last reports.
    LeastReported,
    /// A random engine.
    Random,
}

impl Policy {
    fn settings(self, zone: &str, seed: u64) -> Option<Settings> {
        let settings = Settings::new(zone, seed);
        match self {
            Self::Router => Some(settings),
            Self::OtherHostsWeight(weight_milli) => {
                Some(Settings { other_hosts_weight_milli: weight_milli, ..settings })
            }
            Self::RoundRobin | Self::LeastReported | Self::Random => None,
        }
    }
}

/// Request of an experiment.
#[derive(Debug, Clone)]
pub struct Job {
    pub class: Class,
    /// Prompt family; `None` if the prompt shares no blocks.
    pub family: Option<usize>,
    pub arrival: Duration,
    pub service_time: Duration,
    /// Time after its arrival at which the caller cancels the request.
    pub timeout: Duration,
}

/// Result of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct JobResult {
    pub started: Option<Duration>,
    pub finished: Option<Duration>,
    /// Whether the shared blocks were in the engine's cache.
    pub cache_hit: bool,
    pub refused: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Finish { engine: usize, job: usize },
    Timeout(usize),
    SendReport(usize),
    ReceiveReport { engine: usize, queued: u32, running: u32 },
    ReadCache { host: usize, engine: usize },
    Tick(usize),
}

#[derive(Debug, Default)]
struct Engine {
    queue: BTreeSet<(Class, usize)>,
    running: BTreeSet<usize>,
    cache: VecDeque<usize>,
    cache_log: VecDeque<prefix::Event>,
    /// Sequence number of the newest cache event.
    last_cache_seq: u64,
}

#[derive(Debug)]
struct Host {
    /// `None` for the policies without a router.
    admission: Option<Admission>,
    /// Engine that was chosen last by [`Policy::RoundRobin`].
    last_engine: usize,
    /// Time of the next scheduled tick.
    next_tick: Option<Duration>,
}

/// State of the model.
pub struct Fleet {
    now: Duration,
    policy: Policy,
    rng: StdRng,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    /// Number of the newest event; events at the same time are handled in the order of numbers.
    last_sequence: u64,
    hosts: Vec<Host>,
    engines: Vec<Engine>,
    /// Queued and running requests of each engine by its last report.
    reports: Vec<u32>,
    jobs: Vec<Job>,
    pub results: Vec<JobResult>,
    /// Host and engine of each placed request.
    placements: BTreeMap<usize, (usize, usize)>,
    /// Host at which each request arrived.
    job_hosts: Vec<usize>,
    /// Keys of the shared blocks of each prompt family.
    family_keys: Vec<Vec<prefix::Key>>,
}

impl Fleet {
    /// Creates a fleet that is to serve the jobs.
    pub fn new(policy: Policy, jobs: Vec<Job>, families: usize, seed: u64) -> Self {
        let urgent = jobs.iter().any(|job| job.class == Class::Urgent);
        let hosts = HOSTS.iter().zip(0..);
        let hosts =
            hosts.map(|(zone, n)| Host::new(policy, zone, urgent, n, seed * 100 + u64::from(n)));
        let mut fleet = Self {
            now: Duration::ZERO,
            policy,
            rng: StdRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            last_sequence: 0,
            hosts: hosts.collect(),
            engines: ENGINES.iter().map(|_| Engine::default()).collect(),
            reports: vec![0; ENGINES.len()],
            results: vec![JobResult::default(); jobs.len()],
            placements: BTreeMap::new(),
            job_hosts: vec![0; jobs.len()],
            family_keys: (0..families).map(family_keys).collect(),
            jobs,
        };
        fleet.schedule_initial_events();
        fleet
    }

    fn schedule_initial_events(&mut self) {
        for job in 0..self.jobs.len() {
            self.schedule(self.jobs[job].arrival, Event::Arrival(job));
        }
        for engine in 0..self.engines.len() {
            let offset = REPORT_INTERVAL * engine as u32 / ENGINES.len() as u32;
            self.schedule(offset, Event::SendReport(engine));
            for host in 0..self.hosts.len() {
                let offset = CACHE_READ_INTERVAL * (host + engine) as u32 / 19;
                self.schedule(offset, Event::ReadCache { host, engine });
            }
        }
    }

    fn schedule(&mut self, time: Duration, event: Event) {
        self.last_sequence += 1;
        self.events.push(Reverse((time, self.last_sequence, event)));
    }

    /// Runs the model up to a time.
    pub fn run(&mut self, end: Duration) {
        while let Some(Reverse((at, _, event))) = self.events.pop()
            && at <= end
        {
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(job) => self.arrive(job),
            Event::Finish { engine, job } => self.finish(engine, job),
            Event::Timeout(job) => self.cancel(job),
            Event::SendReport(engine) => self.send_report(engine),
            Event::ReceiveReport { engine, queued, running } => {
                self.reports[engine] = queued + running;
                let slots = SLOTS as u32;
                let at_ms = self.now.saturating_sub(REPORT_INTERVAL).as_millis() as u64;
                let load = Load { queued, running, slots, leaving: false, at_ms };
                for host in 0..self.hosts.len() {
                    self.notify_router(host, RouterEvent::Load(name(engine), load));
                }
            }
            Event::ReadCache { host, engine } => self.read_cache(host, engine),
            Event::Tick(host) => {
                if self.hosts[host].next_tick == Some(self.now) {
                    self.hosts[host].next_tick = None;
                    self.handle_admission(host, AdmissionEvent::Tick);
                }
            }
        }
    }

    fn arrive(&mut self, job: usize) {
        let host = self.rng.random_range(0..self.hosts.len());
        self.job_hosts[job] = host;
        let deadline = self.now + self.jobs[job].timeout;
        self.schedule(deadline, Event::Timeout(job));
        if self.hosts[host].admission.is_some() {
            let query = self.query(job);
            self.handle_admission(
                host,
                AdmissionEvent::Submit { waiter: job as u64, query, deadline },
            );
            return;
        }
        let engine = self.choose_baseline(host);
        self.enqueue(host, engine, job);
    }

    fn choose_baseline(&mut self, host: usize) -> usize {
        match self.policy {
            Policy::RoundRobin => {
                let host = &mut self.hosts[host];
                host.last_engine = (host.last_engine + 1) % ENGINES.len();
                host.last_engine
            }
            Policy::LeastReported => {
                let least = self.reports.iter().min().copied().unwrap_or(0);
                (0..ENGINES.len()).find(|&engine| self.reports[engine] == least).unwrap_or(0)
            }
            _ => self.rng.random_range(0..ENGINES.len()),
        }
    }

    fn query(&mut self, job: usize) -> Query {
        let prefixes = match self.jobs[job].family {
            Some(family) => self.family_keys[family].clone(),
            None => Vec::new(),
        };
        let class = self.jobs[job].class;
        let route = Arc::from(route_name(class));
        Query { route, class, starved: false, prefixes, avoid: Vec::new() }
    }

    fn notify_router(&mut self, host: usize, event: RouterEvent) {
        self.handle_admission(host, AdmissionEvent::Router(event));
    }

    fn handle_admission(&mut self, host: usize, event: AdmissionEvent) {
        let now = self.now;
        let Some(admission) = &mut self.hosts[host].admission else { return };
        let mut actions = Vec::new();
        admission.handle(now, event, &mut actions);
        let wake_at = admission.wake_at();
        self.schedule_tick(host, wake_at);
        for action in actions {
            match action {
                AdmissionAction::Place { waiter, backend } => {
                    let engine = backend[1..].parse().expect("a number");
                    self.enqueue(host, engine, waiter as usize);
                }
                AdmissionAction::Refuse { waiter, .. } => {
                    self.results[waiter as usize].refused = true;
                }
                AdmissionAction::Router(RouterAction::Resync(_) | RouterAction::UpdateReadSet) => {}
            }
        }
    }

    /// Schedules a tick of a host unless an earlier one is scheduled.
    fn schedule_tick(&mut self, host: usize, at: Option<Duration>) {
        let Some(at) = at.map(|at| at.max(self.now + Duration::from_millis(1))) else { return };
        if self.hosts[host].next_tick.is_none_or(|tick| at < tick) {
            self.hosts[host].next_tick = Some(at);
            self.schedule(at, Event::Tick(host));
        }
    }

    fn enqueue(&mut self, host: usize, engine: usize, job: usize) {
        self.placements.insert(job, (host, engine));
        self.engines[engine].queue.insert((self.jobs[job].class, job));
        self.start_queued(engine);
    }

    /// Starts queued requests while slots are free, the most urgent first.
    fn start_queued(&mut self, engine: usize) {
        while self.engines[engine].running.len() < SLOTS
            && let Some((_, job)) = self.engines[engine].queue.pop_first()
        {
            self.engines[engine].running.insert(job);
            self.results[job].started = Some(self.now);
            let mut service_time = self.jobs[job].service_time;
            if let Some(family) = self.jobs[job].family {
                let cache_hit = self.touch_cache(engine, family);
                self.results[job].cache_hit = cache_hit;
                service_time += if cache_hit { Duration::ZERO } else { PREFILL_TIME };
            }
            self.schedule(self.now + service_time, Event::Finish { engine, job });
        }
    }

    fn finish(&mut self, engine: usize, job: usize) {
        if !self.engines[engine].running.remove(&job) {
            return;
        }
        self.results[job].finished = Some(self.now);
        self.release(job);
        self.start_queued(engine);
    }

    /// Removes the placement of a request and tells its host that the request has ended.
    fn release(&mut self, job: usize) {
        let Some((host, _)) = self.placements.remove(&job) else { return };
        self.handle_admission(host, AdmissionEvent::Finished(job as u64));
    }

    /// Cancels a request whose caller has timed out, unless it is finished.
    fn cancel(&mut self, job: usize) {
        if self.results[job].finished.is_some() {
            return;
        }
        let Some(&(_, engine)) = self.placements.get(&job) else {
            let waiter = job as u64;
            self.handle_admission(self.job_hosts[job], AdmissionEvent::Cancel(waiter));
            return;
        };
        self.engines[engine].queue.remove(&(self.jobs[job].class, job));
        self.engines[engine].running.remove(&job);
        self.release(job);
        self.start_queued(engine);
    }

    fn send_report(&mut self, engine: usize) {
        let queued = self.engines[engine].queue.len() as u32;
        let running = self.engines[engine].running.len() as u32;
        self.schedule(self.now + REPORT_INTERVAL, Event::ReceiveReport { engine, queued, running });
        self.schedule(self.now + REPORT_INTERVAL, Event::SendReport(engine));
    }

    /// Moves a family to the newest end of an engine's cache, which may evict the oldest; returns
    /// whether it was there.
    fn touch_cache(&mut self, engine: usize, family: usize) -> bool {
        let cache = &mut self.engines[engine].cache;
        let cache_hit = cache.contains(&family);
        cache.retain(|held| *held != family);
        cache.push_back(family);
        if cache_hit {
            return true;
        }
        self.log_cache_events(engine, family, true);
        if self.engines[engine].cache.len() > MAX_CACHED_FAMILIES
            && let Some(evicted) = self.engines[engine].cache.pop_front()
        {
            self.log_cache_events(engine, evicted, false);
        }
        false
    }

    fn log_cache_events(&mut self, engine: usize, family: usize, cached: bool) {
        let engine = &mut self.engines[engine];
        for &key in &self.family_keys[family] {
            engine.last_cache_seq += 1;
            engine.cache_log.push_back(prefix::Event { seq: engine.last_cache_seq, key, cached });
        }
        while engine.cache_log.len() > MAX_CACHE_LOG_EVENTS {
            engine.cache_log.pop_front();
        }
    }

    fn read_cache(&mut self, host: usize, engine: usize) {
        self.schedule(self.now + CACHE_READ_INTERVAL, Event::ReadCache { host, engine });
        let Some(admission) = &self.hosts[host].admission else { return };
        let after = admission.router().cache_after(&name(engine));
        let cache_log = &self.engines[engine].cache_log;
        let mut events: Vec<_> =
            cache_log.iter().filter(|event| event.seq > after).copied().collect();
        if self.rng.random_range(0..1000) < CACHE_LOSS_PER_MILLE && !events.is_empty() {
            events.remove(0);
        }
        let next = self.engines[engine].last_cache_seq;
        let backend = name(engine);
        self.notify_router(host, RouterEvent::Cache { backend, after, events, next });
    }
}

impl Host {
    fn new(policy: Policy, zone: &str, urgent: bool, index: u32, seed: u64) -> Self {
        let admission = policy.settings(zone, seed).map(|settings| {
            let mut router = Router::new(settings);
            let mut actions = Vec::new();
            let model = Model { name: Arc::from("assess"), adapter: empty(), version: empty() };
            for (engine, zone) in ENGINES.iter().enumerate() {
                let record = backend(engine, zone, &model);
                router.handle(Duration::ZERO, RouterEvent::Backend(record), &mut actions);
            }
            let classes = [Class::Normal].into_iter().chain(urgent.then_some(Class::Urgent));
            for class in classes {
                let route = RouterEvent::Route(route(class, model.clone()));
                router.handle(Duration::ZERO, route, &mut actions);
            }
            let count = HOSTS.len() as u32;
            let hosts = RouterEvent::HostIndex { count, index };
            router.handle(Duration::ZERO, hosts, &mut actions);
            let entry_host = |(number, zone): (usize, &&str)| subset::EntryHost {
                host: format!("h{number}").into(),
                zone: Arc::from(*zone),
            };
            let hosts = HOSTS.iter().enumerate().map(entry_host).collect();
            let own = format!("h{index}").into();
            router.handle(Duration::ZERO, RouterEvent::Readers { own, hosts }, &mut actions);
            Admission::new(Default::default(), router)
        });
        Self { admission, last_engine: seed as usize % ENGINES.len(), next_tick: None }
    }
}

fn name(engine: usize) -> Arc<str> {
    Arc::from(format!("e{engine}"))
}

fn backend(engine: usize, zone: &str, model: &Model) -> record::Backend {
    record::Backend {
        name: name(engine),
        address: name(engine),
        zone: Arc::from(zone),
        role: record::Role::Engine,
        models: vec![model.clone()],
        slots: SLOTS as u32,
        fencing: true,
        leaving: false,
        serve_as: None,
    }
}

fn route(class: Class, model: Model) -> record::Route {
    record::Route {
        name: Arc::from(route_name(class)),
        backends: (0..ENGINES.len()).map(name).collect(),
        model: Some(model),
        idempotent: true,
        class,
        max_tokens: 1000,
        call_tokens: 0,
        timeout_ms: 60_000,
    }
}

fn family_keys(family: usize) -> Vec<prefix::Key> {
    let mut prompt = vec![0; SHARED_BLOCKS * prefix::BLOCK_BYTES];
    prompt[..8].copy_from_slice(&(family as u64).to_le_bytes());
    prefix::keys("assess", &prompt)
}

/// Returns the route of a class; status checks have one of their own.
fn route_name(class: Class) -> &'static str {
    match class {
        Class::Urgent => "status",
        Class::Normal | Class::Long => "assess",
    }
}
