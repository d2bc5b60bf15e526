//! Chooses among the backend servers of a route.

use std::{cmp::Reverse, collections::BTreeMap, sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{
    Choice, Query, RouterAction, RouterEvent, Settings,
    backend::{Backend, HostIndex},
    resync::ResyncLimiter,
    subset::{self, Ranking, Readers},
};
use crate::{
    prefix,
    record::{self, Model},
    request::Class,
};

/// Number of candidates compared per choice, each in the zone of this host and in the other zones.
const CANDIDATES: usize = 2;

/// Number of candidates compared for urgent requests, which are few and benefit most.
const URGENT_CANDIDATES: usize = 4;

/// Number of candidates drawn at random before a scan.
const RANDOM_DRAWS: usize = 6;

/// Maximum number of backend servers examined in a scan.
const MAX_SCAN: usize = 64;

/// Minimum retry delay, also used if no backend server is in a backoff.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum retry delay.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Number of thousandths in a whole.
const MILLI: i64 = 1000;

/// Backend servers of a route.
#[derive(Debug)]
struct Pool {
    route: record::Route,
    same_zone: Vec<Arc<str>>,
    other_zones: Vec<Arc<str>>,
    /// Backend servers in the zone of this host whose reports it reads.
    same_zone_read: Vec<Arc<str>>,
    /// Backend servers in other zones whose reports it reads.
    other_zones_read: Vec<Arc<str>>,
    /// Backend servers whose reports it doesn't read.
    unread: Vec<Arc<str>>,
}

impl Pool {
    fn new(route: record::Route) -> Self {
        let (same_zone, other_zones) = (Vec::new(), Vec::new());
        let (same_zone_read, other_zones_read, unread) = (Vec::new(), Vec::new(), Vec::new());
        Self { route, same_zone, other_zones, same_zone_read, other_zones_read, unread }
    }
}

/// A backend server that can take the request, with its cost.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Candidate {
    /// Cost in thousandths of the backend server's slots.
    cost: i64,
    backend: Arc<str>,
}

/// Chooses a backend server for each request of one host.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    backends: BTreeMap<Arc<str>, Box<Backend>>,
    pools: BTreeMap<Arc<str>, Pool>,
    /// Names of the routes that list a backend server, by its name.
    routes_of: BTreeMap<Arc<str>, Vec<Arc<str>>>,
    prefixes: prefix::Index,
    resync_limiter: ResyncLimiter,
    /// Index of this host among the hosts that accept requests.
    host_index: HostIndex,
    /// Ranking of the hosts that divide the reading of load reports; `None` while this host reads
    /// all of them.
    ranking: Option<Ranking>,
    /// Whether backend servers, routes or hosts have changed since [`Router::update_readers`].
    readers_stale: bool,
    /// Whether the read set has changed since the last [`RouterAction::UpdateReadSet`].
    read_set_changed: bool,
    /// Number of requests of this host in flight at backend servers that it doesn't read.
    unread_in_flight: u64,
    /// Maximum of `unread_in_flight`: an equal share for each host of the slots of these backend
    /// servers.
    unread_limit: u64,
    rng: StdRng,
}

impl Router {
    /// Returns a router without backend servers.
    pub fn new(settings: Settings) -> Self {
        let rng = StdRng::seed_from_u64(settings.seed);
        Self {
            settings,
            backends: BTreeMap::new(),
            pools: BTreeMap::new(),
            routes_of: BTreeMap::new(),
            prefixes: prefix::Index::default(),
            resync_limiter: ResyncLimiter::default(),
            host_index: HostIndex { count: 1, index: 0 },
            ranking: None,
            readers_stale: false,
            read_set_changed: false,
            unread_in_flight: 0,
            unread_limit: 0,
            rng,
        }
    }

    /// Returns the names of the routes that list a backend server.
    pub fn routes_of(&self, backend: &str) -> impl Iterator<Item = &Arc<str>> {
        self.routes_of.get(backend).into_iter().flatten()
    }

    /// Returns the sequence number after which to read a backend server's cache events.
    pub fn cache_after(&self, backend: &str) -> u64 {
        self.prefixes.read_after(backend)
    }

