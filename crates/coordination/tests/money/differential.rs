//! Compares random histories of a fleet with a naive exact ledger that sees every dispatch and
//! settlement.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use coordination::{
    escrow::{self, Grant, Registration, State},
    ledger::{Balance, Reconciler, Segment},
    recovery,
    request::{self, Class},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner},
};

use crate::{
    fleet::{Fleet, PLATFORM, ReserveResult, id},
    table::Fault,
};

const HOSTS: [(&str, &str); 4] = [("a", "x"), ("b", "x"), ("c", "y"), ("d", "y")];
const CASES: u32 = 400;
/// Unoptimised builds are slower and check only the first of them.
const LONG_CASES: u32 = if cfg!(debug_assertions) { 400 } else { 6_000 };
/// Threads that share the cases.
const WORKERS: u32 = 4;

/// Step of a history. Hosts are indexes into [`HOSTS`]; requests are counted from 0.
#[derive(Debug, Clone)]
enum Step {
    Reserve { host: usize, tokens: u64, class: Class },
    Settle { request: usize, percent: u64 },
    Release { request: usize },
    Fault { host: usize, fault: Fault },
    DeliverDelayed,
    Partition { zone: usize, platform: bool },
    Heal,
    TopUp { tokens: u64 },
    Kill { host: usize },
    Freeze { host: usize },
    Thaw { host: usize },
    DeclareDead { host: usize },
    SetLossRate { percent: u8 },
    Advance { millis: u64 },
}

fn class() -> impl Strategy<Value = Class> {
    prop_oneof![Just(Class::Urgent), Just(Class::Normal), Just(Class::Long)]
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::Refused),
        Just(Fault::AnswerLost),
        Just(Fault::RequestLost),
        Just(Fault::Delayed)
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let host = 0..HOSTS.len();
    prop_oneof![
        12 => (host.clone(), 1..400u64, class())
            .prop_map(|(host, tokens, class)| Step::Reserve { host, tokens, class }),
        8 => (0..64usize, 0..=100u64)
            .prop_map(|(request, percent)| Step::Settle { request, percent }),
        2 => (0..64usize).prop_map(|request| Step::Release { request }),
        3 => (host.clone(), fault()).prop_map(|(host, fault)| Step::Fault { host, fault }),
        2 => Just(Step::DeliverDelayed),
        2 => (0..2usize, any::<bool>())
            .prop_map(|(zone, platform)| Step::Partition { zone, platform }),
        2 => Just(Step::Heal),
        1 => (1..2000u64).prop_map(|tokens| Step::TopUp { tokens }),
        1 => host.clone().prop_map(|host| Step::Kill { host }),
        1 => host.clone().prop_map(|host| Step::Freeze { host }),
        1 => host.clone().prop_map(|host| Step::Thaw { host }),
        1 => host.prop_map(|host| Step::DeclareDead { host }),
        1 => (0..40u8).prop_map(|percent| Step::SetLossRate { percent }),
        10 => prop_oneof![1..30u64, 100..1500u64, 4000..8000u64]
            .prop_map(|millis| Step::Advance { millis }),
    ]
}

/// Request in the naive ledger.
#[derive(Debug)]
struct Request {
    /// Index of the process that was asked for the reservation.
    host: usize,
    /// Tokens to reserve.
    tokens: u64,
    dispatched: bool,
    /// Tokens that the holder was told to charge; 0 if the request was released.
    settled: Option<u64>,
}

