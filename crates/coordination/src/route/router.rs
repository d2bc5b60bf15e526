//! Chooses among the back ends of a route.

use std::{cmp::Reverse, collections::BTreeMap, sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{
    Choice, Query, RouterAction, RouterEvent, Settings,
    backend::{Backend, Hosts},
    resync::Pace,
    subset::{self, Ranking, Readers},
};
use crate::{
    prefix,
    record::{self, Model},
    request::Class,
};

/// Candidates compared for each choice within a group of zones.
const CANDIDATES: usize = 2;

/// Candidates compared for urgent requests, which are few and gain most.
const URGENT_CANDIDATES: usize = 4;

/// Random draws for the candidates before a scan.
const DRAWS: usize = 6;

/// Greatest number of back ends looked at in a scan.
const MAX_SCAN: usize = 64;

/// Time after which to retry where no back end says better.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest time after which to retry.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);

/// Thousandths of one.
const MILLI: i64 = 1000;

/// Back ends of a route.
#[derive(Debug)]
struct Pool {
    route: record::Route,
    near: Vec<Arc<str>>,
    far: Vec<Arc<str>>,
    /// Back ends of the own zone that this host reads.
    near_read: Vec<Arc<str>>,
    /// Back ends of other zones that this host reads.
    far_read: Vec<Arc<str>>,
    /// Back ends that it doesn't read.
    rest: Vec<Arc<str>>,
}

impl Pool {
    fn open(route: record::Route) -> Self {
        let (near, far) = (Vec::new(), Vec::new());
        let (near_read, far_read, rest) = (Vec::new(), Vec::new(), Vec::new());
        Self { route, near, far, near_read, far_read, rest }
    }
}

/// A back end that may be chosen, with its cost.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Candidate {
    cost: i64,
    backend: Arc<str>,
}

/// Chooses a back end for each request of one host.
#[derive(Debug)]
pub struct Router {
    setting: Settings,
    backends: BTreeMap<Arc<str>, Box<Backend>>,
    pools: BTreeMap<Arc<str>, Pool>,
    routes_of: BTreeMap<Arc<str>, Vec<Arc<str>>>,
    prefixes: prefix::Index,
    resyncs: Pace,
    hosts: Hosts,
    /// Hosts among which the reading of back ends is divided; `None` where this host reads all.
    ranking: Option<Ranking>,
    /// Back ends, routes or hosts have changed since the reading was divided.
    dirty: bool,
    /// The back ends to read have changed since that was told.
    reads_changed: bool,
    /// Requests of this host at back ends that it doesn't read.
    unread: u64,
    /// Greatest number of them, the share of this host in their slots.
    unread_limit: u64,
    rng: StdRng,
}

impl Router {
    /// Opens a router without back ends.
    pub fn new(setting: Settings) -> Self {
        let rng = StdRng::seed_from_u64(setting.seed);
        Self {
            setting,
            backends: BTreeMap::new(),
            pools: BTreeMap::new(),
            routes_of: BTreeMap::new(),
            prefixes: prefix::Index::default(),
            resyncs: Pace::default(),
            hosts: Hosts { count: 1, index: 0 },
            ranking: None,
            dirty: false,
            reads_changed: false,
            unread: 0,
            unread_limit: 0,
            rng,
        }
    }

    /// Returns the routes that a back end serves.
    pub fn routes_of(&self, backend: &str) -> impl Iterator<Item = &Arc<str>> {
        self.routes_of.get(backend).into_iter().flatten()
    }

    /// Returns the number after which to read a back end's cache events.
    pub fn cache_after(&self, backend: &str) -> u64 {
        self.prefixes.after(backend)
    }

    /// Returns true where a back end takes no new work, by any source.
    pub fn leaving(&self, now: Duration, backend: &str) -> bool {
        self.backends.get(backend).is_none_or(|backend| backend.leaving(now))
    }

    /// Returns true where this host reads the reports of a back end.
    pub fn reads(&self, backend: &str) -> bool {
        self.backends.get(backend).is_some_and(|backend| backend.read)
    }

