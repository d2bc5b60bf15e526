//! One attempt to send a request to a backend server.

mod permit;

use std::{ops::RangeInclusive, pin::pin, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode, Uri,
    body::Incoming,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
    http::response,
};
use tokio::time::{Instant, timeout};

use self::permit::PermitGuard;
use crate::{
    backend::{Entry, HealthSignal},
    cache::Memory,
    catalog::RetryPolicy,
    crash::{BrokenRequest, RISK_TIME},
    dialect::{Dispatch, LimitStatement, Reply},
    node::Node,
    pace::Cadence,
    placement::{Decision, Estimate, Excluded, Requirements},
    pool::{ConnectError, Connection, SendError},
    proxy::Job,
    request::Prompt,
    retry_state::AttemptFailure,
};

/// Share of a backend server's connections that all hosts together open, in percent.
const CONNECTIONS_USED_PERCENT: usize = 80;

/// Multiple of its equal share that a host may open, since few hosts are busy at the same time.
const CONNECTIONS_OVERCOMMIT: usize = 3;

/// Number of hosts up to which each keeps to its equal share, since all may be busy at the same
/// time.
const EQUAL_SHARE_MAX_HOSTS: usize = 16;

/// Minimum number of connections that a host may open to a backend server.
const MIN_CONNECTIONS: usize = 2;

/// Idle time from which a connection isn't used for a request that can't be retried.
const UNRETRYABLE_MAX_IDLE: Duration = Duration::from_millis(800);

/// Time after which a caller may retry if the retry budget is spent.
const BUDGET_SPENT_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Time to wait for the response of a stream before another backend server is tried, in percent of
/// the target latency, while the backend server sends bytes for other requests. A shorter timeout
/// would move requests between busy engines.
const STREAM_TIMEOUT_PERCENT: u32 = 300;

/// Time to wait for a response that isn't a stream before another backend server is tried, in
/// percent of the target latency.
const RESPONSE_TIMEOUT_PERCENT: u32 = 70;

/// Fraction of the retry budget that is kept for failed attempts; a slow attempt is abandoned only
/// while more than this is left.
const SLOW_RETRY_MIN_BUDGET: f64 = 0.5;

/// Longest time for which two backend servers work on one stream, as while the next one may still
/// reject it.
pub const MAX_STREAM_OVERLAP: Duration = Duration::from_millis(250);

/// Statuses that a response may have. The HTTP library skips informational ones except 101, which
/// answers an upgrade that no request asks for, and accepts any number of three digits from 100 on.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Statuses of a success that has no content.
const STATUSES_WITHOUT_CONTENT: [StatusCode; 2] =
    [StatusCode::NO_CONTENT, StatusCode::RESET_CONTENT];

/// Time in which bytes that have arrived are read before a backend server counts as silent: after a
/// pause of this process its timers expire before it has read its sockets.
pub const READ_GRACE: Duration = Duration::from_millis(5);

/// Interval at which an attempt is checked for being abandoned.
const ABANDON_POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Response of a backend server.
#[derive(Debug)]
pub enum UpstreamResponse {
    /// The whole response has arrived.
    Buffered {
        /// Head.
        head: response::Parts,
        /// Body.
        body: Bytes,
    },
    /// The rest of the body is passed on as it arrives.
    Streaming {
        /// Head.
        head: response::Parts,
        /// Attempt that receives the rest.
        attempt: Box<Attempt>,
        /// Part of the body that has arrived.
        start: Bytes,
    },
}

/// Error if an attempt can't be started.
#[derive(Debug)]
pub enum StartError {
    /// The request can't be served now; the caller may retry after this time.
    Rejected(Duration),
    /// The prompt has this quarantined part.
    Quarantined(Arc<str>),
    /// The chosen backend server can't be reached.
    Unreachable,
}

