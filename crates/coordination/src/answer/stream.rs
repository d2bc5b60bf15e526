//! Decides about the attempts of one request to a model.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use super::{Assembler, Attempt, Line, Step};
use crate::{
    request::{self, Class},
    retry,
};

/// Time for which a keyed request runs on after its last caller left.
const REJOIN_GRACE: Duration = Duration::from_secs(10);

/// Longest wait for an engine's report on a cancelled stream.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which an ended stream answers late callers.
const KEPT_AFTER_END: Duration = Duration::from_secs(60);

/// Attempts on one back end before another one is chosen.
const ATTEMPTS_PER_BACKEND: u32 = 3;

/// Failures in a row, over all back ends, after which a request that is not long is given up.
const MAX_FAILURES: u32 = 8;

/// Pause before a caller that comes while a stream is being cancelled may retry.
const CANCEL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Names a caller that waits on this host.
pub type Caller = u64;

/// What a stream is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Setting {
    /// Request.
    pub request: request::Id,
    /// Digest of the body, see [`crate::ticket::digest`].
    pub digest: [u8; 32],
    /// Class.
    pub class: Class,
    /// Callers may come back and join.
    pub keyed: bool,
    /// Greatest number of tokens generated.
    pub max_tokens: u64,
    /// Time at which the request ends at the latest.
    pub deadline: Duration,
    /// Longest wait for the first line of an attempt.
    pub first_timeout: Duration,
    /// Longest wait for any further line.
    pub idle_timeout: Duration,
}

/// Tokens that an engine reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub tokens: u64,
}

/// Where the tokens of an attempt come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Source {
    /// Stream at the engine, see [`stream_id`].
    pub stream: request::Id,
    /// Delivered tokens that the driver appends to the prompt; they count against the greatest
    /// number of tokens.
    pub base: u64,
    /// Tokens of the engine's stream to be left out.
    pub offset: u64,
}

/// Why a caller gets no whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// No engine got the request, or each engine that got it refused it.
    NotRun {
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
    /// The request ran, and the rest of the answer can't be had.
    Incomplete {
        /// Tokens delivered.
        delivered: u64,
    },
    /// An earlier run of the request is being ended.
    Ending {
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
    /// The key was used with another body.
    Mismatch,
}

/// What a stream is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamEvent {
    /// A caller wants the answer.
    Join {
        /// Caller.
        caller: Caller,
        /// Digest of the caller's body.
        digest: [u8; 32],
    },
    /// A caller left.
    Leave(Caller),
    /// Answers [`StreamAction::Choose`].
    Chosen(Arc<str>),
    /// Answers [`StreamAction::Choose`]: no back end can take the request.
    NoBackend {
        /// Time after which one may.
        retry_after: Duration,
    },
    /// Answers [`StreamAction::Probe`].
    Probed {
        /// Back end that was asked.
        backend: Arc<str>,
        /// Stream that was asked for.
        stream: request::Id,
        /// The stream stands and can be resumed; `None` where the engine did not answer.
        stands: Option<bool>,
    },
    /// A line came.
    Line(Line),
    /// An attempt's connection closed, or failed after some byte was written.
    Closed(Attempt),
    /// An attempt's connection failed before any byte was written.
    NotSent(Attempt),
    /// The engine refused the attempt and does not run it.
    Refused {
        /// Attempt.
        attempt: Attempt,
        /// Time after which the engine may take it; `None` where it won't.
        retry_after: Option<Duration>,
    },
    /// Answers [`StreamAction::Cancel`].
    Cancelled {
        /// Back end that was asked.
        backend: Arc<str>,
        /// Stream that was cancelled.
        stream: request::Id,
        /// Tokens that the engine reports; `None` where it did not answer.
        usage: Option<Usage>,
    },
    /// Time passed.
    Tick,
}

