//! Streams of tokens.

use std::sync::Arc;

use coordination::request::Class;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// Bytes of a prompt that count as one token.
const BYTES_PER_TOKEN: u64 = 4;

/// Reads the progress of a stream as it is made.
pub(super) type Watch = watch::Receiver<Progress>;

/// Body of `POST /streams/<request>`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ask {
    /// Attempt that asks.
    pub attempt: u64,
    /// Model.
    pub model: Arc<str>,
    /// Adapter; empty for none.
    #[serde(default = "coordination::record::empty")]
    pub adapter: Arc<str>,
    /// Version; empty for any.
    #[serde(default = "coordination::record::empty")]
    pub version: Arc<str>,
    /// Prompt.
    pub prompt: Arc<str>,
    /// Greatest number of tokens to make.
    pub max_tokens: u64,
    /// Class.
    pub priority: Class,
    /// Tokens to leave out.
    #[serde(default)]
    pub offset: u64,
}

/// State of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It waits for a slot.
    Queued,
    /// It has a slot.
    Running,
    /// All its tokens are made.
    Done,
    /// It was cancelled.
    Cancelled,
}

/// How far a stream has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Progress {
    pub(super) state: State,
    pub(super) tokens: u64,
    pub(super) prompt_tokens: u64,
}

/// Answer to `GET /streams/<request>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Request.
    pub request: String,
    /// State.
    pub state: State,
    /// Tokens made.
    pub tokens: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
}

/// Exported cache of a stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Copy {
    pub(super) request: String,
    pub(super) prompt: Arc<str>,
    pub(super) tokens: u64,
}

/// A stream that was started here.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) model: Arc<str>,
    pub(super) prompt: Arc<str>,
    pub(super) class: Class,
    pub(super) number: u64,
    /// Tokens that the answer has in the end.
    pub(super) length: u64,
    /// The cache of the stream was imported, so that the prompt need not be read.
    pub(super) imported: bool,
    pub(super) progress: watch::Sender<Progress>,
}

impl Stream {
    pub(super) fn progress(&self) -> Progress {
        *self.progress.borrow()
    }

    pub(super) fn set(&self, state: State) {
        self.progress.send_modify(|progress| progress.state = state);
    }

    /// Makes one token and returns whether the answer is whole.
    pub(super) fn advance(&self) -> bool {
        let mut whole = false;
        self.progress.send_modify(|progress| {
            progress.tokens = (progress.tokens + 1).min(self.length);
            whole = progress.tokens == self.length;
            if whole {
                progress.state = State::Done;
            }
        });
        whole
    }
}

/// Returns the tokens that a prompt counts for.
pub fn prompt_tokens(prompt: &str) -> u64 {
    (prompt.len() as u64).div_ceil(BYTES_PER_TOKEN)
}

/// Returns the text of a token, the same for the same request and offset on every engine.
pub fn token(request: &str, offset: u64) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&offset.to_le_bytes());
    hasher.update(request.as_bytes());
    let hex = hasher.finalize().to_hex();
    format!("{} ", &hex[..6])
}
