//! State machine of one host, composed of the other modules of this crate.
//!
//! A [`Host`] handles events from callers, backend servers, the platform, other hosts and timers,
//! and returns actions. The cost of an event does not grow with the number of hosts, budgets or
//! requests, except that a changed member list is copied.

mod accounting;
pub mod action;
pub mod catalog;
pub mod event;
pub mod exchange;
mod fleet;
mod migration;
mod model;
mod orders;
mod placement;
pub mod problem;
mod service;
pub mod validation;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use action::{Action, Problem};
use catalog::Catalog;
use event::{Call, Caller, Event, Operation, Report, Run};
use exchange::Exchange;

use crate::{
    admission::{self, Admission, AdmissionEvent, Waiter},
    answer::Attempt,
    claim::{Dispatcher, Issuer},
    config, holder, journal, locate, member,
    message::Holder,
    order, recovery, refund, request, retry,
    route::{self, Router},
    table::{Op, Outcome},
    ticket,
    timeline::{Entry, Step},
};

/// Time for which a host that has returned all its tokens still answers other hosts, so that they
/// can move the copies of their journals elsewhere.
const LINGER_TIME: Duration = Duration::from_millis(1_500);

/// Time after which a host that can't return its tokens stops trying; a recovery returns them.
const RETURN_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after which a fenced host stops trying to write charges that only it knows of.
const UNREPLICATED_CHARGES_TIMEOUT: Duration = Duration::from_secs(600);

/// Settings of a host.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Host name.
    pub host: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Incarnation of this process; greater than those of all earlier ones.
    pub incarnation: u64,
    /// Address of this host's peer port, `ip:port`.
    pub address: Arc<str>,
    /// Addresses of the peer ports to contact while no other host is known.
    pub seeds: Vec<Arc<str>>,
    /// Secret that all hosts of the fleet share.
    pub secret: Vec<u8>,
    /// Second secret under which tickets are accepted while the secret is being rotated.
    pub accepted_secret: Option<Vec<u8>>,
    /// Random key of the process for its index of bearer tokens.
    pub key: [u8; 32],
    /// Seed of all random choices.
    pub seed: u64,
    /// Greatest number of concurrent requests.
    pub max_requests: usize,
    /// Time that requests in progress get to finish while the host shuts down.
    pub drain_timeout: Duration,
}

impl Settings {
    /// Returns the holder name of the process, `host.incarnation`.
    pub fn holder(&self) -> Holder {
        format!("{}.{}", self.host, self.incarnation).into()
    }
}

/// Statistics of a host for status and metrics.
#[derive(Debug, Clone)]
pub struct Stats {
    /// The host takes requests.
    pub ready: bool,
    /// Name of the host's state.
    pub state: &'static str,
    /// Revision of the configuration in force.
    pub revision: u64,
    /// Number of other hosts that are reachable.
    pub members: u64,
    /// Number of requests in progress.
    pub requests: u64,
}

/// Tokens of a budget that a host holds.
#[derive(Debug, Clone)]
pub struct Balance {
    /// Budget.
    pub budget: Arc<str>,
    /// Tokens that are not reserved.
    pub available: u64,
    /// Tokens reserved for requests in progress.
    pub reserved: u64,
}

/// Component that started a table operation and gets its outcome.
#[derive(Debug, Clone)]
enum Owner {
    Holder(u64),
    Recovery(u64),
    Refunder(u64),
    Follower,
    Orders(u64),
    Claims(Holder),
    AnnouncementWrite,
    AnnouncementRead,
}

/// Purpose of a run at a backend server.
#[derive(Debug, Clone)]
enum Purpose {
    Stream { request: request::Id, attempt: Attempt, backend: Arc<str> },
    Call { request: request::Id, backend: Arc<str> },
}

/// Shutdown stage of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Serving,
    /// Finishes the requests in progress, until then at the latest.
    Finishing {
        until: Duration,
    },
    /// Returns its tokens to the table, until then at the latest.
    Returning {
        until: Duration,
    },
    /// Answers other hosts only; see [`LINGER_TIME`].
    Lingering {
        until: Duration,
    },
    Stopped,
}

