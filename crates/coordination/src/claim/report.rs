//! Outcomes of runs, kept until their issuers have acknowledged them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{DispatcherAction, Outcome};
use crate::{
    message::{ClaimOutcome, Message},
    ticket::Ticket,
};

/// Time between the first two reports of an outcome; doubles up to [`INTERVAL_MAX`].
const INTERVAL: Duration = Duration::from_millis(200);

/// Greatest time between two reports of an outcome.
const INTERVAL_MAX: Duration = Duration::from_secs(10);

/// Time for which an outcome is kept that its issuer did not acknowledge.
const LIFETIME: Duration = Duration::from_secs(3600);

/// An outcome on its way to the issuer.
#[derive(Debug)]
struct Report {
    digest: [u8; 32],
    outcome: Outcome,
    kept: ClaimOutcome,
    interval: Duration,
    next: Duration,
    expires: Duration,
}

/// Outcomes on their way to the issuers of their tickets.
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

    /// Returns the outcome of a call whose ticket was used here.
    pub(super) fn outcome(&self, ticket: &Ticket, digest: &[u8; 32]) -> Option<Outcome> {
        let report = self.reports.get(ticket)?;
        let same = report.digest == *digest;
        Some(if same { report.outcome.clone() } else { Outcome::Mismatch })
    }

    /// Reports an outcome and keeps it; `kept` is what the issuer keeps of it.
    pub(super) fn push(
        &mut self,
        now: Duration,
        ticket: Ticket,
        digest: [u8; 32],
        outcome: Outcome,
        kept: ClaimOutcome,
        actions: &mut Vec<DispatcherAction>,
    ) {
        self.acked(&ticket);
        let (interval, next, expires) = (INTERVAL, now + INTERVAL, now + LIFETIME);
        let report = Report { digest, outcome, kept, interval, next, expires };
        send(&ticket, &report, actions);
        self.timers.insert((next, ticket.clone()));
        self.reports.insert(ticket, report);
    }

    /// Forgets an outcome that its issuer has acknowledged.
    pub(super) fn acked(&mut self, ticket: &Ticket) {
        let Some(report) = self.reports.remove(ticket) else { return };
        self.timers.remove(&(report.next, ticket.clone()));
    }

    /// Repeats the reports that are due.
    pub(super) fn tick(&mut self, now: Duration, actions: &mut Vec<DispatcherAction>) {
        while let Some((at, _)) = self.timers.first()
            && *at <= now
        {
            let Some((_, ticket)) = self.timers.pop_first() else { return };
            self.repeat(now, ticket, actions);
        }
    }

    fn repeat(&mut self, now: Duration, ticket: Ticket, actions: &mut Vec<DispatcherAction>) {
        let Some(report) = self.reports.get_mut(&ticket) else { return };
        if now >= report.expires {
            self.reports.remove(&ticket);
            return;
        }
        report.interval = (report.interval * 2).min(INTERVAL_MAX);
        report.next = now + report.interval;
        send(&ticket, report, actions);
        self.timers.insert((report.next, ticket));
    }
}

fn send(ticket: &Ticket, report: &Report, actions: &mut Vec<DispatcherAction>) {
    let message = Message::ClaimOutcome { ticket: ticket.number, outcome: report.kept.clone() };
    actions.push(DispatcherAction::Send(ticket.holder.clone(), message));
}
