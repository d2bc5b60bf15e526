//! Short texts that many records share.

use std::{collections::BTreeSet, sync::Arc};

use crate::record::Model;

/// Number of texts before those out of use are first dropped.
const FIRST_SWEEP_LEN: usize = 1_024;

/// Texts, each kept once.
#[derive(Debug)]
pub struct Interner {
    texts: BTreeSet<Arc<str>>,
    /// Number of texts at which those out of use are dropped.
    sweep_len: usize,
}

impl Default for Interner {
    fn default() -> Self {
        Self { texts: BTreeSet::new(), sweep_len: FIRST_SWEEP_LEN }
    }
}

impl Interner {
    /// Takes the text that is kept in place of an equal one.
    pub fn intern(&mut self, text: &mut Arc<str>) {
        if let Some(known) = self.texts.get(text) {
            text.clone_from(known);
            return;
        }
        if self.texts.len() >= self.sweep_len {
            self.texts.retain(|text| Arc::strong_count(text) > 1);
            self.sweep_len = FIRST_SWEEP_LEN.max(2 * self.texts.len());
        }
        self.texts.insert(text.clone());
    }

    /// Shares the texts of a model.
    pub fn intern_model(&mut self, model: &mut Model) {
        [&mut model.name, &mut model.adapter, &mut model.version]
            .into_iter()
            .for_each(|text| self.intern(text));
    }
}
