//! Cost of refunding repeated charges and of issuing tickets.
//!
//! One host does this work for many others.

use std::time::{Duration, Instant};

use coordination::{
    claim::Issuer,
    ledger::{Charge, Segment},
    refund::{Action, Event, Refunder},
    request::Id,
};

use crate::{
    report::{Series, memory_in_subprocess, print_memory},
    shared_budget::table::Table,
};

/// Numbers of charges to measure with.
const CHARGE_COUNTS: [usize; 3] = [10_000, 100_000, 400_000];

/// Number of charges in a segment of the ledger.
const CHARGES_PER_SEGMENT: usize = 256;

/// Numbers of tickets to measure with.
const TICKET_COUNTS: [usize; 3] = [1_000, 10_000, 100_000];

/// Measures time and memory of the refunder by number of charges, and of an issuer by number of
/// tickets.
pub fn measure() {
    println!("## ledger fold and claims");
    let mut time = Series::new("folding", "charges", "ns");
    let mut bytes = Series::new("memory of the fold", "charges", "B");
    for charges in CHARGE_COUNTS {
        let mut table = charge_ledger(charges);
        let start = Instant::now();
        let refunder = caught_up_refunder(&mut table);
        time.push(charges, start.elapsed().as_nanos() as f64);
        bytes.push(charges, memory_in_subprocess("fold", charges));
        assert!(refunder.tracked_requests() > 0);
    }
    [time, bytes].iter().for_each(Series::print);
    measure_tickets();
}

/// Prints the memory of a refunder that has read `charges` charges.
pub fn memory_of_refunder(charges: usize) {
    let mut table = charge_ledger(charges);
    print_memory(|| caught_up_refunder(&mut table));
}

/// Prints the memory of an issuer that has issued `tickets` tickets.
pub fn memory_of_tickets(tickets: usize) {
    print_memory(|| issuer_of(tickets));
}

fn charge_ledger(charges: usize) -> Table {
    let mut table = Table::default();
    for number in 0..charges / CHARGES_PER_SEGMENT {
        let segment =
            Segment { charges: (0..CHARGES_PER_SEGMENT).map(|n| charge(number, n)).collect() };
        let value = serde_json::to_string(&segment).expect("a segment is plain data");
        table.put(&format!("ledger/host-{:03}.1/{number:012}", number % 350), value);
    }
    table
}

fn charge(segment: usize, number: usize) -> Charge {
    let id = (segment * CHARGES_PER_SEGMENT + number) as u128;
    Charge {
        budget: format!("budget-{:05}", number % 1_000).into(),
        request: Id(id.to_le_bytes()),
        tokens: 300,
    }
}

/// Returns a refunder that has read the whole ledger.
fn caught_up_refunder(table: &mut Table) -> Refunder {
    let mut refunder = Refunder::resume();
    let mut event = Event::Tick;
    loop {
        let mut actions = Vec::new();
        refunder.handle(Duration::from_secs(1), event, &mut actions);
        let Some(Action::Table { id, op }) = actions.pop() else { return refunder };
        event = Event::Table { id, outcome: table.run(&op, None) };
    }
}

fn measure_tickets() {
    let mut time = Series::new("issuing all tickets", "tickets", "ns");
    let mut bytes = Series::new("memory of an issuer", "tickets that stand", "B");
    for tickets in TICKET_COUNTS {
        let start = Instant::now();
        drop(issuer_of(tickets));
        time.push(tickets, start.elapsed().as_nanos() as f64);
        bytes.push(tickets, memory_in_subprocess("tickets", tickets));
    }
    [time, bytes].iter().for_each(Series::print);
}

fn issuer_of(tickets: usize) -> Issuer {
    let mut issuer = Issuer::new("host-001.1");
    for _ in 0..tickets {
        issuer.issue(Duration::from_secs(1));
    }
    issuer
}
