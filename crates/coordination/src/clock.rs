//! Hybrid logical clock.
//!
//! A stamp holds the wall time and a counter. Stamps of one process rise strictly, and a stamp
//! taken after a merge is greater than the remote stamp merged, as long as that one is at most
//! [`MAX_SKEW_MS`] ahead of the local wall clock. A stamp further ahead is not adopted, so that one
//! wrong clock can't drag the others along; the timeline orders such a pair by its recorded cause.

use serde::{Deserialize, Serialize};

/// Greatest lead of a remote stamp over the local wall clock that is adopted, in milliseconds.
pub const MAX_SKEW_MS: u64 = 1_000;

/// Time of an event by a hybrid logical clock.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Wall time in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Order among the stamps of one millisecond.
    pub logical: u32,
}

impl Stamp {
    /// Returns the least stamp that is greater than this one.
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
    /// Returns the stamp of a local event or a message that is sent.
    pub fn tick(&mut self, wall_ms: u64) -> Stamp {
        self.advance(Stamp { wall_ms, logical: 0 })
    }

    /// Returns the stamp of the receipt of a message that carries `remote`.
    pub fn merge(&mut self, wall_ms: u64, remote: Stamp) -> Stamp {
        let adopted = remote.wall_ms <= wall_ms.saturating_add(MAX_SKEW_MS);
        if adopted && remote > self.last {
            self.last = remote;
        }
        self.tick(wall_ms)
    }

    fn advance(&mut self, wall: Stamp) -> Stamp {
        self.last = if wall > self.last { wall } else { self.last.next() };
        self.last
    }
}
