//! Pool of connections to backend servers.

mod socket;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap},
    error::Error as _,
    io,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use tokio::{
    net::TcpStream,
    task::{JoinHandle, spawn_local},
    time::{Instant, timeout},
};

use self::socket::{Socket, SocketState};
use crate::backend::Entry;

/// Longest time to establish a connection; TCP retransmits a lost packet only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest idle time after which a connection is used again; one that has silently failed meanwhile
/// would lose the request.
const MAX_IDLE_TIME: Duration = Duration::from_millis(2500);

/// Part of the keep-alive time that the backend server announces after which an idle connection
/// isn't used any more, in percent.
const KEEP_ALIVE_USED_PERCENT: u32 = 60;

/// Error if no connection can be established.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// This host has as many connections open as it may.
    #[error("connections used up")]
    Full,
    /// The backend server can't be reached.
    #[error("connect: {0}")]
    Connect(#[from] io::Error),
    /// The backend server didn't answer in time.
    #[error("connect: no answer")]
    Silent,
    /// The connection broke during the HTTP handshake.
    #[error("handshake: {0}")]
    Handshake(#[from] hyper::Error),
}

/// Error if no response arrives over a connection.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No byte of the request was written.
    #[error("closed before the request")]
    NotSent,
    /// The request may have arrived.
    #[error("{error}")]
    Broken {
        /// Why there is no response.
        error: hyper::Error,
        /// The first bytes that arrived, if they are those of no response.
        start: Option<String>,
    },
}

/// Guard that counts a connection as open, also while it is being established, until it is dropped.
#[derive(Debug)]
struct OpenSlot(Rc<Cell<usize>>);

impl OpenSlot {
    fn new(open: Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(open)
    }
}

impl Drop for OpenSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A connection to a backend server; closed when dropped.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    /// Whether bytes arrived that belong to no response.
    has_surplus: Rc<Cell<bool>>,
    socket: Rc<SocketState>,
    _slot: OpenSlot,
    idle_since: Instant,
    max_idle_time: Duration,
    /// Whether it was idle in the pool.
    reused: bool,
}

impl Connection {
    /// Returns whether it has carried another request before.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Returns whether bytes followed the last response that belong to none, as far as they have
    /// arrived.
    pub fn has_surplus(&self) -> bool {
        self.has_surplus.get()
    }

    /// Returns whether a request may be sent over it that needs one that was used within `max_idle`.
    fn is_usable(&self, max_idle: Duration) -> bool {
        // The rest of a request whose response came early may still be on its way.
        self.sender.is_ready() && self.idle_since.elapsed() < max_idle.min(self.max_idle_time)
    }

    /// Returns whether the end of the connection isn't that of a response, as the connection was reset
    /// or a part of the request is still to be sent.
    pub fn is_cut(&self) -> bool {
        self.socket.is_cut()
    }

