//! Migrates a running stream away from a backend server that is leaving.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use super::{
    Content, Line, Stream, StreamAction,
    stream::{BackendStream, Context, Phase},
};
use crate::request;

/// Minimum number of tokens that may still follow for a migration to be worth its cost.
const MIN_TOKENS_TO_MIGRATE: u64 = 512;

/// Minimum number of tokens, as [`MIN_TOKENS_TO_MIGRATE`], if the platform takes the backend server
/// away and little time is left.
const MIN_TOKENS_TO_MIGRATE_SHORT_NOTICE: u64 = 64;

/// Maximum wait for the copy of a backend server's cache.
const COPY_TIMEOUT: Duration = Duration::from_secs(5);

/// Minimum time between the start of a migration that fails and the next one.
const MIGRATION_BACKOFF: Duration = Duration::from_secs(10);

/// Maximum number of lines held back while the cache is copied.
const MAX_HELD_LINES: usize = 4096;

/// State of a migration.
#[derive(Debug)]
pub(super) enum Migration {
    /// Waits for a target backend server.
    ChoosingTarget,
    /// Waits for the copy of the cache. Lines that arrive meanwhile are held back, since the target
    /// continues from the copy and may generate other tokens after it.
    Copying { to: Arc<str>, held: VecDeque<Line>, until: Duration },
}

impl Stream {
    /// Returns the time by which the copy has to be finished.
    pub(super) fn copy_deadline(&self) -> Option<Duration> {
        match &self.migration {
            Some(Migration::Copying { until, .. }) => Some(*until),
            Some(Migration::ChoosingTarget) | None => None,
        }
    }

    /// Starts a migration away from a backend server that is leaving, if enough tokens may still
    /// follow.
    pub(super) fn start_migration(&mut self, short_notice: bool, cx: &mut Context<'_>) {
        let min_tokens =
            if short_notice { MIN_TOKENS_TO_MIGRATE_SHORT_NOTICE } else { MIN_TOKENS_TO_MIGRATE };
        let delivered = self.delivered.len() as u64;
        let remaining = self.settings.max_tokens.saturating_sub(delivered);
        let is_open = matches!(self.phase, Phase::Open { .. });
        let Some(current) = &self.current else { return };
        let is_too_early = cx.now < self.next_migration_at || delivered == current.base;
        if !is_open || is_too_early || remaining < min_tokens || self.migration.is_some() {
            return;
        }
        cx.push(StreamAction::ChooseMigrationTarget { avoid: vec![current.backend.clone()] });
        self.next_migration_at = cx.now + MIGRATION_BACKOFF;
        self.migration = Some(Migration::ChoosingTarget);
    }

    pub(super) fn set_migration_target(&mut self, to: Option<Arc<str>>, cx: &mut Context<'_>) {
        if !matches!(self.migration, Some(Migration::ChoosingTarget)) {
            return;
        }
        let Some(current) = &self.current else { return };
        let is_open = matches!(self.phase, Phase::Open { .. });
        let Some(to) = to.filter(|to| is_open && *to != current.backend) else {
            return self.abort_migration(cx);
        };
        let (from, stream) = (current.backend.clone(), current.stream);
        cx.push(StreamAction::CopyCache { from, to: to.clone(), stream });
        let until = cx.now + COPY_TIMEOUT;
        self.migration = Some(Migration::Copying { to, held: VecDeque::new(), until });
    }

    /// Holds a line back while the cache is copied; returns the line if it is to be handled now.
    pub(super) fn hold_line(&mut self, line: Line, cx: &mut Context<'_>) -> Option<Line> {
        let Some(Migration::Copying { held, .. }) = &mut self.migration else { return Some(line) };
        let Phase::Open { attempt, until, .. } = &mut self.phase else { return Some(line) };
        *until = cx.now + self.settings.idle_timeout;
        let is_end = line.attempt == *attempt && matches!(line.content, Content::End { .. });
        held.push_back(line);
        if is_end || held.len() >= MAX_HELD_LINES {
            self.abort_migration(cx);
        }
        None
    }

    /// Handles the end of a copy that covers `tokens` tokens, or failed if `None`. A copy that
    /// can't be used is cancelled on the backend server that received it.
    pub(super) fn handle_copy(
        &mut self,
        to: &Arc<str>,
        stream: request::Id,
        tokens: Option<u64>,
        cx: &mut Context<'_>,
    ) {
        let is_expected =
            matches!(&self.migration, Some(Migration::Copying { to: new, .. }) if new == to);
        let current =
            self.current.as_ref().filter(|current| is_expected && current.stream == stream);
        let is_usable = current
            .zip(tokens)
            .is_some_and(|(current, tokens)| self.stream_offset(current) <= tokens);
        match tokens {
            Some(tokens) if is_usable => return self.complete_migration(to, tokens, cx),
            Some(_) if !self.is_current(to, stream) => {
                cx.push(StreamAction::Cancel { backend: to.clone(), stream });
            }
            Some(_) | None => {}
        }
        if is_expected {
            self.abort_migration(cx);
        }
    }

    /// Returns the number of delivered tokens that came from the stream of the current backend
    /// server.
    fn stream_offset(&self, current: &BackendStream) -> u64 {
        self.delivered.len() as u64 - current.base
    }

    /// Continues on the target after the tokens that the copy covers.
    fn complete_migration(&mut self, to: &Arc<str>, tokens: u64, cx: &mut Context<'_>) {
        let Some(Migration::Copying { held, .. }) = self.migration.take() else { return };
        let is_copied = |line: &Line| match line.content {
            Content::Piece { offset, .. } => offset < tokens,
            Content::End { .. } => false,
        };
        for line in held.into_iter().filter(is_copied) {
            self.handle_line(line, cx);
        }
        let Phase::Open { attempt, .. } = self.phase else { return };
        let Some(current) = &mut self.current else { return };
        let from = std::mem::replace(&mut current.backend, to.clone());
        current.attempts = 0;
        cx.push(StreamAction::Close(attempt));
        cx.push(StreamAction::Cancel { backend: from, stream: current.stream });
        cx.push(StreamAction::CommitMigration);
        self.next_migration_at = Duration::ZERO;
        self.open_attempt(cx);
    }

    /// Aborts a migration and handles the lines that were held back.
    pub(super) fn abort_migration(&mut self, cx: &mut Context<'_>) {
        let Some(migration) = self.migration.take() else { return };
        cx.push(StreamAction::AbortMigration);
        if let Migration::Copying { held, .. } = migration {
            for line in held {
                self.handle_line(line, cx);
            }
        }
    }

    /// Aborts the migration of a stream that ends or releases its backend server, and drops the
    /// lines that were held back.
    pub(super) fn discard_migration(&mut self, cx: &mut Context<'_>) {
        if self.migration.take().is_some() {
            cx.push(StreamAction::AbortMigration);
        }
    }
}
