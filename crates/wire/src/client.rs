//! Asks a host for its status and timeline.

use std::{net::SocketAddr, time::Duration};

use coordination::timeline;
use eyre::{Report, Result, WrapErr, eyre};

use crate::{
    laburnum::{Denied, THostSyncClient},
    link::Connection,
    operator::Status,
};

/// Asks a host for its status.
///
/// # Errors
///
/// Returns an error when the host can't be reached in time, answers wrongly or refuses the token.
pub fn status(address: SocketAddr, token: &str, timeout: Duration) -> Result<Status> {
    let mut connection = Connection::open(address, timeout)?;
    let status = connection.client.status(token.to_owned()).map_err(reason);
    status.map(Status::from).wrap_err_with(|| format!("step=status peer={address}"))
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
    let mut connection = Connection::open(address, timeout)?;
    let step = || format!("step=timeline peer={address}");
    let events = connection.client.timeline(token.to_owned(), query.into()).map_err(reason);
    let events = events.wrap_err_with(step)?.into_iter().map(timeline::Event::try_from);
    events.collect::<Result<Vec<_>, _>>().wrap_err_with(step)
}

/// Returns the error with the reason that the host gave.
fn reason(error: thrift::Error) -> Report {
    let thrift::Error::User(user) = &error else { return error.into() };
    match user.downcast_ref::<Denied>() {
        Some(denied) => eyre!("{}", denied.reason),
        None => error.into(),
    }
}
