//! A host that a test drives directly, without a simulated fleet.

use std::{sync::Arc, time::Duration};

use coordination::host::{Host, Settings};

/// Creates a host that knows no others.
pub fn new_host(host: &Arc<str>, zone: &Arc<str>) -> Host {
    Host::new(Settings {
        host: host.clone(),
        zone: zone.clone(),
        incarnation: 1,
        address: "127.0.0.1:1".into(),
        seeds: Vec::new(),
        secret: vec![1; 32],
        accepted_secret: None,
        key: [1; 32],
        seed: 1,
        max_requests: 10,
        drain_timeout: Duration::from_secs(1),
    })
}
