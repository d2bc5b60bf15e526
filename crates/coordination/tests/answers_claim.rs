//! Tests of tickets and of calls that run at most once.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use coordination::{
    claim::{
        Call, ClaimRequest, DispatchResult, Dispatcher, DispatcherAction, DispatcherEvent, Issuer,
        IssuerAction, IssuerEvent, IssuerStatus, Outcome, RecoveredClaims, TICKET_LIFETIME,
        UnknownReason,
    },
    message::{ClaimOutcome, Entry, Holder, Message, Verdict},
    request,
    ticket::{Error, Key, Ticket, digest},
};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

const HOSTS: usize = 3;
const TICKETS: u64 = 4;

fn holder(host: usize) -> Holder {
    Arc::from(format!("host-{host}.1"))
}

fn answer(body: &str) -> DispatchResult {
    DispatchResult::Answer { status: 200, body: Arc::from(body) }
}

#[test]
fn ticket_is_valid_only_for_its_fleet_and_workspace() {
    let key = Key::derive(b"fleet secret");
    let ticket = Ticket { holder: Arc::from("entry.a.7"), number: 42 };
    let text = ticket.encode("grants", &key);
    let other_number = text.replacen(".42.", ".43.", 1);
    let other_holder = text.replacen("entry.a.7", "entry.a.8", 1);
    let padded = text.replacen(".42.", ".042.", 1);
    let short = &text[..text.len() - 2];
    let replaced = Key::derive(b"new secret");
    let accepting = replaced.clone().accepting(b"fleet secret");
    let cases = [
        ("key replaced", text.as_str(), "grants", &replaced, Err(Error::Forged)),
        ("key replaced, the old one accepted", &text, "grants", &accepting, Ok(ticket.clone())),
        ("other workspace, the old key accepted", &text, "gr4nts", &accepting, Err(Error::Forged)),
        ("valid", text.as_str(), "grants", &key, Ok(ticket.clone())),
        ("other workspace", &text, "gr4nts", &key, Err(Error::Forged)),
        ("other key", &text, "grants", &Key::derive(b"other"), Err(Error::Forged)),
        ("other number", &other_number, "grants", &key, Err(Error::Forged)),
        ("other holder", &other_holder, "grants", &key, Err(Error::Forged)),
        ("padded number", &padded, "grants", &key, Err(Error::Malformed)),
        ("short code", short, "grants", &key, Err(Error::Malformed)),
        ("empty", "", "grants", &key, Err(Error::Malformed)),
        ("dots", "....", "grants", &key, Err(Error::Malformed)),
        ("no holder", "42.00112233445566778899aabbccddeeff", "grants", &key, Err(Error::Malformed)),
        ("too long", &"a.1.".repeat(100), "grants", &key, Err(Error::Malformed)),
    ];
    for (name, text, workspace, key, expected) in cases {
        assert_eq!(Ticket::parse(text, workspace, key), expected, "{name}");
    }
    assert_ne!(digest("ab", b"c"), digest("a", b"bc"));
}

/// Returns the event of a claim from a host.
fn claim(from: usize, ticket: u64, body: u8, run: u8) -> IssuerEvent {
    let request = request::Id([run; 16]);
    IssuerEvent::Claim(ClaimRequest { from: holder(from), ticket, digest: [body; 32], request })
}

fn report(from: usize, outcome: ClaimOutcome) -> IssuerEvent {
    IssuerEvent::Outcome { from: holder(from), ticket: 1, outcome }
}

