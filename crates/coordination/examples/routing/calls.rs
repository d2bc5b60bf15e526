//! Retries of calls that run at most once, and of keyed requests, over a lossy link.

use std::{sync::Arc, time::Duration};

use coordination::{
    claim::{
        Call, ClaimRequest, DispatchResult, Dispatcher, DispatcherAction, DispatcherEvent, Issuer,
        IssuerAction, IssuerEvent, IssuerStatus, Outcome,
    },
    locate::{self, Homes, Index, Location, Locator},
    message::{Holder, Message},
    request::Id,
    ticket::Ticket,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const HOSTS: usize = 7;

/// Messages between hosts that get lost, in thousandths.
const LINK_LOSS_MILLI: u32 = 50;

/// Answers of the service, and replies to callers, that get lost, in thousandths.
const ANSWER_LOSS_MILLI: u32 = 100;

/// Times that a caller tries.
const TRIES: usize = 4;

/// Time between two looks at the timers.
const STEP: Duration = Duration::from_millis(100);

/// What came of all calls.
#[derive(Debug, Default)]
pub struct Calls {
    pub calls: u32,
    pub runs: u32,
    pub doubled: u32,
    pub answered: u32,
    pub not_run: u32,
    pub unknown: u32,
    /// Calls told not to have run that did.
    pub denied: u32,
}

struct Bench {
    now: Duration,
    rng: StdRng,
    issuers: Vec<Issuer>,
    dispatchers: Vec<Dispatcher>,
    journals: Vec<u64>,
    link: Vec<(usize, Holder, Message)>,
    runs: u32,
    reply: Option<Outcome>,
}

impl Bench {
    fn chance(&mut self, milli: u32) -> bool {
        self.rng.random_range(0..1000) < milli
    }

    fn issuer(&mut self, host: usize, event: IssuerEvent) {
        let mut actions = Vec::new();
        self.issuers[host].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                IssuerAction::Append(_) => {
                    self.journals[host] += 1;
                    let number = self.journals[host];
                    self.issuer(host, IssuerEvent::Appended(number));
                    self.issuer(host, IssuerEvent::Durable(number));
                }
                IssuerAction::Send(to, message) => self.link.push((host, to, message)),
            }
        }
    }

    fn dispatcher(&mut self, host: usize, event: DispatcherEvent) {
        let mut actions = Vec::new();
        self.dispatchers[host].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                DispatcherAction::Send(to, message) => self.link.push((host, to, message)),
                DispatcherAction::Reply(_, outcome) => self.reply = Some(outcome),
                DispatcherAction::Dispatch { run, .. } => {
                    self.runs += 1;
                    let lost = self.chance(ANSWER_LOSS_MILLI);
                    let answer = DispatchResult::Answer { status: 200, body: Arc::from("done") };
                    let result = if lost { DispatchResult::Incomplete } else { answer };
                    self.dispatcher(host, DispatcherEvent::DispatchEnded { run, result });
                }
                DispatcherAction::Recover(_) => {}
            }
        }
    }

    fn deliver(&mut self) {
        while let Some((from, to, message)) = self.link.pop() {
            if self.chance(LINK_LOSS_MILLI) {
                continue;
            }
            let host = (0..HOSTS).find(|&host| holder(host) == to).expect("a known holder");
            let from = holder(from);
            match message {
                Message::Claim { ticket, digest, request } => {
                    let ask = ClaimRequest { from, ticket, digest, request };
                    self.issuer(host, IssuerEvent::Claim(ask));
                }
                Message::ClaimOutcome { ticket, outcome } => {
                    self.issuer(host, IssuerEvent::Outcome { from, ticket, outcome });
                }
                Message::ClaimReply { ticket, request, verdict } => {
                    self.dispatcher(
                        host,
                        DispatcherEvent::Reply { from, ticket, request, verdict },
                    );
                }
                Message::ClaimOutcomeAck { ticket } => {
                    self.dispatcher(host, DispatcherEvent::OutcomeAcked { from, ticket });
                }
                _ => {}
            }
        }
    }

    /// Lets a host handle a try; returns the outcome unless the reply to the caller is lost.
    fn try_call(&mut self, host: usize, caller: u64, ticket: &Ticket) -> Option<Outcome> {
        self.reply = None;
        let deadline = self.now + Duration::from_secs(5);
        let (ticket, issuer_status) = (ticket.clone(), IssuerStatus::Reachable);
        let call = Call { caller, ticket, digest: [0; 32], deadline, issuer_status };
        self.dispatcher(host, DispatcherEvent::Call(call));
        self.deliver();
        while self.reply.is_none() {
            self.now += STEP;
            self.dispatcher(host, DispatcherEvent::Tick);
            self.deliver();
        }
        let lost = self.chance(ANSWER_LOSS_MILLI);
        self.reply.take().filter(|_| !lost)
    }
}

fn holder(host: usize) -> Holder {
    Arc::from(format!("host-{host}.1"))
}

