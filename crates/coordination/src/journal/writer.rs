//! Journal of a holder and its replication to the ensemble.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use super::State;
use crate::{
    holder::{Action, Peer},
    message::{Append, Entry, Holder, Message},
};

/// Number of members of an ensemble, if as many processes can be reached.
const ENSEMBLE_SIZE: usize = 2;

/// Time without progress after which durability doesn't depend on a member any more.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(100);

/// Time without progress after which a member is replaced.
const REPLACE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which unacknowledged entries are sent again.
const RESEND_TIMEOUT: Duration = Duration::from_millis(50);

/// Time between attempts to reach a member that made no progress for [`REPLACE_TIMEOUT`].
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of entries in one message.
const MAX_APPEND_ENTRIES: usize = 256;

/// Maximum number of entries kept for members that are behind; a member further behind gets a
/// snapshot.
const MAX_TAIL_ENTRIES: usize = 16_384;

/// Processes that keep copies of a journal.
pub type Ensemble = Vec<Holder>;

/// Journal of this process and its replication.
#[derive(Debug)]
pub struct Writer {
    holder: Holder,
    zone: Arc<str>,
    state: State,
    /// Last entries, up to the end of the journal.
    tail: VecDeque<Entry>,
    members: Vec<Member>,
    /// Ensemble in the table; `None` before the first.
    committed: Option<Vec<Holder>>,
    /// Ensemble that is being written to the table.
    pending: Option<Vec<Holder>>,
    peers: BTreeMap<Holder, Peer>,
    /// Peers that took no snapshot in time; cleared when the peers change.
    excluded: BTreeSet<Holder>,
    /// Number of the last durable entry.
    durable: u64,
}

#[derive(Debug)]
struct Member {
    id: Holder,
    host: Arc<str>,
    /// Number of the last acknowledged entry; 0 until the copy exists.
    acked: u64,
    /// Number of the last entry sent.
    sent: u64,
    /// Number of the last entry in the last snapshot sent.
    snapshot: u64,
    sent_at: Duration,
    /// Time at which entries began to wait for an acknowledgement, or of the last progress since
    /// then; `None` if all entries are acknowledged.
    waiting_since: Option<Duration>,
    /// The copy was lost, or its host runs a later process.
    lost: bool,
}

impl Member {
    /// Returns whether the member is lost or made no progress for this time.
    fn is_stalled(&self, now: Duration, limit: Duration) -> bool {
        self.lost || self.waiting_since.is_some_and(|since| now >= since + limit)
    }
}

impl Writer {
    /// Creates the journal of the process `holder` in the availability zone `zone`.
    pub fn new(holder: Holder, zone: Arc<str>) -> Self {
        let mut writer = Self {
            holder,
            zone,
            state: State::default(),
            tail: VecDeque::new(),
            members: Vec::new(),
            committed: None,
            pending: None,
            peers: BTreeMap::new(),
            excluded: BTreeSet::new(),
            durable: 0,
        };
        writer.append(Entry::Flushed { segment: 0, through: 0 });
        writer
    }

    /// Appends an entry and returns its number.
    pub fn append(&mut self, entry: Entry) -> u64 {
        let number = self.state.through() + 1;
        self.state.apply(number, &entry);
        self.tail.push_back(entry);
        number
    }

    /// Returns the number of the last durable entry.
    pub fn durable(&self) -> u64 {
        self.durable
    }

    /// Returns the state after the last entry.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the state after the last entry, for changes that need no entry.
    pub fn state_mut(&mut self) -> &mut State {
        &mut self.state
    }

    /// Sets the other processes of the fleet.
    pub fn set_peers(&mut self, peers: Vec<Peer>) {
        self.peers = peers.into_iter().map(|peer| (peer.id.clone(), peer)).collect();
        self.excluded.clear();
    }

    /// Returns whether another process can be reached.
    pub fn has_peers(&self) -> bool {
        self.peers.values().any(|peer| peer.reachable)
    }

    /// Handles an acknowledgement of the entries up to `through` from a process.
    pub fn acknowledge(&mut self, now: Duration, from: &Holder, through: u64) {
        let last = self.state.through();
        let Some(member) = self.members.iter_mut().find(|member| member.id == *from) else {
            self.mark_restarted_lost(from);
            return;
        };
        if through < member.acked {
            member.lost |= through == 0;
            return;
        }
        let progress = through > member.acked;
        member.acked = through.min(last);
        if member.acked == last {
            member.waiting_since = None;
        } else if progress {
            member.waiting_since = Some(now);
        }
        self.trim();
    }

    /// Marks a member as lost if its host now runs the process `from` instead.
    fn mark_restarted_lost(&mut self, from: &Holder) {
        let Some(host) = self.peers.get(from).map(|peer| &peer.host) else {
            return;
        };
        for member in &mut self.members {
            member.lost |= member.host == *host;
        }
    }

