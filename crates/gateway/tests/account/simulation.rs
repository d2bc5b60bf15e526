//! Hosts with their processes and a table between them, on a clock of their own.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use coordination::table::{Outcome, Row, Txn};
use gateway::{
    account::{Account, Environment, Loss, Progress, ReserveResult, Step},
    era::{EraStart, Knowledge},
    witness::Notes,
};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

/// Age of the oldest copy from which the table may be restored.
pub const COPY_MAX_AGE_MS: u64 = 10_000;

pub const WORKSPACE: &str = "w";

/// Host that notes which allocations go on without a renewal.
pub const WITNESS: &str = "witness";
pub const MILLISECOND: Duration = Duration::from_millis(1);

/// Key of the row that records the start of the current era.
const ERA_ROW: &str = "fleet/era";

type Rows = BTreeMap<Arc<str>, (Arc<str>, u64)>;

/// A table of rows that commits transactions one after the other.
#[derive(Debug, Default)]
pub struct Table {
    pub rows: Rows,
    revision: u64,
    /// Number of times that it was restored from an older copy.
    pub era: u64,
    /// Copies with their time in milliseconds.
    copies: VecDeque<(u64, Rows, u64)>,
}

impl Table {
    /// Keeps a copy of the rows as of a time; those older than any that may be restored are dropped.
    pub fn copy(&mut self, now_ms: u64) {
        self.copies.push_back((now_ms, self.rows.clone(), self.revision));
        while self.copies.front().is_some_and(|(at, ..)| now_ms - at > COPY_MAX_AGE_MS + 200) {
            self.copies.pop_front();
        }
    }

    /// Returns to the rows as they were `age_ms` ago; revisions are given out again.
    pub fn restore(&mut self, now_ms: u64, age_ms: u64) {
        let mut older = self.copies.iter().rev();
        if let Some((_, rows, revision)) = older.find(|(at, ..)| now_ms - at >= age_ms) {
            (self.rows, self.revision) = (rows.clone(), *revision);
            self.era += 1;
        }
    }

    pub fn read(&self, keys: &[Arc<str>]) -> Outcome {
        let row = |key: &Arc<str>| match self.rows.get(key) {
            Some((value, revision)) => {
                Row { key: key.clone(), value: Some(value.clone()), revision: *revision }
            }
            None => Row { key: key.clone(), value: None, revision: 0 },
        };
        Outcome::Rows(keys.iter().map(row).collect())
    }

    fn write_era_start(&mut self, start: &EraStart) {
        self.revision += 1;
        let text = serde_json::to_string(start).expect("text").into();
        self.rows.insert(Arc::from(ERA_ROW), (text, self.revision));
    }

