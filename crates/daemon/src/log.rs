//! Structured logs: one line of key=value pairs for each event, on standard error.

use eyre::WrapErr as _;
use tracing_subscriber::{EnvFilter, layer::SubscriberExt as _, util::SubscriberInitExt as _};

/// Starts the process's log.
///
/// # Errors
///
/// Returns an error if the filter can't be parsed or a log is already running.
pub fn open(filter: &str) -> eyre::Result<()> {
    let filter = EnvFilter::try_new(filter).wrap_err("step=log filter")?;
    let lines = tracing_logfmt::builder().with_target(false).layer();
    tracing_subscriber::registry()
        .with(filter)
        .with(lines.with_writer(std::io::stderr))
        .try_init()
        .wrap_err("step=log")
}
