//! Continues an interrupted stream at another backend server.
//!
//! An exchange that is only silent is kept beside the next one, for as long as two of them may work on
//! one stream. The first event of either decides which of them goes on: the head of the next one doesn't
//! show that it has anything to add, and neither does the end of its body.

use std::{
    future::pending,
    pin::{Pin, pin},
    sync::Arc,
};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::{Response, body::Incoming};
use tokio::{
    task::yield_now,
    time::{Instant, sleep_until},
};

use super::{ReadResult, Relay, log_rejected, media_type};
use crate::{
    attempt::{Attempt, MAX_STREAM_OVERLAP, StartError},
    events::{Splitter, WholeEvents},
    retry_state::AttemptFailure,
};

/// Media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// How an interrupted stream goes on.
#[derive(Debug)]
pub enum Handover {
    /// It goes on; these bytes can be passed on, if any.
    GoesOn(Bytes),
    /// It is complete.
    Complete,
    /// No backend server goes on with it.
    Failed,
}

/// What an exchange has brought of a stream.
#[derive(Debug)]
enum Part {
    Events(WholeEvents),
    /// Bytes that are no event of the stream.
    Rejected,
    End,
    BrokenOff,
}

/// Result of waiting for something beside the former exchange.
#[derive(Debug)]
enum Outcome<T> {
    /// What was waited for.
    Ready(T),
    /// There is no former exchange, or no longer.
    Alone,
    /// The former exchange has decided how the stream goes on.
    Former(Handover),
}

/// The exchange that is to continue a stream.
#[derive(Debug)]
struct Successor {
    attempt: Attempt,
    splitter: Splitter,
}

/// Reads from an exchange until it has brought an event or ended.
async fn read_part(attempt: &mut Attempt, splitter: &mut Splitter) -> Part {
    loop {
        if splitter.rejected().is_some() {
            return Part::Rejected;
        }
        let Some(body) = attempt.body() else { return Part::BrokenOff };
        match body.frame().await {
            Some(Ok(frame)) => {
                attempt.record_activity();
                let events = splitter.push(frame.into_data().unwrap_or_default());
                if events.count > 0 {
                    return Part::Events(events);
                }
            }
            Some(Err(_)) => return Part::BrokenOff,
            None => return Part::End,
        }
    }
}

impl Relay {
    /// Continues an interrupted stream. An exchange that may go on is kept until another backend server
    /// has brought an event of the stream, or for as long as two of them may work on it. If no other one
    /// may be asked, those that were given up while they were silent are asked once more.
    pub(super) async fn resume(&mut self, cause: &'static str, may_go_on: bool) -> Handover {
        if !self.is_resumable() {
            return Handover::Failed;
        }
        let from = self.attempt.as_ref().map(|attempt| attempt.backend().clone());
        if !may_go_on {
            self.attempt = None;
        }
        let mut can_retry =
            self.job.retry_state.borrow_mut().finish_attempt(AttemptFailure::Unknown);
        while !self.job.time_left().is_zero() {
            let again = match (can_retry, &self.attempt) {
                (true, _) => None,
                (false, Some(_)) => break,
                (false, None) => match self.job.history.borrow_mut().take_abandoned() {
                    Some(id) => Some(id),
                    None => break,
                },
            };
            match self.hand_over(cause, from.as_ref(), again).await {
                Ok(handover) => return handover,
                Err(Some(failure)) => {
                    can_retry &= self.job.retry_state.borrow_mut().finish_attempt(failure);
                }
                Err(None) => can_retry = false,
            }
        }
        let Some(former) = &self.attempt else { return Handover::Failed };
        self.job.retry_state.borrow_mut().continue_attempt();
        tracing::info!(
            event = "stream_kept",
            id = %self.job.call.id,
            cause,
            backend = %former.backend(),
            left_ms = self.job.time_left().as_millis() as u64,
        );
        self.progress_at = Instant::now();
        self.retry_at = self.progress_at + self.stall_timeout();
        Handover::GoesOn(Bytes::new())
    }

    /// Sends the rest of the stream's request to another backend server, or once more to the one named
    /// by `again`.
    ///
    /// # Errors
    ///
    /// Returns an error if that one doesn't continue the stream; `None` if none can be asked.
    async fn hand_over(
        &mut self,
        cause: &'static str,
        from: Option<&Arc<str>>,
        again: Option<Arc<str>>,
    ) -> Result<Handover, Option<AttemptFailure>> {
        let job = self.job.clone();
        let after = self.splitter.last_id();
        let mut starting = pin!(async {
            match &again {
                Some(id) => Attempt::start_again(&job, id, after).await,
                None => Attempt::start(&job, after).await,
            }
        });
        let started = match self.beside_former(starting.as_mut(), None).await {
            Outcome::Ready(started) => started,
            Outcome::Alone => starting.await,
            Outcome::Former(handover) => return Ok(self.keep_former(cause, None, handover)),
        };
        let mut attempt = started.map_err(|error| match error {
            StartError::Unreachable => Some(AttemptFailure::NotSent),
            StartError::Rejected(_) | StartError::Quarantined(_) => None,
        })?;
        let backend = attempt.backend().clone();
        let overlap_end = Some(Instant::now() + MAX_STREAM_OVERLAP);
        let response = {
            let sending = attempt.send_request(&job, after);
            let mut sending = pin!(Attempt::wait_for(&job, &backend, None, sending));
            match self.beside_former(sending.as_mut(), overlap_end).await {
                Outcome::Ready(response) => Ok(response),
                Outcome::Alone => Ok(sending.await),
                Outcome::Former(handover) => Err(handover),
            }
        };
        let response = match response {
            Ok(Some(response)) => response.map_err(Some)?,
            Ok(None) => {
                attempt.record_failure();
                return Err(Some(AttemptFailure::Unknown));
            }
            Err(handover) => return Ok(self.keep_former(cause, Some(&backend), handover)),
        };
        let attempt = self.accept_head(attempt, response).map_err(Some)?;
        let mut splitter = self.splitter.clone();
        splitter.discard();
        let mut successor = Successor { attempt, splitter };
        let part = {
            let reading = read_part(&mut successor.attempt, &mut successor.splitter);
            self.beside_former(pin!(reading), overlap_end).await
        };
        let part = match part {
            Outcome::Ready(part) => part,
            Outcome::Alone => {
                self.continue_with(cause, from, successor);
                return Ok(Handover::GoesOn(Bytes::new()));
            }
            Outcome::Former(handover) => {
                return Ok(self.keep_former(cause, Some(&backend), handover));
            }
        };
        match part {
            Part::Events(events) => {
                self.abandon_former();
                self.continue_with(cause, from, successor);
                self.record_events(events.count);
                return Ok(Handover::GoesOn(events.bytes));
            }
            Part::End => {
                // Lets the connection find out how it ends.
                yield_now().await;
                let Successor { attempt, splitter } = &mut successor;
                let events = u64::from(splitter.holds_event());
                if matches!(self.judge_end(attempt, events, splitter.may_end()), ReadResult::End) {
                    self.continue_with(cause, from, successor);
                    return Ok(Handover::Complete);
                }
            }
            Part::Rejected => {
                successor.attempt.record_failure();
                log_rejected(&self.job, &backend, &successor.splitter);
            }
            Part::BrokenOff => successor.attempt.record_broken(&self.job),
        }
        Err(Some(AttemptFailure::Unknown))
    }

