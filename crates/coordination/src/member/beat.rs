//! Heartbeats that are sent, and suspicion of members that stay silent.

use std::{collections::BTreeSet, ops::Bound, sync::Arc, time::Duration};

use super::{
    Action, HEARTBEAT_INTERVAL, HEARTBEATS_PER_INTERVAL, MAX_UNANSWERED, Membership,
    SUCCESSOR_COUNT, SUSPECT_AFTER, fit_in_heartbeat,
};
use crate::message::{Heartbeat, Member, Message, State};

/// Hosts of the own zone, suspects among them, that one round of heartbeats reaches at most.
const MAX_RING: usize = 2 * SUCCESSOR_COUNT;

/// Silence after which a neighbour is suspect that may not know yet that this host follows it.
const UNHEARD_SUSPECT_AFTER: Duration = Duration::from_millis(4 * SUSPECT_AFTER.as_millis() as u64);

/// Time without a tick after which this host was frozen.
const FROZEN_AFTER: Duration = Duration::from_millis(2 * HEARTBEAT_INTERVAL.as_millis() as u64);

impl Membership {
    pub(super) fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let since = self.last_beat.map(|last| now.saturating_sub(last));
        if since.is_some_and(|since| since < HEARTBEAT_INTERVAL) {
            return;
        }
        if since.is_some_and(|since| since > FROZEN_AFTER) {
            self.trust_all(now);
        }
        self.suspect_silent(now, actions);
        self.beat(now, actions);
    }

    /// Sends one round of heartbeats.
    pub(super) fn beat(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.last_beat = Some(now);
        self.number += 1;
        self.choose_contacts();
        let ring = self.ring();
        let contacts =
            self.next_contacts(HEARTBEATS_PER_INTERVAL.saturating_sub(ring.len()).max(1));
        let (entries, told) = self.entries();
        for host in ring.iter().chain(&contacts) {
            self.send(now, host, entries.clone(), actions);
        }
        for host in &contacts {
            *self.unanswered.entry(host.clone()).or_default() += 1;
        }
        if let Some(address) = self.next_address() {
            actions.push(self.heartbeat(address, entries));
        }
        if !ring.is_empty() || !contacts.is_empty() {
            self.news.told(told);
        }
    }

    /// Sends a heartbeat with these entries to a member.
    pub(super) fn send(
        &mut self,
        now: Duration,
        host: &Arc<str>,
        entries: Vec<Member>,
        actions: &mut Vec<Action>,
    ) {
        let Some(member) = self.members.get(host) else { return };
        let address = member.address.clone();
        self.told.insert(host.clone(), now);
        actions.push(self.heartbeat(address, entries));
    }

    /// Sends all entries of the own zone, in as many heartbeats as it takes.
    pub(super) fn send_zone(&mut self, now: Duration, host: &Arc<str>, actions: &mut Vec<Action>) {
        let zone = &self.settings.zone;
        let gone = self.members.values().filter(|member| member.state == State::Gone);
        let gone = gone.filter(|member| member.zone == *zone);
        let others = self.zone(zone).chain(gone).filter(|member| !self.is_own(&member.host));
        let mut rest: Vec<Member> = others.cloned().collect();
        while !rest.is_empty() {
            let entries = self.with_own(rest.iter());
            let count = entries.len().saturating_sub(1);
            rest.drain(..count.max(1));
            self.send(now, host, entries, actions);
        }
    }

    /// Returns the own entry followed by as many others as fit.
    pub(super) fn with_own<'a>(&'a self, others: impl Iterator<Item = &'a Member>) -> Vec<Member> {
        let own = self.members.get(&self.settings.host);
        let others = others.filter(|member| !self.is_own(&member.host));
        fit_in_heartbeat(own.into_iter().chain(others))
    }

    /// Returns the entries of a heartbeat and the number of changes among them.
    fn entries(&self) -> (Vec<Member>, usize) {
        let hosts: Vec<&Arc<str>> = self.news.hosts().collect();
        let changed = hosts.iter().filter_map(|host| self.members.get(*host));
        let entries = self.with_own(changed);
        let told = hosts.iter().take_while(|host| {
            let known = self.members.contains_key(**host);
            !known || entries.iter().any(|entry| entry.host == ***host)
        });
        (entries.clone(), told.count())
    }

    fn heartbeat(&self, to: Arc<str>, members: Vec<Member>) -> Action {
        let revision = self.members.get(&self.settings.host).map_or(0, |own| own.revision);
        let heartbeat = Heartbeat { number: self.number, revision, digest: self.digest, members };
        Action::Send { to, message: Message::Heartbeat(heartbeat) }
    }

    /// Returns the successors up to and including the third that is not suspect.
    fn ring(&self) -> Vec<Arc<str>> {
        let mut trusted = 0;
        let mut ring = Vec::new();
        for host in self.successors().take(MAX_RING) {
            ring.push(host.clone());
            let suspect = self.get(host).is_some_and(|member| member.state == State::Suspect);
            trusted += usize::from(!suspect);
            if trusted == SUCCESSOR_COUNT {
                break;
            }
        }
        ring
    }

    fn next_contacts(&mut self, count: usize) -> Vec<Arc<str>> {
        let count = count.min(self.contacts.len());
        let next = |offset: usize| {
            self.contacts[(self.next_contact + offset) % self.contacts.len()].clone()
        };
        let contacts = (0..count).map(next).collect();
        self.next_contact = self.next_contact.wrapping_add(count);
        contacts
    }

    /// Returns the next address at which nobody was heard yet.
    fn next_address(&mut self) -> Option<Arc<str>> {
        let after = || (Bound::Excluded(&self.next_probe), Bound::Unbounded);
        let following =
            |set: &BTreeSet<Arc<str>>| set.range::<Arc<str>, _>(after()).next().cloned();
        let next = following(&self.seeds).into_iter().chain(following(&self.listed)).min();
        let first = || self.seeds.first().into_iter().chain(self.listed.first()).min().cloned();
        let next = next.or_else(first)?;
        self.next_probe = next.clone();
        Some(next)
    }

    /// Grants every member a fresh period, since this host could hear nobody.
    fn trust_all(&mut self, now: Duration) {
        self.watched.values_mut().for_each(|since| *since = now);
        self.unanswered.clear();
    }

    fn suspect_silent(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let predecessors = self.predecessors();
        self.watched.retain(|host, _| predecessors.contains(host));
        for host in &predecessors {
            let since = *self.watched.entry(host.clone()).or_insert(now);
            let heard = self.heard.get(host).copied().filter(|heard| *heard > since);
            let limit = heard.map_or(UNHEARD_SUSPECT_AFTER, |_| SUSPECT_AFTER);
            if now.saturating_sub(heard.unwrap_or(since)) > limit {
                self.suspect(host, actions);
            }
        }
        let silent = |host: &&Arc<str>| {
            self.unanswered.get(*host).is_some_and(|count| *count >= MAX_UNANSWERED)
        };
        let silent: Vec<Arc<str>> = self.contacts.iter().filter(silent).cloned().collect();
        silent.iter().for_each(|host| self.suspect(host, actions));
    }

    fn suspect(&mut self, host: &Arc<str>, actions: &mut Vec<Action>) {
        let Some(member) = self.members.get(host) else { return };
        if member.state == State::Alive {
            self.apply(Member { state: State::Suspect, ..member.clone() }, actions);
        }
    }
}