    /// Returns whether a backend server is unknown, or leaving according to any source.
    pub fn is_leaving(&self, now: Duration, backend: &str) -> bool {
        self.backends.get(backend).is_none_or(|backend| backend.is_leaving(now))
    }

    /// Returns whether this host reads the load reports of a backend server.
    pub fn reads(&self, backend: &str) -> bool {
        self.backends.get(backend).is_some_and(|backend| backend.read)
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now: Duration, event: RouterEvent, actions: &mut Vec<RouterAction>) {
        match event {
            RouterEvent::Backend(record) => self.put_backend(record),
            RouterEvent::BackendDeleted(name) => self.delete_backend(&name),
            RouterEvent::Route(record) => self.put_route(record),
            RouterEvent::RouteDeleted(name) => self.delete_route(&name),
            RouterEvent::HostIndex { count, index } => {
                let host_index = HostIndex { count: count.max(1), index };
                self.readers_stale |= self.host_index != host_index;
                self.host_index = host_index;
            }
            RouterEvent::Readers { own, hosts } => {
                let ranking = Some(Ranking::new(&own, &hosts));
                self.readers_stale |= self.ranking != ranking;
                self.ranking = ranking;
            }
            RouterEvent::ChangesApplied => {
                self.update_readers();
                if std::mem::take(&mut self.read_set_changed) {
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
                    backend.set_load(now, load, self.settings.max_report_age);
                    backend.update_long_quota(&self.settings, self.host_index);
                }
            }
            RouterEvent::State { backend, models, leaving } => {
                self.update(&backend, |backend, _| backend.set_state(models, leaving));
            }
            RouterEvent::Listed { backend, leaving } => {
                let before =
                    self.backends.get(&backend).map(|backend| backend.is_leaving_for_all_hosts());
                self.update(&backend, |backend, _| backend.set_listed(leaving));
                let after =
                    self.backends.get(&backend).map(|backend| backend.is_leaving_for_all_hosts());
                self.readers_stale |= before != after;
            }
            RouterEvent::Refused(name, refusal) => {
                self.update(&name, |backend, _| backend.record_refusal(now, refusal));
            }
            RouterEvent::Health { backend, served: true } => {
                self.update(&backend, |backend, _| backend.record_success());
            }
            RouterEvent::Health { backend, served: false } => {
                self.update(&backend, |backend, rng| backend.record_failure(now, rng));
            }
            RouterEvent::Finished { backend: name, sent_at } => {
                let Some(backend) = self.backends.get_mut(&name) else { return };
                let before = backend.unread_in_flight();
                backend.record_finished(now, sent_at);
                self.unread_in_flight -= before - backend.unread_in_flight();
            }
        }
    }

    /// Chooses a backend server and adds the request to its load.
    pub fn choose(&mut self, now: Duration, query: &Query) -> Choice {
        self.update_readers();
        let Some(pool) = self.pools.remove(&query.route) else {
            return Choice::Unavailable { retry_after: MIN_RETRY_AFTER };
        };
        let mut choice = self.choose_in_pool(now, &pool, query, &query.avoid);
        if matches!(choice, Choice::Unavailable { .. }) && !query.avoid.is_empty() {
            choice = self.choose_in_pool(now, &pool, query, &[]);
        }
        self.pools.insert(query.route.clone(), pool);
        if let Choice::Backend(name) = &choice {
            self.update(name, |backend, _| backend.record_sent(now, query.class));
            self.unread_in_flight += u64::from(!self.reads(name));
            self.prefixes.insert_predicted(name, &query.prefixes);
        }
        choice
    }

    /// Requests a full read of a backend server's cache events if some are missing and the rate
    /// limit permits it.
    fn resync(&mut self, now: Duration, name: &Arc<str>, actions: &mut Vec<RouterAction>) {
        if self.reads(name)
            && self.prefixes.is_resyncing(name)
            && self.resync_limiter.try_start(now, name)
        {
            actions.push(RouterAction::Resync(name.clone()));
        }
    }

    fn update(&mut self, name: &str, change: impl FnOnce(&mut Backend, &mut StdRng)) {
        if let Some(backend) = self.backends.get_mut(name) {
            change(backend, &mut self.rng);
        }
    }

