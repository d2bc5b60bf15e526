//! Splits the bytes of an event stream into whole events.

use std::hash::{DefaultHasher, Hash as _, Hasher as _};

use bytes::{Bytes, BytesMut};

/// Longest event in bytes. An event is held back until it is whole, since a part of it couldn't be
/// taken back when another backend server resumes the stream.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Number of bytes of a rejected block that are kept for the log.
const EXCERPT_BYTES: usize = 64;

/// Whole events that can be passed on.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct WholeEvents {
    /// Their bytes.
    pub bytes: Bytes,
    /// Number of events.
    pub count: u64,
}

/// Why the next bytes are no event of the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The id of the event doesn't follow those before, as from a backend server that begins anew
    /// instead of resuming, or that resumes with something else than an event of the stream.
    OutOfOrder,
    /// The id of the event is that of the last one that was passed on, or lies between the last two,
    /// and its backend server is the same: one of them is no event of the stream.
    Contradicted,
    /// They aren't the lines of an event, or the event has no id where the stream's events have one.
    NoEvent,
    /// The event is longer than any event may be.
    TooLong,
}

impl Fault {
    /// Returns the name of the fault for the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::OutOfOrder => "out_of_order",
            Self::Contradicted => "contradicted",
            Self::NoEvent => "no_event",
            Self::TooLong => "event_too_long",
        }
    }
}

/// Bytes that arrived in place of the next event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejected {
    /// Why they are no event of the stream.
    pub fault: Fault,
    /// Id that they state.
    pub id: Option<u64>,
    /// Number of bytes that arrived after the last event.
    pub length: usize,
    /// The first of them.
    pub excerpt: Bytes,
}

/// What the lines between two blank lines hold.
#[derive(Debug, Clone, Copy, Default)]
struct Block {
    id: Option<u64>,
    has_data: bool,
    /// Whether another field follows the data.
    is_data_over: bool,
    has_name: bool,
    has_retry: bool,
    has_comments: bool,
    /// Whether there are other lines than comments.
    has_fields: bool,
    /// Whether a line can't be a line of the same event as those before.
    is_malformed: bool,
}

impl Block {
    /// Adds a line without its end. `extra_fields` are allowed besides the standard ones.
    fn add(&mut self, line: &[u8], extra_fields: &[&str]) {
        let Some(line) = str::from_utf8(line).ok().filter(|line| is_text(line)) else {
            (self.has_fields, self.is_malformed) = (true, true);
            return;
        };
        if line.starts_with(':') {
            self.has_comments = true;
            return;
        }
        let is_first_field = !std::mem::replace(&mut self.has_fields, true);
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        self.is_data_over |= self.has_data && name != "data";
        // A field other than data that comes twice is a rest of an event that broke off, and so are
        // lines of data that other fields keep apart.
        let is_expected = match name {
            "id" => {
                let is_first = self.id.is_none();
                self.id = parse_id(value);
                is_first && self.id.is_some()
            }
            "event" => !std::mem::replace(&mut self.has_name, true),
            "retry" => !std::mem::replace(&mut self.has_retry, true),
            "data" => {
                self.has_data = true;
                !self.is_data_over
            }
            _ => is_first_field && extra_fields.contains(&name) && parse_id(value).is_some(),
        };
        self.is_malformed |= !is_expected;
    }
}

/// Returns the lines of an event that aren't comments.
fn without_comments(event: &[u8]) -> BytesMut {
    let lines = event.split_inclusive(|&byte| byte == b'\n');
    lines.filter(|line| !line.starts_with(b":")).flatten().copied().collect()
}

fn hash(event: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    event.hash(&mut hasher);
    hasher.finish()
}

/// Returns whether a line is text without control characters.
fn is_text(line: &str) -> bool {
    line.chars().all(|character| character == '\t' || !character.is_ascii_control())
}

/// Parses the value of an id; backend servers write it without signs and leading zeros.
fn parse_id(value: &str) -> Option<u64> {
    let text = value.strip_prefix(' ').unwrap_or(value);
    let id: u64 = text.parse().ok()?;
    (id.to_string() == text).then_some(id)
}

