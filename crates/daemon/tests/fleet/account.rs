//! What requests cost, and what the ledger says of it.

use serde_json::{Value, json};
use standin::caller::{Caller, Reply};

use super::Fleet;

/// Sums of a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sums {
    /// Granted to holders.
    pub granted: u64,
    /// Returned by holders.
    pub returned: u64,
    /// Charged.
    pub settled: u64,
    /// Charges taken back.
    pub refunded: u64,
}

impl Sums {
    /// Returns what holders have.
    pub fn open(&self) -> u64 {
        self.granted - self.returned - self.settled
    }

    /// Returns what requests cost in all.
    pub fn spent(&self) -> u64 {
        self.settled - self.refunded
    }
}

/// Returns the body of a model request.
pub fn prompt(text: &str, max_tokens: u64) -> Value {
    json!({"prompt": text, "max_tokens": max_tokens})
}

/// Sends a request and returns the reply.
pub fn call(caller: &Caller, service: &str, key: Option<&str>, body: &Value) -> Reply {
    caller.call(service, key, body, |_| {}).expect("reply")
}

/// Returns a budget's sums.
pub fn escrow(fleet: &Fleet) -> Sums {
    let row = fleet.row("escrow/grants").unwrap_or_default();
    let figure = |name: &str| row[name].as_u64().unwrap_or(0);
    Sums {
        granted: figure("granted"),
        returned: figure("returned"),
        settled: figure("settled") + figure("old_settled"),
        refunded: figure("refunded"),
    }
}

/// Waits until all charges are in the ledger and repeated ones are refunded.
///
/// One request more at each host marks the end of its charges: a host writes them in their order.
pub fn wait_spent(fleet: &Fleet, tokens: u64) {
    let mut spent = tokens;
    for host in fleet.hosts.keys() {
        let reply = call(&fleet.caller(host), "status", None, &prompt("mark", 1));
        assert!(reply.whole(), "mark at {host}: {reply:?}");
        spent += reply.end.expect("end").charged;
    }
    fleet.wait(&format!("{spent} tokens spent"), || escrow(fleet).spent() == spent);
}
