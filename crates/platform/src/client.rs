//! Blocking HTTP client.

use std::{
    io::{self, Read as _},
    net::SocketAddr,
    time::Duration,
};

use coordination::table::{Op, Outcome, Row, Txn};
use oxhttp::model::{
    Body, HeaderMap, Method, Request, Response, StatusCode,
    header::{CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER, TRANSFER_ENCODING},
};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    document::{
        ChangesRequest, ChangesResponse, CommitResponse, ConflictResponse, Host, HostsResponse,
        ReadRequest, RowsResponse, ScanRequest,
    },
    error::{Cause, Error, Step},
};

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: u64 = 64 * 1024 * 1024;

/// Delay before a retry if the weight store is busy and sends no usable `Retry-After`.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Client for the platform. Opens a new connection for each request.
pub struct Client {
    peer: SocketAddr,
    http: oxhttp::Client,
}

/// Response of the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weights {
    /// The weight store sends the weights.
    Started,
    /// The rate limit is exhausted; retry after this time.
    Busy(Duration),
}

/// A response with its complete body.
#[derive(Debug)]
struct BufferedResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Vec<u8>,
}

impl Client {
    /// Creates a client for the platform at `address`.
    ///
    /// The timeout applies to each step of a request separately: connecting, sending, and every wait
    /// for bytes of the response.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { peer: address, http: oxhttp::Client::new().with_global_timeout(timeout) }
    }

    /// Sends a request to the table and returns its outcome.
    ///
    /// A failed read is always [`Outcome::Unavailable`], because reads have no effect. A failed
    /// commit is [`Outcome::Unavailable`] only if it is certain to have had no effect, otherwise
    /// [`Outcome::Unknown`].
    pub fn run(&self, op: &Op) -> Outcome {
        let outcome = match op {
            Op::Read(keys) => self.read(keys),
            Op::Scan { prefix, after, limit } => self.read_rows(
                Step::Scan,
                "/table/scan",
                &ScanRequest { prefix, after, limit: *limit },
            ),
            Op::Changes { prefix, after, limit } => {
                self.changes(&ChangesRequest { prefix, after: *after, limit: *limit })
            }
            Op::Commit(txn) => self.commit(txn),
        };
        outcome.unwrap_or_else(|error| {
            tracing::warn!(step = %error.step, peer = %error.peer, error = %error.cause);
            match op {
                Op::Commit(_) if !error.cause.had_no_effect() => Outcome::Unknown,
                _ => Outcome::Unavailable,
            }
        })
    }

    /// Returns the platform's host list.
    ///
    /// # Errors
    ///
    /// Returns an error if the request fails or the response doesn't conform to the platform's
    /// interface.
    pub fn hosts(&self) -> Result<Vec<Host>, Error> {
        let step = Step::Hosts;
        let response = self.get(step, "/hosts")?;
        let hosts: HostsResponse =
            self.parse_json(step, &self.expect_status(step, response, StatusCode::OK)?)?;
        Ok(hosts.hosts)
    }

    /// Stores an object, replacing any existing object of the same name.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform doesn't confirm the request; the object may have been stored
    /// all the same.
    pub fn put_object(&self, name: &str, bytes: impl Into<Vec<u8>>) -> Result<(), Error> {
        let step = Step::PutObject;
        let body = Body::from(bytes.into());
        let response = self.request(step, Method::PUT, &format!("/objects/{name}"), body)?;
        self.expect_status(step, response, StatusCode::NO_CONTENT).map(drop)
    }

    /// Returns an object, or `None` if no object has that name.
    ///
    /// # Errors
    ///
    /// Returns an error if the request fails or the response doesn't conform to the platform's
    /// interface.
    pub fn get_object(&self, name: &str) -> Result<Option<Vec<u8>>, Error> {
        let step = Step::GetObject;
        let response = self.get(step, &format!("/objects/{name}"))?;
        if response.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        self.expect_status(step, response, StatusCode::OK).map(|response| Some(response.body))
    }

    /// Asks the weight store to start sending the weights of a model.
    ///
    /// # Errors
    ///
    /// Returns an error if the request fails or the response doesn't conform to the platform's
    /// interface.
    pub fn request_weights(&self, model: &str) -> Result<Weights, Error> {
        let step = Step::Weights;
        let response = self.get(step, &format!("/weights/{model}"))?;
        if response.status == StatusCode::TOO_MANY_REQUESTS {
            return Ok(Weights::Busy(parse_retry_after(&response.headers)));
        }
        self.expect_status(step, response, StatusCode::OK).map(|_| Weights::Started)
    }

    fn read(&self, keys: &[std::sync::Arc<str>]) -> Result<Outcome, Error> {
        let step = Step::Read;
        let rows: RowsResponse = self.post_to_table(step, "/table/read", &ReadRequest { keys })?;
        let has_requested_keys = rows.rows.iter().map(|row| &row.key).eq(keys);
        if !has_requested_keys {
            return Err(self.malformed_error(step, "rows for other keys"));
        }
        Ok(Outcome::Rows(rows.rows))
    }

    fn read_rows(
        &self,
        step: Step,
        path: &str,
        request: &impl Serialize,
    ) -> Result<Outcome, Error> {
        let rows: RowsResponse = self.post_to_table(step, path, request)?;
        Ok(Outcome::Rows(rows.rows))
    }

    fn changes(&self, request: &ChangesRequest<'_>) -> Result<Outcome, Error> {
        let step = Step::Changes;
        let ChangesResponse { rows, through } =
            self.post_to_table(step, "/table/changes", request)?;
        let is_in_range = |row: &Row| request.after < row.revision && row.revision <= through;
        if through < request.after || !rows.iter().all(is_in_range) {
            return Err(self.malformed_error(step, "revisions out of range"));
        }
        Ok(Outcome::Changes { rows, through })
    }

    fn commit(&self, txn: &Txn) -> Result<Outcome, Error> {
        let step = Step::Commit;
        let response = self.post(step, "/table/commit", txn)?;
        if response.status == StatusCode::CONFLICT {
            let conflict: ConflictResponse = self.parse_json(step, &response)?;
            return Ok(Outcome::Conflict(conflict.conflict));
        }
        let response = self.expect_status(step, response, StatusCode::OK)?;
        let committed: CommitResponse = self.parse_json(step, &response)?;
        Ok(Outcome::Committed(committed.committed))
    }

    fn post_to_table<T: DeserializeOwned>(
        &self,
        step: Step,
        path: &str,
        request: &impl Serialize,
    ) -> Result<T, Error> {
        let response = self.post(step, path, request)?;
        self.parse_json(step, &self.expect_status(step, response, StatusCode::OK)?)
    }

    fn get(&self, step: Step, path: &str) -> Result<BufferedResponse, Error> {
        self.request(step, Method::GET, path, Body::empty())
    }

    fn post(
        &self,
        step: Step,
        path: &str,
        body: &impl Serialize,
    ) -> Result<BufferedResponse, Error> {
        let bytes = serde_json::to_vec(body)
            .map_err(|error| self.error(step, Cause::Request(error.to_string())))?;
        self.request(step, Method::POST, path, Body::from(bytes))
    }

    fn request(
        &self,
        step: Step,
        method: Method,
        path: &str,
        body: Body,
    ) -> Result<BufferedResponse, Error> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.peer))
            .header(CONTENT_TYPE, "application/json")
            .body(body)
            .map_err(|error| self.error(step, Cause::Request(error.to_string())))?;
        let response = self
            .http
            .request(request)
            .map_err(|error| self.error(step, classify_io_error(error)))?;
        read_response(response).map_err(|cause| self.error(step, cause))
    }

    fn expect_status(
        &self,
        step: Step,
        response: BufferedResponse,
        status: StatusCode,
    ) -> Result<BufferedResponse, Error> {
        if response.status != status {
            return Err(self.error(step, Cause::Status(response.status.as_u16())));
        }
        Ok(response)
    }

    fn parse_json<T: DeserializeOwned>(
        &self,
        step: Step,
        response: &BufferedResponse,
    ) -> Result<T, Error> {
        serde_json::from_slice(&response.body)
            .map_err(|error| self.malformed_error(step, &error.to_string()))
    }

    fn malformed_error(&self, step: Step, reason: &str) -> Error {
        self.error(step, Cause::Malformed(reason.to_owned()))
    }

    fn error(&self, step: Step, cause: Cause) -> Error {
        Error { step, peer: self.peer, cause }
    }
}

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Client").field("peer", &self.peer).finish_non_exhaustive()
    }
}