    fn choose_in_pool(
        &mut self,
        now: Duration,
        pool: &Pool,
        query: &Query,
        avoid: &[Arc<str>],
    ) -> Choice {
        let model = pool.route.model.as_ref();
        let mut full = false;
        let same_zone =
            self.best_sampled(now, &pool.same_zone_read, model, query, avoid, &mut full);
        let has_free_slot = same_zone.as_ref().is_some_and(|candidate| candidate.cost < MILLI);
        let other_zones = match has_free_slot {
            true => None,
            false => self.best_sampled(now, &pool.other_zones_read, model, query, avoid, &mut full),
        };
        let mut best =
            same_zone.into_iter().chain(other_zones).min_by_key(|candidate| candidate.cost);
        if let Some(cached) = self.best_cached(now, pool, query, avoid) {
            let better = best.as_ref().is_none_or(|best| cached.cost <= best.cost);
            best = if better { Some(cached) } else { best };
        }
        let best = best.or_else(|| self.best_unread(now, pool, query, avoid, &mut full));
        match best {
            Some(candidate) => Choice::Backend(candidate.backend),
            None if full => Choice::Full,
            None => Choice::Unavailable { retry_after: self.retry_after(now, pool) },
        }
    }

    /// Returns the cheapest of a few random backend servers of a list that can take the request.
    ///
    /// Sets `full` if a backend server was rejected only because it is at its limit.
    fn best_sampled(
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
        let candidates = match query.class {
            Class::Urgent => URGENT_CANDIDATES,
            Class::Normal | Class::Long => CANDIDATES,
        };
        let mut found: Vec<Candidate> = Vec::with_capacity(candidates);
        let start = self.rng.random_range(0..list.len());
        let draws: Vec<usize> =
            (0..RANDOM_DRAWS).map(|_| self.rng.random_range(0..list.len())).collect();
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
            if found.len() == candidates {
                break;
            }
        }
        found.into_iter().min_by_key(|candidate| candidate.cost)
    }

    /// Returns a backend server that this host doesn't read, for a request that no other can take.
    ///
    /// Examines every backend server of the route before it returns that none can serve the
    /// request, including those that the samples missed.
    fn best_unread(
        &mut self,
        now: Duration,
        pool: &Pool,
        query: &Query,
        avoid: &[Arc<str>],
        full: &mut bool,
    ) -> Option<Candidate> {
        let model = pool.route.model.as_ref();
        let found = self.best_sampled(now, &pool.unread, model, query, avoid, full);
        if found.is_some() || *full {
            return found;
        }
        let all = pool.same_zone_read.iter().chain(&pool.other_zones_read).chain(&pool.unread);
        for name in all.filter(|name| !avoid.contains(name)) {
            match self.cost(now, name, model, query) {
                Cost::Ineligible => {}
                Cost::Full => *full = true,
                Cost::Milli(cost) => return Some(Candidate { cost, backend: name.clone() }),
            }
        }
        None
    }

    /// Returns the cheapest backend server that is likely to have the prompt's prefix in its cache.
    fn best_cached(
        &self,
        now: Duration,
        pool: &Pool,
        query: &Query,
        avoid: &[Arc<str>],
    ) -> Option<Candidate> {
        let found = self.prefixes.find(&query.prefixes)?;
        let model = pool.route.model.as_ref();
        let cached_milli = found.blocks as i64 * MILLI / query.prefixes.len() as i64;
        let credit = self.settings.affinity_milli * cached_milli / MILLI;
        let candidates = found.backends.iter().filter_map(|name| {
            let serves_route = self.routes_of.get(name).is_some_and(|r| r.contains(&query.route));
            if !serves_route || avoid.contains(name) {
                return None;
            }
            match self.cost(now, name, model, query) {
                Cost::Milli(cost) => Some(Candidate { cost: cost - credit, backend: name.clone() }),
                Cost::Full | Cost::Ineligible => None,
            }
        });
        candidates.min_by_key(|candidate| candidate.cost)
    }

    /// Returns the cost of a request at a backend server, in thousandths of its slots.
    fn cost(&self, now: Duration, name: &str, model: Option<&Model>, query: &Query) -> Cost {
        let Some(backend) = self.backends.get(name) else { return Cost::Ineligible };
        if !backend.is_eligible(now, model) {
            return Cost::Ineligible;
        }
        if !backend.read && self.unread_in_flight >= self.unread_limit {
            return Cost::Full;
        }
        let occupancy = backend.occupancy_milli(&self.settings, self.host_index.count);
        let limit = backend.limit_milli(&self.settings, query.class, query.starved);
        let over_quota = query.class == Class::Long && !query.starved && !backend.has_long_quota();
        if occupancy >= limit || over_quota {
            return Cost::Full;
        }
        let load = i64::try_from(occupancy / u64::from(backend.slots())).unwrap_or(i64::MAX / 2);
        let is_other_zone = backend.record.zone != self.settings.zone;
        Cost::Milli(load + if is_other_zone { self.settings.cross_zone_cost_milli } else { 0 })
    }

    fn retry_after(&self, now: Duration, pool: &Pool) -> Duration {
        let names = pool.same_zone.iter().chain(&pool.other_zones).take(MAX_SCAN);
        let waits = names.filter_map(|name| Some(self.backends.get(name)?.retry_after(now)));
        let wait = waits.filter(|wait| !wait.is_zero()).min().unwrap_or(MIN_RETRY_AFTER);
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Redistributes the reading of load reports among the hosts, if anything has changed.
    fn update_readers(&mut self) {
        if !std::mem::take(&mut self.readers_stale) {
            return;
        }
        let mut read_set = self.read_set();
        let (mut unread_slots, mut unread_in_flight) = (0, 0);
        for (name, backend) in &mut self.backends {
            let reader_index = match self.ranking {
                None => Some(self.host_index),
                Some(_) => read_set.remove(name),
            };
            let partial = reader_index.filter(|index| index.count < self.host_index.count);
            self.read_set_changed |= backend.set_readers(reader_index.is_some(), partial);
            unread_in_flight += backend.unread_in_flight();
            if !backend.read && !backend.is_leaving_for_all_hosts() {
                unread_slots += u64::from(backend.slots());
            }
        }
        self.unread_in_flight = unread_in_flight;
        self.unread_limit = unread_slots.div_ceil(u64::from(self.host_index.count));
        for pool in self.pools.values_mut() {
            let read =
                |name: &&Arc<str>| self.backends.get(*name).is_some_and(|backend| backend.read);
            pool.same_zone_read = pool.same_zone.iter().filter(read).cloned().collect();
            pool.other_zones_read = pool.other_zones.iter().filter(read).cloned().collect();
            let all = pool.same_zone.iter().chain(&pool.other_zones);
            pool.unread = all.filter(|name| !read(name)).cloned().collect();
        }
    }

    /// Returns the backend servers that this host is to read, with its index among their readers.
    fn read_set(&self) -> BTreeMap<Arc<str>, HostIndex> {
        let mut read_set = BTreeMap::new();
        let Some(ranking) = &self.ranking else { return read_set };
        let reader_counts = self.reader_counts(ranking);
        for pool in self.pools.values() {
            for (list, max) in [
                (&pool.same_zone, subset::MAX_SAME_ZONE_READS),
                (&pool.other_zones, subset::MAX_OTHER_ZONE_READS),
            ] {
                let mut ranked = Vec::new();
                for name in list {
                    let Some(backend) = self.backends.get(name) else { continue };
                    let (hash, zone) = (backend.hash(), &backend.record.zone);
                    let readers = reader_counts.get(name).copied().unwrap_or_default();
                    let Some(index) = ranking.reader_index(hash, zone, readers) else { continue };
                    ranked.push((Reverse(ranking.weight(hash)), name, index));
                }
                ranked.sort_by_key(|(weight, ..)| *weight);
                let kept = ranked.into_iter().take(max);
                read_set.extend(kept.map(|(_, name, index)| (name.clone(), index)));
            }
        }
        read_set
    }

    /// Returns how many hosts are to read each backend server that a route uses.
    fn reader_counts(&self, ranking: &Ranking) -> BTreeMap<Arc<str>, Readers> {
        let mut reader_counts = BTreeMap::<Arc<str>, Readers>::new();
        for pool in self.pools.values() {
            let names = pool.same_zone.iter().chain(&pool.other_zones);
            let records = names.filter_map(|name| self.backends.get(name));
            let mut zones = BTreeMap::<&str, usize>::new();
            let mut in_all = 0;
            for backend in records.clone() {
                let counts = usize::from(!backend.is_leaving_for_all_hosts());
                *zones.entry(&backend.record.zone).or_default() += counts;
                in_all += counts;
            }
            let needed: BTreeMap<&str, Readers> = zones
                .into_iter()
                .map(|(zone, count)| {
                    (zone, Readers::needed(ranking.count_by_zone(zone), count, in_all))
                })
                .collect();
            for backend in records {
                let readers = needed.get(&*backend.record.zone).copied().unwrap_or_default();
                let entry = reader_counts.entry(backend.record.name.clone()).or_default();
                *entry = entry.max(readers);
            }
        }
        reader_counts
    }

    fn put_backend(&mut self, record: record::Backend) {
        self.readers_stale = true;
        self.read_set_changed = true;
        let name = record.name.clone();
        let zone_changed =
            self.backends.get(&name).is_none_or(|old| old.record.zone != record.zone);
        match self.backends.get_mut(&name) {
            Some(backend) if backend.record.address == record.address => backend.record = record,
            _ => {
                self.prefixes.forget(&name);
                self.backends.insert(name.clone(), Box::new(Backend::new(record)));
                self.mark_urgent(&name);
            }
        }
        if zone_changed {
            self.update_pools(&name);
        }
    }

    fn delete_backend(&mut self, name: &Arc<str>) {
        self.readers_stale = true;
        self.read_set_changed = true;
        self.backends.remove(name);
        self.prefixes.forget(name);
        self.resync_limiter.forget(name);
        self.update_pools(name);
    }

    fn put_route(&mut self, route: record::Route) {
        self.delete_route(&route.name.clone());
        let name = route.name.clone();
        let mut pool = Pool::new(route);
        for backend in &pool.route.backends {
            let routes = self.routes_of.entry(backend.clone()).or_default();
            if !routes.contains(&name) {
                routes.push(name.clone());
            }
        }
        for backend in pool.route.backends.clone() {
            self.update_pool(&mut pool, &backend);
        }
        let backends = pool.route.backends.clone();
        self.pools.insert(name, pool);
        for backend in &backends {
            self.mark_urgent(backend);
        }
    }

    fn delete_route(&mut self, name: &Arc<str>) {
        self.readers_stale = true;
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

    /// Moves a backend server to the lists for its zone in all of its routes.
    fn update_pools(&mut self, backend: &Arc<str>) {
        for route in self.routes_of.get(backend).cloned().unwrap_or_default() {
            let Some(mut pool) = self.pools.remove(&route) else { continue };
            self.update_pool(&mut pool, backend);
            self.pools.insert(route, pool);
        }
        self.mark_urgent(backend);
    }

    /// Updates whether a route of urgent requests uses a backend server.
    fn mark_urgent(&mut self, name: &Arc<str>) {
        let mut routes = self.routes_of.get(name).into_iter().flatten();
        let urgent = routes.any(|route| {
            self.pools.get(route).is_some_and(|pool| pool.route.class == Class::Urgent)
        });
        if let Some(backend) = self.backends.get_mut(name) {
            backend.urgent = urgent;
        }
    }

    fn update_pool(&self, pool: &mut Pool, name: &Arc<str>) {
        pool.same_zone.retain(|listed| listed != name);
        pool.other_zones.retain(|listed| listed != name);
        let Some(backend) = self.backends.get(name) else { return };
        match backend.record.zone == self.settings.zone {
            true => pool.same_zone.push(name.clone()),
            false => pool.other_zones.push(name.clone()),
        }
    }
}

/// Cost of a request at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cost {
    /// The backend server can't serve the request.
    Ineligible,
    /// The backend server is at its limit.
    Full,
    /// Cost in thousandths of the backend server's slots.
    Milli(i64),
}
