//! What the cache of a model engine saves a prompt, against the wait there.
//!
//! All hosts agree on the preferred engine of a prompt, but a host doesn't know what the others sent
//! there. Where the capacity of the engines is stated, the preferred engine counts as having the
//! prompt cached with the probability that another host has sent it within the retention time.
//! Otherwise it always counts as having it cached. The delay that prefill causes to others counts
//! more where engines spend most of their time on it, as each prompt that is read again then delays
//! all that follow.

use std::{sync::Arc, time::Duration};

use super::{
    Backends, PREFILL_COST_FACTOR, PREFILL_TOKENS_PER_MS, PreferredEngines, Requirements,
    predicted_latency_ms, queue_delay_ms,
};
use crate::{
    backend::{Backend, Load},
    cache::{Demand, FIXED_RETENTION, Traffic},
    request::Prompt,
};

/// Greatest utilization of an engine that is reckoned with; the estimate may exceed 1.
const MAX_UTILIZATION: f64 = 0.99;

/// Greatest weight of a token's prefill. In simulations, 4 kept prompts at busy engines for too long
/// when memory sufficed, and 2 read too much again when the engines were overloaded.
const MAX_PREFILL_WEIGHT: f64 = 3.0;

/// A backend server that can be chosen: what is saved there, and the wait.
#[derive(Debug, Clone, PartialEq)]
pub struct Alternative {
    /// Id of the backend server.
    pub id: Arc<str>,
    /// Tokens of the prompt that are expected to be cached.
    pub saved_tokens: u64,
    /// Time for which the request is expected to wait before its prefill, in milliseconds.
    pub wait_ms: f64,
    /// Part of the wait for which the memory is expected to have no room, in milliseconds.
    pub room_wait_ms: f64,
    /// Time for which it is expected to keep a part.
    pub retention: Duration,
    /// How long ago this host last sent the shared parts there.
    pub sent_age: Option<Duration>,
}

impl Alternative {
    /// Describes a backend server for which the prefill was estimated.
    pub(super) fn new(
        now: Duration,
        backend: &Backend,
        requirements: &Requirements<'_>,
        outlook: Option<&Outlook>,
        prefill: Prefill,
    ) -> Self {
        let load = backend.load(now);
        let slowness = backend.pace.slowness(now);
        let wait_ms = predicted_latency_ms(load, backend, requirements, 0.0, slowness);
        let others = backend.running_of_others(now, load);
        let retention = outlook.map(|own| backend.cache.retention(others, &own.demand));
        let input = requirements.prompt.map_or(0, |prompt| prompt.input);
        Self {
            id: backend.entry.id.clone(),
            saved_tokens: input.saturating_sub(prefill.expected_tokens as u64),
            wait_ms: wait_ms + prefill.room_wait_ms,
            room_wait_ms: prefill.room_wait_ms,
            retention: retention.unwrap_or(FIXED_RETENTION),
            sent_age: requirements.prompt.and_then(|prompt| backend.cache.sent_age(now, prompt)),
        }
    }
}

/// Prefill of a prompt at one backend server.
#[derive(Debug, Clone, Copy)]
pub(super) struct Prefill {
    /// Tokens that count as waiting for prefill once the prompt is sent.
    pub(super) tokens: u64,
    /// Tokens for whose prefill this request waits.
    pub(super) expected_tokens: f64,
    /// Tokens whose prefill delays other requests, now or when the prompt is sent next.
    pub(super) caused_tokens: f64,
    /// Time in milliseconds until the memory has room, beyond the delay by a queue.
    pub(super) room_wait_ms: f64,
}

impl Prefill {
    /// Estimates the prefill of a request's prompt at a backend server.
    pub(super) fn estimate(
        now: Duration,
        backend: &Backend,
        load: Load,
        requirements: &Requirements<'_>,
        preferred: PreferredEngines,
        outlook: Option<&Outlook>,
    ) -> Self {
        match (requirements.prompt, outlook) {
            (None, _) => Self::with_tokens(0, 0),
            (Some(prompt), None) => Self::of_fixed_time(now, backend, prompt, preferred),
            (Some(prompt), Some(outlook)) => {
                Self::of_outlook(now, backend, load, prompt, preferred, outlook)
            }
        }
    }

    fn with_tokens(tokens: u64, expected: u64) -> Self {
        Self {
            tokens,
            expected_tokens: expected as f64,
            caused_tokens: expected as f64,
            room_wait_ms: 0.0,
        }
    }

