//! Measures how the cost of each part grows, and prints the points and a straight fit to them.
//!
//! ```text
//! cargo run --release -p coordination --example capacity
//! ```

mod config;
#[path = "../../tests/common/fleet.rs"]
mod fleet;
mod holding;
mod hot;
mod ledger;
mod members;
mod report;
mod routing;
mod timeline;
mod transport;

fn main() {
    println!("machine: {} threads", std::thread::available_parallelism().map_or(0, usize::from));
    transport::measure();
    members::measure();
    config::measure();
    timeline::measure();
    holding::measure();
    hot::measure();
    ledger::measure();
    routing::measure();
}
