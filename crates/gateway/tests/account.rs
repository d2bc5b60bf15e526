//! Prepaid accounts of several hosts over one table, with kills, lost answers and outages.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use coordination::table::{Outcome, Row, Txn};
use gateway::account::{Account, Allocation, Environment, ReserveResult, Step};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};
use test_case::test_case;

const WORKSPACE: &str = "w";
const MILLI: Duration = Duration::from_millis(1);

/// A table of rows that commits transactions one after the other.
#[derive(Debug, Default)]
struct Table {
    rows: BTreeMap<Arc<str>, (Arc<str>, u64)>,
    revision: u64,
}

impl Table {
    fn read(&self, keys: &[Arc<str>]) -> Outcome {
        let row = |key: &Arc<str>| match self.rows.get(key) {
            Some((value, revision)) => {
                Row { key: key.clone(), value: Some(value.clone()), revision: *revision }
            }
            None => Row { key: key.clone(), value: None, revision: 0 },
        };
        Outcome::Rows(keys.iter().map(row).collect())
    }

    fn commit(&mut self, txn: &Txn) -> Outcome {
        let keys: Vec<Arc<str>> = txn.checks.iter().map(|check| check.key.clone()).collect();
        let Outcome::Rows(rows) = self.read(&keys) else { unreachable!("a table can be read") };
        if rows.iter().zip(&txn.checks).any(|(row, check)| row.revision != check.revision) {
            return Outcome::Conflict(rows);
        }
        self.revision += 1;
        for write in &txn.writes {
            let value = write.value.clone().expect("accounts remove no rows");
            self.rows.insert(write.key.clone(), (value, self.revision));
        }
        Outcome::Committed(self.revision)
    }
}

/// A process on a host; its clock starts at zero with it.
#[derive(Debug)]
struct Process {
    account: Account,
    started: u64,
    /// Reserved tokens of requests under way.
    requests: Vec<u64>,
}

/// Hosts, the table, and what was used in all.
#[derive(Debug)]
struct World {
    rng: StdRng,
    now_ms: u64,
    table: Table,
    processes: Vec<Process>,
    starts: u64,
    prepaid: u64,
    used: u64,
    /// Transactions whose answer was lost and that may be done later.
    late: Vec<Txn>,
    /// Further hosts that the processes know of.
    more_hosts: u64,
}

impl World {
    fn new(seed: u64, hosts: usize, prepaid: u64) -> Self {
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            now_ms: 0,
            table: Table::default(),
            processes: Vec::new(),
            starts: 0,
            prepaid,
            used: 0,
            late: Vec::new(),
            more_hosts: if seed.is_multiple_of(3) { 20 } else { 0 },
        };
        for host in 0..hosts {
            let process = world.start(host);
            world.processes.push(process);
        }
        world
    }

    fn start(&mut self, host: usize) -> Process {
        self.starts += 1;
        let holder = Arc::from(format!("h{host}-{}", self.starts));
        let mut account = Account::new(WORKSPACE.into(), &format!("h{host}"), holder);
        account.set_prepaid(self.prepaid);
        Process { account, started: self.now_ms, requests: Vec::new() }
    }

    fn now(&self, host: usize) -> Duration {
        Duration::from_millis(self.now_ms - self.processes[host].started)
    }

    fn setting(&self) -> Environment {
        let keepers = self.processes.len() as u64 + self.more_hosts;
        let platform_ms = Some(self.now_ms);
        Environment {
            lenders: keepers,
            is_lender: true,
            workspaces: 1,
            writes_per_s: 240,
            platform_ms,
        }
    }

    /// Runs the transaction that is due at a host; `reach` tells whether the table is reached.
    fn transact(&mut self, host: usize, reach: bool) {
        let (now, setting) = (self.now(host), self.setting());
        let born = Some(self.processes[host].started);
        let txn = match self.processes[host].account.plan(now, setting) {
            None => return,
            Some(Step::Commit(txn)) => txn,
            Some(Step::Read(keys)) => {
                let rows = if reach { self.table.read(&keys) } else { Outcome::Unavailable };
                self.processes[host].account.finish_read(now, &rows, born);
                return;
            }
        };
        let outcome = if !reach {
            Outcome::Unavailable
        } else {
            match self.rng.random_range(0..10) {
                0 => {
                    self.table.commit(&txn);
                    Outcome::Unknown
                }
                1 => {
                    self.late.push(txn);
                    Outcome::Unknown
                }
                _ => self.table.commit(&txn),
            }
        };
        self.processes[host].account.finish_commit(now, outcome, born);
    }

    fn request(&mut self, host: usize) {
        let now = self.now(host);
        let tokens = self.rng.random_range(1..3000);
        let process = &mut self.processes[host];
        if process.account.reserve(now, tokens, true) == ReserveResult::Reserved {
            // The worst case counts at once: the process may die before it settles.
            self.used += tokens;
            process.requests.push(tokens);
        }
    }

    fn settle(&mut self, host: usize) {
        let process = &mut self.processes[host];
        let Some(reserved) = process.requests.pop() else { return };
        let used = self.rng.random_range(0..=reserved);
        process.account.settle(reserved, used);
        self.used -= reserved - used;
    }

    fn lend(&mut self, from: usize, to: usize) {
        let tokens = self.rng.random_range(1..3000);
        let now = self.now(from);
        let lent = self.processes[from].account.lend(now, tokens);
        // The answer may be lost on the way.
        if self.rng.random_range(0..4) > 0 {
            self.processes[to].account.add_borrowed(lent);
        }
    }

    fn step(&mut self) {
        let host = self.rng.random_range(0..self.processes.len());
        let other = self.rng.random_range(0..self.processes.len());
        match self.rng.random_range(0..100) {
            0 => self.processes[host] = self.start(host),
            1 if !self.late.is_empty() => {
                let index = self.rng.random_range(0..self.late.len());
                let txn = self.late.swap_remove(index);
                self.table.commit(&txn);
            }
            2..6 if host != other => self.lend(host, other),
            6..40 => self.request(host),
            40..60 => self.settle(host),
            _ => {
                let reach = self.now_ms / 9_000 % 3 != 2;
                self.transact(host, reach);
            }
        }
        self.now_ms += self.rng.random_range(0..60);
    }
}

