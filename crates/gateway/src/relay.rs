//! Passes a stream on, from one backend server after the other where it may be resumed.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::{Stream, stream};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;

use crate::{
    attempt::{Attempt, StartError},
    body::Truncated,
    catalog::RetryPolicy,
    events::Splitter,
    proxy::{ActiveRequest, Job},
    retry_state::AttemptFailure,
};

/// Pause of one stream, in percent of the longest pause wanted, after which it goes on elsewhere.
const GAP_PERCENT: u32 = 250;

/// Wait for the first event after the head, in percent of the target, after which it is asked for
/// elsewhere.
const FIRST_PERCENT: u32 = 300;

/// Longest pause wanted where the route names none.
const GAP: Duration = Duration::from_millis(500);

/// Tokens of an event where the service doesn't say.
const EVENT_TOKENS: u64 = 1;

/// What came next of an answer.
enum Next {
    Bytes(Bytes),
    End,
    Broken(&'static str),
}

/// An answer that is being passed on; cancelled when dropped.
#[derive(Debug)]
pub struct Relay {
    job: Job,
    visit: Option<Attempt>,
    splitter: Splitter,
    events: u64,
    ended: bool,
    _active: ActiveRequest,
}

impl Relay {
    /// Opens a relay of an answer whose head has come.
    pub fn new(job: Job, visit: Attempt, active: ActiveRequest) -> Self {
        let splitter = Splitter::after(job.call.resume_after);
        Self { job, visit: Some(visit), splitter, events: 0, ended: false, _active: active }
    }

    /// Returns the pieces of the answer; `start` has come with its head.
    pub fn into_stream(self, start: Bytes) -> impl Stream<Item = Result<Bytes, Truncated>> {
        let first = (!start.is_empty()).then_some(start);
        stream::unfold((self, first), |(mut relay, first)| async move {
            let item = match first {
                Some(start) => Some(Ok(start)),
                None => relay.next().await,
            };
            item.map(|item| (item, (relay, None)))
        })
    }

    async fn next(&mut self) -> Option<Result<Bytes, Truncated>> {
        while !self.ended {
            let cause = match self.read().await {
                Next::Bytes(bytes) if bytes.is_empty() => continue,
                Next::Bytes(bytes) => return Some(Ok(bytes)),
                Next::End => {
                    self.close("answered");
                    let rest = self.splitter.finish();
                    return (!rest.is_empty()).then_some(Ok(rest));
                }
                Next::Broken(cause) => cause,
            };
            if !self.resume(cause).await {
                self.close(cause);
                return Some(Err(Truncated));
            }
        }
        None
    }

    fn close(&mut self, outcome: &str) {
        self.ended = true;
        self.job.log(outcome, 200, self.events);
    }

    /// Reads the next bytes of the answer.
    async fn read(&mut self) -> Next {
        let gap = self.job.route.max_gap.unwrap_or(GAP) * GAP_PERCENT / 100;
        let first = self.job.route.target_latency * FIRST_PERCENT / 100;
        let patience = if self.events == 0 { first.max(gap) } else { gap };
        let patience = if self.can_resume() { patience } else { Duration::MAX };
        let Some(visit) = &mut self.visit else { return Next::Broken("broken_off") };
        let backend = visit.backend().clone();
        let Some(body) = visit.body() else { return Next::Broken("broken_off") };
        let frame = Attempt::wait_for(&self.job, &backend, Some(patience), body.frame()).await;
        match frame {
            Some(Some(Ok(frame))) => {
                visit.record_activity();
                self.take(frame.into_data().unwrap_or_default())
            }
            Some(None) if !self.job.route.streamed || self.splitter.is_at_boundary() => {
                visit.finish(false);
                Next::End
            }
            Some(None | Some(Err(_))) => {
                visit.record_failure();
                Next::Broken("broken_off")
            }
            None if self.job.time_left().is_zero() => Next::Broken("late"),
            None => {
                visit.record_failure();
                Next::Broken("silent")
            }
        }
    }

    /// Takes bytes of the answer and returns what can be passed on of them.
    fn take(&mut self, bytes: Bytes) -> Next {
        if !self.job.route.streamed {
            return Next::Bytes(bytes);
        }
        let whole = self.splitter.push(bytes);
        if whole.count > 0
            && let Some(visit) = &mut self.visit
        {
            visit.record_first_event();
        }
        self.events += whole.count;
        let engine = self.job.service.engine;
        let tokens = engine.map_or(EVENT_TOKENS, |engine| engine.event_tokens);
        self.job.set_output_tokens(self.events * tokens);
        Next::Bytes(whole.bytes)
    }

    fn can_resume(&self) -> bool {
        self.job.route.streamed
            && self.job.route.retry_policy == RetryPolicy::Resumable
            && self.job.retry_state.borrow().can_retry()
    }

    /// Asks another backend server for the rest of the stream.
    async fn resume(&mut self, cause: &'static str) -> bool {
        if !self.can_resume() || self.job.time_left().is_zero() {
            return false;
        }
        let from = self.visit.take().map(|visit| visit.backend().clone());
        self.splitter.discard();
        let mut again = self.job.retry_state.borrow_mut().finish_attempt(AttemptFailure::Unknown);
        while again && !self.job.time_left().is_zero() {
            let ending = match self.ask_elsewhere().await {
                Ok(visit) => {
                    self.log_resumed(cause, from.as_ref(), &visit);
                    self.visit = Some(visit);
                    return true;
                }
                Err(Some(ending)) => ending,
                Err(None) => return false,
            };
            again = self.job.retry_state.borrow_mut().finish_attempt(ending);
        }
        false
    }

    fn log_resumed(&self, cause: &str, from: Option<&Arc<str>>, to: &Attempt) {
        tracing::info!(
            event = "stream_resumed",
            id = %self.job.call.id,
            cause,
            from = from.map(|id| &**id),
            to = %to.backend(),
            after = self.splitter.last_id(),
            left_ms = self.job.time_left().as_millis() as u64,
        );
    }

    async fn ask_elsewhere(&self) -> Result<Attempt, Option<AttemptFailure>> {
        let after = self.splitter.last_id();
        let mut visit = match Attempt::start(&self.job, after).await {
            Ok(visit) => visit,
            Err(StartError::Unreachable) => return Err(Some(AttemptFailure::NotSent)),
            Err(StartError::Rejected(_)) => return Err(None),
        };
        let (head, body): (_, Incoming) =
            visit.send_request(&self.job, after).await.map_err(Some)?.into_parts();
        if !head.status.is_success() {
            visit.record_failure();
            return Err(Some(AttemptFailure::Failed));
        }
        visit.set_body(body);
        Ok(visit)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.ended {
            self.job.log("caller_left", 200, self.events);
        }
    }
}
