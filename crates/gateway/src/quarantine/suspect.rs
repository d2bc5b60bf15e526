//! Evidence for and against one part of prompts.

use std::{cell::Cell, collections::BTreeMap, sync::Arc, time::Duration};

use coordination::table::Row;

use super::{
    Quarantined,
    exposure::{Chance, Exposures, Observation},
    outage::{Outages, RelatedEnds},
    row::{PartRow, part_key},
};

/// Number of ends under a part from which it may be quarantined.
const MIN_ENDED: usize = 4;

/// Number of separate ends under a part from which it isn't tried any more.
const MAX_TRIED_ENDED: usize = 5;

/// Number of ends, together or not, from which a part may be quarantined that was never answered.
const MIN_UNANSWERED_ENDED: usize = 5;

/// Time after which a part counts as never answered if no response to it has gone well by then; those
/// in progress at other backend servers tell that it is sound.
const UNANSWERED_TIME: Duration = Duration::from_secs(1);

/// Number of ends without any whole response since the first of them from which a part may be
/// quarantined that was sound before.
const MIN_ENDED_IN_A_ROW: usize = 5;

/// Minimum time over which these ends are spread.
const MIN_ROW_TIME: Duration = Duration::from_secs(5);

/// Number of ends that a whole response outweighs.
const SOUND_WEIGHT: usize = 4;

/// Number of ends from which hosts share for how long requests with a part were at risk.
const MIN_SHARED_ENDED: usize = 2;

/// Smallest time at risk that a host shares.
const MIN_SHARED_RISK: Duration = Duration::from_millis(200);

/// The same in percent of the time that is known.
const MIN_SHARED_RISK_PERCENT: u32 = 10;

/// Time for which the end of a backend server counts.
pub const END_TTL: Duration = Duration::from_secs(300);

/// Time without any request with a quarantined part after which it is released.
const QUIET_TIME: Duration = Duration::from_secs(300);

/// Interval at which hosts record that requests with a quarantined part still come.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(60);

/// Time after the first end for which whole responses from before it count; the part may have
/// become harmful since.
const SOUND_BEFORE_TIME: Duration = Duration::from_secs(5);

/// Maximum number of whole responses from before the first end that count.
const MAX_SOUND_BEFORE: u32 = 8;

/// Number of ends by which whole responses should outweigh the present ones before they are no
/// longer shared.
const SOUND_MARGIN: usize = 4;

/// Interval at which hosts share that responses are still whole while backend servers end.
const SOUND_SHARE_INTERVAL: Duration = Duration::from_secs(2);

/// Time between two trials of a quarantined part.
const TRIAL_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of trials of a quarantined part.
const MAX_TRIALS: u32 = 2;

/// Maximum number of trials of a part under which backend servers have ended together.
const MAX_TRIALS_TOGETHER: u32 = 1;

/// Maximum number of backend servers whose ends are kept for a part.
const MAX_ENDS: usize = 64;

/// Returns whether an end is too long ago to count.
pub fn is_expired(now_ms: u64, at_ms: u64) -> bool {
    elapsed(now_ms, at_ms) >= END_TTL
}

fn elapsed(now_ms: u64, at_ms: u64) -> Duration {
    Duration::from_millis(now_ms.saturating_sub(at_ms))
}

/// Ends of backend servers that speak against a part.
#[derive(Debug)]
pub struct Evidence {
    /// Their times in milliseconds of the platform's clock.
    ends: RelatedEnds,
    /// Whether requests with the part were there by chance.
    chance: Chance,
}

/// A comparison of ends with those by chance, and what it was made of.
#[derive(Debug, Clone, Copy)]
struct Comparison {
    /// Version of the exposures.
    version: u64,
    /// Number of ends.
    ends: usize,
    /// Number of parts that explain some of them.
    others: usize,
    chance: Chance,
}

/// A row that is due to be written.
#[derive(Debug)]
pub struct Share {
    /// The row as it is stored.
    pub stored: Row,
    /// The row as it is to be written.
    pub row: PartRow,
    /// Whole responses of this host that it shares.
    pub sound: u32,
    /// Time at risk at this host that it shares.
    pub risk: Duration,
    /// Disproved ends that it no longer counts.
    pub disproved: usize,
    /// Whether it claims a trial for this host.
    pub is_trial: bool,
}

