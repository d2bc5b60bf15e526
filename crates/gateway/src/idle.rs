//! Decides how long a caller's connection stays open while its caller sends nothing, or only a part
//! of a head.
//!
//! The limits are those of the configuration in force at the time of the decision. Only a caller
//! that already rests keeps the longer limit that it rests by. This suits callers that use their
//! connections for many requests while limits change.

use std::time::Duration;

use crate::catalog::Limits;

/// Longest time for which a caller takes nothing of a whole response; the idle timeout counts if it is
/// longer.
const MAX_STALL: Duration = Duration::from_secs(30);

/// What a caller does on its connection.
#[derive(Debug)]
enum State {
    /// It has sent nothing since then; the limit was this one.
    Resting { since: Duration, limit: Duration },
    /// It has sent a part of a head since then.
    SendingHead { since: Duration },
    /// So many requests or their responses are in progress: the next one may begin while the rest of
    /// a refused one is dealt with. So many of them wait only for their callers to take the response;
    /// the last byte was taken then.
    Busy { requests: usize, unsent: usize, sent_at: Duration },
}

/// Time for which a caller may keep its connection open.
#[derive(Debug)]
pub struct Timer(State);

impl Timer {
    /// Creates the timer of a new connection.
    pub fn new(now: Duration, limits: &Limits) -> Self {
        Self(State::Resting { since: now, limit: limits.idle_timeout })
    }

    /// Records that bytes arrived.
    pub fn record_received(&mut self, now: Duration) {
        if matches!(self.0, State::Resting { .. }) {
            self.0 = State::SendingHead { since: now };
        }
    }

    /// Records that bytes were sent; they may be the rest of a response to a slow caller.
    pub fn record_sent(&mut self, now: Duration) {
        match &mut self.0 {
            State::Resting { since: at, .. } | State::Busy { sent_at: at, .. } => *at = now,
            State::SendingHead { .. } => {}
        }
    }

    /// Records that a whole head has arrived.
    pub fn record_request(&mut self) {
        match &mut self.0 {
            State::Busy { requests, .. } => *requests += 1,
            State::Resting { .. } | State::SendingHead { .. } => {
                self.0 = State::Busy { requests: 1, unsent: 0, sent_at: Duration::ZERO };
            }
        }
    }

    /// Records that a response is whole and has only to be sent.
    pub fn record_whole_response(&mut self, now: Duration) {
        if let State::Busy { unsent, sent_at, .. } = &mut self.0 {
            *unsent += 1;
            *sent_at = now;
        }
    }

    /// Records that a whole response has been sent, which ends its request.
    pub fn record_end(&mut self, now: Duration, limits: &Limits) {
        match &mut self.0 {
            State::Busy { requests, unsent, .. } if *requests > 1 => {
                *requests -= 1;
                *unsent = unsent.saturating_sub(1);
            }
            _ => *self = Self::new(now, limits),
        }
    }

    /// Returns what the caller does, for logs and metrics.
    pub fn state(&self) -> &'static str {
        match self.0 {
            State::Resting { .. } => "idle",
            State::SendingHead { .. } => "slow_head",
            State::Busy { requests, unsent, .. } if unsent == requests => "slow_reader",
            State::Busy { .. } => "in_use",
        }
    }

    /// Returns when the connection is closed unless the caller sends or takes more; `None` while a
    /// request is in progress.
    pub fn deadline(&self, limits: &Limits) -> Option<Duration> {
        match self.0 {
            State::Resting { since, limit } => Some(since + limit.max(limits.idle_timeout)),
            State::SendingHead { since } => Some(since + limits.read_timeout),
            State::Busy { requests, unsent, sent_at } => {
                (unsent == requests).then(|| sent_at + limits.idle_timeout.max(MAX_STALL))
            }
        }
    }
}
