//! Cache of prompt prefixes and its late, incomplete events.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use serde::Serialize;

/// Bytes of a prompt block.
const BLOCK_BYTES: usize = 64;

/// Hexadecimal digits of a prefix hash.
const HASH_DIGITS: usize = 16;

/// Events that can still be read.
const KEEP_EVENTS: usize = 4096;

/// A block by its model and the hash of the prefix that it ends.
type Key = (Arc<str>, Arc<str>);

/// A change of the cache.
#[derive(Debug, Clone, Serialize)]
struct Event {
    seq: u64,
    prefix: Arc<str>,
    model: Arc<str>,
    cached: bool,
}

/// Answer to `GET /cache`.
#[derive(Debug, Serialize)]
pub(super) struct Events {
    events: Vec<Event>,
    next: u64,
}

/// Prompt blocks since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub(super) struct Counts {
    blocks: usize,
    cached_blocks: usize,
}

/// Cache that evicts the block used longest ago.
#[derive(Debug)]
pub(super) struct Cache {
    limit: usize,
    lag: Duration,
    gap: u64,
    blocks: BTreeMap<Key, u64>,
    uses: BTreeMap<u64, Key>,
    use_number: u64,
    seq: u64,
    events: VecDeque<(Instant, Event)>,
    /// Events that answers still leave out, but for those that begin at the first event.
    lose: usize,
    counts: Counts,
}

impl Cache {
    pub(super) fn new(limit: usize, lag: Duration, gap: u64) -> Self {
        Self {
            limit,
            lag,
            gap,
            blocks: BTreeMap::new(),
            uses: BTreeMap::new(),
            use_number: 0,
            seq: 0,
            events: VecDeque::new(),
            lose: 0,
            counts: Counts::default(),
        }
    }

    /// Takes the blocks of a prompt in and returns the share of them that was missing.
    pub(super) fn admit(&mut self, model: &Arc<str>, prompt: &str, now: Instant) -> f64 {
        let prefixes = prefixes(prompt);
        if prefixes.is_empty() {
            return 1.0;
        }
        let keys: Vec<Key> = prefixes.into_iter().map(|prefix| (model.clone(), prefix)).collect();
        let hits = keys.iter().take_while(|key| self.blocks.contains_key(*key)).count();
        self.counts.blocks += keys.len();
        self.counts.cached_blocks += hits;
        let missing = (keys.len() - hits) as f64 / keys.len() as f64;
        // The last block is touched first, so that it is evicted before the ones it builds on.
        for key in keys.into_iter().rev() {
            self.touch(key, now);
        }
        missing
    }

    pub(super) fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Leaves the next events out of answers, but for those that begin at the first event.
    pub(super) fn lose(&mut self, events: usize) {
        self.lose = events;
    }

    /// Returns the events after number `after` that are old enough to show.
    pub(super) fn events(&mut self, after: u64, now: Instant) -> Events {
        let shown = self.events.iter().take_while(|(at, _)| *at + self.lag <= now);
        let shown: Vec<&Event> = shown.map(|(_, event)| event).collect();
        let next = shown.last().map_or(0, |event| event.seq);
        let mut events: Vec<Event> =
            shown.into_iter().filter(|event| event.seq > after).cloned().collect();
        if after > 0 {
            let lost = self.lose.min(events.len());
            self.lose -= lost;
            events.drain(..lost);
        }
        Events { events, next }
    }

    fn touch(&mut self, key: Key, now: Instant) {
        self.use_number += 1;
        self.uses.insert(self.use_number, key.clone());
        match self.blocks.insert(key.clone(), self.use_number) {
            Some(old) => {
                self.uses.remove(&old);
            }
            None => self.publish(key, true, now),
        }
        if self.blocks.len() > self.limit {
            self.evict(now);
        }
    }

    fn evict(&mut self, now: Instant) {
        if let Some((_, key)) = self.uses.pop_first() {
            self.blocks.remove(&key);
            self.publish(key, false, now);
        }
    }

    fn publish(&mut self, (model, prefix): Key, cached: bool, now: Instant) {
        self.seq += 1;
        if self.gap > 0 && self.seq.is_multiple_of(self.gap) {
            return;
        }
        self.events.push_back((now, Event { seq: self.seq, prefix, model, cached }));
        if self.events.len() > KEEP_EVENTS {
            self.events.pop_front();
        }
    }
}

/// Returns the hash of each prefix of whole blocks, shortest first.
fn prefixes(prompt: &str) -> Vec<Arc<str>> {
    let mut hasher = blake3::Hasher::new();
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            hasher.update(block);
            Arc::from(&hasher.finalize().to_hex()[..HASH_DIGITS])
        })
        .collect()
}
