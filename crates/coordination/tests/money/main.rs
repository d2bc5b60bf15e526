//! Budgets under injected faults: faults of the table, recovery of dead holders, refunds and
//! reconciliation, and random histories compared with a naive ledger.

mod claims;
mod differential;
mod edge_cases;
mod fleet;
mod ledger;
mod policy;
mod recovery;
mod table;
mod table_faults;
