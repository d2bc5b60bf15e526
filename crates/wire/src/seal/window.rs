//! Recognises datagrams that were received before.

use std::{collections::BTreeMap, sync::Arc};

/// Numbers below the greatest one that are told apart.
const WIDTH: u64 = 1_024;

const WORD_BITS: u64 = 64;
const WORDS: usize = (WIDTH / WORD_BITS) as usize;

/// Senders that are remembered.
const MAX_SENDERS: usize = 4_096;

/// Numbers received from one holder.
#[derive(Debug, Default)]
pub struct Window {
    greatest: u64,
    seen: [u64; WORDS],
}

impl Window {
    /// Returns whether a number was not received yet; false where it is too old to tell.
    pub fn is_new(&self, number: u64) -> bool {
        if number > self.greatest {
            return true;
        }
        if number == 0 || self.greatest - number >= WIDTH {
            return false;
        }
        let (word, bit) = Self::place(number);
        self.seen[word] & bit == 0
    }

    /// Marks a new number as received.
    pub fn insert(&mut self, number: u64) {
        if number > self.greatest {
            let first = self.greatest.max(number.saturating_sub(WIDTH));
            (first..number).for_each(|skipped| self.clear(skipped + 1));
            self.greatest = number;
        }
        let (word, bit) = Self::place(number);
        self.seen[word] |= bit;
    }

    fn clear(&mut self, number: u64) {
        let (word, bit) = Self::place(number);
        self.seen[word] &= !bit;
    }

    fn place(number: u64) -> (usize, u64) {
        let slot = number % WIDTH;
        ((slot / WORD_BITS) as usize, 1 << (slot % WORD_BITS))
    }
}

/// Numbers received, by holder.
///
/// The holder that was silent longest makes room for a new one.
#[derive(Debug, Default)]
pub struct Windows {
    uses: u64,
    senders: BTreeMap<Arc<str>, (u64, Window)>,
    by_use: BTreeMap<u64, Arc<str>>,
}

impl Windows {
    /// Returns whether a number of this holder was not received yet.
    pub fn is_new(&self, holder: &str, number: u64) -> bool {
        match self.senders.get(holder) {
            Some((_, window)) => window.is_new(number),
            None => number > 0,
        }
    }

    /// Marks a new number of this holder as received.
    pub fn insert(&mut self, holder: &str, number: u64) {
        let (name, mut window) = match self.senders.remove_entry(holder) {
            Some((name, (used, window))) => {
                self.by_use.remove(&used);
                (name, window)
            }
            None => (Arc::from(holder), Window::default()),
        };
        window.insert(number);
        self.uses += 1;
        self.by_use.insert(self.uses, name.clone());
        self.senders.insert(name, (self.uses, window));
        if self.senders.len() > MAX_SENDERS {
            self.evict();
        }
    }

    fn evict(&mut self) {
        if let Some((_, name)) = self.by_use.pop_first() {
            self.senders.remove(&name);
        }
    }
}
