//! Engines besides those of the fleet.

use std::{net::SocketAddr, time::Duration};

use coordination::record::{Model, empty};
use oxhttp::{
    Client,
    model::{Body, Method, Request},
};
use serde_json::json;
use standin::{engine, http};

use crate::fleet::Fleet;

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
