//! Requests to back ends over HTTP.

use std::{
    io::{self, Read as _},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    time::Duration,
};

use coordination::host::event::Report;
use oxhttp::{
    Client,
    model::{Body, Method, Request, Response, header},
};

/// Longest wait for a connection, in milliseconds.
const CONNECT_MS: u64 = 1_000;

/// Largest document that a back end says of itself or of a stream, in bytes.
pub(crate) const MAX_DOCUMENT_BYTES: u64 = 1024 * 1024;

pub(super) fn failed(cause: impl Into<Arc<str>>) -> Report {
    Report::Failed { unsent: false, cause: cause.into() }
}

pub(super) fn unsent(cause: impl Into<Arc<str>>) -> Report {
    Report::Failed { unsent: true, cause: cause.into() }
}

/// Proves by a connection of its own that the back end can be reached; a failure proves that
/// nothing of the request went out.
pub(super) fn probe(address: &str) -> Result<(), Report> {
    connect(address).map(drop).map_err(|error| unsent(error.to_string()))
}

pub(super) fn connect(address: &str) -> io::Result<TcpStream> {
    let authority = address.strip_prefix("http://").unwrap_or(address);
    let authority: SocketAddr = authority
        .parse()
        .map_err(|_| io::Error::new(io::ErrorKind::InvalidInput, "not an ip:port address"))?;
    TcpStream::connect_timeout(&authority, Duration::from_millis(CONNECT_MS))
}

pub(crate) fn client(timeout: Duration) -> Client {
    Client::new().with_global_timeout(timeout)
}

pub(super) fn build(method: Method, uri: &str) -> oxhttp::model::request::Builder {
    Request::builder().method(method).uri(uri).header(header::CONTENT_TYPE, "application/json")
}

pub(super) fn is_chunked(response: &Response<Body>) -> bool {
    response.headers().contains_key(header::TRANSFER_ENCODING)
}

/// Reads a whole body of at most `limit` bytes.
pub(crate) fn read(response: Response<Body>, limit: u64) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    let read = response.into_body().take(limit + 1).read_to_end(&mut body).ok()?;
    (read as u64 <= limit).then_some(body)
}
