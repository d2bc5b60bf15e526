//! Simulated fleet: hosts in one process, with a network and a table whose faults are injected.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use coordination::{
    holder::{Action, Event, Holder, Peer, Reason, Reserve, Settings},
    journal::Replica,
    message::{Entry, Message},
    recovery::{self, Recovery},
    request::{self, Class},
    table::{Op, Outcome},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::table::{Fault, Table};

/// Time between ticks of a host.
pub const TICK: Duration = Duration::from_millis(50);

/// Name that stands for the platform where a partition names zones.
pub const PLATFORM: &str = "platform";

/// Result of a request for a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReserveResult {
    Reserved,
    Refused(Reason),
}

/// A host process.
pub struct Host {
    pub id: Arc<str>,
    pub name: Arc<str>,
    pub zone: Arc<str>,
    pub holder: Holder,
    pub replica: Replica,
    pub recovery: Recovery,
    /// Handles no events until [`Fleet::thaw`].
    pub frozen: bool,
    pub dead: bool,
    pub fenced: bool,
    pub drained: bool,
    /// Deliveries that arrived while the process was frozen.
    queued: Vec<Delivery>,
}

/// Input of a host.
#[derive(Debug, Clone)]
enum Delivery {
    Message(Arc<str>, Message),
    Table(u64, Outcome),
    RecoveryTable(u64, Outcome),
    Usage(request::Id),
    Tick,
}

/// What happens at a scheduled time.
#[derive(Debug, Clone)]
enum Scheduled {
    Operation { host: usize, recovery: bool, id: u64, op: Op },
    Delivery(usize, Delivery),
}

/// Hosts, network and table that share one virtual clock.
pub struct Fleet {
    pub now: Duration,
    pub table: Table,
    pub hosts: Vec<Host>,
    /// Results of reservations, oldest first, each with its time and the index of the host.
    pub reserve_results: Vec<(Duration, usize, request::Id, ReserveResult)>,
    pub reports: Vec<recovery::Report>,
    /// Zones that can't reach each other, a pair for each direction; [`PLATFORM`] stands for the
    /// platform.
    pub partitions: BTreeSet<(Arc<str>, Arc<str>)>,
    /// Faults of the next commits, by index of the host; `None` lets a commit succeed.
    pub faults: BTreeMap<usize, Vec<Option<Fault>>>,
    pub network_delay: Duration,
    pub table_delay: Duration,
    /// Share of messages that are lost, from 0 to 1.
    pub loss_rate: f64,
    /// Tokens that backend servers report to recoveries, by request.
    pub usage: BTreeMap<request::Id, u64>,
    /// Requests whose usage a recovery asked for.
    pub usage_queries: Vec<request::Id>,
    random: StdRng,
    /// What is scheduled, by time and sequence number.
    queue: BTreeMap<(Duration, u64), Scheduled>,
    sequence: u64,
}

impl Fleet {
    /// Creates a fleet of hosts, given as `(name, zone)`, that know each other.
    pub fn new(seed: u64, hosts: &[(&str, &str)]) -> Self {
        let mut fleet = Self {
            now: Duration::ZERO,
            table: Table::default(),
            hosts: Vec::new(),
            reserve_results: Vec::new(),
            reports: Vec::new(),
            partitions: BTreeSet::new(),
            faults: BTreeMap::new(),
            network_delay: Duration::from_millis(1),
            table_delay: Duration::from_millis(2),
            loss_rate: 0.0,
            usage: BTreeMap::new(),
            usage_queries: Vec::new(),
            random: StdRng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            sequence: 0,
        };
        for (name, zone) in hosts {
            fleet.start(name, zone, 1);
        }
        fleet.announce_peers();
        fleet
    }

