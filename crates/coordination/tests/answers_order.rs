//! Tests of orders to backend servers.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use coordination::{
    order::{
        Action, DesiredState, Event, LEASE_KEY, ObservedState, Order, Outcome, Reconciler,
        Settings, Weights,
    },
    record::{Model, empty},
    table::{self, Op, Revision, Row},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const HOSTS: usize = 3;
const STEP: Duration = Duration::from_millis(500);

fn model(name: &str) -> Model {
    Model { name: Arc::from(name), adapter: empty(), version: empty() }
}

fn desired_state(backend: &str, models: &[&str], role: &str, fencing: bool) -> DesiredState {
    let models = models.iter().map(|name| model(name)).collect();
    DesiredState { backend: Arc::from(backend), models, role: Some(Arc::from(role)), fencing }
}

/// Simulated table of the platform.
#[derive(Debug, Default)]
struct Table {
    rows: BTreeMap<Arc<str>, (Option<Arc<str>>, Revision)>,
    revision: Revision,
}

impl Table {
    fn row(&self, key: &Arc<str>) -> Row {
        let (value, revision) = self.rows.get(key).cloned().unwrap_or_default();
        let revision = if value.is_some() { revision } else { 0 };
        Row { key: key.clone(), value, revision }
    }

    fn run(&mut self, op: Op) -> table::Outcome {
        match op {
            Op::Read(keys) => table::Outcome::Rows(keys.iter().map(|key| self.row(key)).collect()),
            Op::Scan { prefix, .. } => {
                let keys: Vec<_> =
                    self.rows.keys().filter(|k| k.starts_with(&*prefix)).cloned().collect();
                let rows = keys.iter().map(|key| self.row(key));
                table::Outcome::Rows(rows.filter(|row| row.value.is_some()).collect())
            }
            Op::Commit(txn) => {
                let matches = txn.checks.iter().all(|c| self.row(&c.key).revision == c.revision);
                if !matches {
                    let rows = txn.checks.iter().map(|check| self.row(&check.key));
                    return table::Outcome::Conflict(rows.collect());
                }
                self.revision += 1;
                for write in txn.writes {
                    self.rows.insert(write.key, (write.value, self.revision));
                }
                table::Outcome::Committed(self.revision)
            }
            Op::Changes { .. } => panic!("not used"),
        }
    }
}

/// Simulated backend server.
#[derive(Debug, Default)]
struct Engine {
    fencing: bool,
    models: Vec<Model>,
    role: Arc<str>,
    /// Greatest fencing number received.
    max_fence: u64,
    /// Fencing number and sequence number of each order that took effect, oldest first.
    effects: Vec<(u64, u64)>,
}

impl Engine {
    fn order(&mut self, fence: u64, sent: u64, order: &Order) -> Outcome {
        if self.fencing && fence < self.max_fence {
            return Outcome::Fenced;
        }
        self.max_fence = self.max_fence.max(fence);
        self.effects.push((fence, sent));
        match order {
            Order::Load(model) if !self.models.contains(model) => self.models.push(model.clone()),
            Order::Unload(model) => self.models.retain(|loaded| loaded != model),
            Order::Load(_) => {}
            Order::Role(role) => self.role = role.clone(),
        }
        Outcome::Done
    }
}

/// Probabilities of faults, in thousandths, each time that they can occur.
#[derive(Debug, Clone, Copy, Default)]
struct Faults {
    /// A host is suspended for up to 59 seconds.
    pause: u32,
    /// The answer to a commit is lost; the commit takes effect in half of the cases.
    lose_commit_answer: u32,
    /// An order arrives late, and its answer is lost.
    delay_order: u32,
    /// An order takes ten seconds to take effect.
    slow_order: u32,
    /// The table is unavailable for one request.
    outage: u32,
}

/// Order that has not arrived yet.
#[derive(Debug)]
struct InFlightOrder {
    arrives_at: Duration,
    /// Host that gets the answer; `None` if it is lost.
    host: Option<usize>,
    backend: Arc<str>,
    fence: u64,
    /// Sequence number of the order; the first order that was sent has 1.
    sent: u64,
    order: Order,
}

/// Hosts that compete for the lease, with one table and two backend servers.
struct Simulation {
    now: Duration,
    rng: StdRng,
    faults: Faults,
    table: Table,
    engines: BTreeMap<Arc<str>, Engine>,
    reconcilers: Vec<Reconciler>,
    /// Time until which each host is paused.
    paused_until: Vec<Duration>,
    inbox: Vec<VecDeque<Event>>,
    /// Actions that each host has requested and that are not carried out yet.
    outbox: Vec<VecDeque<Action>>,
    in_flight: Vec<InFlightOrder>,
    /// Time at which the weight store grants the next request.
    weights_available_at: Duration,
    weights_refused: u32,
    loads: u32,
    /// Number of loads of a model that started while another load of it was in flight.
    concurrent_loads: u32,
    /// Number of orders sent.
    sent: u64,
}