/// What a stream wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamAction {
    /// Choose a back end that is not in the list, unless there is no other.
    Choose {
        /// Back ends that failed the request.
        avoid: Vec<Arc<str>>,
    },
    /// Ask an engine whether it has the stream.
    Probe {
        /// Back end.
        backend: Arc<str>,
        /// Stream.
        stream: request::Id,
    },
    /// Open a connection for an attempt.
    Open {
        /// Back end.
        backend: Arc<str>,
        /// Attempt.
        attempt: Attempt,
        /// What to ask for.
        source: Source,
    },
    /// Close the connection of an attempt.
    Close(Attempt),
    /// Cancel a stream at an engine.
    Cancel {
        /// Back end.
        backend: Arc<str>,
        /// Stream.
        stream: request::Id,
    },
    /// The back end served or failed an attempt.
    Health {
        /// Back end.
        backend: Arc<str>,
        /// It served the attempt.
        served: bool,
    },
    /// Give a caller the next piece.
    Deliver {
        /// Caller.
        caller: Caller,
        /// Tokens before this one.
        offset: u64,
        /// Text.
        token: Arc<str>,
    },
    /// Tell a caller that its answer is whole.
    Finish {
        /// Caller.
        caller: Caller,
        /// Tokens used.
        usage: Usage,
    },
    /// Tell a caller that it gets no whole answer.
    Fail {
        /// Caller.
        caller: Caller,
        /// Why.
        failure: Failure,
    },
    /// Charge the request for these tokens, once, and free the rest of its reservation.
    Settle(Usage),
    /// Free the request's reservation without a charge.
    Release,
}

#[derive(Debug)]
enum Phase {
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
enum Ending {
    Whole(Usage),
    Failed(Failure),
}

/// The engine's stream that is in use.
#[derive(Debug)]
struct Place {
    backend: Arc<str>,
    stream: request::Id,
    base: u64,
    attempts: u32,
}

/// One request to a model, shared by all callers with its key on this host.
#[derive(Debug)]
pub struct Stream {
    setting: Setting,
    callers: BTreeSet<Caller>,
    empty_since: Option<Duration>,
    delivered: Vec<Arc<str>>,
    place: Option<Place>,
    avoid: Vec<Arc<str>>,
    attempt: Attempt,
    failures: u32,
    /// Some attempt reached an engine that did not refuse it.
    ran: bool,
    phase: Phase,
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
    pub fn open(
        setting: Setting,
        caller: Caller,
        retries: &mut retry::Budget,
        actions: &mut Vec<StreamAction>,
    ) -> Self {
        retries.earn();
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
        }
    }

    /// Returns the delivered pieces, in order.
    pub fn delivered(&self) -> &[Arc<str>] {
        &self.delivered
    }

    /// Returns true once the stream has ended and needs no more events but late callers.
    pub fn ended(&self) -> bool {
        matches!(self.phase, Phase::Ended { .. })
    }

