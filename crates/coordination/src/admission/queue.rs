//! Queue of the waiting requests of one route, by class.

use std::{collections::BTreeSet, time::Duration};

use super::Waiter;
use crate::request::Class;

/// Wait after which a normal request counts as aged.
const NORMAL_AGING_TIME: Duration = Duration::from_secs(5);

/// Wait after which a long request counts as aged.
const LONG_AGING_TIME: Duration = Duration::from_secs(30);

/// Number of placements after which an aged request goes before more urgent ones.
const PLACEMENTS_PER_AGED: u32 = 8;

/// Time without a placement after which an aged request of a class goes first and may use capacity
/// kept free for urgent requests.
const STALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Reciprocal of the weight of a new value in a moving average.
const SMOOTHING_DIVISOR: u32 = 16;

/// Number of mean deviations above the mean up to which a run is expected to take.
const RUN_DEVIATIONS: u32 = 2;

/// Maximum interval between placements that enters the mean; longer ones count as this one.
const MAX_INTERVAL: Duration = Duration::from_secs(10);

/// The longest waiting request of a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Head {
    pub waiter: Waiter,
    pub class: Class,
    since: Duration,
    /// Whether it has waited longer than the aging time of its class.
    aged: bool,
    /// Whether it is aged and no request of its class was placed for [`STALL_TIMEOUT`].
    pub starved: bool,
}

/// Waiting requests of one class in order of arrival, with wait and run time statistics.
#[derive(Debug, Default)]
struct ClassQueue {
    waiters: BTreeSet<(Duration, Waiter)>,
    /// Mean time between placements while requests wait.
    mean_interval: Option<Duration>,
    /// Time of the last placement, or of the first arrival in an empty queue if later.
    placed_at: Option<Duration>,
    run_time: Option<RunTime>,
}

/// Moving average of the run time of a class.
#[derive(Debug, Clone, Copy)]
struct RunTime {
    mean: Duration,
    /// Mean absolute deviation.
    deviation: Duration,
}

/// Waiting requests of one route.
#[derive(Debug, Default)]
pub(super) struct Queue {
    urgent: ClassQueue,
    normal: ClassQueue,
    long: ClassQueue,
    /// Number of placements since an aged request went before more urgent ones.
    placed_since_aged: u32,
}

impl Queue {
    pub fn len(&self, class: Class) -> usize {
        self.class_queue(class).waiters.len()
    }

    pub fn is_empty(&self) -> bool {
        [Class::Urgent, Class::Normal, Class::Long].into_iter().all(|class| self.len(class) == 0)
    }

    pub fn push(&mut self, now: Duration, waiter: Waiter, class: Class) {
        let queue = self.class_queue_mut(class);
        if queue.waiters.is_empty() {
            queue.placed_at = Some(now);
        }
        queue.waiters.insert((now, waiter));
    }

    pub fn remove(&mut self, since: Duration, waiter: Waiter, class: Class) {
        self.class_queue_mut(class).waiters.remove(&(since, waiter));
    }

    /// Returns the expected wait of a request of a class that arrives now.
    pub fn expected_wait(&self, class: Class) -> Duration {
        let queue = self.class_queue(class);
        let ahead = u32::try_from(queue.waiters.len()).unwrap_or(u32::MAX);
        queue.mean_interval.map_or(Duration::ZERO, |interval| interval.saturating_mul(ahead))
    }

    /// Returns the maximum expected run time of a request of a class; zero if unknown.
    pub fn expected_run(&self, class: Class) -> Duration {
        let run_time = self.class_queue(class).run_time;
        run_time.map_or(Duration::ZERO, |time| time.mean + time.deviation * RUN_DEVIATIONS)
    }

    /// Records the run time of a request of a class.
    pub fn record_run(&mut self, class: Class, time: Duration) {
        let run_time = &mut self.class_queue_mut(class).run_time;
        let RunTime { mean, deviation } =
            run_time.unwrap_or(RunTime { mean: time, deviation: Duration::ZERO });
        let latest_deviation = time.abs_diff(mean);
        *run_time = Some(RunTime {
            mean: smooth(mean, time),
            deviation: smooth(deviation, latest_deviation),
        });
    }

    /// Returns the longest waiting request of each class, in the order in which to try to place
    /// them.
    pub fn heads(&self, now: Duration) -> Vec<Head> {
        let classes = [Class::Urgent, Class::Normal, Class::Long];
        let mut heads: Vec<Head> =
            classes.into_iter().filter_map(|class| self.head(now, class)).collect();
        let aged_is_due = self.placed_since_aged >= PLACEMENTS_PER_AGED;
        heads.sort_by_key(|head| match head.starved || (aged_is_due && head.aged) {
            true => (None, head.since),
            false => (Some(head.class), Duration::ZERO),
        });
        heads
    }

    /// Records the placement of a head.
    pub fn record_placement(&mut self, now: Duration, head: &Head) {
        let went_first = head.aged && self.placed_since_aged >= PLACEMENTS_PER_AGED;
        self.placed_since_aged =
            if went_first { 0 } else { self.placed_since_aged.saturating_add(1) };
        let queue = self.class_queue_mut(head.class);
        if let Some(last) = queue.placed_at {
            let latest = (now - last).min(MAX_INTERVAL);
            queue.mean_interval = Some(match queue.mean_interval {
                Some(mean) => smooth(mean, latest),
                None => latest,
            });
        }
        queue.placed_at = Some(now);
    }

    /// Returns whether no request of a class was placed for [`STALL_TIMEOUT`], for example because
    /// another route uses all capacity.
    fn is_stalled(&self, now: Duration, class: Class) -> bool {
        self.class_queue(class).placed_at.is_some_and(|at| now >= at + STALL_TIMEOUT)
    }

    fn head(&self, now: Duration, class: Class) -> Option<Head> {
        let &(since, waiter) = self.class_queue(class).waiters.first()?;
        let aging_time = match class {
            Class::Urgent => Duration::MAX,
            Class::Normal => NORMAL_AGING_TIME,
            Class::Long => LONG_AGING_TIME,
        };
        let aged = now - since >= aging_time;
        let starved = aged && self.is_stalled(now, class);
        Some(Head { waiter, class, since, aged, starved })
    }

    fn class_queue(&self, class: Class) -> &ClassQueue {
        match class {
            Class::Urgent => &self.urgent,
            Class::Normal => &self.normal,
            Class::Long => &self.long,
        }
    }

    fn class_queue_mut(&mut self, class: Class) -> &mut ClassQueue {
        match class {
            Class::Urgent => &mut self.urgent,
            Class::Normal => &mut self.normal,
            Class::Long => &mut self.long,
        }
    }
}

/// Returns a moving average updated by the latest value.
fn smooth(mean: Duration, latest: Duration) -> Duration {
    (mean * (SMOOTHING_DIVISOR - 1) + latest) / SMOOTHING_DIVISOR
}
