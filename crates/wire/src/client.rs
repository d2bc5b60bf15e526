//! Asks a host for its status and timeline.

use std::{net::SocketAddr, time::Duration};

use coordination::timeline;
use eyre::{Result, bail};

use crate::operator::Status;

/// Asks a host for its status.
///
/// # Errors
///
/// Returns an error when the host can't be reached in time, answers wrongly or refuses the token.
pub fn status(address: SocketAddr, token: &str, timeout: Duration) -> Result<Status> {
    let _ = (token, timeout);
    bail!("step=status peer={address}: not supported")
}

/// Asks a host for events of its timeline.
///
/// # Errors
///
/// Returns an error when the host can't be reached in time, answers wrongly or refuses the token.
pub fn timeline(
    address: SocketAddr,
    token: &str,
    query: &timeline::Query,
    timeout: Duration,
) -> Result<Vec<timeline::Event>> {
    let _ = (token, query, timeout);
    bail!("step=timeline peer={address}: not supported")
}
