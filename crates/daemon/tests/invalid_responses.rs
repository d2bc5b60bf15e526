//! Answers of back ends that aren't valid, or that break off while the request is still being sent.

#[allow(dead_code)]
mod fleet;

use std::{net::SocketAddr, sync::Arc, thread, time::Duration};

use coordination::{
    host::{
        event::{Event, Report},
        exchange::{Exchange, Stream},
    },
    request::{Class, Id},
};
use crossbeam::channel::unbounded;
use daemon::{backend, driver::Inbound};
use fleet::{
    Fleet, Plan,
    account::{call, prompt},
};
use serde_json::json;
use standin::raw;
use test_case::test_case;

/// Longest wait for anything that must come.
const PATIENCE: Duration = Duration::from_secs(60);

/// Length in bytes of a long request.
const LONG_BYTES: usize = 3_000_000;

/// Tokens of a whole answer.
const TOKENS: u64 = 12;

/// Requests that are sent while one of two back ends is faulty.
const REQUESTS: usize = 12;

/// Pause between an early answer and the reset of the connection.
const RESET_PAUSE: Duration = Duration::from_millis(20);

/// Kind of a request to a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    /// Call of a plain service.
    Call,
    /// Stream of an engine.
    Stream,
}

impl Kind {
    fn exchange(self, address: SocketAddr, text: &str) -> Exchange {
        let address = format!("http://{address}").into();
        match self {
            Self::Call => Exchange::Request {
                run: 1,
                address,
                service: "disburse".into(),
                request: Id([1; 16]),
                body: text.into(),
                timeout_ms: 10_000,
            },
            Self::Stream => {
                let stream = Stream {
                    stream: Id([1; 16]),
                    attempt: 1,
                    model: "assess".into(),
                    adapter: "".into(),
                    version: "".into(),
                    prompt: text.into(),
                    max_tokens: TOKENS,
                    class: Class::Normal,
                    offset: 0,
                };
                Exchange::Stream { run: 1, address, stream }
            }
        }
    }

    /// Returns the last report of a request to a peer.
    fn report(self, peer: &raw::Handle, text: &str) -> Report {
        let (exchanges, queue) = unbounded();
        let (core, events) = unbounded();
        let limits = backend::Limits { exchanges: 1, stall: PATIENCE };
        let service = thread::spawn(move || backend::run(&queue, core, limits));
        exchanges.send(self.exchange(peer.address, text)).expect("send");
        drop(exchanges);
        let reports = events.iter().filter_map(|event| match event {
            Inbound::Event(Event::Backend { report, .. }) => Some(report),
            _ => None,
        });
        let last = reports.last().expect("report");
        service.join().expect("thread").expect("service");
        last
    }
}

fn is_broken(report: &Report) -> bool {
    matches!(report, Report::Failed { unsent: false, .. })
}

/// An answer with a status that is none was passed on.
#[test_case("000"; "three zeros")]
#[test_case("099"; "below one hundred with a leading zero")]
#[test_case("0"; "one digit")]
#[test_case("99"; "two digits")]
#[test_case("600"; "six hundred")]
#[test_case("999"; "largest of three digits")]
#[test_case("2000"; "four digits")]
#[test_case("2x0"; "not a number")]
#[test_case("OK"; "word")]
#[test_case(""; "nothing")]
#[test_case("100"; "informational")]
#[test_case("101"; "another protocol")]
#[test_case("204"; "no content with a body")]
fn invalid_status_is_no_answer(status: &str) {
    for kind in [Kind::Call, Kind::Stream] {
        for framing in [
            "Content-Length: 2\r\n\r\n{}",
            "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
        ] {
            let peer = raw::spawn(format!("HTTP/1.1 {status} Odd\r\n{framing}")).expect("peer");
            let report = kind.report(&peer, "{}");
            assert!(is_broken(&report), "{kind:?} {framing:?}: {report:?}");
        }
    }
}

#[test_case("200"; "success")]
#[test_case("404"; "error of the caller")]
#[test_case("500"; "error of the service")]
#[test_case("599"; "largest")]
fn valid_status_is_passed_on(code: &str) {
    let answer = format!("HTTP/1.1 {code} X\r\nContent-Length: 2\r\n\r\n{{}}");
    let peer = raw::spawn(answer).expect("peer");
    let report = Kind::Call.report(&peer, "{}");
    let Report::Answer { status, body } = report else { panic!("{report:?}") };
    assert_eq!((status.to_string().as_str(), &*body), (code, "{}"));
}

