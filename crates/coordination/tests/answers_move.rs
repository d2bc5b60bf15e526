//! Tests of streams that migrate away from backend servers that are leaving.

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

fn cache_copied(tokens: Option<u64>) -> StreamEvent {
    StreamEvent::CacheCopied { to: "new".into(), stream: REQUEST, tokens }
}

fn target_chosen(backend: &str) -> StreamEvent {
    StreamEvent::MigrationTargetChosen(Some(backend.into()))
}

/// Effects of the actions that a stream requested.
#[derive(Debug, Default, PartialEq, Eq)]
struct Observed {
    delivered: Vec<Arc<str>>,
    /// Backend server, number of tokens appended to the prompt, number of tokens skipped.
    opened: Vec<(Arc<str>, u64, u64)>,
    cancelled: Vec<Arc<str>>,
    copies: u32,
    target_requests: u32,
    finished: Vec<Usage>,
    settled: Vec<Usage>,
    /// Whether the request counts at its backend server, and at the migration target.
    counted: (bool, bool),
}

struct Harness {
    now: Duration,
    stream: Stream,
    retries: retry::Budget,
    observed: Observed,
}

impl Harness {
    /// Creates a stream that has delivered three tokens from the backend server `old`.
    fn new(max_tokens: u64) -> Self {
        let settings = StreamSettings {
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
        let stream = Stream::new(settings, 1, &mut retries, &mut Vec::new());
        let mut harness = Self { now: SECOND, stream, retries, observed: Observed::default() };
        harness.handle(StreamEvent::Chosen("old".into()));
        (0..3).for_each(|offset| harness.handle(piece(1, offset)));
        harness
    }

    fn handle(&mut self, event: StreamEvent) {
        match event {
            StreamEvent::Chosen(_) => self.observed.counted.0 = true,
            StreamEvent::MigrationTargetChosen(Some(_)) => self.observed.counted.1 = true,
            _ => {}
        }
        let mut actions = Vec::new();
        self.stream.handle(self.now, event, &mut self.retries, &mut actions);
        for action in actions {
            self.apply(action);
        }
    }

    fn apply(&mut self, action: StreamAction) {
        let observed = &mut self.observed;
        match action {
            StreamAction::Deliver { offset, token, .. } => {
                assert_eq!(offset, observed.delivered.len() as u64, "offset");
                observed.delivered.push(token);
            }
            StreamAction::Open { backend, resume_point, .. } => {
                observed.opened.push((backend, resume_point.base, resume_point.offset));
            }
            StreamAction::Cancel { backend, .. } => observed.cancelled.push(backend),
            StreamAction::CopyCache { from, to, stream } => {
                assert_eq!((&*from, &*to, stream), ("old", "new", REQUEST));
                observed.copies += 1;
            }
            StreamAction::ChooseMigrationTarget { avoid } => {
                assert_eq!(avoid, ["old".into()]);
                observed.target_requests += 1;
            }
            StreamAction::Finish { usage, .. } => observed.finished.push(usage),
            StreamAction::Settle(usage) => observed.settled.push(usage),
            StreamAction::ReleaseBackend(_) => observed.counted.0 = false,
            StreamAction::CommitMigration => {
                assert!(observed.counted.1, "migrated to a backend server where it does not count");
                observed.counted = (true, false);
            }
            StreamAction::AbortMigration => observed.counted.1 = false,
            StreamAction::Choose { .. }
            | StreamAction::CancelChoose
            | StreamAction::Probe { .. }
            | StreamAction::Close(_)
            | StreamAction::Health { .. } => {}
            StreamAction::Fail { .. } | StreamAction::Release => panic!("{action:?}"),
        }
    }
}

/// Events of a stream of six tokens, of which three were delivered when its backend server starts
/// to leave.
struct Case {
    name: &'static str,
    events: Vec<StreamEvent>,
    /// Attempt and offset from which the rest of the answer arrives after the events; `None` if
    /// it does not.
    rest: Option<(u32, u64)>,
    opened: &'static [(&'static str, u64, u64)],
    cancelled: &'static [&'static str],
    /// Whether the answer is complete.
    complete: bool,
}

/// First attempt of each stream.
const FIRST_OPENED: (&str, u64, u64) = ("old", 0, 0);

