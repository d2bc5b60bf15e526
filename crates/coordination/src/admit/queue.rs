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

/// Share of a new interval in the mean, as a divisor.
const MEAN_WEIGHT: u32 = 8;

/// Longest interval between placements that counts as drain.
const MAX_INTERVAL: Duration = Duration::from_secs(10);

/// The request of a class that waits longest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Head {
    pub waiter: Waiter,
    pub class: Class,
    since: Duration,
    /// It has waited so long that it may use room kept for urgent requests.
    pub aged: bool,
}

/// Requests of one class in the order of their arrival.
#[derive(Debug, Default)]
struct Line {
    waiters: BTreeSet<(Duration, Waiter)>,
    /// Mean time between placements while requests waited.
    interval: Option<Duration>,
    placed_at: Option<Duration>,
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

    /// Returns the longest waiting request of each class, in the order in which to try them.
    pub fn heads(&self, now: Duration) -> Vec<Head> {
        let classes = [Class::Urgent, Class::Normal, Class::Long];
        let mut heads: Vec<Head> = classes.into_iter().filter_map(|c| self.head(now, c)).collect();
        let due = self.placed_since_aged >= AGED_EVERY;
        heads.sort_by_key(|head| match due && head.aged {
            true => (None, head.since),
            false => (Some(head.class), Duration::ZERO),
        });
        if !due {
            heads.iter_mut().for_each(|head| head.aged = false);
        }
        heads
    }

    /// Notes that a head was placed.
    pub fn placed(&mut self, now: Duration, head: &Head) {
        self.placed_since_aged = if head.aged { 0 } else { self.placed_since_aged + 1 };
        let line = self.line_mut(head.class);
        if let Some(before) = line.placed_at {
            let latest = (now - before).min(MAX_INTERVAL);
            line.interval = Some(match line.interval {
                Some(mean) => (mean * (MEAN_WEIGHT - 1) + latest) / MEAN_WEIGHT,
                None => latest,
            });
        }
        line.placed_at = Some(now);
    }

    fn head(&self, now: Duration, class: Class) -> Option<Head> {
        let &(since, waiter) = self.line(class).waiters.first()?;
        let age = match class {
            Class::Urgent => Duration::MAX,
            Class::Normal => NORMAL_AGE,
            Class::Long => LONG_AGE,
        };
        Some(Head { waiter, class, since, aged: now - since >= age })
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
