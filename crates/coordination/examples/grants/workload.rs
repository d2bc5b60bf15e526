//! Generated workloads, and a simulation of the fleet that serves them.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use coordination::{
    escrow::{self, Escrow},
    holder::{Event, Peer},
    recovery, request,
    request::Class,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::fleet::{self, Fleet, PLATFORM, ReserveResult, budget, id};

/// Names and zones of the hosts, two in each zone; the first zone is isolated by the partition.
pub const HOSTS: [(&str, &str); 6] =
    [("a", "x"), ("b", "x"), ("c", "y"), ("d", "y"), ("e", "z"), ("f", "z")];

/// Number of hosts in the isolated zone; they are the first of [`HOSTS`].
pub const ISOLATED_HOSTS: usize = 2;

/// Time before the partition.
pub const WARM_UP: Duration = Duration::from_secs(900);

/// Time after the partition has healed.
pub const TIME_AFTER_PARTITION: Duration = Duration::from_secs(300);

/// Mean rate of requests over all hosts.
const REQUESTS_PER_SECOND: f64 = 3.0;

/// Share of the demand in the isolated zone with [`Demand::Skewed`].
const SKEWED_SHARE: f64 = 0.7;

/// Factor by which demand in the isolated zone grows during a burst.
const BURST_FACTOR: f64 = 5.0;

/// Maximum duration of a burst, which starts with the partition.
const MAX_BURST_DURATION: Duration = Duration::from_secs(600);

/// Time from a crash until the host starts its next process.
const RESTART_DELAY: Duration = Duration::from_secs(5);

/// Time from a crash until the platform's host list shows it.
const LISTING_DELAY: Duration = Duration::from_secs(10);

/// Names of the budgets and their shares of the demand.
pub const BUDGETS: [(&str, f64); 2] = [("large", 0.8), ("small", 0.2)];

/// Divisor of the first purchase that gives the tokens that each grant keeps for urgent requests.
const FLOOR_DIVISOR: u64 = 50;

/// User whose mix of requests a workload has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum User {
    Tlaquepaque,
    Peachtree,
}

/// Distribution of the demand over zones and time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Demand {
    /// The same at each host.
    Even,
    /// Most of it in the isolated zone, all the time.
    Skewed,
    /// Higher in the isolated zone when the partition begins.
    Burst,
}

/// One combination of user, partition, demand, budget, top-up and crashes.
#[derive(Debug, Clone, Copy)]
pub struct Case {
    pub user: User,
    pub partition_duration: Duration,
    pub demand: Demand,
    /// Whether the budgets exceed what the requests use by 10 % only, not by a factor of three.
    pub tight: bool,
    pub top_up: bool,
    pub crashes: bool,
}

impl Case {
    /// Returns the name, made of user, partition duration in minutes, demand and budget.
    pub fn name(&self) -> String {
        let budget = if self.tight { "tight" } else { "ample" };
        let minutes = self.partition_duration.as_secs() / 60;
        format!("{:?} {minutes} {:?} {budget}", self.user, self.demand)
    }

    pub fn healed_at(&self) -> Duration {
        WARM_UP + self.partition_duration
    }

    pub fn end(&self) -> Duration {
        self.healed_at() + TIME_AFTER_PARTITION
    }

    /// Returns when the second part of the budgets is bought, in cases with a top-up.
    pub fn topped_up_at(&self) -> Duration {
        WARM_UP + self.partition_duration / 2
    }

    /// Returns the times and hosts of crashes: one in the isolated zone and one in another.
    pub fn crashes(&self) -> Vec<(Duration, usize)> {
        if !self.crashes {
            return Vec::new();
        }
        vec![(WARM_UP + self.partition_duration / 4, 0), (WARM_UP + self.partition_duration / 3, 3)]
    }

