//! Messages between hosts.
//!
//! Delivery is at most once and unordered; every exchange is safe to repeat.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{request, table::Row};

/// A host process, named `host.incarnation`; a restart makes a new holder.
pub type Holder = Arc<str>;

/// A message from one host to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Copies journal entries to a replica.
    Append(Append),
    /// Acknowledges journal entries.
    Appended {
        /// Holder whose journal it is.
        holder: Holder,
        /// Entries up to and including this number are held.
        through: u64,
    },
    /// Refuses journal entries because the copy was sealed.
    AppendRefused {
        /// Holder whose journal it is.
        holder: Holder,
    },
    /// Asks a replica to seal its copy of a journal and to send it.
    Seal {
        /// Holder whose journal it is.
        holder: Holder,
    },
    /// Answers [`Message::Seal`]; the copy takes no further entries.
    Sealed(SealedCopy),
    /// Asks a host for unused tokens.
    TransferAsk {
        /// Budget.
        budget: Arc<str>,
        /// Tokens wanted.
        tokens: u64,
        /// Class of the request that needs them most urgently.
        class: request::Class,
    },
    /// Hands over tokens; repeated until acknowledged, applied once.
    Transfer {
        /// Number of the transfer, different from that of every other transfer of the fleet.
        number: u64,
        /// Holder that receives it; another incarnation must not apply it.
        to: Holder,
        /// Budget.
        budget: Arc<str>,
        /// Tokens handed over.
        tokens: u64,
    },
    /// Acknowledges a transfer.
    TransferAck {
        /// Number of the transfer.
        number: u64,
    },
    /// Asks the host that indexes a request where it runs, and registers the asker.
    Locate {
        /// Request.
        request: request::Id,
        /// Back end on which the asker is about to run it.
        backend: Arc<str>,
    },
    /// Answers [`Message::Locate`].
    Located {
        /// Request.
        request: request::Id,
        /// Back end on which the first registered run takes place.
        backend: Arc<str>,
        /// Holder that registered first.
        holder: Holder,
    },
    /// Asks the issuer of a ticket to claim it.
    Claim {
        /// Ticket number within the issuer.
        ticket: u64,
        /// Digest of the request's body.
        digest: [u8; 32],
        /// Request that wants to run.
        request: request::Id,
    },
    /// Answers [`Message::Claim`].
    ClaimReply {
        /// Ticket number within the issuer.
        ticket: u64,
        /// Request that asked.
        request: request::Id,
        /// Decision.
        verdict: Verdict,
    },
    /// Reports the outcome of a claimed run to the issuer; repeated until acknowledged.
    ClaimOutcome {
        /// Ticket number within the issuer.
        ticket: u64,
        /// What came of it.
        outcome: ClaimOutcome,
    },
    /// Acknowledges [`Message::ClaimOutcome`].
    ClaimOutcomeAck {
        /// Ticket number within the issuer.
        ticket: u64,
    },
    /// Heartbeat with membership news; sent by UDP.
    Heartbeat(Heartbeat),
    /// Asks a neighbour for configuration rows newer than a revision.
    ConfigAsk {
        /// Revision up to which the asker is current.
        after: u64,
    },
    /// Answers [`Message::ConfigAsk`].
    ConfigRows {
        /// Changed rows, by revision.
        rows: Vec<Row>,
        /// Revision after which the rows are complete.
        after: u64,
        /// Revision up to which the rows are complete.
        through: u64,
        /// Revision up to which the sender is current; it has more rows where that is greater.
        current: u64,
        /// Deletions up to this revision are left out.
        deletions_after: u64,
    },
}

/// Journal entries on their way to a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Append {
    /// Holder whose journal it is.
    pub holder: Holder,
    /// Number of the first entry; entries are numbered from 1.
    pub first: u64,
    /// The entries rebuild the state up to `first`, in place of the entries before it.
    pub snapshot: bool,
    /// Entries.
    pub entries: Vec<Entry>,
}