    /// Takes an event and pushes the actions that follow from it.
    pub fn handle(&mut self, now: Duration, event: RouterEvent, actions: &mut Vec<RouterAction>) {
        match event {
            RouterEvent::Backend(record) => self.put_backend(record),
            RouterEvent::BackendDeleted(name) => self.delete_backend(&name),
            RouterEvent::Route(record) => self.put_route(record),
            RouterEvent::RouteDeleted(name) => self.delete_route(&name),
            RouterEvent::HostIndex { count, index } => {
                let hosts = Hosts { count: count.max(1), index };
                self.dirty |= self.hosts != hosts;
                self.hosts = hosts;
            }
            RouterEvent::Readers { own, hosts } => {
                let ranking = Some(Ranking::open(&own, &hosts));
                self.dirty |= self.ranking != ranking;
                self.ranking = ranking;
            }
            RouterEvent::ChangesApplied => {
                self.divide();
                if std::mem::take(&mut self.reads_changed) {
                    actions.push(RouterAction::UpdateReadSet);
                }
            }
            RouterEvent::Cache { backend, after, events, next } => {
                if self.backends.contains_key(&backend) {
                    self.prefixes.apply(&backend, after, &events, next);
                    self.resync(now, &backend, actions);
                }
            }
            RouterEvent::Load(name, load) => {
                self.resync(now, &name, actions);
                if let Some(backend) = self.backends.get_mut(&name)
                    && backend.read
                {
                    backend.report(now, load, self.setting.max_report_age);
                    backend.share_room(&self.setting, self.hosts);
                }
            }
            RouterEvent::State { backend, models, leaving } => {
                self.with(&backend, |backend, _| backend.state(models, leaving));
            }
            RouterEvent::Listed { backend, leaving } => {
                let before = self.backends.get(&backend).map(|backend| backend.shared_leaving());
                self.with(&backend, |backend, _| backend.listed(leaving));
                let after = self.backends.get(&backend).map(|backend| backend.shared_leaving());
                self.dirty |= before != after;
            }
            RouterEvent::Refused(name, refusal) => {
                self.with(&name, |backend, _| backend.refused(now, refusal));
            }
            RouterEvent::Health { backend, served: true } => {
                self.with(&backend, |backend, _| backend.served());
            }
            RouterEvent::Health { backend, served: false } => {
                self.with(&backend, |backend, rng| backend.failed(now, rng));
            }
            RouterEvent::Finished { backend: name, sent_at: sent } => {
                let Some(backend) = self.backends.get_mut(&name) else { return };
                let before = backend.unread_own();
                backend.finished(now, sent);
                self.unread -= before - backend.unread_own();
            }
        }
    }

    /// Chooses a back end and counts the request there.
    pub fn choose(&mut self, now: Duration, query: &Query) -> Choice {
        self.divide();
        let Some(pool) = self.pools.remove(&query.route) else {
            return Choice::Unavailable { retry_after: RETRY_AFTER };
        };
        let mut choice = self.choose_in(now, &pool, query, &query.avoid);
        if matches!(choice, Choice::Unavailable { .. }) && !query.avoid.is_empty() {
            choice = self.choose_in(now, &pool, query, &[]);
        }
        self.pools.insert(query.route.clone(), pool);
        if let Choice::Backend(name) = &choice {
            self.with(name, |backend, _| backend.sent(now, query.class));
            self.unread += u64::from(!self.reads(name));
            self.prefixes.expect(name, &query.prefixes);
        }
        choice
    }

    /// Asks for all cache events of a back end where some are missing and the pause is over.
    fn resync(&mut self, now: Duration, name: &Arc<str>, actions: &mut Vec<RouterAction>) {
        if self.reads(name) && self.prefixes.resyncing(name) && self.resyncs.allow(now, name) {
            actions.push(RouterAction::Resync(name.clone()));
        }
    }

    fn with(&mut self, name: &str, change: impl FnOnce(&mut Backend, &mut StdRng)) {
        if let Some(backend) = self.backends.get_mut(name) {
            change(backend, &mut self.rng);
        }
    }

