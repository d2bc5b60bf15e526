//! Puts together the lines of one attempt.

use std::sync::Arc;

use super::{Attempt, Content, Line};
use crate::request;

/// What a line adds to an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LineResult {
    /// The next piece.
    Piece {
        /// Tokens of the stream before this one.
        offset: u64,
        /// Text.
        token: Arc<str>,
    },
    /// Nothing: the line is late, repeated, early, or belongs to another attempt or request.
    Dropped,
    /// The answer is whole.
    Complete {
        /// Tokens of the whole stream.
        tokens: u64,
        /// Tokens of the prompt.
        prompt_tokens: u64,
    },
    /// The answer can't become whole by this attempt.
    Failed(AssemblyError),
}

/// Why an attempt gave no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum AssemblyError {
    /// It closed without an end mark.
    #[error("closed without an end mark")]
    NoEnd,
    /// Its end mark does not fit the pieces that came.
    #[error("end mark with a wrong count")]
    CountMismatch,
}

/// Binds lines to one attempt of one request and puts them in order.
#[derive(Debug)]
pub struct Assembler {
    request: request::Id,
    attempt: Attempt,
    next: u64,
    ended: bool,
}

impl Assembler {
    /// Opens an assembler that expects the piece at `offset` first.
    pub fn new(request: request::Id, attempt: Attempt, offset: u64) -> Self {
        Self { request, attempt, next: offset, ended: false }
    }

    /// Takes a line. After an end mark every line is dropped.
    pub fn line(&mut self, line: Line) -> LineResult {
        let foreign = line.request != self.request || line.attempt != self.attempt;
        if foreign || self.ended {
            return LineResult::Dropped;
        }
        match line.content {
            Content::Piece { offset, token } => self.piece(offset, token),
            Content::End { tokens, prompt_tokens } => self.end(tokens, prompt_tokens),
        }
    }

    /// Takes the end of the connection.
    pub fn close(&mut self) -> LineResult {
        if self.ended {
            return LineResult::Dropped;
        }
        self.ended = true;
        LineResult::Failed(AssemblyError::NoEnd)
    }

    fn piece(&mut self, offset: u64, token: Arc<str>) -> LineResult {
        if offset != self.next {
            return LineResult::Dropped;
        }
        self.next += 1;
        LineResult::Piece { offset, token }
    }

    fn end(&mut self, tokens: u64, prompt_tokens: u64) -> LineResult {
        self.ended = true;
        if tokens != self.next {
            return LineResult::Failed(AssemblyError::CountMismatch);
        }
        LineResult::Complete { tokens, prompt_tokens }
    }
}
