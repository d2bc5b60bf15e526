//! Tests of streams: each caller gets the complete answer or an explicit error.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use coordination::{
    answer::{
        Assembler, AssemblyError, Content, Failure, Line, LineResult, ResumePoint, Stream,
        StreamAction, StreamEvent, StreamSettings, Usage, stream_id,
    },
    request::{Class, Id},
    retry,
};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

const DIGEST: [u8; 32] = [7; 32];
const PROMPT_TOKENS: u64 = 5;

fn id(n: u8) -> Id {
    Id([n; 16])
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn piece(request: u8, attempt: u32, offset: u64) -> Line {
    let token = text(offset);
    Line { request: id(request), attempt, content: Content::Piece { offset, token } }
}

fn end(request: u8, attempt: u32, tokens: u64) -> Line {
    let content = Content::End { tokens, prompt_tokens: PROMPT_TOKENS };
    Line { request: id(request), attempt, content }
}

fn text(offset: u64) -> Arc<str> {
    Arc::from(format!("t{offset} "))
}

#[test]
fn assembler_accepts_only_complete_answers_of_its_own_attempt() {
    struct Case {
        name: &'static str,
        attempt: u32,
        offset: u64,
        lines: Vec<Line>,
        pieces: Vec<u64>,
        last: LineResult,
    }
    let complete = |tokens| LineResult::Complete { tokens, prompt_tokens: PROMPT_TOKENS };
    let cases = [
        Case {
            name: "in order",
            attempt: 1,
            offset: 0,
            lines: vec![piece(1, 1, 0), piece(1, 1, 1), end(1, 1, 2)],
            pieces: vec![0, 1],
            last: complete(2),
        },
        Case {
            name: "resumed",
            attempt: 1,
            offset: 2,
            lines: vec![piece(1, 1, 2), end(1, 1, 3)],
            pieces: vec![2],
            last: complete(3),
        },
        Case {
            name: "empty",
            attempt: 1,
            offset: 0,
            lines: vec![end(1, 1, 0)],
            pieces: vec![],
            last: complete(0),
        },
        Case {
            name: "repeated piece",
            attempt: 1,
            offset: 0,
            lines: vec![piece(1, 1, 0), piece(1, 1, 0), piece(1, 1, 1), end(1, 1, 2)],
            pieces: vec![0, 1],
            last: complete(2),
        },
        Case {
            name: "earlier attempt",
            attempt: 2,
            offset: 0,
            lines: vec![piece(1, 1, 0), piece(1, 2, 0), end(1, 1, 9), end(1, 2, 1)],
            pieces: vec![0],
            last: complete(1),
        },
        Case {
            name: "other request",
            attempt: 1,
            offset: 0,
            lines: vec![piece(9, 1, 0), piece(1, 1, 0), end(9, 1, 1), end(1, 1, 1)],
            pieces: vec![0],
            last: complete(1),
        },
        Case {
            name: "reordered",
            attempt: 1,
            offset: 0,
            lines: vec![piece(1, 1, 1), piece(1, 1, 0), end(1, 1, 2)],
            pieces: vec![0],
            last: LineResult::Failed(AssemblyError::CountMismatch),
        },
        Case {
            name: "count too small",
            attempt: 1,
            offset: 0,
            lines: vec![piece(1, 1, 0), piece(1, 1, 1), end(1, 1, 1)],
            pieces: vec![0, 1],
            last: LineResult::Failed(AssemblyError::CountMismatch),
        },
        Case {
            name: "count too great",
            attempt: 1,
            offset: 0,
            lines: vec![piece(1, 1, 0), end(1, 1, 2)],
            pieces: vec![0],
            last: LineResult::Failed(AssemblyError::CountMismatch),
        },
        Case {
            name: "no end mark",
            attempt: 1,
            offset: 0,
            lines: vec![piece(1, 1, 0)],
            pieces: vec![0],
            last: LineResult::Failed(AssemblyError::NoEnd),
        },
        Case {
            name: "pieces after the end mark",
            attempt: 1,
            offset: 0,
            lines: vec![piece(1, 1, 0), end(1, 1, 1), piece(1, 1, 1), end(1, 1, 2)],
            pieces: vec![0],
            last: complete(1),
        },
    ];
    for case in cases {
        let mut assembler = Assembler::new(id(1), case.attempt, case.offset);
        let mut results: Vec<LineResult> =
            case.lines.into_iter().map(|line| assembler.add_line(line)).collect();
        results.push(assembler.close());
        results.retain(|result| *result != LineResult::Dropped);
        let last = results.pop();
        let pieces: Vec<LineResult> = case
            .pieces
            .iter()
            .map(|&offset| LineResult::Piece { offset, token: text(offset) })
            .collect();
        assert_eq!(results, pieces, "{}: pieces", case.name);
        assert_eq!(last, Some(case.last), "{}: last result", case.name);
    }
}

/// Behaviour of the simulated backend server in one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// Closes the connection after this many lines; the stream can be resumed.
    Cut(u64),
    /// Closes the connection after this many lines and loses the stream.
    Crash(u64),
    /// Sends nothing after this many lines, with the connection open.
    Stall(u64),
    /// Sends each line twice.
    Duplicate,
    /// Swaps the first two lines.
    Swap,
    /// Sends lines of another request and another attempt between its own.
    Foreign,
    /// Sends an end mark with a token count that is too great.
    WrongCount,
    /// Closes the connection without an end mark.
    NoEnd,
    /// Refuses the request without running it.
    Refuse,
    /// The connection fails before anything is sent.
    NotSent,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::None),
        (0u64..6).prop_map(Fault::Cut),
        (0u64..6).prop_map(Fault::Crash),
        (0u64..6).prop_map(Fault::Stall),
        Just(Fault::Duplicate),
        Just(Fault::Swap),
        Just(Fault::Foreign),
        Just(Fault::WrongCount),
        Just(Fault::NoEnd),
        Just(Fault::Refuse),
        Just(Fault::NotSent),
    ]
}

