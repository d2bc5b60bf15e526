//! Client for the platform: transactional table, object store, host list and weight store.

mod client;
mod document;
mod error;

pub use self::{
    client::{Client, Weights},
    document::{Host, State},
    error::{Cause, Error, Step},
};
