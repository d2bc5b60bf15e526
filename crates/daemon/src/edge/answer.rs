//! What callers get: streams of server-sent events, whole answers and problem documents.

use std::{
    convert::Infallible,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use coordination::{
    host::{
        action::{Outcome, Problem},
        event::{Caller, Event},
    },
    request,
};
use crossbeam::channel::Sender;
use http_body_util::{Either, Full};
use hyper::{
    Response, StatusCode,
    body::{Body, Frame, SizeHint},
    header,
};
use tokio::sync::mpsc;

use crate::driver::Inbound;

/// Header that names the request in an answer.
const REQUEST_HEADER: &str = "laburnum-request";

/// Wait that a caller is told when the host is overloaded, in milliseconds.
const OVERLOAD_RETRY_MS: u64 = 1_000;

/// A part of an answer on its way to a caller.
#[derive(Debug)]
pub enum Part {
    /// A streamed answer starts.
    Begin {
        /// Request.
        request: request::Id,
    },
    /// A token.
    Token {
        /// Offset.
        offset: u64,
        /// Token.
        token: Arc<str>,
    },
    /// The streamed answer is whole.
    End {
        /// Tokens of the answer.
        tokens: u64,
        /// Tokens of the prompt.
        prompt_tokens: u64,
        /// Tokens charged.
        charged: u64,
    },
    /// A whole answer.
    Answer {
        /// Request; `None` for a ticket.
        request: Option<request::Id>,
        /// HTTP status.
        status: u16,
        /// JSON body.
        body: Arc<str>,
    },
    /// No answer, or none any more.
    Fail {
        /// Request, where it came to one.
        request: Option<request::Id>,
        /// Why.
        problem: Problem,
    },
}

/// The way back to a caller.
pub type Reply = mpsc::Sender<Part>;

pub(super) type Answer = Response<Either<Full<Bytes>, Parts>>;

pub(super) fn bad(status: u16, code: &'static str, detail: &str) -> Problem {
    let outcome = Outcome::NotRun;
    Problem { status, code, outcome, detail: detail.into(), retry_after_ms: None }
}

pub(super) fn overloaded() -> Problem {
    let retry_after_ms = Some(OVERLOAD_RETRY_MS);
    Problem { retry_after_ms, ..bad(503, "overloaded", "this host is overloaded") }
}

pub(super) fn lost() -> Problem {
    let outcome = Outcome::Unknown;
    let retry_after_ms = Some(OVERLOAD_RETRY_MS);
    let detail = "this host lost the request";
    Problem { outcome, retry_after_ms, ..bad(500, "lost", detail) }
}

pub(super) fn document(problem: &Problem) -> String {
    serde_json::json!({
        "type": format!("urn:laburnumcove:{}", problem.code),
        "title": problem.code.replace('_', " "),
        "status": problem.status,
        "code": problem.code,
        "outcome": problem.outcome.as_str(),
        "detail": problem.detail,
        "retry_after_ms": problem.retry_after_ms,
    })
    .to_string()
}

pub(super) fn refuse(problem: &Problem) -> Answer {
    let mut answer = whole(problem.status, "application/problem+json", &document(problem));
    if let Some(wait) = problem.retry_after_ms {
        answer.headers_mut().insert(header::RETRY_AFTER, wait.div_ceil(1_000).into());
    }
    answer
}

pub(super) fn whole(status: u16, kind: &'static str, body: &str) -> Answer {
    let body = Either::Left(Full::new(Bytes::copy_from_slice(body.as_bytes())));
    let mut answer = Response::new(body);
    *answer.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    answer.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static(kind));
    answer
}

/// Names the request in the head of its answer, for the time line.
pub(super) fn named(mut answer: Answer, request: Option<request::Id>) -> Answer {
    let value = request.and_then(|id| header::HeaderValue::from_str(&id.to_string()).ok());
    if let Some(value) = value {
        answer.headers_mut().insert(REQUEST_HEADER, value);
    }
    answer
}

pub(super) fn stream(parts: Parts) -> Answer {
    let mut answer = Response::new(Either::Right(parts));
    let headers = answer.headers_mut();
    let kind = header::HeaderValue::from_static("text/event-stream");
    headers.insert(header::CONTENT_TYPE, kind);
    headers.insert(header::CACHE_CONTROL, header::HeaderValue::from_static("no-store"));
    answer
}

/// The parts of one answer as a body of server-sent events.
#[derive(Debug)]
pub struct Parts {
    caller: Caller,
    parts: mpsc::Receiver<Part>,
    core: Sender<Inbound>,
    ended: bool,
}

impl Parts {
    pub(super) fn new(caller: Caller, parts: mpsc::Receiver<Part>, core: Sender<Inbound>) -> Self {
        Self { caller, parts, core, ended: false }
    }

    pub(super) async fn next(&mut self) -> Option<Part> {
        let part = self.parts.recv().await;
        self.ended = !matches!(part, Some(Part::Begin { .. } | Part::Token { .. }));
        part
    }
}

impl Body for Parts {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        self.parts.poll_recv(context).map(|part| {
            let part = part.unwrap_or_else(|| Part::Fail { request: None, problem: lost() });
            self.ended = !matches!(part, Part::Begin { .. } | Part::Token { .. });
            Some(Ok(Frame::data(event(&part))))
        })
    }

    fn is_end_stream(&self) -> bool {
        self.ended
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}

impl Drop for Parts {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        // The core goes first only when the process ends.
        let _ = self.core.send(Inbound::Event(Event::CallerLeft { caller: self.caller }));
    }
}

fn event(part: &Part) -> Bytes {
    let text = match part {
        Part::Begin { .. } => ": begin\n\n".to_owned(),
        Part::Token { offset, token } => {
            format!("data: {}\n\n", serde_json::json!({ "offset": offset, "token": token }))
        }
        Part::End { tokens, prompt_tokens, charged } => {
            let end = serde_json::json!({
                "tokens": tokens, "prompt_tokens": prompt_tokens, "charged": charged,
            });
            format!("event: end\ndata: {end}\n\n")
        }
        Part::Answer { body, .. } => format!("data: {body}\n\n"),
        Part::Fail { problem, .. } => format!("event: error\ndata: {}\n\n", document(problem)),
    };
    text.into()
}
