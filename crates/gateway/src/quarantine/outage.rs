//! Tells ends of backend servers with a common cause from separate ones.

use std::time::Duration;

/// Time within which two backend servers end together.
const SIMULTANEOUS: Duration = Duration::from_millis(30);

/// Longest gap between two ends of an outage; hosts notice the end of a connection when they next
/// use it.
const MAX_GAP: Duration = Duration::from_millis(100);

/// Minimum number of backend servers that end in an outage, as when a rack loses power or a link is
/// cut.
const MIN_BACKENDS: usize = 3;

/// Outages among the ends of all backend servers.
#[derive(Debug, Default)]
pub struct Outages {
    /// First and last end of each, in milliseconds of the platform's clock.
    spans: Vec<(u64, u64)>,
}

impl Outages {
    /// Finds the outages among the times of ends.
    pub fn find(ends: impl Iterator<Item = u64>) -> Self {
        let mut times: Vec<u64> = ends.collect();
        times.sort_unstable();
        let max_gap_ms = MAX_GAP.as_millis() as u64;
        let chains = times.chunk_by(|former, next| next - former <= max_gap_ms);
        let outages = chains.filter(|chain| chain.len() >= MIN_BACKENDS);
        Self { spans: outages.map(|chain| (chain[0], chain[chain.len() - 1])).collect() }
    }

    /// Returns those of the times, in ascending order, that belong to separate causes: the first
    /// one of each outage, and of ends at the same moment.
    pub fn separate(&self, ends: impl Iterator<Item = u64>) -> Vec<u64> {
        let mut times: Vec<u64> = ends.collect();
        times.sort_unstable();
        let mut separate: Vec<u64> = Vec::with_capacity(times.len());
        for at_ms in times {
            let is_separate = separate.last().is_none_or(|last| {
                at_ms - last >= SIMULTANEOUS.as_millis() as u64 && !self.contain(*last, at_ms)
            });
            if is_separate {
                separate.push(at_ms);
            }
        }
        separate
    }

    fn contain(&self, first_ms: u64, last_ms: u64) -> bool {
        self.spans.iter().any(|(from, to)| *from <= first_ms && last_ms <= *to)
    }
}
