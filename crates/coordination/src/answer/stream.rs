//! Manages the attempts of one request to a model.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use super::{
    Assembler, Attempt, Caller, Failure, Line, LineResult, ResumePoint, StreamAction, StreamEvent,
    StreamSettings, Usage, migration::Migration,
};
use crate::{
    request::{self, Class},
    retry,
};

/// Time for which a request with an idempotency key continues after its last caller has left.
const REJOIN_GRACE: Duration = Duration::from_secs(10);

/// Maximum wait for a backend server's answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which a completed stream with an idempotency key is kept for late callers.
const ENDED_STREAM_LIFETIME: Duration = Duration::from_secs(60);

/// Maximum number of attempts on one backend server before another one is chosen.
const MAX_ATTEMPTS_PER_BACKEND: u32 = 3;

/// Number of consecutive failures, over all backend servers, after which a request that is not of
/// class long fails.
const MAX_CONSECUTIVE_FAILURES: u32 = 8;

/// Time after which a caller that joins while a stream is being cancelled may retry.
const CANCEL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time, retry budget and resulting actions of the event being handled.
pub(super) struct Context<'a> {
    pub now: Duration,
    pub retry_budget: &'a mut retry::Budget,
    pub actions: &'a mut Vec<StreamAction>,
}

impl Context<'_> {
    pub fn push(&mut self, action: StreamAction) {
        self.actions.push(action);
    }
}

#[derive(Debug)]
pub(super) enum Phase {
    Choosing,
    /// Waits before it chooses a backend server.
    WaitingToChoose {
        until: Duration,
    },
    /// Waits before it probes the same backend server again.
    Backoff {
        until: Duration,
    },
    Probing {
        until: Duration,
    },
    Open {
        assembler: Assembler,
        attempt: Attempt,
        until: Duration,
    },
    Cancelling {
        until: Duration,
    },
    Ended {
        result: FinalResult,
        ended_at: Duration,
    },
}

#[derive(Debug, Clone)]
pub(super) enum FinalResult {
    Complete(Usage),
    Failed(Failure),
}

/// Stream on the backend server in use.
#[derive(Debug)]
pub(super) struct BackendStream {
    pub(super) backend: Arc<str>,
    pub(super) stream: request::Id,
    pub(super) base: u64,
    pub(super) attempts: u32,
}

/// One request to a model, shared by all callers with its key on this host.
#[derive(Debug)]
pub struct Stream {
    pub(super) settings: StreamSettings,
    pub(super) callers: BTreeSet<Caller>,
    no_callers_since: Option<Duration>,
    pub(super) delivered: Vec<Arc<str>>,
    pub(super) current: Option<BackendStream>,
    avoid: Vec<Arc<str>>,
    last_attempt: Attempt,
    consecutive_failures: u32,
    /// An attempt may have reached a backend server that did not refuse it.
    pub(super) reached_backend: bool,
    pub(super) phase: Phase,
    pub(super) migration: Option<Migration>,
    pub(super) next_migration_at: Duration,
}

/// Returns the id under which a backend server runs a request whose first `base` tokens come from
/// another stream. If `base` is not 0, the id differs from the request's own, so that a host that
/// resumes the request from the start does not join a stream that lacks these tokens.
pub fn stream_id(request: request::Id, base: u64) -> request::Id {
    match base {
        0 => request,
        _ => request::Id::numbered(&request.to_string(), base),
    }
}

impl Stream {
    /// Creates a stream for its first caller and requests a backend server.
    pub fn new(
        settings: StreamSettings,
        caller: Caller,
        retry_budget: &mut retry::Budget,
        actions: &mut Vec<StreamAction>,
    ) -> Self {
        retry_budget.deposit();
        actions.push(StreamAction::Choose { avoid: Vec::new() });
        Self {
            settings,
            callers: BTreeSet::from([caller]),
            no_callers_since: None,
            delivered: Vec::new(),
            current: None,
            avoid: Vec::new(),
            last_attempt: 0,
            consecutive_failures: 0,
            reached_backend: false,
            phase: Phase::Choosing,
            migration: None,
            next_migration_at: Duration::ZERO,
        }
    }

