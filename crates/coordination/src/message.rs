//! Messages between hosts.
//!
//! Delivery is at most once and unordered, and every exchange is safe to repeat.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{request, table::Row};

/// Name of a host process as a holder of tokens, `host.incarnation`; a restarted process is a new
/// holder.
pub type Holder = Arc<str>;

/// Message from one host to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Replicates journal entries.
    Append(Append),
    /// Acknowledges [`Message::Append`].
    Appended {
        /// Holder that owns the journal.
        holder: Holder,
        /// Number of the last entry that the replica holds.
        through: u64,
    },
    /// Refuses [`Message::Append`] because the replica's copy is sealed.
    AppendRefused {
        /// Holder that owns the journal.
        holder: Holder,
    },
    /// Asks a replica to seal its copy of a journal and to send it.
    Seal {
        /// Holder that owns the journal.
        holder: Holder,
    },
    /// Answers [`Message::Seal`]; no further entries are added to the copy.
    Sealed(SealedCopy),
    /// Asks a host for unused tokens.
    TransferAsk {
        /// Budget.
        budget: Arc<str>,
        /// Number of tokens requested.
        tokens: u64,
        /// Most urgent class among the requests that need the tokens.
        class: request::Class,
    },
    /// Transfers tokens; sent again until it is acknowledged, applied once.
    Transfer {
        /// Number of the transfer, unique in the fleet.
        number: u64,
        /// Holder that receives the tokens; another incarnation of the host must not apply it.
        to: Holder,
        /// Budget.
        budget: Arc<str>,
        /// Number of tokens transferred.
        tokens: u64,
    },
    /// Acknowledges [`Message::Transfer`].
    TransferAck {
        /// Number of the transfer.
        number: u64,
    },
    /// Asks the home of a request, the host that indexes it, where it runs, and registers the
    /// sender.
    Locate {
        /// Request.
        request: request::Id,
        /// Backend server on which the sender is about to run the request.
        backend: Arc<str>,
    },
    /// Answers [`Message::Locate`].
    Located {
        /// Request.
        request: request::Id,
        /// Backend server on which the first registered holder runs the request.
        backend: Arc<str>,
        /// Holder that registered first.
        holder: Holder,
    },
    /// Asks the issuer of a ticket to let a request claim it.
    Claim {
        /// Number of the ticket at its issuer.
        ticket: u64,
        /// Digest of the request's body.
        digest: [u8; 32],
        /// Request that is to run.
        request: request::Id,
    },
    /// Answers [`Message::Claim`].
    ClaimReply {
        /// Number of the ticket at its issuer.
        ticket: u64,
        /// Request that asked to claim the ticket.
        request: request::Id,
        /// Decision of the issuer.
        verdict: Verdict,
    },
    /// Reports the outcome of a claimed run to the issuer; sent again until it is acknowledged.
    ClaimOutcome {
        /// Number of the ticket at its issuer.
        ticket: u64,
        /// Outcome of the run.
        outcome: ClaimOutcome,
    },
    /// Acknowledges [`Message::ClaimOutcome`].
    ClaimOutcomeAck {
        /// Number of the ticket at its issuer.
        ticket: u64,
    },
    /// Heartbeat with gossip about members; sent by UDP.
    Heartbeat(Heartbeat),
    /// Asks a neighbour for configuration rows newer than a revision.
    ConfigAsk {
        /// Revision up to which the sender is current.
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
        /// Revision up to which the sender is current; if it is greater than `through`, the sender
        /// has more rows.
        current: u64,
        /// Revision up to which deletions are omitted.
        deletions_after: u64,
    },
}

/// Journal entries that are sent to a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Append {
    /// Holder that owns the journal.
    pub holder: Holder,
    /// Number of the first entry; entries are numbered from 1.
    pub first: u64,
    /// Whether the entries are a snapshot, which rebuilds the state up to `first` in place of the
    /// entries before it.
    pub snapshot: bool,
    /// Entries.
    pub entries: Vec<Entry>,
}

/// A sealed copy of a journal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SealedCopy {
    /// Holder that owns the journal.
    pub holder: Holder,
    /// Number of the last entry in the copy; 0 if there was no copy.
    pub through: u64,
    /// Entries that rebuild the state of the journal.
    pub entries: Vec<Entry>,
}

