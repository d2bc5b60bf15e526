//! Weight store with a limited rate.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Span over which downloads are counted.
const SPAN: Duration = Duration::from_secs(60);

/// Downloads that started within the span, oldest first.
#[derive(Debug)]
pub(super) struct Store {
    per_minute: usize,
    starts: VecDeque<Instant>,
}

impl Store {
    pub(super) fn new(per_minute: u32) -> Self {
        Self { per_minute: per_minute as usize, starts: VecDeque::new() }
    }

    /// Starts a download, or returns the time to wait.
    pub(super) fn start(&mut self, now: Instant) -> Result<(), Duration> {
        while self.starts.front().is_some_and(|start| now.duration_since(*start) >= SPAN) {
            self.starts.pop_front();
        }
        if self.starts.len() < self.per_minute {
            self.starts.push_back(now);
            return Ok(());
        }
        let oldest = self.starts.front().copied().unwrap_or(now);
        Err(SPAN.saturating_sub(now.duration_since(oldest)))
    }
}
