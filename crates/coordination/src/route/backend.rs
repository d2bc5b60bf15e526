//! State of one backend server, as the router sees it.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use rand::rngs::StdRng;

use super::{Load, Refusal, Settings};
use crate::{
    locate::{hash, mix64},
    record::{self, Model},
    request::Class,
    retry,
};

/// Time for which a backend server that refused a request as leaving counts as leaving, whatever it
/// reports.
const LEAVING_REFUSAL_HOLD: Duration = Duration::from_secs(60);

/// Upper bound of the backoff after the first failure; doubles with each further one.
const FAILURE_BACKOFF: Duration = Duration::from_millis(250);

/// Upper bound of the backoff after any number of failures.
const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(30);

/// Time after which a trial request whose result is still unknown no longer blocks other requests.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of recent sends and completions remembered for one backend server.
const MAX_RECENT: usize = 4096;

/// Number of thousandths in a whole.
const MILLI: u64 = 1000;

/// Time for which a free slot stays assigned to the same host, in milliseconds.
const SLOT_OWNER_PERIOD_MS: u64 = 2000;

/// Number of hosts in a group, and index of this host among them, starting at 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct HostIndex {
    pub count: u32,
    pub index: u32,
}

/// A change of the number of requests at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LoadChange {
    Sent,
    Finished,
}

/// State of one backend server.
#[derive(Debug)]
pub(super) struct Backend {
    pub record: record::Backend,
    /// Whether a route of urgent requests uses it.
    pub urgent: bool,
    /// Whether this host reads its load reports.
    pub read: bool,
    /// Index of this host among the hosts that read its reports; `None` if all hosts read them.
    reader_index: Option<HostIndex>,
    /// Hash of its name.
    hash: u64,
    /// Models that it reported, without those for which it refused a request; `None` while only
    /// those of the record are known.
    models: Option<Vec<Model>>,
    load: Option<Load>,
    /// Number of requests of this host in flight.
    in_flight: u32,
    /// Sends and completions that the load report may not include, oldest first.
    recent: VecDeque<(Duration, LoadChange)>,
    recent_sent: u64,
    recent_finished: u64,
    /// Number of requests of this host in flight, by send time.
    in_flight_by_time: BTreeMap<Duration, u32>,
    /// Time before which every send is included in the load report.
    reported_until: Duration,
    /// Number of requests of this host in flight that the load report may not include.
    unreported: u64,
    /// Number of long requests that this host may still send; `None` without a load report.
    long_quota: Option<u64>,
    listed_leaving: bool,
    state_leaving: bool,
    /// Time until which a refusal makes it count as leaving.
    refused_leaving: Option<Duration>,
    busy_until: Duration,
    /// Consecutive failures.
    failures: u32,
    /// End of the backoff after the last failure.
    failed_until: Duration,
    /// Time until which a trial request after a failure blocks other requests.
    trial_until: Option<Duration>,
}

impl Backend {
    pub fn new(record: record::Backend) -> Self {
        Self {
            hash: hash(record.name.as_bytes()),
            record,
            urgent: false,
            read: true,
            reader_index: None,
            models: None,
            load: None,
            in_flight: 0,
            recent: VecDeque::new(),
            recent_sent: 0,
            recent_finished: 0,
            in_flight_by_time: BTreeMap::new(),
            reported_until: Duration::ZERO,
            unreported: 0,
            long_quota: None,
            listed_leaving: false,
            state_leaving: false,
            refused_leaving: None,
            busy_until: Duration::ZERO,
            failures: 0,
            failed_until: Duration::ZERO,
            trial_until: None,
        }
    }

    /// Returns the hash of the name.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Returns whether the record or the platform's host list, which all hosts see, marks the
    /// backend server as leaving.
    pub fn is_leaving_for_all_hosts(&self) -> bool {
        self.record.leaving || self.listed_leaving
    }

    /// Returns the number of requests of this host in flight if it doesn't read the reports of the
    /// backend server, otherwise 0.
    pub fn unread_in_flight(&self) -> u64 {
        if self.read { 0 } else { u64::from(self.in_flight) }
    }