/// State of one host.
#[derive(Debug)]
pub struct Host {
    settings: Settings,
    id: Holder,
    now: Duration,
    pending_actions: Vec<Action>,
    stage: Stage,
    fenced: bool,
    catalog: Catalog,
    follower: config::Follower,
    members: member::Membership,
    peers: Vec<holder::Peer>,
    holder: holder::Holder,
    replica: journal::Replica,
    recovery: recovery::Recovery,
    refunder: refund::Refunder,
    issuer: Issuer,
    dispatcher: Dispatcher,
    admission: Admission,
    locator: locate::Locator,
    location_index: locate::Index,
    orders: order::Reconciler,
    retry_budget: retry::Budget,
    ticket_key: ticket::Key,
    operations: BTreeMap<Operation, Owner>,
    next_operation: Operation,
    runs: BTreeMap<Run, Purpose>,
    next_run: Run,
    last_request_number: u64,
    model_requests: BTreeMap<request::Id, model::Request>,
    service_calls: BTreeMap<request::Id, service::Request>,
    tickets: BTreeMap<Caller, service::TicketedCall>,
    callers: BTreeMap<Caller, request::Id>,
    request_by_waiter: BTreeMap<Waiter, request::Id>,
    waiter_by_request: BTreeMap<request::Id, Waiter>,
    placements: BTreeMap<request::Id, Waiter>,
    next_waiter: Waiter,
    timers: BTreeSet<(Duration, request::Id)>,
    /// Unanswered queries to a backend server's address about a stream, oldest first.
    stream_queries: BTreeMap<(Arc<str>, request::Id), VecDeque<model::StreamQuery>>,
    /// Requests that migrate to another backend server, by the id under which each asks for it.
    migrations: BTreeMap<request::Id, request::Id>,
    announced: bool,
    announced_addresses: fleet::AnnouncedAddresses,
    /// The platform's host list as last read, without backend servers.
    listed_hosts: Vec<member::ListedHost>,
    /// Number of other hosts that are reachable.
    reachable_hosts: usize,
    /// No reachable host has a name that sorts before this one's.
    is_first: bool,
}

fn ticket_key(settings: &Settings) -> ticket::Key {
    let key = ticket::Key::derive(&settings.secret);
    match &settings.accepted_secret {
        Some(secret) => key.accepting(secret),
        None => key,
    }
}

impl Host {
    /// Creates a host without configuration or peers.
    pub fn new(settings: Settings) -> Self {
        let id = settings.holder();
        let holder_settings = holder::Settings {
            id: id.clone(),
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            seed: settings.seed,
        };
        let member_settings = member::Settings {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            address: settings.address.clone(),
            incarnation: settings.incarnation,
            seeds: settings.seeds.clone(),
        };
        let router = Router::new(route::Settings::new(settings.zone.clone(), settings.seed));
        Self {
            now: Duration::ZERO,
            pending_actions: Vec::new(),
            stage: Stage::Serving,
            fenced: false,
            catalog: Catalog::new(settings.key),
            follower: config::Follower::new(fleet::validate),
            members: member::Membership::new(member_settings),
            peers: Vec::new(),
            holder: holder::Holder::new(holder_settings),
            replica: journal::Replica::default(),
            recovery: recovery::Recovery::new(id.clone(), settings.seed),
            refunder: refund::Refunder::resume(),
            issuer: Issuer::new(id.clone()),
            dispatcher: Dispatcher::new(id.clone()),
            admission: Admission::new(admission::QueueLimits::default(), router),
            locator: locate::Locator::new(),
            location_index: locate::Index::default(),
            orders: order::Reconciler::new(order::Settings::new(id.clone())),
            retry_budget: retry::Budget::new(retry::Settings::default(), settings.seed),
            ticket_key: ticket_key(&settings),
            operations: BTreeMap::new(),
            next_operation: 1,
            runs: BTreeMap::new(),
            next_run: 1,
            last_request_number: 0,
            model_requests: BTreeMap::new(),
            service_calls: BTreeMap::new(),
            tickets: BTreeMap::new(),
            callers: BTreeMap::new(),
            request_by_waiter: BTreeMap::new(),
            waiter_by_request: BTreeMap::new(),
            placements: BTreeMap::new(),
            next_waiter: 1,
            timers: BTreeSet::new(),
            stream_queries: BTreeMap::new(),
            migrations: BTreeMap::new(),
            announced: false,
            announced_addresses: fleet::AnnouncedAddresses::default(),
            listed_hosts: Vec::new(),
            reachable_hosts: 0,
            is_first: true,
            id,
            settings,
        }
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        self.handle_event(event);
        actions.append(&mut self.pending_actions);
    }

