//! Reads the rest of the body of a request that is refused.
//!
//! The caller is still sending it, and may read the refusal only afterwards. Were the connection
//! closed with bytes unread, the kernel would answer them with a reset, which may discard the
//! refusal too.

use std::time::Duration;

use http_body_util::{BodyExt as _, Limited};
use hyper::body::Incoming;
use tokio::{
    io::{AsyncRead, AsyncReadExt as _, copy, sink},
    time::timeout,
};

use crate::catalog::Limits;

/// Longest time for which the rest of a body is read if the host has no capacity for it.
const SHORT_MAX_TIME: Duration = Duration::from_millis(500);

/// Multiple of the largest body allowed up to which the rest of a body is read.
const MAX_BODIES: usize = 4;

/// Bounds on reading the rest of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Longest time.
    pub max_time: Duration,
    /// Number of bytes.
    pub max_bytes: usize,
}

impl Bounds {
    /// Returns bounds within which a caller stays whose body takes no longer, and isn't larger, than
    /// allowed.
    pub fn new(read_timeout: Duration, max_body_bytes: usize) -> Self {
        Self { max_time: read_timeout, max_bytes: max_body_bytes.saturating_mul(MAX_BODIES) }
    }

    /// Returns the bounds for the limits of a configuration, shortened if the host has no capacity.
    pub fn from_limits(limits: &Limits, has_capacity: bool) -> Self {
        let read_timeout = match has_capacity {
            true => limits.read_timeout,
            false => SHORT_MAX_TIME.min(limits.read_timeout),
        };
        Self::new(read_timeout, limits.max_body_bytes)
    }
}

/// Reads the rest of a body. The connection is closed if the rest exceeds the bounds; the line in the
/// log names the request, if its id is known.
pub async fn discard(id: Option<&str>, body: Incoming, bounds: Bounds) {
    let mut rest = Limited::new(body, bounds.max_bytes);
    let read = async {
        while let Some(frame) = rest.frame().await {
            if let Err(error) = frame {
                tracing::info!(event = "body_not_read", id, %error);
                return;
            }
        }
    };
    if timeout(bounds.max_time, read).await.is_err() {
        tracing::info!(event = "body_not_read", id, error = "too slow");
    }
}

/// Reads what still comes over a connection on which nothing more is sent, up to its end or the
/// bounds.
pub async fn drain(connection: impl AsyncRead + Unpin, bounds: Bounds) {
    let mut rest = connection.take(u64::try_from(bounds.max_bytes).unwrap_or(u64::MAX));
    match timeout(bounds.max_time, copy(&mut rest, &mut sink())).await {
        Ok(Ok(_)) => {}
        Ok(Err(error)) => tracing::info!(event = "connection_not_drained", %error),
        Err(_) => tracing::info!(event = "connection_not_drained", error = "too slow"),
    }
}
