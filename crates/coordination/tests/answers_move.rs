//! Tests of streams that move away from engines that leave.

use std::{sync::Arc, time::Duration};

use coordination::{
    answer::{Content, Line, Stream, StreamAction, StreamEvent, StreamSettings, Usage},
    request::{Class, Id},
    retry,
};

const DIGEST: [u8; 32] = [7; 32];
const MAX_TOKENS: u64 = 1000;
const REQUEST: Id = Id([1; 16]);
const PROMPT_TOKENS: u64 = 5;
const SECOND: Duration = Duration::from_secs(1);

fn text(offset: u64) -> Arc<str> {
    Arc::from(format!("t{offset} "))
}

fn line(attempt: u32, content: Content) -> StreamEvent {
    StreamEvent::Line(Line { request: REQUEST, attempt, content })
}

fn piece(attempt: u32, offset: u64) -> StreamEvent {
    line(attempt, Content::Piece { offset, token: text(offset) })
}

fn end(attempt: u32, tokens: u64) -> StreamEvent {
    line(attempt, Content::End { tokens, prompt_tokens: PROMPT_TOKENS })
}

fn copied(tokens: Option<u64>) -> StreamEvent {
    StreamEvent::CacheCopied { to: "new".into(), stream: REQUEST, tokens }
}

fn sought(backend: &str) -> StreamEvent {
    StreamEvent::MigrationTargetChosen(Some(backend.into()))
}

/// What came of the events.
#[derive(Debug, Default, PartialEq, Eq)]
struct Seen {
    delivered: Vec<Arc<str>>,
    /// Back end, tokens in the prompt, tokens left out.
    opened: Vec<(Arc<str>, u64, u64)>,
    cancelled: Vec<Arc<str>>,
    copies: u32,
    seeks: u32,
    finished: Vec<Usage>,
    settled: Vec<Usage>,
    /// The request counts at a back end, and at one that it may move to.
    places: (bool, bool),
}

struct Bench {
    now: Duration,
    stream: Stream,
    retries: retry::Budget,
    seen: Seen,
}

impl Bench {
    /// Opens a stream of which three tokens came from the engine `old`.
    fn open(max_tokens: u64) -> Self {
        let setting = StreamSettings {
            request: REQUEST,
            digest: DIGEST,
            class: Class::Long,
            has_key: false,
            max_tokens,
            deadline: SECOND * 600,
            first_timeout: SECOND * 30,
            idle_timeout: SECOND * 60,
        };
        let mut retries = retry::Budget::new(retry::Settings::default(), 1);
        let stream = Stream::new(setting, 1, &mut retries, &mut Vec::new());
        let mut bench = Self { now: SECOND, stream, retries, seen: Seen::default() };
        bench.take(StreamEvent::Chosen("old".into()));
        (0..3).for_each(|offset| bench.take(piece(1, offset)));
        bench
    }

    fn take(&mut self, event: StreamEvent) {
        match event {
            StreamEvent::Chosen(_) => self.seen.places.0 = true,
            StreamEvent::MigrationTargetChosen(Some(_)) => self.seen.places.1 = true,
            _ => {}
        }
        let mut actions = Vec::new();
        self.stream.handle(self.now, event, &mut self.retries, &mut actions);
        for action in actions {
            self.see(action);
        }
    }

    fn see(&mut self, action: StreamAction) {
        let seen = &mut self.seen;
        match action {
            StreamAction::Deliver { offset, token, .. } => {
                assert_eq!(offset, seen.delivered.len() as u64, "offset");
                seen.delivered.push(token);
            }
            StreamAction::Open { backend, resume_point, .. } => {
                seen.opened.push((backend, resume_point.base, resume_point.offset));
            }
            StreamAction::Cancel { backend, .. } => seen.cancelled.push(backend),
            StreamAction::CopyCache { from, to, stream } => {
                assert_eq!((&*from, &*to, stream), ("old", "new", REQUEST));
                seen.copies += 1;
            }
            StreamAction::ChooseMigrationTarget { avoid } => {
                assert_eq!(avoid, ["old".into()]);
                seen.seeks += 1;
            }
            StreamAction::Finish { usage, .. } => seen.finished.push(usage),
            StreamAction::Settle(usage) => seen.settled.push(usage),
            StreamAction::ReleaseBackend(_) => seen.places.0 = false,
            StreamAction::CommitMigration => {
                assert!(seen.places.1, "moved to a back end where it does not count");
                seen.places = (true, false);
            }
            StreamAction::AbortMigration => seen.places.1 = false,
            StreamAction::Choose { .. }
            | StreamAction::CancelChoose
            | StreamAction::Probe { .. }
            | StreamAction::Close(_)
            | StreamAction::Health { .. } => {}
            StreamAction::Fail { .. } | StreamAction::Release => panic!("{action:?}"),
        }
    }
}

