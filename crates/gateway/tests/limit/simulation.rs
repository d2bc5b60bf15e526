//! Hosts that share limited backend servers, without a network, on a clock of their own.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use coordination::table::{Outcome, Row, Txn};
use gateway::{
    backend::Entry,
    dialect::Changes,
    limit::Sharing,
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
}

impl Simulation {
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
        host.backends.replace(Duration::ZERO, entries(self.limits.len()), false);
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
        let requirements = Requirements {
            service: "s",
            zone: "a",
            prompt: None,
            memory: None,
            tried: &[],
            target_latency: Duration::from_secs(1),
            time_left: Duration::from_secs(5),
        };
        let Decision::Send { to, .. } = host.backends.place(now, &requirements) else {
            self.refused += 1;
            return;
        };
        host.backends.take_permit(now, &to.id).expect("a placed request has a permit");
        host.backends.get_mut(&to.id).expect("listed").start_request(now, None, 0);
        let server: usize = to.id[1..].parse().expect("a number");
        self.arrivals[server].push(self.now_ms);
        self.responses.push(Response {
            at_ms: self.now_ms + RESPONSE_MS,
            host: index,
            server,
            sent_ms: self.now_ms,
            started_ms: host.started_ms,
        });
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
    let entry = |number| Entry {
        id: server_id(number).into(),
        service: "s".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "a".into(),
        slots: 64,
        draining: false,
        started_unix_ms: 1,
        sequence: 1,
    };
    (0..count).map(entry).collect()
}

/// Returns the largest number of arrivals in a window.
pub fn max_in_window(arrivals: &[u64]) -> usize {
    let in_window = |(index, first): (usize, &u64)| {
        arrivals[index..].iter().take_while(|at| **at < first + WINDOW_MS).count()
    };
    arrivals.iter().enumerate().map(in_window).max().unwrap_or(0)
}
