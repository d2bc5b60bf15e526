//! Hybrid logical clock.
//!
//! A stamp consists of a wall time and a counter. The stamps of one process are strictly
//! increasing, and a stamp taken on a merge is greater than the remote stamp, provided that this
//! one is at most [`MAX_SKEW_MS`] ahead of the local wall clock. A remote stamp further ahead is
//! not adopted, so that one wrong clock can't advance those of the other processes; the timeline
//! orders such a pair of events by the recorded cause.

use serde::{Deserialize, Serialize};

/// Greatest lead over the local wall clock at which a remote stamp is adopted, in milliseconds.
pub const MAX_SKEW_MS: u64 = 1_000;

/// Timestamp of a hybrid logical clock.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Wall time in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Counter that orders stamps of the same millisecond.
    pub logical: u32,
}

impl Stamp {
    /// Returns the smallest stamp that is greater than this one.
    fn next(self) -> Self {
        match self.logical.checked_add(1) {
            Some(logical) => Self { wall_ms: self.wall_ms, logical },
            None => Self { wall_ms: self.wall_ms.saturating_add(1), logical: 0 },
        }
    }
}

/// Hybrid logical clock of one process.
#[derive(Debug, Default)]
pub struct Hybrid {
    last: Stamp,
}

impl Hybrid {
    /// Returns the stamp of a local event or of a message to be sent.
    pub fn tick(&mut self, wall_ms: u64) -> Stamp {
        self.advance(Stamp { wall_ms, logical: 0 })
    }

    /// Returns the stamp for the receipt of a message that carries the stamp `remote`.
    pub fn merge(&mut self, wall_ms: u64, remote: Stamp) -> Stamp {
        let is_adopted = remote.wall_ms <= wall_ms.saturating_add(MAX_SKEW_MS);
        if is_adopted && remote > self.last {
            self.last = remote;
        }
        self.tick(wall_ms)
    }

    fn advance(&mut self, wall: Stamp) -> Stamp {
        self.last = if wall > self.last { wall } else { self.last.next() };
        self.last
    }
}
