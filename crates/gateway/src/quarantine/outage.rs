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

/// Part of an outage's backend servers, in percent, that must have worked on a part for the outage
/// to speak against it. A part that ends backend servers was at each of them.
const MIN_BACKENDS_PERCENT: usize = 50;

/// An outage.
#[derive(Debug)]
struct Span {
    /// First and last end in milliseconds of the platform's clock.
    first_ms: u64,
    last_ms: u64,
    /// Number of backend servers that ended.
    backends: usize,
}

/// Outages among the ends of all backend servers.
#[derive(Debug, Default)]
pub struct Outages {
    spans: Vec<Span>,
}

impl Outages {
    /// Finds the outages among the times of ends.
    pub fn find(ends: impl Iterator<Item = u64>) -> Self {
        let mut times: Vec<u64> = ends.collect();
        times.sort_unstable();
        let max_gap_ms = MAX_GAP.as_millis() as u64;
        let chains = times.chunk_by(|former, next| next - former <= max_gap_ms);
        let outages = chains.filter(|chain| chain.len() >= MIN_BACKENDS);
        let spans = outages.map(|chain| Span {
            first_ms: chain[0],
            last_ms: chain[chain.len() - 1],
            backends: chain.len(),
        });
        Self { spans: spans.collect() }
    }

    /// Returns those of the times at which backend servers ended under one part, in ascending
    /// order, that belong to separate causes: the first one of each outage that speaks against the
    /// part, and of ends at the same moment.
    pub fn separate(&self, ends: impl Iterator<Item = u64>) -> Vec<u64> {
        let mut times: Vec<u64> = ends.collect();
        times.sort_unstable();
        let mut separate: Vec<u64> = Vec::with_capacity(times.len());
        for &at_ms in times.iter().filter(|at_ms| !self.is_unrelated(**at_ms, &times)) {
            let is_separate = separate.last().is_none_or(|last| {
                at_ms - last >= SIMULTANEOUS.as_millis() as u64 && !self.contain(*last, at_ms)
            });
            if is_separate {
                separate.push(at_ms);
            }
        }
        separate
    }

    /// Returns whether an end is part of an outage that few of the ends under the part belong to.
    fn is_unrelated(&self, at_ms: u64, part_ends: &[u64]) -> bool {
        let Some(span) = self.spans.iter().find(|span| span.contains(at_ms)) else { return false };
        let own = part_ends.iter().filter(|end_ms| span.contains(**end_ms)).count();
        own * 100 < span.backends * MIN_BACKENDS_PERCENT
    }

    fn contain(&self, first_ms: u64, last_ms: u64) -> bool {
        self.spans.iter().any(|span| span.contains(first_ms) && span.contains(last_ms))
    }
}

impl Span {
    fn contains(&self, at_ms: u64) -> bool {
        (self.first_ms..=self.last_ms).contains(&at_ms)
    }
}