    /// Sets whether this host reads the backend server's reports, and its index among the readers.
    /// Returns whether `read` has changed.
    ///
    /// Discards the load report if `read` is false, since it would no longer be updated.
    pub fn set_readers(&mut self, read: bool, reader_index: Option<HostIndex>) -> bool {
        let changed = self.read != read;
        self.read = read;
        self.reader_index = reader_index;
        if !read {
            self.load = None;
            self.long_quota = None;
        }
        changed
    }

    /// Returns whether any source says that the backend server accepts no new requests.
    pub fn is_leaving(&self, now: Duration) -> bool {
        self.record.leaving
            || self.listed_leaving
            || self.state_leaving
            || self.load.is_some_and(|load| load.leaving)
            || self.refused_leaving.is_some_and(|until| now < until)
    }

    /// Returns whether the backend server may receive a request for a model.
    pub fn is_eligible(&self, now: Duration, model: Option<&Model>) -> bool {
        !self.is_leaving(now)
            && self.is_healthy(now)
            && now >= self.busy_until
            && self.has_model(model)
    }

    fn is_healthy(&self, now: Duration) -> bool {
        if self.failures == 0 {
            return true;
        }
        now >= self.failed_until && self.trial_until.is_none_or(|until| now >= until)
    }

    fn has_model(&self, model: Option<&Model>) -> bool {
        let Some(requested) = model else { return true };
        let models = self.models.as_ref().unwrap_or(&self.record.models);
        models.iter().any(|loaded| {
            let is_same_version =
                requested.version.is_empty() || loaded.version == requested.version;
            loaded.name == requested.name && loaded.adapter == requested.adapter && is_same_version
        })
    }

    /// Returns the time after which an ineligible backend server may become eligible.
    pub fn retry_after(&self, now: Duration) -> Duration {
        self.failed_until.max(self.busy_until).saturating_sub(now)
    }

    pub fn slots(&self) -> u32 {
        self.load.map_or(self.record.slots, |load| load.slots).clamp(1, record::MAX_SLOTS as u32)
    }

    /// Returns the estimated number of requests at the backend server, in thousandths.
    ///
    /// `hosts` is the number of hosts that accept requests, used if all of them read the reports.
    pub fn occupancy_milli(&self, settings: &Settings, hosts: u32) -> u64 {
        let hosts = self.reader_index.map_or(hosts, |index| index.count);
        let others = u64::from(hosts.saturating_sub(1));
        let own = u64::from(self.in_flight) * MILLI;
        let Some(load) = self.load else { return own * (others + 1) };
        let (sent, finished) = (self.recent_sent, self.recent_finished);
        let reported = u64::from(load.queued) + u64::from(load.running);
        // Assumes that the other hosts send as many requests as this host, and that their requests
        // end when those of this host do.
        let expected = self.unreported * others * u64::from(settings.other_hosts_weight_milli);
        let estimate = ((reported + sent) * MILLI + expected).saturating_sub(finished * MILLI);
        estimate.max(own)
    }

    /// Returns the occupancy from which no further request of a class may be sent, in thousandths
    /// of a request.
    pub fn limit_milli(&self, settings: &Settings, class: Class, starved: bool) -> u64 {
        let slots = u64::from(self.slots()) * MILLI;
        if class == Class::Urgent || starved {
            return slots + slots * u64::from(settings.urgent_queue_milli) / MILLI;
        }
        if !self.urgent {
            return slots + slots * u64::from(settings.queue_milli) / MILLI;
        }
        if self.slots() < 2 {
            return slots;
        }
        let reserved = slots * u64::from(settings.keep_free_milli) / MILLI;
        slots - reserved.max(MILLI).min(slots - MILLI)
    }

    /// Returns whether this host may send another long request.
    pub fn has_long_quota(&self) -> bool {
        self.long_quota != Some(0)
    }

