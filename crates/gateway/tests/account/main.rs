//! Prepaid accounts of several hosts that share one table, with kills, lost answers and outages.

mod killed;
mod recovered;
mod restored;
mod simulation;

use std::time::Duration;

use coordination::table::Outcome;
use gateway::account::{
    Account, Allocation, Environment, Loss, Progress, Relaxed, ReserveResult, Step,
};
use test_case::test_case;

use crate::simulation::{MILLISECOND, Simulation, Table, WORKSPACE};

#[test]
fn use_never_exceeds_the_prepaid_amount_over_random_histories() {
    let (mut served, mut recovered) = (0, 0);
    for seed in 0..300 {
        let mut simulation = Simulation::new(seed, 4, 60_000);
        for _ in 0..1500 {
            simulation.step();
            assert!(simulation.used <= simulation.prepaid, "seed {seed}: {} used", simulation.used);
        }
        served += simulation.used;
        recovered += simulation.recovered;
    }
    assert!(recovered > 0, "no process recovered anything of the one before");
    // If hardly anything were used, the check above would prove nothing.
    assert!(served > 300 * 30_000, "{served} used in all");
}

#[test]
fn what_a_process_got_is_what_it_gave_used_and_still_has() {
    for seed in 0..100 {
        let mut simulation = Simulation::new(seed, 4, 60_000);
        for step in 0..1500 {
            simulation.step();
            for process in &simulation.processes {
                let (reserved, turnover) = process.account.turnover();
                let (held, total_reserved) = process.account.balance();
                assert_eq!(reserved.total(), total_reserved);
                assert_eq!(turnover.remaining(), held + total_reserved, "seed {seed}, step {step}");
            }
        }
    }
}

struct Case {
    elapsed_ms: u64,
    unspent: u64,
}

#[test_case(Case { elapsed_ms: 0, unspent: 900 }; "at first only the burst may have been used")]
#[test_case(Case { elapsed_ms: 1000, unspent: 850 }; "then the rate is added")]
#[test_case(Case { elapsed_ms: 1001, unspent: 849 }; "fractions of a token are rounded up")]
#[test_case(Case { elapsed_ms: 2999, unspent: 750 }; "until all may have been used")]
#[test_case(Case { elapsed_ms: 3000, unspent: 0 }; "from then on nothing is certain")]
fn next_process_takes_over_what_is_certainly_unspent(case: Case) {
    // Rows of earlier versions don't say when all tokens may be used.
    assert_min_unspent(&case, 3000, 0);
}

#[test_case(Case { elapsed_ms: 2000, unspent: 800 }; "the rate holds at first")]
#[test_case(Case { elapsed_ms: 2500, unspent: 700 }; "then the relaxed rate applies")]
#[test_case(Case { elapsed_ms: 2999, unspent: 600 }; "until all may have been used")]
#[test_case(Case { elapsed_ms: 3000, unspent: 0 }; "from then on nothing is certain")]
fn process_that_starts_late_takes_over_what_relaxed_use_left(case: Case) {
    assert_min_unspent(&case, 2000, 3000);
}

#[test_case(Case { elapsed_ms: 1500, unspent: 825 }; "the rate holds at first")]
#[test_case(Case { elapsed_ms: 2500, unspent: 650 }; "then the stated rate applies")]
#[test_case(Case { elapsed_ms: 3999, unspent: 200 }; "until all may have been used")]
#[test_case(Case { elapsed_ms: 4000, unspent: 0 }; "from then on nothing is certain")]
fn relaxed_use_is_as_the_row_states_it(case: Case) {
    let allocation = Allocation {
        tokens: 1000,
        burst: 100,
        rate: 50,
        written_ms: 7000,
        unlock_ms: 2000,
        relaxed: Some(Relaxed { rate: 300, until_ms: 4000 }),
        ..Allocation::default()
    };
    assert_eq!(allocation.min_unspent(7000 + case.elapsed_ms), case.unspent);
}

