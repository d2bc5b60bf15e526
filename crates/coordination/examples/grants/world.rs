//! Workloads, and the fleet that serves them.

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

/// Hosts, two in each zone; the first zone is cut off.
pub const HOSTS: [(&str, &str); 6] =
    [("a", "x"), ("b", "x"), ("c", "y"), ("d", "y"), ("e", "z"), ("f", "z")];

/// Hosts in the zone that is cut off.
pub const CUT_HOSTS: usize = 2;

/// Time before the cut.
pub const WARM_UP: Duration = Duration::from_secs(900);

/// Time after the cut.
pub const AFTER: Duration = Duration::from_secs(300);

/// Requests a second over all hosts.
const RATE: f64 = 3.0;

/// Share of the demand at the cut-off zone where it is skewed.
const SKEWED: f64 = 0.7;

/// Factor of the demand at the cut-off zone in a burst.
const BURST: f64 = 5.0;

/// Longest part of the cut that the burst takes.
const BURST_TIME: Duration = Duration::from_secs(600);

/// Time from a death until the process is replaced.
const REPLACED_AFTER: Duration = Duration::from_secs(5);

/// Time from a death until the platform's list tells of it.
const LISTED_AFTER: Duration = Duration::from_secs(10);

/// Budgets, with their shares of the demand.
pub const BUDGETS: [(&str, f64); 2] = [("large", 0.8), ("small", 0.2)];

/// Part of the first purchase that each grant keeps for urgent requests, as a divisor.
const FLOOR_PART: u64 = 50;

/// Whose requests they are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum User {
    Tlaquepaque,
    Peachtree,
}

/// Where the demand is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Demand {
    Even,
    Skewed,
    Burst,
}

/// A combination of circumstances.
#[derive(Debug, Clone, Copy)]
pub struct Case {
    pub user: User,
    pub cut: Duration,
    pub demand: Demand,
    pub tight: bool,
    pub top_up: bool,
    pub deaths: bool,
}

impl Case {
    /// Returns the user, the minutes of the cut, the demand and the budget.
    pub fn name(&self) -> String {
        let budget = if self.tight { "tight" } else { "ample" };
        let minutes = self.cut.as_secs() / 60;
        format!("{:?} {minutes} {:?} {budget}", self.user, self.demand)
    }

    pub fn healed(&self) -> Duration {
        WARM_UP + self.cut
    }

    pub fn end(&self) -> Duration {
        self.healed() + AFTER
    }

    /// When part of the budgets is bought, if not all at once.
    pub fn topped_up(&self) -> Duration {
        WARM_UP + self.cut / 2
    }

    /// Deaths: one host of the cut-off zone and one of another.
    pub fn deaths(&self) -> Vec<(Duration, usize)> {
        if !self.deaths {
            return Vec::new();
        }
        vec![(WARM_UP + self.cut / 4, 0), (WARM_UP + self.cut / 3, 3)]
    }

    /// Kinds of requests: class, share, worst case, least part of it that is used, seconds.
    fn kinds(&self) -> [(Class, f64, u64, f64, f64); 3] {
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

    fn weight(&self, host: usize, at: Duration) -> f64 {
        let inside = host < CUT_HOSTS;
        match self.demand {
            Demand::Even => 1.0,
            Demand::Skewed if inside => SKEWED * HOSTS.len() as f64 / CUT_HOSTS as f64,
            Demand::Skewed => {
                (1.0 - SKEWED) * HOSTS.len() as f64 / (HOSTS.len() - CUT_HOSTS) as f64
            }
            Demand::Burst => {
                let burst = WARM_UP..WARM_UP + BURST_TIME.min(self.cut);
                if inside && burst.contains(&at) { BURST } else { 1.0 }
            }
        }
    }
}

/// A request of a workload.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Duration,
    pub host: usize,
    pub budget: usize,
    pub class: Class,
    pub worst: u64,
    pub used: u64,
    pub lasts: Duration,
}

/// Requests in order, and what is bought for them.
#[derive(Debug, Clone)]
pub struct Workload {
    pub arrivals: Vec<Arrival>,
    /// Tokens bought of each budget at first and by the top-up.
    pub bought: [(u64, u64); BUDGETS.len()],
}