    fn choose_in(
        &mut self,
        now: Duration,
        pool: &Pool,
        query: &Query,
        avoid: &[Arc<str>],
    ) -> Choice {
        let model = pool.route.model.as_ref();
        let mut full = false;
        let near = self.best(now, &pool.near_read, model, query, avoid, &mut full);
        let roomy = near.as_ref().is_some_and(|near| near.cost < MILLI);
        let far = match roomy {
            true => None,
            false => self.best(now, &pool.far_read, model, query, avoid, &mut full),
        };
        let mut best = near.into_iter().chain(far).min_by_key(|candidate| candidate.cost);
        if let Some(hinted) = self.hinted(now, pool, query, avoid) {
            let better = best.as_ref().is_none_or(|best| hinted.cost <= best.cost);
            best = if better { Some(hinted) } else { best };
        }
        let best = best.or_else(|| self.beyond(now, pool, query, avoid, &mut full));
        match best {
            Some(candidate) => Choice::Backend(candidate.backend),
            None if full => Choice::Full,
            None => Choice::Unavailable { retry_after: self.retry_after(now, pool) },
        }
    }

    /// Returns the better of a few random back ends of a list that can take the request.
    fn best(
        &mut self,
        now: Duration,
        list: &[Arc<str>],
        model: Option<&Model>,
        query: &Query,
        avoid: &[Arc<str>],
        full: &mut bool,
    ) -> Option<Candidate> {
        if list.is_empty() {
            return None;
        }
        let wanted = match query.class {
            Class::Urgent => URGENT_CANDIDATES,
            Class::Normal | Class::Long => CANDIDATES,
        };
        let mut found: Vec<Candidate> = Vec::with_capacity(wanted);
        let start = self.rng.random_range(0..list.len());
        let draws: Vec<usize> = (0..DRAWS).map(|_| self.rng.random_range(0..list.len())).collect();
        let scan = (0..list.len().min(MAX_SCAN)).map(|i| (start + i) % list.len());
        for i in draws.into_iter().chain(scan) {
            let name = &list[i];
            if avoid.contains(name) || found.iter().any(|c| c.backend == *name) {
                continue;
            }
            match self.cost(now, name, model, query) {
                Cost::Ineligible => {}
                Cost::Full => *full = true,
                Cost::Milli(cost) => found.push(Candidate { cost, backend: name.clone() }),
            }
            if found.len() == wanted {
                break;
            }
        }
        found.into_iter().min_by_key(|candidate| candidate.cost)
    }

    /// Returns a back end that this host doesn't read, for a request that no other can take. Looks at
    /// each back end of the route before it returns that none can serve the request.
    fn beyond(
        &mut self,
        now: Duration,
        pool: &Pool,
        query: &Query,
        avoid: &[Arc<str>],
        full: &mut bool,
    ) -> Option<Candidate> {
        let model = pool.route.model.as_ref();
        let found = self.best(now, &pool.rest, model, query, avoid, full);
        if found.is_some() || *full {
            return found;
        }
        let all = pool.near_read.iter().chain(&pool.far_read).chain(&pool.rest);
        for name in all.filter(|name| !avoid.contains(name)) {
            match self.cost(now, name, model, query) {
                Cost::Ineligible => {}
                Cost::Full => *full = true,
                Cost::Milli(cost) => return Some(Candidate { cost, backend: name.clone() }),
            }
        }
        None
    }

    /// Returns the best back end that is likely to hold the prompt's prefix.
    fn hinted(
        &self,
        now: Duration,
        pool: &Pool,
        query: &Query,
        avoid: &[Arc<str>],
    ) -> Option<Candidate> {
        let found = self.prefixes.find(&query.prefixes)?;
        let model = pool.route.model.as_ref();
        let share = found.blocks as i64 * MILLI / query.prefixes.len() as i64;
        let worth = self.setting.affinity_milli * share / MILLI;
        let candidates = found.backends.iter().filter_map(|name| {
            let routed = self.routes_of.get(name).is_some_and(|r| r.contains(&query.route));
            if !routed || avoid.contains(name) {
                return None;
            }
            match self.cost(now, name, model, query) {
                Cost::Milli(cost) => Some(Candidate { cost: cost - worth, backend: name.clone() }),
                Cost::Full | Cost::Ineligible => None,
            }
        });
        candidates.min_by_key(|candidate| candidate.cost)
    }