#[test_case(Case { elapsed_ms: 700, unspent: 865 }; "the rate accrues at first")]
#[test_case(Case { elapsed_ms: 1500, unspent: 860 }; "then nothing more")]
#[test_case(Case { elapsed_ms: 1999, unspent: 860 }; "until the rate is relaxed")]
#[test_case(Case { elapsed_ms: 2000, unspent: 800 }; "when notes prove nothing any more")]
#[test_case(Case { elapsed_ms: 4000, unspent: 0 }; "and in the end nothing is certain")]
fn allocation_that_nobody_noted_accrued_until_its_pause(case: Case) {
    let allocation = Allocation {
        tokens: 1000,
        burst: 100,
        rate: 50,
        written_ms: 7000,
        pause_ms: 800,
        unlock_ms: 2000,
        relaxed: Some(Relaxed { rate: 300, until_ms: 4000 }),
        ..Allocation::default()
    };
    assert_eq!(allocation.min_unspent_unextended(7000 + case.elapsed_ms), case.unspent);
}

fn assert_min_unspent(case: &Case, unlock_ms: u64, open_ms: u64) {
    let allocation = Allocation {
        tokens: 1000,
        burst: 100,
        rate: 50,
        written_ms: 7000,
        unlock_ms,
        open_ms,
        ..Allocation::default()
    };
    assert_eq!(allocation.min_unspent(7000 + case.elapsed_ms), case.unspent);
}

/// Environment of the only lender of a workspace.
fn environment(platform_ms: u64) -> Environment {
    let platform_ms = Some(platform_ms);
    Environment {
        lenders: 1,
        is_lender: true,
        is_lender_reachable: false,
        workspaces: 1,
        writes_per_s: 240,
        platform_ms,
        era: 0,
        is_founding: true,
        lost_rows: Loss::None,
    }
}

/// Runs transactions of the only lender until none is due.
fn run(account: &mut Account, table: &mut Table, now: Duration, platform_ms: u64) {
    run_in(environment(platform_ms), account, table, now);
}

/// Runs transactions until none is due.
fn run_in(environment: Environment, account: &mut Account, table: &mut Table, now: Duration) {
    let platform_ms = environment.platform_ms;
    // Short delays follow conflicts.
    for step in 0..50 {
        let now = now + step * MILLISECOND;
        while let Some(step) = account.plan(now, environment) {
            match step {
                Step::Read(keys) => account.finish_read(now, &table.read(&keys), platform_ms),
                Step::Commit(txn) => {
                    account.finish_commit(now, table.commit(&txn), platform_ms);
                }
            }
        }
    }
}

fn new_account(holder: &str, prepaid: u64) -> Account {
    let mut account = Account::new(WORKSPACE.into(), "h", holder.into());
    account.set_prepaid(prepaid);
    account
}

#[test]
fn whole_allocation_is_usable_in_the_end_during_an_outage() {
    let mut table = Table::default();
    let mut account = new_account("h-1", 100_000);
    run(&mut account, &mut table, Duration::ZERO, 1000);
    assert!(account.available(Duration::ZERO) < 5_000, "only the burst at once");
    let relaxed = Duration::from_secs(6);
    assert!(account.available(relaxed) > 10_000, "more than at the rate of an idle allocation");
    let later = Duration::from_secs(9);
    assert!(account.available(later) > 30_000, "the whole allocation after some time");
}

#[test]
fn request_beyond_the_burst_waits_for_one_transaction() {
    let mut table = Table::default();
    let mut account = new_account("h-1", 100_000);
    run(&mut account, &mut table, Duration::ZERO, 1000);
    let now = 900 * MILLISECOND;
    assert_eq!(account.reserve(now, 20_000, true), ReserveResult::Wait);
    run(&mut account, &mut table, now, 1900);
    assert_eq!(account.reserve(now, 20_000, true), ReserveResult::Reserved);
}

#[test]
fn request_waits_for_the_limit_while_the_platform_is_unreachable() {
    let mut table = Table::default();
    let mut account = new_account("h-1", 100_000);
    run(&mut account, &mut table, Duration::ZERO, 1000);
    let now = 200 * MILLISECOND;
    let tokens = account.available(now) + 300;
    let ReserveResult::WaitFor(time) = account.reserve(now, tokens, false) else {
        panic!("the limit allows the tokens soon");
    };
    assert_ne!(account.reserve(now + time / 2, tokens, false), ReserveResult::Reserved);
    assert_eq!(account.reserve(now + time, tokens, false), ReserveResult::Reserved);
    assert_eq!(
        account.reserve(now + time, 20_000, false),
        ReserveResult::Unavailable,
        "the limit doesn't allow them in time"
    );
}

#[test]
fn borrowed_tokens_can_be_used_without_an_allocation() {
    let mut account = new_account("h-1", 100_000);
    account.add_borrowed(700);
    assert_eq!(account.reserve(Duration::ZERO, 700, true), ReserveResult::Reserved);
    assert_eq!(account.available(Duration::ZERO), 0);
}

