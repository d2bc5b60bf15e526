//! Zones that are cut off from each other and from the platform, and heal.

#[allow(dead_code)]
mod fleet;

use std::{sync::mpsc, thread, time::Duration};

use coordination::timeline::{Query, Step};
use fleet::{
    FOUR, Fleet, Plan, TOKEN,
    account::{call, escrow, prompt, wait_spent},
    network::PLATFORM,
};
use serde_json::{Value, json};
use standin::{caller::Reply, control};
use test_case::test_case;

/// Zone that is cut off; it has two hosts and an engine.
const CUT_OFF: &str = "a";

/// Hosts of the zone that is cut off.
const INSIDE: [&str; 2] = ["host-a", "host-d"];

/// Hosts beyond the cut.
const BEYOND: [&str; 2] = ["host-b", "host-c"];

/// Tokens of the budget where it is to be used up.
const FEW: u64 = 2_000;

/// Longest wait for a host's answer to an operator.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Directions in which nothing passes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cut {
    Both,
    /// The zone can't send.
    Outward,
    /// The zone can't hear.
    Inward,
}

fn open(prepaid: u64) -> Fleet {
    let token = Duration::from_millis(1);
    let fleet = Fleet::open(Plan { hosts: FOUR, network: true, prepaid, token, ..Plan::default() });
    for (host, _) in FOUR {
        let reply = call(&fleet.caller(host), "draft", None, &prompt("A letter", 10));
        assert!(reply.whole(), "at {host}: {reply:?}");
    }
    for host in INSIDE {
        fleet.wait(&format!("{host} has copies on both sides"), || {
            copies(&fleet, host, &INSIDE) && copies(&fleet, host, &BEYOND)
        });
    }
    fleet
}

/// Returns whether one of some hosts keeps a copy of a host's journal.
fn copies(fleet: &Fleet, host: &str, keepers: &[&str]) -> bool {
    fleet.rows(&format!("holder/{host}.")).iter().any(|(_, row)| {
        let ensemble = row["ensemble"].as_array().into_iter().flatten();
        let mut names = ensemble.filter_map(|id| id.as_str()?.rsplit_once('.'));
        names.any(|(name, _)| keepers.contains(&name))
    })
}

/// Tokens charged by [`open`].
const OPENING: u64 = 12 * FOUR.len() as u64;

fn cut(fleet: &Fleet, cut: Cut) {
    for place in ["b", "c", PLATFORM] {
        if cut != Cut::Inward {
            fleet.network.cut(CUT_OFF, place);
        }
        if cut != Cut::Outward {
            fleet.network.cut(place, CUT_OFF);
        }
    }
}

/// Sends drafts until the tokens are used up; returns what they cost, and the refusal.
fn use_up(fleet: &Fleet, host: &str) -> (u64, Reply) {
    let mut charged = 0;
    let mut refused = Reply::default();
    fleet.wait(&format!("{host} has used up its tokens"), || {
        let reply = call(&fleet.caller(host), "draft", None, &prompt("A letter", 48));
        charged += reply.end.as_ref().map_or(0, |end| end.charged);
        if reply.whole() {
            return false;
        }
        assert_eq!(reply.refusal().1, "not_run", "at {host}: {reply:?}");
        refused = reply;
        refused.refusal().0.starts_with("budget_")
    });
    (charged, refused)
}

/// Repeats a request for as long as it is refused as not run; returns the answer.
fn repeat(fleet: &Fleet, host: &str, mut send: impl FnMut() -> Reply) -> Reply {
    let mut reply = Reply::default();
    fleet.wait(&format!("{host} answers"), || {
        reply = send();
        let refused = reply.refusal().1;
        assert!(["", "not_run", "not_run_here"].contains(&refused), "at {host}: {reply:?}");
        reply.whole()
    });
    reply
}

/// Repeats a draft until it is answered; returns the answer.
fn draft(fleet: &Fleet, host: &str, key: Option<&str>, tokens: u64) -> Reply {
    let body = prompt("A letter", tokens);
    repeat(fleet, host, || call(&fleet.caller(host), "draft", key, &body))
}

/// Repeats a draft until it is answered; returns what it cost.
fn serve(fleet: &Fleet, host: &str, tokens: u64) -> u64 {
    draft(fleet, host, None, tokens).end.expect("end").charged
}

fn disburse(fleet: &Fleet, host: &str, ticket: &str) -> Reply {
    call(&fleet.caller(host), "disburse", Some(ticket), &json!({"input": {"centre": 7}}))
}

fn runs(fleet: &Fleet) -> u64 {
    fleet.runs().into_values().sum()
}

fn revision(fleet: &Fleet, host: &str) -> u64 {
    fleet.metric(host, "laburnum_config_revision")
}

