//! Waiting requests of one route, by class.

use std::{collections::BTreeSet, time::Duration};

use super::Waiter;
use crate::request::Class;

/// Wait after which a normal request counts as aged.
const NORMAL_AGE: Duration = Duration::from_secs(5);

/// Wait after which a long request counts as aged.
const LONG_AGE: Duration = Duration::from_secs(30);

/// Placements after which an aged request goes before more urgent ones.
const AGED_EVERY: u32 = 8;

/// Time without a placement after which an aged request of a class goes first, and may use room
/// that is kept for urgent requests.
const STALL: Duration = Duration::from_secs(60);

/// Share of a new value in a mean, as a divisor.
const MEAN_WEIGHT: u32 = 16;

/// Mean deviations above the mean that a run is expected to take at most.
const RUN_DEVIATIONS: u32 = 2;

/// Longest interval between placements that counts as drain.
const MAX_INTERVAL: Duration = Duration::from_secs(10);

/// The request of a class that waits longest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Head {
    pub waiter: Waiter,
    pub class: Class,
    since: Duration,
    /// It has waited long.
    aged: bool,
    /// It has waited long, and no other of its class was placed for long.
    pub starved: bool,
}

/// Requests of one class in the order of their arrival.
#[derive(Debug, Default)]
struct Line {
    waiters: BTreeSet<(Duration, Waiter)>,
    /// Mean time between placements while requests waited.
    interval: Option<Duration>,
    placed_at: Option<Duration>,
    run: Option<Run>,
}

/// How long requests of a class run.
#[derive(Debug, Clone, Copy)]
struct Run {
    mean: Duration,
    deviation: Duration,
}

/// Waiting requests of one route.
#[derive(Debug, Default)]
pub(super) struct Queue {
    urgent: Line,
    normal: Line,
    long: Line,
    placed_since_aged: u32,
}

impl Queue {
    pub fn len(&self, class: Class) -> usize {
        self.line(class).waiters.len()
    }

    pub fn is_empty(&self) -> bool {
        [Class::Urgent, Class::Normal, Class::Long].into_iter().all(|class| self.len(class) == 0)
    }

    pub fn push(&mut self, now: Duration, waiter: Waiter, class: Class) {
        let line = self.line_mut(class);
        if line.waiters.is_empty() {
            line.placed_at = Some(now);
        }
        line.waiters.insert((now, waiter));
    }

    pub fn remove(&mut self, since: Duration, waiter: Waiter, class: Class) {
        self.line_mut(class).waiters.remove(&(since, waiter));
    }

    /// Returns how long a request of a class that comes now is expected to wait.
    pub fn expected_wait(&self, class: Class) -> Duration {
        let line = self.line(class);
        let ahead = u32::try_from(line.waiters.len()).unwrap_or(u32::MAX);
        line.interval.map_or(Duration::ZERO, |interval| interval.saturating_mul(ahead))
    }

    /// Returns how long a request of a class is expected to run at most; zero where unknown.
    pub fn expected_run(&self, class: Class) -> Duration {
        let run = self.line(class).run;
        run.map_or(Duration::ZERO, |run| run.mean + run.deviation * RUN_DEVIATIONS)
    }

    /// Notes how long a request of a class ran.
    pub fn ran(&mut self, class: Class, time: Duration) {
        let run = &mut self.line_mut(class).run;
        let Run { mean, deviation } = run.unwrap_or(Run { mean: time, deviation: Duration::ZERO });
        let latest = time.abs_diff(mean);
        *run = Some(Run { mean: smooth(mean, time), deviation: smooth(deviation, latest) });
    }

    /// Returns the longest waiting request of each class, in the order in which to try them.
    pub fn heads(&self, now: Duration) -> Vec<Head> {
        let classes = [Class::Urgent, Class::Normal, Class::Long];
        let mut heads: Vec<Head> = classes.into_iter().filter_map(|c| self.head(now, c)).collect();
        let due = self.placed_since_aged >= AGED_EVERY;
        heads.sort_by_key(|head| match head.starved || (due && head.aged) {
            true => (None, head.since),
            false => (Some(head.class), Duration::ZERO),
        });
        heads
    }

    /// Notes that a head was placed.
    pub fn placed(&mut self, now: Duration, head: &Head) {
        let passed = head.aged && self.placed_since_aged >= AGED_EVERY;
        self.placed_since_aged = if passed { 0 } else { self.placed_since_aged.saturating_add(1) };
        let line = self.line_mut(head.class);
        if let Some(before) = line.placed_at {
            let latest = (now - before).min(MAX_INTERVAL);
            line.interval = Some(match line.interval {
                Some(mean) => smooth(mean, latest),
                None => latest,
            });
        }
        line.placed_at = Some(now);
    }

    /// Returns true where no request of a class was placed for long, as when another route takes all
    /// room.
    fn stalled(&self, now: Duration, class: Class) -> bool {
        self.line(class).placed_at.is_some_and(|at| now >= at + STALL)
    }

    fn head(&self, now: Duration, class: Class) -> Option<Head> {
        let &(since, waiter) = self.line(class).waiters.first()?;
        let age = match class {
            Class::Urgent => Duration::MAX,
            Class::Normal => NORMAL_AGE,
            Class::Long => LONG_AGE,
        };
        let aged = now - since >= age;
        let starved = aged && self.stalled(now, class);
        Some(Head { waiter, class, since, aged, starved })
    }

    fn line(&self, class: Class) -> &Line {
        match class {
            Class::Urgent => &self.urgent,
            Class::Normal => &self.normal,
            Class::Long => &self.long,
        }
    }

    fn line_mut(&mut self, class: Class) -> &mut Line {
        match class {
            Class::Urgent => &mut self.urgent,
            Class::Normal => &mut self.normal,
            Class::Long => &mut self.long,
        }
    }
}

/// Returns a mean that takes in the latest value.
fn smooth(mean: Duration, latest: Duration) -> Duration {
    (mean * (MEAN_WEIGHT - 1) + latest) / MEAN_WEIGHT
}