/// An attempt in progress; it is cancelled when dropped.
#[derive(Debug)]
pub struct Attempt {
    node: Rc<Node>,
    to: Entry,
    max_connections: usize,
    /// Prompt tokens that count as waiting for prefill until the first event.
    prefill_tokens: u64,
    /// Input and output tokens of the prompt, if there is one.
    prompt_tokens: Option<u64>,
    /// Names of the shared parts of the prompt.
    parts: Vec<Arc<str>>,
    permit: PermitGuard,
    connection: Option<Connection>,
    body: Option<Incoming>,
    /// When the request was sent.
    sent_at: Instant,
    /// Number of events that arrived, and when the first one did.
    events: u64,
    first_event_at: Option<Instant>,
    /// Times between the events.
    cadence: Cadence,
    /// Whether the time for which the request was at risk has been recorded.
    is_exposure_recorded: bool,
    /// Whether a response has begun.
    has_begun: bool,
    /// Whether the response states its length or marks its end.
    is_framed: bool,
    /// Whether bytes followed the response that belong to none.
    has_surplus: bool,
    health: HealthSignal,
}

impl Attempt {
    /// Chooses a backend server and connects to it.
    ///
    /// # Errors
    ///
    /// Returns an error if the request can't be sent; nothing was written then.
    pub async fn start(job: &Job, resume_after: Option<u64>) -> Result<Self, StartError> {
        let node = &job.node;
        node.wait_for_evacuations().await;
        let now = node.now();
        if let Some(part) = job.quarantined_part() {
            return Err(StartError::Quarantined(part));
        }
        let decision = {
            let history = job.history.borrow();
            let connected = job.call.prompt.as_ref().map(|_| node.pool.connected(max_idle(job)));
            let requirements = Requirements {
                service: &job.service.name,
                zone: &node.settings.zone,
                prompt: job.call.prompt.as_ref(),
                memory: job.service.engine.and_then(|own| Memory::new(own, node.hosts())),
                tried: history.ids(),
                target_latency: job.route.target_latency,
                time_left: job.time_left(),
                priority: job.route.priority,
                stream_ranks: node
                    .catalog()
                    .and_then(|catalog| catalog.stream_ranks(&job.service.name)),
                connected: connected.as_ref(),
            };
            node.backends.borrow_mut().place(now, &requirements)
        };
        match decision {
            Decision::Send { to, prefill_tokens, estimate, excluded } => {
                log_placement(job, Some(&to.id), prefill_tokens, Some(&estimate), excluded, None);
                Self::connect(job, to, prefill_tokens, resume_after).await
            }
            Decision::Refuse { retry_after, estimate, excluded } => {
                log_placement(job, None, 0, estimate.as_ref(), excluded, Some(retry_after));
                Err(StartError::Rejected(retry_after))
            }
        }
    }

    /// Connects to a backend server that the request was sent to before.
    ///
    /// # Errors
    ///
    /// Returns an error if the request can't be sent; nothing was written then.
    pub async fn start_again(
        job: &Job,
        id: &str,
        resume_after: Option<u64>,
    ) -> Result<Self, StartError> {
        let node = &job.node;
        node.wait_for_evacuations().await;
        if let Some(part) = job.quarantined_part() {
            return Err(StartError::Quarantined(part));
        }
        let now = node.now();
        let known = node.backends.borrow_mut().get_mut(id).map(|backend| {
            let prompt = job.call.prompt.as_ref();
            let tokens = prompt.map_or(0, |prompt| backend.uncached_tokens(now, prompt));
            (backend.entry.clone(), tokens)
        });
        let (to, prefill_tokens) = known.ok_or(StartError::Unreachable)?;
        tracing::info!(
            event = "asked_again",
            id = %job.call.id,
            backend = id,
            after = resume_after,
            left_ms = job.time_left().as_millis() as u64,
        );
        Self::connect(job, to, prefill_tokens, resume_after).await
    }

