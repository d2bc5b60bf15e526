//! Reservations, grants, recovery and the ledger on one host.

use std::sync::Arc;

use super::{Host, Owner, Stage, action::Action, problem};
use crate::{
    answer::Usage,
    claim::{DispatcherEvent, IssuerEvent},
    holder,
    message::{Append, Entry, Message},
    recovery, refund, request,
    timeline::Step,
};

impl Host {
    pub(super) fn holder_event(&mut self, event: holder::Event) {
        let mut actions = Vec::new();
        self.holder.handle(self.now, event, &mut actions);
        self.holder_actions(actions);
    }

    /// Appends an entry to the journal without waiting for its replication.
    pub(super) fn append_entry(&mut self, entry: Entry) {
        let mut actions = Vec::new();
        self.holder.append(self.now, entry, &mut actions);
        self.holder_actions(actions);
    }

    pub(super) fn holder_actions(&mut self, actions: Vec<holder::Action>) {
        for action in actions {
            self.holder_action(action);
        }
    }

    fn holder_action(&mut self, action: holder::Action) {
        match action {
            holder::Action::Reserved { request } => self.reservation_made(request),
            holder::Action::Refused { request, reason, retry_after } => {
                let problem = problem::reservation(reason, retry_after);
                self.refuse_model_request(request, &problem);
                self.refuse_call(request, problem);
            }
            holder::Action::Durable { through } => self.issuer_event(IssuerEvent::Durable(through)),
            holder::Action::Table { id, op } => self.start_operation(Owner::Holder(id), op),
            holder::Action::Send { to, message } => self.send_to_host(&to, message),
            holder::Action::Drained => {
                if matches!(self.stage, Stage::Returning { .. }) {
                    self.stage = Stage::Lingering { until: self.now + super::LINGER_TIME };
                }
            }
            holder::Action::Fenced => {
                self.fenced = true;
                self.record_step(None, Step::Sealed, "", String::new());
                if matches!(self.stage, Stage::Returning { .. }) {
                    return self.return_all();
                }
                self.start_drain();
            }
            holder::Action::Note(note) => self.holder_note(note),
        }
    }

    fn reservation_made(&mut self, request: request::Id) {
        self.record_step(Some(request), Step::Reserved, "", String::new());
        match self.service_calls.contains_key(&request) {
            true => self.open_call(request),
            false => self.open_stream(request),
        }
    }

    fn holder_note(&mut self, note: holder::Note) {
        let (step, peer, detail): (Step, Arc<str>, String) = match note {
            holder::Note::Granted { budget, tokens } => {
                (Step::Granted, "".into(), format!("budget={budget} tokens={tokens}"))
            }
            holder::Note::Returned { budget, tokens } => {
                (Step::Returned, "".into(), format!("budget={budget} tokens={tokens}"))
            }
            holder::Note::Sent { budget, tokens, to } => {
                (Step::TransferSent, host_of(&to), format!("budget={budget} tokens={tokens}"))
            }
            holder::Note::Received { budget, tokens, from } => {
                let detail = format!("budget={budget} tokens={tokens}");
                (Step::TransferReceived, host_of(&from), detail)
            }
            holder::Note::Flushed { segment, charges } => {
                (Step::Billed, "".into(), format!("segment={segment} charges={charges}"))
            }
            holder::Note::Ensemble(replicas) => {
                (Step::Replicated, "".into(), format!("replicas={}", replicas.join(",")))
            }
        };
        self.record_step(None, step, peer, detail);
    }

    pub(super) fn recovery_event(&mut self, event: recovery::Event) {
        let mut actions = Vec::new();
        self.recovery.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                recovery::Action::Table { id, op } => self.start_operation(Owner::Recovery(id), op),
                recovery::Action::Send { to, message } => self.send_to_host(&to, message),
                recovery::Action::QueryUsage { request, backend } => {
                    self.query_stream_for_recovery(&backend, request);
                }
                recovery::Action::Closed(report) => self.holder_recovered(&report),
            }
        }
    }

    fn holder_recovered(&mut self, report: &recovery::Report) {
        let recovery::Report { holder, settled, returned, stranded, .. } = report;
        let detail = format!("settled={settled} returned={returned} stranded={stranded}");
        self.replica.forget(holder);
        if report.claims.floor.is_some() {
            let claims = Arc::new(report.claims.clone());
            self.dispatcher_event(DispatcherEvent::Recovered(holder.clone(), claims));
        }
        self.record_step(None, Step::Recovered, host_of(holder), detail);
    }

    pub(super) fn recovered_usage(&mut self, request: request::Id, usage: Option<Usage>) {
        let tokens = usage.map(|usage| usage.tokens.saturating_add(usage.prompt_tokens));
        self.recovery_event(recovery::Event::Usage { request, tokens });
    }

    pub(super) fn refunder_event(&mut self, event: refund::Event) {
        if matches!(event, refund::Event::Tick) && !self.issues_refunds() {
            return;
        }
        let mut actions = Vec::new();
        self.refunder.handle(self.now, event, &mut actions);
        for refund::Action::Table { id, op } in actions {
            self.start_operation(Owner::Refunder(id), op);
        }
    }

    /// Returns whether this host refunds repeated charges: the first by name of the reachable hosts
    /// does. Two hosts that do so at once only cost extra reads, since a refund is written once.
    fn issues_refunds(&self) -> bool {
        self.is_first && self.is_ready()
    }

    pub(super) fn journal_message(&mut self, address: Arc<str>, message: Message) {
        let answer = match message {
            Message::Append(append) => self.store_append(append),
            Message::Seal { holder } => self.replica.seal(&holder),
            _ => return,
        };
        if address == self.settings.address {
            return self.deliver_to_self(answer);
        }
        self.pending_actions.push(Action::Send { address, message: answer });
    }

    /// Stores journal entries of another host, and records a step for each reservation that it then
    /// holds.
    fn store_append(&mut self, append: Append) -> Message {
        let peer = host_of(&append.holder);
        let reservations = reservations(&append);
        let answer = self.replica.append(append);
        let Message::Appended { through, .. } = answer else { return answer };
        for (number, request) in reservations.into_iter().filter(|(number, _)| *number <= through) {
            self.record_step(Some(request), Step::Held, peer.clone(), format!("entry={number}"));
        }
        answer
    }
}

/// Returns the reservations among journal entries, with their entry numbers. A snapshot gives none,
/// since its entries have no numbers of their own.
fn reservations(append: &Append) -> Vec<(u64, request::Id)> {
    if append.snapshot {
        return Vec::new();
    }
    let numbered = (append.first..).zip(&append.entries);
    let reservations = numbered.filter_map(|(number, entry)| match entry {
        Entry::Reserve { request, .. } => Some((number, *request)),
        _ => None,
    });
    reservations.collect()
}

/// Returns the host name in a holder name.
pub(super) fn host_of(holder: &str) -> Arc<str> {
    holder.rsplit_once('.').map_or(holder, |(host, _)| host).into()
}
