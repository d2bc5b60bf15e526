//! Bodies of the exchange by which one host asks another for prepaid tokens.

use std::{io::Cursor, sync::Arc};

use thrift::protocol::{TBinaryInputProtocol, TBinaryOutputProtocol, TSerializable};

use crate::laburnum;

/// Most tokens that one message may name; sums of them can't overflow.
const MOST_TOKENS: u64 = 1 << 50;

/// A wish for tokens.
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
}

impl Ask {
    /// Writes the wish.
    ///
    /// # Errors
    ///
    /// Fails where it has no form on the wire.
    pub fn encode(&self) -> thrift::Result<Vec<u8>> {
        let workspace = self.workspace.to_string();
        let returned = (self.returned > 0).then_some(self.returned as i64);
        encode(&laburnum::LendAsk::new(workspace, self.tokens as i64, self.whole, returned))
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
        Ok(Self { workspace: ask.workspace.into(), tokens: count(ask.tokens)?, whole, returned })
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
        encode(&laburnum::Lent::new(tokens, left, self.returning as i64, self.exhausted))
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
        })
    }
}

/// Reads a number of tokens.
fn count(tokens: i64) -> thrift::Result<u64> {
    match u64::try_from(tokens) {
        Ok(tokens) if tokens <= MOST_TOKENS => Ok(tokens),
        _ => Err(thrift::Error::Protocol(thrift::ProtocolError::new(
            thrift::ProtocolErrorKind::InvalidData,
            format!("{tokens} tokens"),
        ))),
    }
}

fn encode(value: &impl TSerializable) -> thrift::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    value.write_to_out_protocol(&mut TBinaryOutputProtocol::new(&mut bytes, true))?;
    Ok(bytes)
}

fn decode<T: TSerializable>(bytes: &[u8]) -> thrift::Result<T> {
    T::read_from_in_protocol(&mut TBinaryInputProtocol::new(Cursor::new(bytes), true))
}
