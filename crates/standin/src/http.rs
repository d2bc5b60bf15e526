//! HTTP server shared by the stand-ins.

use std::{
    convert::Infallible,
    fmt,
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    thread,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Version,
    body::{Frame, Incoming, SizeHint},
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, oneshot},
};

/// Greatest number of bytes of a request body.
const BODY_BYTES: usize = 64 * 1024 * 1024;

/// Time after which a failed accept is tried again.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);

/// A request with its whole body.
#[derive(Debug)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path, without the query.
    pub path: String,
    /// Query, empty for none.
    pub query: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Call {
    /// Returns the body read as JSON.
    ///
    /// # Errors
    ///
    /// Returns the answer that tells the caller what is wrong with the body.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Answer> {
        serde_json::from_slice(&self.body)
            .map_err(|error| Answer::error(StatusCode::BAD_REQUEST, format!("body: {error}")))
    }

    /// Returns the text of a header; empty where it is absent or not text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// Returns the method and the path, split at slashes, for matching.
    pub fn route(&self) -> (&str, Vec<&str>) {
        (self.method.as_str(), self.path.split('/').skip(1).collect())
    }
}

/// What a service does with a request.
#[derive(Debug)]
pub enum Answer {
    /// Answers with a status and a body of known length.
    Whole(Box<Response<Bytes>>),
    /// Answers 200 with a chunked body, one chunk for each piece.
    Pieces(mpsc::Receiver<Piece>),
    /// Answers 200 with a body that has neither a length nor chunks.
    NoLength(Bytes),
    /// Closes the connection without an answer.
    Close,
    /// Never answers, and leaves the connection open.
    Hang,
}

/// A step of a chunked body.
#[derive(Debug)]
pub enum Piece {
    /// Sends bytes.
    Data(Bytes),
    /// Closes the connection in the middle of the body.
    Cut,
}

#[derive(Debug, Serialize)]
struct Failure {
    error: String,
}

impl Answer {
    /// Builds an answer with a JSON body.
    pub fn json(status: StatusCode, body: &(impl Serialize + ?Sized)) -> Self {
        let bytes = match serde_json::to_vec(body) {
            Ok(bytes) => bytes,
            Err(error) => {
                return Self::bytes(StatusCode::INTERNAL_SERVER_ERROR, error.to_string().into());
            }
        };
        let mut response = Response::new(Bytes::from(bytes));
        *response.status_mut() = status;
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        Self::Whole(Box::new(response))
    }

    /// Builds an answer with a body of bytes.
    pub fn bytes(status: StatusCode, body: Bytes) -> Self {
        let mut response = Response::new(body);
        *response.status_mut() = status;
        Self::Whole(Box::new(response))
    }

    /// Builds an answer without a body.
    pub fn status(status: StatusCode) -> Self {
        Self::bytes(status, Bytes::new())
    }

    /// Builds an answer `{"error": …}`.
    pub fn error(status: StatusCode, error: impl Into<String>) -> Self {
        Self::json(status, &Failure { error: error.into() })
    }

    /// Builds a refusal that says when to come back.
    pub fn too_many(error: impl Into<String>, retry_after: Duration) -> Self {
        let mut answer = Self::error(StatusCode::TOO_MANY_REQUESTS, error);
        if let Self::Whole(response) = &mut answer {
            let seconds = retry_after.as_millis().div_ceil(1000).max(1) as u64;
            response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        answer
    }

    /// Builds the answer to a path that is not served.
    pub fn not_found() -> Self {
        Self::error(StatusCode::NOT_FOUND, "path")
    }
}

/// Answers requests.
pub trait Service: Send + Sync + 'static {
    /// Answers a request.
    fn call(self: Arc<Self>, call: Call) -> impl Future<Output = Answer> + Send;

    /// Does the service's own work for as long as the server runs.
    fn run(self: Arc<Self>) -> impl Future<Output = ()> + Send {
        std::future::ready(())
    }
}

