//! Load generator that measures a host, and an engine called directly in the same run.
//!
//! Each worker sends its next request once the last one is answered. The two legs take turns, so
//! that both meet the machine in the same state.

use std::{
    io::{self, BufRead as _, BufReader},
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::{Duration, Instant},
};

use eyre::{WrapErr, ensure};
use hdrhistogram::Histogram;
use oxhttp::{
    Client,
    model::{Body, Method, Request},
};
use serde::Deserialize;
use serde_json::json;

use crate::caller::Caller;

/// Significant decimal digits of a latency.
const DIGITS: u8 = 3;

/// Longest latency that is told apart, in microseconds.
const LONGEST_MICROS: u64 = 3_600_000_000;

/// Requests that each worker sends before it measures.
const WARM_UP: u64 = 2;

/// A host of the fleet.
#[derive(Debug, Clone)]
pub struct Fleet {
    /// Callers' address.
    pub address: SocketAddr,
    /// Bearer token.
    pub token: String,
    /// Service.
    pub service: String,
    /// Start of idempotency keys; `None` for requests without keys.
    pub key: Option<String>,
}

/// An engine that is called directly.
#[derive(Debug, Clone)]
pub struct Direct {
    /// Address.
    pub address: SocketAddr,
    /// Model.
    pub model: String,
}

/// What to measure.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Host to measure.
    pub fleet: Fleet,
    /// Engine to compare it with.
    pub direct: Option<Direct>,
    /// Requests that are under way at once.
    pub concurrency: usize,
    /// Requests of each leg.
    pub requests: u64,
    /// Parts into which each leg is split.
    pub rounds: u64,
    /// Tokens to ask for.
    pub max_tokens: u64,
    /// Prompt.
    pub prompt: String,
    /// Longest silence.
    pub timeout: Duration,
}

/// Measurements of one leg; latencies are in microseconds.
#[derive(Debug, Clone)]
pub struct Leg {
    /// Time to the first token.
    pub first: Histogram<u64>,
    /// Time between two tokens.
    pub between: Histogram<u64>,
    /// Answers that were whole.
    pub whole: u64,
    /// Answers that weren't.
    pub failed: u64,
    /// What the first failure was.
    pub failure: Option<String>,
    /// Time that the leg took.
    pub elapsed: Duration,
}

/// Measurements of a run.
#[derive(Debug, Clone)]
pub struct Report {
    /// Engine called directly.
    pub direct: Option<Leg>,
    /// Through the host.
    pub fleet: Leg,
}

impl Report {
    /// Returns whether every answer was whole.
    pub fn is_whole(&self) -> bool {
        self.fleet.failed == 0 && self.direct.as_ref().is_none_or(|leg| leg.failed == 0)
    }

    /// Returns the first failure of each leg that had one.
    pub fn failures(&self) -> impl Iterator<Item = &str> {
        let legs = self.direct.iter().chain([&self.fleet]);
        legs.filter_map(|leg| leg.failure.as_deref())
    }
}

/// Runs both legs in turns.
///
/// # Errors
///
/// Returns an error where the plan asks for nothing; a failed request is counted instead.
pub fn run(plan: &Plan) -> eyre::Result<Report> {
    ensure!(plan.concurrency > 0 && plan.rounds > 0, "step=plan expected a worker and a round");
    let numbers = AtomicU64::new(0);
    let warm_up = WARM_UP * plan.concurrency as u64;
    let mut report = Report { direct: plan.direct.as_ref().map(|_| Leg::new()), fleet: Leg::new() };
    run_leg(plan, &numbers, warm_up, fleet_request)?;
    for round in 0..plan.rounds {
        let share = share(plan.requests, plan.rounds, round);
        if let Some((direct, leg)) = plan.direct.as_ref().zip(report.direct.as_mut()) {
            let request = |plan: &Plan, number, stopwatch: &mut Stopwatch| {
                direct_request(plan, direct, number, stopwatch)
            };
            leg.add(&run_leg(plan, &numbers, share, request)?)?;
        }
        report.fleet.add(&run_leg(plan, &numbers, share, fleet_request)?)?;
    }
    Ok(report)
}

/// Splits a number into parts that differ by one at most.
fn share(requests: u64, rounds: u64, round: u64) -> u64 {
    requests / rounds + u64::from(round < requests % rounds)
}

/// Writes a report as a table.
///
/// # Errors
///
/// Returns an error where the output can't be written.
pub fn write_table(report: &Report, out: &mut impl io::Write) -> io::Result<()> {
    writeln!(
        out,
        "| leg | whole | failed | requests/s | first token p50 ms | p99 ms | between tokens p50 ms | p99 ms |"
    )?;
    writeln!(out, "|---|--:|--:|--:|--:|--:|--:|--:|")?;
    if let Some(direct) = &report.direct {
        direct.write_row("engine directly", out)?;
    }
    report.fleet.write_row("through the host", out)?;
    if let Some(direct) = &report.direct {
        let added = |of: fn(&Leg) -> f64| of(&report.fleet) - of(direct);
        writeln!(
            out,
            "| added | | | | {:.3} | {:.3} | {:.3} | {:.3} |",
            added(|leg| millis(&leg.first, 50.0)),
            added(|leg| millis(&leg.first, 99.0)),
            added(|leg| millis(&leg.between, 50.0)),
            added(|leg| millis(&leg.between, 99.0)),
        )?;
    }
    Ok(())
}

fn millis(histogram: &Histogram<u64>, percentile: f64) -> f64 {
    histogram.value_at_percentile(percentile) as f64 / 1000.0
}

