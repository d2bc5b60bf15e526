//! State that a reconciler tracks for one backend server.

use std::{sync::Arc, time::Duration};

use super::{DesiredState, ObservedState, Order};
use crate::table::Revision;

/// Operation in progress at a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Phase {
    /// No operation is in progress.
    Idle,
    /// The backend server's state is being read.
    ReadingState { number: u64 },
    /// The weight store is asked for a model's weights.
    RequestingWeights { number: u64, order: Order },
    /// The intent row is being written.
    WritingIntent { fence: u64, order: Order },
    /// The intent row is being read, since an answer about it was lost.
    ReadingIntent,
    /// An order was sent and its outcome is awaited.
    AwaitingOutcome { fence: u64 },
    /// An order may still be in flight and is waited out.
    WaitingOut,
    /// The intent row is being deleted.
    ClearingIntent,
}

/// Backend server with its desired state.
#[derive(Debug)]
pub(super) struct Target {
    pub desired: DesiredState,
    pub phase: Phase,
    /// Revision of the backend server's intent row, if there is one.
    pub intent: Option<Revision>,
    /// Time at which the phase is checked again.
    pub due_at: Duration,
}

impl Target {
    pub fn new(desired: DesiredState, due_at: Duration) -> Self {
        Self { desired, phase: Phase::Idle, intent: None, due_at }
    }

    /// Returns the next order that brings a backend server from `state` to the desired state.
    /// Models are unloaded before others are loaded, since memory is limited.
    pub fn next_order(&self, state: &ObservedState) -> Option<Order> {
        let surplus = state.models.iter().find(|model| !self.desired.models.contains(model));
        if let Some(model) = surplus {
            return Some(Order::Unload(model.clone()));
        }
        let missing = self.desired.models.iter().find(|model| !state.models.contains(model));
        if let Some(model) = missing {
            return Some(Order::Load(model.clone()));
        }
        let role: Option<&Arc<str>> = self.desired.role.as_ref();
        role.filter(|role| **role != state.role).map(|role| Order::Role(role.clone()))
    }
}
