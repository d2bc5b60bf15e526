//! Answers operators: status and timeline for the tool, metrics and health for scraping.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::Duration,
};

use coordination::timeline;
use crossbeam::channel::Sender;
use eyre::WrapErr as _;
use oxhttp::{
    ListeningServer, Server,
    model::{Body, Method, Request, Response, StatusCode, header},
};
use wire::operator::{Responder, Status};

use crate::{
    driver::{Inbound, Timeline, ask},
    metrics::Metrics,
};

/// Longest wait for the core's answer.
const CORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait for a scraper's request.
const SCRAPE_TIMEOUT: Duration = Duration::from_secs(10);

/// Ports tried where the address leaves the choice open.
const BIND_TRIES: u32 = 16;

/// Scrapers served at once.
const MAX_SCRAPERS: usize = 8;

/// Answers the tool's questions on behalf of the core.
#[derive(Debug)]
pub struct Desk {
    core: Sender<Inbound>,
    timeline: Arc<Timeline>,
}

impl Desk {
    /// Returns a desk that asks `core`.
    pub fn new(core: Sender<Inbound>, timeline: Arc<Timeline>) -> Self {
        Self { core, timeline }
    }
}

impl Responder for Desk {
    fn authorise(&self, token: &str) -> bool {
        let token: Arc<str> = token.into();
        ask(&self.core, |answer| Inbound::Authorise { token, answer }, CORE_TIMEOUT)
            .unwrap_or(false)
    }

    fn status(&self) -> Option<Status> {
        ask(&self.core, Inbound::Status, CORE_TIMEOUT)
    }

    fn timeline(&self, query: &timeline::Query) -> Option<Vec<timeline::Event>> {
        Some(self.timeline.read(|ring| ring.query(query)))
    }
}

/// A bound server of metrics and health.
pub struct Scraping {
    address: SocketAddr,
    server: ListeningServer,
}

impl Scraping {
    /// Binds the operators' address and starts to serve.
    ///
    /// The server's library tells no port that it was given, so one is chosen here where the
    /// address has none, and another where it was taken meanwhile.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn bind(address: SocketAddr, metrics: &Arc<Metrics>) -> eyre::Result<Self> {
        let mut tries = 1;
        loop {
            let chosen = choose(address)?;
            match listen(chosen, metrics.clone()) {
                Ok(server) => return Ok(Self { address: chosen, server }),
                Err(_) if address.port() == 0 && tries < BIND_TRIES => tries += 1,
                Err(error) => {
                    let context = format!("step=bind peer={address} operators' address");
                    return Err(error).wrap_err(context);
                }
            }
        }
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until the process ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the server stops.
    pub fn run(self) -> eyre::Result<()> {
        self.server.join().wrap_err("step=serve operators")
    }
}

/// Returns the address, with a free port where it has none.
fn choose(address: SocketAddr) -> eyre::Result<SocketAddr> {
    if address.port() != 0 {
        return Ok(address);
    }
    let listener = TcpListener::bind(address)
        .wrap_err_with(|| format!("step=bind peer={address} operators' address"))?;
    Ok(listener.local_addr()?)
}

fn listen(address: SocketAddr, metrics: Arc<Metrics>) -> io::Result<ListeningServer> {
    Server::new(move |request| answer(request, &metrics))
        .bind(address)
        .with_global_timeout(SCRAPE_TIMEOUT)
        .with_max_concurrent_connections(MAX_SCRAPERS)
        .spawn()
}

fn answer(request: &mut Request<Body>, metrics: &Metrics) -> Response<Body> {
    if request.method() != Method::GET {
        return status(StatusCode::METHOD_NOT_ALLOWED);
    }
    match request.uri().path() {
        "/metrics" => match metrics.encode() {
            Ok(text) => Response::builder()
                .header(header::CONTENT_TYPE, "text/plain; version=0.0.4")
                .body(Body::from(text))
                .unwrap_or_else(|_| status(StatusCode::INTERNAL_SERVER_ERROR)),
            Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
        },
        "/healthz" if metrics.is_ready() => status(StatusCode::OK),
        "/healthz" => status(StatusCode::SERVICE_UNAVAILABLE),
        _ => status(StatusCode::NOT_FOUND),
    }
}

fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}
