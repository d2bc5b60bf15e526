//! Cost of one host's configuration as the number of records grows.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use coordination::{
    config::{Action, Event, Follower},
    message::Message,
    record,
    table::{Outcome, Row},
};
use wire::seal::Key;

use crate::{
    report::{Series, memory_in_subprocess, nanos_per_run, print, print_memory},
    transport::size,
};

/// Numbers of records to measure with.
const RECORD_COUNTS: [usize; 3] = [1_000, 10_000, 36_000];

/// Number of measured reads of the change log that return no rows.
const IDLE_READS: usize = 100_000;

fn row(number: usize) -> Row {
    let name = format!("budget-{number:05}");
    let value = format!(
        "{{\"kind\":\"budget\",\"version\":2,\"name\":\"{name}\",\"workspace\":\"w-001\",\
         \"top_ups\":{{\"t1\":100000000}},\"urgent_floor\":1000,\"ledger\":\"new\"}}"
    );
    let key: Arc<str> = Arc::from(format!("config/budget/{name}"));
    Row { key, value: Some(Arc::from(value)), revision: number as u64 + 1 }
}

fn validate(row: &Row) -> Result<(), String> {
    let Some(value) = &row.value else { return Ok(()) };
    record::parse(&row.key, value).map(drop).map_err(|error| error.to_string())
}

/// Measures time and memory of a follower, and the size of a full transfer, by number of records.
pub fn measure() {
    println!("## configuration");
    let mut time = Series::new("first read, validation of each record", "records", "ns");
    let mut bytes = Series::new("memory of the follower", "records", "B");
    let mut sync_bytes = Series::new("whole configuration from a neighbour", "records", "B");
    for count in RECORD_COUNTS {
        let rows: Vec<Row> = (0..count).map(row).collect();
        let start = Instant::now();
        let follower = filled_follower(&rows);
        time.push(count, start.elapsed().as_nanos() as f64);
        bytes.push(count, memory_in_subprocess("config", count));
        sync_bytes.push(count, full_sync_bytes(follower) as f64);
    }
    [time, bytes, sync_bytes].iter().for_each(Series::print);
    measure_idle_reads();
}

/// Prints the memory that a follower of `records` records uses.
pub fn memory_of(records: usize) {
    let rows: Vec<Row> = (0..records).map(row).collect();
    print_memory(|| filled_follower(&rows));
}

fn filled_follower(rows: &[Row]) -> Follower {
    let mut follower = Follower::new(validate);
    let mut actions = Vec::new();
    // Copies the rows as if each response of the platform had been parsed and then dropped, so that
    // the follower shares no strings with them.
    for chunk in rows.chunks(500) {
        let through = chunk.last().map_or(0, |row| row.revision);
        let rows = chunk.iter().map(|row| Row {
            key: Arc::from(&*row.key),
            value: row.value.as_deref().map(Arc::from),
            revision: row.revision,
        });
        let outcome = Outcome::Changes { rows: rows.collect(), through };
        follower.handle(Duration::ZERO, Event::Outcome(outcome), &mut actions);
        actions.clear();
    }
    assert!(follower.ready());
    follower
}

/// Returns the total size of the messages that send the whole configuration to a neighbour without
/// any rows.
fn full_sync_bytes(mut follower: Follower) -> usize {
    let key = Key::new("secret");
    let mut after = 0;
    let mut bytes = 0;
    loop {
        let mut actions = Vec::new();
        let request = Event::Ask { address: "n".into(), after };
        follower.handle(Duration::ZERO, request, &mut actions);
        let Some(Action::Send { message, .. }) = actions.pop() else { return bytes };
        bytes += size(&key, &message);
        if let Message::ConfigRows { through, .. } = message {
            after = through;
        }
    }
}

fn measure_idle_reads() {
    let mut follower = filled_follower(&(0..1_000).map(row).collect::<Vec<_>>());
    let mut actions = Vec::new();
    let time = nanos_per_run(IDLE_READS, |number| {
        let now = Duration::from_secs(3 * (number as u64 + 1));
        follower.handle(now, Event::Tick, &mut actions);
        let through = 1_000 + number as u64;
        let outcome = Outcome::Changes { rows: Vec::new(), through };
        follower.handle(now, Event::Outcome(outcome), &mut actions);
        actions.clear();
    });
    print("read that brings nothing, without the transport", time, "ns");
}
