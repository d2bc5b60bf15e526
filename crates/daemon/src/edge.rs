//! The callers' edge: HTTP/1.1 with streamed answers.

mod answer;
mod input;

use std::{
    convert::Infallible,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use coordination::host::{
    action::{Outcome, Problem},
    event::{Caller, Event},
};
use crossbeam::channel::Sender;
use eyre::WrapErr as _;
use gateway::unread::{self, Bounds};
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::{
    Method, Request,
    body::{Body as _, Incoming},
    header::{CONNECTION, EXPECT, HeaderValue},
    http::request,
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    io::AsyncWriteExt as _,
    net::{TcpListener, TcpStream},
    sync::{Semaphore, mpsc, watch},
    time::timeout,
};

pub use self::answer::{Part, Parts, Reply};
use self::{
    answer::{Answer, bad, document, lost, named, overloaded, refuse, stream, whole},
    input::{bearer, key, parse},
};
use crate::driver::Inbound;

/// Name under which this service is found.
pub const NAME: &str = "edge";

/// Pieces that wait for a slow caller before its request is given up.
const CALLER_QUEUE: usize = 4_096;

/// Most connections beyond the limit whose requests are read after their refusal.
const MAX_REJECTED: usize = 64;

/// Path of service calls.
const SERVICES: &str = "/v1/services/";

/// Path of ticket requests.
const TICKETS: &str = "/v1/tickets";

/// Limits of the edge.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Connections at once.
    pub connections: usize,
    /// Longest wait for a whole head, and for a whole body.
    pub read: Duration,
}

impl Limits {
    /// Returns the bounds on reading the rest of a refused request.
    fn unread(&self) -> Bounds {
        Bounds::new(self.read, self.body_bytes)
    }
}

/// A bound edge.
#[derive(Debug)]
pub struct Edge {
    listener: std::net::TcpListener,
    core: Sender<Inbound>,
    limits: Limits,
}

impl Edge {
    /// Binds the callers' address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn bind(address: SocketAddr, core: Sender<Inbound>, limits: Limits) -> eyre::Result<Self> {
        let listener = std::net::TcpListener::bind(address)
            .wrap_err_with(|| format!("step=bind peer={address} callers' address"))?;
        listener.set_nonblocking(true)?;
        Ok(Self { listener, core, limits })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket has none.
    pub fn address(&self) -> eyre::Result<SocketAddr> {
        Ok(self.listener.local_addr()?)
    }

    /// Serves callers until `stop` turns true, then finishes what runs.
    ///
    /// # Errors
    ///
    /// Returns an error if the runtime can't be started.
    pub fn run(self, stop: watch::Receiver<bool>) -> eyre::Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        runtime.block_on(self.accept(stop))
    }

    async fn accept(self, mut stop: watch::Receiver<bool>) -> eyre::Result<()> {
        let listener = TcpListener::from_std(self.listener)?;
        let slots = Arc::new(Semaphore::new(self.limits.connections));
        let door = Arc::new(Door {
            core: self.core,
            limits: self.limits,
            callers: AtomicU64::new(1),
            slots: slots.clone(),
            rejected: Arc::new(Semaphore::new(MAX_REJECTED)),
        });
        loop {
            let accepted = tokio::select! {
                () = stopped(&mut stop) => break,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, peer)) => door.admit(stream, peer, stop.clone()),
                Err(error) => {
                    tracing::warn!(event = "accept_failed", %error);
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        }
        drop(listener);
        let all = u32::try_from(self.limits.connections).unwrap_or(u32::MAX);
        let _ = slots.acquire_many(all).await;
        Ok(())
    }
}

#[derive(Debug)]
struct Door {
    core: Sender<Inbound>,
    limits: Limits,
    callers: AtomicU64,
    slots: Arc<Semaphore>,
    rejected: Arc<Semaphore>,
}

/// A refusal of a request, of which more may come.
#[derive(Debug)]
struct Refusal {
    problem: Problem,
    /// Whether the request is malformed or exceeds the limits, so that none can follow it.
    ends_connection: bool,
}

impl Refusal {
    fn ending(problem: Problem) -> Self {
        Self { problem, ends_connection: true }
    }
}

impl From<Problem> for Refusal {
    fn from(problem: Problem) -> Self {
        Self { problem, ends_connection: false }
    }
}

impl Door {
    fn admit(self: &Arc<Self>, stream: TcpStream, peer: SocketAddr, stop: watch::Receiver<bool>) {
        let Ok(slot) = self.slots.clone().try_acquire_owned() else {
            tracing::warn!(event = "connection_refused", %peer, reason = "too many connections");
            tokio::spawn(self.clone().reject(stream));
            return;
        };
        let door = self.clone();
        tokio::spawn(async move {
            door.serve(stream, peer, stop).await;
            drop(slot);
        });
    }

