//! What a process got of a workspace's tokens, and where they went.

use std::fmt;

/// How far a request has come whose tokens are reserved.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Progress {
    /// It was not sent to a backend server, or certainly not run.
    #[default]
    Unsent,
    /// It was sent; no event of its response has arrived.
    Sent,
    /// Events of its response have arrived.
    Responding,
    /// The whole response has arrived.
    Answered,
}

/// Tokens by the progress of the requests that reserved or used them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ByProgress {
    /// Of requests that were not sent.
    pub unsent: u64,
    /// Of requests that were sent and brought no event.
    pub sent: u64,
    /// Of requests with events.
    pub responding: u64,
    /// Of requests with a whole response.
    pub answered: u64,
}

impl ByProgress {
    /// Returns the tokens of the requests with this progress.
    pub(super) fn get_mut(&mut self, progress: Progress) -> &mut u64 {
        match progress {
            Progress::Unsent => &mut self.unsent,
            Progress::Sent => &mut self.sent,
            Progress::Responding => &mut self.responding,
            Progress::Answered => &mut self.answered,
        }
    }

    /// Returns the tokens of all requests.
    pub fn total(&self) -> u64 {
        self.unsent + self.sent + self.responding + self.answered
    }
}

impl fmt::Display for ByProgress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}/{}", self.unsent, self.sent, self.responding, self.answered)
    }
}

/// Sums over the life of a process. What came in is what went out, what is held and what is
/// reserved.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Turnover {
    /// Granted out of the budget.
    pub granted: u64,
    /// Taken over from the process before.
    pub taken_over: u64,
    /// Got from other hosts.
    pub borrowed: u64,
    /// Returned to the budget, or on the way there.
    pub returned: u64,
    /// Given to other hosts.
    pub lent: u64,
    /// Used by requests that have ended.
    pub used: ByProgress,
}

impl Turnover {
    /// Returns the tokens that are neither given away nor used.
    pub fn remaining(&self) -> u64 {
        let received = self.granted + self.taken_over + self.borrowed;
        received - self.returned - self.lent - self.used.total()
    }
}
