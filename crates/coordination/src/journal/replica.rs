//! Copies of other holders' journals.

use std::collections::BTreeMap;

use super::State;
use crate::message::{Append, Holder, Message, SealedCopy};

/// Copies of other holders' journals that this process keeps.
#[derive(Debug, Default)]
pub struct Replica {
    copies: BTreeMap<Holder, Copy>,
}

#[derive(Debug, Default)]
struct Copy {
    state: State,
    sealed: bool,
}

impl Replica {
    /// Adds entries to a copy and returns the answer.
    ///
    /// Entries after a gap aren't added. The answer contains the number of the last entry of the
    /// copy, 0 if it is empty.
    pub fn append(&mut self, append: Append) -> Message {
        let copy = self.copies.entry(append.holder.clone()).or_default();
        if copy.sealed {
            return Message::AppendRefused { holder: append.holder };
        }
        if append.snapshot {
            copy.load(&append);
        } else {
            copy.extend(&append);
        }
        Message::Appended { holder: append.holder, through: copy.state.through() }
    }

    /// Seals the copy of a holder's journal, even if it is absent, and returns it.
    pub fn seal(&mut self, holder: &Holder) -> Message {
        let copy = self.copies.entry(holder.clone()).or_default();
        copy.sealed = true;
        Message::Sealed(SealedCopy {
            holder: holder.clone(),
            through: copy.state.through(),
            entries: copy.state.entries(),
        })
    }

    /// Drops the copy of the journal of a closed holder.
    pub fn forget(&mut self, holder: &Holder) {
        self.copies.remove(holder);
    }

    /// Returns the number of copies.
    pub fn len(&self) -> usize {
        self.copies.len()
    }

    /// Returns whether there is no copy.
    pub fn is_empty(&self) -> bool {
        self.copies.is_empty()
    }
}

impl Copy {
    fn load(&mut self, append: &Append) {
        if append.first > self.state.through() {
            self.state = State::rebuild(append.first, &append.entries);
        }
    }

    fn extend(&mut self, append: &Append) {
        let through = self.state.through();
        if through == 0 || append.first > through + 1 {
            return;
        }
        for (number, entry) in (append.first..).zip(&append.entries) {
            if number > self.state.through() {
                self.state.apply(number, entry);
            }
        }
    }
}