/// What happens to a stream of six tokens, of which three were delivered when its engine leaves.
struct Case {
    name: &'static str,
    events: Vec<StreamEvent>,
    /// Attempt and offset from which on the rest of the answer comes after the events.
    rest: Option<(u32, u64)>,
    opened: &'static [(&'static str, u64, u64)],
    cancelled: &'static [&'static str],
    /// The answer is whole.
    whole: bool,
}

/// First place of each stream.
const OLD: (&str, u64, u64) = ("old", 0, 0);

/// Returns the rest of the answer from an offset on.
fn rest(attempt: u32, first: u64) -> impl Iterator<Item = StreamEvent> {
    (first..6).map(move |offset| piece(attempt, offset)).chain([end(attempt, 6)])
}

/// Returns a case in which the stream stays and is whole.
fn stays(name: &'static str, events: Vec<StreamEvent>, first: u64) -> Case {
    Case { name, events, rest: Some((1, first)), opened: &[OLD], cancelled: &[], whole: true }
}

/// Returns events that begin with a copy during which a token comes.
fn copying(events: impl IntoIterator<Item = StreamEvent>) -> Vec<StreamEvent> {
    [sought("new"), piece(1, 3)].into_iter().chain(events).collect()
}

fn cancelled(backend: &str) -> StreamEvent {
    let usage = Some(Usage { prompt_tokens: PROMPT_TOKENS, tokens: 4 });
    StreamEvent::Cancelled { backend: backend.into(), stream: REQUEST, usage }
}

fn cases() -> Vec<Case> {
    let chosen = || StreamEvent::Chosen("other".into());
    let gone = || StreamEvent::Probed { backend: "old".into(), stream: REQUEST, resumable: None };
    let ending = || [continued(0), continued(1), continued_end()];
    vec![
        Case {
            name: "moves, with a token that came before the copy was made",
            events: copying([copied(Some(4)), cancelled("old")]),
            rest: Some((2, 4)),
            opened: &[OLD, ("new", 0, 4)],
            cancelled: &["old"],
            whole: true,
        },
        Case {
            name: "moves, without a token that came after the copy was made",
            events: copying([copied(Some(3)), piece(1, 4)]),
            rest: Some((2, 3)),
            opened: &[OLD, ("new", 0, 3)],
            cancelled: &["old"],
            whole: true,
        },
        stays("no other back end", vec![StreamEvent::MigrationTargetChosen(None)], 3),
        stays("the same back end", vec![sought("old")], 3),
        stays("the copy fails", copying([copied(None)]), 4),
        Case {
            cancelled: &["new"],
            ..stays("the copy lacks delivered tokens", copying([copied(Some(2))]), 4)
        },
        Case {
            cancelled: &["new"],
            ..stays(
                "the copy takes too long, and comes late",
                copying([StreamEvent::Tick, copied(Some(4))]),
                4,
            )
        },
        Case {
            rest: None,
            ..stays("the answer ends before a back end is found", rest(1, 3).collect(), 0)
        },
        Case {
            rest: None,
            cancelled: &["new"],
            ..stays(
                "the answer ends during the copy",
                copying(rest(1, 4).chain([copied(Some(6))])),
                0,
            )
        },
        Case {
            name: "the new engine dies after the copy",
            events: copying(
                [copied(Some(4)), StreamEvent::NotSent(2), chosen()].into_iter().chain(ending()),
            ),
            rest: None,
            opened: &[OLD, ("new", 0, 4), ("other", 4, 0)],
            cancelled: &["old"],
            whole: true,
        },
        Case {
            name: "the old engine dies during the copy",
            events: copying(
                [StreamEvent::Closed(1), StreamEvent::Tick, gone(), chosen(), copied(Some(4))]
                    .into_iter()
                    .chain(ending()),
            ),
            rest: None,
            opened: &[OLD, ("other", 4, 0)],
            cancelled: &["new"],
            whole: true,
        },
        Case {
            name: "the caller leaves during the copy",
            events: copying([StreamEvent::Leave(1), cancelled("old"), copied(Some(4))]),
            rest: None,
            opened: &[OLD],
            cancelled: &["old", "new"],
            whole: false,
        },
        Case {
            name: "the caller leaves after the move",
            events: copying([
                copied(Some(4)),
                StreamEvent::Leave(1),
                cancelled("old"),
                cancelled("new"),
            ]),
            rest: None,
            opened: &[OLD, ("new", 0, 4)],
            cancelled: &["old", "new"],
            whole: false,
        },
    ]
}