    pub fn commit(&mut self, txn: &Txn) -> Outcome {
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

/// A process on a host; its clock starts at zero when the process starts.
#[derive(Debug)]
pub struct Process {
    pub account: Account,
    started_ms: u64,
    /// Reserved tokens of each request in progress.
    reservations: Vec<u64>,
    /// Era that the table's last answer stated.
    era: u64,
    /// What the process has read of the start of the era.
    era_start: Option<EraStart>,
    first_start: bool,
}

/// Hosts with their processes, the table, and the total of used tokens.
#[derive(Debug)]
pub struct Simulation {
    pub rng: StdRng,
    pub now_ms: u64,
    pub table: Table,
    pub processes: Vec<Process>,
    starts: u64,
    pub prepaid: u64,
    pub used: u64,
    /// Transactions whose answer was lost and that may be committed later.
    pub delayed: Vec<Txn>,
    /// Further lenders that the processes know of.
    more_hosts: u64,
    /// Whether processes take note of the table's era.
    pub notes_eras: bool,
    /// What the witness of all hosts has noted since it started, and when that was.
    notes: Notes,
    witness_started_ms: u64,
    /// Tokens that processes recovered of the ones before.
    pub recovered: u64,
}

impl Simulation {
    pub fn new(seed: u64, hosts: usize, prepaid: u64) -> Self {
        let mut simulation = Self {
            rng: StdRng::seed_from_u64(seed),
            now_ms: 0,
            table: Table::default(),
            processes: Vec::new(),
            starts: 0,
            prepaid,
            used: 0,
            delayed: Vec::new(),
            more_hosts: if seed.is_multiple_of(3) { 20 } else { 0 },
            notes_eras: true,
            notes: Notes::default(),
            witness_started_ms: 0,
            recovered: 0,
        };
        for host in 0..hosts {
            let process = Process { first_start: true, ..simulation.start(host) };
            simulation.processes.push(process);
        }
        simulation
    }

    /// Returns a process that has just started on a host.
    pub fn start(&mut self, host: usize) -> Process {
        self.starts += 1;
        let holder = Arc::from(format!("h{host}-{}", self.starts));
        let mut account = Account::new(WORKSPACE.into(), &format!("h{host}"), holder);
        account.set_prepaid(self.prepaid);
        account.set_witnesses(&Arc::from([Arc::from(WITNESS)]));
        Process {
            account,
            started_ms: self.now_ms,
            reservations: Vec::new(),
            era: self.table.era,
            era_start: None,
            first_start: false,
        }
    }

    fn now(&self, host: usize) -> Duration {
        Duration::from_millis(self.now_ms - self.processes[host].started_ms)
    }

    fn environment(&self, host: usize, is_founding: bool, lost_rows: Loss) -> Environment {
        let process = &self.processes[host];
        let lenders = self.processes.len() as u64 + self.more_hosts;
        let platform_ms = Some(self.now_ms);
        Environment {
            lenders,
            is_lender: true,
            is_lender_reachable: false,
            workspaces: 1,
            writes_per_s: 240,
            platform_ms,
            era: if self.notes_eras { process.era } else { 0 },
            is_founding,
            lost_rows,
        }
    }

    /// Returns whether the fleet is being founded and which rows may be missing, by the row in which
    /// the start of the era is recorded.
    fn era_facts(&mut self, host: usize) -> (bool, Loss) {
        if !self.notes_eras {
            return (true, Loss::None);
        }
        let (era, now_ms) = (self.table.era, self.now_ms);
        let process = &mut self.processes[host];
        if process.era_start.is_none_or(|start| start.era != era) {
            let recorded = self.table.rows.get(ERA_ROW);
            let recorded: Option<EraStart> =
                recorded.map(|(text, _)| serde_json::from_str(text).expect("a start"));
            let knowledge = Knowledge {
                era,
                first_era: process.era_start.map_or(era, |start| start.era),
                is_first_start: process.first_start,
                waited: Duration::MAX,
            };
            let start = recorded
                .filter(|start| start.era >= era)
                .or_else(|| EraStart::begin(recorded, now_ms, &knowledge))
                .expect("decided, as it has waited");
            self.table.write_era_start(&start);
            process.era_start = Some(start);
        }
        let mut start = process.era_start.expect("just read");
        if start.is_completion_due(now_ms) {
            start.is_complete = true;
            self.table.write_era_start(&start);
            process.era_start = Some(start);
        }
        (start.is_founding(now_ms), start.lost_rows(now_ms))
    }

    /// Lets a host read when the era began.
    pub fn note_era(&mut self, host: usize) {
        self.era_facts(host);
    }

    /// Runs the transaction that is due at a host; `reachable` tells whether the table can be
    /// reached.
    pub fn transact(&mut self, host: usize, reachable: bool) {
        let now = self.now(host);
        let (is_founding, lost_rows) =
            if reachable { self.era_facts(host) } else { (false, Loss::None) };
        let environment = self.environment(host, is_founding, lost_rows);
        let process_start_ms = Some(self.processes[host].started_ms);
        // A host that can't read the start of the era plans nothing.
        if !reachable && self.processes[host].era_start.is_none() && self.notes_eras {
            return;
        }
        let is_new_era = self.processes[host].era != self.table.era;
        let txn = match self.processes[host].account.plan(now, environment) {
            None => None,
            Some(Step::Commit(txn)) => Some(txn),
            Some(Step::Read(keys)) => {
                let rows = if reachable { self.table.read(&keys) } else { Outcome::Unavailable };
                self.processes[host].account.finish_read(now, &rows, process_start_ms);
                None
            }
        };
        if let Some(txn) = txn {
            let outcome = if !reachable {
                Outcome::Unavailable
            } else {
                match self.rng.random_range(0..10) {
                    0 => {
                        self.table.commit(&txn);
                        Outcome::Unknown
                    }
                    1 => {
                        self.delayed.push(txn);
                        Outcome::Unknown
                    }
                    _ => self.table.commit(&txn),
                }
            };
            // Conditions of an earlier era prove nothing.
            let outcome = if is_new_era && self.notes_eras { Outcome::Unknown } else { outcome };
            self.processes[host].account.finish_commit(now, outcome, process_start_ms);
        }
        if reachable {
            self.processes[host].era = self.table.era;
        }
    }

    /// Lets a host ask the witness for a note on its allocation, or about the one that it took over.
    fn ask_witness(&mut self, host: usize) {
        let (now, platform_ms) = (self.now(host), self.now_ms);
        let account = &mut self.processes[host].account;
        if let Some(request) = account.extension_due(now) {
            assert_eq!(request.witnesses, [Arc::from(WITNESS)]);
            // The message or its answer may be lost.
            let fate = self.rng.random_range(0..5);
            let is_noted =
                fate > 0 && self.notes.note(MILLISECOND * platform_ms as u32, &request.version);
            if is_noted && fate > 1 {
                account.extend(request.version.number);
            }
        }
        if let Some(claim) = account.take_claim() {
            let started_ms = Some(self.witness_started_ms);
            let noted =
                self.notes.find(&claim.version, started_ms, Some(platform_ms), claim.written_ms);
            if noted == Some(false) {
                account.recover(&claim);
                self.recovered += claim.tokens;
            }
        }
    }

    pub fn request(&mut self, host: usize) {
        let now = self.now(host);
        let tokens = self.rng.random_range(1..3000);
        let process = &mut self.processes[host];
        if process.account.reserve(now, tokens, true) == ReserveResult::Reserved {
            // The whole reservation counts at once: the process may die before it settles.
            self.used += tokens;
            process.reservations.push(tokens);
        }
    }

    fn settle(&mut self, host: usize) {
        let process = &mut self.processes[host];
        let Some(reserved) = process.reservations.pop() else { return };
        let used = self.rng.random_range(0..=reserved);
        process.account.settle(reserved, used, Progress::Unsent);
        self.used -= reserved - used;
    }

    fn lend(&mut self, from: usize, to: usize) {
        let tokens = self.rng.random_range(1..3000);
        let now = self.now(from);
        let lent = self.processes[from].account.lend(now, tokens);
        // The answer may be lost.
        if self.rng.random_range(0..4) > 0 {
            self.processes[to].account.add_borrowed(lent);
        }
    }

    fn give_back(&mut self, from: usize, to: usize) {
        let now = self.now(from);
        let tokens = self.processes[from].account.take_leftover(now);
        // The message may be lost.
        if self.rng.random_range(0..4) > 0 {
            self.processes[to].account.add_borrowed(tokens);
        }
    }

    pub fn step(&mut self) {
        let host = self.rng.random_range(0..self.processes.len());
        let other = self.rng.random_range(0..self.processes.len());
        match self.rng.random_range(0..100) {
            0 if self.rng.random_bool(0.1) => {
                self.notes = Notes::default();
                self.witness_started_ms = self.now_ms;
            }
            0 => self.processes[host] = self.start(host),
            1 if !self.delayed.is_empty() => {
                let index = self.rng.random_range(0..self.delayed.len());
                let txn = self.delayed.swap_remove(index);
                self.table.commit(&txn);
            }
            2..6 if host != other => self.lend(host, other),
            6..8 if host != other => self.give_back(host, other),
            6..40 => self.request(host),
            40..60 => self.settle(host),
            _ => {
                let reachable = self.now_ms / 9_000 % 3 != 2;
                self.transact(host, reachable);
                self.ask_witness(host);
            }
        }
        self.now_ms += self.rng.random_range(0..60);
        self.table.copy(self.now_ms);
    }
}
