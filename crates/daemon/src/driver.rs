//! Drives the decisions of this host: feeds events in and carries actions out.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use coordination::{
    clock::{Hybrid, Stamp},
    host::{
        Host,
        action::Action,
        event::{Caller, Event},
        exchange::Exchange,
    },
    message::Message,
    timeline::{Entry, Ring},
};
use crossbeam::{
    channel::{Receiver, Sender, bounded},
    select,
};
use tokio::sync::mpsc::error::TrySendError;
use wire::{
    link,
    operator::{Held, Status},
};

use crate::{
    backend,
    edge::{Part, Reply},
    kernel::{Missing, Registry},
    metrics::Metrics,
    table, watch,
};

/// Name under which this service is found.
pub const NAME: &str = "core";

/// Events that wait for the core.
pub const QUEUE: usize = 16_384;

/// Time between two sums over all budgets.
const BALANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Something for the core.
#[derive(Debug)]
pub enum Inbound {
    /// A request of a caller, with the way back.
    Caller {
        /// Caller.
        caller: Caller,
        /// Way back.
        reply: Reply,
        /// Event to handle.
        event: Event,
    },
    /// An event.
    Event(Event),
    /// A question for the status.
    Status(Sender<Status>),
    /// A question whether a bearer token belongs to an operator.
    Authorise {
        /// Token as presented.
        token: Arc<str>,
        /// Takes the answer.
        answer: Sender<bool>,
    },
}

/// Timeline of this process, shared with the services that answer operators.
#[derive(Debug)]
pub struct Timeline {
    inner: Mutex<(Hybrid, Ring)>,
}

impl Timeline {
    /// Returns an empty timeline.
    pub fn new(ring: Ring) -> Self {
        Self { inner: Mutex::new((Hybrid::default(), ring)) }
    }

    /// Runs `read` over the ring.
    pub fn read<T>(&self, read: impl FnOnce(&Ring) -> T) -> T {
        read(&self.inner.lock().unwrap_or_else(PoisonError::into_inner).1)
    }

    fn tick(&self) -> Stamp {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner).0.tick(wall_ms())
    }

    fn merge(&self, remote: Stamp) {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner).0.merge(wall_ms(), remote);
    }

    /// Records an event.
    pub fn push(&self, entry: Entry) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let stamp = inner.0.tick(wall_ms());
        inner.1.push(stamp, entry);
    }
}

/// Returns the wall time in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Where actions go.
#[derive(Debug)]
struct Ports {
    backend: Sender<Exchange>,
    table: Sender<table::Job>,
    watch: Sender<watch::Job>,
}

/// What a driver is made of, besides its host.
pub struct Parts {
    /// Longest time between two ticks.
    pub tick: Duration,
    /// Brings events and questions.
    pub inbox: Receiver<Inbound>,
    /// Brings messages of other hosts.
    pub peers: Receiver<link::Inbound>,
    /// Carries messages to other hosts.
    pub link: link::Handle,
    /// Timeline of this process.
    pub timeline: Arc<Timeline>,
    /// Metrics of this process.
    pub metrics: Arc<Metrics>,
}

/// Drives one host.
pub struct Driver {
    host: Host,
    started: Instant,
    tick: Duration,
    inbox: Receiver<Inbound>,
    peers: Receiver<link::Inbound>,
    ports: Ports,
    link: link::Handle,
    timeline: Arc<Timeline>,
    metrics: Arc<Metrics>,
    callers: BTreeMap<Caller, Reply>,
    cause: Option<(Arc<str>, Stamp)>,
}

impl Driver {
    /// Returns a driver for a host.
    ///
    /// # Errors
    ///
    /// Returns an error if a service that it needs has not published its port.
    pub fn open(host: Host, registry: &Registry, parts: Parts) -> Result<Self, Missing> {
        let ports = Ports {
            backend: registry.find(backend::NAME)?,
            table: registry.find(table::NAME)?,
            watch: registry.find(watch::NAME)?,
        };
        let Parts { tick, inbox, peers, link, timeline, metrics } = parts;
        Ok(Self {
            host,
            started: Instant::now(),
            tick,
            inbox,
            peers,
            ports,
            link,
            timeline,
            metrics,
            callers: BTreeMap::new(),
            cause: None,
        })
    }

    /// Runs until the host has stopped.
    ///
    /// # Errors
    ///
    /// Returns an error if all senders are gone or the host was taken for dead.
    pub fn run(mut self) -> eyre::Result<()> {
        let mut actions = Vec::new();
        let mut next_tick = Instant::now();
        let mut next_balance = next_tick;
        let (inbox, peers) = (self.inbox.clone(), self.peers.clone());
        loop {
            let wait = next_tick.saturating_duration_since(Instant::now());
            select! {
                recv(inbox) -> inbound => self.take(inbound?, &mut actions),
                recv(peers) -> inbound => self.take_link(inbound?, &mut actions),
                default(wait) => {}
            }
            let now = Instant::now();
            if now >= next_tick {
                next_tick = now + self.tick;
                self.feed(Event::Tick, &mut actions);
                let (callers, queue) = (self.callers.len(), self.inbox.len());
                self.metrics.observe(&self.host, callers, queue, self.link.counts());
            }
            if now >= next_balance {
                next_balance = now + BALANCE_INTERVAL;
                self.metrics.observe_balances(self.host.balances());
            }
            let mut stopped = false;
            for action in actions.drain(..) {
                stopped |= matches!(action, Action::Stopped);
                self.perform(action);
            }
            self.cause = None;
            if stopped {
                eyre::ensure!(!self.host.is_fenced(), "step=run this host was taken for dead");
                return Ok(());
            }
        }
    }

