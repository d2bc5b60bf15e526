//! Budgets of whole hosts under faults.
