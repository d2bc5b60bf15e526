//! Cost of a reservation and its settlement without a journal copy, by the number of budgets.

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

const BUDGETS: [usize; 4] = [1, 100, 2_300, 23_000];
const PREPAID: u64 = 1 << 50;
const TICK: Duration = Duration::from_millis(50);

/// A holder that holds tokens of every budget, its table and, where it has one, its replica.
struct Bench {
    holder: Holder,
    table: table::Table,
    replica: Replica,
    now: Duration,
    next: u64,
    names: Vec<Arc<str>>,
    actions: Vec<Action>,
}

impl Bench {
    fn open(budgets: usize, replicated: bool) -> Self {
        let settings = Settings { id: "a.1".into(), host: "a".into(), zone: "x".into(), seed: 1 };
        let mut bench = Self {
            holder: Holder::new(settings),
            table: table::Table::default(),
            replica: Replica::default(),
            now: Duration::ZERO,
            next: 0,
            names: (0..budgets).map(|index| format!("budget-{index}").into()).collect(),
            actions: Vec::new(),
        };
        if replicated {
            let peer =
                Peer { id: "b.1".into(), host: "b".into(), zone: "y".into(), reachable: true };
            bench.event(Event::Peers(vec![peer]));
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
            bench.event(Event::Budget(budget));
        }
        bench.run(20);
        for index in 0..budgets {
            let number = bench.reserve(index);
            bench.run(1);
            bench.event(Event::Settle { request: id(number), tokens: 900 });
        }
        bench.run(400);
        bench
    }

    fn event(&mut self, event: Event) {
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

    fn run(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.now += TICK;
            self.event(Event::Tick);
        }
    }

    fn reserve(&mut self, index: usize) -> u64 {
        self.next += 1;
        self.event(Event::Reserve(Reserve {
            request: id(self.next),
            budget: self.names[index % self.names.len()].clone(),
            tokens: 1000,
            class: Class::Urgent,
            backend: "engine".into(),
        }));
        self.next
    }

    fn reserve_and_settle(&mut self) {
        let number = self.reserve(self.next as usize * 7919);
        self.event(Event::Settle { request: id(number), tokens: 900 });
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
        for budgets in BUDGETS {
            let mut bench = Bench::open(budgets, replicated);
            group.bench_function(BenchmarkId::from_parameter(budgets), |bencher| {
                bencher.iter(|| bench.reserve_and_settle());
            });
        }
        group.finish();
    }
}

fn tick(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("tick of an idle holder");
    for budgets in BUDGETS {
        let mut bench = Bench::open(budgets, false);
        group.bench_function(BenchmarkId::from_parameter(budgets), |bencher| {
            bencher.iter(|| bench.run(1));
        });
    }
    group.finish();
}

criterion_group!(benches, reserve_and_settle, tick);
criterion_main!(benches);
