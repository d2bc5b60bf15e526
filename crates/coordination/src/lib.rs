//! Decision logic for a router fleet that serves prepaid token budgets.
//!
//! Each module is a state machine without I/O: it is given the time and an event, and returns
//! actions; it owns no clock, thread or socket. A driver carries the actions out and reports their
//! results as events. [`host::Host`] composes the state machines of one host.
//!
//! Times are [`std::time::Duration`]s since the process started, unless a name says otherwise.

pub mod admission;
pub mod answer;
pub mod claim;
pub mod clock;
pub mod config;
pub mod credential;
pub mod escrow;
pub mod holder;
pub mod host;
pub mod journal;
pub mod keyring;
pub mod ledger;
pub mod locate;
pub mod member;
pub mod message;
pub mod order;
pub mod prefix;
pub mod record;
pub mod recovery;
pub mod refund;
pub mod request;
pub mod retry;
pub mod route;
pub mod schema;
pub mod table;
pub mod ticket;
pub mod timeline;
