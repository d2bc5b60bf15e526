//! Decides which zones are evacuated: no request is sent to their backend servers.
//!
//! The operator's rows decide. A table that was restored from an older copy may lack one of them
//! until the operator writes it again, so that a host keeps what it knew for a time, and records it
//! in a row of the system's own for hosts that start meanwhile.

mod report;

use std::{collections::BTreeSet, mem, sync::Arc, time::Duration};

use coordination::table::Revision;
use serde::{Deserialize, Serialize};

pub use self::report::{Evacuation, Report};
use crate::freshness::{HOLD_TIME, SETTLING_READ_INTERVAL, SETTLING_TIME, START_READ_INTERVAL};

/// Age up to which what was read is never outdated, and up to which a read that failed shows that the
/// platform is unavailable.
const MAX_READ_AGE: Duration = Duration::from_secs(5);

/// Longest time that a read takes to fail, unless the process was paused meanwhile. Calls time out
/// after 3.6 s at the most; hosts read every 1.25 s or more often, so that with this limit a pause that
/// ends a read hides no more than 5 s.
const MAX_READ_TIME: Duration = Duration::from_millis(3700);

/// Evacuated zones as one read of the operator's rows found them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Listing {
    /// Era of the table in which they were read.
    pub era: u64,
    /// Revision of the table up to which the read has every change.
    pub through: Revision,
    /// The zones.
    pub zones: BTreeSet<Arc<str>>,
}

impl Listing {
    /// Returns whether the other one was read earlier. Clocks can't tell, as a read may be answered
    /// late.
    fn is_later_than(&self, other: &Self) -> bool {
        (self.era, self.through) > (other.era, other.through)
    }
}

/// Where evacuations were read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The operator's rows.
    Operator,
    /// The directory's beat.
    Directory,
    /// The system's own row.
    Copy,
}

/// Evacuations that one host knows.
#[derive(Debug, Default)]
pub struct Evacuations {
    /// The operator's rows as they were read last.
    listing: Option<Listing>,
    /// When that was, by the send of the read.
    listed_at: Duration,
    /// When a read failed last.
    failed_at: Option<Duration>,
    /// When this process first saw the listing's era.
    era_seen_at: Duration,
    /// Zones whose rows were read in that era.
    listed: BTreeSet<Arc<str>>,
    /// Zones that were evacuated before the table was restored and that the listing lacks.
    kept: BTreeSet<Arc<str>>,
    /// Era and zones of the system's own row, as it was read last.
    copy: Option<(u64, BTreeSet<Arc<str>>)>,
    /// Unknown zones that were reported.
    reported: BTreeSet<Arc<str>>,
}

impl Evacuations {
    /// Records a read of the operator's rows that was sent at a time. `since_restore` is the time
    /// from the restore of the table to the send; `None` in the fleet's first era.
    pub fn record_read(
        &mut self,
        sent_at: Duration,
        since_restore: Option<Duration>,
        listing: Listing,
    ) {
        // Revisions of a table that states no eras may fall with a restore.
        if listing.era == 0 {
            self.listing = None;
        }
        let is_current = self.record_listing(sent_at, listing);
        // A row that was written again in time is in what a later read finds.
        if is_current && self.is_settled(sent_at, since_restore) {
            self.kept.clear();
        }
    }

    /// Records what the publisher of the directory has read at a time, which is a lower bound. It
    /// doesn't show that a row is still missing.
    pub fn record_published(&mut self, read_at: Duration, listing: Listing) {
        self.record_listing(read_at, listing);
    }

    /// Records a read that failed. One that a pause of the process ended doesn't show that the
    /// platform is unavailable.
    pub fn record_failure(&mut self, started: Duration, ended: Duration) {
        if ended.saturating_sub(started) < MAX_READ_TIME {
            self.failed_at = Some(ended);
        }
    }

    /// Returns whether evacuations that have to be in force within `evacuate_time` may be missing,
    /// although the platform isn't known to be unavailable, as after a pause of the process.
    pub fn is_outdated(&self, now: Duration, evacuate_time: Duration) -> bool {
        let is_older = |at: Duration, age: Duration| now.saturating_sub(at) > age;
        self.listing.is_some()
            && is_older(self.listed_at, evacuate_time.max(MAX_READ_AGE))
            && self.failed_at.is_none_or(|at| is_older(at, MAX_READ_AGE))
    }

    /// Takes a listing over unless it was read earlier than the known one; returns whether it was
    /// taken over.
    fn record_listing(&mut self, at: Duration, listing: Listing) -> bool {
        if self.listing.as_ref().is_some_and(|known| known.is_later_than(&listing)) {
            return false;
        }
        let former = self.listing.replace(listing);
        if let Some(listing) = &self.listing {
            if former.as_ref().is_none_or(|former| former.era != listing.era) {
                self.era_seen_at = at;
                self.listed.clear();
                self.kept.extend(former.into_iter().flat_map(|former| former.zones));
            }
            self.listed.extend(listing.zones.iter().cloned());
            self.kept.retain(|zone| !listing.zones.contains(zone));
        }
        self.listed_at = self.listed_at.max(at);
        true
    }

