//! Outcomes of runs, stored until their issuers have acknowledged them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{DispatcherAction, Outcome};
use crate::{
    message::{ClaimOutcome, Message},
    ticket::Ticket,
};

/// Interval between the first two reports of an outcome; it doubles up to [`MAX_INTERVAL`].
const INITIAL_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum interval between two reports of an outcome.
const MAX_INTERVAL: Duration = Duration::from_secs(10);

/// Maximum time for which an unacknowledged outcome is stored.
const MAX_AGE: Duration = Duration::from_secs(3600);

/// Outcome that its issuer has not acknowledged yet.
#[derive(Debug)]
struct Report {
    digest: [u8; 32],
    outcome: Outcome,
    stored: ClaimOutcome,
    interval: Duration,
    next_at: Duration,
    expires_at: Duration,
}

/// Outcomes that the issuers of their tickets have not acknowledged yet.
#[derive(Debug, Default)]
pub(super) struct Reports {
    reports: BTreeMap<Ticket, Report>,
    timers: BTreeSet<(Duration, Ticket)>,
}

impl Reports {
    /// Returns the time at which [`Reports::tick`] is due.
    pub(super) fn wake_at(&self) -> Option<Duration> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Returns the stored outcome of a call whose ticket was used on this host.
    pub(super) fn outcome(&self, ticket: &Ticket, digest: &[u8; 32]) -> Option<Outcome> {
        let report = self.reports.get(ticket)?;
        let is_same_call = report.digest == *digest;
        Some(if is_same_call { report.outcome.clone() } else { Outcome::Mismatch })
    }

    /// Reports an outcome and stores it; `stored` is the form that the issuer stores.
    pub(super) fn add(
        &mut self,
        now: Duration,
        ticket: Ticket,
        digest: [u8; 32],
        outcome: Outcome,
        stored: ClaimOutcome,
        actions: &mut Vec<DispatcherAction>,
    ) {
        self.acknowledge(&ticket);
        let (interval, next_at, expires_at) =
            (INITIAL_INTERVAL, now + INITIAL_INTERVAL, now + MAX_AGE);
        let report = Report { digest, outcome, stored, interval, next_at, expires_at };
        send(&ticket, &report, actions);
        self.timers.insert((next_at, ticket.clone()));
        self.reports.insert(ticket, report);
    }

    /// Removes an outcome that its issuer has acknowledged.
    pub(super) fn acknowledge(&mut self, ticket: &Ticket) {
        let Some(report) = self.reports.remove(ticket) else { return };
        self.timers.remove(&(report.next_at, ticket.clone()));
    }

    /// Sends the reports that are due again.
    pub(super) fn tick(&mut self, now: Duration, actions: &mut Vec<DispatcherAction>) {
        while let Some((at, _)) = self.timers.first()
            && *at <= now
        {
            let Some((_, ticket)) = self.timers.pop_first() else { return };
            self.resend(now, ticket, actions);
        }
    }

    fn resend(&mut self, now: Duration, ticket: Ticket, actions: &mut Vec<DispatcherAction>) {
        let Some(report) = self.reports.get_mut(&ticket) else { return };
        if now >= report.expires_at {
            self.reports.remove(&ticket);
            return;
        }
        report.interval = (report.interval * 2).min(MAX_INTERVAL);
        report.next_at = now + report.interval;
        send(&ticket, report, actions);
        self.timers.insert((report.next_at, ticket));
    }
}

fn send(ticket: &Ticket, report: &Report, actions: &mut Vec<DispatcherAction>) {
    let message = Message::ClaimOutcome { ticket: ticket.number, outcome: report.stored.clone() };
    actions.push(DispatcherAction::Send(ticket.holder.clone(), message));
}
