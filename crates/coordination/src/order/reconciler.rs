//! Gives orders to back ends while it holds the lease.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{
    Action, DesiredState, Event, INTENT_PREFIX, ObservedState, Order, Outcome, Settings, Weights,
    lease::{Change, Lease},
    target::{Phase, Target},
};
use crate::{
    message::Holder,
    record::Model,
    table::{self, Check, Op, Revision, Row, Txn, Write},
};

/// Bits of a fencing number that count the orders of one holding.
const ORDER_BITS: u32 = 20;

/// Greatest number of orders of one holding.
const MAX_ORDERS: u64 = (1 << ORDER_BITS) - 1;

/// Value of an intent row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Intent {
    holder: Holder,
    fence: u64,
}

/// What a request to the table was for.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Purpose {
    Lease,
    Intent(Arc<str>),
}

/// Gives orders to the back ends of a fleet, while this host holds the lease.
#[derive(Debug)]
pub struct Reconciler {
    settings: Settings,
    lease: Lease,
    numbers: u64,
    orders: u64,
    tables: BTreeMap<u64, Purpose>,
    targets: BTreeMap<Arc<str>, Box<Target>>,
    timers: BTreeSet<(Duration, Arc<str>)>,
    loading: BTreeMap<Model, Arc<str>>,
    weights_after: Duration,
}

impl Reconciler {
    /// Opens an issuer that does not hold the lease.
    pub fn new(settings: Settings) -> Self {
        Self {
            lease: Lease::new(settings.clone()),
            settings,
            numbers: 0,
            orders: 0,
            tables: BTreeMap::new(),
            targets: BTreeMap::new(),
            timers: BTreeSet::new(),
            loading: BTreeMap::new(),
            weights_after: Duration::ZERO,
        }
    }

    /// Returns true while this host may give orders.
    pub fn holds(&self, now: Duration) -> bool {
        self.lease.epoch(now).is_some()
    }

    /// Returns the time at which [`Event::Tick`] is due.
    pub fn wake_at(&self) -> Option<Duration> {
        let timer = self.timers.first().map(|(at, _)| *at).filter(|_| self.lease.is_held());
        [timer, self.lease.wake_at()].into_iter().flatten().min()
    }

