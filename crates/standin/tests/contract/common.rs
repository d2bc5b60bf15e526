//! Helpers shared by the tests of the engine.

use std::{
    io::{BufRead, BufReader},
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use coordination::record::{Model, empty};
use oxhttp::{
    Client,
    model::{Body, Request, Response},
};
use serde_json::{Value, json};
use standin::{engine, http::Handle};

/// Wait after which a test gives up.
pub const PATIENT: Duration = Duration::from_secs(20);

/// Returns a loopback address that no other process uses, so that a free port there stays free.
pub fn lonely() -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 77, high, low)
}

/// Starts an engine that holds model `m` and makes tokens as fast as it can.
pub fn engine(change: impl FnOnce(&mut engine::Settings)) -> Handle {
    let mut settings = engine::Settings {
        token_time: Duration::ZERO,
        first_time: Duration::ZERO,
        models: vec![Model { name: "m".into(), adapter: empty(), version: empty() }],
        load_lag: Duration::ZERO,
        cache_lag: Duration::ZERO,
        cache_gap: 0,
        ..Default::default()
    };
    change(&mut settings);
    engine::spawn(settings).unwrap()
}

/// Returns a question for five tokens, with some fields replaced.
pub fn ask(fields: Value) -> Value {
    let mut ask = json!({"attempt": 1, "model": "m", "adapter": "", "version": "",
        "prompt": "hello", "max_tokens": 5, "priority": "normal", "offset": 0});
    for (field, value) in fields.as_object().unwrap() {
        ask[field] = value.clone();
    }
    ask
}

/// Opens a stream and returns the answer once its head has come.
pub fn open(peer: SocketAddr, request: &str, ask: &Value, timeout: Duration) -> Response<Body> {
    let request = Request::builder()
        .method("POST")
        .uri(format!("http://{peer}/streams/{request}"))
        .body(Body::from(ask.to_string()))
        .unwrap();
    Client::new().with_global_timeout(timeout).request(request).unwrap()
}

/// How an answer ends.
#[derive(Debug, PartialEq, Eq)]
pub enum Ending {
    /// The body ended cleanly.
    Clean,
    /// The body broke off, or nothing came for too long.
    Broken,
}

/// Reads an answer line by line.
pub fn read(response: Response<Body>) -> (Vec<Value>, Ending) {
    let mut lines = Vec::new();
    for line in BufReader::new(response.into_body()).lines() {
        match line {
            Ok(line) => lines.push(serde_json::from_str(&line).unwrap()),
            Err(_) => return (lines, Ending::Broken),
        }
    }
    (lines, Ending::Clean)
}

/// Returns the line of a token.
pub fn line(request: &str, attempt: u64, offset: u64) -> Value {
    let token = engine::token(request, offset);
    json!({"request": request, "attempt": attempt, "offset": offset, "token": token})
}

/// Returns the end line of a stream whose prompt counts two tokens.
pub fn end(request: &str, attempt: u64, tokens: u64) -> Value {
    json!({"request": request, "attempt": attempt, "end": true, "tokens": tokens,
        "prompt_tokens": 2})
}

/// Reads a whole stream.
pub fn stream(peer: SocketAddr, request: &str, fields: Value) -> (Vec<Value>, Ending) {
    read(open(peer, request, &ask(fields), PATIENT))
}
