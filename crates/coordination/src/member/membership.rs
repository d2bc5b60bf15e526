//! Table of the members that a host knows.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    ops::Bound,
    sync::Arc,
    time::Duration,
};

use super::{
    Action, Event, MAX_CONTACTS, MAX_GONE, MAX_MEMBERS, SUCCESSOR_COUNT, Settings, gossip::Gossip,
};
use crate::message::{Member, State};

/// Table of the members that a host knows.
#[derive(Debug)]
pub struct Membership {
    pub(super) settings: Settings,
    pub(super) members: BTreeMap<Arc<str>, Member>,
    /// Hosts that are not gone, by zone.
    pub(super) zones: BTreeMap<Arc<str>, BTreeSet<Arc<str>>>,
    /// Gone hosts, oldest first.
    pub(super) gone: VecDeque<Arc<str>>,
    /// Seeds from which no heartbeat has arrived yet.
    pub(super) seeds: BTreeSet<Arc<str>>,
    /// Addresses of live hosts in the platform's host list that are not in the table.
    pub(super) listed: BTreeSet<Arc<str>>,
    /// Time of the last heartbeat from each host.
    pub(super) last_received: BTreeMap<Arc<str>, Duration>,
    /// Time of the last heartbeat to each host.
    pub(super) last_sent: BTreeMap<Arc<str>, Duration>,
    /// Time at which each host was last sent the entry about itself for refutation.
    pub(super) last_corrected: BTreeMap<Arc<str>, Duration>,
    /// Number of heartbeats to each contact since its last heartbeat or the last change of its
    /// entry.
    pub(super) unanswered: BTreeMap<Arc<str>, u32>,
    /// Number of consecutive digest mismatches with each host of the zone.
    pub(super) digest_mismatches: BTreeMap<Arc<str>, u32>,
    /// Time since which each predecessor is watched for silence.
    pub(super) watched_since: BTreeMap<Arc<str>, Duration>,
    pub(super) gossip: Gossip,
    /// Hash of the host name, by which different hosts choose different contacts.
    pub(super) contact_seed: u64,
    /// Digest of the entries of the zone of this host, without those that are gone.
    pub(super) digest: u64,
    /// Number of the last heartbeat round.
    pub(super) number: u64,
    /// Time of the last heartbeat round.
    pub(super) last_round: Option<Duration>,
    /// Hosts of other zones that get heartbeats in turn.
    pub(super) contacts: Vec<Arc<str>>,
    /// Whether members have changed since the contacts were chosen.
    pub(super) contacts_stale: bool,
    pub(super) next_contact: usize,
    /// Last seed or listed address to which a heartbeat was sent.
    pub(super) last_probe: Arc<str>,
}

