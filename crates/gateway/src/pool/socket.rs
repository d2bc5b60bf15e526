//! Socket of a connection to a backend server.

use std::{
    cell::Cell,
    io, mem,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// What a connection knows of its socket.
#[derive(Debug, Default)]
pub struct SocketState {
    /// Whether the end of the connection, if reading has come to it, isn't that of a response: the
    /// connection was reset, or a part of the request is still to be written.
    is_cut: Cell<bool>,
}

impl SocketState {
    /// Returns whether the end of the connection isn't that of a response.
    pub fn is_cut(&self) -> bool {
        self.is_cut.get()
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
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
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
