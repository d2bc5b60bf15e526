//! Decides which run of a call that may not be repeated takes place.
//!
//! The [`Issuer`] of a ticket is its only decider: it lets one run go ahead, after the claim is on
//! every replica of its journal. The [`Dispatcher`] is the host that received the call: it asks the
//! issuer, dispatches once, and reports the outcome. After the issuer's death its sealed journal
//! decides, as [`Recovered`].

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

/// Greatest body of an answer that an issuer keeps, in bytes.
pub const MAX_KEPT_BODY_BYTES: usize = 64 * 1024;

/// Final answer to the caller of a call that runs at most once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The call ran and this is its answer.
    Answer {
        /// HTTP status.
        status: u16,
        /// Body.
        body: Arc<str>,
    },
    /// The call did not run, and never will with this ticket.
    NotRun,
    /// The call may have run; it is not run again. A retry with the same ticket may learn more.
    Unknown(UnknownReason),
    /// The ticket was used with another body.
    Mismatch,
}

/// Why an outcome is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnknownReason {
    /// The run was dispatched and no whole answer came back.
    NoAnswer,
    /// Another run of the same ticket has not ended.
    InFlight,
    /// The issuer can't be asked now; this host has sent nothing.
    IssuerUnreachable,
    /// The issuer no longer decides this ticket.
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

/// A claim as the issuer's journal holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Digest of the call.
    pub digest: [u8; 32],
    /// Run that may take place.
    pub request: request::Id,
    /// Outcome, where it was reported.
    pub outcome: Option<ClaimOutcome>,
}

/// Claims of a holder whose journal was sealed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecoveredClaims {
    /// Lowest ticket number that the journal decides; `None` where part of it may be missing, so
    /// that the absence of a claim proves nothing.
    pub floor: Option<u64>,
    /// Claims by ticket number.
    pub claims: BTreeMap<u64, Claim>,
}

impl RecoveredClaims {
    /// Rebuilds the claims from the entries of a sealed journal copy; other entries are ignored.
    /// Only an [`Entry::TicketFloor`] among them makes the absence of a claim a proof.
    pub fn replay<'a>(entries: impl IntoIterator<Item = &'a Entry>) -> Self {
        let mut recovered = Self::default();
        for entry in entries {
            recovered.apply(entry);
        }
        recovered
    }

    /// Returns the outcome of a ticket, final because the sealed journal takes no more claims.
    pub fn outcome(&self, ticket: u64, digest: &[u8; 32]) -> Outcome {
        let decided = self.floor.is_some_and(|floor| ticket >= floor);
        let Some(claim) = self.claims.get(&ticket) else {
            return if decided {
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