    /// Returns the attempt if the head of its response is that of the rest of the stream.
    fn accept_head(
        &self,
        mut attempt: Attempt,
        response: Response<Incoming>,
    ) -> Result<Attempt, AttemptFailure> {
        let (head, body) = response.into_parts();
        let media = media_type(&head.headers);
        let is_stream = media.as_deref() == Some(EVENT_STREAM) || media == self.media_type;
        if !head.status.is_success() || !is_stream {
            tracing::warn!(
                event = "stream_not_resumed",
                id = %self.job.call.id,
                backend = %attempt.backend(),
                status = head.status.as_u16(),
                media_type = media,
            );
            attempt.record_failure();
            return Err(AttemptFailure::Failed);
        }
        attempt.set_body(body);
        Ok(attempt)
    }

    /// Waits for `next`, or until the former exchange has brought an event or has ended. It is given up
    /// at `overlap_end`, if any.
    async fn beside_former<T>(
        &mut self,
        next: Pin<&mut impl Future<Output = T>>,
        overlap_end: Option<Instant>,
    ) -> Outcome<T> {
        let Some(former) = &mut self.attempt else { return Outcome::Alone };
        let end_of_overlap = async {
            match overlap_end {
                Some(end) => sleep_until(end).await,
                None => pending().await,
            }
        };
        let part = tokio::select! {
            biased;
            part = read_part(former, &mut self.splitter) => part,
            output = next => return Outcome::Ready(output),
            () = end_of_overlap => {
                self.abandon_former();
                return Outcome::Alone;
            }
        };
        match part {
            Part::Events(events) => {
                self.record_events(events.count);
                return Outcome::Former(Handover::GoesOn(events.bytes));
            }
            Part::End => {
                // Lets the connection find out how it ends.
                yield_now().await;
                if matches!(self.process_end(), ReadResult::End) {
                    return Outcome::Former(Handover::Complete);
                }
            }
            Part::Rejected => {
                former.record_failure();
                log_rejected(&self.job, former.backend(), &self.splitter);
            }
            Part::BrokenOff => former.record_broken(&self.job),
        }
        self.attempt = None;
        Outcome::Alone
    }

    /// Gives the former exchange up, if there is one.
    fn abandon_former(&mut self) {
        let Some(former) = self.attempt.take() else { return };
        tracing::info!(
            event = "exchange_abandoned",
            id = %self.job.call.id,
            backend = %former.backend(),
            after = self.splitter.last_id(),
            silent_ms = self.progress_at.elapsed().as_millis() as u64,
        );
        self.job.history.borrow_mut().record_abandoned(former.backend().clone());
    }

    /// Goes on with the former exchange in place of the next one, which is given up; `successor` is its
    /// backend server if the request was sent there.
    fn keep_former(
        &mut self,
        cause: &'static str,
        successor: Option<&Arc<str>>,
        handover: Handover,
    ) -> Handover {
        let mut retry_state = self.job.retry_state.borrow_mut();
        if let Some(id) = successor {
            self.job.history.borrow_mut().record_abandoned(id.clone());
            retry_state.finish_attempt(AttemptFailure::Unknown);
        }
        retry_state.continue_attempt();
        tracing::info!(
            event = "stream_continued",
            id = %self.job.call.id,
            cause,
            backend = self.attempt.as_ref().map(|attempt| &**attempt.backend()),
            given_up = successor.map(|id| &**id),
            after = self.splitter.last_id(),
            left_ms = self.job.time_left().as_millis() as u64,
        );
        handover
    }

    /// Goes on with the exchange that continues the stream.
    fn continue_with(
        &mut self,
        cause: &'static str,
        from: Option<&Arc<str>>,
        successor: Successor,
    ) {
        tracing::info!(
            event = "stream_resumed",
            id = %self.job.call.id,
            cause,
            from = from.map(|id| &**id),
            to = %successor.attempt.backend(),
            after = self.splitter.last_id(),
            left_ms = self.job.time_left().as_millis() as u64,
        );
        self.splitter = successor.splitter;
        self.attempt = Some(successor.attempt);
        self.progress_at = Instant::now();
    }
}
