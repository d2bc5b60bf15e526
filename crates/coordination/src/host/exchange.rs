//! Exchanges with backend servers.

use std::sync::Arc;

use super::event::Run;
use crate::{order::Order, request, request::Class};

/// Exchange with a backend server.
#[derive(Debug, Clone)]
pub enum Exchange {
    /// Starts or resumes a stream at a backend server.
    Stream {
        /// Run.
        run: Run,
        /// Base address of the backend server.
        address: Arc<str>,
        /// Parameters of the stream.
        stream: Stream,
    },
    /// Calls a service.
    Request {
        /// Run.
        run: Run,
        /// Base address of the backend server.
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
    /// Drops the exchange of a run; later reports on it are ignored.
    Abandon {
        /// Run.
        run: Run,
    },
    /// Cancels a stream at a backend server; answered by
    /// [`super::event::Event::StreamState`].
    Cancel {
        /// Base address of the backend server.
        address: Arc<str>,
        /// Stream.
        stream: request::Id,
    },
    /// Asks a backend server whether it has a stream; answered by
    /// [`super::event::Event::StreamState`].
    Inquire {
        /// Base address of the backend server.
        address: Arc<str>,
        /// Stream.
        stream: request::Id,
    },
    /// Copies the cache of a stream from one backend server to another; answered by
    /// [`super::event::Event::CacheCopied`].
    Copy {
        /// Request.
        request: request::Id,
        /// Stream.
        stream: request::Id,
        /// Base address of the backend server that has the cache.
        from: Arc<str>,
        /// Base address of the backend server that receives the copy.
        address: Arc<str>,
        /// Name of the backend server that receives the copy.
        to: Arc<str>,
    },
    /// Reads the models and the role of a backend server; answered by
    /// [`order::Event::State`](crate::order::Event::State).
    ReadState {
        /// Base address of the backend server.
        address: Arc<str>,
        /// Backend server.
        backend: Arc<str>,
        /// Number of the request.
        number: u64,
    },
    /// Sends an order to a backend server, once; answered by
    /// [`order::Event::Ordered`](crate::order::Event::Ordered).
    Order {
        /// Base address of the backend server.
        address: Arc<str>,
        /// Backend server.
        backend: Arc<str>,
        /// Fencing number of the order.
        fence: u64,
        /// Order.
        order: Order,
    },
}

/// Parameters of a stream to start or resume.
#[derive(Debug, Clone)]
pub struct Stream {
    /// Id of the stream.
    pub stream: request::Id,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Model.
    pub model: Arc<str>,
    /// Adapter of the model; empty for none.
    pub adapter: Arc<str>,
    /// Version of the model; empty for any.
    pub version: Arc<str>,
    /// Prompt.
    pub prompt: Arc<str>,
    /// Greatest number of tokens to generate.
    pub max_tokens: u64,
    /// Scheduling class.
    pub class: Class,
    /// Number of leading tokens of the stream to leave out.
    pub offset: u64,
}
