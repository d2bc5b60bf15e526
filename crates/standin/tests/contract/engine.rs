//! Contract of the model engine.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use oxhttp::model::{Body, Method};
use serde_json::{Value, json};
use standin::{control, engine::prompt_tokens};
use test_case::test_case;

use crate::common::{Ending, PATIENT, ask, end, engine, line, open, read, stream};

fn hold(engine: SocketAddr, after: u64) {
    control::post(engine, "/control/hold", &json!({"after": after})).unwrap();
}

fn release(engine: SocketAddr) {
    control::post(engine, "/control/release", &Value::Null).unwrap();
}

/// Waits until a document has a value in a field.
fn wait_for(engine: SocketAddr, path: &str, field: &str, value: Value) -> Value {
    let give_up = Instant::now() + PATIENT;
    loop {
        let document = control::get(engine, path).unwrap();
        if document[field] == value {
            return document;
        }
        assert!(Instant::now() < give_up, "{path} {field} {value}: {document}");
        thread::sleep(Duration::from_millis(2));
    }
}

#[test_case("" => 0)]
#[test_case("a" => 1)]
#[test_case("abcd" => 1)]
#[test_case("abcde" => 2)]
#[test_case("éé" => 1)]
#[test_case("ééé" => 2)]
fn a_prompt_counts_a_token_for_four_bytes(prompt: &str) -> u64 {
    prompt_tokens(prompt)
}

#[test_case(json!({}), 100, &[0, 1, 2, 3, 4], 5; "from the start")]
#[test_case(json!({"offset": 3}), 100, &[3, 4], 5; "new with an offset")]
#[test_case(json!({"offset": 5}), 100, &[], 5; "offset at the end")]
#[test_case(json!({"offset": 9}), 100, &[], 5; "offset past the end")]
#[test_case(json!({"max_tokens": 0}), 100, &[], 0; "no tokens")]
#[test_case(json!({}), 50, &[0, 1, 2], 3; "shorter than asked for")]
fn a_stream_is_whole(fields: Value, percent: u64, offsets: &[u64], tokens: u64) {
    let engine = engine(|settings| settings.length_percent = percent);
    let mut lines: Vec<_> = offsets.iter().map(|offset| line("r", 1, *offset)).collect();
    lines.push(end("r", 1, tokens));
    assert_eq!(stream(engine.address, "r", fields), (lines, Ending::Clean));
    let document = control::get(engine.address, "/streams/r").unwrap();
    let done = json!({"request": "r", "state": "done", "tokens": tokens, "prompt_tokens": 2});
    assert_eq!(document, done);
}

#[test]
fn readers_share_a_run_that_outlives_them() {
    let engine = engine(|_| {});
    hold(engine.address, 2);
    let left = open(engine.address, "r", &ask(json!({})), PATIENT);
    let second = open(engine.address, "r", &ask(json!({"attempt": 2, "offset": 1})), PATIENT);
    wait_for(engine.address, "/streams/r", "tokens", json!(2));
    drop(left);
    release(engine.address);
    let lines: Vec<_> = (1..5).map(|offset| line("r", 2, offset)).chain([end("r", 2, 5)]).collect();
    assert_eq!(read(second), (lines, Ending::Clean));
    let counts = control::get(engine.address, "/control/counts").unwrap();
    assert_eq!(counts, json!({"started": 1, "joined": 1, "cancelled": 0, "finished": 1}));
}

#[test]
fn a_run_without_readers_goes_on() {
    let engine = engine(|_| {});
    hold(engine.address, 0);
    drop(open(engine.address, "r", &ask(json!({})), PATIENT));
    release(engine.address);
    let document = wait_for(engine.address, "/streams/r", "state", json!("done"));
    assert_eq!(document["tokens"], 5);
}

#[test]
fn a_cancelled_stream_breaks_off_frees_its_slot_and_starts_again() {
    let engine = engine(|settings| settings.slots = 1);
    hold(engine.address, 2);
    let cut = open(engine.address, "r", &ask(json!({})), PATIENT);
    let next = open(engine.address, "next", &ask(json!({})), PATIENT);
    wait_for(engine.address, "/streams/r", "tokens", json!(2));
    assert_eq!(control::get(engine.address, "/streams/next").unwrap()["state"], "queued");
    let cancelled =
        control::send(engine.address, Method::DELETE, "/streams/r", Body::empty()).unwrap();
    let used = json!({"request": "r", "state": "cancelled", "tokens": 2, "prompt_tokens": 2});
    assert_eq!(cancelled, used);
    assert_eq!(read(cut), (vec![line("r", 1, 0), line("r", 1, 1)], Ending::Broken));
    wait_for(engine.address, "/streams/next", "state", json!("running"));
    release(engine.address);
    assert_eq!(read(next).1, Ending::Clean);
    let (lines, ending) = stream(engine.address, "r", json!({"attempt": 2}));
    assert_eq!((lines.len(), ending), (6, Ending::Clean));
    let counts = control::get(engine.address, "/control/counts").unwrap();
    assert_eq!(counts, json!({"started": 3, "joined": 0, "cancelled": 1, "finished": 2}));
}

