//! Membership of the fleet.
//!
//! Each host sends heartbeats to a few neighbours of its zone and to one contact in each other
//! zone. Silence makes a member suspect, which proves nothing; only the platform's host list or a
//! later incarnation makes it gone.

use std::{sync::Arc, time::Duration};

use crate::message::{Heartbeat, Holder, Member, Message, State};

/// Time between two heartbeats to the same neighbour.
pub const PERIOD: Duration = Duration::from_millis(1_000);

/// What a host knows of itself.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Host name.
    pub host: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Address of the own peer port, `ip:port`.
    pub address: Arc<str>,
    /// Incarnation of this process.
    pub incarnation: u64,
    /// Addresses of peers to contact while no member is known.
    pub seeds: Vec<Arc<str>>,
}

/// State of a host on the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Live.
    Live,
    /// Leaving.
    Leaving,
    /// Gone for good.
    Gone,
}

/// A host as the platform lists it.
#[derive(Debug, Clone)]
pub struct Listed {
    /// Host name.
    pub host: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Address of its peer port, where known.
    pub address: Option<Arc<str>>,
    /// State.
    pub standing: Standing,
    /// Incarnation up to which `Gone` holds; `None` for all up to the one known.
    pub incarnation: Option<u64>,
}

/// An input of the table.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time passed; due at least every [`PERIOD`].
    Tick,
    /// A heartbeat came in.
    Heartbeat {
        /// Holder that sent it.
        from: Holder,
        /// Address of the sender's peer port.
        address: Arc<str>,
        /// Heartbeat.
        heartbeat: Heartbeat,
    },
    /// The platform's host list was read.
    HostList(Vec<Listed>),
    /// The configuration revision in force here changed.
    Revision(u64),
    /// This host leaves.
    Leave,
}

/// An output of the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Sends a message.
    Send {
        /// Address of the receiver's peer port.
        to: Arc<str>,
        /// Message.
        message: Message,
    },
    /// The state, incarnation, address or revision of a member changed.
    Changed(Member),
}

/// Members known to one host.
#[derive(Debug)]
pub struct Table {
    settings: Settings,
    members: std::collections::BTreeMap<Arc<str>, Member>,
}

impl Table {
    /// Returns a table that knows only its own host.
    pub fn new(settings: Settings) -> Self {
        Self { settings, members: Default::default() }
    }

    /// Takes an event and pushes the actions that follow from it.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        let _ = (now, event, actions);
    }

    /// Returns a member by host name.
    pub fn get(&self, host: &str) -> Option<&Member> {
        self.members.get(host)
    }

    /// Returns all members by host name, this host among them.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the members of a zone by host name.
    pub fn zone<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a Member> {
        self.members().filter(move |member| &*member.zone == zone)
    }

    /// Returns the members that are heard of, by host name, without this host.
    pub fn reachable(&self) -> impl Iterator<Item = &Member> {
        let own = self.settings.host.clone();
        self.members().filter(move |member| member.state == State::Alive && member.host != own)
    }

    /// Returns up to `count` hosts that can hold copies of this host's journal.
    ///
    /// The first is of another zone where one is reachable; the others are of the own zone first.
    pub fn replicas(&self, count: usize) -> Vec<&Member> {
        self.reachable().take(count).collect()
    }
}

/// Greatest size of the members in one heartbeat, in bytes.
const MAX_PAGE_BYTES: usize = 900;

/// Bytes of a member beside its names.
const MEMBER_BYTES: usize = 48;

/// Returns as many members as fit one heartbeat.
pub fn page<'a>(members: impl IntoIterator<Item = &'a Member>) -> Vec<Member> {
    let mut room = MAX_PAGE_BYTES;
    let fits = members.into_iter().take_while(|member| {
        let size = MEMBER_BYTES + member.host.len() + member.zone.len() + member.address.len();
        let left = room.checked_sub(size);
        room = left.unwrap_or(0);
        left.is_some()
    });
    fits.cloned().collect()
}
