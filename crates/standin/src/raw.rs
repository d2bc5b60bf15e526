//! Stand-in peer that answers every connection with given bytes, whatever HTTP would ask for.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Bytes of a request that are read at once.
const READ_BYTES: usize = 16 * 1024;

/// A running peer; dropping it closes its port.
#[derive(Debug)]
pub struct Handle {
    /// Address that it listens on.
    pub address: SocketAddr,
    stopped: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

/// Starts a peer that reads a request from each connection, writes `answer` and closes it.
///
/// # Errors
///
/// Returns an error where no port can be bound or the thread can't be started.
pub fn spawn(answer: impl Into<Vec<u8>>) -> io::Result<Handle> {
    start(answer.into(), serve)
}

/// Starts a peer that reads the head of a request from each connection, writes `answer`, waits for
/// `pause` and closes the connection, which is reset where a part of the request is unread.
///
/// # Errors
///
/// Returns an error where no port can be bound or the thread can't be started.
pub fn spawn_early(answer: impl Into<Vec<u8>>, pause: Duration) -> io::Result<Handle> {
    start(answer.into(), move |stream, answer| serve_early(stream, answer, pause))
}

fn start(
    answer: Vec<u8>,
    serve: impl Fn(TcpStream, &[u8]) -> io::Result<()> + Send + 'static,
) -> io::Result<Handle> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let address = listener.local_addr()?;
    let stopped = Arc::new(AtomicBool::new(false));
    let seen = stopped.clone();
    let thread = thread::Builder::new().name("raw".into()).spawn(move || {
        for stream in listener.incoming() {
            if seen.load(Ordering::SeqCst) {
                return;
            }
            if let Err(error) = stream.and_then(|stream| serve(stream, &answer)) {
                tracing::debug!(step = "raw", %error);
            }
        }
    })?;
    Ok(Handle { address, stopped, thread: Some(thread) })
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        // The connection only wakes the thread that accepts.
        let _ = TcpStream::connect(self.address);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn serve(mut stream: TcpStream, answer: &[u8]) -> io::Result<()> {
    read_request(&mut stream)?;
    stream.write_all(answer)?;
    stream.shutdown(Shutdown::Write)?;
    // A close with unread bytes would reset the connection under the answer.
    io::copy(&mut stream, &mut io::sink()).map(drop)
}

fn serve_early(mut stream: TcpStream, answer: &[u8], pause: Duration) -> io::Result<()> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            return Ok(());
        }
        head.extend_from_slice(&byte);
    }
    stream.write_all(answer)?;
    thread::sleep(pause);
    Ok(())
}

fn read_request(stream: &mut TcpStream) -> io::Result<()> {
    let mut request = Vec::new();
    let mut buffer = vec![0; READ_BYTES];
    while !is_whole(&request) {
        let read = stream.read(&mut buffer)?;
        if read == 0 {
            return Ok(());
        }
        request.extend_from_slice(&buffer[..read]);
    }
    Ok(())
}

/// Returns whether a request with a `Content-Length`, or without a body, is complete.
fn is_whole(request: &[u8]) -> bool {
    let text = String::from_utf8_lossy(request);
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let length = head
        .lines()
        .filter_map(|line| line.split_once(':'))
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .and_then(|(_, value)| value.trim().parse().ok())
        .unwrap_or(0);
    body.len() >= length
}
