//! Loads of long prompts on engines of different speed, with and without what streams and reports
//! tell of the speed.

use std::{
    collections::{HashSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use gateway::{
    backend::{Entry, HealthSignal, Load},
    pace::Cadence,
    placement::{Backends, Decision, Requirements},
    request::Prompt,
    timing::Timing,
};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};
use test_case::test_case;

const ENGINES: usize = 12;
const SEEDS: u64 = 6;
const HOSTS: usize = 5;
const SLOTS: u32 = 64;

/// Sessions whose prompts share their first half.
const SESSIONS: u64 = 400;
const PROMPT: (u64, u64) = (8000, 4000);

/// Events of a stream.
const EVENTS: u32 = 60;

/// Prompt tokens that an engine processes in one step, and per millisecond.
const STEP_TOKENS: u64 = 8192;
const TOKENS_PER_MS: f64 = 50.0;

/// Time of a step in milliseconds, and what each stream adds.
const STEP_MS: (f64, f64) = (18.0, 0.3);

/// Start and end of the time in milliseconds in which requests are measured.
const MEASURED: (u64, u64) = (10_000, 40_000);

#[derive(Debug, Clone, Copy)]
struct Case {
    /// Requests per second.
    per_s: f64,
    /// Slowness of every third engine for good, which none of them reports.
    lasting: f64,
    /// Whether machines are slower for some moments, which they report.
    varies: bool,
    /// Largest allowed ratios of the times to the first event and of the longest pauses, of the
    /// streams at the 95th percentile: with the speed of engines to without it.
    first: f64,
    gap: f64,
}

/// Time to the first event and longest pause, at the 95th percentile of the streams.
#[derive(Debug, Clone, Copy)]
struct Measured {
    first_p95_ms: f64,
    gap_p95_ms: f64,
}

struct Stream {
    host: usize,
    arrived_ms: u64,
    prefill_tokens: u64,
    /// Prompt tokens that the engine has still to process.
    unread: u64,
    events_left: u32,
    cadence: Cadence,
    timing: Timing,
}

struct Engine {
    id: Arc<str>,
    lasting: f64,
    /// Factor for the moment, and when it changes.
    current: (f64, u64),
    cached: HashSet<u64>,
    waiting: VecDeque<Stream>,
    running: Vec<Stream>,
    /// End of the step.
    busy_until: f64,
}

impl Engine {
    fn is_busy(&self) -> bool {
        !self.waiting.is_empty() || !self.running.is_empty()
    }

    fn vary(&mut self, now_ms: u64, rng: &mut StdRng) {
        if now_ms < self.current.1 {
            return;
        }
        let factor = match rng.random_range(0.0..1.0) {
            0.0..0.75 => 1.0,
            0.75..0.9 => rng.random_range(1.3..2.0),
            _ => rng.random_range(2.5..3.25),
        };
        self.current = (factor, now_ms + rng.random_range(100..400));
    }

    /// Ends the step and begins the next one; returns the streams that get an event.
    fn step(&mut self, now_ms: u64) -> Vec<usize> {
        if (now_ms as f64) < self.busy_until {
            return Vec::new();
        }
        let ready: Vec<usize> =
            (0..self.running.len()).filter(|&index| self.running[index].unread == 0).collect();
        while self.running.len() < SLOTS as usize
            && let Some(stream) = self.waiting.pop_front()
        {
            self.running.push(stream);
        }
        let mut budget = STEP_TOKENS;
        for stream in &mut self.running {
            let tokens = stream.unread.min(budget);
            stream.unread -= tokens;
            budget -= tokens;
        }
        if !self.running.is_empty() {
            let prefill_ms = (STEP_TOKENS - budget) as f64 / TOKENS_PER_MS;
            let step_ms = STEP_MS.0 + STEP_MS.1 * self.running.len() as f64 + prefill_ms;
            let start = self.busy_until.max(now_ms as f64 - 1.0);
            self.busy_until = start + step_ms * self.lasting * self.current.0;
        }
        ready
    }
}

/// Runs a load; the hosts learn the speed of engines only if `is_measured`.
fn run(case: Case, seed: u64, is_measured: bool) -> Measured {
    let mut rng = StdRng::seed_from_u64(seed);
    let entry = |number: usize| Entry {
        id: format!("e{number}").into(),
        service: "s".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "a".into(),
        slots: SLOTS,
        draining: false,
        started_unix_ms: 1,
        sequence: 1,
        cold_until_ms: 0,
    };
    let entries: Vec<_> = (0..ENGINES).map(entry).collect();
    let mut hosts: Vec<Backends> = (0..HOSTS)
        .map(|host| {
            let rng = StdRng::seed_from_u64(seed * 100 + host as u64);
            let mut backends = Backends::new(&format!("h{host}"), rng);
            backends.replace(Duration::ZERO, entries.clone(), false);
            backends
        })
        .collect();
    let mut engines: Vec<Engine> = (0..ENGINES)
        .map(|number| Engine {
            id: entries[number].id.clone(),
            lasting: if number % 3 == 0 { case.lasting } else { 1.0 },
            current: (1.0, 0),
            cached: HashSet::new(),
            waiting: VecDeque::new(),
            running: Vec::new(),
            busy_until: 0.0,
        })
        .collect();
    let (mut firsts, mut gaps) = (Vec::new(), Vec::new());
    let mut now_ms = 0;
    while now_ms < MEASURED.1 || engines.iter().any(Engine::is_busy) {
        now_ms += 1;
        let now = Duration::from_millis(now_ms);
        for engine in &mut engines {
            if case.varies {
                engine.vary(now_ms, &mut rng);
            }
            let ready = engine.step(now_ms);
            for &index in ready.iter().rev() {
                let stream = &mut engine.running[index];
                let backends = &mut hosts[stream.host];
                backends.record_activity(now, &engine.id);
                let backend = backends.get_mut(&engine.id).expect("listed");
                if stream.timing.first().is_none() {
                    backend.finish_prefill(stream.prefill_tokens);
                }
                if is_measured {
                    backend.pace.record_events(now, &mut stream.cadence, 1);
                }
                stream.timing.record(now - Duration::from_millis(stream.arrived_ms));
                stream.events_left -= 1;
                if stream.events_left == 0 {
                    let stream = engine.running.remove(index);
                    backends.finish_request(now, &engine.id, HealthSignal::Healthy);
                    if stream.arrived_ms >= MEASURED.0 {
                        let time =
                            |time: Option<Duration>| time.expect("events").as_millis() as u64;
                        firsts.push(time(stream.timing.first()));
                        gaps.push(time(stream.timing.max_gap()));
                    }
                }
            }
        }
        if now_ms >= MEASURED.1 || !rng.random_bool(case.per_s / 1000.0) {
            continue;
        }
        let session = rng.random_range(0..SESSIONS);
        let host = rng.random_range(0..HOSTS);
        let part = format!("session {session}");
        let prompt = Prompt::new(PROMPT.0, u64::from(EVENTS), [(part.as_str(), PROMPT.1)]);
        let requirements = Requirements {
            service: "s",
            zone: "a",
            prompt: Some(&prompt),
            memory: None,
            tried: &[],
            target_latency: Duration::from_secs(1),
            time_left: Duration::from_secs(15),
            priority: 0,
            stream_ranks: None,
            connected: None,
        };
        let backends = &mut hosts[host];
        let Decision::Send { to, prefill_tokens, .. } = backends.place(now, &requirements) else {
            panic!("refused");
        };
        let engine = engines.iter_mut().find(|engine| engine.id == to.id).expect("an engine");
        let backend = backends.get_mut(&to.id).expect("listed");
        backend.start_request(now, Some(&prompt), prefill_tokens);
        let is_cached = !engine.cached.insert(session);
        engine.waiting.push_back(Stream {
            host,
            arrived_ms: now_ms,
            prefill_tokens,
            unread: if is_cached { PROMPT.0 - PROMPT.1 } else { PROMPT.0 },
            events_left: EVENTS,
            cadence: Cadence::default(),
            timing: Timing::default(),
        });
        let running = engine.running.len() as u32 + 1;
        let waiting = running.saturating_sub(SLOTS);
        backend.record_load(now, Load { running: running - waiting, waiting });
        if is_measured {
            // One that doesn't vary states the usual time.
            let stated = if case.varies { engine.current.0 } else { 1.0 };
            backend.pace.record_report(now, stated * 100.0);
        }
    }
    firsts.sort_unstable();
    gaps.sort_unstable();
    let p95 = |times: &[u64]| times[times.len() * 95 / 100] as f64;
    Measured { first_p95_ms: p95(&firsts), gap_p95_ms: p95(&gaps) }
}

/// Runs a load with several seeds; returns the means of what callers got.
fn run_seeds(case: Case, is_measured: bool) -> Measured {
    let runs: Vec<_> = (0..SEEDS).map(|seed| run(case, seed, is_measured)).collect();
    let mean = |figure: fn(&Measured) -> f64| {
        runs.iter().map(figure).sum::<f64>() / f64::from(u32::try_from(SEEDS).expect("few"))
    };
    Measured { first_p95_ms: mean(|run| run.first_p95_ms), gap_p95_ms: mean(|run| run.gap_p95_ms) }
}

/// Guards against prompts that wait at slow engines while others have room, and against estimates that
/// make it worse: where engines are equal, long prompts must not be taken for slow machines.
#[test_case(Case { per_s: 60.0, lasting: 1.3, varies: false, first: 0.95, gap: 0.98 }; "a third is slower for good")]
#[test_case(Case { per_s: 40.0, lasting: 1.3, varies: true, first: 0.95, gap: 0.98 }; "all are slower for moments, and a third for good")]
#[test_case(Case { per_s: 30.0, lasting: 5.0, varies: false, first: 0.3, gap: 0.3 }; "a third is much slower for good")]
#[test_case(Case { per_s: 60.0, lasting: 1.0, varies: false, first: 1.03, gap: 1.0 }; "equal engines")]
#[test_case(Case { per_s: 75.0, lasting: 1.0, varies: false, first: 1.1, gap: 1.0 }; "equal engines near their capacity")]
fn callers_wait_less_where_the_speed_of_engines_is_known(case: Case) {
    let (without, with) = (run_seeds(case, false), run_seeds(case, true));
    println!("{case:?}: without {without:?}, with {with:?}");
    let (first, gap) =
        (with.first_p95_ms / without.first_p95_ms, with.gap_p95_ms / without.gap_p95_ms);
    assert!(first <= case.first, "first events: {first}, {without:?}, {with:?}");
    assert!(gap <= case.gap, "pauses: {gap}, {without:?}, {with:?}");
}
