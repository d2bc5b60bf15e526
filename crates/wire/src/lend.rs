//! Bodies of the exchange by which one host asks another for prepaid tokens.

use std::{io::Cursor, sync::Arc};

use thrift::protocol::{TBinaryInputProtocol, TBinaryOutputProtocol, TSerializable};

use crate::laburnum;

/// A wish for tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// Workspace whose tokens are wanted.
    pub workspace: Arc<str>,
    /// Number of tokens; fewer are of no use.
    pub tokens: u64,
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
}

impl Ask {
    /// Writes the wish.
    ///
    /// # Errors
    ///
    /// Fails where it has no form on the wire.
    pub fn encode(&self) -> thrift::Result<Vec<u8>> {
        encode(&laburnum::LendAsk::new(self.workspace.to_string(), self.tokens as i64))
    }

    /// Reads a wish.
    ///
    /// # Errors
    ///
    /// Fails where the bytes are no wish.
    pub fn decode(bytes: &[u8]) -> thrift::Result<Self> {
        let ask: laburnum::LendAsk = decode(bytes)?;
        Ok(Self { workspace: ask.workspace.into(), tokens: ask.tokens as u64 })
    }
}

impl Lent {
    /// Writes the answer.
    ///
    /// # Errors
    ///
    /// Fails where it has no form on the wire.
    pub fn encode(&self) -> thrift::Result<Vec<u8>> {
        let returning = self.returning as i64;
        encode(&laburnum::Lent::new(self.tokens as i64, self.left as i64, returning))
    }

    /// Reads an answer.
    ///
    /// # Errors
    ///
    /// Fails where the bytes are no answer.
    pub fn decode(bytes: &[u8]) -> thrift::Result<Self> {
        let lent: laburnum::Lent = decode(bytes)?;
        Ok(Self {
            tokens: lent.tokens as u64,
            left: lent.left as u64,
            returning: lent.returning as u64,
        })
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
