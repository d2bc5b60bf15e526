//! Proxies one request: from the arrival of its head to the head of the response.

use std::{
    cell::{Cell, RefCell},
    pin::pin,
    rc::Rc,
    sync::Arc,
    thread,
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use coordination::locate::hash;
use futures_util::future::LocalBoxFuture;
use http_body_util::{BodyExt as _, Full};
use hyper::{
    Request, Response, Version,
    body::{Body as _, Incoming},
    header::{
        CONNECTION, CONTENT_LENGTH, EXPECT, HeaderValue, PROXY_AUTHENTICATE, TE, TRAILER,
        TRANSFER_ENCODING, UPGRADE,
    },
    http::request,
};
use tokio::{
    task::{spawn_local, yield_now},
    time::{Instant, sleep, timeout, timeout_at},
};
use wire::lend::{PromptDigest, ResumePoint};

use crate::{
    account::{Progress, ReserveResult},
    attempt::{Attempt, MAX_STREAM_OVERLAP, StartError, UpstreamResponse},
    backend::HealthSignal,
    body::{Body, Guarded},
    budgets::{Budgets, Reservation},
    catalog::{Catalog, RetryPolicy, Route, Service, Workspace},
    connection::Guard,
    credit::prompt_digest,
    drain,
    freshness::Freshness,
    history::History,
    node::{Node, Phase},
    panics,
    peer::Peers,
    relay::Relay,
    request::{Call, LATE, Prompt, Refusal, head_bytes},
    retry_state::{AttemptFailure, ExecutionStatus, RetryState},
    timing::Timing,
    unread::Bounds,
    upload::Upload,
};

/// Time after which a caller may retry if this host isn't ready or can't read the platform.
const UNREADY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Time after which a caller may retry if no host can reserve tokens while the platform is
/// unreachable; outages last some seconds.
const PLATFORM_DOWN_RETRY_AFTER: Duration = Duration::from_secs(3);

/// Time after which a caller may retry, and finds another host, if this one is draining.
const DRAINING_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Time after which a caller may retry, and finds another host, if this one is overloaded.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Longest time for which the end of a stream that broke off waits until its charge is noted.
const NOTE_CHARGE_TIMEOUT: Duration = Duration::from_millis(50);

/// Longest wait for the reservation of tokens, in percent of the route's target latency.
const RESERVE_TIMEOUT_PERCENT: u32 = 75;

/// Number of failed connections to backend servers at which the request is refused.
const MAX_FAILED_CONNECTS: u32 = 4;

/// Largest response in bytes that is buffered before its head is passed on, so that the request can
/// be retried if the response breaks off.
const MAX_BUFFERED_BYTES: usize = 128 * 1024;

/// Outcome of a request whose whole response was passed on.
pub const ANSWERED: &str = "answered";

/// Outcome of a request whose caller left.
pub const CALLER_LEFT: &str = "caller_left";

/// Outcome of a request that panicked.
const PANICKED: &str = "panicked";

/// Charge for the prompt of a request, which stands for one that resumes it, too.
#[derive(Debug)]
pub struct PromptCharge {
    digest: PromptDigest,
    /// Whether an earlier request was charged for the prompt, which this one resumes.
    is_paid: bool,
    /// Id of the last event that callers have got.
    last_event: Cell<Option<u64>>,
    /// Whether the end of the request has been dealt with.
    is_settled: Cell<bool>,
}

/// A request that was admitted.
#[derive(Debug)]
pub struct Job {
    /// State of this host.
    pub node: Rc<Node>,
    /// Head of the request.
    pub head: request::Parts,
    /// Parsed head of the request.
    pub call: Call,
    /// Body of the request, as long as it may be sent again.
    pub body: Upload,
    /// Route of the request.
    pub route: Rc<Route>,
    /// Service that serves the request.
    pub service: Rc<Service>,
    /// Workspace of the caller's key; `None` for anonymous callers.
    pub workspace: Option<Rc<Workspace>>,
    /// Time by which it must be answered.
    pub deadline: Instant,
    /// Time at which it arrived.
    pub arrived: Instant,
    /// Version of the configuration by which it is served.
    pub version: u64,
    /// How long ago that was the platform's newest for certain when the request was admitted.
    pub config_age: Option<Duration>,
    /// Attempts so far, and whether another may follow.
    pub retry_state: RefCell<RetryState>,
    /// Backend servers that it was sent to.
    pub history: RefCell<History>,
    /// Tokens reserved for it, if it uses a prepaid budget.
    pub reservation: RefCell<Option<Reservation>>,
    /// Charge for its prompt, if it uses a prepaid budget and may be resumed.
    pub prompt_charge: Option<PromptCharge>,
    /// Quarantined part of its prompt that it is to try.
    pub trial: Option<Arc<str>>,
    /// When the events of its stream arrived.
    pub timing: Cell<Timing>,
    /// Whether its end has been logged.
    pub logged: Cell<bool>,
}

impl Job {
    /// Returns the time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the priority; 0 is the most urgent.
    pub fn priority(&self) -> u8 {
        let workspace_priority = self.workspace.as_ref().and_then(|workspace| workspace.priority);
        workspace_priority.unwrap_or(self.route.priority)
    }

    /// Returns a quarantined part of the prompt, for which the request must not be sent. A trial may
    /// be sent once.
    pub fn quarantined_part(&self) -> Option<Arc<str>> {
        let prompt = self.call.prompt.as_ref()?;
        let trial = self.trial.as_ref().filter(|_| !self.retry_state.borrow().is_retry());
        let found = self.node.quarantine.borrow().find(self.node.now(), prompt, trial)?;
        Some(found.part)
    }

    /// Records the whole response to a prompt, which speaks for its parts.
    pub fn record_whole_response(&self) {
        if let Some(prompt) = &self.call.prompt {
            self.node.quarantine.borrow_mut().record_whole(self.node.now(), prompt);
        }
    }

    /// Records that the request is sent; it is charged nothing before an event of its response
    /// reaches the caller, or the caller leaves.
    pub fn record_sent(&self) {
        if let Some(reservation) = &mut *self.reservation.borrow_mut()
            && reservation.progress() == Progress::Unsent
        {
            reservation.set_progress(Progress::Sent);
        }
    }

    /// Records that `output` tokens of the response are passed on in total, for which the request is
    /// charged beside its prompt.
    pub fn record_output(&self, output: u64) {
        let Some(prompt) = &self.call.prompt else { return };
        if let Some(reservation) = &mut *self.reservation.borrow_mut() {
            reservation.set_used(self.chargeable_input(prompt) + output.min(prompt.output));
            reservation.set_progress(Progress::Responding);
        }
    }

    /// Records that events of its stream arrived.
    pub fn record_event_time(&self) {
        let mut timing = self.timing.get();
        timing.record(self.arrived.elapsed());
        self.timing.set(timing);
    }

    /// Records the id of the last event that was passed on.
    pub fn record_last_event(&self, id: Option<u64>) {
        if let Some(charge) = &self.prompt_charge {
            charge.last_event.set(id);
        }
    }

    /// Returns the tokens of the prompt for which nobody has been charged.
    fn chargeable_input(&self, prompt: &Prompt) -> u64 {
        let is_paid = self.prompt_charge.as_ref().is_some_and(|charge| charge.is_paid);
        if is_paid { 0 } else { prompt.input }
    }

    /// Returns the charge for the prompt of a stream that didn't end, once, so that its caller can
    /// resume it for nothing but its output. A caller that ends a resumed stream uses the charge up.
    fn take_charge(&self, outcome: &str) -> Option<(Arc<str>, ResumePoint)> {
        let (charge, workspace) = (self.prompt_charge.as_ref()?, self.workspace.as_ref()?);
        let event = charge.last_event.get()?;
        let is_ended_by_caller =
            outcome == CALLER_LEFT || (outcome == LATE && self.is_deadline_of_caller());
        let is_charged = if charge.is_paid {
            !is_ended_by_caller
        } else {
            let reservation = self.reservation.borrow();
            reservation.as_ref().is_some_and(|own| own.progress() == Progress::Responding)
        };
        let is_open = is_charged && outcome != ANSWERED && !charge.is_settled.replace(true);
        let point = ResumePoint { prompt: charge.digest, event };
        is_open.then(|| (workspace.name.clone(), point))
    }

    /// Notes the charge for the prompt of a stream that didn't end, before its caller hears of the
    /// end and may resume it.
    pub async fn note_charge(&self, outcome: &str) {
        let Some((workspace, point)) = self.take_charge(outcome) else { return };
        let noted = Peers::note_charge(self.node.clone(), workspace, point);
        if timeout(NOTE_CHARGE_TIMEOUT, noted).await.is_err() {
            tracing::info!(event = "charge_not_noted", id = %self.call.id);
        }
    }

    /// Charges the prompt of a request that its caller ended while a backend server may have been
    /// at work on it.
    pub fn charge_abandoned(&self) {
        let Some(prompt) = &self.call.prompt else { return };
        if let Some(reservation) = &mut *self.reservation.borrow_mut()
            && reservation.progress() == Progress::Sent
        {
            reservation.set_used(self.chargeable_input(prompt));
        }
    }

    /// Returns whether the deadline is the caller's, which waits for less time than the operator
    /// lets it.
    pub fn is_deadline_of_caller(&self) -> bool {
        self.call.max_wait.is_some_and(|max_wait| max_wait < self.route.timeout)
    }

    /// Sets the used tokens to zero, since the request did not run.
    fn clear_used(&self) {
        if let Some(reservation) = &mut *self.reservation.borrow_mut() {
            reservation.set_used(0);
            reservation.set_progress(Progress::Unsent);
        }
    }

    /// Logs how the request ended, once.
    pub fn log(&self, outcome: &str, status: u16, events: u64) {
        if self.logged.replace(true) {
            return;
        }
        if let Some((workspace, point)) = self.take_charge(outcome) {
            spawn_local(Peers::note_charge(self.node.clone(), workspace, point));
        }
        if outcome == ANSWERED
            && let Some(reservation) = &mut *self.reservation.borrow_mut()
        {
            reservation.set_progress(Progress::Answered);
        }
        let history = self.history.borrow();
        let elapsed = self.arrived.elapsed();
        self.node.metrics.ended(outcome, &self.route.name, elapsed);
        let timing = self.timing.get();
        if timing.exceeds(self.route.max_gap) {
            self.node.metrics.gap_exceeded(&self.route.name);
        }
        tracing::info!(
            event = "request",
            id = %self.call.id,
            route = %self.route.name,
            service = %self.service.name,
            workspace = self.workspace.as_ref().map(|workspace| &*workspace.name),
            outcome,
            status,
            backend = history.ids().last().map(|id| &**id),
            sends = history.ids().len(),
            events,
            first_ms = timing.first().map(|time| time.as_millis() as u64),
            max_gap_ms = timing.max_gap().map(|gap| gap.as_millis() as u64),
            input = self.call.prompt.as_ref().map(|prompt| prompt.input),
            resume_after = self.call.resume_after,
            paid = self.prompt_charge.as_ref().map(|charge| charge.is_paid),
            tokens = self.reservation.borrow().as_ref().map(Reservation::used),
            ms = elapsed.as_millis() as u64,
            left_ms = self.time_left().as_millis() as u64,
            config = self.version,
            config_age_ms = self.config_age.map(|age| age.as_millis() as u64),
        );
    }
}

impl Drop for Job {
    fn drop(&mut self) {
        if thread::panicking() {
            self.log(PANICKED, 0, 0);
            return;
        }
        if !self.logged.get() {
            self.charge_abandoned();
        }
        self.log(CALLER_LEFT, 0, 0);
    }
}

/// Guard that counts a request as waiting for its response until it is dropped.
#[derive(Debug)]
struct PendingRequest(Rc<Node>);

impl PendingRequest {
    /// Returns `None` if the host is overloaded.
    fn try_new(node: &Rc<Node>) -> Option<Self> {
        let is_accepted = node.overload.borrow_mut().try_begin(node.now());
        is_accepted.then(|| Self(node.clone()))
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        self.0.overload.borrow_mut().end();
    }
}

/// Handles a caller's request and returns the response. The request is in progress until the guard
/// is dropped.
pub async fn handle(
    node: Rc<Node>,
    request: Request<Incoming>,
    guard: Rc<Guard>,
) -> Response<Guarded<Body>> {
    let (head, mut body) = request.into_parts();
    let awaits_permission = head.headers.contains_key(EXPECT);
    // Without an id, as it isn't known before the head is parsed.
    let call = panics::catch("", async { check_head(&node, &head) }).await;
    let call = call.unwrap_or(Err(Refusal::Unknown));
    let served = match &call {
        Ok(call) => {
            let served = panics::catch(&call.id, serve(&node, head, &mut body, call)).await;
            served.unwrap_or(Err(Refusal::Unknown))
        }
        Err(refusal) => Err(refusal.clone()),
    };
    let mut response = match served {
        Ok(response) => response,
        Err(refusal) => {
            let call = call.as_ref().ok();
            refuse(&node, call, refusal, body, awaits_permission, &guard)
        }
    };
    let sheds_connections = node.overload.borrow().sheds_connections(node.now());
    if node.phase.get() != Phase::Serving || sheds_connections {
        response.headers_mut().insert(CONNECTION, close_option());
    }
    response.map(|body| Guarded::new(body, guard))
}

/// Returns the response to a request that is refused, and reads the rest of its body in the
/// background; announces the close if no request can follow.
fn refuse(
    node: &Node,
    call: Option<&Call>,
    refusal: Refusal,
    rest: Incoming,
    awaits_permission: bool,
    guard: &Rc<Guard>,
) -> Response<Body> {
    node.metrics.refused(refusal.reason());
    let has_capacity = node.overload.borrow().can_discard(node.now());
    let bounds = Bounds::from_limits(&node.limits_in_force(), has_capacity);
    let is_too_large = rest.size_hint().lower() > bounds.max_bytes as u64;
    let is_last = awaits_permission || refusal.ends_connection() || is_too_large || !has_capacity;
    let is_closing = is_last && !rest.is_end_stream();
    guard.clone().discard(call.map(|call| call.id.clone()), rest, bounds);
    let mut response = node.dialect.refusal_response(call, refusal).map(Body::from);
    if is_closing {
        response.headers_mut().insert(CONNECTION, close_option());
    }
    response
}

fn close_option() -> HeaderValue {
    HeaderValue::from_static("close")
}

/// Parses the head of a request, if it isn't larger than allowed.
fn check_head(node: &Node, head: &request::Parts) -> Result<Call, Refusal> {
    let bytes = head_bytes(head);
    if node.limits_in_force().max_head_bytes.is_some_and(|max_bytes| bytes > max_bytes) {
        tracing::info!(event = "request_head_too_large", bytes);
        return Err(Refusal::HeadTooLarge);
    }
    node.dialect.parse_request(head).map_err(|fault| {
        tracing::info!(event = "request_malformed", fault);
        Refusal::Malformed
    })
}

async fn serve(
    node: &Rc<Node>,
    head: request::Parts,
    body: &mut Incoming,
    call: &Call,
) -> Result<Response<Body>, Refusal> {
    let pending = PendingRequest::try_new(node);
    let admitted = match &pending {
        Some(_) => admit(node, head, body, call).await,
        None => Err(Refusal::Overloaded(OVERLOAD_RETRY_AFTER)),
    };
    match admitted {
        Ok(job) => Ok(forward(job, pending).await),
        Err(refusal) => {
            tracing::info!(
                event = "request_refused",
                id = %call.id,
                reason = refusal.reason(),
                host = %call.host,
                pending = node.overload.borrow().load().0,
                connections = node.overload.borrow().load().1,
                body_bytes = node.overload.borrow().body_bytes(),
                config = node.catalog().map(|catalog| catalog.version()),
                config_freshness = ?node.catalog_freshness(),
                config_age_ms = node.catalog_age().map(|age| age.as_millis() as u64),
            );
            Err(refusal)
        }
    }
}

/// Finds the route of a request, reads its body and reserves its tokens.
async fn admit(
    node: &Rc<Node>,
    head: request::Parts,
    body: &mut Incoming,
    call: &Call,
) -> Result<Job, Refusal> {
    let arrived = Instant::now();
    let catalog = node.catalog().filter(|_| node.knows_evacuations());
    let catalog = catalog.ok_or(Refusal::NotRun(UNREADY_RETRY_AFTER))?;
    node.wait_for_shared_rows().await;
    let (route, workspace) = find_route(node, &catalog, &head, call)?;
    let max_wait = call.max_wait.map_or(route.timeout, |max_wait| max_wait.min(route.timeout));
    check_draining(node, max_wait)?;
    let service = route.service(hash(call.id.as_bytes()));
    let service = service.and_then(|name| catalog.service(name));
    let service = service.ok_or(Refusal::NotRun(UNREADY_RETRY_AFTER))?.clone();
    let body = Upload::read(node, body, catalog.limits(), OVERLOAD_RETRY_AFTER).await?;
    let trial = check_quarantine(node, call)?;
    let deadline = arrived + max_wait;
    node.with_retry_budget(&service.name, |budget| budget.record_request(node.now()));
    let prompt_charge =
        prompt_charge(node, call, &head, body.bytes(), &route, workspace.as_deref()).await;
    let is_paid = prompt_charge.as_ref().is_some_and(|charge| charge.is_paid);
    let reserved = reserve(node, call, &route, workspace.as_deref(), is_paid, deadline).await;
    let reservation = reserved.inspect_err(|_| {
        // The next attempt of the caller may use it.
        if let (Some(charge), Some(workspace)) = (&prompt_charge, &workspace)
            && let (true, Some(event)) = (charge.is_paid, call.resume_after)
        {
            let point = ResumePoint { prompt: charge.digest, event };
            spawn_local(Peers::note_charge(node.clone(), workspace.name.clone(), point));
        }
    })?;
    let retry_state =
        RetryState::new(route.retry_policy.allows_retry(), route.max_attempts, MAX_FAILED_CONNECTS);
    let job = Job {
        node: node.clone(),
        head,
        call: call.clone(),
        body,
        route,
        service,
        workspace,
        deadline,
        arrived,
        version: catalog.version(),
        config_age: node.catalog_age(),
        retry_state: RefCell::new(retry_state),
        history: RefCell::default(),
        reservation: RefCell::new(reservation),
        prompt_charge,
        trial,
        timing: Cell::default(),
        logged: Cell::new(false),
    };
    Ok(job)
}

/// Finds the route and the workspace of a request.
///
/// If the configuration may be outdated, a route or key that it lacks gets a refusal that lets the
/// caller retry.
fn find_route(
    node: &Node,
    catalog: &Catalog,
    head: &request::Parts,
    call: &Call,
) -> Result<(Rc<Route>, Option<Rc<Workspace>>), Refusal> {
    let unknown = |refusal| match node.catalog_freshness() {
        Freshness::Newest => refusal,
        Freshness::Outdated | Freshness::Restored => Refusal::NotRun(UNREADY_RETRY_AFTER),
    };
    let route = catalog.route(&call.host, head.uri.path());
    let route = route.ok_or_else(|| unknown(Refusal::NoRoute))?;
    let workspace = call.key.as_ref().and_then(|key| catalog.workspace_by_key(key));
    if workspace.is_none() && catalog.requires_keys() && !route.allow_anonymous {
        return Err(unknown(Refusal::UnknownKey));
    }
    Ok((route.clone(), workspace.cloned()))
}

fn check_draining(node: &Node, max_wait: Duration) -> Result<(), Refusal> {
    let accepts = match node.phase.get() {
        Phase::Serving => true,
        Phase::Draining(since) => drain::accepts(node.settings.grace, since.elapsed(), max_wait),
        Phase::Closed => false,
    };
    accepts.then_some(()).ok_or(Refusal::NotRun(DRAINING_RETRY_AFTER))
}

/// Returns the quarantined part of its prompt that a request is to try, if any.
fn check_quarantine(node: &Node, call: &Call) -> Result<Option<Arc<str>>, Refusal> {
    let Some(prompt) = &call.prompt else { return Ok(None) };
    let admitted = node.quarantine.borrow_mut().admit(node.now(), prompt);
    match admitted {
        Ok(None) => Ok(None),
        Ok(Some(part)) => {
            tracing::warn!(event = "quarantine_trial", id = %call.id, %part);
            Ok(Some(part))
        }
        Err(found) => {
            tracing::info!(
                event = "request_quarantined",
                id = %call.id,
                part = %found.part,
                ended = found.ended,
                sound = found.sound,
            );
            Err(Refusal::Quarantined { part: found.part, status: ExecutionStatus::NotRun })
        }
    }
}

/// Finds out whether a request resumes a stream whose prompt was charged.
async fn prompt_charge(
    node: &Rc<Node>,
    call: &Call,
    head: &request::Parts,
    body: &Bytes,
    route: &Route,
    workspace: Option<&Workspace>,
) -> Option<PromptCharge> {
    let (Some(prompt), Some(workspace)) = (&call.prompt, workspace) else { return None };
    if workspace.prepaid.is_none() || route.retry_policy != RetryPolicy::Resumable {
        return None;
    }
    let target = head.uri.path_and_query().map_or("", |target| target.as_str());
    let digest = prompt_digest(head.method.as_str(), target, prompt, body);
    let is_paid = match call.resume_after {
        Some(event) => {
            let point = ResumePoint { prompt: digest, event };
            Peers::use_charge(node, &workspace.name, point).await
        }
        None => false,
    };
    let last_event = Cell::new(call.resume_after);
    Some(PromptCharge { digest, is_paid, last_event, is_settled: Cell::new(false) })
}

async fn reserve(
    node: &Rc<Node>,
    call: &Call,
    route: &Route,
    workspace: Option<&Workspace>,
    is_prompt_paid: bool,
    deadline: Instant,
) -> Result<Option<Reservation>, Refusal> {
    let (Some(prompt), Some(workspace)) = (&call.prompt, workspace) else { return Ok(None) };
    if workspace.prepaid.is_none() {
        return Ok(None);
    }
    let reserve_deadline =
        deadline.min(Instant::now() + route.target_latency * RESERVE_TIMEOUT_PERCENT / 100);
    let tokens = if is_prompt_paid { prompt.output } else { prompt.max_charge() };
    let error = match Budgets::reserve(node, &workspace.name, tokens, reserve_deadline).await {
        Ok(reservation) => return Ok(Some(reservation)),
        Err(error) => error,
    };
    node.budgets.log_refused(node.now(), &call.id, &workspace.name, tokens, error);
    match error.outcome {
        ReserveResult::Exhausted => Err(Refusal::BudgetExhausted),
        // The other hosts were asked too, so that none of them could serve the caller sooner.
        ReserveResult::Unavailable => Err(Refusal::NotRun(PLATFORM_DOWN_RETRY_AFTER)),
        ReserveResult::Wait | ReserveResult::WaitFor(_) | ReserveResult::Reserved => {
            Err(Refusal::NotRun(UNREADY_RETRY_AFTER))
        }
    }
}

/// Sends a request until it is answered, and passes the response on.
async fn forward(mut job: Job, pending: Option<PendingRequest>) -> Response<Body> {
    let response = tokio::select! {
        response = timeout_at(job.deadline, run_attempts(&job)) => Some(response),
        () = job.node.wait_for_end() => None,
    };
    let response = match response {
        Some(Ok(response)) => response,
        None => match job.retry_state.borrow().status() {
            ExecutionStatus::NotRun => Err(Refusal::NotRun(DRAINING_RETRY_AFTER)),
            ExecutionStatus::Unknown => Err(Refusal::Unknown),
        },
        Some(Err(_)) => match job.retry_state.borrow().status() {
            ExecutionStatus::NotRun => Err(Refusal::TimeoutNotRun),
            ExecutionStatus::Unknown => {
                if job.is_deadline_of_caller() {
                    job.charge_abandoned();
                }
                Err(Refusal::TimeoutUnknown)
            }
        },
    };
    drop(pending);
    match response {
        Ok(UpstreamResponse::Buffered { head, body }) => {
            job.log(ANSWERED, head.status.as_u16(), 0);
            let mut response = Response::from_parts(head, Body::Buffered(Full::new(body)));
            job.node.dialect.remove_private_headers(response.headers_mut());
            remove_hop_by_hop_fields(&mut response);
            response
        }
        Ok(UpstreamResponse::Streaming { mut head, attempt, start }) => {
            if job.route.streamed && head.status.is_success() {
                // The rest may come from another backend server.
                head.headers.remove(CONTENT_LENGTH);
            }
            job.node.dialect.remove_private_headers(&mut head.headers);
            let id = job.call.id.clone();
            let may_resume = job.route.streamed && head.status.is_success();
            if !may_resume || job.route.retry_policy != RetryPolicy::Resumable {
                job.body.release();
            }
            let relay = Relay::new(job, *attempt, &head);
            let body =
                Body::Streaming(Box::pin(panics::catch_stream(id, relay.into_stream(start))));
            let mut response = Response::from_parts(head, body);
            remove_hop_by_hop_fields(&mut response);
            response
        }
        Err(refusal) => {
            job.log(refusal.reason(), 0, 0);
            job.node.dialect.refusal_response(Some(&job.call), refusal).map(Body::from)
        }
    }
}

/// Sends a request to one backend server after the other, as long as retries are allowed. The
/// exchange with one that is only silent is kept, and counts if no other one takes the request; if it
/// had to be given up, its backend server is asked once more then.
async fn run_attempts(job: &Job) -> Result<UpstreamResponse, Refusal> {
    let mut retry_after = UNREADY_RETRY_AFTER;
    let mut silent: Option<Exchange<'_>> = None;
    let mut can_retry = true;
    let mut again: Option<Arc<str>> = None;
    let refusal = loop {
        let after = job.call.resume_after;
        let started = match again.take() {
            Some(id) => Attempt::start_again(job, &id, after).await,
            None => Attempt::start(job, after).await,
        };
        let failure = match started {
            Ok(attempt) => {
                job.record_sent();
                match wait_for_response(job, Exchange::new(job, attempt), &mut silent).await {
                    Ok(response) => {
                        abandon(job, silent);
                        return Ok(response);
                    }
                    Err(failure) => Some(failure),
                }
            }
            Err(StartError::Rejected(next_retry_after)) => {
                retry_after = next_retry_after;
                None
            }
            Err(StartError::Quarantined(part)) => {
                let status = job.retry_state.borrow().status();
                break Some(Refusal::Quarantined { part, status });
            }
            Err(StartError::Unreachable) => Some(AttemptFailure::NotSent),
        };
        can_retry &=
            failure.is_some_and(|failure| job.retry_state.borrow_mut().finish_attempt(failure));
        if job.retry_state.borrow().status() == ExecutionStatus::NotRun {
            job.clear_used();
        }
        if !can_retry && silent.is_none() {
            again = job.history.borrow_mut().take_abandoned();
        }
        if let Some(failure) = failure {
            tracing::info!(
                event = "send_ended",
                id = %job.call.id,
                backend = job.history.borrow().ids().last().map(|id| &**id),
                ending = ?failure,
                again = can_retry || again.is_some(),
                left_ms = job.time_left().as_millis() as u64,
            );
        }
        if !can_retry && again.is_none() {
            break None;
        }
    };
    if let Some(exchange) = silent {
        tracing::info!(
            event = "attempt_kept",
            id = %job.call.id,
            backend = %exchange.backend,
            left_ms = job.time_left().as_millis() as u64,
        );
        if let Ok(response) = exchange.response.await {
            return Ok(response);
        }
    }
    Err(refusal.unwrap_or_else(|| match job.retry_state.borrow().status() {
        ExecutionStatus::NotRun => Refusal::NotRun(retry_after),
        ExecutionStatus::Unknown => Refusal::Unknown,
    }))
}

/// Gives up an exchange that may still be going on, if there is one.
fn abandon(job: &Job, exchange: Option<Exchange<'_>>) {
    let Some(exchange) = exchange else { return };
    tracing::info!(
        event = "exchange_abandoned",
        id = %job.call.id,
        backend = %exchange.backend,
        left_ms = job.time_left().as_millis() as u64,
    );
    job.history.borrow_mut().record_abandoned(exchange.backend);
}

/// A request that was sent to a backend server, and its response that is awaited.
struct Exchange<'a> {
    backend: Arc<str>,
    response: LocalBoxFuture<'a, Result<UpstreamResponse, AttemptFailure>>,
}

