//! Load reports that lag.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use serde::Serialize;

/// Load at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Load {
    pub(super) queued: usize,
    pub(super) running: usize,
    pub(super) leaving: bool,
}

/// Answer to `GET /load`.
#[derive(Debug, Serialize)]
pub(super) struct Document {
    queued: usize,
    running: usize,
    slots: usize,
    at_ms: u64,
    age_ms: u64,
    leaving: bool,
}

/// Loads by the time from which each held, oldest first.
#[derive(Debug)]
pub(super) struct Reports {
    lag: Duration,
    loads: VecDeque<(Instant, Load)>,
}

impl Reports {
    pub(super) fn new(lag: Duration) -> Self {
        Self { lag, loads: VecDeque::new() }
    }

    pub(super) fn push(&mut self, now: Instant, load: Load) {
        if self.loads.back().is_none_or(|(_, last)| *last != load) {
            self.loads.push_back((now, load));
        }
        self.forget(now);
    }

    /// Returns the load as it was before the lag.
    pub(super) fn document(&mut self, now: Instant, start: Instant, slots: usize) -> Document {
        self.forget(now);
        let at = now.checked_sub(self.lag).unwrap_or(start).max(start);
        let load = self.loads.front().filter(|(since, _)| *since <= at);
        let load = load.map_or(Load::default(), |(_, load)| *load);
        Document {
            queued: load.queued,
            running: load.running,
            slots,
            at_ms: millis(at.duration_since(start)),
            age_ms: millis(now.duration_since(at)),
            leaving: load.leaving,
        }
    }

    /// Drops loads that were followed by another before the lag.
    fn forget(&mut self, now: Instant) {
        while self.loads.get(1).is_some_and(|(since, _)| *since + self.lag <= now) {
            self.loads.pop_front();
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
