//! The daemon that runs on each entry host.
//!
//! Services run as threads and find each other by name in the [`kernel`]. The [`driver`] owns the
//! decisions of the host; all other services do its input and output.

pub mod backend;
pub mod driver;
pub mod edge;
pub mod kernel;
pub mod log;
pub mod metrics;
pub mod operator;
pub mod settings;
pub mod table;
pub mod watch;

use std::{
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use coordination::{
    host::{self, Host, event::Event},
    timeline::{Entry, Ring, Step},
};
use crossbeam::channel::{Sender, bounded, unbounded};
use eyre::WrapErr as _;
use rand::Rng as _;
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use tokio::sync::watch as flag;
use wire::{link, seal};

use crate::{
    driver::{Driver, Inbound, Parts, Timeline},
    edge::Edge,
    kernel::{Exit, Kernel},
    metrics::Metrics,
    operator::{Desk, Scraping},
    settings::Settings,
};

/// Name of the service that answers scrapers.
const OPERATOR: &str = "operator";

/// Name of the service that reads the platform's host list.
const HOSTS: &str = "hosts";

/// Longest time that the callers' edge gets to close its connections after the host has stopped.
const EDGE_CLOSE: Duration = Duration::from_secs(5);

/// Longest silence of a back end's stream on the wire.
const STREAM_STALL: Duration = Duration::from_secs(60);

/// Runs the daemon until it is told to stop.
///
/// # Errors
///
/// Returns an error if a service can't be started, ends by itself, or the host was taken for dead.
pub fn run(settings: &Settings) -> eyre::Result<()> {
    let kernel = Kernel::open();
    let (core, inbox) = bounded(driver::QUEUE);
    let (stop, stopped) = flag::channel(false);
    let metrics = Arc::new(Metrics::open()?);
    let ring = Ring::new(settings.host.name.clone(), settings.limits.timeline_events);
    let timeline = Arc::new(Timeline::new(ring));
    let edge = Edge::bind(settings.host.caller_address, core.clone(), edge_limits(settings))?;
    let (to_driver, peers) = bounded(driver::QUEUE);
    let incarnation = driver::wall_ms();
    let desk = Desk::new(core.clone(), timeline.clone());
    let link = bind_link(settings, incarnation, desk, to_driver)?;
    let scraping = Scraping::bind(settings.host.operator_address, &metrics)?;
    let callers = edge.address()?;
    let (peers_address, operators) = (link.address(), scraping.address());
    println!("listening callers={callers} peers={peers_address} operators={operators}");
    let host = Host::new(host_settings(settings, incarnation, link.address()));
    start_services(&kernel, settings, &core)?;
    kernel.spawn(OPERATOR, move || scraping.run())?;
    kernel.spawn(edge::NAME, move || edge.run(stopped))?;
    timeline.push(started(&host));
    let tick = settings.timing.tick;
    let parts = Parts { tick, inbox, peers, link, timeline, metrics };
    let driver = Driver::open(host, &kernel.registry(), parts)?;
    kernel.spawn(driver::NAME, move || driver.run())?;
    stop_on_signal(core, stop.clone())?;
    supervise(&kernel, &stop)
}

fn started(host: &Host) -> Entry {
    let detail = format!("holder={} zone={}", host.id(), host.settings().zone).into();
    Entry { request: None, step: Step::Started, peer: "".into(), cause: None, detail }
}

fn edge_limits(settings: &Settings) -> edge::Limits {
    edge::Limits {
        body_bytes: settings.limits.max_body_bytes,
        head_bytes: settings.limits.max_header_bytes,
        connections: settings.limits.max_connections,
        read: settings.timing.client,
    }
}

fn bind_link(
    settings: &Settings,
    incarnation: u64,
    desk: Desk,
    inbox: Sender<link::Inbound>,
) -> eyre::Result<link::Handle> {
    let identity = link::Identity {
        holder: format!("{}.{incarnation}", settings.host.name).into(),
        zone: settings.host.zone.clone(),
        incarnation,
        address: settings.host.advertise.map(|address| address.to_string().into()),
    };
    let mut key = seal::Key::new(&hex::encode(settings.fleet.key.0));
    if let Some(accepted) = &settings.fleet.accept_key {
        key = key.accepting(&hex::encode(accepted.0));
    }
    link::bind(settings.host.peer_address, key, identity, Arc::new(desk), inbox)
}

fn host_settings(settings: &Settings, incarnation: u64, bound: SocketAddr) -> host::Settings {
    let mut rng = rand::rng();
    let mut key = [0; 32];
    rng.fill_bytes(&mut key);
    let address = settings.host.advertise.unwrap_or(bound);
    host::Settings {
        host: settings.host.name.clone(),
        zone: settings.host.zone.clone(),
        incarnation,
        address: address.to_string().into(),
        seeds: settings.fleet.peers.iter().map(|peer| peer.to_string().into()).collect(),
        secret: settings.fleet.key.0.to_vec(),
        accepted_secret: settings.fleet.accept_key.as_ref().map(|key| key.0.to_vec()),
        key,
        seed: rng.next_u64(),
        max_requests: settings.limits.max_streams,
        drain_timeout: settings.limits.drain,
    }
}

fn start_services(
    kernel: &Kernel,
    settings: &Settings,
    core: &Sender<Inbound>,
) -> eyre::Result<()> {
    let registry = kernel.registry();
    let (jobs, received) = unbounded();
    registry.publish(backend::NAME, jobs);
    let limits =
        backend::Limits { exchanges: settings.limits.max_streams * 2, stall: STREAM_STALL };
    let to_core = core.clone();
    kernel.spawn(backend::NAME, move || backend::run(&received, to_core, limits))?;

    let client = platform::Client::new(settings.platform.address, settings.platform.timeout);
    let client = Arc::new(client);
    let (jobs, received) = unbounded();
    registry.publish(table::NAME, jobs);
    let (to_core, shared) = (core.clone(), client.clone());
    kernel.spawn(table::NAME, move || table::run(&shared, &received, &to_core))?;
    let (to_core, interval) = (core.clone(), settings.timing.hosts);
    kernel.spawn(HOSTS, move || table::follow_hosts(&client, &to_core, interval))?;

    let (changes, received) = unbounded();
    registry.publish(watch::NAME, changes);
    let (to_core, interval) = (core.clone(), settings.timing.load);
    kernel.spawn(watch::NAME, move || watch::run(&received, &to_core, interval))
}

fn stop_on_signal(core: Sender<Inbound>, stop: flag::Sender<bool>) -> eyre::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).wrap_err("step=signals")?;
    thread::Builder::new().name("signals".into()).spawn(move || {
        for signal in signals.forever() {
            tracing::info!(event = "signal", signal);
            let _ = stop.send(true);
            // Later signals find a host that is leaving and change nothing.
            let _ = core.send(Inbound::Event(Event::Drain));
        }
    })?;
    Ok(())
}

/// Waits for the host to stop, or for a service to end before it.
fn supervise(kernel: &Kernel, stop: &flag::Sender<bool>) -> eyre::Result<()> {
    let mut edge_closed = false;
    loop {
        let Exit { service, fault } = kernel.exited().recv().wrap_err("step=supervise")?;
        if let Some(fault) = fault {
            tracing::error!(event = "service_died", service, fault);
            eyre::bail!("step=supervise peer={service} {fault}");
        }
        if service == driver::NAME {
            break;
        }
        if !*stop.borrow() {
            tracing::error!(event = "service_ended", service);
            eyre::bail!("step=supervise peer={service} ended by itself");
        }
        edge_closed |= service == edge::NAME;
    }
    let _ = stop.send(true);
    let until = Instant::now() + EDGE_CLOSE;
    while !edge_closed {
        let Ok(exit) = kernel.exited().recv_deadline(until) else { break };
        edge_closed = exit.service == edge::NAME;
    }
    Ok(())
}