    /// Connects to a backend server, within the retry budget and its own limit.
    async fn connect(
        job: &Job,
        to: Entry,
        prefill_tokens: u64,
        resume_after: Option<u64>,
    ) -> Result<Self, StartError> {
        let node = job.node.clone();
        let now = node.now();
        let max_idle = max_idle(job);
        // A stream that resumes at another backend server counts as a retry, too.
        let is_retry = job.retry_state.borrow().is_retry() || resume_after != job.call.resume_after;
        if is_retry
            && !node.with_retry_budget(&job.service.name, |own| own.try_withdraw(now, node.hosts()))
        {
            tracing::info!(
                event = "repeat_refused",
                id = %job.call.id,
                service = %job.service.name,
            );
            return Err(StartError::Rejected(BUDGET_SPENT_RETRY_AFTER));
        }
        job.history.borrow_mut().push(to.id.clone());
        let mut permit = PermitGuard::new(node.clone(), to.id.clone());
        if permit.take().is_err() {
            return Err(StartError::Unreachable);
        }
        let hosts = usize::try_from(node.hosts()).unwrap_or(usize::MAX);
        let max_connections = job.service.max_connections * CONNECTIONS_USED_PERCENT / 100 / hosts;
        let overcommit = if hosts > EQUAL_SHARE_MAX_HOSTS { CONNECTIONS_OVERCOMMIT } else { 1 };
        let max_connections = (max_connections * overcommit).max(MIN_CONNECTIONS);
        let connection = match node.pool.acquire(&to, max_connections, max_idle).await {
            Ok(connection) => connection,
            Err(error) => {
                record_connect_error(&node, job, &to.id, &error);
                return Err(StartError::Unreachable);
            }
        };
        if let Some(part) = job.quarantined_part() {
            node.pool.release(&to.id, connection);
            return Err(StartError::Quarantined(part));
        }
        // It may have stated meanwhile that it wants no requests, or only few, or its zone may have
        // been evacuated.
        let accepts_requests = node.backends.borrow().accepts_requests(node.now(), &to.id)
            && !node.are_evacuations_outdated();
        if !accepts_requests || permit.take().is_err() {
            node.pool.release(&to.id, connection);
            return Err(StartError::Unreachable);
        }
        if let Some(backend) = node.backends.borrow_mut().get_mut(&to.id) {
            backend.start_request(node.now(), job.call.prompt.as_ref(), prefill_tokens);
        }
        if let Some(prompt) = &job.call.prompt {
            record_prompt(&node, job, prompt, prefill_tokens, is_retry);
        }
        let parts = job.call.prompt.iter().flat_map(|prompt| &prompt.shared);
        Ok(Self {
            node,
            to,
            max_connections,
            prefill_tokens,
            prompt_tokens: job.call.prompt.as_ref().map(Prompt::max_charge),
            parts: parts.map(|part| part.name.clone()).collect(),
            permit,
            connection: Some(connection),
            body: None,
            sent_at: Instant::now(),
            events: 0,
            first_event_at: None,
            cadence: Cadence::default(),
            is_exposure_recorded: false,
            has_begun: false,
            is_framed: true,
            has_surplus: false,
            health: HealthSignal::Neutral,
        })
    }

    /// Returns the id of the backend server.
    pub fn backend(&self) -> &Arc<str> {
        &self.to.id
    }

    /// Returns how long to wait for a response before another backend server is tried.
    fn response_timeout(job: &Job) -> Duration {
        let percent = match job.route.retry_policy {
            RetryPolicy::Idempotent => RESPONSE_TIMEOUT_PERCENT,
            RetryPolicy::Resumable => STREAM_TIMEOUT_PERCENT,
            RetryPolicy::Never => return Duration::MAX,
        };
        job.route.target_latency * percent / 100
    }

    /// Returns whether an attempt that has received nothing for the time `waited` may be abandoned
    /// for another one.
    ///
    /// An attempt is never abandoned if no other may follow.
    fn can_abandon(job: &Job, backend: &str, waited: Duration, timeout: Duration) -> bool {
        if !job.retry_state.borrow().can_retry() {
            return false;
        }
        let node = &job.node;
        let now = node.now();
        if !node.backends.borrow_mut().has_other(now, &job.service.name, job.history.borrow().ids())
        {
            return false;
        }
        let budget_left =
            node.with_retry_budget(&job.service.name, |own| own.remaining(now, node.hosts()));
        let is_silent =
            node.backends.borrow_mut().get_mut(backend).is_none_or(|own| own.is_silent(now));
        (is_silent && budget_left > 0.0)
            || (waited >= timeout && budget_left > SLOW_RETRY_MIN_BUDGET)
    }

    /// Waits for a part of the response; returns `None` if the attempt is abandoned.
    pub async fn wait_for<T>(
        job: &Job,
        backend: &str,
        response_timeout: Option<Duration>,
        part: impl Future<Output = T>,
    ) -> Option<T> {
        let response_timeout = response_timeout.unwrap_or_else(|| Self::response_timeout(job));
        let poll_interval = ABANDON_POLL_INTERVAL.min(response_timeout);
        let started = Instant::now();
        let mut part = pin!(part);
        loop {
            if let Ok(part) = timeout(poll_interval, &mut part).await {
                return Some(part);
            }
            let is_over = job.time_left().is_zero()
                || Self::can_abandon(job, backend, started.elapsed(), response_timeout);
            if is_over {
                return timeout(READ_GRACE, &mut part).await.ok();
            }
        }
    }

