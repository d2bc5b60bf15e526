//! What operators see of a fleet of processes, and what they must never see.

#[allow(dead_code)]
mod fleet;

use std::{sync::Arc, time::Duration};

use coordination::{
    credential::Hash,
    timeline::{self, Event, Merged, Query, Report, Step},
};
use daemon::driver::wall_ms;
use fleet::{Fleet, KEY_BYTE, Plan, THREE, TOKEN};
use serde_json::{Value, json};
use standin::{
    caller::{Caller, scrape},
    control,
};

/// Token that replaces [`TOKEN`].
const NEXT_TOKEN: &str = "token-that-replaces-it";

/// Byte of which the key is made that replaces the fleet's key.
const NEXT_KEY_BYTE: &str = "7b";

/// Token that nobody was given.
const WRONG_TOKEN: &str = "token-of-a-stranger";

/// Text that callers send.
const PROMPT: &str = "Whose hardship grant is this";

/// Longest wait for a host's answer to an operator.
const TIMEOUT: Duration = Duration::from_secs(10);

fn draft(fleet: &Fleet, host: &str, token: &str, key: Option<&str>) -> standin::caller::Reply {
    let caller = Caller::open(fleet.hosts[host].callers, token, TIMEOUT);
    let body = json!({"prompt": PROMPT, "max_tokens": 10});
    caller.call("draft", key, &body, |_| {}).expect("reply")
}

/// Returns whether a host takes an operator's token.
fn admits(fleet: &Fleet, host: &str, token: &str) -> bool {
    wire::client::status(fleet.hosts[host].peers, token, TIMEOUT).is_ok()
}

fn events(fleet: &Fleet, host: &str) -> Vec<Event> {
    let address = fleet.hosts[host].peers;
    wire::client::timeline(address, TOKEN, &Query::all(), TIMEOUT).expect("timeline")
}

/// Waits until a host has settled a request and its stamp is over. A host ends an answer before it
/// records the settlement, so that the caller may be at the next host sooner.
fn wait_past_settlement(fleet: &Fleet, host: &str) {
    let settled = |event: &Event| event.step == Step::Settled;
    let stamp = || events(fleet, host).into_iter().find(settled).map(|event| event.stamp);
    fleet.wait(&format!("{host} has settled a request"), || {
        stamp().is_some_and(|stamp| stamp.wall_ms < wall_ms())
    });
}

/// Merges the timelines of all hosts at their addresses.
fn merged(addresses: &[(&str, std::net::SocketAddr)]) -> Merged {
    let ask = |address| wire::client::timeline(address, TOKEN, &Query::all(), TIMEOUT).ok();
    let reports = addresses
        .iter()
        .map(|(host, address)| Report { host: (*host).into(), events: ask(*address) });
    timeline::merge(reports)
}

fn addresses(fleet: &Fleet) -> Vec<(&'static str, std::net::SocketAddr)> {
    fleet.hosts.iter().map(|(host, process)| (*host, process.peers)).collect()
}

/// Returns everything that a host tells operators.
fn disclosed(fleet: &Fleet, host: &str) -> Vec<(&'static str, String)> {
    let process = &fleet.hosts[host];
    let status = wire::client::status(process.peers, TOKEN, TIMEOUT).expect("status");
    vec![
        ("log", fleet.log(host)),
        ("metrics", scrape(process.operators).expect("metrics")),
        ("status", format!("{status:?}")),
        ("timeline", format!("{:?}", events(fleet, host))),
    ]
}

