//! Sends orders to backend servers while this host holds the lease.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{
    Action, DesiredState, Event, INTENT_PREFIX, ObservedState, Order, Outcome, Settings, Weights,
    lease::{Lease, LeaseChange},
    target::{Phase, Target},
};
use crate::{
    message::Holder,
    record::Model,
    table::{self, Check, Op, Revision, Row, Txn, Write},
};

/// Low bits of a fencing number that count the orders of one lease term.
const ORDER_BITS: u32 = 20;

/// Maximum number of orders in one lease term.
const MAX_ORDERS_PER_TERM: u64 = (1 << ORDER_BITS) - 1;

/// Value of an intent row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Intent {
    holder: Holder,
    fence: u64,
}

/// Purpose of a request to the table.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Purpose {
    Lease,
    Intent(Arc<str>),
}

/// Sends orders to the backend servers of a fleet while this host holds the lease.
#[derive(Debug)]
pub struct Reconciler {
    settings: Settings,
    lease: Lease,
    last_number: u64,
    order_count: u64,
    table_requests: BTreeMap<u64, Purpose>,
    targets: BTreeMap<Arc<str>, Box<Target>>,
    timers: BTreeSet<(Duration, Arc<str>)>,
    loading_models: BTreeMap<Model, Arc<str>>,
    weights_retry_at: Duration,
}

impl Reconciler {
    /// Creates a reconciler that does not hold the lease.
    pub fn new(settings: Settings) -> Self {
        Self {
            lease: Lease::new(settings.clone()),
            settings,
            last_number: 0,
            order_count: 0,
            table_requests: BTreeMap::new(),
            targets: BTreeMap::new(),
            timers: BTreeSet::new(),
            loading_models: BTreeMap::new(),
            weights_retry_at: Duration::ZERO,
        }
    }

    /// Returns whether this host may send orders.
    pub fn holds(&self, now: Duration) -> bool {
        self.lease.epoch(now).is_some()
    }

    /// Returns the time at which [`Event::Tick`] is due.
    pub fn wake_at(&self) -> Option<Duration> {
        let timer = self.timers.first().map(|(at, _)| *at).filter(|_| self.lease.is_held());
        [timer, self.lease.wake_at()].into_iter().flatten().min()
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::SetDesired(desired) => self.set_desired(now, desired),
            Event::Forget(backend) => self.remove_target(&backend),
            Event::Table { number, outcome } => self.handle_table(now, number, outcome, actions),
            Event::State { backend, number, state } => {
                self.handle_state(now, &backend, number, state, actions);
            }
            Event::Weights { backend, number, weights } => {
                self.handle_weights(now, &backend, number, weights, actions);
            }
            Event::Ordered { backend, fence, outcome } => {
                self.handle_order_outcome(now, &backend, fence, outcome, actions);
            }
            Event::ReleaseLease => {
                if let Some(op) = self.lease.release(now) {
                    self.send_to_table(Purpose::Lease, op, actions);
                }
                self.reset();
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
            self.enter(&backend, Phase::Idle, now);
        }
    }

    fn remove_target(&mut self, backend: &Arc<str>) {
        self.end_loading(backend);
        if let Some(target) = self.targets.remove(backend) {
            self.timers.remove(&(target.due_at, backend.clone()));
        }
    }

    fn send_to_table(&mut self, purpose: Purpose, op: Op, actions: &mut Vec<Action>) {
        let number = self.next_number();
        self.table_requests.insert(number, purpose);
        actions.push(Action::Table { number, op });
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Sets the phase of a backend server and the time at which it is checked again.
    fn enter(&mut self, backend: &Arc<str>, phase: Phase, due_at: Duration) {
        let Some(target) = self.targets.get_mut(backend) else { return };
        self.timers.remove(&(target.due_at, backend.clone()));
        target.phase = phase;
        target.due_at = due_at;
        self.timers.insert((due_at, backend.clone()));
    }

    fn end_loading(&mut self, backend: &Arc<str>) {
        self.loading_models.retain(|_, loader| loader != backend);
    }

    fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if let Some(op) = self.lease.tick(now) {
            self.send_to_table(Purpose::Lease, op, actions);
        }
        if !self.lease.is_held() {
            return;
        }
        while let Some((at, _)) = self.timers.first()
            && *at <= now
        {
            let Some((_, backend)) = self.timers.pop_first() else { return };
            self.handle_due(now, &backend, actions);
        }
    }

