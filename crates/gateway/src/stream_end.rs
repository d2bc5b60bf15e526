//! Whether the end of a body is believed as the end of its stream.

use std::sync::Arc;

/// End of a body that a backend server has sent for a stream.
#[derive(Debug)]
pub struct End {
    /// Id of the backend server.
    pub backend: Arc<str>,
    /// Number of events of the stream that it has sent.
    pub events: u64,
    /// Id of the last event of the stream, or of the one after which its caller resumes it.
    pub after: Option<u64>,
    /// Whether no event is missing as far as the bytes tell.
    pub may_end: bool,
    /// Whether bytes that belong to no response follow the body.
    pub has_surplus: bool,
    /// Whether no other backend server may ever be asked, as none provides the service or the route
    /// allows one attempt.
    pub is_only: bool,
}

/// What the end of a body is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The end of the stream.
    Complete,
    /// The end of the stream, as another backend server has said before, or as there is no other.
    Confirmed,
    /// A claim that nothing is left of the stream, which another backend server has to confirm.
    Unconfirmed,
    /// The backend server failed: a stream has events.
    Empty,
    /// The stream was broken off.
    BrokenOff,
}

/// A backend server's claim that nothing is left of a stream.
#[derive(Debug)]
pub struct Claim {
    /// Id of the backend server.
    pub backend: Arc<str>,
    /// Id of the event after which nothing is left.
    after: Option<u64>,
    /// Whether it is believed if nobody can be asked: the backend server has sent events, and only the
    /// bytes behind the body tell against it.
    is_sufficient: bool,
}

impl Claim {
    /// Returns whether the claim is believed if nobody can be asked about a stream that has come to
    /// this event.
    pub fn suffices(&self, after: Option<u64>) -> bool {
        self.is_sufficient && self.after == after
    }
}

impl End {
    /// Returns what the end is; `claim` is the last one that wasn't confirmed.
    pub fn judge(&self, claim: Option<&Claim>) -> Verdict {
        if !self.may_end {
            return Verdict::BrokenOff;
        }
        if self.events > 0 {
            return if self.has_surplus { Verdict::Unconfirmed } else { Verdict::Complete };
        }
        if self.after.is_none() {
            return Verdict::Empty;
        }
        let is_confirmed =
            claim.is_some_and(|claim| claim.after == self.after && claim.backend != self.backend);
        if is_confirmed || self.is_only { Verdict::Confirmed } else { Verdict::Unconfirmed }
    }
}

impl From<End> for Claim {
    fn from(end: End) -> Self {
        Self { backend: end.backend, after: end.after, is_sufficient: end.events > 0 }
    }
}
