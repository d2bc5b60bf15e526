//! Cost of sealing and opening one message.

use coordination::{
    clock::Stamp,
    message::{Append, Entry, Heartbeat, Member, Message, State},
    request::Id,
};
use wire::{
    link::Identity,
    seal::{self, Content, Key, NO_SESSION, Windows},
};

use crate::report::{nanos_per_run, print};

/// Number of measured messages of each kind.
const MESSAGES_PER_KIND: usize = 50_000;

/// Size of the IP and UDP headers of a datagram, in bytes.
pub const HEADER_BYTES: usize = 28;

const ADDRESS: &str = "10.0.1.2:7000";

/// Returns the identity in the measured envelopes.
pub fn identity() -> Identity {
    Identity {
        holder: "host-001.1780000000000".into(),
        zone: "zone-01".into(),
        incarnation: 1_780_000_000_000,
        address: None,
    }
}

/// Returns the size of the datagram of a sealed message, in bytes; 0 if it can't be encoded.
pub fn size(key: &Key, message: &Message) -> usize {
    seal::to_datagram(&sealed(key, 1, message)).map_or(0, |datagram| datagram.len())
}

fn sealed(key: &Key, number: u64, message: &Message) -> wire::laburnum::Envelope {
    let content = Content {
        to: ADDRESS,
        session: NO_SESSION,
        number,
        stamp: Stamp { wall_ms: 1_780_000_000_000, logical: 1 },
        request: None,
        message: Some(message),
    };
    seal::seal(key, &identity(), ADDRESS, &content).expect("a small message")
}

/// Measures the time to seal and open a heartbeat and an append of one journal entry, and their
/// sizes.
pub fn measure() {
    println!("## wire");
    let own = Member {
        host: "host-001".into(),
        zone: "zone-01".into(),
        address: ADDRESS.into(),
        incarnation: 1_780_000_000_000,
        state: State::Alive,
        revision: 1_000_000,
        refuted: 0,
    };
    let heartbeat =
        Heartbeat { number: 9_999, revision: 1_000_000, digest: u64::MAX / 3, members: vec![own] };
    let reserve = Entry::Reserve {
        request: Id([7; 16]),
        budget: "budget-0001".into(),
        tokens: 4_096,
        backend: "engine-0001".into(),
    };
    let append = Append {
        holder: "host-001.1780000000000".into(),
        first: 1_000_000,
        snapshot: false,
        entries: vec![reserve],
    };
    measure_message("heartbeat", &Message::Heartbeat(heartbeat));
    measure_message("append of one entry", &Message::Append(append));
}

fn measure_message(name: &str, message: &Message) {
    let key = Key::new("secret");
    let mut datagrams = Vec::with_capacity(MESSAGES_PER_KIND);
    let send_nanos = nanos_per_run(MESSAGES_PER_KIND, |number| {
        let envelope = sealed(&key, number as u64 + 1, message);
        datagrams.extend(seal::to_datagram(&envelope));
    });
    let mut windows = Windows::default();
    let receive_nanos = nanos_per_run(MESSAGES_PER_KIND, |number| {
        let opened = seal::open_datagram(&key, ADDRESS, &mut windows, &datagrams[number]);
        assert!(opened.is_ok());
    });
    print(&format!("{name}, sealed"), size(&key, message) as f64, "bytes");
    print(&format!("{name}, seal and encode"), send_nanos, "ns");
    print(&format!("{name}, decode and open"), receive_nanos, "ns");
}
