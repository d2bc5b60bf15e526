//! Prompt parts that a model engine is expected to have cached, and its room for further requests.
//!
//! An engine evicts the least recently used parts when its running requests and the parts that it
//! keeps exceed its memory. It therefore keeps a part for as long as it takes until the distinct
//! parts that come in fill the memory beside the running requests. A host knows only what it sends
//! itself: it takes the other hosts to send as much, and requests to reach a random host. Of a
//! prompt that it sends again after some time, the share of such prompts therefore tells how likely
//! any other host has sent a prompt within that time.
//!
//! Without a stated capacity, a part counts as kept for a fixed time.

use std::{collections::HashMap, time::Duration};

use crate::{
    catalog::Engine,
    request::{Part, Prompt},
};

/// Time for which a part counts as kept if no capacity is stated, or too little was sent to tell.
pub const FIXED_RETENTION: Duration = Duration::from_secs(12);

/// Shortest time for which a part counts as kept. A part that was sent just now is there even if
/// the estimates of running requests exceed the memory.
const MIN_RETENTION: Duration = Duration::from_millis(500);

/// Ages in seconds at which this host's prompts are compared with those before. The last one is the
/// longest time for which a part counts as kept: later, the traffic that is known may be another.
const AGES_S: [f64; 7] = [1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0];

/// Ages in seconds of which the first that makes enough room is the age from which parts are
/// forgotten. None is below the fixed time, so that it holds for any number of parts.
const FORGOTTEN_AGES_S: [u64; 4] = [64, 32, 16, 12];

/// Number of remembered parts of one engine at which old ones are forgotten.
const MAX_ENGINE_PARTS: usize = 1024;

/// Number of remembered parts of one service at which old ones are forgotten.
const MAX_SERVICE_PARTS: usize = 8192;

/// Time in which the weight of what was sent falls to about a third. A rate over a shorter time
/// changes with single prompts at a host that sends few.
const RATE_DECAY: Duration = Duration::from_secs(30);

/// Time since the first prompt before which the rate isn't known.
const MIN_OBSERVATION: Duration = Duration::from_secs(10);

/// Number of recent prompts below which the rate isn't known.
const MIN_PROMPTS: f64 = 8.0;

/// Number of prompts over which usual values are averaged. Of 90 hosts, each sees about one in 90 of
/// a session's repeated prompts, so that a few hundred are needed to tell how common they are.
const AVERAGED_PROMPTS: f64 = 512.0;

/// Weight in prompts of the assumption that all prompts are repeated, which holds until others are
/// observed.
const REPEATED_WEIGHT: f64 = 1.0;

/// Memory of a service's model engines, and the hosts that send to them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Memory {
    /// Tokens that one engine holds, of running requests and kept parts together.
    pub tokens: u64,
    /// Maximum number of running requests of one engine, if stated.
    pub slots: Option<u32>,
    /// Number of hosts.
    pub hosts: u64,
}

impl Memory {
    /// Returns the memory of engines to which a number of hosts send; `None` if their capacity isn't
    /// stated.
    pub fn new(engine: Engine, hosts: u64) -> Option<Self> {
        let tokens = engine.capacity_tokens.filter(|tokens| *tokens > 0)?;
        Some(Self { tokens, slots: engine.slots, hosts: hosts.max(1) })
    }
}

/// How many of this host's recent prompts have a part that it had sent before.
#[derive(Debug, Default)]
struct Repeats {
    /// Number of prompts, weighted by how recent they are.
    prompts: f64,
    /// Number of those whose part was sent before within each of the ages.
    repeated: [f64; AGES_S.len()],
}

impl Repeats {
    /// Records a prompt whose part was last sent an age ago, if it was.
    fn record(&mut self, age: Option<Duration>) {
        self.prompts = averaged(self.prompts, 1.0);
        for (count, bound_s) in self.repeated.iter_mut().zip(AGES_S) {
            let is_repeated = age.is_some_and(|age| age.as_secs_f64() < bound_s);
            *count = averaged(*count, f64::from(u8::from(is_repeated)));
        }
    }

