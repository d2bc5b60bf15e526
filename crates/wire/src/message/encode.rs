//! From the types of `coordination` to thrift.

use coordination::{
    message::{self, ClaimOutcome, Counterparty, Entry, Message, State, Verdict},
    request::Class,
    table::Row,
};

use crate::laburnum;

impl From<&Message> for laburnum::Message {
    fn from(message: &Message) -> Self {
        match message {
            Message::Append(append) => Self::Append(append.into()),
            Message::Appended { holder, through } => {
                Self::Appended(laburnum::Appended::new(holder.to_string(), *through as i64))
            }
            Message::AppendRefused { holder } => Self::AppendRefused(holder.to_string()),
            Message::Seal { holder } => Self::Seal(holder.to_string()),
            Message::Sealed(copy) => Self::Sealed(copy.into()),
            Message::TransferAsk { budget, tokens, class: wanted } => Self::TransferAsk(
                laburnum::TransferAsk::new(budget.to_string(), *tokens as i64, class(*wanted)),
            ),
            Message::Transfer { number, to, budget, tokens } => {
                Self::Transfer(laburnum::Transfer::new(
                    *number as i64,
                    to.to_string(),
                    budget.to_string(),
                    *tokens as i64,
                ))
            }
            Message::TransferAck { number } => Self::TransferAck(*number as i64),
            Message::Locate { request, backend } => {
                Self::Locate(laburnum::Locate::new(request.0.to_vec(), backend.to_string()))
            }
            Message::Located { request, backend, holder } => Self::Located(laburnum::Located::new(
                request.0.to_vec(),
                backend.to_string(),
                holder.to_string(),
            )),
            Message::Claim { ticket, digest, request } => Self::Claim(laburnum::TicketClaim::new(
                *ticket as i64,
                digest.to_vec(),
                request.0.to_vec(),
            )),
            Message::ClaimReply { ticket, request, verdict } => Self::ClaimReply(
                laburnum::ClaimReply::new(*ticket as i64, request.0.to_vec(), verdict.into()),
            ),
            Message::ClaimOutcome { ticket, outcome } => {
                Self::ClaimOutcome(laburnum::TicketOutcome::new(*ticket as i64, outcome.into()))
            }
            Message::ClaimOutcomeAck { ticket } => Self::ClaimOutcomeAck(*ticket as i64),
            Message::Heartbeat(heartbeat) => Self::Heartbeat(heartbeat.into()),
            Message::ConfigAsk { after } => Self::ConfigAsk(*after as i64),
            Message::ConfigRows { rows, after, through, current, deletions_after } => {
                let rows = rows.iter().map(Into::into).collect();
                Self::ConfigRows(laburnum::ConfigRows::new(
                    rows,
                    *after as i64,
                    *through as i64,
                    *current as i64,
                    *deletions_after as i64,
                ))
            }
        }
    }
}

impl From<&message::Append> for laburnum::Append {
    fn from(append: &message::Append) -> Self {
        let entries = append.entries.iter().map(Into::into).collect();
        Self::new(append.holder.to_string(), append.first as i64, append.snapshot, entries)
    }
}

impl From<&message::SealedCopy> for laburnum::SealedCopy {
    fn from(copy: &message::SealedCopy) -> Self {
        let entries = copy.entries.iter().map(Into::into).collect();
        Self::new(copy.holder.to_string(), copy.through as i64, entries)
    }
}

impl From<&message::Heartbeat> for laburnum::Heartbeat {
    fn from(heartbeat: &message::Heartbeat) -> Self {
        Self::new(
            heartbeat.number as i64,
            heartbeat.revision as i64,
            heartbeat.digest as i64,
            heartbeat.members.iter().map(Into::into).collect(),
        )
    }
}