    /// Sends the request and returns the head of its response, however long that takes.
    ///
    /// # Errors
    ///
    /// Returns an error if no response to this request arrived that can be passed on.
    pub async fn send_request(
        &mut self,
        job: &Job,
        resume_after: Option<u64>,
    ) -> Result<Response<Incoming>, AttemptFailure> {
        job.retry_state.borrow_mut().begin_attempt();
        let response = match self.send_on_connection(job, resume_after).await {
            Ok(response) => response,
            Err(SendError::NotSent) => {
                self.health = HealthSignal::Unreachable;
                return Err(AttemptFailure::NotSent);
            }
            Err(SendError::Broken { error, start }) => {
                tracing::info!(
                    event = "send_broken",
                    id = %job.call.id,
                    backend = %self.to.id,
                    %error,
                    start,
                );
                self.record_broken(job);
                return Err(AttemptFailure::Unknown);
            }
        };
        self.has_begun = true;
        // Another instance at the same address says nothing about this one.
        if response.status() != StatusCode::MISDIRECTED_REQUEST {
            self.record_activity();
        }
        self.validate(job, response)
    }

    async fn send_on_connection(
        &mut self,
        job: &Job,
        resume_after: Option<u64>,
    ) -> Result<Response<Incoming>, SendError> {
        let Some(mut connection) = self.connection.take() else { return Err(SendError::NotSent) };
        let request = self.build_request(job, resume_after);
        let mut sent = self.permit.send(&mut connection, request).await;
        if matches!(sent, Err(SendError::NotSent)) && connection.is_reused() {
            connection = match self
                .node
                .pool
                .acquire(&self.to, self.max_connections, Duration::ZERO)
                .await
            {
                Ok(connection) => connection,
                Err(error) => {
                    record_connect_error(&self.node, job, &self.to.id, &error);
                    return Err(SendError::NotSent);
                }
            };
            let may_send = self.node.backends.borrow().may_send(self.node.now(), &self.to.id)
                && !self.node.are_evacuations_outdated();
            if !may_send || self.permit.take().is_err() || job.quarantined_part().is_some() {
                return Err(SendError::NotSent);
            }
            let request = self.build_request(job, resume_after);
            sent = self.permit.send(&mut connection, request).await;
        }
        self.connection = Some(connection);
        sent
    }

    fn build_request(&self, job: &Job, resume_after: Option<u64>) -> Request<Full<Bytes>> {
        let dispatch = Dispatch {
            to: &self.to.id,
            time_left: job.time_left(),
            workspace: job.workspace.as_ref().map(|workspace| &*workspace.name),
            priority: job.priority(),
            resume_after,
            body_bytes: job.body.bytes().len(),
        };
        let mut request = Request::new(Full::new(job.body.bytes().clone()));
        *request.method_mut() = job.head.method.clone();
        *request.headers_mut() = self.node.dialect.forwarded_headers(&job.head, &dispatch);
        let target = job.head.uri.path_and_query().cloned();
        *request.uri_mut() = target.map_or_else(|| Uri::from_static("/"), Uri::from);
        request
    }

