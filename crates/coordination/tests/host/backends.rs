//! Simulated backend servers: what engines answer, and the streams that they generate.

use std::{collections::BTreeMap, sync::Arc};

use coordination::{answer::Usage, host::exchange::Stream, request};

/// Returns the number of tokens in the answer to a job's prompt.
pub fn answer_len(name: &str) -> u64 {
    let sum: u64 = name.bytes().map(u64::from).sum();
    5 + sum * 7 % 30
}

/// Returns the token at an offset of the answer to a job's prompt.
pub fn answer_token(name: &str, offset: u64) -> String {
    format!("{name}.{offset};")
}

/// Returns the prompt of a job.
pub fn prompt(name: &str) -> String {
    format!("{name}|")
}

/// Run of a host that reads a stream.
#[derive(Debug, Clone, Copy)]
pub struct Reader {
    pub host: usize,
    pub run: u64,
    pub attempt: u32,
    /// Offset of the next token to send.
    pub next_offset: u64,
}

/// Stream that an engine generates.
#[derive(Debug, Clone)]
pub struct EngineStream {
    pub name: Arc<str>,
    /// Number of tokens of the answer that came with the prompt, from an earlier stream.
    pub resumed_tokens: u64,
    /// Number of tokens generated, including those before the offset at which the stream started.
    pub generated: u64,
    /// Value of `generated` at which the stream is done.
    pub total: u64,
    pub prompt_tokens: u64,
    pub cancelled: bool,
    /// Number of tokens after which the stream stalls for ever.
    pub stall_at: Option<u64>,
    pub readers: Vec<Reader>,
}

impl EngineStream {
    pub fn is_done(&self) -> bool {
        self.generated >= self.total
    }

    pub fn usage(&self) -> Usage {
        Usage { prompt_tokens: self.prompt_tokens, tokens: self.generated }
    }
}

/// Simulated backend server.
#[derive(Debug, Default)]
pub struct Backend {
    pub zone: Arc<str>,
    /// Whether it refuses connections.
    pub down: bool,
    pub streams: BTreeMap<request::Id, EngineStream>,
}

impl Backend {
    /// Starts a stream, or adds a reader if it runs; returns whether it was started.
    pub fn start_or_join(
        &mut self,
        request: &Stream,
        host: usize,
        run: u64,
        stall_at: Option<u64>,
    ) -> bool {
        let reader = Reader { host, run, attempt: request.attempt, next_offset: request.offset };
        if let Some(existing) = self.streams.get_mut(&request.stream)
            && !existing.cancelled
        {
            existing.readers.push(reader);
            return false;
        }
        let (name, rest) = request.prompt.split_once('|').expect("a prompt");
        let resumed_tokens = rest.matches(';').count() as u64;
        let created = EngineStream {
            name: name.into(),
            resumed_tokens,
            generated: request.offset,
            total: answer_len(name).saturating_sub(resumed_tokens),
            prompt_tokens: (request.prompt.len() as u64).div_ceil(4),
            cancelled: false,
            stall_at,
            readers: vec![reader],
        };
        self.streams.insert(request.stream, created);
        true
    }
}