impl Workload {
    /// Draws the requests of a case; every way of serving gets the same.
    pub fn draw(case: &Case) -> Self {
        let mut random = StdRng::seed_from_u64(20_261_203);
        let mut arrivals = Vec::new();
        for host in 0..HOSTS.len() {
            let mut at = Duration::ZERO;
            let top = BURST.max(HOSTS.len() as f64);
            let rate = RATE / HOSTS.len() as f64 * top;
            while at < case.end() {
                let gap = -(1.0 - random.random::<f64>()).ln() / rate;
                at += Duration::from_secs_f64(gap);
                if random.random::<f64>() * top < case.weight(host, at) {
                    arrivals.push(arrival(case, &mut random, at, host));
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

fn arrival(case: &Case, random: &mut StdRng, at: Duration, host: usize) -> Arrival {
    let mut draw: f64 = random.random();
    let kinds = case.kinds();
    let mut kind = kinds[0];
    for candidate in kinds {
        kind = candidate;
        if draw < candidate.1 {
            break;
        }
        draw -= candidate.1;
    }
    let (class, _, worst, least, seconds) = kind;
    let share: f64 = random.random_range(least..1.0);
    Arrival {
        at,
        host,
        budget: usize::from(random.random::<f64>() >= BUDGETS[0].1),
        class,
        worst,
        used: (worst as f64 * share) as u64,
        lasts: Duration::from_secs_f64(seconds * share),
    }
}

/// What came of a case.
#[derive(Debug, Clone, Copy, Default)]
pub struct Score {
    pub requests: u64,
    /// Tokens charged or set aside beyond those bought, at the worst moment.
    pub overspent: u64,
    /// Requests refused though the budget would have covered them.
    pub refused: u64,
    pub urgent_refused: u64,
    /// Those of them that the tokens in reach of the refusing host would have covered.
    pub in_reach: u64,
    /// Requests that aren't urgent, refused while the budget covered no more than the floors.
    pub kept: u64,
}

impl Score {
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.overspent = self.overspent.max(other.overspent);
        self.refused += other.refused;
        self.urgent_refused += other.urgent_refused;
        self.in_reach += other.in_reach;
        self.kept += other.kept;
    }
}

/// The exact state of the budgets, which no host knows.
#[derive(Debug, Clone)]
pub struct Truth {
    bought: [u64; BUDGETS.len()],
    committed: [u64; BUDGETS.len()],
    /// Tokens of each budget that all hosts together keep for urgent requests.
    floors: [u64; BUDGETS.len()],
    pub score: Score,
}

impl Truth {
    pub fn open(workload: &Workload) -> Self {
        Self {
            bought: workload.bought.map(|(first, _)| first),
            committed: [0; BUDGETS.len()],
            floors: [0; BUDGETS.len()],
            score: Score::default(),
        }
    }

    /// Notes that the hosts keep a floor for urgent requests.
    pub fn keep_floors(&mut self, workload: &Workload) {
        self.floors = workload.bought.map(|(first, _)| first / FLOOR_PART * HOSTS.len() as u64);
    }

    pub fn top_up(&mut self, workload: &Workload) {
        for (bought, (_, later)) in self.bought.iter_mut().zip(workload.bought) {
            *bought += later;
        }
    }

    pub fn dispatched(&mut self, arrival: &Arrival) {
        let committed = &mut self.committed[arrival.budget];
        *committed += arrival.worst;
        let over = committed.saturating_sub(self.bought[arrival.budget]);
        self.score.overspent = self.score.overspent.max(over);
    }

    pub fn settled(&mut self, arrival: &Arrival) {
        self.committed[arrival.budget] -= arrival.worst - arrival.used;
    }

    /// Counts a refusal by a host in whose reach `reach` tokens were neither charged nor set aside.
    pub fn refused(&mut self, arrival: &Arrival, reach: u64) {
        let unspent = self.unspent(arrival.budget);
        if arrival.worst > unspent {
            return;
        }
        if arrival.class != Class::Urgent && arrival.worst + self.floors[arrival.budget] > unspent {
            self.score.kept += 1;
            return;
        }
        self.score.refused += 1;
        if arrival.worst <= reach {
            self.score.in_reach += 1;
        }
        if arrival.class == Class::Urgent {
            self.score.urgent_refused += 1;
        }
    }

    /// Returns the tokens of a budget that are neither charged nor set aside.
    pub fn unspent(&self, budget: usize) -> u64 {
        self.bought[budget].saturating_sub(self.committed[budget])
    }
}

/// Something that happens at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Cut,
    Heal,
    TopUp,
    Death(usize),
    Replacement(usize),
    Listing(usize),
    Arrival(usize),
    End(usize),
}

struct Run<'a> {
    workload: &'a Workload,
    fleet: Fleet,
    truth: Truth,
    connected: bool,
    current: [usize; HOSTS.len()],
    incarnation: u64,
    agenda: BTreeSet<(Duration, Happening)>,
    numbers: BTreeMap<request::Id, (usize, usize)>,
    seen: usize,
    bought_all: bool,
    processes: Vec<(usize, Arc<str>)>,
}

/// Serves a workload by holders; unless `connected`, they know of no peers.
pub fn run(case: &Case, workload: &Workload, connected: bool) -> Score {
    let mut agenda = BTreeSet::new();
    agenda.insert((WARM_UP, Happening::Cut));
    agenda.insert((case.healed(), Happening::Heal));
    if case.top_up {
        agenda.insert((case.topped_up(), Happening::TopUp));
    }
    for (at, host) in case.deaths() {
        agenda.insert((at, Happening::Death(host)));
        agenda.insert((at + REPLACED_AFTER, Happening::Replacement(host)));
        agenda.insert((at + LISTED_AFTER, Happening::Listing(host)));
    }
    for (index, arrival) in workload.arrivals.iter().enumerate() {
        agenda.insert((arrival.at, Happening::Arrival(index)));
    }
    let mut run = Run {
        workload,
        fleet: Fleet::new(1, &HOSTS),
        truth: Truth::open(workload),
        connected,
        current: [0, 1, 2, 3, 4, 5],
        incarnation: 1,
        agenda,
        numbers: BTreeMap::new(),
        seen: 0,
        bought_all: false,
        processes: Vec::new(),
    };
    run.truth.keep_floors(workload);
    run.announce();
    run.write_budgets();
    while let Some((at, happening)) = run.agenda.pop_first() {
        run.advance(at);
        run.happen(happening);
        run.answers();
    }
    let end = run.fleet.now + Duration::from_secs(5);
    run.advance(end);
    run.truth.score.requests = workload.arrivals.len() as u64;
    run.truth.score
}

impl Run<'_> {
    /// Runs the fleet until a time, taking answers as they come.
    fn advance(&mut self, at: Duration) {
        while self.fleet.now < at {
            let step = (self.fleet.now + fleet::TICK).min(at);
            self.fleet.run_until(step);
            self.answers();
        }
    }

    fn announce(&mut self) {
        if self.connected {
            self.fleet.announce_peers();
            return;
        }
        for index in self.current {
            self.fleet.handle(index, Event::Peers(Vec::<Peer>::new()));
        }
    }

    fn records(&self) -> Vec<coordination::record::Budget> {
        let record = |(index, (name, _)): (usize, &(&str, f64))| {
            let (first, later) = self.workload.bought[index];
            let tops = [("first", first), ("later", later)];
            let tops = if self.bought_all { &tops[..] } else { &tops[..1] };
            budget(name, tops, first / FLOOR_PART, false)
        };
        BUDGETS.iter().enumerate().map(record).collect()
    }

    fn write_budgets(&mut self) {
        for record in self.records() {
            let tops: Vec<(&str, u64)> =
                record.top_ups.iter().map(|(id, tokens)| (&**id, *tokens)).collect();
            self.fleet.set_budget(&record.name, &tops, record.urgent_floor, false);
        }
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Cut => {
                for other in ["y", "z", PLATFORM] {
                    self.fleet.partition("x", other);
                }
                self.announce();
            }
            Happening::Heal => {
                self.fleet.heal();
                self.announce();
                for record in self.records() {
                    self.fleet.announce_budget(&record);
                }
            }
            Happening::TopUp => {
                self.bought_all = true;
                self.truth.top_up(self.workload);
                self.write_budgets();
            }
            Happening::Death(host) => {
                let process = self.current[host];
                self.processes.push((host, self.fleet.hosts[process].id.clone()));
                self.fleet.kill(process);
                self.announce();
            }
            Happening::Replacement(host) => self.replace(host),
            Happening::Listing(host) => self.list(host),
            Happening::Arrival(index) => {
                let arrival = &self.workload.arrivals[index];
                let process = self.current[arrival.host];
                self.numbers.insert(id(index as u64), (index, process));
                let (budget, worst, class) =
                    (BUDGETS[arrival.budget].0, arrival.worst, arrival.class);
                if self.fleet.hosts[process].dead {
                    let neighbour = self.current[arrival.host ^ 1];
                    self.fleet.reserve(neighbour, index as u64, budget, worst, class);
                    return;
                }
                self.fleet.reserve(process, index as u64, budget, worst, class);
            }
            Happening::End(index) => {
                let arrival = &self.workload.arrivals[index];
                let (_, process) = self.numbers[&id(index as u64)];
                if !self.fleet.hosts[process].dead {
                    self.truth.settled(arrival);
                    self.fleet.settle(process, index as u64, arrival.used);
                }
            }
        }
    }