    /// Checks that a response belongs to the request and can be passed on.
    fn validate(
        &mut self,
        job: &Job,
        response: Response<Incoming>,
    ) -> Result<Response<Incoming>, AttemptFailure> {
        let (head, body) = response.into_parts();
        // Nothing else that such a response states is believed, either.
        if !FINAL_STATUSES.contains(&head.status.as_u16()) {
            return Err(self.reject_status(job, head.status));
        }
        let reply = self.node.dialect.parse_response(&head);
        let is_success = head.status.is_success();
        self.is_framed = head.headers.contains_key(CONTENT_LENGTH)
            || head.headers.contains_key(TRANSFER_ENCODING);
        self.record_statements(&reply);
        let is_own = reply.id.as_ref().map(|id| **id == *job.call.id);
        // A rejection may state no id; only a response that certainly is to this request tells by
        // its silence that a limit has ended.
        let names_limit = matches!(reply.limit, LimitStatement::PerSecond(_));
        let is_authentic = !is_success || reply.authentic;
        let is_stated = (is_own == Some(true) && is_authentic) || (is_own.is_none() && names_limit);
        if is_stated && head.status != StatusCode::MISDIRECTED_REQUEST {
            self.record_limit(reply.limit);
        }
        // On a connection that has carried another request, a response may be a late copy of one
        // to that request unless its id tells otherwise.
        let is_reused = self.connection.as_ref().is_some_and(Connection::is_reused);
        let is_trusted = match is_own {
            Some(is_own) => is_own,
            None => !is_success && !is_reused,
        };
        if !is_trusted || !is_authentic {
            tracing::warn!(
                event = "answer_foreign",
                id = %job.call.id,
                backend = %self.to.id,
                answers = reply.id.as_deref(),
                authentic = reply.authentic,
                status = head.status.as_u16(),
            );
            self.health = HealthSignal::Failed;
            return Err(AttemptFailure::Unknown);
        }
        if let Some(load) = reply.load {
            let mut backends = self.node.backends.borrow_mut();
            backends.record_load(self.node.now(), &self.to.id, load);
            if let (Some(percent), Some(backend)) =
                (reply.work_percent, backends.get_mut(&self.to.id))
            {
                backend.pace.record_report(self.node.now(), percent);
            }
        }
        if let Some(connection) = &mut self.connection {
            connection.set_keep_alive(reply.keep_alive);
        }
        if reply.not_run {
            let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
            self.health =
                if is_misdirected { HealthSignal::Unreachable } else { HealthSignal::Failed };
            return Err(AttemptFailure::NotRun);
        }
        // A response without content can't be a stream, and what another backend server sends of the
        // stream couldn't follow it.
        if job.route.streamed && STATUSES_WITHOUT_CONTENT.contains(&head.status) {
            return Err(self.reject_status(job, head.status));
        }
        Ok(Response::from_parts(head, body))
    }

    /// Records a response with a status that no response to the request can have.
    fn reject_status(&mut self, job: &Job, status: StatusCode) -> AttemptFailure {
        tracing::warn!(
            event = "status_invalid",
            id = %job.call.id,
            backend = %self.to.id,
            status = status.as_u16(),
        );
        self.record_failure();
        AttemptFailure::Unknown
    }

    /// Records what a response states about the backend server's further requests.
    ///
    /// A response to another request on this connection counts too: it comes from the same process.
    fn record_statements(&self, reply: &Reply) {
        if !reply.leaving && reply.rest.is_none() {
            return;
        }
        let mut backends = self.node.backends.borrow_mut();
        let Some(backend) = backends.get_mut(&self.to.id) else { return };
        let was_leaving = backend.is_leaving();
        if reply.leaving {
            backend.record_leaving();
        }
        if let Some(rest) = reply.rest {
            backend.record_rest(self.node.now(), rest);
        }
        tracing::info!(
            event = "backend_statement",
            backend = %self.to.id,
            leaving = reply.leaving,
            known = was_leaving,
            rest_ms = reply.rest.map(|rest| rest.as_millis() as u64),
        );
        if reply.leaving {
            self.node.pool.forget(&self.to.id);
        }
    }

    /// Records what a response states about the rate of requests that the backend server takes.
    fn record_limit(&self, limit: LimitStatement) {
        let per_s = match limit {
            LimitStatement::Absent => None,
            LimitStatement::PerSecond(per_s) => Some(per_s),
            LimitStatement::Unreadable => return,
        };
        let now = self.node.now();
        let sent_at = now.saturating_sub(self.sent_at.elapsed());
        if self.node.backends.borrow_mut().record_limit(now, &self.to.id, sent_at, per_s) {
            self.node.limit_changed.notify_one();
        }
    }

    /// Sets the rest of the response body, which is passed on as it arrives.
    pub fn set_body(&mut self, body: Incoming) {
        self.body = Some(body);
    }

    /// Returns the rest of the response body.
    pub fn body(&mut self) -> Option<&mut Incoming> {
        self.body.as_mut()
    }

    /// Records that bytes of the response arrived.
    pub fn record_activity(&self) {
        self.node.backends.borrow_mut().record_activity(self.node.now(), &self.to.id);
    }

