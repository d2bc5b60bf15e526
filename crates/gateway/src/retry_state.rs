//! Decides after each failed attempt whether the request may have run and whether it may be
//! retried.

/// Why an attempt at a backend server brought no response that can be passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection was established, or it broke before any byte of the request was written.
    NotSent,
    /// The backend server stated that it did not run the request.
    NotRun,
    /// The backend server responded that it failed.
    Failed,
    /// The connection broke, the response belonged to another request, or none arrived: the request
    /// may have run.
    Unknown,
}

impl AttemptFailure {
    /// Returns whether the failure proves that the request did not run.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::NotRun)
    }
}

/// Whether a request ran, as the caller is told in place of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionStatus {
    /// The request did not run and never will.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Retry state of one request.
#[derive(Debug)]
pub struct RetryState {
    retryable: bool,
    /// Attempts that may still be made, including one in progress.
    attempts_left: u32,
    /// Connections that may still fail, including the next one.
    connects_left: u32,
    attempts: u32,
    in_flight: bool,
    status: ExecutionStatus,
}

impl RetryState {
    /// Creates the state of a request that may be sent `max_attempts` times; at
    /// `max_failed_connects` failed connections it is given up.
    pub fn new(retryable: bool, max_attempts: u32, max_failed_connects: u32) -> Self {
        Self {
            retryable,
            attempts_left: max_attempts,
            connects_left: max_failed_connects,
            attempts: 0,
            in_flight: false,
            status: ExecutionStatus::NotRun,
        }
    }

    /// Returns what the caller may be told now.
    pub fn status(&self) -> ExecutionStatus {
        if self.in_flight { ExecutionStatus::Unknown } else { self.status }
    }

    /// Returns whether the request has been sent before.
    pub fn is_retry(&self) -> bool {
        self.attempts > 0
    }

    /// Returns whether another attempt may follow if the current one fails after the request may
    /// have run.
    pub fn can_retry(&self) -> bool {
        self.retryable && self.attempts_left > 1
    }

    /// Records that the request is handed to a connection.
    pub fn begin_attempt(&mut self) {
        self.in_flight = true;
    }

    /// Records that an attempt which was finished goes on, as no other one has taken its place.
    pub fn continue_attempt(&mut self) {
        self.in_flight = true;
        self.attempts = self.attempts.saturating_sub(1);
        self.attempts_left += 1;
    }

    /// Records how an attempt failed; returns whether the request may be sent to another backend
    /// server.
    pub fn finish_attempt(&mut self, failure: AttemptFailure) -> bool {
        self.in_flight = false;
        if !failure.proves_not_run() {
            self.status = ExecutionStatus::Unknown;
        }
        if failure == AttemptFailure::NotSent {
            self.connects_left = self.connects_left.saturating_sub(1);
            return self.connects_left > 0;
        }
        self.attempts += 1;
        self.attempts_left = self.attempts_left.saturating_sub(1);
        self.attempts_left > 0 && (failure.proves_not_run() || self.retryable)
    }
}