    /// Returns the delivered tokens in order.
    pub fn delivered(&self) -> &[Arc<str>] {
        &self.delivered
    }

    /// Returns whether the stream has ended, after which it only needs the events of late callers.
    pub fn is_ended(&self) -> bool {
        matches!(self.phase, Phase::Ended { .. })
    }

    /// Returns whether the stream may be removed; a retry with its idempotency key then runs again.
    pub fn is_expired(&self, now: Duration) -> bool {
        match self.phase {
            Phase::Ended { result: FinalResult::Complete(_), ended_at }
                if self.settings.has_key =>
            {
                now >= ended_at + ENDED_STREAM_LIFETIME
            }
            Phase::Ended { .. } => true,
            _ => false,
        }
    }

    /// Returns the time at which [`StreamEvent::Tick`] is due.
    pub fn wake_at(&self) -> Option<Duration> {
        let phase = match self.phase {
            Phase::Choosing => self.settings.deadline,
            Phase::WaitingToChoose { until }
            | Phase::Backoff { until }
            | Phase::Probing { until }
            | Phase::Open { until, .. } => until.min(self.settings.deadline),
            Phase::Cancelling { until } => return Some(until),
            Phase::Ended { .. } => return None,
        };
        let rejoin_deadline = self.no_callers_since.map(|since| since + self.rejoin_grace());
        let others = rejoin_deadline.into_iter().chain(self.copy_deadline());
        Some(others.fold(phase, Duration::min))
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(
        &mut self,
        now: Duration,
        event: StreamEvent,
        retry_budget: &mut retry::Budget,
        actions: &mut Vec<StreamAction>,
    ) {
        let cx = &mut Context { now, retry_budget, actions };
        match event {
            StreamEvent::Join { caller, digest } => self.add_caller(caller, &digest, cx),
            StreamEvent::Leave(caller) => self.remove_caller(caller, cx),
            StreamEvent::Chosen(backend) => self.handle_chosen(backend, cx),
            StreamEvent::NoBackend { retry_after } => {
                self.handle_no_backend(retry_after, cx);
            }
            StreamEvent::Probed { backend, stream, resumable } => {
                if self.is_current(&backend, stream) {
                    self.handle_probe(resumable, cx);
                }
            }
            StreamEvent::Line(line) => {
                if let Some(line) = self.hold_line(line, cx) {
                    self.handle_line(line, cx);
                }
            }
            StreamEvent::Closed(attempt) => self.handle_closed(attempt, cx),
            StreamEvent::NotSent(attempt) => self.handle_not_sent(attempt, cx),
            StreamEvent::Refused { attempt, retry_after } => {
                self.handle_refused(attempt, retry_after, cx);
            }
            StreamEvent::Cancelled { backend, stream, usage } => {
                if self.is_current(&backend, stream) {
                    self.handle_cancelled(usage, cx);
                }
            }
            StreamEvent::BackendLeaving { short_notice } => self.start_migration(short_notice, cx),
            StreamEvent::MigrationTargetChosen(to) => self.set_migration_target(to, cx),
            StreamEvent::CacheCopied { to, stream, tokens } => {
                self.handle_copy(&to, stream, tokens, cx);
            }
            StreamEvent::Tick => self.tick(cx),
        }
    }

    fn rejoin_grace(&self) -> Duration {
        if self.settings.has_key { REJOIN_GRACE } else { Duration::ZERO }
    }

    fn add_caller(&mut self, caller: Caller, digest: &[u8; 32], cx: &mut Context<'_>) {
        if self.settings.digest != *digest {
            cx.push(StreamAction::Fail { caller, failure: Failure::Mismatch });
            return;
        }
        if let Phase::Cancelling { .. } = self.phase {
            let failure = Failure::Cancelling { retry_after: CANCEL_RETRY_AFTER };
            cx.push(StreamAction::Fail { caller, failure });
            return;
        }
        let pieces = self.delivered.iter().zip(0..);
        cx.actions.extend(pieces.map(|(token, offset)| StreamAction::Deliver {
            caller,
            offset,
            token: token.clone(),
        }));
        match &self.phase {
            Phase::Ended { result, .. } => cx.push(final_action(caller, result)),
            _ => {
                self.callers.insert(caller);
                self.no_callers_since = None;
            }
        }
    }

    fn remove_caller(&mut self, caller: Caller, cx: &mut Context<'_>) {
        let was_last = self.callers.remove(&caller) && self.callers.is_empty();
        if !was_last || self.is_ended() {
            return;
        }
        self.no_callers_since = Some(cx.now);
        if self.rejoin_grace().is_zero() {
            self.cancel(cx);
        }
    }

    fn handle_chosen(&mut self, backend: Arc<str>, cx: &mut Context<'_>) {
        if !matches!(self.phase, Phase::Choosing) {
            return;
        }
        self.use_backend(backend);
        self.open_attempt(cx);
    }

    fn use_backend(&mut self, backend: Arc<str>) {
        let base = self.delivered.len() as u64;
        let stream = stream_id(self.settings.request, base);
        self.current = Some(BackendStream { backend, stream, base, attempts: 0 });
    }

    pub(super) fn open_attempt(&mut self, cx: &mut Context<'_>) {
        let Some(current) = &mut self.current else { return };
        current.attempts += 1;
        self.last_attempt += 1;
        let offset = self.delivered.len() as u64 - current.base;
        let resume_point = ResumePoint { stream: current.stream, base: current.base, offset };
        let assembler = Assembler::new(current.stream, self.last_attempt, offset);
        let until = cx.now + self.settings.first_timeout;
        let backend = current.backend.clone();
        cx.push(StreamAction::Open { backend, attempt: self.last_attempt, resume_point });
        self.phase = Phase::Open { assembler, attempt: self.last_attempt, until };
    }

    fn handle_no_backend(&mut self, retry_after: Duration, cx: &mut Context<'_>) {
        if !matches!(self.phase, Phase::Choosing) {
            return;
        }
        let can_wait = self.settings.class == Class::Long || !self.delivered.is_empty();
        if !can_wait || cx.now + retry_after >= self.settings.deadline {
            self.fail(retry_after, cx);
            return;
        }
        self.avoid.clear();
        let until = cx.now + retry_after.max(cx.retry_budget.jittered_backoff(1));
        self.phase = Phase::WaitingToChoose { until };
    }

    pub(super) fn handle_line(&mut self, line: Line, cx: &mut Context<'_>) {
        let Phase::Open { assembler, until, .. } = &mut self.phase else { return };
        match assembler.add_line(line) {
            LineResult::Dropped => {}
            LineResult::Piece { token, .. } => {
                *until = cx.now + self.settings.idle_timeout;
                self.deliver(token, cx);
            }
            LineResult::Complete { tokens, prompt_tokens } => {
                self.complete(Usage { prompt_tokens, tokens }, cx);
            }
            LineResult::Failed(_) => {
                cx.push(StreamAction::Close(self.last_attempt));
                self.handle_failed_attempt(cx);
            }
        }
    }

    fn deliver(&mut self, token: Arc<str>, cx: &mut Context<'_>) {
        let offset = self.delivered.len() as u64;
        let pieces = self.callers.iter().map(|&caller| StreamAction::Deliver {
            caller,
            offset,
            token: token.clone(),
        });
        cx.actions.extend(pieces);
        self.delivered.push(token);
        self.reached_backend = true;
        self.consecutive_failures = 0;
        if let Some(current) = &mut self.current {
            current.attempts = 1;
        }
    }

    fn complete(&mut self, reported: Usage, cx: &mut Context<'_>) {
        let usage = self.total_usage(reported);
        self.report_health(true, cx);
        self.release_backend(cx);
        let callers = std::mem::take(&mut self.callers);
        cx.actions.extend(callers.iter().map(|&caller| StreamAction::Finish { caller, usage }));
        cx.push(StreamAction::Settle(usage));
        self.phase = Phase::Ended { result: FinalResult::Complete(usage), ended_at: cx.now };
    }

    /// Returns the usage including the tokens from earlier streams, which the last backend server
    /// counts as part of the prompt.
    pub(super) fn total_usage(&self, reported: Usage) -> Usage {
        let base = self.current.as_ref().map_or(0, |current| current.base);
        Usage {
            prompt_tokens: reported.prompt_tokens.saturating_sub(base),
            tokens: reported.tokens + base,
        }
    }

    fn handle_closed(&mut self, attempt: Attempt, cx: &mut Context<'_>) {
        if self.is_open(attempt) {
            self.abort_migration(cx);
        }
        if self.is_open(attempt) {
            self.handle_failed_attempt(cx);
        }
    }

    fn handle_not_sent(&mut self, attempt: Attempt, cx: &mut Context<'_>) {
        if !self.is_open(attempt) {
            return;
        }
        self.phase = Phase::Choosing;
        self.consecutive_failures += 1;
        self.report_health(false, cx);
        self.switch_backend(cx);
    }

    fn handle_refused(
        &mut self,
        attempt: Attempt,
        retry_after: Option<Duration>,
        cx: &mut Context<'_>,
    ) {
        if !self.is_open(attempt) {
            return;
        }
        self.phase = Phase::Choosing;
        self.consecutive_failures += 1;
        if let Some(retry_after) = retry_after
            && self.settings.class == Class::Long
        {
            self.release_backend(cx);
            let until = cx.now
                + retry_after.max(cx.retry_budget.jittered_backoff(self.consecutive_failures));
            self.phase = Phase::WaitingToChoose { until };
            return;
        }
        self.switch_backend(cx);
    }

    pub(super) fn is_current(&self, backend: &str, stream: request::Id) -> bool {
        self.current.as_ref().is_some_and(|own| *own.backend == *backend && own.stream == stream)
    }

    fn is_open(&self, attempt: Attempt) -> bool {
        matches!(self.phase, Phase::Open { attempt: open, .. } if open == attempt)
    }

    /// Handles the failure of an attempt that a backend server may have run.
    fn handle_failed_attempt(&mut self, cx: &mut Context<'_>) {
        self.discard_migration(cx);
        self.reached_backend = true;
        self.consecutive_failures += 1;
        self.report_health(false, cx);
        let may_retry_here =
            self.current.as_ref().is_some_and(|own| own.attempts < MAX_ATTEMPTS_PER_BACKEND);
        if !may_retry_here {
            self.cancel_current(cx);
            self.switch_backend(cx);
            return;
        }
        if !self.may_retry(cx) {
            self.fail(cx.retry_budget.jittered_backoff(self.consecutive_failures), cx);
            return;
        }
        self.phase = Phase::Backoff {
            until: cx.now + cx.retry_budget.jittered_backoff(self.consecutive_failures),
        };
    }

    /// Releases the backend server and chooses another one.
    fn switch_backend(&mut self, cx: &mut Context<'_>) {
        let released = self.release_backend(cx);
        self.avoid.extend(released);
        if !self.may_retry(cx) {
            self.fail(cx.retry_budget.jittered_backoff(self.consecutive_failures), cx);
            return;
        }
        self.choose_backend(cx);
    }

    pub(super) fn release_backend(&mut self, cx: &mut Context<'_>) -> Option<Arc<str>> {
        self.discard_migration(cx);
        let current = self.current.take()?;
        cx.push(StreamAction::ReleaseBackend(current.backend.clone()));
        Some(current.backend)
    }

    fn choose_backend(&mut self, cx: &mut Context<'_>) {
        self.phase = Phase::Choosing;
        cx.push(StreamAction::Choose { avoid: self.avoid.clone() });
    }

    /// Returns whether the limits allow one more attempt. Long requests don't depend on the retry
    /// budget, since they must finish.
    fn may_retry(&self, cx: &mut Context<'_>) -> bool {
        let is_full = self.delivered.len() as u64 >= self.settings.max_tokens;
        if cx.now >= self.settings.deadline || is_full {
            return false;
        }
        if self.settings.class == Class::Long {
            return true;
        }
        self.consecutive_failures < MAX_CONSECUTIVE_FAILURES && cx.retry_budget.try_withdraw()
    }

    fn handle_probe(&mut self, resumable: Option<bool>, cx: &mut Context<'_>) {
        if !matches!(self.phase, Phase::Probing { .. }) {
            return;
        }
        match resumable {
            Some(true) => self.open_attempt(cx),
            Some(false) => self.restart_stream(cx),
            None => {
                self.report_health(false, cx);
                self.switch_backend(cx);
            }
        }
    }

    /// Opens a new stream on the same backend server after it lost the previous one.
    fn restart_stream(&mut self, cx: &mut Context<'_>) {
        let Some(current) = self.current.take() else { return };
        let attempts = current.attempts;
        self.use_backend(current.backend);
        if let Some(current) = &mut self.current {
            current.attempts = attempts;
        }
        self.open_attempt(cx);
    }

    fn report_health(&self, served: bool, cx: &mut Context<'_>) {
        let Some(current) = &self.current else { return };
        cx.push(StreamAction::Health { backend: current.backend.clone(), served });
    }

    pub(super) fn cancel_current(&self, cx: &mut Context<'_>) {
        let Some(current) = &self.current else { return };
        let (backend, stream) = (current.backend.clone(), current.stream);
        cx.push(StreamAction::Cancel { backend, stream });
    }

    fn tick(&mut self, cx: &mut Context<'_>) {
        if let Phase::Cancelling { until } = self.phase {
            if cx.now >= until {
                self.settle_delivered(cx);
            }
            return;
        }
        if self.is_ended() {
            return;
        }
        if self.no_callers_since.is_some_and(|since| cx.now >= since + self.rejoin_grace()) {
            self.cancel(cx);
            return;
        }
        if cx.now >= self.settings.deadline {
            self.fail(Duration::ZERO, cx);
            return;
        }
        self.handle_timeouts(cx);
    }

    fn handle_timeouts(&mut self, cx: &mut Context<'_>) {
        if self.copy_deadline().is_some_and(|until| cx.now >= until) {
            self.abort_migration(cx);
        }
        match self.phase {
            Phase::WaitingToChoose { until } if cx.now >= until => self.choose_backend(cx),
            Phase::Backoff { until } if cx.now >= until => self.probe_backend(cx),
            Phase::Probing { until } if cx.now >= until => {
                self.handle_probe(None, cx);
            }
            Phase::Open { attempt, until, .. } if cx.now >= until => {
                cx.push(StreamAction::Close(attempt));
                self.handle_failed_attempt(cx);
            }
            _ => {}
        }
    }

    fn probe_backend(&mut self, cx: &mut Context<'_>) {
        let Some(current) = &self.current else { return };
        let (backend, stream) = (current.backend.clone(), current.stream);
        cx.push(StreamAction::Probe { backend, stream });
        self.phase = Phase::Probing { until: cx.now + PROBE_TIMEOUT };
    }
}

fn final_action(caller: Caller, result: &FinalResult) -> StreamAction {
    match result {
        FinalResult::Complete(usage) => StreamAction::Finish { caller, usage: *usage },
        FinalResult::Failed(failure) => StreamAction::Fail { caller, failure: failure.clone() },
    }
}
