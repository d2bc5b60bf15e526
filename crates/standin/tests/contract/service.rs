//! Contract of the plain service.

use std::time::Duration;

use oxhttp::{
    Client,
    model::{Body, Request, Response},
};
use serde_json::{Value, json};
use standin::{control, http::Handle, service};
use test_case::test_case;

use crate::common::PATIENT;

const IMPATIENT: Duration = Duration::from_millis(300);

fn call(service: &Handle, body: &str, timeout: Duration) -> std::io::Result<Response<Body>> {
    let request = Request::builder()
        .method("POST")
        .uri(format!("{}/call/orders", service.url()))
        .header("x-request-id", "r")
        .header("idempotency-key", "k")
        .body(Body::from(body.to_owned()))
        .unwrap();
    Client::new().with_global_timeout(timeout).request(request)
}

/// What a caller sees of an answer.
#[derive(Debug, PartialEq, Eq)]
enum Seen {
    /// A status and a body of known length.
    Whole(u16),
    /// A status without a length.
    NoLength(u16),
    /// No answer.
    Nothing,
}

#[test_case("none" => (Seen::Whole(200), json!({"r": 1})))]
#[test_case("drop_answer" => (Seen::Nothing, json!({"r": 1})))]
#[test_case("stall" => (Seen::Nothing, json!({"r": 1})))]
#[test_case("no_length" => (Seen::NoLength(200), json!({"r": 1})))]
#[test_case("empty" => (Seen::Whole(200), json!({"r": 1})))]
#[test_case("half" => (Seen::Whole(200), json!({"r": 1})))]
#[test_case("refuse" => (Seen::Whole(503), json!({})))]
fn a_fault_shows_in_one_answer_and_in_the_runs(kind: &str) -> (Seen, Value) {
    let service = service::spawn(service::Settings::default()).unwrap();
    let fault = json!({"kind": kind, "count": 1});
    control::post(service.address, "/control/fault", &fault).unwrap();
    let timeout = if kind == "stall" { IMPATIENT } else { PATIENT };
    let seen = match call(&service, "{}", timeout) {
        Ok(answer) if answer.headers().contains_key("content-length") => {
            Seen::Whole(answer.status().as_u16())
        }
        Ok(answer) => Seen::NoLength(answer.status().as_u16()),
        Err(_) => Seen::Nothing,
    };
    let runs = control::get(service.address, "/control/counts").unwrap()["runs"].clone();
    assert_eq!(call(&service, "{}", PATIENT).unwrap().status().as_u16(), 200);
    (seen, runs)
}

#[test]
fn each_call_runs_and_its_body_comes_back() {
    let service = service::spawn(service::Settings::default()).unwrap();
    for run in 1..=3 {
        let answer = call(&service, "[1]", PATIENT).unwrap().into_body().to_string().unwrap();
        let receipt = json!({"service": "orders", "request": "r", "run": run, "body": [1]});
        assert_eq!(serde_json::from_str::<Value>(&answer).unwrap(), receipt);
    }
}

#[test]
fn a_malformed_call_does_not_run() {
    let service = service::spawn(service::Settings::default()).unwrap();
    assert_eq!(call(&service, "{", PATIENT).unwrap().status().as_u16(), 400);
    let counts = control::get(service.address, "/control/counts").unwrap();
    assert_eq!(counts, json!({"runs": {}}));
}
