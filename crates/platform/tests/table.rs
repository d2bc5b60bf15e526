//! Interface of the table, as the client sees it against the stand-in platform.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use coordination::table::{Check, Op, Outcome, Row, Txn, Write};
use platform::Client;
use serde_json::{Value, json};
use standin::{control, platform as standin_platform, raw};
use test_case::test_case;

const LONG_TIMEOUT: Duration = Duration::from_secs(10);
const SHORT_TIMEOUT: Duration = Duration::from_millis(100);

fn spawn_platform() -> standin::http::Handle {
    standin_platform::spawn(standin_platform::Settings::default()).unwrap()
}

fn new_client(address: SocketAddr) -> Client {
    Client::new(address, LONG_TIMEOUT)
}

fn put(key: &str, value: &str) -> Write {
    Write { key: key.into(), value: Some(value.into()) }
}

fn delete(key: &str) -> Write {
    Write { key: key.into(), value: None }
}

fn check(key: &str, revision: u64) -> Check {
    Check { key: key.into(), revision }
}

fn commit(checks: Vec<Check>, writes: Vec<Write>) -> Op {
    Op::Commit(Txn { checks, writes })
}

fn row(key: &str, value: Option<&str>, revision: u64) -> Row {
    Row { key: key.into(), value: value.map(Arc::from), revision }
}

fn changes(prefix: &str, after: u64, limit: u32) -> Op {
    Op::Changes { prefix: prefix.into(), after, limit }
}

fn scan(prefix: &str, after: &str, limit: u32) -> Op {
    Op::Scan { prefix: prefix.into(), after: after.into(), limit }
}

/// Returns the commits that precede each case: a/1 and a/2 at revision 1, b/1 at 2, a/1 again at 3,
/// a/2 deleted at 4.
fn initial_commits() -> Vec<Op> {
    vec![
        commit(vec![], vec![put("a/1", "1"), put("a/2", "2")]),
        commit(vec![check("b/1", 0)], vec![put("b/1", "3")]),
        commit(vec![check("a/1", 1)], vec![put("a/1", "4")]),
        commit(vec![check("a/2", 1)], vec![delete("a/2")]),
    ]
}

struct Case {
    op: Op,
    outcome: Outcome,
}

fn cases() -> Vec<Case> {
    vec![
        Case {
            op: Op::Read(vec!["a/2".into(), "a/1".into(), "x".into()]),
            outcome: Outcome::Rows(vec![
                row("a/2", None, 0),
                row("a/1", Some("4"), 3),
                row("x", None, 0),
            ]),
        },
        Case { op: Op::Read(vec![]), outcome: Outcome::Rows(vec![]) },
        Case {
            op: scan("", "", 10),
            outcome: Outcome::Rows(vec![row("a/1", Some("4"), 3), row("b/1", Some("3"), 2)]),
        },
        Case { op: scan("", "", 1), outcome: Outcome::Rows(vec![row("a/1", Some("4"), 3)]) },
        Case { op: scan("", "a/1", 1), outcome: Outcome::Rows(vec![row("b/1", Some("3"), 2)]) },
        Case { op: scan("a/", "a/1", 9), outcome: Outcome::Rows(vec![]) },
        Case {
            op: changes("a/", 0, 10),
            outcome: Outcome::Changes {
                rows: vec![row("a/1", Some("4"), 3), row("a/2", None, 4)],
                through: 4,
            },
        },
        Case {
            op: changes("", 0, 1),
            outcome: Outcome::Changes { rows: vec![row("b/1", Some("3"), 2)], through: 2 },
        },
        Case { op: changes("b/", 2, 10), outcome: Outcome::Changes { rows: vec![], through: 4 } },
        Case {
            op: commit(vec![check("a/1", 1), check("a/2", 1)], vec![put("a/1", "9")]),
            outcome: Outcome::Conflict(vec![row("a/1", Some("4"), 3), row("a/2", None, 0)]),
        },
        Case {
            op: commit(vec![check("a/2", 0)], vec![put("a/2", "5")]),
            outcome: Outcome::Committed(5),
        },
        Case { op: commit(vec![], vec![put("a/1", "no json")]), outcome: Outcome::Unavailable },
    ]
}

#[test]
fn requests_have_the_specified_outcome() {
    for Case { op, outcome } in cases() {
        let server = spawn_platform();
        let client = new_client(server.address);
        for (revision, op) in (1..).zip(initial_commits()) {
            assert_eq!(client.run(&op), Outcome::Committed(revision));
        }
        assert_eq!(client.run(&op), outcome, "{op:?}");
    }
}

#[test]
fn a_commit_is_never_split_over_two_responses() {
    let server = spawn_platform();
    let client = new_client(server.address);
    client.run(&commit(vec![], vec![put("a/1", "1"), put("a/2", "1"), put("a/3", "1")]));
    client.run(&commit(vec![], vec![put("a/4", "1")]));
    let Outcome::Changes { rows, through } = client.run(&changes("a/", 0, 2)) else { panic!() };
    assert_eq!((rows.len(), through), (3, 1));
}

struct FaultCase {
    fault: Value,
    /// Outcome of a commit during the fault.
    commit: Outcome,
    /// Outcome of a read during the fault.
    read: Outcome,
    /// Whether the commit takes effect, possibly after its outcome was returned.
    takes_effect: bool,
}

