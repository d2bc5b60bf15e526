//! Command that measures the fleet under load.

use std::{io, net::SocketAddr, time::Duration};

use argh::FromArgs;
use standin::load::{Direct, Fleet, Plan, run as measure, write_table};

/// Send many requests to a host and print latencies, beside those of an engine called directly.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub struct Load {
    /// callers' address of the host, ip:port
    #[argh(option)]
    target: SocketAddr,
    /// bearer token
    #[argh(option)]
    token: String,
    /// service to call
    #[argh(option)]
    service: String,
    /// start of idempotency keys; left out, requests carry none
    #[argh(option)]
    key: Option<String>,
    /// engine to call directly in the same run, ip:port
    #[argh(option)]
    direct_engine: Option<SocketAddr>,
    /// model to ask the engine for
    #[argh(option, default = "String::new()")]
    model: String,
    /// requests that are under way at once (8)
    #[argh(option, default = "8")]
    concurrency: usize,
    /// requests of each leg (1000)
    #[argh(option, default = "1000")]
    requests: u64,
    /// parts into which each leg is split, taken in turn with the other leg's (4)
    #[argh(option, default = "4")]
    rounds: u64,
    /// tokens to ask for (16)
    #[argh(option, default = "16")]
    max_tokens: u64,
    /// bytes of a prompt (64)
    #[argh(option, default = "64")]
    prompt_bytes: usize,
    /// longest silence, in milliseconds (30000)
    #[argh(option, default = "30000")]
    timeout_ms: u64,
}

/// Runs the load, prints a table and returns whether every answer was whole.
pub fn run(load: &Load) -> eyre::Result<bool> {
    let plan = Plan {
        fleet: Fleet {
            address: load.target,
            token: load.token.clone(),
            service: load.service.clone(),
            key: load.key.clone(),
        },
        direct: load.direct_engine.map(|address| Direct { address, model: load.model.clone() }),
        concurrency: load.concurrency,
        requests: load.requests,
        rounds: load.rounds,
        max_tokens: load.max_tokens,
        prompt: "x".repeat(load.prompt_bytes),
        timeout: Duration::from_millis(load.timeout_ms),
    };
    let report = measure(&plan)?;
    write_table(&report, &mut io::stdout().lock())?;
    for failure in report.failures() {
        eprintln!("laburnum-standin: {failure}");
    }
    Ok(report.is_whole())
}
