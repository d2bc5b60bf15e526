//! Decides which parts of prompts are quarantined, since backend servers end when they respond to
//! them.
//!
//! A request that ends its backend server is passed on to the next one by retries, and others like
//! it are placed anywhere, so that a few callers can end a whole service. What such requests share
//! is a part of their prompts. Each end of a backend server makes the parts suspect of the requests
//! to which it had only just begun to respond, or hadn't yet. A part is quarantined once several
//! backend servers have ended under it and next to no response to a prompt with it was whole, or if
//! they end under it far more often than requests with it are sent; it isn't if they do about as
//! often, since requests with it are then there by chance. Whole responses clear the parts that the
//! suspect requests share with others, and of two parts that may have ended the same backend servers
//! the later one is taken, as fewer requests share it. Backend servers that end at the same moment,
//! as with a rack that loses power or a link that is cut, count as one unless no response to the part
//! has ever gone well, and one that any host hears again hasn't ended.
//!
//! All hosts share their evidence in rows of the platform's table, and each decides on all of it.
//! No request with a quarantined part is sent, neither a new one nor a retry, except for a few
//! trials while the evidence is weak. A quarantine ends when responses clear the part, when no
//! request with it has come for long, or when an operator releases it.
//!
//! This suits a load of many prompts with shared parts of which very few are harmful.

mod exposure;
mod outage;
mod report;
mod row;
mod sound;
mod suspect;

use std::{
    cell::Cell,
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use coordination::{
    locate::hash,
    table::{Outcome, Row, Txn, Write},
};

use self::{
    exposure::Exposures,
    outage::Outages,
    sound::Sound,
    suspect::{Evidence, Share, Suspect},
};
pub use self::{
    report::Report,
    row::{EndRow, PartRow, QUARANTINE_PREFIX, part_key},
};
use crate::{backend::Entry, crash::BrokenRequest, dialect::Changes, request::Prompt};

/// Maximum number of suspect parts.
const MAX_SUSPECTS: usize = 512;

/// Maximum number of parts that one host makes suspect at the end of one backend server.
const MAX_PARTS_PER_END: usize = 32;

/// Maximum number of backend servers whose ends are kept.
const MAX_ENDS: usize = 1024;

/// Maximum number of ends that a host keeps of its own.
const MAX_OWN_ENDS: usize = 128;

/// Time by which bytes of a backend server have to follow its supposed end to disprove it.
const MIN_ALIVE_TIME: Duration = Duration::from_millis(100);

/// Maximum number of rows that one transaction writes.
const MAX_WRITES: usize = 32;

/// Age from which the row of an end is removed.
const STALE_END_AGE: Duration = Duration::from_secs(600);

/// Time over which the hosts' attempts to remove a row are spread.
const REMOVAL_SPREAD: Duration = Duration::from_secs(120);

/// A quarantined part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Quarantined {
    /// Name of the part.
    pub part: Arc<str>,
    /// Number of backend servers that ended under it.
    pub ended: usize,
    /// Number of whole responses to prompts with it since the first of them ended.
    pub sound: u32,
}

/// The supposed end of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownEnd {
    /// Name of the process that ended.
    pub instance: Arc<str>,
    /// Id of the backend server.
    pub backend: Arc<str>,
    /// Unix time of its start in milliseconds.
    pub started_unix_ms: u64,
    /// Time of this process from which bytes of it would disprove the end.
    pub disproved_from: Duration,
}

/// The end of a process of a backend server.
#[derive(Debug)]
struct End {
    backend: Arc<str>,
    started_unix_ms: u64,
    /// When a host first observed it, in milliseconds of the platform's clock.
    at_ms: u64,
}

/// An end that this host has observed.
#[derive(Debug)]
struct OwnEnd {
    key: Arc<str>,
    row: EndRow,
    is_stored: bool,
}

