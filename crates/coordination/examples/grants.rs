//! Compares overspending and false refusals under network partitions between grants and simpler
//! strategies.
//!
//! Prints a Markdown table: `cargo run --release -p coordination --example grants`. With `--full`
//! it also prints each combination of top-up and crashes in a row of its own, with
//! `--only Tlaquepaque` only the cases whose names contain `Tlaquepaque`, such as those of one
//! user, and with `--grants` it runs grants only. A refusal is false if the tokens bought, less
//! those charged or reserved anywhere, would have covered the request at that moment. With grants,
//! a refusal for the tokens kept for urgent requests is counted separately.

#[path = "../tests/money/fleet.rs"]
#[allow(dead_code, reason = "shared with the tests")]
mod fleet;
#[path = "grants/simple_strategies.rs"]
mod simple_strategies;
#[path = "../tests/money/table.rs"]
#[allow(dead_code, reason = "shared with the tests")]
mod table;
#[path = "grants/workload.rs"]
mod workload;

use std::{
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use workload::{Case, Demand, Stats, User};

/// Number of cases that run at a time.
const THREADS: usize = 4;
const MINUTE: Duration = Duration::from_secs(60);
const PARTITION_DURATIONS: [Duration; 3] =
    [MINUTE, Duration::from_secs(600), Duration::from_secs(3600)];
const DEMANDS: [Demand; 3] = [Demand::Even, Demand::Skewed, Demand::Burst];

/// Strategy for enforcing budgets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Strategy {
    /// Hosts hold grants, transfer tokens and replicate their journals.
    Grants,
    /// Each request is checked against the table.
    TableCheck,
    /// Each host gets the same share of each purchase.
    EvenSplit,
    /// Like `Grants`, but hosts know of no peers.
    NoPeers,
    /// The unspent tokens are split by past demand when the partition begins.
    PastDemandSplit,
}

const STRATEGIES: [Strategy; 5] = [
    Strategy::Grants,
    Strategy::TableCheck,
    Strategy::EvenSplit,
    Strategy::NoPeers,
    Strategy::PastDemandSplit,
];

impl Strategy {
    fn name(self) -> &'static str {
        match self {
            Self::Grants => "grants",
            Self::TableCheck => "check at the table",
            Self::EvenSplit => "even split",
            Self::NoPeers => "no transfers, no journal",
            Self::PastDemandSplit => "split by past demand",
        }
    }

    fn run(self, case: &Case) -> Stats {
        let workload = workload::Workload::generate(case);
        match self {
            Self::Grants => workload::run(case, &workload, true),
            Self::NoPeers => workload::run(case, &workload, false),
            Self::TableCheck => simple_strategies::check_at_table(case, &workload),
            Self::EvenSplit => simple_strategies::split_evenly(case, &workload),
            Self::PastDemandSplit => simple_strategies::split_by_past_demand(case, &workload),
        }
    }
}

/// Returns all cases, each four consecutive ones differing in top-up and crashes only.
fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for user in [User::Tlaquepaque, User::Peachtree] {
        for partition_duration in PARTITION_DURATIONS {
            for demand in DEMANDS {
                for tight in [false, true] {
                    for variant in 0..4 {
                        let (top_up, crashes) = (variant & 1 != 0, variant & 2 != 0);
                        cases.push(Case {
                            user,
                            partition_duration,
                            demand,
                            tight,
                            top_up,
                            crashes,
                        });
                    }
                }
            }
        }
    }
    cases
}

/// Runs every case with each of the strategies, [`THREADS`] cases at a time.
fn run_all(cases: &[Case], strategies: &[Strategy]) -> Vec<[Stats; STRATEGIES.len()]> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(vec![[Stats::default(); STRATEGIES.len()]; cases.len()]);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(case) = cases.get(index) else {
                        return;
                    };
                    let run = |strategy: Strategy| {
                        strategies.contains(&strategy).then(|| strategy.run(case))
                    };
                    let row = STRATEGIES.map(|strategy| run(strategy).unwrap_or_default());
                    results.lock().expect("no panic in a run")[index] = row;
                }
            });
        }
    });
    results.into_inner().expect("no panic in a run")
}

fn print_header() {
    let mut head = String::from("| user | cut | demand | budget | top-up, deaths | requests |");
    let mut line = String::from("|---|---|---|---|---|---|");
    for strategy in STRATEGIES {
        head += &format!(" {} |", strategy.name());
        line += "---|";
    }
    println!("{head}\n{line}");
}

fn print_row(case: &Case, variant: &str, stats: &[Stats; STRATEGIES.len()]) {
    let budget = if case.tight { "tight" } else { "ample" };
    let minutes = case.partition_duration.as_secs() / 60;
    let mut row = format!(
        "| {:?} | {minutes} min | {:?} | {budget} | {variant} | {} |",
        case.user, case.demand, stats[0].requests
    );
    for cell in stats {
        row += &format!(
            " {} / {:.2}% / {} / {} / {} |",
            cell.overspent,
            100.0 * cell.falsely_refused as f64 / cell.requests.max(1) as f64,
            cell.urgent_falsely_refused,
            cell.falsely_refused_in_reach,
            cell.floor_refused
        );
    }
    println!("{row}");
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let full = arguments.iter().any(|argument| argument == "--full");
    let only = arguments.iter().skip_while(|argument| *argument != "--only").nth(1);
    let mut cases = cases();
    cases.retain(|case| only.is_none_or(|only| case.name().contains(only.as_str())));
    let only_grants = arguments.iter().any(|argument| argument == "--grants");
    let strategies = if only_grants { &STRATEGIES[..1] } else { &STRATEGIES[..] };
    let rows = run_all(&cases, strategies);
    println!(
        "Each cell: tokens overspent / requests falsely refused / urgent ones among them / those \
         that tokens in reach would have covered / requests refused for the urgent floor.\n"
    );
    print_header();
    for (cases, rows) in cases.chunks(4).zip(rows.chunks(4)) {
        if full {
            for (case, row) in cases.iter().zip(rows) {
                let variant = match (case.top_up, case.crashes) {
                    (false, false) => "none",
                    (true, false) => "top-up",
                    (false, true) => "deaths",
                    (true, true) => "both",
                };
                print_row(case, variant, row);
            }
        }
        let mut totals = [Stats::default(); STRATEGIES.len()];
        for row in rows {
            for (total, stats) in totals.iter_mut().zip(row) {
                total.add(stats);
            }
        }
        print_row(&cases[0], "all four", &totals);
    }
}
