//! Bodies of the exchange by which one host asks another for prepaid tokens.

use std::{io::Cursor, sync::Arc};

use thrift::protocol::{TBinaryInputProtocol, TBinaryOutputProtocol, TSerializable};

use crate::laburnum;

/// Most tokens that one message may name; sums of them can't overflow.
const MOST_TOKENS: u64 = 1 << 50;

/// Digest of a prompt.
pub type PromptDigest = [u8; 32];

/// A prompt, and an event of the response to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResumePoint {
    /// Digest of the prompt.
    pub prompt: PromptDigest,
    /// Id of the event.
    pub event: u64,
}

impl From<ResumePoint> for laburnum::ResumePoint {
    fn from(point: ResumePoint) -> Self {
        Self::new(point.prompt.to_vec(), point.event as i64)
    }
}

impl TryFrom<laburnum::ResumePoint> for ResumePoint {
    type Error = thrift::Error;

    fn try_from(point: laburnum::ResumePoint) -> thrift::Result<Self> {
        let prompt = point.prompt.try_into().map_err(|_| invalid("digest of a prompt"))?;
        let event = u64::try_from(point.event).map_err(|_| invalid("id of an event"))?;
        Ok(Self { prompt, event })
    }
}

/// A row of an allocation, as the process that wrote it names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AllocationNote {
    /// Name of the process.
    pub holder: Arc<str>,
    /// Number of the transaction that wrote the row.
    pub number: u64,
    /// When the row was written, in milliseconds of the platform's clock. With it, it is asked
    /// whether the process went on using the row without a renewal; without it, that is to be noted.
    pub written_ms: Option<u64>,
}

impl From<AllocationNote> for laburnum::AllocationNote {
    fn from(note: AllocationNote) -> Self {
        let written_ms = note.written_ms.map(|written_ms| written_ms as i64);
        Self::new(note.holder.to_string(), note.number as i64, written_ms)
    }
}

impl TryFrom<laburnum::AllocationNote> for AllocationNote {
    type Error = thrift::Error;

    fn try_from(note: laburnum::AllocationNote) -> thrift::Result<Self> {
        let number = |value: i64| u64::try_from(value).map_err(|_| invalid("number of a row"));
        Ok(Self {
            holder: note.holder.into(),
            number: number(note.number)?,
            written_ms: note.written_ms.map(number).transpose()?,
        })
    }
}

/// A wish for tokens, and what is said and asked about prompts that were charged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// Workspace whose tokens are wanted.
    pub workspace: Arc<str>,
    /// Number of tokens.
    pub tokens: u64,
    /// Fewer are of no use; the host that is asked may get them from the budget and from others.
    pub whole: bool,
    /// Tokens that the asking host gives back; they belong to the other host from now on.
    pub returned: u64,
    /// A stream that didn't end, whose prompt was charged, up to the last event passed on.
    pub charged: Option<ResumePoint>,
    /// A stream that is resumed; a charge for its prompt is to be used up.
    pub resumed: Option<ResumePoint>,
    /// A row of an allocation that is to be noted, or was perhaps.
    pub note: Option<AllocationNote>,
}

/// Answer to an [`Ask`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lent {
    /// Tokens that now belong to the host that asked.
    pub tokens: u64,
    /// Tokens that the other host could still give.
    pub left: u64,
    /// Tokens that it may not use yet and gives back to the budget.
    pub returning: u64,
    /// The budget has just been seen not to cover the wish.
    pub exhausted: bool,
    /// The prompt of the resumed stream was charged.
    pub charged: bool,
    /// Whether the row of the allocation is noted; `None` if the other host can't tell.
    pub noted: Option<bool>,
}

impl Ask {
    /// Creates a wish for nothing.
    pub fn for_workspace(workspace: Arc<str>) -> Self {
        Self {
            workspace,
            tokens: 0,
            whole: false,
            returned: 0,
            charged: None,
            resumed: None,
            note: None,
        }
    }

    /// Writes the wish.
    ///
    /// # Errors
    ///
    /// Fails where it has no form on the wire.
    pub fn encode(&self) -> thrift::Result<Vec<u8>> {
        let workspace = self.workspace.to_string();
        let returned = (self.returned > 0).then_some(self.returned as i64);
        let point = |point: Option<ResumePoint>| point.map(laburnum::ResumePoint::from);
        let (charged, resumed) = (point(self.charged), point(self.resumed));
        let tokens = self.tokens as i64;
        let note = self.note.clone().map(laburnum::AllocationNote::from);
        let whole = self.whole;
        encode(&laburnum::LendAsk::new(workspace, tokens, whole, returned, charged, resumed, note))
    }

    /// Reads a wish.
    ///
    /// # Errors
    ///
    /// Fails where the bytes are no wish.
    pub fn decode(bytes: &[u8]) -> thrift::Result<Self> {
        let ask: laburnum::LendAsk = decode(bytes)?;
        let whole = ask.whole.unwrap_or_default();
        let returned = count(ask.returned.unwrap_or_default())?;
        Ok(Self {
            workspace: ask.workspace.into(),
            tokens: count(ask.tokens)?,
            whole,
            returned,
            charged: ask.charged.map(ResumePoint::try_from).transpose()?,
            resumed: ask.resumed.map(ResumePoint::try_from).transpose()?,
            note: ask.note.map(AllocationNote::try_from).transpose()?,
        })
    }
}

impl Lent {
    /// Writes the answer.
    ///
    /// # Errors
    ///
    /// Fails where it has no form on the wire.
    pub fn encode(&self) -> thrift::Result<Vec<u8>> {
        let (tokens, left) = (self.tokens as i64, self.left as i64);
        let (returning, charged) = (self.returning as i64, self.charged.then_some(true));
        let (exhausted, noted) = (self.exhausted, self.noted);
        encode(&laburnum::Lent::new(tokens, left, returning, exhausted, charged, noted))
    }

    /// Reads an answer.
    ///
    /// # Errors
    ///
    /// Fails where the bytes are no answer.
    pub fn decode(bytes: &[u8]) -> thrift::Result<Self> {
        let lent: laburnum::Lent = decode(bytes)?;
        Ok(Self {
            tokens: count(lent.tokens)?,
            left: count(lent.left)?,
            returning: count(lent.returning)?,
            exhausted: lent.exhausted.unwrap_or_default(),
            charged: lent.charged.unwrap_or_default(),
            noted: lent.noted,
        })
    }
}

/// Reads a number of tokens.
fn count(tokens: i64) -> thrift::Result<u64> {
    match u64::try_from(tokens) {
        Ok(tokens) if tokens <= MOST_TOKENS => Ok(tokens),
        _ => Err(invalid(&format!("{tokens} tokens"))),
    }
}

fn invalid(what: &str) -> thrift::Error {
    let kind = thrift::ProtocolErrorKind::InvalidData;
    thrift::Error::Protocol(thrift::ProtocolError::new(kind, what))
}

fn encode(value: &impl TSerializable) -> thrift::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    value.write_to_out_protocol(&mut TBinaryOutputProtocol::new(&mut bytes, true))?;
    Ok(bytes)
}

fn decode<T: TSerializable>(bytes: &[u8]) -> thrift::Result<T> {
    T::read_from_in_protocol(&mut TBinaryInputProtocol::new(Cursor::new(bytes), true))
}
