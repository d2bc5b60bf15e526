//! Program that runs one stand-in.

use std::{
    io::{self, Write},
    net::SocketAddr,
    process::ExitCode,
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
use standin::{caller::Caller, engine, http::Handle, platform, service};

/// Exit code of a program that failed.
const FAILED: u8 = 1;

/// Exit code of a program that was called the wrong way.
const WRONG_USE: u8 = 2;

/// Stand-ins for the systems around the router fleet.
#[derive(Debug, FromArgs)]
struct Args {
    /// print the version and exit
    #[argh(switch)]
    version: bool,
    #[argh(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Platform(Platform),
    Engine(Engine),
    Service(Service),
    Call(Call),
}

/// Run a stand-in platform: table, object store, list of hosts and weight store.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
struct Platform {
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
struct Engine {
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
struct Service {
    /// address to listen on, ip:port; port 0 for any free port
    #[argh(option)]
    listen: SocketAddr,
    /// time that a call takes, in milliseconds (0)
    #[argh(option, default = "0")]
    work_ms: u64,
}

/// Send a request to a host as a caller does, and print the answer as it comes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "call")]
struct Call {
    /// callers' address of the host, ip:port
    #[argh(option)]
    target: SocketAddr,
    /// bearer token
    #[argh(option)]
    token: String,
    /// service to call; left out, a ticket is asked for
    #[argh(option)]
    service: Option<String>,
    /// idempotency key or ticket
    #[argh(option)]
    key: Option<String>,
    /// prompt for a model
    #[argh(option)]
    prompt: Option<String>,
    /// greatest number of tokens to generate
    #[argh(option)]
    max_tokens: Option<u64>,
    /// jSON input for a plain service
    #[argh(option)]
    input: Option<String>,
    /// longest silence, in milliseconds (30000)
    #[argh(option, default = "30000")]
    timeout_ms: u64,
}

fn call(call: &Call) -> eyre::Result<bool> {
    let timeout = Duration::from_millis(call.timeout_ms);
    let caller = Caller::open(call.target, call.token.as_str(), timeout);
    let Some(service) = &call.service else {
        println!("{}", caller.ticket()?);
        return Ok(true);
    };
    let mut body = serde_json::Map::new();
    if let Some(prompt) = &call.prompt {
        body.insert("prompt".into(), prompt.as_str().into());
    }
    if let Some(max_tokens) = call.max_tokens {
        body.insert("max_tokens".into(), max_tokens.into());
    }
    if let Some(input) = &call.input {
        body.insert("input".into(), serde_json::from_str(input).wrap_err("step=parse input")?);
    }
    let mut count = 0;
    let reply = caller.call(service, call.key.as_deref(), &body.into(), |_| count += 1)?;
    println!("status={} tokens={count} whole={}", reply.status, reply.whole());
    if let Some(end) = &reply.end {
        println!("charged={} text={:?}", end.charged, reply.text());
    }
    if let Some(problem) = &reply.problem {
        let wait = problem.retry_after_ms.map_or("never".to_owned(), |wait| wait.to_string());
        println!("code={} outcome={} retry_after_ms={wait}", problem.code, problem.outcome);
        println!("detail={:?}", problem.detail);
    }
    if !reply.body.is_empty() {
        println!("body={}", reply.body);
    }
    Ok(reply.whole())
}

fn main() -> ExitCode {
    let args = match parse() {
        Ok(args) => args,
        Err(code) => return code,
    };
    if args.version {
        println!("laburnum-standin {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(command) = args.command else {
        eprintln!(
            "one of the commands platform, engine, service and call must be given; see --help"
        );
        return ExitCode::from(WRONG_USE);
    };
    log();
    let done = match command {
        Command::Call(args) => call(&args),
        command => serve(command).map(|()| true),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(FAILED),
        Err(error) => {
            eprintln!("laburnum-standin: {error:#}");
            ExitCode::from(FAILED)
        }
    }
}

fn parse() -> Result<Args, ExitCode> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    Args::from_args(&["laburnum-standin"], &words).map_err(|early| match early.status {
        Ok(()) => {
            println!("{}", early.output);
            ExitCode::SUCCESS
        }
        Err(()) => {
            eprintln!("{}", early.output);
            ExitCode::from(WRONG_USE)
        }
    })
}

fn log() {
    use tracing_subscriber::{EnvFilter, layer::SubscriberExt, util::SubscriberInitExt};

    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let layer = tracing_logfmt::builder().layer().with_writer(io::stderr);
    tracing_subscriber::registry().with(filter).with(layer).init();
}

/// Serves until the process is told to end.
fn serve(command: Command) -> eyre::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).wrap_err("signals")?;
    let handle = spawn(command)?;
    let mut stdout = io::stdout().lock();
    writeln!(stdout, "listening address={}", handle.address).wrap_err("stdout")?;
    stdout.flush().wrap_err("stdout")?;
    signals.forever().next();
    Ok(())
}

fn spawn(command: Command) -> eyre::Result<Handle> {
    match command {
        Command::Platform(args) => spawn_platform(&args),
        Command::Engine(args) => spawn_engine(&args),
        Command::Service(args) => spawn_service(&args),
        Command::Call(_) => eyre::bail!("step=serve a call serves nothing"),
    }
}

fn spawn_platform(args: &Platform) -> eyre::Result<Handle> {
    let settings = platform::Settings {
        listen: args.listen,
        host_lag: Duration::from_millis(args.host_lag_ms),
        weights_per_minute: args.weights_per_minute,
    };
    platform::spawn(settings).wrap_err_with(|| format!("listen address={}", args.listen))
}

fn spawn_engine(args: &Engine) -> eyre::Result<Handle> {
    let settings = engine::Settings {
        listen: args.listen,
        name: Arc::from(&*args.name),
        zone: Arc::from(&*args.zone),
        slots: args.slots,
        queue: args.queue,
        token_time: Duration::from_millis(args.token_ms),
        first_time: Duration::from_millis(args.first_ms),
        length_percent: args.length_percent,
        models: args.models.split(',').filter(|text| !text.is_empty()).map(model).collect(),
        fencing: args.fencing,
        load_lag: Duration::from_millis(args.load_lag_ms),
        cache_lag: Duration::from_millis(args.cache_lag_ms),
        cache_blocks: args.cache_blocks,
        cache_gap: args.cache_gap,
    };
    engine::spawn(settings).wrap_err_with(|| format!("listen address={}", args.listen))
}

fn spawn_service(args: &Service) -> eyre::Result<Handle> {
    let work = Duration::from_millis(args.work_ms);
    let settings = service::Settings { listen: args.listen, work };
    service::spawn(settings).wrap_err_with(|| format!("listen address={}", args.listen))
}

fn model(text: &str) -> Model {
    let mut parts = text.splitn(3, ':').map(Arc::from);
    let mut next = || parts.next().unwrap_or_else(coordination::record::empty);
    Model { name: next(), adapter: next(), version: next() }
}
