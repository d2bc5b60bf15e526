//! Speed of backend servers, by their reports and by the times between events.

use std::time::Duration;

use gateway::pace::{Cadence, Pace, usual_gap};
use test_case::test_case;

const USUAL_GAP: Duration = ms(30);

/// Start of the first stream, far from the time zero.
const START: Duration = Duration::from_secs(100);

const fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// A stream whose host compares it with the usual gap as often as `placement` does.
struct Stream {
    pace: Pace,
    cadence: Cadence,
    now: Duration,
    usual_at: Duration,
}

impl Stream {
    fn new(now: Duration) -> Self {
        let pace = Pace::default();
        Self { pace, cadence: Cadence::default(), now, usual_at: Duration::ZERO }
    }

    /// Lets the next event arrive after a time; returns the slowness then.
    fn advance(&mut self, gap: Duration) -> f64 {
        self.now += gap;
        self.pace.record_events(self.now, &mut self.cadence, 1);
        if self.now - self.usual_at >= ms(250) {
            self.usual_at = self.now;
            self.pace.set_usual_gap(self.now, Some(USUAL_GAP));
        }
        self.pace.slowness(self.now)
    }

    /// Lets events arrive at the same gap for a time; returns the highest slowness meanwhile.
    fn run(&mut self, gap: Duration, time: Duration) -> f64 {
        let end = self.now + time;
        let mut highest = 0.0_f64;
        while self.now + gap <= end {
            highest = highest.max(self.advance(gap));
        }
        highest
    }

    fn slowness_after(&self, time: Duration) -> f64 {
        self.pace.slowness(self.now + time)
    }
}

struct ReportCase {
    name: &'static str,
    percent: f64,
    after: Duration,
    least: f64,
    most: f64,
}

/// Guards against slow reports that are used for longer than they hold, and against values that
/// can't be true.
#[test]
fn reports_fade_within_half_a_second_and_absurd_ones_say_nothing() {
    let case = |name, percent, after, (least, most)| ReportCase {
        name,
        percent,
        after: ms(after),
        least,
        most,
    };
    let cases = [
        case("a usual time", 100.0, 0, (1.0, 1.0)),
        case("just reported", 325.0, 0, (3.25, 3.25)),
        case("half faded", 325.0, 250, (2.0, 2.2)),
        case("nearly faded", 325.0, 450, (1.1, 1.3)),
        case("faded", 325.0, 500, (1.0, 1.0)),
        case("long ago", 325.0, 60_000, (1.0, 1.0)),
        case("the lowest that is believed is bounded", 10.0, 0, (0.8, 0.8)),
        case("the highest that is believed is bounded", 10_000.0, 0, (10.0, 10.0)),
        case("too low", 9.9, 0, (1.0, 1.0)),
        case("too high", 10_001.0, 0, (1.0, 1.0)),
        case("zero", 0.0, 0, (1.0, 1.0)),
        case("negative", -300.0, 0, (1.0, 1.0)),
        case("no number", f64::NAN, 0, (1.0, 1.0)),
        case("infinite", f64::INFINITY, 0, (1.0, 1.0)),
    ];
    for case in cases {
        let mut pace = Pace::default();
        pace.record_report(START, case.percent);
        let slowness = pace.slowness(START + case.after);
        assert!((case.least..=case.most).contains(&slowness), "{}: {slowness}", case.name);
    }
}

/// Guards against an absurd report that replaces a true one, and against the clock's edges.
#[test]
fn absurd_report_leaves_the_former_in_force() {
    let mut pace = Pace::default();
    pace.record_report(START, 250.0);
    pace.record_report(START + ms(10), 1e300);
    assert!(pace.slowness(START + ms(10)) > 2.0);
    assert_eq!(pace.age(START + ms(10)), Some(ms(10)));
    assert!(pace.slowness(Duration::ZERO) > 2.0, "a time before the report");
    assert_eq!(pace.slowness(Duration::MAX), 1.0);
}

struct GapCase {
    /// Gaps in milliseconds; a burst of events has gaps of zero.
    gaps: &'static [u64],
    /// Highest slowness while nothing else is known of the engine.
    most: f64,
}

/// Guards against a sound engine that is avoided because of one late event.
#[test_case(GapCase { gaps: &[400], most: 1.0 }; "one late event")]
#[test_case(GapCase { gaps: &[700], most: 1.0 }; "later than the time in which a sudden change is looked for")]
#[test_case(GapCase { gaps: &[400, 30, 400], most: 1.0 }; "two late events")]
#[test_case(GapCase { gaps: &[240, 30, 240, 30, 240, 30, 240, 30, 240], most: 1.0 }; "a long prompt in every other step")]
#[test_case(GapCase { gaps: &[120, 0, 0, 0], most: 1.0 }; "events that were delayed together")]
#[test_case(GapCase { gaps: &[59, 1, 59, 1, 59, 1], most: 1.0 }; "events that come in pairs")]
#[test_case(GapCase { gaps: &[45, 15, 45, 15, 45, 15], most: 1.5 }; "every other event is late")]
fn late_events_prove_nothing(case: GapCase) {
    for start in 0..30 {
        for is_known in [true, false] {
            let mut stream = Stream::new(START + ms(start * 10));
            if is_known {
                assert_eq!(stream.run(USUAL_GAP, ms(5000)), 1.0);
            }
            let late: Vec<f64> = case.gaps.iter().map(|&gap| stream.advance(ms(gap))).collect();
            let after = stream.run(USUAL_GAP, ms(3000));
            let most = if is_known { 1.0 } else { case.most };
            assert!(late.iter().all(|&own| own <= most), "start {start}, {is_known}: {late:?}");
            assert!(after <= most, "start {start}, {is_known}: {after}");
            assert_eq!(stream.slowness_after(ms(0)), 1.0, "start {start}, {is_known}");
        }
    }
}

