//! Budgets under faults: contract with the table, hard cases of recovery, differential tests.

mod contract;
mod fleet;
mod hard_cases;
mod table;
