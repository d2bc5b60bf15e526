//! Runs one command of the operator's tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> =
        std::env::args_os().map(|arg| arg.to_string_lossy().into_owned()).collect();
    ExitCode::from(ctl::command::run(&args))
}