#[test]
fn budget_is_exhausted_only_once_its_rows_show_it() {
    let mut table = Table::default();
    let mut account = new_account("h-1", 10_000);
    run(&mut account, &mut table, Duration::ZERO, 1000);
    let now = Duration::from_secs(2);
    assert_eq!(
        account.reserve(now, 20_000, true),
        ReserveResult::Wait,
        "the rows were read too long ago"
    );
    run(&mut account, &mut table, now, 3000);
    assert_eq!(account.reserve(now, 20_000, true), ReserveResult::Exhausted);
    account.set_prepaid(40_000);
    assert_eq!(account.reserve(now, 20_000, true), ReserveResult::Wait, "the amount was raised");
    run(&mut account, &mut table, now, 3000);
    assert_eq!(account.reserve(now, 20_000, true), ReserveResult::Reserved);
}

#[test]
fn nothing_is_used_while_more_is_granted_than_a_lowered_amount() {
    let mut table = Table::default();
    let mut account = new_account("h-1", 100_000);
    run(&mut account, &mut table, Duration::ZERO, 1000);
    account.set_prepaid(100);
    assert_ne!(account.reserve(Duration::from_secs(9), 500, true), ReserveResult::Reserved);
}

#[test]
fn lowered_amount_is_usable_again_while_requests_keep_waiting() {
    let mut table = Table::default();
    let mut account = new_account("h-1", 1_000_000);
    run(&mut account, &mut table, Duration::ZERO, 1000);
    assert!(account.balance().0 > 10_000);
    account.set_prepaid(10_000);
    let mut result = account.reserve(Duration::from_secs(9), 500, true);
    for step in 0..20 {
        let now = Duration::from_secs(9) + step * 50 * MILLISECOND;
        run(&mut account, &mut table, now, 1000 + u64::from(step) * 50);
        result = account.reserve(now, 500, true);
        if result == ReserveResult::Reserved {
            break;
        }
    }
    assert_eq!(result, ReserveResult::Reserved);
}

#[test]
fn closing_returns_all_tokens() {
    let mut table = Table::default();
    let mut account = new_account("h-1", 100_000);
    run(&mut account, &mut table, Duration::ZERO, 1000);
    assert!(account.balance().0 > 0);
    account.close();
    run(&mut account, &mut table, Duration::from_secs(1), 2000);
    assert_eq!(account.balance(), (0, 0));
    assert!(account.is_closed());
    let mut next = new_account("h-2", 100_000);
    run(&mut next, &mut table, Duration::ZERO, 2100);
    assert_eq!(next.reserve(Duration::from_secs(9), 30_000, true), ReserveResult::Reserved);
}

#[test]
fn process_that_follows_a_kill_takes_over_most_of_the_allocation() {
    let mut table = Table::default();
    let mut killed = new_account("h-1", 100_000);
    run(&mut killed, &mut table, Duration::ZERO, 1000);
    let held = killed.balance().0;
    let mut next = new_account("h-2", 100_000);
    run(&mut next, &mut table, Duration::ZERO, 2500);
    let taken_over = next.balance().0;
    assert!(taken_over * 100 >= held * 85, "{taken_over} of {held} taken over");
}

#[test]
fn process_that_starts_after_a_power_failure_takes_over_part_of_the_allocation() {
    let mut table = Table::default();
    let mut killed = new_account("h-1", 100_000);
    run(&mut killed, &mut table, Duration::ZERO, 1000);
    let held = killed.balance().0;
    let mut next = new_account("h-2", 100_000);
    run(&mut next, &mut table, Duration::ZERO, 6500);
    let taken_over = next.balance().0;
    assert!(taken_over * 100 >= held * 70, "{taken_over} of {held} taken over");
}

#[test]
fn next_process_takes_over_its_allocation_without_the_budget_row() {
    let mut table = Table::default();
    let mut killed = new_account("h-1", 100_000);
    run(&mut killed, &mut table, Duration::ZERO, 1000);
    let mut next = new_account("h-2", 100_000);
    assert_eq!(next.reserve(Duration::ZERO, 2_000, true), ReserveResult::Wait);
    let Some(Step::Read(keys)) = next.plan(Duration::ZERO, environment(2000)) else {
        panic!("the rows are read first");
    };
    next.finish_read(Duration::ZERO, &table.read(&keys), Some(2000));
    let Some(Step::Commit(txn)) = next.plan(Duration::ZERO, environment(2000)) else {
        panic!("the allocation is taken over");
    };
    let written: Vec<&str> = txn.writes.iter().map(|write| &*write.key).collect();
    assert_eq!(written, ["stake/w/h"], "the budget's row, which other hosts change, isn't written");
    next.finish_commit(Duration::ZERO, table.commit(&txn), Some(2000));
    assert_eq!(next.reserve(Duration::ZERO, 2_000, true), ReserveResult::Reserved);
}

