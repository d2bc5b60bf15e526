//! Tests of whole answers.

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
fn assembler_passes_on_only_whole_answers_of_its_own_attempt() {
    struct Case {
        name: &'static str,
        attempt: u32,
        offset: u64,
        lines: Vec<Line>,
        pieces: Vec<u64>,
        last: LineResult,
    }
    let whole = |tokens| LineResult::Complete { tokens, prompt_tokens: PROMPT_TOKENS };
    let cases = [
        Case {
            name: "in order",
            attempt: 1,
            offset: 0,
            lines: vec![piece(1, 1, 0), piece(1, 1, 1), end(1, 1, 2)],
            pieces: vec![0, 1],
            last: whole(2),
        },
        Case {
            name: "resumed",
            attempt: 1,
            offset: 2,
            lines: vec![piece(1, 1, 2), end(1, 1, 3)],
            pieces: vec![2],
            last: whole(3),
        },
        Case {
            name: "empty",
            attempt: 1,
            offset: 0,
            lines: vec![end(1, 1, 0)],
            pieces: vec![],
            last: whole(0),
        },
        Case {
            name: "repeated piece",
            attempt: 1,
            offset: 0,
            lines: vec![piece(1, 1, 0), piece(1, 1, 0), piece(1, 1, 1), end(1, 1, 2)],
            pieces: vec![0, 1],
            last: whole(2),
        },
        Case {
            name: "late attempt",
            attempt: 2,
            offset: 0,
            lines: vec![piece(1, 1, 0), piece(1, 2, 0), end(1, 1, 9), end(1, 2, 1)],
            pieces: vec![0],
            last: whole(1),
        },
        Case {
            name: "foreign request",
            attempt: 1,
            offset: 0,
            lines: vec![piece(9, 1, 0), piece(1, 1, 0), end(9, 1, 1), end(1, 1, 1)],
            pieces: vec![0],
            last: whole(1),
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
            last: whole(1),
        },
    ];
    for case in cases {
        let mut assembler = Assembler::new(id(1), case.attempt, case.offset);
        let mut steps: Vec<LineResult> =
            case.lines.into_iter().map(|line| assembler.add_line(line)).collect();
        steps.push(assembler.close());
        steps.retain(|step| *step != LineResult::Dropped);
        let last = steps.pop();
        let pieces: Vec<LineResult> = case
            .pieces
            .iter()
            .map(|&offset| LineResult::Piece { offset, token: text(offset) })
            .collect();
        assert_eq!(steps, pieces, "{}: pieces", case.name);
        assert_eq!(last, Some(case.last), "{}: last step", case.name);
    }
}

/// What one attempt does at the fake engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// Closes after this many lines; the stream stands.
    Cut(u64),
    /// Closes after this many lines; the engine forgets the stream.
    Crash(u64),
    /// Falls silent after this many lines.
    Stall(u64),
    /// Sends each line twice.
    Duplicate,
    /// Swaps the first two lines.
    Swap,
    /// Sends lines of another request and another attempt between its own.
    Foreign,
    /// Ends with a count that is too great.
    WrongCount,
    /// Closes without an end mark.
    NoEnd,
    /// Refuses, running nothing.
    Refuse,
    /// The connect fails.
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

/// Back ends and callers around one stream.
struct Bench {
    now: Duration,
    stream: Stream,
    retries: retry::Budget,
    total: u64,
    faults: VecDeque<Fault>,
    backends: u64,
    chosen: u64,
    standing: BTreeMap<(Arc<str>, Id), ()>,
    callers: BTreeMap<u64, Reader>,
    opened: Vec<(Arc<str>, ResumePoint)>,
    settled: Vec<Option<Usage>>,
    vacated: u64,
    cancelled: Vec<Id>,
    last_offsets: BTreeMap<u64, u64>,
    /// Engines don't answer a cancel.
    mute: bool,
}

#[derive(Debug, Default, Clone, PartialEq, Eq)]
struct Reader {
    text: String,
    finished: u32,
    failure: Option<Failure>,
}

