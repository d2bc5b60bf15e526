//! Moves a running stream away from an engine that leaves.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use super::{
    Content, Line, Stream, StreamAction,
    stream::{Context, Phase, Place},
};
use crate::request;

/// Least number of tokens that may still come for which a move pays.
const MIN_TOKENS_TO_MOVE: u64 = 512;

/// The same where the platform takes the engine away and it has little time.
const MIN_TOKENS_TO_MOVE_SHORT_NOTICE: u64 = 64;

/// Longest wait for the copy of an engine's cache.
const COPY_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after a move that came to nothing before the next one.
const PAUSE: Duration = Duration::from_secs(10);

/// Greatest number of lines kept while the cache is copied.
const MAX_HELD: usize = 4096;

/// How far a move is.
#[derive(Debug)]
pub(super) enum Move {
    /// Waits for a back end.
    Seeking,
    /// Waits for the copy; lines that come meanwhile are kept back, since the new engine goes on
    /// from the copy and may make other tokens after it.
    Copying { to: Arc<str>, held: VecDeque<Line>, until: Duration },
}

impl Stream {
    /// Returns when the copy is to have ended.
    pub(super) fn copied_until(&self) -> Option<Duration> {
        match &self.moving {
            Some(Move::Copying { until, .. }) => Some(*until),
            Some(Move::Seeking) | None => None,
        }
    }

    /// Looks for another back end if the one in use leaves and enough may still come.
    pub(super) fn leaving(&mut self, short_notice: bool, cx: &mut Context<'_>) {
        let least = if short_notice { MIN_TOKENS_TO_MOVE_SHORT_NOTICE } else { MIN_TOKENS_TO_MOVE };
        let delivered = self.delivered.len() as u64;
        let left = self.setting.max_tokens.saturating_sub(delivered);
        let open = matches!(self.phase, Phase::Open { .. });
        let Some(place) = &self.place else { return };
        let early = cx.now < self.next_move || delivered == place.base;
        if !open || early || left < least || self.moving.is_some() {
            return;
        }
        cx.push(StreamAction::ChooseMigrationTarget { avoid: vec![place.backend.clone()] });
        self.next_move = cx.now + PAUSE;
        self.moving = Some(Move::Seeking);
    }

    pub(super) fn sought(&mut self, to: Option<Arc<str>>, cx: &mut Context<'_>) {
        if !matches!(self.moving, Some(Move::Seeking)) {
            return;
        }
        let Some(place) = &self.place else { return };
        let open = matches!(self.phase, Phase::Open { .. });
        let Some(to) = to.filter(|to| open && *to != place.backend) else {
            return self.stay(cx);
        };
        let (from, stream) = (place.backend.clone(), place.stream);
        cx.push(StreamAction::CopyCache { from, to: to.clone(), stream });
        let until = cx.now + COPY_TIMEOUT;
        self.moving = Some(Move::Copying { to, held: VecDeque::new(), until });
    }

    /// Keeps a line back while the cache is copied; returns the line where it is to be taken now.
    pub(super) fn hold(&mut self, line: Line, cx: &mut Context<'_>) -> Option<Line> {
        let Some(Move::Copying { held, .. }) = &mut self.moving else { return Some(line) };
        let Phase::Open { attempt, until, .. } = &mut self.phase else { return Some(line) };
        *until = cx.now + self.setting.idle_timeout;
        let last = line.attempt == *attempt && matches!(line.content, Content::End { .. });
        held.push_back(line);
        if last || held.len() >= MAX_HELD {
            self.stay(cx);
        }
        None
    }

    /// Takes the outcome of a copy: the tokens that it holds, or `None` where it failed. A copy that
    /// is of no use is dropped at the engine that took it.
    pub(super) fn copied(
        &mut self,
        to: &Arc<str>,
        stream: request::Id,
        tokens: Option<u64>,
        cx: &mut Context<'_>,
    ) {
        let awaited = matches!(&self.moving, Some(Move::Copying { to: new, .. }) if new == to);
        let place = self.place.as_ref().filter(|place| awaited && place.stream == stream);
        let fits = place.zip(tokens).is_some_and(|(place, tokens)| self.offset(place) <= tokens);
        match tokens {
            Some(tokens) if fits => return self.go_on(to, tokens, cx),
            Some(_) if !self.is_at(to, stream) => {
                cx.push(StreamAction::Cancel { backend: to.clone(), stream });
            }
            Some(_) | None => {}
        }
        if awaited {
            self.stay(cx);
        }
    }

    /// Returns the delivered tokens of the engine's stream.
    fn offset(&self, place: &Place) -> u64 {
        self.delivered.len() as u64 - place.base
    }

    /// Goes on at the new back end after the tokens of the copy.
    fn go_on(&mut self, to: &Arc<str>, tokens: u64, cx: &mut Context<'_>) {
        let Some(Move::Copying { held, .. }) = self.moving.take() else { return };
        let copied = |line: &Line| match line.content {
            Content::Piece { offset, .. } => offset < tokens,
            Content::End { .. } => false,
        };
        for line in held.into_iter().filter(copied) {
            self.line(line, cx);
        }
        let Phase::Open { attempt, .. } = self.phase else { return };
        let Some(place) = &mut self.place else { return };
        let from = std::mem::replace(&mut place.backend, to.clone());
        place.attempts = 0;
        cx.push(StreamAction::Close(attempt));
        cx.push(StreamAction::Cancel { backend: from, stream: place.stream });
        cx.push(StreamAction::CommitMigration);
        self.next_move = Duration::ZERO;
        self.attempt(cx);
    }

    /// Gives up a move and takes the lines that were kept back.
    pub(super) fn stay(&mut self, cx: &mut Context<'_>) {
        let Some(moving) = self.moving.take() else { return };
        cx.push(StreamAction::AbortMigration);
        if let Move::Copying { held, .. } = moving {
            for line in held {
                self.line(line, cx);
            }
        }
    }

    /// Gives up a move of a stream that ends or leaves its back end.
    pub(super) fn drop_move(&mut self, cx: &mut Context<'_>) {
        if self.moving.take().is_some() {
            cx.push(StreamAction::AbortMigration);
        }
    }
}