    /// Starts the next process of a host; its neighbours give it the records.
    fn replace(&mut self, host: usize) {
        self.incarnation += 1;
        let (name, zone) = HOSTS[host];
        self.current[host] = self.fleet.start(name, zone, self.incarnation);
        self.announce();
        for record in self.records() {
            self.fleet.handle(self.current[host], Event::Budget(record));
        }
    }

    /// Tells the others that a process is gone.
    fn list(&mut self, host: usize) {
        let dead: Vec<Arc<str>> = self
            .processes
            .iter()
            .filter(|(dead, _)| *dead == host)
            .map(|(_, process)| process.clone())
            .collect();
        for process in dead {
            for index in self.current {
                self.fleet.handle_recovery(index, recovery::Event::Gone(process.clone()));
                self.fleet.handle_recovery(index, recovery::Event::Dead(process.clone()));
            }
        }
    }

    fn answers(&mut self) {
        while self.seen < self.fleet.reserve_results.len() {
            let (at, process, request, answer) = self.fleet.reserve_results[self.seen];
            self.seen += 1;
            let entry = self.numbers.get_mut(&request).expect("a request of the workload");
            entry.1 = process;
            let index = entry.0;
            let arrival = &self.workload.arrivals[index];
            match answer {
                ReserveResult::Reserved => {
                    self.truth.dispatched(arrival);
                    self.agenda.insert((at + arrival.lasts, Happening::End(index)));
                }
                ReserveResult::Refused(_) => {
                    let reach = self.reach(process, arrival.budget);
                    self.truth.refused(arrival, reach);
                }
            }
        }
    }

    /// Returns the tokens of a budget that a host can reach: at itself, at the live hosts that it
    /// isn't cut off from, and in the table.
    fn reach(&self, from: usize, budget: usize) -> u64 {
        let (name, _) = BUDGETS[budget];
        let zone = &self.fleet.hosts[from].zone;
        let cut = |place: &str| self.fleet.partitions.contains(&(zone.clone(), Arc::from(place)));
        let held = self.fleet.hosts.iter().filter(|host| !host.dead && !cut(&host.zone));
        let held: u64 = held.map(|host| host.holder.available(name)).sum();
        if cut(PLATFORM) { held } else { held + self.remaining(budget) }
    }

    /// Returns the tokens of a budget that the table grants to whoever asks.
    fn remaining(&self, budget: usize) -> u64 {
        let (first, later) = self.workload.bought[budget];
        let bought = if self.bought_all { first + later } else { first };
        let key = escrow::escrow_key(BUDGETS[budget].0);
        let row = self.fleet.table.row(&key);
        let escrow = escrow::parse::<Escrow>(&row).ok().flatten().unwrap_or_default();
        escrow.remaining(bought)
    }
}
