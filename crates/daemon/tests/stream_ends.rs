//! Ends that a back end states although its answer isn't whole.

#[allow(dead_code)]
mod fleet;

use std::{sync::Arc, thread, time::Duration};

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
use standin::{control, raw};
use test_case::test_case;

/// Tokens of a whole answer.
const TOKENS: u64 = 12;

/// Longest wait for anything that must come.
const PATIENCE: Duration = Duration::from_secs(60);

#[test_case("no_end", 0, "incomplete"; "no end line")]
#[test_case("wrong_count", 0, "incomplete"; "a count that is too great")]
#[test_case("bare_end", 0, ""; "an end without counts and without a token")]
#[test_case("bare_end", 4, ""; "an end without counts")]
#[test_case("end_between", 0, ""; "an end before the first token")]
#[test_case("end_between", 4, ""; "an end between tokens")]
fn a_false_end_is_no_whole_answer(kind: &str, after: u64, code: &str) {
    let fleet = Fleet::open(Plan { hosts: &[("host-a", "a")], ..Plan::default() });
    fleet.wait_ready("host-a");
    for engine in 0..fleet.engines.len() {
        fleet.fail_engine(engine, &json!({"kind": kind, "after": after, "count": 1}));
    }
    let reply = call(&fleet.caller("host-a"), "draft", None, &prompt("A letter", TOKENS));
    assert_eq!(reply.tokens.len() as u64, TOKENS, "{reply:?}");
    assert_eq!(reply.refusal().0, code, "{reply:?}");
    let charged = reply.end.as_ref().map(|end| end.charged);
    assert_eq!(charged, code.is_empty().then_some(TOKENS + 2), "{reply:?}");
}

#[test_case("empty"; "an empty body")]
#[test_case("half"; "half a body")]
fn an_answer_of_a_service_that_is_not_json_is_not_passed_on(kind: &str) {
    let fleet = Fleet::open(Plan { hosts: &[("host-a", "a")], ..Plan::default() });
    fleet.wait_ready("host-a");
    let caller = fleet.caller("host-a");
    let ticket = caller.ticket().expect("ticket");
    let fault = json!({"kind": kind, "count": 1});
    control::post(fleet.service.address, "/control/fault", &fault).expect("fault");
    let body = json!({"input": {"centre": 7}});
    let reply = call(&caller, "disburse", Some(&ticket), &body);
    assert_eq!(reply.refusal().1, "unknown", "{reply:?}");
    assert_eq!(fleet.runs().into_values().sum::<u64>(), 1);
}

/// Returns the last report of a stream that is answered with a body, which may lack its last chunk.
fn last_report(body: &str, is_closed: bool) -> Report {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let last = if is_closed { "0\r\n\r\n" } else { "" };
    let chunk = format!("{:x}\r\n{body}\r\n{last}", body.len());
    let peer = raw::spawn(format!("{head}{chunk}")).expect("peer");
    let (exchanges, queue) = unbounded();
    let (core, events) = unbounded();
    let limits = backend::Limits { exchanges: 1, stall: PATIENCE };
    let service = thread::spawn(move || backend::run(&queue, core, limits));
    let stream = Stream {
        stream: Id([1; 16]),
        attempt: 1,
        model: Arc::from("assess"),
        adapter: Arc::from(""),
        version: Arc::from(""),
        prompt: Arc::from("A letter"),
        max_tokens: TOKENS,
        class: Class::Normal,
        offset: 0,
    };
    let address = format!("http://{}", peer.address).into();
    exchanges.send(Exchange::Stream { run: 1, address, stream }).expect("send");
    drop(exchanges);
    let reports = events.iter().filter_map(|event| match event {
        Inbound::Event(Event::Backend { report, .. }) => Some(report),
        _ => None,
    });
    let last = reports.last().expect("report");
    service.join().expect("thread").expect("service");
    last
}

const PIECE: &str = r#"{"request":"r","attempt":1,"offset":0,"token":"t"}"#;
const END: &str = r#"{"request":"r","attempt":1,"end":true,"tokens":1,"prompt_tokens":2}"#;
const OTHER_END: &str = r#"{"request":"r","attempt":1,"end":true,"tokens":2,"prompt_tokens":2}"#;

#[test_case(&[PIECE, END], true; "whole")]
#[test_case(&[r#"{"request":"r","attempt":1,"end":true}"#], false; "end without counts")]
#[test_case(&[r#"{"request":"r","attempt":1,"end":true,"prompt_tokens":2}"#], false; "end without a count of tokens")]
#[test_case(&[PIECE, r#"{"request":"r","attempt":1,"end":true,"tokens":1}"#], false; "end without a count of the prompt")]
#[test_case(&[r#"{"request":"r","attempt":1,"token":"t"}"#, END], false; "token without an offset")]
#[test_case(&[PIECE, r#"{"request":"r","attempt":1,"offset":1,"token":"t","end":true,"tokens":1,"prompt_tokens":2}"#], false; "end with a token")]
#[test_case(&[PIECE, END, END], true; "the end line twice")]
#[test_case(&[PIECE, END, OTHER_END], false; "two ends")]
#[test_case(&[PIECE, END, r#"{"request":"r","attempt":1,"offset":1,"token":"t"}"#], false; "token after the end")]
#[test_case(&[PIECE, END, "garbage"], false; "garbage after the end")]
#[test_case(&[PIECE, r#"{"request":"r","attempt":1,"token":"t","end":true,"tokens":1,"prompt_tokens":2}"#], false; "end with a token without an offset")]
fn only_a_sound_end_line_ends_a_stream(lines: &[&str], is_whole: bool) {
    let body: String = lines.iter().map(|line| format!("{line}\n")).collect();
    let last = last_report(&body, true);
    assert_eq!(matches!(last, Report::End { .. }), is_whole, "{last:?}");
}

#[test]
fn a_connection_that_breaks_after_the_end_line_costs_no_answer() {
    let last = last_report(&format!("{PIECE}\n{END}\n"), false);
    assert!(matches!(last, Report::End { .. }), "{last:?}");
}
