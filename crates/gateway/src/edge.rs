//! Accepts callers' connections.

use std::{
    convert::Infallible,
    future::poll_fn,
    mem,
    net::SocketAddr,
    pin::{Pin, pin},
    rc::Rc,
    task::Poll,
    time::Duration,
};

use bytes::Bytes;
use eyre::WrapErr as _;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::{Instant, sleep, timeout},
};

use crate::{
    connection::{Connection, Socket},
    node::Node,
    proxy,
    unread::{self, Bounds},
};

/// Longest head of a request in bytes, and size of a connection's buffer.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Longest time for which a connection that is to be closed sends what was written to it.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which a connection whose time is over is closed, if nothing has arrived by then: what
/// came while the process was held up is not known before the sockets have been looked at again.
const UNREAD_TIMEOUT: Duration = Duration::from_millis(5);

/// Delay after a connection could not be accepted, as when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Binds an address; port 0 is replaced by the port that was assigned.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn bind(address: &mut SocketAddr) -> eyre::Result<TcpListener> {
    let context = format!("step=bind peer={address}");
    let listener = TcpListener::bind(*address).await.wrap_err(context)?;
    *address = listener.local_addr().wrap_err("step=bound address")?;
    Ok(listener)
}

/// Returns the next connection; errors are logged and accepting is retried.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Returns a response with a status and a body.
pub fn plain_response(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

/// Serves callers forever.
pub async fn run(node: Rc<Node>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        if let Err(error) = stream.set_nodelay(true) {
            tracing::debug!(event = "caller_gone", %error);
            continue;
        }
        spawn_local(serve(node.clone(), stream));
    }
}

async fn serve(node: Rc<Node>, stream: TcpStream) {
    let connection = Connection::open(&node);
    let service = service_fn(|request: Request<Incoming>| {
        connection.record_version(request.version());
        let (node, guard) = (node.clone(), connection.begin_request());
        async move { Ok::<_, Infallible>(proxy::handle(node, request, guard).await) }
    });
    let mut served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(Socket::new(stream, connection.clone()), service);
    let mut pinned = Pin::new(&mut served);
    let result = match wait_for_end(pinned.as_mut(), &connection).await {
        Some(result) => result,
        None => {
            connection.record_timeout();
            pinned.as_mut().graceful_shutdown();
            match timeout(CLOSE_TIMEOUT, pinned.as_mut()).await {
                Ok(result) => result,
                Err(_) if connection.is_in_use() => pinned.await,
                Err(_) => Ok(()),
            }
        }
    };
    let Err(error) = result else { return };
    tracing::debug!(event = "caller_connection_ended", %error);
    if error.is_parse() {
        // The HTTP library has refused the head; its caller may still be sending it.
        let has_capacity = node.overload.borrow().can_discard(node.now());
        let bounds = Bounds::from_limits(&node.limits_in_force(), has_capacity);
        node.overload.borrow_mut().begin_discard();
        unread::drain(TokioIo::new(served.into_parts().io), bounds).await;
        node.overload.borrow_mut().end_discard();
    } else if error.is_user() && connection.needs_reset() {
        served.into_parts().io.reset();
    }
}

/// Serves a connection until it ends; returns `None` if its caller sends nothing, or only a part of a
/// head, for too long.
async fn wait_for_end<T>(
    mut served: Pin<&mut impl Future<Output = T>>,
    connection: &Connection,
) -> Option<T> {
    let mut sleep = pin!(sleep(Duration::ZERO));
    let mut is_over = false;
    poll_fn(|context| {
        connection.set_task(context.waker());
        if let Poll::Ready(result) = served.as_mut().poll(context) {
            return Poll::Ready(Some(result));
        }
        // What arrived may have begun a request, and a change of the limits may be in force.
        let time_left = connection.time_left();
        let was_over = mem::replace(&mut is_over, time_left.is_some_and(|left| left.is_zero()));
        let Some(time_left) = time_left else { return Poll::Pending };
        if !was_over || !is_over {
            sleep.as_mut().reset(Instant::now() + time_left.max(UNREAD_TIMEOUT));
        }
        sleep.as_mut().poll(context).map(|()| None)
    })
    .await
}