    /// Records events of a stream; the first one ends the prefill.
    pub fn record_events(&mut self, count: u64) {
        self.events += count;
        let first_event_at = *self.first_event_at.get_or_insert_with(Instant::now);
        self.finish_prefill();
        if let Some(backend) = self.node.backends.borrow_mut().get_mut(&self.to.id) {
            backend.pace.record_events(self.node.now(), &mut self.cadence, count);
        }
        if first_event_at.elapsed() >= RISK_TIME && self.record_exposure() {
            self.node.quarantine.borrow_mut().record_outlived(self.node.now(), &self.parts);
        }
    }

    /// Records for how long the backend server may have ended by this request, once; returns whether
    /// that is new.
    fn record_exposure(&mut self) -> bool {
        if std::mem::replace(&mut self.is_exposure_recorded, true) {
            return false;
        }
        let end = self.first_event_at.map_or(Duration::MAX, |at| at - self.sent_at + RISK_TIME);
        let time = self.sent_at.elapsed().min(end);
        self.node.quarantine.borrow_mut().record_exposure(self.node.now(), &self.parts, time);
        true
    }

    /// Returns whether the end of the connection can't be the end of the response: without a frame, one
    /// whose connection was reset, or that ends before the request has been sent, has broken off.
    pub fn is_cut(&self) -> bool {
        !self.is_framed && self.connection.as_ref().is_some_and(Connection::is_cut)
    }

    /// Returns whether the end of the connection may be the end of a stream: without a frame, one
    /// that has no event yet has broken off.
    pub fn may_end_stream(&self) -> bool {
        (self.is_framed || self.events > 0) && !self.is_cut()
    }

    /// Returns whether no other backend server may ever be sent the request.
    pub fn is_only(&self, job: &Job) -> bool {
        let is_only_provider = self.node.backends.borrow().is_only(&job.service.name, &self.to.id);
        is_only_provider || job.route.max_attempts < 2
    }

    /// Returns the number of events that were passed on.
    pub fn events(&self) -> u64 {
        self.events
    }

    fn finish_prefill(&mut self) {
        let prefill_tokens = std::mem::take(&mut self.prefill_tokens);
        if let Some(backend) = self.node.backends.borrow_mut().get_mut(&self.to.id) {
            backend.finish_prefill(prefill_tokens);
        }
    }

    /// Records that the backend server failed or stayed silent.
    pub fn record_failure(&mut self) {
        self.health = HealthSignal::Failed;
    }

    /// Records that the response broke off, or its connection did before it began.
    pub fn record_broken(&mut self, job: &Job) {
        self.record_failure();
        let is_new = self.connection.as_ref().is_some_and(|own| !own.is_reused());
        let request = BrokenRequest {
            id: job.call.id.clone(),
            parts: self.parts.clone(),
            is_received: self.has_begun || is_new,
            in_progress_for: self.sent_at.elapsed(),
            events: self.events,
            responding_for: self.first_event_at.map(|at| at.elapsed()),
        };
        self.node.crashes.record(&self.node, &self.to, request);
    }

    /// Records whether bytes that belong to no response follow the one that has been read to its end;
    /// the connection is closed then. Returns whether they do, as far as they have arrived.
    pub fn record_surplus(&mut self, job: &Job) -> bool {
        let has_surplus = self.connection.as_ref().is_some_and(Connection::has_surplus);
        if has_surplus {
            tracing::warn!(
                event = "surplus_after_response",
                id = %job.call.id,
                backend = %self.to.id,
                events = self.events,
            );
            self.has_surplus = true;
            self.record_failure();
            self.connection = None;
        }
        has_surplus
    }

    /// Records that the response has been read to its end, and releases the connection to the pool.
    pub fn finish(&mut self, failed: bool) {
        let failed = failed || self.has_surplus;
        self.health = if failed { HealthSignal::Failed } else { HealthSignal::Healthy };
        self.release();
    }