    /// Takes an event and pushes the actions that follow from it.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::SetDesired(desired) => self.set_desired(now, desired),
            Event::Forget(backend) => self.forget(&backend),
            Event::Table { number, outcome } => self.table(now, number, outcome, actions),
            Event::State { backend, number, state } => {
                self.state(now, &backend, number, state, actions);
            }
            Event::Weights { backend, number, weights } => {
                self.weights(now, &backend, number, weights, actions);
            }
            Event::Ordered { backend, fence, outcome } => {
                self.ordered(now, &backend, fence, outcome, actions);
            }
            Event::ReleaseLease => {
                if let Some(op) = self.lease.release(now) {
                    self.send(Purpose::Lease, op, actions);
                }
                self.stop();
            }
            Event::Tick => self.tick(now, actions),
        }
    }

    fn set_desired(&mut self, now: Duration, desired: DesiredState) {
        let backend = desired.backend.clone();
        match self.targets.get_mut(&backend) {
            Some(target) => target.desired = desired,
            None => {
                self.targets.insert(backend.clone(), Box::new(Target::new(desired, now)));
            }
        }
        if self.targets.get(&backend).is_some_and(|target| target.phase == Phase::Idle) {
            self.set(&backend, Phase::Idle, now);
        }
    }

    fn forget(&mut self, backend: &Arc<str>) {
        self.unlock(backend);
        if let Some(target) = self.targets.remove(backend) {
            self.timers.remove(&(target.due, backend.clone()));
        }
    }

    fn send(&mut self, purpose: Purpose, op: Op, actions: &mut Vec<Action>) {
        let number = self.number();
        self.tables.insert(number, purpose);
        actions.push(Action::Table { number, op });
    }

    fn number(&mut self) -> u64 {
        self.numbers += 1;
        self.numbers
    }

    /// Puts a back end into a phase that is looked at again at a time.
    fn set(&mut self, backend: &Arc<str>, phase: Phase, due: Duration) {
        let Some(target) = self.targets.get_mut(backend) else { return };
        self.timers.remove(&(target.due, backend.clone()));
        target.phase = phase;
        target.due = due;
        self.timers.insert((due, backend.clone()));
    }

    fn unlock(&mut self, backend: &Arc<str>) {
        self.loading.retain(|_, loader| loader != backend);
    }

    fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if let Some(op) = self.lease.tick(now) {
            self.send(Purpose::Lease, op, actions);
        }
        if !self.lease.is_held() {
            return;
        }
        while let Some((at, _)) = self.timers.first()
            && *at <= now
        {
            let Some((_, backend)) = self.timers.pop_first() else { return };
            self.due(now, &backend, actions);
        }
    }

    fn due(&mut self, now: Duration, backend: &Arc<str>, actions: &mut Vec<Action>) {
        let Some(target) = self.targets.get(backend) else { return };
        if !self.holds(now) {
            let later = now + self.settings.retry_delay;
            let phase = target.phase.clone();
            self.set(backend, phase, later);
            return;
        }
        match target.phase {
            Phase::Idle if target.intent.is_some() => self.clear(now, backend, actions),
            Phase::Settling => self.clear(now, backend, actions),
            Phase::Ordering { .. } => self.unknown(now, backend),
            Phase::Intent { .. } | Phase::Looking | Phase::Clearing => {
                self.look(now, backend, actions);
            }
            Phase::Idle | Phase::Reading { .. } | Phase::Weights { .. } => {
                self.read(now, backend, actions);
            }
        }
    }

    fn read(&mut self, now: Duration, backend: &Arc<str>, actions: &mut Vec<Action>) {
        self.unlock(backend);
        let number = self.number();
        self.set(backend, Phase::Reading { number }, now + self.settings.request_timeout);
        actions.push(Action::ReadState { backend: backend.clone(), number });
    }

    fn state(
        &mut self,
        now: Duration,
        backend: &Arc<str>,
        number: u64,
        state: Option<ObservedState>,
        actions: &mut Vec<Action>,
    ) {
        let Some(target) = self.targets.get(backend) else { return };
        if target.phase != (Phase::Reading { number }) {
            return;
        }
        let Some(state) = state else {
            self.set(backend, Phase::Idle, now + self.settings.retry_delay);
            return;
        };
        match target.next_order(&state) {
            None => self.set(backend, Phase::Idle, now + self.settings.check_interval),
            Some(Order::Load(model)) => self.ask_weights(now, backend, model, actions),
            Some(order) => self.prepare(now, backend, order, actions),
        }
    }

    /// Asks the weight store, unless its rate is used up or the model is being loaded elsewhere.
    fn ask_weights(
        &mut self,
        now: Duration,
        backend: &Arc<str>,
        model: Model,
        actions: &mut Vec<Action>,
    ) {
        let busy = self.loading.contains_key(&model) || now < self.weights_after;
        if busy {
            let later = self.weights_after.max(now + self.settings.retry_delay);
            self.set(backend, Phase::Idle, later);
            return;
        }
        self.loading.insert(model.clone(), backend.clone());
        let number = self.number();
        let phase = Phase::Weights { number, order: Order::Load(model.clone()) };
        self.set(backend, phase, now + self.settings.request_timeout);
        actions.push(Action::Weights { backend: backend.clone(), number, model });
    }

    fn weights(
        &mut self,
        now: Duration,
        backend: &Arc<str>,
        number: u64,
        weights: Weights,
        actions: &mut Vec<Action>,
    ) {
        let Some(target) = self.targets.get(backend) else { return };
        let Phase::Weights { number: asked, order } = &target.phase else { return };
        if *asked != number {
            return;
        }
        let order = order.clone();
        let later = match weights {
            Weights::Granted => return self.prepare(now, backend, order, actions),
            Weights::Busy { retry_after } => now + retry_after,
            Weights::Unavailable => now + self.settings.retry_delay,
        };
        self.weights_after = self.weights_after.max(later);
        self.unlock(backend);
        self.set(backend, Phase::Idle, later);
    }

    /// Numbers an order and sends it, after its intent where the back end ignores the number.
    fn prepare(
        &mut self,
        now: Duration,
        backend: &Arc<str>,
        order: Order,
        actions: &mut Vec<Action>,
    ) {
        let Some(target) = self.targets.get(backend) else { return };
        let fencing = target.desired.fencing;
        let Some(epoch) = self.lease.epoch(now) else {
            self.unlock(backend);
            self.set(backend, Phase::Idle, now + self.settings.retry_delay);
            return;
        };
        if self.orders >= MAX_ORDERS {
            self.lease.lapse();
            self.stop();
            return;
        }
        self.orders += 1;
        let fence = (epoch << ORDER_BITS) | self.orders;
        if fencing {
            self.order(now, backend, fence, order, actions);
            return;
        }
        let intent = Intent { holder: self.settings.holder.clone(), fence };
        let value = serde_json::to_string(&intent).unwrap_or_default();
        let op = write_intent(backend, 0, Some(Arc::from(value)));
        self.set(backend, Phase::Intent { fence, order }, now + self.settings.request_timeout);
        self.send(Purpose::Intent(backend.clone()), op, actions);
    }

    fn order(
        &mut self,
        now: Duration,
        backend: &Arc<str>,
        fence: u64,
        order: Order,
        actions: &mut Vec<Action>,
    ) {
        self.set(backend, Phase::Ordering { fence }, now + self.settings.request_timeout);
        actions.push(Action::Order { backend: backend.clone(), fence, order });
    }

    fn ordered(
        &mut self,
        now: Duration,
        backend: &Arc<str>,
        fence: u64,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(target) = self.targets.get(backend) else { return };
        if target.phase != (Phase::Ordering { fence }) {
            return;
        }
        if outcome == Outcome::Unknown {
            self.unknown(now, backend);
            return;
        }
        if outcome == Outcome::Fenced {
            self.lease.doubt(now);
        }
        self.unlock(backend);
        let due = if outcome == Outcome::Done { now } else { now + self.settings.retry_delay };
        match self.targets.get(backend).is_some_and(|target| target.intent.is_some()) {
            true => self.clear(now, backend, actions),
            false => self.set(backend, Phase::Idle, due),
        }
    }

    /// Takes an order without an answer. A back end that enforces fencing numbers refuses it once
    /// the next order has come; for another one it is waited out.
    fn unknown(&mut self, now: Duration, backend: &Arc<str>) {
        self.unlock(backend);
        let Some(target) = self.targets.get(backend) else { return };
        match target.desired.fencing && target.intent.is_none() {
            true => self.set(backend, Phase::Idle, now + self.settings.retry_delay),
            false => self.set(backend, Phase::Settling, now + self.settings.request_timeout),
        }
    }

    fn clear(&mut self, now: Duration, backend: &Arc<str>, actions: &mut Vec<Action>) {
        let Some(target) = self.targets.get(backend) else { return };
        let Some(revision) = target.intent else {
            self.read(now, backend, actions);
            return;
        };
        let op = write_intent(backend, revision, None);
        self.set(backend, Phase::Clearing, now + self.settings.request_timeout);
        self.send(Purpose::Intent(backend.clone()), op, actions);
    }

    /// Reads the intent row, after an answer about it was lost.
    fn look(&mut self, now: Duration, backend: &Arc<str>, actions: &mut Vec<Action>) {
        self.unlock(backend);
        self.set(backend, Phase::Looking, now + self.settings.request_timeout);
        let op = Op::Read(vec![intent_key(backend)]);
        self.send(Purpose::Intent(backend.clone()), op, actions);
    }

    fn table(
        &mut self,
        now: Duration,
        number: u64,
        outcome: table::Outcome,
        actions: &mut Vec<Action>,
    ) {
        match self.tables.remove(&number) {
            None => {}
            Some(Purpose::Lease) => self.lease_outcome(now, outcome),
            Some(Purpose::Intent(backend)) => self.intent(now, &backend, outcome, actions),
        }
    }

    fn lease_outcome(&mut self, now: Duration, outcome: table::Outcome) {
        match self.lease.outcome(now, outcome) {
            Change::None => {}
            Change::Lost => self.stop(),
            Change::Acquired => {
                self.stop();
                self.orders = 0;
                self.restart(now);
            }
        }
    }

    /// Forgets all that is under way; what was sent is the next holder's to wait out.
    fn stop(&mut self) {
        self.loading.clear();
        self.timers.clear();
        self.tables.retain(|_, purpose| *purpose == Purpose::Lease);
        for target in self.targets.values_mut() {
            target.phase = Phase::Idle;
            target.intent = None;
        }
    }

    /// Has every back end looked at.
    fn restart(&mut self, now: Duration) {
        let backends: Vec<Arc<str>> = self.targets.keys().cloned().collect();
        for backend in backends {
            self.set(&backend, Phase::Idle, now);
        }
    }

    fn intent(
        &mut self,
        now: Duration,
        backend: &Arc<str>,
        outcome: table::Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(target) = self.targets.get_mut(backend) else { return };
        match (target.phase.clone(), outcome) {
            (Phase::Intent { fence, order }, table::Outcome::Committed(revision)) => {
                target.intent = Some(revision);
                match self.holds(now) {
                    true => self.order(now, backend, fence, order, actions),
                    false => self.set(backend, Phase::Idle, now + self.settings.retry_delay),
                }
            }
            (Phase::Clearing, table::Outcome::Committed(_)) => {
                target.intent = None;
                self.set(backend, Phase::Idle, now);
            }
            (_, table::Outcome::Rows(rows) | table::Outcome::Conflict(rows)) => {
                self.intent_seen(now, backend, &rows);
            }
            (_, table::Outcome::Unavailable) => {
                self.unlock(backend);
                self.set(backend, Phase::Idle, now + self.settings.retry_delay);
            }
            _ => self.look(now, backend, actions),
        }
    }

    /// Takes an intent row as it stands. One that this host wrote in this holding had no order, or
    /// has one that ended; another one is waited out.
    fn intent_seen(&mut self, now: Duration, backend: &Arc<str>, rows: &[Row]) {
        self.unlock(backend);
        self.lease.doubt(now);
        let key = intent_key(backend);
        let row = rows.iter().find(|row| row.key == key);
        let found = row.and_then(|row| Some((row.revision, row.value.as_ref()?)));
        let Some(target) = self.targets.get_mut(backend) else { return };
        target.intent = found.map(|(revision, _)| revision);
        let own = found.is_none_or(|(_, value)| self.is_own(now, value));
        let wait = self.settings.max_process_pause + self.settings.request_timeout;
        match own {
            true => self.set(backend, Phase::Idle, now + self.settings.retry_delay),
            false => self.set(backend, Phase::Settling, now + wait),
        }
    }

    fn is_own(&self, now: Duration, value: &str) -> bool {
        let Ok(intent) = serde_json::from_str::<Intent>(value) else { return false };
        let epoch = self.lease.epoch(now);
        intent.holder == self.settings.holder && epoch == Some(intent.fence >> ORDER_BITS)
    }
}

fn intent_key(backend: &str) -> Arc<str> {
    Arc::from(format!("{INTENT_PREFIX}{backend}"))
}

/// Returns the transaction that writes an intent row which stands at a revision.
fn write_intent(backend: &str, revision: Revision, value: Option<Arc<str>>) -> Op {
    let key = intent_key(backend);
    let checks = vec![Check { key: key.clone(), revision }];
    Op::Commit(Txn { checks, writes: vec![Write { key, value }] })
}
