//! Reading and writing of messages.

#[allow(dead_code)]
mod common;

use common::message;
use proptest::{prelude::*, sample::Index, test_runner::RngSeed};
use test_case::test_case;
use wire::message::{Fault, from_bytes, to_bytes};

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Default::default()
    }
}

proptest! {
    #![proptest_config(config(2_000))]

    #[test]
    fn message_survives_the_way(message in message()) {
        let bytes = to_bytes(&message).unwrap();
        prop_assert_eq!(from_bytes(&bytes).unwrap(), message);
    }

    #[test]
    fn cut_message_is_refused(message in message(), at in any::<Index>()) {
        let bytes = to_bytes(&message).unwrap();
        prop_assert!(from_bytes(&bytes[..at.index(bytes.len())]).is_err());
    }

    #[test]
    fn altered_message_never_panics(
        message in message(),
        changes in proptest::collection::vec((any::<Index>(), any::<u8>()), 1..8),
    ) {
        let mut bytes = to_bytes(&message).unwrap();
        for (at, byte) in changes {
            let at = at.index(bytes.len());
            bytes[at] = byte;
        }
        let _ = from_bytes(&bytes);
    }

    #[test]
    fn random_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        let _ = from_bytes(&bytes);
    }
}

struct Case {
    bytes: &'static [u8],
    refused: fn(&Fault) -> bool,
}

#[test_case(Case { bytes: &[], refused: |fault| matches!(fault, Fault::Thrift(_)) }; "no bytes")]
#[test_case(Case { bytes: &[0], refused: |fault| matches!(fault, Fault::Thrift(_)) }; "empty union")]
#[test_case(Case { bytes: &[0x86, 2, 0, 9], refused: |fault| matches!(fault, Fault::Trailing(1)) }; "trailing byte")]
#[test_case(Case { bytes: &[0x86, 2, 0x86, 2, 0], refused: |fault| matches!(fault, Fault::Thrift(_)) }; "two members of a union")]
#[test_case(Case { bytes: &[0x38, 0xff, 0xff, 0xff, 0xff, 0x07], refused: |fault| matches!(fault, Fault::Thrift(_)) }; "string longer than the bytes")]
#[test_case(Case { bytes: &[0x1c, 0x18, 0, 0x16, 0, 0x11, 0x19, 0xfc, 0xff, 0xff, 0xff, 0x07], refused: |fault| matches!(fault, Fault::Thrift(_)) }; "list longer than the bytes")]
#[test_case(Case { bytes: &[0x9c, 0x18, 1, 7, 0x18, 0, 0, 0], refused: |fault| matches!(fault, Fault::Length { field: "request", expected: 16, found: 1 }) }; "short request id")]
fn malformed_message_is_refused(case: Case) {
    let fault = from_bytes(case.bytes).unwrap_err();
    assert!((case.refused)(&fault), "{fault:?}");
}
