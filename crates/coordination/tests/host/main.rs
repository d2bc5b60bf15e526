//! Simulated hosts under faults: budgets, answers, tickets, configuration and draining.

mod answers;
mod backends;
mod callers;
mod config;
mod histories;
mod leaving;
mod money;
mod records;
#[path = "../money/table.rs"]
mod table;
mod tickets;
mod world;