/// Holds the bytes of an event back until its end has arrived.
#[derive(Debug, Clone, Default)]
pub struct Splitter {
    /// Bytes from the start of the event that isn't whole.
    partial: BytesMut,
    /// Where the line that isn't whole begins in them.
    line_start: usize,
    /// Where the next end of a line is looked for.
    searched: usize,
    /// The whole lines of the event.
    block: Block,
    /// Names of fields that events may have besides the standard ones.
    extra_fields: &'static [&'static str],
    /// Whether another backend server may resume the stream.
    is_resumable: bool,
    /// Whether each event must have an id, since the stream may be resumed after it or all have one.
    needs_ids: bool,
    last_id: Option<u64>,
    /// Id of the last event that was passed on.
    passed_id: Option<u64>,
    /// Id of the event before it.
    previous_id: Option<u64>,
    /// Hash of the last event that was passed on.
    passed_hash: u64,
    /// Difference of the ids of consecutive events, as long as it has always been the same.
    step: Step,
    /// An event that is out of step and held back until a later one follows it.
    held: Option<Held>,
    /// Whether a comment follows the last event, in place of which events may be missing.
    ends_with_comment: bool,
    /// Id out of step of the event that the former backend server sent last and that wasn't passed on.
    disputed_id: Option<u64>,
    /// Id of the event that a former backend server had begun to send; the stream has it.
    begun_id: Option<u64>,
    /// The next event is the first one of a backend server that resumes the stream.
    is_resuming: bool,
    rejected: Option<Rejected>,
}

/// An event that is held back.
#[derive(Debug, Clone)]
struct Held {
    id: u64,
    bytes: Bytes,
}

/// What the lines between two blank lines are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verdict {
    /// The next event.
    Next,
    /// An event whose id leaves out others, so that the stream may not have it.
    OutOfStep,
    /// No event of the stream.
    Rejected(Fault),
}

/// Difference of the ids of consecutive events.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Step {
    #[default]
    Unknown,
    Always(u64),
    Varying,
}

impl Splitter {
    /// Creates a splitter for a stream that continues after the event with this id.
    pub fn after(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// Creates a splitter for a stream that a backend server has to resume after the event with this
    /// id.
    pub fn resuming(last_id: Option<u64>) -> Self {
        Self {
            is_resumable: true,
            needs_ids: true,
            last_id,
            passed_id: last_id,
            is_resuming: last_id.is_some(),
            ..Self::default()
        }
    }

    /// Allows fields of these names besides the standard ones, as the first line and with a number.
    pub fn with_fields(self, extra_fields: &'static [&'static str]) -> Self {
        Self { extra_fields, ..self }
    }

