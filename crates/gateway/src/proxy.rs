//! Carries one request from its head to the head of its answer.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use coordination::locate::hash;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{
    Request, Response,
    body::Incoming,
    header::{
        CONNECTION, CONTENT_LENGTH, HeaderValue, PROXY_AUTHENTICATE, TE, TRAILER,
        TRANSFER_ENCODING, UPGRADE,
    },
    http::request,
};
use tokio::time::{Instant, timeout, timeout_at};

use crate::{
    account::ReserveResult,
    attempt::{Attempt, StartError, UpstreamResponse},
    body::Body,
    budgets::{Budgets, Reservation},
    catalog::{Catalog, Route, Service, Workspace},
    node::{Node, Phase},
    relay::Relay,
    request::{Call, Refusal},
    retry_state::{AttemptFailure, ExecutionStatus, RetryState},
};

/// Time after which a caller comes back to a host that isn't ready or can't read the platform.
const UNREADY_PAUSE: Duration = Duration::from_millis(500);

/// Time after which a caller comes back that no host can set tokens aside for while the platform is
/// away; outages last some seconds.
const AWAY_PAUSE: Duration = Duration::from_secs(3);

/// Time after which a caller finds another host when this one leaves.
const LEAVING_PAUSE: Duration = Duration::from_millis(100);

/// Time after a request to stop from which no new stream is begun.
const LAST_STREAM: Duration = Duration::from_secs(3);

/// Longest wait for a transaction that brings tokens, in percent of the route's target.
const RESERVE_PERCENT: u32 = 75;

/// Connections to a backend server that may fail before the request is refused.
const CONNECTS: u32 = 4;

/// Longest answer that is collected before its head is passed on, so that one that breaks off can be
/// asked for again, in bytes.
const COLLECTED_BYTES: usize = 128 * 1024;

/// A request that was admitted.
#[derive(Debug)]
pub struct Job {
    /// The host.
    pub node: Rc<Node>,
    /// Head of the request.
    pub head: request::Parts,
    /// What it asks for.
    pub call: Call,
    /// Its body.
    pub body: Bytes,
    /// Its route.
    pub route: Rc<Route>,
    /// The service that it goes to.
    pub service: Rc<Service>,
    /// Whom it is for.
    pub workspace: Option<Rc<Workspace>>,
    /// When it must be answered.
    pub deadline: Instant,
    /// When it came.
    pub arrived: Instant,
    /// Version of the configuration by which it is served.
    pub version: u64,
    /// Its sends.
    pub retry_state: RefCell<RetryState>,
    /// Ids of backend servers that it was sent to.
    pub tried: RefCell<Vec<Arc<str>>>,
    /// Tokens that are set aside for it.
    pub reservation: RefCell<Option<Reservation>>,
    /// Its end has been logged.
    pub logged: Cell<bool>,
}

