//! Program that runs one stand-in, or calls the fleet.

mod call;
mod measure;
mod serve;
mod steer;

use std::{io, process::ExitCode};

use argh::FromArgs;

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
    Platform(serve::Platform),
    Engine(serve::Engine),
    Service(serve::Service),
    Call(call::Call),
    Load(measure::Load),
    Control(steer::Control),
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
        eprintln!("expected a command; see --help");
        return ExitCode::from(WRONG_USE);
    };
    log();
    let done = match command {
        Command::Platform(args) => serve::run(|| args.spawn()).map(|()| true),
        Command::Engine(args) => serve::run(|| args.spawn()).map(|()| true),
        Command::Service(args) => serve::run(|| args.spawn()).map(|()| true),
        Command::Call(args) => call::run(&args),
        Command::Load(args) => measure::run(&args),
        Command::Control(args) => steer::run(&args),
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
