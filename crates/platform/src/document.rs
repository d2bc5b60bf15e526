//! JSON request and response bodies of the platform's HTTP interface.

use std::sync::Arc;

use coordination::table::{Revision, Row};
use serde::{Deserialize, Serialize};

/// An entry of the platform's host list, which may lag behind the state of the host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Host name.
    pub host: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// State of the host.
    pub state: State,
    /// Incarnation up to which [`State::Gone`] applies; `None` for every incarnation.
    #[serde(default)]
    pub incarnation: Option<u64>,
}

/// State of a host in the platform's host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// In service.
    Live,
    /// About to shut down.
    Leaving,
    /// Permanently gone.
    Gone,
}

#[derive(Debug, Deserialize)]
pub(crate) struct HostsResponse {
    pub(crate) hosts: Vec<Host>,
}

#[derive(Debug, Serialize)]
pub(crate) struct ReadRequest<'a> {
    pub(crate) keys: &'a [Arc<str>],
}

#[derive(Debug, Serialize)]
pub(crate) struct ScanRequest<'a> {
    pub(crate) prefix: &'a str,
    pub(crate) after: &'a str,
    pub(crate) limit: u32,
}

#[derive(Debug, Serialize)]
pub(crate) struct ChangesRequest<'a> {
    pub(crate) prefix: &'a str,
    pub(crate) after: Revision,
    pub(crate) limit: u32,
}

#[derive(Debug, Deserialize)]
pub(crate) struct RowsResponse {
    pub(crate) rows: Vec<Row>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct ChangesResponse {
    pub(crate) rows: Vec<Row>,
    pub(crate) through: Revision,
}

#[derive(Debug, Deserialize)]
pub(crate) struct CommitResponse {
    pub(crate) committed: Revision,
}

#[derive(Debug, Deserialize)]
pub(crate) struct ConflictResponse {
    pub(crate) conflict: Vec<Row>,
}