#[test]
fn late_read_takes_over_what_was_left_at_the_start() {
    let mut table = Table::default();
    let mut killed = new_account("h-1", 100_000);
    run(&mut killed, &mut table, Duration::ZERO, 1000);
    let held = killed.balance().0;
    // The platform is unreachable for a minute after the start at 2500 ms.
    let mut next = new_account("h-2", 100_000);
    let now = Duration::from_secs(60);
    let Some(Step::Read(keys)) = next.plan(now, environment(62_500)) else {
        panic!("the rows are read first");
    };
    next.finish_read(now, &table.read(&keys), Some(2500));
    let taken_over = next.balance().0;
    assert!(taken_over * 100 >= held * 85, "{taken_over} of {held} taken over");
}

#[test]
fn every_recall_reports_the_tokens_on_their_way_back() {
    let mut table = Table::default();
    let mut account = new_account("h-1", 100_000);
    run(&mut account, &mut table, Duration::ZERO, 1000);
    let now = Duration::from_secs(1);
    let recalled = account.recall(now);
    assert!(recalled > 40_000, "{recalled} returned");
    let Some(Step::Commit(txn)) = account.plan(now, environment(2000)) else {
        panic!("tokens are returned");
    };
    assert_eq!(account.recall(now), recalled, "the transaction is in progress");
    account.finish_commit(now, table.commit(&txn), Some(1000));
    assert!(account.recall(now) < recalled / 10, "the tokens were returned");
}

#[test]
fn allocation_is_renewed_at_once_after_an_outage() {
    let mut table = Table::default();
    let mut account = new_account("h-1", 100_000);
    run(&mut account, &mut table, Duration::ZERO, 1000);
    let outage_start = Duration::from_secs(3);
    let Some(Step::Commit(txn)) = account.plan(outage_start, environment(4000)) else {
        panic!("the allocation is renewed");
    };
    account.finish_commit(outage_start, Outcome::Unavailable, Some(4000));
    let recovered = Duration::from_secs(11);
    let Some(Step::Commit(again)) = account.plan(recovered, environment(12_000)) else {
        panic!("the transaction is sent again");
    };
    assert_eq!(again, txn);
    account.finish_commit(recovered, table.commit(&again), Some(12_000));
    let Some(Step::Commit(next)) = account.plan(recovered, environment(12_000)) else {
        panic!("the limit from before the outage is replaced");
    };
    account.finish_commit(recovered, table.commit(&next), Some(12_000));
    let (written, _) = &table.rows["stake/w/h"];
    let allocation: Allocation = serde_json::from_str(written).expect("an allocation");
    assert!(
        allocation.min_unspent(12_500) * 100 >= allocation.tokens * 85,
        "a kill now loses little"
    );
}

#[test]
fn lost_answer_leaves_the_stricter_of_two_limits_in_force() {
    let mut table = Table::default();
    let mut account = new_account("h-1", 100_000);
    run(&mut account, &mut table, Duration::ZERO, 1000);
    let requested_at = 800 * MILLISECOND;
    assert_eq!(account.reserve(requested_at, 20_000, true), ReserveResult::Wait);
    run(&mut account, &mut table, requested_at, 1800);
    assert!(account.available(requested_at) >= 20_000, "the burst covers the request");
    // The next write has a smaller burst; it is committed, and its answer is lost.
    let now = Duration::from_secs(3);
    let environment = environment(4000);
    let Some(Step::Commit(txn)) = account.plan(now, environment) else {
        panic!("the allocation is renewed");
    };
    table.commit(&txn);
    account.finish_commit(now, Outcome::Unknown, Some(4000));
    let (written, _) = &table.rows["stake/w/h"];
    let allocation: Allocation = serde_json::from_str(written).expect("an allocation");
    let next = allocation.min_unspent(4000);
    assert!(account.available(now) + next <= allocation.tokens, "both may be used");
}

