//! Finds out whether entries of backend servers may be missing from the list after an outage.

use std::time::Duration;

use tokio::time::Instant;

/// Time without any answer of the platform after which entries may have expired there.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(1500);

/// Finds out after an outage whether entries may still be missing from the list.
///
/// Any answer shows that the platform was there, so that a host that has not read the list for long
/// tells an outage from a time in which it only relied on others for the list.
#[derive(Debug)]
pub struct Relisting {
    grace: Duration,
    /// Era and the platform's clock in milliseconds of the newest answer.
    answered: Option<(u64, u64)>,
    until: Option<Instant>,
}

impl Relisting {
    /// Creates the state before the first answer; entries are back in the list `grace` after an
    /// outage.
    pub fn new(grace: Duration) -> Self {
        Self { grace, answered: None, until: None }
    }

    /// Records the newest answer of the platform by the era and its clock when it was given;
    /// `received_at` is when this host found out.
    pub fn record_answer(&mut self, era: u64, answered_ms: u64, received_at: Instant) {
        let former = self.answered.replace((era, answered_ms));
        let Some((former_era, former_ms)) = former else { return };
        let silence = Duration::from_millis(answered_ms.saturating_sub(former_ms));
        if era != former_era || silence > OUTAGE_THRESHOLD {
            self.until = Some(received_at + self.grace);
        }
    }

    /// Returns whether entries that a list lacks are to be kept; the read of it was sent at a time.
    pub fn keeps_missing(&self, sent_at: Instant) -> bool {
        self.until.is_some_and(|until| sent_at < until)
    }
}
