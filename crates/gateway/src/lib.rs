//! Forwards callers' requests to backend servers within prepaid budgets.
//!
//! One event loop on one thread handles callers, backend servers, the platform's table and all
//! decisions. These modules decide without input or output: [`account`] (prepaid tokens),
//! [`lender`] (which hosts prefetch them), [`directory`] (which host reads the platform's lists for
//! the others), [`retry_budget`] (limit on retries), [`overload`] (whether this host can take a
//! request at all), [`idle`] (how long a caller's connection stays open), [`drain`] (which requests
//! it takes while it stops), [`quarantine`] (prompts that aren't sent, since they end backend servers), [`limit`] (how many
//! requests a backend server takes from all hosts together), [`pace`] (how fast a backend server works),
//! [`cache`] (which parts of prompts an engine has cached, and whether it has room), [`credit`] (whether
//! a resumed stream's prompt was charged before), [`witness`] (whether a process went on that couldn't
//! renew its row), [`freshness`] (how far a configuration counts after a restore of the table),
//! [`evacuation`] (which zones get no requests), [`backend`] and
//! [`placement`] (where a request goes, or that it is refused), [`retry_state`] (whether a request
//! may be sent again and what its caller is told), [`history`] (which backend servers may be asked once
//! more), [`stream_end`] (whether the end of a stream is believed).

pub mod account;
pub mod attempt;
pub mod backend;
pub mod body;
pub mod budgets;
pub mod cache;
pub mod catalog;
mod config_copy;
pub mod connection;
pub mod crash;
pub mod credit;
pub mod dialect;
pub mod directory;
pub mod drain;
pub mod edge;
pub mod era;
pub mod evacuation;
mod evacuation_copy;
pub mod events;
pub mod freshness;
pub mod history;
pub mod idle;
pub mod lender;
mod lifecycle;
pub mod limit;
mod limit_sync;
pub mod log;
pub mod membership;
pub mod metrics;
pub mod node;
pub mod overload;
pub mod pace;
pub mod panics;
pub mod peer;
pub mod placement;
mod poll;
pub mod pool;
mod probe;
pub mod proxy;
pub mod quarantine;
mod quarantine_sync;
pub mod relay;
pub mod relisting;
pub mod request;
pub mod retry_budget;
pub mod retry_state;
pub mod service;
pub mod stream_end;
mod subscription;
pub mod timing;
pub mod unread;
pub mod upload;
pub mod witness;

pub use crate::lifecycle::{run, spawn_services};
