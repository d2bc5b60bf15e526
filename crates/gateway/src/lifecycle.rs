//! Starts a host, serves, and drains it before it stops.

use std::{rc::Rc, time::Duration};

use eyre::WrapErr as _;
use tokio::{
    signal::unix::{SignalKind, signal},
    task::{LocalSet, spawn_local},
    time::{Instant, sleep, timeout},
};

use crate::{
    budgets::Budgets,
    config_copy,
    dialect::{Dialect, Source},
    drain, edge, era, evacuation_copy, limit_sync, membership,
    metrics::Metrics,
    node::{Node, Phase, Settings},
    peer, poll, probe, quarantine_sync, service, subscription,
};

/// Minimum time between the request to stop and the end; by then the load balancer sends nothing
/// more.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(2800);

/// Time kept at the end of the grace period for the end of the process itself.
const EXIT_MARGIN: Duration = Duration::from_millis(150);

/// Time kept before that for the responses to requests that are still in progress.
const RESPONSE_MARGIN: Duration = Duration::from_millis(200);

/// Longest time for returning the tokens at the end.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval at which the requests in progress are checked while draining.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a host until it is asked to stop.
///
/// # Errors
///
/// Returns an error if an address can't be bound, or signals or metrics can't be set up.
pub fn run(
    settings: Settings,
    dialect: Rc<dyn Dialect>,
    source: Rc<impl Source>,
) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("step=runtime")?;
    LocalSet::new().block_on(&runtime, serve(settings, dialect, source))
}

async fn serve(
    mut settings: Settings,
    dialect: Rc<dyn Dialect>,
    source: Rc<impl Source>,
) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("step=signals")?;
    let mut hangup = signal(SignalKind::hangup()).wrap_err("step=signals")?;
    let callers = edge::bind(&mut settings.callers).await?;
    let ready = edge::bind(&mut settings.ready).await?;
    let metrics = edge::bind(&mut settings.metrics).await?;
    let peers = edge::bind(&mut settings.peers).await?;
    tracing::info!(
        event = "start",
        host = %settings.host,
        zone = %settings.zone,
        callers = %settings.callers,
        ready = %settings.ready,
        metrics = %settings.metrics,
        peers = %settings.peers,
        version = env!("CARGO_PKG_VERSION"),
    );
    let node = Rc::new(Node::new(settings, dialect, Metrics::new()?));
    spawn_services(&node, &source);
    spawn_local(probe::run(node.clone(), ready));
    spawn_local(probe::run(node.clone(), metrics));
    spawn_local(peer::run(node.clone(), peers));
    spawn_local(edge::run(node.clone(), callers));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => tracing::info!(event = "reload", in_force = "at the next start"),
        }
    }
    stop(&node, &*source).await;
    Ok(())
}

/// Spawns the services that read and write the platform's table, on the current local set.
pub fn spawn_services(node: &Rc<Node>, source: &Rc<impl Source>) {
    macro_rules! spawn {
        ($name:literal, $run:path) => {{
            let (node, source) = (node.clone(), source.clone());
            service::spawn($name, move || $run(node.clone(), source.clone()));
        }};
    }
    spawn!("era", era::track);
    spawn!("subscription", subscription::follow);
    spawn!("publisher", subscription::publish);
    spawn!("quarantine", quarantine_sync::run);
    spawn!("limits", limit_sync::run);
    spawn!("configuration", poll::catalog);
    spawn!("copy of the configuration", config_copy::run);
    spawn!("copy of the evacuations", evacuation_copy::run);
    spawn!("backend servers", poll::backends);
    spawn!("hosts", membership::run);
    spawn!("budgets", Budgets::run);
}

/// Lets requests in progress end, returns the tokens and removes this host from the list of hosts.
async fn stop(node: &Rc<Node>, source: &impl Source) {
    let since = Instant::now();
    let max_drain_time = drain::max_time(node.settings.grace);
    node.phase.set(Phase::Draining(since));
    tracing::info!(event = "leave", active = node.active.get());
    // Other hosts no longer ask this one; its prefetched tokens go back to the budgets for their
    // use.
    let _ = timeout(CLOSE_TIMEOUT, membership::leave(node, source)).await;
    node.peers.stop_lending();
    node.budgets.stop_prefetching();
    while since.elapsed() < max_drain_time
        && (since.elapsed() < MIN_DRAIN_TIME || node.active.get() > 0)
    {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    node.phase.set(Phase::Closed);
    Budgets::close(node, CLOSE_TIMEOUT).await;
    // A write of the row that was in progress may have followed the first removal.
    let _ = timeout(CLOSE_TIMEOUT / 2, membership::leave(node, source)).await;
    let max_time = node.settings.grace.saturating_sub(EXIT_MARGIN);
    wait_until_idle(node, since, max_time.saturating_sub(RESPONSE_MARGIN)).await;
    node.end_waiting_requests();
    wait_until_idle(node, since, max_time).await;
    tracing::info!(
        event = "stop",
        active = node.active.get(),
        after_ms = since.elapsed().as_millis() as u64
    );
}

/// Waits until no request is in progress, up to a time after the host was asked to stop.
async fn wait_until_idle(node: &Node, since: Instant, max_time: Duration) {
    while node.active.get() > 0 && since.elapsed() < max_time {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
}