/// Classifies an I/O error, separating errors that occur before anything is sent from all others.
fn classify_io_error(error: io::Error) -> Cause {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => Cause::Refused,
        io::ErrorKind::InvalidInput => Cause::Request(error.to_string()),
        _ => Cause::Connection(error),
    }
}

/// Reads a complete response. Rejects a response without a length, because its body would read as
/// empty.
fn read_response(response: Response<Body>) -> Result<BufferedResponse, Cause> {
    let (parts, body) = response.into_parts();
    let headers = parts.headers;
    let has_length =
        headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    match parts.status {
        StatusCode::NO_CONTENT => {}
        StatusCode::SERVICE_UNAVAILABLE => return Err(Cause::Status(parts.status.as_u16())),
        _ if !has_length => return Err(Cause::NoLength),
        _ => {}
    }
    let mut bytes = Vec::new();
    body.take(MAX_RESPONSE_BYTES + 1).read_to_end(&mut bytes).map_err(Cause::Connection)?;
    if bytes.len() as u64 > MAX_RESPONSE_BYTES {
        return Err(Cause::TooLong(MAX_RESPONSE_BYTES));
    }
    Ok(BufferedResponse { status: parts.status, headers, body: bytes })
}

fn parse_retry_after(headers: &HeaderMap) -> Duration {
    let seconds = headers.get(RETRY_AFTER).and_then(|value| value.to_str().ok()?.parse().ok());
    seconds.map_or(DEFAULT_RETRY_AFTER, Duration::from_secs)
}
