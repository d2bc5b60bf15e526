//! Simpler ways of keeping to a budget, and a bound.

use std::{collections::BTreeSet, time::Duration};

use super::world::{Arrival, BUDGETS, CUT_HOSTS, Case, HOSTS, Score, Truth, WARM_UP, Workload};

/// Walks through a workload; `admit` decides each request and `settle` sees each end.
fn walk(
    case: &Case,
    workload: &Workload,
    mut event: impl FnMut(Moment<'_>, &mut Truth) -> bool,
) -> Score {
    let mut truth = Truth::open(workload);
    let mut ends: BTreeSet<(Duration, usize)> = BTreeSet::new();
    let mut marks: BTreeSet<(Duration, Mark)> = BTreeSet::new();
    marks.insert((WARM_UP, Mark::Cut));
    marks.insert((case.healed(), Mark::Heal));
    if case.top_up {
        marks.insert((case.topped_up(), Mark::TopUp));
    }
    for (at, host) in case.deaths() {
        marks.insert((at, Mark::Death(host)));
    }
    for (index, arrival) in workload.arrivals.iter().enumerate() {
        while let Some(&(at, mark)) = marks.first()
            && at <= arrival.at
        {
            marks.pop_first();
            if mark == Mark::TopUp {
                truth.top_up(workload);
            }
            event(Moment::Mark(mark), &mut truth);
        }
        while let Some(&(at, ended)) = ends.first()
            && at <= arrival.at
        {
            ends.pop_first();
            let ended = &workload.arrivals[ended];
            truth.settled(ended);
            event(Moment::End(ended), &mut truth);
        }
        if event(Moment::Arrival(arrival), &mut truth) {
            truth.dispatched(arrival);
            ends.insert((arrival.at + arrival.lasts, index));
        } else {
            truth.refused(arrival, 0);
        }
    }
    truth.score.requests = workload.arrivals.len() as u64;
    truth.score
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Mark {
    Cut,
    Heal,
    TopUp,
    Death(usize),
}

enum Moment<'a> {
    Arrival(&'a Arrival),
    End(&'a Arrival),
    Mark(Mark),
}

/// Checks every request at the table; the cut-off zone can't, and refuses.
pub fn central(case: &Case, workload: &Workload) -> Score {
    let mut cut = false;
    walk(case, workload, |moment, truth| match moment {
        Moment::Arrival(arrival) => {
            let reachable = !cut || arrival.host >= CUT_HOSTS;
            reachable && truth.unspent(arrival.budget) >= arrival.worst
        }
        Moment::Mark(Mark::Cut) => {
            cut = true;
            true
        }
        Moment::Mark(Mark::Heal) => {
            cut = false;
            true
        }
        _ => true,
    })
}

/// Gives each host the same part of every purchase; what a dead host had is lost.
pub fn split(case: &Case, workload: &Workload) -> Score {
    let hosts = HOSTS.len() as u64;
    let part = |host: usize, later: bool| {
        let _ = host;
        workload.bought.map(|(first, second)| if later { second } else { first } / hosts)
    };
    let mut held: Vec<[u64; BUDGETS.len()]> =
        (0..HOSTS.len()).map(|host| part(host, false)).collect();
    let (mut cut, mut owed) = (false, false);
    walk(case, workload, |moment, _| {
        match moment {
            Moment::Arrival(arrival) => {
                let held = &mut held[arrival.host][arrival.budget];
                if *held < arrival.worst {
                    return false;
                }
                *held -= arrival.worst;
            }
            Moment::End(arrival) => {
                held[arrival.host][arrival.budget] += arrival.worst - arrival.used;
            }
            Moment::Mark(Mark::Cut) => cut = true,
            Moment::Mark(Mark::TopUp) => {
                for (host, held) in held.iter_mut().enumerate() {
                    if cut && host < CUT_HOSTS {
                        owed = true;
                        continue;
                    }
                    add(held, part(host, true));
                }
            }
            Moment::Mark(Mark::Heal) => {
                cut = false;
                if owed {
                    held.iter_mut().take(CUT_HOSTS).for_each(|held| add(held, part(0, true)));
                }
            }
            Moment::Mark(Mark::Death(host)) => held[host] = [0; BUDGETS.len()],
        }
        true
    })
}

fn add(held: &mut [u64; BUDGETS.len()], tokens: [u64; BUDGETS.len()]) {
    for (held, tokens) in held.iter_mut().zip(tokens) {
        *held += tokens;
    }
}

/// Splits what is unspent between the two sides when the cut begins, by their demand until then:
/// what can be done without knowing the future. Each side is one pool; what a dead host of the
/// cut-off zone held can't be taken over there before the heal.
pub fn ideal(case: &Case, workload: &Workload) -> Score {
    let mut used = [[0_u64; BUDGETS.len()]; 2];
    let mut pools: Option<[[u64; BUDGETS.len()]; 2]> = None;
    let side = |arrival: &Arrival| usize::from(arrival.host >= CUT_HOSTS);
    walk(case, workload, |moment, truth| {
        match moment {
            Moment::Arrival(arrival) => {
                used[side(arrival)][arrival.budget] += arrival.used;
                let Some(pools) = &mut pools else {
                    return truth.unspent(arrival.budget) >= arrival.worst;
                };
                let pool = &mut pools[side(arrival)][arrival.budget];
                if *pool < arrival.worst {
                    return false;
                }
                *pool -= arrival.worst;
            }
            Moment::End(arrival) => {
                if let Some(pools) = &mut pools {
                    pools[side(arrival)][arrival.budget] += arrival.worst - arrival.used;
                }
            }
            Moment::Mark(Mark::Cut) => {
                let mut split = [[0; BUDGETS.len()]; 2];
                for budget in 0..BUDGETS.len() {
                    let unspent = truth.unspent(budget);
                    let all = (used[0][budget] + used[1][budget]).max(1);
                    split[0][budget] = unspent * used[0][budget] / all;
                    split[1][budget] = unspent - split[0][budget];
                }
                pools = Some(split);
            }
            Moment::Mark(Mark::TopUp) => {
                if let Some(pools) = &mut pools {
                    add(&mut pools[1], workload.bought.map(|(_, later)| later));
                }
            }
            Moment::Mark(Mark::Heal) => pools = None,
            Moment::Mark(Mark::Death(host)) => {
                let inside = pools.as_mut().filter(|_| host < CUT_HOSTS);
                if let Some([inside, _]) = inside {
                    inside.iter_mut().for_each(|tokens| *tokens -= *tokens / CUT_HOSTS as u64);
                }
            }
        }
        true
    })
}
