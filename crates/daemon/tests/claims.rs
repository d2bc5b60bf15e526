//! Calls that may not be repeated, with a failure of each party at each time.

#[allow(dead_code)]
mod fleet;

use std::{mem, net::SocketAddr, thread, time::Duration};

use fleet::{Fleet, Plan};
use rustix::process::Signal;
use serde_json::{Value, json};
use standin::{caller::Reply, control, http, service};
use test_case::test_case;

/// Host that issues the ticket.
const ISSUER: &str = "host-a";

/// Host that gets the call first.
const RUNNER: &str = "host-b";

/// Host that gets the retries.
const RETRIED: &str = "host-c";

/// What fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    IssuerKilled,
    IssuerFrozen,
    RunnerKilled,
    PlatformDown,
    ServiceClosed,
}

/// When it fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum When {
    /// After the ticket was issued and before the call.
    Before,
    /// While the service works on the call, which then never gets its answer.
    During,
    /// After the call was answered.
    After,
}

#[derive(Debug)]
struct Case {
    fault: Fault,
    when: When,
    /// Outcomes that the first call may have; none where its host dies.
    first: &'static [&'static str],
    /// Outcome that the retries settle on.
    settled: &'static str,
    runs: u64,
}

/// Returns the outcome of a reply; an answer is one too.
fn outcome(reply: &Reply) -> &str {
    match reply.whole() {
        true => "answer",
        false => reply.refusal().1,
    }
}

/// Returns the outcome of a reply that no retry will change; `None` while a retry may learn more.
fn settled(reply: &Reply) -> Option<&str> {
    let open = reply
        .problem
        .as_ref()
        .is_some_and(|problem| problem.outcome == "unknown" && problem.retry_after_ms.is_some());
    (!open).then(|| outcome(reply))
}

fn body() -> Value {
    json!({"input": {"centre": 7, "amount": 1200}})
}

fn disburse(fleet: &Fleet, host: &str, ticket: &str) -> Reply {
    fleet.caller(host).call("disburse", Some(ticket), &body(), |_| {}).expect("reply")
}

fn runs(fleet: &Fleet) -> u64 {
    fleet.runs().into_values().sum()
}

/// Returns a service at an address.
fn serve(listen: SocketAddr) -> http::Handle {
    service::spawn(service::Settings { listen, work: Duration::ZERO }).expect("service")
}

/// Lets a fault come about; returns the address of a service that was closed.
fn inject(fleet: &mut Fleet, fault: Fault) -> Option<SocketAddr> {
    match fault {
        Fault::IssuerKilled => {
            fleet.kill(ISSUER);
            fleet.list(ISSUER, "a", "gone");
        }
        Fault::IssuerFrozen => fleet.signal(ISSUER, Signal::STOP),
        Fault::RunnerKilled => {
            fleet.kill(RUNNER);
            fleet.list(RUNNER, "b", "gone");
        }
        Fault::PlatformDown => fleet.fail_platform(&json!({"kind": "down"})),
        Fault::ServiceClosed => {
            let other = serve(SocketAddr::from(([127, 0, 0, 1], 0)));
            return Some(mem::replace(&mut fleet.service, other).address);
        }
    }
    None
}

/// Ends a fault that can end; the platform stays away.
fn ease(fleet: &mut Fleet, fault: Fault, closed: Option<SocketAddr>) {
    if fault == Fault::IssuerFrozen {
        fleet.signal(ISSUER, Signal::CONT);
    }
    if let Some(address) = closed {
        fleet.service = serve(address);
    }
}

/// Starts a call whose run never ends and a retry that finds it running, lets the fault come about,
/// and returns the reply to the first, if any.
fn interrupt(fleet: &mut Fleet, fault: Fault, ticket: &str) -> Option<Reply> {
    let stall = json!({"kind": "stall", "count": 1});
    control::post(fleet.service.address, "/control/fault", &stall).expect("fault");
    let start = |fleet: &Fleet, host: &str| {
        let (caller, held) = (fleet.caller(host), ticket.to_owned());
        thread::spawn(move || caller.call("disburse", Some(&held), &body(), |_| {}).ok())
    };
    let first = start(fleet, RUNNER);
    fleet.wait("the call runs", || runs(fleet) == 1);
    let retry = start(fleet, RETRIED);
    inject(fleet, fault);
    let retry = retry.join().expect("thread").expect("reply");
    assert_eq!(outcome(&retry), "unknown", "{fault:?}: {retry:?}");
    first.join().expect("thread")
}

