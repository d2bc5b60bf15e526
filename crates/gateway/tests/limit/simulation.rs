//! Hosts that share limited backend servers, without a network, on a clock of their own.

use std::{collections::BTreeMap, ops::Range, sync::Arc, time::Duration};

use coordination::table::{Outcome, Row, Txn};
use gateway::{
    backend::{Entry, HealthSignal},
    catalog::ColdStart,
    dialect::Changes,
    limit::{ColdBound, Sharing},
    placement::{Backends, Decision, Requirements},
};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

/// Length of the windows in which requests are counted, in milliseconds.
pub const WINDOW_MS: u64 = 4000;

/// Step of the simulation in milliseconds.
const STEP_MS: u64 = 10;

/// Age of a host's last sign of life from which the others take it for dead.
const LIVENESS_MS: u64 = 14_000;

/// Time for which a host is certainly listed after it wrote its row.
const LISTED_MS: u64 = 10_000;

/// Interval at which hosts write their rows and read those of the others.
const LIST_INTERVAL_MS: u64 = 2000;

/// Interval at which hosts share what they know of limits.
const SHARE_INTERVAL_MS: u64 = 100;

/// Time after which a killed process runs again.
const RESTART_MS: u64 = 600;

/// Largest difference between two hosts' readings of the platform's clock.
const MAX_SKEW_MS: u64 = 60;

/// The platform's clock at the start.
const CLOCK_START_MS: u64 = 1_000_000;

/// The platform's clock when traffic starts.
const TRAFFIC_START_MS: u64 = CLOCK_START_MS + 6000;

/// Time from a request to its response.
const RESPONSE_MS: u64 = 30;

/// Time for which backend servers are cold after a start.
const COLD_TIME: Duration = Duration::from_secs(3);

/// Interval at which backend servers write their entries.
const ENTRY_INTERVAL_MS: u64 = 1200;

/// Longest time from the write of an entry until hosts can read it.
const MAX_ENTRY_DELAY_MS: u64 = 300;

/// Interval at which hosts read the entries, each at its own time.
const READ_INTERVAL_MS: u64 = 1000;

/// Time after its last update from which the entry of a server that ended is gone.
const ENTRY_LIFETIME_MS: u64 = 2400;

/// Longest time until a host learns that an evacuation has ended.
const MAX_LEARN_MS: u64 = 1000;

/// Number of backend servers that a request is sent to before its caller is refused.
const MAX_ATTEMPTS: usize = 3;

/// What happens to some hosts or to a backend server.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// Their processes are killed and start again.
    Kill { first: usize, count: usize },
    /// They are gone for good.
    Remove { first: usize, count: usize },
    /// New hosts start.
    Join { count: usize },
    /// They stand still.
    Freeze { first: usize, count: usize, for_ms: u64 },
    /// They reach the backend servers, but not the platform.
    Cut { first: usize, count: usize, for_ms: u64 },
    /// A backend server names another limit from now on; infinity for none.
    Name { server: usize, per_s: f64 },
    /// Backend servers end, and start again under their ids after a time, cold.
    Restart { first: usize, count: usize, after_ms: u64 },
    /// Backend servers that run become cold.
    Chill { first: usize, count: usize },
    /// All hosts send nothing to backend servers.
    Evacuate { first: usize, count: usize },
    /// That ends, and the backend servers are cold.
    EndEvacuation { first: usize, count: usize },
}

/// Requests of callers, and what backend servers take.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Requests per second at each host.
    pub demand_per_s: f64,
    /// Requests per second that each backend server names; infinity for none.
    pub limits: &'static [f64],
}

struct Host {
    name: Arc<str>,
    started_ms: u64,
    skew_ms: u64,
    runs: bool,
    removed: bool,
    frozen_until_ms: u64,
    cut_until_ms: u64,
    last_row_ms: u64,
    backends: Backends,
    sharing: Sharing,
    /// Version of the table up to which it was read.
    read_version: u64,
    /// Entries that it has read of servers that may be cold.
    entries: Vec<Option<Entry>>,
    /// When it learns that the evacuation of a server has ended.
    learns_ms: Vec<Option<u64>>,
}

/// An update of a server's entry.
#[derive(Debug, Clone, Copy)]
struct Update {
    started_ms: u64,
    sequence: u64,
    /// Time for which the server stays cold.
    remaining_ms: u64,
    written_ms: u64,
    /// When hosts can read it.
    visible_ms: u64,
}