    async fn serve(
        self: Arc<Self>,
        stream: TcpStream,
        peer: SocketAddr,
        mut stop: watch::Receiver<bool>,
    ) {
        let _ = stream.set_nodelay(true);
        let door = self.clone();
        let mut served = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.read)
            .max_buf_size(self.limits.head_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(
                TokioIo::new(stream),
                service_fn(move |request| door.clone().answer(request)),
            );
        let mut connection = Pin::new(&mut served);
        let result = tokio::select! {
            result = connection.as_mut() => result,
            () = stopped(&mut stop) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        let Err(error) = result else { return };
        tracing::debug!(event = "connection_ended", %peer, %error);
        if error.is_parse() {
            // The HTTP library has refused the head; its caller may still be sending it.
            let stream = served.into_parts().io.into_inner();
            unread::drain(stream, self.limits.unread()).await;
        }
    }

    /// Refuses a connection beyond the limit.
    async fn reject(self: Arc<Self>, mut stream: TcpStream) {
        // The request was not read, so it may be a retry of one that ran.
        let body = document(&Problem { outcome: Outcome::NotRunHere, ..overloaded() });
        let head = format!(
            "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\nretry-after: 1\r\n\
             content-type: application/problem+json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let answer = head + &body;
        let send = async {
            stream.write_all(answer.as_bytes()).await?;
            stream.shutdown().await
        };
        let sent = timeout(Duration::from_secs(1), send).await;
        if let (Ok(Ok(())), Ok(_slot)) = (sent, self.rejected.try_acquire()) {
            unread::drain(stream, self.limits.unread()).await;
        }
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Result<Answer, Infallible> {
        let (head, mut body) = request.into_parts();
        Ok(match self.take(&head, &mut body).await {
            Ok((caller, parts)) => self.relay(caller, parts).await,
            Err(refusal) => self.refuse(&head, body, &refusal),
        })
    }

    /// Refuses a request at once, and reads the rest of its body in the background.
    fn refuse(&self, head: &request::Parts, body: Incoming, refusal: &Refusal) -> Answer {
        let mut answer = refuse(&refusal.problem);
        if body.is_end_stream() {
            return answer;
        }
        let awaits_permission = head.headers.contains_key(EXPECT);
        if refusal.ends_connection || awaits_permission || self.is_too_large(&body) {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        tokio::spawn(unread::discard(None, body, self.limits.unread()));
        answer
    }

    /// Returns whether the stated length of a body, or of its rest, is larger than allowed.
    fn is_too_large(&self, body: &Incoming) -> bool {
        usize::try_from(body.size_hint().lower())
            .map_or(true, |bytes| bytes > self.limits.body_bytes)
    }

    async fn take(
        &self,
        head: &request::Parts,
        body: &mut Incoming,
    ) -> Result<(Caller, mpsc::Receiver<Part>), Refusal> {
        let path = head.uri.path();
        let service = path.strip_prefix(SERVICES).map(Arc::<str>::from);
        if service.is_none() && path != TICKETS {
            return Err(bad(404, "not_found", "no such path").into());
        }
        if head.method != Method::POST {
            return Err(bad(405, "method", "expected POST").into());
        }
        let token = bearer(&head.headers)?;
        let key = key(&head.headers)?;
        let body = self.body(body).await.map_err(Refusal::ending)?;
        let caller = self.callers.fetch_add(1, Ordering::Relaxed);
        let event = match service {
            Some(service) => Event::Call(parse(caller, token, service, key, &body)?),
            None => Event::Ticket { caller, token },
        };
        let (reply, parts) = mpsc::channel(CALLER_QUEUE);
        let key = match &event {
            Event::Call(call) => call.key.clone(),
            _ => None,
        };
        let inbound = Inbound::Caller { caller, reply, event };
        self.core.try_send(inbound).map_err(|_| overloaded().scoped_to_attempt(key.as_ref()))?;
        Ok((caller, parts))
    }

    async fn body(&self, body: &mut Incoming) -> Result<Bytes, Problem> {
        let too_large = || bad(413, "body_too_large", "the body is too large");
        if self.is_too_large(body) {
            return Err(too_large());
        }
        let limited = Limited::new(body, self.limits.body_bytes);
        let Ok(collected) = timeout(self.limits.read, limited.collect()).await else {
            return Err(bad(408, "slow_request", "the body did not arrive in time"));
        };
        match collected {
            Ok(body) => Ok(body.to_bytes()),
            Err(error) if error.is::<LengthLimitError>() => Err(too_large()),
            Err(_) => Err(bad(400, "body_incomplete", "the body did not arrive whole")),
        }
    }

    async fn relay(self: Arc<Self>, caller: Caller, parts: mpsc::Receiver<Part>) -> Answer {
        let mut parts = Parts::new(caller, parts, self.core.clone());
        match parts.next().await {
            Some(Part::Answer { request, status, body }) => {
                named(whole(status, "application/json", &body), request)
            }
            Some(Part::Fail { request, problem }) => named(refuse(&problem), request),
            Some(Part::Begin { request }) => named(stream(parts), Some(request)),
            Some(Part::Token { .. } | Part::End { .. }) | None => refuse(&lost()),
        }
    }
}

/// Smallest read buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

async fn stopped(stop: &mut watch::Receiver<bool>) {
    // A sender that is gone means the same.
    let _ = stop.wait_for(|stop| *stop).await;
}