/// A part of prompts under which backend servers have ended.
#[derive(Debug)]
pub struct Suspect {
    name: Arc<str>,
    key: Arc<str>,
    /// Smallest number of parts that came before it in a prompt.
    depth: usize,
    /// When each process of a backend server ended, in milliseconds of the platform's clock.
    ends: BTreeMap<Arc<str>, u64>,
    /// Time for which requests with it were at risk at this host since the first end, which this host
    /// has still to share.
    own_risk: Duration,
    /// When such a request was last at risk at this host.
    own_risk_ms: u64,
    /// Last comparison of the ends with those by chance.
    compared: Cell<Option<Comparison>>,
    /// What the hosts share, as this host last read or wrote it.
    shared: PartRow,
    /// Revision of the row; 0 if there is none.
    revision: u64,
    /// Whether the row holds less than is known, as in a restored table.
    is_outdated: bool,
    /// Whole responses that this host has still to share.
    own_sound: u32,
    own_sound_before: u32,
    /// Whether a response at this host outlived its time at risk.
    own_outlived: bool,
    /// When this host last had a whole response.
    own_sound_ms: u64,
    /// Ends that this host has disproved and the row still counts.
    disproved: usize,
    /// When this host last refused a request with it.
    refused_ms: u64,
    /// Until when this host may make a trial.
    trial_until_ms: u64,
}

impl Suspect {
    /// Creates a suspect part that had `sound_before` whole responses lately at this host;
    /// `has_outlived` tells whether one outlived its time at risk.
    pub fn new(name: Arc<str>, sound_before: u32, has_outlived: bool) -> Self {
        Self {
            key: part_key(&name),
            shared: PartRow { name: name.clone(), ..PartRow::default() },
            name,
            depth: usize::MAX,
            ends: BTreeMap::new(),
            own_risk: Duration::ZERO,
            own_risk_ms: 0,
            compared: Cell::default(),
            revision: 0,
            is_outdated: false,
            own_sound: 0,
            own_sound_ms: 0,
            own_outlived: has_outlived,
            own_sound_before: sound_before.min(MAX_SOUND_BEFORE),
            disproved: 0,
            refused_ms: 0,
            trial_until_ms: 0,
        }
    }

    /// Returns the name of the part.
    pub fn name(&self) -> &Arc<str> {
        &self.name
    }

    /// Returns the key of its row.
    pub fn key(&self) -> &Arc<str> {
        &self.key
    }

    /// Returns the number of backend servers that ended under it.
    pub fn backend_count(&self) -> usize {
        self.ends.len()
    }

    /// Returns when the last one ended.
    pub fn last_end_ms(&self) -> u64 {
        self.ends.values().copied().max().unwrap_or_default()
    }

    /// Records the end of a backend server; of several observations the earliest counts.
    pub fn record_end(&mut self, instance: &Arc<str>, at_ms: u64, depth: usize) {
        self.depth = self.depth.min(depth);
        if at_ms <= self.shared.released_ms || self.ends.len() >= MAX_ENDS {
            return;
        }
        let end = self.ends.entry(instance.clone()).or_insert(at_ms);
        *end = (*end).min(at_ms);
    }

    /// Records that a request with it was at risk at this host for a time, which ends now.
    pub fn record_risk(&mut self, now_ms: u64, time: Duration) {
        self.own_risk_ms = now_ms;
        self.own_risk += time;
    }

    /// Returns for how long requests with it were at risk at all hosts, as far as this one knows.
    fn risk(&self) -> Duration {
        Duration::from_millis(self.shared.risk_ms) + self.own_risk
    }

    /// Returns whether this host's time at risk makes a difference to the others.
    fn is_risk_due(&self) -> bool {
        let share = self.risk() * MIN_SHARED_RISK_PERCENT / 100;
        self.ends.len() >= MIN_SHARED_ENDED && self.own_risk > share.max(MIN_SHARED_RISK)
    }

    /// Returns whether requests with it were by chance at the backend servers that ended, apart from
    /// those whose ends other parts explain.
    fn compare(
        &self,
        exposures: &Exposures,
        others: usize,
        is_explained: &dyn Fn(&Arc<str>) -> bool,
    ) -> Chance {
        let (version, ends) = (exposures.version(), self.ends.len());
        let is_same = |known: &Comparison| {
            (known.version, known.ends, known.others) == (version, ends, others)
        };
        if let Some(known) = self.compared.get().filter(is_same) {
            return known.chance;
        }
        let chance = exposures.chance(&Observation {
            ends: &self.ends,
            is_explained,
            since_ms: self.ends.values().copied().min().unwrap_or_default(),
            until_ms: self.last_end_ms().max(self.shared.risk_at_ms).max(self.own_risk_ms),
            time: self.risk(),
        });
        self.compared.set(Some(Comparison { version, ends, others, chance }));
        chance
    }