impl<'a> Exchange<'a> {
    fn new(job: &'a Job, mut attempt: Attempt) -> Self {
        let backend = attempt.backend().clone();
        let response = async move {
            let head = attempt.send_request(job, job.call.resume_after).await?;
            collect_response(job, attempt, head).await
        };
        Self { backend, response: Box::pin(response) }
    }
}

/// Waits for the response to a request, and for that of an earlier attempt that was only silent. If
/// this one is silent, too, it is kept unless the earlier one still is.
async fn wait_for_response<'a>(
    job: &Job,
    mut exchange: Exchange<'a>,
    silent: &mut Option<Exchange<'a>>,
) -> Result<UpstreamResponse, AttemptFailure> {
    let max_overlap = match job.route.retry_policy {
        RetryPolicy::Resumable => MAX_STREAM_OVERLAP,
        RetryPolicy::Idempotent | RetryPolicy::Never => Duration::MAX,
    };
    let response = {
        let response = Attempt::wait_for(job, &exchange.backend, None, &mut exchange.response);
        let mut response = pin!(response);
        let first = match silent.as_mut() {
            Some(former) => tokio::select! {
                biased;
                response = &mut response => Some(response),
                earlier = &mut former.response => {
                    *silent = None;
                    match earlier {
                        Ok(response) => {
                            job.history.borrow_mut().record_abandoned(exchange.backend.clone());
                            Some(Some(Ok(response)))
                        }
                        Err(_) => None,
                    }
                }
                () = sleep(max_overlap) => {
                    abandon(job, silent.take());
                    None
                }
            },
            None => None,
        };
        match first {
            Some(response) => response,
            None => response.await,
        }
    };
    if let Some(response) = response {
        return response;
    }
    let node = &job.node;
    node.backends.borrow_mut().record_health(node.now(), &exchange.backend, HealthSignal::Failed);
    match silent {
        Some(_) => abandon(job, Some(exchange)),
        None => *silent = Some(exchange),
    }
    Err(AttemptFailure::Unknown)
}

