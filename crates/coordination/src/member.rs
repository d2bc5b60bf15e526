//! Membership of the fleet.
//!
//! Each host sends heartbeats to the [`SUCCESSOR_COUNT`] hosts that follow it in the order of its zone,
//! and to a few contacts in other zones, which answer them. A heartbeat carries the sender's own
//! entry, a digest of its zone and news of members that changed; hosts of a zone whose digests keep
//! differing send each other all entries.
//!
//! Silence makes a member suspect, which proves nothing: the suspect refutes it under a greater
//! count as soon as it hears of it. Only the platform's host list or a later incarnation makes a
//! member gone. A host that was frozen grants everybody a fresh period before it suspects anyone.

mod beat;
mod membership;
mod merge;
mod news;

use std::{sync::Arc, time::Duration};

pub use self::membership::Membership;

use crate::message::{Heartbeat, Holder, Member, Message};

/// Time between two heartbeats to the same neighbour.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(2_000);

/// Silence after which a neighbour is suspect.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(7_000);

/// Hosts of the own zone that get each heartbeat.
pub const SUCCESSOR_COUNT: usize = 3;

/// Heartbeats of one period, answers left out.
pub const HEARTBEATS_PER_INTERVAL: usize = 4;

/// Hosts of other zones that get heartbeats in turn.
pub const MAX_CONTACTS: usize = 16;

/// Heartbeats to a contact that may go unanswered before it is suspect.
pub const MAX_UNANSWERED: u32 = 3;

/// Successive differing digests after which all entries of the zone are sent.
const MAX_DIFFERING: u32 = 3;

/// Members that are known at once.
const MAX_MEMBERS: usize = 4_096;

/// Gone members that are remembered.
const MAX_GONE: usize = 1_024;

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
pub enum HostState {
    /// Live.
    Live,
    /// Leaving.
    Leaving,
    /// Gone for good.
    Gone,
}

/// A host as the platform lists it.
#[derive(Debug, Clone)]
pub struct ListedHost {
    /// Host name.
    pub host: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Address of its peer port, where known.
    pub address: Option<Arc<str>>,
    /// State.
    pub state: HostState,
    /// Incarnation up to which `Gone` holds; without it only a member that is silent is gone.
    pub incarnation: Option<u64>,
}

/// An input of the table.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time passed; due at least every [`HEARTBEAT_INTERVAL`].
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
    /// A message of another kind came in.
    PeerMessage {
        /// Holder that sent it.
        from: Holder,
        /// Availability zone of the sender.
        zone: Arc<str>,
        /// Address of the sender's peer port.
        address: Arc<str>,
    },
    /// The platform's host list was read.
    HostList(Vec<ListedHost>),
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

/// Greatest size of the members in one heartbeat, in bytes.
const MAX_PAGE_BYTES: usize = 900;

/// Bytes of a member beside its names.
const MEMBER_BYTES: usize = 48;

/// Returns as many members as fit one heartbeat.
pub fn fit_in_heartbeat<'a>(members: impl IntoIterator<Item = &'a Member>) -> Vec<Member> {
    let mut room = MAX_PAGE_BYTES;
    let fits = members.into_iter().take_while(|member| {
        let size = MEMBER_BYTES + member.host.len() + member.zone.len() + member.address.len();
        let left = room.checked_sub(size);
        room = left.unwrap_or(0);
        left.is_some()
    });
    fits.cloned().collect()
}