/// Returns the rest of the answer, starting at an offset.
fn remaining_lines(attempt: u32, first: u64) -> impl Iterator<Item = StreamEvent> {
    (first..6).map(move |offset| piece(attempt, offset)).chain([end(attempt, 6)])
}

/// Returns a case in which the stream is not migrated and the answer is complete.
fn not_migrated(name: &'static str, events: Vec<StreamEvent>, first: u64) -> Case {
    Case {
        name,
        events,
        rest: Some((1, first)),
        opened: &[FIRST_OPENED],
        cancelled: &[],
        complete: true,
    }
}

/// Returns the events of a migration to `new`: a token arrives during the copy, then come `events`.
fn during_copy(events: impl IntoIterator<Item = StreamEvent>) -> Vec<StreamEvent> {
    [target_chosen("new"), piece(1, 3)].into_iter().chain(events).collect()
}

fn cancelled(backend: &str) -> StreamEvent {
    let usage = Some(Usage { prompt_tokens: PROMPT_TOKENS, tokens: 4 });
    StreamEvent::Cancelled { backend: backend.into(), stream: REQUEST, usage }
}

fn cases() -> Vec<Case> {
    let chosen = || StreamEvent::Chosen("other".into());
    let probe_unanswered =
        || StreamEvent::Probed { backend: "old".into(), stream: REQUEST, resumable: None };
    let continuation = || [continued(0), continued(1), continued_end()];
    vec![
        Case {
            name: "migrates with a token that arrived before the copy was made",
            events: during_copy([cache_copied(Some(4)), cancelled("old")]),
            rest: Some((2, 4)),
            opened: &[FIRST_OPENED, ("new", 0, 4)],
            cancelled: &["old"],
            complete: true,
        },
        Case {
            name: "migrates without a token that arrived after the copy was made",
            events: during_copy([cache_copied(Some(3)), piece(1, 4)]),
            rest: Some((2, 3)),
            opened: &[FIRST_OPENED, ("new", 0, 3)],
            cancelled: &["old"],
            complete: true,
        },
        not_migrated("no other backend server", vec![StreamEvent::MigrationTargetChosen(None)], 3),
        not_migrated("the same backend server", vec![target_chosen("old")], 3),
        not_migrated("the copy fails", during_copy([cache_copied(None)]), 4),
        Case {
            cancelled: &["new"],
            ..not_migrated(
                "the copy lacks delivered tokens",
                during_copy([cache_copied(Some(2))]),
                4,
            )
        },
        Case {
            cancelled: &["new"],
            ..not_migrated(
                "the copy times out and completes late",
                during_copy([StreamEvent::Tick, cache_copied(Some(4))]),
                4,
            )
        },
        Case {
            rest: None,
            ..not_migrated(
                "the answer ends before a target is chosen",
                remaining_lines(1, 3).collect(),
                0,
            )
        },
        Case {
            rest: None,
            cancelled: &["new"],
            ..not_migrated(
                "the answer ends during the copy",
                during_copy(remaining_lines(1, 4).chain([cache_copied(Some(6))])),
                0,
            )
        },
        Case {
            name: "the target fails after the copy",
            events: during_copy(
                [cache_copied(Some(4)), StreamEvent::NotSent(2), chosen()]
                    .into_iter()
                    .chain(continuation()),
            ),
            rest: None,
            opened: &[FIRST_OPENED, ("new", 0, 4), ("other", 4, 0)],
            cancelled: &["old"],
            complete: true,
        },
        Case {
            name: "the leaving backend server fails during the copy",
            events: during_copy(
                [
                    StreamEvent::Closed(1),
                    StreamEvent::Tick,
                    probe_unanswered(),
                    chosen(),
                    cache_copied(Some(4)),
                ]
                .into_iter()
                .chain(continuation()),
            ),
            rest: None,
            opened: &[FIRST_OPENED, ("other", 4, 0)],
            cancelled: &["new"],
            complete: true,
        },
        Case {
            name: "the caller leaves during the copy",
            events: during_copy([StreamEvent::Leave(1), cancelled("old"), cache_copied(Some(4))]),
            rest: None,
            opened: &[FIRST_OPENED],
            cancelled: &["old", "new"],
            complete: false,
        },
        Case {
            name: "the caller leaves after the migration",
            events: during_copy([
                cache_copied(Some(4)),
                StreamEvent::Leave(1),
                cancelled("old"),
                cancelled("new"),
            ]),
            rest: None,
            opened: &[FIRST_OPENED, ("new", 0, 4)],
            cancelled: &["old", "new"],
            complete: false,
        },
    ]
}

