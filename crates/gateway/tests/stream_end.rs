//! Which ends of bodies are believed as ends of their streams.

use gateway::stream_end::{Claim, End, Verdict};
use test_case::test_case;

#[derive(Debug, Clone, Copy)]
struct Case {
    /// Backend server and last event of a claim that was made before.
    claim: Option<(&'static str, u64)>,
    events: u64,
    after: Option<u64>,
    may_end: bool,
    verdict: Verdict,
}

impl Case {
    const WHOLE: Self =
        Self { claim: None, events: 5, after: Some(5), may_end: true, verdict: Verdict::Complete };
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
#[test_case(Case { claim: Some(("a", 4)), ..Case::CLAIM }; "claimed after another event")]
#[test_case(Case { claim: Some(("a", 5)), may_end: false, verdict: Verdict::BrokenOff, ..Case::CLAIM }; "claimed by two where a third had begun the next event")]
fn end_is_judged(case: Case) {
    let end = |backend: &str, events, after, may_end| End {
        backend: backend.into(),
        events,
        after,
        may_end,
    };
    let claim = case.claim.map(|(backend, after)| Claim::from(end(backend, 0, Some(after), true)));
    let end = end("b", case.events, case.after, case.may_end);
    assert_eq!(end.judge(claim.as_ref()), case.verdict);
}
