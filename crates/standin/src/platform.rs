//! Stand-in for the platform: table, object store, list of hosts and weight store.

mod hosts;
mod table;
mod weights;

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::StatusCode;

use serde::{Deserialize, Serialize};

pub use self::{
    hosts::{Host, State as HostState},
    table::Counts,
};
use crate::{
    fault::Fault,
    http::{self, Answer, Call, Handle},
};

/// Settings of the stand-in platform.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address to listen on; port 0 for any free port.
    pub listen: SocketAddr,
    /// Time after which a change of a host shows in the list.
    pub host_lag: Duration,
    /// Downloads of weights that may start in a minute.
    pub weights_per_minute: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            host_lag: Duration::from_secs(1),
            weights_per_minute: 60,
        }
    }
}

/// Starts a stand-in platform.
///
/// # Errors
///
/// Returns an error where the address can't be bound.
pub fn spawn(settings: Settings) -> io::Result<Handle> {
    let state = State {
        table: table::Table::default(),
        objects: BTreeMap::new(),
        hosts: hosts::Hosts::new(settings.host_lag),
        weights: weights::Store::new(settings.weights_per_minute),
        fault: Fault::default(),
    };
    http::spawn(settings.listen, Platform { state: Mutex::new(state) })
}

/// Kind of a fault.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Serves as it should.
    #[default]
    Up,
    /// Answers 503 to everything and does nothing.
    Down,
    /// Waits before it serves a request.
    Slow,
    /// Never answers, and does nothing.
    Hang,
    /// Decides on commits and closes the connection without an answer.
    LoseAnswers,
}

#[derive(Debug)]
struct Platform {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    table: table::Table,
    objects: BTreeMap<String, Bytes>,
    hosts: hosts::Hosts,
    weights: weights::Store,
    fault: Fault<Kind>,
}

impl http::Service for Platform {
    async fn call(self: Arc<Self>, call: Call) -> Answer {
        if call.path.starts_with("/control/") {
            return self.control(&call);
        }
        let fault = self.state().fault.clone();
        match fault.kind {
            Kind::Down => return Answer::error(StatusCode::SERVICE_UNAVAILABLE, "down"),
            Kind::Hang => return Answer::Hang,
            Kind::Slow => tokio::time::sleep(Duration::from_millis(fault.ms)).await,
            Kind::Up | Kind::LoseAnswers => {}
        }
        self.serve(&call).unwrap_or_else(|refusal| refusal)
    }
}

impl Platform {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, call: &Call) -> Result<Answer, Answer> {
        let (method, path) = call.route();
        match (method, path.as_slice()) {
            ("POST", ["table", "read"]) => {
                let ask = call.json()?;
                Ok(Answer::json(StatusCode::OK, &self.state().table.read(&ask)))
            }
            ("POST", ["table", "scan"]) => {
                let ask = call.json()?;
                Ok(Answer::json(StatusCode::OK, &self.state().table.scan(&ask)))
            }
            ("POST", ["table", "changes"]) => {
                let ask = call.json()?;
                Ok(Answer::json(StatusCode::OK, &self.state().table.changes(&ask)))
            }
            ("POST", ["table", "commit"]) => self.commit(call),
            ("PUT", ["objects", name @ ..]) => {
                self.state().objects.insert(name.join("/"), call.body.clone());
                Ok(Answer::status(StatusCode::NO_CONTENT))
            }
            ("GET", ["objects", name @ ..]) => Ok(self.object(&name.join("/"))),
            ("GET", ["hosts"]) => {
                Ok(Answer::json(StatusCode::OK, &self.state().hosts.list(Instant::now())))
            }
            ("GET", ["weights", model]) => Ok(self.weights(model)),
            _ => Err(Answer::not_found()),
        }
    }

    fn commit(&self, call: &Call) -> Result<Answer, Answer> {
        let txn = call.json()?;
        table::validate(&txn).map_err(|error| Answer::error(StatusCode::BAD_REQUEST, error))?;
        let mut state = self.state();
        let answer = match state.table.commit(&txn) {
            Ok(committed) => Answer::json(StatusCode::OK, &committed),
            Err(conflict) => Answer::json(StatusCode::CONFLICT, &conflict),
        };
        if state.fault.kind == Kind::LoseAnswers && state.fault.take() == Kind::LoseAnswers {
            return Ok(Answer::Close);
        }
        Ok(answer)
    }

    fn object(&self, name: &str) -> Answer {
        match self.state().objects.get(name) {
            Some(bytes) => Answer::bytes(StatusCode::OK, bytes.clone()),
            None => Answer::error(StatusCode::NOT_FOUND, "object"),
        }
    }

    fn weights(&self, model: &str) -> Answer {
        match self.state().weights.start(Instant::now()) {
            Ok(()) => Answer::bytes(StatusCode::OK, Bytes::from(format!("weights of {model}\n"))),
            Err(wait) => Answer::too_many("rate", wait),
        }
    }

    fn control(&self, call: &Call) -> Answer {
        let (method, path) = call.route();
        let done = match (method, path.as_slice()) {
            ("POST", ["control", "hosts"]) => {
                call.json().map(|host| self.state().hosts.set(host, Instant::now()))
            }
            ("POST", ["control", "fault"]) => call.json().map(|fault| self.state().fault = fault),
            ("GET", ["control", "counts"]) => {
                return Answer::json(StatusCode::OK, self.state().table.counts());
            }
            _ => Err(Answer::not_found()),
        };
        match done {
            Ok(()) => Answer::status(StatusCode::NO_CONTENT),
            Err(refusal) => refusal,
        }
    }
}
