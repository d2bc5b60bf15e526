//! Contract of the object store, the list of hosts and the weight store.

use std::time::Duration;

use platform::{Cause, Client, State, Step, Weights};
use serde_json::json;
use standin::{control, platform as stand, raw};
use test_case::test_case;

fn stand(host_lag: Duration, weights_per_minute: u32) -> (standin::http::Handle, Client) {
    let settings = stand::Settings { host_lag, weights_per_minute, ..Default::default() };
    let handle = stand::spawn(settings).unwrap();
    let client = Client::new(handle.address, Duration::from_secs(10));
    (handle, client)
}

#[test]
fn objects_are_kept_and_replaced() {
    let (_stand, client) = stand(Duration::ZERO, 1);
    assert_eq!(client.get_object("a/b").unwrap(), None);
    for bytes in [b"one".to_vec(), vec![], vec![0xff; 100_000]] {
        client.put_object("a/b", bytes.clone()).unwrap();
        assert_eq!(client.get_object("a/b").unwrap(), Some(bytes));
    }
}

#[test]
fn hosts_show_after_the_lag() {
    let live = json!({"host": "h", "zone": "a", "state": "live"});
    let gone = json!({"host": "h", "zone": "a", "state": "gone", "incarnation": 3});
    for (lag, shown) in [(Duration::ZERO, 1), (Duration::from_secs(3600), 0)] {
        let (stand, client) = stand(lag, 1);
        for host in [&live, &gone] {
            control::post(stand.address, "/control/hosts", host).unwrap();
        }
        let hosts = client.hosts().unwrap();
        assert_eq!(hosts.len(), shown);
        for host in hosts {
            assert_eq!((host.state, host.incarnation), (State::Gone, Some(3)));
        }
    }
}

#[test]
fn weights_are_limited() {
    let (_stand, client) = stand(Duration::ZERO, 2);
    assert_eq!(client.weights("m").unwrap(), Weights::Started);
    assert_eq!(client.weights("n").unwrap(), Weights::Started);
    let Weights::Busy(wait) = client.weights("m").unwrap() else { panic!("over the rate") };
    assert!(wait > Duration::ZERO && wait <= Duration::from_secs(60), "{wait:?}");
}

#[test_case("HTTP/1.1 200 OK\r\n\r\n{\"hosts\":[]}" => "step=hosts peer=PEER: answer without a length"; "no length")]
#[test_case("HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n" => "step=hosts peer=PEER: status 500"; "status")]
fn errors_carry_step_and_peer(answer: &str) -> String {
    let peer = raw::spawn(answer).unwrap();
    let error = Client::new(peer.address, Duration::from_secs(10)).hosts().unwrap_err();
    assert_eq!((error.step, error.peer), (Step::Hosts, peer.address));
    error.to_string().replace(&peer.address.to_string(), "PEER")
}

#[test]
fn an_object_without_a_length_is_not_taken_for_an_empty_one() {
    let peer = raw::spawn("HTTP/1.1 200 OK\r\n\r\nbytes").unwrap();
    let error = Client::new(peer.address, Duration::from_secs(10)).get_object("a").unwrap_err();
    assert!(matches!(error.cause, Cause::NoLength), "{error}");
}
