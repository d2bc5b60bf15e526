//! Whole hosts under faults: money, answers, configuration and leaving.

mod answers;
mod backends;
mod callers;
mod histories;
mod money;
mod records;
#[path = "../money/table.rs"]
mod table;
mod world;
