//! Refusals of requests that are still being sent.

#[allow(dead_code)]
mod fleet;

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use fleet::{Fleet, Plan};
use test_case::test_case;

/// Largest body in bytes that a request may have.
const MAX_BODY_BYTES: usize = 256 * 1024;

/// Length in bytes of a body that fills the buffers of a connection.
const LONG_BODY_BYTES: usize = 200_000;

/// Pause between the halves of a request.
const PAUSE: Duration = Duration::from_millis(300);

/// Longest wait for anything that must come.
const PATIENCE: Duration = Duration::from_secs(60);

const DRAFT: &str = "/v1/services/draft";

const PLAN: Plan = Plan {
    hosts: &[("host-a", "a")],
    prepaid: 1_000_000,
    token: Duration::from_millis(2),
    slots: 8,
    peers: true,
    network: false,
    settings: "[limits]\nmax_body_bytes = 262144\nmax_header_bytes = 16384\n\
               [timing]\nclient_ms = 20000\n",
};

/// A refusal or an answer.
#[derive(Debug)]
struct Message {
    status: u16,
    is_close_announced: bool,
    body: Vec<u8>,
    is_whole: bool,
}

/// A caller's connection.
struct Connection(TcpStream);

impl Connection {
    fn open(to: SocketAddr) -> Self {
        let stream = TcpStream::connect(to).expect("connect");
        stream.set_read_timeout(Some(PATIENCE)).expect("timeout");
        stream.set_write_timeout(Some(PATIENCE)).expect("timeout");
        Self(stream)
    }

    /// Returns whether the write came to its end.
    fn write(&mut self, bytes: &[u8]) -> bool {
        self.0.write_all(bytes).is_ok()
    }

    /// Reads a message; `None` if the connection ends before the end of its head.
    fn receive(&mut self) -> Option<Message> {
        let mut bytes = Vec::new();
        let end = loop {
            if let Some(start) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
                break start + 4;
            }
            self.read(&mut bytes)?;
        };
        let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
        let header = |name: &str| {
            let mut fields = head.lines().filter_map(|line| line.split_once(": "));
            fields.find(|field| field.0 == name).map(|field| field.1.to_owned())
        };
        let length = header("content-length").map(|text| text.parse().expect("a length"));
        let is_whole = |bytes: &[u8]| match length {
            Some(length) => bytes.len() - end >= length,
            None => bytes[end..].ends_with(b"\r\n0\r\n\r\n"),
        };
        while !is_whole(&bytes) && self.read(&mut bytes).is_some() {}
        Some(Message {
            status: head.split(' ').nth(1)?.parse().ok()?,
            is_close_announced: header("connection").as_deref() == Some("close"),
            is_whole: is_whole(&bytes),
            body: bytes.split_off(end),
        })
    }

    fn read(&mut self, bytes: &mut Vec<u8>) -> Option<()> {
        let mut piece = [0; 4096];
        let length = self.0.read(&mut piece).ok().filter(|length| *length > 0)?;
        bytes.extend_from_slice(&piece[..length]);
        Some(())
    }

    /// Waits until the host closes the connection; returns false if it doesn't, or resets it, or
    /// sends anything.
    fn is_closed_by_host(&mut self) -> bool {
        matches!(self.0.read(&mut [0]), Ok(0))
    }

    fn call(&mut self) -> Option<u16> {
        let body = r#"{"prompt": "A letter", "max_tokens": 1}"#;
        let head = format!(
            "POST {DRAFT} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\n\
             content-length: {}\r\n\r\n{body}",
            fleet::TOKEN,
            body.len()
        );
        if !self.write(head.as_bytes()) {
            return None;
        }
        self.receive().filter(|answer| answer.is_whole).map(|answer| answer.status)
    }
}

/// How the length of a body is stated.
#[derive(Debug, Clone, Copy)]
enum Framing {
    Length,
    Chunks,
}

impl Framing {
    const ALL: [Self; 2] = [Self::Length, Self::Chunks];

