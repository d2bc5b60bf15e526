//! Bad input at the callers' edge.

#[allow(dead_code)]
mod fleet;

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use fleet::{Fleet, Plan};
use serde_json::json;
use standin::control;

/// One request, sent as it stands.
struct Case {
    name: &'static str,
    request: String,
    status: u16,
    code: &'static str,
}

fn post(path: &str, headers: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn with_token(path: &str, headers: &str, body: &str) -> String {
    post(path, &format!("authorization: Bearer {}\r\n{headers}", fleet::TOKEN), body)
}

fn exchange(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("connect");
    stream.set_read_timeout(Some(Duration::from_secs(60))).expect("timeout");
    // A host may refuse and close before it has read everything.
    let _ = stream.write_all(request.as_bytes());
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn cases() -> Vec<Case> {
    let draft = "/v1/services/draft";
    let good = r#"{"prompt": "A letter", "max_tokens": 5}"#;
    let case = |name, request, status, code| Case { name, request, status, code };
    vec![
        case("no token", post(draft, "", good), 401, "unauthorized"),
        case(
            "wrong token",
            post(draft, "authorization: Bearer nobody\r\n", good),
            401,
            "unauthorized",
        ),
        case(
            "another scheme",
            post(draft, "authorization: Basic eDp5\r\n", good),
            401,
            "unauthorized",
        ),
        case("malformed JSON", with_token(draft, "", "{"), 400, "bad_json"),
        case("not UTF-8", with_token(draft, "", "\u{fffd}{"), 400, "bad_json"),
        case("empty body", with_token(draft, "", ""), 400, "bad_json"),
        case("unknown field", with_token(draft, "", r#"{"promt": "x"}"#), 400, "bad_json"),
        case("empty prompt", with_token(draft, "", r#"{"prompt": ""}"#), 400, "bad_json"),
        case(
            "prompt and input",
            with_token(draft, "", r#"{"prompt": "x", "input": 1}"#),
            400,
            "bad_json",
        ),
        case(
            "no tokens",
            with_token(draft, "", r#"{"prompt": "x", "max_tokens": 0}"#),
            400,
            "bad_max_tokens",
        ),
        case(
            "too many tokens",
            with_token(draft, "", r#"{"prompt": "x", "max_tokens": 2001}"#),
            400,
            "bad_max_tokens",
        ),
        case(
            "negative tokens",
            with_token(draft, "", r#"{"prompt": "x", "max_tokens": -1}"#),
            400,
            "bad_json",
        ),
        case(
            "unknown budget",
            with_token(draft, "", r#"{"prompt": "x", "budget": "theirs"}"#),
            404,
            "unknown_budget",
        ),
        case(
            "unknown service",
            with_token("/v1/services/nothing", "", good),
            404,
            "unknown_service",
        ),
        case("unknown path", with_token("/v2", "", good), 404, "not_found"),
        case("wrong method", with_token(draft, "", good).replacen("POST", "PUT", 1), 405, "method"),
        case(
            "key too long",
            with_token(draft, &format!("idempotency-key: {}\r\n", "k".repeat(257)), good),
            400,
            "bad_key",
        ),
        case(
            "call without a ticket",
            with_token("/v1/services/disburse", "", r#"{"input": 1}"#),
            400,
            "ticket_required",
        ),
        case(
            "call with a key of its own",
            with_token("/v1/services/disburse", "idempotency-key: mine\r\n", r#"{"input": 1}"#),
            400,
            "bad_ticket",
        ),
        case(
            "call with a forged ticket",
            with_token(
                "/v1/services/disburse",
                "idempotency-key: host-a.1.1.00000000000000000000000000000000\r\n",
                r#"{"input": 1}"#,
            ),
            400,
            "bad_ticket",
        ),
        case(
            "body too large",
            with_token(draft, "", &format!(r#"{{"prompt": "{}"}}"#, "x".repeat(5_000))),
            413,
            "body_too_large",
        ),
    ]
}

const PLAN: Plan = Plan {
    hosts: &[("host-a", "a")],
    prepaid: 1_000_000,
    token: Duration::from_millis(2),
    slots: 8,
    peers: true,
    network: false,
    settings: "[limits]\nmax_body_bytes = 4096\nmax_header_bytes = 8192\n\
               [timing]\nclient_ms = 500\n",
};

#[test]
fn bad_requests_get_a_clear_answer_and_cost_nothing() {
    let fleet = Fleet::open(PLAN);
    let address = fleet.hosts["host-a"].callers;
    for Case { name, request, status, code } in cases() {
        let answer = exchange(address, &request);
        assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{name}: {answer}");
        assert!(answer.contains(&format!("\"code\":\"{code}\"")), "{name}: {answer}");
        assert!(answer.contains("\"outcome\":\"not_run\""), "{name}: {answer}");
    }
    let large = with_token("/v1/services/draft", &format!("x: {}\r\n", "y".repeat(20_000)), "{}");
    let answer = exchange(address, &large);
    assert!(answer.starts_with("HTTP/1.1 431 "), "{answer}");
    assert_eq!(started(&fleet), 0);
    assert_eq!(fleet.metric("host-a", "laburnum_reserved_tokens"), 0);
    assert_eq!(fleet.metric("host-a", "laburnum_charged_tokens"), 0);
}

#[test]
fn slow_and_partial_requests_end_without_a_run() {
    let fleet = Fleet::open(PLAN);
    let address = fleet.hosts["host-a"].callers;
    let whole = with_token("/v1/services/draft", "", r#"{"prompt": "x"}"#);
    let partial = &whole[..whole.len() - 3];
    let answer = exchange(address, partial);
    assert!(answer.contains("\"code\":\"slow_request\""), "{answer}");
    let head = exchange(address, "POST /v1/services/draft HT");
    assert!(!head.contains("200 OK"), "{head}");
    assert_eq!(started(&fleet), 0);
}

#[test]
fn a_caller_that_leaves_frees_its_reservation_and_the_engine() {
    let fleet = Fleet::open(PLAN);
    for engine in &fleet.engines {
        control::post(engine.address, "/control/hold", &json!({"after": 2})).expect("hold");
    }
    let request = with_token("/v1/services/draft", "", r#"{"prompt": "x", "max_tokens": 50}"#);
    let mut stream = TcpStream::connect(fleet.hosts["host-a"].callers).expect("connect");
    stream.write_all(request.as_bytes()).expect("write");
    let mut first = [0; 512];
    assert!(stream.read(&mut first).expect("head") > 0);
    fleet.wait("the request holds a reservation", || {
        fleet.metric("host-a", "laburnum_reserved_tokens") > 0
    });
    drop(stream);
    fleet.wait("the reservation is free", || {
        fleet.metric("host-a", "laburnum_reserved_tokens") == 0
    });
    fleet.wait("the engine was told", || counts(&fleet, "cancelled") == 1);
}

#[test]
fn a_flood_of_connections_leaves_the_host_serving() {
    let settings = "[limits]\nmax_connections = 16\n";
    let fleet = Fleet::open(Plan { settings, ..PLAN });
    let address = fleet.hosts["host-a"].callers;
    let idle: Vec<TcpStream> = (0..64).filter_map(|_| TcpStream::connect(address).ok()).collect();
    let request = with_token("/v1/services/draft", "", r#"{"prompt": "x", "max_tokens": 5}"#);
    let refused = exchange(address, &request);
    assert!(refused.starts_with("HTTP/1.1 503 "), "{refused}");
    assert!(refused.contains("\"outcome\":\"not_run_here\""), "{refused}");
    drop(idle);
    fleet.wait("the host serves again", || exchange(address, &request).contains("event: end"));
}

fn started(fleet: &Fleet) -> u64 {
    counts(fleet, "started")
}

fn counts(fleet: &Fleet, name: &str) -> u64 {
    let counts = fleet.engines.iter().map(|engine| {
        let counts = control::get(engine.address, "/control/counts").expect("counts");
        counts[name].as_u64().expect("count")
    });
    counts.sum()
}
