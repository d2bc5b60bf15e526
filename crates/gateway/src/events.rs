//! Splits the bytes of an event stream into whole events.

use bytes::{Bytes, BytesMut};

/// Longest event in bytes that is held back until it is whole; a longer one is passed on in pieces.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Whole events that can be passed on.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct WholeEvents {
    /// Their bytes.
    pub bytes: Bytes,
    /// Number of events.
    pub count: u64,
}

/// Holds the bytes of an event back until its end has arrived.
#[derive(Debug, Default)]
pub struct Splitter {
    partial: BytesMut,
    last_id: Option<u64>,
    /// Id of the last event that was passed on.
    passed_id: Option<u64>,
    is_out_of_order: bool,
}

impl Splitter {
    /// Creates a splitter for a stream that continues after the event with this id.
    pub fn after(last_id: Option<u64>) -> Self {
        Self { partial: BytesMut::new(), last_id, passed_id: None, is_out_of_order: false }
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether the stream is between two events.
    pub fn is_at_boundary(&self) -> bool {
        self.partial.iter().all(u8::is_ascii_whitespace)
    }

    /// Returns the bytes that are held back, as at the end of the stream.
    pub fn finish(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Returns whether an event arrived whose id doesn't follow those before, as from a backend
    /// server that begins anew instead of resuming. It and what follows it are left out.
    pub fn is_out_of_order(&self) -> bool {
        self.is_out_of_order
    }

    /// Discards the bytes of an event that broke off or doesn't follow those before.
    pub fn discard(&mut self) {
        self.partial.clear();
        self.is_out_of_order = false;
    }

    /// Adds the next bytes and returns the events that are whole now.
    pub fn push(&mut self, bytes: Bytes) -> WholeEvents {
        let bytes = if self.partial.is_empty() {
            bytes
        } else {
            self.partial.extend_from_slice(&bytes);
            self.partial.split().freeze()
        };
        let mut end = 0;
        let mut count = 0;
        let mut line_start = 0;
        let mut id = None;
        while let Some(length) = bytes[line_start..].iter().position(|&byte| byte == b'\n') {
            let text = bytes[line_start..line_start + length].trim_ascii();
            line_start += length + 1;
            if let Some(value) = text.strip_prefix(b"id:") {
                id = str::from_utf8(value.trim_ascii()).ok().and_then(|text| text.parse().ok());
            }
            if !text.is_empty() {
                continue;
            }
            if line_start - end > length + 1 {
                if id.is_some() && id <= self.passed_id {
                    self.is_out_of_order = true;
                    return WholeEvents { bytes: bytes.slice(..end), count };
                }
                count += 1;
                self.passed_id = id.or(self.passed_id);
                self.last_id = id.take().or(self.last_id);
            }
            end = line_start;
        }
        if bytes.len() - end > MAX_EVENT_BYTES {
            end = bytes.len();
        }
        self.partial.extend_from_slice(&bytes[end..]);
        WholeEvents { bytes: bytes.slice(..end), count }
    }
}
