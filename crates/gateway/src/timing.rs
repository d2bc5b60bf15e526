//! When the events of one stream reached this host.

use std::time::Duration;

/// Times of a stream's events, from the arrival of its request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Timing {
    first: Option<Duration>,
    last: Duration,
    max_gap: Option<Duration>,
}

impl Timing {
    /// Records one or more events; `at` is the time since the request's arrival.
    pub fn record(&mut self, at: Duration) {
        if self.first.is_none() {
            self.first = Some(at);
        } else {
            self.max_gap = self.max_gap.max(Some(at.saturating_sub(self.last)));
        }
        self.last = at;
    }

    /// Returns the time from the request's arrival to the first event.
    pub fn first(&self) -> Option<Duration> {
        self.first
    }

    /// Returns the longest pause between two events; `None` before the second one.
    pub fn max_gap(&self) -> Option<Duration> {
        self.max_gap
    }

    /// Returns whether a pause was longer than allowed; without a bound none is.
    pub fn exceeds(&self, bound: Option<Duration>) -> bool {
        self.max_gap.zip(bound).is_some_and(|(gap, bound)| gap > bound)
    }
}
