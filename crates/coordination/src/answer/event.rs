//! Events, actions and settings of a stream.

use std::{sync::Arc, time::Duration};

use super::{Attempt, Line};
use crate::request::{self, Class};

/// Names a caller that waits on this host.
pub type Caller = u64;

/// What a stream is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamSettings {
    /// Request.
    pub request: request::Id,
    /// Digest of the body, see [`crate::ticket::digest`].
    pub digest: [u8; 32],
    /// Class.
    pub class: Class,
    /// Callers may come back and join.
    pub has_key: bool,
    /// Greatest number of tokens generated.
    pub max_tokens: u64,
    /// Time at which the request ends at the latest.
    pub deadline: Duration,
    /// Longest wait for the first line of an attempt.
    pub first_timeout: Duration,
    /// Longest wait for any further line.
    pub idle_timeout: Duration,
}

/// Tokens that an engine reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub tokens: u64,
}

/// Where the tokens of an attempt come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResumePoint {
    /// Stream at the engine, see [`super::stream_id`].
    pub stream: request::Id,
    /// Delivered tokens that the driver appends to the prompt; they count against the greatest
    /// number of tokens.
    pub base: u64,
    /// Tokens of the engine's stream to be left out.
    pub offset: u64,
}

/// Why a caller gets no whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// No engine got the request, or each engine that got it refused it.
    NotRun {
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
    /// The request ran, and the rest of the answer can't be had.
    Incomplete {
        /// Tokens delivered.
        delivered: u64,
    },
    /// An earlier run of the request is being ended.
    Cancelling {
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
    /// The key was used with another body.
    Mismatch,
}

/// What a stream is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamEvent {
    /// A caller wants the answer.
    Join {
        /// Caller.
        caller: Caller,
        /// Digest of the caller's body.
        digest: [u8; 32],
    },
    /// A caller left.
    Leave(Caller),
    /// Answers [`StreamAction::Choose`].
    Chosen(Arc<str>),
    /// Answers [`StreamAction::Choose`]: no back end can take the request.
    NoBackend {
        /// Time after which one may.
        retry_after: Duration,
    },
    /// Answers [`StreamAction::Probe`].
    Probed {
        /// Back end that was asked.
        backend: Arc<str>,
        /// Stream that was asked for.
        stream: request::Id,
        /// The stream stands and can be resumed; `None` where the engine did not answer.
        resumable: Option<bool>,
    },
    /// A line came.
    Line(Line),
    /// An attempt's connection closed, or failed after some byte was written.
    Closed(Attempt),
    /// An attempt's connection failed before any byte was written.
    NotSent(Attempt),
    /// The engine refused the attempt and does not run it.
    Refused {
        /// Attempt.
        attempt: Attempt,
        /// Time after which the engine may take it; `None` where it won't.
        retry_after: Option<Duration>,
    },
    /// Answers [`StreamAction::Cancel`].
    Cancelled {
        /// Back end that was asked.
        backend: Arc<str>,
        /// Stream that was cancelled.
        stream: request::Id,
        /// Tokens that the engine reports; `None` where it did not answer.
        usage: Option<Usage>,
    },
    /// The back end in use leaves.
    BackendLeaving {
        /// It has little time.
        short_notice: bool,
    },
    /// Answers [`StreamAction::Seek`]: the back end to move to, or `None` where there is none.
    MigrationTargetChosen(Option<Arc<str>>),
    /// Answers [`StreamAction::Copy`].
    CacheCopied {
        /// Back end that was to take the copy.
        to: Arc<str>,
        /// Stream.
        stream: request::Id,
        /// Tokens of the stream that the copy holds; `None` where it failed.
        tokens: Option<u64>,
    },
    /// Time passed.
    Tick,
}

/// What a stream wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamAction {
    /// Choose a back end, and count the request there until [`StreamAction::Vacate`]. Choose one
    /// that is not in the list, unless there is no other.
    Choose {
        /// Back ends that failed the request.
        avoid: Vec<Arc<str>>,
    },
    /// Withdraw the last [`StreamAction::Choose`]; no answer to it may follow.
    CancelChoose,
    /// The request no longer counts at the back end that was chosen.
    ReleaseBackend(Arc<str>),
    /// Ask an engine whether it has the stream.
    Probe {
        /// Back end.
        backend: Arc<str>,
        /// Stream.
        stream: request::Id,
    },
    /// Choose a back end to move to, of the same model, and count the request there as well until
    /// [`StreamAction::Moved`] or [`StreamAction::Stay`].
    ChooseMigrationTarget {
        /// Back ends not to choose.
        avoid: Vec<Arc<str>>,
    },
    /// Copy the cache of a stream from one engine to another.
    CopyCache {
        /// Engine that has it.
        from: Arc<str>,
        /// Engine that is to take it.
        to: Arc<str>,
        /// Stream.
        stream: request::Id,
    },
    /// The request counts at the back end that was sought, and no longer at the one before.
    CommitMigration,
    /// The request no longer counts at the back end that was sought, and none is to be chosen.
    AbortMigration,
    /// Open a connection for an attempt.
    Open {
        /// Back end.
        backend: Arc<str>,
        /// Attempt.
        attempt: Attempt,
        /// What to ask for.
        resume_point: ResumePoint,
    },
    /// Close the connection of an attempt.
    Close(Attempt),
    /// Cancel a stream at an engine.
    Cancel {
        /// Back end.
        backend: Arc<str>,
        /// Stream.
        stream: request::Id,
    },
    /// The back end served or failed an attempt.
    Health {
        /// Back end.
        backend: Arc<str>,
        /// It served the attempt.
        served: bool,
    },
    /// Give a caller the next piece.
    Deliver {
        /// Caller.
        caller: Caller,
        /// Tokens before this one.
        offset: u64,
        /// Text.
        token: Arc<str>,
    },
    /// Tell a caller that its answer is whole.
    Finish {
        /// Caller.
        caller: Caller,
        /// Tokens used.
        usage: Usage,
    },
    /// Tell a caller that it gets no whole answer.
    Fail {
        /// Caller.
        caller: Caller,
        /// Why.
        failure: Failure,
    },
    /// Charge the request for these tokens, once, and free the rest of its reservation.
    Settle(Usage),
    /// Free the request's reservation without a charge.
    Release,
}
