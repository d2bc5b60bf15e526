//! A load of sessions from many hosts before engines with a modelled memory.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use gateway::{
    backend::{Entry, HealthSignal, Load},
    cache::Memory,
    placement::{Backends, Decision, Requirements},
    request::Prompt,
};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

const STEP_MS: u64 = 5;

/// Tokens that an engine reads in one step.
const STEP_TOKENS: u64 = 50 * STEP_MS;

/// Time that an engine takes for one output token.
const TOKEN_MS: u64 = 12;

/// Maximum number of requests that an engine runs at the same time.
const SLOTS: u32 = 64;

/// Time from the start of the load for which nothing is measured.
const WARM_UP_MS: u64 = 30_000;

const DURATION_MS: u64 = 120_000;

const SYSTEM_TOKENS: u64 = 500;
const SESSION_TOKENS: u64 = 4_900;
const END_TOKENS: u64 = 6_600;
const OUTPUT_TOKENS: u64 = 300;

/// A load and the engines before which it is played.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub hosts: usize,
    pub engines: usize,
    /// Tokens that one engine holds.
    pub capacity: u64,
    /// Requests of all callers per second.
    pub per_s: f64,
    /// Number of sessions at the same time.
    pub sessions: usize,
    /// Mean number of requests of a session.
    pub session_requests: f64,
    pub seed: u64,
}

/// What callers got.
#[derive(Debug, Clone, Copy)]
pub struct Outcome {
    /// Mean time to the first event, and the time that 95 % of requests keep to, in milliseconds.
    pub first_ms: (u64, u64),
    /// Tokens of shared parts that an engine read although one had read them before, in percent of
    /// the tokens of all shared parts.
    pub read_again_percent: f64,
    pub answered: usize,
    pub refused: usize,
}

/// A part of a prompt in the memory of an engine.
#[derive(Debug)]
struct Part {
    tokens: u64,
    last_used: u64,
    /// Number of running requests that use it.
    users: u32,
}

#[derive(Debug)]
struct Job {
    host: usize,
    prompt: Prompt,
    prefill_tokens: u64,
    arrived_ms: u64,
    started_ms: u64,
    /// Tokens that remain to be read.
    unread: u64,
    first_event_ms: Option<u64>,
}

impl Job {
    fn parts(&self) -> impl Iterator<Item = (u64, u64)> {
        let parts = self.prompt.shared.iter().chain(&self.prompt.end);
        parts.map(|part| (part.prefix_hash, part.tokens))
    }

    /// Returns the time of its last event.
    fn end_ms(&self) -> Option<u64> {
        Some(self.first_event_ms? + self.prompt.output * TOKEN_MS)
    }
}

/// An engine that evicts the least recently used parts.
#[derive(Debug, Default)]
struct Engine {
    waiting: VecDeque<Job>,
    running: Vec<Job>,
    parts: HashMap<u64, Part>,
    /// Tokens of the parts, and of the outputs of running requests.
    occupied: u64,
}

impl Engine {
    /// Makes room for a number of tokens beside the parts that are in use or listed; returns whether
    /// there is.
    fn make_room(&mut self, capacity: u64, tokens: u64, needed: &HashSet<u64>) -> bool {
        while self.occupied + tokens > capacity {
            let unused =
                self.parts.iter().filter(|(hash, part)| part.users == 0 && !needed.contains(hash));
            let oldest = unused.min_by_key(|(hash, part)| (part.last_used, **hash));
            let Some(oldest) = oldest.map(|(hash, _)| *hash) else { return false };
            self.occupied -= self.parts.remove(&oldest).expect("a part").tokens;
        }
        true
    }

