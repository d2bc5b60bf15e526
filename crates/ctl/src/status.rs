//! Shows the hosts and the revisions in force there.

use coordination::{record, table::Row};
use eyre::Result;
use serde_json::{Value, json};
use wire::operator::Status;

use crate::{
    fleet::Host,
    output::{Report, columns},
};

const NEWEST_CHANGES: usize = 10;

/// Shows the answers of hosts against the records that the platform has, where it was read.
pub fn status(hosts: &[Host], answers: &[Result<Status>], records: Option<&[Row]>) -> Report {
    let newest = records.map(|rows| rows.iter().map(|row| row.revision).max().unwrap_or(0));
    let lines: Vec<Vec<String>> =
        hosts.iter().zip(answers).map(|(host, answer)| line(host, answer, newest)).collect();
    let heads = ["host", "zone", "listed", "holder", "state", "revision", "in force", "held"];
    let mut text = columns(&heads, &lines);
    for (host, answer) in hosts.iter().zip(answers) {
        if let Err(err) = answer {
            text.push_str(&format!("{} did not answer: {err:#}\n", host.name));
        }
    }
    match records {
        Some(rows) => text.push_str(&changes(answers, rows)),
        None => text.push_str("the platform was not read: accepted revisions are not known\n"),
    }
    let described: Vec<Value> =
        hosts.iter().zip(answers).map(|(host, answer)| describe(host, answer, newest)).collect();
    Report {
        text,
        json: json!({ "accepted": newest, "hosts": described }),
        done: hosts.is_empty() || answers.iter().any(Result::is_ok),
    }
}

fn line(host: &Host, answer: &Result<Status>, newest: Option<u64>) -> Vec<String> {
    let listed = if host.listed.is_empty() { "-" } else { &host.listed };
    let Ok(status) = answer else {
        let cells = [&host.name, &host.zone, listed, &host.holder, "no answer", "-", "-", "-"];
        return cells.iter().map(|cell| (*cell).to_owned()).collect();
    };
    let held: Vec<String> =
        status.budgets.iter().map(|held| format!("{}={}", held.budget, held.tokens)).collect();
    let in_force =
        newest.map_or("-", |newest| if status.revision >= newest { "all" } else { "behind" });
    vec![
        status.host.to_string(),
        status.zone.to_string(),
        listed.to_owned(),
        status.holder.to_string(),
        status.state.to_string(),
        status.revision.to_string(),
        in_force.to_owned(),
        held.join(" "),
    ]
}

/// Returns the newest accepted changes and the hosts where each is not yet in force.
fn changes(answers: &[Result<Status>], rows: &[Row]) -> String {
    let mut rows: Vec<&Row> = rows.iter().collect();
    rows.sort_by_key(|row| std::cmp::Reverse(row.revision));
    rows.truncate(NEWEST_CHANGES);
    let lines: Vec<Vec<String>> = rows
        .into_iter()
        .map(|row| {
            let known: Vec<&Status> = answers.iter().flatten().collect();
            let behind: Vec<&str> = known
                .iter()
                .filter(|status| status.revision < row.revision)
                .map(|status| &*status.host)
                .collect();
            let name = row.key.strip_prefix(record::KEY_PREFIX).unwrap_or(&row.key);
            let count = format!("{} of {}", known.len() - behind.len(), answers.len());
            vec![row.revision.to_string(), name.to_owned(), count, behind.join(",")]
        })
        .collect();
    format!("\n{}", columns(&["revision", "newest records", "in force at", "behind"], &lines))
}

fn describe(host: &Host, answer: &Result<Status>, newest: Option<u64>) -> Value {
    match answer {
        Ok(status) => json!({
            "host": status.host,
            "zone": status.zone,
            "listed": host.listed,
            "holder": status.holder,
            "state": status.state,
            "revision": status.revision,
            "in_force": newest.map(|newest| status.revision >= newest),
            "detail": serde_json::from_str::<Value>(&status.detail).unwrap_or(Value::Null),
            "held": status.budgets.iter().map(|held| (held.budget.to_string(), held.tokens.into()))
                .collect::<serde_json::Map<String, Value>>(),
        }),
        Err(err) => json!({
            "host": host.name, "zone": host.zone, "listed": host.listed, "error": format!("{err:#}"),
        }),
    }
}