    /// Returns the header, and the two halves of a body of this length.
    fn encode(self, length: usize) -> (String, [Vec<u8>; 2]) {
        let half = vec![b'x'; length / 2];
        match self {
            Self::Length => (format!("content-length: {length}"), [half.clone(), half]),
            Self::Chunks => {
                let start = format!("{:x}\r\n", half.len());
                let chunk = [start.as_bytes(), &half, b"\r\n"].concat();
                let last = [chunk.as_slice(), b"0\r\n\r\n"].concat();
                ("transfer-encoding: chunked".to_owned(), [chunk, last])
            }
        }
    }
}

/// A request that is refused before its body has been read.
#[derive(Debug)]
struct Refused {
    method: &'static str,
    path: &'static str,
    has_token: bool,
    key: &'static str,
    body_bytes: usize,
    status: u16,
    code: &'static str,
}

impl Refused {
    /// A request with a body that isn't JSON.
    const BASE: Self = Self {
        method: "POST",
        path: DRAFT,
        has_token: true,
        key: "k",
        body_bytes: LONG_BODY_BYTES,
        status: 400,
        code: "bad_json",
    };

    fn head(&self, more: &str) -> String {
        let token = match self.has_token {
            true => format!("authorization: Bearer {}\r\n", fleet::TOKEN),
            false => String::new(),
        };
        format!(
            "{} {} HTTP/1.1\r\nhost: x\r\n{token}idempotency-key: {}\r\n{more}\r\n\r\n",
            self.method, self.path, self.key
        )
    }

    /// Sends it in two halves and reads the refusal.
    fn refusal(&self, connection: &mut Connection, framing: Framing) -> Message {
        let context = format!("{self:?} {framing:?}");
        let (length, [first, second]) = framing.encode(self.body_bytes);
        assert!(connection.write(self.head(&length).as_bytes()), "{context}: sent");
        assert!(connection.write(&first), "{context}: sent");
        thread::sleep(PAUSE);
        assert!(connection.write(&second), "{context}: the connection broke within the body");
        let Some(refusal) = connection.receive() else { panic!("{context}: no refusal") };
        assert_eq!((refusal.status, refusal.is_whole), (self.status, true), "{context}");
        let code = format!("\"code\":\"{}\"", self.code);
        assert!(String::from_utf8_lossy(&refusal.body).contains(&code), "{context}: {refusal:?}");
        refusal
    }
}

#[test_case(Refused { path: "/v2", status: 404, code: "not_found", ..Refused::BASE }; "unknown path")]
#[test_case(Refused { method: "PUT", status: 405, code: "method", ..Refused::BASE }; "wrong method")]
#[test_case(Refused { has_token: false, status: 401, code: "unauthorized", ..Refused::BASE }; "no token")]
#[test_case(Refused { key: "", code: "bad_key", ..Refused::BASE }; "malformed key")]
#[test_case(Refused { body_bytes: 2 * MAX_BODY_BYTES, status: 413, code: "body_too_large", ..Refused::BASE }; "too large")]
#[test_case(Refused { path: "/v2", body_bytes: 2 * MAX_BODY_BYTES, status: 404, code: "not_found", ..Refused::BASE }; "too large and unknown path")]
#[test_case(Refused::BASE; "after the body was read")]
fn refusal_before_the_body_was_read_reaches_its_caller_and_announces_a_close(request: Refused) {
    let fleet = Fleet::open(PLAN);
    for framing in Framing::ALL {
        let mut connection = Connection::open(fleet.hosts["host-a"].callers);
        let refusal = request.refusal(&mut connection, framing);
        let context = format!("{request:?} {framing:?}");
        if refusal.is_close_announced {
            assert!(connection.is_closed_by_host(), "{context}: not closed");
        } else {
            assert_eq!(connection.call(), Some(200), "{context}: closed without notice");
        }
    }
}

#[test]
fn caller_that_awaits_permission_for_a_refused_body_is_told_of_the_close() {
    let fleet = Fleet::open(PLAN);
    let mut connection = Connection::open(fleet.hosts["host-a"].callers);
    let request = Refused { path: "/v2", ..Refused::BASE };
    let head = request.head("expect: 100-continue\r\ncontent-length: 100");
    assert!(connection.write(head.as_bytes()));
    let refusal = connection.receive().expect("a refusal");
    assert_eq!((refusal.status, refusal.is_close_announced), (404, true), "{refusal:?}");
}

