//! Counters and latency histograms of a host, in the Prometheus text format.

use std::{cell::RefCell, collections::BTreeSet, sync::Arc, time::Duration};

use eyre::WrapErr as _;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider as _},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::{
    limit::ColdBasis,
    node::Node,
    placement::{Backends, Excluded},
};

/// Bucket bounds of the latency histograms in seconds.
const LATENCY_BUCKETS_S: [f64; 12] =
    [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.8, 1.0, 2.0, 4.0, 8.0, 16.0];

/// Metrics of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    connections_closed: Counter<u64>,
    gaps_exceeded: Counter<u64>,
    duration: Histogram<f64>,
    prompt_tokens_cached: Counter<u64>,
    prompt_tokens_read_again: Counter<u64>,
    held: Gauge<u64>,
    reserved: Gauge<u64>,
    active: Gauge<u64>,
    hosts: Gauge<u64>,
    version: Gauge<u64>,
    ready: Gauge<u64>,
    quarantined: Gauge<u64>,
    limits: Gauge<f64>,
    permits_issued: Gauge<u64>,
    permits_used: Gauge<u64>,
    evacuated_s: Gauge<f64>,
    evacuated_backends: Gauge<u64>,
    unknown_evacuations: Gauge<u64>,
    /// Zones that were evacuated since the start; their gauges are 0 afterwards.
    evacuated_zones: RefCell<BTreeSet<Arc<str>>>,
    cold: Gauge<u64>,
    not_placed: Counter<u64>,
}

