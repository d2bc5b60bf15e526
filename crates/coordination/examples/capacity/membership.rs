//! Cost of one host's membership as the fleet grows.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use wire::seal::Key;

use crate::{
    fleet::{Fleet, Sent, name},
    report::{Series, memory_in_subprocess, print, print_memory},
    transport::{HEADER_BYTES, size},
};

/// Time that a fleet whose hosts start at once is given to converge before a measurement.
const WARM_UP: Duration = Duration::from_secs(90);

/// Duration of a measurement.
const MEASURED_TIME: Duration = Duration::from_secs(120);

/// Time after the start until which convergence is measured.
const CONVERGE_LIMIT: Duration = Duration::from_secs(600);

/// Numbers of hosts and of zones to measure with.
const FLEET_SIZES: [(usize, usize); 4] = [(7, 3), (85, 17), (170, 17), (350, 17)];

/// Number of restarts during [`MEASURED_TIME`], which is about 5,000 a day.
const RESTARTS: usize = 7;

/// Measures bytes, time and memory of membership by number of hosts, then restarts and a cold
/// start of the largest fleet.
pub fn measure() {
    println!("## membership");
    let mut mean = Series::new("bytes sent and received, mean of hosts", "hosts", "B/s");
    let mut busiest = Series::new("bytes sent and received, busiest host", "hosts", "B/s");
    let mut datagrams = Series::new("datagrams sent by a host", "hosts", "1/s");
    let mut time = Series::new("processor time with the test link", "hosts", "ns a host second");
    let mut bytes = Series::new("memory of a host's table", "hosts", "B");
    for (hosts, zones) in FLEET_SIZES {
        bytes.push(hosts, memory_in_subprocess("members", hosts) / hosts as f64);
        let mut fleet = warmed_up_fleet(hosts, zones);
        let start = Instant::now();
        fleet.run(MEASURED_TIME);
        time.push(hosts, start.elapsed().as_nanos() as f64 / measured_seconds() / hosts as f64);
        fleet.record_sent = true;
        fleet.run(MEASURED_TIME);
        let (total, max) = count_bytes(&fleet.sent);
        mean.push(hosts, total / hosts as f64 / measured_seconds());
        busiest.push(hosts, max / measured_seconds());
        datagrams.push(hosts, fleet.sent.len() as f64 / hosts as f64 / measured_seconds());
    }
    [mean, busiest, datagrams, time, bytes].iter().for_each(Series::print);
    measure_restarts();
    cold_start();
}

/// Prints the memory that the membership of all hosts of a fleet uses.
pub fn memory_of(hosts: usize) {
    let size = FLEET_SIZES.iter().find(|size| size.0 == hosts);
    let zones = size.map_or(1, |size| size.1);
    print_memory(|| warmed_up_fleet(hosts, zones));
}

fn warmed_up_fleet(hosts: usize, zones: usize) -> Fleet {
    let mut fleet = Fleet::new(hosts, zones);
    fleet.run(WARM_UP);
    fleet
}

fn measured_seconds() -> f64 {
    MEASURED_TIME.as_secs_f64()
}

/// Returns the bytes that all hosts sent and received, and those of the busiest host.
fn count_bytes(sent: &[Sent]) -> (f64, f64) {
    let key = Key::new("secret");
    let mut bytes: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
    for sent in sent {
        let size = size(&key, &sent.message) + HEADER_BYTES;
        *bytes.entry(&sent.address).or_default() += size;
        *bytes.entry(&sent.to).or_default() += size;
    }
    let total: usize = bytes.values().sum();
    (total as f64, bytes.values().max().copied().unwrap_or(0) as f64)
}

/// Measures the bytes of the largest fleet while hosts restart one after the other.
fn measure_restarts() {
    let (hosts, zones) = FLEET_SIZES[FLEET_SIZES.len() - 1];
    let mut fleet = warmed_up_fleet(hosts, zones);
    fleet.record_sent = true;
    for restart in 0..RESTARTS {
        fleet.run(MEASURED_TIME / RESTARTS as u32);
        let number = 2 + restart * 37;
        fleet.start(&name(number), &format!("zone-{:02}", number % zones), 2);
    }
    let (total, max) = count_bytes(&fleet.sent);
    print(
        "350 hosts, a restart every 17 s, mean",
        total / hosts as f64 / measured_seconds(),
        "B/s",
    );
    print("350 hosts, a restart every 17 s, busiest", max / measured_seconds(), "B/s");
}

/// Measures the convergence, and the bytes of the first two minutes, of a fleet whose hosts start
/// at once.
pub fn cold_start() {
    let (hosts, zones) = FLEET_SIZES[FLEET_SIZES.len() - 1];
    let mut fleet = Fleet::new(hosts, zones);
    measure_convergence(&mut fleet);
    let mut fleet = Fleet::new(hosts, zones);
    fleet.record_sent = true;
    fleet.run(MEASURED_TIME);
    let (total, max) = count_bytes(&fleet.sent);
    print(
        "350 hosts, first 2 min of a common start, mean",
        total / hosts as f64 / measured_seconds(),
        "B/s",
    );
    print("350 hosts, first 2 min of a common start, busiest", max / measured_seconds(), "B/s");
}

/// Measures the time until every host knows all hosts of its zone, and how many hosts of the fleet
/// are known after two minutes and after [`CONVERGE_LIMIT`].
fn measure_convergence(fleet: &mut Fleet) {
    let all_know_own_zone = |fleet: &Fleet| {
        fleet.hosts.values().all(|host| {
            let zone = &host.settings.zone;
            let in_zone = fleet.hosts.values().filter(|other| other.settings.zone == *zone).count();
            host.membership.zone(zone).count() == in_zone
        })
    };
    while !all_know_own_zone(fleet) && fleet.now < CONVERGE_LIMIT {
        fleet.run(Duration::from_secs(1));
    }
    let time = fleet.now.as_secs_f64();
    print("350 hosts started at once, every host knows its zone, after", time, "s");
    for end in [Duration::from_secs(120), CONVERGE_LIMIT] {
        fleet.run(end.saturating_sub(fleet.now));
        let known = fleet.hosts.values().map(|host| host.membership.members().count());
        let mean = known.clone().sum::<usize>() as f64 / fleet.hosts.len() as f64;
        let time = end.as_secs();
        print(&format!("350 hosts started at once, {time} s, hosts known, mean"), mean, "");
        print("the same, fewest", known.min().unwrap_or(0) as f64, "");
    }
}