/// One stream with its simulated backend servers and callers.
struct Harness {
    now: Duration,
    stream: Stream,
    retries: retry::Budget,
    /// Number of tokens of the answer.
    total: u64,
    /// Faults of the next attempts; further attempts have none.
    faults: VecDeque<Fault>,
    backends: u64,
    /// Number of times that a backend server was chosen.
    chosen: u64,
    resumable_streams: BTreeMap<(Arc<str>, Id), ()>,
    callers: BTreeMap<u64, CallerState>,
    opened: Vec<(Arc<str>, ResumePoint)>,
    settled: Vec<Option<Usage>>,
    /// Number of times that a backend server was released.
    released: u64,
    cancelled: Vec<Id>,
    next_offsets: BTreeMap<u64, u64>,
    /// Whether the backend servers leave a cancel unanswered.
    ignores_cancel: bool,
}

#[derive(Debug, Default, Clone, PartialEq, Eq)]
struct CallerState {
    text: String,
    finished: u32,
    failure: Option<Failure>,
}

impl Harness {
    fn new(class: Class, has_key: bool, total: u64, faults: &[Fault], backends: u64) -> Self {
        let settings = StreamSettings {
            request: id(1),
            digest: DIGEST,
            class,
            has_key,
            max_tokens: 100,
            deadline: Duration::from_secs(600),
            first_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(2),
        };
        let mut retries = retry::Budget::new(retry::Settings::default(), 1);
        let mut actions = Vec::new();
        let stream = Stream::new(settings, 1, &mut retries, &mut actions);
        let mut harness = Self {
            now: Duration::ZERO,
            stream,
            retries,
            total,
            faults: faults.iter().copied().collect(),
            backends,
            chosen: 0,
            resumable_streams: BTreeMap::new(),
            callers: BTreeMap::from([(1, CallerState::default())]),
            opened: Vec::new(),
            settled: Vec::new(),
            released: 0,
            cancelled: Vec::new(),
            next_offsets: BTreeMap::new(),
            ignores_cancel: false,
        };
        harness.apply(actions);
        harness
    }

    fn handle(&mut self, event: StreamEvent) {
        let mut actions = Vec::new();
        self.stream.handle(self.now, event, &mut self.retries, &mut actions);
        self.apply(actions);
    }

