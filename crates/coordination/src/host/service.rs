//! Service calls, which are either repeatable or run at most once under a ticket.

use std::{sync::Arc, time::Duration};

use super::{
    Host, Owner, Purpose, Stage,
    action::{Action, Problem},
    event::{Caller, Report},
    exchange::Exchange,
    problem,
    validation::{self, Work},
};
use crate::{
    claim::{
        Call, ClaimRequest, DispatchResult, DispatcherAction, DispatcherEvent, IssuerAction,
        IssuerEvent, IssuerStatus, Outcome, RecoveredClaims,
    },
    escrow, holder,
    message::{Entry, Holder, Message, State},
    request,
    route::{Query, RouterEvent},
    table::{self, Op},
    ticket::{self, Ticket},
    timeline::Step,
};

/// Time after which a caller may retry a call for which no backend server could be reached.
const UNREACHABLE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Lowest HTTP status that reports a failure of the service; a call with such a status is not
/// charged.
const FIRST_SERVER_ERROR: u16 = 500;

/// Greatest number of attempts of one call.
const MAX_ATTEMPTS: u32 = 3;

/// Call with a ticket whose outcome is not known yet.
#[derive(Debug)]
pub(super) struct TicketedCall {
    work: Work,
    /// Why it was not sent; `None` if it was, or has not been tried.
    problem: Option<Problem>,
}

/// Call that waits for a backend server or runs on one.
#[derive(Debug)]
pub(super) struct Request {
    work: Work,
    body: Arc<str>,
    /// Callers of a repeatable call; empty for a call with a ticket, whose caller is answered when
    /// the dispatcher reports the outcome.
    callers: Vec<Caller>,
    /// Caller that presented the ticket; `None` for a repeatable call.
    ticket_caller: Option<Caller>,
    digest: [u8; 32],
    avoid: Vec<Arc<str>>,
    attempts: u32,
    sent: bool,
    /// An earlier attempt may have run.
    may_have_run: bool,
    deadline: Duration,
}

impl Host {
    pub(super) fn start_call(&mut self, caller: Caller, work: Work) {
        let validation::Payload::Call { body, idempotent } = work.payload.clone() else { return };
        let digest = ticket::digest(&work.route, body.as_bytes());
        match idempotent {
            true => self.start_repeatable(caller, work, body, digest),
            false => self.start_ticketed(caller, work, digest),
        }
    }

    fn start_repeatable(&mut self, caller: Caller, work: Work, body: Arc<str>, digest: [u8; 32]) {
        let id = self.request_id(&work);
        self.callers.insert(caller, id);
        self.record_step(Some(id), Step::Accepted, "", format!("service={}", work.route));
        if let Some(request) = self.service_calls.get_mut(&id) {
            if request.digest != digest {
                return self.refuse(caller, Some(id), problem::mismatch());
            }
            return request.callers.push(caller);
        }
        self.reserve_call(id, work, body, digest, vec![caller], None);
    }

    fn start_ticketed(&mut self, caller: Caller, work: Work, digest: [u8; 32]) {
        let text = work.key.clone().unwrap_or_default();
        let ticket = match Ticket::parse(&text, &work.workspace, &self.ticket_key) {
            Ok(ticket) => ticket,
            Err(error) => {
                let problem = problem::refused(400, "bad_ticket", error.to_string());
                return self.refuse(caller, None, problem);
            }
        };
        let id = request::Id::keyed(&work.workspace, &text);
        self.callers.insert(caller, id);
        self.record_step(Some(id), Step::Accepted, "", format!("service={}", work.route));
        let call = Call {
            caller,
            issuer_status: self.issuer_status(&ticket.holder),
            ticket,
            digest,
            deadline: self.now + Duration::from_millis(work.timeout_ms),
        };
        self.tickets.insert(caller, TicketedCall { work, problem: None });
        self.dispatcher_event(DispatcherEvent::Call(call));
    }

    fn issuer_status(&self, holder: &Holder) -> IssuerStatus {
        if *holder == self.id {
            return IssuerStatus::Reachable;
        }
        let Some((host, incarnation)) = holder.rsplit_once('.') else { return IssuerStatus::Gone };
        let Some(member) = self.members.get(host) else { return IssuerStatus::Gone };
        match member.state {
            _ if member.incarnation.to_string() != incarnation => IssuerStatus::Gone,
            State::Alive | State::Leaving => IssuerStatus::Reachable,
            State::Suspect => IssuerStatus::Unreachable,
            State::Gone => IssuerStatus::Gone,
        }
    }