    /// Returns the holder name of the process, `host.incarnation`.
    pub fn id(&self) -> &Holder {
        &self.id
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns whether another host has recovered this one's state, so that it must stop.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Returns the tokens that this host holds of each budget, in time linear in the number of
    /// budgets in force.
    pub fn balances(&self) -> impl Iterator<Item = Balance> {
        self.catalog.budgets().map(|budget| Balance {
            budget: budget.clone(),
            available: self.holder.available(budget),
            reserved: self.holder.reserved(budget),
        })
    }

    /// Returns the statistics for status and metrics.
    pub fn stats(&self) -> Stats {
        Stats {
            ready: self.is_ready(),
            state: self.state_name(),
            revision: self.follower.revision(),
            members: self.reachable_hosts as u64,
            requests: self.callers.len() as u64,
        }
    }

    /// Returns whether a bearer token belongs to an operator.
    pub fn is_operator(&self, token: &str) -> bool {
        self.catalog.is_operator(token)
    }

    fn is_ready(&self) -> bool {
        self.stage == Stage::Serving && !self.fenced && self.follower.ready()
    }

    fn state_name(&self) -> &'static str {
        match self.stage {
            _ if self.fenced => "fenced",
            Stage::Serving if self.follower.ready() => "serving",
            Stage::Serving => "starting",
            Stage::Finishing { .. } => "finishing",
            Stage::Returning { .. } => "returning",
            Stage::Lingering { .. } => "lingering",
            Stage::Stopped => "stopped",
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Call(call) => self.handle_call(call),
            Event::Ticket { caller, token } => self.issue_ticket(caller, &token),
            Event::CallerLeft { caller } => self.caller_left(caller),
            Event::Backend { run, report } => self.handle_report(run, report),
            Event::Load { backend, load } => self.load_reported(backend, load),
            Event::Cache { backend, after, changes, next } => {
                self.cache_reported(backend, after, &changes, next);
            }
            Event::Table { operation, outcome } => self.operation_finished(operation, outcome),
            Event::Hosts(listed) => self.hosts_listed(listed),
            Event::Message { from, zone, address, message } => {
                self.register_sender(&from, zone, &address, &message);
                self.handle_message(from, address, message);
            }
            Event::Unreachable { address } => self.peer_unreachable(&address),
            Event::CacheCopied { request, stream, to, tokens } => {
                self.cache_copied(request, stream, to, tokens);
            }
            Event::StreamState { address, stream, state } => self.queried(address, stream, state),
            Event::Order(event) => self.order_event(event),
            Event::Tick => self.handle_tick(),
            Event::Drain => self.start_drain(),
        }
    }

    fn handle_call(&mut self, call: Call) {
        let caller = call.caller;
        if let Some(problem) = self.rejection() {
            return self.refuse(caller, None, problem.scoped_to_attempt(call.key.as_ref()));
        }
        match validation::check(&self.catalog, &call) {
            Ok(work) => self.start_request(caller, work),
            Err(problem) => self.refuse(caller, None, problem),
        }
    }

    /// Returns why this host takes no requests at the moment; `None` if it takes them.
    fn rejection(&self) -> Option<Problem> {
        if self.fenced {
            return Some(problem::not_ready("this host was taken for dead and restarts"));
        }
        if self.stage != Stage::Serving {
            return Some(problem::not_ready("this host is leaving"));
        }
        if !self.follower.ready() {
            return Some(problem::not_ready("this host has no configuration yet"));
        }
        if self.callers.len() >= self.settings.max_requests {
            let wait = Duration::from_secs(1);
            let detail = "too many requests in progress";
            return Some(problem::later(503, "overloaded", detail, wait));
        }
        None
    }

    fn start_request(&mut self, caller: Caller, work: validation::Work) {
        match work.payload {
            validation::Payload::Model(_) => self.start_model(caller, work),
            validation::Payload::Call { .. } => self.start_call(caller, work),
        }
    }

    /// Returns the id of a request without a ticket.
    fn request_id(&mut self, work: &validation::Work) -> request::Id {
        match &work.key {
            Some(key) => request::Id::keyed(&work.workspace, key),
            None => {
                self.last_request_number += 1;
                request::Id::numbered(&self.id, self.last_request_number)
            }
        }
    }

    fn refuse(&mut self, caller: Caller, request: Option<request::Id>, problem: Problem) {
        self.callers.remove(&caller);
        let detail = format!("code={} outcome={}", problem.code, problem.outcome.as_str());
        self.record_step(request, Step::Refused, "", detail);
        self.pending_actions.push(Action::Fail { caller, request, problem });
    }

    fn caller_left(&mut self, caller: Caller) {
        let Some(request) = self.callers.remove(&caller) else { return };
        if self.model_requests.contains_key(&request) {
            self.leave_model_request(request, caller);
        }
        self.leave_call(request, caller);
    }

