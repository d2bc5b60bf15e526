//! Measures how the cost of each part grows, and prints the points and a straight fit to them.
//!
//! ```text
//! cargo run --release -p coordination --example capacity
//! ```

mod config;
#[path = "../../tests/common/fleet.rs"]
mod fleet;
#[path = "../../tests/common/followers.rs"]
mod followers;
mod holding;
mod hot;
mod ledger;
mod members;
mod report;
mod routing;
mod spread;
mod timeline;
mod transport;
mod whole;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        [] => measure(),
        ["routing"] => {
            routing::measure();
            routing::measure_divided();
        }
        ["start"] => members::cold_start(),
        ["whole"] => whole::measure(),
        ["memory", part, count] => memory(part, count.parse().expect("a number")),
        _ => eprintln!("the arguments taken are `routing`, `start` and `whole`"),
    }
}

fn measure() {
    println!("machine: {} threads", std::thread::available_parallelism().map_or(0, usize::from));
    transport::measure();
    members::measure();
    config::measure();
    spread::measure();
    timeline::measure();
    holding::measure();
    hot::measure();
    ledger::measure();
    routing::measure();
    routing::measure_divided();
    whole::measure();
}

/// Prints the memory of one part; [`report::memory`] runs this in a process of its own.
fn memory(part: &str, count: usize) {
    match part {
        "members" => members::memory_of(count),
        "config" => config::memory_of(count),
        "timeline" => timeline::memory_of(count),
        "budgets" => holding::memory_of_budgets(count),
        "open" => holding::memory_of_open(count),
        "fold" => ledger::memory_of_refunder(count),
        "tickets" => ledger::memory_of_tickets(count),
        "routing" => routing::memory_of(count),
        "whole" => whole::memory_of(count),
        _ => eprintln!("unknown part"),
    }
}