    /// Returns the probabilities that any of a number of hosts has sent a part within each of the
    /// ages; `weight` is the number of prompts that are assumed to be repeated.
    fn by_any(&self, hosts: u64, weight: f64) -> [f64; AGES_S.len()] {
        let prompts = (self.prompts + weight).max(1.0);
        let missed = |count: f64| (1.0 - (count + weight) / prompts).max(0.0);
        let hosts = i32::try_from(hosts).unwrap_or(i32::MAX);
        self.repeated.map(|count| 1.0 - missed(count).powi(hosts))
    }
}

/// Returns a sum over recent prompts with another one's value.
fn averaged(sum: f64, value: f64) -> f64 {
    sum * (1.0 - 1.0 / AVERAGED_PROMPTS) + value
}

/// What this host sent to the engines of one service.
#[derive(Debug, Default)]
pub struct Traffic {
    first_sent_at: Option<Duration>,
    last_sent_at: Duration,
    /// Number of prompts, tokens of their shared parts and of their ends, and tokens that aren't
    /// expected to be cached, weighted by age.
    recent: [f64; 4],
    /// Repeats of the last shared parts.
    sessions: Repeats,
    /// Repeats of the ends.
    ends: Repeats,
    /// Number of recent requests, and their input and output tokens.
    sizes: (f64, f64),
    /// Number of recent requests that have ended, and their time in seconds.
    times: (f64, f64),
    /// When each part was last sent, by its prefix hash.
    sent_at: HashMap<u64, Duration>,
}

impl Traffic {
    /// Records a prompt that is sent for the first time, of which `prefill_tokens` aren't expected to
    /// be cached, and returns the tokens of its shared parts that this host has sent before.
    pub fn record_sent(&mut self, now: Duration, prompt: &Prompt, prefill_tokens: u64) -> u64 {
        self.first_sent_at.get_or_insert(now);
        let decay = self.decay(now);
        self.last_sent_at = now;
        let end_tokens = prompt.end.as_ref().map_or(0, |end| end.tokens);
        let sent = [1, prompt.shared_tokens(), end_tokens, prefill_tokens];
        for (sum, sent) in self.recent.iter_mut().zip(sent) {
            *sum = *sum * decay + sent as f64;
        }
        let (count, sum) = self.sizes;
        self.sizes = (averaged(count, 1.0), averaged(sum, prompt.max_charge() as f64));
        let age =
            |part: &Part| self.sent_at.get(&part.prefix_hash).map(|at| now.saturating_sub(*at));
        if let Some(session) = prompt.shared.last() {
            self.sessions.record(age(session));
        }
        if let Some(end) = &prompt.end {
            self.ends.record(age(end));
        }
        self.record_repeat(now, prompt)
    }

    /// Records that a prompt is sent again by a retry, which says nothing about how often prompts
    /// come, and returns the tokens of its shared parts that this host has sent before.
    pub fn record_repeat(&mut self, now: Duration, prompt: &Prompt) -> u64 {
        forget_old(&mut self.sent_at, now, MAX_SERVICE_PARTS);
        let end = prompt.end.iter();
        self.sent_at.extend(end.map(|end| (end.prefix_hash, now)));
        let parts = prompt.shared.iter();
        let known = parts.filter(|part| self.sent_at.insert(part.prefix_hash, now).is_some());
        known.map(|part| part.tokens).sum()
    }

    /// Records that a request with a prompt has ended after a time with a whole response.
    pub fn record_end(&mut self, elapsed: Duration) {
        let (count, sum_s) = self.times;
        self.times = (averaged(count, 1.0), averaged(sum_s, elapsed.as_secs_f64()));
    }

