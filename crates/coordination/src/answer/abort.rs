//! Ends a request without a complete answer.

use std::time::Duration;

use super::{
    Failure, Stream, StreamAction, Usage,
    stream::{Context, FinalResult, Phase},
};

/// Maximum wait for a backend server to report the usage of a cancelled stream.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

impl Stream {
    fn may_have_run(&self) -> bool {
        self.reached_backend || matches!(self.phase, Phase::Open { .. })
    }

    /// Fails the request for all callers.
    pub(super) fn fail(&mut self, retry_after: Duration, cx: &mut Context<'_>) {
        let failure = match self.may_have_run() {
            true => Failure::Incomplete { delivered: self.delivered.len() as u64 },
            false => Failure::NotRun { retry_after },
        };
        let callers = std::mem::take(&mut self.callers);
        cx.actions.extend(
            callers.iter().map(|&caller| StreamAction::Fail { caller, failure: failure.clone() }),
        );
        self.end_with(failure, cx);
    }

    /// Ends the request after its last caller has left.
    pub(super) fn cancel(&mut self, cx: &mut Context<'_>) {
        let delivered = self.delivered.len() as u64;
        self.end_with(Failure::Incomplete { delivered }, cx);
    }

    fn end_with(&mut self, failure: Failure, cx: &mut Context<'_>) {
        self.discard_migration(cx);
        let may_have_run = self.may_have_run();
        if let Phase::Open { attempt, .. } = self.phase {
            cx.push(StreamAction::Close(attempt));
        }
        if let Phase::Choosing = self.phase {
            cx.push(StreamAction::CancelChoose);
        }
        if !may_have_run {
            self.release_backend(cx);
            cx.push(StreamAction::Release);
            self.phase = Phase::Ended { result: FinalResult::Failed(failure), ended_at: cx.now };
            return;
        }
        if self.current.is_none() {
            self.settle_delivered(cx);
            return;
        }
        self.cancel_current(cx);
        self.phase = Phase::Cancelling { until: cx.now + CANCEL_TIMEOUT };
    }

    pub(super) fn handle_cancelled(&mut self, usage: Option<Usage>, cx: &mut Context<'_>) {
        if !matches!(self.phase, Phase::Cancelling { .. }) {
            return;
        }
        let Some(reported) = usage else {
            self.settle_delivered(cx);
            return;
        };
        cx.push(StreamAction::Settle(self.total_usage(reported)));
        self.end_incomplete(cx);
    }

    /// Charges the delivered tokens, since no backend server reported the usage.
    pub(super) fn settle_delivered(&mut self, cx: &mut Context<'_>) {
        let tokens = self.delivered.len() as u64;
        cx.push(StreamAction::Settle(Usage { prompt_tokens: 0, tokens }));
        self.end_incomplete(cx);
    }

    fn end_incomplete(&mut self, cx: &mut Context<'_>) {
        let delivered = self.delivered.len() as u64;
        self.release_backend(cx);
        let result = FinalResult::Failed(Failure::Incomplete { delivered });
        self.phase = Phase::Ended { result, ended_at: cx.now };
    }
}
