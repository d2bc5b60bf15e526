//! Membership of the fleet, messages between hosts, and the shared configuration.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{Host, Owner, Stage, accounting::host_of, action::Action, catalog::Change};
use crate::{
    claim::{DispatcherEvent, IssuerEvent},
    config, holder, locate,
    member::{self, ListedHost},
    message::{Holder, Member, Message, State},
    order, record, recovery,
    route::{RouterEvent, subset},
    table::{Op, Outcome, Row, Txn, Write},
    timeline::Step,
};

/// Checks whether a row may come into force; returns the reason if it holds no valid record.
pub(super) fn validate(row: &Row) -> Result<(), String> {
    let Some(value) = &row.value else { return Ok(()) };
    record::parse(&row.key, value).map(drop).map_err(|error| error.to_string())
}

/// Key prefix of the rows in which hosts announce their addresses.
const ANNOUNCEMENT_PREFIX: &str = "member/";

/// Time between two reads of the announcements.
const ANNOUNCEMENT_READ_INTERVAL: Duration = Duration::from_secs(10);

/// Greatest number of rows in one read of the announcements.
const ANNOUNCEMENT_READ_LIMIT: u32 = 1_000;

/// Addresses of peer ports that hosts announced in the table.
#[derive(Debug, Default)]
pub(super) struct AnnouncedAddresses {
    by_host: BTreeMap<Arc<str>, Arc<str>>,
    through: u64,
    next_read: Duration,
}

impl AnnouncedAddresses {
    fn apply(&mut self, row: &Row) {
        let Some(host) = row.key.strip_prefix(ANNOUNCEMENT_PREFIX) else { return };
        let value = row.value.as_deref().and_then(|value| serde_json::from_str(value).ok());
        let value: serde_json::Value = value.unwrap_or_default();
        match value["address"].as_str() {
            Some(address) => self.by_host.insert(host.into(), address.into()),
            None => self.by_host.remove(host),
        };
    }
}

impl Host {
    /// Reads the announcements that changed since the last read, if a read is due.
    pub(super) fn read_announcements(&mut self) {
        if self.now < self.announced_addresses.next_read {
            return;
        }
        self.announced_addresses.next_read = self.now + ANNOUNCEMENT_READ_INTERVAL;
        let (prefix, after) = (ANNOUNCEMENT_PREFIX.into(), self.announced_addresses.through);
        self.start_operation(
            Owner::AnnouncementRead,
            Op::Changes { prefix, after, limit: ANNOUNCEMENT_READ_LIMIT },
        );
    }

    pub(super) fn announcements_read(&mut self, outcome: Outcome) {
        let Outcome::Changes { rows, through } = outcome else { return };
        rows.iter().for_each(|row| self.announced_addresses.apply(row));
        self.announced_addresses.through = through;
        if !rows.is_empty() {
            self.hosts_listed(self.listed_hosts.clone());
        }
    }

    /// Handles the platform's host list, and adds the announced addresses to entries that have
    /// none.
    pub(super) fn hosts_listed(&mut self, mut listed: Vec<ListedHost>) {
        self.backends_listed(&listed);
        listed.retain(|entry| self.may_be_member(entry));
        self.listed_hosts.clone_from(&listed);
        let with_address = listed.into_iter().map(|mut entry| {
            let announced = self.announced_addresses.by_host.get(&entry.host).cloned();
            entry.address = entry.address.or(announced);
            entry
        });
        let listed = with_address.collect();
        self.member_event(member::Event::HostList(listed));
    }

    /// Reports the sender of a message to the membership, so that a host that has just started can
    /// be answered.
    pub(super) fn register_sender(
        &mut self,
        from: &Holder,
        zone: Arc<str>,
        address: &Arc<str>,
        message: &Message,
    ) {
        if matches!(message, Message::Heartbeat(_)) {
            return;
        }
        let (from, address) = (from.clone(), address.clone());
        self.member_event(member::Event::PeerMessage { from, zone, address });
    }

    /// Returns whether an entry of the platform's host list may concern a host rather than a
    /// backend server.
    fn may_be_member(&self, entry: &ListedHost) -> bool {
        self.catalog.backend(&entry.host).is_none()
            || entry.address.is_some()
            || entry.incarnation.is_some()
            || self.members.get(&entry.host).is_some()
            || self.announced_addresses.by_host.contains_key(&entry.host)
    }