    fn join(&mut self, caller: u64) {
        self.callers.insert(caller, CallerState::default());
        self.handle(StreamEvent::Join { caller, digest: DIGEST });
    }

    /// Advances the clock until no timer is set.
    fn run(&mut self) {
        while let Some(at) = self.stream.wake_at() {
            self.now = self.now.max(at);
            self.handle(StreamEvent::Tick);
        }
    }

    fn apply(&mut self, actions: Vec<StreamAction>) {
        for action in actions {
            match action {
                StreamAction::Choose { avoid } => self.choose(&avoid),
                StreamAction::Open { backend, attempt, resume_point } => {
                    self.opened.push((backend.clone(), resume_point));
                    self.serve(backend, attempt, resume_point);
                }
                StreamAction::Probe { backend, stream } => {
                    let resumable =
                        Some(self.resumable_streams.contains_key(&(backend.clone(), stream)));
                    self.handle(StreamEvent::Probed { backend, stream, resumable });
                }
                StreamAction::Cancel { backend, stream } => {
                    self.cancelled.push(stream);
                    if self.ignores_cancel {
                        continue;
                    }
                    let usage = Some(Usage { prompt_tokens: PROMPT_TOKENS, tokens: 3 });
                    self.handle(StreamEvent::Cancelled { backend, stream, usage });
                }
                StreamAction::Deliver { caller, offset, token } => {
                    let next = self.next_offsets.entry(caller).or_default();
                    assert_eq!(offset, *next, "offset for caller {caller}");
                    *next += 1;
                    let state = self.caller_state(caller);
                    assert_eq!(state.finished, 0, "piece after the end");
                    state.text.push_str(&token);
                }
                StreamAction::Finish { caller, .. } => self.caller_state(caller).finished += 1,
                StreamAction::Fail { caller, failure } => {
                    let state = self.caller_state(caller);
                    assert!(state.failure.is_none() && state.finished == 0, "ended twice");
                    state.failure = Some(failure);
                }
                StreamAction::Settle(usage) => self.settled.push(Some(usage)),
                StreamAction::Release => self.settled.push(None),
                StreamAction::ReleaseBackend(_) => self.released += 1,
                StreamAction::CancelChoose
                | StreamAction::Close(_)
                | StreamAction::Health { .. } => {}
                StreamAction::ChooseMigrationTarget { .. }
                | StreamAction::CopyCache { .. }
                | StreamAction::CommitMigration
                | StreamAction::AbortMigration => unreachable!("no backend server is leaving"),
            }
        }
    }

    fn caller_state(&mut self, caller: u64) -> &mut CallerState {
        self.callers.get_mut(&caller).expect("a caller that joined")
    }

    fn choose(&mut self, avoid: &[Arc<str>]) {
        let names = (0..self.backends).map(|n| Arc::<str>::from(format!("engine-{n}")));
        let candidate = names.into_iter().find(|name| !avoid.contains(name));
        match candidate {
            Some(backend) => {
                self.chosen += 1;
                self.handle(StreamEvent::Chosen(backend));
            }
            None => self.handle(StreamEvent::NoBackend { retry_after: Duration::from_secs(1) }),
        }
    }

    fn serve(&mut self, backend: Arc<str>, attempt: u32, resume_point: ResumePoint) {
        let fault = self.faults.pop_front().unwrap_or(Fault::None);
        match fault {
            Fault::Refuse => {
                self.handle(StreamEvent::Refused { attempt, retry_after: None });
                return;
            }
            Fault::NotSent => {
                self.handle(StreamEvent::NotSent(attempt));
                return;
            }
            _ => {}
        }
        let key = (backend, resume_point.stream);
        match fault {
            Fault::Crash(_) => self.resumable_streams.remove(&key),
            _ => self.resumable_streams.insert(key, ()),
        };
        let mut lines = self.lines(attempt, resume_point, fault);
        let kept = match fault {
            Fault::Cut(n) | Fault::Crash(n) | Fault::Stall(n) => n as usize,
            _ => lines.len(),
        };
        lines.truncate(kept);
        for line in lines {
            self.handle(StreamEvent::Line(line));
        }
        if !matches!(fault, Fault::Stall(_)) {
            self.handle(StreamEvent::Closed(attempt));
        }
    }