    /// Starts a process of the host `name` and returns its index.
    pub fn start(&mut self, name: &str, zone: &str, incarnation: u64) -> usize {
        let id: Arc<str> = Arc::from(format!("{name}.{incarnation}"));
        let seed = self.random.random();
        let settings =
            Settings { id: id.clone(), host: Arc::from(name), zone: Arc::from(zone), seed };
        self.hosts.push(Host {
            id: id.clone(),
            name: Arc::from(name),
            zone: Arc::from(zone),
            holder: Holder::new(settings),
            replica: Replica::default(),
            recovery: Recovery::new(id, seed),
            frozen: false,
            dead: false,
            fenced: false,
            drained: false,
            queued: Vec::new(),
        });
        let index = self.hosts.len() - 1;
        let offset = TICK.mul_f64(self.random.random());
        self.schedule(self.now + offset, Scheduled::Delivery(index, Delivery::Tick));
        index
    }

    /// Passes every process its current peers, marked reachable unless frozen or partitioned.
    pub fn announce_peers(&mut self) {
        for index in 0..self.hosts.len() {
            let peers = self.peers_of(index);
            self.handle(index, Event::Peers(peers));
        }
    }

    fn peers_of(&self, index: usize) -> Vec<Peer> {
        let others = self.hosts.iter().enumerate().filter(|(other, host)| {
            *other != index && !host.dead && !host.fenced && host.name != self.hosts[index].name
        });
        others
            .map(|(other, host)| Peer {
                id: host.id.clone(),
                host: host.name.clone(),
                zone: host.zone.clone(),
                reachable: !self.is_partitioned(index, other) && !host.frozen,
            })
            .collect()
    }

    fn is_partitioned(&self, from: usize, to: usize) -> bool {
        let (from, to) = (self.hosts[from].zone.clone(), self.hosts[to].zone.clone());
        self.partitions.contains(&(from, to))
    }

    /// Partitions two zones, or a zone and the platform, in both directions.
    pub fn partition(&mut self, a: &str, b: &str) {
        self.partitions.insert((Arc::from(a), Arc::from(b)));
        self.partitions.insert((Arc::from(b), Arc::from(a)));
    }

    /// Ends all partitions.
    pub fn heal(&mut self) {
        self.partitions.clear();
        self.announce_peers();
    }

    /// Writes a budget's record and passes it to the hosts that can reach the platform.
    pub fn set_budget(
        &mut self,
        name: &str,
        prepaid: &[(&str, u64)],
        urgent_floor: u64,
        old_ledger: bool,
    ) {
        let record = budget(name, prepaid, urgent_floor, old_ledger);
        let text =
            coordination::record::render(&coordination::record::Record::Budget(record.clone()));
        self.table.put(&format!("config/budget/{name}"), text);
        self.announce_budget(&record);
    }

    /// Passes a budget's record to the hosts that can reach the platform.
    pub fn announce_budget(&mut self, record: &coordination::record::Budget) {
        for index in 0..self.hosts.len() {
            if !self.is_platform_unreachable(index) {
                self.handle(index, Event::Budget(record.clone()));
            }
        }
    }

    fn is_platform_unreachable(&self, index: usize) -> bool {
        self.partitions.contains(&(self.hosts[index].zone.clone(), Arc::from(PLATFORM)))
    }