    pub(super) fn handle_message(&mut self, from: Holder, address: Arc<str>, message: Message) {
        match message {
            Message::Append(_) | Message::Seal { .. } => self.journal_message(address, message),
            Message::Appended { .. }
            | Message::AppendRefused { .. }
            | Message::TransferAsk { .. }
            | Message::Transfer { .. } => {
                self.holder_event(holder::Event::Message { from, message });
            }
            Message::TransferAck { .. } => {
                let event = holder::Event::Message { from: from.clone(), message: message.clone() };
                self.holder_event(event);
                self.recovery_event(recovery::Event::Message { from, message });
            }
            Message::Sealed(_) => self.recovery_event(recovery::Event::Message { from, message }),
            Message::Locate { request, backend } => self.locate(from, address, request, backend),
            Message::Located { request, backend, .. } => {
                self.locator_event(locate::Event::Located { request, backend });
            }
            Message::Claim { .. }
            | Message::ClaimReply { .. }
            | Message::ClaimOutcome { .. }
            | Message::ClaimOutcomeAck { .. } => self.claim_message(from, message),
            Message::Heartbeat(heartbeat) => {
                self.member_event(member::Event::Heartbeat { from, address, heartbeat });
            }
            Message::ConfigAsk { after } => {
                self.follower_event(config::Event::Ask { address, after });
            }
            Message::ConfigRows { rows, after, through, current, deletions_after } => {
                let page = config::Page { rows, after, through, current, deletions_after };
                self.follower_event(config::Event::Rows { address, page });
            }
        }
    }

    pub(super) fn peer_unreachable(&mut self, address: &str) {
        let found = self.members.members().find(|member| *member.address == *address);
        let Some(holder) = found.map(holder_of) else { return };
        self.dispatcher_event(DispatcherEvent::Unreachable(holder));
    }

    pub(super) fn send_to(&mut self, holder: &Holder, message: Message) {
        let host = host_of(holder);
        let Some(member) = self.members.get(&host) else { return };
        if holder_of(member) != *holder {
            return;
        }
        let address = member.address.clone();
        self.pending_actions.push(Action::Send { address, message });
    }

    pub(super) fn send_to_host(&mut self, host: &str, message: Message) {
        if *host == *self.settings.host {
            return self.deliver_to_self(message);
        }
        let Some(member) = self.members.get(host) else { return };
        let address = member.address.clone();
        self.pending_actions.push(Action::Send { address, message });
    }

    /// Handles a message that this host sends to itself.
    pub(super) fn deliver_to_self(&mut self, message: Message) {
        let (from, address) = (self.id.clone(), self.settings.address.clone());
        self.handle_message(from, address, message);
    }

    pub(super) fn member_event(&mut self, event: member::Event) {
        let mut actions = Vec::new();
        self.members.handle(self.now, event, &mut actions);
        let mut changed = false;
        for action in actions {
            match action {
                member::Action::Send { to, message } => {
                    self.pending_actions.push(Action::Datagram { address: to, message });
                }
                member::Action::Changed(member) => {
                    changed = true;
                    self.member_changed(&member);
                }
            }
        }
        if changed {
            self.peers_changed();
        }
    }

    fn member_changed(&mut self, member: &Member) {
        let Member { host, address, incarnation, state, revision, .. } = member;
        if *host == self.settings.host {
            return;
        }
        let event =
            config::Event::NeighbourRevision { address: address.clone(), revision: *revision };
        self.follower_event(event);
        let old = self.peers.iter().find(|peer| peer.host == *host).map(|peer| peer.id.clone());
        let current = holder_of(member);
        if let Some(old) = old
            && (old != current || *state == State::Gone)
        {
            self.holder_gone(&old);
        }
        if *state == State::Gone {
            self.holder_gone(&current);
        }
        let detail = format!("state={state:?} incarnation={incarnation}");
        self.record_step(None, Step::MemberChanged, host.clone(), detail);
    }

    fn holder_gone(&mut self, holder: &Holder) {
        self.issuer_event(IssuerEvent::HolderGone(holder.clone()));
        self.recovery_event(recovery::Event::Gone(holder.clone()));
        self.recovery_event(recovery::Event::Dead(holder.clone()));
    }

    fn peers_changed(&mut self) {
        let own = self.settings.host.clone();
        let others = self.members.members().filter(|member| member.host != own);
        let known = others.filter(|member| member.state != State::Gone);
        self.peers = known.map(peer).collect();
        let before = self.members.reachable().filter(|member| member.host < own).count();
        self.reachable_hosts = self.members.reachable().count();
        self.is_first = before == 0;
        let number = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let (count, index) = (number(self.reachable_hosts + 1), number(before));
        self.router_event(RouterEvent::HostIndex { count, index });
        self.router_event(RouterEvent::Readers { own: own.clone(), hosts: self.serving_hosts() });
        self.router_event(RouterEvent::ChangesApplied);
        let homes =
            self.peers.iter().map(|peer| peer.host.clone()).chain([self.settings.host.clone()]);
        self.locator.set_homes(locate::Homes::new(homes));
        self.holder_event(holder::Event::Peers(self.peers.clone()));
    }

