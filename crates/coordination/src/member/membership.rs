//! Members known to one host.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    ops::Bound,
    sync::Arc,
    time::Duration,
};

use super::{
    Action, Event, MAX_CONTACTS, MAX_GONE, MAX_MEMBERS, SUCCESSOR_COUNT, Settings, news::News,
};
use crate::message::{Member, State};

/// Members known to one host.
#[derive(Debug)]
pub struct Membership {
    pub(super) settings: Settings,
    pub(super) members: BTreeMap<Arc<str>, Member>,
    /// Hosts that are not gone, by zone.
    pub(super) zones: BTreeMap<Arc<str>, BTreeSet<Arc<str>>>,
    pub(super) gone: VecDeque<Arc<str>>,
    /// Seeds at which nobody was heard yet.
    pub(super) seeds: BTreeSet<Arc<str>>,
    /// Addresses of live hosts on the platform's list that are not known.
    pub(super) listed: BTreeSet<Arc<str>>,
    /// Time of the last heartbeat, by host.
    pub(super) heard: BTreeMap<Arc<str>, Duration>,
    /// Time of the last heartbeat to a host.
    pub(super) told: BTreeMap<Arc<str>, Duration>,
    /// Time at which a host was last told what is held of it.
    pub(super) corrected: BTreeMap<Arc<str>, Duration>,
    pub(super) unanswered: BTreeMap<Arc<str>, u32>,
    pub(super) differing: BTreeMap<Arc<str>, u32>,
    pub(super) watched: BTreeMap<Arc<str>, Duration>,
    pub(super) news: News,
    /// Chooses among the hosts of other zones.
    pub(super) spread: u64,
    pub(super) digest: u64,
    pub(super) number: u64,
    pub(super) last_beat: Option<Duration>,
    pub(super) contacts: Vec<Arc<str>>,
    pub(super) contacts_stale: bool,
    pub(super) next_contact: usize,
    pub(super) next_probe: Arc<str>,
}

impl Membership {
    /// Returns a table that knows only its own host.
    pub fn new(settings: Settings) -> Self {
        let own = Member {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            address: settings.address.clone(),
            incarnation: settings.incarnation,
            state: State::Alive,
            revision: 0,
            refuted: 0,
        };
        let seeds = settings.seeds.iter().filter(|seed| **seed != settings.address);
        let mut table = Self {
            seeds: seeds.cloned().collect(),
            listed: BTreeSet::new(),
            members: BTreeMap::new(),
            zones: BTreeMap::new(),
            gone: VecDeque::new(),
            heard: BTreeMap::new(),
            told: BTreeMap::new(),
            corrected: BTreeMap::new(),
            unanswered: BTreeMap::new(),
            differing: BTreeMap::new(),
            watched: BTreeMap::new(),
            news: News::default(),
            spread: spread(&settings.host),
            digest: 0,
            number: 0,
            last_beat: None,
            contacts: Vec::new(),
            contacts_stale: true,
            next_contact: 0,
            next_probe: Arc::from(""),
            settings,
        };
        table.store(own);
        table
    }