#[test]
fn issuer_permits_one_run_once_its_claim_is_durable() {
    struct Case {
        name: &'static str,
        events: Vec<IssuerEvent>,
        verdicts: Vec<(usize, Verdict)>,
        acks: usize,
    }
    let claimed = || vec![claim(1, 1, 7, 1), IssuerEvent::Appended(5), IssuerEvent::Durable(5)];
    let then = |more: Vec<IssuerEvent>| [claimed(), more].concat();
    let unknown = ClaimOutcome::Unknown;
    let ended =
        |outcome| then(vec![report(1, outcome), IssuerEvent::Appended(6), IssuerEvent::Durable(6)]);
    let run = (1, Verdict::Run);
    let cases = [
        Case {
            name: "not durable",
            events: vec![claim(1, 1, 7, 1), IssuerEvent::Appended(5), IssuerEvent::Durable(4)],
            verdicts: vec![],
            acks: 0,
        },
        Case { name: "durable", events: claimed(), verdicts: vec![run.clone()], acks: 0 },
        Case {
            name: "repeated claim",
            events: then(vec![claim(1, 1, 7, 1)]),
            verdicts: vec![run.clone(), run.clone()],
            acks: 0,
        },
        Case {
            name: "other run on the same host",
            events: then(vec![claim(1, 1, 7, 2)]),
            verdicts: vec![run.clone(), (1, Verdict::Busy)],
            acks: 0,
        },
        Case {
            name: "other host, before the first is durable",
            events: vec![claim(1, 1, 7, 1), claim(2, 1, 7, 1)],
            verdicts: vec![(2, Verdict::Busy)],
            acks: 0,
        },
        Case {
            name: "other body",
            events: then(vec![claim(2, 1, 8, 2)]),
            verdicts: vec![run.clone(), (2, Verdict::Mismatch)],
            acks: 0,
        },
        Case {
            name: "never issued",
            events: vec![claim(1, 9, 7, 1)],
            verdicts: vec![(1, Verdict::Invalid)],
            acks: 0,
        },
        Case {
            name: "outcome",
            events: [ended(ClaimOutcome::NotRun), vec![claim(2, 1, 7, 2)]].concat(),
            verdicts: vec![run.clone(), (2, Verdict::Done(ClaimOutcome::NotRun))],
            acks: 1,
        },
        Case {
            name: "outcome reported again",
            events: [ended(ClaimOutcome::NotRun), vec![report(1, ClaimOutcome::NotRun)]].concat(),
            verdicts: vec![run.clone()],
            acks: 2,
        },
        Case {
            name: "outcome is not acknowledged before it is durable",
            events: then(vec![
                report(1, ClaimOutcome::NotRun),
                IssuerEvent::Appended(6),
                report(1, ClaimOutcome::NotRun),
            ]),
            verdicts: vec![run.clone()],
            acks: 0,
        },
        Case {
            name: "outcome from another host",
            events: then(vec![report(2, ClaimOutcome::NotRun), claim(2, 1, 7, 2)]),
            verdicts: vec![run.clone(), (2, Verdict::Busy)],
            acks: 0,
        },
        Case {
            name: "reported unknown stays unknown",
            events: [
                ended(unknown.clone()),
                vec![report(1, ClaimOutcome::NotRun), claim(2, 1, 7, 2)],
            ]
            .concat(),
            verdicts: vec![run.clone(), (2, Verdict::Done(unknown.clone()))],
            acks: 2,
        },
        Case {
            name: "dispatcher gone",
            events: then(vec![IssuerEvent::HolderGone(holder(1)), claim(2, 1, 7, 2)]),
            verdicts: vec![run.clone(), (2, Verdict::Done(unknown))],
            acks: 0,
        },
        Case {
            name: "dispatcher assumed gone still reports",
            events: then(vec![
                IssuerEvent::HolderGone(holder(1)),
                report(1, ClaimOutcome::NotRun),
                claim(2, 1, 7, 2),
            ]),
            verdicts: vec![run, (2, Verdict::Done(ClaimOutcome::NotRun))],
            acks: 0,
        },
    ];
    for case in cases {
        let mut issuer = Issuer::new(holder(0));
        issuer.issue(Duration::ZERO);
        let mut actions = Vec::new();
        for event in case.events {
            issuer.handle(Duration::ZERO, event, &mut actions);
        }
        let mut verdicts = Vec::new();
        let mut acks = 0;
        for action in actions {
            match action {
                IssuerAction::Send(to, Message::ClaimReply { verdict, .. }) => {
                    verdicts.push((to, verdict));
                }
                IssuerAction::Send(_, Message::ClaimOutcomeAck { .. }) => acks += 1,
                _ => {}
            }
        }
        let expected: Vec<_> = case.verdicts.into_iter().map(|(h, v)| (holder(h), v)).collect();
        assert_eq!(verdicts, expected, "{}", case.name);
        assert_eq!(acks, case.acks, "{}: acknowledgements", case.name);
    }
}