    fn handle_due(&mut self, now: Duration, backend: &Arc<str>, actions: &mut Vec<Action>) {
        let Some(target) = self.targets.get(backend) else { return };
        if !self.holds(now) {
            let later = now + self.settings.retry_delay;
            let phase = target.phase.clone();
            self.enter(backend, phase, later);
            return;
        }
        match target.phase {
            Phase::Idle if target.intent.is_some() => self.clear_intent(now, backend, actions),
            Phase::WaitingOut => self.clear_intent(now, backend, actions),
            Phase::AwaitingOutcome { .. } => self.wait_for_unknown(now, backend),
            Phase::WritingIntent { .. } | Phase::ReadingIntent | Phase::ClearingIntent => {
                self.read_intent(now, backend, actions);
            }
            Phase::Idle | Phase::ReadingState { .. } | Phase::RequestingWeights { .. } => {
                self.read_state(now, backend, actions);
            }
        }
    }

    fn read_state(&mut self, now: Duration, backend: &Arc<str>, actions: &mut Vec<Action>) {
        self.end_loading(backend);
        let number = self.next_number();
        self.enter(backend, Phase::ReadingState { number }, now + self.settings.request_timeout);
        actions.push(Action::ReadState { backend: backend.clone(), number });
    }

    fn handle_state(
        &mut self,
        now: Duration,
        backend: &Arc<str>,
        number: u64,
        state: Option<ObservedState>,
        actions: &mut Vec<Action>,
    ) {
        let Some(target) = self.targets.get(backend) else { return };
        if target.phase != (Phase::ReadingState { number }) {
            return;
        }
        let Some(state) = state else {
            self.enter(backend, Phase::Idle, now + self.settings.retry_delay);
            return;
        };
        match target.next_order(&state) {
            None => self.enter(backend, Phase::Idle, now + self.settings.check_interval),
            Some(Order::Load(model)) => self.request_weights(now, backend, model, actions),
            Some(order) => self.prepare_order(now, backend, order, actions),
        }
    }

    /// Asks the weight store for a model, unless its rate limit is exhausted or another backend
    /// server is loading the model.
    fn request_weights(
        &mut self,
        now: Duration,
        backend: &Arc<str>,
        model: Model,
        actions: &mut Vec<Action>,
    ) {
        let is_busy = self.loading_models.contains_key(&model) || now < self.weights_retry_at;
        if is_busy {
            let later = self.weights_retry_at.max(now + self.settings.retry_delay);
            self.enter(backend, Phase::Idle, later);
            return;
        }
        self.loading_models.insert(model.clone(), backend.clone());
        let number = self.next_number();
        let phase = Phase::RequestingWeights { number, order: Order::Load(model.clone()) };
        self.enter(backend, phase, now + self.settings.request_timeout);
        actions.push(Action::Weights { backend: backend.clone(), number, model });
    }

    fn handle_weights(
        &mut self,
        now: Duration,
        backend: &Arc<str>,
        number: u64,
        weights: Weights,
        actions: &mut Vec<Action>,
    ) {
        let Some(target) = self.targets.get(backend) else { return };
        let Phase::RequestingWeights { number: awaited, order } = &target.phase else { return };
        if *awaited != number {
            return;
        }
        let order = order.clone();
        let later = match weights {
            Weights::Granted => return self.prepare_order(now, backend, order, actions),
            Weights::Busy { retry_after } => now + retry_after,
            Weights::Unavailable => now + self.settings.retry_delay,
        };
        self.weights_retry_at = self.weights_retry_at.max(later);
        self.end_loading(backend);
        self.enter(backend, Phase::Idle, later);
    }

