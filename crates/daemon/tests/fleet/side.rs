//! Engines besides those of the fleet.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use coordination::record::{Model, empty};
use oxhttp::{
    Client,
    model::{Body, Method, Request},
};
use serde_json::{Value, json};
use standin::{caller::Reply, control, engine, http};

use crate::fleet::Fleet;

/// Names of the engines.
pub const NAMES: [&str; 3] = ["side-0", "side-1", "side-2"];

/// Tokens of each answer; enough that most are still to come when the engine leaves.
pub const TOKENS: u64 = 1_500;

/// Tokens after which engines wait until the host knows that one leaves.
const HELD: u64 = 50;

/// Starts an engine that holds a model and reads prompts in no time.
pub fn spawn(settings: engine::Settings) -> http::Handle {
    let model = Model { name: "assess".into(), adapter: empty(), version: empty() };
    let handle = engine::spawn(engine::Settings {
        models: vec![model],
        first_time: Duration::ZERO,
        cache_lag: Duration::ZERO,
        ..settings
    });
    handle.expect("engine")
}

/// Writes the record of an engine.
pub fn record(fleet: &Fleet, name: &str, zone: &str, engine: &http::Handle) {
    write(fleet, name, zone, engine, false);
}

/// Writes the record of an engine that leaves; returns its revision.
pub fn leave(fleet: &Fleet, name: &str, zone: &str, engine: &http::Handle) -> u64 {
    write(fleet, name, zone, engine, true)
}

fn write(fleet: &Fleet, name: &str, zone: &str, engine: &http::Handle, leaving: bool) -> u64 {
    fleet.put(&json!({
        "kind": "backend", "version": 2, "name": name, "zone": zone, "role": "engine",
        "address": engine.url(), "models": [{"name": "assess"}], "slots": 8, "fencing": true,
        "leaving": leaving,
    }))
}

/// Writes the route `side` over some engines and waits until every host serves it.
pub fn route(fleet: &Fleet, backends: &[impl AsRef<str>]) {
    let backends: Vec<&str> = backends.iter().map(AsRef::as_ref).collect();
    fleet.put(&json!({
        "kind": "route", "version": 2, "name": "side", "class": "normal", "idempotent": true,
        "backends": backends, "model": {"name": "assess"}, "max_tokens": 10_000,
        "timeout_ms": 60_000,
    }));
    for host in fleet.hosts.keys() {
        fleet.wait(&format!("{host} has the route"), || {
            let body = json!({"prompt": "x", "max_tokens": 1});
            let reply = fleet.caller(host).call("side", None, &body, |_| {});
            reply.is_ok_and(|reply| reply.whole())
        });
    }
}

/// Runs a stream of one token at an engine, past the hosts.
pub fn stream(engine: SocketAddr, name: &str, prompt: &str) {
    let ask = json!({
        "attempt": 1, "model": "assess", "prompt": prompt, "max_tokens": 1, "priority": "normal",
    });
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{engine}/streams/{name}"))
        .body(Body::from(ask.to_string()))
        .expect("request");
    let answer = Client::new().request(request).expect("answer");
    answer.into_body().to_vec().expect("whole answer");
}

/// Engines that one route uses.
pub struct Engines(pub Vec<Option<http::Handle>>);

impl Engines {
    /// Starts the engines of [`NAMES`] and writes their records.
    pub fn open(fleet: &Fleet, token_time: Duration) -> Self {
        let open = |name: &&str| {
            let settings = engine::Settings {
                name: (*name).into(),
                zone: "a".into(),
                token_time,
                load_lag: Duration::ZERO,
                ..engine::Settings::default()
            };
            let handle = spawn(settings);
            record(fleet, name, "a", &handle);
            Some(handle)
        };
        let engines = Self(NAMES.iter().map(open).collect());
        route(fleet, &NAMES);
        engines
    }

    /// Returns a running engine.
    pub fn get(&self, number: usize) -> &http::Handle {
        self.0[number].as_ref().expect("an engine")
    }

    /// Returns the engines that run a stream.
    pub fn running(&self) -> Vec<usize> {
        let load = |engine: &http::Handle| control::get(engine.address, "/load").expect("load");
        let runs = |number: &usize| {
            self.0[*number].as_ref().is_some_and(|engine| load(engine)["running"] != 0)
        };
        (0..NAMES.len()).filter(runs).collect()
    }

    /// Lets streams go no further than [`HELD`] tokens.
    pub fn hold(&self, number: usize) {
        let hold = json!({"after": HELD});
        control::post(self.get(number).address, "/control/hold", &hold).expect("hold");
    }

    /// Lets streams go on.
    pub fn release(&self, number: usize) {
        let Some(engine) = &self.0[number] else { return };
        control::post(engine.address, "/control/release", &Value::Null).expect("release");
    }

    /// Makes an engine fail.
    pub fn fault(&self, number: usize, kind: &str) {
        let fault = json!({"kind": kind});
        control::post(self.get(number).address, "/control/fault", &fault).expect("fault");
    }
}

/// Asks for an answer, and tells when some tokens of it came.
pub fn ask(fleet: &Fleet, read: &AtomicBool) -> Reply {
    let body: Value = json!({"prompt": "x", "max_tokens": TOKENS});
    let reply = fleet.caller("host-a").call("side", None, &body, |token| {
        if token.offset > 2 {
            read.store(true, Ordering::Relaxed);
        }
    });
    reply.expect("reply")
}
