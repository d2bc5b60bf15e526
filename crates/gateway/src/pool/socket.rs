//! Socket of a connection to a backend server.

use std::{
    cell::{Cell, RefCell},
    io, mem,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead as _, ReadBuf},
    net::TcpStream,
};

/// Most bytes that are read at a time until the head of a response has arrived.
const PIECE_BYTES: usize = 4 * 1024;

/// Most bytes before the end of the head of a response. The HTTP library limits a single head to less
/// and skips any number of informational responses; without end, they would keep the host busy.
const MAX_HEAD_BYTES: usize = 512 * 1024;

/// Number of bytes of a response that are kept for the log.
const START_BYTES: usize = 32;

/// What a connection knows of its socket.
#[derive(Debug, Default)]
pub struct SocketState {
    /// Whether the end of the connection, if reading has come to it, isn't that of a response: the
    /// connection was reset, or a part of the request is still to be written.
    is_cut: Cell<bool>,
    /// Number of bytes that have arrived since a request was sent; `None` unless the head of its
    /// response is awaited.
    awaited: Cell<Option<usize>>,
    /// The first of these bytes, for the log.
    start: RefCell<Vec<u8>>,
}

impl SocketState {
    /// Returns whether the end of the connection isn't that of a response.
    pub fn is_cut(&self) -> bool {
        self.is_cut.get()
    }

    /// Records that a request is sent.
    pub fn begin_request(&self) {
        self.awaited.set(Some(0));
        self.start.borrow_mut().clear();
    }

    /// Records that the head of the response to the request has arrived, or won't.
    pub fn finish_head(&self) {
        self.awaited.set(None);
    }

    /// Returns the beginning of the first line that arrived after the last request was sent.
    pub fn start(&self) -> String {
        let start = self.start.borrow();
        let line = start.split(|byte| b"\r\n".contains(byte)).next().unwrap_or_default();
        line.escape_ascii().to_string()
    }

    /// Records bytes that have arrived before the end of a head.
    ///
    /// # Errors
    ///
    /// Returns an error if they are too many.
    fn record_read(&self, awaited: usize, bytes: &[u8]) -> io::Result<()> {
        let mut start = self.start.borrow_mut();
        let length = (START_BYTES - start.len()).min(bytes.len());
        start.extend_from_slice(&bytes[..length]);
        let awaited = awaited + bytes.len();
        self.awaited.set(Some(awaited));
        if awaited > MAX_HEAD_BYTES {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "no end of a head"));
        }
        Ok(())
    }
}

/// Socket whose connection ends where reading from it ends, not at a failed write.
///
/// A backend server that responds before it has read the whole request, and closes the connection,
/// resets it. Its response can still be read, so the rest of the request is discarded. Reading then
/// finds an ordinary end, as the kernel reports a reset only once; its state tells the difference.
#[derive(Debug)]
pub struct Socket {
    stream: TokioIo<TcpStream>,
    /// Whether a write failed.
    is_reset: bool,
    /// Whether a write had to wait since the last flush.
    has_waited: bool,
    state: Rc<SocketState>,
}

impl Socket {
    /// Creates the socket of a connection that knows its state.
    pub fn new(stream: TcpStream, state: Rc<SocketState>) -> Self {
        Self { stream: TokioIo::new(stream), is_reset: false, has_waited: false, state }
    }

    /// Writes so many bytes, or discards them if the backend server has reset the connection.
    fn write(
        &mut self,
        length: usize,
        write: impl FnOnce(Pin<&mut TokioIo<TcpStream>>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if self.is_reset {
            return Poll::Ready(Ok(length));
        }
        match write(Pin::new(&mut self.stream)) {
            Poll::Ready(Err(error)) if is_reset(&error) => {
                self.is_reset = true;
                self.state.is_cut.set(true);
                Poll::Ready(Ok(length))
            }
            polled => {
                if polled.is_pending() {
                    self.has_waited = true;
                    self.state.is_cut.set(true);
                }
                polled
            }
        }
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        // The backend server may have ended its direction before it reset the connection, which
        // neither reading nor a write that has finished tells.
        if !matches!(self.stream.inner().take_error(), Ok(None)) {
            self.state.is_cut.set(true);
        }
    }
}

/// Returns whether reading ends, too, after what has arrived.
fn is_reset(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe)
}

impl Read for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let Some(awaited) = self.state.awaited.get() else {
            return Pin::new(&mut self.stream).poll_read(context, buffer);
        };
        let mut piece = [0; PIECE_BYTES];
        let length = PIECE_BYTES.min(buffer.remaining());
        let mut piece = ReadBuf::new(&mut piece[..length]);
        ready!(Pin::new(self.stream.inner_mut()).poll_read(context, &mut piece))?;
        buffer.put_slice(piece.filled());
        Poll::Ready(self.state.record_read(awaited, piece.filled()))
    }
}

impl Write for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.write(bytes.len(), |stream| stream.poll_write(context, bytes))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // If the response is whole before the request is, the HTTP library looks for the next
        // request only when it is polled once more.
        if mem::take(&mut self.has_waited) {
            context.waker().wake_by_ref();
        }
        self.state.is_cut.set(self.is_reset);
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let length = slices.iter().map(|slice| slice.len()).sum();
        self.write(length, |stream| stream.poll_write_vectored(context, slices))
    }
}