    /// Assigns a fencing number to an order and sends it. If the backend server ignores fencing
    /// numbers, the intent row is written first.
    fn prepare_order(
        &mut self,
        now: Duration,
        backend: &Arc<str>,
        order: Order,
        actions: &mut Vec<Action>,
    ) {
        let Some(target) = self.targets.get(backend) else { return };
        let fencing = target.desired.fencing;
        let Some(epoch) = self.lease.epoch(now) else {
            self.end_loading(backend);
            self.enter(backend, Phase::Idle, now + self.settings.retry_delay);
            return;
        };
        if self.order_count >= MAX_ORDERS_PER_TERM {
            self.lease.give_up();
            self.reset();
            return;
        }
        self.order_count += 1;
        let fence = (epoch << ORDER_BITS) | self.order_count;
        if fencing {
            self.send_order(now, backend, fence, order, actions);
            return;
        }
        let intent = Intent { holder: self.settings.holder.clone(), fence };
        let value = serde_json::to_string(&intent).unwrap_or_default();
        let op = write_intent(backend, 0, Some(Arc::from(value)));
        self.enter(
            backend,
            Phase::WritingIntent { fence, order },
            now + self.settings.request_timeout,
        );
        self.send_to_table(Purpose::Intent(backend.clone()), op, actions);
    }

    fn send_order(
        &mut self,
        now: Duration,
        backend: &Arc<str>,
        fence: u64,
        order: Order,
        actions: &mut Vec<Action>,
    ) {
        self.enter(backend, Phase::AwaitingOutcome { fence }, now + self.settings.request_timeout);
        actions.push(Action::Order { backend: backend.clone(), fence, order });
    }

    fn handle_order_outcome(
        &mut self,
        now: Duration,
        backend: &Arc<str>,
        fence: u64,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(target) = self.targets.get(backend) else { return };
        if target.phase != (Phase::AwaitingOutcome { fence }) {
            return;
        }
        if outcome == Outcome::Unknown {
            self.wait_for_unknown(now, backend);
            return;
        }
        if outcome == Outcome::Fenced {
            self.lease.request_read(now);
        }
        self.end_loading(backend);
        let due_at = if outcome == Outcome::Done { now } else { now + self.settings.retry_delay };
        match self.targets.get(backend).is_some_and(|target| target.intent.is_some()) {
            true => self.clear_intent(now, backend, actions),
            false => self.enter(backend, Phase::Idle, due_at),
        }
    }

    /// Handles an order whose outcome is unknown. A backend server that enforces fencing numbers
    /// refuses it once it has received the next order; otherwise the order is waited out.
    fn wait_for_unknown(&mut self, now: Duration, backend: &Arc<str>) {
        self.end_loading(backend);
        let Some(target) = self.targets.get(backend) else { return };
        match target.desired.fencing && target.intent.is_none() {
            true => self.enter(backend, Phase::Idle, now + self.settings.retry_delay),
            false => self.enter(backend, Phase::WaitingOut, now + self.settings.request_timeout),
        }
    }

    fn clear_intent(&mut self, now: Duration, backend: &Arc<str>, actions: &mut Vec<Action>) {
        let Some(target) = self.targets.get(backend) else { return };
        let Some(revision) = target.intent else {
            self.read_state(now, backend, actions);
            return;
        };
        let op = write_intent(backend, revision, None);
        self.enter(backend, Phase::ClearingIntent, now + self.settings.request_timeout);
        self.send_to_table(Purpose::Intent(backend.clone()), op, actions);
    }

    /// Reads the intent row after an answer about it was lost.
    fn read_intent(&mut self, now: Duration, backend: &Arc<str>, actions: &mut Vec<Action>) {
        self.end_loading(backend);
        self.enter(backend, Phase::ReadingIntent, now + self.settings.request_timeout);
        let op = Op::Read(vec![intent_key(backend)]);
        self.send_to_table(Purpose::Intent(backend.clone()), op, actions);
    }

