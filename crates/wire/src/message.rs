//! Converts messages to and from thrift.
//!
//! A message travels as a `laburnum::Message` in the compact protocol. Whatever can't be read as
//! one whole message is refused with the reason; reading never takes more memory than the bound
//! that the caller gives.

mod decode;
mod encode;

use coordination::message::Message;
use thrift::{
    TConfiguration,
    protocol::{TCompactInputProtocol, TCompactOutputProtocol, TOutputProtocol, TSerializable},
};

use crate::laburnum;

/// Greatest number of elements of a list.
pub const MAX_ELEMENTS: usize = 65_536;

/// Greatest depth of nested structs.
const MAX_DEPTH: usize = 16;

/// Why bytes or a thrift value are not a message.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// The bytes are no thrift value of this type.
    #[error("malformed thrift value: {0}")]
    Thrift(#[from] thrift::Error),
    /// Bytes follow the value.
    #[error("{0} bytes after the value")]
    Trailing(usize),
    /// A field has the wrong length.
    #[error("{field} has {found} bytes instead of {expected}")]
    Length {
        /// Field.
        field: &'static str,
        /// Bytes expected.
        expected: usize,
        /// Bytes found.
        found: usize,
    },
    /// A field holds a value that is not known.
    #[error("{field} holds an unknown value")]
    Unknown {
        /// Field.
        field: &'static str,
    },
}

/// Returns the bytes of a message.
///
/// # Errors
///
/// Returns an error when the message holds more than thrift can carry.
pub fn to_bytes(message: &Message) -> Result<Vec<u8>, Fault> {
    write(&laburnum::Message::from(message))
}

/// Reads a message.
///
/// # Errors
///
/// Returns an error when the bytes are not one whole message.
pub fn from_bytes(bytes: &[u8]) -> Result<Message, Fault> {
    Message::try_from(read::<laburnum::Message>(bytes)?)
}

/// Returns the bytes of a thrift value in the compact protocol.
pub(crate) fn write(value: &impl TSerializable) -> Result<Vec<u8>, Fault> {
    let mut bytes = Vec::new();
    let mut protocol = TCompactOutputProtocol::new(&mut bytes);
    value.write_to_out_protocol(&mut protocol)?;
    protocol.flush()?;
    Ok(bytes)
}

/// Reads a thrift value in the compact protocol that takes all of the bytes.
pub(crate) fn read<T: TSerializable>(bytes: &[u8]) -> Result<T, Fault> {
    let mut rest = bytes;
    let mut protocol = input(&mut rest, bytes.len())?;
    let value = T::read_from_in_protocol(&mut protocol)?;
    drop(protocol);
    match rest.len() {
        0 => Ok(value),
        trailing => Err(Fault::Trailing(trailing)),
    }
}

/// Returns a protocol that allocates no more than the bytes at hand can fill.
pub(crate) fn input<'a, 'b>(
    bytes: &'a mut &'b [u8],
    size: usize,
) -> Result<TCompactInputProtocol<&'a mut &'b [u8]>, Fault> {
    let config = TConfiguration::builder()
        .max_message_size(Some(size))
        .max_frame_size(Some(size))
        .max_string_size(Some(size))
        .max_container_size(Some(size.min(MAX_ELEMENTS)))
        .max_recursion_depth(Some(MAX_DEPTH))
        .build()?;
    Ok(TCompactInputProtocol::with_config(bytes, config))
}

/// Reads a request id.
pub(crate) fn request(bytes: &[u8]) -> Result<coordination::request::Id, Fault> {
    array("request", bytes).map(coordination::request::Id)
}

/// Reads a field of fixed length.
pub(crate) fn array<const N: usize>(field: &'static str, bytes: &[u8]) -> Result<[u8; N], Fault> {
    bytes.try_into().map_err(|_| Fault::Length { field, expected: N, found: bytes.len() })
}