    /// Computes how many long requests this host may send, from the free slots in the load report.
    ///
    /// Every reader sees the same free slots, and an excess long request would occupy a slot for a
    /// long time, so each free slot is assigned to one host. The assignment changes only every
    /// [`SLOT_OWNER_PERIOD_MS`], so that hosts with reports of different age agree on it.
    pub fn update_long_quota(&mut self, settings: &Settings, hosts: HostIndex) {
        let Some(load) = self.load else { return };
        let limit = self.limit_milli(settings, Class::Long, false);
        let free_slots = limit.saturating_sub(self.occupancy_milli(settings, 1)).div_ceil(MILLI);
        let hosts = self.reader_index.unwrap_or(hosts);
        let period = load.at_ms / SLOT_OWNER_PERIOD_MS;
        let owner = |slot| mix64(self.hash ^ mix64(period) ^ slot) % u64::from(hosts.count);
        let owned = (0..free_slots).filter(|&slot| owner(slot) == u64::from(hosts.index));
        self.long_quota = Some(owned.count() as u64);
    }

    pub fn record_sent(&mut self, now: Duration, class: Class) {
        self.in_flight += 1;
        *self.in_flight_by_time.entry(now).or_default() += 1;
        self.unreported += 1;
        if class == Class::Long {
            self.long_quota = self.long_quota.map(|quota| quota.saturating_sub(1));
        }
        self.record_change(now, LoadChange::Sent);
        if self.failures > 0 {
            self.trial_until = Some(now + TRIAL_TIMEOUT);
        }
    }

    /// Records the end of a request that was sent at `sent_at`.
    pub fn record_finished(&mut self, now: Duration, sent_at: Duration) {
        let Some(in_flight) = self.in_flight.checked_sub(1) else { return };
        self.in_flight = in_flight;
        self.remove_in_flight(sent_at);
        self.long_quota = self.long_quota.map(|quota| quota + 1);
        self.record_change(now, LoadChange::Finished);
    }

    fn remove_in_flight(&mut self, sent_at: Duration) {
        let Some(count) = self.in_flight_by_time.get_mut(&sent_at) else { return };
        *count -= 1;
        if *count == 0 {
            self.in_flight_by_time.remove(&sent_at);
        }
        if sent_at >= self.reported_until {
            self.unreported -= 1;
        }
    }

    fn record_change(&mut self, now: Duration, change: LoadChange) {
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

    fn recent_count(&mut self, change: LoadChange) -> &mut u64 {
        match change {
            LoadChange::Sent => &mut self.recent_sent,
            LoadChange::Finished => &mut self.recent_finished,
        }
    }

    pub fn set_load(&mut self, now: Duration, load: Load, max_age: Duration) {
        let reported_until = now.saturating_sub(max_age);
        while self.recent.front().is_some_and(|(at, _)| *at < reported_until) {
            self.forget_oldest();
        }
        self.reported_until = reported_until;
        self.unreported = self
            .in_flight_by_time
            .range(reported_until..)
            .map(|(_, count)| u64::from(*count))
            .sum();
        self.load = Some(load);
    }

    pub fn set_state(&mut self, models: Vec<Model>, leaving: bool) {
        self.models = Some(models);
        self.state_leaving = leaving;
    }

    pub fn set_listed(&mut self, leaving: bool) {
        self.listed_leaving = leaving;
    }

    pub fn record_refusal(&mut self, now: Duration, refusal: Refusal) {
        self.trial_until = None;
        match refusal {
            Refusal::Leaving => self.refused_leaving = Some(now + LEAVING_REFUSAL_HOLD),
            Refusal::Busy(duration) => self.busy_until = self.busy_until.max(now + duration),
            Refusal::Model(model) => {
                let models = self.models.get_or_insert_with(|| self.record.models.clone());
                models
                    .retain(|loaded| loaded.name != model.name || loaded.adapter != model.adapter);
            }
        }
    }

    pub fn record_success(&mut self) {
        self.failures = 0;
        self.trial_until = None;
    }

    /// Records a failure and starts a backoff.
    ///
    /// Failures during a backoff are ignored: they are of requests that were sent before it began.
    pub fn record_failure(&mut self, now: Duration, rng: &mut StdRng) {
        self.trial_until = None;
        if now < self.failed_until {
            return;
        }
        self.failures = self.failures.saturating_add(1);
        let max_backoff = retry::backoff(FAILURE_BACKOFF, MAX_FAILURE_BACKOFF, self.failures);
        self.failed_until = now + retry::jitter(max_backoff, rng);
    }
}
