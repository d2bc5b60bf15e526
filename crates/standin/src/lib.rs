//! Stand-ins for the systems around the router fleet: the platform, a model engine and a plain
//! service.
//!
//! Each runs in its own thread, in a test's process or in the program `laburnum-standin`, and is
//! made to fail on command.

pub mod caller;
pub mod control;
pub mod engine;
pub mod fault;
pub mod http;
pub mod load;
pub mod platform;
pub mod raw;
pub mod service;
