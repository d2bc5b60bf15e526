//! Decides which engines of a service are meant for long prompts.
//!
//! While an engine reads a prompt, the events of all streams that run there come late. Where the
//! operator ranks the routes of most long prompts below all other streamed routes of a service,
//! these prompts are kept to a share of its engines, and other prompts prefer the rest. The share
//! follows from the tokens that this host sees, and a hash orders the engines, so that hosts agree
//! on nearly all of them without a message. Either kind goes to the engines of the other one rather
//! than wait long. This suits a load of urgent streams with short prompts beside long prompts that
//! may be answered later.

use std::{collections::HashMap, sync::Arc, time::Duration};

use coordination::locate::mix64;

use super::{PREFILL_TOKENS_PER_MS, Requirements};

/// Number of engines below which a service isn't divided: either part must be able to absorb a
/// burst of its kind.
const MIN_ENGINES: usize = 24;

/// Time to read a prompt from which it is long, in percent of the shortest bound on the pause
/// between two events. A few such prompts at once use the whole bound up.
const LONG_PROMPT_PERCENT: f64 = 20.0;

/// Time in which what was seen of the traffic loses most of its weight.
const TRAFFIC_DECAY: Duration = Duration::from_secs(30);

/// Tokens of either kind that are assumed before any traffic was seen.
const ASSUMED_TOKENS: f64 = 50_000.0;

/// Bounds of the share of the engines for long prompts.
const SHARE: (f64, f64) = (0.2, 0.7);

/// Cost of an engine of the other group for a long prompt, in percent of the bound on pauses, while
/// its own group is idle.
const LONG_OUTSIDE_PERCENT: f64 = 75.0;

/// The same for any other prompt.
const OTHER_OUTSIDE_PERCENT: f64 = 30.0;

/// Share of taken slots from which a group is as good as full, so that its prompts go anywhere.
const FULL_GROUP: f64 = 0.75;

/// Time in which the reported load of an engine loses most of its weight for its group.
const LOAD_DECAY: Duration = Duration::from_millis(1500);

/// Weight of an idle engine in the load of a group, by which old reports fade.
const IDLE_WEIGHT: f64 = 0.2;

/// Distinguishes the order of the engines from other uses of their hashes.
const ORDER_SALT: u64 = 0x6c6f_6e67_7072_6f6d;

/// Which engines a prompt prefers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Group {
    /// Whether they are those for long prompts.
    pub is_long: bool,
    /// Share of the engines that are meant for long prompts.
    pub share: f64,
    /// Share of taken slots in the group, by recent reports.
    pub load: f64,
    /// Cost in milliseconds of an engine outside the group.
    pub outside_ms: f64,
}

impl Group {
    /// Returns whether an engine belongs to the group, by the hash of its id.
    pub fn contains(&self, engine: u64) -> bool {
        is_for_long(engine, self.share) == self.is_long
    }
}

/// Average of values, weighted by their age.
#[derive(Debug, Default)]
struct Average {
    at: Duration,
    sum: f64,
    weight: f64,
}

impl Average {
    fn record(&mut self, now: Duration, value: f64) {
        let remaining = remaining_weight(now, self.at, LOAD_DECAY);
        self.sum = self.sum * remaining + value;
        self.weight = self.weight * remaining + 1.0;
        self.at = now;
    }

    /// Returns the average, which goes back to 0 without new values.
    fn value(&self, now: Duration) -> f64 {
        let remaining = remaining_weight(now, self.at, LOAD_DECAY);
        self.sum * remaining / (self.weight * remaining + IDLE_WEIGHT)
    }
}

/// Traffic of a service as this host sees it.
#[derive(Debug, Default)]
struct Traffic {
    at: Duration,
    /// Tokens of all prompts, weighted by their age.
    total: f64,
    /// Tokens of long prompts.
    long: f64,
    /// Tokens of long prompts whose routes the operator ranks last.
    long_last: f64,
    /// Load of the engines for long prompts.
    long_load: Average,
    /// Load of the other engines.
    other_load: Average,
}

impl Traffic {
    fn record(&mut self, now: Duration, tokens: f64, is_long: bool, is_last: bool) {
        let remaining = remaining_weight(now, self.at, TRAFFIC_DECAY);
        let add = |sum: &mut f64, counts: bool| {
            *sum = *sum * remaining + if counts { tokens } else { 0.0 };
        };
        add(&mut self.total, true);
        add(&mut self.long, is_long);
        add(&mut self.long_last, is_long && is_last);
        self.at = now;
    }

    /// Returns whether the operator ranks most of what is long last.
    fn long_prompts_yield(&self) -> bool {
        self.long_last * 2.0 > self.long
    }

    /// Returns the share of the engines for long prompts: that of the tokens to read.
    fn long_share(&self) -> f64 {
        let share = (self.long + ASSUMED_TOKENS) / (self.total + 2.0 * ASSUMED_TOKENS);
        share.clamp(SHARE.0, SHARE.1)
    }
}

/// Traffic and groups of engines of each service.
#[derive(Debug, Default)]
pub struct Separation {
    traffic: HashMap<Arc<str>, Traffic>,
}

impl Separation {
    /// Records the share of its slots that an engine reports as taken, by the hash of its id.
    pub fn record_load(&mut self, now: Duration, service: &str, engine: u64, load: f64) {
        let Some(traffic) = self.traffic.get_mut(service) else { return };
        let group = match is_for_long(engine, traffic.long_share()) {
            true => &mut traffic.long_load,
            false => &mut traffic.other_load,
        };
        group.record(now, load);
    }

    /// Records a request, and returns the engines that it prefers; `None` if those of the service,
    /// so many that can be chosen, aren't divided.
    pub fn find_group(
        &mut self,
        now: Duration,
        requirements: &Requirements<'_>,
        engines: usize,
    ) -> Option<Group> {
        let (prompt, ranks) = (requirements.prompt?, requirements.stream_ranks?);
        let max_gap_ms = ranks.max_gap.as_secs_f64() * 1000.0;
        let tokens = prompt.input as f64;
        let is_long = tokens / PREFILL_TOKENS_PER_MS > max_gap_ms * LONG_PROMPT_PERCENT / 100.0;
        if !self.traffic.contains_key(requirements.service) {
            self.traffic.insert(requirements.service.into(), Traffic::default());
        }
        let traffic = self.traffic.get_mut(requirements.service)?;
        traffic.record(now, tokens, is_long, requirements.priority == ranks.last);
        let is_divided = ranks.first != ranks.last && traffic.long_prompts_yield();
        if engines < MIN_ENGINES || !is_divided {
            return None;
        }
        let is_long = is_long && requirements.priority > ranks.first;
        let (percent, load) = match is_long {
            true => (LONG_OUTSIDE_PERCENT, traffic.long_load.value(now)),
            false => (OTHER_OUTSIDE_PERCENT, traffic.other_load.value(now)),
        };
        let outside_ms = max_gap_ms * percent / 100.0 * (1.0 - load / FULL_GROUP).max(0.0);
        Some(Group { is_long, share: traffic.long_share(), load, outside_ms })
    }
}

/// Returns whether an engine is among the share of the engines for long prompts.
fn is_for_long(engine: u64, share: f64) -> bool {
    (mix64(engine ^ ORDER_SALT) as f64) < share * u64::MAX as f64
}

/// Returns the part of its weight that a value keeps until `now`.
fn remaining_weight(now: Duration, at: Duration, decay: Duration) -> f64 {
    (-now.saturating_sub(at).as_secs_f64() / decay.as_secs_f64()).exp()
}
