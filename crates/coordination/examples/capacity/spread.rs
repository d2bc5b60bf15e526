//! Time from the commit of a change until it is in force on all hosts.

use std::time::Duration;

use coordination::config::{Follower, POLL_INTERVAL};

use crate::{
    followers::{Simulation, validate},
    report::print,
};

/// Number of measured changes.
const CHANGE_COUNT: usize = 40;

/// Interval of the checks whether a change is in force, and so the resolution of the measurement.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Measures the time until the slowest host follows, with all hosts reaching the platform and with
/// only one.
pub fn measure() {
    println!(
        "## time to be in force everywhere, simulated link without delay, looked at every 250 ms"
    );
    for hosts in [7, 50] {
        measure_fleet(&format!("{hosts} hosts, platform reachable"), hosts, 0);
        measure_fleet(&format!("{hosts} hosts, one reaches the platform"), hosts, hosts - 1);
    }
}

fn measure_fleet(name: &str, hosts: usize, unreachable: usize) {
    let mut times = propagation_times(hosts, unreachable);
    times.sort();
    print(&format!("{name}, median"), times[times.len() / 2].as_secs_f64(), "s");
    print(&format!("{name}, slowest"), times[times.len() - 1].as_secs_f64(), "s");
}

/// Returns the propagation time of each change; `unreachable` hosts can't reach the platform.
fn propagation_times(hosts: usize, unreachable: usize) -> Vec<Duration> {
    let mut simulation = Simulation::new((0..hosts).map(|_| Follower::new(validate)).collect(), 1);
    simulation.change_log.commit("config/route/a", Some("0"));
    simulation.frozen.extend(0..hosts);
    for host in 0..hosts {
        simulation.frozen.remove(&host);
        simulation.run(POLL_INTERVAL / hosts as u32);
    }
    simulation.platform_unreachable.extend(hosts - unreachable..hosts);
    simulation.run(Duration::from_secs(30));
    (0..CHANGE_COUNT).map(|change| propagation_time(&mut simulation, change)).collect()
}

/// Commits a change and returns the time until all hosts have it. The delay before the commit
/// differs between changes, so that they meet different phases of the hosts' polls.
fn propagation_time(simulation: &mut Simulation<Follower>, change: usize) -> Duration {
    simulation.run(CHECK_INTERVAL * (change % 11) as u32);
    simulation.change_log.commit("config/route/a", Some(&format!("{change} ")));
    let start = simulation.now;
    while !simulation.is_converged() {
        simulation.run(CHECK_INTERVAL);
    }
    simulation.now - start
}