    /// Returns true once the stream may be forgotten.
    pub fn expired(&self, now: Duration) -> bool {
        match self.phase {
            Phase::Ended { at, .. } => !self.setting.keyed || now >= at + KEPT_AFTER_END,
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
        Some(leave.map_or(phase, |leave| leave.min(phase)))
    }

    /// Takes an event and pushes the actions that follow from it.
    pub fn handle(
        &mut self,
        now: Duration,
        event: StreamEvent,
        retries: &mut retry::Budget,
        actions: &mut Vec<StreamAction>,
    ) {
        match event {
            StreamEvent::Join { caller, digest } => self.join(caller, &digest, actions),
            StreamEvent::Leave(caller) => self.leave(now, caller, actions),
            StreamEvent::Chosen(backend) => self.chosen(now, backend, actions),
            StreamEvent::NoBackend { retry_after } => {
                self.no_backend(now, retry_after, retries, actions);
            }
            StreamEvent::Probed { backend, stream, stands } => {
                if self.is_at(&backend, stream) {
                    self.probed(now, stands, retries, actions);
                }
            }
            StreamEvent::Line(line) => self.line(now, line, retries, actions),
            StreamEvent::Closed(attempt) => self.closed(now, attempt, retries, actions),
            StreamEvent::NotSent(attempt) => self.not_sent(now, attempt, retries, actions),
            StreamEvent::Refused { attempt, retry_after } => {
                self.refused(now, attempt, retry_after, retries, actions);
            }
            StreamEvent::Cancelled { backend, stream, usage } => {
                if self.is_at(&backend, stream) {
                    self.cancelled(now, usage, actions);
                }
            }
            StreamEvent::Tick => self.tick(now, retries, actions),
        }
    }

    fn grace(&self) -> Duration {
        if self.setting.keyed { REJOIN_GRACE } else { Duration::ZERO }
    }

    fn join(&mut self, caller: Caller, digest: &[u8; 32], actions: &mut Vec<StreamAction>) {
        if self.setting.digest != *digest {
            actions.push(StreamAction::Fail { caller, failure: Failure::Mismatch });
            return;
        }
        if let Phase::Cancelling { .. } = self.phase {
            let failure = Failure::Ending { retry_after: CANCEL_RETRY_AFTER };
            actions.push(StreamAction::Fail { caller, failure });
            return;
        }
        let pieces = self.delivered.iter().zip(0..);
        actions.extend(pieces.map(|(token, offset)| StreamAction::Deliver {
            caller,
            offset,
            token: token.clone(),
        }));
        match &self.phase {
            Phase::Ended { ending, .. } => actions.push(last(caller, ending)),
            _ => {
                self.callers.insert(caller);
                self.empty_since = None;
            }
        }
    }

    fn leave(&mut self, now: Duration, caller: Caller, actions: &mut Vec<StreamAction>) {
        let last = self.callers.remove(&caller) && self.callers.is_empty();
        if !last || self.ended() {
            return;
        }
        self.empty_since = Some(now);
        if self.grace().is_zero() {
            self.stop(now, actions);
        }
    }

    fn chosen(&mut self, now: Duration, backend: Arc<str>, actions: &mut Vec<StreamAction>) {
        if !matches!(self.phase, Phase::Choosing) {
            return;
        }
        self.place(backend);
        self.attempt(now, actions);
    }

    fn place(&mut self, backend: Arc<str>) {
        let base = self.delivered.len() as u64;
        let stream = stream_id(self.setting.request, base);
        self.place = Some(Place { backend, stream, base, attempts: 0 });
    }

    fn attempt(&mut self, now: Duration, actions: &mut Vec<StreamAction>) {
        let Some(place) = &mut self.place else { return };
        place.attempts += 1;
        self.attempt += 1;
        let offset = self.delivered.len() as u64 - place.base;
        let source = Source { stream: place.stream, base: place.base, offset };
        let assembler = Assembler::open(place.stream, self.attempt, offset);
        let until = now + self.setting.first_timeout;
        let backend = place.backend.clone();
        actions.push(StreamAction::Open { backend, attempt: self.attempt, source });
        self.phase = Phase::Open { assembler, attempt: self.attempt, until };
    }

    fn no_backend(
        &mut self,
        now: Duration,
        retry_after: Duration,
        retries: &mut retry::Budget,
        actions: &mut Vec<StreamAction>,
    ) {
        if !matches!(self.phase, Phase::Choosing) {
            return;
        }
        let patient = self.setting.class == Class::Long || !self.delivered.is_empty();
        if !patient || now + retry_after >= self.setting.deadline {
            self.fail(now, retry_after, actions);
            return;
        }
        self.avoid.clear();
        let until = now + retry_after.max(retries.pause(1));
        self.phase = Phase::Pausing { until };
    }

    fn line(
        &mut self,
        now: Duration,
        line: Line,
        retries: &mut retry::Budget,
        actions: &mut Vec<StreamAction>,
    ) {
        let Phase::Open { assembler, until, .. } = &mut self.phase else { return };
        match assembler.line(line) {
            Step::Dropped => {}
            Step::Piece { token, .. } => {
                *until = now + self.setting.idle_timeout;
                self.deliver(token, actions);
            }
            Step::Whole { tokens, prompt_tokens } => {
                self.whole(now, Usage { prompt_tokens, tokens }, actions);
            }
            Step::Broken(_) => self.broken(now, retries, actions),
        }
    }

    fn deliver(&mut self, token: Arc<str>, actions: &mut Vec<StreamAction>) {
        let offset = self.delivered.len() as u64;
        let pieces = self.callers.iter().map(|&caller| StreamAction::Deliver {
            caller,
            offset,
            token: token.clone(),
        });
        actions.extend(pieces);
        self.delivered.push(token);
        self.ran = true;
        self.failures = 0;
        if let Some(place) = &mut self.place {
            place.attempts = 1;
        }
    }

    fn whole(&mut self, now: Duration, reported: Usage, actions: &mut Vec<StreamAction>) {
        let usage = self.total(reported);
        if let Some(place) = &self.place {
            let backend = place.backend.clone();
            actions.push(StreamAction::Health { backend, served: true });
        }
        let callers = std::mem::take(&mut self.callers);
        actions.extend(callers.iter().map(|&caller| StreamAction::Finish { caller, usage }));
        actions.push(StreamAction::Settle(usage));
        self.phase = Phase::Ended { ending: Ending::Whole(usage), at: now };
    }

    /// Adds the tokens that came from earlier streams, which the last engine counts as prompt.
    fn total(&self, reported: Usage) -> Usage {
        let base = self.place.as_ref().map_or(0, |place| place.base);
        Usage {
            prompt_tokens: reported.prompt_tokens.saturating_sub(base),
            tokens: reported.tokens + base,
        }
    }

    fn closed(
        &mut self,
        now: Duration,
        attempt: Attempt,
        retries: &mut retry::Budget,
        actions: &mut Vec<StreamAction>,
    ) {
        if self.is_open(attempt) {
            self.broken(now, retries, actions);
        }
    }

    fn not_sent(
        &mut self,
        now: Duration,
        attempt: Attempt,
        retries: &mut retry::Budget,
        actions: &mut Vec<StreamAction>,
    ) {
        if !self.is_open(attempt) {
            return;
        }
        self.failures += 1;
        self.health(false, actions);
        self.move_on(now, retries, actions);
    }

    fn refused(
        &mut self,
        now: Duration,
        attempt: Attempt,
        retry_after: Option<Duration>,
        retries: &mut retry::Budget,
        actions: &mut Vec<StreamAction>,
    ) {
        if !self.is_open(attempt) {
            return;
        }
        self.failures += 1;
        if let Some(retry_after) = retry_after
            && self.setting.class == Class::Long
        {
            let until = now + retry_after.max(retries.pause(self.failures));
            self.phase = Phase::Pausing { until };
            return;
        }
        self.move_on(now, retries, actions);
    }

    fn is_at(&self, backend: &str, stream: request::Id) -> bool {
        self.place.as_ref().is_some_and(|p| *p.backend == *backend && p.stream == stream)
    }

    fn is_open(&self, attempt: Attempt) -> bool {
        matches!(self.phase, Phase::Open { attempt: open, .. } if open == attempt)
    }

    /// Takes the failure of an attempt that an engine may have run.
    fn broken(
        &mut self,
        now: Duration,
        retries: &mut retry::Budget,
        actions: &mut Vec<StreamAction>,
    ) {
        self.ran = true;
        self.failures += 1;
        self.health(false, actions);
        let again = self.place.as_ref().is_some_and(|p| p.attempts < ATTEMPTS_PER_BACKEND);
        if !again {
            self.cancel_place(actions);
            self.move_on(now, retries, actions);
            return;
        }
        if !self.may_retry(now, retries) {
            self.fail(now, retries.pause(self.failures), actions);
            return;
        }
        self.phase = Phase::Backoff { until: now + retries.pause(self.failures) };
    }

    /// Leaves the back end for another one.
    fn move_on(
        &mut self,
        now: Duration,
        retries: &mut retry::Budget,
        actions: &mut Vec<StreamAction>,
    ) {
        if let Some(place) = self.place.take() {
            self.avoid.push(place.backend);
        }
        if !self.may_retry(now, retries) {
            self.fail(now, retries.pause(self.failures), actions);
            return;
        }
        self.choose(actions);
    }

    fn choose(&mut self, actions: &mut Vec<StreamAction>) {
        self.phase = Phase::Choosing;
        actions.push(StreamAction::Choose { avoid: self.avoid.clone() });
    }

    /// Returns whether one more attempt fits the limits. Long requests don't depend on the retry
    /// budget, since they must finish.
    fn may_retry(&self, now: Duration, retries: &mut retry::Budget) -> bool {
        let full = self.delivered.len() as u64 >= self.setting.max_tokens;
        if now >= self.setting.deadline || full {
            return false;
        }
        if self.setting.class == Class::Long {
            return true;
        }
        self.failures < MAX_FAILURES && retries.spend()
    }

    fn probed(
        &mut self,
        now: Duration,
        stands: Option<bool>,
        retries: &mut retry::Budget,
        actions: &mut Vec<StreamAction>,
    ) {
        if !matches!(self.phase, Phase::Probing { .. }) {
            return;
        }
        match stands {
            Some(true) => self.attempt(now, actions),
            Some(false) => self.restart(now, actions),
            None => {
                self.health(false, actions);
                self.move_on(now, retries, actions);
            }
        }
    }

    /// Continues on the same back end after it lost the stream.
    fn restart(&mut self, now: Duration, actions: &mut Vec<StreamAction>) {
        let Some(place) = self.place.take() else { return };
        let attempts = place.attempts;
        self.place(place.backend);
        if let Some(place) = &mut self.place {
            place.attempts = attempts;
        }
        self.attempt(now, actions);
    }

    fn health(&self, served: bool, actions: &mut Vec<StreamAction>) {
        let Some(place) = &self.place else { return };
        actions.push(StreamAction::Health { backend: place.backend.clone(), served });
    }

    fn cancel_place(&self, actions: &mut Vec<StreamAction>) {
        let Some(place) = &self.place else { return };
        let (backend, stream) = (place.backend.clone(), place.stream);
        actions.push(StreamAction::Cancel { backend, stream });
    }

    fn may_have_run(&self) -> bool {
        self.ran || matches!(self.phase, Phase::Open { .. })
    }

    /// Ends the request without a whole answer.
    fn fail(&mut self, now: Duration, retry_after: Duration, actions: &mut Vec<StreamAction>) {
        let failure = match self.may_have_run() {
            true => Failure::Incomplete { delivered: self.delivered.len() as u64 },
            false => Failure::NotRun { retry_after },
        };
        let callers = std::mem::take(&mut self.callers);
        actions.extend(
            callers.iter().map(|&caller| StreamAction::Fail { caller, failure: failure.clone() }),
        );
        self.stop_with(now, failure, actions);
    }

    /// Ends the request after its last caller left.
    fn stop(&mut self, now: Duration, actions: &mut Vec<StreamAction>) {
        let delivered = self.delivered.len() as u64;
        self.stop_with(now, Failure::Incomplete { delivered }, actions);
    }

    fn stop_with(&mut self, now: Duration, failure: Failure, actions: &mut Vec<StreamAction>) {
        let ran = self.may_have_run();
        if let Phase::Open { attempt, .. } = self.phase {
            actions.push(StreamAction::Close(attempt));
        }
        if !ran {
            actions.push(StreamAction::Release);
            self.phase = Phase::Ended { ending: Ending::Failed(failure), at: now };
            return;
        }
        if self.place.is_none() {
            self.settle_delivered(now, actions);
            return;
        }
        self.cancel_place(actions);
        self.phase = Phase::Cancelling { until: now + CANCEL_TIMEOUT };
    }

    fn cancelled(&mut self, now: Duration, usage: Option<Usage>, actions: &mut Vec<StreamAction>) {
        if !matches!(self.phase, Phase::Cancelling { .. }) {
            return;
        }
        let Some(reported) = usage else {
            self.settle_delivered(now, actions);
            return;
        };
        actions.push(StreamAction::Settle(self.total(reported)));
        self.end_incomplete(now);
    }

    /// Charges the delivered tokens, where no engine reports more.
    fn settle_delivered(&mut self, now: Duration, actions: &mut Vec<StreamAction>) {
        let tokens = self.delivered.len() as u64;
        actions.push(StreamAction::Settle(Usage { prompt_tokens: 0, tokens }));
        self.end_incomplete(now);
    }

    fn end_incomplete(&mut self, now: Duration) {
        let delivered = self.delivered.len() as u64;
        let ending = Ending::Failed(Failure::Incomplete { delivered });
        self.phase = Phase::Ended { ending, at: now };
    }

    fn tick(
        &mut self,
        now: Duration,
        retries: &mut retry::Budget,
        actions: &mut Vec<StreamAction>,
    ) {
        if let Phase::Cancelling { until } = self.phase {
            if now >= until {
                self.settle_delivered(now, actions);
            }
            return;
        }
        if self.ended() {
            return;
        }
        if self.empty_since.is_some_and(|since| now >= since + self.grace()) {
            self.stop(now, actions);
            return;
        }
        if now >= self.setting.deadline {
            self.fail(now, Duration::ZERO, actions);
            return;
        }
        self.timeout(now, retries, actions);
    }

    fn timeout(
        &mut self,
        now: Duration,
        retries: &mut retry::Budget,
        actions: &mut Vec<StreamAction>,
    ) {
        match self.phase {
            Phase::Pausing { until } if now >= until => self.choose(actions),
            Phase::Backoff { until } if now >= until => self.probe(now, actions),
            Phase::Probing { until } if now >= until => {
                self.probed(now, None, retries, actions);
            }
            Phase::Open { attempt, until, .. } if now >= until => {
                actions.push(StreamAction::Close(attempt));
                self.broken(now, retries, actions);
            }
            _ => {}
        }
    }

    fn probe(&mut self, now: Duration, actions: &mut Vec<StreamAction>) {
        let Some(place) = &self.place else { return };
        let (backend, stream) = (place.backend.clone(), place.stream);
        actions.push(StreamAction::Probe { backend, stream });
        self.phase = Phase::Probing { until: now + CANCEL_TIMEOUT };
    }
}

fn last(caller: Caller, ending: &Ending) -> StreamAction {
    match ending {
        Ending::Whole(usage) => StreamAction::Finish { caller, usage: *usage },
        Ending::Failed(failure) => StreamAction::Fail { caller, failure: failure.clone() },
    }
}