impl Bench {
    fn open(class: Class, has_key: bool, total: u64, faults: &[Fault], backends: u64) -> Self {
        let setting = StreamSettings {
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
        let stream = Stream::new(setting, 1, &mut retries, &mut actions);
        let mut bench = Self {
            now: Duration::ZERO,
            stream,
            retries,
            total,
            faults: faults.iter().copied().collect(),
            backends,
            chosen: 0,
            standing: BTreeMap::new(),
            callers: BTreeMap::from([(1, Reader::default())]),
            opened: Vec::new(),
            settled: Vec::new(),
            vacated: 0,
            cancelled: Vec::new(),
            last_offsets: BTreeMap::new(),
            mute: false,
        };
        bench.carry_out(actions);
        bench
    }

    fn event(&mut self, event: StreamEvent) {
        let mut actions = Vec::new();
        self.stream.handle(self.now, event, &mut self.retries, &mut actions);
        self.carry_out(actions);
    }

    fn join(&mut self, caller: u64) {
        self.callers.insert(caller, Reader::default());
        self.event(StreamEvent::Join { caller, digest: DIGEST });
    }

    /// Lets time pass until nothing is due.
    fn run(&mut self) {
        while let Some(at) = self.stream.wake_at() {
            self.now = self.now.max(at);
            self.event(StreamEvent::Tick);
        }
    }

    fn carry_out(&mut self, actions: Vec<StreamAction>) {
        for action in actions {
            match action {
                StreamAction::Choose { avoid } => self.choose(&avoid),
                StreamAction::Open { backend, attempt, resume_point } => {
                    self.opened.push((backend.clone(), resume_point));
                    self.serve(backend, attempt, resume_point);
                }
                StreamAction::Probe { backend, stream } => {
                    let resumable = Some(self.standing.contains_key(&(backend.clone(), stream)));
                    self.event(StreamEvent::Probed { backend, stream, resumable });
                }
                StreamAction::Cancel { backend, stream } => {
                    self.cancelled.push(stream);
                    if self.mute {
                        continue;
                    }
                    let usage = Some(Usage { prompt_tokens: PROMPT_TOKENS, tokens: 3 });
                    self.event(StreamEvent::Cancelled { backend, stream, usage });
                }
                StreamAction::Deliver { caller, offset, token } => {
                    let next = self.last_offsets.entry(caller).or_default();
                    assert_eq!(offset, *next, "offset for caller {caller}");
                    *next += 1;
                    let reader = self.reader(caller);
                    assert_eq!(reader.finished, 0, "piece after the end");
                    reader.text.push_str(&token);
                }
                StreamAction::Finish { caller, .. } => self.reader(caller).finished += 1,
                StreamAction::Fail { caller, failure } => {
                    let reader = self.reader(caller);
                    assert!(reader.failure.is_none() && reader.finished == 0, "two endings");
                    reader.failure = Some(failure);
                }
                StreamAction::Settle(usage) => self.settled.push(Some(usage)),
                StreamAction::Release => self.settled.push(None),
                StreamAction::ReleaseBackend(_) => self.vacated += 1,
                StreamAction::CancelChoose
                | StreamAction::Close(_)
                | StreamAction::Health { .. } => {}
                StreamAction::ChooseMigrationTarget { .. }
                | StreamAction::CopyCache { .. }
                | StreamAction::CommitMigration
                | StreamAction::AbortMigration => unreachable!("no back end leaves"),
            }
        }
    }

    fn reader(&mut self, caller: u64) -> &mut Reader {
        self.callers.get_mut(&caller).expect("a caller that joined")
    }

    fn choose(&mut self, avoid: &[Arc<str>]) {
        let names = (0..self.backends).map(|n| Arc::<str>::from(format!("engine-{n}")));
        let free = names.into_iter().find(|name| !avoid.contains(name));
        match free {
            Some(backend) => {
                self.chosen += 1;
                self.event(StreamEvent::Chosen(backend));
            }
            None => self.event(StreamEvent::NoBackend { retry_after: Duration::from_secs(1) }),
        }
    }

    fn serve(&mut self, backend: Arc<str>, attempt: u32, resume_point: ResumePoint) {
        let fault = self.faults.pop_front().unwrap_or(Fault::None);
        match fault {
            Fault::Refuse => {
                self.event(StreamEvent::Refused { attempt, retry_after: None });
                return;
            }
            Fault::NotSent => {
                self.event(StreamEvent::NotSent(attempt));
                return;
            }
            _ => {}
        }
        let place = (backend, resume_point.stream);
        match fault {
            Fault::Crash(_) => self.standing.remove(&place),
            _ => self.standing.insert(place, ()),
        };
        let mut lines = self.lines(attempt, resume_point, fault);
        let kept = match fault {
            Fault::Cut(n) | Fault::Crash(n) | Fault::Stall(n) => n as usize,
            _ => lines.len(),
        };
        lines.truncate(kept);
        for line in lines {
            self.event(StreamEvent::Line(line));
        }
        if !matches!(fault, Fault::Stall(_)) {
            self.event(StreamEvent::Closed(attempt));
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

    /// Checks what must hold once a stream has ended.
    fn check(&self) {
        assert!(self.stream.is_ended());
        assert_eq!(self.settled.len(), 1, "settled once");
        assert_eq!(self.vacated, self.chosen, "each chosen back end vacated once");
        for (caller, reader) in &self.callers {
            let whole = reader.finished == 1 && reader.text == self.expected();
            let failed = reader.finished == 0 && reader.failure.is_some();
            assert!(whole || failed, "caller {caller}: {reader:?}");
            assert!(self.expected().starts_with(&reader.text), "caller {caller}: {reader:?}");
        }
        if let Some(Some(usage)) = self.settled.first()
            && self.callers.values().any(|reader| reader.finished == 1)
        {
            let usage = (usage.prompt_tokens, usage.tokens);
            assert_eq!(usage, (PROMPT_TOKENS, self.total), "charged for the whole answer");
        }
    }
}

/// Adds lines of another request and of an earlier attempt before a line.
fn with_foreign(line: Line) -> [Line; 3] {
    let wrong = Content::Piece { offset: 0, token: Arc::from("foreign") };
    let content = match &line.content {
        Content::Piece { offset, .. } => {
            Content::Piece { offset: *offset, token: Arc::from("foreign") }
        }
        Content::End { .. } => wrong,
    };
    let request = Line { request: id(9), attempt: line.attempt, content: content.clone() };
    let late = Line { request: line.request, attempt: line.attempt + 1, content };
    [request, late, line]
}

#[test]
fn faults_of_engines_end_in_the_whole_answer_or_an_explicit_error() {
    struct Case {
        name: &'static str,
        class: Class,
        faults: Vec<Fault>,
        backends: u64,
        /// Back end, tokens in the prompt, tokens left out.
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
            name: "engine that lost the stream continues from the delivered prefix",
            class: Class::Normal,
            faults: vec![Fault::Crash(2)],
            backends: 2,
            opened: vec![("engine-0", 0, 0), ("engine-0", 2, 0)],
            failure: None,
        },
        Case {
            name: "engine that keeps failing is left",
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
        let mut bench = Bench::open(case.class, false, 4, &case.faults, case.backends);
        bench.run();
        let opened: Vec<_> =
            bench.opened.iter().map(|(name, s)| (&**name, s.base, s.offset)).collect();
        assert_eq!(opened, case.opened, "{}", case.name);
        assert_eq!(bench.callers[&1].failure, case.failure, "{}", case.name);
        bench.check();
        let not_run = matches!(case.failure, Some(Failure::NotRun { .. }));
        assert_eq!(bench.settled[0].is_none(), not_run, "{}: charged only if it ran", case.name);
    }
}

#[test]
fn long_request_outlasts_an_empty_retry_budget() {
    let faults = [Fault::Cut(1); 60];
    for (class, finished) in [(Class::Normal, 0), (Class::Long, 1)] {
        let mut bench = Bench::open(class, false, 60, &faults, 3);
        bench.run();
        bench.check();
        assert_eq!(bench.callers[&1].finished, finished, "{class:?}");
    }
}

#[test]
fn continued_streams_have_ids_of_their_own() {
    assert_eq!(stream_id(id(1), 0), id(1));
    assert_ne!(stream_id(id(1), 2), id(1));
    assert_ne!(stream_id(id(1), 2), stream_id(id(1), 3));
}

#[test]
fn callers_with_the_same_key_share_a_run() {
    let mut bench = Bench::open(Class::Normal, true, 4, &[Fault::Stall(2)], 1);
    bench.join(2);
    bench.callers.insert(3, Reader::default());
    bench.event(StreamEvent::Join { caller: 3, digest: [8; 32] });
    assert_eq!(bench.callers[&3].failure, Some(Failure::Mismatch));
    bench.event(StreamEvent::Leave(1));
    let left = bench.callers.remove(&1).expect("the first caller");
    assert_eq!((left.finished, left.failure), (0, None));
    bench.run();
    bench.join(4);
    bench.check();
    assert_eq!(bench.callers[&2].finished, 1);
    assert_eq!(bench.callers[&4].finished, 1, "a late caller gets the whole answer");
    assert_eq!(bench.opened.len(), 2, "one run, resumed once");
}

#[test]
fn stream_is_cancelled_once_its_callers_have_left() {
    struct Case {
        name: &'static str,
        has_key: bool,
        back_after: Option<Duration>,
        finished: u32,
    }
    let cases = [
        Case { name: "no key", has_key: false, back_after: None, finished: 0 },
        Case { name: "key", has_key: true, back_after: None, finished: 0 },
        Case { name: "key, back in time", has_key: true, back_after: Some(ms(1500)), finished: 1 },
    ];
    for case in cases {
        let mut bench = Bench::open(Class::Normal, case.has_key, 4, &[Fault::Stall(2)], 1);
        bench.event(StreamEvent::Leave(1));
        bench.callers.remove(&1);
        assert_eq!(bench.stream.is_ended(), !case.has_key, "{}", case.name);
        if let Some(back_after) = case.back_after {
            bench.now += back_after;
            bench.join(2);
        }
        bench.retries = retry::Budget::new(retry::Settings::default(), 1);
        if case.has_key && case.back_after.is_none() {
            bench.faults = VecDeque::from([Fault::Stall(0); 9]);
        }
        bench.run();
        bench.check();
        let finished: u32 = bench.callers.values().map(|reader| reader.finished).sum();
        assert_eq!(finished, case.finished, "{}", case.name);
        let usage = Usage { prompt_tokens: PROMPT_TOKENS, tokens: 3 };
        if case.finished == 0 {
            assert_eq!(bench.cancelled.last(), Some(&id(1)), "{}", case.name);
            assert_eq!(bench.settled, [Some(usage)], "{}: the engine's report", case.name);
        }
    }
}

#[test]
fn only_the_report_on_the_own_stream_settles() {
    let mut bench = Bench::open(Class::Normal, false, 4, &[Fault::Stall(1)], 1);
    bench.mute = true;
    bench.event(StreamEvent::Leave(1));
    let report = |backend: &str, stream| StreamEvent::Cancelled {
        backend: Arc::from(backend),
        stream,
        usage: Some(Usage { prompt_tokens: 1, tokens: 2 }),
    };
    bench.event(report("engine-9", id(1)));
    bench.event(report("engine-0", id(2)));
    assert!(bench.settled.is_empty());
    bench.event(report("engine-0", id(1)));
    assert_eq!(bench.settled, [Some(Usage { prompt_tokens: 1, tokens: 2 })]);
}

#[test]
fn refusals_without_end_are_not_a_run() {
    let mut bench = Bench::open(Class::Normal, false, 4, &[Fault::Refuse; 20], 20);
    bench.run();
    bench.check();
    let failure = &bench.callers[&1].failure;
    assert!(matches!(failure, Some(Failure::NotRun { .. })), "{failure:?}");
    assert_eq!(bench.settled, [None]);
}

#[test]
fn any_history_ends_in_the_whole_answer_or_an_explicit_error() {
    let config = Config { cases: 2000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let class = prop_oneof![Just(Class::Urgent), Just(Class::Normal), Just(Class::Long)];
    let history = (class, 0u64..7, vec(fault(), 0..14), 1u64..4, any::<bool>());
    let result = runner.run(&history, |(class, total, faults, backends, late)| {
        let mut bench = Bench::open(class, true, total, &faults, backends);
        if late {
            bench.join(2);
        }
        bench.run();
        bench.check();
        if class == Class::Long && total < 100 {
            prop_assert!(bench.callers.values().all(|reader| reader.finished == 1));
        }
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}