    fn reserve_call(
        &mut self,
        id: request::Id,
        work: Work,
        body: Arc<str>,
        digest: [u8; 32],
        callers: Vec<Caller>,
        ticket_caller: Option<Caller>,
    ) {
        let reserve = work.reserve(id);
        let deadline = self.now + Duration::from_millis(work.timeout_ms);
        let request = Request {
            work,
            body,
            callers,
            ticket_caller,
            digest,
            avoid: Vec::new(),
            attempts: 0,
            sent: false,
            may_have_run: false,
            deadline,
        };
        self.service_calls.insert(id, request);
        self.holder_event(holder::Event::Reserve(reserve));
    }

    /// Places a call whose reservation was made, or drops it if its callers have left.
    pub(super) fn open_call(&mut self, id: request::Id) {
        let Some(request) = self.service_calls.get(&id) else { return };
        if request.ticket_caller.is_none() && request.callers.is_empty() {
            return self.drop_call(id);
        }
        self.place_call(id);
    }

    /// Ends a call whose reservation was refused.
    pub(super) fn refuse_call(&mut self, id: request::Id, problem: Problem) {
        let Some(request) = self.remove_call(id) else { return };
        self.end_unsent(id, request, problem);
    }

    pub(super) fn leave_call(&mut self, id: request::Id, caller: Caller) {
        if self.tickets.remove(&caller).is_some() {
            return self.dispatcher_event(DispatcherEvent::CallerLeft(caller));
        }
        let Some(request) = self.service_calls.get_mut(&id) else { return };
        request.callers.retain(|waiting| *waiting != caller);
        let is_unused =
            request.callers.is_empty() && !request.sent && request.ticket_caller.is_none();
        if is_unused {
            self.drop_call(id);
        }
    }

    fn drop_call(&mut self, id: request::Id) {
        self.remove_call(id);
        self.holder_event(holder::Event::Release { request: id });
    }

    fn remove_call(&mut self, id: request::Id) -> Option<Request> {
        self.cancel_backend_request(id);
        self.service_calls.remove(&id)
    }

    fn place_call(&mut self, id: request::Id) {
        let Some(request) = self.service_calls.get(&id) else { return };
        let query = Query {
            route: request.work.route.clone(),
            class: request.work.class,
            starved: false,
            prefixes: Vec::new(),
            avoid: request.avoid.clone(),
        };
        let deadline = request.deadline;
        self.request_backend(id, query, deadline);
    }

    pub(super) fn call_not_placed(&mut self, id: request::Id, retry_after: Duration) {
        let detail = "no back end can take the call";
        self.give_up(id, problem::later(503, "no_backend", detail, retry_after));
    }

    pub(super) fn send_call(&mut self, id: request::Id, backend: &Arc<str>) {
        let purpose = Purpose::Call { request: id, backend: backend.clone() };
        let run = self.register_run(purpose);
        let Some(record) = self.catalog.backend(backend) else {
            return self
                .handle_report(run, Report::Failed { unsent: true, cause: "no record".into() });
        };
        let address = record.address.clone();
        let Some(request) = self.service_calls.get_mut(&id) else { return };
        request.sent = true;
        request.attempts += 1;
        let exchange = Exchange::Request {
            run,
            address,
            service: request.work.route.clone(),
            request: id,
            body: request.body.clone(),
            timeout_ms: request.work.timeout_ms,
        };
        let detail = format!("attempt={}", request.attempts);
        self.record_step(Some(id), Step::Dispatched, backend.clone(), detail);
        self.start_exchange(exchange);
    }

    /// Ends a call that no backend server takes. No byte of it was sent, unless an earlier attempt
    /// may have run.
    fn give_up(&mut self, id: request::Id, problem: Problem) {
        let Some(request) = self.remove_call(id) else { return };
        self.holder_event(holder::Event::Release { request: id });
        if request.may_have_run {
            return self.end_incomplete(id, request);
        }
        self.end_unsent(id, request, problem);
    }

    fn end_unsent(&mut self, id: request::Id, request: Request, problem: Problem) {
        let scoped = problem.clone().scoped_to_attempt(request.work.key.as_ref());
        for caller in request.callers {
            self.refuse(caller, Some(id), scoped.clone());
        }
        let Some(caller) = request.ticket_caller else { return };
        if let Some(ticketed) = self.tickets.get_mut(&caller) {
            ticketed.problem = Some(problem);
        }
        self.dispatcher_event(DispatcherEvent::DispatchEnded {
            run: id,
            result: DispatchResult::NotSent,
        });
    }

