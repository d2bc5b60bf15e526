//! Random histories compared with a naive exact ledger that sees every dispatch and settlement.

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
/// Without optimization only the first of them.
const LONG_CASES: u32 = if cfg!(debug_assertions) { 400 } else { 6_000 };
const WORKERS: u32 = 4;

#[derive(Debug, Clone)]
enum Step {
    Reserve { host: usize, tokens: u64, class: Class },
    Settle { request: usize, percent: u64 },
    Release { request: usize },
    Fault { host: usize, fault: Fault },
    Late,
    Cut { zone: usize, platform: bool },
    Heal,
    TopUp { tokens: u64 },
    Kill { host: usize },
    Freeze { host: usize },
    Thaw { host: usize },
    Declare { host: usize },
    Loss { percent: u8 },
    Run { millis: u64 },
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
        2 => Just(Step::Late),
        2 => (0..2usize, any::<bool>()).prop_map(|(zone, platform)| Step::Cut { zone, platform }),
        2 => Just(Step::Heal),
        1 => (1..2000u64).prop_map(|tokens| Step::TopUp { tokens }),
        1 => host.clone().prop_map(|host| Step::Kill { host }),
        1 => host.clone().prop_map(|host| Step::Freeze { host }),
        1 => host.clone().prop_map(|host| Step::Thaw { host }),
        1 => host.prop_map(|host| Step::Declare { host }),
        1 => (0..40u8).prop_map(|percent| Step::Loss { percent }),
        10 => prop_oneof![1..30u64, 100..1500u64, 4000..8000u64]
            .prop_map(|millis| Step::Run { millis }),
    ]
}

/// A request as the naive ledger sees it.
#[derive(Debug)]
struct Known {
    host: usize,
    tokens: u64,
    dispatched: bool,
    /// Tokens charged by a settlement that the holder took.
    settled: Option<u64>,
}

/// A fleet and the naive exact ledger beside it.
struct World {
    fleet: Fleet,
    prepaid: Vec<(String, u64)>,
    requests: Vec<Known>,
    seen: usize,
    /// Newest process of each host.
    current: Vec<usize>,
    incarnations: u64,
}

impl World {
    fn open() -> Self {
        let mut world = Self {
            fleet: Fleet::new(11, &HOSTS),
            prepaid: vec![("t0".into(), 2000)],
            requests: Vec::new(),
            seen: 0,
            current: (0..HOSTS.len()).collect(),
            incarnations: 1,
        };
        world.write_budget();
        world.fleet.run_for(Duration::from_secs(2));
        world
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
            Step::Late => self.fleet.table.deliver_delayed(),
            Step::Cut { zone, platform } => {
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
            Step::Declare { host } => self.declare(*host),
            Step::Loss { percent } => self.fleet.loss_rate = f64::from(*percent) / 100.0,
            Step::Run { millis } => self.fleet.run_for(Duration::from_millis(*millis)),
        }
        self.observe();
    }

    fn reserve(&mut self, host: usize, tokens: u64, class: Class) {
        let host = self.current[host];
        if self.fleet.hosts[host].frozen {
            return;
        }
        let request = self.requests.len() as u64;
        self.requests.push(Known { host, tokens, dispatched: false, settled: None });
        self.fleet.reserve(host, request, "p", tokens, class);
    }

    /// Settles a request that was dispatched at a process that runs.
    fn settle(&mut self, request: usize, percent: u64) {
        let Some(known) = self.requests.get_mut(request) else {
            return;
        };
        let host = &self.fleet.hosts[known.host];
        if !known.dispatched || known.settled.is_some() || host.dead || host.frozen {
            return;
        }
        let tokens = known.tokens * percent / 100;
        known.settled = Some(tokens);
        self.fleet.settle(known.host, request as u64, tokens);
    }

    fn release(&mut self, request: usize) {
        let Some(known) = self.requests.get_mut(request) else {
            return;
        };
        let host = &self.fleet.hosts[known.host];
        if known.settled.is_some() || host.dead || host.frozen {
            return;
        }
        known.settled = Some(0);
        let event = coordination::holder::Event::Release { request: id(request as u64) };
        self.fleet.handle(known.host, event);
    }

    /// Kills a process and starts the next one of its host; the others learn of it.
    fn kill(&mut self, host: usize) {
        let old = self.current[host];
        self.fleet.kill(old);
        self.incarnations += 1;
        let (name, zone) = HOSTS[host];
        self.current[host] = self.fleet.start(name, zone, self.incarnations);
        self.fleet.announce_peers();
        self.write_budget();
        let process = self.fleet.hosts[old].id.clone();
        for other in self.current.clone() {
            self.fleet.handle_recovery(other, recovery::Event::Gone(process.clone()));
            self.fleet.handle_recovery(other, recovery::Event::Dead(process.clone()));
        }
    }

    /// Takes a process for dead that may be alive.
    fn declare(&mut self, host: usize) {
        let process = self.fleet.hosts[self.current[host]].id.clone();
        let other = self.current[(host + 1) % HOSTS.len()];
        self.fleet.handle_recovery(other, recovery::Event::Dead(process));
    }

    /// Notes what was dispatched since the last look.
    fn observe(&mut self) {
        let numbers: BTreeMap<request::Id, usize> =
            (0..self.requests.len()).map(|number| (id(number as u64), number)).collect();
        for (_, host, request, answer) in &self.fleet.reserve_results[self.seen..] {
            let known = &mut self.requests[numbers[request]];
            if *answer == ReserveResult::Reserved && known.host == *host {
                known.dispatched = true;
            }
        }
        self.seen = self.fleet.reserve_results.len();
    }

