//! Which ends of bodies are believed as ends of their streams.

use gateway::stream_end::{Claim, End, Verdict};
use test_case::test_case;

fn end(backend: &str, events: u64, after: Option<u64>) -> End {
    End {
        backend: backend.into(),
        events,
        after,
        may_end: true,
        has_surplus: false,
        is_only: false,
    }
}

#[derive(Debug, Clone, Copy)]
struct Case {
    /// Backend server and last event of a claim that was made before.
    claim: Option<(&'static str, u64)>,
    events: u64,
    after: Option<u64>,
    may_end: bool,
    has_surplus: bool,
    is_only: bool,
    verdict: Verdict,
}

impl Case {
    const WHOLE: Self = Self {
        claim: None,
        events: 5,
        after: Some(5),
        may_end: true,
        has_surplus: false,
        is_only: false,
        verdict: Verdict::Complete,
    };
    const CLAIM: Self = Self { events: 0, verdict: Verdict::Unconfirmed, ..Self::WHOLE };
}

#[test_case(Case::WHOLE; "after events")]
#[test_case(Case { after: None, ..Case::WHOLE }; "after events without ids")]
#[test_case(Case { events: 1, claim: Some(("a", 4)), ..Case::WHOLE }; "after an event that a claim denied")]
#[test_case(Case { may_end: false, verdict: Verdict::BrokenOff, ..Case::WHOLE }; "within an event")]
#[test_case(Case { events: 0, after: None, verdict: Verdict::Empty, ..Case::WHOLE }; "without any event")]
#[test_case(Case::CLAIM; "without an event of this backend server")]
#[test_case(Case { claim: Some(("a", 5)), verdict: Verdict::Confirmed, ..Case::CLAIM }; "claimed by two")]
#[test_case(Case { claim: Some(("b", 5)), ..Case::CLAIM }; "claimed twice by the same")]
#[test_case(Case { is_only: true, verdict: Verdict::Confirmed, ..Case::CLAIM }; "claimed by the only one")]
#[test_case(Case { is_only: true, events: 0, after: None, verdict: Verdict::Empty, ..Case::WHOLE }; "without any event of the only one")]
#[test_case(Case { claim: Some(("a", 4)), ..Case::CLAIM }; "claimed after another event")]
#[test_case(Case { claim: Some(("a", 5)), may_end: false, verdict: Verdict::BrokenOff, ..Case::CLAIM }; "claimed by two where a third had begun the next event")]
#[test_case(Case { has_surplus: true, verdict: Verdict::Unconfirmed, ..Case::WHOLE }; "before bytes of no response")]
#[test_case(Case { has_surplus: true, after: None, verdict: Verdict::Unconfirmed, ..Case::WHOLE }; "before bytes of no response without ids")]
#[test_case(Case { has_surplus: true, events: 0, after: None, verdict: Verdict::Empty, ..Case::WHOLE }; "without any event and before bytes of no response")]
#[test_case(Case { has_surplus: true, claim: Some(("a", 5)), verdict: Verdict::Confirmed, ..Case::CLAIM }; "claimed by two and before bytes of no response")]
#[test_case(Case { has_surplus: true, may_end: false, verdict: Verdict::BrokenOff, ..Case::WHOLE }; "within an event and before bytes of no response")]
fn end_is_judged(case: Case) {
    let claim = case.claim.map(|(backend, after)| Claim::from(end(backend, 0, Some(after))));
    let end = End {
        may_end: case.may_end,
        has_surplus: case.has_surplus,
        is_only: case.is_only,
        ..end("b", case.events, case.after)
    };
    assert_eq!(end.judge(claim.as_ref()), case.verdict);
}

#[test_case(5, Some(5), true; "of a backend server that sent events")]
#[test_case(5, Some(6), false; "that a later event denies")]
#[test_case(0, Some(5), false; "of a backend server that sent none")]
fn claim_suffices_if_nobody_can_be_asked(events: u64, after: Option<u64>, suffices: bool) {
    let claim = Claim::from(End { has_surplus: true, ..end("a", events, Some(5)) });
    assert_eq!(claim.suffices(after), suffices);
}
