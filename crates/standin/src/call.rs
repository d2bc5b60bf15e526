//! Command that sends one request as a caller does.

use std::{net::SocketAddr, time::Duration};

use argh::FromArgs;
use eyre::WrapErr;
use standin::caller::Caller;

/// Send a request to a host as a caller does, and print the answer as it comes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "call")]
pub struct Call {
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
    /// input for a plain service, as JSON
    #[argh(option)]
    input: Option<String>,
    /// longest silence, in milliseconds (30000)
    #[argh(option, default = "30000")]
    timeout_ms: u64,
}

/// Sends the request and returns whether the answer is whole.
pub fn run(call: &Call) -> eyre::Result<bool> {
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
    if !reply.request.is_empty() {
        println!("request={}", reply.request);
    }
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