    pub(super) fn call_report(&mut self, id: request::Id, backend: &Arc<str>, report: Report) {
        let served = matches!(report, Report::Answer { .. });
        self.router_event(RouterEvent::Health { backend: backend.clone(), served });
        self.release_backend(id);
        match report {
            Report::Answer { status, body } => self.call_answered(id, status, body),
            Report::Failed { unsent: true, cause } => self.call_unsent(id, backend, &cause),
            Report::Failed { unsent: false, cause } => self.call_interrupted(id, backend, &cause),
            Report::Piece { .. } | Report::End { .. } | Report::Refused { .. } => {
                self.call_interrupted(id, backend, "unexpected answer");
            }
        }
    }

    fn call_answered(&mut self, id: request::Id, status: u16, body: Arc<str>) {
        let Some(request) = self.remove_call(id) else { return };
        match status {
            FIRST_SERVER_ERROR.. => self.holder_event(holder::Event::Release { request: id }),
            _ => self.settle_call(id, request.work.max_charge),
        }
        self.record_step(Some(id), Step::Answered, "", format!("status={status}"));
        for caller in request.callers {
            self.callers.remove(&caller);
            self.pending_actions.push(Action::Answer {
                caller,
                request: Some(id),
                status,
                body: body.clone(),
            });
        }
        if request.ticket_caller.is_some() {
            let result = DispatchResult::Answer { status, body };
            self.dispatcher_event(DispatcherEvent::DispatchEnded { run: id, result });
        }
    }

    fn settle_call(&mut self, id: request::Id, tokens: u64) {
        self.record_step(Some(id), Step::Settled, "", format!("tokens={tokens}"));
        self.holder_event(holder::Event::Settle { request: id, tokens });
    }

    fn call_unsent(&mut self, id: request::Id, backend: &Arc<str>, cause: &str) {
        self.record_step(
            Some(id),
            Step::Failed,
            backend.clone(),
            format!("sent=no cause={cause:?}"),
        );
        let Some(request) = self.service_calls.get_mut(&id) else { return };
        request.sent = false;
        request.avoid.push(backend.clone());
        if request.attempts < MAX_ATTEMPTS && self.retry_budget.try_withdraw() {
            self.place_call(id);
            return;
        }
        let detail = "no back end could be reached";
        self.give_up(id, problem::later(503, "no_backend", detail, UNREACHABLE_RETRY_DELAY));
    }

    fn call_interrupted(&mut self, id: request::Id, backend: &Arc<str>, cause: &str) {
        self.record_step(
            Some(id),
            Step::Failed,
            backend.clone(),
            format!("sent=yes cause={cause:?}"),
        );
        let Some(request) = self.service_calls.get_mut(&id) else { return };
        request.avoid.push(backend.clone());
        request.may_have_run = true;
        let repeatable = request.ticket_caller.is_none();
        if repeatable && request.attempts < MAX_ATTEMPTS && self.retry_budget.try_withdraw() {
            self.place_call(id);
            return;
        }
        let Some(request) = self.remove_call(id) else { return };
        if !repeatable {
            // The call may have run, so it is charged.
            self.settle_call(id, request.work.max_charge);
            let result = DispatchResult::Incomplete;
            return self.dispatcher_event(DispatcherEvent::DispatchEnded { run: id, result });
        }
        self.holder_event(holder::Event::Release { request: id });
        self.end_incomplete(id, request);
    }

    /// Fails a repeatable call that may have run and has no answer.
    fn end_incomplete(&mut self, id: request::Id, request: Request) {
        for caller in request.callers {
            self.callers.remove(&caller);
            let failure = crate::answer::Failure::Incomplete { delivered: 0 };
            self.pending_actions.push(Action::Fail {
                caller,
                request: Some(id),
                problem: problem::stream_failure(&failure),
            });
        }
    }

    pub(super) fn issue_ticket(&mut self, caller: Caller, token: &str) {
        if let Some(problem) = self.rejection() {
            return self.refuse(caller, None, problem);
        }
        let Some(workspace) = self.catalog.workspace(token).map(|found| found.name.clone()) else {
            let detail = "the token belongs to no workspace";
            return self.refuse(caller, None, problem::refused(401, "unauthorized", detail));
        };
        let ticket = self.issuer.issue(self.now);
        let text = ticket.encode(&workspace, &self.ticket_key);
        self.record_step(None, Step::TicketIssued, "", format!("number={}", ticket.number));
        let body = serde_json::json!({ "ticket": text }).to_string().into();
        self.pending_actions.push(Action::Answer { caller, request: None, status: 201, body });
    }

    pub(super) fn claim_tick(&mut self) {
        self.dispatcher_event(DispatcherEvent::Tick);
        self.issuer_event(IssuerEvent::Tick);
    }