/// A running server; dropping it closes its port and all its connections.
#[derive(Debug)]
pub struct Handle {
    /// Address that it listens on.
    pub address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Handle {
    /// Returns the base address, `http://ip:port`.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // A panic of the server has been reported by its own thread.
            let _ = thread.join();
        }
    }
}

/// Starts a server in a thread of its own.
///
/// # Errors
///
/// Returns an error where the address can't be bound or the thread can't be started.
pub fn spawn(listen: SocketAddr, service: impl Service) -> io::Result<Handle> {
    let listener = std::net::TcpListener::bind(listen)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let (stop, stopped) = oneshot::channel();
    let service = Arc::new(service);
    let thread = thread::Builder::new().name("standin".into()).spawn(move || {
        runtime.block_on(async {
            tokio::spawn(service.clone().run());
            tokio::select! {
                _ = stopped => {}
                () = accept(listener, service) => {}
            }
        });
    })?;
    Ok(Handle { address, stop: Some(stop), thread: Some(thread) })
}

async fn accept(listener: std::net::TcpListener, service: Arc<impl Service>) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            tracing::error!(step = "listen", %error);
            return;
        }
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(connection(stream, service.clone()));
            }
            Err(error) => {
                tracing::warn!(step = "accept", %error);
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

async fn connection(stream: TcpStream, service: Arc<impl Service>) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(step = "nodelay", %error);
    }
    let handler = service_fn(move |request| answer(service.clone(), request));
    let served = http1::Builder::new().serve_connection(TokioIo::new(stream), handler).await;
    if let Err(error) = served {
        tracing::debug!(step = "serve", %error);
    }
}

async fn answer(
    service: Arc<impl Service>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Closed> {
    let (parts, body) = request.into_parts();
    let body = match Limited::new(body, BODY_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            tracing::debug!(step = "body", %error);
            return Err(Closed);
        }
    };
    let call = Call {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or_default().to_owned(),
        headers: parts.headers,
        body,
    };
    // In a task of its own a request is carried out even where the caller leaves meanwhile.
    let answer = tokio::spawn(service.call(call)).await.map_err(|error| {
        tracing::error!(step = "call", %error);
        Closed
    })?;
    match answer {
        Answer::Whole(response) => Ok((*response).map(|bytes| Body::Whole(Some(bytes)))),
        Answer::Pieces(pieces) => Ok(Response::new(Body::Pieces(pieces))),
        Answer::NoLength(bytes) => Ok(no_length(bytes)),
        Answer::Close => Err(Closed),
        Answer::Hang => never().await,
    }
}

fn no_length(bytes: Bytes) -> Response<Body> {
    let (sender, pieces) = mpsc::channel(1);
    // The channel is new and has room for one piece.
    let _ = sender.try_send(Piece::Data(bytes));
    let mut response = Response::new(Body::Pieces(pieces));
    *response.version_mut() = Version::HTTP_10;
    response
}

async fn never<T>() -> T {
    let never: Infallible = std::future::pending().await;
    match never {}
}

/// The connection is closed on purpose.
#[derive(Debug)]
struct Closed;

impl fmt::Display for Closed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("closed on purpose")
    }
}

impl std::error::Error for Closed {}

#[derive(Debug)]
enum Body {
    Whole(Option<Bytes>),
    Pieces(mpsc::Receiver<Piece>),
    Cut,
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Closed;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Closed>>> {
        match &mut *self {
            Self::Whole(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Pieces(pieces) => match std::task::ready!(pieces.poll_recv(context)) {
                Some(Piece::Data(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                Some(Piece::Cut) => {
                    // An error at once would take the pieces along that aren't flushed yet.
                    *self = Self::Cut;
                    context.waker().wake_by_ref();
                    Poll::Pending
                }
                None => Poll::Ready(None),
            },
            Self::Cut => Poll::Ready(Some(Err(Closed))),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Pieces(_) | Self::Cut => SizeHint::default(),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }
}