    /// Tokens that were charged, or may yet be, by the naive ledger.
    fn committed(&self) -> u64 {
        let dispatched = self.requests.iter().filter(|known| known.dispatched);
        dispatched.map(|known| known.settled.unwrap_or(known.tokens)).sum()
    }

    /// Ends all faults and all work, and lets every process give back what it holds.
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
        self.observe();
        for request in 0..self.requests.len() {
            self.settle(request, 50);
        }
        self.fleet.run_for(Duration::from_secs(20));
        self.fleet.announce_peers();
        for host in self.current.clone() {
            self.fleet.handle(host, coordination::holder::Event::Drain);
        }
        self.fleet.run_for(Duration::from_secs(30));
        self.observe();
    }

    fn balance(&self) -> Balance {
        let mut reconciler = Reconciler::default();
        for row in self.fleet.table.rows() {
            reconciler.add(row);
        }
        reconciler.finish().remove("p").unwrap_or_default()
    }

    /// Returns how often and at how much each request was charged.
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

    /// Returns the tokens that a process's rows show as out of use.
    fn stranded(&self, holder: &str) -> u64 {
        let grant: Option<Grant> =
            escrow::parse(&self.fleet.table.row(&format!("grant/p/{holder}"))).expect("a grant");
        grant.map_or(0, |grant| grant.stranded)
    }

    /// Returns whether a process's row says that it is closed.
    fn closed(&self, holder: &str) -> bool {
        let row = self.fleet.table.row(&format!("holder/{holder}"));
        let registration: Option<Registration> = escrow::parse(&row).expect("a holder");
        registration.is_some_and(|row| row.state == State::Closed)
    }

    /// Returns the processes whose journals were lost, so that charges may be.
    fn lost(&self) -> BTreeSet<Arc<str>> {
        let lost = |id: &Arc<str>| {
            let row = self.fleet.table.row(&format!("holder/{id}"));
            let registration: Option<Registration> = escrow::parse(&row).expect("a holder");
            registration.is_none_or(|row| row.incomplete || row.state != State::Closed)
        };
        self.fleet.hosts.iter().map(|host| host.id.clone()).filter(lost).collect()
    }
}

fn check(steps: &[Step]) -> Result<(), TestCaseError> {
    let mut world = World::open();
    for step in steps {
        world.apply(step);
        let prepaid: u64 = world.prepaid.iter().map(|(_, tokens)| tokens).sum();
        prop_assert!(world.committed() <= prepaid, "overspent: {} of {prepaid}", world.committed());
    }
    world.finish();
    let balance = world.balance();
    prop_assert_eq!(&balance.disagreements, &Vec::new());
    let (charges, lost) = (world.charges(), world.lost());
    let mut unbilled = 0;
    for (number, known) in world.requests.iter().enumerate() {
        let charged = charges.get(&id(number as u64)).cloned().unwrap_or_default();
        let host = &world.fleet.hosts[known.host];
        if host.dead || host.fenced {
            prop_assert!(charged.len() <= 1, "{number} charged {charged:?}");
            let missing = known.dispatched && charged.is_empty() && known.settled != Some(0);
            let known_here = !host.dead && world.closed(&host.id);
            prop_assert!(!missing || !known_here, "{number} not charged by a process that lives");
            if missing && !lost.contains(&host.id) {
                prop_assert!(world.stranded(&host.id) > 0, "{number} not charged");
                unbilled += known.settled.unwrap_or(known.tokens);
            }
            continue;
        }
        let expected: Vec<u64> = match known.settled {
            Some(tokens) if known.dispatched && tokens > 0 => vec![tokens],
            _ => Vec::new(),
        };
        prop_assert_eq!(charged, expected, "request {}", number);
    }
    let unused = balance.escrow.stranded + balance.escrow.open();
    prop_assert!(unbilled <= unused, "{unbilled} unbilled, {unused} out of use");
    let alive = world.current.iter().map(|index| &world.fleet.hosts[*index]);
    for host in alive.filter(|host| !host.fenced || world.closed(&host.id)) {
        prop_assert!(host.drained, "{} isn't drained", host.id);
    }
    Ok(())
}

/// An answer lost on a change of the ensemble, followed by the loss of both its members.
#[test]
fn ensemble_is_replaced_after_a_lost_answer_and_the_drain_ends() {
    let reserve = |host, class| Step::Reserve { host, tokens: 1, class };
    let mut steps = vec![
        reserve(0, Class::Urgent),
        Step::Fault { host: 0, fault: Fault::AnswerLost },
        Step::Cut { zone: 0, platform: true },
        reserve(2, Class::Urgent),
        reserve(0, Class::Normal),
        Step::Run { millis: 1 },
        Step::Run { millis: 6 },
        Step::Freeze { host: 2 },
        Step::Declare { host: 1 },
        Step::Loss { percent: 4 },
        Step::Loss { percent: 0 },
    ];
    steps.extend(vec![reserve(0, Class::Urgent); 2]);
    steps.extend([Step::Run { millis: 100 }, Step::Run { millis: 100 }]);
    steps.extend(vec![reserve(0, Class::Urgent); 3]);
    steps.extend([Step::Heal, reserve(0, Class::Urgent), Step::Run { millis: 385 }]);
    steps.extend(vec![reserve(0, Class::Urgent); 3]);
    steps.extend([Step::Kill { host: 3 }, reserve(0, Class::Urgent)]);
    steps.extend([Step::Kill { host: 1 }, reserve(0, Class::Urgent)]);
    check(&steps).expect("no difference");
}

/// Compares random histories of up to `steps` steps with the naive ledger. Every worker draws all of
/// them and checks its part.
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