/// A permission to run may arrive after the dispatcher has told its caller that the issuer is
/// unreachable. The call must not be dispatched any more, and the issuer must learn that it did not
/// run, even if a report is lost.
#[test]
fn dispatcher_declines_permission_that_arrives_after_it_gave_up() {
    let mut dispatcher = Dispatcher::new(holder(1));
    let mut actions = Vec::new();
    let ticket = Ticket { holder: holder(0), number: 1 };
    let (digest, deadline, issuer_status) =
        ([7; 32], Duration::from_secs(9), IssuerStatus::Reachable);
    let call = Call { caller: 1, ticket, digest, deadline, issuer_status };
    dispatcher.handle(Duration::ZERO, DispatcherEvent::Call(call), &mut actions);
    let Some(DispatcherAction::Send(_, Message::Claim { request, .. })) = actions.pop() else {
        panic!("no claim");
    };
    let late = Duration::from_secs(3);
    dispatcher.handle(late, DispatcherEvent::Tick, &mut actions);
    let unknown = Outcome::Unknown(UnknownReason::IssuerUnreachable);
    assert_eq!(actions.pop(), Some(DispatcherAction::Reply(1, unknown)));
    let verdict = Verdict::Run;
    let reply = DispatcherEvent::Reply { from: holder(0), ticket: 1, request, verdict };
    dispatcher.handle(late, reply.clone(), &mut actions);
    let outcome = ClaimOutcome::NotRun;
    let report = DispatcherAction::Send(holder(0), Message::ClaimOutcome { ticket: 1, outcome });
    assert_eq!(actions, std::slice::from_ref(&report));
    dispatcher.handle(late, reply, &mut actions);
    assert_eq!(actions.len(), 1, "a repeated permission has no effect");
    dispatcher.handle(late + Duration::from_secs(1), DispatcherEvent::Tick, &mut actions);
    assert_eq!(actions, [report.clone(), report], "reported until acknowledged");
    dispatcher.handle(
        late,
        DispatcherEvent::OutcomeAcked { from: holder(0), ticket: 1 },
        &mut actions,
    );
    dispatcher.handle(late + Duration::from_secs(60), DispatcherEvent::Tick, &mut actions);
    assert_eq!(actions.len(), 2);
}

/// An issuer drops the claims of expired tickets. A ticket without a claim must then not count as
/// one whose call did not run.
#[test]
fn expired_ticket_is_never_reported_as_not_run() {
    let mut issuer = Issuer::new(holder(0));
    issuer.issue(Duration::ZERO);
    let mut actions = Vec::new();
    issuer.handle(Duration::ZERO, claim(1, 1, 7, 1), &mut actions);
    let later = TICKET_LIFETIME + Duration::from_secs(120);
    let fresh = issuer.issue(later).number;
    issuer.handle(later, IssuerEvent::Tick, &mut actions);
    actions.clear();
    issuer.handle(later, claim(2, 1, 7, 2), &mut actions);
    let invalid = matches!(
        &actions[..],
        [IssuerAction::Send(_, Message::ClaimReply { verdict: Verdict::Invalid, .. })]
    );
    assert!(invalid, "{actions:?}");
    let recovered = RecoveredClaims::replay(&issuer.snapshot());
    assert!(recovered.claims.is_empty());
    assert_eq!(recovered.outcome(1, &[7; 32]), Outcome::Unknown(UnknownReason::Expired));
    assert_eq!(recovered.outcome(fresh, &[7; 32]), Outcome::NotRun);
}