    /// The preferred engine is taken to have the shared parts cached.
    fn of_fixed_time(
        now: Duration,
        backend: &Backend,
        prompt: &Prompt,
        preferred: PreferredEngines,
    ) -> Self {
        let agreed = prompt.input.saturating_sub(preferred.agreed_tokens(backend, prompt));
        if preferred.first == Some(backend.hash) {
            return Self::with_tokens(agreed, agreed);
        }
        let tokens = backend.uncached_tokens(now, prompt);
        Self::with_tokens(tokens, tokens.min(agreed))
    }

    fn of_outlook(
        now: Duration,
        backend: &Backend,
        load: Load,
        prompt: &Prompt,
        preferred: PreferredEngines,
        outlook: &Outlook,
    ) -> Self {
        let demand = &outlook.demand;
        let others = backend.running_of_others(now, load);
        let retention = || backend.cache.retention(others, demand);
        let known = backend.cache.expected_cached(now, prompt, retention) as f64;
        let agreed = preferred.agreed_tokens(backend, prompt).min(prompt.input) as f64;
        let agreement = if agreed > 0.0 { demand.agreement(retention()) } else { 0.0 };
        let cached = known.max(agreed * agreement);
        let room_wait_ms = backend.cache.room(prompt, cached as u64, others, demand) * 1000.0;
        // A queue that the engine reports is the same wait.
        let room_wait_ms = (room_wait_ms - queue_delay_ms(load, backend)).max(0.0);
        let input = prompt.input as f64;
        Self {
            tokens: prompt.input.saturating_sub(cached as u64),
            expected_tokens: input - cached,
            // A prompt that goes elsewhere is read once more in any case: now, if another host sent
            // it before, or else when the next host sends it to the preferred engine.
            caused_tokens: (input - known.max(agreed)) * outlook.prefill_weight,
            room_wait_ms,
        }
    }
}

/// What is expected of a service's engines, computed once for a request.
#[derive(Debug)]
pub(super) struct Outlook {
    demand: Demand,
    /// Cost of a token's prefill to other requests, as a multiple of the usual one.
    prefill_weight: f64,
}

impl Outlook {
    /// In an engine that is busy for a share of its time, the work that waits at a random time grows
    /// by the share over the rest of its time.
    fn new(demand: Demand) -> Self {
        let busy = demand.utilization(PREFILL_TOKENS_PER_MS).min(MAX_UTILIZATION);
        let weight = busy / (1.0 - busy) / PREFILL_COST_FACTOR;
        Self { demand, prefill_weight: weight.clamp(1.0, MAX_PREFILL_WEIGHT) }
    }
}

impl Backends {
    /// Returns what all hosts are expected to send to each of a number of engines; `None` if their
    /// capacity isn't stated, or the request has no prompt.
    pub(super) fn outlook(
        &self,
        now: Duration,
        requirements: &Requirements<'_>,
        engines: usize,
    ) -> Option<Outlook> {
        let memory = requirements.memory.filter(|_| requirements.prompt.is_some())?;
        let demand = match self.traffic.get(requirements.service) {
            Some(traffic) => traffic.demand(now, memory, engines),
            None => Traffic::default().demand(now, memory, engines),
        };
        Some(Outlook::new(demand))
    }

    /// Records a prompt that is sent to a service, of which `prefill_tokens` aren't expected to be
    /// cached, and returns the tokens of its shared parts that this host has sent before.
    pub fn record_prompt(
        &mut self,
        now: Duration,
        service: &Arc<str>,
        prompt: &Prompt,
        prefill_tokens: u64,
        is_retry: bool,
    ) -> u64 {
        let traffic = match self.traffic.get_mut(service) {
            Some(traffic) => traffic,
            None => self.traffic.entry(service.clone()).or_default(),
        };
        match is_retry {
            true => traffic.record_repeat(now, prompt),
            false => traffic.record_sent(now, prompt, prefill_tokens),
        }
    }

    /// Records the end of a request with a prompt of a number of input and output tokens; `elapsed`
    /// is its time if it got a whole response.
    pub fn finish_prompt(&mut self, id: &str, tokens: u64, elapsed: Option<Duration>) {
        let Some(backend) = self.backends.get_mut(id) else { return };
        backend.cache.record_end(tokens);
        let traffic = self.traffic.get_mut(&backend.entry.service);
        if let (Some(traffic), Some(elapsed)) = (traffic, elapsed) {
            traffic.record_end(elapsed);
        }
    }
}
