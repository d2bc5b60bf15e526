//! Commands that serve until the process is told to end.

use std::{
    io::{self, Write},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use argh::FromArgs;
use coordination::record::Model;
use eyre::WrapErr;
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use standin::{engine, http::Handle, platform, service};

/// Run a stand-in platform: table, object store, list of hosts and weight store.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
pub struct Platform {
    /// address to listen on, ip:port; port 0 for any free port
    #[argh(option)]
    listen: SocketAddr,
    /// time after which a change of a host shows in the list, in milliseconds (1000)
    #[argh(option, default = "1000")]
    host_lag_ms: u64,
    /// downloads of weights that may start in a minute (60)
    #[argh(option, default = "60")]
    weights_per_minute: u32,
}

/// Run a stand-in model engine.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "engine")]
pub struct Engine {
    /// address to listen on, ip:port; port 0 for any free port
    #[argh(option)]
    listen: SocketAddr,
    /// name of the back end (engine)
    #[argh(option, default = "String::from(\"engine\")")]
    name: String,
    /// availability zone (a)
    #[argh(option, default = "String::from(\"a\")")]
    zone: String,
    /// streams that run at once (8)
    #[argh(option, default = "8")]
    slots: usize,
    /// streams that may wait for a slot (256)
    #[argh(option, default = "256")]
    queue: usize,
    /// time between two tokens of a stream, in milliseconds (5)
    #[argh(option, default = "5")]
    token_ms: u64,
    /// time to the first token of a prompt that is not cached, in milliseconds (20)
    #[argh(option, default = "20")]
    first_ms: u64,
    /// tokens of an answer, in percent of those asked for (100)
    #[argh(option, default = "100")]
    length_percent: u64,
    /// models loaded at the start, as name, name:adapter or name:adapter:version, with commas between
    #[argh(option, default = "String::new()")]
    models: String,
    /// refuse orders that carry an old fencing number, true or false (true)
    #[argh(option, default = "true")]
    fencing: bool,
    /// age of the load that is reported, in milliseconds (500)
    #[argh(option, default = "500")]
    load_lag_ms: u64,
    /// time after which a change of the cache is published, in milliseconds (500)
    #[argh(option, default = "500")]
    cache_lag_ms: u64,
    /// prompt blocks that the prefix cache holds (4096)
    #[argh(option, default = "4096")]
    cache_blocks: usize,
    /// every so many cache events one is lost; 0 for none (8)
    #[argh(option, default = "8")]
    cache_gap: u64,
}

/// Run a stand-in plain service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "service")]
pub struct Service {
    /// address to listen on, ip:port; port 0 for any free port
    #[argh(option)]
    listen: SocketAddr,
    /// time that a call takes, in milliseconds (0)
    #[argh(option, default = "0")]
    work_ms: u64,
}

impl Platform {
    /// Starts the stand-in.
    pub fn spawn(&self) -> io::Result<Handle> {
        platform::spawn(platform::Settings {
            listen: self.listen,
            host_lag: Duration::from_millis(self.host_lag_ms),
            weights_per_minute: self.weights_per_minute,
        })
    }
}

impl Engine {
    /// Starts the stand-in.
    pub fn spawn(&self) -> io::Result<Handle> {
        engine::spawn(engine::Settings {
            listen: self.listen,
            name: Arc::from(&*self.name),
            zone: Arc::from(&*self.zone),
            slots: self.slots,
            queue: self.queue,
            token_time: Duration::from_millis(self.token_ms),
            first_time: Duration::from_millis(self.first_ms),
            length_percent: self.length_percent,
            models: self.models.split(',').filter(|text| !text.is_empty()).map(model).collect(),
            fencing: self.fencing,
            load_lag: Duration::from_millis(self.load_lag_ms),
            cache_lag: Duration::from_millis(self.cache_lag_ms),
            cache_blocks: self.cache_blocks,
            cache_gap: self.cache_gap,
        })
    }
}

impl Service {
    /// Starts the stand-in.
    pub fn spawn(&self) -> io::Result<Handle> {
        let work = Duration::from_millis(self.work_ms);
        service::spawn(service::Settings { listen: self.listen, work })
    }
}

/// Starts a stand-in and serves until the process is told to end.
pub fn run(spawn: impl FnOnce() -> io::Result<Handle>) -> eyre::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).wrap_err("step=signals")?;
    let handle = spawn().wrap_err("step=listen")?;
    let mut stdout = io::stdout().lock();
    writeln!(stdout, "listening address={}", handle.address).wrap_err("step=stdout")?;
    stdout.flush().wrap_err("step=stdout")?;
    signals.forever().next();
    Ok(())
}

fn model(text: &str) -> Model {
    let mut parts = text.splitn(3, ':').map(Arc::from);
    let mut next = || parts.next().unwrap_or_else(coordination::record::empty);
    Model { name: next(), adapter: next(), version: next() }
}
