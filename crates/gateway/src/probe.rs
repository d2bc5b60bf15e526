//! Answers the load balancer's readiness probes, and serves the metrics.

use std::{convert::Infallible, rc::Rc};

use bytes::Bytes;
use http_body_util::Full;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, body::Incoming, server::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, task::spawn_local};

use crate::{
    edge::{accept, plain_response},
    node::Node,
};

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Serves an address forever.
pub async fn run(node: Rc<Node>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        let node = node.clone();
        spawn_local(async move {
            let service = service_fn(|request| {
                let response = answer(&node, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                tracing::debug!(event = "probe_ended", %error);
            }
        });
    }
}

fn answer(node: &Node, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let (status, body) = if request.uri().path() == METRICS_PATH {
        match node.metrics.encode(node) {
            Ok(body) => (StatusCode::OK, body),
            Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, format!("{error:#}\n")),
        }
    } else if node.is_ready() {
        (StatusCode::OK, String::new())
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, String::new())
    };
    plain_response(status, Bytes::from(body))
}