    /// Returns the weight that what was recorded last has now.
    fn decay(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.last_sent_at);
        (-age.as_secs_f64() / RATE_DECAY.as_secs_f64()).exp()
    }

    /// Returns what all hosts together are expected to send to each of a number of engines.
    pub fn demand(&self, now: Duration, memory: Memory, engines: usize) -> Demand {
        let decay = self.decay(now);
        let elapsed = self.first_sent_at.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let is_known = elapsed >= MIN_OBSERVATION && self.recent[0] * decay >= MIN_PROMPTS;
        let decay_s = RATE_DECAY.as_secs_f64();
        let observed_s = decay_s * (1.0 - (-elapsed.as_secs_f64() / decay_s).exp());
        let scale = match is_known {
            true => decay * memory.hosts as f64 / engines.max(1) as f64 / observed_s,
            false => 0.0,
        };
        let [prompts_per_s, shared_per_s, ends_per_s, prefill_per_s] =
            self.recent.map(|sum| sum * scale);
        let sessions = self.sessions.by_any(memory.hosts, 0.0);
        let ends = self.ends.by_any(memory.hosts, 0.0);
        let mut incoming = [0.0; AGES_S.len()];
        let (mut tokens, mut former_s, mut former) = (0.0, 0.0, (0.0, 0.0));
        for (index, bound_s) in AGES_S.into_iter().enumerate() {
            let new_sessions = 1.0 - (former.0 + sessions[index]) / 2.0;
            let new_ends = 1.0 - (former.1 + ends[index]) / 2.0;
            let per_s = shared_per_s * new_sessions + ends_per_s * new_ends;
            tokens += (bound_s - former_s) * per_s;
            incoming[index] = tokens;
            (former_s, former) = (bound_s, (sessions[index], ends[index]));
        }
        let mean = |(count, sum): (f64, f64)| if count > 0.0 { sum / count } else { 0.0 };
        let usual_s = mean(self.times);
        Demand {
            memory,
            incoming: is_known.then_some(incoming),
            running_tokens: interpolate(&AGES_S, &incoming, usual_s),
            agreement: self.sessions.by_any(memory.hosts.saturating_sub(1), REPEATED_WEIGHT),
            usual_tokens: mean(self.sizes),
            usual_s,
            usual_running: prompts_per_s * usual_s,
            prefill_per_s,
        }
    }
}

/// What all hosts together are expected to send to each engine of a service.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    memory: Memory,
    /// Tokens of distinct parts that come in within each of the ages, if known.
    incoming: Option<[f64; AGES_S.len()]>,
    /// Tokens of distinct parts that come in while a request runs.
    running_tokens: f64,
    /// Probability that another host has sent a prompt within each of the ages.
    agreement: [f64; AGES_S.len()],
    /// Input and output tokens of a request.
    usual_tokens: f64,
    /// Time that a request takes, in seconds; 0 if unknown.
    usual_s: f64,
    /// Number of requests that run at one engine.
    usual_running: f64,
    /// Tokens that one engine reads per second.
    prefill_per_s: f64,
}

impl Demand {
    /// Returns the probability that another host has sent a prompt within an age.
    pub fn agreement(&self, age: Duration) -> f64 {
        interpolate(&AGES_S, &self.agreement, age.as_secs_f64())
    }

    /// Returns the share of its time for which an engine reads prompts that processes a number of
    /// tokens per millisecond; 0 if the rate of tokens is unknown.
    pub fn utilization(&self, tokens_per_ms: f64) -> f64 {
        self.prefill_per_s / 1000.0 / tokens_per_ms
    }

    /// Returns how long a part is kept from its send on in an engine that has a number of tokens left
    /// beside the running requests.
    ///
    /// A part stays while its request runs. Afterwards it is kept until the parts that came in
    /// before the running requests fill what these leave.
    fn retention(&self, left_tokens: f64) -> Duration {
        let Some(incoming) = &self.incoming else { return FIXED_RETENTION };
        let retention_s = interpolate(incoming, &AGES_S, self.running_tokens + left_tokens);
        // This runs for each candidate of a request; the checked conversion takes several times as long.
        Duration::from_micros((retention_s * 1e6) as u64).max(MIN_RETENTION)
    }
}

/// Returns the value at `x` of the curve from the origin through points with rising `xs`; it is the
/// last one's after the last point.
fn interpolate(xs: &[f64; AGES_S.len()], ys: &[f64; AGES_S.len()], x: f64) -> f64 {
    let (mut former_x, mut former_y) = (0.0, 0.0);
    for (&next_x, &next_y) in xs.iter().zip(ys) {
        if x < next_x {
            return former_y + (next_y - former_y) * (x - former_x) / (next_x - former_x);
        }
        (former_x, former_y) = (next_x, next_y);
    }
    former_y
}

