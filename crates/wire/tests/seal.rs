//! Forged, replayed and misdirected envelopes.

mod common;

use std::sync::Arc;

use common::{heartbeat, message};
use coordination::{
    clock::Stamp,
    message::{Heartbeat, Member, Message, State},
    request,
};
use proptest::{prelude::*, sample::Index, test_runner::RngSeed};
use test_case::test_case;
use wire::{
    laburnum::Envelope,
    link::Identity,
    seal::{
        self, Content, Key, MAX_DATAGRAM_BYTES, NO_SESSION, Refusal, Window, Windows,
        open_datagram, to_datagram,
    },
};

const HERE: &str = "127.0.0.1:7001";
const THERE: &str = "127.0.0.1:7002";

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(12),
        failure_persistence: None,
        ..Default::default()
    }
}

fn identity() -> Identity {
    Identity { holder: "a1.7".into(), zone: "a".into(), incarnation: 7, address: None }
}

fn key() -> Key {
    Key::new("secret")
}

fn content(number: u64, message: &Message) -> Content<'_> {
    Content {
        to: THERE,
        session: NO_SESSION,
        number,
        stamp: Stamp { wall_ms: 1_000, logical: 2 },
        request: Some(request::Id([3; 16])),
        message: Some(message),
    }
}

fn envelope(number: u64, message: &Message) -> Envelope {
    seal::seal(&key(), &identity(), HERE, &content(number, message)).unwrap()
}

fn sample() -> Message {
    Message::Heartbeat(Heartbeat { number: 1, revision: 2, digest: 3, members: Vec::new() })
}

proptest! {
    #![proptest_config(config(1_000))]

    #[test]
    fn genuine_datagram_is_taken_once(message in message()) {
        let datagram = to_datagram(&envelope(1, &message)).unwrap();
        let mut windows = Windows::default();
        let delivery = open_datagram(&key(), THERE, &mut windows, &datagram).unwrap();
        prop_assert_eq!(delivery.message, message);
        prop_assert_eq!(&*delivery.from, "a1.7");
        prop_assert_eq!(&*delivery.address, HERE);
        prop_assert_eq!(delivery.request, Some(request::Id([3; 16])));
        let again = open_datagram(&key(), THERE, &mut windows, &datagram);
        prop_assert!(matches!(again, Err(Refusal::Replayed)));
    }

    #[test]
    fn altered_datagram_changes_nothing(
        message in heartbeat(),
        at in any::<Index>(),
        flip in 1..=255u8,
    ) {
        let genuine = to_datagram(&envelope(9, &message)).unwrap();
        let mut altered = genuine.clone();
        let at = at.index(altered.len());
        altered[at] ^= flip;
        let mut windows = Windows::default();
        let refused = open_datagram(&key(), THERE, &mut windows, &altered);
        // Some bytes spell the same envelope in two ways; such a copy is taken in its place, once.
        let taken = usize::from(refused.is_ok());
        let genuine = open_datagram(&key(), THERE, &mut windows, &genuine);
        prop_assert_eq!(taken + usize::from(genuine.is_ok()), 1);
    }

    #[test]
    fn random_datagram_changes_nothing(bytes in proptest::collection::vec(any::<u8>(), 0..1_400)) {
        let mut windows = Windows::default();
        prop_assert!(open_datagram(&key(), THERE, &mut windows, &bytes).is_err());
    }

    #[test]
    fn window_agrees_with_a_set(numbers in proptest::collection::vec(0..5_000u64, 1..200)) {
        let mut window = Window::default();
        let mut seen = std::collections::BTreeSet::new();
        for number in numbers {
            let greatest = seen.last().copied().unwrap_or(0);
            let expected = number > 0 && number + 1_024 > greatest && !seen.contains(&number);
            prop_assert_eq!(window.is_new(number), expected);
            if expected {
                window.insert(number);
                seen.insert(number);
            }
        }
    }
}

struct Case {
    change: fn(&mut Envelope),
}

#[test_case(Case { change: |envelope| envelope.holder = "b1.7".into() }; "holder")]
#[test_case(Case { change: |envelope| envelope.zone = "b".into() }; "zone")]
#[test_case(Case { change: |envelope| envelope.address = THERE.into() }; "address")]
#[test_case(Case { change: |envelope| envelope.to = HERE.into() }; "receiver")]
#[test_case(Case { change: |envelope| envelope.session = 1 }; "session")]
#[test_case(Case { change: |envelope| envelope.incarnation = 8 }; "incarnation")]
#[test_case(Case { change: |envelope| envelope.number = 2 }; "number")]
#[test_case(Case { change: |envelope| envelope.clock.wall_ms = 1 }; "wall time")]
#[test_case(Case { change: |envelope| envelope.clock.logical = 1 }; "logical time")]
#[test_case(Case { change: |envelope| envelope.request = None }; "request")]
#[test_case(Case { change: |envelope| envelope.request = Some(Vec::new()) }; "empty request")]
#[test_case(Case { change: |envelope| envelope.body.push(0) }; "body")]
#[test_case(Case { change: |envelope| envelope.mac[31] ^= 1 }; "hash")]
#[test_case(Case { change: |envelope| envelope.mac.truncate(31) }; "short hash")]
#[test_case(Case { change: |envelope| envelope.mac.clear() }; "no hash")]
fn every_field_is_under_the_hash(case: Case) {
    let mut envelope = envelope(1, &sample());
    (case.change)(&mut envelope);
    let datagram = to_datagram(&envelope).unwrap();
    let refused = open_datagram(&key(), THERE, &mut Windows::default(), &datagram);
    assert!(matches!(refused, Err(Refusal::Forged)), "{refused:?}");
}