#[test]
fn no_secret_and_no_text_of_a_caller_is_disclosed() {
    let fleet = Fleet::open(Plan::default());
    for (host, _) in THREE {
        assert!(draft(&fleet, host, TOKEN, Some("k")).whole());
        assert_eq!(draft(&fleet, host, WRONG_TOKEN, None).status, 401);
        assert!(!admits(&fleet, host, WRONG_TOKEN));
        let caller = fleet.caller(host);
        for body in [json!({"prompt": 7, "max_tokens": PROMPT}), json!({PROMPT: PROMPT})] {
            let reply = caller.call("draft", None, &body, |_| {}).expect("reply");
            assert_eq!(reply.refusal().1, "not_run", "{reply:?}");
        }
        let ticket = caller.ticket().expect("ticket");
        let body = json!({"input": PROMPT});
        assert!(caller.call("disburse", Some(&ticket), &body, |_| {}).expect("reply").whole());
    }
    let hash = Hash::of(TOKEN).to_string();
    let key = KEY_BYTE.repeat(32);
    let raw = "z".repeat(32);
    let secrets = [TOKEN, WRONG_TOKEN, PROMPT, &hash, &key, &raw];
    for (host, _) in THREE {
        for (place, text) in disclosed(&fleet, host) {
            assert!(!text.is_empty(), "{place} of {host}");
            for secret in secrets {
                assert!(!text.contains(secret), "{secret} in the {place} of {host}:\n{text}");
            }
        }
        let log = fleet.log(host);
        for step in ["accepted", "dispatched", "settled"] {
            assert!(log.contains(&format!("event={step}")), "{step} of {host}:\n{log}");
        }
    }
}

#[test]
fn one_request_is_followed_over_three_processes_in_causal_order() {
    let fleet = Fleet::open(Plan::default());
    for (host, _) in THREE {
        assert!(draft(&fleet, host, TOKEN, Some("k")).whole());
        wait_past_settlement(&fleet, host);
    }
    let Merged { events, missing } = merged(&addresses(&fleet));
    assert!(missing.is_empty(), "{missing:?}");
    let accepted = |event: &&Event| event.step == Step::Accepted && event.request.is_some();
    let request = events.iter().find(accepted).expect("accepted").request;
    let own: Vec<&Event> = events.iter().filter(|event| event.request == request).collect();
    let place = |host: &str, step: Step| {
        let found = own.iter().position(|event| &*event.host == host && event.step == step);
        found.unwrap_or_else(|| panic!("no {step} at {host} in {own:#?}"))
    };
    let held = own.iter().position(|event| event.step == Step::Held && &*event.peer == "host-a");
    let held = held.unwrap_or_else(|| panic!("no copy in {own:#?}"));
    assert!(own[held].cause.is_some(), "{:?}", own[held]);
    let order = [
        place("host-a", Step::Accepted),
        held,
        place("host-a", Step::Reserved),
        place("host-a", Step::Dispatched),
        place("host-a", Step::FirstToken),
        place("host-a", Step::Answered),
        place("host-a", Step::Settled),
        place("host-b", Step::Accepted),
        place("host-c", Step::Accepted),
    ];
    assert!(order.is_sorted(), "{order:?} in {own:#?}");
    let query = Query { request, ..Query::all() };
    let address = fleet.hosts["host-b"].peers;
    let found = wire::client::timeline(address, TOKEN, &query, TIMEOUT).expect("timeline");
    assert!(!found.is_empty());
    assert!(found.iter().all(|event| event.request == request), "{found:?}");
}

#[test]
fn a_killed_host_is_named_as_not_answering() {
    let mut fleet = Fleet::open(Plan::default());
    let addresses = addresses(&fleet);
    fleet.kill("host-b");
    let Merged { events, missing } = merged(&addresses);
    assert_eq!(missing, [Arc::<str>::from("host-b")]);
    for host in ["host-a", "host-c"] {
        assert!(events.iter().any(|event| &*event.host == host), "{host}");
    }
}

