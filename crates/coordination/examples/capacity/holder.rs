//! Cost of one host's grants and journal as its budgets and requests in progress grow.

use std::{sync::Arc, time::Duration};

use coordination::{
    holder::{Action, Event, Holder, Peer, Reserve, Settings},
    journal::Replica,
    message::Message,
    record::{self, Budget, LedgerFormat, Record},
    request::{Class, Id},
};
use wire::seal::Key;

use crate::{
    report::{Series, memory_in_subprocess, print_memory},
    shared_budget::table::Table,
    transport::size,
};

/// Numbers of budgets to measure with.
const BUDGET_COUNTS: [usize; 3] = [10, 1_000, 23_000];

/// Numbers of requests in progress to measure with.
const OPEN_REQUEST_COUNTS: [usize; 3] = [0, 1_000, 10_000];

/// Number of measured ticks.
const MEASURED_TICKS: usize = 2_000;

/// Number of measured requests.
const MEASURED_REQUESTS: usize = 20_000;

/// Number of the first warm-up request; the measured requests have lower numbers.
const FIRST_WARM_UP_REQUEST: usize = 1 << 40;

/// Maximum number of budgets that requests use.
const MAX_USED_BUDGETS: usize = 1_000;

/// Tokens that a request reserves.
const TOKENS: u64 = 300;

/// Drives a holder, the replicas of its journal and the table with a simulated clock.
struct Harness {
    holder: Holder,
    replicas: Vec<(Arc<str>, Replica)>,
    table: Table,
    now: Duration,
    key: Key,
    /// Journal messages sent and received while `count_traffic` is set.
    messages: usize,
    /// Size of these messages.
    bytes: usize,
    count_traffic: bool,
    reservations: usize,
}

impl Harness {
    fn new(budgets: usize) -> Self {
        Self::with_table(budgets, budget_table(budgets))
    }

    fn with_table(budgets: usize, table: Table) -> Self {
        let settings = Settings {
            id: "host-001.1".into(),
            host: "host-001".into(),
            zone: "zone-01".into(),
            seed: 1,
        };
        let replicas = ["host-002.1", "host-003.1"];
        let mut host = Self {
            holder: Holder::new(settings),
            replicas: replicas.iter().map(|id| (Arc::from(*id), Replica::default())).collect(),
            table,
            now: Duration::ZERO,
            key: Key::new("secret"),
            messages: 0,
            bytes: 0,
            count_traffic: false,
            reservations: 0,
        };
        let peers = replicas.iter().enumerate().map(|(number, id)| Peer {
            id: Arc::from(*id),
            host: Arc::from(id.trim_end_matches(".1")),
            zone: Arc::from(format!("zone-0{}", number + 1)),
            reachable: true,
        });
        host.handle(Event::Peers(peers.collect()));
        for number in 0..budgets {
            host.handle(Event::Budget(budget(number)));
        }
        host.run_ticks(100);
        host
    }

    fn run_ticks(&mut self, count: usize) {
        for _ in 0..count {
            self.now += Duration::from_millis(50);
            self.handle(Event::Tick);
        }
    }

    fn handle(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut actions = Vec::new();
            self.holder.handle(self.now, event, &mut actions);
            for action in actions {
                events.extend(self.execute(action));
            }
        }
    }

    fn execute(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Table { id, op } => {
                let outcome = self.table.run(&op, None);
                Some(Event::Table { id, outcome })
            }
            Action::Send { to, message: Message::Append(append) } => {
                if self.count_traffic {
                    self.messages += 2;
                    self.bytes += size(&self.key, &Message::Append(append.clone()));
                }
                let replicas = self.replicas.iter_mut();
                let (from, replica) =
                    replicas.into_iter().find(|(id, _)| id.starts_with(&*format!("{to}.")))?;
                let message = replica.append(append);
                if self.count_traffic {
                    self.bytes += size(&self.key, &message);
                }
                Some(Event::Message { from: from.clone(), message })
            }
            Action::Reserved { .. } => {
                self.reservations += 1;
                None
            }
            _ => None,
        }
    }

    fn reserve(&mut self, number: usize, budgets: usize) {
        self.handle(Event::Reserve(Reserve {
            request: Id((number as u128).to_le_bytes()),
            budget: Arc::from(format!("budget-{:05}", number % budgets)),
            tokens: TOKENS,
            class: Class::Normal,
            backend: Arc::from("engine-0001"),
        }));
    }

    fn settle(&mut self, number: usize) {
        let request = Id((number as u128).to_le_bytes());
        self.handle(Event::Settle { request, tokens: TOKENS / 2 });
    }

    /// Reserves and settles requests of each budget, so that the holder draws its first grants.
    fn warm_up(&mut self, budgets: usize) {
        for round in 0..4 {
            let first = FIRST_WARM_UP_REQUEST + round * budgets;
            (first..first + budgets).for_each(|number| self.reserve(number, budgets));
            self.run_ticks(20);
            (first..first + budgets).for_each(|number| self.settle(number));
            self.run_ticks(20);
        }
    }

    /// Reserves and settles requests at 50 a second of simulated time; returns the real time of
    /// one, in nanoseconds.
    fn serve(&mut self, from: usize, count: usize, budgets: usize) -> f64 {
        let reservations = self.reservations;
        let start = std::time::Instant::now();
        for number in from..from + count {
            if number % 5 == 0 {
                self.run_ticks(2);
            }
            self.reserve(number, budgets);
            self.settle(number);
        }
        let elapsed = start.elapsed().as_nanos() as f64;
        let served = self.reservations - reservations;
        assert!(served * 100 >= count * 99, "{served} of {count} reserved at once");
        elapsed / count as f64
    }
}

