//! Decides about the attempts of one request to a model.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use super::{
    Assembler, Attempt, Caller, Failure, Line, LineResult, ResumePoint, StreamAction, StreamEvent,
    StreamSettings, Usage, migration::Move,
};
use crate::{
    request::{self, Class},
    retry,
};

/// Time for which a keyed request runs on after its last caller left.
const REJOIN_GRACE: Duration = Duration::from_secs(10);

/// Longest wait for an engine's word on whether it has a stream.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which an ended stream answers late callers.
const KEPT_AFTER_END: Duration = Duration::from_secs(60);

/// Attempts on one back end before another one is chosen.
const ATTEMPTS_PER_BACKEND: u32 = 3;

/// Failures in a row, over all back ends, after which a request that is not long is given up.
const MAX_FAILURES: u32 = 8;

/// Pause before a caller that comes while a stream is being cancelled may retry.
const CANCEL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What every step of a decision needs.
pub(super) struct Context<'a> {
    pub now: Duration,
    pub retries: &'a mut retry::Budget,
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
    /// Waits before it chooses.
    Pausing {
        until: Duration,
    },
    /// Waits before it resumes on the same back end.
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
        ending: Ending,
        at: Duration,
    },
}

#[derive(Debug, Clone)]
pub(super) enum Ending {
    Whole(Usage),
    Failed(Failure),
}

/// The engine's stream that is in use.
#[derive(Debug)]
pub(super) struct Place {
    pub(super) backend: Arc<str>,
    pub(super) stream: request::Id,
    pub(super) base: u64,
    pub(super) attempts: u32,
}

/// One request to a model, shared by all callers with its key on this host.
#[derive(Debug)]
pub struct Stream {
    pub(super) setting: StreamSettings,
    pub(super) callers: BTreeSet<Caller>,
    empty_since: Option<Duration>,
    pub(super) delivered: Vec<Arc<str>>,
    pub(super) place: Option<Place>,
    avoid: Vec<Arc<str>>,
    attempt: Attempt,
    failures: u32,
    /// Some attempt reached an engine that did not refuse it.
    pub(super) ran: bool,
    pub(super) phase: Phase,
    pub(super) moving: Option<Move>,
    pub(super) next_move: Duration,
}

/// Returns the id under which an engine runs a request whose first `base` tokens come from
/// elsewhere. Another id than the request's own keeps a host that resumes the request from the
/// start from joining a stream that lacks them.
pub fn stream_id(request: request::Id, base: u64) -> request::Id {
    match base {
        0 => request,
        _ => request::Id::numbered(&request.to_string(), base),
    }
}

impl Stream {
    /// Opens a stream for its first caller and asks for a back end.
    pub fn new(
        setting: StreamSettings,
        caller: Caller,
        retries: &mut retry::Budget,
        actions: &mut Vec<StreamAction>,
    ) -> Self {
        retries.deposit();
        actions.push(StreamAction::Choose { avoid: Vec::new() });
        Self {
            setting,
            callers: BTreeSet::from([caller]),
            empty_since: None,
            delivered: Vec::new(),
            place: None,
            avoid: Vec::new(),
            attempt: 0,
            failures: 0,
            ran: false,
            phase: Phase::Choosing,
            moving: None,
            next_move: Duration::ZERO,
        }
    }

    /// Returns the delivered pieces, in order.
    pub fn delivered(&self) -> &[Arc<str>] {
        &self.delivered
    }

    /// Returns true once the stream has ended and needs no more events but late callers.
    pub fn is_ended(&self) -> bool {
        matches!(self.phase, Phase::Ended { .. })
    }

    /// Returns true once the stream may be forgotten; a retry of its key then runs anew.
    pub fn is_expired(&self, now: Duration) -> bool {
        match self.phase {
            Phase::Ended { ending: Ending::Whole(_), at } if self.setting.has_key => {
                now >= at + KEPT_AFTER_END
            }
            Phase::Ended { .. } => true,
            _ => false,
        }
    }

