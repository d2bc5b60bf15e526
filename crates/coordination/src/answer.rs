//! Delivers to each caller the complete answer to its request, or an explicit error.
//!
//! The [`Assembler`] matches the lines that a backend server sends to one attempt of a request and
//! checks that the answer is complete. The [`Stream`] manages the attempts: it decides on which
//! backend server to open one, when to resume or to switch to another backend server, and what each
//! caller gets.

mod abort;
mod assembler;
mod event;
mod migration;
mod stream;

use std::sync::Arc;

pub use assembler::{Assembler, AssemblyError, LineResult};
pub use event::{Caller, Failure, ResumePoint, StreamAction, StreamEvent, StreamSettings, Usage};
pub use stream::{Stream, stream_id};

use crate::request;

/// Number of an attempt of a request; each host counts from 1.
pub type Attempt = u32;

/// Line of a stream from a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// Stream that the line belongs to according to the backend server.
    pub request: request::Id,
    /// Attempt that the line belongs to according to the backend server.
    pub attempt: Attempt,
    /// Content of the line.
    pub content: Content,
}

/// Content of a line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Content {
    /// One token of the answer.
    Piece {
        /// Number of tokens of the stream before this one.
        offset: u64,
        /// Text of the token.
        token: Arc<str>,
    },
    /// End mark after the last token.
    End {
        /// Number of tokens of the whole stream.
        tokens: u64,
        /// Number of tokens of the prompt.
        prompt_tokens: u64,
    },
}