#[test]
fn use_never_exceeds_the_prepaid_amount_over_random_histories() {
    let mut served = 0;
    for seed in 0..300 {
        let mut world = World::new(seed, 4, 60_000);
        for _ in 0..1500 {
            world.step();
            assert!(world.used <= world.prepaid, "seed {seed}: {} used", world.used);
        }
        served += world.used;
    }
    // A test in which nothing is used would prove nothing.
    assert!(served > 300 * 30_000, "{served} used in all");
}

struct Left {
    elapsed_ms: u64,
    left: u64,
}

#[test_case(Left { elapsed_ms: 0, left: 900 }; "at once only the burst may be gone")]
#[test_case(Left { elapsed_ms: 1000, left: 850 }; "then the rate adds to it")]
#[test_case(Left { elapsed_ms: 1001, left: 849 }; "parts of a token count as whole ones")]
#[test_case(Left { elapsed_ms: 2999, left: 750 }; "until all may have been used")]
#[test_case(Left { elapsed_ms: 3000, left: 0 }; "from then on nothing is certain")]
fn next_process_takes_over_what_is_certainly_left(case: Left) {
    // An earlier version's row doesn't say when all may be used.
    assert_left(&case, 3000, 0);
}

#[test_case(Left { elapsed_ms: 2000, left: 800 }; "the rate holds at first")]
#[test_case(Left { elapsed_ms: 2500, left: 700 }; "then use is looser")]
#[test_case(Left { elapsed_ms: 2999, left: 600 }; "until all may have been used")]
#[test_case(Left { elapsed_ms: 3000, left: 0 }; "from then on nothing is certain")]
fn process_that_starts_late_takes_over_what_looser_use_left(case: Left) {
    assert_left(&case, 2000, 3000);
}

fn assert_left(case: &Left, unlock_ms: u64, open_ms: u64) {
    let stake = Allocation {
        tokens: 1000,
        burst: 100,
        rate: 50,
        written_ms: 7000,
        unlock_ms,
        open_ms,
        ..Allocation::default()
    };
    assert_eq!(stake.min_unspent(7000 + case.elapsed_ms), case.left);
}

/// Surroundings of the only host that keeps a workspace's tokens.
fn setting(platform_ms: u64) -> Environment {
    let platform_ms = Some(platform_ms);
    Environment { lenders: 1, is_lender: true, workspaces: 1, writes_per_s: 240, platform_ms }
}

/// Runs transactions until none is due.
fn run(account: &mut Account, table: &mut Table, now: Duration, platform_ms: u64) {
    let setting = setting(platform_ms);
    // Conflicts are followed by short pauses.
    for step in 0..50 {
        let now = now + step * MILLI;
        while let Some(step) = account.plan(now, setting) {
            match step {
                Step::Read(keys) => account.finish_read(now, &table.read(&keys), Some(platform_ms)),
                Step::Commit(txn) => {
                    account.finish_commit(now, table.commit(&txn), Some(platform_ms))
                }
            }
        }
    }
}