/// A transaction whose outcome isn't known.
#[derive(Debug, Default)]
struct Pending {
    /// Keys of ends.
    ends: Vec<Arc<str>>,
    /// Names of parts and their rows.
    parts: Vec<(Arc<str>, Share)>,
    /// Keys of rows that are removed.
    removals: Vec<Arc<str>>,
}

/// Suspect and quarantined parts of prompts, as one host knows them.
#[derive(Debug)]
pub struct Quarantine {
    host: Arc<str>,
    suspects: BTreeMap<Arc<str>, Suspect>,
    /// Whole responses.
    sound: Sound,
    /// Responses that outlived their time at risk.
    outlived: Sound,
    exposures: Exposures,
    own_ends: VecDeque<OwnEnd>,
    /// Ends of backend servers by the name of the process.
    ends: BTreeMap<Arc<str>, End>,
    outages: Outages,
    /// Rows of all hosts' ends, with the name of the process and the time.
    stored_ends: BTreeMap<Arc<str>, (Arc<str>, u64)>,
    /// Keys of rows that are to be removed, since their backend servers run.
    disproved: Vec<Arc<str>>,
    /// The platform's clock in milliseconds at a time of this process.
    clock: Option<(Duration, u64)>,
    pending: Option<Pending>,
    /// Number of times that the ends under a part were weighed.
    weighed: Cell<u64>,
}

impl Quarantine {
    /// Creates an empty quarantine of a host.
    pub fn new(host: Arc<str>) -> Self {
        Self {
            host,
            suspects: BTreeMap::new(),
            sound: Sound::default(),
            outlived: Sound::default(),
            exposures: Exposures::default(),
            own_ends: VecDeque::new(),
            ends: BTreeMap::new(),
            outages: Outages::default(),
            stored_ends: BTreeMap::new(),
            disproved: Vec::new(),
            clock: None,
            pending: None,
            weighed: Cell::new(0),
        }
    }

    /// Returns how often the ends under a part were weighed, which is most of the work.
    pub fn weighed(&self) -> u64 {
        self.weighed.get()
    }

    /// Sets the platform's clock.
    pub fn set_clock(&mut self, now: Duration, platform_ms: Option<u64>) {
        if let Some(platform_ms) = platform_ms {
            self.clock = Some((now, platform_ms));
        }
    }

    fn platform_ms(&self, now: Duration) -> u64 {
        let (at, platform_ms) = self.clock.unwrap_or_default();
        platform_ms.saturating_add(now.saturating_sub(at).as_millis() as u64)
    }

    /// Records that a backend server ended at a time while these requests were in progress there.
    pub fn record_end(
        &mut self,
        now: Duration,
        at: Duration,
        backend: &Entry,
        requests: &[BrokenRequest],
    ) {
        let at_ms = self.platform_ms(now).saturating_sub((now - at).as_millis() as u64);
        let at_risk: Vec<&BrokenRequest> =
            requests.iter().filter(|request| request.may_have_ended()).collect();
        let parts = self.suspect_parts(now, &at_risk);
        let row = EndRow {
            backend: backend.id.clone(),
            started_unix_ms: backend.started_unix_ms,
            host: self.host.clone(),
            at_ms,
            parts,
            requests: at_risk.iter().filter(|request| !request.parts.is_empty()).count() as u64,
            total_risk_ms: self.exposures.total().as_millis() as u64,
        };
        tracing::info!(
            event = "backend_ended",
            backend = %backend.id,
            requests = requests.len(),
            suspects = row.parts.iter().map(|(name, _)| &**name).collect::<Vec<_>>().join(","),
            at_ms,
        );
        self.apply_end(now, &row);
        self.find_outages();
        if !row.parts.is_empty() {
            self.add_own_end(row);
        }
    }