impl Simulation {
    fn new(seed: u64, faults: Faults) -> Self {
        let engine = |fencing| Engine {
            fencing,
            models: vec![model("old")],
            role: Arc::from("mixed"),
            ..Engine::default()
        };
        let engines = [(Arc::from("fenced"), engine(true)), (Arc::from("unfenced"), engine(false))];
        let reconcilers = (0..HOSTS).map(|n| Reconciler::new(Settings::new(format!("host-{n}.1"))));
        let mut simulation = Self {
            now: Duration::ZERO,
            rng: StdRng::seed_from_u64(seed),
            faults,
            table: Table::default(),
            engines: engines.into(),
            reconcilers: reconcilers.collect(),
            paused_until: vec![Duration::ZERO; HOSTS],
            inbox: vec![VecDeque::new(); HOSTS],
            outbox: vec![VecDeque::new(); HOSTS],
            in_flight: Vec::new(),
            weights_available_at: Duration::ZERO,
            weights_refused: 0,
            loads: 0,
            concurrent_loads: 0,
            sent: 0,
        };
        simulation.set_models(&["old"]);
        simulation
    }

    fn set_models(&mut self, models: &[&str]) {
        self.set_models_and_role(models, "mixed");
    }

    fn set_models_and_role(&mut self, models: &[&str], role: &str) {
        for inbox in &mut self.inbox {
            inbox.push_back(Event::SetDesired(desired_state("fenced", models, role, true)));
            inbox.push_back(Event::SetDesired(desired_state("unfenced", models, role, false)));
        }
    }

    fn draw_fault(&mut self, milli: u32) -> bool {
        self.rng.random_range(0..1000) < milli
    }

    fn step(&mut self) {
        self.now += STEP;
        self.deliver_orders();
        for host in 0..HOSTS {
            if self.now < self.paused_until[host] {
                continue;
            }
            while let Some(action) = self.outbox[host].pop_front() {
                self.apply(host, action);
            }
            self.inbox[host].push_back(Event::Tick);
            while let Some(event) = self.inbox[host].pop_front() {
                let mut actions = Vec::new();
                self.reconcilers[host].handle(self.now, event, &mut actions);
                self.outbox[host].extend(actions);
            }
            if self.draw_fault(self.faults.pause) {
                let pause = Duration::from_millis(self.rng.random_range(0..59_000));
                self.paused_until[host] = self.now + pause;
            }
        }
    }

    fn apply(&mut self, host: usize, action: Action) {
        let event = match action {
            Action::Table { number, op } => {
                let outcome = self.query_table(op);
                Event::Table { number, outcome }
            }
            Action::ReadState { backend, number } => {
                let engine = &self.engines[&backend];
                let (models, role) = (engine.models.clone(), engine.role.clone());
                let state = Some(ObservedState { models, role });
                Event::State { backend, number, state }
            }
            Action::Weights { backend, number, .. } => {
                let busy = self.now < self.weights_available_at;
                self.weights_refused += u32::from(busy);
                let retry_after = self.weights_available_at.saturating_sub(self.now);
                let weights = if busy { Weights::Busy { retry_after } } else { Weights::Granted };
                if !busy {
                    self.loads += 1;
                    self.weights_available_at = self.now + Duration::from_secs(5);
                }
                Event::Weights { backend, number, weights }
            }
            Action::Order { backend, fence, order } => {
                self.send(host, backend, fence, order);
                return;
            }
        };
        self.inbox[host].push_back(event);
    }

    fn query_table(&mut self, op: Op) -> table::Outcome {
        if self.draw_fault(self.faults.outage) {
            return table::Outcome::Unavailable;
        }
        let commit = matches!(op, Op::Commit(_));
        if commit && self.draw_fault(self.faults.lose_commit_answer) {
            if self.rng.random() {
                self.table.run(op);
            }
            return table::Outcome::Unknown;
        }
        self.table.run(op)
    }

    fn send(&mut self, host: usize, backend: Arc<str>, fence: u64, order: Order) {
        self.sent += 1;
        let (arrives_at, sent) = (self.now, self.sent);
        let load = matches!(order, Order::Load(_));
        self.concurrent_loads += u32::from(load && self.in_flight.iter().any(|f| f.order == order));
        let mut order_in_flight =
            InFlightOrder { arrives_at, host: Some(host), backend, fence, sent, order };
        if self.draw_fault(self.faults.slow_order) {
            order_in_flight.arrives_at += Duration::from_secs(10);
        }
        if self.draw_fault(self.faults.delay_order) {
            order_in_flight.arrives_at += Duration::from_millis(self.rng.random_range(0..29_000));
            order_in_flight.host = None;
            let (backend, outcome) = (order_in_flight.backend.clone(), Outcome::Unknown);
            self.inbox[host].push_back(Event::Ordered { backend, fence, outcome });
        }
        self.in_flight.push(order_in_flight);
    }