    /// Records the zones that the system's own row of an era holds. Of those whose rows were read in
    /// this era, a row that is missing was removed.
    pub fn record_copy(
        &mut self,
        now: Duration,
        since_restore: Option<Duration>,
        era: u64,
        zones: BTreeSet<Arc<str>>,
    ) {
        let is_settled = self.is_settled(now, since_restore);
        if self.listing.as_ref().is_some_and(|own| own.era == era) && !is_settled {
            self.kept.extend(zones.difference(&self.listed).cloned());
        }
        self.copy = Some((era, zones));
    }

    /// Returns whether the operator has had the time to write again what a restore took away.
    fn is_settled(&self, at: Duration, since_restore: Option<Duration>) -> bool {
        let seen_for = at.saturating_sub(self.era_seen_at);
        since_restore.unwrap_or_default().max(seen_for) >= SETTLING_TIME
    }

    /// Returns the operator's rows as they were read last; `None` if they weren't.
    pub fn listing(&self) -> Option<&Listing> {
        self.listing.as_ref()
    }

    /// Returns the time since they were read.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.listing.as_ref().map(|_| now.saturating_sub(self.listed_at))
    }

    /// Returns the zones that are evacuated.
    pub fn zones(&self) -> BTreeSet<Arc<str>> {
        let listed = self.listing.iter().flat_map(|listing| &listing.zones);
        listed.chain(&self.kept).cloned().collect()
    }

    /// Returns the zones that are evacuated although the restored table lacks their rows.
    pub fn kept(&self) -> &BTreeSet<Arc<str>> {
        &self.kept
    }

    /// Returns whether this host has to read the operator's rows itself to learn whether one is
    /// still missing.
    pub fn is_read_due(&self, now: Duration, since_restore: Option<Duration>) -> bool {
        !self.kept.is_empty() && self.is_settled(now, since_restore)
    }

    /// Returns the interval at which the system's own row of an era is to be read; `None` if it
    /// isn't.
    pub fn copy_read_interval(
        &self,
        era: u64,
        since_restore: Option<Duration>,
    ) -> Option<Duration> {
        since_restore.filter(|age| *age < SETTLING_TIME)?;
        self.listing.as_ref().filter(|listing| listing.era == era)?;
        let interval =
            if self.copy_of(era).is_some() { SETTLING_READ_INTERVAL } else { START_READ_INTERVAL };
        Some(interval)
    }

    /// Returns the zones that the system's own row of an era is to hold, if it lacks one that this
    /// host knows and the operator's rows lack.
    pub fn copy_to_write(
        &self,
        era: u64,
        since_restore: Option<Duration>,
    ) -> Option<BTreeSet<Arc<str>>> {
        since_restore.filter(|age| *age < SETTLING_TIME)?;
        self.listing.as_ref().filter(|listing| listing.era == era)?;
        let stored = self.copy_of(era);
        let is_missing = |zone: &Arc<str>| stored.is_none_or(|stored| !stored.contains(zone));
        self.kept
            .iter()
            .any(is_missing)
            .then(|| self.kept.iter().chain(stored.into_iter().flatten()).cloned().collect())
    }

    /// Returns whether a process that has just started sends no request yet, since the system's own
    /// row of an era may hold an evacuation. It has waited for a time.
    pub fn is_held(&self, era: u64, since_restore: Option<Duration>, waited: Duration) -> bool {
        let Some(age) = since_restore.filter(|age| *age < SETTLING_TIME) else { return false };
        waited < HOLD_TIME && (self.copy_of(era).is_none() || age < HOLD_TIME)
    }

    fn copy_of(&self, era: u64) -> Option<&BTreeSet<Arc<str>>> {
        self.copy.as_ref().filter(|copy| copy.0 == era).map(|copy| &copy.1)
    }

    /// Returns the evacuated zones that aren't among the known ones; without any, none is judged.
    pub fn unknown(&self, known: &BTreeSet<Arc<str>>) -> BTreeSet<Arc<str>> {
        let mut zones = self.zones();
        zones.retain(|zone| !known.is_empty() && !known.contains(zone));
        zones
    }

    /// Returns the unknown zones that haven't been reported since their rows were written.
    pub fn take_unreported(&mut self, known: &BTreeSet<Arc<str>>) -> BTreeSet<Arc<str>> {
        let unknown = self.unknown(known);
        let former = mem::replace(&mut self.reported, unknown.clone());
        unknown.difference(&former).cloned().collect()
    }
}
