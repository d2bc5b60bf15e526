//! Bytes that membership takes on the wire.

#[path = "../../coordination/tests/common/fleet.rs"]
mod fleet;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use coordination::clock::Stamp;
use fleet::{Fleet, Sent, name};
use test_case::test_case;
use wire::{
    link::Identity,
    seal::{self, Content, Key, MAX_DATAGRAM_BYTES, NO_SESSION},
};

/// Bytes of the IP and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;

/// Bytes a second, sent and received together, that a host may spend on control.
const BUDGET: usize = 2_048;

/// Time in which a fleet that starts all at once settles.
const WARM_UP: Duration = Duration::from_secs(60);

/// Time over which bytes are counted.
const WINDOW: Duration = Duration::from_secs(120);

fn size(key: &Key, sent: &Sent) -> usize {
    let identity = Identity {
        holder: sent.from.clone(),
        zone: sent.zone.clone(),
        incarnation: 1_780_000_000_000,
        address: None,
    };
    let content = Content {
        to: &sent.to,
        session: NO_SESSION,
        number: 1_000_000,
        stamp: Stamp { wall_ms: 1_780_000_000_000, logical: 1 },
        request: None,
        message: Some(&sent.message),
    };
    let envelope = seal::seal(key, &identity, &sent.address, &content).unwrap();
    let datagram = seal::to_datagram(&envelope).unwrap();
    assert!(datagram.len() <= MAX_DATAGRAM_BYTES);
    datagram.len() + HEADER_BYTES
}

/// Returns the greatest bytes a second of any host, sent and received together.
fn busiest(fleet: &Fleet) -> usize {
    let key = Key::new("secret");
    let mut bytes: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
    for sent in &fleet.sent {
        let size = size(&key, sent);
        *bytes.entry(&sent.address).or_default() += size;
        *bytes.entry(&sent.to).or_default() += size;
    }
    let total: usize = bytes.values().sum();
    let mean = total / bytes.len() / WINDOW.as_secs() as usize;
    let busiest = bytes.values().max().unwrap() / WINDOW.as_secs() as usize;
    println!("mean={mean} busiest={busiest} datagrams={}", fleet.sent.len());
    busiest
}

struct Load {
    hosts: usize,
    zones: usize,
    restarts: usize,
}

#[test_case(Load { hosts: 7, zones: 3, restarts: 0 }; "today, idle")]
#[test_case(Load { hosts: 350, zones: 17, restarts: 7 }; "target, 5040 restarts a day")]
fn membership_stays_within_the_budget(load: Load) {
    let mut fleet = Fleet::new(load.hosts, load.zones);
    fleet.run(WARM_UP);
    fleet.record_sent = true;
    let part = WINDOW / (load.restarts as u32 + 1);
    for restart in 0..load.restarts {
        fleet.run(part);
        let number = 2 + restart * 37;
        fleet.start(&name(number), &format!("zone-{:02}", number % load.zones), 2);
    }
    fleet.run(part);
    let busiest = busiest(&fleet);
    assert!(busiest <= BUDGET, "{busiest}");
}
