//! Facts about the HTTP libraries on which decisions rest.

use std::{
    io::{self, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::mpsc,
    thread,
};

use oxhttp::{
    Client, Server,
    model::{Body, Request, Response},
};
use serde_json::{Value, json};
use standin::{control, raw};
use test_case::test_case;

use crate::common::{PATIENT, ask, end, engine, line, lonely};

/// Reads from a socket up to a piece of text.
fn read_until(socket: &mut TcpStream, text: &str) -> String {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(text.as_bytes()) {
        socket.read_exact(&mut byte).unwrap();
        bytes.push(byte[0]);
    }
    String::from_utf8(bytes).unwrap()
}

/// Returns whether a socket has nothing to read.
fn is_drained(socket: &TcpStream) -> bool {
    socket.set_nonblocking(true).unwrap();
    let peeked = socket.peek(&mut [0]);
    socket.set_nonblocking(false).unwrap();
    matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}

/// Returns an address on which nothing listens.
fn free() -> SocketAddr {
    TcpListener::bind((lonely(), 0)).unwrap().local_addr().unwrap()
}

fn connect(address: SocketAddr) -> TcpStream {
    let socket = TcpStream::connect(address).unwrap();
    socket.set_read_timeout(Some(PATIENT)).unwrap();
    socket
}

#[test]
fn hyper_flushes_each_piece_while_the_next_is_held_back() {
    let engine = engine(|_| {});
    control::post(engine.address, "/control/hold", &json!({"after": 0})).unwrap();
    let mut socket = connect(engine.address);
    let body = ask(json!({"max_tokens": 3})).to_string();
    let length = body.len();
    write!(socket, "POST /streams/r HTTP/1.1\r\nhost: e\r\ncontent-length: {length}\r\n\r\n{body}")
        .unwrap();
    let head = read_until(&mut socket, "\r\n\r\n");
    assert!(head.contains("transfer-encoding: chunked"), "{head}");
    for offset in 0..3 {
        assert!(is_drained(&socket));
        let after = json!({"after": offset + 1});
        control::post(engine.address, "/control/hold", &after).unwrap();
        assert_eq!(read_chunk(&mut socket), line("r", 1, offset));
        if offset < 2 {
            let document = control::get(engine.address, "/streams/r").unwrap();
            assert_eq!(
                (&document["state"], &document["tokens"]),
                (&json!("running"), &json!(offset + 1))
            );
        }
    }
    assert_eq!(read_chunk(&mut socket), end("r", 1, 3));
    assert_eq!(read_until(&mut socket, "\r\n\r\n"), "0\r\n\r\n");
}

/// Reads one chunk, which holds one line.
fn read_chunk(socket: &mut TcpStream) -> Value {
    let size = read_until(socket, "\r\n");
    let chunk = read_until(socket, "\r\n");
    assert_eq!(usize::from_str_radix(size.trim(), 16).unwrap(), chunk.len() - 2);
    assert!(chunk.ends_with("\n\r\n"), "{chunk:?}");
    serde_json::from_str(chunk.trim()).unwrap()
}

/// Body that tells when a piece is wanted and waits for it.
struct Pieces {
    wanted: mpsc::Sender<()>,
    pieces: mpsc::Receiver<Vec<u8>>,
}

impl Read for Pieces {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.wanted.send(()).map_err(io::Error::other)?;
        let Ok(piece) = self.pieces.recv() else { return Ok(0) };
        buffer[..piece.len()].copy_from_slice(&piece);
        Ok(piece.len())
    }
}

#[test]
fn oxhttp_server_keeps_a_piece_back_while_it_waits_for_the_next() {
    let (wanted, asked) = mpsc::channel();
    let (pieces, source) = mpsc::channel();
    let body = std::sync::Mutex::new(Some(Pieces { wanted, pieces: source }));
    let address = free();
    let _server = Server::new(move |_| {
        let body = body.lock().unwrap().take().unwrap();
        Response::builder().body(Body::from_read(body)).unwrap()
    })
    .bind(address)
    .spawn()
    .unwrap();
    let mut socket = connect(address);
    write!(socket, "GET / HTTP/1.1\r\nhost: s\r\n\r\n").unwrap();
    asked.recv_timeout(PATIENT).unwrap();
    pieces.send(b"first".to_vec()).unwrap();
    asked.recv_timeout(PATIENT).unwrap();
    assert!(is_drained(&socket));
    drop(pieces);
    assert!(read_until(&mut socket, "0\r\n\r\n").contains("first"));
}

#[test]
fn oxhttp_client_reads_a_piece_before_the_next_is_sent() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let (read, seen) = mpsc::channel();
    let server = thread::spawn(move || {
        let (mut socket, _) = listener.accept().unwrap();
        read_until(&mut socket, "\r\n\r\n");
        write!(socket, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").unwrap();
        for piece in ["a", "b", "c"] {
            write!(socket, "1\r\n{piece}\r\n").unwrap();
            seen.recv_timeout(PATIENT).unwrap();
        }
        write!(socket, "0\r\n\r\n").unwrap();
    });
    let request = Request::builder().uri(format!("http://{address}/")).body(Body::empty()).unwrap();
    let mut body = Client::new().request(request).unwrap().into_body();
    let mut buffer = [0; 64];
    for piece in [b"a", b"b", b"c"] {
        assert_eq!(body.read(&mut buffer).unwrap(), 1);
        assert_eq!(&buffer[..1], piece);
        read.send(()).unwrap();
    }
    assert_eq!(body.read(&mut buffer).unwrap(), 0);
    server.join().unwrap();
}

#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody" => Some("body".to_owned()); "whole")]
#[test_case("HTTP/1.1 200 OK\r\n\r\nbody" => Some(String::new()); "neither length nor chunks reads as empty")]
#[test_case("HTTP/1.0 200 OK\r\n\r\nbody" => Some(String::new()); "old version reads as empty")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nbody" => None; "short body")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n" => None; "no last chunk")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n8\r\nbody" => None; "cut chunk")]
fn oxhttp_client_sees_a_cut_body_but_not_a_missing_length(answer: &str) -> Option<String> {
    let peer = raw::spawn(answer).unwrap();
    let uri = format!("http://{}/", peer.address);
    let request = Request::builder().uri(uri).body(Body::empty()).unwrap();
    Client::new().request(request).unwrap().into_body().to_string().ok()
}

#[test]
fn oxhttp_client_tells_a_refused_connection() {
    let address = free();
    let request = Request::builder().uri(format!("http://{address}/")).body(Body::empty()).unwrap();
    let Err(error) = Client::new().request(request) else { panic!("nothing listens") };
    assert_eq!(error.kind(), io::ErrorKind::ConnectionRefused);
}