#[test]
fn other_key_is_refused() {
    let datagram = to_datagram(&envelope(1, &sample())).unwrap();
    let other = Key::new("other");
    let refused = open_datagram(&other, THERE, &mut Windows::default(), &datagram);
    assert!(matches!(refused, Err(Refusal::Forged)));
}

/// Keys of two hosts, of which one restarts in the next step of a replacement.
struct Step {
    sender: fn() -> Key,
    receiver: fn() -> Key,
    accepted: bool,
}

fn old() -> Key {
    Key::new("old")
}

fn old_accepting() -> Key {
    Key::new("old").accepting("new")
}

fn new_accepting() -> Key {
    Key::new("new").accepting("old")
}

fn new() -> Key {
    Key::new("new")
}

#[test_case(Step { sender: old, receiver: old_accepting, accepted: true }; "first step")]
#[test_case(Step { sender: old_accepting, receiver: old, accepted: true }; "first step, back")]
#[test_case(Step { sender: old_accepting, receiver: new_accepting, accepted: true }; "second step")]
#[test_case(Step { sender: new_accepting, receiver: old_accepting, accepted: true }; "second step, back")]
#[test_case(Step { sender: new_accepting, receiver: new, accepted: true }; "third step")]
#[test_case(Step { sender: new, receiver: new_accepting, accepted: true }; "third step, back")]
#[test_case(Step { sender: old, receiver: new, accepted: false }; "all steps at once")]
#[test_case(Step { sender: new_accepting, receiver: old, accepted: false }; "a step left out")]
fn key_is_replaced_in_steps(step: Step) {
    let sealed = seal::seal(&(step.sender)(), &identity(), HERE, &content(1, &sample())).unwrap();
    let datagram = to_datagram(&sealed).unwrap();
    let opened = open_datagram(&(step.receiver)(), THERE, &mut Windows::default(), &datagram);
    assert_eq!(opened.is_ok(), step.accepted, "{opened:?}");
}

#[test]
fn other_receiver_is_refused() {
    let datagram = to_datagram(&envelope(1, &sample())).unwrap();
    let refused = open_datagram(&key(), HERE, &mut Windows::default(), &datagram);
    assert!(matches!(refused, Err(Refusal::Misaddressed)));
}

#[test]
fn envelope_of_a_connection_is_refused_as_datagram() {
    let message = sample();
    let content = Content { session: 5, ..content(1, &message) };
    let envelope = seal::seal(&key(), &identity(), HERE, &content).unwrap();
    let datagram = to_datagram(&envelope).unwrap();
    let refused = open_datagram(&key(), THERE, &mut Windows::default(), &datagram);
    assert!(matches!(refused, Err(Refusal::Session)));
}

#[test]
fn key_is_not_printed() {
    assert_eq!(format!("{:?}", key()), "Key(..)");
}

#[test]
fn memory_for_senders_is_bounded() {
    let mut windows = Windows::default();
    for sender in 0..10_000 {
        windows.insert(&format!("h{sender}.1"), 1);
    }
    assert!(!windows.is_new("h9999.1", 1));
    assert!(windows.is_new("h0.1", 1));
}

#[test]
fn full_page_of_members_fits_a_datagram() {
    let name: Arc<str> = Arc::from("n".repeat(40));
    let address: Arc<str> = Arc::from("255.255.255.255:65535");
    let member = Member {
        host: name.clone(),
        zone: name.clone(),
        address: address.clone(),
        incarnation: u64::MAX,
        state: State::Gone,
        revision: u64::MAX,
        refuted: u64::MAX,
    };
    let page = coordination::member::fit_in_heartbeat(&vec![member; 64]);
    assert!(!page.is_empty());
    let message = Message::Heartbeat(Heartbeat {
        number: u64::MAX,
        revision: u64::MAX,
        digest: u64::MAX,
        members: page,
    });
    let identity = Identity {
        holder: Arc::from(format!("{name}.{}", u64::MAX)),
        zone: name,
        incarnation: u64::MAX,
        address: None,
    };
    let content = Content {
        to: &address,
        stamp: Stamp { wall_ms: u64::MAX, logical: u32::MAX },
        ..content(u64::MAX, &message)
    };
    let envelope = seal::seal(&key(), &identity, &address, &content).unwrap();
    let size = to_datagram(&envelope).unwrap().len();
    assert!(size <= MAX_DATAGRAM_BYTES, "{size}");
}
