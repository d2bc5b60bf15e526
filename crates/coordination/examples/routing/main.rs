//! Compares routing, admission and claims with simpler policies, and prints Markdown tables.
//!
//! `cargo run --release -p coordination --example routing`

mod calls;
mod fleet;

use std::time::Duration;

use coordination::request::Class;
use fleet::{ENGINES, Fleet, Job, JobResult, Policy, SLOTS};
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SEEDS: std::ops::Range<u64> = 1..4;

/// Duration during which requests arrive.
const ARRIVALS: Duration = Duration::from_secs(600);

/// Time from the start after which arriving requests are measured.
const WARM_UP: Duration = Duration::from_secs(120);

const BASELINES: [Policy; 3] = [Policy::RoundRobin, Policy::LeastReported, Policy::Random];

fn main() {
    urgent_wait();
    prefix_hits();
    goodput();
    duplicated_runs();
}

fn label(policy: Policy) -> String {
    match policy {
        Policy::Router => "router".into(),
        Policy::OtherHostsWeight(milli) => format!("router, weight of others {milli}/1000"),
        Policy::RoundRobin => "round robin".into(),
        Policy::LeastReported => "least load by the stale report".into(),
        Policy::Random => "random".into(),
    }
}

/// Returns a random duration with an exponential distribution.
fn exponential(rng: &mut StdRng, mean: Duration) -> Duration {
    let share: f64 = rng.random();
    mean.mul_f64(-(1.0 - share).ln())
}

/// Adds jobs with random arrivals at a mean rate per second.
fn add_arrivals(
    jobs: &mut Vec<Job>,
    rng: &mut StdRng,
    rate: f64,
    mut job: impl FnMut(&mut StdRng, Duration) -> Job,
) {
    let mean = Duration::from_secs_f64(1.0 / rate);
    let mut at = exponential(rng, mean);
    while at < ARRIVALS {
        jobs.push(job(rng, at));
        at += exponential(rng, mean);
    }
}

/// Returns the service time that all engines together provide per second, in seconds.
fn capacity() -> f64 {
    (ENGINES.len() * SLOTS) as f64
}

fn review(rng: &mut StdRng, arrival: Duration) -> Job {
    let service_time = Duration::from_secs(10) + exponential(rng, Duration::from_secs(20));
    let timeout = Duration::from_secs(7200);
    Job { class: Class::Long, family: None, arrival, service_time, timeout }
}

fn status_check(rng: &mut StdRng, arrival: Duration) -> Job {
    let service_time = exponential(rng, Duration::from_millis(200));
    let timeout = Duration::from_secs(60);
    Job { class: Class::Urgent, family: None, arrival, service_time, timeout }
}

/// Returns a histogram of durations up to an hour, in microseconds.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("valid bounds")
}

fn record_micros(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record((time.as_micros() as u64).max(1));
}

fn millis(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}

fn urgent_wait() {
    println!("### Queue time of status checks while reviews saturate the engines\n");
    println!(
        "| policy | p50 ms | p99 ms | checks not served | reviews done | reviews lost | longest review wait s |"
    );
    println!("|---|---|---|---|---|---|---|");
    let router_policies =
        [Policy::Router, Policy::OtherHostsWeight(0), Policy::OtherHostsWeight(1000)];
    for policy in router_policies.into_iter().chain(BASELINES) {
        let mut waits = histogram();
        let mut review_waits = histogram();
        let (mut missed, mut done, mut lost) = (0, 0, 0);
        for seed in SEEDS {
            let mut rng = StdRng::seed_from_u64(seed);
            let mut jobs = Vec::new();
            add_arrivals(&mut jobs, &mut rng, 1.1 * capacity() / 30.0, review);
            add_arrivals(&mut jobs, &mut rng, 10.0, status_check);
            let mut fleet = Fleet::new(policy, jobs.clone(), 0, seed);
            fleet.run(ARRIVALS + Duration::from_secs(1800));
            for (job, result) in jobs.iter().zip(&fleet.results) {
                if job.arrival < WARM_UP {
                    continue;
                }
                let wait = result.started.map(|started| started - job.arrival);
                match (job.class, result.finished, wait) {
                    (Class::Urgent, Some(_), Some(wait)) => record_micros(&mut waits, wait),
                    (Class::Urgent, ..) => missed += 1,
                    (_, Some(_), Some(wait)) => {
                        done += 1;
                        record_micros(&mut review_waits, wait);
                    }
                    _ => lost += 1,
                }
            }
        }
        let (p50, p99) = (millis(&waits, 0.5), millis(&waits, 0.99));
        let longest = review_waits.max() as f64 / 1e6;
        let label = label(policy);
        println!("| {label} | {p50:.1} | {p99:.1} | {missed} | {done} | {lost} | {longest:.0} |");
    }
    println!();
}

