//! A caller of the router fleet.

use std::{
    io::{BufRead as _, BufReader},
    net::SocketAddr,
    time::Duration,
};

use eyre::WrapErr as _;
use oxhttp::{
    Client,
    model::{Body, Method, Request, StatusCode, header},
};
use serde::Deserialize;

/// A caller with its bearer token.
pub struct Caller {
    address: SocketAddr,
    token: String,
    http: Client,
}

/// A token of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Token {
    /// Tokens before this one.
    pub offset: u64,
    /// Text.
    pub token: String,
}

/// The end of an answer that is whole.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct End {
    /// Tokens of the answer.
    pub tokens: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens charged.
    pub charged: u64,
}

/// A problem document.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Problem {
    /// Stable code.
    pub code: String,
    /// Whether the request ran.
    pub outcome: String,
    /// Explanation.
    pub detail: String,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// What a caller got.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Request as the host named it; empty where it did not.
    pub request: String,
    /// Tokens of a stream.
    pub tokens: Vec<Token>,
    /// End of a stream, where it is whole.
    pub end: Option<End>,
    /// Problem, where there is one.
    pub problem: Option<Problem>,
    /// Body of an answer that is neither a stream nor a problem.
    pub body: String,
}

impl Reply {
    /// Returns whether the answer is whole.
    pub fn whole(&self) -> bool {
        let streamed = self.end.as_ref().is_some_and(|end| {
            let in_order = self.tokens.iter().zip(0..).all(|(token, i)| token.offset == i);
            in_order && end.tokens == self.tokens.len() as u64
        });
        let answered = (200..300).contains(&self.status) && !self.body.is_empty();
        self.problem.is_none() && (streamed || answered)
    }

    /// Returns the text of a stream.
    pub fn text(&self) -> String {
        self.tokens.iter().map(|token| token.token.as_str()).collect()
    }

    /// Returns the code and the outcome of a problem; both are empty where there is none.
    pub fn refusal(&self) -> (&str, &str) {
        self.problem.as_ref().map_or(("", ""), |problem| (&problem.code, &problem.outcome))
    }
}

#[derive(Debug, Deserialize)]
struct Ticket {
    ticket: String,
}

impl Caller {
    /// Returns a caller of the host at an address that waits at most `timeout` for anything new.
    pub fn open(address: SocketAddr, token: impl Into<String>, timeout: Duration) -> Self {
        let http = Client::new().with_global_timeout(timeout);
        Self { address, token: token.into(), http }
    }

    /// Asks for a ticket.
    ///
    /// # Errors
    ///
    /// Returns an error if the host can't be reached or issues none.
    pub fn ticket(&self) -> eyre::Result<String> {
        let reply = self.post("/v1/tickets", None, "", |_| {})?;
        eyre::ensure!(reply.status == 201, "step=ticket peer={} {reply:?}", self.address);
        let ticket: Ticket = serde_json::from_str(&reply.body).wrap_err("step=ticket")?;
        Ok(ticket.ticket)
    }

    /// Sends a request to a service and hands each token over as it comes.
    ///
    /// # Errors
    ///
    /// Returns an error if the host can't be reached or its answer is no HTTP answer. An answer
    /// that breaks off is a reply without an end.
    pub fn call(
        &self,
        service: &str,
        key: Option<&str>,
        body: &serde_json::Value,
        on_token: impl FnMut(&Token),
    ) -> eyre::Result<Reply> {
        self.post(&format!("/v1/services/{service}"), key, &body.to_string(), on_token)
    }

    fn post(
        &self,
        path: &str,
        key: Option<&str>,
        body: &str,
        on_token: impl FnMut(&Token),
    ) -> eyre::Result<Reply> {
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.address))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let request = request.body(Body::from(body.to_owned()))?;
        let answer = self
            .http
            .request(request)
            .wrap_err_with(|| format!("step=call peer={}", self.address))?;
        let status = answer.status();
        let kind = answer.headers().get(header::CONTENT_TYPE).cloned();
        let request = answer.headers().get("laburnum-request");
        let request = request.and_then(|id| id.to_str().ok()).unwrap_or_default().to_owned();
        let mut reply = Reply { status: status.as_u16(), request, ..Reply::default() };
        if kind.is_some_and(|kind| kind == "text/event-stream") && status == StatusCode::OK {
            read_events(answer.into_body(), &mut reply, on_token);
            return Ok(reply);
        }
        let text = answer.into_body().to_string().wrap_err("step=read body")?;
        match serde_json::from_str(&text) {
            Ok(problem) if !status.is_success() => reply.problem = Some(problem),
            _ => reply.body = text,
        }
        Ok(reply)
    }
}

fn read_events(body: Body, reply: &mut Reply, mut on_token: impl FnMut(&Token)) {
    let mut event = String::new();
    for line in BufReader::new(body).lines() {
        let Ok(line) = line else { return };
        if let Some(name) = line.strip_prefix("event: ") {
            name.clone_into(&mut event);
        }
        let Some(data) = line.strip_prefix("data: ") else { continue };
        match event.as_str() {
            "end" => reply.end = serde_json::from_str(data).ok(),
            "error" => reply.problem = serde_json::from_str(data).ok(),
            _ => {
                let Ok(token) = serde_json::from_str(data) else { return };
                on_token(&token);
                reply.tokens.push(token);
            }
        }
    }
}

/// Reads the metrics page at an operators' address.
///
/// # Errors
///
/// Returns an error if the host can't be reached.
pub fn scrape(address: SocketAddr) -> eyre::Result<String> {
    let request = Request::builder().uri(format!("http://{address}/metrics"));
    let client = Client::new().with_global_timeout(Duration::from_secs(5));
    let answer = client.request(request.body(Body::empty())?)?;
    Ok(answer.into_body().to_string()?)
}