    /// Adds an end that is to be shared; of one backend server, requests may break off at different
    /// times.
    fn add_own_end(&mut self, row: EndRow) {
        let key = row::end_key(&row.instance(), &self.host);
        if let Some(own) = self.own_ends.iter_mut().find(|own| own.key == key) {
            let added = row.parts.into_iter().filter(|part| !own.row.parts.contains(part));
            let added: Vec<_> = added.collect();
            own.is_stored &= added.is_empty();
            own.row.parts.extend(added);
            own.row.parts.truncate(MAX_PARTS_PER_END);
            own.row.requests += row.requests;
            return;
        }
        if self.own_ends.len() >= MAX_OWN_ENDS {
            self.own_ends.pop_front();
        }
        self.own_ends.push_back(OwnEnd { key, row, is_stored: false });
    }

    fn find_outages(&mut self) {
        self.outages = Outages::find(self.ends.iter().map(|(name, end)| (name, end.at_ms)));
    }

    /// Returns the parts of the requests that may have ended a backend server: known suspects
    /// first, then those with the fewest whole responses.
    fn suspect_parts(&self, now: Duration, requests: &[&BrokenRequest]) -> Vec<(Arc<str>, usize)> {
        let mut parts: Vec<(Arc<str>, usize)> =
            requests.iter().flat_map(|request| request.parts.iter().cloned().zip(0..)).collect();
        parts.sort();
        parts.dedup_by(|next, former| next.0 == former.0);
        parts.sort_by_key(|(part, _)| {
            let ends = self.suspects.get(part).map_or(0, Suspect::backend_count);
            (std::cmp::Reverse(ends), self.sound.responses(now, part))
        });
        parts.truncate(MAX_PARTS_PER_END);
        parts
    }

    /// Records that a request with these parts was at risk for a time, which ends now: until its
    /// response had gone on for [`RISK_TIME`](crate::crash::RISK_TIME), or it ended.
    pub fn record_exposure(&mut self, now: Duration, parts: &[Arc<str>], time: Duration) {
        if parts.is_empty() {
            return;
        }
        let now_ms = self.platform_ms(now);
        self.exposures.record(now_ms, time);
        for part in parts {
            if let Some(suspect) = self.suspects.get_mut(part) {
                suspect.record_risk(now_ms, time);
            }
        }
    }

    /// Records that the response to a prompt with these parts outlived its time at risk.
    pub fn record_outlived(&mut self, now: Duration, parts: &[Arc<str>]) {
        for part in parts {
            if let Some(suspect) = self.suspects.get_mut(part) {
                suspect.record_outlived();
            }
        }
        self.outlived.record(now, parts.iter());
    }

    /// Records a whole response to a prompt.
    pub fn record_whole(&mut self, now: Duration, prompt: &Prompt) {
        let now_ms = self.platform_ms(now);
        for part in &prompt.shared {
            if let Some(suspect) = self.suspects.get_mut(&part.name) {
                suspect.record_sound(now_ms);
            }
        }
        self.sound.record(now, prompt.shared.iter().map(|part| &part.name));
    }

    /// Returns a quarantined part of a prompt, other than the one that is being tried.
    pub fn find(
        &self,
        now: Duration,
        prompt: &Prompt,
        tried: Option<&Arc<str>>,
    ) -> Option<Quarantined> {
        if self.suspects.is_empty() {
            return None;
        }
        let now_ms = self.platform_ms(now);
        let parts = prompt.shared.iter().filter(|part| Some(&part.name) != tried);
        let suspects = parts.filter_map(|part| self.suspects.get(&part.name));
        let suspects: Vec<_> = suspects.filter(|suspect| suspect.may_be_harmful()).collect();
        if suspects.is_empty() {
            return None;
        }
        let harmful = self.harmful(now_ms);
        suspects.into_iter().find_map(|suspect| self.quarantined(now_ms, suspect, &harmful))
    }

