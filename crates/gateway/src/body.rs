//! Bodies of responses to callers.

use std::{
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use bytes::Bytes;
use futures_util::{Stream, StreamExt as _};
use http_body_util::Full;
use hyper::body::{Frame, SizeHint};

use crate::connection::Guard;

/// Error if a response breaks off; the caller's connection is closed before its end.
#[derive(Debug, thiserror::Error)]
#[error("the answer broke off")]
pub struct Truncated;

/// Body of a response.
pub enum Body {
    /// The whole body.
    Buffered(Full<Bytes>),
    /// A body that is passed on as it arrives.
    Streaming(Pin<Box<dyn Stream<Item = Result<Bytes, Truncated>>>>),
}

impl From<Full<Bytes>> for Body {
    fn from(body: Full<Bytes>) -> Self {
        Self::Buffered(body)
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match self.get_mut() {
            Self::Buffered(body) => match Pin::new(body).poll_frame(context) {
                Poll::Ready(frame) => Poll::Ready(frame.map(|frame| frame.map_err(|e| match e {}))),
                Poll::Pending => Poll::Pending,
            },
            Self::Streaming(stream) => {
                stream.poll_next_unpin(context).map(|item| item.map(|item| item.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Streaming(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Streaming(_) => SizeHint::default(),
        }
    }
}

/// A body that holds a guard until it has been written.
pub struct Guarded<B> {
    body: B,
    _guard: Rc<Guard>,
}

impl<B> Guarded<B> {
    /// Creates a body that holds a guard.
    pub fn new(body: B, guard: Rc<Guard>) -> Self {
        Self { body, _guard: guard }
    }
}

impl<B: hyper::body::Body + Unpin> hyper::body::Body for Guarded<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