/// Guards against an engine that is busy with prompts in all steps and is taken for a slow machine, and
/// against one that is slow and isn't noticed since some prompts are processed there.
#[test]
fn even_steps_tell_a_slow_machine_from_long_prompts() {
    struct Case {
        name: &'static str,
        steps_ms: &'static [u64],
        is_slow: bool,
    }
    let cases = [
        Case {
            name: "prompts in all steps",
            steps_ms: &[110, 240, 150, 400, 190, 310, 120],
            is_slow: false,
        },
        Case {
            name: "slow, and a prompt in one of four steps",
            steps_ms: &[150, 150, 150, 550],
            is_slow: true,
        },
    ];
    for case in cases {
        let mut stream = Stream::new(START);
        stream.run(USUAL_GAP, ms(5000));
        for &step_ms in case.steps_ms.iter().cycle().take(12) {
            stream.advance(ms(step_ms));
        }
        let slowness = stream.slowness_after(ms(0));
        assert_eq!(slowness > 3.0, case.is_slow, "{}: {slowness}", case.name);
    }
}

/// Guards against a late event that is believed because what was known before has expired.
#[test]
fn late_event_after_a_long_time_without_streams_proves_nothing() {
    for pause in [ms(20_000), ms(29_000), ms(31_000), ms(60_000)] {
        let mut stream = Stream::new(START);
        stream.run(USUAL_GAP, ms(5000));
        stream.cadence = Cadence::default();
        for gap in [pause, ms(400), ms(400), USUAL_GAP, USUAL_GAP] {
            assert_eq!(stream.advance(gap), 1.0, "{pause:?}");
        }
    }
}

/// Guards against an overflow at times that no clock shows.
#[test]
fn cadence_bears_any_time() {
    let mut cadence = Cadence::default();
    for now in [START, Duration::ZERO, Duration::MAX, START, Duration::MAX, Duration::MAX] {
        cadence.record(now, u32::MAX, Some(Duration::MAX));
    }
}

/// Guards against an engine that gets requests for long after it has become slow, and against one
/// that is avoided for long after it has recovered.
#[test_case(5.0, 20; "five times slower, short steps")]
#[test_case(5.0, 30; "five times slower")]
#[test_case(8.0, 30; "eight times slower")]
fn engine_that_turns_slow_is_noticed_within_a_second(factor: f64, step_ms: u64) {
    for phase in 0..50 {
        let mut stream = Stream::new(START + ms(phase * 5));
        let step = ms(step_ms);
        assert!(stream.run(step, ms(6000)) <= 1.0, "phase {phase}");
        stream.run(step.mul_f64(factor), ms(1000));
        let slowness = stream.slowness_after(ms(0));
        assert!(slowness >= 3.0, "phase {phase}: {slowness} after a second");
        stream.run(step.mul_f64(factor), ms(5000));
        assert!(stream.slowness_after(ms(0)) >= 3.0, "phase {phase}");
        stream.run(step, ms(1000));
        let slowness = stream.slowness_after(ms(0));
        assert!(slowness <= 1.0, "phase {phase}: {slowness} after its recovery");
    }
}

/// Guards against a verdict that ends with the last stream of a slow engine, and against one that
/// lasts although nothing is known of the engine any more.
#[test]
fn estimates_fade_when_no_events_arrive() {
    struct Case {
        factor: f64,
        after_s: f64,
        least: f64,
        most: f64,
    }
    let cases = [
        Case { factor: 1.3, after_s: 1.0, least: 1.25, most: 1.35 },
        Case { factor: 1.3, after_s: 20.0, least: 1.1, most: 1.2 },
        Case { factor: 1.3, after_s: 120.0, least: 1.0, most: 1.02 },
        Case { factor: 5.0, after_s: 1.0, least: 3.0, most: 5.0 },
        Case { factor: 5.0, after_s: 15.0, least: 1.0, most: 1.5 },
        Case { factor: 5.0, after_s: 120.0, least: 1.0, most: 1.02 },
    ];
    for case in cases {
        let mut stream = Stream::new(START);
        stream.run(USUAL_GAP.mul_f64(case.factor), ms(5000));
        let now = stream.now + Duration::from_secs_f64(case.after_s);
        stream.pace.set_usual_gap(now, Some(USUAL_GAP));
        let slowness = stream.pace.slowness(now);
        let (factor, after_s) = (case.factor, case.after_s);
        assert!(
            (case.least..=case.most).contains(&slowness),
            "{factor} after {after_s} s: {slowness}"
        );
        let age = stream.pace.age(now).expect("an estimate").as_secs_f64();
        assert!((after_s..after_s + 0.2).contains(&age), "{age}");
    }
}