    /// Drops entries that every member has, and the oldest beyond [`MAX_TAIL_ENTRIES`].
    fn trim(&mut self) {
        let last = self.state.through();
        let remaining = self.members.iter().filter(|member| !member.lost);
        let needed =
            remaining.map(|member| member.acked.max(member.snapshot)).min().unwrap_or(last);
        let keep = ((last - needed) as usize).min(MAX_TAIL_ENTRIES);
        let excess = self.tail.len().saturating_sub(keep);
        self.tail.drain(..excess);
    }

    /// Sends due entries to the members and updates the number of the last durable entry.
    pub fn advance(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let last = self.state.through();
        for index in 0..self.members.len() {
            self.send(index, now, actions);
        }
        if self.members.is_empty() || self.tail.len() > MAX_TAIL_ENTRIES {
            self.trim();
        }
        let committed =
            self.committed.as_deref().map_or(last, |ids| self.replicated_through(ids, now));
        let pending = self.pending.as_deref().map_or(last, |ids| self.replicated_through(ids, now));
        self.durable = self.durable.max(committed.min(pending));
    }

    /// Returns the number up to which an ensemble has the entries: all members that aren't stalled,
    /// or the most advanced one if all are.
    fn replicated_through(&self, ids: &[Holder], now: Duration) -> u64 {
        if ids.is_empty() {
            return self.state.through();
        }
        let members = || self.members.iter().filter(|member| ids.contains(&member.id));
        let active = members().filter(|member| !member.is_stalled(now, MEMBER_TIMEOUT));
        let all = active.map(|member| member.acked).min();
        all.or_else(|| members().map(|member| member.acked).max()).unwrap_or(0)
    }

    /// Returns whether the ensemble in the table has members, all of which are stalled.
    pub fn is_unreplicated(&self, now: Duration) -> bool {
        self.count_live(now, |_| true).is_some_and(|live| live == 0)
    }

    /// Returns whether the ensemble in the table has members, but at most one that isn't stalled
    /// and can be reached.
    pub fn is_underreplicated(&self, now: Duration) -> bool {
        self.count_live(now, |member| self.reachable(&member.id)).is_some_and(|live| live <= 1)
    }

    /// Returns the number of members of the table's ensemble that aren't stalled and that `counts`
    /// accepts; `None` if the ensemble is empty or absent.
    fn count_live(&self, now: Duration, counts: impl Fn(&Member) -> bool) -> Option<usize> {
        let committed = self.committed.as_deref().filter(|ids| !ids.is_empty())?;
        let live = |member: &&Member| {
            committed.contains(&member.id)
                && !member.is_stalled(now, MEMBER_TIMEOUT)
                && counts(member)
        };
        Some(self.members.iter().filter(live).count())
    }

    /// Sends a member its next entries, or a snapshot if the tail no longer has them. A stalled
    /// member gets them only at the intervals for resending.
    fn send(&mut self, index: usize, now: Duration, actions: &mut Vec<Action>) {
        let last = self.state.through();
        let member = &mut self.members[index];
        if member.lost || member.acked == last {
            return;
        }
        let since = *member.waiting_since.get_or_insert(now);
        let interval = if now >= since + REPLACE_TIMEOUT { PROBE_INTERVAL } else { RESEND_TIMEOUT };
        let due = member.sent == 0 || now >= member.sent_at + interval;
        let base = last - self.tail.len() as u64;
        if member.acked.max(member.snapshot) < base || member.acked == 0 {
            if due {
                member.sent = last;
                member.snapshot = last;
                member.sent_at = now;
                let message = snapshot(&self.holder, &self.state);
                actions.push(Action::Send { to: member.host.clone(), message });
            }
            return;
        }
        if due {
            member.sent = member.acked;
        }
        let stalled = now >= since + MEMBER_TIMEOUT;
        let first = member.sent.max(base) + 1;
        if first > last || (stalled && !due) {
            return;
        }
        let skip = (first - 1 - base) as usize;
        let entries: Vec<Entry> =
            self.tail.iter().skip(skip).take(MAX_APPEND_ENTRIES).cloned().collect();
        member.sent = first - 1 + entries.len() as u64;
        member.sent_at = now;
        let holder = self.holder.clone();
        let append = Append { holder, first, snapshot: false, entries };
        actions.push(Action::Send { to: member.host.clone(), message: Message::Append(append) });
    }

    /// Returns the ensemble to be written to the table, once its new members have their copies.
    ///
    /// Returns `None` if there is nothing to change, or not yet.
    pub fn propose(&mut self, now: Duration) -> Option<Ensemble> {
        if let Some(pending) = &self.pending {
            return Some(pending.clone());
        }
        let desired = self.desired_ensemble(now);
        let committed = self.committed.clone().unwrap_or_default();
        self.members.retain(|member| {
            committed.contains(&member.id) || (desired.contains(&member.id) && !member.lost)
        });
        for id in &desired {
            self.add_member(id, now);
        }
        let ready = desired
            .iter()
            .all(|id| self.members.iter().any(|member| member.id == *id && member.acked > 0));
        let changed = self.committed.as_ref().is_none_or(|committed| *committed != desired);
        (ready && changed && self.holds_durable(&desired)).then_some(desired)
    }

