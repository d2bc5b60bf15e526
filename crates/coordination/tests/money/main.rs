//! Budgets under faults: contract with the table, hard cases of recovery, differential tests.

mod claims;
mod contract;
mod differential;
mod fleet;
mod guards;
mod hard_cases;
mod ledger;
mod policy;
mod table;