/// A backend server that may be cold.
#[derive(Debug, Clone, Default)]
struct Server {
    /// When its process started or starts.
    started_ms: u64,
    cold_until_ms: u64,
    sequence: u64,
    next_write_ms: u64,
    /// Newest updates of its entry, the newest last.
    updates: Vec<Update>,
    is_evacuated: bool,
    /// Times in which it was cold.
    cold_times: Vec<Range<u64>>,
}

/// A response on its way.
struct Response {
    at_ms: u64,
    host: usize,
    server: usize,
    sent_ms: u64,
    /// Start of the process that sent the request.
    started_ms: u64,
}

pub struct Simulation {
    rng: StdRng,
    demand_per_s: f64,
    /// Requests per second that each backend server names now; infinity for none.
    limits: Vec<f64>,
    now_ms: u64,
    hosts: Vec<Host>,
    rows: BTreeMap<Arc<str>, Row>,
    version: u64,
    responses: Vec<Response>,
    arrivals: Vec<Vec<u64>>,
    refused: usize,
    /// Backend servers if they may be cold; none otherwise.
    servers: Vec<Server>,
    /// What they accept while they are cold.
    cold_start: ColdStart,
    /// Times at which callers were served and refused.
    outcomes: Vec<(u64, bool)>,
}

impl Simulation {
    /// Creates hosts of a service whose backend servers may be cold; none of them is at first.
    pub fn with_cold_servers(
        seed: u64,
        hosts: usize,
        demand_per_s: f64,
        servers: usize,
        cold_per_s: f64,
    ) -> Self {
        let limits = vec![f64::INFINITY; servers].leak();
        let mut simulation = Self::new(seed, 0, Load { demand_per_s, limits });
        simulation.cold_start = ColdStart { per_s: cold_per_s, time: COLD_TIME };
        simulation.servers = (0..servers as u64)
            .map(|number| Server {
                started_ms: 1,
                next_write_ms: CLOCK_START_MS + number * 370 % ENTRY_INTERVAL_MS,
                ..Server::default()
            })
            .collect();
        simulation.write_entries();
        (0..hosts).for_each(|_| simulation.add_host());
        simulation
    }

    pub fn new(seed: u64, hosts: usize, load: Load) -> Self {
        let mut simulation = Self {
            rng: StdRng::seed_from_u64(seed),
            demand_per_s: load.demand_per_s,
            limits: load.limits.to_vec(),
            now_ms: CLOCK_START_MS,
            hosts: Vec::new(),
            rows: BTreeMap::new(),
            version: 0,
            responses: Vec::new(),
            arrivals: vec![Vec::new(); load.limits.len()],
            refused: 0,
            servers: Vec::new(),
            cold_start: ColdStart { per_s: f64::INFINITY, time: COLD_TIME },
            outcomes: Vec::new(),
        };
        (0..hosts).for_each(|_| simulation.add_host());
        simulation
    }

    /// Plays a load; the times of faults count from the start of traffic.
    pub fn run(&mut self, traffic_ms: u64, faults: &[(u64, Fault)]) {
        while self.now_ms < TRAFFIC_START_MS + traffic_ms {
            self.now_ms += STEP_MS;
            let now_ms = self.now_ms;
            let due = faults.iter().filter(|(at, _)| at + TRAFFIC_START_MS == now_ms);
            due.for_each(|(_, fault)| self.inject(*fault));
            self.write_entries();
            self.deliver();
            for index in 0..self.hosts.len() {
                self.step_host(index);
            }
        }
    }

    /// Returns when the first response of a server that named its limit arrived.
    pub fn named_ms(&self, server: usize) -> Option<u64> {
        self.arrivals[server].first().map(|sent| sent + RESPONSE_MS)
    }

    /// Returns the times of requests at a server from a time on.
    pub fn arrivals(&self, server: usize, since_ms: u64) -> Vec<u64> {
        self.arrivals[server].iter().copied().filter(|at| *at >= since_ms).collect()
    }

    /// Returns the times of requests at a server in a span of time since the start of traffic.
    pub fn arrivals_in(&self, server: usize, span: std::ops::Range<u64>) -> Vec<u64> {
        let is_in_span = |at: &u64| span.contains(&(at - TRAFFIC_START_MS));
        self.arrivals[server].iter().copied().filter(is_in_span).collect()
    }