impl From<&message::Member> for laburnum::Member {
    fn from(member: &message::Member) -> Self {
        Self::new(
            member.host.to_string(),
            member.zone.to_string(),
            member.address.to_string(),
            member.incarnation as i64,
            member.state.into(),
            member.revision as i64,
            member.refuted as i64,
        )
    }
}

impl From<State> for laburnum::MemberState {
    fn from(state: State) -> Self {
        match state {
            State::Alive => Self::ALIVE,
            State::Suspect => Self::SUSPECT,
            State::Leaving => Self::LEAVING,
            State::Gone => Self::GONE,
        }
    }
}

fn class(class: Class) -> laburnum::Class {
    match class {
        Class::Urgent => laburnum::Class::URGENT,
        Class::Normal => laburnum::Class::NORMAL,
        Class::Long => laburnum::Class::LONG,
    }
}

impl From<&Row> for laburnum::Row {
    fn from(row: &Row) -> Self {
        let value = row.value.as_ref().map(|value| value.to_string());
        Self::new(row.key.to_string(), value, row.revision as i64)
    }
}

impl From<&Entry> for laburnum::Entry {
    fn from(entry: &Entry) -> Self {
        match entry {
            Entry::Credit { budget, tokens, party: source } => {
                Self::Credit(movement(budget, *tokens, source))
            }
            Entry::Debit { budget, tokens, party: source } => {
                Self::Debit(movement(budget, *tokens, source))
            }
            Entry::Reserve { request, budget, tokens, backend } => {
                Self::Reserve(laburnum::Reservation::new(
                    request.0.to_vec(),
                    budget.to_string(),
                    *tokens as i64,
                    backend.to_string(),
                ))
            }
            Entry::Settle { request, tokens } => {
                Self::Settle(laburnum::Settlement::new(request.0.to_vec(), *tokens as i64))
            }
            Entry::Release { request } => Self::Release(request.0.to_vec()),
            Entry::Flushed { segment, through } => {
                Self::Flushed(laburnum::Flush::new(*segment as i64, *through as i64))
            }
            Entry::TicketFloor { floor } => Self::TicketFloor(*floor as i64),
            Entry::Claim { ticket, digest, request } => Self::Claim(laburnum::TicketClaim::new(
                *ticket as i64,
                digest.to_vec(),
                request.0.to_vec(),
            )),
            Entry::Outcome { ticket, outcome } => {
                Self::Outcome(laburnum::TicketOutcome::new(*ticket as i64, outcome.into()))
            }
        }
    }
}

fn movement(budget: &str, tokens: u64, source: &Counterparty) -> laburnum::Movement {
    laburnum::Movement::new(budget.to_owned(), tokens as i64, source.into())
}

impl From<&Counterparty> for laburnum::Source {
    fn from(source: &Counterparty) -> Self {
        match source {
            Counterparty::Table(number) => Self::Table(*number as i64),
            Counterparty::Holder(holder, number) => {
                Self::Holder(laburnum::HolderSource::new(holder.to_string(), *number as i64))
            }
        }
    }
}

impl From<&Verdict> for laburnum::Verdict {
    fn from(verdict: &Verdict) -> Self {
        let nothing = laburnum::Nothing::new();
        match verdict {
            Verdict::Run => Self::Run(nothing),
            Verdict::Busy => Self::Busy(nothing),
            Verdict::Done(outcome) => Self::Done(outcome.into()),
            Verdict::Mismatch => Self::Mismatch(nothing),
            Verdict::Invalid => Self::Invalid(nothing),
        }
    }
}

impl From<&ClaimOutcome> for laburnum::ClaimOutcome {
    fn from(outcome: &ClaimOutcome) -> Self {
        let nothing = laburnum::Nothing::new();
        match outcome {
            ClaimOutcome::Answer { status, body } => {
                Self::Answer(laburnum::Answer::new(*status as i16, body.to_string()))
            }
            ClaimOutcome::NotRun => Self::NotRun(nothing),
            ClaimOutcome::Unknown => Self::Unknown(nothing),
        }
    }
}
