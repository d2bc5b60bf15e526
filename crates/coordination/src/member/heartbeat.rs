//! Sends heartbeats and suspects silent members.

use std::{collections::BTreeSet, ops::Bound, sync::Arc, time::Duration};

use super::{
    Action, HEARTBEAT_INTERVAL, HEARTBEATS_PER_INTERVAL, MAX_UNANSWERED, Membership,
    SUCCESSOR_COUNT, SUSPECT_AFTER, fit_in_heartbeat,
};
use crate::message::{Heartbeat, Member, Message, State};

/// Maximum number of successors, including suspects, that get a heartbeat in one round.
const MAX_SUCCESSOR_TARGETS: usize = 2 * SUCCESSOR_COUNT;

/// Time after which a predecessor that has sent no heartbeat since this host began to watch it is
/// suspect. Longer than [`SUSPECT_AFTER`], since it may not know yet that this host is one of its
/// successors.
const UNHEARD_SUSPECT_AFTER: Duration = Duration::from_millis(4 * SUSPECT_AFTER.as_millis() as u64);

/// Time between two rounds of heartbeats above which this host counts as having been frozen.
const FROZEN_AFTER: Duration = Duration::from_millis(2 * HEARTBEAT_INTERVAL.as_millis() as u64);

impl Membership {
    pub(super) fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let elapsed = self.last_round.map(|last| now.saturating_sub(last));
        if elapsed.is_some_and(|elapsed| elapsed < HEARTBEAT_INTERVAL) {
            return;
        }
        if elapsed.is_some_and(|elapsed| elapsed > FROZEN_AFTER) {
            self.reset_timeouts(now);
        }
        self.suspect_silent(now, actions);
        self.send_round(now, actions);
    }

    /// Sends one round of heartbeats: to successors, contacts and one address to probe.
    pub(super) fn send_round(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.last_round = Some(now);
        self.number += 1;
        self.choose_contacts();
        let successors = self.successor_targets();
        let contacts =
            self.next_contacts(HEARTBEATS_PER_INTERVAL.saturating_sub(successors.len()).max(1));
        let (entries, gossip_count) = self.round_entries();
        for host in successors.iter().chain(&contacts) {
            self.send(now, host, entries.clone(), actions);
        }
        for host in &contacts {
            *self.unanswered.entry(host.clone()).or_default() += 1;
        }
        if let Some(address) = self.next_probe() {
            actions.push(self.heartbeat(address, entries));
        }
        if !successors.is_empty() || !contacts.is_empty() {
            self.gossip.count_round(gossip_count);
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
        self.last_sent.insert(host.clone(), now);
        actions.push(self.heartbeat(address, entries));
    }

    /// Sends all entries of the zone of this host, split into as many heartbeats as needed.
    pub(super) fn send_zone(&mut self, now: Duration, host: &Arc<str>, actions: &mut Vec<Action>) {
        let zone = &self.settings.zone;
        let gone = self.members.values().filter(|member| member.state == State::Gone);
        let gone = gone.filter(|member| member.zone == *zone);
        let others = self.zone(zone).chain(gone).filter(|member| !self.is_own(&member.host));
        let mut remaining: Vec<Member> = others.cloned().collect();
        while !remaining.is_empty() {
            let entries = self.with_own(remaining.iter());
            let count = entries.len().saturating_sub(1);
            remaining.drain(..count.max(1));
            self.send(now, host, entries, actions);
        }
    }

    /// Returns the entry of this host followed by as many others as fit in one heartbeat.
    pub(super) fn with_own<'a>(&'a self, others: impl Iterator<Item = &'a Member>) -> Vec<Member> {
        let own = self.members.get(&self.settings.host);
        let others = others.filter(|member| !self.is_own(&member.host));
        fit_in_heartbeat(own.into_iter().chain(others))
    }

    /// Returns the entries for a round of heartbeats and how many queued gossip items they cover.
    fn round_entries(&self) -> (Vec<Member>, usize) {
        let hosts: Vec<&Arc<str>> = self.gossip.hosts().collect();
        let changed = hosts.iter().filter_map(|host| self.members.get(*host));
        let entries = self.with_own(changed);
        let covered = hosts.iter().take_while(|host| {
            let known = self.members.contains_key(**host);
            !known || entries.iter().any(|entry| entry.host == ***host)
        });
        (entries.clone(), covered.count())
    }

    fn heartbeat(&self, to: Arc<str>, members: Vec<Member>) -> Action {
        let revision = self.members.get(&self.settings.host).map_or(0, |own| own.revision);
        let heartbeat = Heartbeat { number: self.number, revision, digest: self.digest, members };
        Action::Send { to, message: Message::Heartbeat(heartbeat) }
    }

    /// Returns the successors up to and including the [`SUCCESSOR_COUNT`]th that is not suspect.
    fn successor_targets(&self) -> Vec<Arc<str>> {
        let mut unsuspected = 0;
        let mut targets = Vec::new();
        for host in self.successors().take(MAX_SUCCESSOR_TARGETS) {
            targets.push(host.clone());
            let suspect = self.get(host).is_some_and(|member| member.state == State::Suspect);
            unsuspected += usize::from(!suspect);
            if unsuspected == SUCCESSOR_COUNT {
                break;
            }
        }
        targets
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

    /// Returns the next seed or listed address from which no heartbeat has arrived yet, in
    /// rotation.
    fn next_probe(&mut self) -> Option<Arc<str>> {
        let after = || (Bound::Excluded(&self.last_probe), Bound::Unbounded);
        let following =
            |set: &BTreeSet<Arc<str>>| set.range::<Arc<str>, _>(after()).next().cloned();
        let next = following(&self.seeds).into_iter().chain(following(&self.listed)).min();
        let first = || self.seeds.first().into_iter().chain(self.listed.first()).min().cloned();
        let next = next.or_else(first)?;
        self.last_probe = next.clone();
        Some(next)
    }

    /// Restarts all silence timeouts, since this host could not receive heartbeats while frozen.
    fn reset_timeouts(&mut self, now: Duration) {
        self.watched_since.values_mut().for_each(|since| *since = now);
        self.unanswered.clear();
    }

    fn suspect_silent(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let predecessors = self.predecessors();
        self.watched_since.retain(|host, _| predecessors.contains(host));
        for host in &predecessors {
            let since = *self.watched_since.entry(host.clone()).or_insert(now);
            let received = self.last_received.get(host).copied().filter(|at| *at > since);
            let limit = received.map_or(UNHEARD_SUSPECT_AFTER, |_| SUSPECT_AFTER);
            if now.saturating_sub(received.unwrap_or(since)) > limit {
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
