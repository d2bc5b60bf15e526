//! Whole requests through a fleet of processes, with kills, freezes and outages.

#[allow(dead_code)]
mod fleet;

use std::{
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use fleet::{
    Fleet, Plan,
    account::{call, escrow, prompt, wait_spent},
};
use rustix::process::Signal;
use serde_json::{Value, json};
use standin::{
    caller::{Caller, Reply},
    control,
};
use test_case::test_case;

/// Sends a request from a thread; returns once its first token came.
fn start(
    caller: Caller,
    service: &'static str,
    key: &'static str,
    body: Value,
) -> thread::JoinHandle<eyre::Result<Reply>> {
    let (first, came) = mpsc::channel();
    let thread = thread::spawn(move || {
        caller.call(service, Some(key), &body, |_| {
            let _ = first.send(());
        })
    });
    came.recv().expect("first token");
    thread
}

#[test]
fn a_stream_reaches_the_caller_piece_by_piece() {
    let fleet = Fleet::open(Plan::default());
    fleet.hold_engines(3);
    let thread = start(fleet.caller("host-a"), "draft", "k", prompt("A letter", 10));
    fleet.release_engines();
    let reply = thread.join().expect("thread").expect("reply");
    assert!(reply.whole(), "{reply:?}");
    assert_eq!(reply.tokens.len(), 10);
    wait_spent(&fleet, 12);
}

#[test]
fn a_repeated_key_gets_the_same_answer_at_every_host_and_is_charged_once() {
    let fleet = Fleet::open(Plan::default());
    let first = call(&fleet.caller("host-a"), "draft", Some("k"), &prompt("A letter", 10));
    assert!(first.whole(), "{first:?}");
    for host in ["host-a", "host-b", "host-c"] {
        let again = call(&fleet.caller(host), "draft", Some("k"), &prompt("A letter", 10));
        assert!(again.whole(), "{again:?}");
        assert_eq!(again.text(), first.text(), "at {host}");
    }
    wait_spent(&fleet, 12);
    let other = call(&fleet.caller("host-a"), "draft", Some("k"), &prompt("Another", 10));
    assert_eq!(other.refusal(), ("key_reused", "not_run"));
}

#[test]
fn a_ticket_lets_one_call_run_whichever_host_gets_its_retries() {
    let fleet = Fleet::open(Plan::default());
    let ticket = fleet.caller("host-a").ticket().expect("ticket");
    let body = json!({"input": {"centre": 7, "amount": 1200}});
    let first = call(&fleet.caller("host-b"), "disburse", Some(&ticket), &body);
    assert!(first.whole(), "{first:?}");
    for host in ["host-a", "host-b", "host-c"] {
        let again = call(&fleet.caller(host), "disburse", Some(&ticket), &body);
        assert_eq!(again, first, "at {host}");
    }
    let other = json!({"input": {"centre": 8, "amount": 1200}});
    let reused = call(&fleet.caller("host-a"), "disburse", Some(&ticket), &other);
    assert_eq!(reused.refusal(), ("key_reused", "not_run"));
    assert_eq!(fleet.runs().into_values().sum::<u64>(), 1);
    wait_spent(&fleet, 5);
}

#[test]
fn a_lost_answer_of_a_plain_service_is_unknown_and_never_run_again() {
    let fleet = Fleet::open(Plan::default());
    let ticket = fleet.caller("host-a").ticket().expect("ticket");
    let body = json!({"input": {"centre": 7}});
    let fault = json!({"kind": "drop_answer", "count": 1});
    control::post(fleet.service.address, "/control/fault", &fault).expect("fault");
    for host in ["host-a", "host-b", "host-c"] {
        let reply = call(&fleet.caller(host), "disburse", Some(&ticket), &body);
        assert_eq!(reply.refusal(), ("unknown", "unknown"), "at {host}: {reply:?}");
    }
    assert_eq!(fleet.runs().into_values().sum::<u64>(), 1);
}

#[test]
fn a_call_that_its_service_refused_costs_nothing() {
    let fleet = Fleet::open(Plan::default());
    let ticket = fleet.caller("host-a").ticket().expect("ticket");
    let body = json!({"input": {"centre": 7}});
    let fault = json!({"kind": "refuse", "count": 1});
    control::post(fleet.service.address, "/control/fault", &fault).expect("fault");
    for host in ["host-a", "host-b"] {
        assert_eq!(call(&fleet.caller(host), "disburse", Some(&ticket), &body).status, 503);
    }
    assert_eq!(fleet.runs().into_values().sum::<u64>(), 0);
    let ticket = fleet.caller("host-a").ticket().expect("ticket");
    assert!(call(&fleet.caller("host-a"), "disburse", Some(&ticket), &body).whole());
    wait_spent(&fleet, 5);
}

#[test]
fn a_request_past_the_budget_is_refused_and_says_when_to_come_back() {
    let fleet = Fleet::open(Plan { prepaid: 100, ..Plan::default() });
    let reply = call(&fleet.caller("host-a"), "draft", None, &prompt("A letter", 200));
    assert_eq!(reply.refusal(), ("budget_exhausted", "not_run"));
    assert!(reply.problem.expect("problem").retry_after_ms.is_some());
    fleet.top_up("second", 1_000);
    fleet.wait("the top-up is in force", || {
        call(&fleet.caller("host-a"), "draft", None, &prompt("A letter", 200)).whole()
    });
    wait_spent(&fleet, 202);
}

#[test]
fn a_killed_host_s_stream_goes_on_at_another_and_is_charged_once() {
    let mut fleet = Fleet::open(Plan::default());
    fleet.hold_engines(5);
    let thread = start(fleet.caller("host-a"), "draft", "k", prompt("A letter", 40));
    fleet.kill("host-a");
    let cut = thread.join().expect("thread").expect("reply");
    assert!(!cut.whole(), "{cut:?}");
    fleet.release_engines();
    let whole = call(&fleet.caller("host-b"), "draft", Some("k"), &prompt("A letter", 40));
    assert!(whole.whole(), "{whole:?}");
    assert!(whole.text().starts_with(&cut.text()));
    fleet.list("host-a", "a", "gone");
    wait_spent(&fleet, 42);
    fleet.wait("host-a's tokens are back", || {
        let grants = fleet.rows("grant/grants/host-a.");
        grants.iter().all(|(_, row)| {
            let figure = |name: &str| row[name].as_u64().unwrap_or(0);
            figure("granted") == figure("returned") + figure("settled") + figure("stranded")
        })
    });
}

#[test]
fn a_frozen_host_that_was_taken_for_dead_dispatches_nothing_when_it_wakes() {
    let mut fleet = Fleet::open(Plan::default());
    let reply = call(&fleet.caller("host-a"), "draft", Some("k"), &prompt("A letter", 10));
    assert!(reply.whole(), "{reply:?}");
    fleet.signal("host-a", Signal::STOP);
    fleet.list("host-a", "a", "gone");
    fleet.wait("host-a is closed", || {
        let rows = fleet.rows("holder/host-a.");
        rows.iter().any(|(_, row)| row["state"] == "closed")
    });
    let ticket = fleet.caller("host-b").ticket().expect("ticket");
    let caller = fleet.caller("host-a");
    let body = json!({"input": {"centre": 7}});
    let key = ticket.clone();
    let frozen = thread::spawn(move || caller.call("disburse", Some(&key), &body, |_| {}));
    fleet.signal("host-a", Signal::CONT);
    let mut outcome = String::new();
    if let Ok(reply) = frozen.join().expect("thread") {
        assert!(!reply.whole(), "{reply:?}");
        outcome = reply.problem.map(|problem| problem.outcome).unwrap_or_default();
    }
    assert!(["", "not_run", "not_run_here"].contains(&outcome.as_str()), "{outcome}");
    assert_eq!(fleet.runs().into_values().sum::<u64>(), 0);
    let mut process = fleet.hosts.remove("host-a").expect("host");
    assert_eq!(process.wait().code(), Some(1));
    let body = json!({"input": {"centre": 7}});
    let retry = call(&fleet.caller("host-b"), "disburse", Some(&ticket), &body);
    let runs = fleet.runs().into_values().sum::<u64>();
    assert_eq!(runs, u64::from(retry.whole()), "{retry:?}");
    // Whoever was told that this try did not run here may run it elsewhere.
    assert!(retry.whole() || outcome != "not_run_here", "{retry:?}");
    wait_spent(&fleet, 12 + 5 * runs);
}

#[test]
fn a_graceful_stop_finishes_streams_and_gives_everything_back() {
    let mut fleet = Fleet::open(Plan::default());
    fleet.hold_engines(5);
    let thread = start(fleet.caller("host-a"), "review", "k", prompt("A review", 40));
    fleet.signal("host-a", Signal::TERM);
    fleet.signal("host-a", Signal::TERM);
    fleet.wait("host-a takes no new work", || fleet.caller("host-a").ticket().is_err());
    fleet.release_engines();
    let reply = thread.join().expect("thread").expect("reply");
    assert!(reply.whole(), "{reply:?}");
    let mut process = fleet.hosts.remove("host-a").expect("host");
    assert_eq!(process.wait().code(), Some(0));
    let grants = fleet.rows("grant/grants/host-a.");
    assert!(!grants.is_empty());
    for (key, row) in grants {
        let figure = |name: &str| row[name].as_u64().unwrap_or(0);
        assert_eq!(figure("granted"), figure("returned") + figure("settled"), "{key}");
    }
    wait_spent(&fleet, 42);
}

/// Guards against an engine that is given up while it only pauses.
#[test_case(0; "before the first token")]
#[test_case(5; "between tokens")]
#[test_case(40; "before the end")]
fn an_engine_that_pauses_beside_a_stop_costs_no_answer(after: u64) {
    let fleet = Fleet::open(Plan::default());
    for engine in 0..fleet.engines.len() {
        fleet
            .fail_engine(engine, &json!({"kind": "pause", "after": after, "ms": 1300, "count": 1}));
    }
    let begun = Instant::now();
    let caller = fleet.caller("host-a");
    let call = thread::spawn(move || call(&caller, "review", None, &prompt("A review", 40)));
    thread::sleep(Duration::from_millis(700));
    fleet.signal("host-a", Signal::TERM);
    let reply = call.join().expect("thread");
    assert!(reply.whole(), "{reply:?}");
    assert_eq!(reply.tokens.len(), 40, "{reply:?}");
    assert!(begun.elapsed() >= Duration::from_millis(1300), "no engine paused");
}

#[test]
fn an_idle_host_stops_with_and_without_the_platform() {
    let mut fleet = Fleet::open(Plan::default());
    for (host, fault) in [("host-a", "up"), ("host-b", "down")] {
        fleet.fail_platform(&json!({"kind": fault}));
        fleet.signal(host, Signal::TERM);
        let mut process = fleet.hosts.remove(host).expect("host");
        assert_eq!(process.wait().code(), Some(0), "{host} with the platform {fault}");
    }
}

#[test]
fn hosts_find_each_other_through_the_platform() {
    let fleet = Fleet::open(Plan { peers: false, ..Plan::default() });
    let reply = call(&fleet.caller("host-a"), "draft", Some("k"), &prompt("A letter", 10));
    assert!(reply.whole(), "{reply:?}");
    wait_spent(&fleet, 12);
}

#[test]
fn a_platform_outage_does_not_stop_requests_that_the_hosts_can_pay() {
    let fleet = Fleet::open(Plan::default());
    for host in ["host-a", "host-b", "host-c"] {
        assert!(call(&fleet.caller(host), "draft", None, &prompt("A letter", 10)).whole());
    }
    fleet.fail_platform(&json!({"kind": "down"}));
    for host in ["host-a", "host-b", "host-c"] {
        let reply = call(&fleet.caller(host), "status", None, &prompt("A letter", 10));
        assert!(reply.whole(), "at {host}: {reply:?}");
    }
    fleet.fail_platform(&json!({"kind": "up"}));
    wait_spent(&fleet, 72);
}

#[test]
fn lost_answers_of_the_platform_change_no_sum() {
    let fleet = Fleet::open(Plan { prepaid: 2_000, ..Plan::default() });
    fleet.fail_platform(&json!({"kind": "lose_answers", "count": 12}));
    let mut spent = 0;
    for round in 0..6 {
        let host = ["host-a", "host-b", "host-c"][round % 3];
        let reply = call(&fleet.caller(host), "draft", None, &prompt("A letter", 10));
        if reply.whole() {
            spent += 12;
        } else {
            assert_eq!(reply.refusal().1, "not_run", "{reply:?}");
        }
    }
    fleet.fail_platform(&json!({"kind": "up"}));
    wait_spent(&fleet, spent);
    let sums = escrow(&fleet);
    assert!(sums.settled + sums.open() <= 2_000, "{sums:?}");
}

#[test]
fn a_back_end_that_leaves_gets_no_new_work() {
    let fleet = Fleet::open(Plan::default());
    let started = |engine: usize| {
        let address = fleet.engines[engine].address;
        control::get(address, "/control/counts").expect("counts")["started"].as_u64()
    };
    fleet.fail_engine(0, &json!({"kind": "leaving"}));
    for host in ["host-a", "host-b", "host-c"] {
        let reply = call(&fleet.caller(host), "draft", None, &prompt("A letter", 10));
        assert!(reply.whole(), "at {host}: {reply:?}");
    }
    let before = started(0);
    for host in ["host-a", "host-b", "host-c"] {
        for _ in 0..5 {
            let reply = call(&fleet.caller(host), "draft", None, &prompt("A letter", 10));
            assert!(reply.whole(), "at {host}: {reply:?}");
        }
    }
    assert_eq!(started(0), before);
}

#[test]
fn a_change_comes_into_force_at_every_host_and_survives_a_freeze() {
    let mut fleet = Fleet::open(Plan::default());
    fleet.signal("host-c", Signal::STOP);
    let route = |tokens: u64| {
        json!({
            "kind": "route", "version": 2, "name": "draft", "class": "normal",
            "idempotent": true, "backends": ["engine-a", "engine-b"],
            "model": {"name": "assess"}, "max_tokens": tokens, "timeout_ms": 60_000,
        })
    };
    fleet.put(&route(20));
    let revision = fleet.put(&route(30));
    fleet.signal("host-c", Signal::CONT);
    for host in ["host-a", "host-b", "host-c"] {
        fleet.wait(&format!("revision {revision} at {host}"), || {
            fleet.metric(host, "laburnum_config_revision") >= revision
        });
        let body = prompt("A letter", 31);
        let reply = call(&fleet.caller(host), "draft", None, &body);
        assert_eq!(reply.refusal(), ("bad_max_tokens", "not_run"), "at {host}");
    }
    fleet.fail_platform(&json!({"kind": "down"}));
    fleet.kill("host-b");
    fleet.start("host-b", "b");
    fleet.wait("the new host-b has its neighbours' configuration", || {
        fleet.metric("host-b", "laburnum_config_revision") >= revision
    });
}
