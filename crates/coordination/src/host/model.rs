//! Requests to models, from the reservation to the end of the answer.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use super::{
    Host, Purpose,
    action::Action,
    event::{Caller, Refusal, Report, Run, StreamState},
    exchange::{Exchange, Stream as StreamParameters},
    problem,
    validation::{self, Prompt, Work},
};
use crate::{
    answer::{
        Attempt, Content, Failure, Line, ResumePoint, Stream, StreamAction, StreamEvent,
        StreamSettings, Usage,
    },
    holder, locate,
    message::{Entry, Holder, Message},
    record::Model,
    request::{self, Class},
    route::{self, Query, RouterEvent},
    ticket,
    timeline::Step,
};

/// Time for which a backend server that is full gets no requests if its refusal names none.
const FULL_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Longest wait for a line of a stream after the first one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time between two checks of whether an ended stream, which late callers may still join, has
/// expired.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_secs(61);

/// Purpose of a query to a backend server about a stream.
#[derive(Debug, Clone)]
pub(super) enum StreamQuery {
    Probe { request: request::Id, backend: Arc<str> },
    Cancel { request: request::Id, backend: Arc<str> },
    Recovery,
}

/// Request to a model.
#[derive(Debug)]
pub(super) struct Request {
    work: Work,
    prompt: Prompt,
    digest: [u8; 32],
    /// Callers that wait for the reservation.
    waiting_callers: Vec<Caller>,
    stream: Option<Stream>,
    started_callers: BTreeSet<Caller>,
    runs: BTreeMap<Attempt, Run>,
    wake_at: Option<Duration>,
    accepted_at: Duration,
    /// A backend server was chosen before. At the first choice for a request with a key, the
    /// request's home was asked where it already runs.
    had_choice: bool,
}

impl Request {
    /// Returns whether the stream of the request has ended.
    pub(super) fn is_ended(&self) -> bool {
        self.stream.as_ref().is_some_and(Stream::is_ended)
    }

    /// Returns the query for a backend server, and the time by which the request should have ended.
    pub(super) fn query(&self, avoid: Vec<Arc<str>>) -> (Query, Duration) {
        let query = Query {
            route: self.work.route.clone(),
            class: self.work.class,
            starved: false,
            prefixes: self.prompt.prefixes.clone(),
            avoid,
        };
        (query, self.accepted_at + Duration::from_millis(self.work.timeout_ms))
    }

    /// Returns the model of the request.
    pub(super) fn model(&self) -> &Model {
        &self.prompt.model
    }
}

impl Host {
    pub(super) fn start_model(&mut self, caller: Caller, work: Work) {
        let validation::Payload::Model(prompt) = work.payload.clone() else { return };
        let id = self.request_id(&work);
        let digest = digest(&work, &prompt);
        self.callers.insert(caller, id);
        self.record_step(Some(id), Step::Accepted, "", format!("service={}", work.route));
        if self.model_requests.contains_key(&id) {
            return self.join_request(id, caller, digest);
        }
        let reserve = work.reserve(id);
        let request = Request {
            work,
            prompt,
            digest,
            waiting_callers: vec![caller],
            stream: None,
            started_callers: BTreeSet::new(),
            runs: BTreeMap::new(),
            wake_at: None,
            accepted_at: self.now,
            had_choice: false,
        };
        self.model_requests.insert(id, request);
        self.holder_event(holder::Event::Reserve(reserve));
    }

    fn join_request(&mut self, id: request::Id, caller: Caller, digest: [u8; 32]) {
        let Some(request) = self.model_requests.get_mut(&id) else { return };
        if request.stream.is_some() {
            return self.stream_event(id, StreamEvent::Join { caller, digest });
        }
        if request.digest != digest {
            return self.refuse(caller, Some(id), problem::mismatch());
        }
        request.waiting_callers.push(caller);
    }

    /// Opens the stream of a request whose reservation was made, or drops the request if its
    /// callers have left.
    pub(super) fn open_stream(&mut self, id: request::Id) {
        let Some(request) = self.model_requests.get_mut(&id) else { return };
        let callers = std::mem::take(&mut request.waiting_callers);
        let Some((&first, others)) = callers.split_first() else {
            self.model_requests.remove(&id);
            return self.holder_event(holder::Event::Release { request: id });
        };
        let settings = StreamSettings {
            request: id,
            digest: request.digest,
            class: request.work.class,
            has_key: request.work.key.is_some(),
            max_tokens: request.prompt.max_tokens,
            deadline: request.accepted_at + Duration::from_millis(request.work.timeout_ms),
            first_timeout: first_timeout(request.work.class),
            idle_timeout: IDLE_TIMEOUT,
        };
        let digest = request.digest;
        let mut actions = Vec::new();
        request.stream = Some(Stream::new(settings, first, &mut self.retry_budget, &mut actions));
        self.stream_actions(id, actions);
        for &caller in others {
            self.stream_event(id, StreamEvent::Join { caller, digest });
        }
        self.update_timer(id);
    }