    /// Records that a response outlived its time at risk.
    pub fn record_outlived(&mut self) {
        self.own_outlived = true;
    }

    /// Records a whole response.
    pub fn record_sound(&mut self, now_ms: u64) {
        self.own_sound = self.own_sound.saturating_add(1);
        self.own_sound_ms = now_ms;
    }

    /// Records that a request was refused.
    pub fn record_refusal(&mut self, now_ms: u64) {
        self.refused_ms = now_ms;
    }

    /// Returns the smallest number of parts that came before it in a prompt.
    pub fn depth(&self) -> usize {
        self.depth
    }

    /// Returns the ends that none of the other parts explains.
    pub fn evidence(&self, outages: &Outages, exposures: &Exposures, others: &[&Self]) -> Evidence {
        let is_explained = |id: &Arc<str>| others.iter().any(|other| other.ends.contains_key(id));
        let ends = self.ends.iter().filter(|(id, _)| !is_explained(id));
        let ends = outages.related(ends.map(|(id, at_ms)| (id, *at_ms)));
        let chance = match ends.separate.len() {
            MIN_ENDED.. => self.compare(exposures, others.len(), &is_explained),
            _ => Chance::Unknown,
        };
        Evidence { ends, chance }
    }

    /// Returns the number of separate ends that count.
    fn ended(&self, evidence: &Evidence) -> usize {
        let known = if self.shared.quarantined_ms > 0 { self.shared.ended } else { 0 };
        let known = known.saturating_sub(self.disproved);
        evidence.ends.separate.len().max(known)
    }

    /// Returns the number of whole responses that count.
    fn sound(&self, now_ms: u64) -> u32 {
        let first_ms = self.ends.values().copied().min().unwrap_or_default();
        let is_recent = elapsed(now_ms, first_ms) < SOUND_BEFORE_TIME;
        let before = self.shared.sound_before.max(self.own_sound_before);
        let before = if is_recent { before } else { 0 };
        self.shared.sound.saturating_add(self.own_sound).saturating_add(before)
    }

    /// Returns whether no response to the part has ever gone well although it was at many ends. Each
    /// end counts then, as requests that come together end their backend servers together; a part
    /// that stood beside an outage is answered elsewhere.
    fn is_never_answered(&self, now_ms: u64, evidence: &Evidence) -> bool {
        let sound = self.shared.sound.max(self.own_sound);
        let before = self.shared.sound_before.max(self.own_sound_before);
        let has_gone_well =
            sound > 0 || before > 0 || self.shared.has_outlived || self.own_outlived;
        let is_due = |at_ms: &u64| elapsed(now_ms, *at_ms) >= UNANSWERED_TIME;
        let was_at_ends = evidence.ends.all.get(MIN_UNANSWERED_ENDED - 1).is_some_and(is_due);
        !has_gone_well && (was_at_ends || self.shared.is_unanswered)
    }

    /// Returns whether no response has been whole over many ends.
    fn is_harmful_lately(&self, evidence: &Evidence) -> bool {
        let sound_ms = self.shared.sound_ms.max(self.own_sound_ms);
        let ends = &evidence.ends.separate;
        let ends = &ends[ends.partition_point(|at_ms| *at_ms <= sound_ms)..];
        ends.len() >= MIN_ENDED_IN_A_ROW && elapsed(ends[ends.len() - 1], ends[0]) >= MIN_ROW_TIME
    }

    /// Returns whether requests with the part still come, as far as all hosts know.
    fn is_quiet(&self, now_ms: u64) -> bool {
        let last = self.refused_ms.max(self.shared.refused_ms).max(self.last_end_ms());
        elapsed(now_ms, last.max(self.shared.quarantined_ms)) >= QUIET_TIME
    }

    /// Returns whether enough backend servers ended under the part for it to be harmful.
    pub fn may_be_harmful(&self) -> bool {
        self.ends.len().max(self.shared.ended) >= MIN_ENDED || self.shared.is_unanswered
    }

