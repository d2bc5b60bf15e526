//! At-most-once execution of calls that carry a ticket.
//!
//! A call may reach several hosts, each of which starts a run of it, but only one run may be sent
//! to a backend server. The [`Issuer`] of the ticket alone decides which one: it permits a run once
//! the claim is on every replica of its journal. The [`Dispatcher`] is on the host that received
//! the call: it asks the issuer, dispatches the call once, and reports the outcome. After the
//! issuer's process has ended, its sealed journal decides, as [`RecoveredClaims`].

mod dispatcher;
mod event;
mod issuer;
mod report;

use std::{collections::BTreeMap, sync::Arc};

pub use dispatcher::Dispatcher;
pub use event::{Call, Caller, DispatchResult, DispatcherAction, DispatcherEvent, IssuerStatus};
pub use issuer::{ClaimRequest, Issuer, IssuerAction, IssuerEvent, TICKET_LIFETIME};

use crate::{
    message::{ClaimOutcome, Entry},
    request,
};

/// Maximum size of an answer's body that an issuer stores, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 64 * 1024;

/// Final answer to the caller of a call that runs at most once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The call ran and the backend server answered.
    Answer {
        /// HTTP status.
        status: u16,
        /// Response body.
        body: Arc<str>,
    },
    /// The call did not run and never will with this ticket.
    NotRun,
    /// The call may have run and is not run again. A retry with the same ticket may return a more
    /// precise outcome.
    Unknown(UnknownReason),
    /// The ticket was used with another service or body.
    Mismatch,
}

/// Reason why an outcome is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnknownReason {
    /// The run was dispatched, but no complete answer was received.
    NoAnswer,
    /// Another run of the same ticket is in progress.
    InFlight,
    /// The issuer can't be reached; this host has not dispatched the call.
    IssuerUnreachable,
    /// The ticket expired, so its issuer no longer decides it.
    Expired,
}

impl From<ClaimOutcome> for Outcome {
    fn from(outcome: ClaimOutcome) -> Self {
        match outcome {
            ClaimOutcome::Answer { status, body } => Self::Answer { status, body },
            ClaimOutcome::NotRun => Self::NotRun,
            ClaimOutcome::Unknown => Self::Unknown(UnknownReason::NoAnswer),
        }
    }
}

/// Claim on a ticket as recorded in the issuer's journal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Digest of the call; see [`crate::ticket::digest`].
    pub digest: [u8; 32],
    /// Run that holds the claim.
    pub request: request::Id,
    /// Reported outcome; `None` while none was reported.
    pub outcome: Option<ClaimOutcome>,
}

/// Claims recovered from the sealed journal of a holder.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecoveredClaims {
    /// Lowest ticket number that the journal decides; `None` if part of the journal may be missing,
    /// so that the absence of a claim proves nothing.
    pub floor: Option<u64>,
    /// Claims by ticket number.
    pub claims: BTreeMap<u64, Claim>,
}

impl RecoveredClaims {
    /// Rebuilds the claims from the entries of a sealed journal copy and ignores all other entries.
    /// The absence of a claim proves that a call did not run only if the entries include an
    /// [`Entry::TicketFloor`].
    pub fn replay<'a>(entries: impl IntoIterator<Item = &'a Entry>) -> Self {
        let mut recovered = Self::default();
        for entry in entries {
            recovered.apply(entry);
        }
        recovered
    }

    /// Returns the outcome of a ticket. It is final, since a sealed journal takes no more claims.
    pub fn outcome(&self, ticket: u64, digest: &[u8; 32]) -> Outcome {
        let is_decided = self.floor.is_some_and(|floor| ticket >= floor);
        let Some(claim) = self.claims.get(&ticket) else {
            return if is_decided {
                Outcome::NotRun
            } else {
                Outcome::Unknown(UnknownReason::Expired)
            };
        };
        if claim.digest != *digest {
            return Outcome::Mismatch;
        }
        match &claim.outcome {
            Some(outcome) => outcome.clone().into(),
            None => Outcome::Unknown(UnknownReason::NoAnswer),
        }
    }

    fn apply(&mut self, entry: &Entry) {
        match entry {
            Entry::Claim { ticket, digest, request } => {
                let claim = Claim { digest: *digest, request: *request, outcome: None };
                self.claims.entry(*ticket).or_insert(claim);
            }
            Entry::Outcome { ticket, outcome } => {
                if let Some(claim) = self.claims.get_mut(ticket) {
                    claim.outcome = Some(outcome.clone());
                }
            }
            Entry::TicketFloor { floor } => {
                self.floor = self.floor.max(Some(*floor));
                self.claims = self.claims.split_off(floor);
            }
            _ => {}
        }
    }
}