    /// Ends a request whose reservation was refused.
    pub(super) fn refuse_model_request(
        &mut self,
        id: request::Id,
        problem: &super::action::Problem,
    ) {
        let Some(request) = self.model_requests.remove(&id) else { return };
        let problem = problem.clone().scoped_to_attempt(request.work.key.as_ref());
        for caller in request.waiting_callers {
            self.refuse(caller, Some(id), problem.clone());
        }
    }

    pub(super) fn leave_model_request(&mut self, id: request::Id, caller: Caller) {
        let Some(request) = self.model_requests.get_mut(&id) else { return };
        request.started_callers.remove(&caller);
        if request.stream.is_some() {
            return self.stream_event(id, StreamEvent::Leave(caller));
        }
        request.waiting_callers.retain(|waiting| *waiting != caller);
        if request.waiting_callers.is_empty() {
            self.model_requests.remove(&id);
            self.holder_event(holder::Event::Release { request: id });
        }
    }

    /// Handles the choice of a backend server for a request. The first choice for a request with a
    /// key may be replaced by the backend server on which the request already runs.
    pub(super) fn backend_chosen(&mut self, id: request::Id, backend: Arc<str>) {
        let Some(request) = self.model_requests.get_mut(&id) else { return };
        let first = !std::mem::replace(&mut request.had_choice, true);
        if first && request.work.key.is_some() {
            return self.locator_event(locate::Event::Start { request: id, backend });
        }
        self.stream_event(id, StreamEvent::Chosen(backend));
    }