    pub(super) fn dispatcher_event(&mut self, event: DispatcherEvent) {
        let mut actions = Vec::new();
        self.dispatcher.handle(self.now, event, &mut actions);
        for action in actions {
            self.dispatcher_action(action);
        }
    }

    fn dispatcher_action(&mut self, action: DispatcherAction) {
        match action {
            DispatcherAction::Send(holder, message) => self.send_claim(&holder, message),
            DispatcherAction::Dispatch { caller, run, .. } => self.dispatch_ticketed(caller, run),
            DispatcherAction::Reply(caller, outcome) => self.answer_ticketed(caller, outcome),
            DispatcherAction::Recover(holder) => {
                let keys = vec![escrow::holder_key(&holder), escrow::claims_key(&holder)];
                self.start_operation(Owner::Claims(holder), Op::Read(keys));
            }
        }
    }

    /// Sends a message about a claim, or handles it here if this process is the receiver.
    fn send_claim(&mut self, holder: &Holder, message: Message) {
        match *holder == self.id {
            true => self.claim_message(self.id.clone(), message),
            false => self.send_to(holder, message),
        }
    }

    pub(super) fn claim_message(&mut self, from: Holder, message: Message) {
        match message {
            // A host that shuts down takes no claims, since the row that it writes when it closes
            // must contain all of them.
            Message::Claim { .. } if self.stage != Stage::Serving => {}
            Message::Claim { ticket, digest, request } => {
                self.issuer_event(IssuerEvent::Claim(ClaimRequest {
                    from,
                    ticket,
                    digest,
                    request,
                }));
            }
            Message::ClaimOutcome { ticket, outcome } => {
                self.issuer_event(IssuerEvent::Outcome { from, ticket, outcome });
            }
            Message::ClaimReply { ticket, request, verdict } => {
                self.dispatcher_event(DispatcherEvent::Reply { from, ticket, request, verdict });
            }
            Message::ClaimOutcomeAck { ticket } => {
                self.dispatcher_event(DispatcherEvent::OutcomeAcked { from, ticket });
            }
            _ => {}
        }
    }

    pub(super) fn issuer_event(&mut self, event: IssuerEvent) {
        let mut actions = Vec::new();
        self.issuer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                IssuerAction::Append(entry) => self.append_claim(entry),
                IssuerAction::Send(holder, message) => self.send_claim(&holder, message),
            }
        }
    }

    fn append_claim(&mut self, entry: Entry) {
        let mut actions = Vec::new();
        let number = self.holder.append(self.now, entry, &mut actions);
        if let Some(number) = number {
            self.issuer_event(IssuerEvent::Appended(number));
        }
        self.holder_actions(actions);
    }

    fn dispatch_ticketed(&mut self, caller: Caller, run: request::Id) {
        let Some(ticketed) = self.tickets.get(&caller) else {
            return self.dispatcher_event(DispatcherEvent::DispatchEnded {
                run,
                result: DispatchResult::NotSent,
            });
        };
        let work = ticketed.work.clone();
        let validation::Payload::Call { body, .. } = work.payload.clone() else { return };
        let digest = ticket::digest(&work.route, body.as_bytes());
        self.record_step(Some(run), Step::Claimed, "", String::new());
        self.reserve_call(run, work, body, digest, Vec::new(), Some(caller));
    }

    fn answer_ticketed(&mut self, caller: Caller, outcome: Outcome) {
        let request = self.callers.remove(&caller);
        let ticketed = self.tickets.remove(&caller);
        let problem = match outcome {
            Outcome::Answer { status, body } => {
                self.record_step(request, Step::ClaimEnded, "", format!("status={status}"));
                return self.pending_actions.push(Action::Answer { caller, request, status, body });
            }
            Outcome::NotRun => {
                ticketed.and_then(|ticketed| ticketed.problem).unwrap_or_else(problem::ticket_spent)
            }
            Outcome::Unknown(reason) => problem::unknown_outcome(reason),
            Outcome::Mismatch => problem::mismatch(),
        };
        self.refuse(caller, request, problem);
    }

    pub(super) fn recovered_claims_read(&mut self, holder: Holder, outcome: table::Outcome) {
        let table::Outcome::Rows(rows) = outcome else { return };
        let [registration, claims] = rows.as_slice() else { return };
        let Ok(Some(registration)) = escrow::parse::<escrow::Registration>(registration) else {
            return;
        };
        if registration.state != escrow::State::Closed {
            return;
        }
        let Ok(entries) = escrow::parse::<Vec<Entry>>(claims) else { return };
        let recovered = RecoveredClaims::replay(entries.iter().flatten());
        self.dispatcher_event(DispatcherEvent::Recovered(holder, Arc::new(recovered)));
    }
}
