//! Interfaces to a platform: the protocol of requests and responses, and the place where state is
//! kept.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use coordination::table::{Op, Outcome, Revision, Row};
use http_body_util::Full;
use hyper::{HeaderMap, Response, http::request, http::response};
use tokio::time::Instant;

use crate::{
    backend::{Entry, Load},
    catalog::Catalog,
    evacuation::Listing,
    request::{Call, Refusal},
};

/// Parameters of one attempt to send a request to a backend server.
#[derive(Debug)]
pub struct Dispatch<'a> {
    /// Id of the backend server; no other one may run the request.
    pub to: &'a str,
    /// Time left until the request's deadline.
    pub time_left: Duration,
    /// Workspace that the request is for.
    pub workspace: Option<&'a str>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Id of the last event of the stream that the caller has received.
    pub resume_after: Option<u64>,
    /// Length of the body in bytes.
    pub body_bytes: usize,
}

/// Parsed head of a backend server's response.
#[derive(Debug, Clone, PartialEq)]
pub struct Reply {
    /// Id of the request that it responds to.
    pub id: Option<Arc<str>>,
    /// Whether it states that the request did not run.
    pub not_run: bool,
    /// Whether it is marked as the backend server's own response and is encoded so that it can be
    /// passed on.
    pub authentic: bool,
    /// Load of the backend server.
    pub load: Option<Load>,
    /// How long work takes now on its machine, in percent of the usual time.
    pub work_percent: Option<f64>,
    /// How long the backend server keeps an idle connection open.
    pub keep_alive: Option<Duration>,
    /// Whether the backend server states that it is leaving.
    pub leaving: bool,
    /// Time for which the backend server, which turned the request away, asks for no others.
    pub rest: Option<Duration>,
    /// Requests per second that the backend server takes from all hosts together.
    pub limit: LimitStatement,
}

/// What a response states about the rate of requests that its backend server takes from all hosts
/// together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitStatement {
    /// It names no limit.
    Absent,
    /// It names one that isn't a rate, which says nothing.
    Unreadable,
    /// It names this rate in requests per second.
    PerSecond(f64),
}

/// Protocol of the heads of requests and responses on a platform.
pub trait Dialect: 'static {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns the name of the header that can't be parsed.
    fn parse_request(&self, head: &request::Parts) -> Result<Call, &'static str>;

    /// Parses a document of the configuration.
    ///
    /// # Errors
    ///
    /// Returns a description of the fault.
    fn parse_catalog(&self, document: &[u8]) -> Result<Catalog, String>;

    /// Returns the headers with which a request is forwarded to a backend server.
    fn forwarded_headers(&self, head: &request::Parts, dispatch: &Dispatch<'_>) -> HeaderMap;

    /// Parses the head of a backend server's response.
    fn parse_response(&self, head: &response::Parts) -> Reply;

    /// Returns the names of the fields that events of a stream may have besides the standard ones.
    fn event_fields(&self) -> &'static [&'static str];

    /// Returns whether every event of a stream has an id.
    fn numbers_events(&self) -> bool;

    /// Removes the headers of a backend server's response that are meant for this host only.
    fn remove_private_headers(&self, headers: &mut HeaderMap);

    /// Returns the response that tells a caller about a refusal.
    fn refusal_response(&self, call: Option<&Call>, refusal: Refusal) -> Response<Full<Bytes>>;
}

/// Error if the platform can't be read.
#[derive(Debug, thiserror::Error)]
#[error("step={step} peer={peer}: {cause}")]
pub struct Unavailable {
    /// Operation that failed.
    pub step: &'static str,
    /// Address of the platform.
    pub peer: SocketAddr,
    /// Description of the failure.
    pub cause: String,
}

/// What was read from the platform: as it was when the read was sent, or later.
#[derive(Debug)]
pub struct Read<T> {
    /// What was read.
    pub value: T,
    /// When the read was sent that was answered.
    pub sent_at: Instant,
}

/// What a read of the configuration found.
#[derive(Debug)]
pub struct Update {
    /// Another configuration.
    pub changed: Option<Box<Catalog>>,
    /// Whether the newest one can't be parsed.
    pub is_unreadable: bool,
    /// Evacuated zones by the operator's rows, which were read with it.
    pub evacuated: Listing,
}

/// Rows that were read from the platform's table.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// Rows; one that was removed has no value.
    pub rows: Vec<Row>,
    /// Revision up to which the reader now has every change.
    pub through: Revision,
}

/// Access to the platform's configuration, list of backend servers and table.
pub trait Source: 'static {
    /// Reads the configuration if it is newer than `current_version`. Waits up to `wait` for a change
    /// of the operator's rows if they have been read before.
    fn catalog(
        &self,
        current_version: Option<u64>,
        wait: Duration,
    ) -> impl Future<Output = Result<Read<Update>, Unavailable>>;

    /// Returns whether the response to a read of the configuration is being received.
    fn is_catalog_arriving(&self) -> bool;

    /// Reads the entries of all backend servers that can be used.
    fn backends(&self) -> impl Future<Output = Result<Read<Vec<Entry>>, Unavailable>>;

    /// Returns a lower bound of the platform's monotonic clock in milliseconds, by its last answer.
    /// Right after an answer it isn't before the time of the call.
    fn clock_ms(&self) -> Option<u64>;

    /// Returns an upper bound of the same clock, by which the age of what was read is judged.
    fn latest_clock_ms(&self) -> Option<u64>;

    /// Returns the platform's monotonic clock in milliseconds when it gave its newest answer.
    fn answered_ms(&self) -> Option<u64>;

    /// Returns the era of the platform's table, by its newest answer. It rises each time that the
    /// table is restored from an older copy; revisions of different eras can't be compared.
    fn era(&self) -> u64;

    /// Returns the era that the first answer to this process has stated, or the current one if none
    /// has stated any.
    fn first_era(&self) -> u64;

    /// Returns the rows under a prefix of one or two segments that changed after a revision, or all
    /// of them. Waits up to `wait` for a change. Returns `None` if the history of changes no longer
    /// reaches back to the revision.
    fn changes(
        &self,
        prefix: &str,
        after: Option<Revision>,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Changes>, Unavailable>>;

    /// Executes a request to the table; all keys of a transaction have the same second segment.
    fn table(&self, op: &Op) -> impl Future<Output = Outcome>;
}