    /// Decides whether a request may be served: returns the quarantined part of which it is a trial,
    /// if any, or the quarantined part for which it is refused.
    ///
    /// # Errors
    ///
    /// Returns the part for which the request is refused.
    pub fn admit(
        &mut self,
        now: Duration,
        prompt: &Prompt,
    ) -> Result<Option<Arc<str>>, Quarantined> {
        let Some(found) = self.find(now, prompt, None) else { return Ok(None) };
        let now_ms = self.platform_ms(now);
        let Some(suspect) = self.suspects.get(&found.part) else { return Ok(None) };
        let evidence = self.evidence(suspect, &self.harmful(now_ms));
        let Some(suspect) = self.suspects.get_mut(&found.part) else { return Ok(None) };
        if suspect.take_trial(now_ms, &evidence) {
            return match self.find(now, prompt, Some(&found.part)) {
                None => Ok(Some(found.part)),
                Some(other) => Err(other),
            };
        }
        suspect.record_refusal(now_ms);
        Err(found)
    }

    fn quarantined(
        &self,
        now_ms: u64,
        suspect: &Suspect,
        harmful: &[&Suspect],
    ) -> Option<Quarantined> {
        if !suspect.may_be_harmful() {
            return None;
        }
        suspect.quarantined(now_ms, &self.evidence(suspect, harmful))
    }

    /// Returns the parts that are harmful by all ends under them, whatever other parts explain.
    fn harmful(&self, now_ms: u64) -> Vec<&Suspect> {
        let suspects = self.suspects.values().filter(|suspect| suspect.may_be_harmful());
        let is_harmful = |own: &&Suspect| own.is_harmful(now_ms, &self.evidence(own, &[]));
        suspects.filter(is_harmful).collect()
    }

    /// Returns the evidence against a part: separate ends that none of the harmful parts after it
    /// explains.
    fn evidence(&self, suspect: &Suspect, harmful: &[&Suspect]) -> Evidence {
        self.weighed.set(self.weighed.get() + 1);
        if !suspect.may_be_harmful() {
            return suspect.evidence(&self.outages, &self.exposures, &[]);
        }
        let later = harmful.iter().copied().filter(|own| own.depth() > suspect.depth());
        suspect.evidence(&self.outages, &self.exposures, &later.collect::<Vec<_>>())
    }

    /// Returns all quarantined parts.
    pub fn parts(&self, now: Duration) -> Vec<Quarantined> {
        let now_ms = self.platform_ms(now);
        let harmful = self.harmful(now_ms);
        let suspects = self.suspects.values();
        suspects.filter_map(|suspect| self.quarantined(now_ms, suspect, &harmful)).collect()
    }

    /// Applies rows that were read; `whole` tells that these are all rows.
    pub fn apply(&mut self, now: Duration, changes: &Changes, whole: bool) {
        if whole {
            // What a restored table has lost is written again.
            self.suspects.values_mut().for_each(Suspect::forget_stored);
            self.own_ends.iter_mut().for_each(|end| end.is_stored = false);
            self.stored_ends.clear();
        }
        for row in &changes.rows {
            self.apply_row(now, row);
        }
        self.find_outages();
    }

    fn apply_row(&mut self, now: Duration, row: &Row) {
        if row::is_end_key(&row.key) {
            let Some(end) = row.value.as_ref().and_then(|text| row::parse::<EndRow>(row, text))
            else {
                self.record_removal(&row.key);
                return;
            };
            if let Some(own) = self.own_ends.iter_mut().find(|own| own.key == row.key) {
                own.is_stored = true;
            }
            self.stored_ends.insert(row.key.clone(), (end.instance(), end.at_ms));
            self.apply_end(now, &end);
        } else if row::is_part_key(&row.key) {
            let Some(value) = &row.value else {
                self.record_removal(&row.key);
                return;
            };
            let Some(part) = row::parse::<PartRow>(row, value) else { return };
            let name = part.name.clone();
            let suspect = self.suspect_mut(now, &name);
            let dismissed = suspect.map(|suspect| suspect.apply_row(part, row.revision));
            // They don't speak against the parts that came with it either.
            for backend in dismissed.into_iter().flatten() {
                self.suspects.values_mut().for_each(|suspect| suspect.discard_end(&backend));
            }
        }
    }

