//! Compares how often requests with a part of prompts are at backend servers that end with how many
//! of all requests they are.
//!
//! A request is at risk from when it is sent until its response has gone on for some time. Where
//! backend servers end for other reasons, the requests that are at risk there are like all others:
//! as many have the part as of all requests, by the time for which they are at risk. Those with a
//! harmful part stand there far more often. Hosts tell each other in the rows of ends how long
//! their requests were at risk, so that all of them compare nearly the same figures. This suits a
//! load in which the requests of one part are few among many others.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use super::{row::EndRow, suspect::END_TTL};

/// Length of the intervals by which time at risk is kept.
const INTERVAL_MS: u64 = 500;

/// Maximum number of ends that are kept.
const MAX_ENDS: usize = 1024;

/// Maximum number of other hosts whose time at risk is kept.
const MAX_HOSTS: usize = 64;

/// Maximum number of moments at which the time at risk of another host is kept.
const MAX_TOTALS: usize = 128;

/// Time at risk of all requests from which it tells how many of them have a part.
const MIN_TIME: Duration = Duration::from_secs(10);

/// Logarithm of the likelihood ratio from which ends are not by chance: ten thousand to one.
const MIN_LOG_LIKELIHOOD: f64 = 9.2;

/// The same from which they are hardly by chance: a hundred to one.
const MIN_UNLIKELY_LOG_LIKELIHOOD: f64 = 4.6;

/// Number of ends for each that is expected by chance, from which they are not by chance.
const MIN_EXCESS: f64 = 4.0;

/// Number of ends for each that is expected by chance, up to which they may be by chance.
const MAX_CHANCE_EXCESS: f64 = 2.5;

/// Fraction of the ends up to which they may be by chance. Where so many requests are at risk that
/// nearly each end has some with the part, a harmful one can't be told by them.
const MAX_CHANCE_FRACTION: f64 = 0.8;

/// Whether requests with a part were at backend servers that ended by chance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Chance {
    /// They were there about as often as others.
    Likely,
    /// They were there more often, but there are too few ends to tell.
    Possible,
    /// They were there more often, and hardly by chance.
    Unlikely,
    /// They were there far more often.
    Excluded,
    /// There are too few other requests to tell, too few ends without the part, or none of which the
    /// requests are known.
    Unknown,
}

/// The end of a backend server.
#[derive(Debug)]
struct End {
    at_ms: u64,
    /// Number of requests that were at risk there, by host.
    requests: BTreeMap<Arc<str>, u64>,
}

impl End {
    /// Returns the number of requests that were at risk there, at all hosts.
    fn requests(&self) -> u64 {
        self.requests.values().sum()
    }
}

/// Ends under a part, and for how long requests with it were at risk.
pub struct Observation<'a> {
    /// Backend servers that ended while requests with it were at risk there.
    pub ends: &'a BTreeMap<Arc<str>, u64>,
    /// Backend servers that ended for a known reason, which don't count.
    pub is_explained: &'a dyn Fn(&Arc<str>) -> bool,
    /// When the first of them ended, with which the observation began.
    pub since_ms: u64,
    /// When a request with it was last at risk.
    pub until_ms: u64,
    /// Time at risk since then.
    pub time: Duration,
}

/// Requests that were at risk lately, and the ends of backend servers.
#[derive(Debug, Default)]
pub struct Exposures {
    /// Number of each interval and the time at risk that ended in it, in milliseconds.
    times: VecDeque<(u64, u64)>,
    total: Duration,
    /// Ends by the name of the process.
    ends: BTreeMap<Arc<str>, End>,
    /// Time for which the requests of other hosts were at risk since their processes started, in
    /// milliseconds, at different moments.
    totals: BTreeMap<Arc<str>, VecDeque<(u64, u64)>>,
    /// Number of changes so far; further time at risk counts once in each interval.
    version: u64,
}

impl Exposures {
    /// Records that a request was at risk at this host for a time, which ends now.
    pub fn record(&mut self, now_ms: u64, time: Duration) {
        self.total += time;
        let (interval, time_ms) = (now_ms / INTERVAL_MS, time.as_millis() as u64);
        match self.times.back_mut() {
            Some((last, sum)) if *last >= interval => *sum += time_ms,
            _ => {
                self.version += 1;
                self.times.push_back((interval, time_ms));
            }
        }
        let oldest_ms = now_ms.saturating_sub(END_TTL.as_millis() as u64);
        while self.times.pop_front_if(|(own, _)| *own < oldest_ms / INTERVAL_MS).is_some() {}
        self.ends.retain(|_, end| end.at_ms >= oldest_ms);
    }

