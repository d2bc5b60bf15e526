//! Runs services as threads and lets them find each other by name.

use std::{
    any::Any,
    collections::BTreeMap,
    panic::{AssertUnwindSafe, catch_unwind},
    sync::{Arc, PoisonError, RwLock},
    thread,
};

use crossbeam::channel::{Receiver, Sender, unbounded};

/// A service that has ended.
#[derive(Debug)]
pub struct Exit {
    /// Name of the service.
    pub service: &'static str,
    /// Why it ended, where that was a fault.
    pub fault: Option<String>,
}

/// No service of the wanted name takes messages of the wanted type.
#[derive(Debug, thiserror::Error)]
#[error("step=find peer={service} no such service")]
pub struct Missing {
    /// Name of the service.
    pub service: &'static str,
}

/// Ports of the running services, by name.
#[derive(Debug, Default)]
pub struct Registry {
    ports: RwLock<BTreeMap<&'static str, Box<dyn Any + Send + Sync>>>,
}

impl Registry {
    /// Publishes the port on which a service takes messages.
    pub fn publish<T: Send + 'static>(&self, service: &'static str, port: Sender<T>) {
        let mut ports = self.ports.write().unwrap_or_else(PoisonError::into_inner);
        ports.insert(service, Box::new(port));
    }

    /// Returns the port of a service.
    ///
    /// # Errors
    ///
    /// Returns [`Missing`] if no such service has published a port for this type.
    pub fn find<T: Send + 'static>(&self, service: &'static str) -> Result<Sender<T>, Missing> {
        let ports = self.ports.read().unwrap_or_else(PoisonError::into_inner);
        let port = ports.get(service).and_then(|port| port.downcast_ref::<Sender<T>>());
        port.cloned().ok_or(Missing { service })
    }
}

/// The running services of a process.
#[derive(Debug)]
pub struct Kernel {
    registry: Arc<Registry>,
    exits: Sender<Exit>,
    exited: Receiver<Exit>,
}

impl Kernel {
    /// Returns a kernel without services.
    pub fn open() -> Self {
        let (exits, exited) = unbounded();
        Self { registry: Arc::default(), exits, exited }
    }

    /// Returns the registry by which services find each other.
    pub fn registry(&self) -> Arc<Registry> {
        self.registry.clone()
    }

    /// Runs a service in a thread of its own; its end is reported on [`Kernel::exited`].
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started.
    pub fn spawn(
        &self,
        service: &'static str,
        body: impl FnOnce() -> eyre::Result<()> + Send + 'static,
    ) -> eyre::Result<()> {
        let exits = self.exits.clone();
        thread::Builder::new().name(service.into()).spawn(move || {
            let fault = match catch_unwind(AssertUnwindSafe(body)) {
                Ok(Ok(())) => None,
                Ok(Err(error)) => Some(format!("{error:#}")),
                Err(_) => Some("panicked".to_owned()),
            };
            // The kernel outlives its services except while the process ends.
            let _ = exits.send(Exit { service, fault });
        })?;
        Ok(())
    }

    /// Returns the channel on which ended services are reported.
    pub fn exited(&self) -> &Receiver<Exit> {
        &self.exited
    }
}