    pub(super) fn locator_event(&mut self, event: locate::Event) {
        let mut actions = Vec::new();
        self.locator.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                locate::Action::Send(host, message) => self.send_locate(&host, message),
                locate::Action::Run { request, backend } => {
                    self.stream_event(request, StreamEvent::Chosen(backend));
                }
            }
        }
    }

    fn send_locate(&mut self, host: &Arc<str>, message: Message) {
        if *host != self.settings.host {
            return self.send_to_host(host, message);
        }
        let Message::Locate { request, backend } = message else { return };
        let asked = locate::Location { backend, holder: self.id.clone() };
        let locate::Location { backend, .. } = self.location_index.locate(self.now, request, asked);
        self.locator_event(locate::Event::Located { request, backend });
    }

    /// Tells another host where a request runs.
    pub(super) fn locate(
        &mut self,
        from: Holder,
        address: Arc<str>,
        request: request::Id,
        backend: Arc<str>,
    ) {
        let asked = locate::Location { backend, holder: from };
        let locate::Location { backend, holder } =
            self.location_index.locate(self.now, request, asked);
        let message = Message::Located { request, backend, holder };
        self.pending_actions.push(Action::Send { address, message });
    }

    pub(super) fn no_backend_chosen(&mut self, id: request::Id, retry_after: Duration) {
        self.stream_event(id, StreamEvent::NoBackend { retry_after });
    }

    pub(super) fn stream_report(
        &mut self,
        id: request::Id,
        attempt: Attempt,
        backend: &Arc<str>,
        report: Report,
    ) {
        let event = match report {
            Report::Piece { request, attempt, offset, token } => {
                self.notify_if_backend_leaves(id, backend);
                line_event(&request, attempt, Content::Piece { offset, token })
            }
            Report::End { request, attempt: named, tokens, prompt_tokens } => {
                let end = line_event(&request, named, Content::End { tokens, prompt_tokens });
                self.optional_stream_event(id, end);
                Some(StreamEvent::Closed(attempt))
            }
            Report::Refused { reason, retry_after_ms } => {
                let retry_after = retry_after_ms.map(Duration::from_millis);
                self.backend_refused(id, backend, reason, retry_after);
                Some(StreamEvent::Refused { attempt, retry_after })
            }
            Report::Failed { unsent: true, .. } => Some(StreamEvent::NotSent(attempt)),
            Report::Failed { unsent: false, cause } => {
                self.record_step(
                    Some(id),
                    Step::Failed,
                    backend.clone(),
                    format!("cause={cause:?}"),
                );
                Some(StreamEvent::Closed(attempt))
            }
            Report::Answer { .. } => Some(StreamEvent::Closed(attempt)),
        };
        self.optional_stream_event(id, event);
    }

    fn optional_stream_event(&mut self, id: request::Id, event: Option<StreamEvent>) {
        let Some(event) = event else { return };
        self.stream_event(id, event);
    }

    fn backend_refused(
        &mut self,
        id: request::Id,
        backend: &Arc<str>,
        reason: Refusal,
        retry_after: Option<Duration>,
    ) {
        let refusal = match reason {
            Refusal::Leaving => route::Refusal::Leaving,
            Refusal::Model => match self.model_requests.get(&id) {
                Some(request) => route::Refusal::Model(request.prompt.model.clone()),
                None => return,
            },
            Refusal::Full => route::Refusal::Busy(retry_after.unwrap_or(FULL_RETRY_DELAY)),
        };
        self.router_event(RouterEvent::Refused(backend.clone(), refusal));
    }

    pub(super) fn stream_event(&mut self, id: request::Id, event: StreamEvent) {
        let now = self.now;
        let Some(request) = self.model_requests.get_mut(&id) else { return };
        let Some(stream) = &mut request.stream else { return };
        let mut actions = Vec::new();
        stream.handle(now, event, &mut self.retry_budget, &mut actions);
        self.stream_actions(id, actions);
        self.update_timer(id);
    }

    /// Sets the timer of a request, and removes a request whose stream has expired.
    fn update_timer(&mut self, id: request::Id) {
        let Some(request) = self.model_requests.get_mut(&id) else { return };
        let Some(stream) = &request.stream else { return };
        let is_ended = stream.is_ended();
        let wake_at = match is_ended {
            true => Some(self.now + EXPIRY_CHECK_INTERVAL),
            false => stream.wake_at(),
        };
        let is_expired = stream.is_expired(self.now);
        let old = std::mem::replace(&mut request.wake_at, wake_at);
        if let Some(old) = old {
            self.timers.remove(&(old, id));
        }
        if let Some(wake_at) = wake_at
            && !is_expired
        {
            self.timers.insert((wake_at, id));
        }
        if is_expired {
            self.model_requests.remove(&id);
        }
    }

    fn stream_actions(&mut self, id: request::Id, actions: Vec<StreamAction>) {
        for action in actions {
            self.stream_action(id, action);
        }
    }

    fn stream_action(&mut self, id: request::Id, action: StreamAction) {
        match action {
            StreamAction::Choose { avoid } => self.choose_backend(id, avoid),
            StreamAction::CancelChoose => {
                self.cancel_backend_request(id);
                // The request may have been placed while the host that indexes it was being asked.
                self.release_backend(id);
            }
            StreamAction::ReleaseBackend(_) => self.release_backend(id),
            StreamAction::Probe { backend, stream } => {
                let query = StreamQuery::Probe { request: id, backend: backend.clone() };
                self.query_stream(&backend, stream, query);
            }
            StreamAction::ChooseMigrationTarget { avoid } => self.place_migration(id, avoid),
            StreamAction::CopyCache { from, to, stream } => self.copy_cache(id, &from, to, stream),
            StreamAction::CommitMigration => self.commit_migration(id),
            StreamAction::AbortMigration => self.abort_migration(id),
            StreamAction::Open { backend, attempt, resume_point } => {
                self.open_attempt(id, backend, attempt, resume_point);
            }
            StreamAction::Close(attempt) => self.close_attempt(id, attempt),
            StreamAction::Cancel { backend, stream } => {
                self.record_step(Some(id), Step::Cancelled, backend.clone(), String::new());
                let query = StreamQuery::Cancel { request: id, backend: backend.clone() };
                self.query_stream(&backend, stream, query);
            }
            StreamAction::Health { backend, served } => {
                self.router_event(RouterEvent::Health { backend, served });
            }
            StreamAction::Deliver { caller, offset, token } => {
                self.deliver_token(id, caller, offset, token);
            }
            StreamAction::Finish { caller, usage } => self.finish_answer(id, caller, usage),
            StreamAction::Fail { caller, failure } => self.fail_request(id, caller, &failure),
            StreamAction::Settle(usage) => self.settle_request(id, usage),
            StreamAction::Release => self.holder_event(holder::Event::Release { request: id }),
        }
    }

    fn choose_backend(&mut self, id: request::Id, avoid: Vec<Arc<str>>) {
        let Some(request) = self.model_requests.get(&id) else { return };
        let (query, deadline) = request.query(avoid);
        self.request_backend(id, query, deadline);
    }

    fn open_attempt(
        &mut self,
        id: request::Id,
        backend: Arc<str>,
        attempt: Attempt,
        resume_point: ResumePoint,
    ) {
        let purpose = Purpose::Stream { request: id, attempt, backend: backend.clone() };
        let run = self.register_run(purpose);
        let Some(request) = self.model_requests.get_mut(&id) else { return };
        request.runs.insert(attempt, run);
        let Some(address) = self.catalog.backend(&backend).map(|record| record.address.clone())
        else {
            return self
                .handle_report(run, Report::Failed { unsent: true, cause: "no record".into() });
        };
        let parameters = stream_parameters(request, attempt, resume_point);
        let reserve = Entry::Reserve {
            request: id,
            budget: request.work.budget.clone(),
            tokens: request.work.max_charge,
            backend: backend.clone(),
        };
        if resume_point.base == 0 {
            // Tells a recovery which backend server knows the usage of the request.
            self.append_entry(reserve);
        }
        let step = if attempt == 1 { Step::Dispatched } else { Step::Resumed };
        let detail =
            format!("attempt={attempt} offset={}", resume_point.base + resume_point.offset);
        self.record_step(Some(id), step, backend, detail);
        self.start_exchange(Exchange::Stream { run, address, stream: parameters });
    }

    fn close_attempt(&mut self, id: request::Id, attempt: Attempt) {
        let Some(request) = self.model_requests.get_mut(&id) else { return };
        let Some(run) = request.runs.remove(&attempt) else { return };
        if self.runs.remove(&run).is_some() {
            self.start_exchange(Exchange::Abandon { run });
        }
    }

    fn query_stream(&mut self, backend: &Arc<str>, stream: request::Id, query: StreamQuery) {
        let cancels = matches!(query, StreamQuery::Cancel { .. });
        let Some(record) = self.catalog.backend(backend) else {
            return self.finish_stream_query(stream, query, None);
        };
        let address = record.address.clone();
        self.stream_queries.entry((address.clone(), stream)).or_default().push_back(query);
        self.start_exchange(match cancels {
            true => Exchange::Cancel { address, stream },
            false => Exchange::Inquire { address, stream },
        });
    }

    /// Asks a backend server, for a recovery, how many tokens the stream of a dead host used.
    pub(super) fn query_stream_for_recovery(&mut self, backend: &Arc<str>, stream: request::Id) {
        self.query_stream(backend, stream, StreamQuery::Recovery);
    }

    /// Passes the answer of a backend server to the oldest query to it about a stream.
    pub(super) fn queried(
        &mut self,
        address: Arc<str>,
        stream: request::Id,
        state: Option<StreamState>,
    ) {
        let key = (address, stream);
        let Some(queue) = self.stream_queries.get_mut(&key) else { return };
        let query = queue.pop_front();
        if queue.is_empty() {
            self.stream_queries.remove(&key);
        }
        let Some(query) = query else { return };
        self.finish_stream_query(stream, query, state);
    }

    fn finish_stream_query(
        &mut self,
        stream: request::Id,
        query: StreamQuery,
        state: Option<StreamState>,
    ) {
        let usage = match state {
            Some(StreamState::Present(usage)) => Some(usage),
            Some(StreamState::Absent) | None => None,
        };
        match query {
            StreamQuery::Probe { request, backend } => {
                let resumable = state.map(|state| matches!(state, StreamState::Present(_)));
                self.stream_event(request, StreamEvent::Probed { backend, stream, resumable });
            }
            StreamQuery::Cancel { request, backend } => {
                self.stream_event(request, StreamEvent::Cancelled { backend, stream, usage });
            }
            StreamQuery::Recovery => self.recovered_usage(stream, usage),
        }
    }

    fn deliver_token(&mut self, id: request::Id, caller: Caller, offset: u64, token: Arc<str>) {
        if self.begin_answer(id, caller) && offset == 0 {
            self.record_step(Some(id), Step::FirstToken, "", String::new());
        }
        self.pending_actions.push(Action::Token { caller, offset, token });
    }

    /// Begins the answer to a caller unless that is done; returns whether it was begun now.
    fn begin_answer(&mut self, id: request::Id, caller: Caller) -> bool {
        let Some(request) = self.model_requests.get_mut(&id) else { return false };
        let first = request.started_callers.insert(caller);
        if first {
            self.pending_actions.push(Action::Begin { caller, request: id });
        }
        first
    }

    fn finish_answer(&mut self, id: request::Id, caller: Caller, usage: Usage) {
        self.begin_answer(id, caller);
        self.callers.remove(&caller);
        let usage = self.cap_prompt_tokens(id, usage);
        let charged = self.charge(id, usage);
        let Usage { prompt_tokens, tokens } = usage;
        self.record_step(
            Some(id),
            Step::Answered,
            "",
            format!("tokens={tokens} charged={charged}"),
        );
        self.pending_actions.push(Action::End { caller, tokens, prompt_tokens, charged });
    }

    fn fail_request(&mut self, id: request::Id, caller: Caller, failure: &Failure) {
        self.callers.remove(&caller);
        let key = self.model_requests.get(&id).and_then(|request| request.work.key.as_ref());
        let problem = match failure {
            Failure::NotRun { .. } => problem::stream_failure(failure).scoped_to_attempt(key),
            _ => problem::stream_failure(failure),
        };
        let detail = format!("code={} outcome={}", problem.code, problem.outcome.as_str());
        self.record_step(Some(id), Step::Failed, "", detail);
        self.pending_actions.push(Action::Fail { caller, request: Some(id), problem });
    }

    /// Caps the prompt tokens of a usage at those of the request, since an engine on which the
    /// request was continued counts the tokens delivered before as part of the prompt.
    fn cap_prompt_tokens(&self, id: request::Id, usage: Usage) -> Usage {
        let Some(request) = self.model_requests.get(&id) else { return usage };
        let prompt_tokens = usage.prompt_tokens.min(request.prompt.tokens());
        Usage { prompt_tokens, ..usage }
    }

    /// Returns the number of tokens to charge for a request: its usage, at most its reservation.
    fn charge(&self, id: request::Id, usage: Usage) -> u64 {
        let max_charge = self.model_requests.get(&id).map_or(0, |request| request.work.max_charge);
        usage.tokens.saturating_add(usage.prompt_tokens).min(max_charge)
    }

    fn settle_request(&mut self, id: request::Id, usage: Usage) {
        let tokens = self.charge(id, self.cap_prompt_tokens(id, usage));
        self.record_step(Some(id), Step::Settled, "", format!("tokens={tokens}"));
        self.holder_event(holder::Event::Settle { request: id, tokens });
    }

    pub(super) fn wake_streams(&mut self) {
        while let Some(&(at, id)) = self.timers.first() {
            if at > self.now {
                return;
            }
            self.timers.pop_first();
            self.stream_event(id, StreamEvent::Tick);
        }
    }
}

