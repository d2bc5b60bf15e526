//! Client for short requests to a stand-in.

use std::{net::SocketAddr, time::Duration};

use eyre::{WrapErr, bail};
use oxhttp::{
    Client,
    model::{Body, Method, Request, header::CONTENT_TYPE},
};
use serde_json::Value;

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Gets a JSON document.
///
/// # Errors
///
/// Returns an error where no answer comes or where it isn't a success.
pub fn get(peer: SocketAddr, path: &str) -> eyre::Result<Value> {
    send(peer, Method::GET, path, Body::empty())
}

/// Posts a JSON document and returns the answer, null for an empty one.
///
/// # Errors
///
/// Returns an error where no answer comes or where it isn't a success.
pub fn post(peer: SocketAddr, path: &str, body: &Value) -> eyre::Result<Value> {
    send(peer, Method::POST, path, Body::from(body.to_string()))
}

/// Sends a request with another method and returns the answer, null for an empty one.
///
/// # Errors
///
/// Returns an error where no answer comes or where it isn't a success.
pub fn send(peer: SocketAddr, method: Method, path: &str, body: Body) -> eyre::Result<Value> {
    let context = || format!("step=control peer={peer} path={path}");
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{peer}{path}"))
        .header(CONTENT_TYPE, "application/json")
        .body(body)
        .wrap_err_with(context)?;
    let client = Client::new().with_global_timeout(TIMEOUT);
    let response = client.request(request).wrap_err_with(context)?;
    let status = response.status();
    let body = response.into_body().to_string().wrap_err_with(context)?;
    if !status.is_success() {
        bail!("{}: status {status}: {body}", context());
    }
    if body.is_empty() {
        return Ok(Value::Null);
    }
    serde_json::from_str(&body).wrap_err_with(context)
}