    /// Returns whether the evidence outweighs the whole responses.
    pub fn is_harmful(&self, now_ms: u64, evidence: &Evidence) -> bool {
        let ended = self.ended(evidence);
        let sound = self.sound(now_ms) as usize;
        let outweighs = ended >= MIN_ENDED && sound * SOUND_WEIGHT < ended;
        if self.is_never_answered(now_ms, evidence) {
            // Chance explains the ends, but not that none of its responses went well.
            return true;
        }
        match evidence.chance {
            Chance::Excluded => true,
            Chance::Likely => false,
            // Hosts don't know quite the same.
            Chance::Possible => self.shared.is_compared,
            Chance::Unlikely | Chance::Unknown => {
                outweighs || self.is_harmful_lately(evidence) || self.shared.is_compared
            }
        }
    }

    /// Returns the state of the part if it is quarantined.
    pub fn quarantined(&self, now_ms: u64, evidence: &Evidence) -> Option<Quarantined> {
        let is_quarantined =
            self.may_be_harmful() && self.is_harmful(now_ms, evidence) && !self.is_quiet(now_ms);
        is_quarantined.then(|| Quarantined {
            part: self.name.clone(),
            ended: self.ended(evidence),
            sound: self.sound(now_ms),
        })
    }

    /// Returns whether a trial may be claimed, and requests come to this host that would make it.
    fn is_trial_due(&self, now_ms: u64, evidence: &Evidence) -> bool {
        let since_ms = self.shared.quarantined_ms.max(self.shared.trial_ms);
        let max_trials = match self.ended(evidence) {
            MIN_ENDED.. => MAX_TRIALS,
            _ => MAX_TRIALS_TOGETHER,
        };
        self.revision > 0
            && self.shared.quarantined_ms > 0
            && self.shared.trials < max_trials
            && self.ended(evidence) < MAX_TRIED_ENDED
            && self.refused_ms > since_ms
            && elapsed(now_ms, since_ms) >= TRIAL_INTERVAL
    }

    /// Returns whether a request may be sent as a trial that this host has claimed; it may not
    /// again.
    pub fn take_trial(&mut self, now_ms: u64, evidence: &Evidence) -> bool {
        let is_free = now_ms < self.trial_until_ms && self.ended(evidence) < MAX_TRIED_ENDED;
        self.trial_until_ms = 0;
        is_free
    }

    fn stored_row(&self) -> Row {
        Row { key: self.key.clone(), value: None, revision: self.revision }
    }

    /// Applies the row that the hosts share; returns the backend servers whose ends an operator has
    /// dismissed.
    pub fn apply_row(&mut self, row: PartRow, revision: u64) -> Vec<Arc<str>> {
        if revision < self.revision {
            return Vec::new();
        }
        let is_first = self.revision == 0;
        let stored = row;
        let row = if is_first { self.shared.newest(&stored) } else { stored.clone() };
        let mut dismissed = Vec::new();
        self.revision = revision;
        self.is_outdated = row != stored;
        if row.released_ms > self.shared.released_ms {
            let ends = self.ends.iter().filter(|(_, at_ms)| **at_ms <= row.released_ms);
            dismissed.extend(ends.map(|(backend, _)| backend.clone()));
            self.ends.retain(|_, at_ms| *at_ms > row.released_ms);
            self.own_sound = 0;
            self.own_outlived = false;
            self.own_risk = Duration::ZERO;
        }
        if (row.quarantined_ms > 0) != (self.shared.quarantined_ms > 0) {
            tracing::warn!(
                event = "quarantine",
                part = %self.name,
                quarantined = row.quarantined_ms > 0,
                released = row.released_ms > self.shared.released_ms,
                ended = row.ended,
                backends = self.ends.keys().map(|id| &**id).collect::<Vec<_>>().join(","),
                sound = row.sound,
                sound_before = row.sound_before,
                trials = row.trials,
                compared = row.is_compared,
                unanswered = row.is_unanswered,
                risk_ms = row.risk_ms,
            );
        }
        self.shared = row;
        dismissed
    }

    /// Records that the table no longer has the row; what it held still counts.
    pub fn forget_stored(&mut self) {
        self.revision = 0;
    }

