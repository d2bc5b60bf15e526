//! Settings, events and actions of a [`Stream`](super::Stream).

use std::{sync::Arc, time::Duration};

use super::{Attempt, Line};
use crate::request::{self, Class};

/// Identifies a caller that waits on this host.
pub type Caller = u64;

/// Settings of a stream for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamSettings {
    /// Id of the request.
    pub request: request::Id,
    /// Digest of the service and body; see [`crate::ticket::digest`].
    pub digest: [u8; 32],
    /// Class of the request.
    pub class: Class,
    /// The request has an idempotency key, so that callers may reconnect and join it again.
    pub has_key: bool,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
    /// Time by which the request ends.
    pub deadline: Duration,
    /// Maximum wait for the first line of an attempt.
    pub first_timeout: Duration,
    /// Maximum wait for each further line.
    pub idle_timeout: Duration,
}

/// Token usage that a backend server reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Number of tokens generated.
    pub tokens: u64,
}

/// Point from which an attempt continues the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResumePoint {
    /// Stream on the backend server; see [`super::stream_id`].
    pub stream: request::Id,
    /// Number of delivered tokens that the driver appends to the prompt; they count against the
    /// maximum number of tokens.
    pub base: u64,
    /// Number of tokens of the backend server's stream to skip.
    pub offset: u64,
}

/// Reason why a caller gets no complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// No backend server received the request, or each one that did refused it.
    NotRun {
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
    /// The request may have run, and the rest of the answer is not available.
    Incomplete {
        /// Number of tokens delivered.
        delivered: u64,
    },
    /// An earlier run of the request is being cancelled.
    Cancelling {
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
    /// The idempotency key was used with another body.
    Mismatch,
}

/// Event for a [`Stream`](super::Stream).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamEvent {
    /// A caller joins the request.
    Join {
        /// Caller that joins.
        caller: Caller,
        /// Digest of the service and body that the caller sent.
        digest: [u8; 32],
    },
    /// A caller left.
    Leave(Caller),
    /// Answers [`StreamAction::Choose`].
    Chosen(Arc<str>),
    /// Answers [`StreamAction::Choose`]: no backend server can take the request.
    NoBackend {
        /// Time after which one may be able to.
        retry_after: Duration,
    },
    /// Answers [`StreamAction::Probe`].
    Probed {
        /// Backend server that was probed.
        backend: Arc<str>,
        /// Stream that was probed.
        stream: request::Id,
        /// Whether the stream can be resumed; `None` if the backend server did not answer.
        resumable: Option<bool>,
    },
    /// A line arrived.
    Line(Line),
    /// An attempt's connection closed, or failed after at least one byte was written.
    Closed(Attempt),
    /// An attempt's connection failed before any byte was written.
    NotSent(Attempt),
    /// The backend server refused the attempt and does not run it.
    Refused {
        /// Refused attempt.
        attempt: Attempt,
        /// Time after which the backend server may accept it; `None` if it won't.
        retry_after: Option<Duration>,
    },
    /// Answers [`StreamAction::Cancel`].
    Cancelled {
        /// Backend server that was asked to cancel.
        backend: Arc<str>,
        /// Stream that was cancelled.
        stream: request::Id,
        /// Usage that the backend server reports; `None` if it did not answer.
        usage: Option<Usage>,
    },
    /// The backend server in use is leaving.
    BackendLeaving {
        /// The platform is taking it away, so little time is left.
        short_notice: bool,
    },
    /// Answers [`StreamAction::ChooseMigrationTarget`] with the backend server to migrate to;
    /// `None` if there is none.
    MigrationTargetChosen(Option<Arc<str>>),
    /// Answers [`StreamAction::CopyCache`].
    CacheCopied {
        /// Backend server that was to receive the copy.
        to: Arc<str>,
        /// Stream whose cache was copied.
        stream: request::Id,
        /// Number of tokens of the stream that the copy covers; `None` if the copy failed.
        tokens: Option<u64>,
    },
    /// Timers may be due; see [`Stream::wake_at`](super::Stream::wake_at).
    Tick,
}

/// Action requested by a [`Stream`](super::Stream).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamAction {
    /// Chooses a backend server and counts the request there until
    /// [`StreamAction::ReleaseBackend`]. One in the list is chosen only if there is no other.
    Choose {
        /// Backend servers on which the request failed.
        avoid: Vec<Arc<str>>,
    },
    /// Cancels the last [`StreamAction::Choose`]; no answer to it may follow.
    CancelChoose,
    /// Stops counting the request at the backend server that was chosen.
    ReleaseBackend(Arc<str>),
    /// Asks a backend server whether it still has the stream.
    Probe {
        /// Backend server to ask.
        backend: Arc<str>,
        /// Stream to ask for.
        stream: request::Id,
    },
    /// Chooses a backend server with the same model to migrate to, and counts the request there as
    /// well until [`StreamAction::CommitMigration`] or [`StreamAction::AbortMigration`].
    ChooseMigrationTarget {
        /// Backend servers not to choose.
        avoid: Vec<Arc<str>>,
    },
    /// Copies the cache of a stream from one backend server to another.
    CopyCache {
        /// Backend server that has the cache.
        from: Arc<str>,
        /// Backend server that receives the copy.
        to: Arc<str>,
        /// Stream whose cache is copied.
        stream: request::Id,
    },
    /// Counts the request at the migration target only, no longer at the previous backend server.
    CommitMigration,
    /// Stops counting the request at the migration target, or stops choosing one.
    AbortMigration,
    /// Opens a connection for an attempt.
    Open {
        /// Backend server to connect to.
        backend: Arc<str>,
        /// Number of the attempt.
        attempt: Attempt,
        /// Point from which to continue the answer.
        resume_point: ResumePoint,
    },
    /// Closes the connection of an attempt.
    Close(Attempt),
    /// Cancels a stream on a backend server.
    Cancel {
        /// Backend server that runs the stream.
        backend: Arc<str>,
        /// Stream to cancel.
        stream: request::Id,
    },
    /// Reports whether a backend server served an attempt.
    Health {
        /// Backend server of the attempt.
        backend: Arc<str>,
        /// Whether it served the attempt.
        served: bool,
    },
    /// Sends the next token to a caller.
    Deliver {
        /// Caller that receives the token.
        caller: Caller,
        /// Number of tokens of the answer before this one.
        offset: u64,
        /// Text of the token.
        token: Arc<str>,
    },
    /// Tells a caller that its answer is complete.
    Finish {
        /// Caller whose answer is complete.
        caller: Caller,
        /// Usage of the request.
        usage: Usage,
    },
    /// Tells a caller that it gets no complete answer.
    Fail {
        /// Caller whose request failed.
        caller: Caller,
        /// Reason of the failure.
        failure: Failure,
    },
    /// Charges the request for this usage, once, and frees the rest of its reservation.
    Settle(Usage),
    /// Frees the request's reservation without a charge.
    Release,
}