    /// Delivers the orders that are due.
    fn deliver_orders(&mut self) {
        let in_flight = std::mem::take(&mut self.in_flight);
        for order_in_flight in in_flight {
            if order_in_flight.arrives_at > self.now {
                self.in_flight.push(order_in_flight);
                continue;
            }
            let InFlightOrder { host, backend, fence, sent, order, .. } = order_in_flight;
            let engine = self.engines.get_mut(&backend).expect("a known engine");
            let outcome = engine.order(fence, sent, &order);
            if let Some(host) = host {
                self.inbox[host].push_back(Event::Ordered { backend, fence, outcome });
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
            let holders =
                self.reconcilers.iter().filter(|reconciler| reconciler.holds(self.now)).count();
            assert!(holders <= 1, "{holders} holders at {:?}", self.now);
        }
    }

    fn check_order(&self, name: &str) {
        for (backend, engine) in &self.engines {
            let sorted = engine.effects.is_sorted();
            assert!(sorted, "{name}: orders took effect at {backend} as {:?}", engine.effects);
        }
    }
}

/// A paused host may send an order after another host has taken over the lease, and a delayed order
/// may arrive after later ones. Neither may take effect then.
#[test]
fn no_order_takes_effect_after_a_newer_one() {
    struct Case {
        name: &'static str,
        faults: Faults,
    }
    let none = Faults::default();
    let cases = [
        Case { name: "no fault", faults: none },
        Case { name: "pauses", faults: Faults { pause: 40, ..none } },
        Case {
            name: "answers to commits lost",
            faults: Faults { lose_commit_answer: 200, ..none },
        },
        Case { name: "orders delayed", faults: Faults { delay_order: 400, ..none } },
        Case { name: "outages", faults: Faults { outage: 300, ..none } },
        Case {
            name: "all",
            faults: Faults {
                pause: 40,
                lose_commit_answer: 100,
                delay_order: 300,
                outage: 100,
                ..none
            },
        },
    ];
    for case in cases {
        for seed in 0..20 {
            let mut simulation = Simulation::new(seed, case.faults);
            for round in 0..30 {
                let models: [&[&str]; 3] = [&["new"], &["old"], &["new", "old"]];
                simulation.set_models_and_role(models[round % 3], ["prefill", "decode"][round % 2]);
                simulation.run(Duration::from_secs(40));
            }
            simulation.check_order(case.name);
            simulation.faults = none;
            simulation.set_models_and_role(&["new"], "decode");
            simulation.run(Duration::from_secs(400));
            simulation.check_order(case.name);
            for (backend, engine) in &simulation.engines {
                assert_eq!(engine.models, [model("new")], "{}, {seed}: {backend}", case.name);
                assert_eq!(&*engine.role, "decode", "{}, {seed}: {backend}", case.name);
            }
        }
    }
}

#[test]
fn model_loads_respect_the_weight_store_rate_limit_and_are_never_concurrent() {
    for slow_order in [0, 1000] {
        let mut simulation = Simulation::new(1, Faults { slow_order, ..Faults::default() });
        simulation.run(Duration::from_secs(20));
        simulation.set_models(&["new", "newer", "newest"]);
        simulation.run(Duration::from_secs(120));
        assert_eq!(simulation.loads, 6, "one load of each model for each backend server");
        assert_eq!(simulation.concurrent_loads, 0);
        let refused = simulation.weights_refused;
        assert!(refused < simulation.loads, "{refused} refusals: more than one between two loads");
    }
}

/// Another program may have written the row; overwriting it would destroy its data.
#[test]
fn lease_row_that_cannot_be_parsed_is_left_unchanged() {
    let mut simulation = Simulation::new(1, Faults::default());
    let key: Arc<str> = Arc::from(LEASE_KEY);
    simulation.table.revision = 1;
    simulation.table.rows.insert(key.clone(), (Some(Arc::from("not json")), 1));
    simulation.run(Duration::from_secs(120));
    assert_eq!(simulation.table.row(&key).value.as_deref(), Some("not json"));
}

#[test]
fn released_lease_is_taken_over_before_it_would_lapse() {
    let mut simulation = Simulation::new(1, Faults::default());
    simulation.run(Duration::from_secs(20));
    let find_holder = |simulation: &Simulation| {
        simulation.reconcilers.iter().position(|reconciler| reconciler.holds(simulation.now))
    };
    let holder = find_holder(&simulation).expect("a holder");
    simulation.inbox[holder].push_back(Event::ReleaseLease);
    simulation.run(Duration::from_secs(6));
    let next = find_holder(&simulation).expect("the next holder");
    assert_ne!(next, holder);
}
