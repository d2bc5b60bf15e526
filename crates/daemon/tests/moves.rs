//! Streams that move away from an engine that leaves, through whole processes.

#[allow(dead_code)]
mod fleet;
#[allow(dead_code)]
#[path = "fleet/side.rs"]
mod side;

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use fleet::{Fleet, Plan};
use side::{Engines, NAMES, TOKENS, ask};
use standin::{control, engine, http};
use test_case::test_case;

/// Metric of the configuration that a host has in force.
const REVISION: &str = "laburnum_config_revision";

/// Tokens of a prompt of one letter.
const PROMPT_TOKENS: u64 = 1;

fn count(engine: &http::Handle, name: &str) -> u64 {
    let counts = control::get(engine.address, "/control/counts").expect("counts");
    counts[name].as_u64().expect("count")
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
