//! What a platform brings: how requests and answers are written, and where state is kept.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use coordination::table::{Op, Outcome};
use http_body_util::Full;
use hyper::{HeaderMap, Response, http::request, http::response};

use crate::{
    backend::{Entry, Load},
    catalog::Catalog,
    request::{Call, Refusal},
};

/// A send of a request to one backend server.
#[derive(Debug)]
pub struct Dispatch<'a> {
    /// Id of the backend server; another one must not run the request.
    pub to: &'a str,
    /// Time that is left for it.
    pub time_left: Duration,
    /// Workspace that the request is for.
    pub workspace: Option<&'a str>,
    /// Urgency; 0 is the most urgent.
    pub priority: u8,
    /// Last event that the caller has of the stream.
    pub resume_after: Option<u64>,
    /// Length of the body in bytes.
    pub body_bytes: usize,
}

/// What the head of a backend server's answer tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// Id of the request that it answers.
    pub id: Option<Arc<str>>,
    /// It states that the request did not run.
    pub not_run: bool,
    /// It bears the mark of an answer that the backend server stands for, in a form to pass on.
    pub authentic: bool,
    /// Load of the backend server.
    pub load: Option<Load>,
    /// How long the backend server keeps an idle connection.
    pub keep_alive: Option<Duration>,
}

/// How requests and answers are written on a platform.
pub trait Dialect: 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Names what can't be read.
    fn parse_request(&self, head: &request::Parts) -> Result<Call, &'static str>;

    /// Returns the headers of a request as they go to a backend server.
    fn forwarded_headers(&self, head: &request::Parts, dispatch: &Dispatch<'_>) -> HeaderMap;

    /// Reads the head of a backend server's answer.
    fn parse_response(&self, head: &response::Parts) -> Reply;

    /// Writes a refusal.
    fn refusal_response(&self, call: Option<&Call>, refusal: Refusal) -> Response<Full<Bytes>>;
}

/// Nothing could be read.
#[derive(Debug, thiserror::Error)]
#[error("step={step} peer={peer}: {cause}")]
pub struct Unavailable {
    /// What was being done.
    pub step: &'static str,
    /// The platform's address.
    pub peer: SocketAddr,
    /// What went wrong.
    pub cause: String,
}

/// Where the platform keeps the configuration, the list of backend servers and the table.
pub trait Source: 'static {
    /// Returns the configuration where it is newer than the version that is known.
    fn catalog(
        &self,
        known: Option<u64>,
    ) -> impl Future<Output = Result<Option<Catalog>, Unavailable>>;

    /// Returns all backend servers that can be used.
    fn backends(&self) -> impl Future<Output = Result<Vec<Entry>, Unavailable>>;

    /// Returns the platform's steady clock in milliseconds, as far as its answers tell; it may be
    /// later already, never earlier. After an answer it isn't before the call.
    fn clock_ms(&self) -> Option<u64>;

    /// Runs a request to the table; all keys of a transaction have the same second segment.
    fn table(&self, op: &Op) -> impl Future<Output = Outcome>;
}
