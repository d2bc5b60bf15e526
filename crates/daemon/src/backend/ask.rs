//! Short questions and orders to back ends.

use std::{sync::Arc, time::Duration};

use coordination::{
    answer::Usage,
    host::event::StreamState,
    order::{self, Order},
    record::Model,
    request,
};
use oxhttp::model::{Body, Method, StatusCode};
use serde::Deserialize;

use super::http::{MAX_DOCUMENT_BYTES, build, client, connect, read};

/// Largest copy of a stream's cache, in bytes.
const MAX_COPY_BYTES: u64 = 16 * 1024 * 1024;

/// Longest wait for the answer to a short question, in milliseconds.
const INQUIRE_MS: u64 = 2_000;

/// Longest wait for the answer to an order, in milliseconds.
const ORDER_MS: u64 = 30_000;

#[derive(Debug, Deserialize)]
struct Standing {
    tokens: u64,
    prompt_tokens: u64,
}

pub(super) fn held(method: Method, address: &str, stream: request::Id) -> Option<StreamState> {
    let uri = format!("{address}/streams/{stream}");
    let message = build(method, &uri).body(Body::empty()).ok()?;
    let response = client(Duration::from_millis(INQUIRE_MS)).request(message).ok()?;
    match response.status() {
        StatusCode::OK => {}
        StatusCode::NOT_FOUND => return Some(StreamState::Absent),
        _ => return None,
    }
    let body = read(response, MAX_DOCUMENT_BYTES)?;
    let Standing { tokens, prompt_tokens } = serde_json::from_slice(&body).ok()?;
    Some(StreamState::Present(Usage { prompt_tokens, tokens }))
}

#[derive(Debug, Deserialize)]
struct Copied {
    tokens: u64,
}

/// Copies the cache of a stream; returns the tokens that the copy holds.
pub(super) fn copy(from: &str, to: &str, stream: request::Id) -> Option<u64> {
    let uri = |address: &str| format!("{address}/kv/{stream}");
    let message = build(Method::GET, &uri(from)).body(Body::empty()).ok()?;
    let response = client(Duration::from_millis(INQUIRE_MS)).request(message).ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let body = read(response, MAX_COPY_BYTES)?;
    let Copied { tokens } = serde_json::from_slice(&body).ok()?;
    let message = build(Method::PUT, &uri(to)).body(Body::from(body)).ok()?;
    let response = client(Duration::from_millis(INQUIRE_MS)).request(message).ok()?;
    response.status().is_success().then_some(tokens)
}

#[derive(Debug, Deserialize)]
struct State {
    models: Vec<Model>,
    role: Arc<str>,
}

pub(super) fn state(address: &str) -> Option<order::ObservedState> {
    let message = build(Method::GET, &format!("{address}/state")).body(Body::empty()).ok()?;
    let response = client(Duration::from_millis(INQUIRE_MS)).request(message).ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let State { models, role } =
        serde_json::from_slice(&read(response, MAX_DOCUMENT_BYTES)?).ok()?;
    Some(order::ObservedState { models, role })
}

pub(super) fn order(address: &str, fence: u64, wanted: &Order) -> order::Outcome {
    let body = match wanted {
        Order::Load(model) => {
            serde_json::json!({ "fence": fence, "order": "load", "model": model })
        }
        Order::Unload(model) => {
            serde_json::json!({ "fence": fence, "order": "unload", "model": model })
        }
        Order::Role(role) => serde_json::json!({ "fence": fence, "order": "role", "role": role }),
    };
    if connect(address).is_err() {
        return order::Outcome::Failed;
    }
    let message = build(Method::POST, &format!("{address}/orders"));
    let Ok(message) = message.body(Body::from(body.to_string())) else {
        return order::Outcome::Failed;
    };
    match client(Duration::from_millis(ORDER_MS)).request(message) {
        Ok(response) if response.status() == StatusCode::OK => order::Outcome::Done,
        Ok(response) if response.status() == StatusCode::PRECONDITION_FAILED => {
            order::Outcome::Fenced
        }
        Ok(response) if response.status().is_client_error() => order::Outcome::Failed,
        Ok(_) | Err(_) => order::Outcome::Unknown,
    }
}
