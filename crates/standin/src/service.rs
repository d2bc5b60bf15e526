//! Stand-in for a plain service that keeps no idempotency keys.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};

use crate::{
    fault::Fault,
    http::{self, Answer, Call, Handle},
};

/// Settings of the stand-in service.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address to listen on; port 0 for any free port.
    pub listen: SocketAddr,
    /// Time that a call takes.
    pub work: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self { listen: SocketAddr::from(([127, 0, 0, 1], 0)), work: Duration::ZERO }
    }
}

/// Starts a stand-in service.
///
/// # Errors
///
/// Returns an error where the address can't be bound.
pub fn spawn(settings: Settings) -> io::Result<Handle> {
    let service = Plain { work: settings.work, state: Mutex::default() };
    http::spawn(settings.listen, service)
}

/// Kind of a fault.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Serves as it should.
    #[default]
    None,
    /// Runs the call and closes the connection without an answer.
    DropAnswer,
    /// Runs the call and never answers.
    Stall,
    /// Runs the call and answers with neither length nor chunks.
    NoLength,
    /// Runs the call and answers with an empty body.
    Empty,
    /// Runs the call and answers with the first half of the body, of which the length is stated.
    Half,
    /// Answers 503 and doesn't run the call.
    Refuse,
}

/// Counts since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Runs of each request.
    pub runs: BTreeMap<String, u64>,
}

#[derive(Debug)]
struct Plain {
    work: Duration,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    fault: Fault<Kind>,
    counts: Counts,
}

#[derive(Debug, Serialize)]
struct Receipt<'a> {
    service: &'a str,
    request: &'a str,
    run: u64,
    body: serde_json::Value,
}

impl http::Service for Plain {
    async fn call(self: Arc<Self>, call: Call) -> Answer {
        let (method, path) = call.route();
        match (method, path.as_slice()) {
            ("POST", ["call", name]) => {
                self.run_call(name, &call).await.unwrap_or_else(|refusal| refusal)
            }
            ("POST", ["control", "fault"]) => match call.json() {
                Ok(fault) => {
                    self.state().fault = fault;
                    Answer::status(StatusCode::NO_CONTENT)
                }
                Err(refusal) => refusal,
            },
            ("GET", ["control", "counts"]) => Answer::json(StatusCode::OK, &self.state().counts),
            _ => Answer::not_found(),
        }
    }
}

impl Plain {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn run_call(&self, name: &str, call: &Call) -> Result<Answer, Answer> {
        let fault = self.state().fault.take();
        if fault == Kind::Refuse {
            return Err(Answer::error(StatusCode::SERVICE_UNAVAILABLE, "refused"));
        }
        let body = call.json()?;
        let request = call.header("x-request-id");
        let run = self.state().counts.add(request);
        if !self.work.is_zero() {
            tokio::time::sleep(self.work).await;
        }
        let receipt = Receipt { service: name, request, run, body };
        match fault {
            Kind::None | Kind::Refuse => Ok(Answer::json(StatusCode::OK, &receipt)),
            Kind::DropAnswer => Ok(Answer::Close),
            Kind::Stall => Ok(Answer::Hang),
            Kind::NoLength => Ok(Answer::NoLength(json_bytes(&receipt))),
            Kind::Empty => Ok(Answer::bytes(StatusCode::OK, Bytes::new())),
            Kind::Half => {
                let bytes = json_bytes(&receipt);
                Ok(Answer::bytes(StatusCode::OK, bytes.slice(..bytes.len() / 2)))
            }
        }
    }
}

fn json_bytes(receipt: &Receipt<'_>) -> Bytes {
    Bytes::from(serde_json::to_vec(receipt).unwrap_or_default())
}

impl Counts {
    fn add(&mut self, request: &str) -> u64 {
        let runs = self.runs.entry(request.to_owned()).or_default();
        *runs += 1;
        *runs
    }
}