/// Step of a random test run.
#[derive(Debug, Clone)]
enum Op {
    Call {
        host: usize,
        ticket: u64,
        body: u8,
    },
    CallerLeft {
        nth: usize,
    },
    Deliver {
        nth: usize,
    },
    Drop {
        nth: usize,
    },
    Repeat {
        nth: usize,
    },
    Replicate,
    Advance {
        ms: u64,
    },
    EndDispatch {
        nth: usize,
        result_kind: u8,
    },
    Unreachable {
        host: usize,
    },
    KillDispatcher,
    /// Ends the issuer's process. Its sealed journal holds `kept` entries that were not durable.
    KillIssuer {
        kept: usize,
    },
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (0..HOSTS, 1..=TICKETS, 0u8..2)
            .prop_map(|(host, ticket, body)| Op::Call { host, ticket, body: body / 2 + body % 2 }),
        1 => (0usize..8).prop_map(|nth| Op::CallerLeft { nth }),
        8 => (0usize..8).prop_map(|nth| Op::Deliver { nth }),
        1 => (0usize..8).prop_map(|nth| Op::Drop { nth }),
        2 => (0usize..8).prop_map(|nth| Op::Repeat { nth }),
        4 => Just(Op::Replicate),
        3 => (0u64..3000).prop_map(|ms| Op::Advance { ms }),
        3 => (0usize..4, 0u8..3).prop_map(|(nth, result_kind)| Op::EndDispatch { nth, result_kind }),
        1 => (0..HOSTS).prop_map(|host| Op::Unreachable { host }),
        1 => Just(Op::KillDispatcher),
        1 => (0usize..4).prop_map(|kept| Op::KillIssuer { kept }),
    ]
}

/// Issuer on host 0 and a dispatcher on each host, with a network that loses, repeats and reorders
/// messages.
struct Simulation {
    now: Duration,
    issuer: Option<Issuer>,
    dispatchers: Vec<Option<Dispatcher>>,
    network: Vec<(Holder, Holder, Message)>,
    journal: Vec<Entry>,
    sealed: Option<Arc<RecoveredClaims>>,
    callers: u64,
    /// Host, ticket and body of each caller that waits.
    waiting: BTreeMap<u64, (usize, u64, u8)>,
    /// Outcomes returned to callers, with ticket and body.
    replies: Vec<(u64, u8, Outcome)>,
    /// Dispatches in flight: host, run, ticket and body.
    in_flight: Vec<(usize, request::Id, u64, u8)>,
    /// Bodies that may have reached a backend server, by ticket.
    sent: BTreeMap<u64, Vec<u8>>,
}

impl Simulation {
    fn new() -> Self {
        let mut issuer = Issuer::new(holder(0));
        (0..TICKETS).for_each(|_| drop(issuer.issue(Duration::ZERO)));
        Self {
            now: Duration::ZERO,
            issuer: Some(issuer),
            dispatchers: (0..HOSTS).map(|host| Some(Dispatcher::new(holder(host)))).collect(),
            network: Vec::new(),
            journal: Vec::new(),
            sealed: None,
            callers: 0,
            waiting: BTreeMap::new(),
            replies: Vec::new(),
            in_flight: Vec::new(),
            sent: BTreeMap::new(),
        }
    }

    fn step(&mut self, op: Op) {
        match op {
            Op::Call { host, ticket, body } => self.call(host, ticket, body),
            Op::CallerLeft { nth } => self.caller_left(nth),
            Op::Deliver { nth } if nth < self.network.len() => self.deliver(nth),
            Op::Drop { nth } if nth < self.network.len() => drop(self.network.remove(nth)),
            Op::Repeat { nth } if nth < self.network.len() => {
                self.network.push(self.network[nth].clone());
            }
            Op::Deliver { .. } | Op::Drop { .. } | Op::Repeat { .. } => {}
            Op::Replicate => self.replicate(),
            Op::Advance { ms } => self.advance(Duration::from_millis(ms)),
            Op::EndDispatch { nth, result_kind } => self.end_dispatch(nth, result_kind),
            Op::Unreachable { host } => {
                self.dispatcher_event(host, DispatcherEvent::Unreachable(holder(0)));
            }
            Op::KillDispatcher => self.kill_dispatcher(HOSTS - 1),
            Op::KillIssuer { kept } => self.kill_issuer(kept),
        }
    }

    fn call(&mut self, host: usize, ticket: u64, body: u8) {
        if self.dispatchers[host].is_none() {
            return;
        }
        self.callers += 1;
        let caller = self.callers;
        self.waiting.insert(caller, (host, ticket, body));
        let issuer_status =
            if self.issuer.is_some() { IssuerStatus::Reachable } else { IssuerStatus::Gone };
        let ticket = Ticket { holder: holder(0), number: ticket };
        let deadline = self.now + Duration::from_secs(5);
        let call = Call { caller, ticket, digest: [body; 32], deadline, issuer_status };
        self.dispatcher_event(host, DispatcherEvent::Call(call));
    }

