//! How fast a backend server works, compared with the usual speed of its service.
//!
//! There are two sources. A response may report how long work takes now on the machine; this
//! changes many times per second, so that a report is used for half a second only and counts less
//! the older it is. In addition, the shortest time between two events of a stream shows how long a
//! step of a model engine takes: the queue and the prompts of other requests only lengthen it.
//! Engines that are slower for good are found by comparing this time with that of the other engines.
//!
//! This suits engines that work on all running requests in each step and send an event per step to
//! each stream. A step takes a little longer with more requests; small differences are ignored.

use std::{collections::VecDeque, time::Duration};

/// Time in which a report loses its weight.
const REPORT_FADE: Duration = Duration::from_millis(500);

/// Reports in percent that are believed.
const REPORT_PERCENT: std::ops::RangeInclusive<f64> = 10.0..=10_000.0;

/// Lowest and highest slowness. A backend server that seems much faster than the others may only
/// have been measured wrongly, and should not attract all requests.
const SLOWNESS: (f64, f64) = (0.8, 10.0);

/// Deviation from the usual speed that is ignored. Between equal engines the number of running
/// requests and delays of this host's event loop make up to this difference.
const TOLERANCE: f64 = 0.1;

/// Measured slowness up to which it is taken for a lasting property of the machine. What exceeds it
/// has the same cause as a report of a slow machine, so that both aren't multiplied.
const MAX_LASTING_SLOWNESS: f64 = 1.5;

/// Time in which a measured lasting slowness loses half its weight while no events arrive.
const LASTING_HALF_LIFE: Duration = Duration::from_secs(20);

/// The same for the part above it. A backend server that gets no streams any more must be tried
/// again soon after it has recovered.
const CURRENT_HALF_LIFE: Duration = Duration::from_secs(3);

/// Gaps outside of these bounds are no steps of an engine.
const GAP: (Duration, Duration) = (Duration::from_millis(1), Duration::from_secs(10));

/// Time for which the shortest gap is kept as one sample.
const SAMPLE_TIME: Duration = Duration::from_millis(250);

/// Number of kept samples, and the age at which they are dropped.
const SAMPLES: (usize, Duration) = (12, Duration::from_secs(20));

/// Number of the newest samples, among them the unfinished one, in which a sudden change is looked
/// for: more than half a second, within which a single long prompt is processed, and less than the
/// second within which a change has to be detected.
const RECENT_SAMPLES: u64 = 3;

/// Factor by which recent gaps must differ from the earlier ones to replace them at once.
const SUDDEN_CHANGE: u32 = 3;

/// Consecutive gaps that are needed, so that one late event proves nothing.
const MIN_ROUNDS: u32 = 2;

/// Time after which few gaps count as well, at engines with hardly any streams.
const MAX_UNCHANGED_TIME: Duration = Duration::from_secs(3);

/// Events that arrive within this time of each other were delayed on their way and count as one.
const BURST_TIME: Duration = Duration::from_millis(2);

/// Shortest gap within [`SAMPLE_TIME`].
#[derive(Debug, Clone, Copy)]
struct Sample {
    /// Number of the period since the time zero.
    period: u64,
    shortest: Duration,
    /// Gaps of which none began before the end of the last one.
    rounds: u32,
}

/// A report of how long work takes.
#[derive(Debug, Clone, Copy)]
struct Report {
    /// Multiple of the usual time.
    factor: f64,
    at: Duration,
}

/// Speed of one backend server.
#[derive(Debug)]
pub struct Pace {
    report: Option<Report>,
    /// Measured multiple of the usual time; 1.0 if it isn't known.
    measured: f64,
    /// Estimated shortest time between events.
    gap: Option<Duration>,
    /// When the last gap ended, and when the estimate last changed.
    gap_at: Duration,
    estimated_at: Duration,
    /// Estimated shortest time between events of the service's engines.
    usual_gap: Option<Duration>,
    /// End of the last gap that was counted as a round.
    round_end: Duration,
    /// Samples with at least one gap, oldest first.
    samples: VecDeque<Sample>,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            report: None,
            measured: 1.0,
            gap: None,
            gap_at: Duration::ZERO,
            estimated_at: Duration::ZERO,
            usual_gap: None,
            round_end: Duration::ZERO,
            samples: VecDeque::new(),
        }
    }
}

