//! Merges information about members from other hosts and from the platform.

use std::{sync::Arc, time::Duration};

use super::{
    Action, HEARTBEAT_INTERVAL, HostState, ListedHost, MAX_DIGEST_MISMATCHES, Membership,
    gossip::{OTHER_ZONE_ROUNDS, ROUNDS},
};
use crate::message::{Heartbeat, Member, State};

impl Membership {
    /// Handles a heartbeat of another host.
    pub(super) fn receive(
        &mut self,
        now: Duration,
        from: &str,
        address: &Arc<str>,
        heartbeat: Heartbeat,
        actions: &mut Vec<Action>,
    ) {
        let Some((host, incarnation)) = split_holder(from) else { return };
        let known = self.get(host).map(|member| (member.incarnation, member.state));
        let outdated = known.is_some_and(|(known, state)| {
            incarnation < known || (incarnation == known && state == State::Gone)
        });
        let members = heartbeat.members.iter();
        let Some(own_entry) = members.clone().find(|member| *member.host == *host) else { return };
        if self.is_own(host) || own_entry.incarnation != incarnation {
            self.apply(own_entry.clone(), actions);
            return;
        }
        for member in members.filter(|member| *member.host != *host) {
            self.apply(member.clone(), actions);
        }
        let sender =
            Member { address: address.clone(), revision: heartbeat.revision, ..own_entry.clone() };
        let host = sender.host.clone();
        if outdated {
            return self.correct(now, &host, address, actions);
        }
        let suspect = known == Some((incarnation, State::Suspect));
        let is_new = known.is_none_or(|(known, _)| known < incarnation);
        self.apply(sender.clone(), actions);
        self.record_heartbeat(now, &sender, actions);
        match () {
            () if is_new => self.introduce(now, &sender, actions),
            () if suspect => self.correct(now, &host, address, actions),
            () if self.is_other_zone(&sender) => self.answer(now, &host, actions),
            () => self.compare_digest(now, &host, heartbeat.digest, actions),
        }
    }

    /// Adds the sender of a message that is not a heartbeat, if its incarnation is still unknown.
    ///
    /// Its first heartbeat or gossip about it may not have arrived yet.
    pub(super) fn peer_message(
        &mut self,
        from: &str,
        zone: Arc<str>,
        address: Arc<str>,
        actions: &mut Vec<Action>,
    ) {
        let Some((host, incarnation)) = split_holder(from) else { return };
        if self.is_own(host) || self.get(host).is_some_and(|known| known.incarnation >= incarnation)
        {
            return;
        }
        let state = State::Alive;
        let host = host.into();
        let member = Member { host, zone, address, incarnation, state, revision: 0, refuted: 0 };
        self.apply(member, actions);
    }

    /// Applies an entry of the platform's host list.
    pub(super) fn apply_listed(&mut self, listed: ListedHost, actions: &mut Vec<Action>) {
        if listed.state == HostState::Live {
            let unknown = self.get(&listed.host).is_none();
            self.listed.extend(listed.address.filter(|_| unknown));
            return;
        }
        let Some(member) = self.get(&listed.host).cloned() else {
            return self.apply_listed_unknown(&listed, actions);
        };
        let applies = listed.incarnation.is_none_or(|last| member.incarnation <= last);
        let may_be_gone = listed.incarnation.is_some() || member.state != State::Alive;
        let state = match listed.state {
            HostState::Gone if applies && may_be_gone => State::Gone,
            HostState::Leaving if applies => State::Leaving,
            _ => return,
        };
        if member.state < state {
            self.apply(Member { state, ..member }, actions);
        }
    }

    /// Records which incarnation of an unknown host is gone.
    fn apply_listed_unknown(&mut self, listed: &ListedHost, actions: &mut Vec<Action>) {
        let (HostState::Gone, Some(incarnation)) = (listed.state, listed.incarnation) else {
            return;
        };
        let member = Member {
            host: listed.host.clone(),
            zone: listed.zone.clone(),
            address: listed.address.clone().unwrap_or_else(|| Arc::from("")),
            incarnation,
            state: State::Gone,
            revision: 0,
            refuted: 0,
        };
        self.apply(member, actions);
    }

    /// Applies an entry if it is newer than the stored one.
    pub(super) fn apply(&mut self, entry: Member, actions: &mut Vec<Action>) {
        if self.is_own(&entry.host) {
            return self.apply_own(entry, actions);
        }
        let known = self.get(&entry.host);
        if known.is_some_and(|known| version(&entry) <= version(known)) {
            return;
        }
        self.store_and_gossip(entry, actions);
    }