    /// Releases the connection to the pool, since the response has been read to its end, and leaves
    /// open whether the backend server is healthy.
    pub fn release(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.node.pool.release(&self.to.id, connection);
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.finish_prefill();
        self.record_exposure();
        let mut backends = self.node.backends.borrow_mut();
        if let Some(tokens) = self.prompt_tokens {
            let is_whole = self.health == HealthSignal::Healthy;
            let elapsed = is_whole.then(|| self.sent_at.elapsed());
            backends.finish_prompt(&self.to.id, tokens, elapsed);
        }
        backends.finish_request(self.node.now(), &self.to.id, self.health);
    }
}

/// Returns how long a connection may have been idle on which a request is sent.
fn max_idle(job: &Job) -> Duration {
    if job.route.retry_policy.allows_retry() { Duration::MAX } else { UNRETRYABLE_MAX_IDLE }
}

/// Records a prompt that is sent, and counts the tokens that are expected to be cached and those
/// that are read again although this host has sent them before.
fn record_prompt(node: &Node, job: &Job, prompt: &Prompt, prefill_tokens: u64, is_retry: bool) {
    let service = &job.service.name;
    let mut backends = node.backends.borrow_mut();
    let known = backends.record_prompt(node.now(), service, prompt, prefill_tokens, is_retry);
    let cached = prompt.input.saturating_sub(prefill_tokens);
    node.metrics.prompt_sent(service, cached, known.saturating_sub(cached));
}

/// Logs which backend server was chosen and why, or that none was.
fn log_placement(
    job: &Job,
    to: Option<&str>,
    prefill_tokens: u64,
    estimate: Option<&Estimate>,
    excluded: Excluded,
    retry_after: Option<Duration>,
) {
    let group = estimate.and_then(|estimate| estimate.group);
    if to.is_none() {
        job.node.metrics.not_placed(excluded);
    }
    let chosen = estimate.map(|estimate| &estimate.chosen);
    let alternative = estimate.and_then(|estimate| estimate.alternative.as_ref());
    tracing::info!(
        event = "placed",
        id = %job.call.id,
        service = %job.service.name,
        backend = to,
        unread = prefill_tokens,
        candidates = estimate.map_or(0, |estimate| estimate.candidates),
        evacuated = excluded.evacuated,
        leaving = excluded.leaving,
        resting = excluded.resting,
        limited = excluded.limited,
        cold = excluded.cold,
        retry_after_ms = retry_after.map(|time| time.as_millis() as u64),
        delay_ms = estimate.map(|estimate| estimate.latency_ms as u64),
        doubt_ms = estimate.map(|estimate| estimate.penalty_ms as u64),
        running = estimate.map(|estimate| estimate.load.running),
        waiting = estimate.map(|estimate| estimate.load.waiting),
        report_age_ms = estimate
            .and_then(|estimate| estimate.report_age)
            .map(|age| age.as_millis() as u64),
        group = group.map(|group| if group.is_long { "long" } else { "other" }),
        group_share = group.map(|group| group.share),
        group_load = group.map(|group| group.load),
        evacuations_age_ms = job
            .node
            .evacuations
            .borrow()
            .age(job.node.now())
            .map(|age| age.as_millis() as u64),
        slowness = estimate.map(|estimate| (estimate.slowness * 100.0).round() / 100.0),
        pace_age_ms = estimate
            .and_then(|estimate| estimate.pace_age)
            .map(|age| age.as_millis() as u64),
        saved = chosen.map(|chosen| chosen.saved_tokens),
        wait_ms = chosen.map(|chosen| chosen.wait_ms as u64),
        room_wait_ms = chosen.map(|chosen| chosen.room_wait_ms as u64),
        retention_ms = chosen.map(|chosen| chosen.retention.as_millis() as u64),
        sent_age_ms = chosen
            .and_then(|chosen| chosen.sent_age)
            .map(|age| age.as_millis() as u64),
        alternative = alternative.map(|other| &*other.id),
        alternative_saved = alternative.map(|other| other.saved_tokens),
        alternative_wait_ms = alternative.map(|other| other.wait_ms as u64),
        left_ms = job.time_left().as_millis() as u64,
    );
}

fn record_connect_error(node: &Node, job: &Job, id: &str, error: &ConnectError) {
    tracing::info!(event = "backend_unreached", id = %job.call.id, backend = id, fault = %error);
    let signal = if matches!(error, ConnectError::Full) {
        HealthSignal::Neutral
    } else {
        HealthSignal::Unreachable
    };
    node.backends.borrow_mut().record_health(node.now(), id, signal);
}
