//! Seven entry hosts before a dozen engines, as a queue model.

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

/// Entry hosts, by zone.
const HOSTS: [&str; 7] = ["a", "a", "a", "b", "b", "c", "c"];

/// Engines, by zone.
pub const ENGINES: [&str; 12] = ["a", "a", "a", "a", "b", "b", "b", "b", "c", "c", "c", "c"];

/// Requests that an engine runs at once.
pub const SLOTS: usize = 8;

/// Time between two load reports, and their age when they arrive.
const REPORT: Duration = Duration::from_millis(500);

/// Time between two reads of an engine's cache events.
const CACHE_READ: Duration = Duration::from_secs(1);

/// Cache events that an engine keeps for readers.
const CACHE_LOG: usize = 512;

/// Cache events that get lost on the way, in thousandths.
const CACHE_LOSS_MILLI: u32 = 50;

/// Prompt families that an engine's cache holds.
const CACHE_FAMILIES: usize = 10;

/// Blocks of a prompt that its family shares.
const SHARED_BLOCKS: usize = 12;

/// Time to compute the shared blocks where they are not in the cache.
const PREFILL: Duration = Duration::from_millis(600);

/// How a host chooses an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Admission and router of the library.
    Router,
    /// The library with another weight of what other hosts send, in thousandths.
    Others(u32),
    /// One engine after the other.
    RoundRobin,
    /// The engine with the least load by the last report.
    LeastReported,
    /// A random engine.
    Random,
}

impl Policy {
    fn setting(self, zone: &str, seed: u64) -> Option<Settings> {
        let setting = Settings::new(zone, seed);
        match self {
            Self::Router => Some(setting),
            Self::Others(others_milli) => {
                Some(Settings { other_hosts_weight_milli: others_milli, ..setting })
            }
            Self::RoundRobin | Self::LeastReported | Self::Random => None,
        }
    }
}

/// A request of the experiment.
#[derive(Debug, Clone)]
pub struct Job {
    pub class: Class,
    /// Prompt family; `None` for a prompt that shares nothing.
    pub family: Option<usize>,
    pub arrival: Duration,
    pub work: Duration,
    /// Time for which the caller waits.
    pub patience: Duration,
}

/// What came of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Fate {
    pub started: Option<Duration>,
    pub finished: Option<Duration>,
    pub hit: bool,
    pub refused: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Finish { engine: usize, job: usize },
    GiveUp(usize),
    Report(usize),
    Reported { engine: usize, queued: u32, running: u32 },
    ReadCache { host: usize, engine: usize },
    Tick(usize),
}

#[derive(Debug, Default)]
struct Engine {
    queue: BTreeSet<(Class, usize)>,
    running: BTreeSet<usize>,
    cache: VecDeque<usize>,
    log: VecDeque<prefix::Event>,
    seq: u64,
}

#[derive(Debug)]
struct Host {
    admission: Option<Admission>,
    next: usize,
    /// Time of the next tick that is scheduled.
    tick: Option<Duration>,
}

/// The model's state.
pub struct Fleet {
    now: Duration,
    policy: Policy,
    rng: StdRng,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    order: u64,
    hosts: Vec<Host>,
    engines: Vec<Engine>,
    reports: Vec<u32>,
    jobs: Vec<Job>,
    pub fates: Vec<Fate>,
    /// Host and engine of each placed request.
    places: BTreeMap<usize, (usize, usize)>,
    job_host: Vec<usize>,
    family_keys: Vec<Vec<prefix::Key>>,
}

impl Fleet {
    /// Opens a fleet that is to serve the jobs.
    pub fn open(policy: Policy, jobs: Vec<Job>, families: usize, seed: u64) -> Self {
        let urgent = jobs.iter().any(|job| job.class == Class::Urgent);
        let hosts = HOSTS.iter().zip(0..);
        let hosts =
            hosts.map(|(zone, n)| Host::open(policy, zone, urgent, n, seed * 100 + u64::from(n)));
        let mut fleet = Self {
            now: Duration::ZERO,
            policy,
            rng: StdRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            order: 0,
            hosts: hosts.collect(),
            engines: ENGINES.iter().map(|_| Engine::default()).collect(),
            reports: vec![0; ENGINES.len()],
            fates: vec![Fate::default(); jobs.len()],
            places: BTreeMap::new(),
            job_host: vec![0; jobs.len()],
            family_keys: (0..families).map(family_keys).collect(),
            jobs,
        };
        fleet.schedule();
        fleet
    }

