//! Questions of operators to a host.

use std::sync::Arc;

use coordination::timeline;

use crate::{
    laburnum,
    message::{self, Fault},
};

/// Status of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Host name.
    pub host: Arc<str>,
    /// Holder, `host.incarnation`.
    pub holder: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Revision of the configuration in force.
    pub revision: u64,
    /// State in one word.
    pub state: Arc<str>,
    /// Further figures, JSON text.
    pub detail: Arc<str>,
    /// Tokens held, by budget.
    pub budgets: Vec<Held>,
}

/// Tokens of one budget that a host holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Held {
    /// Budget.
    pub budget: Arc<str>,
    /// Tokens.
    pub tokens: u64,
}

/// Answers operators on behalf of a host.
pub trait Responder: Send + Sync {
    /// Returns whether a bearer token belongs to an operator.
    fn authorise(&self, token: &str) -> bool;

    /// Returns the status; `None` while the host can't tell.
    fn status(&self) -> Option<Status>;

    /// Returns the selected events of this process; `None` while the host can't tell.
    fn timeline(&self, query: &timeline::Query) -> Option<Vec<timeline::Event>>;
}

impl From<&Status> for laburnum::Status {
    fn from(status: &Status) -> Self {
        let held = |held: &Held| laburnum::Held::new(held.budget.to_string(), held.tokens as i64);
        Self {
            host: status.host.to_string(),
            holder: status.holder.to_string(),
            zone: status.zone.to_string(),
            revision: status.revision as i64,
            state: status.state.to_string(),
            detail: status.detail.to_string(),
            budgets: status.budgets.iter().map(held).collect(),
        }
    }
}

impl From<laburnum::Status> for Status {
    fn from(status: laburnum::Status) -> Self {
        let held =
            |held: laburnum::Held| Held { budget: held.budget.into(), tokens: held.tokens as u64 };
        Self {
            host: status.host.into(),
            holder: status.holder.into(),
            zone: status.zone.into(),
            revision: status.revision as u64,
            state: status.state.into(),
            detail: status.detail.into(),
            budgets: status.budgets.into_iter().map(held).collect(),
        }
    }
}

impl From<&timeline::Query> for laburnum::TimelineQuery {
    fn from(query: &timeline::Query) -> Self {
        Self {
            request: query.request.map(|id| id.0.to_vec()),
            from_ms: query.from_ms as i64,
            until_ms: query.until_ms as i64,
            limit: i32::try_from(query.limit).unwrap_or(i32::MAX),
        }
    }
}

/// Reads a query.
pub(crate) fn query(query: laburnum::TimelineQuery) -> Result<timeline::Query, Fault> {
    Ok(timeline::Query {
        request: query.request.as_deref().map(message::request).transpose()?,
        from_ms: query.from_ms as u64,
        until_ms: query.until_ms as u64,
        limit: usize::try_from(query.limit).unwrap_or(0),
    })
}

impl From<&timeline::Event> for laburnum::TimelineEvent {
    fn from(event: &timeline::Event) -> Self {
        Self {
            clock: event.stamp.into(),
            host: event.host.to_string(),
            sequence: event.sequence as i64,
            request: event.request.map(|id| id.0.to_vec()),
            step: event.step.to_string(),
            peer: event.peer.to_string(),
            cause: event.cause.map(Into::into),
            detail: event.detail.to_string(),
        }
    }
}

impl TryFrom<laburnum::TimelineEvent> for timeline::Event {
    type Error = Fault;

    fn try_from(event: laburnum::TimelineEvent) -> Result<Self, Fault> {
        Ok(Self {
            stamp: event.clock.into(),
            host: event.host.into(),
            sequence: event.sequence as u64,
            request: event.request.as_deref().map(message::request).transpose()?,
            step: event.step.parse().map_err(|_| Fault::Unknown { field: "step" })?,
            peer: event.peer.into(),
            cause: event.cause.map(Into::into),
            detail: event.detail.into(),
        })
    }
}
