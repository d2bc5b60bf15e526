//! Faults that a stand-in shows on command.

use serde::{Deserialize, Serialize};

/// Fault that is in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault<K> {
    /// Kind; the default kind is no fault.
    pub kind: K,
    /// Wait, in milliseconds, for kinds that wait.
    #[serde(default)]
    pub ms: u64,
    /// Pieces of an answer that stay whole, for kinds that spoil a stream.
    #[serde(default)]
    pub after: u64,
    /// Answers that it still meets; `None` for no end.
    #[serde(default)]
    pub count: Option<u64>,
}

impl<K: Copy + Default> Fault<K> {
    /// Returns the kind that meets this answer, and counts it.
    pub(crate) fn take(&mut self) -> K {
        let Some(count) = &mut self.count else { return self.kind };
        if *count == 0 {
            return K::default();
        }
        *count -= 1;
        self.kind
    }
}
