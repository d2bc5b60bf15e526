//! Counts the hosts that share budgets and bounds, by rows that each of them writes.

use std::{collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use coordination::table::{Op, Outcome, Revision, Row, Txn, Write};
use tokio::time::{Instant, sleep};

use crate::{dialect::Source, node::Node, peer::Card};

/// Start of the keys of the hosts' rows.
const PREFIX: &str = "host/all/";

/// Time between two writes of the own row.
const INTERVAL: Duration = Duration::from_secs(2);

/// Time between the first readings, while all hosts may be starting.
const FIRST: Duration = Duration::from_millis(700);

/// Readings after the start that follow each other closely.
const FIRST_READINGS: u32 = 4;

/// Age of a row's last change from which its host doesn't count.
const GONE: Duration = Duration::from_secs(7);

/// Most hosts that are read.
const MOST: u32 = 500;

/// Follows the rows of all hosts for ever.
pub async fn run(node: Rc<Node>, source: Rc<impl Source>) {
    let mut seen: HashMap<Arc<str>, (Revision, Instant)> = HashMap::new();
    let mut readings: u32 = 0;
    loop {
        let card = serde_json::to_string(node.peers.own()).expect("a card has a JSON form");
        let write = Write { key: own_key(&node), value: Some(card.into()) };
        source.table(&Op::Commit(Txn { checks: Vec::new(), writes: vec![write] })).await;
        let scan = Op::Scan { prefix: PREFIX.into(), after: "".into(), limit: MOST };
        if let Outcome::Rows(rows) = source.table(&scan).await {
            let now = Instant::now();
            for row in &rows {
                let known = seen.entry(row.key.clone()).or_insert((row.revision, now));
                if known.0 != row.revision {
                    *known = (row.revision, now);
                }
            }
            let is_alive = |row: &&Row| seen.get(&row.key).is_some_and(|(_, at)| now - *at < GONE);
            node.peers.replace(rows.iter().filter(is_alive).filter_map(card_of).collect());
            seen.retain(|_, (_, at)| now - *at < 10 * GONE);
            let alive = seen.values().filter(|(_, at)| now - *at < GONE).count() as u64;
            if node.hosts() != alive {
                tracing::info!(event = "hosts", alive, former = node.hosts());
                node.set_hosts(alive);
            }
        }
        readings += 1;
        sleep(if readings < FIRST_READINGS { FIRST } else { INTERVAL }).await;
    }
}

/// Removes the row of a host that stops.
pub async fn leave(node: &Node, source: &impl Source) {
    let write = Write { key: own_key(node), value: None };
    source.table(&Op::Commit(Txn { checks: Vec::new(), writes: vec![write] })).await;
}

fn own_key(node: &Node) -> Arc<str> {
    Arc::from(format!("{PREFIX}{}", node.settings.host))
}

/// Reads a host's card; one that can't be read names no host to ask.
fn card_of(row: &Row) -> Option<Card> {
    let text = row.value.as_ref()?;
    serde_json::from_str(text)
        .inspect_err(|error| tracing::warn!(event = "host_unreadable", key = %row.key, %error))
        .ok()
}
