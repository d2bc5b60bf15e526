//! Lines of a stream of a model engine.

use std::{sync::Arc, time::Duration};

use coordination::host::{
    event::{Refusal, Report},
    exchange::Stream,
};
use oxhttp::model::{Body, Method, Response, StatusCode, header};
use serde::Deserialize;

use super::http::{build, client, failed, is_chunked, probe, unsent};

#[derive(Debug, Deserialize)]
struct Line {
    request: Arc<str>,
    attempt: u32,
    #[serde(default)]
    offset: Option<u64>,
    #[serde(default)]
    token: Option<Arc<str>>,
    #[serde(default)]
    end: bool,
    #[serde(default)]
    tokens: Option<u64>,
    #[serde(default)]
    prompt_tokens: Option<u64>,
}

/// Parses a line with its end.
pub(super) fn parse(text: &str) -> Result<Report, Report> {
    if !text.ends_with('\n') {
        return Err(failed("line cut"));
    }
    let line: Line = serde_json::from_str(text).map_err(|error| failed(error.to_string()))?;
    match line {
        Line {
            request,
            attempt,
            end: true,
            token: None,
            offset: None,
            tokens: Some(tokens),
            prompt_tokens: Some(prompt_tokens),
        } => Ok(Report::End { request, attempt, tokens, prompt_tokens }),
        Line { end: true, .. } => Err(failed("end line without its counts, or with a token")),
        Line { request, attempt, offset: Some(offset), token: Some(token), .. } => {
            Ok(Report::Piece { request, attempt, offset, token })
        }
        _ => Err(failed("line without a token and its offset")),
    }
}

/// Opens a stream, or tells why there is none.
pub(super) fn open(
    address: &str,
    stream: &Stream,
    stall: Duration,
) -> Result<Response<Body>, Report> {
    probe(address)?;
    let body = serde_json::json!({
        "attempt": stream.attempt,
        "model": stream.model,
        "adapter": stream.adapter,
        "version": stream.version,
        "prompt": stream.prompt,
        "max_tokens": stream.max_tokens,
        "priority": stream.class,
        "offset": stream.offset,
    });
    let uri = format!("{address}/streams/{}", stream.stream);
    let request = build(Method::POST, &uri).body(Body::from(body.to_string()));
    let request = request.map_err(|error| unsent(error.to_string()))?;
    let response = client(stall).request(request).map_err(|error| failed(error.to_string()))?;
    match response.status() {
        StatusCode::OK if is_chunked(&response) => Ok(response),
        StatusCode::OK => Err(failed("answer without chunks")),
        status => Err(refused(status, &response)),
    }
}

fn refused(status: StatusCode, response: &Response<Body>) -> Report {
    let retry_after_ms = response
        .headers()
        .get(header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse::<u64>().ok())
        .map(|seconds| seconds.saturating_mul(1_000));
    let reason = match status {
        StatusCode::CONFLICT => Refusal::Leaving,
        StatusCode::NOT_FOUND => Refusal::Model,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => Refusal::Full,
        status => return failed(format!("status {status}")),
    };
    Report::Refused { reason, retry_after_ms }
}
