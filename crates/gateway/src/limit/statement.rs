//! What is known of the limit of one process of a backend server.

/// Time in milliseconds by which a request that tells the end of a limit has to follow the last
/// response that named it, as the hosts' readings of the platform's clock differ.
const CLOCK_TOLERANCE_MS: u64 = 100;

/// What a response stated about a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Statement {
    /// Requests per second; `None` if it named no limit.
    pub per_s: Option<f64>,
    /// The platform's clock in milliseconds from which it counts: when a response that names a
    /// limit arrived, or when the request was sent whose response names none.
    pub at_ms: u64,
}

/// Where a statement comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A response to a request of this host.
    Own,
    /// Another host.
    Shared,
}

/// Newest statements of each source.
#[derive(Debug, Default)]
pub struct Statements {
    own: Option<Statement>,
    /// When the request was sent whose response named the own limit.
    own_sent_ms: u64,
    shared: Option<Statement>,
}

impl Statements {
    /// Records the statement of a response to a request that was sent at a time.
    pub fn record_own(&mut self, sent_ms: u64, now_ms: u64, per_s: Option<f64>) {
        if per_s.is_none() {
            let at_ms = sent_ms.saturating_sub(CLOCK_TOLERANCE_MS);
            let is_newest = self.newest().is_some_and(|(newest, _)| newest.at_ms < at_ms);
            if is_newest {
                self.own = Some(Statement { per_s: None, at_ms });
            }
            return;
        }
        // Responses overtake each other; the value of the request that was sent last counts.
        let is_overtaken = sent_ms < self.own_sent_ms;
        match &mut self.own {
            Some(own) if is_overtaken && own.per_s.is_some() => own.at_ms = now_ms,
            own => {
                *own = Some(Statement { per_s, at_ms: now_ms });
                self.own_sent_ms = sent_ms;
            }
        }
    }

    /// Records a statement that another host has shared.
    pub fn record_shared(&mut self, statement: Statement) {
        if self.shared.is_none_or(|known| known.at_ms < statement.at_ms) {
            self.shared = Some(statement);
        }
    }

    /// Returns the newest statement of all.
    pub fn newest(&self) -> Option<(Statement, Origin)> {
        match (self.own, self.shared) {
            (Some(own), Some(shared)) if own.at_ms < shared.at_ms => Some((shared, Origin::Shared)),
            (Some(own), _) => Some((own, Origin::Own)),
            (None, shared) => shared.map(|shared| (shared, Origin::Shared)),
        }
    }
}
