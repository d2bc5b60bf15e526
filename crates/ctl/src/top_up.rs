//! Adds tokens to a budget.

use coordination::record::{self, Kind, Record};
use eyre::{Result, bail};
use serde_json::json;

use crate::{
    apply,
    output::Report,
    table::{self, Table},
    write::{self, Change, Written},
};

const ATTEMPTS: u32 = 32;

/// Adds tokens to a budget under the id of the purchase.
///
/// Racing top-ups with other ids are joined. An id that was used for the same tokens changes
/// nothing, so that the command can be repeated.
///
/// # Errors
///
/// Returns an error where the budget is absent or not valid, where the id was used for other
/// tokens, or where the platform can't be read.
pub fn top_up(
    table: &impl Table,
    operator: &str,
    budget: &str,
    id: &str,
    tokens: u64,
) -> Result<Report> {
    let key = record::key(Kind::Budget, budget);
    let addition = json!({
        "kind": "budget", "version": 2, "name": budget, "top_ups": { id: tokens },
    });
    for _ in 0..ATTEMPTS {
        let read = table::read_one(table, &key)?;
        let Some(old) = &read.value else {
            bail!("{key}: absent; apply the budget's record first");
        };
        let Record::Budget(held) = record::parse(&key, old)? else {
            bail!("{key}: expected a budget");
        };
        match held.top_ups.get(id) {
            Some(held) if *held == tokens => return Ok(done(&key, id, tokens, read.revision)),
            Some(held) => bail!("{key}: the id {id} was used for {held} tokens"),
            None => {}
        }
        let merged = coordination::schema::merge(old, &addition.to_string())?;
        let value = Some(write::sign(&merged, operator, read.revision));
        match write::commit(table, &Change { read, value, checks: Vec::new() }) {
            Written::Committed(revision) | Written::Recognised(revision) => {
                return Ok(done(&key, id, tokens, revision));
            }
            Written::Lost(_) => {}
            other => {
                let (state, text, _) = apply::describe(other);
                let json = json!({ "key": key, "state": state, "id": id, "tokens": tokens });
                return Ok(Report { text: format!("{key}: {text}"), json, done: false });
            }
        }
    }
    bail!("{key}: lost to other writers {ATTEMPTS} times; run the command again")
}

fn done(key: &str, id: &str, tokens: u64, revision: u64) -> Report {
    Report {
        text: format!("{key}: {id} of {tokens} tokens stands at revision {revision}\n"),
        json: json!({
            "key": key, "state": "applied", "id": id, "tokens": tokens, "revision": revision,
        }),
        done: true,
    }
}
