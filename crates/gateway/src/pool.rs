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
pub enum Fault {
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
pub enum Lost {
    /// No byte of the request was written.
    #[error("closed before the request")]
    Unsent,
    /// The request may have arrived.
    #[error("{0}")]
    Broken(hyper::Error),
}

/// A connection to a backend server; closed when dropped.
#[derive(Debug)]
pub struct Link {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    open: Rc<Cell<usize>>,
    idle_since: Instant,
    keep: Duration,
    /// It was idle in the pool.
    kept: bool,
}

impl Link {
    /// Returns whether another request was sent on it before.
    pub fn is_kept(&self) -> bool {
        self.kept
    }

    /// Sends a request and returns the head of the answer.
    ///
    /// # Errors
    ///
    /// Tells apart whether the request may have arrived.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Lost> {
        if self.sender.ready().await.is_err() {
            return Err(Lost::Unsent);
        }
        self.sender.try_send_request(request).await.map_err(|mut error| {
            match error.take_message() {
                Some(_) => Lost::Unsent,
                None => Lost::Broken(error.into_error()),
            }
        })
    }

    /// Notes how long the backend server keeps the connection open while idle.
    pub fn set_keep(&mut self, keep: Option<Duration>) {
        self.keep = keep.map_or(IDLE, |keep| (keep * IDLE_PERCENT / 100).min(IDLE));
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.driver.abort();
        self.open.set(self.open.get() - 1);
    }
}

#[derive(Debug, Default)]
struct Shelf {
    idle: Vec<Link>,
    open: Rc<Cell<usize>>,
}

/// Connections to all backend servers.
#[derive(Debug, Default)]
pub struct Pool {
    shelves: RefCell<HashMap<Arc<str>, Shelf>>,
}

impl Pool {
    /// Returns an idle connection that was used within `recent`, or opens one.
    ///
    /// # Errors
    ///
    /// Fails where none comes about or `most` are open.
    pub async fn link(&self, to: &Entry, most: usize, recent: Duration) -> Result<Link, Fault> {
        if let Some(link) = self.idle(&to.id, recent) {
            return Ok(link);
        }
        let open = self.shelves.borrow_mut().entry(to.id.clone()).or_default().open.clone();
        if open.get() >= most {
            return Err(Fault::Full);
        }
        open.set(open.get() + 1);
        let opened = timeout(CONNECT, connect(to)).await.map_err(|_| Fault::Silent);
        match opened.and_then(|opened| opened) {
            Ok((sender, driver)) => {
                let idle_since = Instant::now();
                Ok(Link { sender, driver, open, idle_since, keep: IDLE, kept: false })
            }
            Err(fault) => {
                open.set(open.get() - 1);
                Err(fault)
            }
        }
    }

    fn idle(&self, id: &str, recent: Duration) -> Option<Link> {
        let mut shelves = self.shelves.borrow_mut();
        let shelf = shelves.get_mut(id)?;
        shelf.idle.retain(|link| !link.sender.is_closed() && link.idle_since.elapsed() < link.keep);
        shelf.idle.pop_if(|link| link.idle_since.elapsed() < recent)
    }

    /// Takes a connection back whose answer has been read to its end.
    pub fn keep(&self, id: &str, mut link: Link) {
        if link.sender.is_closed() {
            return;
        }
        link.idle_since = Instant::now();
        link.kept = true;
        if let Some(shelf) = self.shelves.borrow_mut().get_mut(id) {
            shelf.idle.push(link);
        }
    }

    /// Closes the idle connections to a backend server that left or started again.
    pub fn forget(&self, id: &str) {
        self.shelves.borrow_mut().remove(id);
    }

    /// Closes connections that have been idle too long.
    pub fn sweep(&self) {
        for shelf in self.shelves.borrow_mut().values_mut() {
            shelf
                .idle
                .retain(|link| !link.sender.is_closed() && link.idle_since.elapsed() < link.keep);
        }
    }
}

async fn connect(to: &Entry) -> Result<(http1::SendRequest<Full<Bytes>>, JoinHandle<()>), Fault> {
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
