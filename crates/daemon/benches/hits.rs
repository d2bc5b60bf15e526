//! Measures the share of prompt blocks that engines find in their caches, through whole processes.

#[allow(dead_code)]
#[path = "../tests/fleet/mod.rs"]
mod fleet;
#[allow(dead_code)]
#[path = "../tests/fleet/side.rs"]
mod side;

use std::{net::SocketAddr, thread};

use fleet::{Fleet, Plan, THREE};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::json;
use standin::{control, engine, http};

const ENGINES: usize = 6;

/// Families of prompts, with shares of 1, 1/2, 1/3 and so on.
const FAMILIES: usize = 80;

/// Blocks that the prompts of a family share, besides one of their own.
const BLOCKS: usize = 16;

/// Prompts whose blocks an engine's cache holds.
const CACHED: usize = 10;

/// One in so many cache events is lost for good.
const GAP: u64 = 20;

const CALLERS: usize = 6;
const REQUESTS: usize = 600;

/// Returns a prompt of a random family.
fn prompt(rng: &mut StdRng) -> String {
    let sum: f64 = (1..=FAMILIES).map(|rank| 1.0 / rank as f64).sum();
    let mut left = rng.random::<f64>() * sum;
    let family = (1..=FAMILIES).find(|rank| {
        left -= 1.0 / *rank as f64;
        left <= 0.0
    });
    let shared = format!("{:<64}", format!("family {}", family.unwrap_or(FAMILIES)));
    shared.repeat(BLOCKS) + &format!("{:<64}", rng.random::<u64>())
}

fn engines() -> Vec<http::Handle> {
    let open = |number: usize| {
        side::spawn(engine::Settings {
            name: format!("side-{number}").into(),
            zone: THREE[number % THREE.len()].1.into(),
            cache_blocks: CACHED * (BLOCKS + 1),
            cache_gap: GAP,
            ..engine::Settings::default()
        })
    };
    (0..ENGINES).map(open).collect()
}

/// Runs the callers, each with prompts of its own, and returns the share of blocks found.
fn share(engines: &[http::Handle], call: impl Fn(&mut StdRng, &str, String) + Sync) -> f64 {
    let counts = |name: &str| -> u64 {
        let count = |engine: &http::Handle| {
            let counts = control::get(engine.address, "/control/cache").expect("counts");
            counts[name].as_u64().expect("count")
        };
        engines.iter().map(count).sum()
    };
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let call = &call;
            scope.spawn(move || {
                let mut rng = StdRng::seed_from_u64(caller as u64);
                for number in 0..REQUESTS {
                    let prompt = prompt(&mut rng);
                    call(&mut rng, &format!("{caller}-{number}"), prompt);
                }
            });
        }
    });
    counts("cached_blocks") as f64 / counts("blocks") as f64
}

fn main() {
    let drawn = engines();
    let addresses: Vec<SocketAddr> = drawn.iter().map(|engine| engine.address).collect();
    let random = share(&drawn, |rng, name, prompt| {
        side::stream(addresses[rng.random_range(0..ENGINES)], name, &prompt);
    });
    let fleet = Fleet::open(Plan::default());
    let routed = engines();
    for (number, engine) in routed.iter().enumerate() {
        side::record(&fleet, &format!("side-{number}"), THREE[number % THREE.len()].1, engine);
    }
    let names: Vec<String> = (0..ENGINES).map(|number| format!("side-{number}")).collect();
    side::route(&fleet, &names);
    let router = share(&routed, |rng, _, prompt| {
        let (host, _) = THREE[rng.random_range(0..THREE.len())];
        let body = json!({"prompt": prompt, "max_tokens": 1});
        let reply = fleet.caller(host).call("side", None, &body, |_| {}).expect("reply");
        assert!(reply.whole(), "{reply:?}");
    });
    println!("share of prompt blocks found: router {router:.3}, random engine {random:.3}");
}
