//! Command that tells a stand-in what to do.

use std::net::SocketAddr;

use argh::FromArgs;
use eyre::WrapErr;
use standin::control;

/// Tell a stand-in what to do, by a path under /control, and print its answer.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "control")]
pub struct Control {
    /// address of the stand-in, ip:port
    #[argh(option)]
    target: SocketAddr,
    /// name under /control, such as fault or hosts
    #[argh(positional)]
    name: String,
    /// body, as JSON; left out, the path is read
    #[argh(positional)]
    body: Option<String>,
}

/// Sends the command.
pub fn run(control: &Control) -> eyre::Result<bool> {
    let path = format!("/control/{}", control.name);
    let answer = match &control.body {
        Some(body) => {
            let body = serde_json::from_str(body).wrap_err("step=parse body")?;
            control::post(control.target, &path, &body)?
        }
        None => control::get(control.target, &path)?,
    };
    println!("{answer}");
    Ok(true)
}