    /// Records that the table no longer has a row.
    fn record_removal(&mut self, key: &str) {
        self.stored_ends.remove(key);
        self.disproved.retain(|own| **own != *key);
        let mut suspects = self.suspects.values_mut();
        if let Some(suspect) = suspects.find(|suspect| &**suspect.key() == key) {
            suspect.forget_stored();
        }
    }

    fn apply_end(&mut self, now: Duration, end: &EndRow) {
        let now_ms = self.platform_ms(now);
        if suspect::is_expired(now_ms, end.at_ms) {
            return;
        }
        let instance = end.instance();
        if self.ends.len() < MAX_ENDS || self.ends.contains_key(&instance) {
            let new_end = || End {
                backend: end.backend.clone(),
                started_unix_ms: end.started_unix_ms,
                at_ms: end.at_ms,
            };
            let known = self.ends.entry(instance.clone()).or_insert_with(new_end);
            known.at_ms = known.at_ms.min(end.at_ms);
        }
        self.exposures.record_end(end);
        if end.host != self.host {
            self.exposures.record_total(end);
        }
        for (part, depth) in end.parts.iter().take(MAX_PARTS_PER_END) {
            if let Some(suspect) = self.suspect_mut(now, part) {
                suspect.record_end(&instance, end.at_ms, *depth);
            }
        }
    }

    /// Returns the supposed ends of backend servers.
    pub fn known_ends(&self, now: Duration) -> Vec<KnownEnd> {
        let now_ms = self.platform_ms(now);
        let known_end = |(instance, end): (&Arc<str>, &End)| {
            let age = Duration::from_millis(now_ms.saturating_sub(end.at_ms));
            KnownEnd {
                instance: instance.clone(),
                backend: end.backend.clone(),
                started_unix_ms: end.started_unix_ms,
                disproved_from: now.saturating_sub(age) + MIN_ALIVE_TIME,
            }
        };
        self.ends.iter().map(known_end).collect()
    }

    /// Discards the supposed end of a process that was heard since.
    pub fn discard_end(&mut self, instance: &Arc<str>) {
        tracing::info!(event = "backend_end_disproved", process = %instance);
        self.ends.remove(instance);
        self.exposures.discard_end(instance);
        self.find_outages();
        self.own_ends.retain(|own| own.row.instance() != *instance);
        self.suspects.values_mut().for_each(|suspect| suspect.discard_end(instance));
        let stored = self.stored_ends.iter().filter(|(_, (own, _))| own == instance);
        self.disproved.extend(stored.map(|(key, _)| key.clone()));
    }

    /// Returns a suspect part, which becomes one now if it wasn't; `None` if there are too many.
    fn suspect_mut(&mut self, now: Duration, part: &Arc<str>) -> Option<&mut Suspect> {
        if !self.suspects.contains_key(part) {
            if self.suspects.len() >= MAX_SUSPECTS && !self.evict(now) {
                tracing::warn!(event = "suspect_left_out", part = %part);
                return None;
            }
            let has_outlived = self.outlived.responses(now, part) > 0;
            let suspect = Suspect::new(part.clone(), self.sound.responses(now, part), has_outlived);
            self.suspects.insert(part.clone(), suspect);
        }
        self.suspects.get_mut(part)
    }

    /// Removes the suspect with the least evidence unless all are quarantined.
    fn evict(&mut self, now: Duration) -> bool {
        let now_ms = self.platform_ms(now);
        let harmful = self.harmful(now_ms);
        let suspects = self.suspects.values();
        let suspects =
            suspects.filter(|suspect| self.quarantined(now_ms, suspect, &harmful).is_none());
        let weakest = suspects.min_by_key(|own| (own.backend_count(), own.last_end_ms()));
        let Some(weakest) = weakest.map(|suspect| suspect.name().clone()) else { return false };
        self.suspects.remove(&weakest);
        true
    }