/// A sealed copy of a journal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SealedCopy {
    /// Holder whose journal it is.
    pub holder: Holder,
    /// Number of the last entry held; 0 where nothing was held.
    pub through: u64,
    /// Entries that rebuild the state.
    pub entries: Vec<Entry>,
}

/// An entry of a holder's journal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// Tokens came in.
    Credit {
        /// Budget.
        budget: Arc<str>,
        /// Tokens.
        tokens: u64,
        /// Where they came from.
        #[serde(rename = "source")]
        party: Counterparty,
    },
    /// Tokens went out.
    Debit {
        /// Budget.
        budget: Arc<str>,
        /// Tokens.
        tokens: u64,
        /// Where they went.
        #[serde(rename = "source")]
        party: Counterparty,
    },
    /// A request's worst case was set aside.
    Reserve {
        /// Request.
        request: request::Id,
        /// Budget.
        budget: Arc<str>,
        /// Tokens set aside.
        tokens: u64,
        /// Back end that is to run it; empty where not yet known.
        backend: Arc<str>,
    },
    /// A request was charged and the rest of its reservation freed.
    Settle {
        /// Request.
        request: request::Id,
        /// Tokens charged.
        tokens: u64,
    },
    /// A reservation was freed without a charge.
    Release {
        /// Request.
        request: request::Id,
    },
    /// Settlements up to this journal number are in the table's ledger segment of this number.
    Flushed {
        /// Ledger segment.
        segment: u64,
        /// Journal number up to which settlements are covered.
        through: u64,
    },
    /// A ticket was claimed.
    Claim {
        /// Ticket number.
        ticket: u64,
        /// Digest of the request's body.
        digest: [u8; 32],
        /// Request that runs.
        request: request::Id,
    },
    /// Tickets below this number are no longer decided, and their claims may be missing.
    TicketFloor {
        /// Lowest ticket number that is decided.
        floor: u64,
    },
    /// A claimed run ended.
    Outcome {
        /// Ticket number.
        ticket: u64,
        /// What came of it.
        outcome: ClaimOutcome,
    },
}

/// Counterpart of a credit or debit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Counterparty {
    /// The platform's table, by the holder's grant number.
    Table(u64),
    /// Another holder, by transfer number.
    Holder(Holder, u64),
}

/// Decision of a ticket's issuer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The asking request, and no other, may run.
    Run,
    /// Another request claimed the ticket; its outcome is not known yet.
    Busy,
    /// The run ended with this outcome.
    Done(ClaimOutcome),
    /// The ticket was used with another body.
    Mismatch,
    /// The ticket was never issued here, or the issuer can no longer decide.
    Invalid,
}

/// Outcome of a claimed run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The back end answered.
    Answer {
        /// HTTP status.
        status: u16,
        /// Body, at most 64 KiB.
        body: Arc<str>,
    },
    /// Not a byte of it reached a back end, and none will.
    NotRun,
    /// It may have run; it will not be run again.
    Unknown,
}

/// Membership news.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Count of heartbeats of the sender.
    pub number: u64,
    /// Revision of the configuration in force at the sender.
    pub revision: u64,
    /// Digest of the sender's member list.
    pub digest: u64,
    /// Members whose state changed of late.
    pub members: Vec<Member>,
}

/// What a host knows of another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Host name.
    pub host: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Address of the peer port, `ip:port`.
    pub address: Arc<str>,
    /// Incarnation; a greater one replaces a lesser.
    pub incarnation: u64,
    /// State.
    pub state: State,
    /// Revision of the configuration in force there, where heard from the member itself.
    pub revision: u64,
    /// Suspicions that the member has refuted in this incarnation.
    #[serde(default)]
    pub refuted: u64,
}

/// State of a member, weakest claim first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Heard of lately.
    Alive,
    /// Not heard of; proves nothing.
    Suspect,
    /// Says itself that it leaves.
    Leaving,
    /// Gone by the platform's list, or replaced by a later incarnation.
    Gone,
}
