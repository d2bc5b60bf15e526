//! Tells ends of backend servers with a common cause from separate ones.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

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
const MIN_BACKENDS_PERCENT: usize = 75;

/// Times of the ends under one part that it may have caused, in ascending order.
#[derive(Debug, Default)]
pub struct RelatedEnds {
    /// One for each backend server.
    pub all: Vec<u64>,
    /// One for each cause: the first one of an outage, and of ends at the same moment.
    pub separate: Vec<u64>,
}

/// Outages among the ends of all backend servers.
#[derive(Debug, Default)]
pub struct Outages {
    /// Outage of each backend server that ended in one.
    members: BTreeMap<Arc<str>, usize>,
    /// Number of backend servers of each outage.
    sizes: Vec<usize>,
}

impl Outages {
    /// Finds the outages among the ends of backend servers, given by id and time.
    pub fn find<'a>(ends: impl Iterator<Item = (&'a Arc<str>, u64)>) -> Self {
        let mut ends: Vec<_> = ends.collect();
        ends.sort_unstable_by_key(|(_, at_ms)| *at_ms);
        let max_gap_ms = MAX_GAP.as_millis() as u64;
        let mut outages = Self::default();
        for chain in ends.chunk_by(|former, next| next.1 - former.1 <= max_gap_ms) {
            if chain.len() < MIN_BACKENDS {
                continue;
            }
            let outage = outages.sizes.len();
            outages.members.extend(chain.iter().map(|(id, _)| ((*id).clone(), outage)));
            outages.sizes.push(chain.len());
        }
        outages
    }

    /// Returns those ends under one part, given by backend server and time, that the part may have
    /// caused.
    ///
    /// Hosts notice an end at slightly different times, so that the outage is that of the backend
    /// server, not of the time.
    pub fn related<'a>(&self, ends: impl Iterator<Item = (&'a Arc<str>, u64)>) -> RelatedEnds {
        let mut ends: Vec<_> =
            ends.map(|(id, at_ms)| (at_ms, self.members.get(id).copied())).collect();
        ends.sort_unstable();
        let mut related = RelatedEnds::default();
        let mut last: Option<(u64, Option<usize>)> = None;
        for &(at_ms, outage) in ends.iter().filter(|(_, outage)| self.is_related(*outage, &ends)) {
            related.all.push(at_ms);
            let is_separate = last.is_none_or(|(last_ms, last_outage)| {
                at_ms - last_ms >= SIMULTANEOUS.as_millis() as u64
                    && (outage.is_none() || outage != last_outage)
            });
            if is_separate {
                related.separate.push(at_ms);
                last = Some((at_ms, outage));
            }
        }
        related
    }

    /// Returns whether an end may have been caused by the part under which these ended.
    fn is_related(&self, outage: Option<usize>, ends: &[(u64, Option<usize>)]) -> bool {
        let Some(outage) = outage else { return true };
        let own = ends.iter().filter(|(_, other)| *other == Some(outage)).count();
        own * 100 >= self.sizes[outage] * MIN_BACKENDS_PERCENT
    }
}
