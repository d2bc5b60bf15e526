//! Requests with a part that crashes runners come three at a time, one at each host, every 4 s.

#[path = "../standin/common.rs"]
mod common;
#[path = "../standin/crashing.rs"]
mod crashing;

use std::time::Duration;

fn main() {
    std::process::exit(crashing::run(&crashing::Pattern {
        keeps_id: false,
        burst: 3,
        pause: Duration::from_secs(4),
        bursts: 6,
        route: "review",
        prefill: Duration::from_millis(60),
        shared: 800,
        rest: 300,
    }));
}