    fn schedule(&mut self) {
        for job in 0..self.jobs.len() {
            self.at(self.jobs[job].arrival, Event::Arrive(job));
        }
        for engine in 0..self.engines.len() {
            let offset = REPORT * engine as u32 / ENGINES.len() as u32;
            self.at(offset, Event::Report(engine));
            for host in 0..self.hosts.len() {
                let offset = CACHE_READ * (host + engine) as u32 / 19;
                self.at(offset, Event::ReadCache { host, engine });
            }
        }
    }

    fn at(&mut self, time: Duration, event: Event) {
        self.order += 1;
        self.events.push(Reverse((time, self.order, event)));
    }

    /// Runs the model up to a time.
    pub fn run(&mut self, end: Duration) {
        while let Some(Reverse((at, _, event))) = self.events.pop()
            && at <= end
        {
            self.now = at;
            self.event(event);
        }
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Arrive(job) => self.arrive(job),
            Event::Finish { engine, job } => self.finish(engine, job),
            Event::GiveUp(job) => self.give_up(job),
            Event::Report(engine) => self.report(engine),
            Event::Reported { engine, queued, running } => {
                self.reports[engine] = queued + running;
                let slots = SLOTS as u32;
                let at_ms = self.now.saturating_sub(REPORT).as_millis() as u64;
                let load = Load { queued, running, slots, leaving: false, at_ms };
                for host in 0..self.hosts.len() {
                    self.tell(host, RouterEvent::Load(name(engine), load));
                }
            }
            Event::ReadCache { host, engine } => self.read_cache(host, engine),
            Event::Tick(host) => {
                if self.hosts[host].tick == Some(self.now) {
                    self.hosts[host].tick = None;
                    self.admit(host, AdmissionEvent::Tick);
                }
            }
        }
    }

    fn arrive(&mut self, job: usize) {
        let host = self.rng.random_range(0..self.hosts.len());
        self.job_host[job] = host;
        let deadline = self.now + self.jobs[job].patience;
        self.at(deadline, Event::GiveUp(job));
        if self.hosts[host].admission.is_some() {
            let query = self.query(job);
            self.admit(host, AdmissionEvent::Submit { waiter: job as u64, query, deadline });
            return;
        }
        let engine = self.naive_choice(host);
        self.start(host, engine, job);
    }

    fn naive_choice(&mut self, host: usize) -> usize {
        match self.policy {
            Policy::RoundRobin => {
                let host = &mut self.hosts[host];
                host.next = (host.next + 1) % ENGINES.len();
                host.next
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

    fn tell(&mut self, host: usize, event: RouterEvent) {
        self.admit(host, AdmissionEvent::Router(event));
    }

    fn admit(&mut self, host: usize, event: AdmissionEvent) {
        let now = self.now;
        let Some(admission) = &mut self.hosts[host].admission else { return };
        let mut actions = Vec::new();
        admission.handle(now, event, &mut actions);
        let wake = admission.wake_at();
        self.wake(host, wake);
        for action in actions {
            match action {
                AdmissionAction::Place { waiter, backend } => {
                    let engine = backend[1..].parse().expect("a number");
                    self.start(host, engine, waiter as usize);
                }
                AdmissionAction::Refuse { waiter, .. } => {
                    self.fates[waiter as usize].refused = true;
                }
                AdmissionAction::Router(RouterAction::Resync(_) | RouterAction::UpdateReadSet) => {}
            }
        }
    }

    /// Schedules a tick of a host, unless an earlier one is scheduled.
    fn wake(&mut self, host: usize, at: Option<Duration>) {
        let Some(at) = at.map(|at| at.max(self.now + Duration::from_millis(1))) else { return };
        if self.hosts[host].tick.is_none_or(|tick| at < tick) {
            self.hosts[host].tick = Some(at);
            self.at(at, Event::Tick(host));
        }
    }

    fn start(&mut self, host: usize, engine: usize, job: usize) {
        self.places.insert(job, (host, engine));
        self.engines[engine].queue.insert((self.jobs[job].class, job));
        self.fill(engine);
    }

    /// Starts queued requests while slots are free, most urgent first.
    fn fill(&mut self, engine: usize) {
        while self.engines[engine].running.len() < SLOTS
            && let Some((_, job)) = self.engines[engine].queue.pop_first()
        {
            self.engines[engine].running.insert(job);
            self.fates[job].started = Some(self.now);
            let mut work = self.jobs[job].work;
            if let Some(family) = self.jobs[job].family {
                let hit = self.touch_cache(engine, family);
                self.fates[job].hit = hit;
                work += if hit { Duration::ZERO } else { PREFILL };
            }
            self.at(self.now + work, Event::Finish { engine, job });
        }
    }

    fn finish(&mut self, engine: usize, job: usize) {
        if !self.engines[engine].running.remove(&job) {
            return;
        }
        self.fates[job].finished = Some(self.now);
        self.leave(job);
        self.fill(engine);
    }

    fn leave(&mut self, job: usize) {
        let Some((host, _)) = self.places.remove(&job) else { return };
        self.admit(host, AdmissionEvent::Finished(job as u64));
    }

    /// Cancels the request of a caller that has waited long enough.
    fn give_up(&mut self, job: usize) {
        if self.fates[job].finished.is_some() {
            return;
        }
        let Some(&(_, engine)) = self.places.get(&job) else {
            let waiter = job as u64;
            self.admit(self.job_host[job], AdmissionEvent::Cancel(waiter));
            return;
        };
        self.engines[engine].queue.remove(&(self.jobs[job].class, job));
        self.engines[engine].running.remove(&job);
        self.leave(job);
        self.fill(engine);
    }

    fn report(&mut self, engine: usize) {
        let queued = self.engines[engine].queue.len() as u32;
        let running = self.engines[engine].running.len() as u32;
        self.at(self.now + REPORT, Event::Reported { engine, queued, running });
        self.at(self.now + REPORT, Event::Report(engine));
    }

    /// Returns whether a family was in the cache, and puts it there.
    fn touch_cache(&mut self, engine: usize, family: usize) -> bool {
        let cache = &mut self.engines[engine].cache;
        let hit = cache.contains(&family);
        cache.retain(|held| *held != family);
        cache.push_back(family);
        if hit {
            return true;
        }
        self.log_cache(engine, family, true);
        if self.engines[engine].cache.len() > CACHE_FAMILIES
            && let Some(evicted) = self.engines[engine].cache.pop_front()
        {
            self.log_cache(engine, evicted, false);
        }
        false
    }

    fn log_cache(&mut self, engine: usize, family: usize, cached: bool) {
        let engine = &mut self.engines[engine];
        for &key in &self.family_keys[family] {
            engine.seq += 1;
            engine.log.push_back(prefix::Event { seq: engine.seq, key, cached });
        }
        while engine.log.len() > CACHE_LOG {
            engine.log.pop_front();
        }
    }

    fn read_cache(&mut self, host: usize, engine: usize) {
        self.at(self.now + CACHE_READ, Event::ReadCache { host, engine });
        let Some(admission) = &self.hosts[host].admission else { return };
        let after = admission.router().cache_after(&name(engine));
        let log = &self.engines[engine].log;
        let mut events: Vec<_> = log.iter().filter(|event| event.seq > after).copied().collect();
        if self.rng.random_range(0..1000) < CACHE_LOSS_MILLI && !events.is_empty() {
            events.remove(0);
        }
        let next = self.engines[engine].seq;
        let backend = name(engine);
        self.tell(host, RouterEvent::Cache { backend, after, events, next });
    }
}

impl Host {
    fn open(policy: Policy, zone: &str, urgent: bool, index: u32, seed: u64) -> Self {
        let admission = policy.setting(zone, seed).map(|setting| {
            let mut router = Router::new(setting);
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
            let entry = |(number, zone): (usize, &&str)| subset::EntryHost {
                host: format!("h{number}").into(),
                zone: Arc::from(*zone),
            };
            let hosts = HOSTS.iter().enumerate().map(entry).collect();
            let own = format!("h{index}").into();
            router.handle(Duration::ZERO, RouterEvent::Readers { own, hosts }, &mut actions);
            Admission::new(Default::default(), router)
        });
        Self { admission, next: seed as usize % ENGINES.len(), tick: None }
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