    /// Returns the row that is due to be written, if any.
    pub fn due_row(&self, now_ms: u64, evidence: &Evidence) -> Option<Share> {
        let mut row = self.shared.clone();
        let shared_sound = self.shared.sound.max(self.shared.sound_before) as usize;
        let is_sound_needed = shared_sound * SOUND_WEIGHT < self.ended(evidence) + SOUND_MARGIN;
        let is_sound_outdated = self.last_end_ms() > row.sound_ms
            && elapsed(self.own_sound_ms, row.sound_ms) >= SOUND_SHARE_INTERVAL;
        row.has_outlived |= self.own_outlived && !self.ends.is_empty();
        let mut sound = 0;
        if is_sound_needed || is_sound_outdated {
            sound = self.own_sound;
            row.sound = row.sound.saturating_add(sound);
            row.sound_ms = row.sound_ms.max(self.own_sound_ms);
            row.sound_before = row.sound_before.max(self.own_sound_before);
        }
        let mut risk = Duration::ZERO;
        if self.is_risk_due() {
            risk = self.own_risk;
            row.risk_ms = row.risk_ms.saturating_add(risk.as_millis() as u64);
            row.risk_at_ms = row.risk_at_ms.max(self.own_risk_ms);
        }
        let is_trial = self.is_trial_due(now_ms, evidence);
        let is_compared = evidence.chance == Chance::Excluded;
        let is_unanswered = self.is_never_answered(now_ms, evidence);
        match self.quarantined(now_ms, evidence) {
            Some(state) if row.quarantined_ms == 0 => {
                row.quarantined_ms = now_ms;
                row.refused_ms = now_ms;
                row.trials = 0;
                row.ended = state.ended;
                row.is_compared = is_compared;
                row.is_unanswered = is_unanswered;
            }
            Some(state) => {
                row.is_compared |= is_compared;
                row.is_unanswered = is_unanswered;
                row.ended = row.ended.saturating_sub(self.disproved).max(state.ended);
                if elapsed(self.refused_ms, row.refused_ms) >= RENEWAL_INTERVAL {
                    row.refused_ms = self.refused_ms;
                }
                if is_trial {
                    row.trials += 1;
                    row.trial_ms = now_ms;
                }
            }
            None => {
                row.quarantined_ms = 0;
                row.is_compared = false;
                row.is_unanswered = false;
            }
        }
        let is_missing = self.revision == 0 && (row.quarantined_ms > 0 || row.sound > 0);
        let is_lost = self.is_outdated || is_missing;
        let stored = self.stored_row();
        (is_lost || row != self.shared).then_some(Share {
            stored,
            row,
            sound,
            risk,
            disproved: self.disproved,
            is_trial,
        })
    }

    /// Applies a row that this host has written.
    pub fn finish_share(&mut self, share: Share, revision: u64) {
        self.own_sound = self.own_sound.saturating_sub(share.sound);
        self.own_risk = self.own_risk.saturating_sub(share.risk);
        self.disproved = self.disproved.saturating_sub(share.disproved);
        if share.is_trial {
            self.trial_until_ms = share.row.trial_ms + TRIAL_INTERVAL.as_millis() as u64;
        }
        self.apply_row(share.row, revision);
    }

    /// Returns the row as it is stored if nothing is known against the part any more.
    pub fn stale_row(&self, now_ms: u64) -> Option<Row> {
        (self.revision > 0 && !self.is_needed(now_ms)).then(|| self.stored_row())
    }

    /// Returns whether the part has a row.
    pub fn is_stored(&self) -> bool {
        self.revision > 0
    }

    /// Removes the end of a backend server that turned out to run.
    pub fn discard_end(&mut self, instance: &str) {
        if self.ends.remove(instance).is_some() {
            self.disproved += 1;
            // Those that are left may be too few.
            self.shared.is_unanswered = false;
        }
    }

    /// Removes ends that no longer count.
    pub fn expire(&mut self, now_ms: u64) {
        self.ends.retain(|_, at_ms| !is_expired(now_ms, *at_ms));
    }

    /// Returns whether anything is still known against the part.
    pub fn is_needed(&self, now_ms: u64) -> bool {
        // Rows of ends from before a release may still be read.
        let is_released = elapsed(now_ms, self.shared.released_ms) < END_TTL;
        let is_quarantined = self.shared.quarantined_ms > 0 && !self.is_quiet(now_ms);
        !self.ends.is_empty() || is_quarantined || is_released
    }
}
