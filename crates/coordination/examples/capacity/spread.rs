//! Time from an accepted change to its being in force on all hosts.

use std::time::Duration;

use coordination::config::{Follower, POLL_INTERVAL};

use crate::{
    followers::{Simulation, validate},
    report::print,
};

/// Changes that are measured.
const CHANGES: usize = 40;

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(250);

/// Measures the slowest of all hosts, with the platform and with one host that reaches it.
pub fn measure() {
    println!(
        "## time to be in force everywhere, simulated link without delay, looked at every 250 ms"
    );
    for hosts in [7, 50] {
        report(&format!("{hosts} hosts, platform reachable"), hosts, 0);
        report(&format!("{hosts} hosts, one reaches the platform"), hosts, hosts - 1);
    }
}

fn report(name: &str, hosts: usize, away: usize) {
    let mut times = spread(hosts, away);
    times.sort();
    print(&format!("{name}, median"), times[times.len() / 2].as_secs_f64(), "s");
    print(&format!("{name}, slowest"), times[times.len() - 1].as_secs_f64(), "s");
}

/// Returns the time of each change; `away` hosts can't reach the platform.
fn spread(hosts: usize, away: usize) -> Vec<Duration> {
    let mut net = Simulation::new((0..hosts).map(|_| Follower::new(validate)).collect(), 1);
    net.change_log.commit("config/route/a", Some("0"));
    net.frozen.extend(0..hosts);
    for host in 0..hosts {
        net.frozen.remove(&host);
        net.run(POLL_INTERVAL / hosts as u32);
    }
    net.platform_unreachable.extend(hosts - away..hosts);
    net.run(Duration::from_secs(30));
    (0..CHANGES).map(|change| one(&mut net, change)).collect()
}

fn one(net: &mut Simulation<Follower>, change: usize) -> Duration {
    net.run(LOOK * (change % 11) as u32);
    net.change_log.commit("config/route/a", Some(&format!("{change} ")));
    let start = net.now;
    while !net.is_converged() {
        net.run(LOOK);
    }
    net.now - start
}
