//! Command line.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;
use coordination::{record::Kind, request};

/// Writes the records of a laburnumcove fleet and shows what is in force.
///
/// Exit codes: 0 done, 1 refused or failed, 2 wrong use.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// address of the platform, ip:port
    #[argh(option)]
    pub platform: Option<SocketAddr>,
    /// settings of the tool, an INI file with the section `[tool]`
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// file that holds the operator's bearer token
    #[argh(option)]
    pub token_file: Option<PathBuf>,
    /// write JSON in place of text
    #[argh(switch)]
    pub json: bool,
    /// print the version
    #[argh(switch)]
    pub version: bool,
    /// what to do
    #[argh(subcommand)]
    pub command: Option<Command>,
}

/// What to do.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Writes records.
    Apply(Apply),
    /// Shows records.
    Get(Get),
    /// Shows what `apply` would change.
    Diff(Diff),
    /// Deletes a record.
    Delete(Delete),
    /// Shows the accounts of budgets.
    Budget(Budget),
    /// Adds tokens to a budget.
    TopUp(TopUp),
    /// Shows the hosts and the revisions in force there.
    Status(Status),
    /// Shows the events of all hosts in causal order.
    Timeline(Timeline),
    /// Checks records and settings without a fleet.
    Check(Check),
    /// Makes bearer tokens.
    Token(Token),
}

/// write records: JSON objects or arrays of them; fields that are not named stay as they are
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// file, directory of .json files, or - for standard input; may be repeated
    #[argh(option, short = 'f')]
    pub file: Vec<PathBuf>,
}

/// show records, all or of one kind, or one record whole
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub struct Get {
    /// kind of the records, and name of one
    #[argh(positional)]
    pub record: Vec<String>,
}

/// show what apply would change, field by field
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// file, directory of .json files, or - for standard input; may be repeated
    #[argh(option, short = 'f')]
    pub file: Vec<PathBuf>,
}

/// delete a record; a budget only while nothing was granted from it
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "delete")]
pub struct Delete {
    /// workspace, budget, backend, route or operator
    #[argh(positional)]
    pub kind: Kind,
    /// name of the record
    #[argh(positional)]
    pub name: String,
}

/// show what was bought, charged and is held by which host
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "budget")]
pub struct Budget {
    /// name of the budget; left out, all
    #[argh(positional)]
    pub name: Option<String>,
    /// sum up both ledgers and compare them with what is settled
    #[argh(switch)]
    pub reconcile: bool,
}

/// add tokens to a budget; an id that was used for the same tokens changes nothing
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "top-up")]
pub struct TopUp {
    /// name of the budget
    #[argh(positional)]
    pub budget: String,
    /// id of the purchase
    #[argh(positional)]
    pub id: String,
    /// tokens bought
    #[argh(positional)]
    pub tokens: u64,
}

/// show the hosts, the revisions in force there, and the tokens that they hold
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// peer address of a host to ask, in place of those that the platform knows; may be repeated
    #[argh(option)]
    pub ask: Vec<SocketAddr>,
}

/// show the events of all hosts in causal order
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "timeline")]
pub struct Timeline {
    /// only events of this request, 32 hexadecimal digits
    #[argh(option, from_str_fn(parse_request))]
    pub request: Option<request::Id>,
    /// only events of the last so many milliseconds
    #[argh(option)]
    pub since: Option<u64>,
    /// greatest number of events of each host, the newest
    #[argh(option, default = "1000")]
    pub limit: usize,
    /// peer address of a host to ask, in place of those that the platform knows; may be repeated
    #[argh(option)]
    pub ask: Vec<SocketAddr>,
}

/// check records and settings without a fleet
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// file, directory of .json files, or - for standard input; may be repeated
    #[argh(option, short = 'f')]
    pub file: Vec<PathBuf>,
    /// settings of a daemon; may be repeated
    #[argh(option)]
    pub settings: Vec<PathBuf>,
}

/// make bearer tokens
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "token")]
pub struct Token {
    /// what to do
    #[argh(subcommand)]
    pub command: TokenCommand,
}

/// What to do about a token.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum TokenCommand {
    /// Prints a fresh token and its hash.
    New(TokenNew),
    /// Prints the hash of a token.
    Hash(TokenHash),
}

/// print a fresh token and the hash that goes into a record
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "new")]
pub struct TokenNew {}

/// print the hash of the token that is read from standard input
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "hash")]
pub struct TokenHash {}

fn parse_request(text: &str) -> Result<request::Id, String> {
    request::Id::try_from(text.to_owned()).map_err(|err| err.to_string())
}