fn account(holder: &str, prepaid: u64) -> Account {
    let mut account = Account::new(WORKSPACE.into(), "h", holder.into());
    account.set_prepaid(prepaid);
    account
}

#[test]
fn stake_opens_while_the_platform_is_away() {
    let mut table = Table::default();
    let mut own = account("h-1", 100_000);
    run(&mut own, &mut table, Duration::ZERO, 1000);
    assert!(own.available(Duration::ZERO) < 5_000, "only the burst at once");
    let looser = Duration::from_secs(6);
    assert!(own.available(looser) > 10_000, "more than at the rate of an idle stake");
    let later = Duration::from_secs(9);
    assert!(own.available(later) > 30_000, "all of the stake after a time");
}

#[test]
fn request_beyond_the_burst_waits_for_one_transaction() {
    let mut table = Table::default();
    let mut own = account("h-1", 100_000);
    run(&mut own, &mut table, Duration::ZERO, 1000);
    let now = 900 * MILLI;
    assert_eq!(own.reserve(now, 20_000, true), ReserveResult::Wait);
    run(&mut own, &mut table, now, 1900);
    assert_eq!(own.reserve(now, 20_000, true), ReserveResult::Reserved);
}

#[test]
fn borrowed_tokens_can_be_used_without_a_stake() {
    let mut own = account("h-1", 100_000);
    own.add_borrowed(700);
    assert_eq!(own.reserve(Duration::ZERO, 700, true), ReserveResult::Reserved);
    assert_eq!(own.available(Duration::ZERO), 0);
}

#[test]
fn budget_is_exhausted_only_once_its_rows_show_it() {
    let mut table = Table::default();
    let mut own = account("h-1", 10_000);
    run(&mut own, &mut table, Duration::ZERO, 1000);
    let now = Duration::from_secs(2);
    assert_eq!(own.reserve(now, 20_000, true), ReserveResult::Wait, "the rows are old");
    run(&mut own, &mut table, now, 3000);
    assert_eq!(own.reserve(now, 20_000, true), ReserveResult::Exhausted);
    own.set_prepaid(40_000);
    assert_eq!(own.reserve(now, 20_000, true), ReserveResult::Wait, "the amount was raised");
    run(&mut own, &mut table, now, 3000);
    assert_eq!(own.reserve(now, 20_000, true), ReserveResult::Reserved);
}

#[test]
fn nothing_is_used_while_more_is_granted_than_a_lowered_amount() {
    let mut table = Table::default();
    let mut own = account("h-1", 100_000);
    run(&mut own, &mut table, Duration::ZERO, 1000);
    own.set_prepaid(100);
    assert_ne!(own.reserve(Duration::from_secs(9), 500, true), ReserveResult::Reserved);
}

#[test]
fn closing_gives_all_back() {
    let mut table = Table::default();
    let mut own = account("h-1", 100_000);
    run(&mut own, &mut table, Duration::ZERO, 1000);
    assert!(own.balance().0 > 0);
    own.close();
    run(&mut own, &mut table, Duration::from_secs(1), 2000);
    assert_eq!(own.balance(), (0, 0));
    assert!(own.is_closed());
    let mut next = account("h-2", 100_000);
    run(&mut next, &mut table, Duration::ZERO, 2100);
    assert_eq!(next.reserve(Duration::from_secs(9), 30_000, true), ReserveResult::Reserved);
}

#[test]
fn process_that_follows_a_kill_takes_over_most_of_the_stake() {
    let mut table = Table::default();
    let mut dead = account("h-1", 100_000);
    run(&mut dead, &mut table, Duration::ZERO, 1000);
    let held = dead.balance().0;
    let mut next = account("h-2", 100_000);
    run(&mut next, &mut table, Duration::ZERO, 2500);
    let sums = next.balance().0;
    assert!(sums * 100 >= held * 85, "{sums} of {held} taken over");
}

#[test]
fn process_that_starts_after_a_loss_of_power_takes_over_part_of_the_stake() {
    let mut table = Table::default();
    let mut dead = account("h-1", 100_000);
    run(&mut dead, &mut table, Duration::ZERO, 1000);
    let held = dead.balance().0;
    let mut next = account("h-2", 100_000);
    run(&mut next, &mut table, Duration::ZERO, 6500);
    let sums = next.balance().0;
    assert!(sums * 100 >= held * 70, "{sums} of {held} taken over");
}

