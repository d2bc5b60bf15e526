//! Blocking client.

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
    document::{Changed, Changes, Committed, Conflict, Host, Hosts, Read, Rows, Scan},
    error::{Cause, Error, Step},
};

/// Greatest number of bytes of an answer.
const ANSWER_BYTES: u64 = 64 * 1024 * 1024;

/// Wait where the weight store refuses without saying for how long.
const WEIGHTS_RETRY: Duration = Duration::from_secs(1);

/// Client for the platform; each request has a connection of its own.
pub struct Client {
    peer: SocketAddr,
    http: oxhttp::Client,
}

/// Answer of the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weights {
    /// The store sends the weights.
    Started,
    /// The store is over its rate; to be asked again after this time.
    Busy(Duration),
}

/// A whole answer.
#[derive(Debug)]
struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: Vec<u8>,
}

impl Client {
    /// Returns a client for the platform at an address.
    ///
    /// The timeout bounds each step of a request: connecting, sending and every wait for bytes.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { peer: address, http: oxhttp::Client::new().with_global_timeout(timeout) }
    }

    /// Runs a request to the table.
    ///
    /// A read that fails has no effect, so that it is always [`Outcome::Unavailable`]. A commit is
    /// [`Outcome::Unavailable`] only where it certainly had no effect.
    pub fn run(&self, op: &Op) -> Outcome {
        let outcome = match op {
            Op::Read(keys) => self.read(keys),
            Op::Scan { prefix, after, limit } => {
                self.rows(Step::Scan, "/table/scan", &Scan { prefix, after, limit: *limit })
            }
            Op::Changes { prefix, after, limit } => {
                self.changes(&Changes { prefix, after: *after, limit: *limit })
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

    /// Returns the platform's list of hosts.
    ///
    /// # Errors
    ///
    /// Returns an error where the platform doesn't answer as its interface says.
    pub fn hosts(&self) -> Result<Vec<Host>, Error> {
        let step = Step::Hosts;
        let answer = self.get(step, "/hosts")?;
        let hosts: Hosts = self.json(step, &self.expect(step, answer, StatusCode::OK)?)?;
        Ok(hosts.hosts)
    }

    /// Stores an object in place of an older one of that name.
    ///
    /// # Errors
    ///
    /// Returns an error where the platform doesn't confirm; the object may be stored even so.
    pub fn put_object(&self, name: &str, bytes: impl Into<Vec<u8>>) -> Result<(), Error> {
        let step = Step::PutObject;
        let body = Body::from(bytes.into());
        let answer = self.request(step, Method::PUT, &format!("/objects/{name}"), body)?;
        self.expect(step, answer, StatusCode::NO_CONTENT).map(drop)
    }

    /// Returns an object, or `None` where there is none of that name.
    ///
    /// # Errors
    ///
    /// Returns an error where the platform doesn't answer as its interface says.
    pub fn get_object(&self, name: &str) -> Result<Option<Vec<u8>>, Error> {
        let step = Step::GetObject;
        let answer = self.get(step, &format!("/objects/{name}"))?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        self.expect(step, answer, StatusCode::OK).map(|answer| Some(answer.body))
    }

    /// Asks the weight store to send the weights of a model.
    ///
    /// # Errors
    ///
    /// Returns an error where the platform doesn't answer as its interface says.
    pub fn weights(&self, model: &str) -> Result<Weights, Error> {
        let step = Step::Weights;
        let answer = self.get(step, &format!("/weights/{model}"))?;
        if answer.status == StatusCode::TOO_MANY_REQUESTS {
            return Ok(Weights::Busy(retry_after(&answer.headers)));
        }
        self.expect(step, answer, StatusCode::OK).map(|_| Weights::Started)
    }

    fn read(&self, keys: &[std::sync::Arc<str>]) -> Result<Outcome, Error> {
        let step = Step::Read;
        let rows: Rows = self.table(step, "/table/read", &Read { keys })?;
        let matches = rows.rows.iter().map(|row| &row.key).eq(keys);
        if !matches {
            return Err(self.malformed(step, "rows for other keys"));
        }
        Ok(Outcome::Rows(rows.rows))
    }

    fn rows(&self, step: Step, path: &str, ask: &impl Serialize) -> Result<Outcome, Error> {
        let rows: Rows = self.table(step, path, ask)?;
        Ok(Outcome::Rows(rows.rows))
    }

    fn changes(&self, ask: &Changes<'_>) -> Result<Outcome, Error> {
        let step = Step::Changes;
        let Changed { rows, through } = self.table(step, "/table/changes", ask)?;
        let within = |row: &Row| ask.after < row.revision && row.revision <= through;
        if through < ask.after || !rows.iter().all(within) {
            return Err(self.malformed(step, "revisions out of range"));
        }
        Ok(Outcome::Changes { rows, through })
    }

    fn commit(&self, txn: &Txn) -> Result<Outcome, Error> {
        let step = Step::Commit;
        let answer = self.post(step, "/table/commit", txn)?;
        if answer.status == StatusCode::CONFLICT {
            let conflict: Conflict = self.json(step, &answer)?;
            return Ok(Outcome::Conflict(conflict.conflict));
        }
        let answer = self.expect(step, answer, StatusCode::OK)?;
        let committed: Committed = self.json(step, &answer)?;
        Ok(Outcome::Committed(committed.committed))
    }

    fn table<T: DeserializeOwned>(
        &self,
        step: Step,
        path: &str,
        ask: &impl Serialize,
    ) -> Result<T, Error> {
        let answer = self.post(step, path, ask)?;
        self.json(step, &self.expect(step, answer, StatusCode::OK)?)
    }

    fn get(&self, step: Step, path: &str) -> Result<Answer, Error> {
        self.request(step, Method::GET, path, Body::empty())
    }

    fn post(&self, step: Step, path: &str, body: &impl Serialize) -> Result<Answer, Error> {
        let bytes = serde_json::to_vec(body)
            .map_err(|error| self.error(step, Cause::Request(error.to_string())))?;
        self.request(step, Method::POST, path, Body::from(bytes))
    }

    fn request(&self, step: Step, method: Method, path: &str, body: Body) -> Result<Answer, Error> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.peer))
            .header(CONTENT_TYPE, "application/json")
            .body(body)
            .map_err(|error| self.error(step, Cause::Request(error.to_string())))?;
        let response =
            self.http.request(request).map_err(|error| self.error(step, connection(error)))?;
        receive(response).map_err(|cause| self.error(step, cause))
    }

    fn expect(&self, step: Step, answer: Answer, status: StatusCode) -> Result<Answer, Error> {
        if answer.status != status {
            return Err(self.error(step, Cause::Status(answer.status.as_u16())));
        }
        Ok(answer)
    }

    fn json<T: DeserializeOwned>(&self, step: Step, answer: &Answer) -> Result<T, Error> {
        serde_json::from_slice(&answer.body)
            .map_err(|error| self.malformed(step, &error.to_string()))
    }

    fn malformed(&self, step: Step, reason: &str) -> Error {
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

/// Tells errors that arise before anything is sent from all others.
fn connection(error: io::Error) -> Cause {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => Cause::Refused,
        io::ErrorKind::InvalidInput => Cause::Request(error.to_string()),
        _ => Cause::Connection(error),
    }
}

/// Reads a whole answer. An answer without a length would read as empty, so that it is refused.
fn receive(response: Response<Body>) -> Result<Answer, Cause> {
    let (parts, body) = response.into_parts();
    let headers = parts.headers;
    let bounded = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    match parts.status {
        StatusCode::NO_CONTENT => {}
        StatusCode::SERVICE_UNAVAILABLE => return Err(Cause::Status(parts.status.as_u16())),
        _ if !bounded => return Err(Cause::NoLength),
        _ => {}
    }
    let mut bytes = Vec::new();
    body.take(ANSWER_BYTES + 1).read_to_end(&mut bytes).map_err(Cause::Connection)?;
    if bytes.len() as u64 > ANSWER_BYTES {
        return Err(Cause::TooLong(ANSWER_BYTES));
    }
    Ok(Answer { status: parts.status, headers, body: bytes })
}

fn retry_after(headers: &HeaderMap) -> Duration {
    let seconds = headers.get(RETRY_AFTER).and_then(|value| value.to_str().ok()?.parse().ok());
    seconds.map_or(WEIGHTS_RETRY, Duration::from_secs)
}