/// Returns a table with the records of the budgets.
fn budget_table(budgets: usize) -> Table {
    let mut table = Table::default();
    for number in 0..budgets {
        let budget = budget(number);
        let text = record::render(&Record::Budget(budget.clone()));
        table.put(&format!("config/budget/{}", budget.name), text);
    }
    table
}

fn budget(number: usize) -> Budget {
    Budget {
        name: Arc::from(format!("budget-{number:05}")),
        workspace: "w-001".into(),
        top_ups: [(Arc::from("t1"), 1_000_000_000_000)].into(),
        urgent_floor: 1_000,
        ledger: LedgerFormat::New,
    }
}

/// Prints the memory that a holder of `budgets` budgets uses.
pub fn memory_of_budgets(budgets: usize) {
    let table = budget_table(budgets);
    print_memory(move || Harness::with_table(budgets, table));
}

/// Prints the memory that `open` requests in progress use, including the replicas of the journal.
pub fn memory_of_open_requests(open: usize) {
    let mut host = Harness::new(100);
    host.warm_up(100);
    print_memory(|| (0..open).for_each(|number| host.reserve(number, 100)));
}

/// Measures the time of a reservation with its settlement and of an idle tick, memory, and the
/// traffic to replicas and table.
pub fn measure() {
    println!("## grants and journal");
    let mut time = Series::new("reservation and settlement, two copies, table", "budgets", "ns");
    let mut tick = Series::new("tick of an idle holder", "budgets", "ns");
    let mut bytes = Series::new("memory of a holder", "budgets", "B");
    for budgets in BUDGET_COUNTS {
        let mut host = Harness::new(budgets);
        bytes.push(budgets, memory_in_subprocess("budgets", budgets));
        let start = std::time::Instant::now();
        host.run_ticks(MEASURED_TICKS);
        tick.push(budgets, start.elapsed().as_nanos() as f64 / MEASURED_TICKS as f64);
        let used_budgets = budgets.min(MAX_USED_BUDGETS);
        host.warm_up(used_budgets);
        time.push(budgets, host.serve(0, MEASURED_REQUESTS, used_budgets));
    }
    [time, tick, bytes].iter().for_each(Series::print);
    measure_open_requests();
    measure_traffic();
}

fn measure_open_requests() {
    let mut time = Series::new("reservation and settlement", "requests in progress", "ns");
    let mut bytes = Series::new("memory of holder and copies", "requests in progress", "B");
    for open in OPEN_REQUEST_COUNTS {
        let mut host = Harness::new(100);
        host.warm_up(100);
        (0..open).for_each(|number| host.reserve(number, 100));
        bytes.push(open, memory_in_subprocess("open", open));
        time.push(open, host.serve(2_000_000, MEASURED_REQUESTS, 100));
    }
    [time, bytes].iter().for_each(Series::print);
}

fn measure_traffic() {
    let mut messages = Series::new("journal messages of a request", "budgets in use", "messages");
    let mut bytes = Series::new("journal bytes of a request", "budgets in use", "B");
    let mut commits =
        Series::new("table commits of a host at 50 requests/s", "budgets in use", "1/s");
    let mut reads = Series::new("table reads of a host at 50 requests/s", "budgets in use", "1/s");
    for budgets in [10, 100, 1_000] {
        let mut host = Harness::new(budgets);
        host.warm_up(budgets);
        let before = (host.table.commits, host.table.reads, host.reservations);
        let start = host.now;
        host.count_traffic = true;
        host.serve(0, MEASURED_REQUESTS, budgets);
        let seconds = (host.now - start).as_secs_f64();
        let requests = (host.reservations - before.2) as f64;
        messages.push(budgets, host.messages as f64 / requests);
        bytes.push(budgets, host.bytes as f64 / requests);
        commits.push(budgets, (host.table.commits - before.0) as f64 / seconds);
        reads.push(budgets, (host.table.reads - before.1) as f64 / seconds);
    }
    [messages, bytes, commits, reads].iter().for_each(Series::print);
}
