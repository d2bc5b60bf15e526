//! Structured logs: one line of key=value pairs for each event, on standard output.
//!
//! A separate thread writes the lines from a bounded queue; lines are dropped while the queue is
//! full, so that a reader that doesn't keep up never delays a request.

use eyre::WrapErr as _;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{EnvFilter, layer::SubscriberExt as _, util::SubscriberInitExt as _};

/// Maximum number of lines that wait to be written.
const MAX_QUEUED_LINES: usize = 4096;

/// Starts the log of this process; lines that still wait are written when the guard is dropped.
///
/// # Errors
///
/// Returns an error if the filter can't be parsed or a log is already running.
pub fn open(filter: &str) -> eyre::Result<WorkerGuard> {
    let filter = EnvFilter::try_new(filter).wrap_err("step=log filter")?;
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .finish(std::io::stdout());
    let layer = tracing_logfmt::builder().with_target(false).layer().with_writer(writer);
    tracing_subscriber::registry().with(filter).with(layer).try_init().wrap_err("step=log")?;
    Ok(guard)
}
