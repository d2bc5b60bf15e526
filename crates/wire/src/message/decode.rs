//! From thrift to the types of `coordination`.

use coordination::{
    message::{
        Append, ClaimOutcome, Counterparty, Entry, Heartbeat, Member, Message, SealedCopy, State,
        Verdict,
    },
    request::Class,
    table::Row,
};

use super::{Fault, array, request};
use crate::laburnum;

impl TryFrom<laburnum::Message> for Message {
    type Error = Fault;

    fn try_from(message: laburnum::Message) -> Result<Self, Fault> {
        Ok(match message {
            laburnum::Message::Append(append) => Self::Append(append.try_into()?),
            laburnum::Message::Appended(appended) => {
                Self::Appended { holder: appended.holder.into(), through: appended.through as u64 }
            }
            laburnum::Message::AppendRefused(holder) => {
                Self::AppendRefused { holder: holder.into() }
            }
            laburnum::Message::Seal(holder) => Self::Seal { holder: holder.into() },
            laburnum::Message::Sealed(copy) => Self::Sealed(copy.try_into()?),
            laburnum::Message::TransferAsk(ask) => Self::TransferAsk {
                budget: ask.budget.into(),
                tokens: ask.tokens as u64,
                class: class(ask.priority)?,
            },
            laburnum::Message::Transfer(transfer) => Self::Transfer {
                number: transfer.number as u64,
                to: transfer.to.into(),
                budget: transfer.budget.into(),
                tokens: transfer.tokens as u64,
            },
            laburnum::Message::TransferAck(number) => Self::TransferAck { number: number as u64 },
            laburnum::Message::Locate(locate) => {
                Self::Locate { request: request(&locate.request)?, backend: locate.backend.into() }
            }
            laburnum::Message::Located(located) => Self::Located {
                request: request(&located.request)?,
                backend: located.backend.into(),
                holder: located.holder.into(),
            },
            laburnum::Message::Claim(claim) => Self::Claim {
                ticket: claim.ticket as u64,
                digest: array("digest", &claim.digest)?,
                request: request(&claim.request)?,
            },
            laburnum::Message::ClaimReply(reply) => Self::ClaimReply {
                ticket: reply.ticket as u64,
                request: request(&reply.request)?,
                verdict: reply.verdict.into(),
            },
            laburnum::Message::ClaimOutcome(claim) => {
                Self::ClaimOutcome { ticket: claim.ticket as u64, outcome: claim.outcome.into() }
            }
            laburnum::Message::ClaimOutcomeAck(ticket) => {
                Self::ClaimOutcomeAck { ticket: ticket as u64 }
            }
            laburnum::Message::Heartbeat(heartbeat) => Self::Heartbeat(heartbeat.try_into()?),
            laburnum::Message::ConfigAsk(after) => Self::ConfigAsk { after: after as u64 },
            laburnum::Message::ConfigRows(config) => Self::ConfigRows {
                rows: config.rows.into_iter().map(Into::into).collect(),
                after: config.after as u64,
                through: config.through as u64,
                current: config.current as u64,
                deletions_after: config.deletions_after as u64,
            },
        })
    }
}

impl TryFrom<laburnum::Append> for Append {
    type Error = Fault;

    fn try_from(append: laburnum::Append) -> Result<Self, Fault> {
        Ok(Self {
            holder: append.holder.into(),
            first: append.first as u64,
            snapshot: append.snapshot,
            entries: entries(append.entries)?,
        })
    }
}

impl TryFrom<laburnum::SealedCopy> for SealedCopy {
    type Error = Fault;

    fn try_from(copy: laburnum::SealedCopy) -> Result<Self, Fault> {
        Ok(Self {
            holder: copy.holder.into(),
            through: copy.through as u64,
            entries: entries(copy.entries)?,
        })
    }
}

fn entries(entries: Vec<laburnum::Entry>) -> Result<Vec<Entry>, Fault> {
    entries.into_iter().map(TryInto::try_into).collect()
}

impl TryFrom<laburnum::Heartbeat> for Heartbeat {
    type Error = Fault;

    fn try_from(heartbeat: laburnum::Heartbeat) -> Result<Self, Fault> {
        let members: Result<Vec<Member>, Fault> =
            heartbeat.members.into_iter().map(TryInto::try_into).collect();
        Ok(Self {
            number: heartbeat.number as u64,
            revision: heartbeat.revision as u64,
            digest: heartbeat.digest as u64,
            members: members?,
        })
    }
}

