//! Assembles the lines of one attempt into an answer.

use std::sync::Arc;

use super::{Attempt, Content, Line};
use crate::request;

/// Result of adding a line to an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LineResult {
    /// The line is the next token.
    Piece {
        /// Number of tokens of the stream before this one.
        offset: u64,
        /// Text of the token.
        token: Arc<str>,
    },
    /// The line adds nothing: it is late, repeated, early, or belongs to another attempt or
    /// request.
    Dropped,
    /// The answer is complete.
    Complete {
        /// Number of tokens of the whole stream.
        tokens: u64,
        /// Number of tokens of the prompt.
        prompt_tokens: u64,
    },
    /// This attempt can't complete the answer.
    Failed(AssemblyError),
}

/// Reason why an attempt gave no complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum AssemblyError {
    /// The connection closed before an end mark arrived.
    #[error("closed without an end mark")]
    NoEnd,
    /// The token count in the end mark differs from the tokens received.
    #[error("end mark with a wrong count")]
    CountMismatch,
}

/// Filters the lines of one attempt of one request and checks their order.
#[derive(Debug)]
pub struct Assembler {
    request: request::Id,
    attempt: Attempt,
    next_offset: u64,
    ended: bool,
}

impl Assembler {
    /// Creates an assembler that expects the token at `offset` first.
    pub fn new(request: request::Id, attempt: Attempt, offset: u64) -> Self {
        Self { request, attempt, next_offset: offset, ended: false }
    }

    /// Adds a line. After an end mark all lines are dropped.
    pub fn add_line(&mut self, line: Line) -> LineResult {
        let is_foreign = line.request != self.request || line.attempt != self.attempt;
        if is_foreign || self.ended {
            return LineResult::Dropped;
        }
        match line.content {
            Content::Piece { offset, token } => self.add_piece(offset, token),
            Content::End { tokens, prompt_tokens } => self.handle_end(tokens, prompt_tokens),
        }
    }

    /// Handles the end of the connection.
    pub fn close(&mut self) -> LineResult {
        if self.ended {
            return LineResult::Dropped;
        }
        self.ended = true;
        LineResult::Failed(AssemblyError::NoEnd)
    }

    fn add_piece(&mut self, offset: u64, token: Arc<str>) -> LineResult {
        if offset != self.next_offset {
            return LineResult::Dropped;
        }
        self.next_offset += 1;
        LineResult::Piece { offset, token }
    }

    fn handle_end(&mut self, tokens: u64, prompt_tokens: u64) -> LineResult {
        self.ended = true;
        if tokens != self.next_offset {
            return LineResult::Failed(AssemblyError::CountMismatch);
        }
        LineResult::Complete { tokens, prompt_tokens }
    }
}