#[test]
fn caller_whose_body_is_too_slow_is_told_of_the_close() {
    let settings = "[limits]\nmax_body_bytes = 262144\n[timing]\nclient_ms = 500\n";
    let fleet = Fleet::open(Plan { settings, ..PLAN });
    for framing in Framing::ALL {
        let mut connection = Connection::open(fleet.hosts["host-a"].callers);
        let (length, [first, _]) = framing.encode(LONG_BODY_BYTES);
        assert!(connection.write(Refused::BASE.head(&length).as_bytes()));
        assert!(connection.write(&first));
        let refusal = connection.receive().expect("a refusal");
        assert_eq!((refusal.status, refusal.is_close_announced), (408, true), "{refusal:?}");
        assert!(connection.is_closed_by_host(), "{framing:?}: not closed");
    }
}

#[test]
fn refusal_of_a_connection_too_many_reaches_its_caller() {
    let settings = "[limits]\nmax_connections = 1\n[timing]\nclient_ms = 20000\n";
    let fleet = Fleet::open(Plan { settings, ..PLAN });
    let address = fleet.hosts["host-a"].callers;
    let mut only = Connection::open(address);
    assert_eq!(only.call(), Some(200));
    let request = Refused { status: 503, code: "overloaded", ..Refused::BASE };
    for framing in Framing::ALL {
        let mut connection = Connection::open(address);
        let refusal = request.refusal(&mut connection, framing);
        assert!(refusal.is_close_announced, "{refusal:?}");
        assert!(connection.is_closed_by_host(), "{framing:?}: not closed");
    }
}

#[test]
fn refused_connections_that_their_callers_keep_open_hold_few_descriptors() {
    const CALLERS: usize = 200;
    const KEPT: usize = 64;

    let settings = "[limits]\nmax_connections = 1\n[timing]\nclient_ms = 600000\n";
    let fleet = Fleet::open(Plan { settings, ..PLAN });
    let address = fleet.hosts["host-a"].callers;
    let mut only = Connection::open(address);
    assert_eq!(only.call(), Some(200));
    let mut refused: Vec<_> = (0..CALLERS).map(|_| Connection::open(address)).collect();
    for connection in &mut refused {
        let status = connection.receive().map(|refusal| refusal.status);
        assert_eq!(status, Some(503));
    }
    // A write fails once the host has closed its end.
    fleet.wait("the host closed all but a few", || {
        refused.iter_mut().filter_map(|caller| caller.write(b"x").then_some(())).count() <= KEPT
    });
    assert_eq!(only.call(), Some(200));
}

/// A head that can't be parsed, or is longer than any host reads.
#[derive(Debug)]
struct UnreadableHead {
    start: &'static str,
    /// Length in bytes of what follows the start without a break.
    filler_bytes: usize,
    end: &'static str,
    status: u16,
}

#[test_case(UnreadableHead { start: "GARB\0AGE\r\nhost: x\r\nx: ", filler_bytes: 1, end: "\r\n\r\n", status: 400 }; "garbage")]
#[test_case(UnreadableHead { start: "GARB\0AGE\r\nhost: x\r\nx: ", filler_bytes: LONG_BODY_BYTES, end: "\r\n\r\n", status: 400 }; "long garbage")]
#[test_case(UnreadableHead { start: "GET / HTTP/1.1\r\nhost: x\r\nx: ", filler_bytes: LONG_BODY_BYTES, end: "\r\n\r\n", status: 431 }; "long head")]
fn refusal_of_an_unreadable_head_reaches_its_caller_and_announces_the_close(head: UnreadableHead) {
    let fleet = Fleet::open(PLAN);
    let filler = "x".repeat(head.filler_bytes);
    let text = format!("{}{filler}{}", head.start, head.end);
    let (first, second) = text.as_bytes().split_at(text.len() / 2);
    let mut connection = Connection::open(fleet.hosts["host-a"].callers);
    assert!(connection.write(first), "{}: sent", head.start);
    thread::sleep(PAUSE);
    assert!(connection.write(second), "{}: broke within the head", head.start);
    let Some(refusal) = connection.receive() else { panic!("{}: no refusal", head.start) };
    assert_eq!((refusal.status, refusal.is_whole), (head.status, true), "{refusal:?}");
    assert!(refusal.is_close_announced, "{refusal:?}");
    assert!(connection.is_closed_by_host(), "{}: not closed", head.start);
}
