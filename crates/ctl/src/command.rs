//! Runs a command.

use std::{
    io::Write as _,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use argh::FromArgs as _;
use coordination::{record, timeline::Query};
use eyre::{Report as Error, Result};
use platform::Client;

use crate::{
    apply::{apply, diff},
    args::{self, Args, Command, TokenCommand},
    budget::budget,
    check::check,
    delete::delete,
    fleet,
    get::get,
    output::Report,
    settings::{Settings, Usage},
    status::status,
    table,
    timeline::timeline,
    token,
    top_up::top_up,
};

/// Exit code of a command that did all that was asked for.
pub const DONE: u8 = 0;

/// Exit code of a command that was refused or failed.
pub const FAILED: u8 = 1;

/// Exit code of wrong use.
pub const USAGE: u8 = 2;

const NAME: &str = "laburnumctl";

/// Runs the command line, prints what came of it and returns the exit code.
pub fn run(args: &[String]) -> u8 {
    let words: Vec<&str> = args.iter().skip(1).map(String::as_str).collect();
    let args = match Args::from_args(&[NAME], &words) {
        Ok(args) => args,
        Err(exit) if exit.status.is_ok() => {
            return say(&exit.output, DONE);
        }
        Err(exit) => return refuse(exit.output.trim_end(), USAGE),
    };
    if args.version {
        return say(&format!("{NAME} {}", env!("CARGO_PKG_VERSION")), DONE);
    }
    match dispatch(&args) {
        Ok(report) => print(&report, args.json),
        Err(error) => refuse(&format!("{error:#}"), code(&error)),
    }
}

fn print(report: &Report, json: bool) -> u8 {
    let code = if report.done { DONE } else { FAILED };
    match json {
        true => say(&format!("{:#}", report.json), code),
        false => say(&report.text, code),
    }
}

/// Writes a text to standard output; a reader that has gone takes nothing from the exit code.
fn say(text: &str, code: u8) -> u8 {
    let text = text.trim_end();
    if !text.is_empty() {
        let _ = writeln!(std::io::stdout(), "{text}");
    }
    code
}

fn refuse(reason: &str, code: u8) -> u8 {
    eprintln!("{NAME}: {reason}");
    code
}

fn code(error: &Error) -> u8 {
    if error.is::<Usage>() { USAGE } else { FAILED }
}

fn dispatch(args: &Args) -> Result<Report> {
    let Some(command) = &args.command else {
        return Err(Usage(format!("expected a command; see {NAME} --help")).into());
    };
    match command {
        Command::Check(check_args) => return check(&check_args.file, &check_args.settings),
        Command::Token(token_args) => return make_token(&token_args.command),
        _ => {}
    }
    let settings = Settings::load(args)?;
    match command {
        Command::Apply(apply_args) => {
            apply(&client(&settings)?, &settings.operator, &apply_args.file)
        }
        Command::Get(get_args) => get(&client(&settings)?, &get_args.record),
        Command::Diff(diff_args) => diff(&client(&settings)?, &diff_args.file),
        Command::Delete(args) => delete(&client(&settings)?, args.kind, &args.name),
        Command::Budget(args) => budget(&client(&settings)?, args.name.as_deref(), args.reconcile),
        Command::TopUp(args) => {
            let client = client(&settings)?;
            top_up(&client, &settings.operator, &args.budget, &args.id, args.tokens)
        }
        Command::Status(args) => show_status(&settings, args),
        Command::Timeline(args) => show_timeline(&settings, args),
        Command::Check(_) | Command::Token(_) => unreachable!("done without settings"),
    }
}

fn make_token(command: &TokenCommand) -> Result<Report> {
    match command {
        TokenCommand::New(_) => token::new(),
        TokenCommand::Hash(_) => token::hash(),
    }
}

fn client(settings: &Settings) -> Result<Client> {
    Ok(Client::new(settings.platform()?, settings.timeout))
}

fn hosts(settings: &Settings, given: &[std::net::SocketAddr]) -> Result<Vec<fleet::Host>> {
    if given.is_empty() { fleet::find(&client(settings)?) } else { Ok(fleet::given(given)) }
}

fn show_status(settings: &Settings, args: &args::Status) -> Result<Report> {
    let token = settings.token()?;
    let hosts = hosts(settings, &args.ask)?;
    let answers =
        fleet::ask(&hosts, |address| wire::client::status(address, &token, settings.timeout));
    let records = match client(settings) {
        Ok(client) => table::scan(&client, record::KEY_PREFIX).ok(),
        Err(_) => None,
    };
    Ok(status(&hosts, &answers, records.as_deref()))
}

fn show_timeline(settings: &Settings, args: &args::Timeline) -> Result<Report> {
    let token = settings.token()?;
    let hosts = hosts(settings, &args.ask)?;
    let query = Query {
        request: args.request,
        from_ms: args.since.map_or(0, |since| wall_ms().saturating_sub(since)),
        until_ms: u64::MAX,
        limit: args.limit,
    };
    let answers = fleet::ask(&hosts, |address| {
        wire::client::timeline(address, &token, &query, settings.timeout)
    });
    Ok(timeline(&hosts, answers))
}

fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
