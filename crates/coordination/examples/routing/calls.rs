//! Simulates retries of ticketed calls, which run at most once, and of requests with an idempotency
//! key, over a lossy network.

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

/// Share of the messages between hosts that are lost, in thousandths.
const LINK_LOSS_PER_MILLE: u32 = 50;

/// Share of the answers of the service, and of the replies to callers, that are lost, in
/// thousandths.
const ANSWER_LOSS_PER_MILLE: u32 = 100;

/// Maximum number of attempts of a caller.
const MAX_ATTEMPTS: usize = 4;

/// Interval between ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Outcomes of all calls, as their callers see them, and the runs behind them.
#[derive(Debug, Default)]
pub struct CallStats {
    pub calls: u32,
    pub runs: u32,
    /// Calls that ran more than once.
    pub run_repeatedly: u32,
    pub answered: u32,
    pub not_run: u32,
    pub unknown: u32,
    /// Calls that ran although their callers were told that they did not.
    pub wrongly_not_run: u32,
}

/// Drives issuers and dispatchers of all hosts with a simulated clock and a lossy network.
struct Harness {
    now: Duration,
    rng: StdRng,
    issuers: Vec<Issuer>,
    dispatchers: Vec<Dispatcher>,
    journal_lengths: Vec<u64>,
    in_flight: Vec<(usize, Holder, Message)>,
    runs: u32,
    reply: Option<Outcome>,
}

impl Harness {
    /// Draws whether a message is lost.
    fn is_lost(&mut self, per_mille: u32) -> bool {
        self.rng.random_range(0..1000) < per_mille
    }

    fn handle_issuer(&mut self, host: usize, event: IssuerEvent) {
        let mut actions = Vec::new();
        self.issuers[host].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                IssuerAction::Append(_) => {
                    self.journal_lengths[host] += 1;
                    let number = self.journal_lengths[host];
                    self.handle_issuer(host, IssuerEvent::Appended(number));
                    self.handle_issuer(host, IssuerEvent::Durable(number));
                }
                IssuerAction::Send(to, message) => self.in_flight.push((host, to, message)),
            }
        }
    }

    fn handle_dispatcher(&mut self, host: usize, event: DispatcherEvent) {
        let mut actions = Vec::new();
        self.dispatchers[host].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                DispatcherAction::Send(to, message) => self.in_flight.push((host, to, message)),
                DispatcherAction::Reply(_, outcome) => self.reply = Some(outcome),
                DispatcherAction::Dispatch { run, .. } => {
                    self.runs += 1;
                    let lost = self.is_lost(ANSWER_LOSS_PER_MILLE);
                    let answer = DispatchResult::Answer { status: 200, body: Arc::from("done") };
                    let result = if lost { DispatchResult::Incomplete } else { answer };
                    self.handle_dispatcher(host, DispatcherEvent::DispatchEnded { run, result });
                }
                DispatcherAction::Recover(_) => {}
            }
        }
    }

    fn deliver(&mut self) {
        while let Some((from, to, message)) = self.in_flight.pop() {
            if self.is_lost(LINK_LOSS_PER_MILLE) {
                continue;
            }
            let host = (0..HOSTS).find(|&host| holder(host) == to).expect("a known holder");
            let from = holder(from);
            match message {
                Message::Claim { ticket, digest, request } => {
                    let claim = ClaimRequest { from, ticket, digest, request };
                    self.handle_issuer(host, IssuerEvent::Claim(claim));
                }
                Message::ClaimOutcome { ticket, outcome } => {
                    self.handle_issuer(host, IssuerEvent::Outcome { from, ticket, outcome });
                }
                Message::ClaimReply { ticket, request, verdict } => {
                    self.handle_dispatcher(
                        host,
                        DispatcherEvent::Reply { from, ticket, request, verdict },
                    );
                }
                Message::ClaimOutcomeAck { ticket } => {
                    self.handle_dispatcher(host, DispatcherEvent::OutcomeAcked { from, ticket });
                }
                _ => {}
            }
        }
    }

    /// Lets a host handle an attempt; returns the outcome unless the reply to the caller is lost.
    fn attempt_call(&mut self, host: usize, caller: u64, ticket: &Ticket) -> Option<Outcome> {
        self.reply = None;
        let deadline = self.now + Duration::from_secs(5);
        let (ticket, issuer_status) = (ticket.clone(), IssuerStatus::Reachable);
        let call = Call { caller, ticket, digest: [0; 32], deadline, issuer_status };
        self.handle_dispatcher(host, DispatcherEvent::Call(call));
        self.deliver();
        while self.reply.is_none() {
            self.now += TICK_INTERVAL;
            self.handle_dispatcher(host, DispatcherEvent::Tick);
            self.deliver();
        }
        let lost = self.is_lost(ANSWER_LOSS_PER_MILLE);
        self.reply.take().filter(|_| !lost)
    }
}

