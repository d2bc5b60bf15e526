//! Which backend servers a request may be sent to once more.

use gateway::history::History;
use test_case::test_case;

#[derive(Debug, Clone, Copy)]
struct Case {
    /// Backend servers that the request was sent to, in order.
    sent: &'static [&'static str],
    /// Those that were given up, in order.
    abandoned: &'static [&'static str],
    /// Those that are asked once more, in order.
    asked: &'static [&'static str],
}

#[test_case(Case { sent: &[], abandoned: &[], asked: &[] }; "none")]
#[test_case(Case { sent: &["a", "b"], abandoned: &[], asked: &[] }; "none that was given up")]
#[test_case(Case { sent: &["a", "b"], abandoned: &["a"], asked: &["a"] }; "one that was given up")]
#[test_case(Case { sent: &["a", "b"], abandoned: &["a", "a"], asked: &["a"] }; "one that was given up twice")]
#[test_case(Case { sent: &["a", "b", "c"], abandoned: &["b", "a"], asked: &["b", "a"] }; "several, in order")]
#[test_case(Case { sent: &["a", "b", "a"], abandoned: &["a"], asked: &[] }; "one that was asked once more already")]
fn backend_server_that_was_given_up_is_asked_once_more(case: Case) {
    let mut history = History::default();
    for id in case.sent {
        history.push((*id).into());
    }
    for id in case.abandoned {
        history.record_abandoned((*id).into());
    }
    let asked: Vec<_> = std::iter::from_fn(|| history.take_abandoned()).collect();
    assert_eq!(asked.iter().map(|id| &**id).collect::<Vec<_>>(), case.asked);
    let sent: Vec<_> = history.ids().iter().map(|id| &**id).collect();
    assert_eq!(sent, case.sent);
}
