//! Simulation of hosts, the platform, backend servers and callers in one process with a virtual
//! clock.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use coordination::{
    answer::Usage,
    escrow::{self, Escrow, Registration},
    host::{
        Host, Settings,
        action::{self, Action, Problem},
        event::{Call, Event, Load, Refusal, Report, StreamState},
        exchange::{Exchange, Stream},
    },
    ledger::{self, Reconciler, Refund, Segment},
    member::{HostState, ListedHost},
    message::Message,
    order, request,
    table::{Op, Outcome},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    backends::{Backend, Reader, answer_token, prompt},
    callers::{AttemptResult, Job, Kind, reported_outcome},
    records::{self, TOKEN, ZONES},
    table::{Fault, Table},
};

/// Name of the platform in [`Simulation::partitions`], where zones go by their own names.
pub const PLATFORM: &str = "platform";

/// Interval between the ticks of a host.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which a host reads the host list and the loads of backend servers.
const POLL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Delay with which the host list shows that a process has ended.
const HOST_LIST_DELAY: Duration = Duration::from_secs(10);

/// Time that a caller waits for the next token before it disconnects.
const CALLER_TIMEOUT: Duration = Duration::from_secs(45);

/// Time after which a call across a network partition fails.
const PARTITION_TIMEOUT: Duration = Duration::from_secs(2);

/// Default time in which an engine generates a token.
const TOKEN_INTERVAL: Duration = Duration::from_millis(50);

const MILLISECOND: Duration = Duration::from_millis(1);

/// Probabilities of faults, from 0 to 1.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Probability that a message between hosts is lost, and that it is sent twice.
    pub link: f64,
    /// Probability that a message between hosts is delayed, and so arrives out of order; lines of
    /// an engine are delayed with a tenth of it.
    pub delay: f64,
    /// Probability that a commit is refused, lost, applied late, or applied without an answer.
    pub table: f64,
    /// Probability that a stream stalls, and that a service call fails before it runs, after it
    /// ran or by timeout; an engine refuses a stream with a quarter of it.
    pub backends: f64,
}

/// A host process.
pub struct Process {
    pub host: Host,
    pub name: Arc<str>,
    pub zone: Arc<str>,
    pub ended_at: Option<Duration>,
    /// Whether the host has drained and stopped by itself.
    pub stopped: bool,
    /// Whether events are queued until the process is resumed.
    pub frozen: bool,
    /// Whether the host list shows the process as gone although it may still run.
    pub listed_as_gone: bool,
    /// Whether the process was told to drain, where a test records it.
    pub draining: bool,
    /// Configuration revision after the newest event; it must never decrease.
    pub revision: u64,
    address: Arc<str>,
    read_set: Vec<(Arc<str>, Arc<str>)>,
    queued_events: Vec<Event>,
    /// Start of the process, which is the zero of its own clock.
    started_at: Duration,
}

impl Process {
    pub fn is_running(&self) -> bool {
        self.ended_at.is_none()
    }
}

/// Hosts among which an attempt chooses at random.
#[derive(Debug, Clone, Copy)]
enum HostChoice {
    Any,
    Serving,
    Host(usize),
}

/// Step of the simulation that is scheduled for a point in time.
#[derive(Debug, Clone)]
enum Task {
    Host(usize, Event),
    Tick(usize),
    Poll(usize),
    Operation {
        host: usize,
        operation: u64,
        op: Op,
    },
    DeliverDelayed,
    OpenStream {
        host: usize,
        run: u64,
        backend: usize,
        stream: Stream,
    },
    GenerateToken {
        backend: usize,
        stream: request::Id,
    },
    CallService {
        host: usize,
        run: u64,
        backend: usize,
        body: Arc<str>,
        timeout: Duration,
    },
    QueryStream {
        host: usize,
        address: Arc<str>,
        stream: request::Id,
        cancel: bool,
    },
    StartAttempt {
        job: usize,
        choice: HostChoice,
    },
    /// Times an attempt out if its caller has received no token since this was scheduled.
    CheckTimeout {
        job: usize,
        caller: u64,
        tokens_read: u64,
    },
}

/// Simulated fleet with its platform, callers and clock.
pub struct Simulation {
    pub now: Duration,
    pub table: Table,
    pub hosts: Vec<Process>,
    pub backends: Vec<Backend>,
    pub jobs: Vec<Job>,
    pub faults: Faults,
    pub token_interval: Duration,
    /// Pairs of zones, or of a zone and [`PLATFORM`], of which the first can't reach the second.
    pub partitions: BTreeSet<(Arc<str>, Arc<str>)>,
    /// Number of times that a service ran the call of a job, by the name of the job.
    pub service_runs: BTreeMap<Arc<str>, u64>,
    /// Names of the jobs that an engine started.
    pub started_jobs: BTreeSet<Arc<str>>,
    /// Time at which a process last sent a job to a backend server that ran it, by the name of the
    /// job and the index of the process.
    pub last_run_at: BTreeMap<(Arc<str>, usize), Duration>,
    /// Requests that hosts sent to backend servers, by the name of the job.
    pub sent_requests: BTreeMap<Arc<str>, BTreeSet<request::Id>>,
    pub rng: StdRng,
    /// Job and process of each connected caller.
    callers: BTreeMap<u64, (usize, usize)>,
    next_caller: u64,
    /// Tasks by time, then in the order in which they were scheduled.
    queue: BTreeMap<(Duration, u64), Task>,
    sequence: u64,
}

