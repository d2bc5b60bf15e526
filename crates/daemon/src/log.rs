//! Structured logs: one line of key=value pairs for each event, on standard error.

use std::{
    io::{self, Write},
    sync::Arc,
};

use eyre::WrapErr as _;
use tracing_subscriber::{
    EnvFilter, fmt::MakeWriter, layer::SubscriberExt as _, util::SubscriberInitExt as _,
};

/// Starts the process's log; each line names the host and its zone.
///
/// # Errors
///
/// Returns an error if the filter can't be parsed or a log is already running.
pub fn open(filter: &str, host: &str, zone: &str) -> eyre::Result<()> {
    let filter = EnvFilter::try_new(filter).wrap_err("step=log filter")?;
    let lines = Lines { start: format!("host={host} zone={zone} ").into() };
    let layer = tracing_logfmt::builder().with_target(false).layer().with_writer(lines);
    tracing_subscriber::registry().with(filter).with(layer).try_init().wrap_err("step=log")
}

/// Starts each line on standard error with the same text.
#[derive(Debug, Clone)]
struct Lines {
    start: Arc<str>,
}

impl<'a> MakeWriter<'a> for Lines {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}

impl Write for Lines {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut whole = Vec::with_capacity(self.start.len() + line.len());
        whole.extend_from_slice(self.start.as_bytes());
        whole.extend_from_slice(line);
        io::stderr().lock().write_all(&whole)?;
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        io::stderr().flush()
    }
}
