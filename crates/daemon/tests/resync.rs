//! Cache changes of an engine that a host's process missed.

#[allow(dead_code)]
mod fleet;

use std::{net::SocketAddr, thread, time::Duration};

use coordination::record::{Model, empty};
use fleet::{Fleet, Plan};
use oxhttp::{
    Client,
    model::{Body, Method, Request},
};
use serde_json::json;
use standin::{control, engine, http};
use test_case::test_case;

/// Pause between two questions, so that the prompts last for a full read and its pause.
const PAUSE: Duration = Duration::from_millis(250);

/// Prompts that the host learns of in order, in [`BLOCKS`] cache changes each.
const FIRST: usize = 100;

/// Prompts whose cache changes are missed at first; fewer changes than those of [`FIRST`].
const SECOND: usize = 90;

const BLOCKS: usize = 4;

fn spawn(name: &str, zone: &str, listen: SocketAddr) -> http::Handle {
    let model = Model { name: "assess".into(), adapter: empty(), version: empty() };
    let handle = engine::spawn(engine::Settings {
        listen,
        name: name.into(),
        zone: zone.into(),
        models: vec![model],
        token_time: Duration::ZERO,
        first_time: Duration::ZERO,
        cache_lag: Duration::ZERO,
        cache_gap: 0,
        ..engine::Settings::default()
    });
    handle.expect("engine")
}

/// Returns a prompt that shares no block with any other.
fn prompt(set: &str, number: usize) -> String {
    format!("{:<64}", format!("{set} {number}")).repeat(BLOCKS)
}

/// Sends prompts to an engine past the host.
fn fill(engine: SocketAddr, set: &str, count: usize) {
    for number in 0..count {
        let ask = json!({
            "attempt": 1, "model": "assess", "prompt": prompt(set, number), "max_tokens": 1,
            "priority": "normal",
        });
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{engine}/streams/{set}-{number}"))
            .body(Body::from(ask.to_string()))
            .expect("request");
        let answer = Client::new().request(request).expect("answer");
        answer.into_body().to_vec().expect("whole answer");
    }
}

fn started(engine: SocketAddr) -> u64 {
    let counts = control::get(engine, "/control/counts").expect("counts");
    counts["started"].as_u64().expect("started")
}

/// Waits until the host sends one of the prompts to the engine that holds it. Each is asked for
/// once, the last first, since the host takes the engine that it chose for a holder as well.
fn wait_learnt(fleet: &Fleet, engine: SocketAddr, set: &str, count: usize) {
    let mut numbers = (0..count).rev();
    fleet.wait(&format!("the host learns of the prompts {set}"), || {
        thread::sleep(PAUSE);
        let Some(number) = numbers.next() else { return false };
        let before = started(engine);
        let body = json!({"prompt": prompt(set, number), "max_tokens": 1});
        let reply = fleet.caller("host-a").call("far", None, &body, |_| {}).expect("reply");
        assert!(reply.whole(), "{reply:?}");
        started(engine) > before
    });
}

#[test_case(false; "lost on the way")]
#[test_case(true; "of an engine that restarted")]
fn a_host_learns_of_cache_changes_that_it_missed(restart: bool) {
    let fleet = Fleet::open(Plan { hosts: &[("host-a", "a")], ..Plan::default() });
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let near = spawn("engine-near", "a", any);
    let mut far = spawn("engine-far", "b", any);
    for (name, zone, url) in [("engine-near", "a", near.url()), ("engine-far", "b", far.url())] {
        fleet.put(&json!({
            "kind": "backend", "version": 2, "name": name, "zone": zone, "role": "engine",
            "address": url, "models": [{"name": "assess"}], "slots": 8, "fencing": true,
        }));
    }
    fleet.put(&json!({
        "kind": "route", "version": 2, "name": "far", "class": "normal", "idempotent": true,
        "backends": ["engine-near", "engine-far"], "model": {"name": "assess"},
        "max_tokens": 10, "timeout_ms": 60_000,
    }));
    let address = far.address;
    fleet.wait("the host reads the route", || {
        let body = json!({"prompt": "x", "max_tokens": 1});
        let reply = fleet.caller("host-a").call("far", None, &body, |_| {});
        reply.is_ok_and(|reply| reply.whole())
    });
    fill(address, "first", FIRST);
    wait_learnt(&fleet, address, "first", FIRST);
    match restart {
        true => {
            drop(far);
            far = spawn("engine-far", "b", address);
        }
        false => {
            let lose = json!({"events": SECOND * BLOCKS});
            control::post(address, "/control/cache", &lose).expect("control");
        }
    }
    fill(far.address, "second", SECOND);
    wait_learnt(&fleet, far.address, "second", SECOND);
}
