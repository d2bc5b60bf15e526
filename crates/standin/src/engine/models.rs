//! Models, role and fencing number of an engine, and the orders that change them.

use std::sync::Arc;

use coordination::record::Model;
use serde::{Deserialize, Serialize};

/// Orders that are remembered.
const KEEP_ORDERS: usize = 1024;

/// Role of an engine that no order has changed.
const ROLE: &str = "mixed";

/// Body of `POST /orders`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Order {
    fence: u64,
    order: Kind,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    model: Option<Model>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    role: Option<Arc<str>>,
}

/// Kind of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Kind {
    Load,
    Unload,
    Role,
}

/// Answer to an order.
#[derive(Debug, Serialize)]
pub(super) struct Fence {
    fence: u64,
}

/// What came of an order.
#[derive(Debug)]
pub(super) enum Verdict {
    /// It took effect.
    Done(Fence),
    /// Its number is old.
    Old(Fence),
    /// This field is missing.
    Malformed(&'static str),
}

/// Part of the answer to `GET /state`.
#[derive(Debug, Serialize)]
pub(super) struct Document<'a> {
    models: &'a [Model],
    fence: u64,
    role: &'a str,
}

#[derive(Debug)]
pub(super) struct Models {
    models: Vec<Model>,
    role: Arc<str>,
    enforced: bool,
    fence: u64,
    applied: Vec<Order>,
}

impl Models {
    pub(super) fn new(models: Vec<Model>, enforced: bool) -> Self {
        Self { models, role: Arc::from(ROLE), enforced, fence: 0, applied: Vec::new() }
    }

    /// Returns whether a model is loaded; an empty version stands for any.
    pub(super) fn has(&self, name: &str, adapter: &str, version: &str) -> bool {
        self.models.iter().any(|model| {
            *model.name == *name
                && *model.adapter == *adapter
                && (version.is_empty() || *model.version == *version)
        })
    }

    pub(super) fn document(&self) -> Document<'_> {
        Document { models: &self.models, fence: self.fence, role: &self.role }
    }

    /// Returns the orders that took effect, in their order.
    pub(super) fn applied(&self) -> &[Order] {
        &self.applied
    }

    pub(super) fn order(&mut self, order: Order) -> Verdict {
        if self.enforced && order.fence < self.fence {
            return Verdict::Old(Fence { fence: self.fence });
        }
        if let Err(field) = self.apply(&order) {
            return Verdict::Malformed(field);
        }
        if self.enforced {
            self.fence = order.fence;
        }
        let fence = Fence { fence: order.fence };
        if self.applied.len() < KEEP_ORDERS {
            self.applied.push(order);
        }
        Verdict::Done(fence)
    }

    fn apply(&mut self, order: &Order) -> Result<(), &'static str> {
        match order.order {
            Kind::Load => {
                let model = order.model.as_ref().ok_or("model")?;
                if !self.models.contains(model) {
                    self.models.push(model.clone());
                }
            }
            Kind::Unload => {
                let model = order.model.as_ref().ok_or("model")?;
                self.models.retain(|loaded| loaded != model);
            }
            Kind::Role => self.role = order.role.clone().ok_or("role")?,
        }
        Ok(())
    }
}