/// A part of an answer must not count as the whole one where the connection is reset while the
/// request is being sent.
#[test_case("HTTP/1.1 200 OK\r\n\r\n"; "no length")]
#[test_case("HTTP/1.0 200 OK\r\n\r\n"; "http 1 0")]
#[test_case("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"; "close is announced")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n"; "length")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n33\r\n"; "chunks")]
fn answer_that_breaks_off_during_the_upload_is_no_answer(head: &str) {
    let piece = r#"{"request":"r","attempt":1,"offset":0,"token":"t"}"#;
    let text = "x".repeat(LONG_BYTES);
    for kind in [Kind::Call, Kind::Stream] {
        for pause in [Duration::ZERO, RESET_PAUSE] {
            let peer = raw::spawn_early(format!("{head}{piece}\n"), pause).expect("peer");
            let report = kind.report(&peer, &text);
            assert!(is_broken(&report), "{kind:?} {pause:?}: {report:?}");
        }
    }
}

fn open() -> Fleet {
    Fleet::open(Plan {
        hosts: &[("host-a", "a")],
        prepaid: 1_000_000_000,
        settings: "[limits]\nmax_body_bytes = 4194304\n",
        ..Plan::default()
    })
}

/// Writes the record of a back end at an address, and a route over it and others; waits until the
/// host has them.
fn add(fleet: &Fleet, name: &str, role: &str, address: SocketAddr, route: &serde_json::Value) {
    let models = if role == "engine" { json!([{"name": "assess"}]) } else { json!([]) };
    fleet.put(&json!({
        "kind": "backend", "version": 2, "name": name, "zone": "a", "role": role,
        "address": format!("http://{address}"), "models": models, "slots": 64, "fencing": false,
    }));
    let revision = fleet.put(route);
    fleet.wait("the host has the route", || {
        fleet.metric("host-a", "laburnum_config_revision") >= revision
    });
}

/// What a back end does with requests.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// Answers with this status.
    Status(&'static str),
    /// Answers early, with a part of an answer.
    Early,
}

impl Fault {
    fn spawn(self) -> raw::Handle {
        let peer = match self {
            Self::Status(status) => {
                raw::spawn(format!("HTTP/1.1 {status} Odd\r\nContent-Length: 2\r\n\r\n{{}}"))
            }
            Self::Early => raw::spawn_early("HTTP/1.1 200 OK\r\n\r\n{}", RESET_PAUSE),
        };
        peer.expect("peer")
    }

    /// Returns the text of a request.
    fn text(self) -> Arc<str> {
        let length = if matches!(self, Self::Early) { LONG_BYTES } else { 1 };
        "x".repeat(length).into()
    }
}

#[test_case(Fault::Status("600"); "status too high")]
#[test_case(Fault::Status("000"); "status of zeros")]
#[test_case(Fault::Early; "early answer")]
fn caller_of_a_service_is_told_that_the_call_may_have_run(fault: Fault) {
    let fleet = open();
    let peer = fault.spawn();
    let route = json!({
        "kind": "route", "version": 2, "name": "odd", "class": "urgent", "backends": ["odd"],
        "idempotent": false, "call_tokens": 5, "timeout_ms": 5_000,
    });
    add(&fleet, "odd", "service", peer.address, &route);
    let caller = fleet.caller("host-a");
    let ticket = caller.ticket().expect("ticket");
    let reply = call(&caller, "odd", Some(&ticket), &json!({"input": &*fault.text()}));
    assert_eq!(reply.refusal().1, "unknown", "{reply:?}");
}

#[test_case(Fault::Status("600"); "status too high")]
#[test_case(Fault::Status("000"); "status of zeros")]
#[test_case(Fault::Early; "early answer")]
fn stream_goes_on_at_another_engine(fault: Fault) {
    let fleet = open();
    let peer = fault.spawn();
    let route = json!({
        "kind": "route", "version": 2, "name": "odd", "class": "normal", "idempotent": true,
        "backends": ["odd", "engine-a"], "model": {"name": "assess"}, "max_tokens": 100,
        "timeout_ms": 60_000,
    });
    add(&fleet, "odd", "engine", peer.address, &route);
    for number in 0..REQUESTS {
        let body = prompt(&fault.text(), TOKENS);
        let reply = call(&fleet.caller("host-a"), "odd", None, &body);
        let tokens = reply.tokens.len() as u64;
        assert!(reply.whole() && tokens == TOKENS, "{number}: {reply:?}");
    }
}
