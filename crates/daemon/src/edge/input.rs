//! What callers send.

use std::sync::Arc;

use bytes::Bytes;
use coordination::host::{
    action::Problem,
    event::{Call, Caller},
};
use hyper::{HeaderMap, header};
use serde::Deserialize;

use super::answer::bad;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Document {
    #[serde(default)]
    prompt: Option<Arc<str>>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    budget: Option<Arc<str>>,
    #[serde(default)]
    input: Option<serde_json::Value>,
}

pub(super) fn bearer(headers: &HeaderMap) -> Result<Arc<str>, Problem> {
    let value = headers.get(header::AUTHORIZATION);
    let token = value.and_then(|value| value.to_str().ok());
    let token = token.and_then(|value| value.strip_prefix("Bearer "));
    token
        .map(Arc::from)
        .ok_or_else(|| bad(401, "unauthorized", "expected Authorization: Bearer <token>"))
}

pub(super) fn key(headers: &HeaderMap) -> Result<Option<Arc<str>>, Problem> {
    const MAX_KEY_BYTES: usize = 256;

    let Some(value) = headers.get("idempotency-key") else { return Ok(None) };
    match value.to_str() {
        Ok(text) if !text.is_empty() && text.len() <= MAX_KEY_BYTES => Ok(Some(text.into())),
        _ => Err(bad(400, "bad_key", "expected an Idempotency-Key of 1 to 256 visible characters")),
    }
}

pub(super) fn parse(
    caller: Caller,
    token: Arc<str>,
    service: Arc<str>,
    key: Option<Arc<str>>,
    body: &Bytes,
) -> Result<Call, Problem> {
    let text = std::str::from_utf8(body).map_err(|_| bad(400, "bad_json", "not UTF-8"))?;
    let document: Document =
        serde_json::from_str(text).map_err(|error| bad(400, "bad_json", &error.to_string()))?;
    let Document { prompt, max_tokens, budget, input } = document;
    if prompt.is_some() == input.is_some() {
        return Err(bad(400, "bad_json", "expected either `prompt` or `input`"));
    }
    let body = input.map(|input| input.to_string()).unwrap_or_default();
    Ok(Call {
        caller,
        token,
        service,
        key,
        budget,
        prompt: prompt.unwrap_or_else(|| "".into()),
        max_tokens,
        body: body.into(),
    })
}