    /// Returns the kinds of requests: class, share of the requests, maximum charge, minimum share
    /// of it that is used, and the seconds that a request takes if it uses all of it.
    fn request_kinds(&self) -> [(Class, f64, u64, f64, f64); 3] {
        match self.user {
            User::Tlaquepaque => [
                (Class::Urgent, 0.6, 64, 0.4, 0.5),
                (Class::Normal, 0.3, 800, 0.4, 5.0),
                (Class::Long, 0.1, 4000, 0.3, 40.0),
            ],
            User::Peachtree => [
                (Class::Urgent, 0.4, 200, 0.4, 2.0),
                (Class::Normal, 0.5, 1000, 0.4, 6.0),
                (Class::Long, 0.1, 300, 0.5, 3.0),
            ],
        }
    }

    /// Returns the demand at a host relative to [`Demand::Even`].
    fn weight(&self, host: usize, at: Duration) -> f64 {
        let isolated = host < ISOLATED_HOSTS;
        match self.demand {
            Demand::Even => 1.0,
            Demand::Skewed if isolated => SKEWED_SHARE * HOSTS.len() as f64 / ISOLATED_HOSTS as f64,
            Demand::Skewed => {
                (1.0 - SKEWED_SHARE) * HOSTS.len() as f64 / (HOSTS.len() - ISOLATED_HOSTS) as f64
            }
            Demand::Burst => {
                let burst = WARM_UP..WARM_UP + MAX_BURST_DURATION.min(self.partition_duration);
                if isolated && burst.contains(&at) { BURST_FACTOR } else { 1.0 }
            }
        }
    }
}

/// Request of a workload.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Duration,
    pub host: usize,
    pub budget: usize,
    pub class: Class,
    /// Tokens that are reserved.
    pub max_charge: u64,
    /// Tokens that are charged in the end.
    pub used: u64,
    pub duration: Duration,
}

/// Requests in order of arrival, and the tokens bought for them.
#[derive(Debug, Clone)]
pub struct Workload {
    pub arrivals: Vec<Arrival>,
    /// Tokens of each budget bought at the start and by the top-up.
    pub bought: [(u64, u64); BUDGETS.len()],
}

impl Workload {
    /// Generates the workload of a case; it is the same for every strategy.
    pub fn generate(case: &Case) -> Self {
        let mut rng = StdRng::seed_from_u64(20_261_203);
        let mut arrivals = Vec::new();
        for host in 0..HOSTS.len() {
            let mut at = Duration::ZERO;
            let max_weight = BURST_FACTOR.max(HOSTS.len() as f64);
            let rate = REQUESTS_PER_SECOND / HOSTS.len() as f64 * max_weight;
            while at < case.end() {
                let gap = -(1.0 - rng.random::<f64>()).ln() / rate;
                at += Duration::from_secs_f64(gap);
                if rng.random::<f64>() * max_weight < case.weight(host, at) {
                    arrivals.push(arrival(case, &mut rng, at, host));
                }
            }
        }
        arrivals.sort_by_key(|arrival| (arrival.at, arrival.host));
        let bought = [0, 1].map(|budget| {
            let needed: u64 = arrivals
                .iter()
                .filter(|arrival| arrival.budget == budget)
                .map(|arrival| arrival.used)
                .sum();
            let all = if case.tight { needed * 110 / 100 } else { needed * 3 };
            if case.top_up { (all * 6 / 10, all - all * 6 / 10) } else { (all, 0) }
        });
        Self { arrivals, bought }
    }
}

/// Generates a request of a random kind.
fn arrival(case: &Case, rng: &mut StdRng, at: Duration, host: usize) -> Arrival {
    let mut selector: f64 = rng.random();
    let kinds = case.request_kinds();
    let mut kind = kinds[0];
    for candidate in kinds {
        kind = candidate;
        if selector < candidate.1 {
            break;
        }
        selector -= candidate.1;
    }
    let (class, _, max_charge, min_used_share, seconds) = kind;
    let share: f64 = rng.random_range(min_used_share..1.0);
    Arrival {
        at,
        host,
        budget: usize::from(rng.random::<f64>() >= BUDGETS[0].1),
        class,
        max_charge,
        used: (max_charge as f64 * share) as u64,
        duration: Duration::from_secs_f64(seconds * share),
    }
}

