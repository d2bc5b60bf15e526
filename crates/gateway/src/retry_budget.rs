//! Limits retries to a share of all requests for a service.
//!
//! All hosts together keep to one limit in each sliding window. Each host gets an equal part of the
//! fixed slack and earns the ratio by its own requests, so that no call between hosts is needed.

use std::{collections::VecDeque, time::Duration};

/// Part of the limit that is used, in percent. The rest covers hosts that restart and have
/// forgotten what they sent in the window before.
const USED_PERCENT: u64 = 60;

/// Number of slices in a window; a slice leaves the window as a whole, so that the window is never
/// too short.
const SLICES_PER_WINDOW: u64 = 10;

/// Limit on the retries of all hosts together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryLimit {
    /// Length of the sliding window.
    pub window: Duration,
    /// Retries per thousand requests in the window.
    pub ratio_milli: u64,
    /// Retries in the window beside the ratio.
    pub slack: u64,
}

#[derive(Debug)]
struct Slice {
    index: u64,
    requests: u64,
    retries: u64,
}

/// One host's requests and retries for one service in the current window.
#[derive(Debug)]
pub struct RetryBudget {
    limit: RetryLimit,
    slices: VecDeque<Slice>,
}

impl RetryBudget {
    /// Creates the budget of a host that has sent nothing.
    pub fn new(limit: RetryLimit) -> Self {
        Self { limit, slices: VecDeque::new() }
    }

    /// Records a caller's request for the service.
    pub fn record_request(&mut self, now: Duration) {
        self.current_slice(now).requests += 1;
    }

    /// Takes one retry out, as one of `hosts`; returns false if none is left.
    pub fn try_withdraw(&mut self, now: Duration, hosts: u64) -> bool {
        let has_retry = self.remaining(now, hosts) > 0.0;
        if has_retry {
            self.current_slice(now).retries += 1;
        }
        has_retry
    }

    /// Returns the fraction of the retries that is left, from 0 to 1, as one of `hosts`.
    pub fn remaining(&mut self, now: Duration, hosts: u64) -> f64 {
        self.current_slice(now);
        let requests: u64 = self.slices.iter().map(|slice| slice.requests).sum();
        let retries: u64 = self.slices.iter().map(|slice| slice.retries).sum();
        let limit_milli =
            self.limit.slack * 1000 / hosts.max(1) + self.limit.ratio_milli * requests;
        let max_retries = limit_milli * USED_PERCENT / 100 / 1000;
        if retries >= max_retries {
            0.0
        } else {
            (max_retries - retries) as f64 / max_retries as f64
        }
    }

    /// Returns the current slice, after removing those outside the window.
    fn current_slice(&mut self, now: Duration) -> &mut Slice {
        let length = (self.limit.window.as_millis() as u64 / SLICES_PER_WINDOW).max(1);
        let index = now.as_millis() as u64 / length;
        while self.slices.front().is_some_and(|slice| slice.index + SLICES_PER_WINDOW < index) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|slice| slice.index < index) {
            self.slices.push_back(Slice { index, requests: 0, retries: 0 });
        }
        self.slices.back_mut().expect("a slice was just added")
    }
}
