//! Hosts in one process, joined by a link and a table that fail on command.

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

/// Place of a host, or the platform, for cuts.
pub const PLATFORM: &str = "platform";

/// What a request came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
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
    /// It takes no event until it is thawed.
    pub frozen: bool,
    pub dead: bool,
    pub fenced: bool,
    pub drained: bool,
    held_back: Vec<Delivery>,
}

#[derive(Debug, Clone)]
enum Delivery {
    Message(Arc<str>, Message),
    Table(u64, Outcome),
    RecoveryTable(u64, Outcome),
    Usage(request::Id),
    Tick,
}

#[derive(Debug, Clone)]
enum Arrival {
    Operation { host: usize, recovery: bool, id: u64, op: Op },
    Host(usize, Delivery),
}

/// Hosts, link and table under one clock.
pub struct Fleet {
    pub now: Duration,
    pub table: Table,
    pub hosts: Vec<Host>,
    pub answers: Vec<(Duration, usize, request::Id, Answer)>,
    pub reports: Vec<recovery::Report>,
    /// Zone pairs that can't reach each other; [`PLATFORM`] stands for the platform.
    pub cuts: BTreeSet<(Arc<str>, Arc<str>)>,
    /// Faults of the next commits, by host.
    pub faults: BTreeMap<usize, Vec<Option<Fault>>>,
    pub link_delay: Duration,
    pub table_delay: Duration,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Usage that the engines report.
    pub usage: BTreeMap<request::Id, u64>,
    pub asked: Vec<request::Id>,
    random: StdRng,
    queue: BTreeMap<(Duration, u64), Arrival>,
    sequence: u64,
}