/// Returns a token of the stream that continues after four tokens.
fn continued(offset: u64) -> StreamEvent {
    let request = coordination::answer::stream_id(REQUEST, 4);
    let content = Content::Piece { offset, token: text(offset + 4) };
    StreamEvent::Line(Line { request, attempt: attempt_placeholder(), content })
}

fn continued_end() -> StreamEvent {
    let request = coordination::answer::stream_id(REQUEST, 4);
    let content = Content::End { tokens: 2, prompt_tokens: PROMPT_TOKENS + 4 };
    StreamEvent::Line(Line { request, attempt: attempt_placeholder(), content })
}

/// Returns a placeholder for the number of the last attempt opened, which differs between the cases;
/// the test replaces it.
fn attempt_placeholder() -> u32 {
    0
}

/// A migration may be aborted, or either backend server or the caller may leave during it. Tokens
/// must be neither lost nor repeated, and the request must be charged once and not stay counted at
/// a backend server.
#[test]
fn stream_is_complete_and_charged_once_whether_it_migrates_or_not() {
    for Case { name, events, rest, opened, cancelled, complete } in cases() {
        let mut harness = Harness::new(MAX_TOKENS);
        harness.handle(StreamEvent::BackendLeaving { short_notice: false });
        let rest = rest.into_iter().flat_map(|(attempt, first)| remaining_lines(attempt, first));
        for mut event in events.into_iter().chain(rest) {
            if event == StreamEvent::Tick {
                harness.now += SECOND * 30;
            }
            if let StreamEvent::Line(line) = &mut event
                && line.attempt == attempt_placeholder()
            {
                line.attempt = harness.observed.opened.len() as u32;
            }
            harness.handle(event);
        }
        let observed = harness.observed;
        let opened_at: Vec<_> =
            observed.opened.iter().map(|(name, base, offset)| (&**name, *base, *offset)).collect();
        assert_eq!(opened_at, opened, "{name}");
        assert_eq!(
            observed.cancelled,
            cancelled.iter().map(|n| (*n).into()).collect::<Vec<_>>(),
            "{name}"
        );
        let count = if complete { 6 } else { observed.delivered.len() as u64 };
        assert_eq!(observed.delivered, (0..count).map(text).collect::<Vec<_>>(), "{name}");
        let tokens = if complete { 6 } else { 4 };
        let usage = Usage { prompt_tokens: PROMPT_TOKENS, tokens };
        assert_eq!(observed.settled, [usage], "{name}: charged once");
        assert_eq!(observed.finished, if complete { vec![usage] } else { vec![] }, "{name}");
        assert_eq!(observed.counted, (false, false), "{name}: still counted at a backend server");
    }
}

#[test]
fn streams_migrate_only_if_enough_tokens_may_follow() {
    struct Case {
        name: &'static str,
        max_tokens: u64,
        short_notice: bool,
        target_requests: u32,
    }
    let cases = [
        Case { name: "enough", max_tokens: 515, short_notice: false, target_requests: 1 },
        Case { name: "too few", max_tokens: 514, short_notice: false, target_requests: 0 },
        Case {
            name: "enough at short notice",
            max_tokens: 67,
            short_notice: true,
            target_requests: 1,
        },
        Case {
            name: "too few at short notice",
            max_tokens: 66,
            short_notice: true,
            target_requests: 0,
        },
    ];
    for Case { name, max_tokens, short_notice, target_requests } in cases {
        let mut harness = Harness::new(max_tokens);
        harness.handle(StreamEvent::BackendLeaving { short_notice });
        harness.handle(StreamEvent::BackendLeaving { short_notice });
        assert_eq!(harness.observed.target_requests, target_requests, "{name}");
    }
}

#[test]
fn aborted_migration_is_retried_after_a_delay() {
    let mut harness = Harness::new(MAX_TOKENS);
    for (wait, target_requests) in [(0, 1), (9, 1), (1, 2), (10, 3)] {
        harness.now += SECOND * wait;
        harness.handle(StreamEvent::BackendLeaving { short_notice: false });
        harness.handle(StreamEvent::MigrationTargetChosen(None));
        assert_eq!(harness.observed.target_requests, target_requests, "after {wait} more seconds");
    }
    assert_eq!(harness.observed.copies, 0);
}
