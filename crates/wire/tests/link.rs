//! Links over loopback.

use std::{
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use coordination::{
    clock::Stamp,
    message::{Heartbeat, Message},
    request, timeline,
};
use crossbeam::channel::{Receiver, unbounded};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use thrift::{
    protocol::{TCompactInputProtocol, TCompactOutputProtocol},
    server::TProcessor,
};
use wire::{
    client,
    laburnum::{
        self, Envelope, Greeting, HostSyncHandler, HostSyncProcessor, TimelineEvent, TimelineQuery,
    },
    link::{self, Handle, Identity, Inbound, Outbound, frame},
    operator::{Held, Responder, Status},
    seal::{self, Content, Key, NO_SESSION},
};

/// Longest time that a test waits for what has to come.
const PATIENCE: Duration = Duration::from_secs(20);

struct Operator;

impl Responder for Operator {
    fn authorise(&self, token: &str) -> bool {
        token == "right"
    }

    fn status(&self) -> Option<Status> {
        Some(Status {
            host: "a1".into(),
            holder: "a1.1".into(),
            zone: "a".into(),
            revision: u64::MAX,
            state: "serving".into(),
            detail: "{}".into(),
            budgets: vec![Held { budget: "b".into(), tokens: 9 }],
        })
    }

    fn timeline(&self, query: &timeline::Query) -> Option<Vec<timeline::Event>> {
        let mut ring = timeline::Ring::new("a1".into(), 8);
        let entry = timeline::Entry {
            request: Some(request::Id([1; 16])),
            step: timeline::Step::Accepted,
            peer: "caller".into(),
            cause: Some(Stamp { wall_ms: 4, logical: 1 }),
            detail: "tokens=5".into(),
        };
        ring.push(Stamp { wall_ms: 5, logical: 0 }, entry);
        Some(ring.query(query))
    }
}

struct Host {
    handle: Handle,
    inbox: Receiver<Inbound>,
}

impl Host {
    fn new(name: &str, secret: &str) -> Self {
        Self::bind(name, secret, "127.0.0.1:0".parse().unwrap())
    }

    fn bind(name: &str, secret: &str, address: SocketAddr) -> Self {
        let (sender, inbox) = unbounded();
        let identity = Identity {
            holder: format!("{name}.1").into(),
            zone: "a".into(),
            incarnation: 1,
            address: None,
        };
        let handle =
            link::bind(address, Key::new(secret), identity, Arc::new(Operator), sender).unwrap();
        Self { handle, inbox }
    }

    fn address(&self) -> Arc<str> {
        Arc::from(self.handle.address().to_string())
    }

    fn send(&self, to: Arc<str>, message: Message) {
        let stamp = Stamp { wall_ms: 77, logical: 1 };
        self.handle.send(Outbound { to, stamp, request: Some(request::Id([2; 16])), message });
    }

    fn next(&self) -> Inbound {
        self.inbox.recv_timeout(PATIENCE).unwrap()
    }

    fn next_message(&self) -> Message {
        match self.next() {
            Inbound::Message(delivery) => delivery.message,
            unreachable => panic!("{unreachable:?}"),
        }
    }
}

fn heartbeat() -> Message {
    Message::Heartbeat(Heartbeat { number: 1, revision: 2, digest: 3, members: Vec::new() })
}

#[test]
fn messages_arrive_in_order_with_their_sender() {
    let (one, two) = (Host::new("a1", "s"), Host::new("a2", "s"));
    for after in 0..500 {
        one.send(two.address(), Message::ConfigAsk { after });
    }
    for expected in 0..500 {
        let Inbound::Message(delivery) = two.next() else { panic!("unreachable") };
        assert_eq!(&*delivery.from, "a1.1");
        assert_eq!(delivery.address, one.address());
        assert_eq!(delivery.stamp, Stamp { wall_ms: 77, logical: 1 });
        assert_eq!(delivery.request, Some(request::Id([2; 16])));
        assert_eq!(delivery.message, Message::ConfigAsk { after: expected });
    }
    one.send(two.address(), heartbeat());
    assert_eq!(two.next_message(), heartbeat());
    two.send(one.address(), Message::TransferAck { number: 1 });
    assert_eq!(one.next_message(), Message::TransferAck { number: 1 });
}

#[test]
fn large_message_arrives_as_the_first() {
    let (one, two) = (Host::new("a1", "s"), Host::new("a2", "s"));
    let holder: Arc<str> = Arc::from("x".repeat(4 * 1024 * 1024));
    one.send(two.address(), Message::Seal { holder: holder.clone() });
    assert_eq!(two.next_message(), Message::Seal { holder });
}

#[test]
fn too_large_message_is_dropped_and_the_next_arrives() {
    let (one, two) = (Host::new("a1", "s"), Host::new("a2", "s"));
    let holder: Arc<str> = Arc::from("x".repeat(link::MAX_BODY_BYTES + 1));
    one.send(two.address(), Message::Seal { holder });
    assert_eq!(one.next(), Inbound::Unreachable { address: two.address() });
    one.send(two.address(), Message::TransferAck { number: 2 });
    assert_eq!(two.next_message(), Message::TransferAck { number: 2 });
}

#[test]
fn absent_peer_is_reported() {
    let one = Host::new("a1", "s");
    let gone = Host::new("a2", "s").address();
    for to in [gone, Arc::from("no address")] {
        one.send(to.clone(), Message::TransferAck { number: 1 });
        assert_eq!(one.next(), Inbound::Unreachable { address: to });
    }
}

#[test]
fn peer_without_the_key_is_refused_both_ways() {
    let (one, other) = (Host::new("a1", "s"), Host::new("a2", "other"));
    one.send(other.address(), Message::TransferAck { number: 1 });
    assert_eq!(one.next(), Inbound::Unreachable { address: other.address() });
    other.send(one.address(), Message::TransferAck { number: 1 });
    assert_eq!(other.next(), Inbound::Unreachable { address: one.address() });
    assert!(one.inbox.is_empty());
    assert!(other.inbox.is_empty());
    assert_eq!(one.handle.counts().refused, 1);
}

#[test]
fn restarted_peer_is_reached_again() {
    let one = Host::new("a1", "s");
    let two = Host::new("a2", "s");
    let address = two.handle.address();
    one.send(two.address(), Message::TransferAck { number: 1 });
    assert_eq!(two.next_message(), Message::TransferAck { number: 1 });
    drop(two);
    let two = Host::bind("a2", "s", address);
    let message = Message::TransferAck { number: 2 };
    let arrived = (0..100).any(|_| {
        one.send(two.address(), message.clone());
        two.inbox.recv_timeout(Duration::from_millis(200)).is_ok()
    });
    assert!(arrived);
}

#[test]
fn forged_and_replayed_datagrams_change_nothing() {
    let two = Host::new("a2", "s");
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let identity =
        Identity { holder: "a1.1".into(), zone: "a".into(), incarnation: 1, address: None };
    let message = heartbeat();
    let address = two.address();
    let content = Content {
        to: &address,
        session: NO_SESSION,
        number: 1,
        stamp: Stamp::default(),
        request: None,
        message: Some(&message),
    };
    let datagram = |secret: &str| {
        let envelope = seal::seal(&Key::new(secret), &identity, "127.0.0.1:1", &content).unwrap();
        seal::to_datagram(&envelope).unwrap()
    };
    let genuine = datagram("s");
    for bytes in [&[1; 90][..], &[0; 2_000], &datagram("other"), &genuine, &genuine] {
        socket.send_to(bytes, two.handle.address()).unwrap();
    }
    let last = Content { number: 2, ..content };
    let envelope = seal::seal(&Key::new("s"), &identity, "127.0.0.1:1", &last).unwrap();
    socket.send_to(&seal::to_datagram(&envelope).unwrap(), two.handle.address()).unwrap();
    assert_eq!(two.next_message(), heartbeat());
    assert_eq!(two.next_message(), heartbeat());
    assert!(two.inbox.is_empty());
    assert_eq!(two.handle.counts().refused, 3);
}

/// A host behind a proxy that has recorded one connection with one message.
struct Recorded {
    host: Handle,
    inbox: Receiver<Inbound>,
    /// Connection on which the recorded bytes came.
    far: TcpStream,
    bytes: Vec<u8>,
    _sender: Host,
}

impl Recorded {
    fn new() -> Self {
        let proxy = TcpListener::bind("127.0.0.1:0").unwrap();
        let seen: Arc<str> = Arc::from(proxy.local_addr().unwrap().to_string());
        let (sender, inbox) = unbounded();
        let identity = Identity {
            holder: "a2.1".into(),
            zone: "a".into(),
            incarnation: 1,
            address: Some(seen.clone()),
        };
        let address = "127.0.0.1:0".parse().unwrap();
        let host = link::bind(address, Key::new("s"), identity, Arc::new(Operator), sender);
        let host = host.unwrap();
        let one = Host::new("a1", "s");
        one.send(seen, Message::TransferAck { number: 4 });
        let (mut near, _) = proxy.accept().unwrap();
        let mut far = TcpStream::connect(host.address()).unwrap();
        let mut copy = far.try_clone().unwrap();
        let mut back = near.try_clone().unwrap();
        std::thread::spawn(move || std::io::copy(&mut copy, &mut back));
        near.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
        let mut bytes = Vec::new();
        while inbox.is_empty() {
            let mut buffer = [0; 4_096];
            let Ok(count) = near.read(&mut buffer) else { continue };
            bytes.extend_from_slice(&buffer[..count]);
            far.write_all(&buffer[..count]).unwrap();
        }
        assert!(matches!(inbox.recv().unwrap(), Inbound::Message(_)));
        Self { host, inbox, far, bytes, _sender: one }
    }

    /// Writes bytes to the host, which has to end the connection and to change nothing.
    fn expect_refusal(&self, stream: &mut TcpStream, bytes: &[u8]) {
        let before = self.host.counts();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.write_all(bytes).unwrap();
        let ended = stream.read_to_end(&mut Vec::new());
        let ended = ended.map_or_else(|error| error.kind() == ErrorKind::ConnectionReset, |_| true);
        assert!(ended);
        assert!(self.inbox.is_empty());
        assert_eq!(self.host.counts().received, before.received);
        assert_eq!(self.host.counts().refused, before.refused + 1);
    }
}

#[test]
fn recorded_connection_is_refused_on_another() {
    let recorded = Recorded::new();
    let mut replay = TcpStream::connect(recorded.host.address()).unwrap();
    recorded.expect_refusal(&mut replay, &recorded.bytes);
}

#[test]
fn recorded_message_is_refused_on_its_own_connection() {
    let recorded = Recorded::new();
    let mut rest = recorded.bytes.as_slice();
    let mut last = Vec::new();
    while !rest.is_empty() {
        last = frame::read(&mut rest, frame::MAX_BYTES, None).unwrap();
    }
    let mut again = Vec::new();
    frame::write(&mut again, &last).unwrap();
    let mut far = recorded.far.try_clone().unwrap();
    recorded.expect_refusal(&mut far, &again);
}

#[test]
fn altered_and_random_frames_leave_the_host_serving() {
    let recorded = Recorded::new();
    let before = recorded.host.counts();
    let mut rng = StdRng::seed_from_u64(41);
    for round in 0..300 {
        let mut bytes = recorded.bytes.clone();
        if round % 3 == 0 {
            let body: Vec<u8> = (0..rng.random_range(0..200)).map(|_| rng.random()).collect();
            bytes = Vec::new();
            frame::write(&mut bytes, &body).unwrap();
        }
        for _ in 0..rng.random_range(1..4) {
            let at = rng.random_range(4..bytes.len().max(5));
            if let Some(byte) = bytes.get_mut(at) {
                *byte = rng.random();
            }
        }
        let mut stream = TcpStream::connect(recorded.host.address()).unwrap();
        let _ = stream.write_all(&bytes);
        let _ = stream.shutdown(Shutdown::Write);
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        let ended = stream.read_to_end(&mut Vec::new());
        let reset = |error: &std::io::Error| error.kind() == ErrorKind::ConnectionReset;
        assert!(ended.is_ok() || ended.is_err_and(|error| reset(&error)), "round {round}");
    }
    assert!(recorded.inbox.is_empty());
    assert_eq!(recorded.host.counts().received, before.received);
    assert!(client::status(recorded.host.address(), "right", PATIENCE).is_ok());
}

#[test]
fn oversized_first_frame_ends_the_connection() {
    let host = Host::new("a1", "s");
    let mut stream = TcpStream::connect(host.handle.address()).unwrap();
    stream.write_all(&(1_000_000u32).to_be_bytes()).unwrap();
    // Shorter than the time within which a peer has to authenticate itself.
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    assert_eq!(stream.read(&mut [0; 1]).unwrap(), 0);
}

/// Answers every greeting without the key.
struct Impostor(Arc<AtomicUsize>);

impl HostSyncHandler for Impostor {
    fn handle_greet(&self, _: Envelope) -> thrift::Result<Greeting> {
        Ok(Greeting::new("a2.1".to_owned(), 1, 1, vec![0; 32]))
    }

    fn handle_deliver(&self, _: Envelope) -> thrift::Result<()> {
        self.0.fetch_add(1, Ordering::SeqCst);
        Ok(())
    }

    fn handle_status(&self, _: String) -> thrift::Result<laburnum::Status> {
        Err("none".into())
    }

    fn handle_timeline(&self, _: String, _: TimelineQuery) -> thrift::Result<Vec<TimelineEvent>> {
        Err("none".into())
    }
}

#[test]
fn impostor_gets_no_message() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address: Arc<str> = Arc::from(listener.local_addr().unwrap().to_string());
    let delivered = Arc::new(AtomicUsize::new(0));
    let processor = HostSyncProcessor::new(Impostor(delivered.clone()));
    let served = std::thread::spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        let mut input = TCompactInputProtocol::new(frame::Reader::new(stream.try_clone().unwrap()));
        let mut output = TCompactOutputProtocol::new(frame::Writer::new(stream));
        while processor.process(&mut input, &mut output).is_ok() {}
    });
    let one = Host::new("a1", "s");
    one.send(address.clone(), Message::TransferAck { number: 1 });
    let report = one.inbox.recv_timeout(Duration::from_secs(5));
    drop(one);
    served.join().unwrap();
    assert_eq!(delivered.load(Ordering::SeqCst), 0);
    assert_eq!(report, Ok(Inbound::Unreachable { address }));
}

#[test]
fn operator_reads_status_and_timeline() {
    let host = Host::new("a1", "s");
    let address = host.handle.address();
    let status = client::status(address, "right", PATIENCE).unwrap();
    assert_eq!(Some(status), Operator.status());
    let all = timeline::Query::all();
    let events = client::timeline(address, "right", &all, PATIENCE).unwrap();
    assert_eq!(Some(events), Operator.timeline(&all));
    let none = timeline::Query { request: Some(request::Id([9; 16])), ..all };
    assert!(client::timeline(address, "right", &none, PATIENCE).unwrap().is_empty());
}

#[test]
fn operator_with_a_wrong_token_is_refused() {
    let host = Host::new("a1", "s");
    let address = host.handle.address();
    let error = client::status(address, "wrong", PATIENCE).unwrap_err();
    assert!(format!("{error:#}").contains("not authorised"), "{error:#}");
    let all = timeline::Query::all();
    assert!(client::timeline(address, "", &all, PATIENCE).is_err());
}
