//! What is known after each way that a send can end, and what may follow.

/// How sending a request to a backend server ended without an answer to pass on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection came about, or it broke before any byte of the request was written.
    NotSent,
    /// The backend server stated that it did not run the request.
    NotRun,
    /// The backend server answered that it failed.
    Failed,
    /// The connection broke, the answer was not this request's, or none came: it may have run.
    Unknown,
}

impl AttemptFailure {
    /// Returns whether the request certainly did not run.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::NotRun)
    }
}

/// What a caller is told in place of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionStatus {
    /// The request did not run and never will.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Follows one request over its sends.
#[derive(Debug)]
pub struct RetryState {
    retryable: bool,
    /// Sends that may still be made, with one that is under way.
    attempts_left: u32,
    /// Connections that may still fail to come about.
    connects_left: u32,
    attempts: u32,
    sending: bool,
    outcome: ExecutionStatus,
}

impl RetryState {
    /// Opens the course of a request that may be sent so often, and for which so many connections
    /// may fail.
    pub fn new(repeatable: bool, sends: u32, connects: u32) -> Self {
        Self {
            retryable: repeatable,
            attempts_left: sends,
            connects_left: connects,
            attempts: 0,
            sending: false,
            outcome: ExecutionStatus::NotRun,
        }
    }

    /// Returns what the caller may be told now.
    pub fn status(&self) -> ExecutionStatus {
        if self.sending { ExecutionStatus::Unknown } else { self.outcome }
    }

    /// Returns whether the request has been sent before.
    pub fn is_retry(&self) -> bool {
        self.attempts > 0
    }

    /// Returns whether a failure of the send under way could be followed by another.
    pub fn can_retry(&self) -> bool {
        self.retryable && self.attempts_left > 1
    }

    /// Notes that the request is handed to a connection.
    pub fn begin_attempt(&mut self) {
        self.sending = true;
    }

    /// Notes how a send ended; returns whether the request may be sent to another backend server.
    pub fn finish_attempt(&mut self, ending: AttemptFailure) -> bool {
        self.sending = false;
        if !ending.proves_not_run() {
            self.outcome = ExecutionStatus::Unknown;
        }
        if ending == AttemptFailure::NotSent {
            self.connects_left = self.connects_left.saturating_sub(1);
            return self.connects_left > 0;
        }
        self.attempts += 1;
        self.attempts_left = self.attempts_left.saturating_sub(1);
        self.attempts_left > 0 && (ending.proves_not_run() || self.retryable)
    }
}