impl Pace {
    /// Records a report of how long work takes now, in percent of the usual time. Values that can't
    /// be true are ignored.
    pub fn record_report(&mut self, now: Duration, percent: f64) {
        if REPORT_PERCENT.contains(&percent) {
            let factor = (percent / 100.0).clamp(SLOWNESS.0, SLOWNESS.1);
            self.report = Some(Report { factor, at: now });
        }
    }

    /// Records events of a stream that arrived together.
    pub fn record_events(&mut self, now: Duration, cadence: &mut Cadence, count: u64) {
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        if let Some(gap) = cadence.record(now, count, self.usual_gap) {
            self.record_event_gap(now, gap);
        }
    }

    /// Records the time between two events of a stream, as returned by [`Cadence::record`].
    pub fn record_event_gap(&mut self, now: Duration, gap: Duration) {
        if gap < GAP.0 || gap > GAP.1 {
            return;
        }
        let period = period(now);
        // Streams share the steps, so that gaps of other streams at the same time prove nothing new.
        let is_round = now.saturating_sub(gap / 2) >= self.round_end;
        if is_round {
            self.round_end = now;
        }
        match self.samples.back_mut() {
            Some(sample) if sample.period >= period => {
                sample.shortest = sample.shortest.min(gap);
                sample.rounds += u32::from(is_round);
            }
            _ => {
                if self.samples.len() == SAMPLES.0 {
                    self.samples.pop_front();
                }
                let rounds = u32::from(is_round);
                self.samples.push_back(Sample { period, shortest: gap, rounds });
            }
        }
        while self.samples.front().is_some_and(|own| own.period < oldest_period(now)) {
            self.samples.pop_front();
        }
        self.gap_at = now;
        self.update_gap(now);
        self.update_measured(now);
    }

    /// Sets the usual time between events of the service's engines and recalculates how slow this
    /// one is; called some times per second.
    pub fn set_usual_gap(&mut self, now: Duration, usual_gap: Option<Duration>) {
        self.usual_gap = usual_gap;
        self.update_measured(now);
    }

    /// Returns the estimated shortest time between events, if it is recent.
    pub fn event_gap(&self, now: Duration) -> Option<Duration> {
        self.gap.filter(|_| now.saturating_sub(self.gap_at) < SAMPLES.1)
    }

    /// Returns how long work takes as a multiple of the usual time; 1.0 if nothing is known.
    pub fn slowness(&self, now: Duration) -> f64 {
        let Some(report) = self.report else { return self.measured };
        let age = now.saturating_sub(report.at);
        if age >= REPORT_FADE {
            return self.measured;
        }
        let weight = 1.0 - age.as_secs_f64() / REPORT_FADE.as_secs_f64();
        let factor = 1.0 + (report.factor - 1.0) * weight;
        let product = self.measured.min(MAX_LASTING_SLOWNESS) * factor;
        let is_lasting = self.measured <= MAX_LASTING_SLOWNESS;
        let slowness = if is_lasting { product } else { product.max(self.measured) };
        slowness.clamp(SLOWNESS.0, SLOWNESS.1)
    }