    /// Returns the hosts that take requests.
    fn serving_hosts(&self) -> Vec<subset::EntryHost> {
        let own = subset::EntryHost {
            host: self.settings.host.clone(),
            zone: self.settings.zone.clone(),
        };
        let others = self.members.reachable().filter(|member| member.host != own.host);
        let others = others.map(|member| subset::EntryHost {
            host: member.host.clone(),
            zone: member.zone.clone(),
        });
        others.chain([own.clone()]).collect()
    }

    pub(super) fn follower_event(&mut self, event: config::Event) {
        let mut actions = Vec::new();
        self.follower.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                config::Action::Read(op) => self.start_operation(Owner::Follower, op),
                config::Action::Send { to, message } => {
                    self.pending_actions.push(Action::Send { address: to, message });
                }
                config::Action::Apply(row) => self.apply_row(&row),
                config::Action::Invalid { row, reason } => self.record_invalid(&row.key, &reason),
                config::Action::Advanced(revision) => self.configuration_advanced(revision),
            }
        }
        self.router_event(RouterEvent::ChangesApplied);
    }

    fn record_invalid(&mut self, key: &str, reason: &str) {
        let detail = format!("record={key} reason={reason:?}");
        self.record_step(None, Step::RecordInvalid, "", detail);
    }

    fn configuration_advanced(&mut self, revision: u64) {
        self.record_step(None, Step::Configured, "", format!("revision={revision}"));
        self.member_event(member::Event::Revision(revision));
    }

    /// Applies a configuration row and reports the change to the components that depend on it.
    fn apply_row(&mut self, row: &Row) {
        let change = match self.catalog.apply(row) {
            Ok(change) => change,
            Err(error) => {
                self.record_invalid(&row.key, &error.to_string());
                Change::None
            }
        };
        match change {
            Change::None => {}
            Change::Budget(budget) => self.holder_event(holder::Event::Budget(budget)),
            Change::BudgetDeleted(name) => self.holder_event(holder::Event::BudgetDeleted(name)),
            Change::Route(route) => self.router_event(RouterEvent::Route(route)),
            Change::RouteDeleted(name) => self.router_event(RouterEvent::RouteDeleted(name)),
            Change::Backend(backend) => {
                self.set_order_target(&backend);
                let name = backend.name.clone();
                self.router_event(RouterEvent::Backend(backend));
                if self.catalog.is_unlisted(&name) {
                    self.router_event(RouterEvent::Listed { backend: name, leaving: true });
                }
            }
            Change::BackendDeleted(name) => {
                self.order_event(order::Event::Forget(name.clone()));
                self.router_event(RouterEvent::BackendDeleted(name));
            }
        }
    }

    /// Passes the engines whose reports are to be read to the driver.
    pub(super) fn update_read_set(&mut self) {
        let router = self.admission.router();
        let engines = self.catalog.backends().filter(|b| b.role == record::Role::Engine);
        let engines = engines.filter(|engine| router.reads(&engine.name));
        let backends = engines.map(|b| (b.name.clone(), b.address.clone())).collect();
        self.pending_actions.push(Action::UpdateReadSet { backends });
    }

    /// Writes the address of this host to the table once it serves, unless that is done.
    pub(super) fn write_announcement(&mut self) {
        if self.announced || self.stage != Stage::Serving || !self.follower.ready() {
            return;
        }
        self.announced = true;
        let value = serde_json::json!({
            "address": self.settings.address,
            "holder": self.id,
            "zone": self.settings.zone,
        });
        let key = format!("{ANNOUNCEMENT_PREFIX}{}", self.settings.host).into();
        let write = Write { key, value: Some(value.to_string().into()) };
        let txn = Txn { checks: Vec::new(), writes: vec![write] };
        self.start_operation(Owner::AnnouncementWrite, Op::Commit(txn));
    }
}

fn peer(member: &Member) -> holder::Peer {
    holder::Peer {
        id: holder_of(member),
        host: member.host.clone(),
        zone: member.zone.clone(),
        reachable: member.state == State::Alive,
    }
}

/// Returns the holder name of a member's process.
fn holder_of(member: &Member) -> Holder {
    format!("{}.{}", member.host, member.incarnation).into()
}
