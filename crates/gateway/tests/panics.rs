//! Tests that a panic ends only the request in which it occurs.

use std::future::ready;

use bytes::Bytes;
use futures_util::{FutureExt as _, StreamExt as _, stream};
use gateway::{body::Truncated, panics};

#[test]
fn request_that_panics_gets_an_answer() {
    let caught = panics::catch("id", async { panic!("no such row") });
    assert_eq!(caught.now_or_never(), Some(None::<()>));
    assert_eq!(panics::catch("id", ready(1)).now_or_never(), Some(Some(1)));
}

#[test]
fn response_that_panics_breaks_off() {
    let items = stream::iter(0..3).map(|number| match number {
        0 => Ok(Bytes::from_static(b"first")),
        _ => panic!("no such event"),
    });
    let items = panics::catch_stream("id".into(), items).collect::<Vec<_>>().now_or_never();
    let items = items.expect("all items at once");
    assert!(matches!(&items[..], [Ok(first), Err(Truncated)] if first == "first"), "{items:?}");
}
