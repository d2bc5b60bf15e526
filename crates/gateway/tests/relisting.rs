//! Tests of whether entries that are missing from the list of backend servers are kept.

use std::time::Duration;

use gateway::relisting::Relisting;
use test_case::test_case;
use tokio::time::Instant;

/// An answer of the platform.
struct Answer {
    sent_ms: u64,
    /// The platform's clock when it was given.
    answered_ms: u64,
    received_ms: u64,
    era: u64,
    /// Whether entries that it lacks are kept, if it is a list.
    keeps: Option<bool>,
}

const fn list(sent_ms: u64, answered_ms: u64, received_ms: u64, keeps: bool) -> Answer {
    Answer { sent_ms, answered_ms, received_ms, era: 1, keeps: Some(keeps) }
}

const fn other(answered_ms: u64) -> Answer {
    Answer { sent_ms: answered_ms, answered_ms, received_ms: answered_ms + 5, era: 1, keeps: None }
}

/// A list counted as one of the time of its arrival, so that an outage went unnoticed; a list from
/// soon after one dropped backend servers that were back; a host that had relied on the directory for
/// long took that for an outage, and kept backend servers that had left.
#[test_case(&[list(0, 5, 10, false), list(500, 505, 510, false), list(1000, 1005, 1010, false)]; "no outage")]
#[test_case(&[list(0, 5, 10, false), list(2000, 2005, 2010, true), list(3000, 3005, 3010, true), list(4000, 4005, 4005, true), list(4020, 4025, 4030, false)]; "outage")]
#[test_case(&[list(0, 5, 10, false), list(500, 2995, 3000, true)]; "a read that the outage held up")]
#[test_case(&[list(0, 5, 1200, false), list(1300, 1695, 1700, true)]; "an outage after the list of a late response was read")]
#[test_case(&[list(0, 1195, 1200, false), list(1300, 1695, 1700, false)]; "a list that was read late")]
#[test_case(&[list(0, 5, 10, false), list(2000, 2005, 2010, true), list(3000, 3005, 3010, true), list(3900, 3905, 4200, true)]; "a late list from soon after the outage")]
#[test_case(&[list(0, 5, 10, false), Answer { sent_ms: 500, answered_ms: 505, received_ms: 510, era: 2, keeps: Some(true) }]; "another era")]
#[test_case(&[list(0, 5, 10, false), other(1000), other(2000), other(3000), list(3900, 3905, 3910, false)]; "other answers without an outage")]
#[test_case(&[list(0, 5, 10, false), other(1000), other(4000), list(4010, 4015, 4020, true)]; "an outage that another answer ended")]
fn missing_entries_are_kept_after_an_outage_only(answers: &[Answer]) {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut relisting = Relisting::new(Duration::from_millis(2000));
    for answer in answers {
        relisting.record_answer(answer.era, answer.answered_ms, at(answer.received_ms));
        if let Some(keeps) = answer.keeps {
            let found = relisting.keeps_missing(at(answer.sent_ms));
            assert_eq!(found, keeps, "sent at {} ms", answer.sent_ms);
        }
    }
}