    /// Applies an entry about this host from another host; refutes a suspicion.
    fn apply_own(&mut self, entry: Member, actions: &mut Vec<Action>) {
        let Some(own) = self.own() else { return };
        let replaced = entry.incarnation > own.incarnation;
        let same = entry.incarnation == own.incarnation;
        if replaced || (same && entry.state == State::Gone) {
            if own.state != State::Gone {
                self.store_and_gossip(Member { state: State::Gone, ..own }, actions);
            }
            return;
        }
        let suspected = entry.state == State::Suspect && entry.refuted >= own.refuted;
        if same && suspected {
            let refuted = entry.refuted.saturating_add(1);
            return self.store_and_gossip(Member { refuted, ..own }, actions);
        }
        if same && entry.state == State::Leaving && own.state < State::Leaving {
            self.store_and_gossip(Member { state: State::Leaving, ..own }, actions);
        }
    }

    /// Stores a changed entry and queues it as gossip, if there is room for it.
    fn store_and_gossip(&mut self, member: Member, actions: &mut Vec<Action>) {
        if !self.store(member.clone()) {
            return;
        }
        self.listed.remove(&member.address);
        self.unanswered.remove(&member.host);
        let rounds = match self.is_other_zone(&member) {
            true => OTHER_ZONE_ROUNDS,
            false => ROUNDS,
        };
        self.gossip.push(member.host.clone(), rounds);
        actions.push(Action::Changed(member));
    }

    /// Records a heartbeat of a member, with its current revision and address.
    fn record_heartbeat(&mut self, now: Duration, sender: &Member, actions: &mut Vec<Action>) {
        self.last_received.insert(sender.host.clone(), now);
        self.unanswered.remove(&sender.host);
        self.seeds.remove(&sender.address);
        let Some(member) = self.members.get_mut(&sender.host) else { return };
        if member.revision == sender.revision && member.address == sender.address {
            return;
        }
        member.revision = sender.revision;
        member.address = sender.address.clone();
        actions.push(Action::Changed(member.clone()));
    }

    /// Sends a newly known host as many entries as fit, those of its zone first.
    fn introduce(&mut self, now: Duration, sender: &Member, actions: &mut Vec<Action>) {
        let same_zone = self.zone(&sender.zone);
        let other_zones = self.members().filter(|member| member.zone != sender.zone);
        let entries = self.with_own(same_zone.chain(other_zones));
        self.send(now, &sender.host, entries, actions);
    }

    /// Sends a host the entry that this host has about it, so that it can refute it.
    fn correct(
        &mut self,
        now: Duration,
        host: &Arc<str>,
        address: &Arc<str>,
        actions: &mut Vec<Action>,
    ) {
        let last = self.last_corrected.get(host);
        if last.is_some_and(|last| now.saturating_sub(*last) < HEARTBEAT_INTERVAL / 2) {
            return;
        }
        self.last_corrected.insert(host.clone(), now);
        let entries = self.with_own(self.get(host).into_iter());
        let current = self.get(host).is_some_and(|member| member.address == *address);
        if current {
            self.send(now, host, entries, actions);
        }
    }

    /// Answers a host of another zone unless it was sent a heartbeat within the last interval.
    fn answer(&mut self, now: Duration, host: &Arc<str>, actions: &mut Vec<Action>) {
        let last = self.last_sent.get(host);
        if last.is_some_and(|last| now.saturating_sub(*last) < HEARTBEAT_INTERVAL) {
            return;
        }
        let entries = self.with_own(std::iter::empty());
        self.send(now, host, entries, actions);
    }

    /// Sends all entries of the zone to a host after [`MAX_DIGEST_MISMATCHES`] consecutive
    /// mismatches.
    fn compare_digest(
        &mut self,
        now: Duration,
        host: &Arc<str>,
        digest: u64,
        actions: &mut Vec<Action>,
    ) {
        if digest == self.digest {
            self.digest_mismatches.remove(host);
            return;
        }
        let mismatches = self.digest_mismatches.entry(host.clone()).or_default();
        *mismatches += 1;
        if *mismatches >= MAX_DIGEST_MISMATCHES {
            *mismatches = 0;
            self.send_zone(now, host, actions);
        }
    }

    fn is_other_zone(&self, member: &Member) -> bool {
        member.zone != self.settings.zone
    }
}

/// Returns the sort key by which the newer of two entries of a host is the greater one.
fn version(member: &Member) -> (u64, bool, u64, State) {
    (member.incarnation, member.state == State::Gone, member.refuted, member.state)
}

/// Splits a holder id into host name and incarnation.
fn split_holder(holder: &str) -> Option<(&str, u64)> {
    let (host, incarnation) = holder.rsplit_once('.')?;
    Some((host, incarnation.parse().ok()?))
}