    /// Returns whether ends that this host observed are still to be written.
    pub fn has_news(&self) -> bool {
        self.pending.is_none() && self.own_ends.iter().any(|end| !end.is_stored)
    }

    /// Returns the transaction that shares what this host knows, if there is anything to share.
    pub fn plan(&mut self, now: Duration) -> Option<Txn> {
        if self.pending.is_some() {
            return None;
        }
        let now_ms = self.platform_ms(now);
        self.expire(now_ms);
        let mut txn = Txn::default();
        let mut pending = Pending::default();
        for end in self.own_ends.iter().filter(|end| !end.is_stored).take(MAX_WRITES) {
            let value = serde_json::to_string(&end.row).ok().map(Arc::from);
            txn.writes.push(Write { key: end.key.clone(), value });
            pending.ends.push(end.key.clone());
        }
        if pending.ends.is_empty() {
            let harmful = self.harmful(now_ms);
            for suspect in self.suspects.values() {
                let Some(share) = suspect.due_row(now_ms, &self.evidence(suspect, &harmful)) else {
                    continue;
                };
                txn.put(&share.stored, &share.row);
                pending.parts.push((suspect.name().clone(), share));
                if txn.writes.len() >= MAX_WRITES {
                    break;
                }
            }
        }
        if txn.writes.is_empty() {
            self.plan_removals(now_ms, &mut txn);
            pending.removals = txn.writes.iter().map(|write| write.key.clone()).collect();
        }
        if txn.writes.is_empty() {
            return None;
        }
        self.pending = Some(pending);
        Some(txn)
    }

    /// Removes suspects of which nothing is known any more.
    fn expire(&mut self, now_ms: u64) {
        self.own_ends.retain(|end| !suspect::is_expired(now_ms, end.row.at_ms));
        self.ends.retain(|_, end| !suspect::is_expired(now_ms, end.at_ms));
        self.find_outages();
        self.suspects.retain(|_, suspect| {
            suspect.expire(now_ms);
            suspect.is_needed(now_ms) || suspect.is_stored()
        });
    }

    /// Plans the removal of rows that no longer count. The hosts' times to do so are spread, so
    /// that one of them removes a row before the others try.
    fn plan_removals(&self, now_ms: u64, txn: &mut Txn) {
        let spread = hash(self.host.as_bytes()) % REMOVAL_SPREAD.as_millis() as u64;
        let before_ms = now_ms.saturating_sub(spread);
        let stale_ms = before_ms.saturating_sub(STALE_END_AGE.as_millis() as u64);
        let ends = self.stored_ends.iter().filter(|(_, (_, at_ms))| *at_ms < stale_ms);
        let ends = self.disproved.iter().chain(ends.map(|(key, _)| key));
        let removal = |key: &Arc<str>| Write { key: key.clone(), value: None };
        txn.writes.extend(ends.map(removal).take(MAX_WRITES));
        let parts = self.suspects.values().filter_map(|suspect| suspect.stale_row(before_ms));
        for row in parts.take(MAX_WRITES - txn.writes.len()) {
            txn.check(&row);
            txn.writes.push(removal(&row.key));
        }
    }

    /// Applies the outcome of the transaction that was planned last.
    pub fn finish(&mut self, now: Duration, outcome: &Outcome) {
        let Some(pending) = self.pending.take() else { return };
        match outcome {
            Outcome::Committed(revision) => {
                for end in self.own_ends.iter_mut().filter(|end| pending.ends.contains(&end.key)) {
                    end.is_stored = true;
                }
                for (name, share) in pending.parts {
                    if let Some(suspect) = self.suspects.get_mut(&name) {
                        suspect.finish_share(share, *revision);
                    }
                }
                pending.removals.iter().for_each(|key| self.record_removal(key));
            }
            Outcome::Conflict(rows) => rows.iter().for_each(|row| self.apply_row(now, row)),
            // A repeated transaction writes the same rows, or conflicts and finds the newest ones.
            _ => {}
        }
    }
}
