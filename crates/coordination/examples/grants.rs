//! Overspend and false refusals under partitions, side by side with simpler ways.
//!
//! Prints a table in Markdown: `cargo run --release -p coordination --example grants`. With `--full`
//! it prints each combination by itself as well, with `--only Tlaquepaque` one user's, with `--grants` it
//! leaves the simpler ways out. A refusal is false where the tokens bought, less those charged or
//! set aside anywhere, would have covered the request at that moment.

#[path = "../tests/money/fleet.rs"]
#[allow(dead_code, reason = "shared with the tests")]
mod fleet;
#[path = "grants/naive.rs"]
mod naive;
#[path = "../tests/money/table.rs"]
#[allow(dead_code, reason = "shared with the tests")]
mod table;
#[path = "grants/world.rs"]
mod world;

use std::{
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use world::{Case, Demand, Score, User};

const THREADS: usize = 4;
const MINUTE: Duration = Duration::from_secs(60);
const CUTS: [Duration; 3] = [MINUTE, Duration::from_secs(600), Duration::from_secs(3600)];
const DEMANDS: [Demand; 3] = [Demand::Even, Demand::Skewed, Demand::Burst];

/// A way of keeping to the budgets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Grants,
    Central,
    Split,
    Alone,
    Ideal,
}

const WAYS: [Way; 5] = [Way::Grants, Way::Central, Way::Split, Way::Alone, Way::Ideal];

impl Way {
    fn name(self) -> &'static str {
        match self {
            Self::Grants => "grants",
            Self::Central => "check at the table",
            Self::Split => "even split",
            Self::Alone => "no transfers, no journal",
            Self::Ideal => "split by past demand",
        }
    }

    fn run(self, case: &Case) -> Score {
        let workload = world::Workload::draw(case);
        match self {
            Self::Grants => world::run(case, &workload, true),
            Self::Alone => world::run(case, &workload, false),
            Self::Central => naive::central(case, &workload),
            Self::Split => naive::split(case, &workload),
            Self::Ideal => naive::ideal(case, &workload),
        }
    }
}

fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for user in [User::Tlaquepaque, User::Peachtree] {
        for cut in CUTS {
            for demand in DEMANDS {
                for tight in [false, true] {
                    for variant in 0..4 {
                        let (top_up, deaths) = (variant & 1 != 0, variant & 2 != 0);
                        cases.push(Case { user, cut, demand, tight, top_up, deaths });
                    }
                }
            }
        }
    }
    cases
}

/// Runs every case in every way, a few at a time.
fn run_all(cases: &[Case], ways: &[Way]) -> Vec<[Score; WAYS.len()]> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(vec![[Score::default(); WAYS.len()]; cases.len()]);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(case) = cases.get(index) else {
                        return;
                    };
                    let score = |way: Way| ways.contains(&way).then(|| way.run(case));
                    let scores = WAYS.map(|way| score(way).unwrap_or_default());
                    results.lock().expect("no panic in a run")[index] = scores;
                }
            });
        }
    });
    results.into_inner().expect("no panic in a run")
}

fn print_head() {
    let mut head = String::from("| user | cut | demand | budget | top-up, deaths | requests |");
    let mut line = String::from("|---|---|---|---|---|---|");
    for way in WAYS {
        head += &format!(" {} |", way.name());
        line += "---|";
    }
    println!("{head}\n{line}");
}

fn print_row(case: &Case, variant: &str, scores: &[Score; WAYS.len()]) {
    let budget = if case.tight { "tight" } else { "ample" };
    let minutes = case.cut.as_secs() / 60;
    let mut row = format!(
        "| {:?} | {minutes} min | {:?} | {budget} | {variant} | {} |",
        case.user, case.demand, scores[0].requests
    );
    for score in scores {
        row += &format!(
            " {} / {:.2}% / {} / {} / {} |",
            score.overspent,
            100.0 * score.refused as f64 / score.requests.max(1) as f64,
            score.urgent_refused,
            score.in_reach,
            score.kept
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
    let ways = if only_grants { &WAYS[..1] } else { &WAYS[..] };
    let scores = run_all(&cases, ways);
    println!(
        "Each cell: tokens overspent / requests falsely refused / urgent ones among them / those \
         that tokens in reach would have covered / requests refused for the urgent floor.\n"
    );
    print_head();
    for (cases, scores) in cases.chunks(4).zip(scores.chunks(4)) {
        if full {
            for (case, scores) in cases.iter().zip(scores) {
                let variant = match (case.top_up, case.deaths) {
                    (false, false) => "none",
                    (true, false) => "top-up",
                    (false, true) => "deaths",
                    (true, true) => "both",
                };
                print_row(case, variant, scores);
            }
        }
        let mut sums = [Score::default(); WAYS.len()];
        for scores in scores {
            for (sum, score) in sums.iter_mut().zip(scores) {
                sum.add(score);
            }
        }
        print_row(&cases[0], "all four", &sums);
    }
}