    /// Starts the first waiting request if it has room; returns the shared tokens that it reads and
    /// that are in `read_before`.
    fn start_next(
        &mut self,
        now_ms: u64,
        capacity: u64,
        read_before: &mut HashSet<u64>,
    ) -> Option<u64> {
        if self.running.len() >= SLOTS as usize {
            return None;
        }
        let job = self.waiting.front()?;
        let needed: HashSet<u64> = job.parts().map(|(hash, _)| hash).collect();
        let missing: Vec<(u64, u64)> =
            job.parts().filter(|(hash, _)| !self.parts.contains_key(hash)).collect();
        let unread: u64 = missing.iter().map(|(_, tokens)| tokens).sum();
        let tokens = unread + job.prompt.output;
        if !self.make_room(capacity, tokens, &needed) {
            return None;
        }
        let mut job = self.waiting.pop_front().expect("a request");
        let end = job.prompt.end.as_ref().map(|end| end.prefix_hash);
        let mut read_again = 0;
        for (hash, tokens) in &missing {
            self.parts.insert(*hash, Part { tokens: *tokens, last_used: now_ms, users: 0 });
            if !read_before.insert(*hash) && Some(*hash) != end {
                read_again += tokens;
            }
        }
        self.occupied += tokens;
        self.touch(now_ms, &job, |users| users + 1);
        (job.unread, job.started_ms) = (unread, now_ms);
        self.running.push(job);
        Some(read_again)
    }

    fn touch(&mut self, now_ms: u64, job: &Job, change: impl Fn(u32) -> u32) {
        for (hash, _) in job.parts() {
            let part = self.parts.get_mut(&hash).expect("in use");
            (part.last_used, part.users) = (now_ms, change(part.users));
        }
    }

    /// Reads prompts in the order of their arrival; returns the requests whose first event comes.
    fn read(&mut self, now_ms: u64) -> Vec<usize> {
        let mut left = STEP_TOKENS;
        let mut begun = Vec::new();
        for (index, job) in self.running.iter_mut().enumerate() {
            if job.first_event_ms.is_some() {
                continue;
            }
            let read = left.min(job.unread);
            (job.unread, left) = (job.unread - read, left - read);
            if job.unread > 0 {
                break;
            }
            job.first_event_ms = Some(now_ms);
            begun.push(index);
        }
        begun
    }

    /// Removes the requests that have ended.
    fn finish(&mut self, now_ms: u64) -> Vec<Job> {
        let is_over = |job: &mut Job| job.end_ms().is_some_and(|end_ms| end_ms <= now_ms);
        let over: Vec<Job> = self.running.extract_if(.., is_over).collect();
        for job in &over {
            self.touch(now_ms, job, |users| users - 1);
            self.occupied -= job.prompt.output;
        }
        over
    }

    fn load(&self) -> Load {
        Load { running: self.running.len() as u32, waiting: self.waiting.len() as u32 }
    }
}