impl Simulation {
    /// Creates a fleet of `hosts` hosts, three engines and three services in three zones.
    pub fn new(seed: u64, hosts: usize) -> Self {
        let mut table = Table::default();
        records::write_fleet(&mut table, 3, 3);
        let backend = |n: usize| Backend { zone: ZONES[n % 3].into(), ..Backend::default() };
        let mut simulation = Self {
            now: Duration::ZERO,
            table,
            hosts: Vec::new(),
            backends: (0..6).map(backend).collect(),
            jobs: Vec::new(),
            faults: Faults::default(),
            token_interval: TOKEN_INTERVAL,
            partitions: BTreeSet::new(),
            service_runs: BTreeMap::new(),
            started_jobs: BTreeSet::new(),
            last_run_at: BTreeMap::new(),
            sent_requests: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
            callers: BTreeMap::new(),
            next_caller: 1,
            queue: BTreeMap::new(),
            sequence: 0,
        };
        for number in 0..hosts {
            simulation.start(number, 1);
        }
        simulation
    }

    /// Starts a process of a host and returns its index.
    pub fn start(&mut self, number: usize, incarnation: u64) -> usize {
        let name: Arc<str> = format!("h{number}").into();
        let zone: Arc<str> = ZONES[number % ZONES.len()].into();
        let address: Arc<str> = format!("10.0.0.{number}:7000").into();
        let host = Host::new(Settings {
            host: name.clone(),
            zone: zone.clone(),
            incarnation,
            address: address.clone(),
            seeds: (0..3).map(|n| format!("10.0.0.{n}:7000").into()).collect(),
            secret: b"secret".to_vec(),
            accepted_secret: None,
            key: [7; 32],
            seed: self.rng.random(),
            max_requests: 1_000,
            drain_timeout: Duration::from_secs(120),
        });
        let index = self.hosts.len();
        self.hosts.push(Process {
            host,
            name,
            zone,
            address,
            ended_at: None,
            stopped: false,
            frozen: false,
            listed_as_gone: false,
            draining: false,
            revision: 0,
            read_set: Vec::new(),
            queued_events: Vec::new(),
            started_at: self.now,
        });
        let jitter = TICK_INTERVAL.mul_f64(self.rng.random());
        self.schedule(jitter, Task::Tick(index));
        self.schedule(jitter, Task::Poll(index));
        index
    }

    /// Cuts the traffic from a zone or the platform to another, but not back.
    pub fn partition_one_way(&mut self, from: &str, to: &str) {
        self.partitions.insert((from.into(), to.into()));
    }

    /// Cuts the traffic between a zone and the rest, other zones and platform, in both directions.
    pub fn isolate(&mut self, zone: &str) {
        for other in ZONES.into_iter().chain([PLATFORM]).filter(|other| *other != zone) {
            self.partition_one_way(zone, other);
            self.partition_one_way(other, zone);
        }
    }

    /// Cuts the traffic between a zone and the platform in both directions.
    pub fn partition_from_platform(&mut self, zone: &str) {
        self.partition_one_way(zone, PLATFORM);
        self.partition_one_way(PLATFORM, zone);
    }

    /// Ends all faults and resumes frozen processes; processes that ended stay so.
    pub fn heal(&mut self) {
        self.partitions.clear();
        self.faults = Faults::default();
        for backend in &mut self.backends {
            backend.down = false;
        }
        for index in 0..self.hosts.len() {
            self.unfreeze(index);
        }
    }

    fn is_partitioned(&self, from: &str, to: &str) -> bool {
        self.partitions.contains(&(from.into(), to.into()))
    }

    /// Ends a process without a drain; all of its state is lost.
    pub fn kill(&mut self, index: usize) {
        if !self.hosts[index].is_running() {
            return;
        }
        self.hosts[index].ended_at = Some(self.now);
        for stream in self.backends.iter_mut().flat_map(|b| b.streams.values_mut()) {
            stream.readers.retain(|reader| reader.host != index);
        }
        self.close_callers(index);
    }

