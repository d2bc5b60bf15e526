//! What a router knows of one back end.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use rand::rngs::StdRng;

use super::{Load, Refusal, Settings};
use crate::{
    locate::{hash, spread},
    record::{self, Model},
    request::Class,
    retry,
};

/// Time for which a back end that refused as leaving counts as leaving, whatever it reports.
const LEAVING_HOLD: Duration = Duration::from_secs(60);

/// Longest pause after the first failure; doubles with each further one.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause after any failure.
const FAILURE_PAUSE_MAX: Duration = Duration::from_secs(30);

/// Time after which a trial request that reported nothing no longer counts.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);

/// Greatest number of recent sends remembered for one back end.
const MAX_RECENT: usize = 4096;

/// Thousandths of one.
const MILLI: u64 = 1000;

/// Time for which a free slot stays with one host, in milliseconds.
const OWNER_TURN_MS: u64 = 2000;

/// Entry hosts that take requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Hosts {
    pub count: u32,
    pub index: u32,
}

/// A request that was sent to a back end, or ended there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Change {
    Sent,
    Finished,
}

/// State of one back end.
#[derive(Debug)]
pub(super) struct Backend {
    pub record: record::Backend,
    /// Some route of urgent requests uses it.
    pub urgent: bool,
    /// This host reads its reports.
    pub read: bool,
    /// Hosts that read its reports, where not all do.
    readers: Option<Hosts>,
    hash: u64,
    models: Option<Vec<Model>>,
    load: Option<Load>,
    /// Requests of this host in flight.
    own: u32,
    /// Sends and ends that the load report may not show, oldest first.
    recent: VecDeque<(Duration, Change)>,
    recent_sent: u64,
    recent_finished: u64,
    /// Requests of this host in flight, by the time at which they were sent.
    flights: BTreeMap<Duration, u32>,
    /// Time up to which the load report shows what was sent.
    shown: Duration,
    /// Requests of this host in flight that the load report may not show.
    fresh: u64,
    /// Long requests that this host may send by its share of the room.
    share: Option<u64>,
    listed_leaving: bool,
    state_leaving: bool,
    refused_leaving: Option<Duration>,
    busy_until: Duration,
    failures: u32,
    failed_until: Duration,
    trial: Option<Duration>,
}

impl Backend {
    pub fn open(record: record::Backend) -> Self {
        Self {
            hash: hash(record.name.as_bytes()),
            record,
            urgent: false,
            read: true,
            readers: None,
            models: None,
            load: None,
            own: 0,
            recent: VecDeque::new(),
            recent_sent: 0,
            recent_finished: 0,
            flights: BTreeMap::new(),
            shown: Duration::ZERO,
            fresh: 0,
            share: None,
            listed_leaving: false,
            state_leaving: false,
            refused_leaving: None,
            busy_until: Duration::ZERO,
            failures: 0,
            failed_until: Duration::ZERO,
            trial: None,
        }
    }

    /// Returns the hash of the name.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Returns true where a source that all hosts share says that the back end takes no new work.
    pub fn shared_leaving(&self) -> bool {
        self.record.leaving || self.listed_leaving
    }

    /// Returns the requests of this host in flight, where it doesn't read the back end.
    pub fn unread_own(&self) -> u64 {
        if self.read { 0 } else { u64::from(self.own) }
    }

    /// Sets whether this host reads the back end, and among which hosts; returns whether the first
    /// has changed. A report that is not renewed counts no more.
    pub fn divide(&mut self, read: bool, readers: Option<Hosts>) -> bool {
        let changed = self.read != read;
        self.read = read;
        self.readers = readers;
        if !read {
            self.load = None;
            self.share = None;
        }
        changed
    }

    /// Returns true where any source says that the back end takes no new work.
    pub fn leaving(&self, now: Duration) -> bool {
        self.record.leaving
            || self.listed_leaving
            || self.state_leaving
            || self.load.is_some_and(|load| load.leaving)
            || self.refused_leaving.is_some_and(|until| now < until)
    }

    /// Returns true where the back end may get a request for a model.
    pub fn eligible(&self, now: Duration, model: Option<&Model>) -> bool {
        !self.leaving(now) && self.healthy(now) && now >= self.busy_until && self.holds(model)
    }

    fn healthy(&self, now: Duration) -> bool {
        if self.failures == 0 {
            return true;
        }
        now >= self.failed_until && self.trial.is_none_or(|until| now >= until)
    }

    fn holds(&self, model: Option<&Model>) -> bool {
        let Some(wanted) = model else { return true };
        let models = self.models.as_ref().unwrap_or(&self.record.models);
        models.iter().any(|held| {
            let version = wanted.version.is_empty() || held.version == wanted.version;
            held.name == wanted.name && held.adapter == wanted.adapter && version
        })
    }

    /// Returns the time after which an ineligible back end may become eligible.
    pub fn retry_after(&self, now: Duration) -> Duration {
        self.failed_until.max(self.busy_until).saturating_sub(now)
    }

    pub fn slots(&self) -> u32 {
        self.load.map_or(self.record.slots, |load| load.slots).clamp(1, record::MAX_SLOTS as u32)
    }

