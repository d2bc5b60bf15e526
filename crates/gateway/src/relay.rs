//! Passes the rest of a response on; a resumable stream continues at another backend server if it
//! is interrupted.

mod handover;

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::{Stream, stream};
use http_body_util::BodyExt as _;
use hyper::{HeaderMap, header::CONTENT_TYPE, http::response};
use tokio::{
    task::yield_now,
    time::{Instant, timeout},
};

use crate::{
    attempt::{Attempt, READ_GRACE},
    body::Truncated,
    catalog::RetryPolicy,
    events::{Fault, Splitter},
    proxy::{ANSWERED, CALLER_LEFT, Job},
    request::LATE,
    stream_end::{Claim, End, Verdict},
};
use handover::Handover;

/// Time without data, in percent of the route's longest gap, after which a stream is resumed at
/// another backend server.
const STALL_TIMEOUT_PERCENT: u32 = 250;

/// Time to wait for the first event after the head, in percent of the target latency, before the
/// stream is resumed at another backend server.
const FIRST_EVENT_TIMEOUT_PERCENT: u32 = 300;

/// Longest gap between events if the route names none.
const DEFAULT_MAX_GAP: Duration = Duration::from_millis(500);

/// Tokens in an event if the service doesn't say.
const DEFAULT_EVENT_TOKENS: u64 = 1;

/// Result of reading from a response.
enum ReadResult {
    Bytes(Bytes),
    End,
    /// The backend server has made no progress and may still go on; names the cause for the log.
    Stalled(&'static str),
    /// Nothing more can come of the response; names the cause for the log.
    Interrupted(&'static str),
}

/// A response that is being passed on; cancelled when dropped.
#[derive(Debug)]
pub struct Relay {
    job: Rc<Job>,
    attempt: Option<Attempt>,
    /// Media type that the response states; one that resumes it states the same or that of events.
    media_type: Option<String>,
    is_success: bool,
    splitter: Splitter,
    events: u64,
    /// When the last event arrived, or when its backend server began to respond.
    progress_at: Instant,
    /// Whether the backend server had made no progress for too long before the last read.
    is_stalled: bool,
    /// Time before which no other backend server is tried, after none took the stream.
    retry_at: Instant,
    /// Last claim that nothing is left of the stream.
    claim: Option<Claim>,
    ended: bool,
}

impl Relay {
    /// Creates the relay of a response whose head has arrived.
    pub fn new(job: Job, attempt: Attempt, head: &response::Parts) -> Self {
        let splitter = match job.route.retry_policy {
            RetryPolicy::Resumable => Splitter::resuming(job.call.resume_after),
            RetryPolicy::Idempotent | RetryPolicy::Never => Splitter::after(job.call.resume_after),
        };
        let dialect = &job.node.dialect;
        let splitter =
            splitter.with_fields(dialect.event_fields()).with_ids(dialect.numbers_events());
        Self {
            is_success: head.status.is_success(),
            job: Rc::new(job),
            attempt: Some(attempt),
            media_type: media_type(&head.headers),
            splitter,
            events: 0,
            progress_at: Instant::now(),
            is_stalled: false,
            retry_at: Instant::now(),
            claim: None,
            ended: false,
        }
    }

    /// Returns the body as a stream of chunks; `start` is the part that has already arrived.
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
            let (cause, may_go_on) = match self.read().await {
                ReadResult::Bytes(bytes) if bytes.is_empty() => continue,
                ReadResult::Bytes(bytes) => return Some(Ok(bytes)),
                ReadResult::End => return self.complete().map(Ok),
                ReadResult::Stalled(cause) => (cause, true),
                ReadResult::Interrupted(cause) => (cause, false),
            };
            match self.resume(cause, may_go_on).await {
                Handover::GoesOn(bytes) if bytes.is_empty() => {}
                Handover::GoesOn(bytes) => return Some(Ok(bytes)),
                Handover::Complete => return self.complete().map(Ok),
                Handover::Failed if self.believes_claim() => return self.complete().map(Ok),
                Handover::Failed => {
                    self.job.note_charge(cause).await;
                    // What was passed on is written before the connection breaks off.
                    yield_now().await;
                    self.finish(cause);
                    return Some(Err(Truncated));
                }
            }
        }
        None
    }

    /// Ends the stream as complete and returns the bytes that were held back.
    fn complete(&mut self) -> Option<Bytes> {
        let last = self.splitter.finish();
        self.record_events(last.count);
        self.finish(ANSWERED);
        (last.count > 0).then_some(last.bytes)
    }

