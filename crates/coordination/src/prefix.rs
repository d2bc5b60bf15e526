//! Hints about which back end has a prompt's prefix in its cache.
//!
//! Engines publish cache events late and with gaps, so an entry is a hint: routing by a wrong one
//! costs time and nothing else.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

/// Bytes of a prompt covered by each further hash.
pub const BLOCK_BYTES: usize = 64;

/// Greatest number of blocks of a prompt that are hashed.
pub const MAX_BLOCKS: usize = 64;

/// Greatest number of entries kept for one back end.
const MAX_ENTRIES: usize = 8192;

/// Greatest number of back ends kept for one prefix.
const MAX_HOLDERS: usize = 4;

/// Identifies a prefix together with the model that it was computed with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key(u64);

impl Key {
    /// Combines a prefix hash, as engines publish it, with the name of its model.
    pub fn new(model: &str, prefix: u64) -> Self {
        let hash = blake3::hash(model.as_bytes());
        let mut low = [0; 8];
        low.copy_from_slice(&hash.as_bytes()[..8]);
        Self(prefix ^ u64::from_be_bytes(low))
    }

    /// Parses a prefix hash as engines publish it, 16 hexadecimal digits.
    pub fn parse(model: &str, prefix: &str) -> Option<Self> {
        let mut bytes = [0; 8];
        hex::decode_to_slice(prefix, &mut bytes).ok()?;
        Some(Self::new(model, u64::from_be_bytes(bytes)))
    }
}

/// Returns the keys of a prompt's prefixes, shortest first.
pub fn keys(model: &str, prompt: &[u8]) -> Vec<Key> {
    let mut hasher = blake3::Hasher::new();
    let blocks = prompt.chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
    let model = Key::new(model, 0).0;
    blocks
        .map(|block| {
            hasher.update(block);
            let mut low = [0; 8];
            low.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
            Key(model ^ u64::from_be_bytes(low))
        })
        .collect()
}

/// A change of an engine's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// Number of the event at its engine, counted from 1 without gaps.
    pub seq: u64,
    /// Prefix.
    pub key: Key,
    /// It came into the cache; otherwise it was evicted.
    pub cached: bool,
}

/// Back ends that are likely to have a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Match<'a> {
    /// Back ends, latest news last.
    pub backends: &'a [Arc<str>],
    /// Length of the prefix in blocks.
    pub blocks: usize,
}

#[derive(Debug, Default)]
struct Cache {
    /// Number of the last event seen.
    seq: u64,
    /// Events are missing since the last full read.
    resyncing: bool,
    /// Entries in the order in which they came, evicted ones included.
    order: VecDeque<Key>,
}

/// Bounded index of the prefixes that back ends hold.
#[derive(Debug, Default)]
pub struct Index {
    caches: BTreeMap<Arc<str>, Cache>,
    holders: BTreeMap<Key, Vec<Arc<str>>>,
}

impl Index {
    /// Returns the number of the last event seen from a back end, after which to read on; 0 while
    /// all of its events are to be read again.
    pub fn read_after(&self, backend: &str) -> u64 {
        match self.caches.get(backend) {
            Some(cache) if !cache.resyncing => cache.seq,
            _ => 0,
        }
    }

    /// Returns whether events of a back end are missing and all are to be read again.
    pub fn is_resyncing(&self, backend: &str) -> bool {
        self.caches.get(backend).is_some_and(|cache| cache.resyncing)
    }

    /// Takes the events that a back end published after a number. Returns false where some are
    /// missing, and all are to be read again; until then later ones are taken all the same.
    pub fn apply(&mut self, backend: &Arc<str>, after: u64, events: &[Event], next: u64) -> bool {
        let full = after == 0;
        let restarted = next < after;
        let mut missing = restarted || (!full && self.is_resyncing(backend));
        if full || restarted {
            self.forget(backend);
        }
        self.caches.entry(backend.clone()).or_default();
        for event in events {
            let seen = self.seq(backend);
            if event.seq <= seen && !full {
                continue;
            }
            missing |= !full && event.seq - 1 != seen;
            self.change(backend, event);
        }
        missing |= next > self.seq(backend) && !full;
        if let Some(cache) = self.caches.get_mut(backend) {
            cache.seq = cache.seq.max(next);
            cache.resyncing = missing;
        }
        !missing
    }

    /// Notes that a back end is about to compute a prompt, ahead of its own events.
    pub fn insert_predicted(&mut self, backend: &Arc<str>, keys: &[Key]) {
        for key in keys {
            self.insert(backend, *key);
        }
    }

    /// Forgets a back end.
    pub fn forget(&mut self, backend: &Arc<str>) {
        let Some(cache) = self.caches.remove(backend) else { return };
        for key in cache.order {
            self.remove(backend, key);
        }
    }

    /// Returns the back ends with the longest known prefix of a prompt.
    pub fn find(&self, keys: &[Key]) -> Option<Match<'_>> {
        let found = keys.iter().enumerate().rev().find_map(|(i, key)| {
            let backends = self.holders.get(key)?;
            Some((i + 1, backends))
        });
        let (blocks, backends) = found?;
        Some(Match { backends, blocks })
    }

    /// Returns the number of entries over all back ends.
    pub fn len(&self) -> usize {
        self.caches.values().map(|cache| cache.order.len()).sum()
    }

    /// Returns true where no back end has an entry.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn seq(&self, backend: &str) -> u64 {
        self.caches.get(backend).map_or(0, |cache| cache.seq)
    }

    fn change(&mut self, backend: &Arc<str>, event: &Event) {
        if let Some(cache) = self.caches.get_mut(backend) {
            cache.seq = cache.seq.max(event.seq);
        }
        match event.cached {
            true => self.insert(backend, event.key),
            false => self.remove(backend, event.key),
        }
    }

    fn insert(&mut self, backend: &Arc<str>, key: Key) {
        let holders = self.holders.entry(key).or_default();
        if holders.contains(backend) {
            return;
        }
        if holders.len() == MAX_HOLDERS {
            holders.remove(0);
        }
        holders.push(backend.clone());
        let cache = self.caches.entry(backend.clone()).or_default();
        cache.order.push_back(key);
        if cache.order.len() <= MAX_ENTRIES {
            return;
        }
        let Some(oldest) = cache.order.pop_front() else { return };
        self.remove(backend, oldest);
    }

    fn remove(&mut self, backend: &Arc<str>, key: Key) {
        let Some(holders) = self.holders.get_mut(&key) else { return };
        holders.retain(|holder| holder != backend);
        if holders.is_empty() {
            self.holders.remove(&key);
        }
    }
}