/// Results of a case with one strategy.
#[derive(Debug, Clone, Copy, Default)]
pub struct Stats {
    pub requests: u64,
    /// Maximum of the tokens charged or reserved beyond those bought.
    pub overspent: u64,
    /// Requests refused though the budget would have covered them.
    pub falsely_refused: u64,
    pub urgent_falsely_refused: u64,
    /// Falsely refused requests that the tokens in reach of the refusing host would have covered.
    pub falsely_refused_in_reach: u64,
    /// Requests that aren't urgent, refused while the budget would have covered them only by using
    /// tokens kept for urgent requests.
    pub floor_refused: u64,
}

impl Stats {
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.overspent = self.overspent.max(other.overspent);
        self.falsely_refused += other.falsely_refused;
        self.urgent_falsely_refused += other.urgent_falsely_refused;
        self.falsely_refused_in_reach += other.falsely_refused_in_reach;
        self.floor_refused += other.floor_refused;
    }
}

/// Exact state of the budgets, which no host knows.
#[derive(Debug, Clone)]
pub struct GlobalState {
    bought: [u64; BUDGETS.len()],
    /// Tokens of each budget that are charged or reserved.
    committed: [u64; BUDGETS.len()],
    /// Tokens of each budget that all hosts together keep for urgent requests.
    floors: [u64; BUDGETS.len()],
    pub stats: Stats,
}

impl GlobalState {
    pub fn new(workload: &Workload) -> Self {
        Self {
            bought: workload.bought.map(|(first, _)| first),
            committed: [0; BUDGETS.len()],
            floors: [0; BUDGETS.len()],
            stats: Stats::default(),
        }
    }

    /// Takes into account that the hosts keep a floor for urgent requests.
    pub fn set_floors(&mut self, workload: &Workload) {
        self.floors = workload.bought.map(|(first, _)| first / FLOOR_DIVISOR * HOSTS.len() as u64);
    }

    pub fn top_up(&mut self, workload: &Workload) {
        for (bought, (_, later)) in self.bought.iter_mut().zip(workload.bought) {
            *bought += later;
        }
    }

    pub fn dispatched(&mut self, arrival: &Arrival) {
        let committed = &mut self.committed[arrival.budget];
        *committed += arrival.max_charge;
        let over = committed.saturating_sub(self.bought[arrival.budget]);
        self.stats.overspent = self.stats.overspent.max(over);
    }

    pub fn settled(&mut self, arrival: &Arrival) {
        self.committed[arrival.budget] -= arrival.max_charge - arrival.used;
    }

    /// Counts a refusal by a host that could reach `reachable_tokens` tokens neither charged nor
    /// reserved.
    pub fn refused(&mut self, arrival: &Arrival, reachable_tokens: u64) {
        let unspent = self.unspent(arrival.budget);
        if arrival.max_charge > unspent {
            return;
        }
        if arrival.class != Class::Urgent
            && arrival.max_charge + self.floors[arrival.budget] > unspent
        {
            self.stats.floor_refused += 1;
            return;
        }
        self.stats.falsely_refused += 1;
        if arrival.max_charge <= reachable_tokens {
            self.stats.falsely_refused_in_reach += 1;
        }
        if arrival.class == Class::Urgent {
            self.stats.urgent_falsely_refused += 1;
        }
    }

    /// Returns the tokens of a budget that are neither charged nor reserved.
    pub fn unspent(&self, budget: usize) -> u64 {
        self.bought[budget].saturating_sub(self.committed[budget])
    }
}

/// Scheduled event of a simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    Partition,
    Heal,
    TopUp,
    /// A host's process crashes.
    Crash(usize),
    /// A host starts its next process.
    Restart(usize),
    /// The platform's host list shows the crash.
    ListedDead(usize),
    Arrival(usize),
    End(usize),
}

/// Fleet that serves a workload, with the exact state of the budgets.
struct Simulation<'a> {
    workload: &'a Workload,
    fleet: Fleet,
    state: GlobalState,
    has_peers: bool,
    /// Index of each host's current process in the fleet.
    current_processes: [usize; HOSTS.len()],
    incarnation: u64,
    events: BTreeSet<(Duration, SimulationEvent)>,
    /// Index of the arrival of each request, and of the process that serves it.
    requests: BTreeMap<request::Id, (usize, usize)>,
    /// Number of the fleet's reserve results that are handled.
    handled_results: usize,
    is_topped_up: bool,
    /// Host and id of each crashed process.
    crashed_processes: Vec<(usize, Arc<str>)>,
}