    /// Takes an event and pushes the actions that follow from it.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, actions),
            Event::Heartbeat { from, address, heartbeat } => {
                self.receive(now, &from, &address, heartbeat, actions);
            }
            Event::PeerMessage { from, zone, address } => {
                self.contact(&from, zone, address, actions)
            }
            Event::HostList(listed) => {
                self.listed.clear();
                listed.into_iter().for_each(|listed| self.list(listed, actions));
            }
            Event::Revision(revision) => {
                if let Some(own) = self.members.get_mut(&self.settings.host) {
                    own.revision = revision;
                }
            }
            Event::Leave => {
                let Some(own) = self.own() else { return };
                self.apply(Member { state: State::Leaving.max(own.state), ..own }, actions);
                self.beat(now, actions);
            }
        }
    }

    /// Returns a member by host name.
    pub fn get(&self, host: &str) -> Option<&Member> {
        self.members.get(host)
    }

    /// Returns all members by host name, this host among them.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the members of a zone that are not gone, by host name.
    pub fn zone<'a>(&'a self, zone: &str) -> impl Iterator<Item = &'a Member> {
        let hosts = self.zones.get(zone).into_iter().flatten();
        hosts.filter_map(|host| self.members.get(host))
    }

    /// Returns the members that are heard of, by host name, without this host.
    pub fn reachable(&self) -> impl Iterator<Item = &Member> {
        let own = &self.settings.host;
        self.members().filter(move |member| member.state == State::Alive && member.host != *own)
    }

    /// Returns up to `count` hosts that can hold copies of this host's journal.
    ///
    /// The first is of another zone where one is reachable; the others follow this host in its own
    /// zone, and those of other zones come last.
    pub fn replicas(&self, count: usize) -> Vec<&Member> {
        let alive =
            |host: &Arc<str>| self.members.get(host).filter(|member| member.state == State::Alive);
        let mut abroad = self.contacts.iter().filter_map(alive);
        let first: Vec<&Member> = abroad.by_ref().take(1).collect();
        let near = self.successors().filter_map(alive);
        first.into_iter().chain(near).chain(abroad).take(count).collect()
    }

    /// Returns the own entry.
    pub(super) fn own(&self) -> Option<Member> {
        self.members.get(&self.settings.host).cloned()
    }

    /// Returns whether this is the own host.
    pub(super) fn is_own(&self, host: &str) -> bool {
        *host == *self.settings.host
    }

    /// Returns the hosts of the own zone that follow this one.
    pub(super) fn successors(&self) -> impl Iterator<Item = &Arc<str>> {
        let own = &self.settings.host;
        let zone = self.zones.get(&self.settings.zone);
        let (after, before) = around(own);
        let after = zone.into_iter().flat_map(move |zone| zone.range::<Arc<str>, _>(after));
        let before = zone.into_iter().flat_map(move |zone| zone.range::<Arc<str>, _>(before));
        after.chain(before)
    }

    /// Returns the hosts of the own zone that send their heartbeats here.
    pub(super) fn predecessors(&self) -> Vec<Arc<str>> {
        let zone = self.zones.get(&self.settings.zone);
        let (after, before) = around(&self.settings.host);
        let before = zone.into_iter().flat_map(move |zone| zone.range::<Arc<str>, _>(before).rev());
        let after = zone.into_iter().flat_map(move |zone| zone.range::<Arc<str>, _>(after).rev());
        before.chain(after).take(SUCCESSOR_COUNT).cloned().collect()
    }

    /// Chooses the hosts of other zones that get heartbeats in turn.
    pub(super) fn choose_contacts(&mut self) {
        if !std::mem::take(&mut self.contacts_stale) {
            return;
        }
        let others: Vec<&BTreeSet<Arc<str>>> = self
            .zones
            .iter()
            .filter(|(zone, hosts)| **zone != self.settings.zone && !hosts.is_empty())
            .map(|(_, hosts)| hosts)
            .take(MAX_CONTACTS)
            .collect();
        let share = MAX_CONTACTS / others.len().max(1);
        self.contacts =
            others.into_iter().flat_map(|hosts| self.contacts_in(hosts, share)).collect();
    }

    /// Returns up to `share` hosts of another zone, those that are not suspect first.
    fn contacts_in(&self, hosts: &BTreeSet<Arc<str>>, share: usize) -> Vec<Arc<str>> {
        let start = self.spread as usize % hosts.len().max(1);
        let order = hosts.iter().cycle().skip(start).take(hosts.len());
        let suspect = |host: &&Arc<str>| {
            self.members.get(*host).is_some_and(|member| member.state == State::Suspect)
        };
        let (suspects, others): (Vec<_>, Vec<_>) = order.partition(suspect);
        others.into_iter().chain(suspects).take(share).cloned().collect()
    }

    /// Puts in an entry; returns whether there was room for it.
    pub(super) fn store(&mut self, member: Member) -> bool {
        let old = self.members.get(&member.host).cloned();
        if old.is_none() && self.members.len() >= MAX_MEMBERS {
            return false;
        }
        if let Some(old) = old {
            self.index(&old, false);
        }
        self.index(&member, true);
        if member.state == State::Gone {
            self.gone.push_back(member.host.clone());
            self.heard.remove(&member.host);
            self.told.remove(&member.host);
            self.corrected.remove(&member.host);
            self.unanswered.remove(&member.host);
            self.differing.remove(&member.host);
        }
        self.members.insert(member.host.clone(), member);
        self.contacts_stale = true;
        if self.gone.len() > MAX_GONE {
            self.forget_oldest();
        }
        true
    }

    /// Adds an entry to the zone and the digest, or takes it out.
    fn index(&mut self, member: &Member, present: bool) {
        if member.state == State::Gone {
            return;
        }
        if member.zone == self.settings.zone {
            self.digest ^= hash(member);
        }
        let hosts = self.zones.entry(member.zone.clone()).or_default();
        match present {
            true => hosts.insert(member.host.clone()),
            false => hosts.remove(&member.host),
        };
        if hosts.is_empty() {
            self.zones.remove(&member.zone);
        }
    }

    fn forget_oldest(&mut self) {
        let Some(host) = self.gone.pop_front() else { return };
        let gone = self.members.get(&host).is_some_and(|member| member.state == State::Gone);
        if gone && !self.gone.contains(&host) {
            self.members.remove(&host);
        }
    }
}

type Range<'a> = (Bound<&'a Arc<str>>, Bound<&'a Arc<str>>);

/// Returns the hosts after this one and those before it.
fn around(host: &Arc<str>) -> (Range<'_>, Range<'_>) {
    ((Bound::Excluded(host), Bound::Unbounded), (Bound::Unbounded, Bound::Excluded(host)))
}

/// Returns the part of the digest that stands for an entry.
fn hash(member: &Member) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(member.host.as_bytes());
    hasher.update(&member.incarnation.to_le_bytes());
    hasher.update(&member.refuted.to_le_bytes());
    hasher.update(&[member.state as u8]);
    first_word(&hasher.finalize())
}

/// Returns a number that spreads hosts evenly.
fn spread(host: &str) -> u64 {
    first_word(&blake3::hash(host.as_bytes()))
}

fn first_word(hash: &blake3::Hash) -> u64 {
    let mut word = [0; 8];
    word.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(word)
}