    /// Returns the time at which [`StreamEvent::Tick`] is due.
    pub fn wake_at(&self) -> Option<Duration> {
        let phase = match self.phase {
            Phase::Choosing => self.setting.deadline,
            Phase::Pausing { until }
            | Phase::Backoff { until }
            | Phase::Probing { until }
            | Phase::Open { until, .. } => until.min(self.setting.deadline),
            Phase::Cancelling { until } => return Some(until),
            Phase::Ended { .. } => return None,
        };
        let leave = self.empty_since.map(|since| since + self.grace());
        let others = leave.into_iter().chain(self.copied_until());
        Some(others.fold(phase, Duration::min))
    }

    /// Takes an event and pushes the actions that follow from it.
    pub fn handle(
        &mut self,
        now: Duration,
        event: StreamEvent,
        retries: &mut retry::Budget,
        actions: &mut Vec<StreamAction>,
    ) {
        let cx = &mut Context { now, retries, actions };
        match event {
            StreamEvent::Join { caller, digest } => self.join(caller, &digest, cx),
            StreamEvent::Leave(caller) => self.leave(caller, cx),
            StreamEvent::Chosen(backend) => self.chosen(backend, cx),
            StreamEvent::NoBackend { retry_after } => {
                self.no_backend(retry_after, cx);
            }
            StreamEvent::Probed { backend, stream, resumable } => {
                if self.is_at(&backend, stream) {
                    self.probed(resumable, cx);
                }
            }
            StreamEvent::Line(line) => {
                if let Some(line) = self.hold(line, cx) {
                    self.line(line, cx);
                }
            }
            StreamEvent::Closed(attempt) => self.closed(attempt, cx),
            StreamEvent::NotSent(attempt) => self.not_sent(attempt, cx),
            StreamEvent::Refused { attempt, retry_after } => {
                self.refused(attempt, retry_after, cx);
            }
            StreamEvent::Cancelled { backend, stream, usage } => {
                if self.is_at(&backend, stream) {
                    self.cancelled(usage, cx);
                }
            }
            StreamEvent::BackendLeaving { short_notice } => self.leaving(short_notice, cx),
            StreamEvent::MigrationTargetChosen(to) => self.sought(to, cx),
            StreamEvent::CacheCopied { to, stream, tokens } => self.copied(&to, stream, tokens, cx),
            StreamEvent::Tick => self.tick(cx),
        }
    }

    fn grace(&self) -> Duration {
        if self.setting.has_key { REJOIN_GRACE } else { Duration::ZERO }
    }

    fn join(&mut self, caller: Caller, digest: &[u8; 32], cx: &mut Context<'_>) {
        if self.setting.digest != *digest {
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
            Phase::Ended { ending, .. } => cx.push(last(caller, ending)),
            _ => {
                self.callers.insert(caller);
                self.empty_since = None;
            }
        }
    }

    fn leave(&mut self, caller: Caller, cx: &mut Context<'_>) {
        let last = self.callers.remove(&caller) && self.callers.is_empty();
        if !last || self.is_ended() {
            return;
        }
        self.empty_since = Some(cx.now);
        if self.grace().is_zero() {
            self.stop(cx);
        }
    }

    fn chosen(&mut self, backend: Arc<str>, cx: &mut Context<'_>) {
        if !matches!(self.phase, Phase::Choosing) {
            return;
        }
        self.place(backend);
        self.attempt(cx);
    }

    fn place(&mut self, backend: Arc<str>) {
        let base = self.delivered.len() as u64;
        let stream = stream_id(self.setting.request, base);
        self.place = Some(Place { backend, stream, base, attempts: 0 });
    }

    pub(super) fn attempt(&mut self, cx: &mut Context<'_>) {
        let Some(place) = &mut self.place else { return };
        place.attempts += 1;
        self.attempt += 1;
        let offset = self.delivered.len() as u64 - place.base;
        let resume_point = ResumePoint { stream: place.stream, base: place.base, offset };
        let assembler = Assembler::new(place.stream, self.attempt, offset);
        let until = cx.now + self.setting.first_timeout;
        let backend = place.backend.clone();
        cx.push(StreamAction::Open { backend, attempt: self.attempt, resume_point });
        self.phase = Phase::Open { assembler, attempt: self.attempt, until };
    }

