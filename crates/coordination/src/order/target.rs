//! What an issuer knows of one back end.

use std::{sync::Arc, time::Duration};

use super::{DesiredState, ObservedState, Order};
use crate::table::Revision;

/// What is under way at a back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Phase {
    /// Nothing.
    Idle,
    /// Its state is being read.
    Reading { number: u64 },
    /// The weight store is being asked.
    Weights { number: u64, order: Order },
    /// The intent row is being written.
    Intent { fence: u64, order: Order },
    /// The intent row is being read, after an answer about it was lost.
    Looking,
    /// An order was sent.
    Ordering { fence: u64 },
    /// An order may be on its way.
    Settling,
    /// The intent row is being deleted.
    Clearing,
}

/// A back end with what it is to hold.
#[derive(Debug)]
pub(super) struct Target {
    pub desired: DesiredState,
    pub phase: Phase,
    /// Revision of the intent row that stands for it.
    pub intent: Option<Revision>,
    /// Time at which the phase is looked at again.
    pub due: Duration,
}

impl Target {
    pub fn new(desired: DesiredState, due: Duration) -> Self {
        Self { desired, phase: Phase::Idle, intent: None, due }
    }

    /// Returns the next order that brings a back end from a state to what is wanted. It unloads
    /// before it loads, since memory is limited.
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