    /// Returns the times in which a server was cold, since the start of traffic.
    pub fn cold_times(&self, server: usize) -> Vec<Range<u64>> {
        let since_traffic = |at: u64| at - TRAFFIC_START_MS;
        let times = self.servers[server].cold_times.iter();
        times.map(|time| since_traffic(time.start)..since_traffic(time.end)).collect()
    }

    /// Returns the numbers of callers that were served and refused in a span of time since the start
    /// of traffic.
    pub fn served_and_refused(&self, span: Range<u64>) -> (usize, usize) {
        let is_in_span = |at: u64| span.contains(&(at - TRAFFIC_START_MS));
        let outcomes = self.outcomes.iter().filter(|(at, _)| is_in_span(*at));
        let served = outcomes.clone().filter(|(_, is_served)| *is_served).count();
        (served, outcomes.count() - served)
    }

    /// Writes the entries of the servers that run.
    fn write_entries(&mut self) {
        let now_ms = self.now_ms;
        for server in &mut self.servers {
            if now_ms < server.started_ms || now_ms < server.next_write_ms {
                continue;
            }
            server.next_write_ms = now_ms + ENTRY_INTERVAL_MS;
            server.sequence += 1;
            server.updates.push(Update {
                started_ms: server.started_ms,
                sequence: server.sequence,
                remaining_ms: server.cold_until_ms.saturating_sub(now_ms),
                written_ms: now_ms,
                visible_ms: now_ms + self.rng.random_range(0..MAX_ENTRY_DELAY_MS),
            });
            let excess = server.updates.len().saturating_sub(3);
            server.updates.drain(..excess);
        }
    }

    /// Lets a host read the entries if that is due.
    fn read_entries(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let host = &mut self.hosts[index];
        let is_due = host.started_ms == now_ms
            || (now_ms + STEP_MS * 7 * index as u64).is_multiple_of(READ_INTERVAL_MS);
        let learns: Vec<usize> = (0..host.learns_ms.len())
            .filter(|server| host.learns_ms[*server].is_some_and(|at| at <= now_ms))
            .collect();
        if self.servers.is_empty() || (!is_due && learns.is_empty()) {
            return;
        }
        let now = Duration::from_millis(now_ms - host.started_ms);
        for (number, server) in self.servers.iter().enumerate() {
            let visible = server.updates.iter().rfind(|update| update.visible_ms <= now_ms);
            let is_listed = |update: &&Update| now_ms < update.written_ms + ENTRY_LIFETIME_MS;
            let known = host.entries[number].take();
            host.entries[number] = visible.filter(is_listed).map(|update| {
                let is_known = |entry: &Entry| {
                    entry.started_unix_ms == update.started_ms && entry.sequence == update.sequence
                };
                known.filter(is_known).unwrap_or_else(|| Entry {
                    started_unix_ms: update.started_ms,
                    sequence: update.sequence,
                    cold_until_ms: match update.remaining_ms {
                        0 => 0,
                        rest => (now_ms + rest).next_multiple_of(500),
                    },
                    zone: format!("z{number}").into(),
                    ..entry(number)
                })
            });
            if learns.contains(&number) {
                host.backends.assume_cold(now, &format!("z{number}"));
                host.learns_ms[number] = None;
            }
        }
        let is_known_evacuated =
            |number: usize| host.learns_ms[number].is_some() || self.servers[number].is_evacuated;
        let listed = host.entries.iter().enumerate().filter(|own| !is_known_evacuated(own.0));
        let list = listed.filter_map(|(_, entry)| entry.clone()).collect();
        host.backends.replace(now, list, false);
    }

    /// Returns the number of requests that were refused.
    pub fn refused(&self) -> usize {
        self.refused
    }

    fn add_host(&mut self) {
        let host = Host {
            name: format!("h{}", self.hosts.len()).into(),
            started_ms: self.now_ms,
            skew_ms: self.rng.random_range(0..MAX_SKEW_MS),
            runs: true,
            removed: false,
            frozen_until_ms: 0,
            cut_until_ms: 0,
            last_row_ms: self.now_ms,
            backends: Backends::new("", StdRng::seed_from_u64(0)),
            sharing: Sharing::new("".into()),
            read_version: 0,
            entries: vec![None; self.servers.len()],
            learns_ms: vec![None; self.servers.len()],
        };
        self.hosts.push(host);
        self.start_process(self.hosts.len() - 1);
    }

