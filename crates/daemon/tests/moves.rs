//! Streams that move away from an engine that leaves, through whole processes.

#[allow(dead_code)]
mod fleet;
#[allow(dead_code)]
#[path = "fleet/side.rs"]
mod side;

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use fleet::{Fleet, Plan};
use serde_json::{Value, json};
use standin::{caller::Reply, control, engine, http};
use test_case::test_case;

const NAMES: [&str; 3] = ["side-0", "side-1", "side-2"];

/// Tokens of each answer; enough that most are still to come when the engine leaves.
const TOKENS: u64 = 1_500;

/// Tokens after which engines wait until the host knows that one leaves.
const HELD: u64 = 50;

/// Metric of the configuration that a host has in force.
const REVISION: &str = "laburnum_config_revision";

/// Tokens of a prompt of one letter.
const PROMPT_TOKENS: u64 = 1;

fn count(engine: &http::Handle, name: &str) -> u64 {
    let counts = control::get(engine.address, "/control/counts").expect("counts");
    counts[name].as_u64().expect("count")
}

struct Engines(Vec<Option<http::Handle>>);

impl Engines {
    fn open(fleet: &Fleet, token_time: Duration) -> Self {
        let open = |name: &&str| {
            let settings = engine::Settings {
                name: (*name).into(),
                zone: "a".into(),
                token_time,
                load_lag: Duration::ZERO,
                ..engine::Settings::default()
            };
            let handle = side::spawn(settings);
            side::record(fleet, name, "a", &handle);
            Some(handle)
        };
        let engines = Self(NAMES.iter().map(open).collect());
        side::route(fleet, &NAMES);
        engines
    }

    fn get(&self, number: usize) -> &http::Handle {
        self.0[number].as_ref().expect("an engine")
    }

    /// Returns the engines that run a stream.
    fn running(&self) -> Vec<usize> {
        let load = |engine: &http::Handle| control::get(engine.address, "/load").expect("load");
        let runs = |number: &usize| {
            self.0[*number].as_ref().is_some_and(|engine| load(engine)["running"] != 0)
        };
        (0..NAMES.len()).filter(runs).collect()
    }

    /// Lets streams go no further than [`HELD`] tokens.
    fn hold(&self, number: usize) {
        let hold = json!({"after": HELD});
        control::post(self.get(number).address, "/control/hold", &hold).expect("hold");
    }

    fn release(&self, number: usize) {
        let Some(engine) = &self.0[number] else { return };
        control::post(engine.address, "/control/release", &Value::Null).expect("release");
    }

    fn fault(&self, number: usize, kind: &str) {
        let fault = json!({"kind": kind});
        control::post(self.get(number).address, "/control/fault", &fault).expect("fault");
    }
}

fn ask(fleet: &Fleet, read: &AtomicBool) -> Reply {
    let body: Value = json!({"prompt": "x", "max_tokens": TOKENS});
    let reply = fleet.caller("host-a").call("side", None, &body, |token| {
        if token.offset > 2 {
            read.store(true, Ordering::Relaxed);
        }
    });
    reply.expect("reply")
}

/// What goes wrong with a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    NoExport,
    NoImport,
    Dies,
}

#[test_case(Trouble::None; "moves")]
#[test_case(Trouble::NoExport; "the old engine gives no copy")]
#[test_case(Trouble::NoImport; "no engine takes the copy")]
#[test_case(Trouble::Dies; "the new engine dies after the copy")]
fn a_stream_of_a_leaving_engine_is_whole_and_charged_once(trouble: Trouble) {
    let fleet = Fleet::open(Plan { hosts: &[("host-a", "a")], ..Plan::default() });
    let mut engines = Engines::open(&fleet, Duration::from_millis(2));
    let read = AtomicBool::new(false);
    let (reply, old) = thread::scope(|scope| {
        (0..NAMES.len()).for_each(|number| engines.hold(number));
        let caller = scope.spawn(|| ask(&fleet, &read));
        fleet.wait("some tokens came", || read.load(Ordering::Relaxed));
        fleet.wait("the load shows the stream", || engines.running().len() == 1);
        let old = engines.running()[0];
        for number in 0..NAMES.len() {
            match trouble {
                Trouble::NoExport if number == old => engines.fault(number, "no_export"),
                Trouble::NoImport if number != old => engines.fault(number, "no_import"),
                _ => {}
            }
        }
        let revision = side::leave(&fleet, NAMES[old], "a", engines.get(old));
        fleet.wait("the host knows", || fleet.metric("host-a", REVISION) >= revision);
        engines.release(old);
        if trouble == Trouble::Dies {
            let moved = || engines.running().into_iter().find(|number| *number != old);
            fleet.wait("the stream has moved", || moved().is_some());
            let new = moved().expect("an engine");
            engines.0[new] = None;
        }
        (0..NAMES.len()).for_each(|number| engines.release(number));
        (caller.join().expect("caller"), old)
    });
    assert!(reply.whole(), "{reply:?}");
    let end = reply.end.as_ref().expect("end");
    assert_eq!((end.tokens, end.charged), (TOKENS, TOKENS + PROMPT_TOKENS));
    let moved = matches!(trouble, Trouble::None | Trouble::Dies);
    assert_eq!(count(engines.get(old), "cancelled"), u64::from(moved), "the old engine goes on");
    if trouble != Trouble::Dies {
        let same = (0..TOKENS).all(|offset| {
            reply.tokens[offset as usize].token == engine::token(&reply.request, offset)
        });
        assert!(same, "the stream did not go on where it was");
    }
}

#[test]
#[ignore = "a measurement; prints its figures"]
fn time_for_which_a_leaving_engine_stays_in_use() {
    for stays in [false, true] {
        let fleet = Fleet::open(Plan { hosts: &[("host-a", "a")], ..Plan::default() });
        let engines = Engines::open(&fleet, Duration::from_millis(10));
        let read: Vec<AtomicBool> = (0..9).map(|_| AtomicBool::new(false)).collect();
        let freed = thread::scope(|scope| {
            let callers: Vec<_> =
                read.iter().map(|read| scope.spawn(|| ask(&fleet, read))).collect();
            fleet.wait("all run", || read.iter().all(|read| read.load(Ordering::Relaxed)));
            fleet.wait("the load shows them", || engines.running().contains(&0));
            if stays {
                engines.fault(0, "no_export");
            }
            let at = Instant::now();
            side::leave(&fleet, NAMES[0], "a", engines.get(0));
            fleet.wait("the engine is free", || !engines.running().contains(&0));
            let freed = at.elapsed();
            let whole = callers.into_iter().all(|caller| caller.join().expect("caller").whole());
            assert!(whole, "an answer is not whole");
            freed
        });
        let way = if stays { "stay" } else { "move" };
        println!("streams {way}: the engine is free after {} ms", freed.as_millis());
    }
}