#[test]
fn next_process_takes_its_stake_over_without_the_budget_row() {
    let mut table = Table::default();
    let mut dead = account("h-1", 100_000);
    run(&mut dead, &mut table, Duration::ZERO, 1000);
    let mut next = account("h-2", 100_000);
    assert_eq!(next.reserve(Duration::ZERO, 2_000, true), ReserveResult::Wait);
    let Some(Step::Read(keys)) = next.plan(Duration::ZERO, setting(2000)) else {
        panic!("the rows are read first");
    };
    next.finish_read(Duration::ZERO, &table.read(&keys), Some(2000));
    let Some(Step::Commit(txn)) = next.plan(Duration::ZERO, setting(2000)) else {
        panic!("the stake is taken over");
    };
    let written: Vec<&str> = txn.writes.iter().map(|write| &*write.key).collect();
    assert_eq!(written, ["stake/w/h"], "other hosts change the budget's row meanwhile");
    next.finish_commit(Duration::ZERO, table.commit(&txn), Some(2000));
    assert_eq!(next.reserve(Duration::ZERO, 2_000, true), ReserveResult::Reserved);
}

#[test]
fn late_reading_takes_over_what_was_left_at_the_start() {
    let mut table = Table::default();
    let mut dead = account("h-1", 100_000);
    run(&mut dead, &mut table, Duration::ZERO, 1000);
    let held = dead.balance().0;
    // The platform is away for a minute after the start at 2500 ms.
    let mut next = account("h-2", 100_000);
    let now = Duration::from_secs(60);
    let Some(Step::Read(keys)) = next.plan(now, setting(62_500)) else {
        panic!("the rows are read first");
    };
    next.finish_read(now, &table.read(&keys), Some(2500));
    let sums = next.balance().0;
    assert!(sums * 100 >= held * 85, "{sums} of {held} taken over");
}

#[test]
fn every_host_that_asks_hears_of_tokens_on_their_way_back() {
    let mut table = Table::default();
    let mut own = account("h-1", 100_000);
    run(&mut own, &mut table, Duration::ZERO, 1000);
    let now = Duration::from_secs(1);
    let first = own.recall(now);
    assert!(first > 40_000, "{first} given back");
    let Some(Step::Commit(txn)) = own.plan(now, setting(2000)) else {
        panic!("tokens are given back");
    };
    assert_eq!(own.recall(now), first, "the transaction is under way");
    own.finish_commit(now, table.commit(&txn), Some(1000));
    assert!(own.recall(now) < first / 10, "they are back");
}

#[test]
fn stake_is_written_anew_at_once_after_an_outage() {
    let mut table = Table::default();
    let mut own = account("h-1", 100_000);
    run(&mut own, &mut table, Duration::ZERO, 1000);
    let lost = Duration::from_secs(3);
    let Some(Step::Commit(txn)) = own.plan(lost, setting(4000)) else {
        panic!("a stake is written anew");
    };
    own.finish_commit(lost, Outcome::Unavailable, Some(4000));
    let back = Duration::from_secs(11);
    let Some(Step::Commit(again)) = own.plan(back, setting(12_000)) else {
        panic!("the transaction is sent again");
    };
    assert_eq!(again, txn);
    own.finish_commit(back, table.commit(&again), Some(12_000));
    let Some(Step::Commit(next)) = own.plan(back, setting(12_000)) else {
        panic!("the bound of before the outage is replaced");
    };
    own.finish_commit(back, table.commit(&next), Some(12_000));
    let (written, _) = &table.rows["stake/w/h"];
    let stake: Allocation = serde_json::from_str(written).expect("a stake");
    assert!(stake.min_unspent(12_500) * 100 >= stake.tokens * 85, "a kill now loses little");
}

#[test]
fn lost_answer_leaves_the_stricter_of_two_bounds_in_force() {
    let mut table = Table::default();
    let mut own = account("h-1", 100_000);
    run(&mut own, &mut table, Duration::ZERO, 1000);
    let asked = 800 * MILLI;
    assert_eq!(own.reserve(asked, 20_000, true), ReserveResult::Wait);
    run(&mut own, &mut table, asked, 1800);
    assert!(own.available(asked) >= 20_000, "the burst covers the request");
    // The next write has a lesser burst; it is done, and its answer is lost.
    let now = Duration::from_secs(3);
    let setting = setting(4000);
    let Some(Step::Commit(txn)) = own.plan(now, setting) else {
        panic!("a stake is written anew");
    };
    table.commit(&txn);
    own.finish_commit(now, Outcome::Unknown, Some(4000));
    let (written, _) = &table.rows["stake/w/h"];
    let stake: Allocation = serde_json::from_str(written).expect("a stake");
    let next = stake.min_unspent(4000);
    assert!(own.available(now) + next <= stake.tokens, "both may be used");
}