/// Buffers the body of a response whose head has arrived, or leaves it to be streamed.
async fn collect_response(
    job: &Job,
    mut attempt: Attempt,
    head: Response<Incoming>,
) -> Result<UpstreamResponse, AttemptFailure> {
    let (head, mut body) = head.into_parts();
    if job.route.streamed && head.status.is_success() {
        attempt.set_body(body);
        return Ok(UpstreamResponse::Streaming {
            head,
            attempt: Box::new(attempt),
            start: Bytes::new(),
        });
    }
    if head.status.is_server_error() && job.retry_state.borrow().can_retry() {
        attempt.record_failure();
        return Err(AttemptFailure::Failed);
    }
    let mut buffered = BytesMut::new();
    loop {
        let frame = match body.frame().await {
            Some(Ok(frame)) => frame,
            None => {
                // Lets the connection find out how it ends.
                yield_now().await;
                if !attempt.is_cut() {
                    break;
                }
                attempt.record_broken(job);
                return Err(AttemptFailure::Unknown);
            }
            Some(Err(_)) => {
                attempt.record_broken(job);
                return Err(AttemptFailure::Unknown);
            }
        };
        attempt.record_activity();
        if let Ok(bytes) = frame.into_data() {
            buffered.extend_from_slice(&bytes);
        }
        if buffered.len() > MAX_BUFFERED_BYTES {
            attempt.set_body(body);
            return Ok(UpstreamResponse::Streaming {
                head,
                attempt: Box::new(attempt),
                start: buffered.freeze(),
            });
        }
    }
    let failed = head.status.is_server_error();
    attempt.record_surplus(job);
    attempt.finish(failed);
    if head.status.is_success() {
        // Only streams tell how many tokens they have brought.
        job.record_output(u64::MAX);
        job.record_whole_response();
    }
    Ok(UpstreamResponse::Buffered { head, body: buffered.freeze() })
}

/// Removes the headers and the version that concern only the connection to the backend server. A body
/// without a length has no marked end in HTTP/1.0, so a break would look like the end to a caller.
fn remove_hop_by_hop_fields(response: &mut Response<Body>) {
    *response.version_mut() = Version::HTTP_11;
    let headers = response.headers_mut();
    for name in [CONNECTION, PROXY_AUTHENTICATE, TE, TRAILER, TRANSFER_ENCODING, UPGRADE] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}
