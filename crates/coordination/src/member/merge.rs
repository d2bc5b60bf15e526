//! What other hosts and the platform say of members.

use std::{sync::Arc, time::Duration};

use super::{
    Action, HEARTBEAT_INTERVAL, HostState, ListedHost, MAX_DIFFERING, Membership,
    news::{ROUNDS, ROUNDS_ABROAD},
};
use crate::message::{Heartbeat, Member, State};

impl Membership {
    /// Takes a heartbeat of another host.
    pub(super) fn receive(
        &mut self,
        now: Duration,
        from: &str,
        address: &Arc<str>,
        heartbeat: Heartbeat,
        actions: &mut Vec<Action>,
    ) {
        let Some((host, incarnation)) = split(from) else { return };
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
            return self.tell(now, &host, address, actions);
        }
        let suspect = known == Some((incarnation, State::Suspect));
        let is_new = known.is_none_or(|(known, _)| known < incarnation);
        self.apply(sender.clone(), actions);
        self.hear(now, &sender, actions);
        match () {
            () if is_new => self.introduce(now, &sender, actions),
            () if suspect => self.tell(now, &host, address, actions),
            () if self.is_abroad(&sender) => self.answer(now, &host, actions),
            () => self.compare(now, &host, heartbeat.digest, actions),
        }
    }

    /// Takes that a process runs which may have started before any heartbeat told of it.
    pub(super) fn contact(
        &mut self,
        from: &str,
        zone: Arc<str>,
        address: Arc<str>,
        actions: &mut Vec<Action>,
    ) {
        let Some((host, incarnation)) = split(from) else { return };
        if self.is_own(host) || self.get(host).is_some_and(|known| known.incarnation >= incarnation)
        {
            return;
        }
        let state = State::Alive;
        let host = host.into();
        let member = Member { host, zone, address, incarnation, state, revision: 0, refuted: 0 };
        self.apply(member, actions);
    }

    /// Takes the platform's view of a host.
    pub(super) fn list(&mut self, listed: ListedHost, actions: &mut Vec<Action>) {
        if listed.state == HostState::Live {
            let unknown = self.get(&listed.host).is_none();
            self.listed.extend(listed.address.filter(|_| unknown));
            return;
        }
        let Some(member) = self.get(&listed.host).cloned() else {
            return self.list_unknown(&listed, actions);
        };
        let covered = listed.incarnation.is_none_or(|covered| member.incarnation <= covered);
        let silent = listed.incarnation.is_some() || member.state != State::Alive;
        let state = match listed.state {
            HostState::Gone if covered && silent => State::Gone,
            HostState::Leaving if covered => State::Leaving,
            _ => return,
        };
        if member.state < state {
            self.apply(Member { state, ..member }, actions);
        }
    }

    /// Remembers which incarnation of an unknown host is gone.
    fn list_unknown(&mut self, listed: &ListedHost, actions: &mut Vec<Action>) {
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

    /// Takes an entry if it is newer than the one that stands.
    pub(super) fn apply(&mut self, entry: Member, actions: &mut Vec<Action>) {
        if self.is_own(&entry.host) {
            return self.apply_own(entry, actions);
        }
        let known = self.get(&entry.host);
        if known.is_some_and(|known| rank(&entry) <= rank(known)) {
            return;
        }
        self.settle(entry, actions);
    }

    /// Takes what others say of this host; refutes a suspicion.
    fn apply_own(&mut self, entry: Member, actions: &mut Vec<Action>) {
        let Some(own) = self.own() else { return };
        let replaced = entry.incarnation > own.incarnation;
        let same = entry.incarnation == own.incarnation;
        if replaced || (same && entry.state == State::Gone) {
            if own.state != State::Gone {
                self.settle(Member { state: State::Gone, ..own }, actions);
            }
            return;
        }
        let suspected = entry.state == State::Suspect && entry.refuted >= own.refuted;
        if same && suspected {
            let refuted = entry.refuted.saturating_add(1);
            return self.settle(Member { refuted, ..own }, actions);
        }
        if same && entry.state == State::Leaving && own.state < State::Leaving {
            self.settle(Member { state: State::Leaving, ..own }, actions);
        }
    }

    fn settle(&mut self, member: Member, actions: &mut Vec<Action>) {
        if !self.store(member.clone()) {
            return;
        }
        self.listed.remove(&member.address);
        self.unanswered.remove(&member.host);
        let rounds = match self.is_abroad(&member) {
            true => ROUNDS_ABROAD,
            false => ROUNDS,
        };
        self.news.push(member.host.clone(), rounds);
        actions.push(Action::Changed(member));
    }

    /// Notes that a member was heard itself.
    fn hear(&mut self, now: Duration, sender: &Member, actions: &mut Vec<Action>) {
        self.heard.insert(sender.host.clone(), now);
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

    /// Tells a host that was not known here about itself and others.
    fn introduce(&mut self, now: Duration, sender: &Member, actions: &mut Vec<Action>) {
        let near = self.zone(&sender.zone);
        let far = self.members().filter(|member| member.zone != sender.zone);
        let entries = self.with_own(near.chain(far));
        self.send(now, &sender.host, entries, actions);
    }

    /// Tells a host what is held of it, so that it can refute it.
    fn tell(
        &mut self,
        now: Duration,
        host: &Arc<str>,
        address: &Arc<str>,
        actions: &mut Vec<Action>,
    ) {
        let told = self.corrected.get(host);
        if told.is_some_and(|told| now.saturating_sub(*told) < HEARTBEAT_INTERVAL / 2) {
            return;
        }
        self.corrected.insert(host.clone(), now);
        let entries = self.with_own(self.get(host).into_iter());
        let current = self.get(host).is_some_and(|member| member.address == *address);
        if current {
            self.send(now, host, entries, actions);
        }
    }

    /// Answers a host of another zone unless it got a heartbeat of late.
    fn answer(&mut self, now: Duration, host: &Arc<str>, actions: &mut Vec<Action>) {
        let told = self.told.get(host);
        if told.is_some_and(|told| now.saturating_sub(*told) < HEARTBEAT_INTERVAL) {
            return;
        }
        let entries = self.with_own(std::iter::empty());
        self.send(now, host, entries, actions);
    }

    /// Sends all entries of the zone to a host whose digest keeps differing.
    fn compare(&mut self, now: Duration, host: &Arc<str>, digest: u64, actions: &mut Vec<Action>) {
        if digest == self.digest {
            self.differing.remove(host);
            return;
        }
        let differing = self.differing.entry(host.clone()).or_default();
        *differing += 1;
        if *differing >= MAX_DIFFERING {
            *differing = 0;
            self.send_zone(now, host, actions);
        }
    }

    fn is_abroad(&self, member: &Member) -> bool {
        member.zone != self.settings.zone
    }
}

/// Returns what decides which of two entries of one host is the newer one.
fn rank(member: &Member) -> (u64, bool, u64, State) {
    (member.incarnation, member.state == State::Gone, member.refuted, member.state)
}

/// Splits the name of a holder into host and incarnation.
fn split(holder: &str) -> Option<(&str, u64)> {
    let (host, incarnation) = holder.rsplit_once('.')?;
    Some((host, incarnation.parse().ok()?))
}
