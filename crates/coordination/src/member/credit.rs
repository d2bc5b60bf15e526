//! Bytes that entries of other hosts may take in what a host sends.

use std::time::Duration;

/// Bytes earned in a second.
const RATE: u64 = 400;

/// Bytes that may be saved up.
const LIMIT: usize = 12_000;

/// Bytes that may be sent now.
#[derive(Debug)]
pub struct Credit {
    bytes: usize,
    at: Duration,
}

impl Default for Credit {
    fn default() -> Self {
        Self { bytes: LIMIT, at: Duration::ZERO }
    }
}

impl Credit {
    /// Adds what was earned up to now.
    pub fn earn(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at).as_millis() as u64;
        let earned = usize::try_from(passed * RATE / 1_000).unwrap_or(LIMIT);
        self.bytes = LIMIT.min(self.bytes.saturating_add(earned));
        self.at = now;
    }

    /// Returns the bytes that may be sent now.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes away what was sent.
    pub fn spend(&mut self, bytes: usize) {
        self.bytes = self.bytes.saturating_sub(bytes);
    }
}