    fn caller_left(&mut self, nth: usize) {
        let Some((&caller, &(host, ..))) = self.waiting.iter().nth(nth) else { return };
        self.waiting.remove(&caller);
        self.dispatcher_event(host, DispatcherEvent::CallerLeft(caller));
    }

    fn dispatcher_event(&mut self, host: usize, event: DispatcherEvent) {
        let Some(dispatcher) = &mut self.dispatchers[host] else { return };
        let mut actions = Vec::new();
        dispatcher.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                DispatcherAction::Send(to, message) => {
                    self.network.push((holder(host), to, message))
                }
                DispatcherAction::Reply(caller, outcome) => {
                    if let Some((_, ticket, body)) = self.waiting.remove(&caller) {
                        self.replies.push((ticket, body, outcome));
                    }
                }
                DispatcherAction::Dispatch { caller, ticket, run } => {
                    let body = self.waiting[&caller].2;
                    self.in_flight.push((host, run, ticket.number, body));
                }
                DispatcherAction::Recover(holder) => {
                    let sealed = self.sealed.clone().expect("recovery of a dead issuer");
                    self.dispatcher_event(host, DispatcherEvent::Recovered(holder, sealed));
                }
            }
        }
    }

    fn issuer_event(&mut self, event: IssuerEvent) {
        let Some(issuer) = &mut self.issuer else { return };
        let mut actions = Vec::new();
        issuer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                IssuerAction::Append(entry) => {
                    self.journal.push(entry);
                    self.issuer_event(IssuerEvent::Appended(self.journal.len() as u64));
                }
                IssuerAction::Send(to, message) => self.network.push((holder(0), to, message)),
            }
        }
    }

    fn deliver(&mut self, nth: usize) {
        let (from, to, message) = self.network.remove(nth);
        let host = (0..HOSTS).find(|&host| holder(host) == to).expect("a known holder");
        match message {
            Message::Claim { ticket, digest, request } => {
                self.issuer_event(IssuerEvent::Claim(ClaimRequest {
                    from,
                    ticket,
                    digest,
                    request,
                }));
            }
            Message::ClaimOutcome { ticket, outcome } => {
                self.issuer_event(IssuerEvent::Outcome { from, ticket, outcome });
            }
            Message::ClaimReply { ticket, request, verdict } => {
                self.dispatcher_event(
                    host,
                    DispatcherEvent::Reply { from, ticket, request, verdict },
                );
            }
            Message::ClaimOutcomeAck { ticket } => {
                self.dispatcher_event(host, DispatcherEvent::OutcomeAcked { from, ticket });
            }
            other => panic!("unexpected {other:?}"),
        }
    }

    fn replicate(&mut self) {
        let through = self.journal.len() as u64;
        self.issuer_event(IssuerEvent::Durable(through));
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        (0..HOSTS).for_each(|host| self.dispatcher_event(host, DispatcherEvent::Tick));
        self.issuer_event(IssuerEvent::Tick);
    }

    fn end_dispatch(&mut self, nth: usize, result_kind: u8) {
        if nth >= self.in_flight.len() {
            return;
        }
        let (host, run, ticket, body) = self.in_flight.remove(nth);
        let result = match result_kind {
            0 => DispatchResult::NotSent,
            1 => DispatchResult::Incomplete,
            _ => answer(&format!("ran {run}")),
        };
        if result != DispatchResult::NotSent {
            self.sent.entry(ticket).or_default().push(body);
        }
        self.dispatcher_event(host, DispatcherEvent::DispatchEnded { run, result });
    }

    fn kill_dispatcher(&mut self, host: usize) {
        self.dispatchers[host] = None;
        self.waiting.retain(|_, (at, ..)| *at != host);
        let (lost, kept) = self.in_flight.drain(..).partition(|(at, ..)| *at == host);
        self.in_flight = kept;
        let lost: Vec<(usize, request::Id, u64, u8)> = lost;
        for (_, _, ticket, body) in lost {
            self.sent.entry(ticket).or_default().push(body);
        }
        self.issuer_event(IssuerEvent::HolderGone(holder(host)));
    }

    fn kill_issuer(&mut self, kept: usize) {
        let Some(issuer) = self.issuer.take() else { return };
        let durable: Vec<Entry> = issuer
            .snapshot()
            .into_iter()
            .filter(|entry| match entry {
                Entry::Claim { ticket, .. } => issuer.is_durable(*ticket),
                _ => true,
            })
            .collect();
        let not_durable = issuer.snapshot().into_iter().filter(|entry| !durable.contains(entry));
        let sealed: Vec<Entry> = durable.iter().cloned().chain(not_durable.take(kept)).collect();
        let sealed = Arc::new(RecoveredClaims::replay(&sealed));
        self.sealed = Some(sealed.clone());
        self.kill_dispatcher(0);
        for host in 1..HOSTS {
            self.dispatcher_event(host, DispatcherEvent::Recovered(holder(0), sealed.clone()));
        }
    }

    /// Delivers all messages, replicates all entries and answers all dispatches, until no caller
    /// waits.
    fn run_until_idle(&mut self) {
        for _ in 0..40 {
            while !self.network.is_empty() {
                self.deliver(0);
            }
            self.replicate();
            while !self.in_flight.is_empty() {
                self.end_dispatch(0, 2);
            }
            self.advance(Duration::from_millis(500));
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        for (ticket, bodies) in &self.sent {
            prop_assert!(bodies.len() <= 1, "ticket {ticket} ran {} times", bodies.len());
        }
        for (ticket, body, outcome) in &self.replies {
            let sent = self.sent.get(ticket).and_then(|bodies| bodies.first());
            match outcome {
                Outcome::NotRun => prop_assert_eq!(sent, None, "ticket {} not run", ticket),
                Outcome::Answer { .. } => prop_assert_eq!(sent, Some(body)),
                Outcome::Mismatch => prop_assert_ne!(sent, Some(body)),
                Outcome::Unknown(_) => {}
            }
        }
        Ok(())
    }
}

