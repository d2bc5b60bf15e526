//! Tests of orders to back ends.

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

fn want(backend: &str, models: &[&str], role: &str, fencing: bool) -> DesiredState {
    let models = models.iter().map(|name| model(name)).collect();
    DesiredState { backend: Arc::from(backend), models, role: Some(Arc::from(role)), fencing }
}

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
                let fits = txn.checks.iter().all(|c| self.row(&c.key).revision == c.revision);
                if !fits {
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

#[derive(Debug, Default)]
struct Engine {
    fencing: bool,
    models: Vec<Model>,
    role: Arc<str>,
    seen: u64,
    /// Orders that took effect, in order: fencing number, and count of the orders sent before.
    effects: Vec<(u64, u64)>,
}

impl Engine {
    fn order(&mut self, fence: u64, sent: u64, order: &Order) -> Outcome {
        if self.fencing && fence < self.seen {
            return Outcome::Fenced;
        }
        self.seen = self.seen.max(fence);
        self.effects.push((fence, sent));
        match order {
            Order::Load(model) if !self.models.contains(model) => self.models.push(model.clone()),
            Order::Unload(model) => self.models.retain(|held| held != model),
            Order::Load(_) => {}
            Order::Role(role) => self.role = role.clone(),
        }
        Outcome::Done
    }
}

/// Chances of faults, in thousandths of the steps at which they could occur.
#[derive(Debug, Clone, Copy, Default)]
struct Faults {
    pause: u32,
    lose_answer: u32,
    late_order: u32,
    /// Orders that take ten seconds to take effect.
    slow_order: u32,
    outage: u32,
}

/// An order on its way.
#[derive(Debug)]
struct Flight {
    at: Duration,
    /// Host that gets the answer.
    host: Option<usize>,
    backend: Arc<str>,
    fence: u64,
    /// Orders that were sent before.
    sent: u64,
    order: Order,
}

/// Hosts that race for the lease, over one table and two engines.
struct Fleet {
    now: Duration,
    rng: StdRng,
    faults: Faults,
    table: Table,
    engines: BTreeMap<Arc<str>, Engine>,
    reconcilers: Vec<Reconciler>,
    paused: Vec<Duration>,
    inbox: Vec<VecDeque<Event>>,
    /// Actions that a host has decided on and not carried out.
    outbox: Vec<VecDeque<Action>>,
    flying: Vec<Flight>,
    weights_at: Duration,
    weights_refused: u32,
    loads: u32,
    /// Loads of a model that began while another load of it was under way.
    loads_at_once: u32,
    sent: u64,
}

impl Fleet {
    fn open(seed: u64, faults: Faults) -> Self {
        let engine = |fencing| Engine {
            fencing,
            models: vec![model("old")],
            role: Arc::from("mixed"),
            ..Engine::default()
        };
        let engines = [(Arc::from("fenced"), engine(true)), (Arc::from("open"), engine(false))];
        let reconcilers = (0..HOSTS).map(|n| Reconciler::new(Settings::new(format!("host-{n}.1"))));
        let mut fleet = Self {
            now: Duration::ZERO,
            rng: StdRng::seed_from_u64(seed),
            faults,
            table: Table::default(),
            engines: engines.into(),
            reconcilers: reconcilers.collect(),
            paused: vec![Duration::ZERO; HOSTS],
            inbox: vec![VecDeque::new(); HOSTS],
            outbox: vec![VecDeque::new(); HOSTS],
            flying: Vec::new(),
            weights_at: Duration::ZERO,
            weights_refused: 0,
            loads: 0,
            loads_at_once: 0,
            sent: 0,
        };
        fleet.want(&["old"]);
        fleet
    }

    fn want(&mut self, models: &[&str]) {
        self.want_as(models, "mixed");
    }

    fn want_as(&mut self, models: &[&str], role: &str) {
        for inbox in &mut self.inbox {
            inbox.push_back(Event::SetDesired(want("fenced", models, role, true)));
            inbox.push_back(Event::SetDesired(want("open", models, role, false)));
        }
    }

    fn chance(&mut self, milli: u32) -> bool {
        self.rng.random_range(0..1000) < milli
    }

    fn step(&mut self) {
        self.now += STEP;
        self.land();
        for host in 0..HOSTS {
            if self.now < self.paused[host] {
                continue;
            }
            while let Some(action) = self.outbox[host].pop_front() {
                self.carry_out(host, action);
            }
            self.inbox[host].push_back(Event::Tick);
            while let Some(event) = self.inbox[host].pop_front() {
                let mut actions = Vec::new();
                self.reconcilers[host].handle(self.now, event, &mut actions);
                self.outbox[host].extend(actions);
            }
            if self.chance(self.faults.pause) {
                let pause = Duration::from_millis(self.rng.random_range(0..59_000));
                self.paused[host] = self.now + pause;
            }
        }
    }

    fn carry_out(&mut self, host: usize, action: Action) {
        let event = match action {
            Action::Table { number, op } => {
                let outcome = self.ask_table(op);
                Event::Table { number, outcome }
            }
            Action::ReadState { backend, number } => {
                let engine = &self.engines[&backend];
                let (models, role) = (engine.models.clone(), engine.role.clone());
                let state = Some(ObservedState { models, role });
                Event::State { backend, number, state }
            }
            Action::Weights { backend, number, .. } => {
                let busy = self.now < self.weights_at;
                self.weights_refused += u32::from(busy);
                let retry_after = self.weights_at.saturating_sub(self.now);
                let weights = if busy { Weights::Busy { retry_after } } else { Weights::Granted };
                if !busy {
                    self.loads += 1;
                    self.weights_at = self.now + Duration::from_secs(5);
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

    fn ask_table(&mut self, op: Op) -> table::Outcome {
        if self.chance(self.faults.outage) {
            return table::Outcome::Unavailable;
        }
        let commit = matches!(op, Op::Commit(_));
        if commit && self.chance(self.faults.lose_answer) {
            if self.rng.random() {
                self.table.run(op);
            }
            return table::Outcome::Unknown;
        }
        self.table.run(op)
    }

    fn send(&mut self, host: usize, backend: Arc<str>, fence: u64, order: Order) {
        self.sent += 1;
        let (at, sent) = (self.now, self.sent);
        let load = matches!(order, Order::Load(_));
        self.loads_at_once += u32::from(load && self.flying.iter().any(|f| f.order == order));
        let mut flight = Flight { at, host: Some(host), backend, fence, sent, order };
        if self.chance(self.faults.slow_order) {
            flight.at += Duration::from_secs(10);
        }
        if self.chance(self.faults.late_order) {
            flight.at += Duration::from_millis(self.rng.random_range(0..29_000));
            flight.host = None;
            let (backend, outcome) = (flight.backend.clone(), Outcome::Unknown);
            self.inbox[host].push_back(Event::Ordered { backend, fence, outcome });
        }
        self.flying.push(flight);
    }

    /// Lets the orders arrive that are due.
    fn land(&mut self) {
        let flying = std::mem::take(&mut self.flying);
        for flight in flying {
            if flight.at > self.now {
                self.flying.push(flight);
                continue;
            }
            let Flight { host, backend, fence, sent, order, .. } = flight;
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
            assert!(sorted, "{name}: {backend} took effects {:?}", engine.effects);
        }
    }
}

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
        Case { name: "answers lost", faults: Faults { lose_answer: 200, ..none } },
        Case { name: "orders late", faults: Faults { late_order: 400, ..none } },
        Case { name: "outages", faults: Faults { outage: 300, ..none } },
        Case {
            name: "all",
            faults: Faults { pause: 40, lose_answer: 100, late_order: 300, outage: 100, ..none },
        },
    ];
    for case in cases {
        for seed in 0..20 {
            let mut fleet = Fleet::open(seed, case.faults);
            for round in 0..30 {
                let wants: [&[&str]; 3] = [&["new"], &["old"], &["new", "old"]];
                fleet.want_as(wants[round % 3], ["prefill", "decode"][round % 2]);
                fleet.run(Duration::from_secs(40));
            }
            fleet.check_order(case.name);
            fleet.faults = none;
            fleet.want_as(&["new"], "decode");
            fleet.run(Duration::from_secs(400));
            fleet.check_order(case.name);
            for (backend, engine) in &fleet.engines {
                assert_eq!(engine.models, [model("new")], "{}, {seed}: {backend}", case.name);
                assert_eq!(&*engine.role, "decode", "{}, {seed}: {backend}", case.name);
            }
        }
    }
}

#[test]
fn weight_store_is_asked_at_its_rate_and_once_for_a_model_at_a_time() {
    for slow_order in [0, 1000] {
        let mut fleet = Fleet::open(1, Faults { slow_order, ..Faults::default() });
        fleet.run(Duration::from_secs(20));
        fleet.want(&["new", "newer", "newest"]);
        fleet.run(Duration::from_secs(120));
        assert_eq!(fleet.loads, 6, "one load of each model for each back end");
        assert_eq!(fleet.loads_at_once, 0);
        let refused = fleet.weights_refused;
        assert!(refused < fleet.loads, "{refused} refusals: more than one between two loads");
    }
}

#[test]
fn row_that_cannot_be_read_is_left_alone() {
    let mut fleet = Fleet::open(1, Faults::default());
    let key: Arc<str> = Arc::from(LEASE_KEY);
    fleet.table.revision = 1;
    fleet.table.rows.insert(key.clone(), (Some(Arc::from("not json")), 1));
    fleet.run(Duration::from_secs(120));
    assert_eq!(fleet.table.row(&key).value.as_deref(), Some("not json"));
}

#[test]
fn released_lease_passes_on_at_once() {
    let mut fleet = Fleet::open(1, Faults::default());
    fleet.run(Duration::from_secs(20));
    let held = |fleet: &Fleet| fleet.reconcilers.iter().position(|i| i.holds(fleet.now));
    let holder = held(&fleet).expect("a holder");
    fleet.inbox[holder].push_back(Event::ReleaseLease);
    fleet.run(Duration::from_secs(6));
    let next = held(&fleet).expect("the next holder");
    assert_ne!(next, holder);
}