impl Fleet {
    /// Opens hosts `(name, zone)` that know each other.
    pub fn open(seed: u64, hosts: &[(&str, &str)]) -> Self {
        let mut fleet = Self {
            now: Duration::ZERO,
            table: Table::default(),
            hosts: Vec::new(),
            answers: Vec::new(),
            reports: Vec::new(),
            cuts: BTreeSet::new(),
            faults: BTreeMap::new(),
            link_delay: Duration::from_millis(1),
            table_delay: Duration::from_millis(2),
            loss: 0.0,
            usage: BTreeMap::new(),
            asked: Vec::new(),
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

    /// Starts a process and returns its index.
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
            held_back: Vec::new(),
        });
        let index = self.hosts.len() - 1;
        let offset = TICK.mul_f64(self.random.random());
        self.arrive(self.now + offset, Arrival::Host(index, Delivery::Tick));
        index
    }

    /// Tells every process of the others, as far as it can reach them.
    pub fn announce_peers(&mut self) {
        for index in 0..self.hosts.len() {
            let peers = self.peers_of(index);
            self.event(index, Event::Peers(peers));
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
                reachable: !self.is_cut(index, other) && !host.frozen,
            })
            .collect()
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let (from, to) = (self.hosts[from].zone.clone(), self.hosts[to].zone.clone());
        self.cuts.contains(&(from, to))
    }

    /// Cuts both ways between two zones, or a zone and the platform.
    pub fn cut(&mut self, a: &str, b: &str) {
        self.cuts.insert((Arc::from(a), Arc::from(b)));
        self.cuts.insert((Arc::from(b), Arc::from(a)));
    }

    /// Mends all cuts.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.announce_peers();
    }

    /// Writes a budget's record and tells it to the hosts that can reach the platform.
    pub fn set_budget(&mut self, name: &str, prepaid: &[(&str, u64)], floor: u64, old: bool) {
        let record = budget(name, prepaid, floor, old);
        let text =
            coordination::record::render(&coordination::record::Record::Budget(record.clone()));
        self.table.put(&format!("config/budget/{name}"), text);
        self.tell_budget(&record);
    }

    /// Tells a budget's record to the hosts that can reach the platform.
    pub fn tell_budget(&mut self, record: &coordination::record::Budget) {
        for index in 0..self.hosts.len() {
            if !self.platform_cut(index) {
                self.event(index, Event::Budget(record.clone()));
            }
        }
    }

    fn platform_cut(&self, index: usize) -> bool {
        self.cuts.contains(&(self.hosts[index].zone.clone(), Arc::from(PLATFORM)))
    }

    fn arrive(&mut self, at: Duration, arrival: Arrival) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), arrival);
    }

    /// Kills a process; nothing of it is left.
    pub fn kill(&mut self, index: usize) {
        self.hosts[index].dead = true;
        self.hosts[index].replica = Replica::default();
        self.announce_peers();
    }

    /// Lets a frozen process go on with what reached it meanwhile.
    pub fn thaw(&mut self, index: usize) {
        self.hosts[index].frozen = false;
        for delivery in std::mem::take(&mut self.hosts[index].held_back) {
            self.deliver(index, delivery);
        }
    }

    /// Gives an event to a host's holder.
    pub fn event(&mut self, index: usize, event: Event) {
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

    /// Gives an event to a host's recovery.
    pub fn recover(&mut self, index: usize, event: recovery::Event) {
        if self.hosts[index].dead {
            return;
        }
        let mut actions = Vec::new();
        self.hosts[index].recovery.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                recovery::Action::Table { id, op } => self.operate(index, true, id, op),
                recovery::Action::Send { to, message } => self.send(index, &to, message),
                recovery::Action::QueryUsage { request, .. } => {
                    self.asked.push(request);
                    let at = self.now + self.link_delay;
                    self.arrive(at, Arrival::Host(index, Delivery::Usage(request)));
                }
                recovery::Action::Closed(report) => {
                    self.hosts[index].replica.forget(&report.holder);
                    self.reports.push(report);
                }
            }
        }
    }

    /// Asks a host for a reservation.
    pub fn reserve(&mut self, index: usize, request: u64, budget: &str, tokens: u64, class: Class) {
        self.event(
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
        self.event(index, Event::Settle { request: id(request), tokens });
    }

    fn perform(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Reserved { request } => {
                    self.answers.push((self.now, index, request, Answer::Reserved));
                }
                Action::Refused { request, reason, .. } => {
                    self.answers.push((self.now, index, request, Answer::Refused(reason)));
                }
                Action::Table { id, op } => self.operate(index, false, id, op),
                Action::Send { to, message } => self.send(index, &to, message),
                Action::Drained => self.hosts[index].drained = true,
                Action::Fenced => self.hosts[index].fenced = true,
                Action::Durable { .. } | Action::Note(_) => {}
            }
        }
    }

    fn operate(&mut self, host: usize, recovery: bool, id: u64, op: Op) {
        if self.platform_cut(host) {
            let at = self.now + self.table_delay;
            let delivery = if recovery { Delivery::RecoveryTable } else { Delivery::Table };
            self.arrive(at, Arrival::Host(host, delivery(id, Outcome::Unknown)));
            return;
        }
        let at = self.now + self.table_delay / 2;
        self.arrive(at, Arrival::Operation { host, recovery, id, op });
    }

    fn send(&mut self, from: usize, to: &str, message: Message) {
        if self.loss > 0.0 && self.random.random_bool(self.loss) {
            return;
        }
        let Some(target) = self.hosts.iter().rposition(|host| *host.name == *to && !host.dead)
        else {
            return;
        };
        if self.is_cut(from, target) {
            return;
        }
        let sender = self.hosts[from].id.clone();
        let delay = self.link_delay.mul_f64(self.random.random_range(0.5..1.5));
        let delivery = Delivery::Message(sender, message);
        self.arrive(self.now + delay, Arrival::Host(target, delivery));
    }

    /// Runs until a time.
    pub fn run_until(&mut self, until: Duration) {
        while let Some(first) = self.queue.first_entry()
            && first.key().0 <= until
        {
            let ((at, _), arrival) = first.remove_entry();
            self.now = at;
            match arrival {
                Arrival::Host(index, delivery) => self.deliver(index, delivery),
                Arrival::Operation { host, recovery, id, op } => {
                    self.carry_out(host, recovery, id, &op);
                }
            }
        }
        self.now = until;
    }

    /// Runs for a time.
    pub fn run_for(&mut self, time: Duration) {
        self.run_until(self.now + time);
    }

    fn carry_out(&mut self, host: usize, recovery: bool, id: u64, op: &Op) {
        let commit = matches!(op, Op::Commit(_));
        let faults = self.faults.get_mut(&host).filter(|faults| commit && !faults.is_empty());
        let fault = faults.and_then(|faults| faults.remove(0));
        let outcome = self.table.run(op, fault);
        let delivery = if recovery { Delivery::RecoveryTable } else { Delivery::Table };
        let at = self.now + self.table_delay / 2;
        self.arrive(at, Arrival::Host(host, delivery(id, outcome)));
    }

    fn deliver(&mut self, index: usize, delivery: Delivery) {
        if self.hosts[index].dead {
            return;
        }
        if self.hosts[index].frozen {
            if matches!(delivery, Delivery::Tick) {
                self.arrive(self.now + TICK, Arrival::Host(index, Delivery::Tick));
            } else {
                self.hosts[index].held_back.push(delivery);
            }
            return;
        }
        match delivery {
            Delivery::Tick => {
                self.arrive(self.now + TICK, Arrival::Host(index, Delivery::Tick));
                self.event(index, Event::Tick);
                self.recover(index, recovery::Event::Tick);
            }
            Delivery::Table(id, outcome) => self.event(index, Event::Table { id, outcome }),
            Delivery::RecoveryTable(id, outcome) => {
                self.recover(index, recovery::Event::Table { id, outcome });
            }
            Delivery::Usage(request) => {
                let tokens = self.usage.get(&request).copied();
                self.recover(index, recovery::Event::Usage { request, tokens });
            }
            Delivery::Message(from, message) => self.hear(index, from, message),
        }
    }

    fn hear(&mut self, index: usize, from: Arc<str>, message: Message) {
        let answer = match message {
            Message::Append(append) => self.hosts[index].replica.append(append),
            Message::Seal { holder } => self.hosts[index].replica.seal(&holder),
            Message::Sealed(_) => {
                self.recover(index, recovery::Event::Message { from, message });
                return;
            }
            Message::TransferAck { .. } => {
                let (from, message) = (from, message);
                let event =
                    recovery::Event::Message { from: from.clone(), message: message.clone() };
                self.recover(index, event);
                self.event(index, Event::Message { from, message });
                return;
            }
            message => {
                self.event(index, Event::Message { from, message });
                return;
            }
        };
        let to = holder_host(&from);
        self.send(index, &to, answer);
    }

    /// Returns the last answer to a request.
    pub fn answer(&self, request: u64) -> Option<Answer> {
        let request = id(request);
        let answers = self.answers.iter().rev();
        answers.filter(|answer| answer.2 == request).map(|answer| answer.3).next()
    }
}

/// Returns the host of a process.
pub fn holder_host(holder: &str) -> Arc<str> {
    Arc::from(holder.rsplit_once('.').map_or(holder, |(host, _)| host))
}

/// Returns the id of a numbered request.
pub fn id(request: u64) -> request::Id {
    request::Id::numbered("test", request)
}

/// Returns a budget's record.
pub fn budget(
    name: &str,
    prepaid: &[(&str, u64)],
    urgent_floor: u64,
    old: bool,
) -> coordination::record::Budget {
    use coordination::record::{Budget, LedgerFormat};
    Budget {
        name: Arc::from(name),
        workspace: Arc::from("workspace"),
        top_ups: prepaid.iter().map(|(id, tokens)| (Arc::from(*id), *tokens)).collect(),
        urgent_floor,
        ledger: if old { LedgerFormat::Old } else { LedgerFormat::New },
    }
}