    fn no_backend(&mut self, retry_after: Duration, cx: &mut Context<'_>) {
        if !matches!(self.phase, Phase::Choosing) {
            return;
        }
        let patient = self.setting.class == Class::Long || !self.delivered.is_empty();
        if !patient || cx.now + retry_after >= self.setting.deadline {
            self.fail(retry_after, cx);
            return;
        }
        self.avoid.clear();
        let until = cx.now + retry_after.max(cx.retries.jittered_backoff(1));
        self.phase = Phase::Pausing { until };
    }

    pub(super) fn line(&mut self, line: Line, cx: &mut Context<'_>) {
        let Phase::Open { assembler, until, .. } = &mut self.phase else { return };
        match assembler.line(line) {
            LineResult::Dropped => {}
            LineResult::Piece { token, .. } => {
                *until = cx.now + self.setting.idle_timeout;
                self.deliver(token, cx);
            }
            LineResult::Complete { tokens, prompt_tokens } => {
                self.whole(Usage { prompt_tokens, tokens }, cx);
            }
            LineResult::Failed(_) => {
                cx.push(StreamAction::Close(self.attempt));
                self.broken(cx);
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
        self.ran = true;
        self.failures = 0;
        if let Some(place) = &mut self.place {
            place.attempts = 1;
        }
    }

    fn whole(&mut self, reported: Usage, cx: &mut Context<'_>) {
        let usage = self.total(reported);
        self.health(true, cx);
        self.vacate(cx);
        let callers = std::mem::take(&mut self.callers);
        cx.actions.extend(callers.iter().map(|&caller| StreamAction::Finish { caller, usage }));
        cx.push(StreamAction::Settle(usage));
        self.phase = Phase::Ended { ending: Ending::Whole(usage), at: cx.now };
    }

    /// Adds the tokens that came from earlier streams, which the last engine counts as prompt.
    pub(super) fn total(&self, reported: Usage) -> Usage {
        let base = self.place.as_ref().map_or(0, |place| place.base);
        Usage {
            prompt_tokens: reported.prompt_tokens.saturating_sub(base),
            tokens: reported.tokens + base,
        }
    }

    fn closed(&mut self, attempt: Attempt, cx: &mut Context<'_>) {
        if self.is_open(attempt) {
            self.stay(cx);
        }
        if self.is_open(attempt) {
            self.broken(cx);
        }
    }

    fn not_sent(&mut self, attempt: Attempt, cx: &mut Context<'_>) {
        if !self.is_open(attempt) {
            return;
        }
        self.phase = Phase::Choosing;
        self.failures += 1;
        self.health(false, cx);
        self.move_on(cx);
    }

    fn refused(&mut self, attempt: Attempt, retry_after: Option<Duration>, cx: &mut Context<'_>) {
        if !self.is_open(attempt) {
            return;
        }
        self.phase = Phase::Choosing;
        self.failures += 1;
        if let Some(retry_after) = retry_after
            && self.setting.class == Class::Long
        {
            self.vacate(cx);
            let until = cx.now + retry_after.max(cx.retries.jittered_backoff(self.failures));
            self.phase = Phase::Pausing { until };
            return;
        }
        self.move_on(cx);
    }

    pub(super) fn is_at(&self, backend: &str, stream: request::Id) -> bool {
        self.place.as_ref().is_some_and(|p| *p.backend == *backend && p.stream == stream)
    }

    fn is_open(&self, attempt: Attempt) -> bool {
        matches!(self.phase, Phase::Open { attempt: open, .. } if open == attempt)
    }

    /// Takes the failure of an attempt that an engine may have run.
    fn broken(&mut self, cx: &mut Context<'_>) {
        self.drop_move(cx);
        self.ran = true;
        self.failures += 1;
        self.health(false, cx);
        let again = self.place.as_ref().is_some_and(|p| p.attempts < ATTEMPTS_PER_BACKEND);
        if !again {
            self.cancel_place(cx);
            self.move_on(cx);
            return;
        }
        if !self.may_retry(cx) {
            self.fail(cx.retries.jittered_backoff(self.failures), cx);
            return;
        }
        self.phase = Phase::Backoff { until: cx.now + cx.retries.jittered_backoff(self.failures) };
    }

    /// Leaves the back end for another one.
    fn move_on(&mut self, cx: &mut Context<'_>) {
        let left = self.vacate(cx);
        self.avoid.extend(left);
        if !self.may_retry(cx) {
            self.fail(cx.retries.jittered_backoff(self.failures), cx);
            return;
        }
        self.choose(cx);
    }

    pub(super) fn vacate(&mut self, cx: &mut Context<'_>) -> Option<Arc<str>> {
        self.drop_move(cx);
        let place = self.place.take()?;
        cx.push(StreamAction::ReleaseBackend(place.backend.clone()));
        Some(place.backend)
    }

    fn choose(&mut self, cx: &mut Context<'_>) {
        self.phase = Phase::Choosing;
        cx.push(StreamAction::Choose { avoid: self.avoid.clone() });
    }

    /// Returns whether one more attempt fits the limits. Long requests don't depend on the retry
    /// budget, since they must finish.
    fn may_retry(&self, cx: &mut Context<'_>) -> bool {
        let full = self.delivered.len() as u64 >= self.setting.max_tokens;
        if cx.now >= self.setting.deadline || full {
            return false;
        }
        if self.setting.class == Class::Long {
            return true;
        }
        self.failures < MAX_FAILURES && cx.retries.try_withdraw()
    }

    fn probed(&mut self, resumable: Option<bool>, cx: &mut Context<'_>) {
        if !matches!(self.phase, Phase::Probing { .. }) {
            return;
        }
        match resumable {
            Some(true) => self.attempt(cx),
            Some(false) => self.restart(cx),
            None => {
                self.health(false, cx);
                self.move_on(cx);
            }
        }
    }

    /// Continues on the same back end after it lost the stream.
    fn restart(&mut self, cx: &mut Context<'_>) {
        let Some(place) = self.place.take() else { return };
        let attempts = place.attempts;
        self.place(place.backend);
        if let Some(place) = &mut self.place {
            place.attempts = attempts;
        }
        self.attempt(cx);
    }

    fn health(&self, served: bool, cx: &mut Context<'_>) {
        let Some(place) = &self.place else { return };
        cx.push(StreamAction::Health { backend: place.backend.clone(), served });
    }

    pub(super) fn cancel_place(&self, cx: &mut Context<'_>) {
        let Some(place) = &self.place else { return };
        let (backend, stream) = (place.backend.clone(), place.stream);
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
        if self.empty_since.is_some_and(|since| cx.now >= since + self.grace()) {
            self.stop(cx);
            return;
        }
        if cx.now >= self.setting.deadline {
            self.fail(Duration::ZERO, cx);
            return;
        }
        self.timeout(cx);
    }

    fn timeout(&mut self, cx: &mut Context<'_>) {
        if self.copied_until().is_some_and(|until| cx.now >= until) {
            self.stay(cx);
        }
        match self.phase {
            Phase::Pausing { until } if cx.now >= until => self.choose(cx),
            Phase::Backoff { until } if cx.now >= until => self.probe(cx),
            Phase::Probing { until } if cx.now >= until => {
                self.probed(None, cx);
            }
            Phase::Open { attempt, until, .. } if cx.now >= until => {
                cx.push(StreamAction::Close(attempt));
                self.broken(cx);
            }
            _ => {}
        }
    }

    fn probe(&mut self, cx: &mut Context<'_>) {
        let Some(place) = &self.place else { return };
        let (backend, stream) = (place.backend.clone(), place.stream);
        cx.push(StreamAction::Probe { backend, stream });
        self.phase = Phase::Probing { until: cx.now + PROBE_TIMEOUT };
    }
}

fn last(caller: Caller, ending: &Ending) -> StreamAction {
    match ending {
        Ending::Whole(usage) => StreamAction::Finish { caller, usage: *usage },
        Ending::Failed(failure) => StreamAction::Fail { caller, failure: failure.clone() },
    }
}
