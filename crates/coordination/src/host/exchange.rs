//! Exchanges with back ends.

use std::sync::Arc;

use super::event::Run;
use crate::{order::Order, request, request::Class};

/// An exchange with a back end.
#[derive(Debug, Clone)]
pub enum Exchange {
    /// Starts or resumes a stream at a back end.
    Stream {
        /// Run.
        run: Run,
        /// Base address of the back end.
        address: Arc<str>,
        /// What to ask for.
        stream: Stream,
    },
    /// Calls a plain service.
    Request {
        /// Run.
        run: Run,
        /// Base address of the back end.
        address: Arc<str>,
        /// Name of the service.
        service: Arc<str>,
        /// Request.
        request: request::Id,
        /// JSON body.
        body: Arc<str>,
        /// Longest wait for the answer, in milliseconds.
        timeout_ms: u64,
    },
    /// Drops the exchange of a run; reports that still come are ignored.
    Abandon {
        /// Run.
        run: Run,
    },
    /// Cancels a stream at a back end; answered by [`super::event::Event::Held`].
    Cancel {
        /// Base address of the back end.
        address: Arc<str>,
        /// Stream.
        stream: request::Id,
    },
    /// Asks a back end what it holds of a request; answered by [`super::event::Event::Held`].
    Inquire {
        /// Base address of the back end.
        address: Arc<str>,
        /// Stream.
        stream: request::Id,
    },
    /// Copies the cache of a stream from one back end to another; answered by
    /// [`super::event::Event::Copied`].
    Copy {
        /// Request.
        request: request::Id,
        /// Stream.
        stream: request::Id,
        /// Base address of the back end that has it.
        from: Arc<str>,
        /// Base address of the back end that is to take it.
        address: Arc<str>,
        /// Name of that back end.
        to: Arc<str>,
    },
    /// Reads the models and the role of a back end; answered by [`order::Event::State`](crate::order::Event::State).
    ReadState {
        /// Base address of the back end.
        address: Arc<str>,
        /// Back end.
        backend: Arc<str>,
        /// Number of the request.
        number: u64,
    },
    /// Sends an order to a back end, once; answered by [`order::Event::Ordered`](crate::order::Event::Ordered).
    Order {
        /// Base address of the back end.
        address: Arc<str>,
        /// Back end.
        backend: Arc<str>,
        /// Fencing number.
        fence: u64,
        /// Order.
        order: Order,
    },
}

/// A stream to start or resume.
#[derive(Debug, Clone)]
pub struct Stream {
    /// Stream.
    pub stream: request::Id,
    /// Attempt, counted from 1.
    pub attempt: u32,
    /// Model.
    pub model: Arc<str>,
    /// Adapter; empty for none.
    pub adapter: Arc<str>,
    /// Version; empty for any.
    pub version: Arc<str>,
    /// Prompt.
    pub prompt: Arc<str>,
    /// Greatest number of tokens to generate.
    pub max_tokens: u64,
    /// Priority.
    pub class: Class,
    /// Tokens already held.
    pub offset: u64,
}
