//! Bodies of responses to callers.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use futures_util::{Stream, StreamExt as _};
use http_body_util::Full;
use hyper::body::{Frame, SizeHint};

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
