//! The limit on retries over many hosts and in any window.

use std::time::Duration;

use gateway::retry_budget::{RetryBudget, RetryLimit};
use test_case::test_case;

const LIMIT: RetryLimit =
    RetryLimit { window: Duration::from_secs(10), ratio_milli: 200, slack: 54 };

struct Case {
    hosts: u64,
    /// Requests per second at each host.
    requests_per_s: u64,
    /// Retries attempted for each request.
    retries_per_request: u64,
    /// Seconds after which all hosts restart and have forgotten what they sent.
    restart_s: u64,
}

#[test_case(
    Case { hosts: 7, requests_per_s: 0, retries_per_request: 0, restart_s: 99 };
    "no requests"
)]
#[test_case(
    Case { hosts: 7, requests_per_s: 4, retries_per_request: 3, restart_s: 99 };
    "every request is retried"
)]
#[test_case(
    Case { hosts: 1, requests_per_s: 50, retries_per_request: 3, restart_s: 99 };
    "one host"
)]
#[test_case(
    Case { hosts: 90, requests_per_s: 1, retries_per_request: 5, restart_s: 99 };
    "more hosts than slack"
)]
#[test_case(
    Case { hosts: 7, requests_per_s: 4, retries_per_request: 3, restart_s: 9 };
    "all hosts restart"
)]
fn retries_of_all_hosts_keep_to_the_limit_in_every_window(case: Case) {
    let new_hosts = || (0..case.hosts).map(|_| RetryBudget::new(LIMIT)).collect::<Vec<_>>();
    let mut hosts = new_hosts();
    let mut sent = Vec::new();
    for tick in 0..400u64 {
        if tick > 0 && tick % (case.restart_s * 10) == 0 {
            hosts = new_hosts();
        }
        let now = Duration::from_millis(tick * 100);
        let (mut requests, mut retries) = (0, 0);
        for host in &mut hosts {
            if tick % 10 == 0 {
                for _ in 0..case.requests_per_s {
                    host.record_request(now);
                    requests += 1;
                    retries += (0..case.retries_per_request)
                        .filter(|_| host.try_withdraw(now, case.hosts))
                        .count() as u64;
                }
            }
        }
        sent.push((requests, retries));
    }
    for window in sent.windows(100) {
        let requests: u64 = window.iter().map(|slot| slot.0).sum();
        let retries: u64 = window.iter().map(|slot| slot.1).sum();
        let max_retries_milli = LIMIT.slack * 1000 + LIMIT.ratio_milli * requests;
        assert!(retries * 1000 <= max_retries_milli, "{retries} retries for {requests} requests");
    }
}

#[test]
fn retries_are_allowed_while_few_are_needed() {
    let mut budget = RetryBudget::new(LIMIT);
    let now = Duration::from_secs(1);
    for _ in 0..20 {
        budget.record_request(now);
    }
    assert!((0..4).all(|_| budget.try_withdraw(now, 7)));
    assert!(!(0..100).all(|_| budget.try_withdraw(now, 7)));
    let later = now + 2 * LIMIT.window;
    assert!(budget.try_withdraw(later, 7), "the window has passed");
}
