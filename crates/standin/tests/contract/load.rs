//! Load generator, against peers that answer well and badly.

use std::time::Duration;

use serde_json::json;
use standin::{
    load::{Direct, Fleet, Plan, run, write_table},
    raw,
};
use test_case::test_case;

use crate::common::{PATIENT, engine};

/// Time that the engine never sends a first token before.
const FIRST_TIME: Duration = Duration::from_millis(20);

const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n";
const TOKENS: &str =
    "data: {\"offset\":0,\"token\":\"a\"}\n\ndata: {\"offset\":1,\"token\":\"b\"}\n\n";
const END: &str = "event: end\ndata: {\"tokens\":2,\"prompt_tokens\":1,\"charged\":3}\n\n";

fn plan(fleet: &raw::Handle, direct: Option<Direct>) -> Plan {
    Plan {
        fleet: Fleet {
            address: fleet.address,
            token: "t".into(),
            service: "s".into(),
            key: Some("k".into()),
        },
        direct,
        concurrency: 3,
        requests: 10,
        rounds: 4,
        max_tokens: 2,
        prompt: "p".into(),
        timeout: PATIENT,
    }
}

#[test_case(&format!("{TOKENS}{END}") => (10, 10, 10); "whole")]
#[test_case(TOKENS => (0, 0, 0); "no end")]
#[test_case(END => (0, 0, 0); "no tokens")]
#[test_case(&format!("{TOKENS}event: error\ndata: {{}}\n\n") => (0, 0, 0); "error")]
fn only_whole_answers_are_measured(events: &str) -> (u64, u64, u64) {
    let length = events.len();
    let peer = raw::spawn(format!("{HEAD}content-length: {length}\r\n\r\n{events}")).unwrap();
    let report = run(&plan(&peer, None)).unwrap();
    assert_eq!(report.fleet.whole + report.fleet.failed, 10);
    assert_eq!(report.is_whole(), report.fleet.failed == 0);
    assert_eq!(report.failures().count(), usize::from(!report.is_whole()));
    (report.fleet.whole, report.fleet.first.len(), report.fleet.between.len())
}

#[test]
fn both_legs_show_in_the_table() {
    let events = format!("{TOKENS}{END}");
    let length = events.len();
    let peer = raw::spawn(format!("{HEAD}content-length: {length}\r\n\r\n{events}")).unwrap();
    let engine = engine(|settings| settings.first_time = FIRST_TIME);
    let direct = Direct { address: engine.address, model: "m".into() };
    let report = run(&plan(&peer, Some(direct))).unwrap();
    let leg = report.direct.as_ref().unwrap();
    assert_eq!((leg.whole, leg.first.len(), leg.between.len()), (10, 10, 10));
    assert!(u128::from(leg.first.min()) + 100 > FIRST_TIME.as_micros(), "{}", leg.first.min());
    let counts = standin::control::get(engine.address, "/control/counts").unwrap();
    assert_eq!(counts, json!({"started": 10, "joined": 0, "cancelled": 0, "finished": 10}));
    let mut table = Vec::new();
    write_table(&report, &mut table).unwrap();
    let table = String::from_utf8(table).unwrap();
    let names: Vec<_> = table.lines().map(|row| row.split('|').nth(1).unwrap().trim()).collect();
    assert_eq!(names, ["leg", "---", "engine directly", "through the host", "added"]);
}
