//! Metrics of this host, by opentelemetry, in the Prometheus text format.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use coordination::host::{Balance, Host};
use eyre::WrapErr as _;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Meter, MeterProvider as _},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use wire::link;

/// Metrics of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    answered: Counter<u64>,
    charged: Counter<u64>,
    refused: Counter<u64>,
    gauges: Arc<Gauges>,
}

#[derive(Debug, Default)]
struct Gauges {
    ready: AtomicBool,
    callers: AtomicU64,
    queue: AtomicU64,
    revision: AtomicU64,
    held: AtomicU64,
    reserved: AtomicU64,
    members: AtomicU64,
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
}

impl Metrics {
    /// Opens the metrics of this process.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter can't be built.
    pub fn open() -> eyre::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .wrap_err("step=metrics")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("laburnum");
        let gauges = Arc::new(Gauges::default());
        publish(&meter, &gauges);
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        Ok(Self {
            registry,
            answered: counter("laburnum_answers", "Whole answers delivered"),
            charged: counter("laburnum_charged_tokens", "Tokens charged for whole answers"),
            refused: counter("laburnum_refusals", "Requests ended with a problem"),
            provider,
            gauges,
        })
    }

    /// Counts a whole answer.
    pub fn answered(&self, charged: u64) {
        self.answered.add(1, &[]);
        self.charged.add(charged, &[]);
    }

    /// Counts a request that ended with a problem.
    pub fn refused(&self, code: &'static str, outcome: &'static str) {
        self.refused.add(1, &[KeyValue::new("code", code), KeyValue::new("outcome", outcome)]);
    }

    /// Takes the gauges of the host.
    pub fn observe(&self, host: &Host, callers: usize, queue: usize, peers: link::Counts) {
        let figures = host.stats();
        let gauges = &self.gauges;
        gauges.ready.store(figures.ready, Ordering::Relaxed);
        gauges.callers.store(callers as u64, Ordering::Relaxed);
        gauges.queue.store(queue as u64, Ordering::Relaxed);
        gauges.revision.store(figures.revision, Ordering::Relaxed);
        gauges.members.store(figures.members, Ordering::Relaxed);
        gauges.sent_bytes.store(peers.sent_bytes, Ordering::Relaxed);
        gauges.received_bytes.store(peers.received_bytes, Ordering::Relaxed);
    }

    /// Takes the sums over all budgets.
    pub fn observe_balances(&self, balances: impl Iterator<Item = Balance>) {
        let (mut available, mut reserved) = (0, 0);
        for balance in balances {
            available += balance.available;
            reserved += balance.reserved;
        }
        self.gauges.held.store(available, Ordering::Relaxed);
        self.gauges.reserved.store(reserved, Ordering::Relaxed);
    }

    /// Returns whether the host takes requests.
    pub fn is_ready(&self) -> bool {
        self.gauges.ready.load(Ordering::Relaxed)
    }

    /// Returns all metrics as text.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric can't be encoded.
    pub fn encode(&self) -> eyre::Result<String> {
        self.provider.force_flush().wrap_err("step=flush metrics")?;
        TextEncoder::new().encode_to_string(&self.registry.gather()).wrap_err("step=encode metrics")
    }
}

fn publish(meter: &Meter, gauges: &Arc<Gauges>) {
    type Read = fn(&Gauges) -> u64;
    let all: [(&'static str, &'static str, Read); 9] = [
        ("laburnum_ready", "1 while the host takes requests", |gauges| {
            u64::from(gauges.ready.load(Ordering::Relaxed))
        }),
        ("laburnum_callers", "Requests in progress", |gauges| {
            gauges.callers.load(Ordering::Relaxed)
        }),
        ("laburnum_core_queue", "Events that wait for the core", |gauges| {
            gauges.queue.load(Ordering::Relaxed)
        }),
        ("laburnum_config_revision", "Configuration revision in force", |gauges| {
            gauges.revision.load(Ordering::Relaxed)
        }),
        ("laburnum_held_tokens", "Tokens that this host may spend", |gauges| {
            gauges.held.load(Ordering::Relaxed)
        }),
        ("laburnum_reserved_tokens", "Tokens set aside for requests in progress", |gauges| {
            gauges.reserved.load(Ordering::Relaxed)
        }),
        ("laburnum_members", "Hosts heard of lately", |gauges| {
            gauges.members.load(Ordering::Relaxed)
        }),
        ("laburnum_peer_sent_bytes", "Bytes of messages sent to other hosts", |gauges| {
            gauges.sent_bytes.load(Ordering::Relaxed)
        }),
        ("laburnum_peer_received_bytes", "Bytes of messages from other hosts", |gauges| {
            gauges.received_bytes.load(Ordering::Relaxed)
        }),
    ];
    for (name, text, read) in all {
        let gauges = gauges.clone();
        meter
            .u64_observable_gauge(name)
            .with_description(text)
            .with_callback(move |observer| observer.observe(read(&gauges), &[]))
            .build();
    }
}
