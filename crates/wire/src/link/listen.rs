//! Takes connections and datagrams from peers and operators.

use std::{
    collections::BTreeMap,
    io,
    net::{TcpListener, TcpStream, UdpSocket},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crossbeam::channel::TrySendError;
use thrift::{protocol::TCompactOutputProtocol, server::TProcessor};
use tracing::{debug, warn};

use super::{Inbound, Shared, frame, serve::Handler};
use crate::{
    laburnum::HostSyncProcessor,
    message,
    seal::{self, MAX_DATAGRAM_BYTES, Windows},
};

/// Connections that are served at once.
const MAX_CONNECTIONS: usize = 1_024;

/// Greatest frame on a connection whose peer has not authenticated itself, in bytes.
const MAX_FIRST_FRAME_BYTES: usize = 16 * 1024;

/// Time within which a connection has to send a frame.
const IDLE: Duration = Duration::from_secs(120);

/// Time within which a peer has to authenticate itself.
const GREETING_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which a blocked read looks whether the link has ended.
const POLL: Duration = Duration::from_millis(250);

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Stack of a connection's thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;

/// Open connections, so that they can be ended with the link.
#[derive(Debug, Default)]
pub struct Connections {
    next: AtomicU64,
    count: AtomicUsize,
    open: Mutex<BTreeMap<u64, TcpStream>>,
}

impl Connections {
    /// Ends every connection.
    pub fn close(&self) {
        let open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        for stream in open.values() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn insert(&self, stream: &TcpStream) -> io::Result<u64> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let stream = stream.try_clone()?;
        self.open.lock().unwrap_or_else(PoisonError::into_inner).insert(number, stream);
        self.count.fetch_add(1, Ordering::Relaxed);
        Ok(number)
    }

    fn remove(&self, number: u64) {
        self.open.lock().unwrap_or_else(PoisonError::into_inner).remove(&number);
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Accepts connections until the link ends.
pub fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    loop {
        let accepted = listener.accept();
        if shared.ended() {
            return;
        }
        match accepted {
            Ok((stream, _)) => start(stream, shared),
            Err(error) => {
                warn!(step = "accept", error = %error);
                thread::sleep(ACCEPT_PAUSE);
            }
        }
    }
}

fn start(stream: TcpStream, shared: &Arc<Shared>) {
    if shared.connections.count.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
        debug!(step = "accept", error = "too many connections");
        return;
    }
    let Ok(number) = shared.connections.insert(&stream) else { return };
    let slot = Slot { shared: shared.clone(), number };
    let spawned = thread::Builder::new()
        .name(format!("link-{number}"))
        .stack_size(STACK_BYTES)
        .spawn(move || {
            if let Err(error) = serve(stream, &slot.shared, number) {
                debug!(step = "serve", connection = number, error = %error);
            }
        });
    if let Err(error) = spawned {
        warn!(step = "accept", error = %error);
    }
}

/// Place of a connection among those that are open; given back however its thread ends.
struct Slot {
    shared: Arc<Shared>,
    number: u64,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.shared.connections.remove(self.number);
    }
}

/// Answers the calls of one connection.
fn serve(mut stream: TcpStream, shared: &Arc<Shared>, number: u64) -> thrift::Result<()> {
    let until = Instant::now() + GREETING_TIMEOUT;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(GREETING_TIMEOUT))?;
    stream.set_write_timeout(Some(GREETING_TIMEOUT))?;
    let handler = Arc::new(Handler::new(shared.clone(), number));
    let processor = HostSyncProcessor::new(handler.clone());
    let mut opened = false;
    loop {
        let frame = match opened {
            true => frame::read(&mut stream, frame::MAX_BYTES, None)?,
            false => frame::read(&mut stream, MAX_FIRST_FRAME_BYTES, Some(until))?,
        };
        let mut rest = frame.as_slice();
        let mut answer = Vec::new();
        let mut input = message::input(&mut rest, frame.len())
            .map_err(|fault| io::Error::new(io::ErrorKind::InvalidData, fault))?;
        processor.process(&mut input, &mut TCompactOutputProtocol::new(&mut answer))?;
        if !answer.is_empty() {
            frame::write(&mut stream, &answer)?;
        }
        if handler.refused() {
            return Ok(());
        }
        if !opened && handler.opened() {
            opened = true;
            stream.set_read_timeout(Some(IDLE))?;
        }
    }
}

/// Takes datagrams until the link ends.
pub fn receive(socket: &UdpSocket, shared: &Arc<Shared>) {
    let mut windows = Windows::default();
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    let _ = socket.set_read_timeout(Some(POLL));
    while !shared.ended() {
        let Ok((count, from)) = socket.recv_from(&mut buffer) else { continue };
        if count > MAX_DATAGRAM_BYTES {
            continue;
        }
        match seal::open_datagram(&shared.key, &shared.address, &mut windows, &buffer[..count]) {
            Ok(delivery) => {
                shared.count_received(count as u64);
                let sent = shared.inbox.try_send(Inbound::Message(delivery));
                if let Err(TrySendError::Disconnected(_)) = sent {
                    return;
                }
            }
            Err(refusal) => {
                shared.count_refused();
                debug!(step = "receive", peer = %from, error = %refusal);
            }
        }
    }
}
