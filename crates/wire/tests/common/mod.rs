//! Random messages for the tests of this crate.

use std::sync::Arc;

use coordination::{
    message::{
        Append, ClaimOutcome, Counterparty, Entry, Heartbeat, Member, Message, SealedCopy, State,
        Verdict,
    },
    request,
    table::Row,
};
use proptest::{collection::vec, option, prelude::*};

/// Names that a small fleet knows, so that random messages meet what it holds.
pub const KNOWN: &[&str] = &["a", "b", "a.1", "b.1", "b.2", "grants", "engine", "payments"];

/// Returns names, half of them known ones.
pub fn name() -> impl Strategy<Value = Arc<str>> {
    prop_oneof![
        "[a-zé0-9./-]{0,12}".prop_map(Arc::from),
        proptest::sample::select(KNOWN).prop_map(Arc::from),
    ]
}

/// Returns ids of requests.
pub fn id() -> impl Strategy<Value = request::Id> {
    any::<[u8; 16]>().prop_map(request::Id)
}

fn source() -> impl Strategy<Value = Counterparty> {
    prop_oneof![
        any::<u64>().prop_map(Counterparty::Table),
        (name(), any::<u64>()).prop_map(|(holder, number)| Counterparty::Holder(holder, number)),
    ]
}

fn outcome() -> impl Strategy<Value = ClaimOutcome> {
    prop_oneof![
        (any::<u16>(), name()).prop_map(|(status, body)| ClaimOutcome::Answer { status, body }),
        Just(ClaimOutcome::NotRun),
        Just(ClaimOutcome::Unknown),
    ]
}

fn verdict() -> impl Strategy<Value = Verdict> {
    prop_oneof![
        Just(Verdict::Run),
        Just(Verdict::Busy),
        outcome().prop_map(Verdict::Done),
        Just(Verdict::Mismatch),
        Just(Verdict::Invalid),
    ]
}

fn entry() -> impl Strategy<Value = Entry> {
    prop_oneof![
        (name(), any::<u64>(), source()).prop_map(|(budget, tokens, source)| Entry::Credit {
            budget,
            tokens,
            party: source
        }),
        (name(), any::<u64>(), source()).prop_map(|(budget, tokens, source)| Entry::Debit {
            budget,
            tokens,
            party: source
        }),
        (id(), name(), any::<u64>(), name()).prop_map(|(request, budget, tokens, backend)| {
            Entry::Reserve { request, budget, tokens, backend }
        }),
        (id(), any::<u64>()).prop_map(|(request, tokens)| Entry::Settle { request, tokens }),
        id().prop_map(|request| Entry::Release { request }),
        any::<(u64, u64)>().prop_map(|(segment, through)| Entry::Flushed { segment, through }),
        (any::<(u64, [u8; 32])>(), id()).prop_map(|((ticket, digest), request)| Entry::Claim {
            ticket,
            digest,
            request
        }),
        any::<u64>().prop_map(|floor| Entry::TicketFloor { floor }),
        (any::<u64>(), outcome()).prop_map(|(ticket, outcome)| Entry::Outcome { ticket, outcome }),
    ]
}

fn state() -> impl Strategy<Value = State> {
    prop_oneof![Just(State::Alive), Just(State::Suspect), Just(State::Leaving), Just(State::Gone)]
}

fn member() -> impl Strategy<Value = Member> {
    (name(), name(), name(), state(), any::<[u64; 3]>()).prop_map(
        |(host, zone, address, state, [incarnation, revision, refuted])| Member {
            host,
            zone,
            address,
            incarnation,
            state,
            revision,
            refuted,
        },
    )
}

/// Returns heartbeats with up to 5 members.
pub fn heartbeat() -> impl Strategy<Value = Message> {
    (any::<[u64; 3]>(), vec(member(), 0..5)).prop_map(|([number, revision, digest], members)| {
        Message::Heartbeat(Heartbeat { number, revision, digest, members })
    })
}

/// Returns rows of the table.
pub fn row() -> impl Strategy<Value = Row> {
    (name(), option::of(name()), any::<u64>()).prop_map(|(key, value, revision)| Row {
        key,
        value,
        revision,
    })
}

fn journal() -> impl Strategy<Value = Message> {
    prop_oneof![
        (name(), any::<(u64, bool)>(), vec(entry(), 0..9)).prop_map(
            |(holder, (first, snapshot), entries)| Message::Append(Append {
                holder,
                first,
                snapshot,
                entries
            })
        ),
        (name(), any::<u64>()).prop_map(|(holder, through)| Message::Appended { holder, through }),
        name().prop_map(|holder| Message::AppendRefused { holder }),
        name().prop_map(|holder| Message::Seal { holder }),
        (name(), any::<u64>(), vec(entry(), 0..9)).prop_map(|(holder, through, entries)| {
            Message::Sealed(SealedCopy { holder, through, entries })
        }),
    ]
}

fn class() -> impl Strategy<Value = request::Class> {
    prop_oneof![
        Just(request::Class::Urgent),
        Just(request::Class::Normal),
        Just(request::Class::Long)
    ]
}

fn transfer() -> impl Strategy<Value = Message> {
    prop_oneof![
        (name(), any::<u64>(), class()).prop_map(|(budget, tokens, class)| Message::TransferAsk {
            budget,
            tokens,
            class
        }),
        (any::<(u64, u64)>(), name(), name()).prop_map(|((number, tokens), to, budget)| {
            Message::Transfer { number, to, budget, tokens }
        }),
        any::<u64>().prop_map(|number| Message::TransferAck { number }),
    ]
}

fn claim() -> impl Strategy<Value = Message> {
    prop_oneof![
        (id(), name()).prop_map(|(request, backend)| Message::Locate { request, backend }),
        (id(), name(), name()).prop_map(|(request, backend, holder)| Message::Located {
            request,
            backend,
            holder
        }),
        (any::<(u64, [u8; 32])>(), id()).prop_map(|((ticket, digest), request)| Message::Claim {
            ticket,
            digest,
            request
        }),
        (any::<u64>(), id(), verdict()).prop_map(|(ticket, request, verdict)| {
            Message::ClaimReply { ticket, request, verdict }
        }),
        (any::<u64>(), outcome())
            .prop_map(|(ticket, outcome)| Message::ClaimOutcome { ticket, outcome }),
        any::<u64>().prop_map(|ticket| Message::ClaimOutcomeAck { ticket }),
    ]
}

/// Returns messages of every kind.
pub fn message() -> impl Strategy<Value = Message> {
    prop_oneof![
        journal().boxed(),
        transfer().boxed(),
        claim().boxed(),
        heartbeat().boxed(),
        any::<u64>().prop_map(|after| Message::ConfigAsk { after }),
        (vec(row(), 0..9), any::<[u64; 4]>()).prop_map(
            |(rows, [after, through, current, deletions_after])| Message::ConfigRows {
                rows,
                after,
                through,
                current,
                deletions_after,
            }
        ),
    ]
}
