//! Reads the rest of the body of a request that is refused.
//!
//! The caller is still sending it, and may read the refusal only afterwards. Were the connection
//! closed with bytes unread, the kernel would answer them with a reset, which may discard the
//! refusal too.

use std::{rc::Rc, time::Duration};

use http_body_util::{BodyExt as _, Limited};
use hyper::body::{Body as _, Incoming};
use tokio::{
    io::{AsyncRead, AsyncReadExt as _, copy, sink},
    task::spawn_local,
    time::timeout,
};

use crate::{catalog::Limits, connection::Guard};

/// Longest time for which an overloaded host reads the rest of a body.
const OVERLOADED_MAX_TIME: Duration = Duration::from_millis(500);

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
    /// Returns the bounds for a host: a caller within the limits of the configuration stays within
    /// them, unless the host is overloaded.
    pub fn new(limits: &Limits, is_overloaded: bool) -> Self {
        let max_time = match is_overloaded {
            true => OVERLOADED_MAX_TIME.min(limits.read_timeout),
            false => limits.read_timeout,
        };
        Self { max_time, max_bytes: limits.max_body_bytes.saturating_mul(MAX_BODIES) }
    }
}

/// Reads the rest of a body in the background; the request is in progress until then. The
/// connection is closed if the rest exceeds the bounds.
pub fn discard(body: Incoming, bounds: Bounds, guard: Rc<Guard>) {
    if body.is_end_stream() {
        return;
    }
    spawn_local(async move {
        let mut rest = Limited::new(body, bounds.max_bytes);
        let read = async {
            while let Some(frame) = rest.frame().await {
                if let Err(error) = frame {
                    tracing::debug!(event = "body_not_discarded", %error);
                    return;
                }
            }
        };
        if timeout(bounds.max_time, read).await.is_err() {
            tracing::debug!(event = "body_not_discarded", error = "too slow");
        }
        drop(guard);
    });
}

/// Reads what still comes over a connection on which nothing more is sent, up to its end or the
/// bounds.
pub async fn drain(connection: impl AsyncRead + Unpin, bounds: Bounds) {
    let mut rest = connection.take(u64::try_from(bounds.max_bytes).unwrap_or(u64::MAX));
    match timeout(bounds.max_time, copy(&mut rest, &mut sink())).await {
        Ok(Ok(_)) => {}
        Ok(Err(error)) => tracing::debug!(event = "connection_not_drained", %error),
        Err(_) => tracing::debug!(event = "connection_not_drained", error = "too slow"),
    }
}
