//! Shows the events of all hosts in causal order.

use coordination::timeline::{self, Event, Merged};
use eyre::Result;
use serde_json::json;

use crate::{
    fleet::Host,
    output::{Report, columns},
};

/// Merges the answers of hosts and names those that did not answer.
pub fn timeline(hosts: &[Host], answers: Vec<Result<Vec<Event>>>) -> Report {
    let answered = answers.iter().any(Result::is_ok);
    let mut text = String::new();
    let mut reports = Vec::new();
    for (host, answer) in hosts.iter().zip(answers) {
        if let Err(err) = &answer {
            text.push_str(&format!("{} did not answer: {err:#}\n", host.name));
        }
        reports.push(timeline::Report { host: host.name.clone(), events: answer.ok() });
    }
    let Merged { events, missing } = timeline::merge(reports);
    let lines: Vec<Vec<String>> = events.iter().map(line).collect();
    let heads = ["time", "host", "step", "request", "peer", "detail"];
    Report {
        text: columns(&heads, &lines) + &text,
        json: json!({ "events": events, "missing": missing }),
        done: hosts.is_empty() || answered,
    }
}

fn line(event: &Event) -> Vec<String> {
    let request = event.request.map_or_else(|| "-".to_owned(), |request| request.to_string());
    vec![
        format!("{}.{:03}", event.stamp.wall_ms, event.stamp.logical),
        event.host.to_string(),
        event.step.to_string(),
        request,
        if event.peer.is_empty() { "-".to_owned() } else { event.peer.to_string() },
        event.detail.to_string(),
    ]
}