/// Serves a workload with grants; unless `has_peers`, the holders know of no peers.
pub fn run(case: &Case, workload: &Workload, has_peers: bool) -> Stats {
    let mut events = BTreeSet::new();
    events.insert((WARM_UP, SimulationEvent::Partition));
    events.insert((case.healed_at(), SimulationEvent::Heal));
    if case.top_up {
        events.insert((case.topped_up_at(), SimulationEvent::TopUp));
    }
    for (at, host) in case.crashes() {
        events.insert((at, SimulationEvent::Crash(host)));
        events.insert((at + RESTART_DELAY, SimulationEvent::Restart(host)));
        events.insert((at + LISTING_DELAY, SimulationEvent::ListedDead(host)));
    }
    for (index, arrival) in workload.arrivals.iter().enumerate() {
        events.insert((arrival.at, SimulationEvent::Arrival(index)));
    }
    let mut simulation = Simulation {
        workload,
        fleet: Fleet::new(1, &HOSTS),
        state: GlobalState::new(workload),
        has_peers,
        current_processes: [0, 1, 2, 3, 4, 5],
        incarnation: 1,
        events,
        requests: BTreeMap::new(),
        handled_results: 0,
        is_topped_up: false,
        crashed_processes: Vec::new(),
    };
    simulation.state.set_floors(workload);
    simulation.announce_peers();
    simulation.write_budgets();
    while let Some((at, event)) = simulation.events.pop_first() {
        simulation.advance(at);
        simulation.handle(event);
        simulation.handle_reserve_results();
    }
    let end = simulation.fleet.now + Duration::from_secs(5);
    simulation.advance(end);
    simulation.state.stats.requests = workload.arrivals.len() as u64;
    simulation.state.stats
}