/// Entry of a holder's journal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// Tokens were added.
    Credit {
        /// Budget.
        budget: Arc<str>,
        /// Number of tokens.
        tokens: u64,
        /// Where the tokens came from.
        #[serde(rename = "source")]
        party: Counterparty,
    },
    /// Tokens were removed.
    Debit {
        /// Budget.
        budget: Arc<str>,
        /// Number of tokens.
        tokens: u64,
        /// Where the tokens went.
        #[serde(rename = "source")]
        party: Counterparty,
    },
    /// The maximum charge of a request was reserved.
    Reserve {
        /// Request.
        request: request::Id,
        /// Budget.
        budget: Arc<str>,
        /// Number of tokens reserved.
        tokens: u64,
        /// Backend server that is to run the request; empty if not known yet.
        backend: Arc<str>,
    },
    /// A request was charged, and the rest of its reservation released.
    Settle {
        /// Request.
        request: request::Id,
        /// Number of tokens charged.
        tokens: u64,
    },
    /// A reservation was released without a charge.
    Release {
        /// Request.
        request: request::Id,
    },
    /// Settlements up to an entry of the journal were written to the ledger in the table.
    Flushed {
        /// Number of the ledger segment that contains them.
        segment: u64,
        /// Number of the last journal entry whose settlement is covered.
        through: u64,
    },
    /// A ticket was claimed.
    Claim {
        /// Number of the ticket.
        ticket: u64,
        /// Digest of the request's body.
        digest: [u8; 32],
        /// Request that claimed the ticket.
        request: request::Id,
    },
    /// Tickets below a number are no longer decided, and their claims may be missing.
    TicketFloor {
        /// Lowest number of a ticket that is still decided.
        floor: u64,
    },
    /// A claimed run ended.
    Outcome {
        /// Number of the ticket.
        ticket: u64,
        /// Outcome of the run.
        outcome: ClaimOutcome,
    },
}

/// Counterparty of a credit or debit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Counterparty {
    /// The platform's table, with the holder's grant number; 0 in an entry of 0 tokens that only
    /// names a budget.
    Table(u64),
    /// Another holder, with the transfer number. Number 0 stands for the sum of several transfers
    /// if the holder is empty, and otherwise for the allowance of the journal's own holder.
    Holder(Holder, u64),
}

/// Decision of a ticket's issuer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The request that asked may run, and no other may.
    Run,
    /// Another request has claimed the ticket, and its outcome is not known yet.
    Busy,
    /// The run has ended with this outcome.
    Done(ClaimOutcome),
    /// The ticket was used with another body.
    Mismatch,
    /// The ticket was never issued by this issuer, or is no longer decided.
    Invalid,
}

/// Outcome of a claimed run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The backend server answered.
    Answer {
        /// HTTP status.
        status: u16,
        /// Body, at most 64 KiB.
        body: Arc<str>,
    },
    /// No byte of the request reached a backend server, and none will.
    NotRun,
    /// The request may have run; it will not be run again.
    Unknown,
}

/// Heartbeat of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Number of the heartbeat at the sender.
    pub number: u64,
    /// Revision of the configuration in force at the sender.
    pub revision: u64,
    /// Digest of the members of the sender's zone that it does not consider gone.
    pub digest: u64,
    /// Entries of the sender and of other members, usually those that changed recently.
    pub members: Vec<Member>,
}

/// Entry of a host in the member list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Host name.
    pub host: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Address of the peer port, `ip:port`.
    pub address: Arc<str>,
    /// Incarnation of the host process; a greater one replaces a smaller one.
    pub incarnation: u64,
    /// State.
    pub state: State,
    /// Revision of the configuration in force at the member, if the member itself reported it.
    pub revision: u64,
    /// Number of suspicions that the member has refuted in this incarnation.
    #[serde(default)]
    pub refuted: u64,
}

/// State of a member, in ascending order of precedence: of two entries with the same incarnation
/// and the same number of refutations, the one with the greater state wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The member was heard from recently.
    Alive,
    /// The member is silent; this is no proof that it failed.
    Suspect,
    /// The member announced that it is leaving.
    Leaving,
    /// The platform's host list says that the member is gone, or a later incarnation replaced it.
    Gone,
}
