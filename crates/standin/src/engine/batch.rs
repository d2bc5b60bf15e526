//! Streams that wait, run and have ended.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use coordination::request::Class;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::{
    Settings,
    cache::Cache,
    stream::{Ask, Copy, Document, Progress, State, Stream, Watch, prompt_tokens},
};

/// Time for which an ended stream can still be read.
const KEEP: Duration = Duration::from_secs(300);

/// Ended streams that can still be read.
const KEEP_STREAMS: usize = 16_384;

/// Imported caches that wait for their stream.
const KEEP_COPIES: usize = 1024;

/// Counts since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Streams started.
    pub started: u64,
    /// Streams joined by a further reader.
    pub joined: u64,
    /// Streams cancelled.
    pub cancelled: u64,
    /// Streams that made all their tokens.
    pub finished: u64,
}

#[derive(Debug)]
pub(super) struct Batch {
    slots: usize,
    queue_limit: usize,
    token_time: Duration,
    first_time: Duration,
    length_percent: u64,
    streams: BTreeMap<Arc<str>, Stream>,
    queue: BTreeMap<(Class, u64), Arc<str>>,
    /// Streams with a slot, by the time of their next token.
    running: BTreeMap<(Instant, u64), Arc<str>>,
    /// Streams with a slot that wait for a release.
    held: BTreeSet<Arc<str>>,
    hold: Option<u64>,
    ended: VecDeque<(Instant, u64, Arc<str>)>,
    copies: BTreeMap<String, Copy>,
    number: u64,
    counts: Counts,
}

impl Batch {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            slots: settings.slots,
            queue_limit: settings.queue,
            token_time: settings.token_time,
            first_time: settings.first_time,
            length_percent: settings.length_percent,
            streams: BTreeMap::new(),
            queue: BTreeMap::new(),
            running: BTreeMap::new(),
            held: BTreeSet::new(),
            hold: None,
            ended: VecDeque::new(),
            copies: BTreeMap::new(),
            number: 0,
            counts: Counts::default(),
        }
    }

    pub(super) fn queued(&self) -> usize {
        self.queue.len()
    }

    pub(super) fn running(&self) -> usize {
        self.running.len() + self.held.len()
    }

    pub(super) fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Returns when the next token is due.
    pub(super) fn due(&self) -> Option<Instant> {
        self.running.first_key_value().map(|((due, _), _)| *due)
    }

    /// Joins a stream; one that was cancelled no longer stands.
    pub(super) fn join(&mut self, request: &str) -> Option<Watch> {
        let stream = self.streams.get(request)?;
        if stream.progress().state == State::Cancelled {
            return None;
        }
        self.counts.joined += 1;
        Some(stream.progress.subscribe())
    }

    /// Queues a new stream, or returns `None` where the queue is full.
    pub(super) fn start(&mut self, request: &str, ask: &Ask, now: Instant) -> Option<Watch> {
        if self.queue.len() >= self.queue_limit && self.running() >= self.slots {
            return None;
        }
        let request: Arc<str> = Arc::from(request);
        let copy = self.copies.remove(&*request).filter(|copy| copy.prompt == ask.prompt);
        let length = (ask.max_tokens * self.length_percent).div_ceil(100);
        let copied = copy.as_ref().map_or(0, |copy| copy.tokens);
        let tokens = ask.offset.max(copied).min(length);
        let prompt_tokens = prompt_tokens(&ask.prompt);
        let progress = Progress { state: State::Queued, tokens, prompt_tokens };
        let (progress, watch) = watch::channel(progress);
        self.number += 1;
        self.counts.started += 1;
        let stream = Stream {
            model: ask.model.clone(),
            prompt: ask.prompt.clone(),
            class: ask.priority,
            number: self.number,
            length,
            imported: copy.is_some(),
            progress,
        };
        if tokens == length {
            stream.set(State::Done);
            self.counts.finished += 1;
            self.end(request.clone(), self.number, now);
        } else {
            self.queue.insert((stream.class, self.number), request.clone());
        }
        self.streams.insert(request, stream);
        Some(watch)
    }

    pub(super) fn document(&self, request: &str) -> Option<Document> {
        let Progress { state, tokens, prompt_tokens } = self.streams.get(request)?.progress();
        Some(Document { request: request.to_owned(), state, tokens, prompt_tokens })
    }

    pub(super) fn cancel(&mut self, request: &str, now: Instant) -> Option<Document> {
        self.copies.remove(request);
        let stream = self.streams.get(request)?;
        if matches!(stream.progress().state, State::Queued | State::Running) {
            stream.set(State::Cancelled);
            let (class, number) = (stream.class, stream.number);
            self.counts.cancelled += 1;
            self.queue.remove(&(class, number));
            self.held.remove(request);
            self.running.retain(|(_, running), _| *running != number);
            self.end(Arc::from(request), number, now);
        }
        self.document(request)
    }

    pub(super) fn export(&self, request: &str) -> Option<Copy> {
        let stream = self.streams.get(request)?;
        let tokens = stream.progress().tokens;
        Some(Copy { request: request.to_owned(), prompt: stream.prompt.clone(), tokens })
    }

    pub(super) fn import(&mut self, copy: Copy) {
        if self.copies.len() < KEEP_COPIES {
            self.copies.insert(copy.request.clone(), copy);
        }
    }

    /// Holds streams back once they have made `after` tokens, or releases them.
    pub(super) fn hold(&mut self, after: Option<u64>, now: Instant) {
        self.hold = after;
        for request in std::mem::take(&mut self.held) {
            self.schedule(request, now);
        }
    }

    /// Fills free slots and makes the tokens that are due.
    pub(super) fn step(&mut self, now: Instant, cache: &mut Cache) {
        self.fill(now, cache);
        let mut due = self.running.split_off(&(now, u64::MAX));
        std::mem::swap(&mut due, &mut self.running);
        for ((due, _), request) in due {
            self.advance(request, due, now);
        }
        self.fill(now, cache);
        self.forget(now);
    }

    fn fill(&mut self, now: Instant, cache: &mut Cache) {
        while self.running() < self.slots {
            let Some((_, request)) = self.queue.pop_first() else { return };
            let Some(stream) = self.streams.get(&request) else { continue };
            stream.set(State::Running);
            let missing = cache.admit(&stream.model, &stream.prompt, now);
            let wait =
                if stream.imported { Duration::ZERO } else { self.first_time.mul_f64(missing) };
            self.schedule(request, now + wait);
        }
    }

    fn schedule(&mut self, request: Arc<str>, due: Instant) {
        let Some(stream) = self.streams.get(&request) else { return };
        if self.hold.is_some_and(|after| stream.progress().tokens >= after) {
            self.held.insert(request);
            return;
        }
        self.running.insert((due, stream.number), request);
    }

    fn advance(&mut self, request: Arc<str>, due: Instant, now: Instant) {
        let Some(stream) = self.streams.get(&request) else { return };
        if stream.advance() {
            let number = stream.number;
            self.counts.finished += 1;
            self.end(request, number, now);
            return;
        }
        self.schedule(request, due + self.token_time);
    }

    fn end(&mut self, request: Arc<str>, number: u64, now: Instant) {
        self.ended.push_back((now, number, request));
    }

    fn forget(&mut self, now: Instant) {
        while let Some((at, _, _)) = self.ended.front() {
            if self.ended.len() <= KEEP_STREAMS && now.duration_since(*at) < KEEP {
                return;
            }
            let Some((_, number, request)) = self.ended.pop_front() else { return };
            if self.streams.get(&request).is_some_and(|stream| stream.number == number) {
                self.streams.remove(&request);
            }
        }
    }
}
