//! One send of a request to one backend server.

use std::{pin::pin, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, Uri, body::Incoming, http::response};
use tokio::time::{Instant, timeout};

use crate::{
    backend::{Entry, HealthSignal},
    catalog::RetryPolicy,
    dialect::Dispatch,
    node::Node,
    placement::{Decision, Estimate, Requirements},
    pool::{ConnectError, Connection, SendError},
    proxy::Job,
    retry_state::AttemptFailure,
};

/// Part of a backend server's connections that all hosts together open, in percent.
const CONNECTIONS_USED_PERCENT: usize = 80;

/// How many times its equal part a host may open, since few hosts are busy at the same time.
const CONNECTIONS_OVERCOMMIT: usize = 3;

/// Hosts up to which each keeps to its equal part, since all may be busy at the same time.
const OVERCOMMIT_MIN_HOSTS: usize = 16;

/// Fewest connections that a host may open to a backend server.
const MIN_CONNECTIONS: usize = 2;

/// Idle time from which a connection isn't used for a request that can't be repeated.
const UNRETRYABLE_MAX_IDLE: Duration = Duration::from_millis(800);

/// Pause after which a caller comes back when no repeat is left.
const BUDGET_SPENT_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Wait for a stream's first event from a backend server that others hear of, before it is asked for
/// elsewhere, in percent of the target. Shorter waits would move requests between busy engines.
const STREAM_TIMEOUT_PERCENT: u32 = 300;

/// Wait for a plain answer before it is asked for elsewhere, in percent of the target.
const PLAIN_TIMEOUT_PERCENT: u32 = 70;

/// Part of the allowed repeats that is kept for sends that have failed; a send that is only slow is
/// given up while more is left.
const SLOW_RETRY_MIN_BUDGET: f64 = 0.5;

/// Time between two looks whether a send is to be given up.
const ABANDON_POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Head and body of an answer.
#[derive(Debug)]
pub enum UpstreamResponse {
    /// All of it has come.
    Buffered {
        /// Head.
        head: response::Parts,
        /// Body.
        body: Bytes,
    },
    /// The rest is passed on as it comes.
    Streaming {
        /// Head.
        head: response::Parts,
        /// Where it comes from.
        attempt: Box<Attempt>,
        /// What has come of the body.
        start: Bytes,
    },
}

/// Why a request is not sent.
#[derive(Debug)]
pub enum StartError {
    /// It can't be served now; to come back after a pause.
    Rejected(Duration),
    /// The backend server that was chosen can't be reached.
    Unreachable,
}

/// A send under way; it is cancelled when dropped.
#[derive(Debug)]
pub struct Attempt {
    node: Rc<Node>,
    to: Entry,
    max_connections: usize,
    /// Prompt tokens that count as waiting to be read until the first event.
    prefill_tokens: u64,
    link: Option<Connection>,
    body: Option<Incoming>,
    health: HealthSignal,
}

impl Attempt {
    /// Chooses a backend server and connects to it.
    ///
    /// # Errors
    ///
    /// Fails where the request can't be sent; nothing was written then.
    pub async fn start(job: &Job, resume_after: Option<u64>) -> Result<Self, StartError> {
        let node = job.node.clone();
        let now = node.now();
        let verdict = {
            let tried = job.tried.borrow();
            let want = Requirements {
                service: &job.service.name,
                zone: &node.settings.zone,
                prompt: job.call.prompt.as_ref(),
                tried: &tried,
                target_latency: job.route.target_latency,
                time_left: job.time_left(),
            };
            node.backends.borrow_mut().place(now, &want)
        };
        let (to, unread) = match verdict {
            Decision::Send { to, unread, estimate: ground } => {
                log_placement(job, Some(&to.id), unread, Some(ground));
                (to, unread)
            }
            Decision::Refuse { retry_after: pause, estimate: ground } => {
                log_placement(job, None, 0, ground);
                return Err(StartError::Rejected(pause));
            }
        };
        // A stream that goes on elsewhere counts as sent again too.
        let repeat = job.retry_state.borrow().is_retry() || resume_after != job.call.resume_after;
        if repeat
            && !node.with_retry_budget(&job.service.name, |own| own.try_withdraw(now, node.hosts()))
        {
            tracing::info!(event = "repeat_refused", id = %job.call.id, service = %job.service.name);
            return Err(StartError::Rejected(BUDGET_SPENT_RETRY_AFTER));
        }
        job.tried.borrow_mut().push(to.id.clone());
        let hosts = usize::try_from(node.hosts()).unwrap_or(usize::MAX);
        let most = job.service.max_connections * CONNECTIONS_USED_PERCENT / 100 / hosts;
        let busy = if hosts > OVERCOMMIT_MIN_HOSTS { CONNECTIONS_OVERCOMMIT } else { 1 };
        let most = (most * busy).max(MIN_CONNECTIONS);
        let recent = if job.route.retry_policy.allows_retry() {
            Duration::MAX
        } else {
            UNRETRYABLE_MAX_IDLE
        };
        let link = match node.pool.acquire(&to, most, recent).await {
            Ok(link) => link,
            Err(fault) => {
                record_connect_error(&node, job, &to.id, &fault);
                return Err(StartError::Unreachable);
            }
        };
        if let Some(backend) = node.backends.borrow_mut().get_mut(&to.id) {
            backend.start_request(node.now(), job.call.prompt.as_ref(), unread);
        }
        Ok(Self {
            node,
            to,
            max_connections: most,
            prefill_tokens: unread,
            link: Some(link),
            body: None,
            health: HealthSignal::Neutral,
        })
    }

