//! Interner for short texts that many records share.

use std::{collections::BTreeSet, sync::Arc};

use crate::record::Model;

/// Number of texts at which unused ones are first dropped.
const FIRST_SWEEP_LEN: usize = 1_024;

/// Texts, each stored once.
#[derive(Debug)]
pub struct Interner {
    texts: BTreeSet<Arc<str>>,
    /// Number of texts at which unused ones are dropped next.
    sweep_at: usize,
}

impl Default for Interner {
    fn default() -> Self {
        Self { texts: BTreeSet::new(), sweep_at: FIRST_SWEEP_LEN }
    }
}

impl Interner {
    /// Replaces a text by the equal one that is stored, or stores it.
    pub fn intern(&mut self, text: &mut Arc<str>) {
        if let Some(known) = self.texts.get(text) {
            text.clone_from(known);
            return;
        }
        if self.texts.len() >= self.sweep_at {
            self.texts.retain(|text| Arc::strong_count(text) > 1);
            self.sweep_at = FIRST_SWEEP_LEN.max(2 * self.texts.len());
        }
        self.texts.insert(text.clone());
    }

    /// Interns the texts of a model.
    pub fn intern_model(&mut self, model: &mut Model) {
        [&mut model.name, &mut model.adapter, &mut model.version]
            .into_iter()
            .for_each(|text| self.intern(text));
    }
}