impl Job {
    /// Returns the time that is left.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the urgency; 0 is the most urgent.
    pub fn priority(&self) -> u8 {
        let own = self.workspace.as_ref().and_then(|workspace| workspace.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Notes what the request has used in all: its prompt and so many tokens of the answer.
    pub fn set_output_tokens(&self, output: u64) {
        let Some(prompt) = &self.call.prompt else { return };
        if let Some(reservation) = &mut *self.reservation.borrow_mut() {
            reservation.set_used(prompt.input + output.min(prompt.output));
        }
    }

    /// Notes that the request has used nothing, since it did not run.
    fn clear_used(&self) {
        if let Some(reservation) = &mut *self.reservation.borrow_mut() {
            reservation.set_used(0);
        }
    }

    /// Writes the line that tells how the request ended.
    pub fn log(&self, outcome: &str, status: u16, events: u64) {
        if self.logged.replace(true) {
            return;
        }
        let tried = self.tried.borrow();
        let age = self.arrived.elapsed();
        self.node.metrics.ended(outcome, &self.route.name, age);
        tracing::info!(
            event = "request",
            id = %self.call.id,
            route = %self.route.name,
            service = %self.service.name,
            workspace = self.workspace.as_ref().map(|workspace| &*workspace.name),
            outcome,
            status,
            backend = tried.last().map(|id| &**id),
            sends = tried.len(),
            events,
            tokens = self.reservation.borrow().as_ref().map(Reservation::used),
            ms = age.as_millis() as u64,
            left_ms = self.time_left().as_millis() as u64,
            config = self.version,
        );
    }
}

impl Drop for Job {
    fn drop(&mut self) {
        self.log("caller_left", 0, 0);
    }
}

/// Counts a request as under way until it is dropped.
#[derive(Debug)]
pub struct ActiveRequest(Rc<Node>);

impl ActiveRequest {
    fn new(node: &Rc<Node>) -> Self {
        node.active.set(node.active.get() + 1);
        Self(node.clone())
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get() - 1);
    }
}

/// Answers a caller's request.
pub async fn handle(node: Rc<Node>, request: Request<Incoming>) -> Response<Body> {
    let active = ActiveRequest::new(&node);
    let (head, body) = request.into_parts();
    let mut response = match node.dialect.parse_request(&head) {
        Ok(call) => serve(&node, head, body, call, active).await,
        Err(fault) => {
            tracing::info!(event = "request_malformed", fault);
            node.metrics.refused(Refusal::Malformed.reason());
            node.dialect.refusal_response(None, Refusal::Malformed).map(Body::from)
        }
    };
    if node.phase.get() != Phase::Serving {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn serve(
    node: &Rc<Node>,
    head: request::Parts,
    body: Incoming,
    call: Call,
    active: ActiveRequest,
) -> Response<Body> {
    let id = call.id.clone();
    match admit(node, head, body, &call).await {
        Ok(job) => forward(job, active).await,
        Err(refusal) => {
            node.metrics.refused(refusal.reason());
            tracing::info!(
                event = "request_refused",
                %id,
                reason = refusal.reason(),
                host = %call.host,
                config = node.catalog().map(|catalog| catalog.version()),
                config_fresh = node.is_catalog_fresh(),
            );
            node.dialect.refusal_response(Some(&call), refusal).map(Body::from)
        }
    }
}

/// Finds out how a request is served, reads its body and sets its tokens aside.
async fn admit(
    node: &Rc<Node>,
    head: request::Parts,
    body: Incoming,
    call: &Call,
) -> Result<Job, Refusal> {
    let arrived = Instant::now();
    let catalog = node.catalog().ok_or(Refusal::NotRun(UNREADY_PAUSE))?;
    let (route, workspace) = find_route(node, &catalog, &head, call)?;
    check_draining(node, &route)?;
    let service = route.service(hash(call.id.as_bytes()));
    let service = service.and_then(|name| catalog.service(name));
    let service = service.ok_or(Refusal::NotRun(UNREADY_PAUSE))?.clone();
    let limits = catalog.limits();
    let read =
        timeout(limits.read_timeout, Limited::new(body, limits.max_body_bytes).collect()).await;
    let body = match read {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return Err(Refusal::BodyTooLarge);
        }
        Ok(Err(_)) => return Err(Refusal::Malformed),
        Err(_) => return Err(Refusal::TimeoutNotRun),
    };
    let wait = call.max_wait.map_or(route.timeout, |wait| wait.min(route.timeout));
    let deadline = arrived + wait;
    node.with_retry_budget(&service.name, |allowance| allowance.record_request(node.now()));
    let reservation = reserve(node, call, &route, workspace.as_deref(), deadline).await?;
    let course = RetryState::new(route.retry_policy.allows_retry(), route.max_attempts, CONNECTS);
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
        retry_state: RefCell::new(course),
        tried: RefCell::default(),
        reservation: RefCell::new(reservation),
        logged: Cell::new(false),
    };
    Ok(job)
}

/// Finds the route and the workspace of a request.
///
/// What a configuration that may be outdated doesn't name is not refused for good.
fn find_route(
    node: &Node,
    catalog: &Catalog,
    head: &request::Parts,
    call: &Call,
) -> Result<(Rc<Route>, Option<Rc<Workspace>>), Refusal> {
    let unknown = |refusal| {
        if node.is_catalog_fresh() { refusal } else { Refusal::NotRun(UNREADY_PAUSE) }
    };
    let route = catalog.route(&call.host, head.uri.path());
    let route = route.ok_or_else(|| unknown(Refusal::NoRoute))?;
    let workspace = call.key.as_ref().and_then(|key| catalog.workspace_by_key(key));
    if workspace.is_none() && catalog.requires_keys() && !route.allow_anonymous {
        return Err(unknown(Refusal::UnknownKey));
    }
    Ok((route.clone(), workspace.cloned()))
}

fn check_draining(node: &Node, route: &Route) -> Result<(), Refusal> {
    match node.phase.get() {
        Phase::Serving => Ok(()),
        Phase::Draining(since) if !route.streamed || since.elapsed() < LAST_STREAM => Ok(()),
        Phase::Draining(_) | Phase::Closed => Err(Refusal::NotRun(LEAVING_PAUSE)),
    }
}

async fn reserve(
    node: &Rc<Node>,
    call: &Call,
    route: &Route,
    workspace: Option<&Workspace>,
    deadline: Instant,
) -> Result<Option<Reservation>, Refusal> {
    let (Some(prompt), Some(workspace)) = (&call.prompt, workspace) else { return Ok(None) };
    if workspace.prepaid.is_none() {
        return Ok(None);
    }
    let until = deadline.min(Instant::now() + route.target_latency * RESERVE_PERCENT / 100);
    let tokens = prompt.max_charge();
    let denial = match Budgets::reserve(node, &workspace.name, tokens, until).await {
        Ok(reservation) => return Ok(Some(reservation)),
        Err(denial) => denial,
    };
    node.budgets.log_refused(node.now(), &call.id, &workspace.name, tokens, denial);
    match denial.outcome {
        ReserveResult::Exhausted => Err(Refusal::BudgetExhausted),
        // The other hosts were asked too, so that another one can't help sooner.
        ReserveResult::Unavailable => Err(Refusal::NotRun(AWAY_PAUSE)),
        ReserveResult::Wait | ReserveResult::Reserved => Err(Refusal::NotRun(UNREADY_PAUSE)),
    }
}

/// Sends a request until it is answered, and passes the answer on.
async fn forward(job: Job, active: ActiveRequest) -> Response<Body> {
    let answered = match timeout_at(job.deadline, run_attempts(&job)).await {
        Ok(answered) => answered,
        Err(_) => match job.retry_state.borrow().status() {
            ExecutionStatus::NotRun => Err(Refusal::TimeoutNotRun),
            ExecutionStatus::Unknown => Err(Refusal::TimeoutUnknown),
        },
    };
    match answered {
        Ok(UpstreamResponse::Buffered { head, body }) => {
            job.log("answered", head.status.as_u16(), 0);
            let mut response = Response::from_parts(head, Body::Buffered(Full::new(body)));
            remove_hop_headers(&mut response);
            response
        }
        Ok(UpstreamResponse::Streaming { mut head, attempt: visit, start }) => {
            if job.route.streamed {
                // The rest may come from another backend server.
                head.headers.remove(CONTENT_LENGTH);
            }
            let relay = Relay::new(job, *visit, active);
            let body = Body::Streaming(Box::pin(relay.into_stream(start)));
            let mut response = Response::from_parts(head, body);
            remove_hop_headers(&mut response);
            response
        }
        Err(refusal) => {
            job.log(refusal.reason(), 0, 0);
            job.node.dialect.refusal_response(Some(&job.call), refusal).map(Body::from)
        }
    }
}

/// Sends a request to one backend server after the other, as far as that is allowed.
async fn run_attempts(job: &Job) -> Result<UpstreamResponse, Refusal> {
    let mut pause = UNREADY_PAUSE;
    loop {
        let ending = match Attempt::start(job, job.call.resume_after).await {
            Ok(mut visit) => {
                job.set_output_tokens(0);
                match visit.send_request(job, job.call.resume_after).await {
                    Ok(head) => match collect_response(job, visit, head).await {
                        Ok(answer) => return Ok(answer),
                        Err(ending) => ending,
                    },
                    Err(ending) => ending,
                }
            }
            Err(StartError::Rejected(longer)) => {
                pause = longer;
                break;
            }
            Err(StartError::Unreachable) => AttemptFailure::NotSent,
        };
        let again = job.retry_state.borrow_mut().finish_attempt(ending);
        if job.retry_state.borrow().status() == ExecutionStatus::NotRun {
            job.clear_used();
        }
        tracing::info!(
            event = "send_ended",
            id = %job.call.id,
            backend = job.tried.borrow().last().map(|id| &**id),
            ending = ?ending,
            again,
            left_ms = job.time_left().as_millis() as u64,
        );
        if !again {
            break;
        }
    }
    match job.retry_state.borrow().status() {
        ExecutionStatus::NotRun => Err(Refusal::NotRun(pause)),
        ExecutionStatus::Unknown => Err(Refusal::Unknown),
    }
}

/// Decides what becomes of an answer whose head has come.
async fn collect_response(
    job: &Job,
    mut visit: Attempt,
    head: Response<Incoming>,
) -> Result<UpstreamResponse, AttemptFailure> {
    let (head, mut body) = head.into_parts();
    if job.route.streamed && head.status.is_success() {
        visit.set_body(body);
        return Ok(UpstreamResponse::Streaming {
            head,
            attempt: Box::new(visit),
            start: Bytes::new(),
        });
    }
    if head.status.is_server_error() && job.retry_state.borrow().can_retry() {
        visit.record_failure();
        return Err(AttemptFailure::Failed);
    }
    let mut collected = BytesMut::new();
    let backend = visit.backend().clone();
    loop {
        let frame = match Attempt::wait_for(job, &backend, None, body.frame()).await {
            Some(Some(Ok(frame))) => frame,
            Some(None) => break,
            Some(Some(Err(_))) | None => {
                visit.record_failure();
                return Err(AttemptFailure::Unknown);
            }
        };
        visit.record_activity();
        if let Ok(bytes) = frame.into_data() {
            collected.extend_from_slice(&bytes);
        }
        if collected.len() > COLLECTED_BYTES {
            visit.set_body(body);
            return Ok(UpstreamResponse::Streaming {
                head,
                attempt: Box::new(visit),
                start: collected.freeze(),
            });
        }
    }
    let failed = head.status.is_server_error();
    visit.finish(failed);
    Ok(UpstreamResponse::Buffered { head, body: collected.freeze() })
}

/// Removes headers that concern only the connection to the backend server.
fn remove_hop_headers(response: &mut Response<Body>) {
    let headers = response.headers_mut();
    for name in [CONNECTION, PROXY_AUTHENTICATE, TE, TRAILER, TRANSFER_ENCODING, UPGRADE] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}
