//! Decision logic for a router fleet that serves prepaid token budgets.
//!
//! Each module holds one decision as a plain object. It takes the time and an event, and returns
//! actions; it owns no clock, thread or socket. A driver carries the actions out and reports what
//! came of them. `host::Host` composes the decisions of one host.
//!
//! Times are [`std::time::Duration`]s since the process started, unless a name says otherwise.

pub mod admit;
pub mod answer;
pub mod claim;
pub mod locate;
pub mod message;
pub mod order;
pub mod prefix;
pub mod record;
pub mod request;
pub mod retry;
pub mod route;
pub mod table;
pub mod ticket;