fn fault_cases() -> Vec<FaultCase> {
    let written_row = || Outcome::Rows(vec![row("k", Some("1"), 1)]);
    vec![
        FaultCase {
            fault: json!({"kind": "up"}),
            commit: Outcome::Committed(1),
            read: written_row(),
            takes_effect: true,
        },
        FaultCase {
            fault: json!({"kind": "down"}),
            commit: Outcome::Unavailable,
            read: Outcome::Unavailable,
            takes_effect: false,
        },
        FaultCase {
            fault: json!({"kind": "hang"}),
            commit: Outcome::Unknown,
            read: Outcome::Unavailable,
            takes_effect: false,
        },
        FaultCase {
            fault: json!({"kind": "slow", "ms": 2000}),
            commit: Outcome::Unknown,
            read: Outcome::Unavailable,
            takes_effect: true,
        },
        FaultCase {
            fault: json!({"kind": "lose_answers"}),
            commit: Outcome::Unknown,
            read: written_row(),
            takes_effect: true,
        },
        FaultCase {
            fault: json!({"kind": "lose_answers", "count": 0}),
            commit: Outcome::Committed(1),
            read: written_row(),
            takes_effect: true,
        },
        FaultCase {
            fault: json!({"kind": "up", "ms": 2000}),
            commit: Outcome::Committed(1),
            read: written_row(),
            takes_effect: true,
        },
    ]
}

#[test]
fn faults_have_the_specified_outcomes() {
    for FaultCase { fault, commit: committed, read, takes_effect } in fault_cases() {
        let server = spawn_platform();
        let must_time_out = matches!(fault["kind"].as_str(), Some("hang" | "slow"));
        let client =
            Client::new(server.address, if must_time_out { SHORT_TIMEOUT } else { LONG_TIMEOUT });
        control::post(server.address, "/control/fault", &fault).unwrap();
        let write = commit(vec![check("k", 0)], vec![put("k", "1")]);
        assert_eq!(client.run(&write), committed, "{fault}");
        assert_eq!(client.run(&Op::Read(vec!["k".into()])), read, "{fault}");
        if takes_effect {
            wait_for_commit(server.address);
        }
        control::post(server.address, "/control/fault", &json!({"kind": "up"})).unwrap();
        let repeated = new_client(server.address).run(&write);
        let is_conflict = matches!(repeated, Outcome::Conflict(_));
        assert_eq!(is_conflict, takes_effect, "{fault}: {repeated:?}");
    }
}

fn wait_for_commit(address: SocketAddr) {
    let deadline = Instant::now() + LONG_TIMEOUT;
    while control::get(address, "/control/counts").unwrap()["commits"] == 0 {
        assert!(Instant::now() < deadline, "the commit never took effect");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_limited_number_of_answers_is_lost() {
    let server = spawn_platform();
    let client = new_client(server.address);
    let fault = json!({"kind": "lose_answers", "count": 2});
    control::post(server.address, "/control/fault", &fault).unwrap();
    let outcomes: Vec<_> = (0..3).map(|_| client.run(&commit(vec![], vec![]))).collect();
    assert_eq!(outcomes, [Outcome::Unknown, Outcome::Unknown, Outcome::Committed(3)]);
}

#[test]
fn a_refused_connection_has_no_effect() {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let listen = SocketAddr::from(([127, 77, high, low], 0));
    let server =
        standin_platform::spawn(standin_platform::Settings { listen, ..Default::default() })
            .unwrap();
    let client = new_client(server.address);
    drop(server);
    assert_eq!(client.run(&commit(vec![], vec![put("k", "1")])), Outcome::Unavailable);
}

#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 15\r\n\r\n{\"committed\":7}" => Outcome::Committed(7); "complete")]
#[test_case("HTTP/1.1 200 OK\r\n\r\n{\"committed\":7}" => Outcome::Unknown; "neither length nor chunks")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 16\r\n\r\n{\"committed\":7}" => Outcome::Unknown; "short body")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nf\r\n{\"committed\":7}\r\n" => Outcome::Unknown; "no last chunk")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}" => Outcome::Unknown; "malformed success")]
#[test_case("HTTP/1.1 409 Conflict\r\ncontent-length: 2\r\n\r\n{}" => Outcome::Unknown; "malformed conflict")]
#[test_case("HTTP/1.1 409 Conflict\r\n\r\n{\"conflict\":[]}" => Outcome::Unknown; "conflict without length")]
#[test_case("HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n" => Outcome::Unavailable; "malformed request")]
#[test_case("HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n" => Outcome::Unknown; "server error")]
#[test_case("HTTP/1.1 503 Service Unavailable\r\n\r\n" => Outcome::Unavailable; "unavailable")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-le" => Outcome::Unknown; "truncated head")]
#[test_case("" => Outcome::Unknown; "no answer")]
#[test_case("SMTP\r\n\r\n" => Outcome::Unknown; "not HTTP")]
fn nonconforming_responses_to_a_commit(response: &str) -> Outcome {
    let peer = raw::spawn(response).unwrap();
    new_client(peer.address).run(&commit(vec![], vec![put("k", "1")]))
}

#[test_case(Op::Read(vec!["a".into()]), r#"{"rows":[]}"#; "missing row")]
#[test_case(Op::Read(vec!["a".into()]), r#"{"rows":[{"key":"b","value":null,"revision":0}]}"#; "row of another key")]
#[test_case(changes("a", 5, 9), r#"{"rows":[],"through":4}"#; "older than the reader")]
#[test_case(changes("a", 5, 9), r#"{"rows":[{"key":"a","value":null,"revision":9}],"through":8}"#; "row past the end")]
fn responses_that_contradict_the_request(op: Op, body: &str) {
    let length = body.len();
    let peer =
        raw::spawn(format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}")).unwrap();
    assert_eq!(new_client(peer.address).run(&op), Outcome::Unavailable);
}
