//! Charges for prompts of streams that didn't end.

use std::{sync::Arc, time::Duration};

use gateway::{
    credit::{Credits, prompt_digest},
    request::Prompt,
};
use test_case::test_case;
use wire::lend::ResumePoint;

const NOTED_AT: Duration = Duration::from_secs(1);

fn point(prompt: u8, event: u64) -> ResumePoint {
    ResumePoint { prompt: [prompt; 32], event }
}

struct Case {
    noted: &'static [(u8, u64)],
    /// Workspace, prompt and event of each stream that is resumed, and whether its prompt is paid.
    claims: &'static [(&'static str, u8, u64, bool)],
    after: Duration,
}

const SOON: Duration = Duration::from_secs(3);

#[test_case(Case { noted: &[(1, 7)], claims: &[("w", 1, 7, true)], after: SOON }; "at the last event")]
#[test_case(Case { noted: &[(1, 7)], claims: &[("w", 1, 4, true)], after: SOON }; "before the last event")]
#[test_case(Case { noted: &[(1, 7)], claims: &[("w", 1, 8, false)], after: SOON }; "behind the last event")]
#[test_case(Case { noted: &[(1, 7)], claims: &[("w", 2, 7, false)], after: SOON }; "another prompt")]
#[test_case(Case { noted: &[(1, 7)], claims: &[("v", 1, 7, false)], after: SOON }; "another workspace")]
#[test_case(Case { noted: &[(1, 7)], claims: &[("w", 1, 7, true), ("w", 1, 7, false)], after: SOON }; "twice")]
#[test_case(Case { noted: &[(1, 3), (1, 7)], claims: &[("w", 1, 5, true), ("w", 1, 3, true)], after: SOON }; "two streams of the same prompt")]
#[test_case(Case { noted: &[(1, 7)], claims: &[("w", 1, 7, false)], after: Duration::from_secs(61) }; "long after")]
#[test_case(Case { noted: &[], claims: &[("w", 1, 0, false)], after: SOON }; "never charged")]
fn charge_is_used_once_for_the_stream_that_it_was_made_for(case: Case) {
    let mut credits = Credits::default();
    for (prompt, event) in case.noted {
        credits.note(NOTED_AT, &Arc::from("w"), point(*prompt, *event));
    }
    for (workspace, prompt, event, is_paid) in case.claims {
        let claimed = credits.claim(NOTED_AT + case.after, workspace, point(*prompt, *event));
        assert_eq!(claimed, *is_paid, "{workspace} {prompt} {event}");
    }
}

#[test]
fn number_of_charges_that_are_remembered_is_bounded() {
    let mut credits = Credits::default();
    for event in 0..5000 {
        credits.note(NOTED_AT, &Arc::from("w"), point(1, event));
    }
    let claims = (0..5000).filter(|_| credits.claim(NOTED_AT, "w", point(1, 0))).count();
    assert_eq!(claims, 1024);
}

#[test]
fn requests_that_differ_have_different_digests() {
    let prompt = |input, parts: &[(&str, u64)]| {
        Prompt::new(input, 9, parts.iter().copied()).with_unshared_end()
    };
    let digests = [
        prompt_digest("POST", "/a", &prompt(5, &[("x", 2), ("y", 3)]), b"body"),
        prompt_digest("PUT", "/a", &prompt(5, &[("x", 2), ("y", 3)]), b"body"),
        prompt_digest("POST", "/b", &prompt(5, &[("x", 2), ("y", 3)]), b"body"),
        prompt_digest("POST", "/a", &prompt(6, &[("x", 2), ("y", 3)]), b"body"),
        prompt_digest("POST", "/a", &prompt(5, &[("x", 2), ("z", 3)]), b"body"),
        prompt_digest("POST", "/a", &prompt(5, &[("x", 3), ("y", 2)]), b"body"),
        prompt_digest("POST", "/a", &prompt(5, &[("x", 2), ("y", 3)]), b"other"),
    ];
    for (number, digest) in digests.iter().enumerate() {
        assert!(!digests[..number].contains(digest), "{number}");
    }
}
