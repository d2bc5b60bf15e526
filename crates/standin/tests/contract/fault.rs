//! Faults of the engine's streams, seen by a reader and by the reader that comes after it.

use std::time::Duration;

use serde_json::{Value, json};
use standin::control;

use crate::common::{Ending, PATIENT, ask, end, engine, line, open, read, stream};

const IMPATIENT: Duration = Duration::from_millis(300);

struct Case {
    fault: Value,
    lines: Vec<Value>,
    ending: Ending,
}

/// Returns the lines of tokens `offsets` of stream `r`.
fn tokens(offsets: impl IntoIterator<Item = u64>) -> Vec<Value> {
    offsets.into_iter().map(|offset| line("r", 1, offset)).collect()
}

fn whole(offsets: impl IntoIterator<Item = u64>) -> Vec<Value> {
    let mut lines = tokens(offsets);
    lines.push(end("r", 1, 5));
    lines
}

fn cases() -> Vec<Case> {
    let mut wrong_id = whole(0..5);
    let other = blake3::hash(b"r").to_hex()[..1].to_owned();
    for line in &mut wrong_id[2..5] {
        line["request"] = json!(other);
    }
    let mut wrong_count = whole(0..5);
    wrong_count[5]["tokens"] = json!(6);
    let mut bare_end = tokens(0..2);
    bare_end.push(json!({"request": "r", "attempt": 1, "end": true}));
    let mut end_between = whole(0..5);
    end_between.insert(2, end("r", 1, 2));
    vec![
        Case { fault: json!({"kind": "none"}), lines: whole(0..5), ending: Ending::Clean },
        Case {
            fault: json!({"kind": "stall", "after": 2}),
            lines: tokens(0..2),
            ending: Ending::Broken,
        },
        Case {
            fault: json!({"kind": "cut", "after": 2}),
            lines: tokens(0..2),
            ending: Ending::Broken,
        },
        Case {
            fault: json!({"kind": "cut", "after": 5}),
            lines: tokens(0..5),
            ending: Ending::Broken,
        },
        Case {
            fault: json!({"kind": "cut", "after": 6}),
            lines: whole(0..5),
            ending: Ending::Clean,
        },
        Case {
            fault: json!({"kind": "wrong_id", "after": 2}),
            lines: wrong_id,
            ending: Ending::Clean,
        },
        Case { fault: json!({"kind": "no_end"}), lines: tokens(0..5), ending: Ending::Clean },
        Case { fault: json!({"kind": "wrong_count"}), lines: wrong_count, ending: Ending::Clean },
        Case {
            fault: json!({"kind": "bare_end", "after": 2}),
            lines: bare_end,
            ending: Ending::Clean,
        },
        Case {
            fault: json!({"kind": "end_between", "after": 2}),
            lines: end_between,
            ending: Ending::Clean,
        },
        Case {
            fault: json!({"kind": "duplicate", "after": 3}),
            lines: whole([0, 1, 2, 3, 3, 4, 4]),
            ending: Ending::Clean,
        },
        Case {
            fault: json!({"kind": "reorder", "after": 1}),
            lines: whole([0, 2, 1, 3, 4]),
            ending: Ending::Clean,
        },
        Case {
            fault: json!({"kind": "reorder", "after": 4}),
            lines: whole(0..5),
            ending: Ending::Clean,
        },
    ]
}

#[test]
fn a_fault_spoils_one_answer_and_the_next_is_whole() {
    for Case { mut fault, lines, ending } in cases() {
        let engine = engine(|_| {});
        fault["count"] = json!(1);
        control::post(engine.address, "/control/fault", &fault).unwrap();
        let timeout = if fault["kind"] == "stall" { IMPATIENT } else { PATIENT };
        let response = open(engine.address, "r", &ask(json!({})), timeout);
        assert_eq!(read(response), (lines, ending), "{fault}");
        let resumed = stream(engine.address, "r", json!({"attempt": 2, "offset": 3}));
        let rest = vec![line("r", 2, 3), line("r", 2, 4), end("r", 2, 5)];
        assert_eq!(resumed, (rest, Ending::Clean), "{fault}");
        let counts = control::get(engine.address, "/control/counts").unwrap();
        let once = json!({"started": 1, "joined": 1, "cancelled": 0, "finished": 1});
        assert_eq!(counts, once, "{fault}");
    }
}

struct Refusal {
    fault: Value,
    fields: Value,
    status: u16,
    body: Value,
    retry_after: Option<&'static str>,
}

fn refusals() -> [Refusal; 5] {
    [
        Refusal {
            fault: json!({"kind": "leaving"}),
            fields: json!({}),
            status: 409,
            body: json!({"error": "leaving"}),
            retry_after: None,
        },
        Refusal {
            fault: json!({"kind": "refuse"}),
            fields: json!({}),
            status: 429,
            body: json!({"error": "refused"}),
            retry_after: Some("1"),
        },
        Refusal {
            fault: json!({"kind": "none"}),
            fields: json!({"model": "n"}),
            status: 404,
            body: json!({"error": "model"}),
            retry_after: None,
        },
        Refusal {
            fault: json!({"kind": "none"}),
            fields: json!({"adapter": "a"}),
            status: 404,
            body: json!({"error": "model"}),
            retry_after: None,
        },
        Refusal {
            fault: json!({"kind": "none"}),
            fields: json!({"version": "2"}),
            status: 404,
            body: json!({"error": "model"}),
            retry_after: None,
        },
    ]
}

#[test]
fn a_refused_stream_is_not_started_and_a_running_one_is_still_served() {
    for Refusal { fault, fields, status, body, retry_after } in refusals() {
        let engine = engine(|_| {});
        stream(engine.address, "before", json!({}));
        control::post(engine.address, "/control/fault", &fault).unwrap();
        let response = open(engine.address, "r", &ask(fields), PATIENT);
        assert_eq!(response.status().as_u16(), status, "{fault}");
        let header = response.headers().get("retry-after").map(|value| value.to_str().unwrap());
        assert_eq!(header, retry_after, "{fault}");
        let answer: Value =
            serde_json::from_str(&response.into_body().to_string().unwrap()).unwrap();
        assert_eq!(answer, body, "{fault}");
        let (lines, ending) = stream(engine.address, "before", json!({}));
        assert_eq!((lines.len(), ending), (6, Ending::Clean), "{fault}");
        let counts = control::get(engine.address, "/control/counts").unwrap();
        assert_eq!(counts["started"], 1, "{fault}");
        let leaving = fault["kind"] == "leaving";
        assert_eq!(control::get(engine.address, "/state").unwrap()["leaving"], leaving);
        assert_eq!(control::get(engine.address, "/load").unwrap()["leaving"], leaving);
    }
}