/// A fleet and the naive exact ledger that it is compared with.
struct Simulation {
    fleet: Fleet,
    /// Ids and tokens of the top-ups.
    prepaid: Vec<(String, u64)>,
    requests: Vec<Request>,
    /// Number of the fleet's results that the naive ledger has recorded.
    recorded_results: usize,
    /// Index of the newest process of each host.
    current: Vec<usize>,
    /// Incarnation of the process that was started last.
    last_incarnation: u64,
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self {
            fleet: Fleet::new(11, &HOSTS),
            prepaid: vec![("t0".into(), 2000)],
            requests: Vec::new(),
            recorded_results: 0,
            current: (0..HOSTS.len()).collect(),
            last_incarnation: 1,
        };
        simulation.write_budget();
        simulation.fleet.run_for(Duration::from_secs(2));
        simulation
    }

    fn write_budget(&mut self) {
        let top_ups: Vec<(&str, u64)> =
            self.prepaid.iter().map(|(id, tokens)| (id.as_str(), *tokens)).collect();
        self.fleet.set_budget("p", &top_ups, 50, false);
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Reserve { host, tokens, class } => self.reserve(*host, *tokens, *class),
            Step::Settle { request, percent } => self.settle(*request, *percent),
            Step::Release { request } => self.release(*request),
            Step::Fault { host, fault } => {
                self.fleet.faults.entry(self.current[*host]).or_default().push(Some(*fault));
            }
            Step::DeliverDelayed => self.fleet.table.deliver_delayed(),
            Step::Partition { zone, platform } => {
                let zone = ["x", "y"][*zone];
                self.fleet.partition(zone, if *platform { PLATFORM } else { "x" });
                if !platform {
                    self.fleet.partition("x", "y");
                }
                self.fleet.announce_peers();
            }
            Step::Heal => {
                self.fleet.heal();
                self.write_budget();
            }
            Step::TopUp { tokens } => {
                let id = format!("t{}", self.prepaid.len());
                self.prepaid.push((id, *tokens));
                self.write_budget();
            }
            Step::Kill { host } => self.kill(*host),
            Step::Freeze { host } => {
                self.fleet.hosts[self.current[*host]].frozen = true;
                self.fleet.announce_peers();
            }
            Step::Thaw { host } => {
                self.fleet.thaw(self.current[*host]);
                self.fleet.announce_peers();
            }
            Step::DeclareDead { host } => self.declare_dead(*host),
            Step::SetLossRate { percent } => self.fleet.loss_rate = f64::from(*percent) / 100.0,
            Step::Advance { millis } => self.fleet.run_for(Duration::from_millis(*millis)),
        }
        self.record_dispatches();
    }

    fn reserve(&mut self, host: usize, tokens: u64, class: Class) {
        let host = self.current[host];
        if self.fleet.hosts[host].frozen {
            return;
        }
        let request = self.requests.len() as u64;
        self.requests.push(Request { host, tokens, dispatched: false, settled: None });
        self.fleet.reserve(host, request, "p", tokens, class);
    }

    /// Settles a dispatched request at this share of its reservation, unless its process is dead or
    /// frozen.
    fn settle(&mut self, request: usize, percent: u64) {
        let Some(tracked) = self.requests.get_mut(request) else {
            return;
        };
        let host = &self.fleet.hosts[tracked.host];
        if !tracked.dispatched || tracked.settled.is_some() || host.dead || host.frozen {
            return;
        }
        let tokens = tracked.tokens * percent / 100;
        tracked.settled = Some(tokens);
        self.fleet.settle(tracked.host, request as u64, tokens);
    }

    /// Releases a request, dispatched or not, unless its process is dead or frozen.
    fn release(&mut self, request: usize) {
        let Some(tracked) = self.requests.get_mut(request) else {
            return;
        };
        let host = &self.fleet.hosts[tracked.host];
        if tracked.settled.is_some() || host.dead || host.frozen {
            return;
        }
        tracked.settled = Some(0);
        let event = coordination::holder::Event::Release { request: id(request as u64) };
        self.fleet.handle(tracked.host, event);
    }

    /// Kills a process and starts the next one of its host; all processes learn that it is gone.
    fn kill(&mut self, host: usize) {
        let old = self.current[host];
        self.fleet.kill(old);
        self.last_incarnation += 1;
        let (name, zone) = HOSTS[host];
        self.current[host] = self.fleet.start(name, zone, self.last_incarnation);
        self.fleet.announce_peers();
        self.write_budget();
        let process = self.fleet.hosts[old].id.clone();
        for other in self.current.clone() {
            self.fleet.handle_recovery(other, recovery::Event::Gone(process.clone()));
            self.fleet.handle_recovery(other, recovery::Event::Dead(process.clone()));
        }
    }

    /// Lets another host recover a process that may still be alive.
    fn declare_dead(&mut self, host: usize) {
        let process = self.fleet.hosts[self.current[host]].id.clone();
        let other = self.current[(host + 1) % HOSTS.len()];
        self.fleet.handle_recovery(other, recovery::Event::Dead(process));
    }

    /// Marks the requests that were dispatched since the last call.
    fn record_dispatches(&mut self) {
        let numbers: BTreeMap<request::Id, usize> =
            (0..self.requests.len()).map(|number| (id(number as u64), number)).collect();
        for (_, host, request, result) in &self.fleet.reserve_results[self.recorded_results..] {
            let tracked = &mut self.requests[numbers[request]];
            if *result == ReserveResult::Reserved && tracked.host == *host {
                tracked.dispatched = true;
            }
        }
        self.recorded_results = self.fleet.reserve_results.len();
    }

    /// Returns the tokens that were or may yet be charged according to the naive ledger.
    fn committed(&self) -> u64 {
        let dispatched = self.requests.iter().filter(|tracked| tracked.dispatched);
        dispatched.map(|tracked| tracked.settled.unwrap_or(tracked.tokens)).sum()
    }

    /// Ends all faults and requests, and drains every process so that it returns its tokens.
    fn finish(&mut self) {
        self.fleet.loss_rate = 0.0;
        self.fleet.faults.clear();
        self.fleet.table.deliver_delayed();
        self.fleet.heal();
        for host in 0..HOSTS.len() {
            self.fleet.thaw(self.current[host]);
        }
        self.fleet.announce_peers();
        self.write_budget();
        self.fleet.run_for(Duration::from_secs(20));
        self.record_dispatches();
        for request in 0..self.requests.len() {
            self.settle(request, 50);
        }
        self.fleet.run_for(Duration::from_secs(20));
        self.fleet.announce_peers();
        for host in self.current.clone() {
            self.fleet.handle(host, coordination::holder::Event::Drain);
        }
        self.fleet.run_for(Duration::from_secs(30));
        self.record_dispatches();
    }

    fn balance(&self) -> Balance {
        let mut reconciler = Reconciler::default();
        for row in self.fleet.table.rows() {
            reconciler.add(row);
        }
        reconciler.finish().remove("p").unwrap_or_default()
    }

    /// Returns the charges in segments, in tokens, by request.
    fn charges(&self) -> BTreeMap<request::Id, Vec<u64>> {
        let mut charges: BTreeMap<request::Id, Vec<u64>> = BTreeMap::new();
        for row in self.fleet.table.rows().filter(|row| row.key.starts_with("ledger/")) {
            let segment: Segment = escrow::parse(row).expect("a segment").unwrap_or_default();
            for charge in segment.charges {
                charges.entry(charge.request).or_default().push(charge.tokens);
            }
        }
        charges
    }

    /// Returns the stranded tokens in a process's grant row.
    fn stranded(&self, holder: &str) -> u64 {
        let grant: Option<Grant> =
            escrow::parse(&self.fleet.table.row(&format!("grant/p/{holder}"))).expect("a grant");
        grant.map_or(0, |grant| grant.stranded)
    }

    /// Returns whether a process's row says that it is closed.
    fn is_closed(&self, holder: &str) -> bool {
        let row = self.fleet.table.row(&format!("holder/{holder}"));
        let registration: Option<Registration> = escrow::parse(&row).expect("a holder");
        registration.is_some_and(|row| row.state == State::Closed)
    }

    /// Returns the processes whose charges may be missing, because they are not closed or were
    /// closed without all copies of their journals.
    fn incomplete(&self) -> BTreeSet<Arc<str>> {
        let is_incomplete = |id: &Arc<str>| {
            let row = self.fleet.table.row(&format!("holder/{id}"));
            let registration: Option<Registration> = escrow::parse(&row).expect("a holder");
            registration.is_none_or(|row| row.incomplete || row.state != State::Closed)
        };
        self.fleet.hosts.iter().map(|host| host.id.clone()).filter(is_incomplete).collect()
    }
}

