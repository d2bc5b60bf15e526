//! How fast a backend server works, compared with the usual speed of its service.
//!
//! There are two sources. A response may report how long work takes now on the machine; this
//! changes many times per second, so that a report is used for half a second only and counts less
//! the older it is. In addition, the shortest time between two events of a stream shows how long a
//! step of a model engine takes: the queue and the prompts of other requests only lengthen it.
//! Engines that are slower for good are found by comparing this time with that of the other engines.
//! An engine whose steps are all much longer than before for most of a second, and even, has become
//! slow; prompts lengthen steps by different times.
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
const SAMPLE_TIME: Duration = Duration::from_secs(2);

/// Number of kept samples, and the age at which they are dropped.
const SAMPLES: (usize, Duration) = (12, Duration::from_secs(30));

/// Factor by which gaps must differ from the earlier ones to be a sudden change.
const SUDDEN_CHANGE: u32 = 3;

/// Time within streams, and consecutive gaps, that are needed for an estimate. Prompts of other
/// requests rarely lengthen all steps for this time, and a sudden change has to be detected within a
/// second.
const MIN_OBSERVED: (Duration, u32) = (Duration::from_millis(750), 3);

/// Time for which a disturbance is remembered, and the time in percent of it that is needed for a
/// sudden change. Where long prompts follow each other all the time, an engine may have no usual step
/// for a second; hosts that took this for a slow machine sent the prompts elsewhere, and away from the
/// cached parts.
const DISTURBANCE_TIME: Duration = Duration::from_secs(30);
const DISTURBANCE_PERCENT: u32 = 150;

/// Longest time that is needed for a sudden change.
const MAX_SLOW_TIME: Duration = Duration::from_secs(4);

/// Multiple of the needed time from which a time without usual steps was no disturbance but a slow
/// machine that has recovered.
const MAX_DISTURBANCE: u32 = 4;

/// Factor up to which gaps are about as long as the shortest one, and the least percentage of them at
/// a slow machine.
const EVEN_GAPS: (f64, u32) = (1.2, 60);

/// Consecutive gaps that show that an engine is as fast as before.
const MIN_FAST_GAPS: u32 = 2;

/// Time without gaps after which slow ones are no longer added to those before.
const MAX_INTERRUPTION: Duration = Duration::from_secs(1);

/// Events that arrive within this time of each other were delayed on their way and count as one.
const BURST_TIME: Duration = Duration::from_millis(2);

/// Shortest gap within [`SAMPLE_TIME`].
#[derive(Debug, Clone, Copy)]
struct Sample {
    /// Number of the period since the time zero.
    period: u64,
    shortest: Duration,
}

/// Consecutive gaps: what was observed of an engine, without counting the time twice if several
/// streams run there.
#[derive(Debug, Clone, Copy)]
struct Observed {
    shortest: Duration,
    time: Duration,
    gaps: u32,
    /// Gaps that are about as long as the shortest one.
    even_gaps: u32,
}

impl Observed {
    /// Its shortest gap is longer than any that is recorded, and can be multiplied.
    const NOTHING: Self =
        Self { shortest: Duration::from_secs(3600), time: Duration::ZERO, gaps: 0, even_gaps: 0 };

    fn add(&mut self, gap: Duration, time: Duration, is_consecutive: bool) {
        self.time = self.time.saturating_add(time);
        if is_consecutive {
            if gap < self.shortest.mul_f64(1.0 / EVEN_GAPS.0) {
                self.even_gaps = 0;
            }
            self.gaps = self.gaps.saturating_add(1);
            self.even_gaps += u32::from(gap <= self.shortest.mul_f64(EVEN_GAPS.0));
        }
        self.shortest = self.shortest.min(gap);
    }

    /// Returns whether most gaps are as long as the shortest one. Those of a slow machine are; prompts
    /// lengthen steps by different times.
    fn is_even(&self) -> bool {
        u64::from(self.even_gaps) * 100 >= u64::from(self.gaps) * u64::from(EVEN_GAPS.1)
    }

