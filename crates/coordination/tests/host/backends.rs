//! Engines and plain services that fail on command.

use std::{collections::BTreeMap, sync::Arc};

use coordination::{answer::Usage, host::exchange::Stream, request};

/// Returns the tokens of the answer to a prompt.
pub fn answer_tokens(name: &str) -> u64 {
    let sum: u64 = name.bytes().map(u64::from).sum();
    5 + sum * 7 % 30
}

/// Returns a token of the answer to a prompt.
pub fn token(name: &str, offset: u64) -> String {
    format!("{name}.{offset};")
}

/// Returns the prompt of a request.
pub fn prompt(name: &str) -> String {
    format!("{name}|")
}

/// A reader of a stream.
#[derive(Debug, Clone, Copy)]
pub struct Reader {
    pub host: usize,
    pub run: u64,
    pub attempt: u32,
    pub next: u64,
}

/// A stream at an engine.
#[derive(Debug, Clone)]
pub struct Running {
    pub name: Arc<str>,
    /// Tokens of the answer that came with the prompt.
    pub base: u64,
    pub made: u64,
    pub total: u64,
    pub prompt_tokens: u64,
    pub cancelled: bool,
    /// It makes no token after this one.
    pub stall_at: Option<u64>,
    pub readers: Vec<Reader>,
}

impl Running {
    pub fn done(&self) -> bool {
        self.made >= self.total
    }

    pub fn usage(&self) -> Usage {
        Usage { prompt_tokens: self.prompt_tokens, tokens: self.made }
    }
}

/// A back end.
#[derive(Debug, Default)]
pub struct Backend {
    pub zone: Arc<str>,
    pub dead: bool,
    pub streams: BTreeMap<request::Id, Running>,
}

impl Backend {
    /// Starts a stream or joins one; returns whether it is new.
    pub fn open(&mut self, ask: &Stream, host: usize, run: u64, stall_at: Option<u64>) -> bool {
        let reader = Reader { host, run, attempt: ask.attempt, next: ask.offset };
        if let Some(running) = self.streams.get_mut(&ask.stream)
            && !running.cancelled
        {
            running.readers.push(reader);
            return false;
        }
        let (name, rest) = ask.prompt.split_once('|').expect("a prompt");
        let base = rest.matches(';').count() as u64;
        let running = Running {
            name: name.into(),
            base,
            made: ask.offset,
            total: answer_tokens(name).saturating_sub(base),
            prompt_tokens: (ask.prompt.len() as u64).div_ceil(4),
            cancelled: false,
            stall_at,
            readers: vec![reader],
        };
        self.streams.insert(ask.stream, running);
        true
    }
}