fn prefix_hits() {
    const FAMILIES: usize = 80;
    println!("### Prefix-cache hits\n");
    println!("| policy | hit share | p50 time to finish ms | p99 ms |");
    println!("|---|---|---|---|");
    for policy in [Policy::Router, Policy::Random, Policy::RoundRobin, Policy::LeastReported] {
        let mut times = histogram();
        let (mut hits, mut all) = (0u32, 0u32);
        for seed in SEEDS {
            let mut rng = StdRng::seed_from_u64(seed);
            let mut jobs = Vec::new();
            add_arrivals(&mut jobs, &mut rng, 0.6 * capacity() / 1.0, |rng, arrival| Job {
                class: Class::Normal,
                family: Some(skewed_index(rng, FAMILIES)),
                arrival,
                service_time: exponential(rng, Duration::from_millis(700)),
                timeout: Duration::from_secs(60),
            });
            let mut fleet = Fleet::new(policy, jobs.clone(), FAMILIES, seed);
            fleet.run(ARRIVALS + Duration::from_secs(120));
            for (job, result) in jobs.iter().zip(&fleet.results) {
                if job.arrival < WARM_UP || result.started.is_none() {
                    continue;
                }
                all += 1;
                hits += u32::from(result.cache_hit);
                if let Some(finished) = result.finished {
                    record_micros(&mut times, finished - job.arrival);
                }
            }
        }
        let share = f64::from(hits) / f64::from(all);
        let (p50, p99) = (millis(&times, 0.5), millis(&times, 0.99));
        println!("| {} | {share:.3} | {p50:.0} | {p99:.0} |", label(policy));
    }
    println!();
}

/// Returns a random number below `count`; small numbers are more frequent.
fn skewed_index(rng: &mut StdRng, count: usize) -> usize {
    let share: f64 = rng.random();
    ((count as f64).powf(share) - 1.0) as usize % count
}

fn goodput() {
    const TIMEOUT: Duration = Duration::from_secs(5);
    println!("### Goodput, as a share of capacity\n");
    println!("| policy | 0.8 × | 1.0 × | 1.5 × | 2.0 × | refused at once at 2.0 × |");
    println!("|---|---|---|---|---|---|");
    for policy in [Policy::Router].into_iter().chain(BASELINES) {
        let mut cells = Vec::new();
        let mut refused_share = 0.0;
        for load in [0.8, 1.0, 1.5, 2.0] {
            let mut good = 0.0;
            let (mut refused, mut all) = (0u32, 0u32);
            for seed in SEEDS {
                let mut rng = StdRng::seed_from_u64(seed);
                let mut jobs = Vec::new();
                add_arrivals(&mut jobs, &mut rng, load * capacity() / 2.0, |rng, arrival| Job {
                    class: Class::Normal,
                    family: None,
                    arrival,
                    service_time: Duration::from_secs(1) + exponential(rng, Duration::from_secs(1)),
                    timeout: TIMEOUT,
                });
                let mut fleet = Fleet::new(policy, jobs.clone(), 0, seed);
                fleet.run(ARRIVALS + TIMEOUT);
                let after =
                    jobs.iter().zip(&fleet.results).filter(|(job, _)| job.arrival >= WARM_UP);
                for (job, result) in after {
                    all += 1;
                    refused += u32::from(result.refused);
                    good += completed_work(job, result);
                }
            }
            let measured_seconds =
                (ARRIVALS - WARM_UP).as_secs_f64() * (SEEDS.end - SEEDS.start) as f64;
            cells.push(format!("{:.3}", good / (capacity() * measured_seconds)));
            refused_share = f64::from(refused) / f64::from(all);
        }
        println!("| {} | {} | {refused_share:.3} |", label(policy), cells.join(" | "));
    }
    println!();
}

/// Returns the service time of a job that finished before its timeout, in seconds; 0 if it didn't.
fn completed_work(job: &Job, result: &JobResult) -> f64 {
    result.finished.map_or(0.0, |_| job.service_time.as_secs_f64())
}

fn duplicated_runs() {
    const CALLS: u32 = 20_000;
    println!("### Runs under retries\n");
    println!(
        "| way | calls | runs | calls run twice | answered | not run | unknown | said not run, but ran |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    let mechanisms = [
        ("tickets", calls::with_tickets(CALLS, 1)),
        ("each host remembers its keys", calls::with_per_host_keys(CALLS, 1)),
    ];
    for (way, stats) in mechanisms {
        let calls::CallStats {
            calls,
            runs,
            run_repeatedly,
            answered,
            not_run,
            unknown,
            wrongly_not_run,
        } = stats;
        println!(
            "| {way} | {calls} | {runs} | {run_repeatedly} | {answered} | {not_run} | {unknown} | {wrongly_not_run} |"
        );
    }
    let (with, without) = calls::second_streams(CALLS, 1);
    println!("\n| keyed model requests retried elsewhere | second streams |\n|---|---|");
    println!("| index of requests by home, {CALLS} requests | {with} |");
    println!("| no index, {CALLS} requests | {without} |");
}