    /// Returns the cost of a request at a back end, in thousandths of its slots.
    fn cost(&self, now: Duration, name: &str, model: Option<&Model>, query: &Query) -> Cost {
        let Some(backend) = self.backends.get(name) else { return Cost::Ineligible };
        if !backend.eligible(now, model) {
            return Cost::Ineligible;
        }
        if !backend.read && self.unread >= self.unread_limit {
            return Cost::Full;
        }
        let occupancy = backend.occupancy_milli(&self.setting, self.hosts.count);
        let limit = backend.limit_milli(&self.setting, query.class, query.starved);
        let shared = query.class == Class::Long && !query.starved && !backend.has_share();
        if occupancy >= limit || shared {
            return Cost::Full;
        }
        let load = i64::try_from(occupancy / u64::from(backend.slots())).unwrap_or(i64::MAX / 2);
        let far = backend.record.zone != self.setting.zone;
        Cost::Milli(load + if far { self.setting.cross_zone_cost_milli } else { 0 })
    }

    fn retry_after(&self, now: Duration, pool: &Pool) -> Duration {
        let names = pool.near.iter().chain(&pool.far).take(MAX_SCAN);
        let waits = names.filter_map(|name| Some(self.backends.get(name)?.retry_after(now)));
        let wait = waits.filter(|wait| !wait.is_zero()).min().unwrap_or(RETRY_AFTER);
        wait.clamp(RETRY_AFTER, RETRY_AFTER_MAX)
    }

    /// Divides the reading of back ends among the hosts anew, if anything has changed.
    fn divide(&mut self) {
        if !std::mem::take(&mut self.dirty) {
            return;
        }
        let mut places = self.places();
        let (mut rest_slots, mut unread) = (0, 0);
        for (name, backend) in &mut self.backends {
            let place = match self.ranking {
                None => Some(self.hosts),
                Some(_) => places.remove(name),
            };
            let some = place.filter(|place| place.count < self.hosts.count);
            self.reads_changed |= backend.divide(place.is_some(), some);
            unread += backend.unread_own();
            if !backend.read && !backend.shared_leaving() {
                rest_slots += u64::from(backend.slots());
            }
        }
        self.unread = unread;
        self.unread_limit = rest_slots.div_ceil(u64::from(self.hosts.count));
        for pool in self.pools.values_mut() {
            let read = |name: &&Arc<str>| self.backends.get(*name).is_some_and(|b| b.read);
            pool.near_read = pool.near.iter().filter(read).cloned().collect();
            pool.far_read = pool.far.iter().filter(read).cloned().collect();
            let all = pool.near.iter().chain(&pool.far);
            pool.rest = all.filter(|name| !read(name)).cloned().collect();
        }
    }

    /// Returns the back ends to read, with the place of this host among their readers.
    fn places(&self) -> BTreeMap<Arc<str>, Hosts> {
        let mut places = BTreeMap::new();
        let Some(ranking) = &self.ranking else { return places };
        let readers = self.readers(ranking);
        for pool in self.pools.values() {
            for (list, most) in [
                (&pool.near, subset::MAX_SAME_ZONE_READS),
                (&pool.far, subset::MAX_OTHER_ZONE_READS),
            ] {
                let mut ranked = Vec::new();
                for name in list {
                    let Some(backend) = self.backends.get(name) else { continue };
                    let (hash, zone) = (backend.hash(), &backend.record.zone);
                    let wanted = readers.get(name).copied().unwrap_or_default();
                    let Some(place) = ranking.place(hash, zone, wanted) else { continue };
                    ranked.push((Reverse(ranking.weight(hash)), name, place));
                }
                ranked.sort_by_key(|(weight, ..)| *weight);
                let kept = ranked.into_iter().take(most);
                places.extend(kept.map(|(_, name, place)| (name.clone(), place)));
            }
        }
        places
    }