impl Leg {
    fn new() -> Self {
        // The bounds and the digits are within what a histogram can hold.
        let empty = || {
            Histogram::new_with_bounds(1, LONGEST_MICROS, DIGITS).expect("valid bounds and digits")
        };
        Self {
            first: empty(),
            between: empty(),
            whole: 0,
            failed: 0,
            failure: None,
            elapsed: Duration::ZERO,
        }
    }

    fn add(&mut self, other: &Self) -> eyre::Result<()> {
        self.first.add(&other.first).wrap_err("step=merge")?;
        self.between.add(&other.between).wrap_err("step=merge")?;
        self.whole += other.whole;
        self.failed += other.failed;
        self.failure = self.failure.take().or_else(|| other.failure.clone());
        self.elapsed += other.elapsed;
        Ok(())
    }

    fn count(&mut self, outcome: eyre::Result<()>) {
        match outcome {
            Ok(()) => self.whole += 1,
            Err(error) => {
                self.failed += 1;
                self.failure.get_or_insert_with(|| format!("{error:#}"));
            }
        }
    }

    fn write_row(&self, name: &str, out: &mut impl io::Write) -> io::Result<()> {
        let rate = self.whole as f64 / self.elapsed.as_secs_f64().max(f64::MIN_POSITIVE);
        writeln!(
            out,
            "| {name} | {} | {} | {rate:.0} | {:.3} | {:.3} | {:.3} | {:.3} |",
            self.whole,
            self.failed,
            millis(&self.first, 50.0),
            millis(&self.first, 99.0),
            millis(&self.between, 50.0),
            millis(&self.between, 99.0),
        )
    }
}

/// Takes the times of one answer's tokens.
#[derive(Debug)]
struct Stopwatch {
    last: Instant,
    first: Option<Duration>,
    between: Vec<Duration>,
}

impl Stopwatch {
    fn start() -> Self {
        Self { last: Instant::now(), first: None, between: Vec::new() }
    }

    fn token(&mut self) {
        let now = Instant::now();
        let elapsed = now.duration_since(self.last);
        self.last = now;
        match self.first {
            None => self.first = Some(elapsed),
            Some(_) => self.between.push(elapsed),
        }
    }

    fn record(&self, leg: &mut Leg) {
        let micros = |time: &Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX).max(1);
        if let Some(first) = &self.first {
            leg.first.saturating_record(micros(first));
        }
        for between in &self.between {
            leg.between.saturating_record(micros(between));
        }
    }
}

fn run_leg(
    plan: &Plan,
    numbers: &AtomicU64,
    requests: u64,
    request: impl Fn(&Plan, u64, &mut Stopwatch) -> eyre::Result<()> + Sync,
) -> eyre::Result<Leg> {
    let left = AtomicU64::new(requests);
    let start = Instant::now();
    let worker = || {
        let mut leg = Leg::new();
        while take(&left) {
            let number = numbers.fetch_add(1, Ordering::Relaxed);
            let mut stopwatch = Stopwatch::start();
            let outcome = request(plan, number, &mut stopwatch);
            if outcome.is_ok() {
                stopwatch.record(&mut leg);
            }
            leg.count(outcome);
        }
        leg
    };
    let mut total = Leg::new();
    thread::scope(|scope| {
        let workers: Vec<_> = (0..plan.concurrency).map(|_| scope.spawn(worker)).collect();
        for worker in workers {
            let leg = worker.join().map_err(|_| eyre::eyre!("step=worker a worker panicked"))?;
            total.add(&leg)?;
        }
        eyre::Ok(())
    })?;
    total.elapsed = start.elapsed();
    Ok(total)
}

fn take(left: &AtomicU64) -> bool {
    left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(1)).is_ok()
}

fn fleet_request(plan: &Plan, number: u64, stopwatch: &mut Stopwatch) -> eyre::Result<()> {
    let fleet = &plan.fleet;
    let caller = Caller::open(fleet.address, fleet.token.as_str(), plan.timeout);
    let key = fleet.key.as_ref().map(|key| format!("{key}-{number}"));
    let body = json!({"prompt": plan.prompt, "max_tokens": plan.max_tokens});
    let reply = caller.call(&fleet.service, key.as_deref(), &body, |_| stopwatch.token())?;
    let (code, outcome) = reply.refusal();
    ensure!(reply.whole(), "status={} code={code} outcome={outcome}", reply.status);
    Ok(())
}

/// The fields of a line that tell whether an answer is whole.
#[derive(Debug, Deserialize)]
struct Line {
    #[serde(default)]
    offset: Option<u64>,
    #[serde(default)]
    tokens: Option<u64>,
}

fn direct_request(
    plan: &Plan,
    direct: &Direct,
    number: u64,
    stopwatch: &mut Stopwatch,
) -> eyre::Result<()> {
    let body = json!({"attempt": 1, "model": direct.model, "prompt": plan.prompt,
        "max_tokens": plan.max_tokens, "priority": "normal"});
    let process = std::process::id();
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{}/streams/load-{process}-{number}", direct.address))
        .body(Body::from(body.to_string()))?;
    let client = Client::new().with_global_timeout(plan.timeout);
    let answer = client.request(request)?;
    ensure!(answer.status().is_success(), "status={}", answer.status());
    for (line, tokens) in BufReader::new(answer.into_body()).lines().zip(0..) {
        let line: Line = serde_json::from_str(&line?)?;
        if let Some(count) = line.tokens {
            ensure!(count == tokens, "expected {count} tokens, got {tokens}");
            return Ok(());
        }
        ensure!(line.offset == Some(tokens), "token out of order");
        stopwatch.token();
    }
    eyre::bail!("answer without its end")
}