/// Runs a history and checks that it never overspends, that each request is charged once at the
/// right amount, that missing charges of dead or fenced holders are covered by unused tokens, and
/// that the drain of the other holders ends.
fn check(steps: &[Step]) -> Result<(), TestCaseError> {
    let mut simulation = Simulation::new();
    for step in steps {
        simulation.apply(step);
        let prepaid: u64 = simulation.prepaid.iter().map(|(_, tokens)| tokens).sum();
        prop_assert!(
            simulation.committed() <= prepaid,
            "overspent: {} of {prepaid}",
            simulation.committed()
        );
    }
    simulation.finish();
    let balance = simulation.balance();
    prop_assert_eq!(&balance.disagreements, &Vec::new());
    let (charges, incomplete) = (simulation.charges(), simulation.incomplete());
    let mut unbilled = 0;
    for (number, tracked) in simulation.requests.iter().enumerate() {
        let charged = charges.get(&id(number as u64)).cloned().unwrap_or_default();
        let host = &simulation.fleet.hosts[tracked.host];
        if host.dead || host.fenced {
            prop_assert!(charged.len() <= 1, "{number} charged {charged:?}");
            let missing = tracked.dispatched && charged.is_empty() && tracked.settled != Some(0);
            let closed_alive = !host.dead && simulation.is_closed(&host.id);
            prop_assert!(!missing || !closed_alive, "{number} not charged by a process that lives");
            if missing && !incomplete.contains(&host.id) {
                prop_assert!(simulation.stranded(&host.id) > 0, "{number} not charged");
                unbilled += tracked.settled.unwrap_or(tracked.tokens);
            }
            continue;
        }
        let expected: Vec<u64> = match tracked.settled {
            Some(tokens) if tracked.dispatched && tokens > 0 => vec![tokens],
            _ => Vec::new(),
        };
        prop_assert_eq!(charged, expected, "request {}", number);
    }
    let unused = balance.escrow.stranded + balance.escrow.open();
    prop_assert!(unbilled <= unused, "{unbilled} unbilled, {unused} out of use");
    let alive = simulation.current.iter().map(|index| &simulation.fleet.hosts[*index]);
    for host in alive.filter(|host| !host.fenced || simulation.is_closed(&host.id)) {
        prop_assert!(host.drained, "{} isn't drained", host.id);
    }
    Ok(())
}