    /// Returns the age of the newest report or gap on which the slowness is based.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        let report_age = self.report.map(|report| now.saturating_sub(report.at));
        let report_age = report_age.filter(|age| *age < REPORT_FADE);
        let gap_age = self.gap.map(|_| now.saturating_sub(self.gap_at));
        report_age.into_iter().chain(gap_age).min()
    }

    /// Estimates the shortest time between events anew.
    fn update_gap(&mut self, now: Duration) {
        let first_recent = period(now).saturating_sub(RECENT_SAMPLES - 1);
        let recent = self.samples.iter().filter(|sample| sample.period >= first_recent);
        let (rounds, recent) = recent.fold((0, Duration::MAX), |(rounds, shortest), sample| {
            (rounds + sample.rounds, shortest.min(sample.shortest))
        });
        let has_proof = rounds >= MIN_ROUNDS;
        let is_unchanged_for_long = now.saturating_sub(self.estimated_at) >= MAX_UNCHANGED_TIME;
        let all_rounds: u32 = self.samples.iter().map(|sample| sample.rounds).sum();
        if !has_proof && (all_rounds < MIN_ROUNDS || !is_unchanged_for_long) {
            return;
        }
        let mut sorted = [Duration::MAX; SAMPLES.0];
        for (place, sample) in sorted.iter_mut().zip(&self.samples) {
            *place = sample.shortest;
        }
        let sorted = &mut sorted[..self.samples.len()];
        sorted.sort_unstable();
        // The lower quartile: long prompts lengthen most samples at a busy engine, and a few may be
        // too short because events before them were delayed on their way.
        let Some(&usual) = sorted.get(sorted.len() / 4) else { return };
        let is_sudden = recent >= usual * SUDDEN_CHANGE || recent <= usual / SUDDEN_CHANGE;
        self.gap = Some(if has_proof && is_sudden { recent } else { usual });
        self.estimated_at = now;
    }

    /// Compares the estimate with the usual time.
    fn update_measured(&mut self, now: Duration) {
        let (Some(gap), Some(usual_gap)) = (self.gap, self.usual_gap) else {
            self.measured = 1.0;
            return;
        };
        let ratio = gap.as_secs_f64() / usual_gap.as_secs_f64();
        if (ratio - 1.0).abs() < TOLERANCE {
            self.measured = 1.0;
            return;
        }
        let ratio = ratio.clamp(SLOWNESS.0, SLOWNESS.1);
        let lasting = ratio.min(MAX_LASTING_SLOWNESS);
        let age = now.saturating_sub(self.gap_at);
        self.measured = 1.0
            + (lasting - 1.0) * weight(age, LASTING_HALF_LIFE)
            + (ratio - lasting) * weight(age, CURRENT_HALF_LIFE);
    }
}

/// Returns the weight of an estimate of this age, from 1.0 to 0.0.
fn weight(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}

/// Returns the number of the sample to which a time belongs.
fn period(now: Duration) -> u64 {
    u64::try_from(now.as_millis() / SAMPLE_TIME.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the number of the oldest sample that is kept.
fn oldest_period(now: Duration) -> u64 {
    period(now.saturating_sub(SAMPLES.1))
}

/// Returns the usual time between events of engines: their median, the lower one of two.
pub fn usual_gap(gaps: &mut [Duration]) -> Option<Duration> {
    let middle = gaps.len().checked_sub(1)? / 2;
    let (_, median, _) = gaps.select_nth_unstable(middle);
    Some(*median)
}

/// Times between the events of one stream.
#[derive(Debug, Clone, Copy, Default)]
pub struct Cadence {
    /// When the last event arrived.
    last_at: Option<Duration>,
    /// Start of the newest gap: when the last event of the burst before it arrived.
    gap_start: Option<Duration>,
    /// Events in the burst that ends the newest gap.
    burst_events: u32,
    newest_gap: Option<Duration>,
    previous_gap: Option<Duration>,
}

impl Cadence {
    /// Records events that arrived together and returns the time between two events if it is known
    /// by now.
    ///
    /// Events that arrive shortly after each other were delayed on their way; the time before them
    /// is divided by their number. Of two consecutive gaps the longer one counts: after a single late
    /// event the next gap is too short. A gap of at least about the usual one that follows a much
    /// longer one counts alone, as the engine has processed a prompt between two usual steps.
    pub fn record(
        &mut self,
        now: Duration,
        count: u32,
        usual_gap: Option<Duration>,
    ) -> Option<Duration> {
        let last_at = self.last_at.replace(now);
        if last_at.is_some_and(|at| now.saturating_sub(at) <= BURST_TIME) {
            self.burst_events = self.burst_events.saturating_add(count);
        } else {
            self.gap_start = last_at;
            self.burst_events = count;
            self.previous_gap = self.newest_gap;
        }
        let gap = now.saturating_sub(self.gap_start?) / self.burst_events.max(1);
        self.newest_gap = Some(gap);
        let previous = self.previous_gap?;
        let is_usual = usual_gap.is_some_and(|usual| gap >= usual.mul_f64(1.0 - TOLERANCE));
        let follows_prompt = is_usual && previous >= gap * 2;
        Some(if follows_prompt { gap } else { gap.max(previous) })
    }
}