fn test_runner() -> TestRunner {
    let config = Config { cases: 2000, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// Lost, repeated or late messages and the end of a process must not let two hosts dispatch the
/// same call, nor report a call as not run that may have reached a backend server.
#[test]
fn random_faults_never_run_a_ticket_twice_or_report_a_run_as_not_run() {
    let result = test_runner().run(&vec(op(), 0..60), |ops| {
        let mut simulation = Simulation::new();
        ops.into_iter().for_each(|op| simulation.step(op));
        simulation.run_until_idle();
        prop_assert!(simulation.waiting.is_empty(), "no outcome for {:?}", simulation.waiting);
        simulation.check()
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

/// Reference model that decides calls one after the other, with complete knowledge.
#[derive(Default)]
struct ReferenceModel {
    /// Body of the first call of each ticket, and whether it was sent.
    ended: BTreeMap<u64, (u8, bool)>,
}

impl ReferenceModel {
    /// Returns whether the call runs, and whether its body is that of the ticket's first call.
    fn call(&mut self, ticket: u64, body: u8, sent: bool) -> (bool, bool) {
        match self.ended.get(&ticket) {
            Some((first, _)) => (false, *first == body),
            None => {
                self.ended.insert(ticket, (body, sent));
                (true, true)
            }
        }
    }
}

#[test]
fn without_faults_outcomes_match_the_reference_model() {
    let call = (0..HOSTS, 1..=TICKETS, 0u8..2, 0u8..3);
    let result = test_runner().run(&vec(call, 0..20), |calls| {
        let mut simulation = Simulation::new();
        let mut model = ReferenceModel::default();
        for (host, ticket, body, result_kind) in calls {
            let (runs, matches) = model.call(ticket, body, result_kind != 0);
            simulation.call(host, ticket, body);
            while !simulation.network.is_empty() {
                simulation.deliver(0);
                simulation.replicate();
            }
            prop_assert_eq!(simulation.in_flight.len(), usize::from(runs));
            simulation.end_dispatch(0, result_kind);
            while !simulation.network.is_empty() {
                simulation.deliver(0);
                simulation.replicate();
            }
            let (.., outcome) = simulation.replies.last().expect("an outcome");
            prop_assert_eq!(*outcome == Outcome::Mismatch, !matches);
            let sent = model.ended[&ticket].1;
            prop_assert_eq!(*outcome == Outcome::NotRun, matches && !sent);
        }
        simulation.check()
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}
