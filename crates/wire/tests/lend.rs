//! Messages by which hosts lend each other tokens.

use test_case::test_case;
use wire::lend::{AllocationNote, Ask, Lent, ResumePoint};

fn ask(tokens: u64) -> Ask {
    Ask { tokens, whole: true, ..Ask::for_workspace("w".into()) }
}

#[test]
fn messages_are_read_as_they_were_written() {
    let wish = ask(7_000);
    assert_eq!(Ask::decode(&wish.encode().expect("written")).expect("read"), wish);
    let gift = Ask { returned: 300, ..ask(0) };
    assert_eq!(Ask::decode(&gift.encode().expect("written")).expect("read"), gift);
    let point = ResumePoint { prompt: [7; 32], event: 12 };
    let charge = Ask { charged: Some(point), ..ask(0) };
    assert_eq!(Ask::decode(&charge.encode().expect("written")).expect("read"), charge);
    let resumed = Ask { resumed: Some(point), ..ask(0) };
    assert_eq!(Ask::decode(&resumed.encode().expect("written")).expect("read"), resumed);
    let row = AllocationNote { holder: "h".into(), number: 3, written_ms: Some(9) };
    let note = Ask { note: Some(row), ..ask(0) };
    assert_eq!(Ask::decode(&note.encode().expect("written")).expect("read"), note);
    let noted = Some(false);
    let lent =
        Lent { tokens: 7_000, left: 3, returning: 20, exhausted: true, charged: true, noted };
    assert_eq!(Lent::decode(&lent.encode().expect("written")).expect("read"), lent);
}

#[test_case(u64::MAX; "a negative number")]
#[test_case(1 << 51; "more than any budget")]
fn wish_for_an_impossible_number_is_refused(tokens: u64) {
    assert!(Ask::decode(&ask(tokens).encode().expect("written")).is_err());
    let gift = Ask { returned: tokens, ..ask(0) };
    assert!(Ask::decode(&gift.encode().expect("written")).is_err());
}

#[test]
fn bytes_of_something_else_are_refused() {
    assert!(Ask::decode(b"").is_err());
    assert!(Lent::decode(b"not thrift").is_err());
}