/// Returns a token of the stream that goes on after four tokens.
fn continued(offset: u64) -> StreamEvent {
    let request = coordination::answer::stream_id(REQUEST, 4);
    let content = Content::Piece { offset, token: text(offset + 4) };
    StreamEvent::Line(Line { request, attempt: continued_attempt(), content })
}

fn continued_end() -> StreamEvent {
    let request = coordination::answer::stream_id(REQUEST, 4);
    let content = Content::End { tokens: 2, prompt_tokens: PROMPT_TOKENS + 4 };
    StreamEvent::Line(Line { request, attempt: continued_attempt(), content })
}

/// Attempts are numbered on; the tests set this one right for each case.
fn continued_attempt() -> u32 {
    0
}

#[test]
fn a_stream_moves_or_stays_and_is_whole_and_charged_once() {
    for Case { name, events, rest: last, opened, cancelled, whole } in cases() {
        let mut bench = Bench::open(MAX_TOKENS);
        bench.take(StreamEvent::BackendLeaving { short_notice: false });
        let last = last.into_iter().flat_map(|(attempt, first)| rest(attempt, first));
        for mut event in events.into_iter().chain(last) {
            if event == StreamEvent::Tick {
                bench.now += SECOND * 30;
            }
            if let StreamEvent::Line(line) = &mut event
                && line.attempt == continued_attempt()
            {
                line.attempt = bench.seen.opened.len() as u32;
            }
            bench.take(event);
        }
        let seen = bench.seen;
        let places: Vec<_> =
            seen.opened.iter().map(|(name, base, offset)| (&**name, *base, *offset)).collect();
        assert_eq!(places, opened, "{name}");
        assert_eq!(
            seen.cancelled,
            cancelled.iter().map(|n| (*n).into()).collect::<Vec<_>>(),
            "{name}"
        );
        let count = if whole { 6 } else { seen.delivered.len() as u64 };
        assert_eq!(seen.delivered, (0..count).map(text).collect::<Vec<_>>(), "{name}");
        let tokens = if whole { 6 } else { 4 };
        let usage = Usage { prompt_tokens: PROMPT_TOKENS, tokens };
        assert_eq!(seen.settled, [usage], "{name}: charged once");
        assert_eq!(seen.finished, if whole { vec![usage] } else { vec![] }, "{name}");
        assert_eq!(seen.places, (false, false), "{name}: still counted at a back end");
    }
}

#[test]
fn only_streams_with_enough_to_come_move() {
    struct Case {
        name: &'static str,
        max_tokens: u64,
        short_notice: bool,
        seeks: u32,
    }
    let cases = [
        Case { name: "enough", max_tokens: 515, short_notice: false, seeks: 1 },
        Case { name: "too few", max_tokens: 514, short_notice: false, seeks: 0 },
        Case { name: "enough in a hurry", max_tokens: 67, short_notice: true, seeks: 1 },
        Case { name: "too few in a hurry", max_tokens: 66, short_notice: true, seeks: 0 },
    ];
    for Case { name, max_tokens, short_notice, seeks } in cases {
        let mut bench = Bench::open(max_tokens);
        bench.take(StreamEvent::BackendLeaving { short_notice });
        bench.take(StreamEvent::BackendLeaving { short_notice });
        assert_eq!(bench.seen.seeks, seeks, "{name}");
    }
}

#[test]
fn a_stream_that_stayed_looks_again_after_a_pause() {
    let mut bench = Bench::open(MAX_TOKENS);
    for (wait, seeks) in [(0, 1), (9, 1), (1, 2), (10, 3)] {
        bench.now += SECOND * wait;
        bench.take(StreamEvent::BackendLeaving { short_notice: false });
        bench.take(StreamEvent::MigrationTargetChosen(None));
        assert_eq!(bench.seen.seeks, seeks, "after {wait} s more");
    }
    assert_eq!(bench.seen.copies, 0);
}