    /// Returns a number that changes when a comparison may turn out differently.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the time for which requests were at risk at this host since its process started.
    pub fn total(&self) -> Duration {
        self.total
    }

    /// Records what a host observed at an end; of one end, it may observe more later.
    pub fn record_end(&mut self, row: &EndRow) {
        let instance = row.instance();
        if self.ends.len() >= MAX_ENDS && !self.ends.contains_key(&instance) {
            return;
        }
        self.version += 1;
        let new_end = || End { at_ms: row.at_ms, requests: BTreeMap::new() };
        let end = self.ends.entry(instance).or_insert_with(new_end);
        end.at_ms = end.at_ms.min(row.at_ms);
        let requests = end.requests.entry(row.host.clone()).or_default();
        *requests = row.requests.max(*requests);
    }

    /// Records for how long the requests of another host were at risk until an end.
    pub fn record_total(&mut self, row: &EndRow) {
        if self.totals.len() >= MAX_HOSTS && !self.totals.contains_key(&row.host) {
            return;
        }
        let totals = self.totals.entry(row.host.clone()).or_default();
        let index = totals.partition_point(|(at_ms, _)| *at_ms < row.at_ms);
        if totals.get(index).is_none_or(|(at_ms, _)| *at_ms != row.at_ms) {
            totals.insert(index, (row.at_ms, row.total_risk_ms));
        }
        if totals.len() > MAX_TOTALS {
            totals.pop_front();
        }
    }

    /// Forgets the end of a backend server that turned out to run.
    pub fn discard_end(&mut self, instance: &str) {
        self.version += 1;
        self.ends.remove(instance);
    }

    /// Returns the time for which the requests of all hosts were at risk, at least.
    fn time_between(&self, since_ms: u64, until_ms: u64) -> Duration {
        let intervals = since_ms / INTERVAL_MS..=until_ms / INTERVAL_MS;
        let own = self.times.iter().filter(|(interval, _)| intervals.contains(interval));
        let mut time_ms: u64 = own.map(|(_, time_ms)| time_ms).sum();
        for totals in self.totals.values() {
            let in_time = totals.iter().filter(|(at_ms, _)| (since_ms..=until_ms).contains(at_ms));
            let passed = in_time.clone().zip(in_time.skip(1));
            // A smaller total is that of another process on the host, which begins anew.
            time_ms += passed.map(|(from, to)| to.1.saturating_sub(from.1)).sum::<u64>();
        }
        Duration::from_millis(time_ms)
    }

    /// Returns whether requests with a part were at backend servers that ended by chance.
    ///
    /// The likelihood of the ends after the first, given how many requests were at risk at each, is
    /// compared with that by chance.
    pub fn chance(&self, observed: &Observation<'_>) -> Chance {
        let all = self.time_between(observed.since_ms, observed.until_ms);
        if all < MIN_TIME {
            return Chance::Unknown;
        }
        let part_fraction = (observed.time.as_secs_f64() / all.as_secs_f64()).clamp(0.0, 1.0);
        let later = observed.since_ms + 1..=observed.until_ms;
        let ends = self.ends.iter().filter(|(backend, end)| {
            later.contains(&end.at_ms) && end.requests() > 0 && !(observed.is_explained)(backend)
        });
        let by_chance = |end: &End| 1.0 - (1.0 - part_fraction).powf(end.requests() as f64);
        let ends: Vec<(bool, f64)> = ends
            .map(|(backend, end)| (observed.ends.contains_key(backend), by_chance(end)))
            .collect();
        if ends.is_empty() {
            return Chance::Unknown;
        }
        let (count, expected) = (ends.len() as f64, ends.iter().map(|end| end.1).sum::<f64>());
        let with_part = ends.iter().filter(|end| end.0).count() as f64;
        let fraction = with_part / count;
        if with_part < expected * MAX_CHANCE_EXCESS {
            let is_told = fraction <= MAX_CHANCE_FRACTION;
            return if is_told { Chance::Likely } else { Chance::Unknown };
        }
        let log_likelihood: f64 = ends
            .iter()
            .map(|(has_part, by_chance)| match has_part {
                true => (fraction / by_chance).ln(),
                false => ((1.0 - fraction) / (1.0 - by_chance)).ln(),
            })
            .sum();
        if with_part >= expected * MIN_EXCESS && log_likelihood >= MIN_LOG_LIKELIHOOD {
            Chance::Excluded
        } else if log_likelihood >= MIN_UNLIKELY_LOG_LIKELIHOOD {
            Chance::Unlikely
        } else {
            Chance::Possible
        }
    }
}
