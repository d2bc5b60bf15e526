//! Orders to engines by processes, of which the one that gives them is killed or frozen.
//!
//! An engine that ignores fencing numbers meets a holder of the lease that freezes between two
//! orders, and one that freezes between an intent and its order for longer than
//! [`coordination::order::Setting::pause_max`].

#[allow(dead_code)]
mod fleet;

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use coordination::{
    order::{INTENT_PREFIX, LEASE_KEY},
    record::{Model, empty},
};
use fleet::{Fleet, Plan, THREE};
use rustix::process::Signal;
use serde_json::{Value, json};
use standin::{control, engine, http};
use test_case::test_case;

/// Time for which the platform holds answers back, so that a freeze meets an order on its way.
const SLOW_MS: u64 = 1_000;

/// The same for a freeze that meets an intent on its way.
const INTENT_MS: u64 = 1_500;

/// Longest wait for the end of another holder's intent.
const INTENT_WAIT: Duration = Duration::from_secs(180);

/// An engine besides those of the fleet, with its record.
struct Engine {
    handle: http::Handle,
    fencing: bool,
}

impl Engine {
    /// Starts an engine that holds one model.
    fn open(fencing: bool) -> Self {
        let model = Model { name: "assess".into(), adapter: empty(), version: empty() };
        let handle = engine::spawn(engine::Settings {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            name: "engine-x".into(),
            zone: "a".into(),
            models: vec![model],
            fencing,
            ..engine::Settings::default()
        });
        Self { handle: handle.expect("engine"), fencing }
    }

    /// Writes its record; returns the revision.
    fn want(&self, fleet: &Fleet, models: &[&str]) -> u64 {
        self.want_as(fleet, models, &Value::Null)
    }

    /// Writes its record with a role; returns the revision.
    fn want_as(&self, fleet: &Fleet, models: &[&str], role: &Value) -> u64 {
        let models: Vec<Value> = models.iter().map(|name| json!({"name": name})).collect();
        fleet.put(&json!({
            "kind": "backend", "version": 2, "name": "engine-x", "zone": "a", "role": "engine",
            "address": self.handle.url(), "models": models, "slots": 8, "fencing": self.fencing,
            "serve_as": role,
        }))
    }

    fn models(&self) -> Vec<String> {
        let state = control::get(self.handle.address, "/state").expect("state");
        let models = state["models"].as_array().expect("models").iter();
        let mut names: Vec<String> =
            models.map(|model| model["name"].as_str().expect("name").to_owned()).collect();
        names.sort();
        names
    }

    fn wait_role(&self, fleet: &Fleet, role: &str) {
        fleet.wait(&format!("the engine serves as {role}"), || {
            control::get(self.handle.address, "/state").expect("state")["role"] == role
        });
    }

    fn wait_models(&self, fleet: &Fleet, models: &[&str]) {
        fleet.wait(&format!("the engine holds {models:?}"), || self.models() == models);
    }

    /// Returns the orders that took effect: number, kind and model.
    fn orders(&self) -> Vec<(u64, String, String)> {
        let orders = control::get(self.handle.address, "/control/orders").expect("orders");
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let list = orders.as_array().expect("orders");
        let parts = list.iter().map(|order| {
            let fence = order["fence"].as_u64().expect("fence");
            (fence, text(&order["order"]), text(&order["model"]["name"]))
        });
        parts.collect()
    }

    /// Checks that these orders took effect and no others, each newer than the one before.
    fn check(&self, expected: &[(&str, &str)]) {
        let orders = self.orders();
        let found: Vec<(&str, &str)> =
            orders.iter().map(|(_, order, model)| (order.as_str(), model.as_str())).collect();
        assert_eq!(found, expected, "{orders:?}");
        assert!(orders.is_sorted_by(|a, b| a.0 < b.0), "{orders:?}");
    }
}

/// Returns the host that holds the lease, with its zone.
fn holder(fleet: &Fleet) -> Option<(&'static str, &'static str)> {
    let row = fleet.row(LEASE_KEY)?;
    let (name, _) = row["holder"].as_str()?.rsplit_once('.')?;
    THREE.iter().copied().find(|(host, _)| *host == name)
}

fn wait_holder(fleet: &Fleet) -> (&'static str, &'static str) {
    fleet.wait("a host holds the lease", || holder(fleet).is_some());
    holder(fleet).expect("holder")
}

fn wait_revision(fleet: &Fleet, host: &str, revision: u64) {
    fleet.wait(&format!("revision {revision} at {host}"), || {
        fleet.metric(host, "laburnum_config_revision") >= revision
    });
}

fn wait_no_intent(fleet: &Fleet) {
    fleet.wait("no intent is left", || fleet.rows(INTENT_PREFIX).is_empty());
}

