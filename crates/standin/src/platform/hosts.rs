//! List of hosts that shows changes late.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

/// A host as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Name.
    pub host: String,
    /// Availability zone.
    pub zone: String,
    /// State.
    pub state: State,
    /// Incarnation up to which `gone` is final.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<u64>,
}

/// State of a listed host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It runs.
    Live,
    /// It is about to end.
    Leaving,
    /// It has ended for good.
    Gone,
}

/// Answer to `GET /hosts`.
#[derive(Debug, Serialize)]
pub(super) struct List {
    hosts: Vec<Host>,
}

/// States of each host, oldest first, with the time at which each starts to show.
#[derive(Debug)]
pub(super) struct Hosts {
    lag: Duration,
    states: BTreeMap<String, VecDeque<(Instant, Host)>>,
}

impl Hosts {
    pub(super) fn new(lag: Duration) -> Self {
        Self { lag, states: BTreeMap::new() }
    }

    pub(super) fn set(&mut self, host: Host, now: Instant) {
        let states = self.states.entry(host.host.clone()).or_default();
        states.push_back((now + self.lag, host));
    }

    pub(super) fn list(&mut self, now: Instant) -> List {
        let hosts = self.states.values_mut().filter_map(|states| shown(states, now)).collect();
        List { hosts }
    }
}

fn shown(states: &mut VecDeque<(Instant, Host)>, now: Instant) -> Option<Host> {
    while states.get(1).is_some_and(|(shows, _)| *shows <= now) {
        states.pop_front();
    }
    states.front().filter(|(shows, _)| *shows <= now).map(|(_, host)| host.clone())
}
