//! Delivers to each caller the whole answer to its own request, or an explicit error.
//!
//! The [`Assembler`] binds what an engine sends to one attempt of one request and finds out whether
//! it is whole. The [`Stream`] decides about attempts: where to open one, when to resume or to move
//! on, and what each caller gets.

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

/// Number of an attempt of a request, counted from 1 by each host.
pub type Attempt = u32;

/// A line of an engine's stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// Stream that the engine says it belongs to.
    pub request: request::Id,
    /// Attempt that the engine says it belongs to.
    pub attempt: Attempt,
    /// What it says.
    pub content: Content,
}

/// Content of a line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Content {
    /// A piece of the answer.
    Piece {
        /// Tokens of the stream before this one.
        offset: u64,
        /// Text.
        token: Arc<str>,
    },
    /// The mark after the last piece.
    End {
        /// Tokens of the whole stream.
        tokens: u64,
        /// Tokens of the prompt.
        prompt_tokens: u64,
    },
}
