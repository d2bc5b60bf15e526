//! Forwards callers' requests to backend servers within prepaid budgets.
//!
//! One event loop on one thread carries callers, backend servers, the platform's table and all
//! decisions. The decisions stand in modules of their own without input or output: [`account`]
//! (prepaid tokens), [`keeper`] (which hosts keep them), [`allowance`] (bound on repeats), [`backend`] and [`place`] (where a request
//! goes, or that it is refused), [`ending`] (what may be sent again and what a caller is told).

pub mod account;
pub mod attempt;
pub mod backend;
pub mod body;
pub mod budgets;
pub mod catalog;
pub mod dialect;
pub mod edge;
pub mod events;
pub mod lender;
mod lifecycle;
pub mod log;
pub mod membership;
pub mod metrics;
pub mod node;
pub mod peer;
pub mod placement;
mod poll;
pub mod pool;
mod probe;
pub mod proxy;
pub mod relay;
pub mod request;
pub mod retry_budget;
pub mod retry_state;

pub use crate::lifecycle::run;