/// What this host knows of the memory of one model engine.
#[derive(Debug, Default)]
pub struct Cache {
    /// When each part was last sent, by its prefix hash.
    sent_at: HashMap<u64, Duration>,
    /// Number of this host's requests that run there, and their input and output tokens.
    own_requests: u32,
    own_tokens: u64,
}

impl Cache {
    /// Records a prompt that is sent.
    pub fn record_sent(&mut self, now: Duration, prompt: &Prompt) {
        self.own_requests += 1;
        self.own_tokens = self.own_tokens.saturating_add(prompt.max_charge());
        forget_old(&mut self.sent_at, now, MAX_ENGINE_PARTS);
        self.sent_at.extend(prompt.shared.iter().map(|part| (part.prefix_hash, now)));
    }

    /// Records the end of a request with a number of input and output tokens.
    pub fn record_end(&mut self, tokens: u64) {
        self.own_requests = self.own_requests.saturating_sub(1);
        self.own_tokens = self.own_tokens.saturating_sub(tokens);
    }

    /// Returns the tokens of a prompt that are expected to be cached, as this host sent them within
    /// the retention time; that is computed only if this host sent the beginning at all.
    pub fn expected_cached(
        &self,
        now: Duration,
        prompt: &Prompt,
        retention: impl FnOnce() -> Duration,
    ) -> u64 {
        let sent = prompt.shared.iter().map_while(|part| {
            let at = self.sent_at.get(&part.prefix_hash)?;
            Some((now.saturating_sub(*at), part.tokens))
        });
        let mut sent = sent.peekable();
        if sent.peek().is_none() {
            return 0;
        }
        let retention = retention();
        let kept = sent.take_while(|(age, _)| *age < retention);
        kept.map(|(_, tokens)| tokens).sum::<u64>().min(prompt.input)
    }

    /// Returns how long ago this host last sent the longest shared beginning of a prompt.
    pub fn sent_age(&self, now: Duration, prompt: &Prompt) -> Option<Duration> {
        let at = self.sent_at.get(&prompt.shared.last()?.prefix_hash)?;
        Some(now.saturating_sub(*at))
    }

    /// Returns how long a part is kept beside the running requests; `others` is the number of other
    /// hosts' requests among these, if it is known.
    pub fn retention(&self, others: Option<u32>, demand: &Demand) -> Duration {
        let capacity = demand.memory.tokens as f64;
        demand.retention((capacity - self.occupied(others, demand)).max(0.0))
    }

    /// Returns the time in seconds after which a prompt, of which `cached` tokens are kept already, is
    /// expected to have room beside the running requests; zero if it has room now.
    ///
    /// The running requests make room at a steady rate, so that all of them have ended after the
    /// usual time.
    pub fn room(&self, prompt: &Prompt, cached: u64, others: Option<u32>, demand: &Demand) -> f64 {
        let capacity = demand.memory.tokens as f64;
        // Requests that run fit, whatever the usual size says.
        let occupied = self.occupied(others, demand).min(capacity);
        let missing = prompt.max_charge().saturating_sub(cached) as f64 + occupied - capacity;
        if missing <= 0.0 || occupied <= 0.0 {
            return 0.0;
        }
        demand.usual_s * (missing / occupied).min(1.0)
    }

    /// Returns the tokens that running requests occupy.
    fn occupied(&self, others: Option<u32>, demand: &Demand) -> f64 {
        let unknown = || (demand.usual_running - f64::from(self.own_requests)).max(0.0);
        let others = others.map_or_else(unknown, f64::from);
        let slots = demand.memory.slots.unwrap_or(u32::MAX).saturating_sub(self.own_requests);
        self.own_tokens as f64 + others.min(f64::from(slots)) * demand.usual_tokens
    }
}

/// Forgets old parts once there are `max` or more.
fn forget_old(sent_at: &mut HashMap<u64, Duration>, now: Duration, max: usize) {
    for age_s in FORGOTTEN_AGES_S {
        if sent_at.len() < max {
            return;
        }
        sent_at.retain(|_, at| now.saturating_sub(*at) < Duration::from_secs(age_s));
    }
}
