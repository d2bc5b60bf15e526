//! Simulated hosts under faults: budgets, answers, tickets, configuration and draining.

mod answers;
mod backends;
mod callers;
mod config;
mod draining;
mod histories;
mod partition;
mod records;
mod simulation;
#[path = "../money/table.rs"]
mod table;
mod tickets;