    /// Returns the id of the backend server.
    pub fn backend(&self) -> &Arc<str> {
        &self.to.id
    }

    /// Returns how long to wait for an answer before it is asked for elsewhere.
    fn response_timeout(job: &Job) -> Duration {
        let percent = match job.route.retry_policy {
            RetryPolicy::Idempotent => PLAIN_TIMEOUT_PERCENT,
            RetryPolicy::Resumable => STREAM_TIMEOUT_PERCENT,
            RetryPolicy::Never => return Duration::MAX,
        };
        job.route.target_latency * percent / 100
    }

    /// Returns whether a send that has brought nothing for so long is given up for another one.
    ///
    /// A send is never given up where no other may follow.
    fn can_abandon(job: &Job, backend: &str, waited: Duration, patience: Duration) -> bool {
        if !job.retry_state.borrow().can_retry() {
            return false;
        }
        let node = &job.node;
        let now = node.now();
        if !node.backends.borrow().has_other(now, &job.service.name, &job.tried.borrow()) {
            return false;
        }
        let room =
            node.with_retry_budget(&job.service.name, |own| own.remaining(now, node.hosts()));
        let silent =
            node.backends.borrow_mut().get_mut(backend).is_none_or(|own| own.is_silent(now));
        (silent && room > 0.0) || (waited >= patience && room > SLOW_RETRY_MIN_BUDGET)
    }

    /// Waits for a part of the answer; `None` where the send is given up.
    pub async fn wait_for<T>(
        job: &Job,
        backend: &str,
        patience: Option<Duration>,
        part: impl Future<Output = T>,
    ) -> Option<T> {
        let patience = patience.unwrap_or_else(|| Self::response_timeout(job));
        let look = ABANDON_POLL_INTERVAL.min(patience);
        let started = Instant::now();
        let mut part = pin!(part);
        loop {
            if let Ok(part) = timeout(look, &mut part).await {
                return Some(part);
            }
            if job.time_left().is_zero()
                || Self::can_abandon(job, backend, started.elapsed(), patience)
            {
                return None;
            }
        }
    }

    /// Sends the request and returns the head of its answer.
    ///
    /// # Errors
    ///
    /// Fails where no answer to this request came that can be passed on.
    pub async fn send_request(
        &mut self,
        job: &Job,
        resume_after: Option<u64>,
    ) -> Result<Response<Incoming>, AttemptFailure> {
        job.retry_state.borrow_mut().begin_attempt();
        let backend = self.to.id.clone();
        let response = match Self::wait_for(
            job,
            &backend,
            None,
            self.send_on_connection(job, resume_after),
        )
        .await
        {
            Some(Ok(response)) => response,
            Some(Err(SendError::NotSent)) => {
                self.health = HealthSignal::Unreachable;
                return Err(AttemptFailure::NotSent);
            }
            Some(Err(SendError::Broken(error))) => {
                tracing::info!(event = "send_broken", id = %job.call.id, backend = %self.to.id, %error);
                self.health = HealthSignal::Failed;
                return Err(AttemptFailure::Unknown);
            }
            None => {
                self.health = HealthSignal::Failed;
                return Err(AttemptFailure::Unknown);
            }
        };
        self.record_activity();
        self.validate(job, response)
    }

    async fn send_on_connection(
        &mut self,
        job: &Job,
        resume_after: Option<u64>,
    ) -> Result<Response<Incoming>, SendError> {
        let Some(mut link) = self.link.take() else { return Err(SendError::NotSent) };
        let mut sent = link.send(self.build_request(job, resume_after)).await;
        if matches!(sent, Err(SendError::NotSent)) && link.is_reused() {
            link = match self
                .node
                .pool
                .acquire(&self.to, self.max_connections, Duration::ZERO)
                .await
            {
                Ok(link) => link,
                Err(fault) => {
                    record_connect_error(&self.node, job, &self.to.id, &fault);
                    return Err(SendError::NotSent);
                }
            };
            sent = link.send(self.build_request(job, resume_after)).await;
        }
        self.link = Some(link);
        sent
    }