    /// Requires an id of every event if `all_have_ids`.
    pub fn with_ids(self, all_have_ids: bool) -> Self {
        Self { needs_ids: self.needs_ids || all_have_ids, ..self }
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether the stream is between two events.
    pub fn is_at_boundary(&self) -> bool {
        self.partial.iter().all(u8::is_ascii_whitespace)
    }

    /// Returns whether an event is held back.
    pub fn holds_event(&self) -> bool {
        self.held.is_some()
    }

    /// Returns whether the stream may end here, so that no event is missing as far as that is known.
    pub fn may_end(&self) -> bool {
        // Where no step is known and no other backend server can confirm the id, it is believed.
        let may_release = self.step == Step::Unknown && !self.is_resuming && !self.is_resumable;
        let is_begun_missing = self.begun_id.is_some_and(|begun| self.last_id < Some(begun));
        self.is_at_boundary()
            && !self.ends_with_comment
            && !is_begun_missing
            && (self.held.is_none() || may_release)
    }

    /// Returns the event that is held back, as the stream ends with it.
    pub fn finish(&mut self) -> WholeEvents {
        let Some(held) = self.held.take() else { return WholeEvents::default() };
        self.pass_on(Some(held.id), &held.bytes);
        WholeEvents { bytes: held.bytes, count: 1 }
    }

    /// Returns the fault of the bytes that arrived, if any. What follows the last event before it is
    /// left out.
    pub fn fault(&self) -> Option<Fault> {
        self.rejected.as_ref().map(|rejected| rejected.fault)
    }

    /// Returns the bytes that arrived in place of the next event, if any did.
    pub fn rejected(&self) -> Option<&Rejected> {
        self.rejected.as_ref()
    }

    fn reject(&mut self, fault: Fault, id: Option<u64>) {
        let length = self.partial.len();
        let excerpt = Bytes::copy_from_slice(&self.partial[..length.min(EXCERPT_BYTES)]);
        self.rejected = Some(Rejected { fault, id, length, excerpt });
        self.clear_partial();
    }

    fn clear_partial(&mut self) {
        self.partial = BytesMut::new();
        self.block = Block::default();
        (self.line_start, self.searched) = (0, 0);
    }

    /// Discards the bytes of an event that broke off or is no event of the stream; another backend
    /// server is to resume the stream.
    pub fn discard(&mut self) {
        let held = self.held.take();
        if let Some(rejected) = self.rejected.take() {
            let is_ahead = rejected.fault == Fault::OutOfOrder && rejected.id > self.passed_id;
            self.disputed_id = rejected.id.filter(|_| is_ahead && held.is_none());
        } else {
            self.disputed_id = held.map(|held| held.id);
            self.begun_id = self.begun_id.max(self.partial_id());
        }
        self.clear_partial();
        self.ends_with_comment = false;
        self.is_resuming = true;
    }

    /// Returns the id of the event of which a part has arrived, if it is the next one of the stream.
    fn partial_id(&self) -> Option<u64> {
        let block = Block { has_data: true, ..self.block };
        // Where steps vary, any id may be the next one.
        let is_judged = self.held.is_none() && self.step != Step::Varying;
        block.id.filter(|_| is_judged && self.check(&block) == Verdict::Next)
    }

    /// Returns what a block is.
    fn check(&self, block: &Block) -> Verdict {
        if block.is_malformed || !block.has_data {
            return Verdict::Rejected(Fault::NoEvent);
        }
        let held_id = self.held.as_ref().map(|held| held.id);
        let last_id = held_id.or(self.passed_id);
        let Some(id) = block.id else {
            let needs_id = self.needs_ids || last_id.is_some();
            return if needs_id { Verdict::Rejected(Fault::NoEvent) } else { Verdict::Next };
        };
        // A later event and another backend server confirm an id that is out of step.
        let is_confirmed = held_id.is_some() || self.disputed_id == Some(id);
        let Some(last_id) = last_id else {
            let is_first = id <= 1 || id.checked_sub(1) == self.last_id;
            return if is_first || is_confirmed { Verdict::Next } else { Verdict::OutOfStep };
        };
        if id <= last_id {
            return Verdict::Rejected(Fault::OutOfOrder);
        }
        match self.step {
            _ if is_confirmed => Verdict::Next,
            Step::Varying => Verdict::Next,
            Step::Unknown if id - last_id == 1 => Verdict::Next,
            Step::Always(step) if id - last_id == step => Verdict::Next,
            Step::Always(_) if self.is_resuming => Verdict::Rejected(Fault::OutOfOrder),
            Step::Always(_) | Step::Unknown => Verdict::OutOfStep,
        }
    }

    /// Returns whether an event that is out of order shows that the last one that was passed on may be
    /// none of the stream.
    fn contradicts(&self, id: Option<u64>, event: &[u8]) -> bool {
        let is_repeated = id == self.passed_id && hash(event) == self.passed_hash;
        !self.is_resuming && !is_repeated && id <= self.passed_id && id > self.previous_id
    }

    /// Records an event that is passed on.
    fn pass_on(&mut self, id: Option<u64>, event: &[u8]) {
        self.is_resuming = false;
        let Some(id) = id else { return };
        self.previous_id = self.last_id;
        self.passed_hash = hash(event);
        if let Some(last_id) = self.passed_id {
            let step = id - last_id;
            self.step = match self.step {
                Step::Unknown => Step::Always(step),
                Step::Always(known) if known == step => Step::Always(step),
                Step::Always(_) | Step::Varying => Step::Varying,
            };
        }
        self.passed_id = Some(id);
        self.last_id = Some(id);
    }

    /// Adds the next bytes and returns the events that are whole now. Comments, and blank lines
    /// between events, are left out: callers that split a stream at blank lines take them for events or
    /// for a part of one.
    pub fn push(&mut self, bytes: Bytes) -> WholeEvents {
        self.partial.extend_from_slice(&bytes);
        let mut passed_on = BytesMut::new();
        let mut count = 0;
        while let Some(length) = self.partial[self.searched..].iter().position(|&b| b == b'\n') {
            let line_end = self.searched + length;
            let line = &self.partial[self.line_start..line_end];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let is_blank = line.is_empty();
            if !is_blank {
                self.block.add(line, self.extra_fields);
            }
            (self.line_start, self.searched) = (line_end + 1, line_end + 1);
            if !is_blank {
                continue;
            }
            let block = std::mem::take(&mut self.block);
            let verdict = block.has_fields.then(|| self.check(&block));
            if let Some(Verdict::Rejected(fault)) = verdict {
                let is_contradicted = fault == Fault::OutOfOrder
                    && self.contradicts(block.id, &self.partial[..line_end + 1]);
                self.reject(if is_contradicted { Fault::Contradicted } else { fault }, block.id);
                return WholeEvents { bytes: passed_on.freeze(), count };
            }
            let mut event = self.partial.split_to(line_end + 1);
            if block.has_comments {
                event = without_comments(&event);
            }
            (self.line_start, self.searched) = (0, 0);
            self.ends_with_comment =
                !block.has_fields && (block.has_comments || self.ends_with_comment);
            match (verdict, block.id) {
                (None, _) => {}
                (Some(Verdict::OutOfStep), Some(id)) => {
                    self.held = Some(Held { id, bytes: Bytes::copy_from_slice(&event) });
                }
                (Some(_), id) => {
                    let held = self.finish();
                    self.pass_on(id, &event);
                    passed_on.extend_from_slice(&held.bytes);
                    passed_on.extend_from_slice(&event);
                    count += held.count + 1;
                }
            }
        }
        self.searched = self.partial.len();
        if self.partial.len() > MAX_EVENT_BYTES {
            self.reject(Fault::TooLong, None);
        }
        WholeEvents { bytes: passed_on.freeze(), count }
    }
}