/// Retries until the outcome is settled.
fn settle(fleet: &Fleet, ticket: &str, case: &Case) -> Reply {
    let mut last = Reply::default();
    fleet.wait(&format!("the outcome is settled: {case:?}"), || {
        last = disburse(fleet, RETRIED, ticket);
        settled(&last).is_some()
    });
    last
}

fn check(case: &Case) {
    let mut fleet = Fleet::open(Plan::default());
    for host in [ISSUER, RUNNER, RETRIED] {
        let prompt = json!({"prompt": "A letter", "max_tokens": 10});
        let reply = fleet.caller(host).call("draft", None, &prompt, |_| {}).expect("reply");
        assert!(reply.whole(), "{reply:?}");
    }
    let ticket = fleet.caller(ISSUER).ticket().expect("ticket");
    let mut closed = None;
    let first = match case.when {
        When::Before => {
            closed = inject(&mut fleet, case.fault);
            Some(disburse(&fleet, RUNNER, &ticket))
        }
        When::During => interrupt(&mut fleet, case.fault, &ticket),
        When::After => {
            let first = disburse(&fleet, RUNNER, &ticket);
            let kept = settle(&fleet, &ticket, case);
            assert_eq!(kept, first, "{case:?}");
            inject(&mut fleet, case.fault);
            Some(first)
        }
    };
    let found = first.as_ref().map(outcome);
    let expected = match found {
        Some(found) => case.first.contains(&found),
        None => case.first.is_empty(),
    };
    assert!(expected, "{case:?}: {first:?}");
    if case.fault == Fault::IssuerFrozen && case.when == When::Before {
        let problem = first.as_ref().and_then(|reply| reply.problem.as_ref());
        assert!(problem.is_some_and(|problem| problem.retry_after_ms.is_some()), "{first:?}");
    }
    ease(&mut fleet, case.fault, closed);

    let reply = settle(&fleet, &ticket, case);
    assert_eq!(outcome(&reply), case.settled, "{case:?}: {reply:?}");
    if case.when == When::After {
        assert_eq!(Some(&reply), first.as_ref(), "{case:?}");
    }
    let again = disburse(&fleet, RETRIED, &ticket);
    assert_eq!(again, reply, "{case:?}");
    assert_eq!(runs(&fleet), case.runs, "{case:?}");

    fleet.wait(&format!("another ticket works: {case:?}"), || {
        let ticket = fleet.caller(RETRIED).ticket().expect("ticket");
        disburse(&fleet, RETRIED, &ticket).whole()
    });
    assert_eq!(runs(&fleet), case.runs + 1, "{case:?}");
}

#[test_case(Fault::IssuerKilled, When::Before, &["unknown", "not_run"], "not_run", 0; "issuer killed before the call")]
#[test_case(Fault::IssuerKilled, When::During, &["unknown"], "unknown", 1; "issuer killed during the call")]
#[test_case(Fault::IssuerKilled, When::After, &["answer"], "answer", 1; "issuer killed after the call")]
#[test_case(Fault::IssuerFrozen, When::Before, &["unknown"], "not_run", 0; "issuer frozen before the call")]
#[test_case(Fault::IssuerFrozen, When::During, &["unknown"], "unknown", 1; "issuer frozen during the call")]
#[test_case(Fault::RunnerKilled, When::During, &[], "unknown", 1; "runner killed during the call")]
#[test_case(Fault::RunnerKilled, When::After, &["answer"], "answer", 1; "runner killed after the call")]
#[test_case(Fault::PlatformDown, When::Before, &["answer"], "answer", 1; "platform down before the call")]
#[test_case(Fault::PlatformDown, When::During, &["unknown"], "unknown", 1; "platform down during the call")]
#[test_case(Fault::ServiceClosed, When::Before, &["not_run"], "not_run", 0; "service closed before the call")]
fn a_call_runs_at_most_once(
    fault: Fault,
    when: When,
    first: &'static [&'static str],
    settled: &'static str,
    runs: u64,
) {
    check(&Case { fault, when, first, settled, runs });
}