#[test]
fn tokens_are_replaced_without_a_gap() {
    let fleet = Fleet::open(Plan::default());
    let operator = |tokens: &[&str]| {
        let hashes: Vec<String> = tokens.iter().map(|token| Hash::of(token).to_string()).collect();
        fleet.put(&json!({
            "kind": "operator", "version": 2, "name": "on-call", "token_hashes": hashes,
        }));
        fleet.put(&json!({
            "kind": "workspace", "version": 2, "name": "committee", "token_hashes": hashes,
            "budgets": ["grants"],
        }))
    };
    let in_force = |revision: u64| {
        for (host, _) in THREE {
            fleet.wait(&format!("revision {revision} at {host}"), || {
                fleet.metric(host, "laburnum_config_revision") >= revision
            });
        }
    };
    let taken = |host: &str, token: &str| {
        let status = draft(&fleet, host, token, None).status;
        assert!([200, 401].contains(&status), "{status} at {host}");
        [admits(&fleet, host, token), status == 200]
    };
    let stages: [(&[&str], bool, bool); 3] =
        [(&[TOKEN], true, false), (&[TOKEN, NEXT_TOKEN], true, true), (&[NEXT_TOKEN], false, true)];
    for (tokens, old, new) in stages {
        in_force(operator(tokens));
        for (host, _) in THREE {
            assert_eq!(taken(host, TOKEN), [old; 2], "the old one at {host} with {tokens:?}");
            assert_eq!(taken(host, NEXT_TOKEN), [new; 2], "the new one at {host} with {tokens:?}");
            assert_eq!(taken(host, WRONG_TOKEN), [false; 2], "a wrong one at {host}");
        }
    }
}

#[test]
fn an_invalid_record_is_reported_and_the_last_valid_one_stays_in_force() {
    let fleet = Fleet::open(Plan::default());
    let revision = fleet.put(&json!({
        "kind": "route", "version": 2, "name": "draft", "class": "normal", "idempotent": true,
        "backends": ["engine-a"], "model": {"name": "assess"}, "max_tokens": "many",
        "timeout_ms": 60_000,
    }));
    for (host, _) in THREE {
        fleet.wait(&format!("revision {revision} at {host}"), || {
            fleet.metric(host, "laburnum_config_revision") >= revision
        });
        let events = events(&fleet, host);
        let reported = events.iter().find(|event| event.step == Step::RecordInvalid);
        let reported = reported.unwrap_or_else(|| panic!("not reported by {host}"));
        for part in ["config/route/draft", "max_tokens"] {
            assert!(reported.detail.contains(part), "{part} in {reported:?}");
        }
        assert!(draft(&fleet, host, TOKEN, None).whole(), "at {host}");
    }
}

#[test]
fn health_says_whether_a_host_takes_requests() {
    let mut fleet = Fleet::open(Plan::default());
    let healthy = |fleet: &Fleet, host: &str| {
        let address = fleet.hosts[host].operators;
        let answer = control::get(address, "/healthz");
        (fleet.metric(host, "laburnum_ready"), answer.is_ok_and(|body| body == Value::Null))
    };
    for (host, _) in THREE {
        assert_eq!(healthy(&fleet, host), (1, true), "{host}");
    }
    fleet.fail_platform(&json!({"kind": "down"}));
    for (host, _) in THREE {
        fleet.kill(host);
    }
    fleet.start("host-c", "c");
    fleet.wait("host-c has counted itself", || {
        let page = scrape(fleet.hosts["host-c"].operators).unwrap_or_default();
        page.contains("laburnum_ready")
    });
    assert_eq!(healthy(&fleet, "host-c"), (0, false));
    assert_eq!(draft(&fleet, "host-c", TOKEN, None).status, 503);
    fleet.fail_platform(&json!({"kind": "up"}));
    fleet.wait("host-c is healthy", || healthy(&fleet, "host-c") == (1, true));
}

#[test]
fn the_fleet_s_key_is_replaced_without_a_gap() {
    let mut fleet = Fleet::open(Plan::default());
    let (old, new) = (KEY_BYTE.repeat(32), NEXT_KEY_BYTE.repeat(32));
    let steps = [(&old, &new), (&new, &old)];
    for (key, accepted) in steps {
        fleet.write("key", key);
        fleet.write("accepted", accepted);
        for (host, zone) in THREE {
            fleet.restart(host, zone, "accept_key_file = accepted");
            // The ticket of a host that is a step behind or ahead runs at any other.
            for issuer in ["host-a", "host-b", "host-c"] {
                let ticket = fleet.caller(issuer).ticket().expect("ticket");
                let body = json!({"input": {"centre": 7}});
                let reply = fleet.caller(host).call("disburse", Some(&ticket), &body, |_| {});
                let reply = reply.expect("reply");
                assert!(reply.whole(), "{issuer} to {host}: {reply:?}\n{}", fleet.logs());
            }
        }
    }
}
