//! Runs the daemon of an entry host.

use std::{path::PathBuf, process::ExitCode};

use argh::FromArgs;
use daemon::{log, settings::Settings};

/// Exit code of a daemon that failed.
const FAILED: u8 = 1;

/// Exit code of wrong use or wrong settings.
const WRONG_USE: u8 = 2;

/// Entry host of a router fleet for prepaid token budgets.
#[derive(Debug, FromArgs)]
struct Cli {
    /// print the version and exit
    #[argh(switch)]
    version: bool,

    /// settings file
    #[argh(option)]
    settings: Option<PathBuf>,
}

fn main() -> ExitCode {
    let cli: Cli = match parse() {
        Ok(cli) => cli,
        Err(code) => return code,
    };
    if cli.version {
        println!("laburnumd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = cli.settings else {
        eprintln!("laburnumd: expected --settings <file>");
        return ExitCode::from(WRONG_USE);
    };
    let settings = match Settings::load(&path) {
        Ok(settings) => settings,
        Err(fault) => {
            eprintln!("{fault}");
            return ExitCode::from(WRONG_USE);
        }
    };
    let host = &settings.host;
    let log = log::open(&settings.log.filter, &host.name, &host.zone);
    match log.and_then(|()| daemon::run(&settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("laburnumd: {error:#}");
            ExitCode::from(FAILED)
        }
    }
}

/// Parses the command line; returns the exit code where there is nothing to run.
fn parse() -> Result<Cli, ExitCode> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    Cli::from_args(&["laburnumd"], &words).map_err(|exit| match exit.status {
        Ok(()) => {
            println!("{}", exit.output);
            ExitCode::SUCCESS
        }
        Err(()) => {
            eprintln!("{}", exit.output);
            ExitCode::from(WRONG_USE)
        }
    })
}