    fn suffices(&self, min_time: Duration) -> bool {
        self.time >= min_time && self.gaps >= MIN_OBSERVED.1
    }
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
    /// Estimated shortest time between events, and when the last gap ended.
    gap: Option<Duration>,
    gap_at: Duration,
    /// Estimated shortest time between events of the service's engines.
    usual_gap: Option<Duration>,
    /// End of the last gap that was counted as a consecutive one.
    consecutive_end: Duration,
    /// All that was observed.
    total: Observed,
    /// What was observed since the last gap that was about as short as before.
    slow: Observed,
    /// Longest time without a gap as short as before that a short one ended, and when that was.
    disturbance: Option<(Duration, Duration)>,
    /// Consecutive gaps that are much shorter than before.
    fast_gaps: u32,
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
            usual_gap: None,
            consecutive_end: Duration::ZERO,
            total: Observed::NOTHING,
            slow: Observed::NOTHING,
            disturbance: None,
            fast_gaps: 0,
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
        // Streams share the steps, so that gaps of other streams at the same time prove nothing new.
        let time = now.saturating_sub(self.consecutive_end).min(gap);
        let is_consecutive = time >= gap / 2;
        if is_consecutive {
            self.consecutive_end = now;
        }
        self.remove_expired(now);
        self.total.add(gap, time, is_consecutive);
        self.record_change(now, gap, time, is_consecutive);
        self.add_sample(now, gap);
        self.gap_at = now;
        if self.total.suffices(MIN_OBSERVED.0) {
            let is_slow = self.slow.suffices(self.min_slow_time(now)) && self.slow.is_even();
            self.gap = if is_slow { Some(self.slow.shortest) } else { self.base() };
        }
        self.update_measured(now);
    }

    /// Records whether a gap differs much from those before.
    fn record_change(
        &mut self,
        now: Duration,
        gap: Duration,
        time: Duration,
        is_consecutive: bool,
    ) {
        let Some(base) = self.base() else { return };
        let pause = now.saturating_sub(gap).saturating_sub(self.gap_at);
        let min_slow_time = self.min_slow_time(now);
        let is_slow = self.slow.suffices(min_slow_time) && self.slow.is_even();
        let max_pause = if is_slow { SAMPLES.1 } else { MAX_INTERRUPTION };
        if gap < base * SUDDEN_CHANGE {
            let is_longest = self.disturbance.is_none_or(|(longest, at)| {
                self.slow.time >= longest || now.saturating_sub(at) >= DISTURBANCE_TIME
            });
            if is_longest && self.slow.time < min_slow_time * MAX_DISTURBANCE {
                self.disturbance = Some((self.slow.time, now));
            }
            self.slow = Observed::NOTHING;
        } else if pause > max_pause {
            self.slow = Observed::NOTHING;
        }
        if gap >= base * SUDDEN_CHANGE {
            self.slow.add(gap, time, is_consecutive);
        }
        if gap > base / SUDDEN_CHANGE {
            self.fast_gaps = 0;
        } else {
            self.fast_gaps += u32::from(is_consecutive);
        }
        if self.fast_gaps >= MIN_FAST_GAPS {
            self.samples.clear();
        }
    }

    /// Returns the time without a gap as short as before after which an engine counts as slow.
    fn min_slow_time(&self, now: Duration) -> Duration {
        let is_recent = |(_, at): &(Duration, Duration)| now.saturating_sub(*at) < DISTURBANCE_TIME;
        let longest = self.disturbance.filter(is_recent).map_or(Duration::ZERO, |(time, _)| time);
        (longest * DISTURBANCE_PERCENT / 100).clamp(MIN_OBSERVED.0, MAX_SLOW_TIME)
    }

    /// Removes what was observed too long ago.
    fn remove_expired(&mut self, now: Duration) {
        let oldest = period(now.saturating_sub(SAMPLES.1));
        self.samples.retain(|sample| sample.period >= oldest);
        if self.samples.is_empty() {
            (self.total, self.slow) = (Observed::NOTHING, Observed::NOTHING);
        }
    }

    fn add_sample(&mut self, now: Duration, gap: Duration) {
        let newest = period(now);
        match self.samples.back_mut() {
            Some(sample) if sample.period >= newest => sample.shortest = sample.shortest.min(gap),
            _ => {
                if self.samples.len() == SAMPLES.0 {
                    self.samples.pop_front();
                }
                self.samples.push_back(Sample { period: newest, shortest: gap });
            }
        }
    }

    /// Returns the lower quartile of the samples: long prompts lengthen most of them at a busy engine,
    /// and a few may be too short because events before them were delayed on their way.
    fn base(&self) -> Option<Duration> {
        let mut sorted = [Duration::MAX; SAMPLES.0];
        for (place, sample) in sorted.iter_mut().zip(&self.samples) {
            *place = sample.shortest;
        }
        sorted.sort_unstable();
        (!self.samples.is_empty()).then(|| sorted[self.samples.len() / 4])
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

    /// Returns whether the engine has ever stated how long work takes.
    pub fn has_report(&self) -> bool {
        self.report.is_some()
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
        let follows_prompt = is_usual && previous / 2 >= gap;
        Some(if follows_prompt { gap } else { gap.max(previous) })
    }
}