impl Metrics {
    /// Creates the metrics of this process.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter can't be built.
    pub fn new() -> eyre::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .wrap_err("step=metrics")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("laburnum");
        let gauge = |name, description| meter.u64_gauge(name).with_description(description).build();
        Ok(Self {
            requests: meter
                .u64_counter("laburnum_requests")
                .with_description("Requests that were admitted, by how they ended")
                .build(),
            refusals: meter
                .u64_counter("laburnum_request_refusals")
                .with_description("Requests that were not admitted, by reason")
                .build(),
            connections_closed: meter
                .u64_counter("laburnum_connections_closed")
                .with_description("Callers' connections that this host closed, by reason")
                .build(),
            gaps_exceeded: meter
                .u64_counter("laburnum_stream_gaps_exceeded")
                .with_description("Streams with a pause between events above their route's bound")
                .build(),
            duration: meter
                .f64_histogram("laburnum_request_seconds")
                .with_description("Time from a request's head to the end of its answer")
                .with_boundaries(LATENCY_BUCKETS_S.to_vec())
                .build(),
            prompt_tokens_cached: meter
                .u64_counter("laburnum_prompt_tokens_expected_cached")
                .with_description(
                    "Tokens of prompts sent that the engine was expected to have cached",
                )
                .build(),
            prompt_tokens_read_again: meter
                .u64_counter("laburnum_prompt_tokens_read_again")
                .with_description(
                    "Tokens of prompts sent that this host had sent before and that the engine was \
                     expected to read again",
                )
                .build(),
            held: gauge("laburnum_held_tokens", "Tokens that this host may spend"),
            reserved: gauge("laburnum_reserved_tokens", "Tokens set aside for requests"),
            active: gauge("laburnum_active_requests", "Requests under way"),
            hosts: gauge("laburnum_hosts", "Hosts that share budgets and bounds"),
            version: gauge("laburnum_config_version", "Configuration in force"),
            ready: gauge("laburnum_ready", "1 while the host takes requests"),
            quarantined: gauge(
                "laburnum_quarantined_parts",
                "Parts of prompts that aren't sent to backend servers",
            ),
            limits: meter
                .f64_gauge("laburnum_backend_limit_per_second")
                .with_description("Requests that a backend server takes from all hosts together")
                .build(),
            permits_issued: gauge(
                "laburnum_backend_permits_issued",
                "Requests that this host was allowed to send to a limited backend server so far",
            ),
            permits_used: gauge(
                "laburnum_backend_permits_used",
                "Requests that this host sent to a limited backend server so far",
            ),
            evacuated_s: meter
                .f64_gauge("laburnum_evacuated_seconds")
                .with_description("Time for which a zone is evacuated; 0 if it isn't any more")
                .build(),
            evacuated_backends: gauge(
                "laburnum_evacuated_backends",
                "Backend servers that get no requests, since their zone is evacuated",
            ),
            unknown_evacuations: gauge(
                "laburnum_unknown_evacuations",
                "Evacuations that name no known zone",
            ),
            evacuated_zones: RefCell::default(),
            cold: gauge(
                "laburnum_cold_backends",
                "Backend servers that are cold, by their entries or by assumption",
            ),
            not_placed: meter
                .u64_counter("laburnum_requests_not_placed")
                .with_description("Requests that found no permit, by the kind of bound")
                .build(),
            registry,
            provider,
        })
    }

    /// Counts a request that was admitted and has ended.
    pub fn ended(&self, outcome: &str, route: &str, elapsed: Duration) {
        let outcome = KeyValue::new("outcome", outcome.to_owned());
        self.requests.add(1, std::slice::from_ref(&outcome));
        let route = KeyValue::new("route", route.to_owned());
        self.duration.record(elapsed.as_secs_f64(), &[outcome, route]);
    }

    /// Counts a stream with a pause between events that was longer than its route allows.
    pub fn gap_exceeded(&self, route: &str) {
        self.gaps_exceeded.add(1, &[KeyValue::new("route", route.to_owned())]);
    }

    /// Counts a request that was not admitted.
    pub fn refused(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a request that was placed nowhere, once for each kind of bound that left backend servers
    /// without a permit.
    pub fn not_placed(&self, excluded: Excluded) {
        for (bound, servers) in [("cold", excluded.cold), ("limited", excluded.limited)] {
            self.not_placed.add(u64::from(servers > 0), &[KeyValue::new("bound", bound)]);
        }
    }

    /// Counts a caller's connection that this host closes.
    pub fn connection_closed(&self, reason: &'static str) {
        self.connections_closed.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts the tokens of a prompt that is sent: those that the engine is expected to have cached,
    /// and those that it reads although this host has sent them before.
    pub fn prompt_sent(&self, service: &str, cached: u64, read_again: u64) {
        let service = [KeyValue::new("service", service.to_owned())];
        self.prompt_tokens_cached.add(cached, &service);
        self.prompt_tokens_read_again.add(read_again, &service);
    }

    fn record_limits(&self, now: Duration, backends: &Backends) {
        for (basis, name) in [(ColdBasis::Entry, "entry"), (ColdBasis::Assumption, "assumption")] {
            let cold = backends.cold(now).filter(|(_, found)| *found == basis).count();
            self.cold.record(cold as u64, &[KeyValue::new("basis", name)]);
        }
        for backend in backends.limited() {
            let id = [KeyValue::new("backend", backend.entry.id.to_string())];
            let usage = backend.limit.usage();
            // A limit that was withdrawn is one without bounds.
            self.limits.record(backend.limit.stated_per_s().unwrap_or(f64::INFINITY), &id);
            self.permits_issued.record(usage.issued, &id);
            self.permits_used.record(usage.used, &id);
        }
    }

    fn record_evacuations(&self, node: &Node) {
        let backends = node.backends.borrow();
        let counts = backends.count_by_zone();
        let mut zones = self.evacuated_zones.borrow_mut();
        zones.extend(backends.evacuated().keys().cloned());
        for zone in &*zones {
            let label = [KeyValue::new("zone", zone.to_string())];
            let since = backends.evacuated().get(zone);
            let evacuated_for = since.map_or(Duration::ZERO, |since| node.now() - *since);
            self.evacuated_s.record(evacuated_for.as_secs_f64(), &label);
            let count = since.and_then(|_| counts.get(zone)).copied().unwrap_or(0);
            self.evacuated_backends.record(count as u64, &label);
        }
        let unknown = node.evacuations.borrow().unknown(&node.settings.known_zones).len();
        self.unknown_evacuations.record(unknown as u64, &[]);
    }

    /// Returns all metrics of a host as text.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric can't be encoded.
    pub fn encode(&self, node: &Node) -> eyre::Result<String> {
        let (held, reserved) = node.budgets.balance();
        self.held.record(held, &[]);
        self.reserved.record(reserved, &[]);
        self.active.record(node.active.get() as u64, &[]);
        self.hosts.record(node.hosts(), &[]);
        self.version.record(node.catalog().map_or(0, |catalog| catalog.version()), &[]);
        self.ready.record(u64::from(node.is_ready()), &[]);
        let quarantined = node.quarantine.borrow().parts(node.now()).len();
        self.quarantined.record(quarantined as u64, &[]);
        self.record_limits(node.now(), &node.backends.borrow());
        self.record_evacuations(node);
        self.provider.force_flush().wrap_err("step=flush metrics")?;
        TextEncoder::new().encode_to_string(&self.registry.gather()).wrap_err("step=encode metrics")
    }
}
