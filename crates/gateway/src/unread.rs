//! Reads the rest of the body of a request that is refused.
//!
//! The caller is still sending it, and may read the refusal only afterwards. Were the connection
//! closed with bytes unread, the kernel would answer them with a reset, which may discard the
//! refusal too.

use std::{rc::Rc, sync::Arc, time::Duration};

use http_body_util::{BodyExt as _, Limited};
use hyper::body::{Body as _, Incoming};
use tokio::{
    io::{AsyncRead, AsyncReadExt as _, copy, sink},
    task::spawn_local,
    time::timeout,
};

use crate::{catalog::Limits, connection::Guard};

/// Longest time for which the rest of a body is read if the host has no capacity for it.
const SHORT_MAX_TIME: Duration = Duration::from_millis(500);

/// Multiple of the largest body allowed up to which the rest of a body is read.
const MAX_BODIES: usize = 2;

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
    /// them if the host has the capacity.
    pub fn new(limits: &Limits, has_capacity: bool) -> Self {
        let max_time = match has_capacity {
            true => limits.read_timeout,
            false => SHORT_MAX_TIME.min(limits.read_timeout),
        };
        Self { max_time, max_bytes: limits.max_body_bytes.saturating_mul(MAX_BODIES) }
    }
}

/// Reads the rest of a body in the background; the request is in progress until then. The
/// connection is closed if the rest exceeds the bounds; the line in the log names the request.
pub fn discard(id: Option<Arc<str>>, body: Incoming, bounds: Bounds, guard: Rc<Guard>) {
    if body.is_end_stream() {
        return;
    }
    guard.begin_discard();
    spawn_local(async move {
        let mut rest = Limited::new(body, bounds.max_bytes);
        let read = async {
            while let Some(frame) = rest.frame().await {
                if let Err(error) = frame {
                    tracing::info!(event = "body_not_read", id = id.as_deref(), %error);
                    return;
                }
            }
        };
        if timeout(bounds.max_time, read).await.is_err() {
            tracing::info!(event = "body_not_read", id = id.as_deref(), error = "too slow");
        }
        guard.drop_and_wake();
    });
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
