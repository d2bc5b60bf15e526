//! A network between zones that can be cut and healed: relays on loopback.
//!
//! Hosts advertise the address of a relay. It forwards TCP and UDP to the host behind it, and holds
//! back what a cut stops: bytes of a connection until the heal, as retransmissions do, while
//! datagrams are lost. The platform has a relay for each zone.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::{self, Read as _, Write as _},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket},
    sync::{Arc, Condvar, Mutex},
    thread,
};

/// Place of the platform, as if it were a zone.
pub const PLATFORM: &str = "platform";

/// Bytes that are forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// Greatest length of a connection's first frame.
const MAX_FIRST_BYTES: usize = 16 * 1024;

/// Ports tried until one is free for TCP and UDP.
const BIND_TRIES: usize = 16;

/// A zone, or the platform.
pub type Place = &'static str;

/// A direction between two places.
type Way = (Place, Place);

/// The network; its relays end with the test's process.
#[derive(Debug, Clone, Default)]
pub struct Network {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    cuts: Mutex<BTreeSet<Way>>,
    healed: Condvar,
    /// Zones by host name.
    names: Mutex<BTreeMap<&'static str, Place>>,
    /// Zones by the address from which a host sends datagrams.
    sources: Mutex<BTreeMap<SocketAddr, Place>>,
}

/// The address of a host as others are told, and where it leads.
#[derive(Debug, Clone)]
pub struct Relay {
    /// Address that others are told.
    pub address: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
}

impl Relay {
    /// Leads the relay to a process.
    pub fn lead(&self, target: SocketAddr) {
        *self.target.lock().expect("lock") = Some(target);
    }

    fn target(&self) -> Option<SocketAddr> {
        *self.target.lock().expect("lock")
    }
}

impl Network {
    /// Stops what is sent in one direction.
    pub fn cut(&self, from: Place, to: Place) {
        self.shared.cuts.lock().expect("lock").insert((from, to));
    }

    /// Ends all cuts.
    pub fn heal(&self) {
        self.shared.cuts.lock().expect("lock").clear();
        self.shared.healed.notify_all();
    }

    /// Makes known where a host's process sends from.
    pub fn join(&self, zone: Place, source: SocketAddr) {
        self.shared.sources.lock().expect("lock").insert(source, zone);
    }

    /// Returns a relay to a host.
    pub fn host(&self, name: &'static str, zone: Place) -> Relay {
        self.shared.names.lock().expect("lock").insert(name, zone);
        let (listener, socket) = bind();
        let address = listener.local_addr().expect("address");
        let relay = Relay { address, target: Arc::default() };
        let (network, to) = (self.clone(), relay.clone());
        thread::spawn(move || network.forward_datagrams(&socket, &to, zone));
        let (network, to) = (self.clone(), relay.clone());
        thread::spawn(move || network.accept(&listener, &to, None, zone));
        relay
    }

    /// Returns the platform's address for a zone.
    pub fn platform(&self, zone: Place, platform: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind");
        let address = listener.local_addr().expect("address");
        let relay = Relay { address, target: Arc::new(Mutex::new(Some(platform))) };
        let network = self.clone();
        thread::spawn(move || network.accept(&listener, &relay, Some(zone), PLATFORM));
        address
    }

    fn is_cut(&self, way: Way) -> bool {
        self.shared.cuts.lock().expect("lock").contains(&way)
    }

    fn wait_open(&self, way: Way) {
        let cuts = self.shared.cuts.lock().expect("lock");
        drop(self.shared.healed.wait_while(cuts, |cuts| cuts.contains(&way)).expect("lock"));
    }

    fn forward_datagrams(&self, socket: &UdpSocket, relay: &Relay, zone: Place) {
        let mut buffer = [0; CHUNK_BYTES];
        loop {
            let Ok((count, source)) = socket.recv_from(&mut buffer) else { continue };
            let from = self.shared.sources.lock().expect("lock").get(&source).copied();
            let stopped = from.is_none_or(|from| self.is_cut((from, zone)));
            if let (false, Some(target)) = (stopped, relay.target()) {
                // A datagram to a host that is gone is lost.
                let _ = socket.send_to(&buffer[..count], target);
            }
        }
    }

    fn accept(&self, listener: &TcpListener, relay: &Relay, from: Option<Place>, to: Place) {
        for stream in listener.incoming().flatten() {
            let (network, relay) = (self.clone(), relay.clone());
            thread::spawn(move || {
                // One that can't be carried ends; its ends see it closed.
                let _ = network.carry(stream, &relay, from, to);
            });
        }
    }

    fn carry(
        &self,
        mut near: TcpStream,
        relay: &Relay,
        from: Option<Place>,
        to: Place,
    ) -> io::Result<()> {
        let (from, first) = match from {
            Some(from) => (from, Vec::new()),
            None => {
                let first = read_first(&mut near)?;
                let from = self.sender(&first).ok_or(io::ErrorKind::InvalidData)?;
                (from, first)
            }
        };
        self.wait_open((from, to));
        let target = relay.target().ok_or(io::ErrorKind::ConnectionRefused)?;
        let mut far = TcpStream::connect(target)?;
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        far.write_all(&first)?;
        let back = (far.try_clone()?, near.try_clone()?);
        let network = self.clone();
        thread::spawn(move || network.pump(back, (to, from)));
        self.pump((near, far), (from, to));
        Ok(())
    }

    /// Returns the zone of the host that a greeting names as its sender.
    fn sender(&self, greeting: &[u8]) -> Option<Place> {
        let names = self.shared.names.lock().expect("lock");
        let named = |name: &str| {
            let holder = format!("{name}.");
            greeting.windows(holder.len()).any(|part| part == holder.as_bytes())
        };
        names.iter().find(|(name, _)| named(name)).map(|(_, zone)| *zone)
    }

    fn pump(&self, (mut from, mut to): (TcpStream, TcpStream), way: Way) {
        let mut buffer = [0; CHUNK_BYTES];
        loop {
            let read = from.read(&mut buffer);
            self.wait_open(way);
            match read {
                Ok(count) if count > 0 && to.write_all(&buffer[..count]).is_ok() => {}
                _ => break,
            }
        }
        let _ = to.shutdown(Shutdown::Write);
        let _ = from.shutdown(Shutdown::Read);
    }
}

/// Reads the first frame of a connection between hosts, with its length.
fn read_first(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; 4];
    stream.read_exact(&mut bytes)?;
    let length = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) as usize;
    if length > MAX_FIRST_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    bytes.resize(4 + length, 0);
    stream.read_exact(&mut bytes[4..])?;
    Ok(bytes)
}

/// Binds TCP and UDP to the same port.
fn bind() -> (TcpListener, UdpSocket) {
    for _ in 0..BIND_TRIES {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind");
        if let Ok(socket) = UdpSocket::bind(listener.local_addr().expect("address")) {
            return (listener, socket);
        }
    }
    panic!("no port is free for TCP and UDP");
}
