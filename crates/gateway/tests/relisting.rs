//! Tests of whether entries that are missing from the list of backend servers are kept.

use std::time::Duration;

use gateway::relisting::Relisting;
use test_case::test_case;
use tokio::time::Instant;

/// What a host does or learns, with times in milliseconds.
enum Event {
    /// It asks for the list, and gets no answer.
    Unanswered(u64),
    /// It reads the list.
    Read(List),
    /// Another call is answered.
    Other(u64),
    /// The directory shows the list as of some time before.
    Published { at: u64, age: u64 },
}

struct List {
    sent: u64,
    /// The platform's clock when it answered.
    answered: u64,
    received: u64,
    era: u64,
    /// Whether entries that it lacks are kept.
    keeps: bool,
}

const fn read(sent: u64, answered: u64, received: u64, keeps: bool) -> Event {
    Event::Read(List { sent, answered, received, era: 1, keeps })
}

const fn read_in_era(era: u64, sent: u64, keeps: bool) -> Event {
    Event::Read(List { sent, answered: sent + 5, received: sent + 10, era, keeps })
}

use Event::{Other, Published, Unanswered};

/// A list counted as one of the time of its arrival, so that an outage went unnoticed; a list from
/// soon after one dropped backend servers that were back; a host that had relied on the directory for
/// long took that for an outage, and kept backend servers that had left.
#[test_case(&[read(0, 5, 10, false), read(500, 505, 510, false), read(1000, 1005, 1010, false)]; "no outage")]
#[test_case(&[read(0, 5, 10, false), read(2000, 2005, 2010, true), read(3000, 3005, 3010, true), read(4000, 4005, 4005, true), read(4020, 4025, 4030, false)]; "outage")]
#[test_case(&[read(0, 5, 10, false), read(500, 2995, 3000, true)]; "a read that the outage held up")]
#[test_case(&[read(0, 5, 1200, false), read(1300, 1695, 1700, true)]; "an outage after the list of a late response was read")]
#[test_case(&[read(0, 5, 10, false), read(2000, 2005, 2010, true), read(3000, 3005, 3010, true), read(3900, 3905, 4200, true)]; "a late list from soon after the outage")]
#[test_case(&[read(0, 5, 10, false), read_in_era(2, 500, true)]; "another era")]
#[test_case(&[read(0, 5, 10, false), Other(1000), Other(2000), Published { at: 3000, age: 1700 }, Other(3000), read(3100, 3105, 3110, false)]; "time in which the directory was relied on")]
#[test_case(&[read(0, 5, 10, false), Other(1000), Other(4000), Published { at: 4005, age: 500 }, read(4010, 4015, 4020, true)]; "an outage that another answer ended")]
#[test_case(&[read(0, 5, 10, false), Other(400), Unanswered(500), Other(1300), Unanswered(1400), Other(2200), read(2300, 2305, 2310, true)]; "an outage of the list alone")]
#[test_case(&[Published { at: 1000, age: 200 }, Other(1000), Other(2000), Unanswered(2200), Other(2800), read(3100, 3105, 3110, true)]; "an outage of the list alone that began before this host asked")]
#[test_case(&[read(0, 5, 10, false), Other(400), read(500, 2395, 2400, true)]; "an outage of the list alone that held a read up")]
fn missing_entries_are_kept_after_an_outage_only(events: &[Event]) {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut relisting = Relisting::new(Duration::from_millis(2000));
    for event in events {
        match event {
            Unanswered(sent) => relisting.record_question(at(*sent)),
            Other(answered) => relisting.record_answer(1, *answered, at(*answered + 5)),
            Published { at: now, age } => relisting.record_published(at(now - age)),
            Event::Read(list) => {
                relisting.record_question(at(list.sent));
                relisting.record_answer(list.era, list.answered, at(list.received));
                let keeps = relisting.record_list(at(list.sent), at(list.received));
                assert_eq!(keeps, list.keeps, "sent at {} ms", list.sent);
            }
        }
    }
}
