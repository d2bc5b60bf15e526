//! Client for the platform: table, object store, list of hosts and weight store.

mod client;
mod document;
mod error;

pub use self::{
    client::{Client, Weights},
    document::{Host, State},
    error::{Cause, Error, Step},
};
