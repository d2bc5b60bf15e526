//! Journals of holders and the copies that other hosts keep.

use std::collections::BTreeMap;

use crate::message::{Append, Entry, Holder, Message, SealedCopy};

/// Copies of other holders' journals that this process keeps.
#[derive(Debug, Default)]
pub struct Replica {
    copies: BTreeMap<Holder, Copy>,
}

#[derive(Debug, Default)]
struct Copy {
    through: u64,
    entries: Vec<Entry>,
    sealed: bool,
}

impl Replica {
    /// Takes entries and returns the answer.
    pub fn append(&mut self, append: Append) -> Message {
        let copy = self.copies.entry(append.holder.clone()).or_default();
        if copy.sealed {
            return Message::AppendRefused { holder: append.holder };
        }
        if append.first == copy.through + 1 && !append.snapshot {
            copy.through += append.entries.len() as u64;
            copy.entries.extend(append.entries);
        }
        Message::Appended { holder: append.holder, through: copy.through }
    }

    /// Seals the copy of a holder's journal, also where none is held, and returns it.
    pub fn seal(&mut self, holder: &Holder) -> Message {
        let copy = self.copies.entry(holder.clone()).or_default();
        copy.sealed = true;
        Message::Sealed(SealedCopy {
            holder: holder.clone(),
            through: copy.through,
            entries: copy.entries.clone(),
        })
    }

    /// Drops the copy of a holder that was closed.
    pub fn forget(&mut self, holder: &Holder) {
        self.copies.remove(holder);
    }
}