impl Simulation<'_> {
    /// Runs the fleet until a time and handles reserve results as they arrive.
    fn advance(&mut self, at: Duration) {
        while self.fleet.now < at {
            let step = (self.fleet.now + fleet::TICK).min(at);
            self.fleet.run_until(step);
            self.handle_reserve_results();
        }
    }

    fn announce_peers(&mut self) {
        if self.has_peers {
            self.fleet.announce_peers();
            return;
        }
        for index in self.current_processes {
            self.fleet.handle(index, Event::Peers(Vec::<Peer>::new()));
        }
    }

    /// Returns the records of the budgets with what is bought so far.
    fn records(&self) -> Vec<coordination::record::Budget> {
        let record = |(index, (name, _)): (usize, &(&str, f64))| {
            let (first, later) = self.workload.bought[index];
            let top_ups = [("first", first), ("later", later)];
            let top_ups = if self.is_topped_up { &top_ups[..] } else { &top_ups[..1] };
            budget(name, top_ups, first / FLOOR_DIVISOR, false)
        };
        BUDGETS.iter().enumerate().map(record).collect()
    }

    fn write_budgets(&mut self) {
        for record in self.records() {
            let top_ups: Vec<(&str, u64)> =
                record.top_ups.iter().map(|(id, tokens)| (&**id, *tokens)).collect();
            self.fleet.set_budget(&record.name, &top_ups, record.urgent_floor, false);
        }
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Partition => {
                for other in ["y", "z", PLATFORM] {
                    self.fleet.partition("x", other);
                }
                self.announce_peers();
            }
            SimulationEvent::Heal => {
                self.fleet.heal();
                self.announce_peers();
                for record in self.records() {
                    self.fleet.announce_budget(&record);
                }
            }
            SimulationEvent::TopUp => {
                self.is_topped_up = true;
                self.state.top_up(self.workload);
                self.write_budgets();
            }
            SimulationEvent::Crash(host) => {
                let process = self.current_processes[host];
                self.crashed_processes.push((host, self.fleet.hosts[process].id.clone()));
                self.fleet.kill(process);
                self.announce_peers();
            }
            SimulationEvent::Restart(host) => self.restart(host),
            SimulationEvent::ListedDead(host) => self.announce_death(host),
            SimulationEvent::Arrival(index) => {
                let arrival = &self.workload.arrivals[index];
                let process = self.current_processes[arrival.host];
                self.requests.insert(id(index as u64), (index, process));
                let (budget, max_charge, class) =
                    (BUDGETS[arrival.budget].0, arrival.max_charge, arrival.class);
                if self.fleet.hosts[process].dead {
                    let neighbour = self.current_processes[arrival.host ^ 1];
                    self.fleet.reserve(neighbour, index as u64, budget, max_charge, class);
                    return;
                }
                self.fleet.reserve(process, index as u64, budget, max_charge, class);
            }
            SimulationEvent::End(index) => {
                let arrival = &self.workload.arrivals[index];
                let (_, process) = self.requests[&id(index as u64)];
                if !self.fleet.hosts[process].dead {
                    self.state.settled(arrival);
                    self.fleet.settle(process, index as u64, arrival.used);
                }
            }
        }
    }

    /// Starts the next process of a host, which gets the records from its neighbours.
    fn restart(&mut self, host: usize) {
        self.incarnation += 1;
        let (name, zone) = HOSTS[host];
        self.current_processes[host] = self.fleet.start(name, zone, self.incarnation);
        self.announce_peers();
        for record in self.records() {
            self.fleet.handle(self.current_processes[host], Event::Budget(record));
        }
    }

    /// Tells the current processes that the crashed processes of a host are gone and dead.
    fn announce_death(&mut self, host: usize) {
        let dead: Vec<Arc<str>> = self
            .crashed_processes
            .iter()
            .filter(|(dead, _)| *dead == host)
            .map(|(_, process)| process.clone())
            .collect();
        for process in dead {
            for index in self.current_processes {
                self.fleet.handle_recovery(index, recovery::Event::Gone(process.clone()));
                self.fleet.handle_recovery(index, recovery::Event::Dead(process.clone()));
            }
        }
    }

    fn handle_reserve_results(&mut self) {
        while self.handled_results < self.fleet.reserve_results.len() {
            let (at, process, request, result) = self.fleet.reserve_results[self.handled_results];
            self.handled_results += 1;
            let entry = self.requests.get_mut(&request).expect("a request of the workload");
            entry.1 = process;
            let index = entry.0;
            let arrival = &self.workload.arrivals[index];
            match result {
                ReserveResult::Reserved => {
                    self.state.dispatched(arrival);
                    self.events.insert((at + arrival.duration, SimulationEvent::End(index)));
                }
                ReserveResult::Refused(_) => {
                    let reachable_tokens = self.reachable_tokens(process, arrival.budget);
                    self.state.refused(arrival, reachable_tokens);
                }
            }
        }
    }

    /// Returns the tokens of a budget that a host can reach: at itself, at the live hosts on its
    /// side of a partition, and in the table.
    fn reachable_tokens(&self, from: usize, budget: usize) -> u64 {
        let (name, _) = BUDGETS[budget];
        let zone = &self.fleet.hosts[from].zone;
        let is_partitioned =
            |other: &str| self.fleet.partitions.contains(&(zone.clone(), Arc::from(other)));
        let held = self.fleet.hosts.iter().filter(|host| !host.dead && !is_partitioned(&host.zone));
        let held: u64 = held.map(|host| host.holder.available(name)).sum();
        if is_partitioned(PLATFORM) { held } else { held + self.remaining(budget) }
    }

    /// Returns the tokens of a budget that the table can still grant.
    fn remaining(&self, budget: usize) -> u64 {
        let (first, later) = self.workload.bought[budget];
        let bought = if self.is_topped_up { first + later } else { first };
        let key = escrow::escrow_key(BUDGETS[budget].0);
        let row = self.fleet.table.row(&key);
        let escrow = escrow::parse::<Escrow>(&row).ok().flatten().unwrap_or_default();
        escrow.remaining(bought)
    }
}
