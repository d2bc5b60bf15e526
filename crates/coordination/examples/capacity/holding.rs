//! Grants and journal of one host as its budgets and open requests grow.

use std::{sync::Arc, time::Duration};

use coordination::{
    holder::{Action, Event, Holder, Peer, Reserve, Settings},
    journal::Replica,
    message::Message,
    record::{Budget, Ledger},
    request::{Class, Id},
};
use wire::seal::Key;

use crate::{
    hot::table::Table,
    report::{Series, memory, print},
    transport::size,
};

/// Numbers of budgets.
const BUDGETS: [usize; 3] = [10, 1_000, 23_000];

/// Numbers of requests in progress.
const OPEN: [usize; 3] = [0, 1_000, 10_000];

/// Requests that are measured.
const REQUESTS: usize = 20_000;

/// Tokens of a request.
const TOKENS: u64 = 300;

/// A holder, the copies of its journal, and the table.
struct Host {
    holder: Holder,
    replicas: Vec<(Arc<str>, Replica)>,
    table: Table,
    now: Duration,
    key: Key,
    messages: usize,
    bytes: usize,
    count: bool,
    reserved: usize,
}

impl Host {
    fn new(budgets: usize) -> Self {
        let settings = Settings {
            id: "host-001.1".into(),
            host: "host-001".into(),
            zone: "zone-01".into(),
            seed: 1,
        };
        let replicas = ["host-002.1", "host-003.1"];
        let mut host = Self {
            holder: Holder::open(settings),
            replicas: replicas.iter().map(|id| (Arc::from(*id), Replica::default())).collect(),
            table: Table::default(),
            now: Duration::ZERO,
            key: Key::new("secret"),
            messages: 0,
            bytes: 0,
            count: false,
            reserved: 0,
        };
        let peers = replicas.iter().enumerate().map(|(number, id)| Peer {
            id: Arc::from(*id),
            host: Arc::from(id.trim_end_matches(".1")),
            zone: Arc::from(format!("zone-0{}", number + 1)),
            reachable: true,
        });
        host.feed(Event::Peers(peers.collect()));
        for number in 0..budgets {
            host.feed(Event::Budget(budget(number)));
        }
        host.ticks(100);
        host
    }

    fn ticks(&mut self, count: usize) {
        for _ in 0..count {
            self.now += Duration::from_millis(50);
            self.feed(Event::Tick);
        }
    }

    fn feed(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut actions = Vec::new();
            self.holder.handle(self.now, event, &mut actions);
            for action in actions {
                events.extend(self.perform(action));
            }
        }
    }

    fn perform(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Table { id, op } => {
                let outcome = self.table.run(&op, None);
                Some(Event::Table { id, outcome })
            }
            Action::Send { to, message: Message::Append(append) } => {
                if self.count {
                    self.messages += 2;
                    self.bytes += size(&self.key, &Message::Append(append.clone()));
                }
                let replicas = self.replicas.iter_mut();
                let (from, replica) =
                    replicas.into_iter().find(|(id, _)| id.starts_with(&*format!("{to}.")))?;
                let message = replica.append(append);
                if self.count {
                    self.bytes += size(&self.key, &message);
                }
                Some(Event::Message { from: from.clone(), message })
            }
            Action::Reserved { .. } => {
                self.reserved += 1;
                None
            }
            _ => None,
        }
    }

    fn reserve(&mut self, number: usize, budgets: usize) {
        self.feed(Event::Reserve(Reserve {
            request: Id((number as u128).to_le_bytes()),
            budget: Arc::from(format!("budget-{:05}", number % budgets)),
            tokens: TOKENS,
            class: Class::Normal,
            backend: Arc::from("engine-0001"),
        }));
    }

    fn settle(&mut self, number: usize) {
        let request = Id((number as u128).to_le_bytes());
        self.feed(Event::Settle { request, tokens: TOKENS / 2 });
    }

    /// Reserves and settles requests at 49 a second; returns the nanoseconds of one.
    fn serve(&mut self, from: usize, count: usize, budgets: usize) -> f64 {
        let start = std::time::Instant::now();
        for number in from..from + count {
            if number % 5 == 0 {
                self.ticks(2);
            }
            self.reserve(number, budgets);
            self.settle(number);
        }
        start.elapsed().as_nanos() as f64 / count as f64
    }
}

fn budget(number: usize) -> Budget {
    Budget {
        name: Arc::from(format!("budget-{number:05}")),
        workspace: "w-001".into(),
        top_ups: [(Arc::from("t1"), 1_000_000_000_000)].into(),
        urgent_floor: 1_000,
        ledger: Ledger::New,
    }
}

/// Measures one reservation with its settlement, and memory.
pub fn measure() {
    println!("## grants and journal");
    let mut time = Series::new("reservation and settlement, two copies, table", "budgets", "ns");
    let mut bytes = Series::new("memory of a holder", "budgets", "B");
    for budgets in BUDGETS {
        let (used, mut host) = memory(|| Host::new(budgets));
        bytes.push(budgets, used);
        let used_budgets = budgets.min(1_000);
        host.serve(0, REQUESTS, used_budgets);
        time.push(budgets, host.serve(REQUESTS, REQUESTS, used_budgets));
    }
    [time, bytes].iter().for_each(Series::print);
    open_requests();
    traffic();
}

fn open_requests() {
    let mut time = Series::new("reservation and settlement", "requests in progress", "ns");
    let mut bytes = Series::new("memory of holder and copies", "requests in progress", "B");
    for open in OPEN {
        let mut host = Host::new(100);
        host.serve(1_000_000, 5_000, 100);
        let (used, ()) = memory(|| (0..open).for_each(|number| host.reserve(number, 100)));
        bytes.push(open, used);
        time.push(open, host.serve(2_000_000, REQUESTS, 100));
    }
    [time, bytes].iter().for_each(Series::print);
}

fn traffic() {
    let mut host = Host::new(100);
    host.serve(0, 5_000, 100);
    let (commits, reads, reserved) = (host.table.commits, host.table.reads, host.reserved);
    let start = host.now;
    host.count = true;
    host.serve(5_000, REQUESTS, 100);
    let seconds = (host.now - start).as_secs_f64();
    let requests = (host.reserved - reserved) as f64;
    print("requests served", requests / seconds, "1/s");
    print(
        "journal messages, acknowledgements included",
        host.messages as f64 / requests,
        "a request",
    );
    print("journal bytes, acknowledgements included", host.bytes as f64 / requests, "a request");
    print("table commits of the host", (host.table.commits - commits) as f64 / seconds, "1/s");
    print("table reads of the host", (host.table.reads - reads) as f64 / seconds, "1/s");
}