    fn lines(&self, attempt: u32, resume_point: ResumePoint, fault: Fault) -> Vec<Line> {
        let own = |content| Line { request: resume_point.stream, attempt, content };
        let count = self.total - resume_point.base;
        let mut lines: Vec<Line> = (resume_point.offset..count)
            .map(|offset| own(Content::Piece { offset, token: text(resume_point.base + offset) }))
            .collect();
        let extra = u64::from(fault == Fault::WrongCount);
        let prompt_tokens = PROMPT_TOKENS + resume_point.base;
        if fault != Fault::NoEnd {
            lines.push(own(Content::End { tokens: count + extra, prompt_tokens }));
        }
        match fault {
            Fault::Duplicate => lines.iter().flat_map(|l| [l.clone(), l.clone()]).collect(),
            Fault::Swap if lines.len() > 1 => {
                lines.swap(0, 1);
                lines
            }
            Fault::Foreign => lines.into_iter().flat_map(with_foreign).collect(),
            _ => lines,
        }
    }

    fn expected(&self) -> String {
        (0..self.total).map(|offset| text(offset).to_string()).collect()
    }

    /// Checks the invariants of a stream that has ended.
    fn check(&self) {
        assert!(self.stream.is_ended());
        assert_eq!(self.settled.len(), 1, "settled once");
        assert_eq!(self.released, self.chosen, "each chosen backend server released once");
        for (caller, state) in &self.callers {
            let complete = state.finished == 1 && state.text == self.expected();
            let failed = state.finished == 0 && state.failure.is_some();
            assert!(complete || failed, "caller {caller}: {state:?}");
            assert!(self.expected().starts_with(&state.text), "caller {caller}: {state:?}");
        }
        if let Some(Some(usage)) = self.settled.first()
            && self.callers.values().any(|state| state.finished == 1)
        {
            let usage = (usage.prompt_tokens, usage.tokens);
            assert_eq!(usage, (PROMPT_TOKENS, self.total), "charged for the complete answer");
        }
    }
}

/// Adds lines of another request and of the next attempt before a line.
fn with_foreign(line: Line) -> [Line; 3] {
    let first_piece = Content::Piece { offset: 0, token: Arc::from("foreign") };
    let content = match &line.content {
        Content::Piece { offset, .. } => {
            Content::Piece { offset: *offset, token: Arc::from("foreign") }
        }
        Content::End { .. } => first_piece,
    };
    let other_request = Line { request: id(9), attempt: line.attempt, content: content.clone() };
    let other_attempt = Line { request: line.request, attempt: line.attempt + 1, content };
    [other_request, other_attempt, line]
}