    /// Sends a request and returns the head of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if no response arrives; it tells whether the request may have been
    /// received.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::NotSent);
        }
        self.socket.begin_request();
        let sent = self.sender.try_send_request(request).await;
        self.socket.finish_head();
        sent.map_err(|mut error| match error.take_message() {
            Some(_) => SendError::NotSent,
            None => {
                let error = error.into_error();
                let start = error.is_parse().then(|| self.socket.start());
                SendError::Broken { error, start }
            }
        })
    }

    /// Sets how long the backend server keeps the connection open while it is idle.
    pub fn set_keep_alive(&mut self, keep_alive: Option<Duration>) {
        self.max_idle_time = keep_alive.map_or(MAX_IDLE_TIME, |keep_alive| {
            (keep_alive * KEEP_ALIVE_USED_PERCENT / 100).min(MAX_IDLE_TIME)
        });
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

#[derive(Debug, Default)]
struct BackendConnections {
    idle: Vec<Connection>,
    open: Rc<Cell<usize>>,
}

/// Connections to all backend servers.
#[derive(Debug, Default)]
pub struct Pool {
    by_backend: RefCell<HashMap<Arc<str>, BackendConnections>>,
}

impl Pool {
    /// Returns an idle connection that was used within `max_idle`, or opens one.
    ///
    /// # Errors
    ///
    /// Returns an error if none can be established or `max_open` are open already.
    pub async fn acquire(
        &self,
        to: &Entry,
        max_open: usize,
        max_idle: Duration,
    ) -> Result<Connection, ConnectError> {
        if let Some(connection) = self.take_idle(&to.id, max_idle) {
            return Ok(connection);
        }
        let open = self.by_backend.borrow_mut().entry(to.id.clone()).or_default().open.clone();
        if open.get() >= max_open {
            return Err(ConnectError::Full);
        }
        let slot = OpenSlot::new(open);
        let result = timeout(CONNECT_TIMEOUT, connect(to)).await.map_err(|_| ConnectError::Silent);
        let Opened { sender, driver, has_surplus, socket } = result.and_then(|result| result)?;
        Ok(Connection {
            sender,
            driver,
            has_surplus,
            socket,
            _slot: slot,
            idle_since: Instant::now(),
            max_idle_time: MAX_IDLE_TIME,
            reused: false,
        })
    }

    /// Returns the backend servers to which a connection is open that was used within `max_idle`.
    pub fn connected(&self, max_idle: Duration) -> BTreeSet<Arc<str>> {
        let by_backend = self.by_backend.borrow();
        let has_idle = |connections: &BackendConnections| {
            connections.idle.iter().any(|connection| connection.is_usable(max_idle))
        };
        let connected = by_backend.iter().filter(|(_, connections)| has_idle(connections));
        connected.map(|(id, _)| id.clone()).collect()
    }

    fn take_idle(&self, id: &str, max_idle: Duration) -> Option<Connection> {
        let mut by_backend = self.by_backend.borrow_mut();
        let connections = by_backend.get_mut(id)?;
        connections.idle.retain(|connection| {
            !connection.sender.is_closed()
                && connection.idle_since.elapsed() < connection.max_idle_time
        });
        let found =
            connections.idle.iter().rposition(|connection| connection.is_usable(max_idle))?;
        Some(connections.idle.remove(found))
    }

    /// Takes back a connection whose response has been read to its end.
    pub fn release(&self, id: &str, mut connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        connection.idle_since = Instant::now();
        connection.reused = true;
        if let Some(connections) = self.by_backend.borrow_mut().get_mut(id) {
            connections.idle.push(connection);
        }
    }

    /// Closes the idle connections to a backend server that is gone or draining.
    pub fn forget(&self, id: &str) {
        self.by_backend.borrow_mut().remove(id);
    }

    /// Closes the connections that have been idle for too long.
    pub fn sweep(&self) {
        for connections in self.by_backend.borrow_mut().values_mut() {
            connections.idle.retain(|connection| {
                !connection.sender.is_closed()
                    && connection.idle_since.elapsed() < connection.max_idle_time
            });
        }
    }
}

/// A connection that was just opened.
struct Opened {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    has_surplus: Rc<Cell<bool>>,
    socket: Rc<SocketState>,
}

async fn connect(to: &Entry) -> Result<Opened, ConnectError> {
    let stream = TcpStream::connect(to.address).await?;
    stream.set_nodelay(true)?;
    let socket = Rc::new(SocketState::default());
    let (sender, connection) = http1::handshake(Socket::new(stream, socket.clone())).await?;
    let peer = to.id.clone();
    let has_surplus = Rc::new(Cell::new(false));
    let surplus = has_surplus.clone();
    let driver = spawn_local(async move {
        if let Err(error) = connection.await {
            surplus.set(is_surplus(&error));
            tracing::debug!(event = "backend_connection_broken", backend = %peer, %error);
        }
    });
    Ok(Opened { sender, driver, has_surplus, socket })
}

/// Returns whether a connection ended since bytes arrived that belong to no response. The HTTP
/// library has no predicate for this error, the only one without a predicate that has no source.
fn is_surplus(error: &hyper::Error) -> bool {
    let is_other = error.is_incomplete_message()
        || error.is_parse()
        || error.is_user()
        || error.is_canceled()
        || error.is_closed()
        || error.is_body_write_aborted()
        || error.is_timeout();
    !is_other && error.source().is_none()
}