impl TryFrom<laburnum::Member> for Member {
    type Error = Fault;

    fn try_from(member: laburnum::Member) -> Result<Self, Fault> {
        Ok(Self {
            host: member.host.into(),
            zone: member.zone.into(),
            address: member.address.into(),
            incarnation: member.incarnation as u64,
            state: member.state.try_into()?,
            revision: member.revision as u64,
            refuted: member.refuted as u64,
        })
    }
}

fn class(class: laburnum::Class) -> Result<Class, Fault> {
    match class {
        laburnum::Class::URGENT => Ok(Class::Urgent),
        laburnum::Class::NORMAL => Ok(Class::Normal),
        laburnum::Class::LONG => Ok(Class::Long),
        _ => Err(Fault::Unknown { field: "priority" }),
    }
}

impl TryFrom<laburnum::MemberState> for State {
    type Error = Fault;

    fn try_from(state: laburnum::MemberState) -> Result<Self, Fault> {
        match state {
            laburnum::MemberState::ALIVE => Ok(Self::Alive),
            laburnum::MemberState::SUSPECT => Ok(Self::Suspect),
            laburnum::MemberState::LEAVING => Ok(Self::Leaving),
            laburnum::MemberState::GONE => Ok(Self::Gone),
            _ => Err(Fault::Unknown { field: "state" }),
        }
    }
}

impl From<laburnum::Row> for Row {
    fn from(row: laburnum::Row) -> Self {
        Self {
            key: row.key.into(),
            value: row.value.map(Into::into),
            revision: row.revision as u64,
        }
    }
}

impl TryFrom<laburnum::Entry> for Entry {
    type Error = Fault;

    fn try_from(entry: laburnum::Entry) -> Result<Self, Fault> {
        Ok(match entry {
            laburnum::Entry::Credit(credit) => Self::Credit {
                budget: credit.budget.into(),
                tokens: credit.tokens as u64,
                party: credit.source.into(),
            },
            laburnum::Entry::Debit(debit) => Self::Debit {
                budget: debit.budget.into(),
                tokens: debit.tokens as u64,
                party: debit.source.into(),
            },
            laburnum::Entry::Reserve(reserve) => Self::Reserve {
                request: request(&reserve.request)?,
                budget: reserve.budget.into(),
                tokens: reserve.tokens as u64,
                backend: reserve.backend.into(),
            },
            laburnum::Entry::Settle(settle) => {
                Self::Settle { request: request(&settle.request)?, tokens: settle.tokens as u64 }
            }
            laburnum::Entry::Release(id) => Self::Release { request: request(&id)? },
            laburnum::Entry::Flushed(flush) => {
                Self::Flushed { segment: flush.segment as u64, through: flush.through as u64 }
            }
            laburnum::Entry::TicketFloor(floor) => Self::TicketFloor { floor: floor as u64 },
            laburnum::Entry::Claim(claim) => Self::Claim {
                ticket: claim.ticket as u64,
                digest: array("digest", &claim.digest)?,
                request: request(&claim.request)?,
            },
            laburnum::Entry::Outcome(claim) => {
                Self::Outcome { ticket: claim.ticket as u64, outcome: claim.outcome.into() }
            }
        })
    }
}

impl From<laburnum::Source> for Counterparty {
    fn from(source: laburnum::Source) -> Self {
        match source {
            laburnum::Source::Table(number) => Self::Table(number as u64),
            laburnum::Source::Holder(source) => {
                Self::Holder(source.holder.into(), source.number as u64)
            }
        }
    }
}

impl From<laburnum::Verdict> for Verdict {
    fn from(verdict: laburnum::Verdict) -> Self {
        match verdict {
            laburnum::Verdict::Run(_) => Self::Run,
            laburnum::Verdict::Busy(_) => Self::Busy,
            laburnum::Verdict::Done(outcome) => Self::Done(outcome.into()),
            laburnum::Verdict::Mismatch(_) => Self::Mismatch,
            laburnum::Verdict::Invalid(_) => Self::Invalid,
        }
    }
}

impl From<laburnum::ClaimOutcome> for ClaimOutcome {
    fn from(outcome: laburnum::ClaimOutcome) -> Self {
        match outcome {
            laburnum::ClaimOutcome::Answer(answer) => {
                Self::Answer { status: answer.status as u16, body: answer.body.into() }
            }
            laburnum::ClaimOutcome::NotRun(_) => Self::NotRun,
            laburnum::ClaimOutcome::Unknown(_) => Self::Unknown,
        }
    }
}
