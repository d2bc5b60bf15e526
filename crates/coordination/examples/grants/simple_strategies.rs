//! Simpler strategies for enforcing a budget, and a bound on what is possible, to compare grants
//! with.

use std::{collections::BTreeSet, time::Duration};

use super::workload::{
    Arrival, BUDGETS, Case, GlobalState, HOSTS, ISOLATED_HOSTS, Stats, WARM_UP, Workload,
};

/// Replays a workload; `handle` gets every event in order, and its result for an arrival decides
/// whether the request is admitted.
fn replay(
    case: &Case,
    workload: &Workload,
    mut handle: impl FnMut(Event<'_>, &mut GlobalState) -> bool,
) -> Stats {
    let mut state = GlobalState::new(workload);
    let mut ends: BTreeSet<(Duration, usize)> = BTreeSet::new();
    let mut changes: BTreeSet<(Duration, Change)> = BTreeSet::new();
    changes.insert((WARM_UP, Change::Partition));
    changes.insert((case.healed_at(), Change::Heal));
    if case.top_up {
        changes.insert((case.topped_up_at(), Change::TopUp));
    }
    for (at, host) in case.crashes() {
        changes.insert((at, Change::Crash(host)));
    }
    for (index, arrival) in workload.arrivals.iter().enumerate() {
        while let Some(&(at, change)) = changes.first()
            && at <= arrival.at
        {
            changes.pop_first();
            if change == Change::TopUp {
                state.top_up(workload);
            }
            handle(Event::Change(change), &mut state);
        }
        while let Some(&(at, ended)) = ends.first()
            && at <= arrival.at
        {
            ends.pop_first();
            let ended = &workload.arrivals[ended];
            state.settled(ended);
            handle(Event::End(ended), &mut state);
        }
        if handle(Event::Arrival(arrival), &mut state) {
            state.dispatched(arrival);
            ends.insert((arrival.at + arrival.duration, index));
        } else {
            state.refused(arrival, 0);
        }
    }
    state.stats.requests = workload.arrivals.len() as u64;
    state.stats
}

/// Scheduled change of the network, the budgets or the hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Change {
    Partition,
    Heal,
    TopUp,
    Crash(usize),
}

/// Event of a replayed workload.
enum Event<'a> {
    Arrival(&'a Arrival),
    End(&'a Arrival),
    Change(Change),
}

/// Checks every request at the table; hosts of the isolated zone can't reach it and refuse.
pub fn check_at_table(case: &Case, workload: &Workload) -> Stats {
    let mut is_partitioned = false;
    replay(case, workload, |event, state| match event {
        Event::Arrival(arrival) => {
            let reachable = !is_partitioned || arrival.host >= ISOLATED_HOSTS;
            reachable && state.unspent(arrival.budget) >= arrival.max_charge
        }
        Event::Change(Change::Partition) => {
            is_partitioned = true;
            true
        }
        Event::Change(Change::Heal) => {
            is_partitioned = false;
            true
        }
        _ => true,
    })
}

/// Gives each host the same share of every purchase; the tokens of a crashed host are lost. Hosts
/// of the isolated zone get their share of a top-up when the partition heals.
pub fn split_evenly(case: &Case, workload: &Workload) -> Stats {
    let hosts = HOSTS.len() as u64;
    let share = |host: usize, later: bool| {
        let _ = host;
        workload.bought.map(|(first, second)| if later { second } else { first } / hosts)
    };
    let mut available: Vec<[u64; BUDGETS.len()]> =
        (0..HOSTS.len()).map(|host| share(host, false)).collect();
    let (mut is_partitioned, mut is_top_up_owed) = (false, false);
    replay(case, workload, |event, _| {
        match event {
            Event::Arrival(arrival) => {
                let available = &mut available[arrival.host][arrival.budget];
                if *available < arrival.max_charge {
                    return false;
                }
                *available -= arrival.max_charge;
            }
            Event::End(arrival) => {
                available[arrival.host][arrival.budget] += arrival.max_charge - arrival.used;
            }
            Event::Change(Change::Partition) => is_partitioned = true,
            Event::Change(Change::TopUp) => {
                for (host, available) in available.iter_mut().enumerate() {
                    if is_partitioned && host < ISOLATED_HOSTS {
                        is_top_up_owed = true;
                        continue;
                    }
                    add(available, share(host, true));
                }
            }
            Event::Change(Change::Heal) => {
                is_partitioned = false;
                if is_top_up_owed {
                    available
                        .iter_mut()
                        .take(ISOLATED_HOSTS)
                        .for_each(|available| add(available, share(0, true)));
                }
            }
            Event::Change(Change::Crash(host)) => available[host] = [0; BUDGETS.len()],
        }
        true
    })
}

fn add(available: &mut [u64; BUDGETS.len()], tokens: [u64; BUDGETS.len()]) {
    for (available, tokens) in available.iter_mut().zip(tokens) {
        *available += tokens;
    }
}

/// Splits the unspent tokens between the two sides of the partition when it begins, in proportion
/// to their demand until then, which is a bound on what can be done without knowing the future.
/// Each side is one pool; the share of a crashed host of the isolated zone can't be taken over
/// there before the partition heals.
pub fn split_by_past_demand(case: &Case, workload: &Workload) -> Stats {
    let mut used = [[0_u64; BUDGETS.len()]; 2];
    let mut pools: Option<[[u64; BUDGETS.len()]; 2]> = None;
    let side = |arrival: &Arrival| usize::from(arrival.host >= ISOLATED_HOSTS);
    replay(case, workload, |event, state| {
        match event {
            Event::Arrival(arrival) => {
                used[side(arrival)][arrival.budget] += arrival.used;
                let Some(pools) = &mut pools else {
                    return state.unspent(arrival.budget) >= arrival.max_charge;
                };
                let pool = &mut pools[side(arrival)][arrival.budget];
                if *pool < arrival.max_charge {
                    return false;
                }
                *pool -= arrival.max_charge;
            }
            Event::End(arrival) => {
                if let Some(pools) = &mut pools {
                    pools[side(arrival)][arrival.budget] += arrival.max_charge - arrival.used;
                }
            }
            Event::Change(Change::Partition) => {
                let mut split = [[0; BUDGETS.len()]; 2];
                for budget in 0..BUDGETS.len() {
                    let unspent = state.unspent(budget);
                    let all = (used[0][budget] + used[1][budget]).max(1);
                    split[0][budget] = unspent * used[0][budget] / all;
                    split[1][budget] = unspent - split[0][budget];
                }
                pools = Some(split);
            }
            Event::Change(Change::TopUp) => {
                if let Some(pools) = &mut pools {
                    add(&mut pools[1], workload.bought.map(|(_, later)| later));
                }
            }
            Event::Change(Change::Heal) => pools = None,
            Event::Change(Change::Crash(host)) => {
                let isolated = pools.as_mut().filter(|_| host < ISOLATED_HOSTS);
                if let Some([isolated_pool, _]) = isolated {
                    isolated_pool
                        .iter_mut()
                        .for_each(|tokens| *tokens -= *tokens / ISOLATED_HOSTS as u64);
                }
            }
        }
        true
    })
}
