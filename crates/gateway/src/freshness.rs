//! Decides how far a configuration counts while the platform's table may hold an older one.
//!
//! A table that was restored from an older copy holds the configuration of that copy until the
//! operator writes the newest one again. A host that knows a newer one keeps a copy of it in the
//! system's own rows, for hosts that start meanwhile.

use std::time::Duration;

/// Time after a restore within which the operator may not have written the newest configuration
/// again.
pub(crate) const SETTLING_TIME: Duration = Duration::from_secs(10);

/// Time after a restore within which a host that was cut off or frozen may still write the copy.
const COPY_TIME: Duration = Duration::from_secs(60);

/// Interval of the reads of the copy until one has succeeded and a configuration is in force.
pub(crate) const START_READ_INTERVAL: Duration = Duration::from_millis(150);

/// Interval of the reads while the operator may not have written again.
pub(crate) const SETTLING_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of the reads from then until [`COPY_TIME`] is over.
const LATE_READ_INTERVAL: Duration = Duration::from_secs(5);

/// Longest time for which a process without a configuration waits for the copy after a restore.
pub(crate) const HOLD_TIME: Duration = Duration::from_millis(1500);

/// How far the configuration in force can be taken for the newest one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// It was confirmed recently, and no restore of the table is recent.
    Newest,
    /// It was confirmed too long ago.
    Outdated,
    /// The table was restored, so that a newer one may be missing in it.
    Restored,
}

impl Freshness {
    /// Judges a configuration that was confirmed as the platform's `age` ago, where the table was
    /// restored a time ago, if ever.
    pub fn of(age: Option<Duration>, max_age: Duration, restored: Option<Duration>) -> Self {
        if age.is_none_or(|age| age >= max_age) {
            Self::Outdated
        } else if is_settling(restored) {
            Self::Restored
        } else {
            Self::Newest
        }
    }
}

fn is_settling(restored: Option<Duration>) -> bool {
    restored.is_some_and(|age| age < SETTLING_TIME)
}

/// Versions of the configuration that a host knows of in the current era of the table.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Versions {
    /// Time since the table was restored; `None` in the fleet's first era.
    pub since_restore: Option<Duration>,
    /// Version in force; 0 without any.
    pub in_force: u64,
    /// Version of the operator's row, 0 if it is missing; `None` until one was parsed.
    pub operator: Option<u64>,
    /// Version of the copy, 0 if it is missing or unreadable; `None` until it was read.
    pub copy: Option<u64>,
    /// Version that the publisher of the directory knows; 0 without any.
    pub published: u64,
}

impl Versions {
    /// Returns the interval at which the copy is to be read; `None` if it isn't. Which of the two is
    /// newer can be told only once the operator's row has been read.
    pub fn read_interval(&self) -> Option<Duration> {
        self.operator?;
        if self.copy.is_none() || self.in_force == 0 {
            return Some(START_READ_INTERVAL);
        }
        if is_settling(self.since_restore) || self.published > self.in_force {
            return Some(SETTLING_READ_INTERVAL);
        }
        self.since_restore.filter(|age| *age < COPY_TIME).map(|_| LATE_READ_INTERVAL)
    }

    /// Returns whether the copy is to be written, since the table holds no configuration as new as
    /// the one in force.
    pub fn is_write_due(&self) -> bool {
        let is_older = |version: Option<u64>| version.is_some_and(|own| own < self.in_force);
        self.since_restore.is_some()
            && is_older(self.operator)
            && (self.copy.is_none() || is_older(self.copy))
    }

    /// Returns whether the operator's configuration, which was read `waited` ago, has to wait for
    /// the copy to come into force.
    pub fn is_held(&self, waited: Duration) -> bool {
        let Some(since_restore) = self.since_restore else { return false };
        self.in_force == 0
            && waited < HOLD_TIME
            && (self.copy.is_none() || since_restore < HOLD_TIME)
    }
}