    fn build_request(&self, job: &Job, resume_after: Option<u64>) -> Request<Full<Bytes>> {
        let dispatch = Dispatch {
            to: &self.to.id,
            time_left: job.time_left(),
            workspace: job.workspace.as_ref().map(|workspace| &*workspace.name),
            priority: job.priority(),
            resume_after,
            body_bytes: job.body.len(),
        };
        let mut request = Request::new(Full::new(job.body.clone()));
        *request.method_mut() = job.head.method.clone();
        *request.headers_mut() = self.node.dialect.forwarded_headers(&job.head, &dispatch);
        let target = job.head.uri.path_and_query().cloned();
        *request.uri_mut() = target.map_or_else(|| Uri::from_static("/"), Uri::from);
        request
    }

    /// Checks that an answer belongs to the request and can be passed on.
    fn validate(
        &mut self,
        job: &Job,
        response: Response<Incoming>,
    ) -> Result<Response<Incoming>, AttemptFailure> {
        let (head, body) = response.into_parts();
        let reply = self.node.dialect.parse_response(&head);
        let succeeded = head.status.is_success();
        let own = reply.id.as_ref().map(|id| **id == *job.call.id);
        if own == Some(false) || (succeeded && !(own == Some(true) && reply.authentic)) {
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
        if let Some(load) = reply.load
            && let Some(backend) = self.node.backends.borrow_mut().get_mut(&self.to.id)
        {
            backend.record_load(self.node.now(), load);
        }
        if let Some(link) = &mut self.link {
            link.set_keep_alive(reply.keep_alive);
        }
        if reply.not_run {
            let elsewhere = head.status == hyper::StatusCode::MISDIRECTED_REQUEST;
            self.health = if elsewhere { HealthSignal::Unreachable } else { HealthSignal::Failed };
            return Err(AttemptFailure::NotRun);
        }
        Ok(Response::from_parts(head, body))
    }

    /// Takes the rest of the answer, which is passed on as it comes.
    pub fn set_body(&mut self, body: Incoming) {
        self.body = Some(body);
    }

    /// Returns the rest of the answer.
    pub fn body(&mut self) -> Option<&mut Incoming> {
        self.body.as_mut()
    }

    /// Notes bytes of the answer.
    pub fn record_activity(&self) {
        self.node.backends.borrow_mut().record_activity(self.node.now(), &self.to.id);
    }

    /// Notes the first event of a stream.
    pub fn record_first_event(&mut self) {
        let unread = std::mem::take(&mut self.prefill_tokens);
        if let Some(backend) = self.node.backends.borrow_mut().get_mut(&self.to.id) {
            backend.finish_prefill(unread);
        }
    }

    /// Notes that the backend server failed, broke off or stayed silent.
    pub fn record_failure(&mut self) {
        self.health = HealthSignal::Failed;
    }

    /// Notes that the answer has been read to its end and keeps the connection.
    pub fn finish(&mut self, failed: bool) {
        self.health = if failed { HealthSignal::Failed } else { HealthSignal::Healthy };
        if let Some(link) = self.link.take() {
            self.node.pool.release(&self.to.id, link);
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.record_first_event();
        self.node.backends.borrow_mut().finish_request(self.node.now(), &self.to.id, self.health);
    }
}

/// Writes the line that tells why a backend server was chosen, or none.
fn log_placement(job: &Job, to: Option<&str>, unread: u64, ground: Option<Estimate>) {
    tracing::info!(
        event = "placed",
        id = %job.call.id,
        service = %job.service.name,
        backend = to,
        unread,
        candidates = ground.map_or(0, |ground| ground.candidates),
        delay_ms = ground.map(|ground| ground.latency_ms as u64),
        doubt_ms = ground.map(|ground| ground.penalty_ms as u64),
        running = ground.map(|ground| ground.load.running),
        waiting = ground.map(|ground| ground.load.waiting),
        report_age_ms = ground.and_then(|g| g.report_age).map(|age| age.as_millis() as u64),
        left_ms = job.time_left().as_millis() as u64,
    );
}

fn record_connect_error(node: &Node, job: &Job, id: &str, fault: &ConnectError) {
    tracing::info!(event = "backend_unreached", id = %job.call.id, backend = id, %fault);
    let sign = if matches!(fault, ConnectError::Full) {
        HealthSignal::Neutral
    } else {
        HealthSignal::Unreachable
    };
    node.backends.borrow_mut().record_health(node.now(), id, sign);
}