#[test]
fn a_stream_cancelled_between_two_tokens_frees_its_slot() {
    let engine = engine(|settings| (settings.slots, settings.token_time) = (1, PATIENT * 99));
    let _cut = open(engine.address, "r", &ask(json!({})), PATIENT);
    let _next = open(engine.address, "next", &ask(json!({})), PATIENT);
    wait_for(engine.address, "/streams/r", "tokens", json!(1));
    control::send(engine.address, Method::DELETE, "/streams/r", Body::empty()).unwrap();
    wait_for(engine.address, "/streams/next", "state", json!("running"));
}

#[test]
fn more_urgent_streams_start_first() {
    let engine = engine(|settings| settings.slots = 1);
    hold(engine.address, 0);
    let priorities = ["normal", "long", "normal", "urgent"];
    let readers: Vec<_> = priorities
        .iter()
        .enumerate()
        .map(|(number, class)| {
            let ask = ask(json!({"priority": class}));
            open(engine.address, &format!("r{number}"), &ask, PATIENT)
        })
        .collect();
    for running in ["r0", "r3", "r2", "r1"] {
        let path = format!("/streams/{running}");
        wait_for(engine.address, &path, "state", json!("running"));
        control::send(engine.address, Method::DELETE, &path, Body::empty()).unwrap();
    }
    drop(readers);
}

#[test]
fn streams_beyond_the_queue_are_refused() {
    let engine = engine(|settings| (settings.slots, settings.queue) = (1, 1));
    hold(engine.address, 0);
    let _running = open(engine.address, "r0", &ask(json!({})), PATIENT);
    wait_for(engine.address, "/streams/r0", "state", json!("running"));
    let _queued = open(engine.address, "r1", &ask(json!({})), PATIENT);
    let refused = open(engine.address, "r2", &ask(json!({})), PATIENT);
    assert_eq!(refused.status().as_u16(), 429);
    let load = control::get(engine.address, "/load").unwrap();
    assert_eq!([&load["queued"], &load["running"], &load["slots"]], [1, 1, 1]);
}

#[test]
fn load_is_reported_late() {
    let engine = engine(|settings| settings.load_lag = Duration::from_secs(3600));
    hold(engine.address, 0);
    let _running = open(engine.address, "r", &ask(json!({})), PATIENT);
    wait_for(engine.address, "/streams/r", "state", json!("running"));
    assert_eq!(control::get(engine.address, "/load").unwrap()["running"], 0);
}

/// Prompt of whole blocks, each of one repeated letter.
fn prompt(letters: &str) -> String {
    letters.chars().flat_map(|letter| std::iter::repeat_n(letter, 64)).collect()
}

fn event(seq: u64, prefix: &str, cached: bool) -> Value {
    let hash = blake3::hash(prompt(prefix).as_bytes()).to_hex()[..16].to_owned();
    json!({"seq": seq, "prefix": hash, "model": "m", "cached": cached})
}

#[derive(Clone)]
struct Events {
    blocks: usize,
    gap: u64,
    lose: usize,
    lag: Duration,
    after: u64,
    events: Vec<Value>,
    next: u64,
}

/// Cases for the prompts `ab` and `ac` and the rest of a block, one after the other.
fn cache_cases() -> [Events; 9] {
    let all = [event(1, "ab", true), event(2, "a", true), event(3, "ac", true)];
    let no_lag = Duration::ZERO;
    let none =
        Events { blocks: 9, gap: 0, lose: 0, lag: no_lag, after: 0, events: vec![], next: 3 };
    [
        Events { events: all.to_vec(), ..none.clone() },
        Events { after: 2, events: all[2..].to_vec(), ..none.clone() },
        Events { lose: 1, after: 1, events: all[2..].to_vec(), ..none.clone() },
        Events { lose: 9, after: 1, ..none.clone() },
        Events { lose: 9, events: all.to_vec(), ..none.clone() },
        Events { after: 7, ..none.clone() },
        Events {
            blocks: 9,
            gap: 2,
            lose: 0,
            lag: no_lag,
            after: 0,
            events: vec![all[0].clone(), all[2].clone()],
            next: 3,
        },
        Events { lag: PATIENT * 99, next: 0, ..none },
        Events {
            blocks: 2,
            gap: 0,
            lose: 0,
            lag: no_lag,
            after: 2,
            events: vec![all[2].clone(), event(4, "ab", false)],
            next: 4,
        },
    ]
}