#[test]
fn backend_faults_end_in_a_complete_answer_or_an_explicit_error() {
    struct Case {
        name: &'static str,
        class: Class,
        faults: Vec<Fault>,
        backends: u64,
        /// Backend server, number of tokens appended to the prompt, number of tokens skipped.
        opened: Vec<(&'static str, u64, u64)>,
        failure: Option<Failure>,
    }
    let cases = [
        Case {
            name: "no fault",
            class: Class::Normal,
            faults: vec![],
            backends: 1,
            opened: vec![("engine-0", 0, 0)],
            failure: None,
        },
        Case {
            name: "cut is resumed at the delivered token",
            class: Class::Normal,
            faults: vec![Fault::Cut(2)],
            backends: 2,
            opened: vec![("engine-0", 0, 0), ("engine-0", 0, 2)],
            failure: None,
        },
        Case {
            name: "backend server that lost the stream continues from the delivered prefix",
            class: Class::Normal,
            faults: vec![Fault::Crash(2)],
            backends: 2,
            opened: vec![("engine-0", 0, 0), ("engine-0", 2, 0)],
            failure: None,
        },
        Case {
            name: "backend server that keeps failing is replaced",
            class: Class::Normal,
            faults: vec![Fault::Cut(2), Fault::Cut(0), Fault::Cut(0)],
            backends: 2,
            opened: vec![
                ("engine-0", 0, 0),
                ("engine-0", 0, 2),
                ("engine-0", 0, 2),
                ("engine-1", 2, 0),
            ],
            failure: None,
        },
        Case {
            name: "stall",
            class: Class::Normal,
            faults: vec![Fault::Stall(1)],
            backends: 2,
            opened: vec![("engine-0", 0, 0), ("engine-0", 0, 1)],
            failure: None,
        },
        Case {
            name: "no end mark",
            class: Class::Normal,
            faults: vec![Fault::NoEnd],
            backends: 2,
            opened: vec![("engine-0", 0, 0), ("engine-0", 0, 4)],
            failure: None,
        },
        Case {
            name: "refused everywhere has not run",
            class: Class::Normal,
            faults: vec![Fault::Refuse; 2],
            backends: 2,
            opened: vec![("engine-0", 0, 0), ("engine-1", 0, 0)],
            failure: Some(Failure::NotRun { retry_after: Duration::from_secs(1) }),
        },
        Case {
            name: "not sent anywhere has not run",
            class: Class::Urgent,
            faults: vec![Fault::NotSent; 2],
            backends: 2,
            opened: vec![("engine-0", 0, 0), ("engine-1", 0, 0)],
            failure: Some(Failure::NotRun { retry_after: Duration::from_secs(1) }),
        },
        Case {
            name: "cut before the first token may have run",
            class: Class::Urgent,
            faults: vec![Fault::Cut(0), Fault::Cut(0), Fault::Cut(0), Fault::NotSent],
            backends: 2,
            opened: vec![
                ("engine-0", 0, 0),
                ("engine-0", 0, 0),
                ("engine-0", 0, 0),
                ("engine-1", 0, 0),
            ],
            failure: Some(Failure::Incomplete { delivered: 0 }),
        },
        Case {
            name: "long request waits out refusals",
            class: Class::Long,
            faults: vec![Fault::Refuse; 2],
            backends: 2,
            opened: vec![("engine-0", 0, 0), ("engine-1", 0, 0), ("engine-0", 0, 0)],
            failure: None,
        },
    ];
    for case in cases {
        let mut harness = Harness::new(case.class, false, 4, &case.faults, case.backends);
        harness.run();
        let opened: Vec<_> =
            harness.opened.iter().map(|(name, s)| (&**name, s.base, s.offset)).collect();
        assert_eq!(opened, case.opened, "{}", case.name);
        assert_eq!(harness.callers[&1].failure, case.failure, "{}", case.name);
        harness.check();
        let not_run = matches!(case.failure, Some(Failure::NotRun { .. }));
        assert_eq!(harness.settled[0].is_none(), not_run, "{}: charged only if it ran", case.name);
    }
}

#[test]
fn long_request_completes_despite_an_empty_retry_budget() {
    let faults = [Fault::Cut(1); 60];
    for (class, finished) in [(Class::Normal, 0), (Class::Long, 1)] {
        let mut harness = Harness::new(class, false, 60, &faults, 3);
        harness.run();
        harness.check();
        assert_eq!(harness.callers[&1].finished, finished, "{class:?}");
    }
}

/// If a continued stream had the id of its request, another host that resumes the request from the
/// start would join a stream that lacks the first tokens.
#[test]
fn continued_streams_have_distinct_ids() {
    assert_eq!(stream_id(id(1), 0), id(1));
    assert_ne!(stream_id(id(1), 2), id(1));
    assert_ne!(stream_id(id(1), 2), stream_id(id(1), 3));
}

#[test]
fn callers_with_the_same_key_share_one_stream() {
    let mut harness = Harness::new(Class::Normal, true, 4, &[Fault::Stall(2)], 1);
    harness.join(2);
    harness.callers.insert(3, CallerState::default());
    harness.handle(StreamEvent::Join { caller: 3, digest: [8; 32] });
    assert_eq!(harness.callers[&3].failure, Some(Failure::Mismatch));
    harness.handle(StreamEvent::Leave(1));
    let left = harness.callers.remove(&1).expect("the first caller");
    assert_eq!((left.finished, left.failure), (0, None));
    harness.run();
    harness.join(4);
    harness.check();
    assert_eq!(harness.callers[&2].finished, 1);
    assert_eq!(harness.callers[&4].finished, 1, "a late caller gets the complete answer");
    assert_eq!(harness.opened.len(), 2, "one stream, resumed once");
}

#[test]
fn stream_is_cancelled_after_its_callers_have_left() {
    struct Case {
        name: &'static str,
        has_key: bool,
        rejoins_after: Option<Duration>,
        finished: u32,
    }
    let cases = [
        Case { name: "no key", has_key: false, rejoins_after: None, finished: 0 },
        Case { name: "key", has_key: true, rejoins_after: None, finished: 0 },
        Case {
            name: "key, rejoined in time",
            has_key: true,
            rejoins_after: Some(ms(1500)),
            finished: 1,
        },
    ];
    for case in cases {
        let mut harness = Harness::new(Class::Normal, case.has_key, 4, &[Fault::Stall(2)], 1);
        harness.handle(StreamEvent::Leave(1));
        harness.callers.remove(&1);
        assert_eq!(harness.stream.is_ended(), !case.has_key, "{}", case.name);
        if let Some(rejoins_after) = case.rejoins_after {
            harness.now += rejoins_after;
            harness.join(2);
        }
        harness.retries = retry::Budget::new(retry::Settings::default(), 1);
        if case.has_key && case.rejoins_after.is_none() {
            harness.faults = VecDeque::from([Fault::Stall(0); 9]);
        }
        harness.run();
        harness.check();
        let finished: u32 = harness.callers.values().map(|state| state.finished).sum();
        assert_eq!(finished, case.finished, "{}", case.name);
        let usage = Usage { prompt_tokens: PROMPT_TOKENS, tokens: 3 };
        if case.finished == 0 {
            assert_eq!(harness.cancelled.last(), Some(&id(1)), "{}", case.name);
            assert_eq!(
                harness.settled,
                [Some(usage)],
                "{}: the backend server's report",
                case.name
            );
        }
    }
}

/// A report from another backend server or for another stream, such as an earlier one of the same
/// request, must not be charged.
#[test]
fn only_the_usage_report_for_its_own_stream_settles_a_request() {
    let mut harness = Harness::new(Class::Normal, false, 4, &[Fault::Stall(1)], 1);
    harness.ignores_cancel = true;
    harness.handle(StreamEvent::Leave(1));
    let report = |backend: &str, stream| StreamEvent::Cancelled {
        backend: Arc::from(backend),
        stream,
        usage: Some(Usage { prompt_tokens: 1, tokens: 2 }),
    };
    harness.handle(report("engine-9", id(1)));
    harness.handle(report("engine-0", id(2)));
    assert!(harness.settled.is_empty());
    harness.handle(report("engine-0", id(1)));
    assert_eq!(harness.settled, [Some(Usage { prompt_tokens: 1, tokens: 2 })]);
}

/// A request that every backend server refused must not be charged nor reported as possibly run.
#[test]
fn request_that_is_always_refused_has_not_run() {
    let mut harness = Harness::new(Class::Normal, false, 4, &[Fault::Refuse; 20], 20);
    harness.run();
    harness.check();
    let failure = &harness.callers[&1].failure;
    assert!(matches!(failure, Some(Failure::NotRun { .. })), "{failure:?}");
    assert_eq!(harness.settled, [None]);
}

#[test]
fn random_faults_end_in_a_complete_answer_or_an_explicit_error() {
    let config = Config { cases: 2000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let class = prop_oneof![Just(Class::Urgent), Just(Class::Normal), Just(Class::Long)];
    let history = (class, 0u64..7, vec(fault(), 0..14), 1u64..4, any::<bool>());
    let result = runner.run(&history, |(class, total, faults, backends, late)| {
        let mut harness = Harness::new(class, true, total, &faults, backends);
        if late {
            harness.join(2);
        }
        harness.run();
        harness.check();
        if class == Class::Long && total < 100 {
            prop_assert!(harness.callers.values().all(|state| state.finished == 1));
        }
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}
