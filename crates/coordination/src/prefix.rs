//! Hints about which backend server has a prompt's prefix in its cache.
//!
//! Backend servers publish cache events late and with gaps, so an entry is only a hint. Routing by
//! a wrong entry costs time but is harmless otherwise.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

/// Block size in bytes; each block of a prompt adds a hash of the prefix that ends with it.
pub const BLOCK_BYTES: usize = 64;

/// Maximum number of blocks of a prompt that are hashed.
pub const MAX_BLOCKS: usize = 64;

/// Maximum number of entries for one backend server.
const MAX_ENTRIES_PER_BACKEND: usize = 8192;

/// Maximum number of backend servers for one prefix.
const MAX_BACKENDS_PER_PREFIX: usize = 4;

/// Key of a prefix and the model that it was computed with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key(u64);

impl Key {
    /// Combines a prefix hash, as published by backend servers, with the name of its model.
    pub fn new(model: &str, prefix: u64) -> Self {
        let hash = blake3::hash(model.as_bytes());
        let mut low = [0; 8];
        low.copy_from_slice(&hash.as_bytes()[..8]);
        Self(prefix ^ u64::from_be_bytes(low))
    }

    /// Parses a prefix hash as published by backend servers, 16 hexadecimal digits.
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

/// Change of a backend server's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// Sequence number of the event at its backend server, counted from 1 without gaps.
    pub seq: u64,
    /// Prefix that changed.
    pub key: Key,
    /// Whether the prefix was added to the cache; otherwise it was evicted.
    pub cached: bool,
}

/// Backend servers that are likely to have a prefix in their cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Match<'a> {
    /// Backend servers, most recently updated last.
    pub backends: &'a [Arc<str>],
    /// Length of the prefix in blocks.
    pub blocks: usize,
}

#[derive(Debug, Default)]
struct Cache {
    /// Sequence number of the last event received.
    last_seq: u64,
    /// Whether events have been missed since the last full read.
    resyncing: bool,
    /// Entries in insertion order, including evicted ones.
    insertion_order: VecDeque<Key>,
}

/// Bounded index of the prefixes in the caches of backend servers.
#[derive(Debug, Default)]
pub struct Index {
    caches: BTreeMap<Arc<str>, Cache>,
    backends_by_prefix: BTreeMap<Key, Vec<Arc<str>>>,
}

impl Index {
    /// Returns the sequence number after which to read the events of a backend server: that of the
    /// last event received, or 0 while all events have to be read again.
    pub fn read_after(&self, backend: &str) -> u64 {
        match self.caches.get(backend) {
            Some(cache) if !cache.resyncing => cache.last_seq,
            _ => 0,
        }
    }

    /// Returns whether events of a backend server were missed, so that all have to be read again.
    pub fn is_resyncing(&self, backend: &str) -> bool {
        self.caches.get(backend).is_some_and(|cache| cache.resyncing)
    }

    /// Applies the events that a backend server published after a sequence number. Returns `false`
    /// if events were missed, so that all have to be read again; later events are still applied
    /// until then.
    pub fn apply(&mut self, backend: &Arc<str>, after: u64, events: &[Event], next: u64) -> bool {
        let is_full_read = after == 0;
        let has_restarted = next < after;
        let mut is_missing = has_restarted || (!is_full_read && self.is_resyncing(backend));
        if is_full_read || has_restarted {
            self.forget(backend);
        }
        self.caches.entry(backend.clone()).or_default();
        for event in events {
            let last_seq = self.last_seq(backend);
            if event.seq <= last_seq && !is_full_read {
                continue;
            }
            is_missing |= !is_full_read && event.seq - 1 != last_seq;
            self.apply_event(backend, event);
        }
        is_missing |= next > self.last_seq(backend) && !is_full_read;
        if let Some(cache) = self.caches.get_mut(backend) {
            cache.last_seq = cache.last_seq.max(next);
            cache.resyncing = is_missing;
        }
        !is_missing
    }

    /// Adds the prefixes of a prompt that a backend server is about to compute, before its own
    /// events report them.
    pub fn insert_predicted(&mut self, backend: &Arc<str>, keys: &[Key]) {
        for key in keys {
            self.insert(backend, *key);
        }
    }

    /// Removes a backend server.
    pub fn forget(&mut self, backend: &Arc<str>) {
        let Some(cache) = self.caches.remove(backend) else { return };
        for key in cache.insertion_order {
            self.remove(backend, key);
        }
    }

    /// Returns the backend servers with the longest known prefix of a prompt.
    pub fn find(&self, keys: &[Key]) -> Option<Match<'_>> {
        let found = keys.iter().enumerate().rev().find_map(|(i, key)| {
            let backends = self.backends_by_prefix.get(key)?;
            Some((i + 1, backends))
        });
        let (blocks, backends) = found?;
        Some(Match { backends, blocks })
    }

    /// Returns the number of entries of all backend servers.
    pub fn len(&self) -> usize {
        self.caches.values().map(|cache| cache.insertion_order.len()).sum()
    }

    /// Returns whether no backend server has an entry.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn last_seq(&self, backend: &str) -> u64 {
        self.caches.get(backend).map_or(0, |cache| cache.last_seq)
    }

    fn apply_event(&mut self, backend: &Arc<str>, event: &Event) {
        if let Some(cache) = self.caches.get_mut(backend) {
            cache.last_seq = cache.last_seq.max(event.seq);
        }
        match event.cached {
            true => self.insert(backend, event.key),
            false => self.remove(backend, event.key),
        }
    }

    fn insert(&mut self, backend: &Arc<str>, key: Key) {
        let backends = self.backends_by_prefix.entry(key).or_default();
        if backends.contains(backend) {
            return;
        }
        if backends.len() == MAX_BACKENDS_PER_PREFIX {
            backends.remove(0);
        }
        backends.push(backend.clone());
        let cache = self.caches.entry(backend.clone()).or_default();
        cache.insertion_order.push_back(key);
        if cache.insertion_order.len() <= MAX_ENTRIES_PER_BACKEND {
            return;
        }
        let Some(oldest) = cache.insertion_order.pop_front() else { return };
        self.remove(backend, oldest);
    }

    fn remove(&mut self, backend: &Arc<str>, key: Key) {
        let Some(backends) = self.backends_by_prefix.get_mut(&key) else { return };
        backends.retain(|other| other != backend);
        if backends.is_empty() {
            self.backends_by_prefix.remove(&key);
        }
    }
}