    /// Returns whether a claim that nothing is left is believed now that nobody can be asked.
    fn believes_claim(&self) -> bool {
        let Some(claim) = &self.claim else { return false };
        let is_believed = self.splitter.may_end() && claim.suffices(self.splitter.last_id());
        if is_believed {
            self.job.record_whole_response();
            tracing::info!(
                event = "stream_end_believed",
                id = %self.job.call.id,
                backend = %claim.backend,
                after = self.splitter.last_id(),
                events = self.events,
            );
        }
        is_believed
    }

    fn finish(&mut self, outcome: &str) {
        self.ended = true;
        self.job.log(outcome, 200, self.events);
    }

    /// Reads the next bytes of the response.
    async fn read(&mut self) -> ReadResult {
        let stall_timeout = self.stall_timeout();
        let first_event_timeout = self.job.route.target_latency * FIRST_EVENT_TIMEOUT_PERCENT / 100;
        let stall_limit = match self.events {
            _ if !self.can_switch() => Duration::MAX,
            0 => first_event_timeout.max(stall_timeout),
            _ => stall_timeout,
        };
        // Bytes that never complete an event don't keep a stream alive.
        if self.job.time_left().is_zero() {
            return self.interrupt_late();
        }
        let is_stalled = self.has_events() && self.progress_at.elapsed() > stall_limit;
        let was_stalled = std::mem::replace(&mut self.is_stalled, is_stalled);
        let fault = match self.splitter.rejected() {
            Some(rejected) => {
                if let Some(attempt) = &self.attempt {
                    log_rejected(&self.job, attempt.backend(), &self.splitter);
                }
                Some(ReadResult::Interrupted(rejected.fault.name()))
            }
            None => (is_stalled && was_stalled).then_some(ReadResult::Stalled("no_progress")),
        };
        if let Some(fault) = fault {
            if let Some(attempt) = &mut self.attempt {
                attempt.record_failure();
            }
            return fault;
        }
        let has_events = self.has_events();
        let Some(attempt) = &mut self.attempt else { return ReadResult::Interrupted("broken_off") };
        let backend = attempt.backend().clone();
        let Some(body) = attempt.body() else { return ReadResult::Interrupted("broken_off") };
        // While no other backend server takes the stream, silence is no reason to look for one.
        let patience = self.retry_at.saturating_duration_since(Instant::now());
        let wait = if is_stalled { READ_GRACE } else { patience };
        let frame = match wait.is_zero() {
            true => Attempt::wait_for(&self.job, &backend, Some(stall_limit), body.frame()).await,
            false => {
                let Ok(frame) = timeout(wait.min(self.job.time_left()), body.frame()).await else {
                    return ReadResult::Bytes(Bytes::new());
                };
                Some(frame)
            }
        };
        match frame {
            Some(Some(Ok(frame))) => {
                attempt.record_activity();
                self.process(frame.into_data().unwrap_or_default())
            }
            Some(None) if has_events => {
                // Lets bytes be read that have arrived behind the body, and the connection find out how
                // it ends.
                yield_now().await;
                self.process_end()
            }
            Some(None) => {
                yield_now().await;
                if attempt.is_cut() {
                    attempt.record_broken(&self.job);
                    return ReadResult::Interrupted("broken_off");
                }
                attempt.record_surplus(&self.job);
                attempt.finish(false);
                if self.is_success {
                    self.job.record_whole_response();
                }
                ReadResult::End
            }
            Some(Some(Err(_))) => {
                attempt.record_broken(&self.job);
                ReadResult::Interrupted("broken_off")
            }
            None if self.job.time_left().is_zero() => self.interrupt_late(),
            None => {
                attempt.record_failure();
                ReadResult::Stalled("silent")
            }
        }
    }

    /// Ends the response at the deadline.
    fn interrupt_late(&self) -> ReadResult {
        if self.job.is_deadline_of_caller() {
            self.job.charge_abandoned();
        }
        ReadResult::Interrupted(LATE)
    }

    /// Processes the end of the body of a stream.
    fn process_end(&mut self) -> ReadResult {
        let Some(mut attempt) = self.attempt.take() else {
            return ReadResult::Interrupted("broken_off");
        };
        let may_end = self.splitter.may_end();
        let events = attempt.events() + u64::from(self.splitter.holds_event());
        let result = self.judge_end(&mut attempt, events, may_end);
        self.attempt = Some(attempt);
        result
    }

