//! Short texts that many records share.

use std::{collections::BTreeSet, sync::Arc};

use crate::record::Model;

/// Number of texts before those out of use are first dropped.
const FIRST_SWEEP: usize = 1_024;

/// Texts, each kept once.
#[derive(Debug)]
pub struct Words {
    words: BTreeSet<Arc<str>>,
    /// Number of texts at which those out of use are dropped.
    sweep_at: usize,
}

impl Default for Words {
    fn default() -> Self {
        Self { words: BTreeSet::new(), sweep_at: FIRST_SWEEP }
    }
}

impl Words {
    /// Takes the text that is kept in place of an equal one.
    pub fn share(&mut self, word: &mut Arc<str>) {
        if let Some(known) = self.words.get(word) {
            word.clone_from(known);
            return;
        }
        if self.words.len() >= self.sweep_at {
            self.words.retain(|word| Arc::strong_count(word) > 1);
            self.sweep_at = FIRST_SWEEP.max(2 * self.words.len());
        }
        self.words.insert(word.clone());
    }

    /// Shares the texts of a model.
    pub fn share_model(&mut self, model: &mut Model) {
        [&mut model.name, &mut model.adapter, &mut model.version]
            .into_iter()
            .for_each(|word| self.share(word));
    }
}
