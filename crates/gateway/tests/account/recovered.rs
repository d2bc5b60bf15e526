//! What a process takes over and recovers of the one before, against what that one had left.

use std::{sync::Arc, time::Duration};

use coordination::table::Outcome;
use gateway::{
    account::{Account, Environment, Loss, ReserveResult, Step},
    witness::Notes,
};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

use crate::simulation::{Table, WITNESS, WORKSPACE};

const PREPAID: u64 = 2_000_000;
const STEP_MS: u64 = 10;

/// A process of the only lender.
struct Process {
    account: Account,
    started_ms: u64,
}

impl Process {
    fn start(now_ms: u64) -> Self {
        let holder = format!("h-{now_ms}");
        let mut account = Account::new(WORKSPACE.into(), "h", holder.into());
        account.set_prepaid(PREPAID);
        account.set_witnesses(&Arc::from([Arc::from(WITNESS)]));
        Self { account, started_ms: now_ms }
    }

    fn transact(&mut self, table: &mut Table, now_ms: u64, is_reachable: bool) {
        let now = Duration::from_millis(now_ms - self.started_ms);
        let environment = Environment {
            lenders: 1,
            is_lender: true,
            is_lender_reachable: false,
            workspaces: 1,
            writes_per_s: 240,
            platform_ms: Some(now_ms),
            era: 0,
            is_founding: true,
            lost_rows: Loss::None,
        };
        let start_ms = Some(self.started_ms);
        while let Some(step) = self.account.plan(now, environment) {
            let outcome = match &step {
                _ if !is_reachable => Outcome::Unavailable,
                Step::Read(keys) => table.read(keys),
                Step::Commit(txn) => table.commit(txn),
            };
            match step {
                Step::Read(_) => self.account.finish_read(now, &outcome, start_ms),
                Step::Commit(_) => self.account.finish_commit(now, outcome, start_ms),
            }
        }
    }

    /// Uses all that the limit allows.
    fn use_all(&mut self, rng: &mut StdRng, now_ms: u64, is_reachable: bool) {
        let now = Duration::from_millis(now_ms - self.started_ms);
        for _ in 0..20 {
            let tokens = rng.random_range(1..2_000);
            let reserved = self.account.reserve(now, tokens, is_reachable);
            if reserved != ReserveResult::Reserved {
                return;
            }
        }
    }
}

/// Plays a process that ends at a random time, and the next one; returns the tokens that the first
/// had left, and those that the next took over and recovered.
fn play(seed: u64) -> (u64, u64, u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let (mut table, mut notes, mut witness_started_ms) = (Table::default(), Notes::default(), 0);
    let mut process = Process::start(0);
    let end_ms = rng.random_range(1_000..9_000);
    let outage_ms = rng.random_range(500..12_000);
    // The process may be cut off from the witness, which the next one can still ask.
    let is_cut_off = rng.random_bool(0.4);
    let mut now_ms = 0;
    while now_ms < end_ms {
        now_ms += STEP_MS;
        let is_reachable = now_ms < outage_ms;
        process.transact(&mut table, now_ms, is_reachable);
        process.use_all(&mut rng, now_ms, is_reachable);
        let now = Duration::from_millis(now_ms - process.started_ms);
        if let Some(request) = process.account.extension_due(now) {
            // The message or its answer may be lost.
            let fate = if is_cut_off { 0 } else { rng.random_range(0..4) };
            if fate > 0 && notes.note(Duration::from_millis(now_ms), &request.version) && fate > 1 {
                process.account.extend(request.version.number);
            }
        }
        if rng.random_bool(0.01) {
            (notes, witness_started_ms) = (Notes::default(), now_ms);
        }
    }
    let left = process.account.balance().0;
    now_ms += rng.random_range(0..2_500);
    let mut next = Process::start(now_ms);
    now_ms += rng.random_range(0..2_500);
    next.transact(&mut table, now_ms, true);
    let taken_over = next.account.turnover().1.taken_over;
    if let Some(claim) = next.account.take_claim() {
        let started_ms = Some(witness_started_ms);
        let noted = notes.find(&claim.version, started_ms, Some(now_ms), claim.written_ms);
        if noted == Some(false) {
            next.account.recover(&claim);
        }
    }
    (left, taken_over, next.account.turnover().1.taken_over - taken_over)
}

#[test]
fn next_process_gets_no_more_than_the_one_before_had_left() {
    let mut recovered = 0;
    for seed in 0..2_000 {
        let (own_left, own_taken, own_recovered) = play(seed);
        assert!(
            own_taken + own_recovered <= own_left,
            "seed {seed}: {own_taken} + {own_recovered} of {own_left}"
        );
        recovered += usize::from(own_recovered > 0);
    }
    assert!(recovered > 50, "only {recovered} processes recovered anything");
}