    /// Judges the end of a body whose backend server has sent so many events of the stream; `may_end`
    /// states whether no event is missing as far as its bytes tell.
    fn judge_end(&mut self, attempt: &mut Attempt, events: u64, may_end: bool) -> ReadResult {
        let end = End {
            backend: attempt.backend().clone(),
            events,
            after: self.splitter.last_id(),
            may_end: may_end && attempt.may_end_stream(),
            has_surplus: attempt.record_surplus(&self.job),
            is_only: attempt.is_only(&self.job),
        };
        let verdict = end.judge(self.claim.as_ref());
        match verdict {
            Verdict::Complete => attempt.finish(false),
            Verdict::Confirmed | Verdict::Unconfirmed => attempt.release(),
            Verdict::Empty => attempt.record_failure(),
            Verdict::BrokenOff => attempt.record_broken(&self.job),
        }
        let result = match verdict {
            Verdict::Complete => {
                self.job.record_whole_response();
                ReadResult::End
            }
            // It speaks for no part of the prompt, which these backend servers may not have read.
            Verdict::Confirmed => ReadResult::End,
            Verdict::Unconfirmed => ReadResult::Interrupted("end_unconfirmed"),
            Verdict::Empty => ReadResult::Interrupted("empty_stream"),
            Verdict::BrokenOff => ReadResult::Interrupted("broken_off"),
        };
        self.log_end(&end, verdict);
        if verdict == Verdict::Unconfirmed {
            self.claim = Some(Claim::from(end));
        }
        result
    }

    /// Processes bytes of the response and returns those that can be passed on.
    fn process(&mut self, bytes: Bytes) -> ReadResult {
        if !self.has_events() {
            if self.is_success {
                self.job.record_output(u64::MAX);
            }
            return ReadResult::Bytes(bytes);
        }
        let events = self.splitter.push(bytes);
        self.record_events(events.count);
        ReadResult::Bytes(events.bytes)
    }

    /// Records events that are passed on.
    fn record_events(&mut self, count: u64) {
        if count > 0 {
            self.progress_at = Instant::now();
            self.job.record_event_time();
            if let Some(attempt) = &mut self.attempt {
                attempt.record_events(count);
            }
        }
        self.events += count;
        let engine = self.job.service.engine;
        let tokens = engine.map_or(DEFAULT_EVENT_TOKENS, |engine| engine.event_tokens);
        if self.events > 0 {
            self.job.record_output(self.events * tokens);
            self.job.record_last_event(self.splitter.last_id());
        }
    }

    /// Returns whether the body is a stream of events; that of a failure isn't.
    fn has_events(&self) -> bool {
        self.job.route.streamed && self.is_success
    }

    /// Returns whether a backend server may go on with the stream that hasn't been asked before.
    fn can_switch(&self) -> bool {
        self.is_resumable() && self.job.retry_state.borrow().can_retry()
    }

    fn is_resumable(&self) -> bool {
        self.has_events()
            && self.job.route.retry_policy == RetryPolicy::Resumable
            // What has been passed on can't be taken back.
            && self.splitter.fault() != Some(Fault::Contradicted)
    }

    /// Returns the time without an event after which another backend server is tried.
    fn stall_timeout(&self) -> Duration {
        self.job.route.max_gap.unwrap_or(DEFAULT_MAX_GAP) * STALL_TIMEOUT_PERCENT / 100
    }

    fn log_end(&self, end: &End, verdict: Verdict) {
        let name = match verdict {
            Verdict::Complete | Verdict::BrokenOff => return,
            Verdict::Confirmed => "stream_end_confirmed",
            Verdict::Unconfirmed => "stream_end_unconfirmed",
            Verdict::Empty => "stream_empty",
        };
        tracing::info!(
            event = name,
            id = %self.job.call.id,
            backend = %end.backend,
            after = end.after,
            events = end.events,
            claimed_by = self.claim.as_ref().map(|claim| &*claim.backend),
            left_ms = self.job.time_left().as_millis() as u64,
        );
    }
}

/// Logs the bytes that a backend server sent in place of an event, if it did.
fn log_rejected(job: &Job, backend: &str, splitter: &Splitter) {
    let Some(rejected) = splitter.rejected() else { return };
    tracing::warn!(
        event = "event_rejected",
        id = %job.call.id,
        backend,
        fault = rejected.fault.name(),
        after = splitter.last_id(),
        event_id = rejected.id,
        bytes = rejected.length,
        excerpt = %rejected.excerpt.escape_ascii(),
    );
}

/// Returns the media type of a body, without parameters and in lowercase.
fn media_type(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(CONTENT_TYPE)?.to_str().ok()?;
    let media_type = value.split(';').next().unwrap_or_default();
    Some(media_type.trim().to_ascii_lowercase())
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.ended {
            self.job.charge_abandoned();
            self.job.log(CALLER_LEFT, 200, self.events);
        }
    }
}
