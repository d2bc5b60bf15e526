//! Outcomes of tickets that are recovered from the table after their issuer has ended.

use std::time::Duration;

use coordination::{
    claim::{Outcome, RecoveredClaims, UnknownReason},
    escrow::{self, Registration, State},
    holder::Event,
    message::{ClaimOutcome, Entry},
    recovery,
};

use crate::fleet::{Fleet, id};

const SECOND: Duration = Duration::from_secs(1);
const DIGEST: [u8; 32] = [7; 32];

/// How an issuer ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Drained,
    Died,
    DiedWithCopies,
}

struct Case {
    name: &'static str,
    /// Journal entries of the issuer.
    entries: Vec<Entry>,
    end: End,
    /// Outcomes of tickets 1 and 2.
    outcomes: [Outcome; 2],
}

fn claim(ticket: u64) -> Entry {
    Entry::Claim { ticket, digest: DIGEST, request: id(ticket) }
}

fn not_run(ticket: u64) -> Entry {
    Entry::Outcome { ticket, outcome: ClaimOutcome::NotRun }
}

fn start_fleet() -> Fleet {
    let mut fleet = Fleet::new(7, &[("a", "x"), ("b", "x"), ("c", "y"), ("d", "y")]);
    fleet.run_for(SECOND);
    fleet
}

/// Ends the issuer `a`, and has it recovered if it died.
fn finish(fleet: &mut Fleet, end: End) {
    match end {
        End::Drained => fleet.handle(0, Event::Drain),
        End::Died => fleet.kill(0),
        End::DiedWithCopies => (0..3).for_each(|index| fleet.kill(index)),
    }
    if end != End::Drained {
        for gone in ["b.1", "c.1"].into_iter().filter(|_| end == End::DiedWithCopies) {
            fleet.handle_recovery(3, recovery::Event::Gone(gone.into()));
        }
        fleet.handle_recovery(3, recovery::Event::Dead("a.1".into()));
    }
    fleet.run_for(20 * SECOND);
}

/// Returns the claims that the closed issuer left in the table.
fn recovered_claims(fleet: &Fleet) -> RecoveredClaims {
    let row = escrow::parse::<Vec<Entry>>(&fleet.table.row("claims/a.1")).expect("a row");
    RecoveredClaims::replay(row.iter().flatten())
}

/// Guards against the outcome `NotRun` for a call that may have run, because the issuer's claims
/// were dropped or the copies of its journal were lost.
#[test]
fn closed_issuer_reports_not_run_only_if_it_is_certain() {
    let unknown = || Outcome::Unknown(UnknownReason::NoAnswer);
    let expired = || Outcome::Unknown(UnknownReason::Expired);
    let cases = [
        Case {
            name: "drained",
            entries: vec![claim(1)],
            end: End::Drained,
            outcomes: [unknown(), Outcome::NotRun],
        },
        Case {
            name: "drained, with an outcome",
            entries: vec![claim(1), not_run(1), claim(2)],
            end: End::Drained,
            outcomes: [Outcome::NotRun, unknown()],
        },
        Case {
            name: "drained, all claims forgotten",
            entries: vec![claim(1), Entry::TicketFloor { floor: 2 }],
            end: End::Drained,
            outcomes: [expired(), Outcome::NotRun],
        },
        Case {
            name: "died",
            entries: vec![claim(1)],
            end: End::Died,
            outcomes: [unknown(), Outcome::NotRun],
        },
        Case {
            name: "died, all claims forgotten",
            entries: vec![claim(1), Entry::TicketFloor { floor: 2 }],
            end: End::Died,
            outcomes: [expired(), Outcome::NotRun],
        },
        Case {
            name: "died with its copies",
            entries: vec![claim(1)],
            end: End::DiedWithCopies,
            outcomes: [expired(), expired()],
        },
    ];
    for case in cases {
        let mut fleet = start_fleet();
        for entry in case.entries {
            fleet.append(0, entry);
        }
        fleet.run_for(SECOND);
        finish(&mut fleet, case.end);
        let registration: Option<Registration> =
            escrow::parse(&fleet.table.row("holder/a.1")).expect("a row");
        let state = registration.map(|registration| registration.state);
        assert_eq!(state, Some(State::Closed), "{}", case.name);
        let recovered = recovered_claims(&fleet);
        let outcomes = [1, 2].map(|ticket| recovered.outcome(ticket, &DIGEST));
        assert_eq!(outcomes, case.outcomes, "{}", case.name);
    }
}

#[test]
fn recovery_that_finds_the_issuer_closed_reports_tickets_as_expired() {
    let mut fleet = start_fleet();
    fleet.append(0, claim(1));
    fleet.run_for(SECOND);
    finish(&mut fleet, End::Drained);
    fleet.handle_recovery(3, recovery::Event::Dead("a.1".into()));
    fleet.run_for(10 * SECOND);
    let report = fleet.reports.first().expect("a report");
    assert_eq!(report.claims.outcome(1, &DIGEST), Outcome::Unknown(UnknownReason::Expired));
}

#[test]
fn ticket_without_recovered_claims_is_expired() {
    let outcome = RecoveredClaims::default().outcome(1, &DIGEST);
    assert_eq!(outcome, Outcome::Unknown(UnknownReason::Expired));
}