fn first_timeout(class: Class) -> Duration {
    match class {
        Class::Urgent => Duration::from_secs(10),
        Class::Normal => Duration::from_secs(30),
        Class::Long => Duration::from_secs(300),
    }
}

fn digest(work: &Work, prompt: &Prompt) -> [u8; 32] {
    let body = serde_json::json!([work.budget, prompt.max_tokens, prompt.text]).to_string();
    ticket::digest(&work.route, body.as_bytes())
}

fn line_event(request: &str, attempt: Attempt, content: Content) -> Option<StreamEvent> {
    let request = request::Id::try_from(request.to_owned()).ok()?;
    Some(StreamEvent::Line(Line { request, attempt, content }))
}

fn stream_parameters(
    request: &Request,
    attempt: Attempt,
    resume_point: ResumePoint,
) -> StreamParameters {
    let ResumePoint { stream, base, offset } = resume_point;
    let delivered = request.stream.as_ref().map_or(&[][..], Stream::delivered);
    let base_tokens = usize::try_from(base).unwrap_or(usize::MAX).min(delivered.len());
    let prompt = match base_tokens {
        0 => request.prompt.text.clone(),
        _ => {
            let mut text = request.prompt.text.to_string();
            text.extend(delivered[..base_tokens].iter().map(|token| &**token));
            text.into()
        }
    };
    StreamParameters {
        stream,
        attempt,
        model: request.prompt.model.name.clone(),
        adapter: request.prompt.model.adapter.clone(),
        version: request.prompt.model.version.clone(),
        prompt,
        max_tokens: request.prompt.max_tokens.saturating_sub(base),
        class: request.work.class,
        offset,
    }
}