    /// Returns whether some member of an ensemble has all durable entries, or the ensemble is
    /// empty. A recovery asks no other process once the ensemble is in the table.
    pub fn holds_durable(&self, ids: &[Holder]) -> bool {
        let mut members = self.members.iter().filter(|member| ids.contains(&member.id));
        ids.is_empty() || members.any(|member| !member.lost && member.acked >= self.durable)
    }

    /// Starts to copy the journal to a process, and excludes one that took no snapshot in time.
    fn add_member(&mut self, id: &Holder, now: Duration) {
        if let Some(member) = self.members.iter().find(|member| member.id == *id) {
            if member.acked == 0 && member.is_stalled(now, REPLACE_TIMEOUT) {
                self.excluded.insert(id.clone());
            }
            return;
        }
        let Some(peer) = self.peers.get(id) else {
            return;
        };
        self.members.push(Member {
            id: id.clone(),
            host: peer.host.clone(),
            acked: 0,
            sent: 0,
            snapshot: 0,
            sent_at: now,
            waiting_since: None,
            lost: false,
        });
    }

    /// Returns the desired ensemble, which is the committed one if no process can be reached.
    fn desired_ensemble(&self, now: Duration) -> Vec<Holder> {
        let committed = self.committed.as_deref().unwrap_or_default();
        let healthy = |id: &&Holder| {
            self.members.iter().any(|member| {
                member.id == **id && !member.is_stalled(now, REPLACE_TIMEOUT) && self.reachable(id)
            })
        };
        let mut desired: Vec<Holder> = committed.iter().filter(healthy).cloned().collect();
        while desired.len() < ENSEMBLE_SIZE
            && let Some(id) = self.candidate(&desired, now)
        {
            desired.push(id);
        }
        self.balance_zones(&mut desired, now);
        if desired.is_empty() { committed.to_vec() } else { desired }
    }

    /// Replaces a member if all are in this zone, or all in others, and another process corrects
    /// that.
    fn balance_zones(&self, desired: &mut Vec<Holder>, now: Duration) {
        let in_other_zone =
            |id: &Holder| self.peers.get(id).is_some_and(|peer| peer.zone != self.zone);
        let unbalanced = desired.iter().all(in_other_zone) || !desired.iter().any(in_other_zone);
        if desired.len() == ENSEMBLE_SIZE
            && unbalanced
            && let Some(id) = self.candidate(desired, now)
            && in_other_zone(&id) != desired.iter().any(in_other_zone)
        {
            desired.pop();
            desired.push(id);
        }
    }

    fn reachable(&self, id: &Holder) -> bool {
        self.peers.get(id).is_some_and(|peer| peer.reachable)
    }

    /// Returns the best process to add: one of another zone unless the ensemble has one already,
    /// else one of this zone. Falls back to any that can be reached.
    fn candidate(&self, chosen: &[Holder], now: Duration) -> Option<Holder> {
        let zone = |id: &Holder| self.peers.get(id).map(|peer| &peer.zone);
        let has_other_zone =
            chosen.iter().any(|id| zone(id).is_some_and(|zone| *zone != self.zone));
        let rank = |peer: &&Peer| {
            let preferred = (peer.zone != self.zone) != has_other_zone;
            (!preferred, placement_rank(&self.holder, &peer.id))
        };
        let stalled = |id: &Holder| {
            self.members
                .iter()
                .any(|member| member.id == *id && member.is_stalled(now, REPLACE_TIMEOUT))
        };
        let eligible = |peer: &&Peer| {
            let ruled_out = chosen.contains(&peer.id) || self.excluded.contains(&peer.id);
            peer.reachable && !ruled_out && !stalled(&peer.id)
        };
        self.peers.values().filter(eligible).min_by_key(rank).map(|peer| peer.id.clone())
    }

    /// Records that an ensemble is being written to the table. Until the outcome is known, entries
    /// need the acknowledgement of this ensemble and of the committed one.
    pub fn begin_change(&mut self, ensemble: Ensemble) {
        self.pending = Some(ensemble);
    }

    /// Returns whether an ensemble is being written to the table.
    pub fn is_changing(&self) -> bool {
        self.pending.is_some()
    }

    /// Records that the pending ensemble was certainly not written.
    pub fn cancel_change(&mut self) {
        self.pending = None;
    }

    /// Records the ensemble in the table.
    pub fn set_committed(&mut self, ensemble: Vec<Holder>) {
        self.pending = None;
        self.members.retain(|member| ensemble.contains(&member.id));
        self.committed = Some(ensemble);
        self.trim();
    }

    /// Returns the ensemble in the table, or `None` before the first.
    pub fn ensemble(&self) -> Option<&[Holder]> {
        self.committed.as_deref()
    }
}

fn snapshot(holder: &Holder, state: &State) -> Message {
    Message::Append(Append {
        holder: holder.clone(),
        first: state.through(),
        snapshot: true,
        entries: state.entries(),
    })
}

/// Returns a rank of a peer that differs between holders, so that copies are spread over the
/// processes.
fn placement_rank(holder: &str, peer: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(holder.as_bytes());
    hasher.update(&[0]);
    hasher.update(peer.as_bytes());
    let mut rank = [0; 8];
    rank.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(rank)
}
