//! A caller's connection: its socket, and the requests that are in progress on it.

use std::{
    cell::{Cell, RefCell},
    io,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{Context, Poll, Waker},
    time::Duration,
};

use hyper::{
    Version,
    body::{Body as _, Incoming},
    rt::{Read, ReadBufCursor, Write},
};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead as _, ReadBuf},
    net::TcpStream,
    task::spawn_local,
};

use crate::{
    idle::Timer,
    node::Node,
    unread::{self, Bounds},
};

/// Most bytes of a refused body that are read at a time, so that the buffers stay small.
const DISCARD_BYTES: usize = 4 * 1024;

/// A caller's connection, which is counted until it is dropped.
#[derive(Debug)]
pub struct Connection {
    node: Rc<Node>,
    timer: RefCell<Timer>,
    /// Number of requests that ended, but whose responses may not all have been sent.
    unsent: Cell<usize>,
    /// Number of refused bodies that are being read.
    discarding: Cell<usize>,
    /// Task that serves the connection; nothing else wakes it while the caller rests.
    task: RefCell<Option<Waker>>,
    /// Whether its caller can't tell a response that breaks off from a whole one unless the connection
    /// is reset.
    needs_reset: Cell<bool>,
}

impl Connection {
    /// Counts a connection that was accepted.
    pub fn open(node: &Rc<Node>) -> Rc<Self> {
        node.overload.borrow_mut().open_connection();
        let timer = Timer::new(node.now(), &node.limits_in_force());
        Rc::new(Self {
            node: node.clone(),
            timer: RefCell::new(timer),
            unsent: Cell::default(),
            discarding: Cell::default(),
            task: RefCell::default(),
            needs_reset: Cell::default(),
        })
    }

    /// Records that the head of a request has arrived; the request is in progress until the guard is
    /// dropped.
    pub fn begin_request(self: &Rc<Self>) -> Rc<Guard> {
        self.timer.borrow_mut().record_request();
        self.node.active.set(self.node.active.get() + 1);
        Rc::new(Guard(self.clone()))
    }

    /// Records the version of a request. In HTTP/1.0 a body without a length ends with its connection.
    pub fn record_version(&self, version: Version) {
        self.needs_reset.set(version < Version::HTTP_11);
    }

    /// Returns whether the connection is to be reset if a response breaks off.
    pub fn needs_reset(&self) -> bool {
        self.needs_reset.get()
    }

    fn record_received(&self) {
        self.timer.borrow_mut().record_received(self.node.now());
    }

    fn record_sent(&self) {
        self.timer.borrow_mut().record_sent(self.node.now());
    }

    /// Records that this host closes the connection, since its caller sends nothing, or only a part
    /// of a head, or takes nothing of a response.
    pub fn record_timeout(&self) {
        let reason = self.timer.borrow().state();
        self.node.metrics.connection_closed(reason);
        let limits = self.node.limits_in_force();
        tracing::info!(
            event = "connection_closed",
            reason,
            idle_timeout_ms = limits.idle_timeout.as_millis() as u64,
            head_timeout_ms = limits.read_timeout.as_millis() as u64,
            config = self.node.catalog().map(|catalog| catalog.version()),
        );
    }

    /// Records that all that was to be sent has been sent.
    fn record_flushed(&self) {
        for _ in 0..self.unsent.take() {
            self.node.active.set(self.node.active.get() - 1);
            self.timer.borrow_mut().record_end(self.node.now(), &self.node.limits_in_force());
        }
    }

    /// Sets the task that is woken when a request ends outside of it.
    pub fn set_task(&self, task: &Waker) {
        self.task.borrow_mut().get_or_insert_with(|| task.clone()).clone_from(task);
    }

    /// Returns whether a request is in progress.
    pub fn is_in_use(&self) -> bool {
        self.time_left().is_none()
    }

    /// Returns the time that is left until the connection is closed unless its caller sends or takes
    /// more; `None` while a request is in progress.
    pub fn time_left(&self) -> Option<Duration> {
        let deadline = self.timer.borrow().deadline(&self.node.limits_in_force())?;
        Some(deadline.saturating_sub(self.node.now()))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.record_flushed();
        self.node.overload.borrow_mut().close_connection();
    }
}

/// Guard that counts a request as in progress until it is dropped and its response has been sent.
#[derive(Debug)]
pub struct Guard(Rc<Connection>);

impl Guard {
    /// Reads the rest of a refused body in the background, in small pieces; the request is in progress
    /// until then.
    pub fn discard(self: Rc<Self>, id: Option<Arc<str>>, body: Incoming, bounds: Bounds) {
        if body.is_end_stream() {
            return;
        }
        self.0.discarding.set(self.0.discarding.get() + 1);
        self.0.node.overload.borrow_mut().begin_discard();
        spawn_local(async move {
            unread::discard(id.as_deref(), body, bounds).await;
            self.drop_and_wake();
        });
    }

    /// Drops a guard outside of the connection's task, which is woken to reckon its next deadline.
    fn drop_and_wake(self: Rc<Self>) {
        let connection = self.0.clone();
        connection.discarding.set(connection.discarding.get() - 1);
        connection.node.overload.borrow_mut().end_discard();
        drop(self);
        if let Some(task) = &*connection.task.borrow() {
            task.wake_by_ref();
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let Connection { node, timer, unsent, .. } = &*self.0;
        unsent.set(unsent.get() + 1);
        timer.borrow_mut().record_whole_response(node.now());
    }
}

/// Socket of a connection, which records when bytes pass.
#[derive(Debug)]
pub struct Socket {
    stream: TokioIo<TcpStream>,
    connection: Rc<Connection>,
}

impl Socket {
    /// Creates the socket of a connection.
    pub fn new(stream: TcpStream, connection: Rc<Connection>) -> Self {
        Self { stream: TokioIo::new(stream), connection }
    }

    /// Closes the connection so that its caller is told of a failure; what it hasn't read may be lost.
    pub fn reset(self) {
        if let Err(error) = self.stream.inner().set_zero_linger() {
            tracing::debug!(event = "connection_not_reset", %error);
        }
    }

    fn stream(self: Pin<&mut Self>) -> Pin<&mut TokioIo<TcpStream>> {
        Pin::new(&mut self.get_mut().stream)
    }
}

impl Read for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let polled = if self.connection.discarding.get() > 0 {
            let mut piece = [0; DISCARD_BYTES];
            let length = DISCARD_BYTES.min(buffer.remaining());
            let mut piece = ReadBuf::new(&mut piece[..length]);
            let socket = self.as_mut().get_mut();
            let polled = Pin::new(socket.stream.inner_mut()).poll_read(context, &mut piece);
            buffer.put_slice(piece.filled());
            polled
        } else {
            self.as_mut().stream().poll_read(context, buffer)
        };
        if polled.is_ready() {
            self.connection.record_received();
        }
        polled
    }
}

impl Write for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = self.as_mut().stream().poll_write(context, bytes);
        if polled.is_ready() {
            self.connection.record_sent();
        }
        polled
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let connection = self.connection.clone();
        let polled = self.stream().poll_flush(context);
        if polled.is_ready() {
            connection.record_flushed();
        }
        polled
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = self.as_mut().stream().poll_write_vectored(context, slices);
        if polled.is_ready() {
            self.connection.record_sent();
        }
        polled
    }
}