    fn handle_report(&mut self, run: Run, report: Report) {
        let last = !matches!(report, Report::Piece { .. });
        let purpose = match last {
            true => self.runs.remove(&run),
            false => self.runs.get(&run).cloned(),
        };
        match purpose {
            Some(Purpose::Stream { request, attempt, backend }) => {
                self.stream_report(request, attempt, &backend, report);
            }
            Some(Purpose::Call { request, backend }) => {
                self.call_report(request, &backend, report);
            }
            None => {}
        }
    }

    fn register_run(&mut self, purpose: Purpose) -> Run {
        let run = self.next_run;
        self.next_run += 1;
        self.runs.insert(run, purpose);
        run
    }

    fn start_exchange(&mut self, exchange: Exchange) {
        self.pending_actions.push(Action::Exchange(exchange));
    }

    fn start_operation(&mut self, owner: Owner, op: Op) {
        let operation = self.next_operation;
        self.next_operation += 1;
        self.operations.insert(operation, owner);
        self.pending_actions.push(Action::Table { operation, op });
    }

    fn operation_finished(&mut self, operation: Operation, outcome: Outcome) {
        let Some(owner) = self.operations.remove(&operation) else { return };
        match owner {
            Owner::Holder(id) => self.holder_event(holder::Event::Table { id, outcome }),
            Owner::Recovery(id) => self.recovery_event(recovery::Event::Table { id, outcome }),
            Owner::Refunder(id) => self.refunder_event(refund::Event::Table { id, outcome }),
            Owner::Follower => self.follower_event(config::Event::Outcome(outcome)),
            Owner::Orders(number) => self.order_event(order::Event::Table { number, outcome }),
            Owner::Claims(holder) => self.recovered_claims_read(holder, outcome),
            Owner::AnnouncementWrite => self.announced &= matches!(outcome, Outcome::Committed(_)),
            Owner::AnnouncementRead => self.announcements_read(outcome),
        }
    }

    fn handle_tick(&mut self) {
        self.member_event(member::Event::Tick);
        self.follower_event(config::Event::Tick);
        self.holder_event(holder::Event::Tick);
        self.recovery_event(recovery::Event::Tick);
        self.refunder_event(refund::Event::Tick);
        self.order_event(order::Event::Tick);
        self.claim_tick();
        self.admission_event(AdmissionEvent::Tick);
        self.locator_event(locate::Event::Tick);
        self.wake_streams();
        self.write_announcement();
        self.read_announcements();
        self.advance_shutdown();
    }

    fn start_drain(&mut self) {
        if self.stage != Stage::Serving {
            return;
        }
        self.record_step(None, Step::Draining, "", String::new());
        self.member_event(member::Event::Leave);
        self.order_event(order::Event::ReleaseLease);
        self.stage = Stage::Finishing { until: self.now + self.settings.drain_timeout };
        self.advance_shutdown();
    }

    /// Enters the next shutdown stage once the current one is done or its time is up.
    fn advance_shutdown(&mut self) {
        match self.stage {
            Stage::Finishing { until } if self.is_idle() || self.now >= until => self.return_all(),
            Stage::Returning { until } if self.now >= until => {
                self.record_step(None, Step::Returned, "", "incomplete=yes".to_owned());
                self.stage = Stage::Lingering { until: self.now + LINGER_TIME };
            }
            Stage::Lingering { until } if self.now >= until => {
                self.stage = Stage::Stopped;
                self.record_step(None, Step::Stopped, "", String::new());
                self.pending_actions.push(Action::Stopped);
            }
            _ => {}
        }
    }

    /// Starts to return all tokens; a fenced host writes the charges that only it knows of.
    fn return_all(&mut self) {
        let limit = if self.holder.has_unreplicated_charges() {
            UNREPLICATED_CHARGES_TIMEOUT
        } else {
            RETURN_TIMEOUT
        };
        self.stage = Stage::Returning { until: self.now + limit };
        self.holder_event(holder::Event::Drain);
    }

    /// Returns whether no caller waits and no service call, ticketed run or model request is in
    /// progress.
    fn is_idle(&self) -> bool {
        self.callers.is_empty()
            && self.service_calls.is_empty()
            && self.dispatcher.in_flight() == 0
            && self.model_requests.values().all(model::Request::is_ended)
    }

    fn record_step(
        &mut self,
        request: Option<request::Id>,
        step: Step,
        peer: impl Into<Arc<str>>,
        detail: String,
    ) {
        let (peer, detail) = (peer.into(), detail.into());
        self.pending_actions.push(Action::RecordStep(Entry {
            request,
            step,
            peer,
            cause: None,
            detail,
        }));
    }
}
