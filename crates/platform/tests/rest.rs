//! Interface of the object store, the host list and the weight store, as the client sees it.

use std::time::Duration;

use platform::{Cause, Client, State, Step, Weights};
use serde_json::json;
use standin::{control, platform as standin_platform, raw};
use test_case::test_case;

fn spawn_platform(host_lag: Duration, weights_per_minute: u32) -> (standin::http::Handle, Client) {
    let settings =
        standin_platform::Settings { host_lag, weights_per_minute, ..Default::default() };
    let handle = standin_platform::spawn(settings).unwrap();
    let client = Client::new(handle.address, Duration::from_secs(10));
    (handle, client)
}

#[test]
fn objects_are_stored_and_replaced() {
    let (_server, client) = spawn_platform(Duration::ZERO, 1);
    assert_eq!(client.get_object("a/b").unwrap(), None);
    for bytes in [b"one".to_vec(), vec![], vec![0xff; 100_000]] {
        client.put_object("a/b", bytes.clone()).unwrap();
        assert_eq!(client.get_object("a/b").unwrap(), Some(bytes));
    }
}

#[test]
fn host_changes_are_listed_after_the_lag() {
    let live = json!({"host": "h", "zone": "a", "state": "live"});
    let gone = json!({"host": "h", "zone": "a", "state": "gone", "incarnation": 3});
    for (lag, listed) in [(Duration::ZERO, 1), (Duration::from_secs(3600), 0)] {
        let (server, client) = spawn_platform(lag, 1);
        for host in [&live, &gone] {
            control::post(server.address, "/control/hosts", host).unwrap();
        }
        let hosts = client.hosts().unwrap();
        assert_eq!(hosts.len(), listed);
        for host in hosts {
            assert_eq!((host.state, host.incarnation), (State::Gone, Some(3)));
        }
    }
}

#[test]
fn weight_downloads_are_rate_limited() {
    let (_server, client) = spawn_platform(Duration::ZERO, 2);
    assert_eq!(client.request_weights("m").unwrap(), Weights::Started);
    assert_eq!(client.request_weights("n").unwrap(), Weights::Started);
    let Weights::Busy(retry_after) = client.request_weights("m").unwrap() else {
        panic!("expected the rate limit to be exhausted")
    };
    assert!(
        retry_after > Duration::ZERO && retry_after <= Duration::from_secs(60),
        "{retry_after:?}"
    );
}

#[test_case("HTTP/1.1 200 OK\r\n\r\n{\"hosts\":[]}" => "step=hosts peer=PEER: answer without a length"; "no length")]
#[test_case("HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n" => "step=hosts peer=PEER: status 500"; "status")]
fn errors_include_step_and_peer(response: &str) -> String {
    let peer = raw::spawn(response).unwrap();
    let error = Client::new(peer.address, Duration::from_secs(10)).hosts().unwrap_err();
    assert_eq!((error.step, error.peer), (Step::Hosts, peer.address));
    error.to_string().replace(&peer.address.to_string(), "PEER")
}

#[test]
fn an_object_response_without_a_length_is_an_error() {
    let peer = raw::spawn("HTTP/1.1 200 OK\r\n\r\nbytes").unwrap();
    let error = Client::new(peer.address, Duration::from_secs(10)).get_object("a").unwrap_err();
    assert!(matches!(error.cause, Cause::NoLength), "{error}");
}