    fn start_process(&mut self, index: usize) {
        let seed = self.rng.random_range(0..u64::MAX);
        let host = &mut self.hosts[index];
        host.runs = true;
        host.started_ms = self.now_ms;
        host.backends = Backends::new(&host.name, StdRng::seed_from_u64(seed));
        if self.servers.is_empty() {
            host.backends.replace(Duration::ZERO, entries(self.limits.len()), false);
        } else {
            host.backends.set_cold_starts(ColdBound::default(), [("s".into(), self.cold_start)]);
            host.entries.fill(None);
            host.learns_ms.fill(None);
        }
        host.sharing = Sharing::new(host.name.clone());
        host.read_version = 0;
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Kill { first, count } => {
                for host in &mut self.hosts[first..first + count] {
                    host.runs = false;
                    host.started_ms = self.now_ms + RESTART_MS;
                }
            }
            Fault::Remove { first, count } => {
                for host in &mut self.hosts[first..first + count] {
                    host.runs = false;
                    host.removed = true;
                }
            }
            Fault::Join { count } => (0..count).for_each(|_| self.add_host()),
            Fault::Freeze { first, count, for_ms } => {
                for host in &mut self.hosts[first..first + count] {
                    host.frozen_until_ms = self.now_ms + for_ms;
                }
            }
            Fault::Name { server, per_s } => self.limits[server] = per_s,
            Fault::Restart { first, count, after_ms } => {
                let at_ms = self.now_ms + after_ms;
                for server in &mut self.servers[first..first + count] {
                    (server.started_ms, server.next_write_ms) = (at_ms, at_ms);
                    server.chill(at_ms);
                }
            }
            Fault::Chill { first, count } => {
                let servers = self.servers[first..first + count].iter_mut();
                servers.for_each(|server| server.chill(self.now_ms));
            }
            Fault::Evacuate { first, count } => {
                let servers = self.servers[first..first + count].iter_mut();
                servers.for_each(|server| server.is_evacuated = true);
            }
            Fault::EndEvacuation { first, count } => {
                for number in first..first + count {
                    self.servers[number].is_evacuated = false;
                    self.servers[number].chill(self.now_ms);
                    for host in &mut self.hosts {
                        let after_ms = self.rng.random_range(0..MAX_LEARN_MS);
                        host.learns_ms[number] = Some(self.now_ms + after_ms);
                    }
                }
            }
            Fault::Cut { first, count, for_ms } => {
                for host in &mut self.hosts[first..first + count] {
                    host.cut_until_ms = self.now_ms + for_ms;
                }
            }
        }
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let (due, later) =
            std::mem::take(&mut self.responses).into_iter().partition(|own| own.at_ms <= now_ms);
        self.responses = later;
        let due: Vec<Response> = due;
        for response in due {
            let host = &mut self.hosts[response.host];
            if !host.runs || host.started_ms != response.started_ms {
                continue;
            }
            let limit = self.limits[response.server];
            let since_start = |at_ms: u64| Duration::from_millis(at_ms - host.started_ms);
            let (now, sent) = (since_start(now_ms), since_start(response.sent_ms));
            let per_s = limit.is_finite().then_some(limit);
            host.backends.record_limit(now, &server_id(response.server), sent, per_s);
            host.backends.finish_request(
                now,
                &server_id(response.server),
                gateway::backend::HealthSignal::Healthy,
            );
        }
    }

    fn step_host(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let host = &self.hosts[index];
        if host.removed || now_ms < host.frozen_until_ms || now_ms < host.started_ms {
            return;
        }
        if !host.runs {
            self.start_process(index);
        }
        if now_ms >= self.hosts[index].cut_until_ms {
            self.talk_to_platform(index);
            self.read_entries(index);
        }
        let demand = self.demand_per_s * STEP_MS as f64 / 1000.0;
        if now_ms >= TRAFFIC_START_MS && self.rng.random_bool(demand) {
            self.send(index);
        }
    }

    fn talk_to_platform(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let is_new = self.hosts[index].started_ms == now_ms;
        let is_list_due =
            is_new || (now_ms + STEP_MS * index as u64).is_multiple_of(LIST_INTERVAL_MS);
        let alive = if is_list_due { self.alive() } else { Vec::new() };
        let host = &mut self.hosts[index];
        let now = Duration::from_millis(now_ms - host.started_ms);
        let fleet = host.backends.fleet_mut();
        fleet.set_clock(now, now_ms - host.skew_ms);
        if is_list_due {
            host.last_row_ms = now_ms;
            fleet.set_hosts(now, &alive);
            fleet.set_listed_until(now, now + Duration::from_millis(LISTED_MS));
        }
        if host.read_version < self.version {
            let changed = self.rows.values().filter(|row| row.revision > host.read_version);
            let changes = Changes { rows: changed.cloned().collect(), through: self.version };
            host.sharing.apply(&changes, host.read_version == 0);
            host.read_version = self.version;
            host.backends.apply_limits(now, &host.sharing);
        }
        if (now_ms + STEP_MS * index as u64).is_multiple_of(SHARE_INTERVAL_MS) {
            let limited = host.backends.limited().map(|own| (&own.entry, &own.limit));
            if let Some(txn) = host.sharing.plan(now_ms - host.skew_ms, limited) {
                let outcome = commit(&mut self.rows, &mut self.version, &txn);
                host.sharing.finish(&outcome);
            }
        }
    }

    /// Returns the names of the hosts that others take to be alive.
    fn alive(&self) -> Vec<Arc<str>> {
        let is_alive = |host: &&Host| host.last_row_ms + LIVENESS_MS > self.now_ms;
        self.hosts.iter().filter(is_alive).map(|host| host.name.clone()).collect()
    }

    fn send(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        let now = Duration::from_millis(self.now_ms - host.started_ms);
        let mut tried = Vec::new();
        while tried.len() < MAX_ATTEMPTS {
            let requirements = Requirements {
                service: "s",
                zone: "a",
                prompt: None,
                memory: None,
                tried: &tried,
                target_latency: Duration::from_secs(1),
                time_left: Duration::from_secs(5),
                priority: 0,
                stream_ranks: None,
                connected: None,
            };
            let Decision::Send { to, .. } = host.backends.place(now, &requirements) else { break };
            let permit = host.backends.take_permit(now, &to.id).expect("a placed one has a permit");
            host.backends.get_mut(&to.id).expect("listed").start_request(now, None, 0);
            let server: usize = to.id[1..].parse().expect("a number");
            if self.servers.get(server).is_some_and(|server| self.now_ms < server.started_ms) {
                host.backends.finish_request(now, &to.id, HealthSignal::Unreachable);
                permit.into_iter().for_each(|permit| host.backends.put_back_permit(&to.id, permit));
                tried.push(to.id);
                continue;
            }
            self.arrivals[server].push(self.now_ms);
            self.outcomes.push((self.now_ms, true));
            self.responses.push(Response {
                at_ms: self.now_ms + RESPONSE_MS,
                host: index,
                server,
                sent_ms: self.now_ms,
                started_ms: host.started_ms,
            });
            return;
        }
        self.refused += 1;
        self.outcomes.push((self.now_ms, false));
    }
}