fn route(tokens: u64) -> Value {
    json!({
        "kind": "route", "version": 2, "name": "draft", "class": "normal", "idempotent": true,
        "backends": ["engine-a", "engine-b"], "model": {"name": "assess"},
        "max_tokens": tokens, "timeout_ms": 60_000,
    })
}

#[test_case(Cut::Both; "both ways")]
#[test_case(Cut::Outward; "the zone can not send")]
#[test_case(Cut::Inward; "the zone can not hear")]
fn a_cut_off_zone_spends_what_it_holds_and_catches_up(way: Cut) {
    let fleet = open(FEW);
    for host in INSIDE {
        fleet.wait(&format!("{host} holds tokens"), || {
            fleet.metric(host, "laburnum_held_tokens") >= 60
        });
    }
    cut(&fleet, way);
    let mut spent = OPENING;
    for host in ["host-a", "host-b"] {
        let (charged, refused) = use_up(&fleet, host);
        spent += charged;
        assert!(charged > 0, "{refused:?}");
        let problem = refused.problem.as_ref().expect("problem");
        assert!(problem.retry_after_ms.is_some(), "at {host}: {refused:?}");
    }
    assert!(spent <= FEW, "{spent}");
    let address = fleet.hosts["host-a"].peers;
    let events = wire::client::timeline(address, TOKEN, &Query::all(), TIMEOUT).expect("timeline");
    let passed = |step: Step, peer: &str| {
        events.iter().any(|event| event.step == step && event.peer.starts_with(peer))
    };
    assert!(passed(Step::TransferReceived, "host-d"), "{events:#?}");

    fleet.top_up("second", FEW);
    fleet.network.heal();
    spent += serve(&fleet, "host-a", 1_200);
    spent += serve(&fleet, "host-d", 10);
    wait_spent(&fleet, spent);
    let sums = escrow(&fleet);
    assert!(sums.spent() + sums.open() <= 2 * FEW, "{sums:?}");
}

#[test]
fn a_request_served_on_both_sides_of_a_cut_is_charged_once() {
    let fleet = open(1_000_000);
    cut(&fleet, Cut::Both);
    let replies = ["host-a", "host-b"].map(|host| draft(&fleet, host, Some("k"), 20));
    assert_eq!(replies[0].text(), replies[1].text());
    fleet.network.heal();
    wait_spent(&fleet, OPENING + 22);
    assert_eq!(escrow(&fleet).refunded, 22);
}

#[test]
fn a_ticket_runs_once_whichever_side_of_a_cut_it_comes_from() {
    let fleet = open(1_000_000);
    let ticket = |host: &str| fleet.caller(host).ticket().expect("ticket");
    let (used, unused) = (ticket("host-b"), ticket("host-b"));
    cut(&fleet, Cut::Both);

    let own = ticket("host-a");
    let first = disburse(&fleet, "host-d", &own);
    assert!(first.whole(), "{first:?}");
    assert_eq!(disburse(&fleet, "host-a", &own), first);
    assert_eq!(runs(&fleet), 1);

    for host in BEYOND {
        fleet.wait(&format!("{host} has a copy in reach"), || copies(&fleet, host, &BEYOND));
    }
    let answer = repeat(&fleet, "host-c", || disburse(&fleet, "host-c", &used));
    for (host, ticket) in [("host-a", &used), ("host-d", &unused), ("host-c", &own)] {
        let reply = disburse(&fleet, host, ticket);
        assert_eq!(reply.refusal(), ("unknown", "unknown"), "at {host}: {reply:?}");
        assert!(reply.problem.is_some_and(|problem| problem.retry_after_ms.is_some()), "{host}");
    }
    assert_eq!(runs(&fleet), 2);

    fleet.network.heal();
    for (host, ticket, kept) in [("host-a", &used, &answer), ("host-c", &own, &first)] {
        let mut last = Reply::default();
        fleet.wait(&format!("{host} learns the outcome"), || {
            last = disburse(&fleet, host, ticket);
            last.refusal().0 != "unknown"
        });
        assert_eq!(&last, kept, "at {host}");
    }
    fleet.wait("the unused ticket is settled", || {
        disburse(&fleet, "host-d", &unused).refusal().0 != "unknown"
    });
    let settled = disburse(&fleet, "host-d", &unused);
    let mut last = Reply::default();
    fleet.wait("host-c learns the outcome of the unused ticket", || {
        last = disburse(&fleet, "host-c", &unused);
        last.refusal().0 != "unknown"
    });
    assert_eq!(last, settled);
    let last = u64::from(settled.whole());
    assert_eq!(runs(&fleet), 2 + last);
    wait_spent(&fleet, OPENING + 5 * (2 + last));
}

