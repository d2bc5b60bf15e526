//! Engines for long prompts, and the load of urgent streams beside long prompts for which they are
//! kept apart.

use std::{
    collections::{BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use gateway::{
    backend::{Entry, HealthSignal, Load},
    catalog::StreamRanks,
    placement::{Backends, Decision, Group, Requirements},
    request::Prompt,
};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

const MAX_GAP: Duration = Duration::from_millis(400);

/// Priorities of the routes of short urgent prompts, of middling ones and of long ones.
const URGENT: u8 = 0;
const MIDDLE: u8 = 1;
const LAST: u8 = 2;

const RANKS: StreamRanks = StreamRanks { first: URGENT, last: LAST, max_gap: MAX_GAP };

fn new_host(seed: u64, engines: usize) -> Backends {
    let mut backends = Backends::new("h0", StdRng::seed_from_u64(seed));
    let entries = (0..engines).map(|number| Entry {
        id: format!("e{number}").into(),
        service: "s".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: ["a", "b", "c"][number % 3].into(),
        slots: 16,
        draining: false,
        started_unix_ms: 1,
        sequence: 1,
        cold_until_ms: 0,
    });
    backends.replace(Duration::ZERO, entries.collect(), false);
    backends
}

fn requirements(prompt: &Prompt, priority: u8, ranks: Option<StreamRanks>) -> Requirements<'_> {
    Requirements {
        service: "s",
        zone: "a",
        prompt: Some(prompt),
        memory: None,
        tried: &[],
        target_latency: Duration::from_millis(800),
        time_left: Duration::from_secs(12),
        priority,
        stream_ranks: ranks,
        connected: None,
    }
}

fn place(
    host: &mut Backends,
    now: Duration,
    requirements: &Requirements<'_>,
) -> (Arc<str>, Option<Group>) {
    match host.place(now, requirements) {
        Decision::Send { to, estimate, .. } => (to.id, estimate.group),
        Decision::Refuse { .. } => panic!("refused"),
    }
}

#[test]
fn engines_are_divided_only_where_long_prompts_are_ranked_last() {
    struct Case {
        name: &'static str,
        engines: usize,
        ranks: Option<StreamRanks>,
        long_priority: u8,
        is_divided: bool,
    }
    let same = StreamRanks { first: LAST, last: LAST, max_gap: MAX_GAP };
    let cases = [
        Case {
            name: "ranked last",
            engines: 90,
            ranks: Some(RANKS),
            long_priority: LAST,
            is_divided: true,
        },
        Case {
            name: "ranked between",
            engines: 90,
            ranks: Some(RANKS),
            long_priority: MIDDLE,
            is_divided: false,
        },
        Case {
            name: "most urgent",
            engines: 90,
            ranks: Some(RANKS),
            long_priority: URGENT,
            is_divided: false,
        },
        Case {
            name: "all of one rank",
            engines: 90,
            ranks: Some(same),
            long_priority: LAST,
            is_divided: false,
        },
        Case {
            name: "no bound on pauses",
            engines: 90,
            ranks: None,
            long_priority: LAST,
            is_divided: false,
        },
        Case {
            name: "few engines",
            engines: 12,
            ranks: Some(RANKS),
            long_priority: LAST,
            is_divided: false,
        },
    ];
    for case in cases {
        let mut host = new_host(1, case.engines);
        let (long, short) = (Prompt::new(12_000, 400, []), Prompt::new(800, 300, []));
        let long_request = requirements(&long, case.long_priority, case.ranks);
        let short_request = requirements(&short, URGENT, case.ranks);
        place(&mut host, Duration::ZERO, &long_request);
        let (_, long_group) = place(&mut host, Duration::ZERO, &long_request);
        let (_, short_group) = place(&mut host, Duration::ZERO, &short_request);
        let is_long = |group: Option<Group>| group.map(|group| group.is_long);
        assert_eq!(is_long(long_group), case.is_divided.then_some(true), "{}", case.name);
        assert_eq!(is_long(short_group), case.is_divided.then_some(false), "{}", case.name);
    }
}

#[test]
fn hosts_agree_on_nearly_all_engines_for_long_prompts() {
    let mut rng = StdRng::seed_from_u64(7);
    let (long, short) = (Prompt::new(12_000, 400, []), Prompt::new(800, 300, []));
    let groups: Vec<Group> = (0..20)
        .map(|seed| {
            let mut host = new_host(seed, 90);
            place(&mut host, Duration::ZERO, &requirements(&long, LAST, Some(RANKS)));
            // Each host sees another part of the traffic.
            let requests = (0..100).map(|_| rng.random_bool(0.15));
            let groups = requests.map(|is_long| match is_long {
                true => place(&mut host, Duration::ZERO, &requirements(&long, LAST, Some(RANKS))),
                false => {
                    place(&mut host, Duration::ZERO, &requirements(&short, URGENT, Some(RANKS)))
                }
            });
            groups.filter_map(|(_, group)| group).last().expect("divided")
        })
        .collect();
    let disputed = (0..1000_u64).filter(|engine| {
        let hash = coordination::locate::hash(&engine.to_le_bytes());
        let for_long = groups.iter().filter(|group| group.contains(hash) == group.is_long).count();
        (2..=18).contains(&for_long)
    });
    let disputed = disputed.count();
    assert!(disputed < 200, "{disputed} of 1000 engines are disputed");
}

#[test]
fn full_engines_of_one_group_open_the_others() {
    let mut host = new_host(3, 90);
    let (long, short) = (Prompt::new(12_000, 400, []), Prompt::new(800, 300, []));
    place(&mut host, Duration::ZERO, &requirements(&long, LAST, Some(RANKS)));
    let (_, idle) = place(&mut host, Duration::ZERO, &requirements(&short, URGENT, Some(RANKS)));
    let now = Duration::from_millis(100);
    for engine in 0..90 {
        host.record_load(now, &format!("e{engine}"), Load { running: 14, waiting: 0 });
    }
    let (_, full) = place(&mut host, now, &requirements(&short, URGENT, Some(RANKS)));
    let (idle, full) = (idle.expect("divided"), full.expect("divided"));
    assert!(idle.outside_ms > 100.0, "{idle:?}");
    assert!(full.outside_ms < 1.0, "{full:?}");
    let later = now + Duration::from_secs(10);
    let (_, faded) = place(&mut host, later, &requirements(&short, URGENT, Some(RANKS)));
    assert!(faded.expect("divided").outside_ms > 80.0, "reports that are old count no longer");
}

#[test]
fn short_prompt_goes_to_an_engine_of_its_group_to_which_a_connection_is_open() {
    let mut host = new_host(5, 90);
    let (long, short) = (Prompt::new(12_000, 400, []), Prompt::new(800, 300, []));
    place(&mut host, Duration::ZERO, &requirements(&long, LAST, Some(RANKS)));
    for number in 0..90 {
        let id: Arc<str> = format!("e{number}").into();
        let connected = BTreeSet::from([id.clone()]);
        let wanted = |prompt, priority| Requirements {
            connected: Some(&connected),
            ..requirements(prompt, priority, Some(RANKS))
        };
        let (to, group) = place(&mut host, Duration::ZERO, &wanted(&short, URGENT));
        let hash = coordination::locate::hash(id.as_bytes());
        assert_eq!(to == id, group.expect("divided").contains(hash), "short prompt, {id}");
    }
}

/// A stream that runs at an engine.
#[derive(Debug)]
struct Stream {
    host: usize,
    is_urgent: bool,
    steps_left: u32,
    steps_to_event: u32,
    event_at: Duration,
    max_gap: Duration,
}

/// Engine that reads prompts in chunks between the tokens of the streams that run there.
#[derive(Debug, Default)]
struct Engine {
    now: Duration,
    /// Time that work takes, as a multiple of that at other engines.
    slowness: f64,
    /// Streams whose prompts wait, with the tokens that are read and those that are to be.
    waiting: VecDeque<([f64; 2], Stream)>,
    running: Vec<Stream>,
}

impl Engine {
    const CHUNK: f64 = 2048.0;
    const TOKENS_PER_MS: f64 = 60.0;
    /// Time in milliseconds for a million pairs of a token that is read and one before it.
    const PAIRS_MS: f64 = 0.65;
    const EVENT_STEPS: u32 = 8;
    const STEP_MS: f64 = 4.5;

    /// Runs one step and returns the streams that began and those that ended.
    fn step(&mut self) -> (Vec<usize>, Vec<Stream>) {
        let [read, left] = self.waiting.front().map_or([0.0, 0.0], |(tokens, _)| *tokens);
        let chunk = left.min(Self::CHUNK);
        let pairs_ms = chunk * (read + chunk / 2.0) / 1e6 * Self::PAIRS_MS;
        let chunk_ms = chunk / Self::TOKENS_PER_MS + pairs_ms;
        let step_ms = (Self::STEP_MS + chunk_ms) * self.slowness;
        self.now += Duration::from_secs_f64(step_ms / 1000.0);
        for stream in &mut self.running {
            stream.steps_left -= 1;
            stream.steps_to_event -= 1;
            if stream.steps_to_event == 0 {
                stream.steps_to_event = Self::EVENT_STEPS;
                stream.max_gap = stream.max_gap.max(self.now - stream.event_at);
                stream.event_at = self.now;
            }
        }
        let mut began = Vec::new();
        if let Some((tokens, _)) = self.waiting.front_mut() {
            *tokens = [read + chunk, left - chunk];
            if left <= chunk && self.running.len() < 16 {
                let (_, mut stream) = self.waiting.pop_front().expect("a stream");
                stream.event_at = self.now;
                began.push(stream.host);
                self.running.push(stream);
            }
        }
        let ended = self.running.extract_if(.., |stream| stream.steps_left == 0).collect();
        (began, ended)
    }
}

/// Plays 16 s of the load and returns the shares of urgent and of other streams that had a pause
/// over the bound.
fn play(ranks: Option<StreamRanks>) -> (f64, f64) {
    const ENGINES: usize = 90;
    const HOSTS: usize = 30;
    let mut rng = StdRng::seed_from_u64(11);
    let mut hosts: Vec<Backends> = (0..HOSTS).map(|seed| new_host(seed as u64, ENGINES)).collect();
    let slowness = |number: usize| if number.is_multiple_of(3) { 1.3 } else { 1.0 };
    let mut engines: Vec<Engine> = (0..ENGINES)
        .map(|number| Engine { slowness: slowness(number), ..Engine::default() })
        .collect();
    // Late streams and all streams, of other routes and of urgent ones.
    let mut ended = [(0_u32, 0_u32); 2];
    let mut now = Duration::ZERO;
    while now < Duration::from_secs(16) {
        now += Duration::from_secs_f64(1.0 / 374.0);
        for (number, engine) in engines.iter_mut().enumerate() {
            let id = format!("e{number}");
            while engine.now < now {
                if engine.running.is_empty() && engine.waiting.is_empty() {
                    engine.now = now;
                    break;
                }
                let (began, over) = engine.step();
                let (running, waiting) = (engine.running.len() as u32, engine.waiting.len() as u32);
                for host in began {
                    hosts[host].record_load(engine.now, &id, Load { running, waiting });
                }
                for stream in over {
                    hosts[stream.host].finish_request(engine.now, &id, HealthSignal::Healthy);
                    let (late, all) = &mut ended[usize::from(stream.is_urgent)];
                    *late += u32::from(stream.max_gap > MAX_GAP);
                    *all += 1;
                }
            }
        }
        // Input tokens from a quarter of their mean to nearly three times as many.
        let spread = 4_f64.powf(rng.random_range(-1.0..1.0)) / 1.35;
        let (priority, input, output) = match rng.random_range(0..374) {
            0..64 => (LAST, 12_000.0 * spread, 384),
            64..236 => (URGENT, 800.0 * spread, 288),
            _ => (MIDDLE, 2300.0 * spread, 24),
        };
        let host = rng.random_range(0..HOSTS);
        let session = format!("session {}", rng.random_range(0..700));
        let shared = [(session.as_str(), (input * 0.45) as u64)];
        let prompt = Prompt::new(input as u64, output, shared);
        let wanted = requirements(&prompt, priority, ranks);
        let Decision::Send { to, prefill_tokens, .. } = hosts[host].place(now, &wanted) else {
            continue;
        };
        let backend = hosts[host].get_mut(&to.id).expect("listed");
        backend.start_request(now, Some(&prompt), prefill_tokens);
        // The first event follows soon, and nothing here depends on it.
        backend.finish_prefill(prefill_tokens);
        let number: usize = to.id[1..].parse().expect("a number");
        let stream = Stream {
            host,
            is_urgent: priority == URGENT,
            steps_left: output as u32,
            steps_to_event: Engine::EVENT_STEPS,
            event_at: now,
            max_gap: Duration::ZERO,
        };
        engines[number]
            .waiting
            .push_back(([input - prefill_tokens as f64, prefill_tokens as f64], stream));
    }
    let share = |(late, all): (u32, u32)| f64::from(late) / f64::from(all);
    (share(ended[1]), share(ended[0]))
}

#[test]
fn urgent_streams_beside_long_prompts_are_seldom_interrupted() {
    let (urgent, others) = play(Some(RANKS));
    let (urgent_before, others_before) = play(None);
    println!(
        "urgent {urgent:.3}, before {urgent_before:.3}; others {others:.3}, {others_before:.3}"
    );
    assert!(urgent_before > 0.08, "the load must show the failure: {urgent_before}");
    assert!(urgent < 0.04, "{urgent} of the urgent streams have a long pause");
    assert!(others < others_before + 0.1, "{others} of the others, {others_before} before");
}