fn holder(host: usize) -> Holder {
    Arc::from(format!("host-{host}.1"))
}

/// Simulates calls whose callers retry at a random host with the same ticket.
pub fn with_tickets(calls: u32, seed: u64) -> CallStats {
    let mut harness = Harness {
        now: Duration::ZERO,
        rng: StdRng::seed_from_u64(seed),
        issuers: (0..HOSTS).map(|host| Issuer::new(holder(host))).collect(),
        dispatchers: (0..HOSTS).map(|host| Dispatcher::new(holder(host))).collect(),
        journal_lengths: vec![0; HOSTS],
        in_flight: Vec::new(),
        runs: 0,
        reply: None,
    };
    let mut stats = CallStats { calls, ..CallStats::default() };
    for number in 0..calls {
        let issuer = harness.rng.random_range(0..HOSTS);
        let ticket = harness.issuers[issuer].issue(harness.now);
        harness.runs = 0;
        let mut outcome = None;
        for attempt in 0..MAX_ATTEMPTS {
            let host = harness.rng.random_range(0..HOSTS);
            let caller = u64::from(number) * MAX_ATTEMPTS as u64 + attempt as u64;
            outcome = harness.attempt_call(host, caller, &ticket);
            if matches!(outcome, Some(Outcome::Answer { .. } | Outcome::NotRun)) {
                break;
            }
        }
        stats.record(harness.runs, outcome);
    }
    stats
}

impl CallStats {
    fn record(&mut self, runs: u32, outcome: Option<Outcome>) {
        self.runs += runs;
        self.run_repeatedly += u32::from(runs > 1);
        match outcome {
            Some(Outcome::Answer { .. }) => self.answered += 1,
            Some(Outcome::NotRun) => {
                self.not_run += 1;
                self.wrongly_not_run += u32::from(runs > 0);
            }
            _ => self.unknown += 1,
        }
    }
}

/// Simulates calls to hosts that each remember only the keys of the calls sent to them.
pub fn with_per_host_keys(calls: u32, seed: u64) -> CallStats {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut stats = CallStats { calls, ..CallStats::default() };
    for _ in 0..calls {
        let mut outcomes = [None; HOSTS];
        let mut runs = 0;
        let mut answered = false;
        for _ in 0..MAX_ATTEMPTS {
            let host = rng.random_range(0..HOSTS);
            let is_complete = *outcomes[host].get_or_insert_with(|| {
                runs += 1;
                rng.random_range(0..1000) >= ANSWER_LOSS_PER_MILLE
            });
            answered = is_complete && rng.random_range(0..1000) >= ANSWER_LOSS_PER_MILLE;
            if answered {
                break;
            }
        }
        let answer = Outcome::Answer { status: 200, body: Arc::from("done") };
        stats.record(runs, answered.then_some(answer));
    }
    stats
}

/// Returns how many requests with an idempotency key start a second stream, with and without the
/// index of requests, if each is retried once at another host while it runs.
pub fn second_streams(requests: u32, seed: u64) -> (u32, u32) {
    let mut rng = StdRng::seed_from_u64(seed);
    let hosts: Vec<Arc<str>> = (0..HOSTS).map(|n| Arc::from(format!("host-{n}"))).collect();
    let mut indexes: Vec<Index> = hosts.iter().map(|_| Index::default()).collect();
    let (mut with, mut without) = (0, 0);
    for number in 0..requests {
        let request = Id::numbered("request", u64::from(number));
        let mut choices = [0, 0];
        let mut located = Vec::new();
        let first = rng.random_range(0..HOSTS);
        let second = (first + rng.random_range(1..HOSTS)) % HOSTS;
        for (choice, from) in choices.iter_mut().zip([first, second]) {
            *choice = rng.random_range(0..12);
            let backend: Arc<str> = Arc::from(format!("e{choice}"));
            located.push(locate_and_run(&mut rng, &hosts, &mut indexes, request, from, backend));
        }
        with += u32::from(located[0] != located[1]);
        without += u32::from(choices[0] != choices[1]);
    }
    (with, without)
}

/// Locates a request through its home hosts; returns the backend server that the host `from` runs
/// it at, which is `backend` unless a home knows of another.
fn locate_and_run(
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
        let lost = |rng: &mut StdRng| rng.random_range(0..1000) < LINK_LOSS_PER_MILLE;
        if lost(rng) {
            continue;
        }
        let proposed = Location { backend: backend.clone(), holder: holder(from) };
        let agreed = indexes[home].locate(now, request, proposed);
        if lost(rng) {
            continue;
        }
        let located = locate::Event::Located { request, backend: agreed.backend };
        locator.handle(now, located, &mut actions);
    }
    locator.handle(Duration::from_secs(1), locate::Event::Tick, &mut actions);
    let run = actions.into_iter().find_map(|action| match action {
        locate::Action::Run { backend, .. } => Some(backend),
        locate::Action::Send(..) => None,
    });
    run.unwrap_or(backend)
}