#[test]
fn a_host_that_is_killed_in_a_cut_off_zone_is_recovered_after_the_heal() {
    let mut fleet = open(1_000_000);
    cut(&fleet, Cut::Both);
    let mut spent = OPENING + serve(&fleet, "host-d", 10);
    fleet.hold_engines(5);
    let (first, came) = mpsc::channel();
    let caller = fleet.caller("host-d");
    let thread = thread::spawn(move || {
        caller.call("draft", Some("k"), &prompt("A letter", 40), |_| {
            let _ = first.send(());
        })
    });
    came.recv().expect("first token");
    fleet.kill("host-d");
    let broken = thread.join().expect("thread").expect("reply");
    assert!(!broken.whole(), "{broken:?}");
    fleet.release_engines();
    let retry = call(&fleet.caller("host-a"), "draft", Some("k"), &prompt("A letter", 40));
    let honest = retry.whole() || retry.refusal() == ("unreplicated", "not_run_here");
    assert!(honest, "{retry:?}");

    fleet.network.heal();
    let whole = draft(&fleet, "host-a", Some("k"), 40);
    assert!(whole.text().starts_with(&broken.text()), "{whole:?}");
    spent += 42;
    fleet.list("host-d", CUT_OFF, "gone");
    fleet.wait("host-d is closed", || {
        let rows = fleet.rows("holder/host-d.");
        rows.iter().all(|(_, row)| row["state"] == "closed")
    });
    spent += serve(&fleet, "host-a", 10);
    wait_spent(&fleet, spent);
    for (key, row) in fleet.rows("grant/grants/host-d.") {
        assert_eq!(row["stranded"].as_u64().unwrap_or(0), 0, "{key} {row}");
    }
}

#[test]
fn a_change_during_a_cut_comes_into_force_after_it_and_stays() {
    let mut fleet = open(1_000_000);
    let before = fleet.put(&route(1_000));
    fleet.wait("all hosts have the first change", || {
        FOUR.iter().all(|(host, _)| revision(&fleet, host) >= before)
    });
    cut(&fleet, Cut::Both);
    for place in ["a", "b", "c", PLATFORM] {
        fleet.network.cut("z", place);
        fleet.network.cut(place, "z");
    }
    fleet.kill("host-d");
    fleet.start("host-d", CUT_OFF);
    fleet.start("host-z", "z");
    let after = fleet.put(&route(30));
    for host in BEYOND {
        fleet.wait(&format!("{host} has the change"), || revision(&fleet, host) >= after);
    }
    fleet.wait("the restarted host has its neighbour's records", || {
        revision(&fleet, "host-d") == before
    });
    assert_eq!(revision(&fleet, "host-a"), before);
    let long = |fleet: &Fleet, host: &str| {
        call(&fleet.caller(host), "draft", None, &prompt("A letter", 31))
    };
    let reply = long(&fleet, "host-a");
    assert_ne!(reply.refusal().0, "bad_max_tokens", "{reply:?}");
    let alone = long(&fleet, "host-z");
    assert_eq!(alone.refusal(), ("not_ready", "not_run"), "{alone:?}");
    assert!(control::get(fleet.hosts["host-z"].operators, "/healthz").is_err());

    fleet.network.heal();
    let hosts: Vec<&str> = fleet.hosts.keys().copied().collect();
    for host in &hosts {
        fleet.wait(&format!("{host} has the change"), || revision(&fleet, host) >= after);
    }
    for host in &hosts {
        fleet.wait_ready(host);
        assert!(revision(&fleet, host) >= after, "{host}");
        let reply = long(&fleet, host);
        assert_eq!(reply.refusal(), ("bad_max_tokens", "not_run"), "at {host}: {reply:?}");
    }
}

#[test]
fn a_back_end_that_leaves_during_a_cut_gets_no_new_work_from_who_hears_of_it() {
    let fleet = open(1_000_000);
    cut(&fleet, Cut::Both);
    let record = json!({
        "kind": "backend", "version": 2, "name": "engine-a", "zone": "a", "role": "engine",
        "address": format!("http://{}", fleet.engines[0].address),
        "models": [{"name": "assess"}], "slots": 8, "fencing": true, "leaving": true,
    });
    let leaving = fleet.put(&record);
    let started = || {
        let address = fleet.engines[0].address;
        control::get(address, "/control/counts").expect("counts")["started"].as_u64()
    };
    let draft = |hosts: &[&str]| {
        let before = started();
        for host in hosts {
            for _ in 0..5 {
                serve(&fleet, host, 10);
            }
        }
        started() != before
    };
    for host in BEYOND {
        fleet.wait(&format!("{host} has the record"), || revision(&fleet, host) >= leaving);
    }
    assert!(!draft(&BEYOND), "hosts that know of it");
    assert!(draft(&INSIDE), "hosts that can't know of it");
    fleet.network.heal();
    for host in INSIDE {
        fleet.wait(&format!("{host} has the record"), || revision(&fleet, host) >= leaving);
    }
    assert!(!draft(&INSIDE), "hosts that heard of it late");
}
