//! Errors of the platform's client.

use std::{fmt, io, net::SocketAddr};

/// Operation of the client in which an error occurred.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Reading rows by key.
    Read,
    /// Scanning rows.
    Scan,
    /// Reading changes.
    Changes,
    /// Committing a transaction.
    Commit,
    /// Storing an object.
    PutObject,
    /// Fetching an object.
    GetObject,
    /// Listing hosts.
    Hosts,
    /// Starting a download of model weights.
    Weights,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Read => "table_read",
            Self::Scan => "table_scan",
            Self::Changes => "table_changes",
            Self::Commit => "table_commit",
            Self::PutObject => "object_put",
            Self::GetObject => "object_get",
            Self::Hosts => "hosts",
            Self::Weights => "weights",
        })
    }
}

/// Cause of an error.
#[derive(Debug, thiserror::Error)]
pub enum Cause {
    /// The connection was refused, so that nothing was sent.
    #[error("connection refused")]
    Refused,
    /// The request can't be encoded as JSON or HTTP; nothing was sent.
    #[error("malformed request: {0}")]
    Request(String),
    /// The connection failed, possibly after the request was sent.
    #[error("connection: {0}")]
    Connection(#[source] io::Error),
    /// The platform responded with this unexpected HTTP status.
    #[error("status {0}")]
    Status(u16),
    /// The response has neither `Content-Length` nor `Transfer-Encoding`, so the end of its
    /// body can't be determined.
    #[error("answer without a length")]
    NoLength,
    /// The response body is longer than this many bytes.
    #[error("answer longer than {0} bytes")]
    TooLong(u64),
    /// The response body doesn't conform to the platform's interface.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

impl Cause {
    /// Returns whether the request is certain to have had no effect.
    pub fn had_no_effect(&self) -> bool {
        matches!(self, Self::Refused | Self::Request(_) | Self::Status(400 | 503))
    }
}

/// Error of a request to the platform.
#[derive(Debug, thiserror::Error)]
#[error("step={step} peer={peer}: {cause}")]
pub struct Error {
    /// Operation that failed.
    pub step: Step,
    /// Address of the platform.
    pub peer: SocketAddr,
    /// Cause of the failure.
    #[source]
    pub cause: Cause,
}
