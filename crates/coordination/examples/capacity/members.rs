//! Membership of one host as the fleet grows.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use wire::seal::Key;

use crate::{
    fleet::{Fleet, Sent, name},
    report::{Series, memory, print, print_memory},
    transport::{HEADER_BYTES, size},
};

/// Time in which a fleet that starts all at once settles.
const WARM_UP: Duration = Duration::from_secs(90);

/// Time over which bytes are counted.
const WINDOW: Duration = Duration::from_secs(120);

/// Longest time in which a fleet that starts all at once gets to know all hosts.
const CONVERGE_LIMIT: Duration = Duration::from_secs(600);

/// Hosts and zones of each fleet.
const SIZES: [(usize, usize); 4] = [(7, 3), (85, 17), (170, 17), (350, 17)];

/// Restarts within the window of the last measurement; about 5,000 a day.
const RESTARTS: usize = 7;

/// Measures bytes, time and memory of membership against the number of hosts.
pub fn measure() {
    println!("## membership");
    let mut mean = Series::new("bytes sent and received, mean of hosts", "hosts", "B/s");
    let mut busiest = Series::new("bytes sent and received, busiest host", "hosts", "B/s");
    let mut datagrams = Series::new("datagrams sent by a host", "hosts", "1/s");
    let mut time = Series::new("processor time with the test link", "hosts", "ns a host second");
    let mut bytes = Series::new("memory of a host's table", "hosts", "B");
    for (hosts, zones) in SIZES {
        bytes.push(hosts, memory("members", hosts) / hosts as f64);
        let mut fleet = settled(hosts, zones);
        let start = Instant::now();
        fleet.run(WINDOW);
        time.push(hosts, start.elapsed().as_nanos() as f64 / seconds() / hosts as f64);
        fleet.record_sent = true;
        fleet.run(WINDOW);
        let (all, most) = count(&fleet.sent);
        mean.push(hosts, all / hosts as f64 / seconds());
        busiest.push(hosts, most / seconds());
        datagrams.push(hosts, fleet.sent.len() as f64 / hosts as f64 / seconds());
    }
    [mean, busiest, datagrams, time, bytes].iter().for_each(Series::print);
    restarts();
    cold_start();
}

/// Prints the memory of a fleet of this size.
pub fn memory_of(hosts: usize) {
    let size = SIZES.iter().find(|size| size.0 == hosts);
    let zones = size.map_or(1, |size| size.1);
    print_memory(|| settled(hosts, zones));
}

fn settled(hosts: usize, zones: usize) -> Fleet {
    let mut fleet = Fleet::new(hosts, zones);
    fleet.run(WARM_UP);
    fleet
}

fn seconds() -> f64 {
    WINDOW.as_secs_f64()
}

/// Returns the bytes of all hosts and those of the busiest, sent and received together.
fn count(sent: &[Sent]) -> (f64, f64) {
    let key = Key::new("secret");
    let mut bytes: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
    for sent in sent {
        let size = size(&key, &sent.message) + HEADER_BYTES;
        *bytes.entry(&sent.address).or_default() += size;
        *bytes.entry(&sent.to).or_default() += size;
    }
    let all: usize = bytes.values().sum();
    (all as f64, bytes.values().max().copied().unwrap_or(0) as f64)
}

fn restarts() {
    let (hosts, zones) = SIZES[SIZES.len() - 1];
    let mut fleet = settled(hosts, zones);
    fleet.record_sent = true;
    for restart in 0..RESTARTS {
        fleet.run(WINDOW / RESTARTS as u32);
        let number = 2 + restart * 37;
        fleet.start(&name(number), &format!("zone-{:02}", number % zones), 2);
    }
    let (all, most) = count(&fleet.sent);
    print("350 hosts, a restart every 17 s, mean", all / hosts as f64 / seconds(), "B/s");
    print("350 hosts, a restart every 17 s, busiest", most / seconds(), "B/s");
}

/// Measures the first minutes of a fleet that starts all at once.
pub fn cold_start() {
    let (hosts, zones) = SIZES[SIZES.len() - 1];
    let mut fleet = Fleet::new(hosts, zones);
    converge(&mut fleet);
    let mut fleet = Fleet::new(hosts, zones);
    fleet.record_sent = true;
    fleet.run(WINDOW);
    let (all, most) = count(&fleet.sent);
    print("350 hosts, first 2 min of a common start, mean", all / hosts as f64 / seconds(), "B/s");
    print("350 hosts, first 2 min of a common start, busiest", most / seconds(), "B/s");
}

/// Measures the time until each host knows its own zone, and how many of all hosts it then knows.
fn converge(fleet: &mut Fleet) {
    let own = |fleet: &Fleet| {
        fleet.hosts.values().all(|host| {
            let zone = &host.settings.zone;
            let all = fleet.hosts.values().filter(|other| other.settings.zone == *zone).count();
            host.membership.zone(zone).count() == all
        })
    };
    while !own(fleet) && fleet.now < CONVERGE_LIMIT {
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
