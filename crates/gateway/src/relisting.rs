//! Finds out whether entries of backend servers may be missing from the list after an outage.

use std::time::Duration;

use tokio::time::Instant;

/// Time without answers of the platform after which entries may have expired there.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(1500);

/// Time within which the list is read unless the platform fails to serve it.
const PROMPT_TIME: Duration = Duration::from_millis(500);

/// Finds out after an outage whether entries may still be missing from the list.
///
/// An outage shows by a time without any answer of the platform, or by reads of the list that fail or
/// take long while other calls are answered. A host that has relied on the directory for long has not
/// read the list either, but that shows no outage.
#[derive(Debug)]
pub struct Relisting {
    grace: Duration,
    /// Era and the platform's clock in milliseconds of the newest answer.
    answered: Option<(u64, u64)>,
    /// When the list was as this host knows it.
    known_at: Option<Instant>,
    /// When this host first asked for the list since then.
    asked_at: Option<Instant>,
    until: Option<Instant>,
}

impl Relisting {
    /// Creates the state before the first answer; entries are back in the list `grace` after an
    /// outage.
    pub fn new(grace: Duration) -> Self {
        Self { grace, answered: None, known_at: None, asked_at: None, until: None }
    }

    /// Records the newest answer of the platform by the era and its clock when it was given;
    /// `received_at` is when this host found out.
    pub fn record_answer(&mut self, era: u64, answered_ms: u64, received_at: Instant) {
        let former = self.answered.replace((era, answered_ms));
        let Some((former_era, former_ms)) = former else { return };
        let silence = Duration::from_millis(answered_ms.saturating_sub(former_ms));
        if era != former_era || silence > OUTAGE_THRESHOLD {
            self.record_outage(received_at, "no answers", silence);
        }
    }

    /// Records that the directory shows the list as it was at a time.
    pub fn record_published(&mut self, known_at: Instant) {
        self.known_at = Some(known_at);
        self.asked_at = None;
    }

    /// Records that this host asks for the list.
    pub fn record_question(&mut self, at: Instant) {
        self.asked_at.get_or_insert(at);
    }

    /// Records a list by the times of the send that was answered and of the response; returns whether
    /// entries that it lacks are to be kept.
    pub fn record_list(&mut self, sent_at: Instant, received_at: Instant) -> bool {
        let asked_at = self.asked_at.take().unwrap_or(sent_at);
        let known_at = self.known_at.replace(sent_at);
        // The list may have been read at any time between the send and the response.
        let is_old = known_at.is_some_and(|at| received_at - at > OUTAGE_THRESHOLD);
        if is_old && received_at - asked_at > PROMPT_TIME {
            self.record_outage(received_at, "list unread", received_at - asked_at);
        }
        self.keeps_entries(sent_at)
    }

    /// Returns whether entries that the list lacks are kept at a time.
    pub fn keeps_entries(&self, at: Instant) -> bool {
        self.until.is_some_and(|until| at < until)
    }

    fn record_outage(&mut self, ended_at: Instant, sign: &'static str, time: Duration) {
        tracing::info!(event = "list_outage", sign, ms = time.as_millis() as u64);
        self.until = Some(ended_at + self.grace);
    }
}
