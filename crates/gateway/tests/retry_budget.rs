//! The bound on repeats over many hosts and any window.

use std::time::Duration;

use gateway::retry_budget::{RetryBudget, RetryLimit};
use test_case::test_case;

const BOUND: RetryLimit =
    RetryLimit { window: Duration::from_secs(10), ratio_milli: 200, slack: 54 };

struct Case {
    hosts: u64,
    /// Requests in a second at each host.
    requests: u64,
    /// Repeats that are wished for each request.
    wished: u64,
    /// Seconds after which all hosts start again with an empty memory.
    restart: u64,
}

#[test_case(Case { hosts: 7, requests: 0, wished: 0, restart: 99 }; "no requests")]
#[test_case(Case { hosts: 7, requests: 4, wished: 3, restart: 99 }; "every request is repeated")]
#[test_case(Case { hosts: 1, requests: 50, wished: 3, restart: 99 }; "one host")]
#[test_case(Case { hosts: 90, requests: 1, wished: 5, restart: 99 }; "more hosts than slack")]
#[test_case(Case { hosts: 7, requests: 4, wished: 3, restart: 9 }; "all hosts start again")]
fn repeats_of_all_hosts_keep_to_the_bound_in_every_window(case: Case) {
    let open = || (0..case.hosts).map(|_| RetryBudget::new(BOUND)).collect::<Vec<_>>();
    let mut hosts = open();
    let mut sent = Vec::new();
    for tenth in 0..400u64 {
        if tenth > 0 && tenth % (case.restart * 10) == 0 {
            hosts = open();
        }
        let now = Duration::from_millis(tenth * 100);
        let (mut requests, mut repeats) = (0, 0);
        for own in &mut hosts {
            if tenth % 10 == 0 {
                for _ in 0..case.requests {
                    own.record_request(now);
                    requests += 1;
                    repeats += (0..case.wished)
                        .filter(|_| own.try_withdraw(now, case.hosts))
                        .count() as u64;
                }
            }
        }
        sent.push((requests, repeats));
    }
    for window in sent.windows(100) {
        let requests: u64 = window.iter().map(|slot| slot.0).sum();
        let repeats: u64 = window.iter().map(|slot| slot.1).sum();
        let most = BOUND.slack * 1000 + BOUND.ratio_milli * requests;
        assert!(repeats * 1000 <= most, "{repeats} repeats for {requests} requests");
    }
}

#[test]
fn repeats_are_allowed_while_few_are_needed() {
    let mut own = RetryBudget::new(BOUND);
    let now = Duration::from_secs(1);
    for _ in 0..20 {
        own.record_request(now);
    }
    assert!((0..4).all(|_| own.try_withdraw(now, 7)));
    assert!(!(0..100).all(|_| own.try_withdraw(now, 7)));
    let later = now + 2 * BOUND.window;
    assert!(own.try_withdraw(later, 7), "the window has passed");
}
