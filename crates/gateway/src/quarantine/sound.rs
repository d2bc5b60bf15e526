//! Counts the responses of a host that turned out well lately, by part of their prompts.

use std::{collections::HashMap, sync::Arc, time::Duration};

/// Time for which a response counts.
const TTL: Duration = Duration::from_secs(60);

/// Maximum number of parts of which responses are counted.
const MAX_PARTS: usize = 4096;

/// Responses to prompts with a part, and when the last one was recorded.
#[derive(Debug, Clone, Copy)]
struct Count {
    responses: u32,
    at: Duration,
}

/// Responses lately, by part.
#[derive(Debug, Default)]
pub struct Sound {
    counts: HashMap<Arc<str>, Count>,
}

impl Sound {
    /// Records a response to a prompt with these parts; parts that are new while too many are counted
    /// are left out.
    pub fn record<'a>(
        &mut self,
        now: Duration,
        parts: impl ExactSizeIterator<Item = &'a Arc<str>>,
    ) {
        if self.counts.len() >= MAX_PARTS {
            self.counts.retain(|_, count| now.saturating_sub(count.at) < TTL);
        }
        let has_room = self.counts.len() + parts.len() <= MAX_PARTS;
        for part in parts {
            let former = self.responses(now, part);
            if has_room || self.counts.contains_key(part) {
                let count = Count { responses: former.saturating_add(1), at: now };
                self.counts.insert(part.clone(), count);
            }
        }
    }

    /// Returns the number of responses lately to prompts with a part.
    pub fn responses(&self, now: Duration, part: &str) -> u32 {
        let count = self.counts.get(part);
        let count = count.filter(|count| now.saturating_sub(count.at) < TTL);
        count.map_or(0, |count| count.responses)
    }
}
