//! Fleet membership and failure detection by heartbeats and gossip.
//!
//! The hosts of a zone form a ring, sorted by name. Each host sends heartbeats to its
//! [`SUCCESSOR_COUNT`] successors on the ring and to a few contacts in other zones, which answer
//! them. A heartbeat carries the sender's own entry, a digest of its zone and gossip about changed
//! members. Hosts of a zone whose digests keep differing send each other all entries.
//!
//! A silent member becomes suspect. This is no proof of failure: as soon as the suspect hears of
//! it, it refutes the suspicion with an increased refutation count. A member is gone only when the
//! platform's host list says so or a later incarnation of it appears. A host that was frozen
//! restarts all silence timeouts before it suspects another host.

mod gossip;
mod heartbeat;
mod membership;
mod merge;

use std::{sync::Arc, time::Duration};

pub use self::membership::Membership;

use crate::message::{Heartbeat, Holder, Member, Message};

/// Time between two rounds of heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(2_000);

/// Time without a heartbeat after which a predecessor on the ring is suspect.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(7_000);

/// Number of unsuspected successors on the ring that get a heartbeat in each round.
pub const SUCCESSOR_COUNT: usize = 3;

/// Target number of heartbeats per round, not counting answers and probes. Contacts get those that
/// successors leave, but at least one.
pub const HEARTBEATS_PER_INTERVAL: usize = 4;

/// Maximum number of hosts of other zones that get heartbeats in turn.
pub const MAX_CONTACTS: usize = 16;

/// Number of unanswered heartbeats after which a contact is suspect.
pub const MAX_UNANSWERED: u32 = 3;

/// Number of consecutive digest mismatches after which all entries of the zone are sent.
const MAX_DIGEST_MISMATCHES: u32 = 3;

/// Maximum number of members in the table.
const MAX_MEMBERS: usize = 4_096;

/// Maximum number of gone members that are kept.
const MAX_GONE: usize = 1_024;

/// Settings of a [`Membership`].
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this host.
    pub host: Arc<str>,
    /// Availability zone of this host.
    pub zone: Arc<str>,
    /// Address of the peer port of this host, `ip:port`.
    pub address: Arc<str>,
    /// Incarnation of this process.
    pub incarnation: u64,
    /// Addresses of peers to contact until a heartbeat from them arrives.
    pub seeds: Vec<Arc<str>>,
}

/// State of a host in the platform's host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostState {
    /// In service.
    Live,
    /// Leaving the fleet.
    Leaving,
    /// Permanently gone.
    Gone,
}

/// An entry of the platform's host list.
#[derive(Debug, Clone)]
pub struct ListedHost {
    /// Host name.
    pub host: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Address of its peer port, if known.
    pub address: Option<Arc<str>>,
    /// State of the host.
    pub state: HostState,
    /// Incarnation up to which the state applies. Without it the state applies to any incarnation,
    /// but `Gone` only to a member that is not alive.
    pub incarnation: Option<u64>,
}

/// Input of a [`Membership`].
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed; expected at least every [`HEARTBEAT_INTERVAL`].
    Tick,
    /// A heartbeat was received.
    Heartbeat {
        /// Holder that sent it.
        from: Holder,
        /// Address of the sender's peer port.
        address: Arc<str>,
        /// Heartbeat.
        heartbeat: Heartbeat,
    },
    /// A message other than a heartbeat was received.
    PeerMessage {
        /// Holder that sent it.
        from: Holder,
        /// Availability zone of the sender.
        zone: Arc<str>,
        /// Address of the sender's peer port.
        address: Arc<str>,
    },
    /// The platform's host list was read; holds all of its entries.
    HostList(Vec<ListedHost>),
    /// The revision of the configuration in force on this host changed.
    Revision(u64),
    /// This host is leaving the fleet.
    Leave,
}

/// Output of a [`Membership`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message.
    Send {
        /// Address of the receiver's peer port.
        to: Arc<str>,
        /// Message.
        message: Message,
    },
    /// The state, incarnation, address or revision of a member changed.
    Changed(Member),
}

/// Maximum size of the members in one heartbeat, in bytes.
const MAX_HEARTBEAT_MEMBERS_BYTES: usize = 900;

/// Size of a member without its host name, zone and address, in bytes.
const MEMBER_OVERHEAD_BYTES: usize = 48;

/// Returns as many of the first members as fit in one heartbeat.
pub fn fit_in_heartbeat<'a>(members: impl IntoIterator<Item = &'a Member>) -> Vec<Member> {
    let mut remaining = MAX_HEARTBEAT_MEMBERS_BYTES;
    let fits = members.into_iter().take_while(|member| {
        let size =
            MEMBER_OVERHEAD_BYTES + member.host.len() + member.zone.len() + member.address.len();
        let left = remaining.checked_sub(size);
        remaining = left.unwrap_or(0);
        left.is_some()
    });
    fits.cloned().collect()
}
