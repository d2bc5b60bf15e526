//! Bodies of answers to callers.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use futures_util::{Stream, StreamExt as _};
use http_body_util::Full;
use hyper::body::{Frame, SizeHint};

/// An answer broke off; the caller's connection is closed before its end.
#[derive(Debug, thiserror::Error)]
#[error("the answer broke off")]
pub struct Broken;

/// Body of an answer.
pub enum Body {
    /// All of it is there.
    Whole(Full<Bytes>),
    /// Passed on as it comes.
    Passing(Pin<Box<dyn Stream<Item = Result<Bytes, Broken>>>>),
}

impl From<Full<Bytes>> for Body {
    fn from(whole: Full<Bytes>) -> Self {
        Self::Whole(whole)
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match self.get_mut() {
            Self::Whole(body) => match Pin::new(body).poll_frame(context) {
                Poll::Ready(frame) => Poll::Ready(frame.map(|frame| frame.map_err(|e| match e {}))),
                Poll::Pending => Poll::Pending,
            },
            Self::Passing(stream) => {
                stream.poll_next_unpin(context).map(|item| item.map(|item| item.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Passing(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Passing(_) => SizeHint::default(),
        }
    }
}
