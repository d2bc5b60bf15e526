//! Measures for how long an engine that leaves stays in use, with and without moves of its streams.

#[allow(dead_code)]
#[path = "../tests/fleet/mod.rs"]
mod fleet;
#[allow(dead_code)]
#[path = "../tests/fleet/side.rs"]
mod side;

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use fleet::{Fleet, Plan};
use side::{Engines, NAMES, ask};

fn main() {
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
