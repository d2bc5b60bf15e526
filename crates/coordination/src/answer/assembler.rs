//! Puts together the lines of one attempt.

use std::sync::Arc;

use super::{Attempt, Content, Line};
use crate::request;

/// What a line adds to an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
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
    Whole {
        /// Tokens of the whole stream.
        tokens: u64,
        /// Tokens of the prompt.
        prompt_tokens: u64,
    },
    /// The answer can't become whole by this attempt.
    Broken(Break),
}

/// Why an attempt gave no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Break {
    /// It closed without an end mark.
    #[error("closed without an end mark")]
    NoEnd,
    /// Its end mark does not fit the pieces that came.
    #[error("end mark with a wrong count")]
    Count,
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
    pub fn open(request: request::Id, attempt: Attempt, offset: u64) -> Self {
        Self { request, attempt, next: offset, ended: false }
    }

    /// Takes a line. After an end mark every line is dropped.
    pub fn line(&mut self, line: Line) -> Step {
        let foreign = line.request != self.request || line.attempt != self.attempt;
        if foreign || self.ended {
            return Step::Dropped;
        }
        match line.content {
            Content::Piece { offset, token } => self.piece(offset, token),
            Content::End { tokens, prompt_tokens } => self.end(tokens, prompt_tokens),
        }
    }

    /// Takes the end of the connection.
    pub fn close(&mut self) -> Step {
        if self.ended {
            return Step::Dropped;
        }
        self.ended = true;
        Step::Broken(Break::NoEnd)
    }

    fn piece(&mut self, offset: u64, token: Arc<str>) -> Step {
        if offset != self.next {
            return Step::Dropped;
        }
        self.next += 1;
        Step::Piece { offset, token }
    }

    fn end(&mut self, tokens: u64, prompt_tokens: u64) -> Step {
        self.ended = true;
        if tokens != self.next {
            return Step::Broken(Break::Count);
        }
        Step::Whole { tokens, prompt_tokens }
    }
}
