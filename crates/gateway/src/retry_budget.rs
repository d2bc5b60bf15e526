//! Bounds the requests that are sent again to a share of all requests for a service.
//!
//! All hosts together keep one bound for each sliding window. Each host takes an equal part of the
//! fixed slack and earns the ratio by its own requests, so that no call between hosts is needed.

use std::{collections::VecDeque, time::Duration};

/// Part of the bound that is used. The rest covers hosts that start again and have forgotten what
/// they sent in the window before.
const USED_PERCENT: u64 = 60;

/// Slices of a window; a slice leaves the window as a whole, so that the window is never too short.
const SLICES: u64 = 10;

/// The bound that all hosts keep together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryLimit {
    /// Length of the sliding window.
    pub window: Duration,
    /// Repeats for each thousand requests in the window.
    pub ratio_milli: u64,
    /// Repeats in the window beside the ratio.
    pub slack: u64,
}

#[derive(Debug)]
struct Slice {
    number: u64,
    requests: u64,
    repeats: u64,
}

/// What one host has sent for one service lately.
#[derive(Debug)]
pub struct RetryBudget {
    bound: RetryLimit,
    slices: VecDeque<Slice>,
}

impl RetryBudget {
    /// Opens an allowance with nothing sent.
    pub fn new(bound: RetryLimit) -> Self {
        Self { bound, slices: VecDeque::new() }
    }

    /// Notes a request that callers sent for the service.
    pub fn record_request(&mut self, now: Duration) {
        self.slice(now).requests += 1;
    }

    /// Takes one repeat out, as one of so many hosts; returns false where none is left.
    pub fn try_withdraw(&mut self, now: Duration, hosts: u64) -> bool {
        let left = self.remaining(now, hosts) > 0.0;
        if left {
            self.slice(now).repeats += 1;
        }
        left
    }

    /// Returns the part of the repeats that is left, from 0 to 1, as one of so many hosts.
    pub fn remaining(&mut self, now: Duration, hosts: u64) -> f64 {
        self.slice(now);
        let requests: u64 = self.slices.iter().map(|slice| slice.requests).sum();
        let repeats: u64 = self.slices.iter().map(|slice| slice.repeats).sum();
        let whole = self.bound.slack * 1000 / hosts.max(1) + self.bound.ratio_milli * requests;
        let most = whole * USED_PERCENT / 100 / 1000;
        if repeats >= most { 0.0 } else { (most - repeats) as f64 / most as f64 }
    }

    /// Returns the slice of now, after those outside the window are dropped.
    fn slice(&mut self, now: Duration) -> &mut Slice {
        let length = (self.bound.window.as_millis() as u64 / SLICES).max(1);
        let number = now.as_millis() as u64 / length;
        while self.slices.front().is_some_and(|slice| slice.number + SLICES < number) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|slice| slice.number < number) {
            self.slices.push_back(Slice { number, requests: 0, repeats: 0 });
        }
        self.slices.back_mut().expect("a slice was just added")
    }
}