#[test]
fn cache_events_come_late_and_with_gaps() {
    for Events { blocks, gap, lose, lag, after, events, next } in cache_cases() {
        let engine = engine(|settings| {
            (settings.cache_blocks, settings.cache_gap, settings.cache_lag) = (blocks, gap, lag);
        });
        for letters in ["ab", "ac"] {
            stream(engine.address, letters, json!({"prompt": prompt(letters) + "rest"}));
        }
        control::post(engine.address, "/control/cache", &json!({"events": lose})).unwrap();
        let answer = control::get(engine.address, &format!("/cache?after={after}")).unwrap();
        let case = format!("{blocks} {gap} {lose} {lag:?} {after}");
        assert_eq!(answer, json!({"events": events, "next": next}), "{case}");
    }
}

#[test]
fn a_stream_moves_to_another_engine_with_its_cache() {
    let (from, to) = (engine(|_| {}), engine(|settings| settings.first_time = PATIENT * 99));
    hold(from.address, 3);
    let _reader = open(from.address, "r", &ask(json!({})), PATIENT);
    wait_for(from.address, "/streams/r", "tokens", json!(3));
    let copy = control::get(from.address, "/kv/r").unwrap();
    control::send(to.address, Method::PUT, "/kv/r", Body::from(copy.to_string())).unwrap();
    let moved = stream(to.address, "r", json!({"attempt": 2, "offset": 2}));
    let lines: Vec<_> = (2..5).map(|offset| line("r", 2, offset)).chain([end("r", 2, 5)]).collect();
    assert_eq!(moved, (lines, Ending::Clean));
}

#[test_case("/streams/x")]
#[test_case("/kv/x")]
#[test_case("/x")]
fn what_does_not_stand_is_not_found(path: &str) {
    let engine = engine(|_| {});
    let error = control::get(engine.address, path).unwrap_err();
    assert!(error.to_string().contains("status 404"), "{error}");
}

struct Orders {
    fencing: bool,
    /// Fencing number of each order and whether it took effect.
    orders: Vec<(u64, bool)>,
    fence: u64,
}

#[test]
fn old_orders_are_refused_where_fencing_is_enforced() {
    let cases = [
        Orders {
            fencing: true,
            orders: vec![(2, true), (2, true), (1, false), (3, true)],
            fence: 3,
        },
        Orders { fencing: true, orders: vec![(7, true), (6, false)], fence: 7 },
        Orders { fencing: false, orders: vec![(2, true), (1, true)], fence: 0 },
    ];
    for Orders { fencing, orders, fence } in cases {
        let engine = engine(|settings| settings.fencing = fencing);
        let mut models = vec!["m".to_owned()];
        for (number, (order, takes_effect)) in orders.iter().enumerate() {
            let name = format!("n{number}");
            let order = json!({"fence": order, "order": "load", "model": {"name": &name}});
            let answer = control::post(engine.address, "/orders", &order);
            assert_eq!(answer.is_ok(), *takes_effect, "{order}");
            match answer {
                Ok(_) => models.push(name),
                Err(error) => assert!(error.to_string().contains("status 412"), "{error}"),
            }
        }
        let state = control::get(engine.address, "/state").unwrap();
        let loaded: Vec<Value> =
            state["models"].as_array().unwrap().iter().map(|model| model["name"].clone()).collect();
        assert_eq!(loaded, models);
        assert_eq!(state["fence"], fence);
        let applied = control::get(engine.address, "/control/orders").unwrap();
        assert_eq!(applied.as_array().unwrap().len(), models.len() - 1);
    }
}

#[test]
fn orders_change_models_and_role() {
    let engine = engine(|_| {});
    let model = json!({"name": "m", "adapter": "a", "version": "2"});
    let orders = [
        json!({"fence": 1, "order": "load", "model": &model}),
        json!({"fence": 1, "order": "load", "model": &model}),
        json!({"fence": 2, "order": "unload", "model": {"name": "m"}}),
        json!({"fence": 3, "order": "role", "role": "decode"}),
    ];
    for order in &orders {
        let answer = control::post(engine.address, "/orders", order).unwrap();
        assert_eq!(answer, json!({"fence": order["fence"]}));
    }
    let state = control::get(engine.address, "/state").unwrap();
    assert_eq!(state["models"], json!([model]));
    assert_eq!(state["role"], "decode");
    let malformed = json!({"fence": 9, "order": "load"});
    let error = control::post(engine.address, "/orders", &malformed).unwrap_err();
    assert!(error.to_string().contains("status 400"), "{error}");
    assert_eq!(control::get(engine.address, "/state").unwrap()["fence"], 3);
}