    fn handle_table(
        &mut self,
        now: Duration,
        number: u64,
        outcome: table::Outcome,
        actions: &mut Vec<Action>,
    ) {
        match self.table_requests.remove(&number) {
            None => {}
            Some(Purpose::Lease) => self.handle_lease_outcome(now, outcome),
            Some(Purpose::Intent(backend)) => self.handle_intent(now, &backend, outcome, actions),
        }
    }

    fn handle_lease_outcome(&mut self, now: Duration, outcome: table::Outcome) {
        match self.lease.handle_outcome(now, outcome) {
            LeaseChange::None => {}
            LeaseChange::Lost => self.reset(),
            LeaseChange::Acquired => {
                self.reset();
                self.order_count = 0;
                self.check_all(now);
            }
        }
    }

    /// Drops all operations in progress; the next holder of the lease waits out the orders that
    /// were sent.
    fn reset(&mut self) {
        self.loading_models.clear();
        self.timers.clear();
        self.table_requests.retain(|_, purpose| *purpose == Purpose::Lease);
        for target in self.targets.values_mut() {
            target.phase = Phase::Idle;
            target.intent = None;
        }
    }

    /// Schedules a check of every backend server.
    fn check_all(&mut self, now: Duration) {
        let backends: Vec<Arc<str>> = self.targets.keys().cloned().collect();
        for backend in backends {
            self.enter(&backend, Phase::Idle, now);
        }
    }

    fn handle_intent(
        &mut self,
        now: Duration,
        backend: &Arc<str>,
        outcome: table::Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(target) = self.targets.get_mut(backend) else { return };
        match (target.phase.clone(), outcome) {
            (Phase::WritingIntent { fence, order }, table::Outcome::Committed(revision)) => {
                target.intent = Some(revision);
                match self.holds(now) {
                    true => self.send_order(now, backend, fence, order, actions),
                    false => self.enter(backend, Phase::Idle, now + self.settings.retry_delay),
                }
            }
            (Phase::ClearingIntent, table::Outcome::Committed(_)) => {
                target.intent = None;
                self.enter(backend, Phase::Idle, now);
            }
            (_, table::Outcome::Rows(rows) | table::Outcome::Conflict(rows)) => {
                self.apply_intent_row(now, backend, &rows);
            }
            (_, table::Outcome::Unavailable) => {
                self.end_loading(backend);
                self.enter(backend, Phase::Idle, now + self.settings.retry_delay);
            }
            _ => self.read_intent(now, backend, actions),
        }
    }

    /// Applies the current intent row. If this host wrote it in this lease term, its order was not
    /// sent or has ended; otherwise the order is waited out.
    fn apply_intent_row(&mut self, now: Duration, backend: &Arc<str>, rows: &[Row]) {
        self.end_loading(backend);
        self.lease.request_read(now);
        let key = intent_key(backend);
        let row = rows.iter().find(|row| row.key == key);
        let found = row.and_then(|row| Some((row.revision, row.value.as_ref()?)));
        let Some(target) = self.targets.get_mut(backend) else { return };
        target.intent = found.map(|(revision, _)| revision);
        let is_own = found.is_none_or(|(_, value)| self.is_own(now, value));
        let wait = self.settings.max_process_pause + self.settings.request_timeout;
        match is_own {
            true => self.enter(backend, Phase::Idle, now + self.settings.retry_delay),
            false => self.enter(backend, Phase::WaitingOut, now + wait),
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

/// Returns the transaction that writes or deletes an intent row if it is at the given revision.
fn write_intent(backend: &str, revision: Revision, value: Option<Arc<str>>) -> Op {
    let key = intent_key(backend);
    let checks = vec![Check { key: key.clone(), revision }];
    Op::Commit(Txn { checks, writes: vec![Write { key, value }] })
}
