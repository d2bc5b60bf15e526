//! What is known after each way that a send can end, and what may follow.

/// How sending a request to a backend server ended without an answer to pass on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// No connection came about, or it broke before any byte of the request was written.
    NotSent,
    /// The backend server stated that it did not run the request.
    NotRun,
    /// The backend server answered that it failed.
    Failed,
    /// The connection broke, the answer was not this request's, or none came: it may have run.
    Unknown,
}

impl Ending {
    /// Returns whether the request certainly did not run.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::NotRun)
    }
}

/// What a caller is told in place of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request did not run and never will.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Follows one request over its sends.
#[derive(Debug)]
pub struct Course {
    repeatable: bool,
    /// Sends that may still be made, with one that is under way.
    left: u32,
    /// Connections that may still fail to come about.
    connects: u32,
    sends: u32,
    sending: bool,
    outcome: Outcome,
}

impl Course {
    /// Opens the course of a request that may be sent so often, and for which so many connections
    /// may fail.
    pub fn open(repeatable: bool, sends: u32, connects: u32) -> Self {
        Self {
            repeatable,
            left: sends,
            connects,
            sends: 0,
            sending: false,
            outcome: Outcome::NotRun,
        }
    }

    /// Returns what the caller may be told now.
    pub fn outcome(&self) -> Outcome {
        if self.sending { Outcome::Unknown } else { self.outcome }
    }

    /// Returns whether the request has been sent before.
    pub fn is_repeat(&self) -> bool {
        self.sends > 0
    }

    /// Returns whether a failure of the send under way could be followed by another.
    pub fn can_repeat(&self) -> bool {
        self.repeatable && self.left > 1
    }

    /// Notes that the request is handed to a connection.
    pub fn sent(&mut self) {
        self.sending = true;
    }

    /// Notes how a send ended; returns whether the request may be sent to another backend server.
    pub fn ended(&mut self, ending: Ending) -> bool {
        self.sending = false;
        if !ending.proves_not_run() {
            self.outcome = Outcome::Unknown;
        }
        if ending == Ending::NotSent {
            self.connects = self.connects.saturating_sub(1);
            return self.connects > 0;
        }
        self.sends += 1;
        self.left = self.left.saturating_sub(1);
        self.left > 0 && (ending.proves_not_run() || self.repeatable)
    }
}