/// Environment of a host that lends nothing.
fn borrower_environment() -> Environment {
    Environment { lenders: 5, is_lender: false, is_lender_reachable: true, ..environment(1000) }
}

/// The load of a workspace whose requests come to hundreds of hosts, each of them to another one
/// than the request before: what each leaves of its reservation must serve the next ones.
#[test]
fn tokens_that_requests_left_over_serve_requests_at_other_hosts() {
    const HOSTS: u64 = 300;
    const RESERVED: u64 = 5_000;
    const USED: u64 = 4_700;
    let mut table = Table::default();
    let mut lender = new_account("lender-1", 1_000_000);
    let mut hosts: Vec<Account> = (0..HOSTS)
        .map(|host| Account::new(WORKSPACE.into(), &format!("h{host}"), "p".into()))
        .collect();
    let mut served = 0;
    for number in 0..1_000_000 / USED {
        let now = Duration::from_millis(100 * number);
        run(&mut lender, &mut table, now, now.as_millis() as u64);
        // The limit on use isn't the subject here.
        if lender.reserve(now, RESERVED, true) == ReserveResult::Wait {
            run(&mut lender, &mut table, now, now.as_millis() as u64);
            if lender.reserve(now, RESERVED, true) != ReserveResult::Reserved {
                break;
            }
        }
        lender.transfer_reserved(RESERVED);
        let host = &mut hosts[(number % HOSTS) as usize];
        host.add_borrowed(RESERVED);
        assert_eq!(host.reserve_available(now, RESERVED), RESERVED);
        host.settle(RESERVED, USED, Progress::Unsent);
        served += 1;
        for host in &mut hosts {
            let leftover = host.take_leftover(now);
            assert!(host.plan(now, borrower_environment()).is_none(), "no row is needed");
            lender.add_borrowed(leftover);
        }
    }
    let left: u64 = hosts.iter().map(|host| host.balance().0).sum();
    assert!(left <= 3 * RESERVED, "{left} tokens are out of reach");
    assert!(served >= 1_000_000 / USED * 97 / 100, "{served} requests served");
}

#[test]
fn leftover_stays_while_a_request_may_still_need_it() {
    let mut account = new_account("h-1", 100_000);
    account.add_borrowed(900);
    assert_eq!(account.reserve_available(Duration::from_secs(1), 400), 400);
    account.settle(400, 100, Progress::Unsent);
    let soon = Duration::from_millis(1100);
    assert_eq!(account.take_leftover(soon), 0, "used a moment ago");
    account.enqueue(2000);
    let later = Duration::from_millis(1300);
    assert_eq!(account.take_leftover(later), 0, "a request waits");
    account.dequeue(2000);
    assert_eq!(account.take_leftover(later), 800);
    assert_eq!(account.take_leftover(later), 0);
}

struct FormerLenderCase {
    is_lender_reachable: bool,
    /// Time since the last request.
    unused_ms: u64,
    is_returned: bool,
}

#[test_case(FormerLenderCase { is_lender_reachable: true, unused_ms: 1000, is_returned: true }; "another lender can be asked")]
#[test_case(FormerLenderCase { is_lender_reachable: true, unused_ms: 100, is_returned: false }; "used a moment ago")]
#[test_case(FormerLenderCase { is_lender_reachable: false, unused_ms: 1000, is_returned: true }; "no other lender can be asked")]
fn allocation_of_a_former_lender_is_returned(case: FormerLenderCase) {
    const PREPAID: u64 = 1_000_000;
    let mut table = Table::default();
    let mut account = new_account("h-1", PREPAID);
    // It was a lender for so long that its rate of use is known, and is none any more.
    for second in 0..60 {
        run(&mut account, &mut table, Duration::from_secs(second), second * 1000);
    }
    let held = account.balance().0;
    assert!(held > PREPAID / 4, "{held} tokens are prefetched");
    let used_at = Duration::from_secs(60);
    assert_eq!(account.reserve(used_at, 1, true), ReserveResult::Reserved);
    let now = used_at + Duration::from_millis(case.unused_ms);
    let environment = Environment {
        lenders: 5,
        is_lender: false,
        is_lender_reachable: case.is_lender_reachable,
        ..environment(now.as_millis() as u64)
    };
    run_in(environment, &mut account, &mut table, now);
    let left = account.balance().0;
    assert_eq!(left < held / 100, case.is_returned, "{left} tokens are left");
}