impl Membership {
    /// Returns a table that contains only this host.
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
            last_received: BTreeMap::new(),
            last_sent: BTreeMap::new(),
            last_corrected: BTreeMap::new(),
            unanswered: BTreeMap::new(),
            digest_mismatches: BTreeMap::new(),
            watched_since: BTreeMap::new(),
            gossip: Gossip::default(),
            contact_seed: contact_seed(&settings.host),
            digest: 0,
            number: 0,
            last_round: None,
            contacts: Vec::new(),
            contacts_stale: true,
            next_contact: 0,
            last_probe: Arc::from(""),
            settings,
        };
        table.store(own);
        table
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, actions),
            Event::Heartbeat { from, address, heartbeat } => {
                self.receive(now, &from, &address, heartbeat, actions);
            }
            Event::PeerMessage { from, zone, address } => {
                self.peer_message(&from, zone, address, actions)
            }
            Event::HostList(listed) => {
                self.listed.clear();
                listed.into_iter().for_each(|listed| self.apply_listed(listed, actions));
            }
            Event::Revision(revision) => {
                if let Some(own) = self.members.get_mut(&self.settings.host) {
                    own.revision = revision;
                }
            }
            Event::Leave => {
                let Some(own) = self.own() else { return };
                self.apply(Member { state: State::Leaving.max(own.state), ..own }, actions);
                self.send_round(now, actions);
            }
        }
    }

    /// Returns the member with a host name.
    pub fn get(&self, host: &str) -> Option<&Member> {
        self.members.get(host)
    }

    /// Returns all members, including this host and those that are gone, sorted by host name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the members of a zone that are not gone, sorted by host name.
    pub fn zone<'a>(&'a self, zone: &str) -> impl Iterator<Item = &'a Member> {
        let hosts = self.zones.get(zone).into_iter().flatten();
        hosts.filter_map(|host| self.members.get(host))
    }

    /// Returns the members that are alive, without this host, sorted by host name.
    pub fn reachable(&self) -> impl Iterator<Item = &Member> {
        let own = &self.settings.host;
        self.members().filter(move |member| member.state == State::Alive && member.host != *own)
    }

    /// Returns up to `count` hosts that can hold copies of this host's journal.
    ///
    /// The first is in another zone if a contact there is alive. It is followed by the successors
    /// of this host in its own zone, then by the other contacts.
    pub fn replicas(&self, count: usize) -> Vec<&Member> {
        let alive =
            |host: &Arc<str>| self.members.get(host).filter(|member| member.state == State::Alive);
        let mut contacts = self.contacts.iter().filter_map(alive);
        let first: Vec<&Member> = contacts.by_ref().take(1).collect();
        let successors = self.successors().filter_map(alive);
        first.into_iter().chain(successors).chain(contacts).take(count).collect()
    }

    /// Returns the entry of this host.
    pub(super) fn own(&self) -> Option<Member> {
        self.members.get(&self.settings.host).cloned()
    }

    /// Returns whether a name is that of this host.
    pub(super) fn is_own(&self, host: &str) -> bool {
        *host == *self.settings.host
    }

    /// Returns the other hosts of the zone in ring order, starting after this host.
    pub(super) fn successors(&self) -> impl Iterator<Item = &Arc<str>> {
        let own = &self.settings.host;
        let zone = self.zones.get(&self.settings.zone);
        let (after, before) = around(own);
        let after = zone.into_iter().flat_map(move |zone| zone.range::<Arc<str>, _>(after));
        let before = zone.into_iter().flat_map(move |zone| zone.range::<Arc<str>, _>(before));
        after.chain(before)
    }

    /// Returns the [`SUCCESSOR_COUNT`] hosts that precede this host on the ring of its zone; they
    /// send it heartbeats.
    pub(super) fn predecessors(&self) -> Vec<Arc<str>> {
        let zone = self.zones.get(&self.settings.zone);
        let (after, before) = around(&self.settings.host);
        let before = zone.into_iter().flat_map(move |zone| zone.range::<Arc<str>, _>(before).rev());
        let after = zone.into_iter().flat_map(move |zone| zone.range::<Arc<str>, _>(after).rev());
        before.chain(after).take(SUCCESSOR_COUNT).cloned().collect()
    }

    /// Chooses new contacts if members have changed, an equal share in each other zone.
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
        let start = self.contact_seed as usize % hosts.len().max(1);
        let order = hosts.iter().cycle().skip(start).take(hosts.len());
        let suspect = |host: &&Arc<str>| {
            self.members.get(*host).is_some_and(|member| member.state == State::Suspect)
        };
        let (suspects, others): (Vec<_>, Vec<_>) = order.partition(suspect);
        others.into_iter().chain(suspects).take(share).cloned().collect()
    }

    /// Inserts or replaces an entry; returns whether there was room for it.
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
            self.last_received.remove(&member.host);
            self.last_sent.remove(&member.host);
            self.last_corrected.remove(&member.host);
            self.unanswered.remove(&member.host);
            self.digest_mismatches.remove(&member.host);
        }
        self.members.insert(member.host.clone(), member);
        self.contacts_stale = true;
        if self.gone.len() > MAX_GONE {
            self.forget_oldest_gone();
        }
        true
    }

    /// Adds an entry to its zone and the digest if `present`, otherwise removes it from both.
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

    fn forget_oldest_gone(&mut self) {
        let Some(host) = self.gone.pop_front() else { return };
        let gone = self.members.get(&host).is_some_and(|member| member.state == State::Gone);
        if gone && !self.gone.contains(&host) {
            self.members.remove(&host);
        }
    }
}

type HostRange<'a> = (Bound<&'a Arc<str>>, Bound<&'a Arc<str>>);

/// Returns the ranges of host names after and before a host.
fn around(host: &Arc<str>) -> (HostRange<'_>, HostRange<'_>) {
    ((Bound::Excluded(host), Bound::Unbounded), (Bound::Unbounded, Bound::Excluded(host)))
}

/// Returns the hash of an entry, of which the digest is the XOR.
fn hash(member: &Member) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(member.host.as_bytes());
    hasher.update(&member.incarnation.to_le_bytes());
    hasher.update(&member.refuted.to_le_bytes());
    hasher.update(&[member.state as u8]);
    first_word(&hasher.finalize())
}

/// Returns a hash of a host name, by which contacts are spread evenly over hosts.
fn contact_seed(host: &str) -> u64 {
    first_word(&blake3::hash(host.as_bytes()))
}

fn first_word(hash: &blake3::Hash) -> u64 {
    let mut word = [0; 8];
    word.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(word)
}
