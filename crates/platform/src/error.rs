//! Errors of the platform's client.

use std::{fmt, io, net::SocketAddr};

/// Step at which an error arose.
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
    /// Starting a download of weights.
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
    /// The request can't be written as HTTP; nothing was sent.
    #[error("malformed request: {0}")]
    Request(String),
    /// The connection failed after the request may have gone out.
    #[error("connection: {0}")]
    Connection(#[source] io::Error),
    /// The platform answered with this status.
    #[error("status {0}")]
    Status(u16),
    /// The answer had neither a length nor chunks, so that its end can't be told.
    #[error("answer without a length")]
    NoLength,
    /// The answer is longer than this many bytes.
    #[error("answer longer than {0} bytes")]
    TooLong(u64),
    /// The answer isn't what the interface says.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

impl Cause {
    /// Returns whether the request certainly had no effect.
    pub fn had_no_effect(&self) -> bool {
        matches!(self, Self::Refused | Self::Request(_) | Self::Status(400 | 503))
    }
}

/// A request to the platform failed.
#[derive(Debug, thiserror::Error)]
#[error("step={step} peer={peer}: {cause}")]
pub struct Error {
    /// Step at which it arose.
    pub step: Step,
    /// Address of the platform.
    pub peer: SocketAddr,
    /// Cause.
    #[source]
    pub cause: Cause,
}
