//! Runs the services of a host: tasks that go on until the host stops.

use std::time::Duration;

use tokio::{
    task::{JoinHandle, spawn_local},
    time::sleep,
};

/// Delay before a service that panicked runs again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Spawns a service on the current local set.
///
/// A service that panics, as on input that it can't bear, runs again after a delay, so that the
/// host goes on with what it knows; one that returns has ended.
pub fn spawn<F>(name: &'static str, run: impl Fn() -> F + 'static) -> JoinHandle<()>
where
    F: Future<Output = ()> + 'static,
{
    spawn_local(async move {
        while let Err(error) = spawn_local(run()).await {
            tracing::error!(event = "service_failed", service = name, %error);
            sleep(RESTART_DELAY).await;
        }
    })
}
