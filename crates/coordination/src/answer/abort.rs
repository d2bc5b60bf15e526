//! Ends a request without a whole answer.

use std::time::Duration;

use super::{
    Failure, Stream, StreamAction, Usage,
    stream::{Context, Ending, Phase},
};

/// Longest wait for an engine's report on a cancelled stream.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

impl Stream {
    fn may_have_run(&self) -> bool {
        self.ran || matches!(self.phase, Phase::Open { .. })
    }

    /// Ends the request without a whole answer.
    pub(super) fn fail(&mut self, retry_after: Duration, cx: &mut Context<'_>) {
        let failure = match self.may_have_run() {
            true => Failure::Incomplete { delivered: self.delivered.len() as u64 },
            false => Failure::NotRun { retry_after },
        };
        let callers = std::mem::take(&mut self.callers);
        cx.actions.extend(
            callers.iter().map(|&caller| StreamAction::Fail { caller, failure: failure.clone() }),
        );
        self.stop_with(failure, cx);
    }

    /// Ends the request after its last caller left.
    pub(super) fn stop(&mut self, cx: &mut Context<'_>) {
        let delivered = self.delivered.len() as u64;
        self.stop_with(Failure::Incomplete { delivered }, cx);
    }

    fn stop_with(&mut self, failure: Failure, cx: &mut Context<'_>) {
        self.drop_move(cx);
        let ran = self.may_have_run();
        if let Phase::Open { attempt, .. } = self.phase {
            cx.push(StreamAction::Close(attempt));
        }
        if let Phase::Choosing = self.phase {
            cx.push(StreamAction::CancelChoose);
        }
        if !ran {
            self.vacate(cx);
            cx.push(StreamAction::Release);
            self.phase = Phase::Ended { ending: Ending::Failed(failure), at: cx.now };
            return;
        }
        if self.place.is_none() {
            self.settle_delivered(cx);
            return;
        }
        self.cancel_place(cx);
        self.phase = Phase::Cancelling { until: cx.now + CANCEL_TIMEOUT };
    }

    pub(super) fn cancelled(&mut self, usage: Option<Usage>, cx: &mut Context<'_>) {
        if !matches!(self.phase, Phase::Cancelling { .. }) {
            return;
        }
        let Some(reported) = usage else {
            self.settle_delivered(cx);
            return;
        };
        cx.push(StreamAction::Settle(self.total(reported)));
        self.end_incomplete(cx);
    }

    /// Charges the delivered tokens, where no engine reports more.
    pub(super) fn settle_delivered(&mut self, cx: &mut Context<'_>) {
        let tokens = self.delivered.len() as u64;
        cx.push(StreamAction::Settle(Usage { prompt_tokens: 0, tokens }));
        self.end_incomplete(cx);
    }

    fn end_incomplete(&mut self, cx: &mut Context<'_>) {
        let delivered = self.delivered.len() as u64;
        self.vacate(cx);
        let ending = Ending::Failed(Failure::Incomplete { delivered });
        self.phase = Phase::Ended { ending, at: cx.now };
    }
}
