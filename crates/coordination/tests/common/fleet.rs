//! Simulated membership of many hosts in one process. Hosts can be frozen or disconnected.

#![allow(dead_code)]

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use coordination::{
    member::{Action, Event, HEARTBEAT_INTERVAL, Membership, Settings},
    message::{Holder, Message, State},
};

/// Heartbeat in transit.
#[derive(Debug, Clone)]
pub struct Sent {
    /// Holder that sent it.
    pub from: Holder,
    /// Zone of the sender.
    pub zone: Arc<str>,
    /// Address of the sender.
    pub address: Arc<str>,
    /// Address of the receiver.
    pub to: Arc<str>,
    /// Heartbeat.
    pub message: Message,
}

/// One host of a fleet.
pub struct Host {
    /// Settings.
    pub settings: Settings,
    /// Membership as this host sees it.
    pub membership: Membership,
    /// Handles no events.
    pub frozen: bool,
}

/// Simulated hosts under one virtual clock.
#[derive(Default)]
pub struct Fleet {
    /// Current time.
    pub now: Duration,
    /// Hosts by address.
    pub hosts: BTreeMap<Arc<str>, Host>,
    /// Addresses from and to which heartbeats are lost.
    pub disconnected: BTreeSet<Arc<str>>,
    /// Heartbeats sent, oldest first, while `record_sent` is set.
    pub sent: Vec<Sent>,
    /// Whether sent heartbeats are kept in `sent`.
    pub record_sent: bool,
}

impl Fleet {
    /// Creates a fleet of `hosts` hosts spread over `zones` zones; the first two are the seeds.
    pub fn new(hosts: usize, zones: usize) -> Self {
        let mut fleet = Self::default();
        for number in 0..hosts {
            fleet.start(&name(number), &format!("zone-{:02}", number % zones), 1);
        }
        fleet
    }

    /// Starts a host, in place of its earlier process if there is one.
    pub fn start(&mut self, host: &str, zone: &str, incarnation: u64) {
        let settings = Settings {
            host: host.into(),
            zone: zone.into(),
            address: address(host),
            incarnation,
            seeds: vec![address(&name(0)), address(&name(1))],
        };
        let membership = Membership::new(settings.clone());
        self.hosts.insert(address(host), Host { settings, membership, frozen: false });
    }

    /// Returns the membership as a host sees it.
    pub fn membership(&self, host: &str) -> &Membership {
        &self.hosts[&address(host)].membership
    }

    /// Passes an event to a host and delivers all resulting heartbeats.
    pub fn handle_event(&mut self, host: &str, event: Event) {
        let sent = self.handle(&address(host), event);
        self.deliver(sent);
    }

    /// Runs for `time`.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += HEARTBEAT_INTERVAL / 4;
            let addresses: Vec<Arc<str>> = self.hosts.keys().cloned().collect();
            for address in addresses {
                let sent = self.handle(&address, Event::Tick);
                self.deliver(sent);
            }
        }
    }

    /// Returns the states of `host` as the hosts of a zone that aren't frozen see it.
    pub fn observed_states(&self, zone: &str, host: &str) -> BTreeSet<Option<State>> {
        let running = self.hosts.values().filter(|other| !other.frozen);
        let running = running.filter(|other| &*other.settings.zone == zone);
        let others = running.filter(|other| &*other.settings.host != host);
        others.map(|other| other.membership.get(host).map(|member| member.state)).collect()
    }

    fn handle(&mut self, address: &Arc<str>, event: Event) -> Vec<Sent> {
        let Some(host) = self.hosts.get_mut(address).filter(|host| !host.frozen) else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        host.membership.handle(self.now, event, &mut actions);
        let Settings { host, zone, incarnation, .. } = &host.settings;
        let from: Holder = format!("{host}.{incarnation}").into();
        let sent = actions.into_iter().filter_map(|action| match action {
            Action::Send { to, message } => Some(Sent {
                from: from.clone(),
                zone: zone.clone(),
                address: address.clone(),
                to,
                message,
            }),
            Action::Changed(_) => None,
        });
        sent.collect()
    }

    fn deliver(&mut self, mut sent: Vec<Sent>) {
        while let Some(next) = sent.pop() {
            if self.record_sent {
                self.sent.push(next.clone());
            }
            if self.disconnected.contains(&next.address) || self.disconnected.contains(&next.to) {
                continue;
            }
            let Message::Heartbeat(heartbeat) = next.message else { continue };
            let event = Event::Heartbeat { from: next.from, address: next.address, heartbeat };
            sent.extend(self.handle(&next.to, event));
        }
    }
}

/// Returns the name of the host with this number.
pub fn name(number: usize) -> String {
    format!("host-{number:03}")
}

/// Returns the address of the host with this name.
pub fn address(host: &str) -> Arc<str> {
    let number: usize = host.trim_start_matches("host-").parse().unwrap_or(0);
    Arc::from(format!("10.0.{}.{}:7000", number / 256, number % 256))
}