    /// Returns how many hosts are to read each back end that some route uses.
    fn readers(&self, ranking: &Ranking) -> BTreeMap<Arc<str>, Readers> {
        let mut readers = BTreeMap::<Arc<str>, Readers>::new();
        for pool in self.pools.values() {
            let names = pool.near.iter().chain(&pool.far);
            let records = names.filter_map(|name| self.backends.get(name));
            let mut zones = BTreeMap::<&str, usize>::new();
            let mut in_all = 0;
            for backend in records.clone() {
                let counts = usize::from(!backend.shared_leaving());
                *zones.entry(&backend.record.zone).or_default() += counts;
                in_all += counts;
            }
            let needed: BTreeMap<&str, Readers> = zones
                .into_iter()
                .map(|(zone, count)| (zone, Readers::needed(ranking.count(zone), count, in_all)))
                .collect();
            for backend in records {
                let wanted = needed.get(&*backend.record.zone).copied().unwrap_or_default();
                let entry = readers.entry(backend.record.name.clone()).or_default();
                *entry = entry.max(wanted);
            }
        }
        readers
    }

    fn put_backend(&mut self, record: record::Backend) {
        self.dirty = true;
        self.reads_changed = true;
        let name = record.name.clone();
        let moved = self.backends.get(&name).is_none_or(|old| old.record.zone != record.zone);
        match self.backends.get_mut(&name) {
            Some(backend) if backend.record.address == record.address => backend.record = record,
            _ => {
                self.prefixes.forget(&name);
                self.backends.insert(name.clone(), Box::new(Backend::open(record)));
                self.mark_urgent(&name);
            }
        }
        if moved {
            self.place(&name);
        }
    }

    fn delete_backend(&mut self, name: &Arc<str>) {
        self.dirty = true;
        self.reads_changed = true;
        self.backends.remove(name);
        self.prefixes.forget(name);
        self.resyncs.forget(name);
        self.place(name);
    }

    fn put_route(&mut self, route: record::Route) {
        self.delete_route(&route.name.clone());
        let name = route.name.clone();
        let mut pool = Pool::open(route);
        for backend in &pool.route.backends {
            let routes = self.routes_of.entry(backend.clone()).or_default();
            if !routes.contains(&name) {
                routes.push(name.clone());
            }
        }
        for backend in pool.route.backends.clone() {
            self.place_in(&mut pool, &backend);
        }
        let backends = pool.route.backends.clone();
        self.pools.insert(name, pool);
        for backend in &backends {
            self.mark_urgent(backend);
        }
    }

    fn delete_route(&mut self, name: &Arc<str>) {
        self.dirty = true;
        let Some(pool) = self.pools.remove(name) else { return };
        for backend in &pool.route.backends {
            let Some(routes) = self.routes_of.get_mut(backend) else { continue };
            routes.retain(|route| route != name);
            if routes.is_empty() {
                self.routes_of.remove(backend);
            }
        }
        for backend in &pool.route.backends {
            self.mark_urgent(backend);
        }
    }

    /// Sorts a back end into the lists of its routes anew.
    fn place(&mut self, backend: &Arc<str>) {
        for route in self.routes_of.get(backend).cloned().unwrap_or_default() {
            let Some(mut pool) = self.pools.remove(&route) else { continue };
            self.place_in(&mut pool, backend);
            self.pools.insert(route, pool);
        }
        self.mark_urgent(backend);
    }

    /// Notes whether some route of urgent requests uses a back end.
    fn mark_urgent(&mut self, name: &Arc<str>) {
        let mut routes = self.routes_of.get(name).into_iter().flatten();
        let urgent = routes.any(|route| {
            self.pools.get(route).is_some_and(|pool| pool.route.class == Class::Urgent)
        });
        if let Some(backend) = self.backends.get_mut(name) {
            backend.urgent = urgent;
        }
    }

    fn place_in(&self, pool: &mut Pool, name: &Arc<str>) {
        pool.near.retain(|listed| listed != name);
        pool.far.retain(|listed| listed != name);
        let Some(backend) = self.backends.get(name) else { return };
        match backend.record.zone == self.setting.zone {
            true => pool.near.push(name.clone()),
            false => pool.far.push(name.clone()),
        }
    }
}

/// Cost of a request at a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cost {
    /// It can't serve the request.
    Ineligible,
    /// It can't take the request now.
    Full,
    /// In thousandths of its slots.
    Milli(i64),
}
