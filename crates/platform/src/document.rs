//! JSON documents of the platform's interface.

use std::sync::Arc;

use coordination::table::{Revision, Row};
use serde::{Deserialize, Serialize};

/// A host as the platform lists it; the list lags.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name.
    pub host: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// State.
    pub state: State,
    /// Incarnation up to which `gone` is final; `None` for every one.
    #[serde(default)]
    pub incarnation: Option<u64>,
}

/// State of a listed host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It runs.
    Live,
    /// It is about to end.
    Leaving,
    /// It has ended for good.
    Gone,
}

#[derive(Debug, Deserialize)]
pub(crate) struct Hosts {
    pub(crate) hosts: Vec<Host>,
}

#[derive(Debug, Serialize)]
pub(crate) struct Read<'a> {
    pub(crate) keys: &'a [Arc<str>],
}

#[derive(Debug, Serialize)]
pub(crate) struct Scan<'a> {
    pub(crate) prefix: &'a str,
    pub(crate) after: &'a str,
    pub(crate) limit: u32,
}

#[derive(Debug, Serialize)]
pub(crate) struct Changes<'a> {
    pub(crate) prefix: &'a str,
    pub(crate) after: Revision,
    pub(crate) limit: u32,
}

#[derive(Debug, Deserialize)]
pub(crate) struct Rows {
    pub(crate) rows: Vec<Row>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct Changed {
    pub(crate) rows: Vec<Row>,
    pub(crate) through: Revision,
}

#[derive(Debug, Deserialize)]
pub(crate) struct Committed {
    pub(crate) committed: Revision,
}

#[derive(Debug, Deserialize)]
pub(crate) struct Conflict {
    pub(crate) conflict: Vec<Row>,
}