impl Server {
    /// Makes it cold at a time.
    fn chill(&mut self, at_ms: u64) {
        let until_ms = at_ms + COLD_TIME.as_millis() as u64;
        self.cold_until_ms = until_ms;
        match self.cold_times.last_mut() {
            Some(last) if at_ms <= last.end => last.end = until_ms,
            _ => self.cold_times.push(at_ms..until_ms),
        }
    }
}

fn commit(rows: &mut BTreeMap<Arc<str>, Row>, version: &mut u64, txn: &Txn) -> Outcome {
    let revision =
        |rows: &BTreeMap<Arc<str>, Row>, key| rows.get(key).map_or(0, |row| row.revision);
    if txn.checks.iter().any(|check| revision(rows, &check.key) != check.revision) {
        let found = txn.checks.iter().filter_map(|check| rows.get(&check.key).cloned());
        return Outcome::Conflict(found.collect());
    }
    *version += 1;
    for write in &txn.writes {
        let row = Row { key: write.key.clone(), value: write.value.clone(), revision: *version };
        rows.insert(write.key.clone(), row);
    }
    Outcome::Committed(*version)
}

fn server_id(number: usize) -> String {
    format!("s{number}")
}

fn entries(count: usize) -> Vec<Entry> {
    (0..count).map(entry).collect()
}

fn entry(number: usize) -> Entry {
    Entry {
        id: server_id(number).into(),
        service: "s".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "a".into(),
        slots: 64,
        draining: false,
        started_unix_ms: 1,
        sequence: 1,
        cold_until_ms: 0,
    }
}

/// Returns the largest number of arrivals in a window.
pub fn max_in_window(arrivals: &[u64]) -> usize {
    let in_window = |(index, first): (usize, &u64)| {
        arrivals[index..].iter().take_while(|at| **at < first + WINDOW_MS).count()
    };
    arrivals.iter().enumerate().map(in_window).max().unwrap_or(0)
}