/// Plays a load; with `is_stated` the hosts know the capacity of the engines.
pub fn play(scenario: &Scenario, is_stated: bool) -> Outcome {
    let names: Vec<Arc<str>> = (0..scenario.engines).map(|n| format!("e{n}").into()).collect();
    let list: Vec<Entry> = names.iter().map(entry).collect();
    let mut hosts: Vec<Backends> = (0..scenario.hosts)
        .map(|number| {
            let seed = scenario.seed * 1000 + number as u64;
            let mut host = Backends::new(&format!("h{number}"), StdRng::seed_from_u64(seed));
            host.replace(Duration::ZERO, list.clone(), false);
            host
        })
        .collect();
    let memory =
        Memory { tokens: scenario.capacity, slots: Some(SLOTS), hosts: scenario.hosts as u64 };
    let memory = is_stated.then_some(memory);
    let service: Arc<str> = "s".into();
    let mut rng = StdRng::seed_from_u64(scenario.seed);
    let mut engines: Vec<Engine> = names.iter().map(|_| Engine::default()).collect();
    let mut sessions: Vec<u64> = (0..scenario.sessions as u64).collect();
    let (mut next_session, mut next_end) = (scenario.sessions as u64, 0);
    let mut read_before = HashSet::new();
    let (mut first_ms, mut shared, mut read_again, mut refused) = (Vec::new(), 0, 0, 0);
    for step in 0..DURATION_MS / STEP_MS {
        let now_ms = step * STEP_MS;
        let now = Duration::from_millis(now_ms);
        let is_measured = now_ms >= WARM_UP_MS;
        if rng.random_bool(scenario.per_s * STEP_MS as f64 / 1000.0) {
            let slot = rng.random_range(0..sessions.len());
            let prompt = prompt(sessions[slot], next_end);
            next_end += 1;
            if rng.random_bool(1.0 / scenario.session_requests) {
                sessions[slot] = next_session;
                next_session += 1;
            }
            let number = rng.random_range(0..hosts.len());
            let host = &mut hosts[number];
            let requirements = Requirements {
                service: &service,
                zone: "a",
                prompt: Some(&prompt),
                memory,
                tried: &[],
                target_latency: Duration::from_millis(800),
                time_left: Duration::from_secs(15),
                priority: 0,
                stream_ranks: None,
                connected: None,
            };
            match host.place(now, &requirements) {
                Decision::Send { to, prefill_tokens, .. } => {
                    let backend = host.get_mut(&to.id).expect("listed");
                    backend.start_request(now, Some(&prompt), prefill_tokens);
                    host.record_prompt(now, &service, &prompt, prefill_tokens, false);
                    let engine = names.iter().position(|name| *name == to.id).expect("known");
                    if is_measured {
                        shared += prompt.shared_tokens();
                    }
                    engines[engine].waiting.push_back(Job {
                        host: number,
                        prompt,
                        prefill_tokens,
                        arrived_ms: now_ms,
                        started_ms: 0,
                        unread: 0,
                        first_event_ms: None,
                    });
                }
                Decision::Refuse { .. } => refused += 1,
            }
        }
        for (engine, name) in engines.iter_mut().zip(&names) {
            while let Some(again) = engine.start_next(now_ms, scenario.capacity, &mut read_before) {
                read_again += if is_measured { again } else { 0 };
            }
            let load = engine.load();
            for index in engine.read(now_ms) {
                let job = &engine.running[index];
                let host = &mut hosts[job.host];
                host.record_activity(now, name);
                let backend = host.get_mut(name).expect("listed");
                backend.record_load(now, load);
                backend.finish_prefill(job.prefill_tokens);
                if is_measured {
                    first_ms.push(now_ms - job.arrived_ms);
                }
            }
            if step % 20 == 0 {
                for job in engine.running.iter().filter(|job| job.first_event_ms.is_some()) {
                    hosts[job.host].record_activity(now, name);
                }
            }
            for job in engine.finish(now_ms) {
                let elapsed = Duration::from_millis(now_ms - job.arrived_ms);
                let host = &mut hosts[job.host];
                host.finish_prompt(name, job.prompt.max_charge(), Some(elapsed));
                host.finish_request(now, name, HealthSignal::Healthy);
            }
        }
    }
    first_ms.sort_unstable();
    let mean = first_ms.iter().sum::<u64>() / first_ms.len() as u64;
    Outcome {
        first_ms: (mean, first_ms[first_ms.len() * 95 / 100]),
        read_again_percent: read_again as f64 / shared as f64 * 100.0,
        answered: first_ms.len(),
        refused,
    }
}

fn entry(id: &Arc<str>) -> Entry {
    Entry {
        id: id.clone(),
        service: "s".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "a".into(),
        slots: SLOTS,
        draining: false,
        started_unix_ms: 1,
        sequence: 1,
        cold_until_ms: 0,
    }
}

fn prompt(session: u64, end: u64) -> Prompt {
    let (session, end) = (format!("session {session}"), format!("end {end}"));
    let parts =
        [("system", SYSTEM_TOKENS), (session.as_str(), SESSION_TOKENS), (end.as_str(), END_TOKENS)];
    let input = SYSTEM_TOKENS + SESSION_TOKENS + END_TOKENS;
    Prompt::new(input, OUTPUT_TOKENS, parts).with_unshared_end()
}