#[test_case(true; "an engine that enforces fencing numbers")]
#[test_case(false; "an engine that ignores fencing numbers")]
fn a_wanted_model_is_loaded_by_one_order(fencing: bool) {
    let fleet = Fleet::open(Plan::default());
    let engine = Engine::open(fencing);
    wait_holder(&fleet);
    engine.want(&fleet, &["assess", "reply"]);
    engine.wait_models(&fleet, &["assess", "reply"]);
    let revision = engine.want(&fleet, &["assess", "review", "reply"]);
    engine.wait_models(&fleet, &["assess", "reply", "review"]);
    for (host, _) in THREE {
        wait_revision(&fleet, host, revision);
    }
    engine.want(&fleet, &["review", "reply"]);
    engine.wait_models(&fleet, &["reply", "review"]);
    engine.check(&[("load", "reply"), ("load", "review"), ("unload", "assess")]);
    wait_no_intent(&fleet);
}

#[test_case(true; "an engine that enforces fencing numbers")]
#[test_case(false; "an engine that ignores fencing numbers")]
fn another_host_goes_on_after_the_holder_of_the_lease_was_killed(fencing: bool) {
    let mut fleet = Fleet::open(Plan::default());
    let engine = Engine::open(fencing);
    let (first, zone) = wait_holder(&fleet);
    engine.want(&fleet, &["assess", "reply"]);
    engine.wait_models(&fleet, &["assess", "reply"]);
    wait_no_intent(&fleet);
    fleet.kill(first);
    fleet.list(first, zone, "gone");
    engine.want(&fleet, &["assess", "review"]);
    engine.wait_models(&fleet, &["assess", "review"]);
    assert_ne!(wait_holder(&fleet).0, first);
    engine.check(&[("load", "reply"), ("unload", "reply"), ("load", "review")]);
}

#[test_case(true; "with an order on its way to an engine that enforces fencing numbers")]
#[test_case(false; "between two orders to an engine that ignores fencing numbers")]
fn a_holder_frozen_past_its_lease_gives_no_order_when_it_wakes(fencing: bool) {
    let fleet = Fleet::open(Plan::default());
    let engine = Engine::open(fencing);
    let (first, _) = wait_holder(&fleet);
    let models: &[&str] = match fencing {
        true => &["assess", "reply"],
        false => &["assess"],
    };
    if fencing {
        fleet.fail_platform(&json!({"kind": "slow", "ms": SLOW_MS}));
    }
    let revision = engine.want(&fleet, models);
    wait_revision(&fleet, first, revision);
    fleet.signal(first, Signal::STOP);
    fleet.fail_platform(&json!({"kind": "up"}));
    engine.want(&fleet, &["assess", "reply"]);
    engine.wait_models(&fleet, &["assess", "reply"]);
    assert_ne!(wait_holder(&fleet).0, first);
    let revision = engine.want(&fleet, &["assess"]);
    engine.wait_models(&fleet, &["assess"]);

    fleet.signal(first, Signal::CONT);
    wait_revision(&fleet, first, revision);
    engine.want(&fleet, &["assess", "review"]);
    engine.wait_models(&fleet, &["assess", "review"]);
    engine.check(&[("load", "reply"), ("unload", "reply"), ("load", "review")]);
}

#[test_case(true; "an engine that enforces fencing numbers")]
#[test_case(false; "an engine that ignores fencing numbers")]
fn a_record_orders_a_role(fencing: bool) {
    let mut fleet = Fleet::open(Plan::default());
    let engine = Engine::open(fencing);
    let (first, zone) = wait_holder(&fleet);
    engine.want_as(&fleet, &["assess", "reply"], &"prefill".into());
    engine.wait_role(&fleet, "prefill");
    wait_no_intent(&fleet);
    fleet.kill(first);
    fleet.list(first, zone, "gone");
    engine.want_as(&fleet, &["assess", "reply"], &"decode".into());
    engine.wait_role(&fleet, "decode");
    engine.check(&[("load", "reply"), ("role", ""), ("role", "")]);
}

/// Takes as long as an intent of another holder is waited out.
#[test]
fn a_holder_frozen_between_intent_and_order_gives_no_order_when_it_wakes() {
    let fleet = Fleet::open(Plan::default());
    let engine = Engine::open(false);
    let (first, _) = wait_holder(&fleet);
    let revision = engine.want(&fleet, &["assess"]);
    wait_revision(&fleet, first, revision);
    fleet.fail_platform(&json!({"kind": "slow", "ms": INTENT_MS}));
    let revision = engine.want_as(&fleet, &["assess"], &"prefill".into());
    wait_revision(&fleet, first, revision);
    thread::sleep(Duration::from_millis(INTENT_MS / 3));
    fleet.signal(first, Signal::STOP);
    fleet.fail_platform(&json!({"kind": "up"}));
    fleet.wait("the intent is written", || !fleet.rows(INTENT_PREFIX).is_empty());
    engine.check(&[]);
    engine.want_as(&fleet, &["assess"], &"decode".into());
    fleet.wait("another host holds the lease", || {
        holder(&fleet).is_some_and(|(host, _)| host != first)
    });
    let until = Instant::now() + INTENT_WAIT;
    while !fleet.rows(INTENT_PREFIX).is_empty() && Instant::now() < until {
        thread::sleep(Duration::from_millis(100));
    }
    engine.wait_role(&fleet, "decode");

    fleet.signal(first, Signal::CONT);
    let revision = engine.want_as(&fleet, &["assess"], &"both".into());
    wait_revision(&fleet, first, revision);
    engine.wait_role(&fleet, "both");
    engine.check(&[("role", ""), ("role", "")]);
}
