//! Cost of a reservation and its settlement, with and without a copy of the journal, and of a tick,
//! by the number of budgets.

use std::{sync::Arc, time::Duration};

use coordination::{
    holder::{Action, Event, Holder, Peer, Reserve, Settings},
    journal::Replica,
    message::Message,
    record::{Budget, LedgerFormat, Record},
    request::{self, Class},
};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

#[path = "../tests/money/table.rs"]
#[allow(dead_code, reason = "shared with the tests")]
mod table;

/// Numbers of budgets.
const BUDGET_COUNTS: [usize; 4] = [1, 100, 2_300, 23_000];
const PREPAID: u64 = 1 << 50;
const TICK: Duration = Duration::from_millis(50);

/// A holder with tokens of every budget, its table and the replica of its journal, which stays
/// empty if the journal isn't replicated.
struct Bench {
    holder: Holder,
    table: table::Table,
    replica: Replica,
    now: Duration,
    /// Number of the last request.
    last_request: u64,
    /// Names of the budgets.
    names: Vec<Arc<str>>,
    actions: Vec<Action>,
}

impl Bench {
    fn new(budgets: usize, replicated: bool) -> Self {
        let settings = Settings { id: "a.1".into(), host: "a".into(), zone: "x".into(), seed: 1 };
        let mut bench = Self {
            holder: Holder::new(settings),
            table: table::Table::default(),
            replica: Replica::default(),
            now: Duration::ZERO,
            last_request: 0,
            names: (0..budgets).map(|index| format!("budget-{index}").into()).collect(),
            actions: Vec::new(),
        };
        if replicated {
            let peer =
                Peer { id: "b.1".into(), host: "b".into(), zone: "y".into(), reachable: true };
            bench.handle(Event::Peers(vec![peer]));
        }
        for name in bench.names.clone() {
            let budget = Budget {
                name: name.clone(),
                workspace: "workspace".into(),
                top_ups: [("t".into(), PREPAID)].into(),
                urgent_floor: 1000,
                ledger: LedgerFormat::New,
            };
            let text = coordination::record::render(&Record::Budget(budget.clone()));
            bench.table.put(&format!("config/budget/{name}"), text);
            bench.handle(Event::Budget(budget));
        }
        bench.run_ticks(20);
        for index in 0..budgets {
            let number = bench.reserve(index);
            bench.run_ticks(1);
            bench.handle(Event::Settle { request: id(number), tokens: 900 });
        }
        bench.run_ticks(400);
        bench
    }

    fn handle(&mut self, event: Event) {
        self.holder.handle(self.now, event, &mut self.actions);
        while let Some(action) = self.actions.pop() {
            match action {
                Action::Table { id, op } => {
                    let outcome = self.table.run(&op, None);
                    let event = Event::Table { id, outcome };
                    self.holder.handle(self.now, event, &mut self.actions);
                }
                Action::Send { message: Message::Append(append), .. } => {
                    let message = self.replica.append(append);
                    let event = Event::Message { from: "b.1".into(), message };
                    self.holder.handle(self.now, event, &mut self.actions);
                }
                _ => {}
            }
        }
    }

    fn run_ticks(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.now += TICK;
            self.handle(Event::Tick);
        }
    }

    /// Reserves tokens of the budget with this index, modulo their number; returns the number of
    /// the request.
    fn reserve(&mut self, index: usize) -> u64 {
        self.last_request += 1;
        self.handle(Event::Reserve(Reserve {
            request: id(self.last_request),
            budget: self.names[index % self.names.len()].clone(),
            tokens: 1000,
            class: Class::Urgent,
            backend: "engine".into(),
        }));
        self.last_request
    }

    fn reserve_and_settle(&mut self) {
        // The stride is a prime, so that consecutive requests use different budgets.
        let number = self.reserve(self.last_request as usize * 7919);
        self.handle(Event::Settle { request: id(number), tokens: 900 });
    }
}

fn id(number: u64) -> request::Id {
    let mut id = [0; 16];
    id[..8].copy_from_slice(&number.to_le_bytes());
    request::Id(id)
}

fn reserve_and_settle(criterion: &mut Criterion) {
    for (name, replicated) in [("no copy", false), ("copy in process", true)] {
        let mut group = criterion.benchmark_group(format!("reserve and settle, {name}"));
        for budgets in BUDGET_COUNTS {
            let mut bench = Bench::new(budgets, replicated);
            group.bench_function(BenchmarkId::from_parameter(budgets), |bencher| {
                bencher.iter(|| bench.reserve_and_settle());
            });
        }
        group.finish();
    }
}

fn tick(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("tick of an idle holder");
    for budgets in BUDGET_COUNTS {
        let mut bench = Bench::new(budgets, false);
        group.bench_function(BenchmarkId::from_parameter(budgets), |bencher| {
            bencher.iter(|| bench.run_ticks(1));
        });
    }
    group.finish();
}

criterion_group!(benches, reserve_and_settle, tick);
criterion_main!(benches);