/// Guards against a holder whose drain never ends: the answer to a change of its ensemble is lost,
/// and then both members of the ensemble die.
#[test]
fn ensemble_is_replaced_after_a_lost_answer_and_the_drain_ends() {
    let reserve = |host, class| Step::Reserve { host, tokens: 1, class };
    let mut steps = vec![
        reserve(0, Class::Urgent),
        Step::Fault { host: 0, fault: Fault::AnswerLost },
        Step::Partition { zone: 0, platform: true },
        reserve(2, Class::Urgent),
        reserve(0, Class::Normal),
        Step::Advance { millis: 1 },
        Step::Advance { millis: 6 },
        Step::Freeze { host: 2 },
        Step::DeclareDead { host: 1 },
        Step::SetLossRate { percent: 4 },
        Step::SetLossRate { percent: 0 },
    ];
    steps.extend(vec![reserve(0, Class::Urgent); 2]);
    steps.extend([Step::Advance { millis: 100 }, Step::Advance { millis: 100 }]);
    steps.extend(vec![reserve(0, Class::Urgent); 3]);
    steps.extend([Step::Heal, reserve(0, Class::Urgent), Step::Advance { millis: 385 }]);
    steps.extend(vec![reserve(0, Class::Urgent); 3]);
    steps.extend([Step::Kill { host: 3 }, reserve(0, Class::Urgent)]);
    steps.extend([Step::Kill { host: 1 }, reserve(0, Class::Urgent)]);
    check(&steps).expect("no difference");
}

/// Compares random histories of fewer than `steps` steps with the naive ledger. Every worker
/// generates all of them, so that the histories don't depend on the number of workers, and checks
/// its part.
fn compare(cases: u32, steps: usize) {
    std::thread::scope(|scope| {
        for worker in 0..WORKERS {
            scope.spawn(move || compare_part(cases, steps, worker));
        }
    });
}

fn compare_part(cases: u32, steps: usize, worker: u32) {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, random);
    let histories = prop::collection::vec(step(), 1..steps);
    for case in 0..cases {
        let history = histories.new_tree(&mut runner).expect("a history");
        if case % WORKERS == worker {
            runner.run_one(history, |steps| check(&steps)).expect("no counterexample");
        }
    }
}

#[test]
fn random_histories_agree_with_a_naive_ledger() {
    compare(CASES, 60);
}

#[test]
fn long_random_histories_agree_with_a_naive_ledger() {
    compare(LONG_CASES, 120);
}
