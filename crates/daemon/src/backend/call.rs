//! Calls of plain services.

use std::{io::Read as _, ops::RangeInclusive, time::Duration};

use coordination::{host::event::Report, request};
use oxhttp::model::{Body, Method, Response, StatusCode, header};

use super::http::{build, client, failed, is_chunked, probe, unsent};

/// Largest answer of a plain service, in bytes.
const MAX_ANSWER_BYTES: u64 = 64 * 1024;

/// Statuses that an answer may have; the HTTP library accepts any number of three digits from 100 on.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Statuses of a success that has no content; a body that follows one can't be passed on.
const STATUSES_WITHOUT_CONTENT: [StatusCode; 2] =
    [StatusCode::NO_CONTENT, StatusCode::RESET_CONTENT];

/// Calls a service and returns what came of it.
pub(super) fn send(
    address: &str,
    service: &str,
    request: request::Id,
    body: &str,
    timeout: Duration,
) -> Report {
    if let Err(report) = probe(address) {
        return report;
    }
    let uri = format!("{address}/call/{service}");
    let id = request.to_string();
    let message = build(Method::POST, &uri)
        .header("x-request-id", &id)
        .header("idempotency-key", &id)
        .body(Body::from(body.to_owned()));
    let message = match message {
        Ok(message) => message,
        Err(error) => return unsent(error.to_string()),
    };
    match client(timeout).request(message) {
        Ok(response) => answer(response),
        Err(error) => failed(error.to_string()),
    }
}

fn answer(response: Response<Body>) -> Report {
    let status = response.status().as_u16();
    if !FINAL_STATUSES.contains(&status) {
        return failed(format!("status {status}"));
    }
    if STATUSES_WITHOUT_CONTENT.contains(&response.status()) {
        return failed(format!("status {status}, success without a JSON body"));
    }
    let is_success = response.status().is_success();
    let framed = response.headers().contains_key(header::CONTENT_LENGTH) || is_chunked(&response);
    if !framed {
        return failed("answer with neither length nor chunks");
    }
    let mut body = String::new();
    let read = response.into_body().take(MAX_ANSWER_BYTES + 1).read_to_string(&mut body);
    match read {
        Ok(bytes) if bytes as u64 > MAX_ANSWER_BYTES => failed("answer too large"),
        Ok(_) if is_success && !is_json(&body) => failed("success without a JSON body"),
        Ok(_) => Report::Answer { status, body: body.into() },
        Err(error) => failed(error.to_string()),
    }
}

fn is_json(text: &str) -> bool {
    serde_json::from_str::<serde::de::IgnoredAny>(text).is_ok()
}
