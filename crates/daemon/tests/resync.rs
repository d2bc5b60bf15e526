//! Cache changes of an engine that a host's process missed.

#[allow(dead_code)]
mod fleet;
#[allow(dead_code)]
#[path = "fleet/side.rs"]
mod side;

use std::{net::SocketAddr, thread, time::Duration};

use fleet::{Fleet, Plan};
use serde_json::json;
use standin::{control, engine, http};
use test_case::test_case;

/// Pause between two questions, so that the prompts last for a full read and its pause.
const PAUSE: Duration = Duration::from_millis(250);

/// Prompts that the host learns of in order, in [`BLOCKS`] cache changes each.
const FIRST: usize = 100;

/// Prompts whose cache changes are missed at first; fewer changes than those of [`FIRST`].
const SECOND: usize = 90;

const BLOCKS: usize = 4;

fn spawn(name: &str, zone: &str, listen: SocketAddr) -> http::Handle {
    side::spawn(engine::Settings {
        listen,
        name: name.into(),
        zone: zone.into(),
        cache_gap: 0,
        ..engine::Settings::default()
    })
}

/// Returns a prompt that shares no block with any other.
fn prompt(set: &str, number: usize) -> String {
    format!("{:<64}", format!("{set} {number}")).repeat(BLOCKS)
}

/// Sends prompts to an engine past the host.
fn fill(engine: SocketAddr, set: &str, count: usize) {
    for number in 0..count {
        side::stream(engine, &format!("{set}-{number}"), &prompt(set, number));
    }
}

fn started(engine: SocketAddr) -> u64 {
    let counts = control::get(engine, "/control/counts").expect("counts");
    counts["started"].as_u64().expect("started")
}

/// Waits until the host sends one of the prompts to the engine that holds it. Each is asked for
/// once, the last first, since the host takes the engine that it chose for a holder as well.
fn wait_learnt(fleet: &Fleet, engine: SocketAddr, set: &str, count: usize) {
    let mut numbers = (0..count).rev();
    fleet.wait(&format!("the host learns of the prompts {set}"), || {
        thread::sleep(PAUSE);
        let Some(number) = numbers.next() else { return false };
        let before = started(engine);
        let body = json!({"prompt": prompt(set, number), "max_tokens": 1});
        let reply = fleet.caller("host-a").call("side", None, &body, |_| {}).expect("reply");
        assert!(reply.whole(), "{reply:?}");
        started(engine) > before
    });
}

#[test_case(false; "lost on the way")]
#[test_case(true; "of an engine that restarted")]
fn a_host_learns_of_cache_changes_that_it_missed(restart: bool) {
    let fleet = Fleet::open(Plan { hosts: &[("host-a", "a")], ..Plan::default() });
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let near = spawn("engine-near", "a", any);
    let mut far = spawn("engine-far", "b", any);
    side::record(&fleet, "engine-near", "a", &near);
    side::record(&fleet, "engine-far", "b", &far);
    side::route(&fleet, &["engine-near", "engine-far"]);
    let address = far.address;
    fill(address, "first", FIRST);
    wait_learnt(&fleet, address, "first", FIRST);
    match restart {
        true => {
            drop(far);
            far = spawn("engine-far", "b", address);
        }
        false => {
            let lose = json!({"events": SECOND * BLOCKS});
            control::post(address, "/control/cache", &lose).expect("control");
        }
    }
    fill(far.address, "second", SECOND);
    wait_learnt(&fleet, far.address, "second", SECOND);
}
