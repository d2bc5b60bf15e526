//! Starts a host, serves, and stops without cutting off requests.

use std::{rc::Rc, time::Duration};

use eyre::WrapErr as _;
use tokio::{
    signal::unix::{SignalKind, signal},
    task::{LocalSet, spawn_local},
    time::{Instant, sleep, timeout},
};

use crate::{
    budgets::Budgets,
    dialect::{Dialect, Source},
    edge, membership,
    metrics::Metrics,
    node::{Node, Phase, Settings},
    peer, poll, probe,
};

/// Least time between a request to stop and the end; by then the balancer sends nothing more.
const LEAVE_LEAST: Duration = Duration::from_millis(2800);

/// Time kept at the end of the grace for what follows the last request.
const LEAVE_MARGIN: Duration = Duration::from_millis(1000);

/// Longest time for giving back tokens at the end.
const CLOSE_LONGEST: Duration = Duration::from_millis(400);

/// Time between two looks at the requests under way while leaving.
const LOOK: Duration = Duration::from_millis(50);

/// Runs a host until it is asked to stop.
///
/// # Errors
///
/// Fails where an address can't be bound.
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
    spawn_local(poll::catalog(node.clone(), source.clone()));
    spawn_local(poll::backends(node.clone(), source.clone()));
    spawn_local(membership::run(node.clone(), source.clone()));
    spawn_local(Budgets::run(node.clone(), source.clone()));
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
    leave(&node, &*source).await;
    Ok(())
}

/// Lets requests under way end, gives tokens back and leaves the list of hosts.
async fn leave(node: &Rc<Node>, source: &impl Source) {
    let since = Instant::now();
    let longest = node.settings.grace.saturating_sub(LEAVE_MARGIN);
    node.phase.set(Phase::Draining(since));
    tracing::info!(event = "leave", active = node.active.get());
    // Other hosts no longer ask this one; what it keeps ahead serves there.
    let _ = timeout(CLOSE_LONGEST, membership::leave(node, source)).await;
    node.peers.stop_lending();
    node.budgets.stop_prefetching();
    while since.elapsed() < longest && (since.elapsed() < LEAVE_LEAST || node.active.get() > 0) {
        sleep(LOOK).await;
    }
    node.phase.set(Phase::Closed);
    Budgets::close(node, CLOSE_LONGEST).await;
    // A write of the row that was under way may have come after the first removal.
    let _ = timeout(CLOSE_LONGEST / 2, membership::leave(node, source)).await;
    tracing::info!(
        event = "stop",
        active = node.active.get(),
        after_ms = since.elapsed().as_millis() as u64
    );
}