    fn schedule(&mut self, at: Duration, scheduled: Scheduled) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), scheduled);
    }

    /// Kills a process, with its copies of journals.
    pub fn kill(&mut self, index: usize) {
        self.hosts[index].dead = true;
        self.hosts[index].replica = Replica::default();
        self.announce_peers();
    }

    /// Lets a frozen process continue with the deliveries that arrived meanwhile.
    pub fn thaw(&mut self, index: usize) {
        self.hosts[index].frozen = false;
        for delivery in std::mem::take(&mut self.hosts[index].queued) {
            self.deliver(index, delivery);
        }
    }

    /// Passes an event to a host's holder and carries out the actions.
    pub fn handle(&mut self, index: usize, event: Event) {
        if self.hosts[index].dead {
            return;
        }
        let mut actions = Vec::new();
        self.hosts[index].holder.handle(self.now, event, &mut actions);
        self.perform(index, actions);
    }

    /// Appends an entry to a host's journal.
    pub fn append(&mut self, index: usize, entry: Entry) {
        let mut actions = Vec::new();
        self.hosts[index].holder.append(self.now, entry, &mut actions);
        self.perform(index, actions);
    }

    /// Passes an event to a host's recovery and carries out the actions.
    pub fn handle_recovery(&mut self, index: usize, event: recovery::Event) {
        if self.hosts[index].dead {
            return;
        }
        let mut actions = Vec::new();
        self.hosts[index].recovery.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                recovery::Action::Table { id, op } => self.send_operation(index, true, id, op),
                recovery::Action::Send { to, message } => self.send(index, &to, message),
                recovery::Action::QueryUsage { request, .. } => {
                    self.usage_queries.push(request);
                    let at = self.now + self.network_delay;
                    self.schedule(at, Scheduled::Delivery(index, Delivery::Usage(request)));
                }
                recovery::Action::Closed(report) => {
                    self.hosts[index].replica.forget(&report.holder);
                    self.reports.push(report);
                }
            }
        }
    }

    /// Requests a reservation at a host.
    pub fn reserve(&mut self, index: usize, request: u64, budget: &str, tokens: u64, class: Class) {
        self.handle(
            index,
            Event::Reserve(Reserve {
                request: id(request),
                budget: Arc::from(budget),
                tokens,
                class,
                backend: Arc::from("engine"),
            }),
        );
    }

    /// Settles a request at a host.
    pub fn settle(&mut self, index: usize, request: u64, tokens: u64) {
        self.handle(index, Event::Settle { request: id(request), tokens });
    }

    fn perform(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Reserved { request } => {
                    self.reserve_results.push((self.now, index, request, ReserveResult::Reserved));
                }
                Action::Refused { request, reason, .. } => {
                    self.reserve_results.push((
                        self.now,
                        index,
                        request,
                        ReserveResult::Refused(reason),
                    ));
                }
                Action::Table { id, op } => self.send_operation(index, false, id, op),
                Action::Send { to, message } => self.send(index, &to, message),
                Action::Drained => self.hosts[index].drained = true,
                Action::Fenced => self.hosts[index].fenced = true,
                Action::Durable { .. } | Action::Note(_) => {}
            }
        }
    }

    fn send_operation(&mut self, host: usize, recovery: bool, id: u64, op: Op) {
        if self.is_platform_unreachable(host) {
            let at = self.now + self.table_delay;
            let delivery = if recovery { Delivery::RecoveryTable } else { Delivery::Table };
            self.schedule(at, Scheduled::Delivery(host, delivery(id, Outcome::Unknown)));
            return;
        }
        let at = self.now + self.table_delay / 2;
        self.schedule(at, Scheduled::Operation { host, recovery, id, op });
    }

    fn send(&mut self, from: usize, to: &str, message: Message) {
        if self.loss_rate > 0.0 && self.random.random_bool(self.loss_rate) {
            return;
        }
        let Some(target) = self.hosts.iter().rposition(|host| *host.name == *to && !host.dead)
        else {
            return;
        };
        if self.is_partitioned(from, target) {
            return;
        }
        let sender = self.hosts[from].id.clone();
        let delay = self.network_delay.mul_f64(self.random.random_range(0.5..1.5));
        let delivery = Delivery::Message(sender, message);
        self.schedule(self.now + delay, Scheduled::Delivery(target, delivery));
    }

    /// Runs until the clock reaches `until`.
    pub fn run_until(&mut self, until: Duration) {
        while let Some(first) = self.queue.first_entry()
            && first.key().0 <= until
        {
            let ((at, _), scheduled) = first.remove_entry();
            self.now = at;
            match scheduled {
                Scheduled::Delivery(index, delivery) => self.deliver(index, delivery),
                Scheduled::Operation { host, recovery, id, op } => {
                    self.run_operation(host, recovery, id, &op);
                }
            }
        }
        self.now = until;
    }

    /// Runs for `time`.
    pub fn run_for(&mut self, time: Duration) {
        self.run_until(self.now + time);
    }

    fn run_operation(&mut self, host: usize, recovery: bool, id: u64, op: &Op) {
        let commit = matches!(op, Op::Commit(_));
        let faults = self.faults.get_mut(&host).filter(|faults| commit && !faults.is_empty());
        let fault = faults.and_then(|faults| faults.remove(0));
        let outcome = self.table.run(op, fault);
        let delivery = if recovery { Delivery::RecoveryTable } else { Delivery::Table };
        let at = self.now + self.table_delay / 2;
        self.schedule(at, Scheduled::Delivery(host, delivery(id, outcome)));
    }

    fn deliver(&mut self, index: usize, delivery: Delivery) {
        if self.hosts[index].dead {
            return;
        }
        if self.hosts[index].frozen {
            if matches!(delivery, Delivery::Tick) {
                self.schedule(self.now + TICK, Scheduled::Delivery(index, Delivery::Tick));
            } else {
                self.hosts[index].queued.push(delivery);
            }
            return;
        }
        match delivery {
            Delivery::Tick => {
                self.schedule(self.now + TICK, Scheduled::Delivery(index, Delivery::Tick));
                self.handle(index, Event::Tick);
                self.handle_recovery(index, recovery::Event::Tick);
            }
            Delivery::Table(id, outcome) => self.handle(index, Event::Table { id, outcome }),
            Delivery::RecoveryTable(id, outcome) => {
                self.handle_recovery(index, recovery::Event::Table { id, outcome });
            }
            Delivery::Usage(request) => {
                let tokens = self.usage.get(&request).copied();
                self.handle_recovery(index, recovery::Event::Usage { request, tokens });
            }
            Delivery::Message(from, message) => self.deliver_message(index, from, message),
        }
    }

    fn deliver_message(&mut self, index: usize, from: Arc<str>, message: Message) {
        let reply = match message {
            Message::Append(append) => self.hosts[index].replica.append(append),
            Message::Seal { holder } => self.hosts[index].replica.seal(&holder),
            Message::Sealed(_) => {
                self.handle_recovery(index, recovery::Event::Message { from, message });
                return;
            }
            Message::TransferAck { .. } => {
                let (from, message) = (from, message);
                let event =
                    recovery::Event::Message { from: from.clone(), message: message.clone() };
                self.handle_recovery(index, event);
                self.handle(index, Event::Message { from, message });
                return;
            }
            message => {
                self.handle(index, Event::Message { from, message });
                return;
            }
        };
        let to = holder_host(&from);
        self.send(index, &to, reply);
    }

    /// Returns the last result of a request.
    pub fn reserve_result(&self, request: u64) -> Option<ReserveResult> {
        let request = id(request);
        let results = self.reserve_results.iter().rev();
        results.filter(|result| result.2 == request).map(|result| result.3).next()
    }
}

/// Returns the host of a process `host.incarnation`.
pub fn holder_host(holder: &str) -> Arc<str> {
    Arc::from(holder.rsplit_once('.').map_or(holder, |(host, _)| host))
}

/// Returns the id of the request with this number.
pub fn id(request: u64) -> request::Id {
    request::Id::numbered("test", request)
}

/// Returns a budget's record; its charges go to the old ledger if `old_ledger`.
pub fn budget(
    name: &str,
    prepaid: &[(&str, u64)],
    urgent_floor: u64,
    old_ledger: bool,
) -> coordination::record::Budget {
    use coordination::record::{Budget, LedgerFormat};
    Budget {
        name: Arc::from(name),
        workspace: Arc::from("workspace"),
        top_ups: prepaid.iter().map(|(id, tokens)| (Arc::from(*id), *tokens)).collect(),
        urgent_floor,
        ledger: if old_ledger { LedgerFormat::Old } else { LedgerFormat::New },
    }
}
