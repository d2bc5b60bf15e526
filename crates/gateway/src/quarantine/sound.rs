//! Counts the whole responses of a host lately, by part of their prompts.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::request::Prompt;

/// Time for which a whole response counts.
const TTL: Duration = Duration::from_secs(60);

/// Maximum number of parts of which whole responses are counted.
const MAX_PARTS: usize = 4096;

/// Whole responses to prompts with a part, and when the last one ended.
#[derive(Debug, Clone, Copy)]
struct Count {
    responses: u32,
    at: Duration,
}

/// Whole responses lately, by part.
#[derive(Debug, Default)]
pub struct Sound {
    counts: HashMap<Arc<str>, Count>,
}

impl Sound {
    /// Records a whole response; parts that are new while too many are counted are left out.
    pub fn record(&mut self, now: Duration, prompt: &Prompt) {
        if self.counts.len() >= MAX_PARTS {
            self.counts.retain(|_, count| now.saturating_sub(count.at) < TTL);
        }
        let has_room = self.counts.len() + prompt.shared.len() <= MAX_PARTS;
        for part in &prompt.shared {
            let former = self.responses(now, &part.name);
            if has_room || self.counts.contains_key(&part.name) {
                let count = Count { responses: former.saturating_add(1), at: now };
                self.counts.insert(part.name.clone(), count);
            }
        }
    }

    /// Returns the number of whole responses lately to prompts with a part.
    pub fn responses(&self, now: Duration, part: &str) -> u32 {
        let count = self.counts.get(part);
        let count = count.filter(|count| now.saturating_sub(count.at) < TTL);
        count.map_or(0, |count| count.responses)
    }
}
