//! Kept connections to backend servers.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    task::{JoinHandle, spawn_local},
    time::{Instant, timeout},
};

use crate::backend::Entry;

/// Longest time for a connection to come about; a lost packet is sent again only after a second.
const CONNECT: Duration = Duration::from_millis(300);

/// Longest time that a connection stays idle and is used again; one that went silent meanwhile would
/// lose the request.
const IDLE: Duration = Duration::from_millis(2500);

/// Part of the announced idle time after which a connection isn't used any more, in percent.
const IDLE_PERCENT: u32 = 60;

/// Why no connection came about.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// As many connections are open as this host may have.
    #[error("connections used up")]
    Full,
    /// The backend server can't be reached.
    #[error("connect: {0}")]
    Connect(#[from] io::Error),
    /// The backend server doesn't answer.
    #[error("connect: no answer")]
    Silent,
    /// The connection broke at once.
    #[error("handshake: {0}")]
    Handshake(#[from] hyper::Error),
}

/// Why no answer came over a connection.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No byte of the request was written.
    #[error("closed before the request")]
    NotSent,
    /// The request may have arrived.
    #[error("{0}")]
    Broken(hyper::Error),
}

/// A connection to a backend server; closed when dropped.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    open: Rc<Cell<usize>>,
    idle_since: Instant,
    keep: Duration,
    /// It was idle in the pool.
    reused: bool,
}

impl Connection {
    /// Returns whether another request was sent on it before.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Sends a request and returns the head of the answer.
    ///
    /// # Errors
    ///
    /// Tells apart whether the request may have arrived.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::NotSent);
        }
        self.sender.try_send_request(request).await.map_err(|mut error| {
            match error.take_message() {
                Some(_) => SendError::NotSent,
                None => SendError::Broken(error.into_error()),
            }
        })
    }

    /// Notes how long the backend server keeps the connection open while idle.
    pub fn set_keep_alive(&mut self, keep: Option<Duration>) {
        self.keep = keep.map_or(IDLE, |keep| (keep * IDLE_PERCENT / 100).min(IDLE));
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
        self.open.set(self.open.get() - 1);
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
    /// Returns an idle connection that was used within `recent`, or opens one.
    ///
    /// # Errors
    ///
    /// Fails where none comes about or `most` are open.
    pub async fn acquire(
        &self,
        to: &Entry,
        most: usize,
        recent: Duration,
    ) -> Result<Connection, ConnectError> {
        if let Some(link) = self.take_idle(&to.id, recent) {
            return Ok(link);
        }
        let open = self.by_backend.borrow_mut().entry(to.id.clone()).or_default().open.clone();
        if open.get() >= most {
            return Err(ConnectError::Full);
        }
        open.set(open.get() + 1);
        let opened = timeout(CONNECT, connect(to)).await.map_err(|_| ConnectError::Silent);
        match opened.and_then(|opened| opened) {
            Ok((sender, driver)) => {
                let idle_since = Instant::now();
                Ok(Connection { sender, driver, open, idle_since, keep: IDLE, reused: false })
            }
            Err(fault) => {
                open.set(open.get() - 1);
                Err(fault)
            }
        }
    }

    fn take_idle(&self, id: &str, recent: Duration) -> Option<Connection> {
        let mut shelves = self.by_backend.borrow_mut();
        let shelf = shelves.get_mut(id)?;
        shelf.idle.retain(|link| !link.sender.is_closed() && link.idle_since.elapsed() < link.keep);
        shelf.idle.pop_if(|link| link.idle_since.elapsed() < recent)
    }

    /// Takes a connection back whose answer has been read to its end.
    pub fn release(&self, id: &str, mut link: Connection) {
        if link.sender.is_closed() {
            return;
        }
        link.idle_since = Instant::now();
        link.reused = true;
        if let Some(shelf) = self.by_backend.borrow_mut().get_mut(id) {
            shelf.idle.push(link);
        }
    }

    /// Closes the idle connections to a backend server that left or started again.
    pub fn forget(&self, id: &str) {
        self.by_backend.borrow_mut().remove(id);
    }

    /// Closes connections that have been idle too long.
    pub fn sweep(&self) {
        for shelf in self.by_backend.borrow_mut().values_mut() {
            shelf
                .idle
                .retain(|link| !link.sender.is_closed() && link.idle_since.elapsed() < link.keep);
        }
    }
}

async fn connect(
    to: &Entry,
) -> Result<(http1::SendRequest<Full<Bytes>>, JoinHandle<()>), ConnectError> {
    let stream = TcpStream::connect(to.address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let peer = to.id.clone();
    let driver = spawn_local(async move {
        if let Err(error) = connection.await {
            tracing::debug!(event = "backend_connection_broken", backend = %peer, %error);
        }
    });
    Ok((sender, driver))
}
