//! Confines a panic to the request in which it occurs.

use std::{any::Any, panic::AssertUnwindSafe, sync::Arc};

use bytes::Bytes;
use futures_util::{FutureExt as _, Stream, StreamExt as _};

use crate::body::Truncated;

/// Returns the output of a request's future, or `None` if it panics.
pub async fn catch<T>(id: &str, future: impl Future<Output = T>) -> Option<T> {
    let output = AssertUnwindSafe(future).catch_unwind().await;
    output.inspect_err(|panic| log(id, &**panic)).ok()
}

/// Returns a response body that breaks off if it panics.
pub fn catch_stream(
    id: Arc<str>,
    stream: impl Stream<Item = Result<Bytes, Truncated>>,
) -> impl Stream<Item = Result<Bytes, Truncated>> {
    AssertUnwindSafe(stream).catch_unwind().map(move |item| match item {
        Ok(item) => item,
        Err(panic) => {
            log(&id, &*panic);
            Err(Truncated)
        }
    })
}

fn log(id: &str, panic: &(dyn Any + Send)) {
    let text = panic.downcast_ref::<&str>().copied();
    let text = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    tracing::error!(event = "request_panicked", id, reason = text.unwrap_or("unknown"));
}