    /// Returns the estimated number of requests at the back end, in thousandths.
    pub fn occupancy_milli(&self, setting: &Settings, hosts: u32) -> u64 {
        let hosts = self.readers.map_or(hosts, |readers| readers.count);
        let others = u64::from(hosts.saturating_sub(1));
        let own = u64::from(self.own) * MILLI;
        let Some(load) = self.load else { return own * (others + 1) };
        let (sent, finished) = (self.recent_sent, self.recent_finished);
        let reported = u64::from(load.queued) + u64::from(load.running);
        // Others are taken to send as this host does; what has ended here has ended there too.
        let expected = self.fresh * others * u64::from(setting.other_hosts_weight_milli);
        let estimate = ((reported + sent) * MILLI + expected).saturating_sub(finished * MILLI);
        estimate.max(own)
    }

    /// Returns how many requests may be at the back end for another one of a class to be sent, in
    /// thousandths.
    pub fn limit_milli(&self, setting: &Settings, class: Class, starved: bool) -> u64 {
        let slots = u64::from(self.slots()) * MILLI;
        if class == Class::Urgent || starved {
            return slots + slots * u64::from(setting.urgent_queue_milli) / MILLI;
        }
        if !self.urgent {
            return slots + slots * u64::from(setting.queue_milli) / MILLI;
        }
        if self.slots() < 2 {
            return slots;
        }
        let kept = slots * u64::from(setting.keep_free_milli) / MILLI;
        slots - kept.max(MILLI).min(slots - MILLI)
    }

    /// Returns true where this host may send a long request by its share of the room.
    pub fn has_share(&self) -> bool {
        self.share != Some(0)
    }

    /// Divides the room that a report shows among all hosts, since each of them sees it. The owner of
    /// each free slot changes only now and then, so that hosts that read reports of different age
    /// agree on it. A long request in excess would block a slot for long.
    pub fn share_room(&mut self, setting: &Settings, hosts: Hosts) {
        let Some(load) = self.load else { return };
        let limit = self.limit_milli(setting, Class::Long, false);
        let room = limit.saturating_sub(self.occupancy_milli(setting, 1)).div_ceil(MILLI);
        let hosts = self.readers.unwrap_or(hosts);
        let turn = load.at_ms / OWNER_TURN_MS;
        let owner = |slot| spread(self.hash ^ spread(turn) ^ slot) % u64::from(hosts.count);
        let owned = (0..room).filter(|&slot| owner(slot) == u64::from(hosts.index));
        self.share = Some(owned.count() as u64);
    }

    pub fn sent(&mut self, now: Duration, class: Class) {
        self.own += 1;
        *self.flights.entry(now).or_default() += 1;
        self.fresh += 1;
        if class == Class::Long {
            self.share = self.share.map(|share| share.saturating_sub(1));
        }
        self.note(now, Change::Sent);
        if self.failures > 0 {
            self.trial = Some(now + TRIAL_TIMEOUT);
        }
    }

    /// Takes the end of a request that was sent at a time.
    pub fn finished(&mut self, now: Duration, sent: Duration) {
        let Some(own) = self.own.checked_sub(1) else { return };
        self.own = own;
        self.land(sent);
        self.share = self.share.map(|share| share + 1);
        self.note(now, Change::Finished);
    }

    fn land(&mut self, sent: Duration) {
        let Some(count) = self.flights.get_mut(&sent) else { return };
        *count -= 1;
        if *count == 0 {
            self.flights.remove(&sent);
        }
        if sent >= self.shown {
            self.fresh -= 1;
        }
    }

    fn note(&mut self, now: Duration, change: Change) {
        self.recent.push_back((now, change));
        *self.recent_count(change) += 1;
        if self.recent.len() > MAX_RECENT {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, change)) = self.recent.pop_front() {
            *self.recent_count(change) -= 1;
        }
    }

    fn recent_count(&mut self, change: Change) -> &mut u64 {
        match change {
            Change::Sent => &mut self.recent_sent,
            Change::Finished => &mut self.recent_finished,
        }
    }

    pub fn report(&mut self, now: Duration, load: Load, lag: Duration) {
        let shown = now.saturating_sub(lag);
        while self.recent.front().is_some_and(|(at, _)| *at < shown) {
            self.forget_oldest();
        }
        self.shown = shown;
        self.fresh = self.flights.range(shown..).map(|(_, count)| u64::from(*count)).sum();
        self.load = Some(load);
    }

    pub fn state(&mut self, models: Vec<Model>, leaving: bool) {
        self.models = Some(models);
        self.state_leaving = leaving;
    }

    pub fn listed(&mut self, leaving: bool) {
        self.listed_leaving = leaving;
    }

    pub fn refused(&mut self, now: Duration, refusal: Refusal) {
        self.trial = None;
        match refusal {
            Refusal::Leaving => self.refused_leaving = Some(now + LEAVING_HOLD),
            Refusal::Busy(pause) => self.busy_until = self.busy_until.max(now + pause),
            Refusal::Model(model) => {
                let models = self.models.get_or_insert_with(|| self.record.models.clone());
                models.retain(|held| held.name != model.name || held.adapter != model.adapter);
            }
        }
    }

    pub fn served(&mut self) {
        self.failures = 0;
        self.trial = None;
    }

    /// Takes a failure; those of requests sent before the last pause began count once.
    pub fn failed(&mut self, now: Duration, rng: &mut StdRng) {
        self.trial = None;
        if now < self.failed_until {
            return;
        }
        self.failures = self.failures.saturating_add(1);
        let longest = retry::backoff(FAILURE_PAUSE, FAILURE_PAUSE_MAX, self.failures);
        self.failed_until = now + retry::jitter(longest, rng);
    }
}
