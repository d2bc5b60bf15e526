//! Measures how the cost of each component grows with the size of the deployment, and prints the
//! measured points with a linear fit.
//!
//! ```text
//! cargo run --release -p coordination --example capacity
//! ```

mod config;
#[path = "../../tests/common/fleet.rs"]
mod fleet;
#[path = "../../tests/common/followers.rs"]
mod followers;
mod full_host;
mod holder;
mod ledger;
mod membership;
mod report;
mod routing;
mod shared_budget;
mod spread;
mod timeline;
mod transport;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        [] => measure(),
        ["routing"] => {
            routing::measure();
            routing::measure_read_sets();
        }
        ["start"] => membership::cold_start(),
        ["whole"] => full_host::measure(),
        ["memory", part, count] => print_part_memory(part, count.parse().expect("a number")),
        _ => eprintln!("the arguments taken are `routing`, `start` and `whole`"),
    }
}

fn measure() {
    println!("machine: {} threads", std::thread::available_parallelism().map_or(0, usize::from));
    transport::measure();
    membership::measure();
    config::measure();
    spread::measure();
    timeline::measure();
    holder::measure();
    shared_budget::measure();
    ledger::measure();
    routing::measure();
    routing::measure_read_sets();
    full_host::measure();
}

/// Prints the memory of one component; [`report::memory_in_subprocess`] runs this program again
/// with these arguments.
fn print_part_memory(part: &str, count: usize) {
    match part {
        "members" => membership::memory_of(count),
        "config" => config::memory_of(count),
        "timeline" => timeline::memory_of(count),
        "budgets" => holder::memory_of_budgets(count),
        "open" => holder::memory_of_open_requests(count),
        "fold" => ledger::memory_of_refunder(count),
        "tickets" => ledger::memory_of_tickets(count),
        "routing" => routing::memory_of(count),
        "whole" => full_host::memory_of(count),
        _ => eprintln!("unknown part"),
    }
}
