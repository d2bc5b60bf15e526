//! Finds the hosts and asks all of them.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, thread};

use coordination::table::Row;
use eyre::{Result, WrapErr as _};
use platform::Client;
use serde::Deserialize;

use crate::table;

/// Prefix of the rows that hosts write of themselves at their start.
pub const MEMBER_PREFIX: &str = "member/";

const ASKED_AT_ONCE: usize = 32;

/// A host that may be asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Host {
    /// Name; the address where the name is not known.
    pub name: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Process that wrote its row; empty where it wrote none.
    pub holder: Arc<str>,
    /// Peer address; `None` where it is not known.
    pub address: Option<SocketAddr>,
    /// State in the platform's list; empty where it is not listed.
    pub listed: Arc<str>,
}

/// What a host wrote of itself.
#[derive(Debug, Deserialize)]
struct Member {
    address: SocketAddr,
    #[serde(default)]
    holder: Arc<str>,
    #[serde(default)]
    zone: Arc<str>,
}

/// Returns the hosts at addresses that were given.
pub fn given(addresses: &[SocketAddr]) -> Vec<Host> {
    let unknown: Arc<str> = Arc::from("");
    let host = |address: &SocketAddr| Host {
        name: Arc::from(address.to_string()),
        zone: unknown.clone(),
        holder: unknown.clone(),
        address: Some(*address),
        listed: unknown.clone(),
    };
    addresses.iter().map(host).collect()
}

/// Returns the hosts that the platform knows, but for those that are gone.
///
/// # Errors
///
/// Returns an error where the platform can't be read.
pub fn find(client: &Client) -> Result<Vec<Host>> {
    let rows = table::scan(client, MEMBER_PREFIX)?;
    let listed = client.hosts().wrap_err("step=hosts peer=platform")?;
    Ok(join(&rows, &listed))
}

/// Joins the rows that hosts wrote with the platform's list.
pub fn join(rows: &[Row], listed: &[platform::Host]) -> Vec<Host> {
    let mut hosts = BTreeMap::new();
    for row in rows {
        let Some(host) = member(row) else {
            tracing::warn!(step = "members", key = &*row.key, error = "malformed row");
            continue;
        };
        hosts.insert(host.name.clone(), host);
    }
    for entry in listed {
        let host = hosts.entry(entry.host.clone()).or_insert_with(|| Host {
            name: entry.host.clone(),
            zone: entry.zone.clone(),
            holder: Arc::from(""),
            address: None,
            listed: Arc::from(""),
        });
        host.listed = Arc::from(word(entry.state));
        if is_gone(entry, &host.holder) {
            hosts.remove(&entry.host);
        }
    }
    hosts.into_values().collect()
}

fn word(state: platform::State) -> &'static str {
    match state {
        platform::State::Live => "live",
        platform::State::Leaving => "leaving",
        platform::State::Gone => "gone",
    }
}

fn is_gone(entry: &platform::Host, holder: &str) -> bool {
    if entry.state != platform::State::Gone {
        return false;
    }
    let incarnation = holder.rsplit_once('.').and_then(|(_, number)| number.parse().ok());
    match (entry.incarnation, incarnation) {
        (Some(through), Some(incarnation)) => u64::le(&incarnation, &through),
        _ => true,
    }
}

fn member(row: &Row) -> Option<Host> {
    let name = row.key.strip_prefix(MEMBER_PREFIX)?;
    let member: Member = serde_json::from_str(row.value.as_deref()?).ok()?;
    Some(Host {
        name: Arc::from(name),
        zone: member.zone,
        holder: member.holder,
        address: Some(member.address),
        listed: Arc::from(""),
    })
}

/// Asks all hosts at once and returns their answers in order.
pub fn ask<T: Send>(
    hosts: &[Host],
    question: impl Fn(SocketAddr) -> Result<T> + Sync,
) -> Vec<Result<T>> {
    let question = &question;
    let mut answers = Vec::new();
    for hosts in hosts.chunks(ASKED_AT_ONCE) {
        thread::scope(|scope| {
            let asked: Vec<_> =
                hosts.iter().map(|host| scope.spawn(move || ask_one(host, question))).collect();
            for asked in asked {
                let answer = asked.join();
                answers.push(answer.unwrap_or_else(|_| Err(eyre::eyre!("step=ask panicked"))));
            }
        });
    }
    answers
}

fn ask_one<T>(host: &Host, question: impl Fn(SocketAddr) -> Result<T>) -> Result<T> {
    match host.address {
        Some(address) => question(address),
        None => Err(eyre::eyre!("step=ask peer={}: its address is not known", host.name)),
    }
}