    /// Closes the callers' connections to a process that has ended.
    fn close_callers(&mut self, index: usize) {
        let lost: Vec<u64> = self
            .callers
            .iter()
            .filter(|(_, at)| at.1 == index)
            .map(|(caller, _)| *caller)
            .collect();
        for caller in lost {
            self.finish_attempt(caller, AttemptResult::ConnectionLost);
        }
    }

    /// Resumes a frozen process, which handles the events queued meanwhile.
    pub fn unfreeze(&mut self, index: usize) {
        if !std::mem::take(&mut self.hosts[index].frozen) {
            return;
        }
        for event in std::mem::take(&mut self.hosts[index].queued_events) {
            self.handle_event(index, event);
        }
    }

    /// Ends the streams of an engine, which refuses connections until [`Self::heal`].
    pub fn kill_backend(&mut self, index: usize) {
        self.backends[index].down = true;
        let streams = std::mem::take(&mut self.backends[index].streams);
        for reader in streams.into_values().flat_map(|stream| stream.readers) {
            self.fail_run(reader.host, reader.run, MILLISECOND, false);
        }
    }

    fn schedule(&mut self, delay: Duration, task: Task) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), task);
    }

    fn random_bool(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.random_bool(probability)
    }

    fn network_delay(&mut self) -> Duration {
        let factor = self.rng.random_range(0.5..1.5);
        match self.random_bool(self.faults.delay) {
            true => Duration::from_millis(200).mul_f64(factor),
            false => MILLISECOND.mul_f64(factor),
        }
    }

    /// Advances the clock and runs every task that falls due.
    pub fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some(first) = self.queue.first_entry()
            && first.key().0 <= until
        {
            let ((at, _), task) = first.remove_entry();
            self.now = at;
            self.run_task(task);
        }
        self.now = until;
    }

    fn run_task(&mut self, task: Task) {
        match task {
            Task::Host(index, event) => self.handle_event(index, event),
            Task::Tick(index) => self.tick(index),
            Task::Poll(index) => self.poll(index),
            Task::Operation { host, operation, op } => self.run_operation(host, operation, &op),
            Task::DeliverDelayed => {
                self.table.deliver_delayed();
                self.check_escrow();
            }
            Task::OpenStream { host, run, backend, stream } => {
                self.open_stream(host, run, backend, &stream);
            }
            Task::GenerateToken { backend, stream } => self.generate_token(backend, stream),
            Task::CallService { host, run, backend, body, timeout } => {
                self.call_service(host, run, backend, &body, timeout);
            }
            Task::QueryStream { host, address, stream, cancel } => {
                self.query_stream(host, address, stream, cancel);
            }
            Task::StartAttempt { job, choice } => self.start_attempt(job, choice),
            Task::CheckTimeout { job, caller, tokens_read } => {
                self.time_out(job, caller, tokens_read)
            }
        }
    }

    fn tick(&mut self, index: usize) {
        if !self.hosts[index].is_running() {
            return;
        }
        self.schedule(TICK_INTERVAL, Task::Tick(index));
        if !self.hosts[index].frozen {
            self.handle_event(index, Event::Tick);
        }
    }

    /// Lets a host handle an event, or queues it while the process is frozen.
    pub fn handle_event(&mut self, index: usize, event: Event) {
        let process = &mut self.hosts[index];
        if !process.is_running() {
            return;
        }
        if process.frozen {
            return process.queued_events.push(event);
        }
        let mut actions = Vec::new();
        process.host.handle(self.now - process.started_at, event, &mut actions);
        let revision = process.host.stats().revision;
        assert!(revision >= process.revision, "revision of {} decreased", process.name);
        process.revision = revision;
        for action in actions {
            self.handle_action(index, action);
        }
    }

    fn poll(&mut self, index: usize) {
        if !self.hosts[index].is_running() {
            return;
        }
        self.schedule(POLL_INTERVAL, Task::Poll(index));
        let zone = self.hosts[index].zone.clone();
        if !self.is_partitioned(&zone, PLATFORM) && !self.is_partitioned(PLATFORM, &zone) {
            let list = self.host_list();
            self.handle_event(index, Event::Hosts(list));
        }
        for (name, address) in self.hosts[index].read_set.clone() {
            let load = self.load(&zone, &address);
            self.handle_event(index, Event::Load { backend: name, load });
        }
    }

    fn host_list(&self) -> Vec<ListedHost> {
        let mut newest = BTreeMap::new();
        for process in &self.hosts {
            newest.insert(process.name.clone(), process);
        }
        let entry = |process: &Process| {
            let ended = process.listed_as_gone
                || process.ended_at.is_some_and(|at| self.now >= at + HOST_LIST_DELAY);
            ListedHost {
                host: process.name.clone(),
                zone: process.zone.clone(),
                address: Some(process.address.clone()),
                state: if ended { HostState::Gone } else { HostState::Live },
                incarnation: ended.then_some(process.host.settings().incarnation),
            }
        };
        newest.into_values().map(entry).collect()
    }

    fn load(&self, zone: &str, address: &str) -> Option<Load> {
        let backend = &self.backends[backend_index(address)];
        if backend.down
            || self.is_partitioned(zone, &backend.zone)
            || self.is_partitioned(&backend.zone, zone)
        {
            return None;
        }
        let running = backend.streams.values().filter(|stream| !stream.is_done()).count() as u32;
        let at_ms = self.now.as_millis() as u64;
        Some(Load { queued: 0, running, slots: 8, at_ms, age_ms: 0, leaving: false })
    }

    fn start_exchange(&mut self, index: usize, exchange: Exchange) {
        match exchange {
            Exchange::Stream { run, address, stream } => {
                let backend = backend_index(&address);
                if let Some((name, "")) = stream.prompt.split_once('|') {
                    self.sent_requests.entry(name.into()).or_default().insert(stream.stream);
                }
                self.schedule(MILLISECOND, Task::OpenStream { host: index, run, backend, stream });
            }
            Exchange::Request { run, address, request, body, timeout_ms, .. } => {
                self.sent_requests.entry(body.clone()).or_default().insert(request);
                let backend = backend_index(&address);
                let timeout = Duration::from_millis(timeout_ms);
                self.schedule(
                    MILLISECOND,
                    Task::CallService { host: index, run, backend, body, timeout },
                );
            }
            Exchange::Abandon { run } => self.abandon_run(index, run),
            Exchange::Cancel { address, stream } => self.send_query(index, address, stream, true),
            Exchange::Inquire { address, stream } => self.send_query(index, address, stream, false),
            Exchange::ReadState { backend, number, .. } => {
                let model = coordination::record::Model {
                    name: "model".into(),
                    adapter: "".into(),
                    version: "".into(),
                };
                let state = Some(order::ObservedState { models: vec![model], role: "".into() });
                let event = Event::Order(order::Event::State { backend, number, state });
                self.schedule(MILLISECOND, Task::Host(index, event));
            }
            Exchange::Order { .. } => {}
            Exchange::Copy { request, stream, to, .. } => {
                let event = Event::CacheCopied { request, stream, to, tokens: None };
                self.schedule(MILLISECOND, Task::Host(index, event));
            }
        }
    }

    fn handle_action(&mut self, index: usize, action: Action) {
        match action {
            Action::Begin { .. } | Action::RecordStep(_) => {}
            Action::Token { caller, offset, token } => {
                if let Some((job, _)) = self.callers.get(&caller) {
                    self.jobs[*job].receive_token(offset, &token);
                }
            }
            Action::End { caller, tokens, charged, .. } => self.end_stream(caller, tokens, charged),
            Action::Answer { caller, status, body, .. } => self.take_answer(caller, status, &body),
            Action::Fail { caller, problem, .. } => self.fail_attempt(caller, problem),
            Action::Exchange(exchange) => self.start_exchange(index, exchange),
            Action::UpdateReadSet { backends } => self.hosts[index].read_set = backends,
            Action::ResyncCache { .. } => {}
            Action::Table { operation, op } => self.send_operation(index, operation, op),
            Action::Send { address, message } | Action::Datagram { address, message } => {
                self.send_message(index, &address, &message);
            }
            Action::Weights { .. } => {}
            Action::Stopped => {
                self.hosts[index].stopped = true;
                self.hosts[index].ended_at = Some(self.now);
                self.close_callers(index);
            }
        }
    }

    fn send_message(&mut self, from: usize, address: &Arc<str>, message: &Message) {
        let sender = (self.hosts[from].host.id().clone(), self.hosts[from].address.clone());
        let target = self.hosts.iter().rposition(|host| host.address == *address);
        let Some(target) = target else { return };
        if !self.hosts[target].is_running() {
            let event = Event::Unreachable { address: address.clone() };
            return self.schedule(MILLISECOND, Task::Host(from, event));
        }
        if self.is_partitioned(&self.hosts[from].zone, &self.hosts[target].zone) {
            let event = Event::Unreachable { address: address.clone() };
            return self.schedule(PARTITION_TIMEOUT, Task::Host(from, event));
        }
        if self.random_bool(self.faults.link) {
            return;
        }
        let copies = if self.random_bool(self.faults.link) { 2 } else { 1 };
        let zone = self.hosts[from].zone.clone();
        for _ in 0..copies {
            let delay = self.network_delay();
            let (from, address) = sender.clone();
            let (zone, message) = (zone.clone(), message.clone());
            let event = Event::Message { from, zone, address, message };
            self.schedule(delay, Task::Host(target, event));
        }
    }

    fn send_operation(&mut self, host: usize, operation: u64, op: Op) {
        if self.is_partitioned(&self.hosts[host].zone, PLATFORM) {
            let event = Event::Table { operation, outcome: Outcome::Unknown };
            return self.schedule(PARTITION_TIMEOUT, Task::Host(host, event));
        }
        let delay = 2 * self.network_delay();
        self.schedule(delay, Task::Operation { host, operation, op });
    }

    fn run_operation(&mut self, host: usize, operation: u64, op: &Op) {
        let faulty = matches!(op, Op::Commit(_)) && self.random_bool(self.faults.table);
        let faults = [Fault::Refused, Fault::AnswerLost, Fault::RequestLost, Fault::Delayed];
        let fault = faulty.then(|| faults[self.rng.random_range(0..faults.len())]);
        let mut outcome = self.table.run(op, fault);
        if fault == Some(Fault::Delayed) {
            let delay = Duration::from_millis(self.rng.random_range(10..5_000));
            self.schedule(delay, Task::DeliverDelayed);
        }
        self.check_escrow();
        let mut delay = 2 * self.network_delay();
        if self.is_partitioned(PLATFORM, &self.hosts[host].zone) {
            (outcome, delay) = (Outcome::Unknown, PARTITION_TIMEOUT);
        }
        self.schedule(delay, Task::Host(host, Event::Table { operation, outcome }));
    }

    fn check_escrow(&self) {
        for budget in ["new", "old"] {
            let row = self.table.row(&escrow::escrow_key(budget));
            let escrow: Option<Escrow> = escrow::parse(&row).expect("an escrow row");
            let Some(escrow) = escrow else { continue };
            let spent = escrow.settled + escrow.old_settled + escrow.stranded + escrow.open();
            let prepaid = records::prepaid(&self.table, budget);
            assert!(
                spent - escrow.refunded <= prepaid,
                "{budget} overspent: {escrow:?} of {prepaid}"
            );
        }
    }

    fn fail_run(&mut self, host: usize, run: u64, delay: Duration, unsent: bool) {
        let report = Report::Failed { unsent, cause: "fault".into() };
        self.schedule(delay, Task::Host(host, Event::Backend { run, report }));
    }

    fn open_stream(&mut self, host: usize, run: u64, backend: usize, stream: &Stream) {
        if !self.hosts[host].is_running() {
            return;
        }
        let zone = self.backends[backend].zone.clone();
        if self.backends[backend].down {
            return self.fail_run(host, run, MILLISECOND, true);
        }
        if self.is_partitioned(&self.hosts[host].zone, &zone) {
            return self.fail_run(host, run, PARTITION_TIMEOUT, true);
        }
        if self.random_bool(self.faults.backends / 4.0) {
            let report = Report::Refused { reason: Refusal::Full, retry_after_ms: Some(200) };
            return self.schedule(MILLISECOND, Task::Host(host, Event::Backend { run, report }));
        }
        if let Some((name, _)) = stream.prompt.split_once('|') {
            self.last_run_at.insert((name.into(), host), self.now);
        }
        let stalls = self.random_bool(self.faults.backends);
        let stall_at = stalls.then(|| self.rng.random_range(0..8));
        if self.backends[backend].start_or_join(stream, host, run, stall_at) {
            let name = stream.prompt.split_once('|').map(|(name, _)| name.into());
            self.started_jobs.extend(name);
            let stream = stream.stream;
            self.schedule(self.token_interval, Task::GenerateToken { backend, stream });
        }
        self.send_to_readers(backend, stream.stream);
    }

    fn generate_token(&mut self, backend: usize, stream: request::Id) {
        let Some(running) = self.backends[backend].streams.get_mut(&stream) else { return };
        if running.cancelled || running.is_done() || running.stall_at == Some(running.generated) {
            return;
        }
        running.generated += 1;
        self.schedule(self.token_interval, Task::GenerateToken { backend, stream });
        self.send_to_readers(backend, stream);
    }

    /// Sends each reader the generated tokens that it lacks, and the end of the stream once done.
    fn send_to_readers(&mut self, backend: usize, stream: request::Id) {
        let Some(running) = self.backends[backend].streams.get_mut(&stream) else { return };
        let mut running = running.clone();
        let zone = self.backends[backend].zone.clone();
        let readers = std::mem::take(&mut running.readers);
        let mut kept = Vec::new();
        for mut reader in readers {
            if self.is_partitioned(&zone, &self.hosts[reader.host].zone) {
                self.fail_run(reader.host, reader.run, PARTITION_TIMEOUT, false);
                continue;
            }
            while reader.next_offset < running.generated {
                let text = answer_token(&running.name, running.resumed_tokens + reader.next_offset);
                let (attempt, offset) = (reader.attempt, reader.next_offset);
                let request = stream.to_string().into();
                self.send_report(
                    reader,
                    Report::Piece { request, attempt, offset, token: text.into() },
                );
                reader.next_offset += 1;
            }
            if running.is_done() {
                let Usage { tokens, prompt_tokens } = running.usage();
                let request = stream.to_string().into();
                let attempt = reader.attempt;
                self.send_report(reader, Report::End { request, attempt, tokens, prompt_tokens });
                continue;
            }
            kept.push(reader);
        }
        if let Some(running) = self.backends[backend].streams.get_mut(&stream) {
            running.readers = kept;
        }
    }

    fn send_report(&mut self, reader: Reader, report: Report) {
        let late = self.random_bool(self.faults.delay / 10.0);
        let delay = if late { 3 * TOKEN_INTERVAL } else { MILLISECOND };
        let event = Event::Backend { run: reader.run, report };
        self.schedule(delay, Task::Host(reader.host, event));
    }

    fn abandon_run(&mut self, host: usize, run: u64) {
        for stream in self.backends.iter_mut().flat_map(|b| b.streams.values_mut()) {
            stream.readers.retain(|reader| (reader.host, reader.run) != (host, run));
        }
    }

    fn send_query(&mut self, host: usize, address: Arc<str>, stream: request::Id, cancel: bool) {
        self.schedule(MILLISECOND, Task::QueryStream { host, address, stream, cancel });
    }

    fn query_stream(&mut self, host: usize, address: Arc<str>, stream: request::Id, cancel: bool) {
        let backend = backend_index(&address);
        let (from, to) = (self.hosts[host].zone.clone(), self.backends[backend].zone.clone());
        let (mut state, mut delay) = (Some(StreamState::Absent), MILLISECOND);
        let mut readers = Vec::new();
        if self.backends[backend].down || self.is_partitioned(&from, &to) {
            (state, delay) = (None, PARTITION_TIMEOUT);
        } else if let Some(running) = self.backends[backend].streams.get_mut(&stream) {
            if cancel && !running.is_done() {
                running.cancelled = true;
                readers = std::mem::take(&mut running.readers);
            }
            let is_present = cancel || !running.cancelled;
            state = Some(if is_present {
                StreamState::Present(running.usage())
            } else {
                StreamState::Absent
            });
        }
        if self.is_partitioned(&to, &from) {
            (state, delay) = (None, PARTITION_TIMEOUT);
        }
        for reader in readers {
            self.fail_run(reader.host, reader.run, MILLISECOND, false);
        }
        self.schedule(delay, Task::Host(host, Event::StreamState { address, stream, state }));
    }

    fn call_service(
        &mut self,
        host: usize,
        run: u64,
        backend: usize,
        body: &Arc<str>,
        timeout: Duration,
    ) {
        let (from, to) = (self.hosts[host].zone.clone(), self.backends[backend].zone.clone());
        if self.backends[backend].down || self.is_partitioned(&from, &to) {
            return self.fail_run(host, run, PARTITION_TIMEOUT, true);
        }
        if self.random_bool(self.faults.backends) {
            return self.fail_run(host, run, MILLISECOND, true);
        }
        self.last_run_at.insert((body.clone(), host), self.now);
        *self.service_runs.entry(body.clone()).or_default() += 1;
        if self.random_bool(self.faults.backends) {
            return self.fail_run(host, run, MILLISECOND, false);
        }
        if self.is_partitioned(&to, &from) || self.random_bool(self.faults.backends) {
            return self.fail_run(host, run, timeout, false);
        }
        let delay = 20 * MILLISECOND + self.network_delay();
        let report = Report::Answer { status: 200, body: body.clone() };
        self.schedule(delay, Task::Host(host, Event::Backend { run, report }));
    }

    /// Adds a caller that starts after a delay and sends every attempt to any running host.
    pub fn add_caller(&mut self, delay: Duration, kind: Kind, budget: &'static str, attempts: u32) {
        self.add_job(delay, kind, budget, attempts, HostChoice::Any);
    }

    /// Adds a caller with one attempt, at the given host.
    pub fn add_caller_at(
        &mut self,
        delay: Duration,
        kind: Kind,
        budget: &'static str,
        host: usize,
    ) {
        self.add_job(delay, kind, budget, 1, HostChoice::Host(host));
    }

    /// Adds a caller with one attempt, at a host that was not told to drain.
    pub fn add_caller_to_serving_host(
        &mut self,
        delay: Duration,
        kind: Kind,
        budget: &'static str,
    ) {
        self.add_job(delay, kind, budget, 1, HostChoice::Serving);
    }

    /// Adds a caller that gets a ticket for other callers to use.
    pub fn add_ticket_caller(&mut self) {
        self.add_job(Duration::ZERO, Kind::Ticket, "new", 0, HostChoice::Any);
    }

    /// Adds callers that all use the ticket of one job, each at any running host.
    pub fn add_ticket_users(&mut self, job: usize, count: u64) {
        for _ in 0..count {
            let user = Job { kind: Kind::Pay, attempts_left: 3, ..self.jobs[job].clone() };
            let (number, delay) = (self.jobs.len(), self.rng.random_range(0..6_000));
            self.jobs.push(user);
            let task = Task::StartAttempt { job: number, choice: HostChoice::Any };
            self.schedule(Duration::from_millis(delay), task);
        }
    }

    fn add_job(
        &mut self,
        delay: Duration,
        kind: Kind,
        budget: &'static str,
        attempts: u32,
        choice: HostChoice,
    ) {
        let job = self.jobs.len();
        self.jobs.push(Job {
            name: format!("q{job}").into(),
            kind,
            budget,
            ticket: None,
            attempts_left: attempts,
            caller: 0,
            started_at: Duration::ZERO,
            tokens_read: 0,
            results: Vec::new(),
        });
        self.schedule(delay, Task::StartAttempt { job, choice });
    }

    fn start_attempt(&mut self, job: usize, choice: HostChoice) {
        let eligible = |host: &usize| {
            let process = &self.hosts[*host];
            match choice {
                HostChoice::Any => process.is_running(),
                HostChoice::Serving => process.is_running() && !process.draining,
                HostChoice::Host(chosen) => process.is_running() && *host == chosen,
            }
        };
        let eligible: Vec<usize> = (0..self.hosts.len()).filter(eligible).collect();
        if eligible.is_empty() {
            return;
        }
        let host = eligible[self.rng.random_range(0..eligible.len())];
        self.start_attempt_at(job, host);
    }

    fn start_attempt_at(&mut self, number: usize, host: usize) {
        let caller = self.next_caller;
        self.next_caller += 1;
        let job = &mut self.jobs[number];
        (job.caller, job.started_at, job.tokens_read) = (caller, self.now, 0);
        job.attempts_left = job.attempts_left.saturating_sub(1);
        self.callers.insert(caller, (number, host));
        let event = call_event(caller, job);
        self.schedule(MILLISECOND, Task::Host(host, event));
        let timeout_check = Task::CheckTimeout { job: number, caller, tokens_read: 0 };
        self.schedule(CALLER_TIMEOUT, timeout_check);
    }

    fn time_out(&mut self, job: usize, caller: u64, tokens_read: u64) {
        let found = &self.jobs[job];
        if found.caller != caller || !self.callers.contains_key(&caller) {
            return;
        }
        if found.tokens_read > tokens_read {
            let timeout_check = Task::CheckTimeout { job, caller, tokens_read: found.tokens_read };
            return self.schedule(CALLER_TIMEOUT, timeout_check);
        }
        let (_, host) = self.callers[&caller];
        self.schedule(MILLISECOND, Task::Host(host, Event::CallerLeft { caller }));
        self.finish_attempt(caller, AttemptResult::ConnectionLost);
    }

    fn finish_attempt(&mut self, caller: u64, result: AttemptResult) {
        let Some((number, host)) = self.callers.remove(&caller) else { return };
        match reported_outcome(&result) {
            Some(action::Outcome::NotRun) => self.check_not_run(number, host, &result),
            Some(action::Outcome::NotRunHere) => self.check_not_run_here(number, host, &result),
            _ => {}
        }
        let retry = result != AttemptResult::Complete;
        let job = &mut self.jobs[number];
        job.results.push((self.now, host, result));
        let retry = retry && job.attempts_left > 0 && !matches!(job.kind, Kind::KeylessModel(_));
        if retry {
            let task = Task::StartAttempt { job: number, choice: HostChoice::Any };
            self.schedule(Duration::from_millis(1_500), task);
        }
    }

    /// Checks that a request reported as not run has run at no time and at no host.
    fn check_not_run(&self, number: usize, host: usize, result: &AttemptResult) {
        let Job { name, kind, results, .. } = &self.jobs[number];
        let ran = match kind {
            Kind::Pay => self.service_runs.contains_key(name),
            _ => self.last_run_at.keys().any(|(ran, _)| ran == name),
        };
        let at = &self.hosts[host].name;
        assert!(!ran, "{name} ran, but {at} reported {result:?}; earlier results: {results:?}");
    }

    /// Checks that an attempt reported as not run by its host did not run there since it started.
    fn check_not_run_here(&self, number: usize, host: usize, result: &AttemptResult) {
        let Job { name, results, started_at, .. } = &self.jobs[number];
        let ran = self.last_run_at.get(&(name.clone(), host)).is_some_and(|at| at >= started_at);
        let at = &self.hosts[host].name;
        assert!(!ran, "{name} ran, but {at} reported {result:?}; earlier results: {results:?}");
    }

    fn end_stream(&mut self, caller: u64, tokens: u64, charged: u64) {
        let Some((job, _)) = self.callers.get(&caller) else { return };
        let job = &self.jobs[*job];
        let length = crate::backends::answer_len(&job.name);
        assert_eq!(
            (job.tokens_read, tokens),
            (length, length),
            "answer of {} is complete",
            job.name
        );
        assert_eq!(charged, job.expected_charge(), "charge of {}", job.name);
        self.finish_attempt(caller, AttemptResult::Complete);
    }

    fn take_answer(&mut self, caller: u64, status: u16, body: &str) {
        let Some((number, _)) = self.callers.get(&caller).copied() else { return };
        if status == 201 {
            let body: serde_json::Value = serde_json::from_str(body).expect("JSON");
            self.jobs[number].ticket = body["ticket"].as_str().map(Arc::from);
            self.callers.remove(&caller);
            if self.jobs[number].kind == Kind::Ticket {
                return;
            }
            let task = Task::StartAttempt { job: number, choice: HostChoice::Serving };
            return self.schedule(MILLISECOND, task);
        }
        assert_eq!(body, &*self.jobs[number].name, "answer of another call");
        self.finish_attempt(caller, AttemptResult::Complete);
    }

    fn fail_attempt(&mut self, caller: u64, problem: Problem) {
        self.finish_attempt(caller, AttemptResult::Failed(problem));
    }

    /// Returns the balance of a budget, reconciled from the rows of the table.
    pub fn balance(&self, budget: &str) -> ledger::Balance {
        let mut reconciler = Reconciler::default();
        self.table.rows().for_each(|row| reconciler.add(row));
        assert!(reconciler.malformed().is_empty());
        reconciler.finish().remove(budget).unwrap_or_default()
    }

    /// Returns whether a holder's registration is closed, or was never written.
    pub fn is_closed(&self, holder: &str) -> bool {
        let row = self.table.row(&escrow::holder_key(holder));
        let registration: Option<Registration> = escrow::parse(&row).expect("a registration");
        registration.is_none_or(|registration| registration.state == escrow::State::Closed)
    }

    /// Returns the charges of each request that were not refunded, in tokens.
    pub fn charges(&self) -> BTreeMap<request::Id, Vec<u64>> {
        let mut charges: BTreeMap<request::Id, Vec<u64>> = BTreeMap::new();
        let mut refunds: Vec<(request::Id, u64)> = Vec::new();
        for row in self.table.rows().filter(|row| row.value.is_some()) {
            if row.key.starts_with(ledger::PREFIX) {
                let segment: Segment = escrow::parse(row).expect("a segment").expect("a row");
                for charge in segment.charges {
                    charges.entry(charge.request).or_default().push(charge.tokens);
                }
            } else if row.key.starts_with(escrow::CHARGE_PREFIX) {
                let charge: ledger::Charge = escrow::parse(row).expect("a charge").expect("a row");
                charges.entry(charge.request).or_default().push(charge.tokens);
            } else if let Some(key) = row.key.strip_prefix(ledger::REFUND_PREFIX) {
                let refund: Refund = escrow::parse(row).expect("a refund").expect("a row");
                let id = key.rsplit_once('/').map_or(key, |(_, id)| id).to_owned();
                let id = request::Id::try_from(id).expect("an id");
                refunds.extend(refund.charges.values().map(|tokens| (id, *tokens)));
            }
        }
        for (id, tokens) in refunds {
            let held = charges.get_mut(&id).expect("a charge to refund");
            let index = held.iter().position(|charge| *charge == tokens).expect("its tokens");
            held.remove(index);
        }
        charges
    }
}

fn call_event(caller: u64, job: &Job) -> Event {
    let service = match job.kind {
        Kind::Model(service) | Kind::KeylessModel(service) => service,
        Kind::Status => "status",
        Kind::Pay | Kind::Ticket => "pay",
    };
    if matches!(job.kind, Kind::Pay | Kind::Ticket) && job.ticket.is_none() {
        return Event::Ticket { caller, token: TOKEN.into() };
    }
    let model = matches!(job.kind, Kind::Model(_) | Kind::KeylessModel(_));
    let key = match job.kind {
        Kind::KeylessModel(_) => None,
        Kind::Pay | Kind::Ticket => job.ticket.clone(),
        Kind::Model(_) | Kind::Status => Some(job.name.clone()),
    };
    Event::Call(Call {
        caller,
        token: TOKEN.into(),
        service: service.into(),
        key,
        budget: Some(job.budget.into()),
        prompt: if model { prompt(&job.name).into() } else { "".into() },
        max_tokens: None,
        body: if model { "".into() } else { job.name.clone() },
    })
}

fn backend_index(address: &str) -> usize {
    let digits = address.trim_start_matches("http://10.1.0.").trim_end_matches(":80");
    digits.parse().expect("an address of a backend server")
}