/// Sends calls whose callers retry at another host with the same ticket.
pub fn with_tickets(calls: u32, seed: u64) -> Calls {
    let mut bench = Bench {
        now: Duration::ZERO,
        rng: StdRng::seed_from_u64(seed),
        issuers: (0..HOSTS).map(|host| Issuer::new(holder(host))).collect(),
        dispatchers: (0..HOSTS).map(|host| Dispatcher::new(holder(host))).collect(),
        journals: vec![0; HOSTS],
        link: Vec::new(),
        runs: 0,
        reply: None,
    };
    let mut sum = Calls { calls, ..Calls::default() };
    for number in 0..calls {
        let issuer = bench.rng.random_range(0..HOSTS);
        let ticket = bench.issuers[issuer].issue(bench.now);
        bench.runs = 0;
        let mut outcome = None;
        for attempt in 0..TRIES {
            let host = bench.rng.random_range(0..HOSTS);
            let caller = u64::from(number) * TRIES as u64 + attempt as u64;
            outcome = bench.try_call(host, caller, &ticket);
            if matches!(outcome, Some(Outcome::Answer { .. } | Outcome::NotRun)) {
                break;
            }
        }
        sum.note(bench.runs, outcome);
    }
    sum
}

impl Calls {
    fn note(&mut self, runs: u32, outcome: Option<Outcome>) {
        self.runs += runs;
        self.doubled += u32::from(runs > 1);
        match outcome {
            Some(Outcome::Answer { .. }) => self.answered += 1,
            Some(Outcome::NotRun) => {
                self.not_run += 1;
                self.denied += u32::from(runs > 0);
            }
            _ => self.unknown += 1,
        }
    }
}

/// Sends calls to hosts that each remember only the keys that they have seen.
pub fn with_local_memory(calls: u32, seed: u64) -> Calls {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut sum = Calls { calls, ..Calls::default() };
    for _ in 0..calls {
        let mut seen = [None; HOSTS];
        let mut runs = 0;
        let mut answered = false;
        for _ in 0..TRIES {
            let host = rng.random_range(0..HOSTS);
            let whole = *seen[host].get_or_insert_with(|| {
                runs += 1;
                rng.random_range(0..1000) >= ANSWER_LOSS_MILLI
            });
            answered = whole && rng.random_range(0..1000) >= ANSWER_LOSS_MILLI;
            if answered {
                break;
            }
        }
        let answer = Outcome::Answer { status: 200, body: Arc::from("done") };
        sum.note(runs, answered.then_some(answer));
    }
    sum
}

/// Returns how many of the keyed requests that are retried once at another host, while they run,
/// start a second stream: with and without the index of requests.
pub fn second_streams(requests: u32, seed: u64) -> (u32, u32) {
    let mut rng = StdRng::seed_from_u64(seed);
    let hosts: Vec<Arc<str>> = (0..HOSTS).map(|n| Arc::from(format!("host-{n}"))).collect();
    let mut indexes: Vec<Index> = hosts.iter().map(|_| Index::default()).collect();
    let (mut with, mut without) = (0, 0);
    for number in 0..requests {
        let request = Id::numbered("request", u64::from(number));
        let mut own = [0, 0];
        let mut located = Vec::new();
        let first = rng.random_range(0..HOSTS);
        let second = (first + rng.random_range(1..HOSTS)) % HOSTS;
        for (choice, from) in own.iter_mut().zip([first, second]) {
            *choice = rng.random_range(0..12);
            let backend: Arc<str> = Arc::from(format!("e{choice}"));
            located.push(run_located(&mut rng, &hosts, &mut indexes, request, from, backend));
        }
        with += u32::from(located[0] != located[1]);
        without += u32::from(own[0] != own[1]);
    }
    (with, without)
}

fn run_located(
    rng: &mut StdRng,
    hosts: &[Arc<str>],
    indexes: &mut [Index],
    request: Id,
    from: usize,
    backend: Arc<str>,
) -> Arc<str> {
    let mut locator = Locator::new();
    locator.set_homes(Homes::new(hosts.iter().cloned()));
    let mut actions = Vec::new();
    let now = Duration::ZERO;
    let start = locate::Event::Start { request, backend: backend.clone() };
    locator.handle(now, start, &mut actions);
    locator.handle(Duration::from_millis(5), locate::Event::Tick, &mut actions);
    for action in std::mem::take(&mut actions) {
        let locate::Action::Send(home, _) = action else { continue };
        let home = hosts.iter().position(|host| *host == home).expect("a known host");
        let lost = |rng: &mut StdRng| rng.random_range(0..1000) < LINK_LOSS_MILLI;
        if lost(rng) {
            continue;
        }
        let asked = Location { backend: backend.clone(), holder: holder(from) };
        let place = indexes[home].locate(now, request, asked);
        if lost(rng) {
            continue;
        }
        let located = locate::Event::Located { request, backend: place.backend };
        locator.handle(now, located, &mut actions);
    }
    locator.handle(Duration::from_secs(1), locate::Event::Tick, &mut actions);
    let run = actions.into_iter().find_map(|action| match action {
        locate::Action::Run { backend, .. } => Some(backend),
        locate::Action::Send(..) => None,
    });
    run.unwrap_or(backend)
}
