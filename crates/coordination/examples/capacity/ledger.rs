//! Refunds of repeated charges, and claims, which one host does for many.

use std::time::{Duration, Instant};

use coordination::{
    claim::Issuer,
    ledger::{Charge, Segment},
    refund::{Action, Event, Refunder},
    request::Id,
};

use crate::{
    hot::table::Table,
    report::{Series, memory, print_memory},
};

/// Numbers of charges.
const CHARGES: [usize; 3] = [10_000, 100_000, 400_000];

/// Charges of one segment.
const SEGMENT: usize = 256;

/// Numbers of tickets.
const TICKETS: [usize; 3] = [1_000, 10_000, 100_000];

/// Measures the refunder against the number of charges and an issuer against that of its tickets.
pub fn measure() {
    println!("## ledger fold and claims");
    let mut time = Series::new("folding", "charges", "ns");
    let mut bytes = Series::new("memory of the fold", "charges", "B");
    for charges in CHARGES {
        let mut table = ledger(charges);
        let start = Instant::now();
        let refunder = refunder(&mut table);
        time.push(charges, start.elapsed().as_nanos() as f64);
        bytes.push(charges, memory("fold", charges));
        assert!(refunder.tracked_requests() > 0);
    }
    [time, bytes].iter().for_each(Series::print);
    tickets();
}

/// Prints the memory of a refunder that tracks so many charges.
pub fn memory_of_refunder(charges: usize) {
    let mut table = ledger(charges);
    print_memory(|| refunder(&mut table));
}

/// Prints the memory of an issuer of so many tickets.
pub fn memory_of_tickets(tickets: usize) {
    print_memory(|| issue(tickets));
}

fn ledger(charges: usize) -> Table {
    let mut table = Table::default();
    for number in 0..charges / SEGMENT {
        let segment = Segment { charges: (0..SEGMENT).map(|n| charge(number, n)).collect() };
        let value = serde_json::to_string(&segment).expect("a segment is plain data");
        table.put(&format!("ledger/host-{:03}.1/{number:012}", number % 350), value);
    }
    table
}

fn charge(segment: usize, number: usize) -> Charge {
    let id = (segment * SEGMENT + number) as u128;
    Charge {
        budget: format!("budget-{:05}", number % 1_000).into(),
        request: Id(id.to_le_bytes()),
        tokens: 300,
    }
}

fn refunder(table: &mut Table) -> Refunder {
    let mut refunder = Refunder::resume();
    let mut event = Event::Tick;
    loop {
        let mut actions = Vec::new();
        refunder.handle(Duration::from_secs(1), event, &mut actions);
        let Some(Action::Table { id, op }) = actions.pop() else { return refunder };
        event = Event::Table { id, outcome: table.run(&op, None) };
    }
}

fn tickets() {
    let mut time = Series::new("issuing all tickets", "tickets", "ns");
    let mut bytes = Series::new("memory of an issuer", "tickets that stand", "B");
    for tickets in TICKETS {
        let start = Instant::now();
        drop(issue(tickets));
        time.push(tickets, start.elapsed().as_nanos() as f64);
        bytes.push(tickets, memory("tickets", tickets));
    }
    [time, bytes].iter().for_each(Series::print);
}

fn issue(tickets: usize) -> Issuer {
    let mut issuer = Issuer::new("host-001.1");
    for _ in 0..tickets {
        issuer.issue(Duration::from_secs(1));
    }
    issuer
}