/// Guards against a deployment of equal engines that is served differently than before.
#[test]
fn small_differences_count_as_the_usual_speed() {
    for step_ms in [28, 30, 32] {
        let mut stream = Stream::new(START);
        assert_eq!(stream.run(ms(step_ms), ms(5000)), 1.0, "{step_ms} ms");
    }
    let pace = Pace::default();
    assert_eq!((pace.slowness(START), pace.age(START)), (1.0, None));
}

/// Guards against a machine that is counted as slow twice, by its report and by its events.
#[test]
fn report_and_measured_speed_are_combined() {
    struct Case {
        factor: f64,
        percent: f64,
        slowness: f64,
    }
    let cases = [
        Case { factor: 1.3, percent: 100.0, slowness: 1.3 },
        Case { factor: 1.3, percent: 200.0, slowness: 2.6 },
        Case { factor: 5.0, percent: 100.0, slowness: 5.0 },
        Case { factor: 5.0, percent: 500.0, slowness: 7.5 },
        Case { factor: 9.0, percent: 10_000.0, slowness: 10.0 },
    ];
    for case in cases {
        let mut stream = Stream::new(START);
        stream.run(USUAL_GAP.mul_f64(case.factor), ms(5000));
        stream.pace.record_report(stream.now, case.percent);
        let slowness = stream.slowness_after(ms(0));
        assert!((slowness - case.slowness).abs() < 0.05, "{}: {slowness}", case.percent);
    }
}

/// Guards against times that overflow or divide by zero.
#[test]
fn absurd_gaps_are_ignored() {
    let mut pace = Pace::default();
    for gap in [Duration::ZERO, Duration::from_nanos(1), Duration::from_secs(11), Duration::MAX] {
        for number in 0..100 {
            pace.record_event_gap(START + ms(number * 40), gap);
        }
    }
    pace.set_usual_gap(START, Some(USUAL_GAP));
    assert_eq!((pace.slowness(START), pace.event_gap(START)), (1.0, None));
    for now in [Duration::MAX, Duration::ZERO, START] {
        pace.record_event_gap(now, USUAL_GAP);
        assert!(pace.slowness(now).is_finite());
    }
}

/// Guards against gaps that are too short after events that were delayed on their way to this host.
#[test]
fn delayed_events_dont_shorten_the_time_between_events() {
    struct Case {
        name: &'static str,
        /// Times in milliseconds at which events arrive, and their numbers.
        events: &'static [(u64, u32)],
        shortest_ms: Option<u64>,
    }
    let cases = [
        Case { name: "one gap", events: &[(0, 1), (30, 1)], shortest_ms: None },
        Case { name: "two gaps", events: &[(0, 1), (30, 1), (60, 1)], shortest_ms: Some(30) },
        Case {
            name: "one event is late",
            events: &[(0, 1), (30, 1), (85, 1), (90, 1), (120, 1), (150, 1)],
            shortest_ms: Some(30),
        },
        Case {
            name: "events that arrived in one read",
            events: &[(0, 1), (30, 1), (120, 3), (150, 1)],
            shortest_ms: Some(30),
        },
        Case {
            name: "events that were read one after the other",
            events: &[(0, 1), (30, 1), (120, 1), (120, 1), (120, 1), (150, 1)],
            shortest_ms: Some(30),
        },
        Case {
            name: "a long prompt in every other step",
            events: &[(0, 1), (240, 1), (270, 1), (510, 1)],
            shortest_ms: Some(30),
        },
        Case { name: "no event", events: &[(0, 0), (30, 0), (60, 0)], shortest_ms: Some(30) },
    ];
    for case in cases {
        let mut cadence = Cadence::default();
        let events = case.events.iter();
        let gaps = events
            .filter_map(|&(at, count)| cadence.record(START + ms(at), count, Some(USUAL_GAP)));
        assert_eq!(gaps.min(), case.shortest_ms.map(ms), "{}", case.name);
    }
}

#[test]
fn usual_gap_is_the_median() {
    struct Case {
        gaps_ms: &'static [u64],
        usual_ms: Option<u64>,
    }
    let cases = [
        Case { gaps_ms: &[], usual_ms: None },
        Case { gaps_ms: &[50], usual_ms: Some(50) },
        Case { gaps_ms: &[50, 30], usual_ms: Some(30) },
        Case { gaps_ms: &[39, 30, 39, 30, 29], usual_ms: Some(30) },
        Case { gaps_ms: &[150, 30, 1, 150, 31], usual_ms: Some(31) },
    ];
    for case in cases {
        let mut gaps: Vec<_> = case.gaps_ms.iter().map(|&gap| ms(gap)).collect();
        assert_eq!(usual_gap(&mut gaps), case.usual_ms.map(ms), "{:?}", case.gaps_ms);
    }
}