    fn feed(&mut self, event: Event, actions: &mut Vec<Action>) {
        self.host.handle(self.started.elapsed(), event, actions);
    }

    fn take(&mut self, inbound: Inbound, actions: &mut Vec<Action>) {
        match inbound {
            Inbound::Caller { caller, reply, event } => {
                self.callers.insert(caller, reply);
                self.feed(event, actions);
            }
            Inbound::Event(event) => {
                if let Event::CallerLeft { caller } = event {
                    self.callers.remove(&caller);
                }
                self.feed(event, actions);
            }
            Inbound::Status(answer) => {
                let _ = answer.send(self.status());
            }
            Inbound::Authorise { token, answer } => {
                let _ = answer.send(self.host.is_operator(&token));
            }
        }
    }

    fn take_link(&mut self, inbound: link::Inbound, actions: &mut Vec<Action>) {
        let delivery = match inbound {
            link::Inbound::Message(delivery) => delivery,
            link::Inbound::Unreachable { address } => {
                return self.feed(Event::Unreachable { address }, actions);
            }
        };
        self.timeline.merge(delivery.stamp);
        let host = delivery.from.rsplit_once('.').map_or(&*delivery.from, |(host, _)| host);
        self.cause = Some((host.into(), delivery.stamp));
        let link::Delivery { from, zone, address, message, .. } = delivery;
        self.feed(Event::Message { from, zone, address, message }, actions);
    }

    fn status(&self) -> Status {
        let settings = self.host.settings();
        let figures = self.host.stats();
        let held = self.host.balances().filter(|held| held.available > 0 || held.reserved > 0);
        let budgets =
            held.map(|held| Held { budget: held.budget, tokens: held.available + held.reserved });
        let detail = serde_json::json!({
            "members": figures.members,
            "requests": figures.requests,
            "uptime_ms": u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX),
        });
        Status {
            host: settings.host.clone(),
            holder: self.host.id().clone(),
            zone: settings.zone.clone(),
            revision: figures.revision,
            state: figures.state.into(),
            detail: detail.to_string().into(),
            budgets: budgets.collect(),
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Begin { caller, request } => self.reply(caller, Part::Begin { request }),
            Action::Token { caller, offset, token } => {
                self.reply(caller, Part::Token { offset, token });
            }
            Action::End { caller, tokens, prompt_tokens, charged } => {
                self.metrics.answered(charged);
                self.reply(caller, Part::End { tokens, prompt_tokens, charged });
            }
            Action::Answer { caller, request, status, body } => {
                self.reply(caller, Part::Answer { request, status, body });
            }
            Action::Fail { caller, request, problem } => {
                self.metrics.refused(problem.code, problem.outcome.as_str());
                self.reply(caller, Part::Fail { request, problem });
            }
            Action::Exchange(exchange) => {
                // The service's end is reported by the kernel.
                let _ = self.ports.backend.send(exchange);
            }
            Action::UpdateReadSet { backends } => {
                drop(self.ports.watch.send(watch::Job::Watch(backends)));
            }
            Action::ResyncCache { backend } => {
                drop(self.ports.watch.send(watch::Job::Reread(backend)));
            }
            Action::Table { operation, op } => {
                drop(self.ports.table.send(table::Job::Run { operation, op }));
            }
            Action::Weights { backend, number, model } => {
                drop(self.ports.table.send(table::Job::Weights { backend, number, model }));
            }
            Action::Send { address, message } | Action::Datagram { address, message } => {
                self.send(address, message);
            }
            Action::RecordStep(entry) => self.note(entry),
            Action::Stopped => {}
        }
    }

    fn reply(&mut self, caller: Caller, part: Part) {
        let last = !matches!(part, Part::Begin { .. } | Part::Token { .. });
        let Some(reply) = self.callers.get(&caller) else { return };
        let sent = reply.try_send(part);
        if let Err(TrySendError::Full(_)) = sent {
            tracing::warn!(event = "caller_too_slow", caller);
        }
        if last || sent.is_err() {
            self.callers.remove(&caller);
        }
    }

    fn send(&self, to: Arc<str>, message: Message) {
        let stamp = self.timeline.tick();
        let request = request_of(&message);
        self.link.send(link::Outbound { to, stamp, request, message });
    }

    fn note(&self, mut entry: Entry) {
        if entry.cause.is_none()
            && let Some((peer, stamp)) = &self.cause
            && entry.peer == *peer
        {
            entry.cause = Some(*stamp);
        }
        tracing::info!(
            event = %entry.step,
            request = entry.request.map(tracing::field::display),
            peer = &*entry.peer,
            detail = &*entry.detail,
        );
        self.timeline.push(entry);
    }
}

fn request_of(message: &Message) -> Option<coordination::request::Id> {
    match message {
        Message::Locate { request, .. }
        | Message::Located { request, .. }
        | Message::Claim { request, .. }
        | Message::ClaimReply { request, .. } => Some(*request),
        _ => None,
    }
}

/// Asks the core and waits for its answer.
pub fn ask<T>(
    core: &Sender<Inbound>,
    question: impl FnOnce(Sender<T>) -> Inbound,
    timeout: Duration,
) -> Option<T> {
    let (answer, answered) = bounded(1);
    core.send_timeout(question(answer), timeout).ok()?;
    answered.recv_timeout(timeout).ok()
}
